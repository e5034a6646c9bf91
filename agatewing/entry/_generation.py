"""Answers /v1/completions and /v1/chat/completions."""

import collections.abc
import random

import msgspec

from agatewing import _exceptions
from agatewing import _invariants
from agatewing import _types
from agatewing import config
from agatewing import decisions
from agatewing import dispatch
from agatewing import enginemodel
from agatewing.entry import _assembler
from agatewing.entry import _bodies
from agatewing.entry import _context
from agatewing.entry import _identity
from agatewing.entry import _relay
from agatewing.entry import _relay_types
from agatewing.entry import _resume
from agatewing.entry import _whole_answer
from agatewing import fleet
from agatewing import net
from agatewing import timeline

EVENT_STREAM = "text/event-stream"


class Generation:
    """Handles one request for an answer of a model."""

    __slots__ = (
        "_parts",
        "_dispatcher",
        "_codec",
        "_lengths",
        "_random",
        "_zone",
    )

    def __init__(
        self,
        parts: _relay_types.RelayParts,
        dispatcher: dispatch.Dispatcher,
        codec: _resume.HandleCodec,
        lengths: fleet.LengthEstimate,
        rng: random.Random,
        zone: str,
    ) -> None:
        self._parts = parts
        self._dispatcher = dispatcher
        self._codec = codec
        self._lengths = lengths
        self._random = rng
        self._zone = zone

    def handle(
        self,
        shape: str,
        req: _context.CallerRequest,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Answer a request, as a stream or in one piece."""
        body = _bodies.parse_body(shape, req.body)
        pool, service = self._find_pool(body, req.identity)
        deadline = self._deadline(service, req)
        work = self._work(pool, req, body)
        if req.last_event_id:
            stream = self._resumed(req, body, pool, work, deadline)
        else:
            stream = self._fresh(req, body, pool, work, deadline)
        if body.stream:
            return self._answer_stream(stream, start_response)
        return self._answer_whole(stream, body, start_response)

    def _find_pool(
        self, body: _bodies.GenerationRequest, identity: _identity.Identity
    ) -> tuple[fleet.Pool, config.ModelService]:
        document = self._parts.fleet.document
        name = document.service_of_model(body.model) if document else None
        if document is None or name is None:
            raise _exceptions.RefusedError(_unknown_model(body.model))
        _identity.require_service(identity, name)
        pool = self._parts.fleet.pool_of(name)
        service = document.services[name]
        if pool is None or not isinstance(service, config.ModelService):
            raise _exceptions.RefusedError(_unknown_model(body.model))
        return pool, service

    def _deadline(
        self, service: config.ModelService, req: _context.CallerRequest
    ) -> float:
        allowed = service.deadline_s
        if req.allowed_s is not None:
            allowed = min(allowed, req.allowed_s)
        return self._parts.clock.monotonic() + allowed

    def _work(
        self,
        pool: fleet.Pool,
        req: _context.CallerRequest,
        body: _bodies.GenerationRequest,
    ) -> decisions.Work:
        blocks = enginemodel.block_hashes(body.prompt)
        now = self._parts.clock.monotonic()
        return decisions.Work(
            body.prompt_tokens,
            self._lengths.expected(req.identity.name, body.max_tokens),
            self._zone,
            pool.index.match(blocks, enginemodel.BLOCK_TOKENS, now),
        )

    def _fresh(
        self,
        req: _context.CallerRequest,
        body: _bodies.GenerationRequest,
        pool: fleet.Pool,
        work: decisions.Work,
        deadline: float,
    ) -> "_Stream":
        clock = self._parts.clock
        self._parts.retries.note_first_try()
        route = self._dispatcher.enter(pool, req.identity, work, deadline)
        seed = body.seed
        if seed is None:
            seed = self._random.getrandbits(31)
        call = _engine_call(req.id, body, seed, int(clock.wall()))
        call = msgspec.structs.replace(
            call, priority=_engine_priority(body, work)
        )
        relay = _relay.Relay(self._parts, pool, call, work, deadline)
        self._parts.events.add(
            timeline.EventKind.REQUEST_ROUTED,
            request=req.id,
            target=_engine_of(route),
        )
        relay.start(route)
        blocks = enginemodel.block_hashes(body.prompt)
        pool.index.add(relay.engine, blocks, clock.monotonic())
        return _Stream(self, req, pool, work, relay, call, body, route)

    def _resumed(
        self,
        req: _context.CallerRequest,
        body: _bodies.GenerationRequest,
        pool: fleet.Pool,
        work: decisions.Work,
        deadline: float,
    ) -> "_Stream":
        handle, position = self._codec.decode(req.last_event_id)
        digest = _resume.body_digest(req.body)
        _resume.check_resume(handle, req.identity.name, digest)
        call = _engine_call(handle.stream, body, handle.seed, handle.created)
        relay = _relay.Relay(self._parts, pool, call, work, deadline, position)
        self._parts.events.add(
            timeline.EventKind.STREAM_RESUMED,
            request=handle.stream,
            target=handle.engine,
            detail=f"by the caller, from position {position}",
        )
        relay.attach(handle.engine)
        return _Stream(self, req, pool, work, relay, call, body, None)

    def _answer_stream(
        self, stream: "_Stream", start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        headers = [
            ("Content-Type", EVENT_STREAM),
            ("Cache-Control", "no-store"),
            ("Agatewing-Request", stream.call.id),
        ]
        start_response("200 OK", headers)
        return stream.labelled(self._codec)

    def _answer_whole(
        self,
        stream: "_Stream",
        body: _bodies.GenerationRequest,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        text, finish = _whole_answer.collect(stream.plain())
        answer = _whole_answer.whole_answer(
            stream.call, body, text, finish, stream.tokens
        )
        raw = msgspec.json.encode(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(raw))),
            ("Agatewing-Request", stream.call.id),
        ]
        start_response("200 OK", headers)
        return [raw]

    def check_whole(self, stream: "_Stream", start: int, passed: int) -> None:
        """Check that every event of an answer was passed on once."""
        self._parts.invariants.check(
            _invariants.Promise.WHOLE_ANSWERS,
            start + passed == stream.last_position,
            f"{stream.call.id}: {passed} events from {start} to "
            f"{stream.last_position}",
        )

    def finish(self, stream: "_Stream") -> None:
        """Learn from an answer that is whole."""
        req, work = stream.req, stream.work
        now = self._parts.clock.monotonic()
        self._parts.events.add(
            timeline.EventKind.REQUEST_ANSWERED,
            request=stream.call.id,
            target=stream.engine,
        )
        if stream.route is None:
            return
        self._lengths.observe(
            req.identity.name, stream.call.max_tokens, stream.tokens
        )
        self._dispatcher.correct(
            stream.pool, req.identity, work, stream.tokens
        )
        actual = now - stream.started_at
        expected = stream.route.expected_s
        share = stream.tokens / max(1, work.output_tokens)
        self._dispatcher.queue_of(stream.pool).observe(
            expected * max(share, 0.1), actual
        )
        machine = stream.pool.engines.get(stream.engine)
        if machine is not None:
            ratio = actual / max(expected * max(share, 0.1), 1e-3)
            machine.pace.observe(ratio, now)

    def pump(self, pool: fleet.Pool) -> None:
        """Let the next request use the credit that was freed."""
        self._dispatcher.pump(pool.name)

    def now(self) -> float:
        """Return the monotonic time."""
        return self._parts.clock.monotonic()

    def note_cut(self, stream_id: str, refusal: _exceptions.Refusal) -> None:
        """Record that a started answer could not be made whole."""
        self._parts.events.add(
            timeline.EventKind.STREAM_CUT,
            request=stream_id,
            detail=f"{refusal.kind}: {refusal.detail}",
        )


class _Stream:
    """An open answer with what is learnt from it at its end."""

    __slots__ = (
        "_owner",
        "req",
        "pool",
        "work",
        "_relay",
        "call",
        "_body",
        "route",
        "started_at",
        "engine",
    )

    def __init__(
        self,
        owner: Generation,
        req: _context.CallerRequest,
        pool: fleet.Pool,
        work: decisions.Work,
        relay: _relay.Relay,
        call: _relay_types.GenerateCall,
        body: _bodies.GenerationRequest,
        route: decisions.Route | None,
    ) -> None:
        self._owner = owner
        self.req = req
        self.pool = pool
        self.work = work
        self._relay = relay
        self.call = call
        self._body = body
        self.route = route
        self.started_at = owner.now()
        self.engine = relay.engine

    @property
    def tokens(self) -> int:
        """Tokens of the answer so far; the last event is none."""
        position = self._relay.assembler.position
        return position - 1 if self._relay.assembler.done else position

    @property
    def last_position(self) -> int:
        """Position of the last event passed on."""
        return self._relay.assembler.position

    def plain(self) -> collections.abc.Iterator[bytes]:
        """Yield blocks as engines send them."""
        try:
            start = self._relay.assembler.position
            passed = 0
            for block in self._relay.blocks():
                self.engine = self._relay.engine
                passed += block.count(b"\n\nid: ") + 1
                yield block
            self._owner.check_whole(self, start, passed)
            self._owner.finish(self)
        finally:
            self._owner.pump(self.pool)

    def labelled(
        self, codec: _resume.HandleCodec
    ) -> collections.abc.Iterator[bytes]:
        """Yield blocks whose event ids any instance can resume."""
        from_engine = ""
        handle = b""
        digest = _resume.body_digest(self.req.body)
        try:
            for block in self.plain():
                if self.engine != from_engine:
                    from_engine = self.engine
                    handle = codec.encode(self._handle(digest)).encode()
                yield _assembler.label(block, handle)
        except _exceptions.RefusedError as exc:
            self._owner.note_cut(self.call.id, exc.refusal)
            yield _error_event(exc.refusal)
            raise ConnectionResetError(104, "answer is not whole") from None

    def _handle(self, digest: bytes) -> _resume.StreamHandle:
        return _resume.StreamHandle(
            self.req.identity.name,
            self.engine,
            self.call.id,
            self.call.seed,
            self.call.created,
            digest,
        )


def _error_event(refusal: _exceptions.Refusal) -> bytes:
    """Return the event that says that the answer is not whole."""
    return b"event: error\ndata: " + net.encode(refusal) + b"\n\n"


def _engine_call(
    stream_id: str,
    body: _bodies.GenerationRequest,
    seed: int,
    created: int,
) -> _relay_types.GenerateCall:
    """Return the call that generates, or generates again, an answer."""
    return _relay_types.GenerateCall(
        stream_id,
        body.model,
        body.prompt,
        body.max_tokens,
        body.shape,
        body.priority,
        seed,
        created,
    )


def _engine_priority(
    body: _bodies.GenerationRequest, work: decisions.Work
) -> int:
    """Return the engine's priority: short prompts first, then callers'."""
    saved = max(work.cached.values(), default=0)
    tokens = max(0, work.prompt_tokens - saved)
    return decisions.priority_class(tokens) * 10 + body.priority


def _engine_of(route: decisions.Route) -> str:
    """Return the engine that decodes."""
    match route:
        case decisions.Single(engine=name):
            return name
        case decisions.Split(decode=name):
            return name


def _unknown_model(model: str) -> _exceptions.Refusal:
    """Return the refusal of a model that no service offers."""
    return _exceptions.Refusal(
        _types.RefusalKind.UNKNOWN_MODEL,
        f"no service offers the model {model[:80]!r}",
        "ask for a model of GET /v1/models",
    )
