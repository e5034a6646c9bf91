"""Shared objects of the request handlers, and the state of a request."""

import collections
import collections.abc
import dataclasses
import logging
import random
import typing

import gevent

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _metrics
from agatewing import accounts
from agatewing import decisions
from agatewing import detour
from agatewing import dispatch
from agatewing.gateway import _account_use
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _messages
from agatewing.gateway import _ports
from agatewing.gateway import _quarantine
from agatewing.gateway import _refusals
from agatewing.gateway import _sender
from agatewing.gateway import _stream_directory
from agatewing.gateway import _target_registry
from agatewing.gateway import _urgency_use

_log = logging.getLogger("agatewing.request")

#: Margin between the gateway's deadline and the caller's, in seconds: twice
#: the longest network delay to a caller (3 ms) and one scheduler wake-up.
ANSWER_MARGIN_S = 0.015

#: Time without an answer after which a target counts as silent while this
#: instance does not reach it, in seconds. Open connections may still work.
LOST_SILENCE_S = 0.5
#: Time after which no further verdict on the links is awaited before a request
#: is refused, in seconds.
VERDICT_WAIT_S = 0.5
#: Least time from a send to its failure after which a target counts as having
#: run it, in seconds: a step of an engine and the way there and back.
#: Connections that were closed while they were idle break sooner.
LEAST_RUN_S = 0.01


@dataclasses.dataclass(slots=True)
class HandlerContext:
    """Objects that all request handlers share."""

    #: Clock of the process.
    clock: _clock.Clock
    #: Random number generator.
    rng: random.Random
    #: Translation between requests and the platform's headers.
    dialect: _ports.Dialect
    #: Configuration in force and published targets.
    catalog: _catalog.Catalog
    #: Targets with their connections.
    registry: _target_registry.TargetRegistry
    #: Sends requests to targets.
    sender: _sender.Sender
    #: Retry budget by service, shared by all instances.
    budget: decisions.SharedRetryBudget
    #: Admission and fair queue in front of the engines.
    dispatcher: dispatch.Dispatcher
    #: Prefix blocks that each engine has cached, as far as known.
    index: decisions.PlacementIndex
    #: Software versions that began recent streams.
    streams: _stream_directory.StreamDirectory
    #: Prefix blocks and requests on which targets crash.
    quarantine: _quarantine.Quarantine
    #: This instance's own paths to targets.
    links: detour.Links
    #: Requests that peers serve for this instance.
    detours: detour.Detours
    #: Availability zone of this instance.
    zone: str
    #: Number of forwarded answers by HTTP status.
    answers: collections.Counter[str]
    #: Number of forwarded answers by the target's framing.
    framings: collections.Counter[str]
    #: Histograms of answer times.
    metrics: _metrics.Metrics
    #: Counts requests by account, and those that begin.
    account_use: _account_use.AccountUse
    #: Counts requests for engines by urgency.
    urgency_use: _urgency_use.UrgencyUse


class AnswerConn(typing.Protocol):
    """Connection on which a request is answered."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent."""

    def start(
        self, status: int, headers: collections.abc.Iterable[typing.Any]
    ) -> None:
        """Send the head of an answer; its body follows by :meth:`write`."""

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def end(self) -> None:
        """Finish the answer."""

    def answer(
        self,
        status: int,
        headers: collections.abc.Iterable[typing.Any],
        body: bytes,
    ) -> None:
        """Send a whole answer."""


