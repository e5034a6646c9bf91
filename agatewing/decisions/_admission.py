"""Admit a request, or refuse at once what cannot meet its deadline."""

import dataclasses
import typing

#: Share of the deadline left free for what the estimate misses.
MARGIN = 0.1
#: Times its caller's patience that a first event may be expected after; the
#: estimate is on the high side while paces are.
PATIENCE_USED = 1.2
#: Bounds of the time after which a refused caller may come back.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Queueing:
    """The state of the pool that a request asks to join."""

    #: Cost queued by this caller, in engine seconds.
    own_backlog_s: float
    #: Cost queued by all callers, in engine seconds.
    backlog_s: float
    #: Share of the pool that this caller may expect, 0 to 1.
    share: float
    #: Engine seconds that the pool works off in a second, for us.
    capacity: float
    #: Requests waiting.
    length: int
    #: Most requests that may wait.
    limit: int
    #: Measured time of answers over their estimate.
    calibration: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The request may wait for its turn."""

    #: Expected time until its turn, in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TooLate:
    """The request cannot meet its deadline."""

    #: Expected time until the whole answer, in seconds.
    expected_s: float
    #: Seconds after which a retry makes sense.
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFull:
    """Too many requests wait."""

    #: Seconds after which a retry makes sense.
    retry_after_s: float


AdmissionDecision: typing.TypeAlias = Admit | TooLate | QueueFull


def expected_wait_s(queue: Queueing) -> float:
    """Return the expected time until a new request's turn.

    Under fair queueing a caller waits for its own backlog at its own
    share, and never longer than for the whole backlog.
    """
    capacity = max(queue.capacity, 1e-6)
    fair = queue.own_backlog_s / (capacity * max(queue.share, 1e-6))
    return min(fair, queue.backlog_s / capacity)


def admit(
    queue: Queueing, service_s: float, left_s: float
) -> AdmissionDecision:
    """Decide on a request that needs ``service_s`` within ``left_s``."""
    wait = expected_wait_s(queue)
    if queue.length >= queue.limit:
        return QueueFull(_retry_after(wait))
    expected = wait * queue.calibration + service_s
    usable = left_s * (1 - MARGIN)
    if expected > usable:
        return TooLate(expected, _retry_after(expected - usable))
    return Admit(wait)


def comes_too_late(expected_s: float, patience_s: float) -> float | None:
    """Return after how long to come back; ``None`` to go on now.

    Pattern answered: long prompts arrive faster than they are processed.
    All of them would wait until their callers give up; some are sent back
    at once instead, so that the others come in time.
    """
    if expected_s <= patience_s * PATIENCE_USED:
        return None
    return _retry_after(expected_s - patience_s)


def still_worthwhile(service_s: float, left_s: float) -> bool:
    """Return whether a request that has waited can still be answered."""
    return service_s <= left_s


def _retry_after(seconds: float) -> float:
    """Return a time within the bounds."""
    return min(RETRY_MAX_S, max(RETRY_MIN_S, seconds))
