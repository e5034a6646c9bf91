"""What every request's handler uses, and what it knows of one request."""

import collections
import dataclasses
import logging
import random

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _metrics
from agatewing import decisions
from agatewing import dispatch
from agatewing.gateway import _caller_conn
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _machines
from agatewing.gateway import _messages
from agatewing.gateway import _ports
from agatewing.gateway import _refusals
from agatewing.gateway import _sender

_log = logging.getLogger("agatewing.request")

#: Time before the caller's deadline at which the final answer is given, in
#: seconds: twice the longest way to a caller of today (3 ms) and a wake-up.
ANSWER_MARGIN_S = 0.015


@dataclasses.dataclass(slots=True)
class Parts:
    """What handlers share."""

    #: The clock.
    clock: _clock.Clock
    #: Random numbers.
    rng: random.Random
    #: The platform's headers.
    dialect: _ports.Dialect
    #: Configuration and targets.
    catalog: _catalog.Catalog
    #: Targets with their connections.
    machines: _machines.Machines
    #: Sends to targets.
    sender: _sender.Sender
    #: Budget of repeats.
    budget: decisions.SharedRetryBudget
    #: Queue before the engines.
    dispatcher: dispatch.Dispatcher
    #: Shared parts of prompts and where they are.
    index: decisions.PartIndex
    #: Availability zone of the instance.
    zone: str
    #: Answers of targets by status.
    answers: collections.Counter[str]
    #: Histograms of times.
    metrics: _metrics.Metrics


@dataclasses.dataclass(slots=True)
class Job:
    """One request on its way."""

    #: What the caller asked.
    req: _messages.CallerRequest
    #: Where the answer goes.
    conn: _caller_conn.CallerConn
    #: Its route.
    route: _contracts.Route
    #: Service drawn for it.
    service: str
    #: Monotonic time of the final answer at the latest.
    deadline: float
    #: Sends so far.
    attempts: decisions.Attempts
    #: Targets that are not asked again.
    avoid: set[str] = dataclasses.field(default_factory=set)
    #: Whether it reached a target, so that another send is a repeat.
    arrived: bool = False


def note(job: Job, event: str, **fields: object) -> None:
    """Log one decision about a request."""
    _log.info(
        "request: %s",
        event,
        extra={
            "request": job.req.id,
            "route": job.route.name,
            "service": job.service,
            **fields,
        },
    )


def note_answered(
    parts: Parts, job: Job, target: str, status: int, **fields: object
) -> None:
    """Count, time and log an answer of a target that was passed on."""
    parts.answers[str(status)] += 1
    taken_s = parts.clock.monotonic() - job.req.arrived_at
    parts.metrics.answer_seconds.observe(
        {"kind": str(job.route.kind)}, taken_s
    )
    note(
        job,
        "answered",
        target=target,
        status=status,
        taken_s=round(taken_s, 4),
        **fields,
    )


def may_repeat(parts: Parts, job: Job) -> bool:
    """Spend one repeat of the budget, if something arrived before."""
    if not job.arrived:
        return True
    now = parts.clock.monotonic()
    return parts.budget.take(job.service, now)


def give_up(job: Job, reason: str) -> _refusals.GatewayRefusedError:
    """Return the truthful end of a request without an answer."""
    if job.attempts.maybe_ran:
        return _refusals.GatewayRefusedError(_refusals.unknown(reason))
    return _refusals.GatewayRefusedError(_refusals.busy(reason))


def after_failure(
    parts: Parts,
    job: Job,
    target: str,
    outcome: _messages.Outcome,
    used_cache: bool = False,
    **fields: object,
) -> None:
    """Make ready for another send, or raise the end of the request.

    ``used_cache`` says whether the send named a KV cache to fetch.
    """
    failure, reason = _failure_of(outcome)
    step = job.attempts.after(failure, used_cache)
    note(
        job,
        "send failed",
        target=target,
        failure=str(failure),
        reason=reason,
        next=str(step),
        **fields,
    )
    if step is not decisions.Next.ANOTHER_FREE:
        job.arrived = True
    if step is not decisions.Next.SAME_WITHOUT_CACHE:
        job.avoid.add(target)
    if parts.clock.monotonic() >= job.deadline:
        raise _out_of_time(job, reason)
    if step in (decisions.Next.FAIL, decisions.Next.REFUSE):
        raise give_up(job, reason)
    if not may_repeat(parts, job):
        raise give_up(job, f"{reason}; no retry is left")


def _failure_of(
    outcome: _messages.Outcome,
) -> tuple[decisions.Failure, str]:
    """Return the kind of a failure and its reason."""
    match outcome:
        case _messages.NotSent(reason=reason):
            return decisions.Failure.NOT_SENT, reason
        case _messages.NotRun(reason=reason):
            return decisions.Failure.NOT_RUN, reason
        case _messages.TimedOut(reason=reason):
            return decisions.Failure.OVERDUE, reason
        case _messages.Unknown(reason=reason):
            return decisions.Failure.UNKNOWN, reason
    raise AssertionError("an answer is no failure")


def _out_of_time(job: Job, reason: str) -> _refusals.GatewayRefusedError:
    """Return the end of a request whose time is over."""
    if job.attempts.maybe_ran:
        return _refusals.GatewayRefusedError(_refusals.timed_out(reason))
    return _refusals.GatewayRefusedError(_refusals.busy(reason))


def from_core(
    exc: _exceptions.RefusedError,
) -> _refusals.GatewayRefusedError:
    """Return the gateway's form of a refusal by the dispatcher."""
    refusal = exc.refusal
    return _refusals.GatewayRefusedError(
        _refusals.GatewayRefusal(
            503, refusal.kind, refusal.detail, refusal.retry_after_s
        )
    )
