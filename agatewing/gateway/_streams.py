"""Forwards a request whose answer is a stream of events."""

import logging

import gevent

from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _events
from agatewing.gateway import _machines
from agatewing.gateway import _messages
from agatewing.gateway import _plain
from agatewing.gateway import _refusals
from agatewing.gateway import _sender

_log = logging.getLogger("agatewing.stream")

#: Time for freeing a KV cache that nobody fetched, in seconds.
RELEASE_S = 1.0
#: Silence after which a stream that may be resumed is taken to another
#: engine, in seconds; callers give it up after two.
SILENCE_S = 1.5


class Account:
    """A route in the fair queue: no kind of request starves another."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: float = 1.0) -> None:
        self.name = name
        self.weight = weight


class StreamForwarder:
    """Handles requests for streams."""

    __slots__ = ("_parts",)

    def __init__(self, parts: _context.Parts) -> None:
        self._parts = parts

    def handle(self, job: _context.Job) -> None:
        """Answer one request; raises its refusal."""
        pool = self._parts.machines.pools.get(job.service)
        if pool is None or not pool.engines:
            raise _refusals.GatewayRefusedError(
                _refusals.no_target(job.service, False, self._parts.rng)
            )
        now = self._parts.clock.monotonic()
        self._parts.notes.add_up()
        pool.refresh(now)
        work = self._work(job, pool)
        try:
            route = self._parts.dispatcher.enter(
                pool, Account(job.route.name), work, job.deadline
            )
        except _exceptions.RefusedError as exc:
            raise _context.from_core(exc) from exc
        _Stream(self._parts, job, pool, work).run(route)

    def _work(self, job: _context.Job, pool: _machines.Pool) -> decisions.Work:
        """Return what the request asks of an engine."""
        prompt = job.req.prompt
        if prompt is None:
            return decisions.Work(0, 1, self._parts.zone)
        parts = [(part.id, part.tokens) for part in prompt.parts]
        now = self._parts.clock.monotonic()
        cached = self._parts.index.match(parts, now)
        cached = {n: t for n, t in cached.items() if n in pool.engines}
        shared = parts[:-1]
        homes = [
            name
            for name, machine in pool.engines.items()
            if machine.load.routable
            and machine.load.role is _types.Role.PREFILL
        ]
        home = decisions.home(shared, homes)
        if home is not None:
            tokens = sum(size for _, size in shared)
            cached[home] = max(tokens, cached.get(home, 0))
        return decisions.Work(
            prompt.tokens,
            max(1, prompt.max_output_tokens),
            self._parts.zone,
            cached,
        )


class _Stream:
    """One stream, from the choice of an engine to its last event."""

    __slots__ = (
        "_parts",
        "_job",
        "_pool",
        "_work",
        "_splitter",
        "_held",
        "_started_at",
        "_first_at",
        "_event_at",
        "_longest_pause_s",
        "_prefill_on_id",
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
        self._splitter = _events.EventSplitter()
        self._held: _messages.CacheHandle | None = None
        self._started_at = parts.clock.monotonic()
        self._first_at = 0.0
        self._event_at = 0.0
        self._longest_pause_s = 0.0
        self._prefill_on_id = ""

    def run(self, route: decisions.Route) -> None:
        """Send along the route, and along others while that is allowed."""
        try:
            machine = self._follow(route)
            while not self._serve(machine):
                machine = self._next_machine(machine)
        finally:
            self._release()

    def _follow(self, route: decisions.Route) -> _machines.Machine:
        """Return the engine that decodes, after a split its prefill.

        A prefill can take seconds, so the engine that decodes is chosen
        anew after it.
        """
        match route:
            case decisions.Single(engine=name):
                return self._pool.engines.get(name) or self._choose()
            case decisions.Split(prefill=name):
                apart = self._pool.engines.get(name)
                if apart is not None:
                    self._prefill(apart)
        return self._choose()

    def _choose(self) -> _machines.Machine:
        """Return another engine that decodes."""
        self._pool.refresh(self._parts.clock.monotonic())
        loads = [
            load
            for load in self._pool.loads()
            if load.role is not _types.Role.PREFILL
        ]
        route = self._pool.router.choose(
            self._work_left(), loads, frozenset(self._job.avoid)
        )
        if isinstance(route, decisions.Single):
            return self._pool.engines[route.engine]
        raise _context.give_up(self._job, "no engine that decodes is left")

    def _work_left(self) -> decisions.Work:
        """Return the work for an engine that decodes."""
        if self._held is None:
            return self._work
        return decisions.Work(0, self._work.output_tokens, self._work.zone, {})

    def _tokens_on(self, machine: _machines.Machine) -> int:
        return decisions.work_on(self._work, machine.load)

    def _facts(
        self, machine: _machines.Machine, prefill_only: bool
    ) -> _messages.SendFacts:
        left = self._job.deadline - self._parts.clock.monotonic()
        urgency = decisions.priority_class(self._tokens_on(machine))
        last = None
        if self._splitter.events:
            last = self._parts.dialect.last_event_id(self._splitter.last)
        return _messages.SendFacts(
            machine.target.id,
            left,
            min(9, urgency),
            prefill_only,
            None if prefill_only else self._held,
            last,
        )

    def _prefill(self, machine: _machines.Machine) -> None:
        """Have the prompt processed apart; keep the KV cache's handle."""
        tokens = self._tokens_on(machine)
        machine.note_sent(tokens)
        try:
            outcome = self._prefill_on(machine)
        finally:
            machine.note_processed(tokens)
            machine.note_ended()
        if self._held is not None:
            self._prefill_on_id = machine.target.id
            self._note_parts(machine)
            return
        self._after_prefill(machine, outcome)

    def _prefill_on(self, machine: _machines.Machine) -> _messages.Outcome:
        facts = self._facts(machine, prefill_only=True)
        sender, deadline = self._parts.sender, self._job.deadline
        begun = sender.begin(machine, self._job.req, facts, deadline, True)
        if not isinstance(begun, _sender.Begun):
            return begun
        outcome = sender.read_body(begun, machine, deadline)
        if isinstance(outcome, _messages.Answered):
            address = machine.target.address
            if outcome.head.status == 200:
                self._held = self._parts.dialect.handle(address, outcome.body)
            machine.note_answer()
        return outcome

    def _after_prefill(
        self, machine: _machines.Machine, outcome: _messages.Outcome
    ) -> None:
        """Go on without the KV cache if another engine may be asked."""
        job = self._job
        if isinstance(outcome, _messages.NotSent):
            return
        reason = "the prefill failed"
        _context.note(
            job, reason, target=machine.target.id, outcome=str(outcome)
        )
        job.arrivals += 1
        job.attempts.targets += 1
        if job.attempts.targets >= job.attempts.max_targets:
            raise _context.give_up(job, reason)
        if not _context.may_repeat(self._parts, job):
            raise _context.give_up(job, f"{reason}; no retry is left")

    def _serve(self, machine: _machines.Machine) -> bool:
        """Send to one engine; return whether the stream is finished."""
        tokens = 0 if self._held else self._tokens_on(machine)
        used_cache = self._held is not None
        meter = _Meter(machine, tokens)
        try:
            outcome = self._exchange(machine, meter)
        finally:
            meter.end()
        if outcome is None:
            return True
        self._after(machine, outcome, used_cache)
        return False

    def _exchange(
        self, machine: _machines.Machine, meter: "_Meter"
    ) -> _messages.Outcome | None:
        """Return what went wrong, ``None`` after the last event."""
        job = self._job
        resumable = job.attempts.idempotent
        facts = self._facts(machine, prefill_only=False)
        begun = self._parts.sender.begin(
            machine, job.req, facts, job.deadline, resumable
        )
        if not isinstance(begun, _sender.Begun):
            return begun
        if self._held is not None:
            self._held = None
        try:
            return self._relay(machine, begun, meter)
        except BaseException:
            begun.channel.close()
            raise

    def _relay(
        self,
        machine: _machines.Machine,
        begun: _sender.Begun,
        meter: "_Meter",
    ) -> _messages.Outcome | None:
        """Pass events on until the stream ends or breaks."""
        if begun.head.status >= 300:
            return self._relay_failure(machine, begun)
        conn, clock = self._job.conn, self._parts.clock
        while True:
            try:
                piece = begun.channel.read_piece(self._read_until())
            except _channel.BrokenError as exc:
                begun.channel.close()
                return _messages.Unknown(str(exc))
            except _channel.OverdueError as exc:
                begun.channel.close()
                return _messages.TimedOut(str(exc))
            if not piece:
                break
            whole = self._splitter.feed(piece)
            if not whole:
                continue
            self._note_event(machine, meter, clock.monotonic())
            if not conn.started:
                fields = _plain.without_length(begun.head.headers)
                conn.start(begun.head.status, fields)
            conn.write(whole)
        self._finish(machine, begun)
        return None

    def _read_until(self) -> float:
        """Return the time until which the next piece is waited for."""
        job = self._job
        if not job.attempts.idempotent or not self._splitter.events:
            return job.deadline
        silence = self._parts.clock.monotonic() + SILENCE_S
        return min(job.deadline, silence)

    def _relay_failure(
        self, machine: _machines.Machine, begun: _sender.Begun
    ) -> _messages.Outcome | None:
        """Pass a failure of the engine on, unless events went before."""
        outcome = self._parts.sender.read_body(
            begun, machine, self._job.deadline
        )
        if not isinstance(outcome, _messages.Answered):
            return outcome
        if self._job.conn.started:
            return _messages.Unknown(f"status {outcome.head.status}")
        fields = _plain.without_length(outcome.head.headers)
        self._job.conn.answer(outcome.head.status, fields, outcome.body)
        self._note_end(machine, outcome.head.status)
        return None

    def _finish(
        self, machine: _machines.Machine, begun: _sender.Begun
    ) -> None:
        conn = self._job.conn
        if not conn.started:
            fields = _plain.without_length(begun.head.headers)
            conn.start(begun.head.status, fields)
        rest = self._splitter.rest()
        if rest:
            conn.write(rest)
        conn.end()
        self._parts.sender.give_back(machine, begun.channel)
        machine.note_answer()
        self._note_parts(machine)
        self._note_end(machine, begun.head.status)

    def _note_event(
        self, machine: _machines.Machine, meter: "_Meter", now: float
    ) -> None:
        """Learn from the time at which events arrive."""
        if meter.first_event():
            self._note_first(machine, now)
        if self._first_at:
            pause = now - self._event_at
            self._longest_pause_s = max(self._longest_pause_s, pause)
        else:
            self._first_at = now
        self._event_at = now

    def _note_first(self, machine: _machines.Machine, now: float) -> None:
        """Learn how fast the engine is, from its first event."""
        taken = now - self._started_at
        objective = max(self._job.route.objective_s, 1e-3)
        machine.pace.observe(taken / objective, now)

    def _note_parts(self, machine: _machines.Machine) -> None:
        prompt = self._job.req.prompt
        if prompt is not None:
            parts = [(part.id, part.tokens) for part in prompt.parts]
            now = self._parts.clock.monotonic()
            self._parts.index.add(machine.target.id, parts, now)

    def _note_end(self, machine: _machines.Machine, status: int) -> None:
        self._parts.answers[str(status)] += 1
        now = self._parts.clock.monotonic()
        _context.note(
            self._job,
            "answered",
            target=machine.target.id,
            status=status,
            prefill=self._prefill_on_id,
            tokens=self._work.prompt_tokens,
            cached=self._work.cached.get(
                self._prefill_on_id or machine.target.id, 0
            ),
            events=self._splitter.events,
            first_s=round(self._first_at - self._job.req.arrived_at, 4),
            pause_s=round(self._longest_pause_s, 4),
            taken_s=round(now - self._job.req.arrived_at, 4),
        )

    def _after(
        self,
        machine: _machines.Machine,
        outcome: _messages.Outcome,
        used_cache: bool,
    ) -> None:
        """Make ready for another send, or raise the end."""
        job = self._job
        failure, reason = _plain.failure_of(outcome)
        if isinstance(outcome, _messages.TimedOut | _messages.Unknown):
            machine.note_failure()
        if used_cache and isinstance(outcome, _messages.NotRun):
            self._note_cache_lost()
        step = job.attempts.after(failure, used_cache)
        _context.note(
            job,
            "send failed",
            target=machine.target.id,
            failure=str(failure),
            reason=reason,
            next=str(step),
            events=self._splitter.events,
        )
        if step is not decisions.Next.ANOTHER_FREE:
            job.arrivals += 1
        if step is not decisions.Next.SAME_WITHOUT_CACHE:
            job.avoid.add(machine.target.id)
        if self._parts.clock.monotonic() >= job.deadline:
            raise _plain.out_of_time(job, reason)
        if step in (decisions.Next.FAIL, decisions.Next.REFUSE):
            raise _context.give_up(job, reason)
        if not _context.may_repeat(self._parts, job):
            raise _context.give_up(job, f"{reason}; no retry is left")
        self._splitter.drop_partial()

    def _note_cache_lost(self) -> None:
        """Remember that a KV cache could not be fetched."""
        if self._held is None:
            return
        for machine in self._pool.engines.values():
            if machine.target.address == self._held.address:
                machine.note_cache_lost()
        self._release()

    def _next_machine(self, last: _machines.Machine) -> _machines.Machine:
        now = self._parts.clock.monotonic()
        if last.target.id in self._job.avoid or not last.usable(now):
            return self._choose()
        return last

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


class _Meter:
    """Counts one request at an engine, its prompt until the first event."""

    __slots__ = ("_machine", "_tokens", "_first")

    def __init__(self, machine: _machines.Machine, tokens: int) -> None:
        self._machine = machine
        self._tokens = tokens
        self._first = True
        machine.note_sent(tokens)

    def first_event(self) -> bool:
        """Note an event; return whether it is the first."""
        if not self._first:
            return False
        self._first = False
        self._machine.note_processed(self._tokens)
        return True

    def end(self) -> None:
        """Note the end of the request."""
        if self._first:
            self._machine.note_processed(self._tokens)
        self._machine.note_ended()
