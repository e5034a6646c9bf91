"""Measured rate at which a queue is worked off while it is not empty."""

import collections

#: Time over which the rate is taken, in seconds.
WINDOW_S = 5.0
#: Time with a backlog before the measured rate is trusted, in seconds.
TRUST_S = 1.0


class ServiceRate:
    """Cost sent a second of backlog; the planned rate until it is known."""

    __slots__ = ("_sent", "_busy", "_busy_since")

    def __init__(self) -> None:
        self._sent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._busy: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._busy_since: float | None = None

    def note_backlog(self, waiting: bool, now: float) -> None:
        """Note whether requests wait that could not be sent."""
        if waiting and self._busy_since is None:
            self._busy_since = now
        elif not waiting and self._busy_since is not None:
            self._busy.append((self._busy_since, now))
            self._busy_since = None

    def note_sent(self, cost: float, now: float) -> None:
        """Note the cost of a request that was sent."""
        self._sent.append((now, cost))

    def per_s(self, planned: float, now: float) -> float:
        """Return the rate, mixed with the planned one while it is new."""
        self._expire(now)
        busy = self._busy_s(now)
        if busy < TRUST_S:
            return planned
        start = now - WINDOW_S
        sent = sum(cost for at, cost in self._sent if at >= start)
        return max(sent / min(busy, WINDOW_S), planned * 0.05)

    def _busy_s(self, now: float) -> float:
        start = now - WINDOW_S
        spans = list(self._busy)
        if self._busy_since is not None:
            spans.append((self._busy_since, now))
        return sum(end - max(begin, start) for begin, end in spans)

    def _expire(self, now: float) -> None:
        start = now - WINDOW_S
        while self._sent and self._sent[0][0] < start:
            self._sent.popleft()
        while self._busy and self._busy[0][1] < start:
            self._busy.popleft()
