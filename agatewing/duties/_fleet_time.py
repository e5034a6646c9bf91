"""The wall time by the median of the clocks of several instances.

The wall clock of a single machine may be off, or jump. An instance hears the
wall times of its peers with their load reports, and takes the median of these
clocks and its own: as long as most of them are right, so is the median.
"""

import statistics

from agatewing import _clock

#: Age up to which the clock of a peer counts, in seconds: several reports of
#: it are heard in that time.
KEEP_S = 5.0
#: Least number of peers for the median: two clocks that differ do not show
#: which of them is off.
MIN_PEERS = 2


class FleetTime:
    """Wall time of the fleet."""

    __slots__ = ("_clock", "_heard", "_offset")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Wall time minus the own monotonic time, and the monotonic time at
        # which that was heard, by peer, in seconds.
        self._heard: dict[str, tuple[float, float]] = {}
        self._offset = clock.wall() - clock.monotonic()

    @property
    def own_error_s(self) -> float:
        """How far the own wall clock is ahead of the median, in seconds."""
        return self._clock.wall() - self.now()

    def now(self) -> float:
        """Return the wall time in seconds since 1970."""
        return self._clock.monotonic() + self._offset

    def hear(self, peer: str, wall_s: float) -> None:
        """Record the wall time in a report that has just come.

        It is old by the way of the report, and by the time for which this
        process was busy; so the latest one of some seconds counts.
        """
        now = self._clock.monotonic()
        offset = wall_s - now
        before, at = self._heard.get(peer, (offset, now))
        if offset >= before or now - at >= KEEP_S:
            self._heard[peer] = (offset, now)

    def update(self) -> None:
        """Take the median anew."""
        now = self._clock.monotonic()
        self._heard = {
            peer: (offset, at)
            for peer, (offset, at) in self._heard.items()
            if now - at < 2 * KEEP_S
        }
        offsets = [offset for offset, _ in self._heard.values()]
        own = self._clock.wall() - now
        if len(offsets) < MIN_PEERS:
            self._offset = own
        else:
            self._offset = statistics.median_low([*offsets, own])
