"""Targets that want no requests from this instance for a time."""

import math

from agatewing import _clock
from agatewing.gateway import _contracts
from agatewing.gateway import _departures

#: Longest back-off, in seconds. A time in another unit by mistake must not
#: keep a target out for hours; engines recover within seconds.
MAX_BACK_OFF_S = 300.0


class BackOffs:
    """Until when targets want no requests, by what they answered."""

    __slots__ = ("_clock", "_until", "begun")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Monotonic time of the end, in seconds, by key of the incarnation.
        self._until: dict[int, float] = {}
        #: Number of back-offs that began.
        self.begun = 0

    def until(self, target: _contracts.Target) -> float:
        """Return the monotonic time of the end of a back-off, in seconds.

        ``-inf`` for a target that has asked for none.
        """
        if not self._until:
            return -math.inf
        key = _departures.incarnation_key(target)
        return self._until.get(key, -math.inf)

    def record(
        self, target: _contracts.Target, back_off_s: float
    ) -> tuple[float, bool]:
        """Record an answer that asks for a back-off.

        Returns its end as a monotonic time, and whether it begins now. A
        shorter time than the one left does not shorten it.
        """
        now = self._clock.monotonic()
        before = self.until(target)
        until = max(before, now + min(back_off_s, MAX_BACK_OFF_S))
        self._until = {k: at for k, at in self._until.items() if at > now}
        self._until[_departures.incarnation_key(target)] = until
        begins = before <= now
        self.begun += begins
        return until, begins

    @property
    def count(self) -> int:
        """Number of targets that want no requests now."""
        now = self._clock.monotonic()
        return sum(at > now for at in self._until.values())