@dataclasses.dataclass(slots=True)
class Job:
    """State of one request in flight."""

    #: Request of the caller.
    req: _messages.CallerRequest
    #: Connection on which the caller is answered.
    conn: AnswerConn
    #: Route that matched the request.
    route: _contracts.Route
    #: Service chosen from the route's shares.
    service: str
    #: Monotonic time by which the caller is answered, in seconds.
    deadline: float
    #: Counts the targets that were reached and decides on the next send.
    attempts: decisions.Attempts
    #: Ids of the targets that this request is not sent to again.
    excluded: set[str] = dataclasses.field(default_factory=set)
    #: Those among them to which no connection could be opened.
    unreached: set[str] = dataclasses.field(default_factory=set)
    #: Whether a target has received it, so that another send is a retry.
    reached_target: bool = False
    #: Whether a target has received the request itself, not only a prefill.
    sent: bool = False
    #: Version of the configuration by which it was accepted.
    config_version: int = 0
    #: Number of complete events forwarded to the caller.
    events: int = 0
    #: Whether it waits for an engine with room.
    queued: bool = False
    #: Whether it is sent to find out if targets still crash on it.
    on_trial: bool = False
    #: Last check of a failed send: whether it crashed its engine.
    check: gevent.Greenlet | None = None
    #: Where the answer that is forwarded comes from; ``None`` before that.
    source: _messages.AnswerSource | None = None
    #: Whether a retry was spent for a send that has not begun.
    retry_paid: bool = False
    #: Whether no peer could serve it either.
    detours_over: bool = False
    #: Whether it was kept though no target was reached.
    kept: bool = False
    #: Who it counts as.
    identity: accounts.Identity = accounts.Unidentified()
    #: Whether a target was seen to have begun it.
    begun: bool = False
    #: Whether it exceeded the share of its account.
    over_share: bool = False
    #: What decided that it was refused for want of room, for the log.
    decided_by: dict[str, object] = dataclasses.field(default_factory=dict)

    @property
    def maybe_ran(self) -> bool:
        """Whether it may have run; a send that is under way counts."""
        return self.attempts.maybe_ran or not self.queued

    @property
    def account(self) -> accounts.Account | None:
        """Account that it counts for; ``None`` if for none."""
        identity = self.identity
        return identity if isinstance(identity, accounts.Account) else None

    @property
    def priority(self) -> int:
        """Rank among all requests; 0 is the most urgent.

        That of its account, or of its route if the account has none.
        """
        account = self.account
        if account is None or account.priority is None:
            return self.route.rank
        return account.priority

    def forget_unreached(self) -> None:
        """Allow another try at targets and peers that were not reached."""
        self.excluded -= self.unreached
        self.unreached.clear()
        self.detours_over = False
        self.kept = True


def log_event(job: Job, event: str, **fields: object) -> None:
    """Log an event of a request; ``fields`` go into the record's extra."""
    _log.info(
        "request: %s",
        event,
        extra={
            "request": job.req.id,
            "route": job.route.name,
            "service": job.service,
            **account_field(job),
            **fields,
        },
    )


def account_field(job: Job) -> dict[str, str]:
    """Return the field of log lines that names a request's account."""
    account = job.account
    return {"account": account.name} if account is not None else {}


def identify(
    ctx: HandlerContext, req: _messages.CallerRequest, public: bool
) -> accounts.Identity:
    """Return who a request counts as; raise if its key is of no account."""
    identity = ctx.catalog.accounts.identify(req.account_key, public)
    version = req.handed_on.config_version if req.handed_on else 0
    behind = version > ctx.catalog.config_version
    match identity:
        case accounts.Account() | accounts.Anonymous():
            return identity
        case accounts.Unidentified() if not (behind and req.account_key):
            return identity
        case accounts.Rejected() if not behind:
            ctx.account_use.rejected += 1
            raise _refusals.GatewayRefusedError(_refusals.unknown_key())
    # The key, or all accounts, may be of a version that is not read yet.
    raise _refusals.GatewayRefusedError(
        _refusals.not_ready(ctx.catalog.read_failed, ctx.rng)
    )


def check_account(ctx: HandlerContext, job: Job) -> None:
    """Raise if the key of a request was taken away before it was sent.

    Called before each send: the account may also have another name now. A
    stream that has begun goes on, as the configuration allowed it when it was
    sent.
    """
    if job.begun or job.conn.started:
        return
    identity = ctx.catalog.accounts.identify(
        job.req.account_key, job.route.public
    )
    match identity:
        case accounts.Rejected() if job.attempts.maybe_ran:
            raise give_up_error(job, "the key was taken away")
        case accounts.Rejected():
            ctx.account_use.rejected += 1
            raise _refusals.GatewayRefusedError(_refusals.unknown_key())
        case _:
            job.identity = identity


