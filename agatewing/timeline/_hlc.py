"""Hybrid logical clock: stamps that respect cause and effect.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

import msgspec

from agatewing import _clock

#: Furthest that a received stamp may lie ahead of the wall clock, in ms.
MAX_DRIFT_MS = 60_000


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A point in causal order."""

    # Wall-clock milliseconds since the epoch.
    wall_ms: int
    # Orders events within one millisecond.
    counter: int


class HybridClock:
    """Issues stamps; each is later than all issued or received before."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Return the stamp of a local event."""
        wall = int(self._clock.wall() * 1000)
        if wall > self._last.wall_ms:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def receive(self, stamp: Stamp) -> None:
        """Take note of the stamp of a message."""
        wall = int(self._clock.wall() * 1000)
        if stamp.wall_ms > wall + MAX_DRIFT_MS:
            return
        self._last = max(self._last, stamp)
