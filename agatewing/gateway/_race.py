"""Awaits an answer on several paths; the first that delivers is kept."""

import collections.abc
import typing

import gevent
import gevent.event

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _refusals

#: Time after a hedge that was not allowed, or that failed, before another one
#: may be tried, in seconds.
HEDGE_PERIOD_S = decisions.MIN_STALL_S
#: Longest time between two looks at the paths, in seconds. No engine counts as
#: silent earlier than that after its send, so a send need not wake the
#: greenlet that waits.
LOOK_PERIOD_S = decisions.MIN_STALL_S
#: ``silent_at`` of a path that awaits nothing from an engine.
NEVER = float("inf")


class Path(typing.Protocol):
    """One way to an answer."""

    @property
    def silent_at(self) -> float:
        """Monotonic time at which it counts as silent, in seconds."""

    def next(self) -> typing.Any:
        """Return the next part; raise ``GatewayRefusedError`` without one."""

    def record_loss(self) -> None:
        """Record that another path delivered before this one."""

    def close(self) -> None:
        """Close its connections; it delivers nothing any more."""


P = typing.TypeVar("P", bound=Path)


class _Entry(typing.Generic[P]):
    """A path in a race, and what became of it."""

    __slots__ = ("path", "state", "delivery", "greenlet")

    def __init__(self, path: P) -> None:
        self.path = path
        self.state = decisions.PathState.RUNNING
        self.delivery: typing.Any = None
        self.greenlet: gevent.Greenlet | None = None


class Race(typing.Generic[P]):
    """Follows the paths of one request until one of them delivers."""

    __slots__ = (
        "_clock",
        "_is_final",
        "_entries",
        "_changed",
        "_error",
        "_look_at",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        is_final: collections.abc.Callable[[], bool],
    ) -> None:
        self._clock = clock
        # Returns whether a path that fails now ends the request.
        self._is_final = is_final
        self._entries: list[_Entry[P]] = []
        self._changed = gevent.event.Event()
        # Failure of the path that failed last, or of one that is final.
        self._error: Exception | None = None
        # Monotonic time at which the paths are looked at next, in seconds.
        self._look_at = NEVER

    def add(self, path: P) -> None:
        """Follow another path from now on."""
        entry = _Entry(path)
        self._entries.append(entry)
        entry.greenlet = gevent.spawn(self._follow, entry)

    def _follow(self, entry: _Entry[P]) -> None:
        try:
            entry.delivery = entry.path.next()
            entry.state = decisions.PathState.DELIVERED
        except _refusals.GatewayRefusedError as exc:
            self._fail(entry, exc, self._is_final())
        except Exception as exc:
            self._fail(entry, exc, True)
        except BaseException:
            # A path that lost may have gone on until its greenlet was killed.
            entry.path.close()
            raise
        self._changed.set()

    def _fail(self, entry: _Entry[P], exc: Exception, final: bool) -> None:
        states = [other.state for other in self._entries]
        if decisions.PathState.FINAL not in states:
            self._error = exc
        failed = decisions.PathState.FAILED
        entry.state = decisions.PathState.FINAL if final else failed
        entry.path.close()

    def expect(self, silent_at: float) -> None:
        """Look at the paths in time for a changed ``silent_at`` of one.

        ``silent_at`` is a monotonic time in seconds.
        """
        if silent_at < self._look_at:
            self._changed.set()

    def running(self) -> list[P]:
        """Return the paths that may still deliver."""
        return [
            entry.path
            for entry in self._entries
            if entry.state is decisions.PathState.RUNNING
        ]

    def others(self, path: P) -> bool:
        """Return whether a path other than ``path`` may still deliver."""
        return any(other is not path for other in self.running())

    def wait(
        self, hedge: collections.abc.Callable[[], P | None]
    ) -> tuple[P, typing.Any]:
        """Return the first path that delivers, and what it delivered.

        All others are closed. ``hedge`` is called when all paths are silent;
        it returns another path, or ``None`` if none is allowed now. Raises
        the error of the path that failed last, once none is left.
        """
        hedge_from = 0.0
        while True:
            self._changed.clear()
            now = self._clock.monotonic()
            views = [
                decisions.PathView(e.state, e.path.silent_at)
                for e in self._entries
            ]
            match decisions.next_step(views, now, hedge_from):
                case decisions.Take(path=number):
                    winner = self._entries.pop(number)
                    for loser in self.running():
                        loser.record_loss()
                    self.close()
                    return winner.path, winner.delivery
                case decisions.GiveUp():
                    self.close()
                    raise self._error or AssertionError("no path was added")
                case decisions.Hedge():
                    hedge_from = now + HEDGE_PERIOD_S
                    path = hedge()
                    if path is not None:
                        self.add(path)
                case decisions.Wait(until=until):
                    self._look_at = min(until, now + LOOK_PERIOD_S)
                    self._clock.wait(self._changed, self._look_at - now)

    def close(self) -> None:
        """Close all paths that are left."""
        entries, self._entries = self._entries, []
        for entry in entries:
            if entry.greenlet is not None:
                entry.greenlet.kill(block=False)
            entry.path.close()
