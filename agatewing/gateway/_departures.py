"""Targets that said in an answer that they leave."""

import collections
import collections.abc

import gevent.event

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _contracts

#: Largest number of targets in one report, so that it fits into a datagram.
MAX_REPORTED = 16
#: Time for which a departure is reported, in seconds: several times that
#: for which leaving targets go on serving.
REPORT_S = 60.0
#: Time after which a departure is forgotten, in seconds, unless the target
#: is still announced: an entry may come back after a loss of the log.
KEEP_S = 600.0


class Departures:
    """Incarnations of targets that leave, by this instance's view.

    A target that said so stays one of them until its incarnation ends,
    whatever its entry in the log says.
    """

    __slots__ = ("_clock", "_changed", "_known", "learned")

    def __init__(
        self, clock: _clock.Clock, changed: gevent.event.Event
    ) -> None:
        self._clock = clock
        # Set when there is something new to report.
        self._changed = changed
        # Monotonic time at which each was learned, in seconds, by key; those
        # that were reported last are at the end.
        self._known: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        #: Number of targets learned of, by source: "answer" or "peer".
        self.learned: collections.Counter[str] = collections.Counter()

    def leaves(self, target: _contracts.Target) -> bool:
        """Return whether a target said that it leaves."""
        return bool(self._known) and incarnation_key(target) in self._known

    def record(self, target: _contracts.Target) -> None:
        """Record that an answer of a target said that it leaves."""
        if self._add(incarnation_key(target)):
            self.learned["answer"] += 1

    def merge(self, keys: collections.abc.Iterable[int]) -> bool:
        """Add what another instance reported; return whether it is news."""
        count = sum(self._add(key) for key in keys)
        if count:
            self.learned["peer"] += count
        return count > 0

    def _add(self, key: int) -> bool:
        if key in self._known:
            return False
        self._known[key] = self._clock.monotonic()
        self._known.move_to_end(key, last=False)
        self._changed.set()
        return True

    def retain(
        self, targets: collections.abc.Iterable[_contracts.Target]
    ) -> None:
        """Forget old departures of targets that are announced no more."""
        oldest = self._clock.monotonic() - KEEP_S
        old = {key for key, at in self._known.items() if at < oldest}
        if not old:
            return
        for key in old - {incarnation_key(target) for target in targets}:
            del self._known[key]

    def take_reports(self) -> list[int]:
        """Return the departures for the next load report, as hashes."""
        oldest = self._clock.monotonic() - REPORT_S
        keys = [key for key, at in self._known.items() if at >= oldest]
        del keys[MAX_REPORTED:]
        for key in keys:
            self._known.move_to_end(key)
        return keys


def incarnation_key(target: _contracts.Target) -> int:
    """Return a hash of what tells incarnations apart in the registry."""
    return decisions.short_key(
        f"{target.id}/{target.address}/{target.born_ms}"
    )
