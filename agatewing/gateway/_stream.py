"""One stream: its engines, from the choice to the last event."""

import dataclasses
import logging

import gevent

from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _machines
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _relay
from agatewing.gateway import _sender

_log = logging.getLogger("agatewing.stream")

#: Class of all prompts of 8,192 tokens and more at engines. Short prompts
#: pass long ones, but among long ones the first goes first: with a class of
#: its own the longest tenth waited until its callers gave up. From 4,096
#: tokens on, the longest prompts of routes with little patience would wait
#: behind those of routes with much (both seen on tala-ops).
LEAST_URGENT = 5
#: Time for which another engine with room is waited for, and between two
#: looks, in seconds: an eighth of a caller's patience, and ten steps.
REROUTE_S = 0.4
REROUTE_PERIOD_S = 0.04
#: Time for freeing a KV cache that nobody fetched, in seconds.
RELEASE_S = 1.0


def urgency_of(tokens: int) -> int:
    """Return the class at an engine of a prompt of so much work."""
    return min(LEAST_URGENT, decisions.priority_class(tokens))


class Stream:
    """One stream, from the choice of an engine to its last event."""

    __slots__ = (
        "_parts",
        "_job",
        "_pool",
        "_work",
        "_relay",
        "_held",
        "_prefilled_on",
    )

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
        self._relay = _relay.EventRelay(job, parts.clock, parts.sender)
        self._held: _messages.CacheHandle | None = None
        self._prefilled_on = ""

    def run(self, route: decisions.Route) -> None:
        """Send along the route, and along others while that is allowed."""
        try:
            machine = self._decoder(route)
            while not self._serve(machine):
                machine = self._next_machine()
        finally:
            self._release()

    def _decoder(self, route: decisions.Route) -> _machines.Machine:
        """Return the engine that decodes, after a split its prefill.

        A prefill can take seconds, so the engine that decodes is chosen
        anew after it. One that fails is asked of another engine.
        """
        while True:
            match route:
                case decisions.Single(engine=name):
                    return self._pool.engines.get(name) or self._choose()
                case decisions.Split(prefill=name):
                    apart = self._pool.engines.get(name)
                    if apart is not None and self._prefill(apart):
                        return self._choose()
            route = self._reroute()

    def _reroute(self) -> decisions.Route:
        """Return another route for the whole request.

        Engines that are full now are waited for, but only for a moment.
        """
        clock = self._parts.clock
        until = min(clock.monotonic() + REROUTE_S, self._job.deadline)
        while True:
            self._pool.refresh(clock.monotonic())
            route = self._pool.router.choose(
                self._work, self._pool.loads(), frozenset(self._job.avoid)
            )
            if route is not None:
                return route
            if clock.monotonic() >= until:
                raise _context.give_up(self._job, "no other engine has room")
            clock.sleep(REROUTE_PERIOD_S)

    def _choose(self) -> _machines.Machine:
        """Return another engine that decodes."""
        self._pool.refresh(self._parts.clock.monotonic())
        loads = [
            load
            for load in self._pool.loads()
            if load.role is not _types.Role.PREFILL
        ]
        left = self._work_left()
        # Where no memory is left, waiting with a KV cache in hand would only
        # hold memory at two engines.
        for work in (left, dataclasses.replace(left, fetched_tokens=0)):
            route = self._pool.router.choose(
                work, loads, frozenset(self._job.avoid)
            )
            if isinstance(route, decisions.Single):
                return self._pool.engines[route.engine]
        raise _context.give_up(self._job, "no engine that decodes is left")

    def _work_left(self) -> decisions.Work:
        """Return the work for an engine that decodes."""
        if self._held is None:
            return self._work
        work = self._work
        source = self._pool.engines.get(self._prefilled_on)
        return decisions.Work(
            0,
            work.output_tokens,
            work.zone,
            {},
            work.prompt_tokens,
            source_zone=source.target.zone if source is not None else "",
            cross_s=work.cross_s,
        )

    def _tokens_on(self, machine: _machines.Machine) -> int:
        return decisions.work_on(self._work, machine.load)

    def _facts(
        self, machine: _machines.Machine, prefill_only: bool
    ) -> _messages.SendFacts:
        left = self._job.deadline - self._parts.clock.monotonic()
        urgency = urgency_of(self._tokens_on(machine))
        last = None
        if self._relay.events:
            last = self._parts.dialect.last_event_id(self._relay.last_event)
        return _messages.SendFacts(
            machine.target.id,
            left,
            urgency,
            prefill_only,
            None if prefill_only else self._held,
            self._fetch_from(machine, prefill_only),
            last,
        )

    def _fetch_from(
        self, machine: _machines.Machine, prefill_only: bool
    ) -> str | None:
        """Return the address of an engine that has more of the prompt."""
        if self._held is not None and not prefill_only:
            return None
        if not decisions.fetch_gain(self._work, machine.load):
            return None
        source = self._pool.engines.get(self._work.source)
        return source.target.address if source is not None else None

    def _prefill(self, machine: _machines.Machine) -> bool:
        """Have the prompt processed apart; return whether it was.

        The KV cache's handle is kept.
        """
        clock = self._parts.clock
        meter = _meter.WorkMeter(machine, self._work, False, clock.monotonic())
        # Told before it is done: what shares its parts follows it there.
        self._note_parts(machine, meter.expected_s)
        try:
            outcome = self._prefill_on(machine, self._stall(meter))
            if self._held is not None:
                meter.processed(clock.monotonic())
        finally:
            meter.end()
        if self._held is not None:
            self._prefilled_on = machine.target.id
            self._note_parts(machine)
            return True
        self._after_prefill(machine, outcome)
        return False

    def _stall(self, meter: _meter.WorkMeter) -> _sender.Stall:
        """Return when an engine that gives no sign is left for another."""
        now = self._parts.clock.monotonic()
        return _sender.Stall(now + meter.stall_s, self._repeat_left)

    def _repeat_left(self) -> bool:
        now = self._parts.clock.monotonic()
        return self._parts.budget.left(self._job.service, now)

    def _prefill_on(
        self, machine: _machines.Machine, stall: _sender.Stall
    ) -> _messages.Outcome:
        sender = self._parts.sender
        begun = self._begin_prefill(machine, sender.most_idle_s(True), stall)
        if isinstance(begun, _messages.Unknown) and begun.stale:
            # A prompt may be processed twice; the target closed the
            # connection while it idled.
            self._job.arrived = True
            if _context.may_repeat(self._parts, self._job):
                begun = self._begin_prefill(machine, 0.0, stall)
        if not isinstance(begun, _sender.Begun):
            return begun
        outcome = sender.read_body(begun, machine, self._job.deadline)
        if isinstance(outcome, _messages.Answered):
            address = machine.target.address
            if outcome.head.status == 200:
                self._held = self._parts.dialect.handle(address, outcome.body)
            machine.note_answer()
        return outcome

    def _begin_prefill(
        self,
        machine: _machines.Machine,
        most_idle_s: float,
        stall: _sender.Stall,
    ) -> _sender.Beginning:
        return self._parts.sender.begin(
            machine,
            self._job.req,
            self._facts(machine, prefill_only=True),
            self._job.deadline,
            most_idle_s,
            stall,
        )

    def _after_prefill(
        self, machine: _machines.Machine, outcome: _messages.Outcome
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

    def _serve(self, machine: _machines.Machine) -> bool:
        """Send to one engine; return whether the stream is finished."""
        used_cache = self._held is not None
        now = self._parts.clock.monotonic()
        meter = _meter.WorkMeter(machine, self._work, used_cache, now)
        try:
            outcome = self._exchange(machine, meter)
        finally:
            meter.end()
        if isinstance(outcome, _messages.Answered):
            self._note_parts(machine)
            self._note_end(machine, outcome.head.status)
            return True
        self._after(machine, outcome, used_cache)
        return False

    def _exchange(
        self, machine: _machines.Machine, meter: _meter.WorkMeter
    ) -> _messages.Outcome:
        """Send and pass the answer on; return how it ended."""
        job = self._job
        facts = self._facts(machine, prefill_only=False)
        sender = self._parts.sender
        stall = None
        if job.attempts.idempotent and self._another_left():
            stall = self._stall(meter)
        begun = sender.begin(
            machine,
            job.req,
            facts,
            job.deadline,
            sender.most_idle_s(job.attempts.idempotent),
            stall,
        )
        if not isinstance(begun, _sender.Begun):
            return begun
        # The engine has taken the KV cache over.
        self._held = None
        return self._relay.pass_on(machine, begun, meter)

    def _another_left(self) -> bool:
        attempts = self._job.attempts
        return attempts.targets + 1 < attempts.max_targets

    def _note_parts(
        self, machine: _machines.Machine, ready_s: float = 0.0
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

    def _note_end(self, machine: _machines.Machine, status: int) -> None:
        first_s = self._relay.first_at - self._job.req.arrived_at
        self._parts.metrics.first_event_seconds.observe(
            {"kind": str(self._job.route.kind)}, max(0.0, first_s)
        )
        _context.note_answered(
            self._parts,
            self._job,
            machine.target.id,
            status,
            prefill=self._prefilled_on,
            tokens=self._work.prompt_tokens,
            cached=self._work.cached.get(
                self._prefilled_on or machine.target.id, 0
            ),
            events=self._relay.events,
            first_s=round(first_s, 4),
            pause_s=round(self._relay.longest_pause_s, 4),
        )

    def _after(
        self,
        machine: _machines.Machine,
        outcome: _messages.Outcome,
        used_cache: bool,
    ) -> None:
        """Make ready for another send, or raise the end."""
        match outcome:
            case _messages.TimedOut() | _messages.Unknown():
                machine.note_lost()
            case _messages.NotRun() if used_cache:
                self._note_cache_lost()
            case _messages.NotRun():
                machine.note_busy()
        _context.after_failure(
            self._parts,
            self._job,
            machine.target.id,
            outcome,
            used_cache,
            events=self._relay.events,
        )
        self._relay.restart()

    def _note_cache_lost(self) -> None:
        """Remember that a KV cache could not be fetched."""
        if self._held is None:
            return
        for machine in self._pool.engines.values():
            if machine.target.address == self._held.address:
                machine.note_cache_lost()
        self._release()

    def _next_machine(self) -> _machines.Machine:
        """Return the engine for another send, with a new KV cache or none.

        A prompt whose KV cache could not be fetched is processed apart once
        more where it does not fit beside streams.
        """
        if self._relay.events:
            return self._choose()
        route = self._reroute()
        again = isinstance(route, decisions.Split)
        if again and not _context.may_repeat(self._parts, self._job):
            # The send itself was paid for, a prefill before it was not.
            return self._choose()
        return self._decoder(route)

    def _release(self) -> None:
        """Free a KV cache that no engine fetched."""
        held, self._held = self._held, None
        if held is None:
            return
        for machine in self._pool.engines.values():
            if machine.target.address == held.address:
                gevent.spawn(self._release_on, machine, held)

    def _release_on(
        self, machine: _machines.Machine, held: _messages.CacheHandle
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
