"""Forwards a request whose answer is passed on in one piece."""

from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _machine
from agatewing.gateway import _messages
from agatewing.gateway import _refusals
from agatewing.gateway import _sender

#: Share of the time left that a send gets while another may follow.
FIRST_TRY_SHARE = 0.5


class PlainForwarder:
    """Handles requests to plain services."""

    __slots__ = ("_parts",)

    def __init__(self, parts: _context.Parts) -> None:
        self._parts = parts

    def handle(self, job: _context.Job) -> None:
        """Answer one request; raises its refusal."""
        while True:
            machine = self._pick(job)
            outcome = self._send(job, machine)
            if isinstance(outcome, _messages.Answered):
                if self._worth_another(job, outcome):
                    job.avoid.add(machine.target.id)
                    continue
                self._pass_on(job, outcome, machine)
                return
            _context.after_failure(
                self._parts, job, machine.target.id, outcome
            )

    def _pick(self, job: _context.Job) -> _machine.Machine:
        pool = self._parts.machines.pools.get(job.service)
        now = self._parts.clock.monotonic()
        usable = pool.usable(job.avoid, now) if pool else []
        if not usable:
            if job.attempts.maybe_ran:
                raise _context.give_up(job, "no other target is left")
            raise _refusals.GatewayRefusedError(
                _refusals.no_target(
                    job.service,
                    bool(pool and pool.engines),
                    self._parts.rng,
                )
            )
        loads = [
            decisions.TargetLoad(
                machine.target.id,
                machine.target.slots,
                machine.in_flight,
                machine.pace.current(now) * machine.losses.current(now),
                machine.target.zone == self._parts.zone,
            )
            for machine in usable
        ]
        chosen = decisions.choose_target(loads, self._parts.rng)
        return next(m for m in usable if m.target.id == chosen)

    def _send(
        self, job: _context.Job, machine: _machine.Machine
    ) -> _messages.Outcome:
        clock = self._parts.clock
        now = clock.monotonic()
        until = job.deadline
        if job.attempts.idempotent and job.attempts.another_left:
            until = now + (job.deadline - now) * FIRST_TRY_SHARE
        facts = _messages.SendFacts(machine.target.id, job.deadline - now)
        machine.in_flight += 1
        try:
            sender = self._parts.sender
            begun = sender.begin(
                machine,
                job.req,
                facts,
                until,
                sender.most_idle_s(job.attempts.idempotent),
            )
            if not isinstance(begun, _sender.Begun):
                self._note_pace(job, machine, begun, now)
                return begun
            outcome = self._parts.sender.read_body(begun, machine, until)
        finally:
            machine.in_flight -= 1
        self._note_pace(job, machine, outcome, now)
        return outcome

    def _note_pace(
        self,
        job: _context.Job,
        machine: _machine.Machine,
        outcome: _messages.Outcome,
        started_at: float,
    ) -> None:
        """Learn how fast the target is, against the route's objective."""
        if isinstance(outcome, _messages.NotSent | _messages.NotRun):
            return
        if not isinstance(outcome, _messages.Answered):
            machine.note_lost()
            return
        now = self._parts.clock.monotonic()
        taken = now - started_at
        objective = job.route.objective_s
        machine.pace.observe(taken / max(objective, 1e-3), now)
        machine.note_answer()

    def _worth_another(
        self, job: _context.Job, answer: _messages.Answered
    ) -> bool:
        """Return whether a failure that may be repeated is sent again."""
        if answer.head.status < 500 or not job.attempts.idempotent:
            return False
        job.arrived = True
        if not job.attempts.another_left:
            return False
        left = job.deadline - self._parts.clock.monotonic()
        if left < job.route.objective_s / 2:
            return False
        if not _context.may_repeat(self._parts, job):
            return False
        job.attempts.targets += 1
        job.attempts.maybe_ran = True
        return True

    def _pass_on(
        self,
        job: _context.Job,
        answer: _messages.Answered,
        machine: _machine.Machine,
    ) -> None:
        fields = without_length(answer.head.headers)
        job.conn.answer(answer.head.status, fields, answer.body)
        _context.note_answered(
            self._parts, job, machine.target.id, answer.head.status
        )


def without_length(
    headers: _messages.Headers,
) -> list[tuple[bytes, bytes]]:
    """Return headers without the length, which is set anew."""
    return [(k, v) for k, v in headers if k.lower() != b"content-length"]
