"""The runtime's clock, and a clock that tests pause and advance."""

import collections.abc
import heapq
import itertools
import time
import typing

import gevent
import gevent.event

#: Turns of the loop that greenlets get at each advance of the clock.
SETTLE_ROUNDS = 4


class Waitable(typing.Protocol):
    """What gevent's events and asynchronous results share."""

    def ready(self) -> bool:
        """Return whether there is nothing to wait for."""

    def rawlink(
        self, callback: collections.abc.Callable[[typing.Any], typing.Any]
    ) -> typing.Any:
        """Call back from the loop once it is ready."""

    def unlink(
        self, callback: collections.abc.Callable[[typing.Any], typing.Any]
    ) -> typing.Any:
        """Take the callback back."""


class Clock(typing.Protocol):
    """Source of time for every part of the system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for ``seconds``."""

    def wait(self, waitable: Waitable, timeout_s: float) -> bool:
        """Wait for an event; return whether it came in time."""


class SystemClock:
    """The clock of the process: the operating system's, on the loop."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet; others run meanwhile."""
        gevent.sleep(seconds)

    def wait(self, waitable: Waitable, timeout_s: float) -> bool:
        """Wait for an event; return whether it came in time."""
        gevent.wait([waitable], timeout=max(0.0, timeout_s))
        return waitable.ready()


class ManualClock:
    """A clock that stands still until :meth:`advance` is called."""

    __slots__ = ("_now", "_wall_start", "_sleepers", "_sequence")

    def __init__(
        self, start: float = 1000.0, wall_start: float = 1.8e9
    ) -> None:
        self._now = start
        self._wall_start = wall_start - start
        self._sleepers: list[tuple[float, int, gevent.event.Event]] = []
        self._sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the wall time that belongs to the manual time."""
        return self._wall_start + self._now

    def sleep(self, seconds: float) -> None:
        """Wait until the clock was advanced past ``seconds`` from now."""
        woken = gevent.event.Event()
        entry = (self._now + seconds, next(self._sequence), woken)
        heapq.heappush(self._sleepers, entry)
        woken.wait()

    def wait(self, waitable: Waitable, timeout_s: float) -> bool:
        """Wait for an event until the clock has passed ``timeout_s``."""
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
        """Move time forward and wake sleepers in order of their time."""
        target = self._now + seconds
        while self._sleepers and self._sleepers[0][0] <= target:
            due, _, woken = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            woken.set()
            settle()
        self._now = target
        settle()


def settle() -> None:
    """Let every greenlet run that can run without time passing."""
    for _ in range(SETTLE_ROUNDS):
        gevent.sleep(0)
