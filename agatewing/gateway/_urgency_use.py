"""Requests for engines by urgency: asked, waited, sent, refused."""

import collections

#: Time in the queue from which on a request counts as one that waited, in
#: seconds: one period of the dispatcher.
WAITED_S = 0.02
#: Highest rank with a label of its own; ranks beyond it share one.
LAST_RANK = 9


class UrgencyUse:
    """Counts requests by their rank, 0 being the most urgent."""

    __slots__ = ("asked", "waited", "sent", "yielded", "refused")

    def __init__(self) -> None:
        #: Number of requests that callers made, by rank.
        self.asked: collections.Counter[str] = collections.Counter()
        #: Number of those that waited for an engine with room, by rank.
        self.waited: collections.Counter[str] = collections.Counter()
        #: Number of those that were sent on, by rank.
        self.sent: collections.Counter[str] = collections.Counter()
        #: Number of those that might wait, or exceeded their account's share,
        #: by rank.
        self.yielded: collections.Counter[str] = collections.Counter()
        #: Number of those that were refused, by rank and kind of refusal.
        self.refused: collections.Counter[str] = collections.Counter()

    def record_asked(self, rank: int, yields: bool) -> None:
        """Count a request, and whether it yields to others."""
        self.asked[_label(rank)] += 1
        self.yielded[_label(rank)] += yields

    def record_sent(self, rank: int, waited_s: float) -> None:
        """Count a request that an engine gets after a time in seconds."""
        self.sent[_label(rank)] += 1
        self.waited[_label(rank)] += waited_s >= WAITED_S

    def record_refused(self, rank: int, kind: str) -> None:
        """Count a request that was refused."""
        self.refused[f"{_label(rank)} {kind}"] += 1


def _label(rank: int) -> str:
    return str(rank) if rank <= LAST_RANK else "more"
