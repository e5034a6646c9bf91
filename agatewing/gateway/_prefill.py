"""Has the prompt of a stream processed apart, and keeps its KV cache."""

import logging

import gevent

from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _machine
from agatewing.gateway import _machines
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _sender

_log = logging.getLogger("agatewing.stream")

#: Class of all prompts of 8,192 tokens and more at engines. Short prompts
#: pass long ones, but among long ones the first goes first: with a class of
#: its own the longest tenth waited until its callers gave up. From 4,096
#: tokens on, the longest prompts of routes with little patience would wait
#: behind those of routes with much (both seen on tala-ops).
LEAST_URGENT = 5
#: Time for freeing a KV cache that nobody fetched, in seconds.
RELEASE_S = 1.0


def urgency_of(tokens: int) -> int:
    """Return the class at an engine of a prompt of so much work."""
    return min(LEAST_URGENT, decisions.priority_class(tokens))


class Prefill:
    """The prompt of one stream, and the KV cache that was made of it."""

    __slots__ = ("_parts", "_job", "_pool", "_work", "held", "engine")

    def __init__(
        self,
        parts: _context.Parts,
        job: _context.Job,
        pool: _machines.Pool,
        work: decisions.Work,
    ) -> None:
        self._parts = parts
        self._job = job
        self._pool = pool
        self._work = work
        #: KV cache that no engine has fetched; ``None`` if there is none.
        self.held: _messages.CacheHandle | None = None
        #: Engine that processed the prompt; empty if none did.
        self.engine = ""

    @property
    def maker(self) -> _machine.Machine | None:
        """Engine that made the KV cache; ``None`` if it is gone."""
        return self._pool.engines.get(self.engine)

    def ask(self, machine: _machine.Machine) -> bool:
        """Have the prompt processed apart; return whether it was.

        The KV cache's handle is kept.
        """
        clock = self._parts.clock
        meter = _meter.WorkMeter(machine, self._work, False, clock.monotonic())
        # Told before it is done: what shares its parts follows it there.
        self.note_parts(machine, meter.expected_s)
        try:
            outcome = self._send(machine, self.stall(meter))
            if self.held is not None:
                meter.processed(clock.monotonic())
        finally:
            meter.end()
        if self.held is not None:
            self.engine = machine.target.id
            self.note_parts(machine)
            return True
        self._after(machine, outcome)
        return False

    def _send(
        self, machine: _machine.Machine, stall: _sender.Stall
    ) -> _messages.Outcome:
        sender = self._parts.sender
        begun = self._begin(machine, sender.most_idle_s(True), stall)
        if isinstance(begun, _messages.Unknown) and begun.stale:
            # A prompt may be processed twice; the target closed the
            # connection while it idled.
            self._job.arrived = True
            if _context.may_repeat(self._parts, self._job):
                begun = self._begin(machine, 0.0, stall)
        if not isinstance(begun, _sender.Begun):
            return begun
        outcome = sender.read_body(begun, machine, self._job.deadline)
        if isinstance(outcome, _messages.Answered):
            address = machine.target.address
            if outcome.head.status == 200:
                self.held = self._parts.dialect.handle(address, outcome.body)
            machine.note_answer()
        return outcome

    def _begin(
        self,
        machine: _machine.Machine,
        most_idle_s: float,
        stall: _sender.Stall,
    ) -> _sender.Beginning:
        return self._parts.sender.begin(
            machine,
            self._job.req,
            self.facts(machine, prefill_only=True),
            self._job.deadline,
            most_idle_s,
            stall,
        )

    def _after(
        self, machine: _machine.Machine, outcome: _messages.Outcome
    ) -> None:
        """Make ready for another engine, or raise the end.

        A prefill runs nothing, so it may be repeated within the budget; it
        does not count as a target to which the request was sent.
        """
        job = self._job
        job.avoid.add(machine.target.id)
        if job.req.prompt is not None:
            self._parts.index.drop(
                machine.target.id, job.req.prompt.sized_parts
            )
        reason = "the prefill failed"
        _context.note(
            job, reason, target=machine.target.id, outcome=str(outcome)
        )
        match outcome:
            case _messages.NotSent():
                pass
            case _messages.NotRun():
                job.arrived = True
                machine.note_busy()
            case _:
                job.arrived = True
                machine.note_lost()
        if self._parts.clock.monotonic() >= job.deadline:
            raise _context.give_up(job, f"{reason}; no time is left")
        if not _context.may_repeat(self._parts, job):
            raise _context.give_up(job, f"{reason}; no retry is left")

    def facts(
        self,
        machine: _machine.Machine,
        prefill_only: bool,
        last_event_id: bytes | None = None,
    ) -> _messages.SendFacts:
        """Return what a target is told beside the request itself."""
        left = self._job.deadline - self._parts.clock.monotonic()
        urgency = urgency_of(decisions.work_on(self._work, machine.load))
        return _messages.SendFacts(
            machine.target.id,
            left,
            urgency,
            prefill_only,
            None if prefill_only else self.held,
            self._fetch_from(machine, prefill_only),
            last_event_id,
        )

    def _fetch_from(
        self, machine: _machine.Machine, prefill_only: bool
    ) -> str | None:
        """Return the address of an engine that has more of the prompt."""
        if self.held is not None and not prefill_only:
            return None
        if not decisions.fetch_gain(self._work, machine.load):
            return None
        source = self._pool.engines.get(self._work.source)
        return source.target.address if source is not None else None

    def stall(self, meter: _meter.WorkMeter) -> _sender.Stall:
        """Return when an engine that gives no sign is left for another."""
        now = self._parts.clock.monotonic()
        return _sender.Stall(now + meter.stall_s, self._repeat_left)

    def _repeat_left(self) -> bool:
        now = self._parts.clock.monotonic()
        return self._parts.budget.left(self._job.service, now)

    def note_parts(
        self, machine: _machine.Machine, ready_s: float = 0.0
    ) -> None:
        """Remember that the engine has the prompt, or will have it."""
        prompt = self._job.req.prompt
        if prompt is not None:
            self._parts.index.add(
                machine.target.id,
                prompt.sized_parts,
                self._parts.clock.monotonic(),
                ready_s,
            )

    def note_lost(self) -> None:
        """Remember that the KV cache could not be fetched, and drop it."""
        if self.maker is not None:
            self.maker.note_cache_lost()
        self.release()

    def note_fetched(self) -> None:
        """Remember that another engine has taken the KV cache over."""
        if self.held is not None and self.maker is not None:
            self.maker.note_cache_fetched()
        self.held = None

    def release(self) -> None:
        """Free a KV cache that no engine fetched."""
        held, self.held = self.held, None
        if held is not None and self.maker is not None:
            gevent.spawn(self._release_on, self.maker, held)

    def _release_on(
        self, machine: _machine.Machine, held: _messages.CacheHandle
    ) -> None:
        outgoing = self._parts.dialect.release(held)
        try:
            self._parts.sender.call(machine, outgoing, RELEASE_S)
        except (
            _channel.ConnectError,
            _channel.BrokenError,
            _channel.OverdueError,
        ) as exc:
            # The engine frees it by itself once its time is over.
            _log.info("stream: KV cache not freed: %s", exc)