def record_begun(ctx: HandlerContext, job: Job) -> None:
    """Count a request that a target has begun to run, once.

    One that a peer has handed on counts there.
    """
    if job.begun:
        return
    job.begun = True
    if job.req.handed_on is None:
        ctx.account_use.record_begun(job.account)


def record_lost(
    ctx: HandlerContext, job: Job, outcome: _messages.Outcome
) -> None:
    """Count a run whose answer was lost before any of it came.

    That a target runs such a request is likely, though not certain. Each such
    run counts, besides the one that brings the answer.
    """
    match outcome:
        case _messages.Unknown(silent_s=run_s) if run_s >= LEAST_RUN_S:
            if job.req.handed_on is None:
                ctx.account_use.on_begun(job.account)


def record_answer(
    ctx: HandlerContext,
    job: Job,
    source: _messages.AnswerSource,
    head: _messages.AnswerHead,
    **fields: object,
) -> None:
    """Count, time and log a target's answer that was forwarded."""
    if head.status < 300:
        ctx.quarantine.record_served(job.req)
    ctx.answers[str(head.status)] += 1
    ctx.framings[str(head.framing)] += 1
    taken_s = ctx.clock.monotonic() - job.req.arrived_at
    ctx.metrics.answer_seconds.observe({"kind": str(job.route.kind)}, taken_s)
    log_event(
        job,
        "answered",
        target=source.target,
        via=source.via,
        status=head.status,
        framing=str(head.framing),
        taken_s=round(taken_s, 4),
        prefix=",".join(job.req.shared_blocks),
        fingerprint=_messages.hex_key(job.req.fingerprint),
        **fields,
    )


def spend_retry(ctx: HandlerContext, job: Job) -> bool:
    """Spend one retry of the budget; return whether the send is allowed.

    Sends cost nothing until one of them has reached a target.
    """
    if not job.reached_target:
        return True
    now = ctx.clock.monotonic()
    return ctx.budget.try_spend(job.service, now)


def may_hedge(ctx: HandlerContext, job: Job, uncounted: int) -> bool:
    """Return whether a request may be tried beside silent targets.

    ``uncounted`` is the number of targets that have the request and were not
    counted yet. Nothing is tried beside a trial, while a failed send may have
    crashed its engine, or after the deadline.
    """
    now = ctx.clock.monotonic()
    if job.on_trial or now >= job.deadline:
        return False
    if job.attempts.targets + uncounted >= job.attempts.max_targets:
        return False
    check = job.check
    if check is not None:
        if not check.ready():
            return False
        if not ctx.quarantine.may_be_sent_again(job.req, check):
            return False
    return ctx.budget.allows_retry(job.service, now)


def check_quarantine(
    ctx: HandlerContext, job: Job, sending: bool = True
) -> None:
    """Raise :class:`GatewayRefusedError` if targets would crash on a request.

    Called before each send, as that may become known at any time; also
    before a wait, then with ``sending`` ``False``. A trial waits here until
    the other instances have heard of it.
    """
    if sending:
        check_account(ctx, job)
    held = ctx.quarantine.find(job.req, job.on_trial)
    if held is None and sending and not job.on_trial:
        wait_s = ctx.quarantine.claim_trial(job.req)
        if wait_s:
            job.on_trial = True
            ctx.clock.sleep(wait_s)
            held = ctx.quarantine.find(job.req, job.on_trial)
    if held is None:
        if sending:
            ctx.quarantine.begin_trial(job.req)
        return
    match held:
        case _quarantine.HeldBlock(block=block):
            reason = f"engines crash on the prefix block {block}"
            remedy = "send a prompt without it"
        case _quarantine.HeldRequest():
            reason = "targets crash on this request"
            remedy = "do not repeat it unchanged"
    if job.attempts.maybe_ran:
        raise give_up_error(job, reason)
    raise _refusals.GatewayRefusedError(
        _refusals.quarantined(reason, remedy, held.left_s)
    )


