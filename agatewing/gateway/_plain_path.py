"""One path of a request to a plain service: one target after the other."""

import collections.abc
import dataclasses
import typing

import gevent

from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _race
from agatewing.gateway import _refusals
from agatewing.gateway import _sender
from agatewing.gateway import _tracked_target

#: Share of the remaining time after which a target counts as silent, so that
#: another one may be tried beside it.
SILENT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """Whole answer of a target."""

    #: The answer.
    answer: _messages.Answered
    #: Where it comes from.
    source: _messages.AnswerSource


class PlainWay(_race.Path, typing.Protocol):
    """One way to the answer of a plain service."""

    @property
    def counted(self) -> bool:
        """Whether the targets that may have the request were counted."""

    def next(self) -> Delivery:
        """Return the answer."""

    def mark_silent(self) -> None:
        """Let another path try while this one is silent."""


class PlainPath:
    """Sends a request; retries as long as it is the only path."""

    __slots__ = (
        "_ctx",
        "_job",
        "_race",
        "_keep",
        "_hedge",
        "_tracked",
        "_silent",
        "_closed",
        "_counted",
        "_silent_at",
        "_waits_since",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        race: "_race.Race[PlainWay]",
        keep: collections.abc.Callable[[Delivery], None],
        hedge: bool,
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._race = race
        # Called with an error answer that is not forwarded while another
        # target is awaited.
        self._keep = keep
        # Whether it was opened beside a silent path and has sent nothing.
        self._hedge = hedge
        # Target that is awaited; ``None`` if there is none.
        self._tracked: _tracked_target.TrackedTarget | None = None
        # Whether the target that is awaited is silent.
        self._silent = False
        self._closed = False
        # Whether the target that is awaited was counted.
        self._counted = False
        # Monotonic time at which it counts as silent, and of the beginning
        # of the wait, in seconds.
        self._silent_at = _race.NEVER
        self._waits_since = 0.0

    @property
    def counted(self) -> bool:
        """Whether the target that is awaited was counted."""
        return self._counted

    @property
    def silent_at(self) -> float:
        """Monotonic time at which it counts as silent, in seconds."""
        return _context.silent_at(
            self._ctx, self._job, self._waits_since, self._silent_at
        )

    def next(self) -> Delivery:
        """Return the answer.

        Raises :class:`GatewayRefusedError` if it fails while another path is
        open, or if no further send is allowed.
        """
        job = self._job
        while True:
            if self._closed:
                raise gevent.GreenletExit
            _context.check_quarantine(self._ctx, job, sending=False)
            _context.check_links(self._ctx, job)
            tracked = self._pick()
            if self._hedge and not _context.spend_retry(self._ctx, job):
                raise _context.give_up_error(job, "no retry is left")
            self._hedge = job.retry_paid = False
            _context.check_quarantine(self._ctx, job)
            outcome = self._send(tracked)
            counted, self._counted = self._counted, False
            others = self._race.others(self)
            if isinstance(outcome, _messages.Answered):
                source = _messages.AnswerSource(
                    tracked.target.id, tracked.target.software
                )
                delivery = Delivery(outcome, source)
                if outcome.head.status >= 500 and others:
                    self._keep(delivery)
                    if not counted:
                        job.attempts.record_silence()
                    raise _context.give_up_error(job, "the target failed")
                if prepare_error_retry(self._ctx, job, outcome, counted):
                    job.excluded.add(tracked.target.id)
                    # They hold its body, in no room by now.
                    del outcome, delivery
                    continue
                return delivery
            check = self._ctx.quarantine.check_break(
                job.req, tracked.target, outcome
            )
            if check is not None:
                job.check = check
            _context.prepare_retry(
                self._ctx,
                job,
                tracked.target.id,
                outcome,
                counted=counted,
                others=others,
            )
            _context.await_check(self._ctx, job, check)

    def _pick(self) -> _tracked_target.TrackedTarget:
        job = self._job
        pool = self._ctx.registry.pools.get(job.service)
        _context.check_back_offs(self._ctx, job)
        now = self._ctx.clock.monotonic()
        usable = pool.usable(job.excluded, now) if pool else []
        limited = [t for t in usable if not t.may_get()]
        usable = [t for t in usable if t not in limited]
        if limited and not usable:
            raise self._limit_error(limited)
        if not usable:
            if job.attempts.maybe_ran:
                raise _context.give_up_error(job, "no other target is left")
            raise _refusals.GatewayRefusedError(
                _refusals.no_target(
                    job.service,
                    bool(pool and pool.engines),
                    self._ctx.rng,
                )
            )
        loads = [
            decisions.TargetLoad(
                tracked.target.id,
                tracked.target.slots,
                tracked.in_flight,
                tracked.slowness.current(now)
                * tracked.loss_ratio.current(now),
                tracked.target.zone == self._ctx.zone,
            )
            for tracked in usable
        ]
        name = decisions.choose_target(loads, self._ctx.rng)
        chosen = next(t for t in usable if t.target.id == name)
        chosen.record_route()
        return chosen

    def _limit_error(
        self, limited: list[_tracked_target.TrackedTarget]
    ) -> _refusals.GatewayRefusedError:
        """Return the error if all targets that are left name a limit."""
        job = self._job
        reason = "the targets take no more requests now"
        if job.attempts.maybe_ran:
            return _context.give_up_error(job, reason)
        after_s = self._ctx.registry.limits.room_after_s(
            tracked.target for tracked in limited
        )
        if after_s is None:
            after_s = _refusals.NO_TARGET_RETRY_S
        return _refusals.GatewayRefusedError(
            _refusals.overloaded(
                reason, max(_refusals.OVERLOADED_RETRY_S, after_s)
            )
        )

    def _send(
        self, tracked: _tracked_target.TrackedTarget
    ) -> _messages.Outcome:
        job, sender = self._job, self._ctx.sender
        now = self._ctx.clock.monotonic()
        left_s = job.deadline - now
        options = _messages.SendOptions(
            tracked.target.id, left_s, identity=job.identity
        )
        tracked.in_flight += 1
        self._tracked = tracked
        if job.attempts.idempotent:
            self._expect(now + left_s * SILENT_SHARE)
        try:
            result = sender.send_request(
                tracked,
                job.req,
                options,
                job.deadline,
                sender.reuse(job.attempts.idempotent),
            )
            outcome: _messages.Outcome
            if isinstance(result, _sender.AnswerStarted):
                outcome = sender.read_body(result, tracked, job.deadline)
            else:
                outcome = result
        finally:
            tracked.in_flight -= 1
            self._tracked, self._silent = None, False
        self._expect(_race.NEVER)
        self._record_duration(tracked, outcome, now)
        if isinstance(outcome, _messages.Answered):
            _context.record_begun(self._ctx, job)
        else:
            _context.record_lost(self._ctx, job, outcome)
        return outcome

    def _expect(self, silent_at: float) -> None:
        """Set when the path counts as silent."""
        self._silent_at = silent_at
        self._waits_since = self._ctx.clock.monotonic()
        self._race.expect(silent_at)

    def mark_silent(self) -> None:
        """Let another path try while this one is silent."""
        if self._tracked is None or self._counted:
            return
        self._silent = self._counted = True
        self._job.reached_target = True
        self._job.excluded.add(self._tracked.target.id)
        self._job.attempts.record_silence()
        _context.log_event(
            self._job, "target silent", target=self._tracked.target.id
        )

    def record_loss(self) -> None:
        """Count a silent target's answer as lost: another one was faster."""
        if self._silent and self._tracked is not None:
            self._tracked.record_no_answer()

    def close(self) -> None:
        """Send nothing more; the connection closes with the greenlet."""
        self._closed = True

    def _record_duration(
        self,
        tracked: _tracked_target.TrackedTarget,
        outcome: _messages.Outcome,
        started_at: float,
    ) -> None:
        """Record the answer time relative to the route's objective.

        A 5xx answer counts like a successful one, an unknown outcome as a
        loss; a request that did not run is ignored.
        """
        if isinstance(outcome, _messages.NotSent | _messages.NotRun):
            return
        if not isinstance(outcome, _messages.Answered):
            tracked.record_no_answer()
            return
        now = self._ctx.clock.monotonic()
        duration_s = now - started_at
        objective = self._job.route.objective_s
        tracked.record_slowness(duration_s / max(objective, 1e-3))
        tracked.record_answer()


def prepare_error_retry(
    ctx: _context.HandlerContext,
    job: _context.Job,
    answer: _messages.Answered,
    counted: bool,
    targets: int = 1,
) -> bool:
    """Return whether a 5xx answer is retried on another target.

    If it is, one retry of the budget is spent and the send is counted as
    ``targets`` targets; ``counted`` says that it was while it was silent.
    """
    if answer.head.status < 500 or not job.attempts.idempotent:
        return False
    job.reached_target = True
    reached = job.attempts.targets + (0 if counted else targets)
    if reached >= job.attempts.max_targets:
        return False
    remaining_s = job.deadline - ctx.clock.monotonic()
    if remaining_s < job.route.objective_s / 2:
        return False
    if _context.back_off_s(ctx, job):
        return False
    if not _context.spend_retry(ctx, job):
        return False
    job.retry_paid = True
    job.attempts.targets = reached
    job.attempts.maybe_ran = True
    return True
