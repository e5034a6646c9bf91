"""Hybrid logical clock: timestamps that respect cause and effect.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

import msgspec

from agatewing import _clock

#: Maximum lead of a received stamp over the wall clock, in milliseconds.
#: A stamp further ahead is ignored.
MAX_DRIFT_MS = 60_000


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A timestamp of the hybrid clock; stamps sort in causal order."""

    # Wall-clock time, in milliseconds since the epoch.
    wall_ms: int
    # Orders events of the same millisecond.
    counter: int


class HybridClock:
    """Issues stamps, each later than all stamps issued or received before."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Return a new stamp for a local event."""
        wall = int(self._clock.wall() * 1000)
        if wall > self._last.wall_ms:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def receive(self, stamp: Stamp) -> None:
        """Advance the clock to the stamp of a received message.

        Ignores a stamp more than ``MAX_DRIFT_MS`` ahead of the wall clock.
        """
        wall = int(self._clock.wall() * 1000)
        if stamp.wall_ms > wall + MAX_DRIFT_MS:
            return
        self._last = max(self._last, stamp)
