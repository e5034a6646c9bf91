"""The system clock, and a manual clock for tests."""

import collections.abc
import heapq
import itertools
import time
import typing

import gevent
import gevent.event

#: Number of event-loop iterations in which ready greenlets run at each step
#: of a manual clock.
ROUNDS_PER_ADVANCE = 4


class Waitable(typing.Protocol):
    """Interface shared by gevent's events and asynchronous results."""

    def ready(self) -> bool:
        """Return whether a wait would return at once."""

    def rawlink(
        self, callback: collections.abc.Callable[[typing.Any], typing.Any]
    ) -> typing.Any:
        """Call ``callback`` from the event loop once this is ready."""

    def unlink(
        self, callback: collections.abc.Callable[[typing.Any], typing.Any]
    ) -> typing.Any:
        """Remove a callback added by :meth:`rawlink`."""


class Clock(typing.Protocol):
    """Source of time for every part of the system."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for ``seconds``."""

    def wait(self, waitable: Waitable, timeout_s: float) -> bool:
        """Wait for an event; return whether it came in time."""


class SystemClock:
    """The operating system's clock; waits yield to the event loop."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet while others run."""
        gevent.sleep(seconds)

    def wait(self, waitable: Waitable, timeout_s: float) -> bool:
        """Wait for an event; return whether it came in time."""
        gevent.wait([waitable], timeout=max(0.0, timeout_s))
        return waitable.ready()


class ManualClock:
    """A clock whose time changes only by :meth:`advance`."""

    __slots__ = ("_now", "_wall_offset", "_sleepers", "_sequence")

    def __init__(
        self, start: float = 1000.0, wall_start: float = 1.8e9
    ) -> None:
        self._now = start
        self._wall_offset = wall_start - start
        self._sleepers: list[tuple[float, int, gevent.event.Event]] = []
        self._sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the manual time in seconds since the Unix epoch."""
        return self._wall_offset + self._now

    def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by ``seconds``."""
        woken = gevent.event.Event()
        entry = (self._now + seconds, next(self._sequence), woken)
        heapq.heappush(self._sleepers, entry)
        woken.wait()

    def wait(self, waitable: Waitable, timeout_s: float) -> bool:
        """Wait for an event until the clock has advanced by ``timeout_s``."""
        if waitable.ready() or timeout_s <= 0:
            return waitable.ready()
        woken = gevent.event.Event()

        def wake(_: typing.Any) -> None:
            woken.set()

        waitable.rawlink(wake)
        entry = (self._now + timeout_s, next(self._sequence), woken)
        heapq.heappush(self._sleepers, entry)
        woken.wait()
        waitable.unlink(wake)
        return waitable.ready()

    def advance(self, seconds: float) -> None:
        """Advance time and wake sleepers in the order of their deadlines."""
        end = self._now + seconds
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, woken = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            woken.set()
            run_ready_greenlets()
        self._now = end
        run_ready_greenlets()


def run_ready_greenlets() -> None:
    """Run ready greenlets for ``ROUNDS_PER_ADVANCE`` loop iterations.

    Time does not advance meanwhile.
    """
    for _ in range(ROUNDS_PER_ADVANCE):
        gevent.sleep(0)