def await_check(
    ctx: HandlerContext, job: Job, check: gevent.Greenlet | None
) -> None:
    """Raise :class:`GatewayRefusedError` if another target might crash.

    ``check`` is that of the send that failed.
    """
    if not ctx.quarantine.may_be_sent_again(job.req, check):
        raise give_up_error(job, "targets crashed on the request")


def check_back_offs(
    ctx: HandlerContext, job: Job, software: str | None = None
) -> None:
    """Raise :class:`GatewayRefusedError` while all targets back off.

    Called before a retry is spent, as none could be sent.
    """
    left_s = back_off_s(ctx, job, software)
    if not left_s:
        return
    if job.attempts.maybe_ran:
        raise give_up_error(job, "all targets want no requests now")
    raise _refusals.GatewayRefusedError(
        _refusals.targets_back_off(job.service, left_s, ctx.rng)
    )


def needs_detour(ctx: HandlerContext, job: Job) -> bool:
    """Return whether a request is handed on to a peer now.

    One that a peer has handed on is not: it takes one hop at most.
    """
    if job.req.handed_on is not None or job.detours_over:
        return False
    return ctx.detours.needed(job.service)


def check_links(ctx: HandlerContext, job: Job) -> None:
    """Raise :class:`GatewayRefusedError` if peers serve a request instead.

    Called before a target is chosen.
    """
    if needs_detour(ctx, job):
        raise give_up_error(job, "this instance does not reach the targets")


def silent_at(
    ctx: HandlerContext, job: Job, since: float, expected_at: float
) -> float:
    """Return the monotonic time at which a target counts as silent.

    That is ``expected_at``, or sooner while this instance does not reach it;
    ``since`` is the time at which it was sent to.
    """
    lost_at = since + LOST_SILENCE_S
    if lost_at < expected_at < float("inf") and needs_detour(ctx, job):
        return lost_at
    return expected_at


def may_go_on_at_peer(ctx: HandlerContext, job: Job) -> bool:
    """Return whether a peer may serve a request that failed here.

    Waits for a short time if targets were not reached and it is not known
    yet whether peers reach them.
    """
    attempts = job.attempts
    if attempts.maybe_ran and not attempts.idempotent:
        return False
    if attempts.targets >= attempts.max_targets:
        return False
    if job.req.handed_on is None and not job.detours_over:
        # Nothing may be known yet of links that have just failed.
        give_up_at = ctx.clock.monotonic() + VERDICT_WAIT_S
        for target in sorted(job.unreached):
            if ctx.links.await_verdict(job.service, target):
                break
            if ctx.clock.monotonic() >= give_up_at:
                break
    if ctx.clock.monotonic() >= job.deadline:
        return False
    return needs_detour(ctx, job)


def may_be_kept(ctx: HandlerContext, job: Job) -> bool:
    """Return whether a stream that has begun may be tried again later.

    That is, if it failed only as no target was reached, here or by a peer. A
    request of a peer is not kept: that peer keeps the stream itself.
    """
    attempts = job.attempts
    if not job.events or not attempts.idempotent or job.req.handed_on:
        return False
    if attempts.targets >= attempts.max_targets:
        return False
    if not ctx.quarantine.may_be_sent_again(job.req, job.check):
        return False
    return bool(job.unreached) or job.kept or ctx.links.lost(job.service)


def back_off_s(
    ctx: HandlerContext, job: Job, software: str | None = None
) -> float:
    """Return the time until a target takes requests again, in seconds.

    0 unless all of the service, or of its version ``software``, back off.
    """
    pool = ctx.registry.pools.get(job.service)
    if pool is None:
        return 0.0
    return pool.back_off_s(ctx.clock.monotonic(), software)


def give_up_error(job: Job, reason: str) -> _refusals.GatewayRefusedError:
    """Return the error for a request given up without an answer to forward.

    It says that the outcome is unknown if the request may have run.
    """
    if job.attempts.maybe_ran:
        return _refusals.GatewayRefusedError(_refusals.outcome_unknown(reason))
    return _refusals.GatewayRefusedError(_refusals.overloaded(reason))


