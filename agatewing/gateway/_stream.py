"""One stream: its engines, from the choice to the last event."""

import collections.abc
import dataclasses

from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _machine
from agatewing.gateway import _machines
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _prefill
from agatewing.gateway import _relay
from agatewing.gateway import _sender

#: Time for which another engine with room is waited for, and between two
#: looks, in seconds: an eighth of a caller's patience, and ten steps.
REROUTE_S = 0.4
REROUTE_PERIOD_S = 0.04


class Stream:
    """One stream, from the choice of an engine to its last event."""

    __slots__ = (
        "_parts",
        "_job",
        "_pool",
        "_work",
        "_relay",
        "_prefill",
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
        self._prefill = _prefill.Prefill(parts, job, pool, work)

    def run(self, route: decisions.Route) -> None:
        """Send along the route, and along others while that is allowed."""
        try:
            machine = self._decoder(route)
            while not self._serve(machine):
                machine = self._next_machine()
        finally:
            self._prefill.release()

    def _decoder(self, route: decisions.Route) -> _machine.Machine:
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
                    if apart is not None and self._prefill.ask(apart):
                        return self._choose()
            route = self._reroute()

    def _reroute(self) -> decisions.Route:
        """Return another route for the whole request."""
        for _ in self._moments():
            route = self._pool.router.choose(
                self._work, self._pool.loads(), frozenset(self._job.avoid)
            )
            if route is not None:
                return route
        raise _context.give_up(self._job, "no other engine has room")

    def _choose(self) -> _machine.Machine:
        """Return another engine that decodes."""
        for _ in self._moments():
            machine = self._find_decoder()
            if machine is not None:
                return machine
        raise _context.give_up(self._job, "no engine that decodes is left")

    def _moments(self) -> collections.abc.Iterator[None]:
        """Yield at once, and a few times more for engines that are full.

        What stays full longer is refused rather than held.
        """
        clock = self._parts.clock
        until = min(clock.monotonic() + REROUTE_S, self._job.deadline)
        while True:
            self._pool.refresh(clock.monotonic())
            yield
            if clock.monotonic() >= until:
                return
            clock.sleep(REROUTE_PERIOD_S)

    def _find_decoder(self) -> _machine.Machine | None:
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
        return None

    def _work_left(self) -> decisions.Work:
        """Return the work for an engine that decodes."""
        if self._prefill.held is None:
            return self._work
        work = self._work
        maker = self._prefill.maker
        return dataclasses.replace(
            work,
            prompt_tokens=0,
            cached={},
            fetched_tokens=work.prompt_tokens,
            source="",
            source_zone=maker.target.zone if maker is not None else "",
        )

    def _serve(self, machine: _machine.Machine) -> bool:
        """Send to one engine; return whether the stream is finished."""
        used_cache = self._prefill.held is not None
        now = self._parts.clock.monotonic()
        meter = _meter.WorkMeter(machine, self._work, used_cache, now)
        try:
            outcome = self._exchange(machine, meter)
        finally:
            meter.end()
        if isinstance(outcome, _messages.Answered):
            self._prefill.note_parts(machine)
            self._note_end(machine, outcome.head.status)
            return True
        self._after(machine, outcome, used_cache)
        return False

    def _exchange(
        self, machine: _machine.Machine, meter: _meter.WorkMeter
    ) -> _messages.Outcome:
        """Send and pass the answer on; return how it ended."""
        job = self._job
        last = None
        if self._relay.events:
            last = self._parts.dialect.last_event_id(self._relay.last_event)
        facts = self._prefill.facts(machine, False, last)
        sender = self._parts.sender
        stall = None
        if job.attempts.idempotent and job.attempts.another_left:
            stall = self._prefill.stall(meter)
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
        self._prefill.note_fetched()
        return self._relay.pass_on(machine, begun, meter)

    def _note_end(self, machine: _machine.Machine, status: int) -> None:
        first_s = self._relay.first_at - self._job.req.arrived_at
        self._parts.metrics.first_event_seconds.observe(
            {"kind": str(self._job.route.kind)}, max(0.0, first_s)
        )
        _context.note_answered(
            self._parts,
            self._job,
            machine.target.id,
            status,
            prefill=self._prefill.engine,
            tokens=self._work.prompt_tokens,
            cached=self._work.cached.get(
                self._prefill.engine or machine.target.id, 0
            ),
            events=self._relay.events,
            first_s=round(first_s, 4),
            pause_s=round(self._relay.longest_pause_s, 4),
        )

    def _after(
        self,
        machine: _machine.Machine,
        outcome: _messages.Outcome,
        used_cache: bool,
    ) -> None:
        """Make ready for another send, or raise the end."""
        match outcome:
            case _messages.TimedOut() | _messages.Unknown():
                machine.note_lost()
            case _messages.NotRun() if used_cache:
                if machine.crowded:
                    # More likely the engine is full than the cache gone.
                    machine.note_busy()
                self._prefill.note_lost()
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

    def _next_machine(self) -> _machine.Machine:
        """Return the engine for another send, with a new KV cache or none.

        A prompt whose KV cache could not be fetched is processed apart once
        more where it does not fit beside streams.
        """
        if self._relay.events or self._prefill.held is not None:
            return self._choose()
        route = self._reroute()
        again = isinstance(route, decisions.Split)
        if again and not _context.may_repeat(self._parts, self._job):
            # The send itself was paid for, a prefill before it was not.
            return self._choose()
        return self._decoder(route)
