"""Admission control: refuse requests that cannot meet their deadline."""

import dataclasses
import typing

#: Share of the time left to the deadline that is reserved for errors of the
#: estimate.
DEADLINE_MARGIN_SHARE = 0.1
#: A request is accepted if its first event is expected within this multiple of
#: its caller's patience. Above 1, because the estimate is too high whenever
#: the measured slowness of the engines is.
PATIENCE_FACTOR = 1.2
#: The same for the objective of a stream that has not begun. The estimate of
#: an engine's queue is too high by up to half.
ON_TIME_FACTOR = 1.5
#: Bounds of the retry delay that a refusal names, in seconds.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """State of the queue for a pool, as a new request of a caller sees it."""

    #: Queued cost of this caller, in engine seconds.
    own_backlog_s: float
    #: Queued cost of all callers, in engine seconds.
    backlog_s: float
    #: Share of the pool that this caller can expect, 0 to 1.
    share: float
    #: Engine seconds of work that the pool does per second for this
    #: instance.
    capacity: float
    #: Number of queued requests.
    length: int
    #: Largest number of queued requests.
    limit: int
    #: Ratio of measured to estimated duration; scales the expected wait.
    calibration: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The request may be queued."""

    #: Expected queueing time, in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TooLate:
    """The request cannot meet its deadline."""

    #: Expected time until the answer is complete, in seconds.
    expected_s: float
    #: Seconds after which a retry makes sense.
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFull:
    """The queue holds as many requests as it may."""

    #: Seconds after which a retry makes sense.
    retry_after_s: float


AdmissionDecision: typing.TypeAlias = Admit | TooLate | QueueFull


def expected_wait_s(queue: QueueState) -> float:
    """Return the expected queueing time of a new request, in seconds.

    Under fair queueing a caller waits until its own backlog is served at
    its share of the capacity, but never longer than the whole backlog
    takes.
    """
    capacity = max(queue.capacity, 1e-6)
    fair = queue.own_backlog_s / (capacity * max(queue.share, 1e-6))
    return min(fair, queue.backlog_s / capacity)


def admit(
    queue: QueueState, service_s: float, remaining_s: float
) -> AdmissionDecision:
    """Decide whether a request may be queued.

    The request takes ``service_s`` seconds on an engine and has
    ``remaining_s`` seconds until its deadline.
    """
    wait = expected_wait_s(queue)
    if queue.length >= queue.limit:
        return QueueFull(_bounded_retry_s(wait))
    total_s = wait * queue.calibration + service_s
    usable_s = remaining_s * (1 - DEADLINE_MARGIN_SHARE)
    if total_s > usable_s:
        return TooLate(total_s, _bounded_retry_s(total_s - usable_s))
    return Admit(wait)


def retry_delay_if_late(
    first_event_s: float, patience_s: float
) -> float | None:
    """Return the retry delay in seconds if a request must be refused.

    Its first event is expected after ``first_event_s`` seconds; ``None``
    means that this is soon enough. When long prompts arrive faster than
    engines process them, all of them would wait until their callers give
    up. Refusing some at once lets the others meet their deadlines.
    """
    if first_event_s <= patience_s * PATIENCE_FACTOR:
        return None
    return _bounded_retry_s(first_event_s - patience_s)


def retry_delay_if_overdue(
    first_event_s: float, alone_s: float, objective_s: float
) -> float | None:
    """Return the retry delay in seconds if a queue makes a prompt late.

    Its first event is expected in ``first_event_s`` seconds, with an engine of
    its own in ``alone_s``, and is on time within ``objective_s``. Without
    refusals, a surge makes all prompts late that come during it and until the
    queue has been worked off. Any prompt may wait for half of the time within
    which a short one is let in: otherwise the largest ones, which take most of
    it by themselves, are hardly served.
    """
    limit_s = ON_TIME_FACTOR * objective_s
    limit_s = max(limit_s, alone_s + limit_s / 2)
    if first_event_s <= limit_s:
        return None
    return _bounded_retry_s(first_event_s - limit_s)


def can_meet_deadline(service_s: float, remaining_s: float) -> bool:
    """Return whether a queued request can still meet its deadline.

    It takes ``service_s`` seconds on an engine and has ``remaining_s``
    seconds until its deadline.
    """
    return service_s <= remaining_s


def _bounded_retry_s(seconds: float) -> float:
    """Return a retry delay limited to the bounds, in seconds."""
    return min(RETRY_MAX_S, max(RETRY_MIN_S, seconds))
