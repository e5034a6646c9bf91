"""Forwards requests to plain services; answers are sent in one piece."""

from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _refusals
from agatewing.gateway import _sender
from agatewing.gateway import _tracked_target

#: Share of the remaining time that a send may use while another target may
#: still be tried after it.
FIRST_TRY_SHARE = 0.5


class PlainForwarder:
    """Handler of requests to plain services."""

    __slots__ = ("_ctx",)

    def __init__(self, ctx: _context.HandlerContext) -> None:
        self._ctx = ctx

    def handle(self, job: _context.Job) -> None:
        """Answer one request; raise ``GatewayRefusedError`` if refused."""
        while True:
            _context.check_quarantine(self._ctx, job)
            tracked = self._pick(job)
            outcome = self._send(job, tracked)
            if isinstance(outcome, _messages.Answered):
                if self._prepare_error_retry(job, outcome):
                    job.excluded.add(tracked.target.id)
                    continue
                self._forward(job, outcome, tracked)
                return
            check = self._ctx.quarantine.check_break(
                job.req, tracked.target, outcome
            )
            _context.prepare_retry(self._ctx, job, tracked.target.id, outcome)
            _context.await_check(self._ctx, job, check)

    def _pick(self, job: _context.Job) -> _tracked_target.TrackedTarget:
        pool = self._ctx.registry.pools.get(job.service)
        now = self._ctx.clock.monotonic()
        usable = pool.usable(job.excluded, now) if pool else []
        limited = [t for t in usable if not t.may_get()]
        usable = [t for t in usable if t not in limited]
        if limited and not usable:
            raise self._limit_error(job, limited)
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
        self, job: _context.Job, limited: list[_tracked_target.TrackedTarget]
    ) -> _refusals.GatewayRefusedError:
        """Return the error if all targets that are left name a limit."""
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
        self, job: _context.Job, tracked: _tracked_target.TrackedTarget
    ) -> _messages.Outcome:
        clock = self._ctx.clock
        now = clock.monotonic()
        send_deadline = job.deadline
        if job.attempts.idempotent and job.attempts.another_left:
            send_deadline = now + (job.deadline - now) * FIRST_TRY_SHARE
        options = _messages.SendOptions(tracked.target.id, job.deadline - now)
        tracked.in_flight += 1
        try:
            sender = self._ctx.sender
            result = sender.send_request(
                tracked,
                job.req,
                options,
                send_deadline,
                sender.max_idle_s(job.attempts.idempotent),
            )
            if not isinstance(result, _sender.AnswerStarted):
                self._record_duration(job, tracked, result, now)
                return result
            outcome = self._ctx.sender.read_body(
                result, tracked, send_deadline
            )
        finally:
            tracked.in_flight -= 1
        self._record_duration(job, tracked, outcome, now)
        return outcome

    def _record_duration(
        self,
        job: _context.Job,
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
        objective = job.route.objective_s
        tracked.slowness.observe(duration_s / max(objective, 1e-3), now)
        tracked.record_answer()

    def _prepare_error_retry(
        self, job: _context.Job, answer: _messages.Answered
    ) -> bool:
        """Return whether a 5xx answer is retried on another target.

        If it is, one retry of the budget is spent and the send is counted.
        """
        if answer.head.status < 500 or not job.attempts.idempotent:
            return False
        job.reached_target = True
        if not job.attempts.another_left:
            return False
        remaining_s = job.deadline - self._ctx.clock.monotonic()
        if remaining_s < job.route.objective_s / 2:
            return False
        if not _context.spend_retry(self._ctx, job):
            return False
        job.attempts.targets += 1
        job.attempts.maybe_ran = True
        return True

    def _forward(
        self,
        job: _context.Job,
        answer: _messages.Answered,
        tracked: _tracked_target.TrackedTarget,
    ) -> None:
        fields = without_content_length(answer.head.headers)
        job.conn.answer(answer.head.status, fields, answer.body)
        _context.record_answer(self._ctx, job, tracked.target.id, answer.head)


def without_content_length(
    headers: _messages.Headers,
) -> list[tuple[bytes, bytes]]:
    """Return headers without Content-Length, which is set again."""
    return [(k, v) for k, v in headers if k.lower() != b"content-length"]
