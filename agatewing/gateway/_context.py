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
    #: Requests that reached a target, for the budget.
    arrivals: int = 0


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
    if job.arrivals == 0:
        return True
    now = parts.clock.monotonic()
    return parts.budget.take(job.service, now)


def give_up(job: Job, reason: str) -> _refusals.GatewayRefusedError:
    """Return the truthful end of a request without an answer."""
    if job.attempts.maybe_ran:
        return _refusals.GatewayRefusedError(_refusals.unknown(reason))
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
