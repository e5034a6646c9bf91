"""When a request is also sent another way while the first one is silent.

A sound engine may fall silent for a second or so and go on. Whoever gives it
up before another engine has delivered may lose the answer, so the first stays
open until then.
"""

import collections.abc
import dataclasses
import enum
import typing


class PathState(enum.Enum):
    """What became of one way to an answer."""

    #: Its answer is awaited.
    RUNNING = enum.auto()
    #: It brought the next part of the answer.
    DELIVERED = enum.auto()
    #: It failed; another one may still deliver.
    FAILED = enum.auto()
    #: It failed, and the request must not be sent again.
    FINAL = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class PathView:
    """One way to an answer."""

    #: What became of it.
    state: PathState
    #: Monotonic time at which it counts as silent, in seconds; infinite
    #: while no engine's answer is awaited.
    silent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """A path delivered; the others are closed."""

    #: Number of the path.
    path: int


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """No path is left, or none may be; the request ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    """All paths are silent; another one may be tried beside them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be done before a time, unless a path ends."""

    #: Monotonic time, in seconds.
    until: float


RaceStep: typing.TypeAlias = Take | GiveUp | Hedge | Wait


def next_step(
    paths: collections.abc.Sequence[PathView], now: float, hedge_from: float
) -> RaceStep:
    """Return the next step for the paths of one request.

    ``paths`` are in the order in which they were opened; an earlier one that
    delivered is taken first. ``hedge_from`` is the earliest monotonic time
    of another hedge, in seconds.
    """
    for number, path in enumerate(paths):
        if path.state is PathState.DELIVERED:
            return Take(number)
    if any(path.state is PathState.FINAL for path in paths):
        return GiveUp()
    running = [p.silent_at for p in paths if p.state is PathState.RUNNING]
    if not running:
        return GiveUp()
    due_at = max(hedge_from, *running)
    return Hedge() if now >= due_at else Wait(due_at)