def prepare_retry(
    ctx: HandlerContext,
    job: Job,
    target: str,
    outcome: _messages.Outcome,
    used_cache: bool = False,
    counted: bool = False,
    others: bool = False,
    **fields: object,
) -> None:
    """Update the state for another send, or raise the final refusal.

    ``used_cache`` says whether the target was to fetch a KV cache,
    ``counted`` whether it was counted while it was silent. Raises
    :class:`GatewayRefusedError` if the deadline has passed, no further send
    is allowed, or ``others`` are still awaited.
    """
    failure, reason = _failure_of(outcome)
    step = job.attempts.record_failure(failure, used_cache, counted)
    log_event(
        job,
        "send failed",
        target=target,
        failure=str(failure),
        reason=reason,
        next=str(step),
        prefix=",".join(job.req.shared_blocks),
        silent_s=_silent_s(outcome),
        connect_s=_connect_s(outcome),
        fingerprint=_messages.hex_key(job.req.fingerprint),
        **fields,
    )
    # The trial of a request ends with its send.
    job.on_trial = False
    if step is not decisions.NextStep.ANOTHER_FREE:
        job.reached_target = job.sent = True
    if step is not decisions.NextStep.SAME_WITHOUT_CACHE:
        job.excluded.add(target)
    if isinstance(outcome, _messages.NotSent):
        job.unreached.add(target)
    if ctx.clock.monotonic() >= job.deadline:
        raise deadline_error(job, reason)
    if not others:
        check_back_offs(ctx, job)
    if step in (decisions.NextStep.FAIL, decisions.NextStep.REFUSE):
        raise give_up_error(job, reason)
    if others:
        raise give_up_error(job, f"{reason}; another target is awaited")
    # What was paid for a send that reached no target pays for the next one.
    free = step is decisions.NextStep.ANOTHER_FREE
    if not free and not spend_retry(ctx, job):
        raise give_up_error(job, f"{reason}; no retry is left")
    job.retry_paid = job.reached_target


def _failure_of(
    outcome: _messages.Outcome,
) -> tuple[decisions.Failure, str]:
    """Return the kind of a failed outcome and its reason."""
    match outcome:
        case _messages.NotSent(reason=reason):
            return decisions.Failure.NOT_SENT, reason
        case _messages.NotRun(reason=reason):
            return decisions.Failure.NOT_RUN, reason
        case _messages.TimedOut(reason=reason):
            return decisions.Failure.OVERDUE, reason
        case _messages.Unknown(reason=reason):
            return decisions.Failure.UNKNOWN, reason
    raise AssertionError("outcome is an answer; pass only failed outcomes")


def _silent_s(outcome: _messages.Outcome) -> float | None:
    """Return how long the target was silent; ``None`` if that says nothing."""
    match outcome:
        case _messages.TimedOut() | _messages.Unknown():
            return round(outcome.silent_s, 3)
    return None


def _connect_s(outcome: _messages.Outcome) -> float | None:
    """Return how long a connection was awaited that failed, in seconds."""
    match outcome:
        case _messages.NotSent(connect_s=connect_s):
            return connect_s
    return None


def deadline_error(job: Job, reason: str) -> _refusals.GatewayRefusedError:
    """Return the error for a request whose deadline has passed."""
    if job.attempts.maybe_ran:
        return _refusals.GatewayRefusedError(_refusals.timed_out(reason))
    return _refusals.GatewayRefusedError(_refusals.overloaded(reason))


def dispatcher_refusal(
    exc: _exceptions.RefusedError,
) -> _refusals.GatewayRefusedError:
    """Convert a refusal of the dispatcher into the gateway's error."""
    refusal = exc.refusal
    return _refusals.GatewayRefusedError(
        _refusals.GatewayRefusal(
            503, refusal.kind, refusal.detail, refusal.retry_after_s
        )
    )
