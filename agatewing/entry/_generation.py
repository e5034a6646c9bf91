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
    """Handles completion and chat requests."""

    __slots__ = (
        "_deps",
        "_dispatcher",
        "_codec",
        "_lengths",
        "_random",
        "_zone",
    )

    def __init__(
        self,
        deps: _relay_types.RelayDependencies,
        dispatcher: dispatch.Dispatcher,
        codec: _resume.HandleCodec,
        lengths: fleet.LengthEstimate,
        rng: random.Random,
        zone: str,
    ) -> None:
        self._deps = deps
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
        """Answer a request, as a stream of events or as one JSON body.

        Raises ``RefusedError`` if the request is refused before the first
        byte of the answer is sent.
        """
        body = _bodies.parse_body(shape, req.body)
        self._deps.crashes.check(body.prompt)
        self._deps.crashes.check_request(req.key)
        pool, service = self._find_pool(body, req.identity)
        deadline = self._deadline(service, req)
        profile = self._request_profile(pool, req, body)
        if req.last_event_id:
            stream = self._resume_stream(req, body, pool, profile, deadline)
        else:
            stream = self._start_stream(req, body, pool, profile, deadline)
        if body.stream:
            return self._answer_stream(stream, start_response)
        return self._answer_whole(stream, body, start_response)

    def _find_pool(
        self, body: _bodies.GenerationRequest, identity: _identity.Identity
    ) -> tuple[fleet.Pool, config.ModelService]:
        document = self._deps.fleet.document
        name = document.service_of_model(body.model) if document else None
        if document is None or name is None:
            raise _exceptions.RefusedError(_unknown_model(body.model))
        _identity.require_service(identity, name)
        pool = self._deps.fleet.pool_of(name)
        service = document.services[name]
        if pool is None or not isinstance(service, config.ModelService):
            raise _exceptions.RefusedError(_unknown_model(body.model))
        return pool, service

    def _deadline(
        self, service: config.ModelService, req: _context.CallerRequest
    ) -> float:
        timeout_s = service.deadline_s
        if req.timeout_s is not None:
            timeout_s = min(timeout_s, req.timeout_s)
        return self._deps.clock.monotonic() + timeout_s

    def _request_profile(
        self,
        pool: fleet.Pool,
        req: _context.CallerRequest,
        body: _bodies.GenerationRequest,
    ) -> decisions.RequestProfile:
        blocks = enginemodel.block_hashes(body.prompt)
        now = self._deps.clock.monotonic()
        return decisions.RequestProfile(
            body.prompt_tokens,
            self._lengths.expected(req.identity.name, body.max_tokens),
            self._zone,
            pool.index.match(blocks, enginemodel.BLOCK_TOKENS, now),
        )

    def _start_stream(
        self,
        req: _context.CallerRequest,
        body: _bodies.GenerationRequest,
        pool: fleet.Pool,
        profile: decisions.RequestProfile,
        deadline: float,
    ) -> "_Stream":
        clock = self._deps.clock
        self._deps.retries.record_first_try()
        route = self._dispatcher.wait_for_route(
            pool, req.identity, profile, deadline
        )
        # Engines may have crashed while the request was queued.
        self._deps.crashes.check_request(req.key)
        seed = body.seed
        if seed is None:
            seed = self._random.getrandbits(31)
        call = _engine_call(req.id, body, seed, int(clock.wall()))
        call = msgspec.structs.replace(
            call, priority=_engine_priority(body, profile)
        )
        relay = _relay.Relay(
            self._deps,
            pool,
            call,
            profile,
            deadline,
            request=req.key,
        )
        self._deps.events.add(
            timeline.EventKind.REQUEST_ROUTED,
            request=req.id,
            target=_decode_engine(route),
        )
        relay.start(route)
        blocks = enginemodel.block_hashes(body.prompt)
        pool.index.add(relay.engine, blocks, clock.monotonic())
        return _Stream(self, req, pool, profile, relay, call, body, route)

    def _resume_stream(
        self,
        req: _context.CallerRequest,
        body: _bodies.GenerationRequest,
        pool: fleet.Pool,
        profile: decisions.RequestProfile,
        deadline: float,
    ) -> "_Stream":
        handle, position = self._codec.decode(req.last_event_id)
        digest = _resume.body_digest(req.body)
        _resume.check_resume(handle, req.identity.name, digest)
        call = _engine_call(handle.stream, body, handle.seed, handle.created)
        profile = _resume.bind_to_version(profile, handle)
        relay = _relay.Relay(
            self._deps,
            pool,
            call,
            profile,
            deadline,
            position,
            req.key,
        )
        self._deps.events.add(
            timeline.EventKind.STREAM_RESUMED,
            request=handle.stream,
            target=handle.engine,
            detail=f"by the caller, from position {position}",
        )
        relay.resume(handle.engine)
        return _Stream(self, req, pool, profile, relay, call, body, None)

    def _answer_stream(
        self, stream: "_Stream", start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        headers = [
            ("Content-Type", EVENT_STREAM),
            ("Cache-Control", "no-store"),
            ("Agatewing-Request", stream.call.id),
        ]
        start_response("200 OK", headers)
        return stream.caller_blocks(self._codec)

    def _answer_whole(
        self,
        stream: "_Stream",
        body: _bodies.GenerationRequest,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        text, finish = _whole_answer.collect(
            stream.engine_blocks(), self._deps.room
        )
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

    def check_completeness(
        self, stream: "_Stream", start: int, events_passed: int
    ) -> None:
        """Check the invariant that each event was passed on exactly once.

        ``start`` is the position before the first of them.
        """
        self._deps.invariants.check(
            _invariants.Invariant.WHOLE_ANSWERS,
            start + events_passed == stream.last_position,
            f"{stream.call.id}: {events_passed} events from {start} to "
            f"{stream.last_position}",
        )

    def finish(self, stream: "_Stream") -> None:
        """Record a complete answer and update the estimates from it.

        A stream that a caller resumed here updates no estimate: it has no
        route with an expected duration.
        """
        req, profile = stream.req, stream.profile
        now = self._deps.clock.monotonic()
        self._deps.crashes.record_served(stream.call.prompt)
        self._deps.crashes.record_answered(req.key)
        self._deps.events.add(
            timeline.EventKind.REQUEST_ANSWERED,
            request=stream.call.id,
            target=stream.engine,
        )
        if stream.route is None:
            return
        self._lengths.observe(
            req.identity.name, stream.call.max_tokens, stream.tokens
        )
        self._dispatcher.adjust_charge(
            stream.pool, req.identity, profile, stream.tokens
        )
        actual = now - stream.started_at
        expected = stream.route.expected_s
        # The expected duration is scaled by the actual length of the answer,
        # by a factor of at least 0.1.
        length_ratio = stream.tokens / max(1, profile.output_tokens)
        self._dispatcher.queue_of(stream.pool).observe(
            expected * max(length_ratio, 0.1), actual
        )
        target = stream.pool.engines.get(stream.engine)
        if target is not None:
            slowness = actual / max(expected * max(length_ratio, 0.1), 1e-3)
            target.slowness.observe(slowness, now)

    def dispatch_queued(self, pool: fleet.Pool) -> None:
        """Dispatch queued requests of a pool while there are credits."""
        self._dispatcher.dispatch_queued(pool.name)

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._deps.clock.monotonic()

    def record_cut(self, stream_id: str, refusal: _exceptions.Refusal) -> None:
        """Record that a streamed answer ended incomplete."""
        self._deps.events.add(
            timeline.EventKind.STREAM_CUT,
            request=stream_id,
            detail=f"{refusal.kind}: {refusal.detail}",
        )


class _Stream:
    """An answer in progress, with its request and route."""

    __slots__ = (
        "_owner",
        "req",
        "pool",
        "profile",
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
        profile: decisions.RequestProfile,
        relay: _relay.Relay,
        call: _relay_types.GenerateCall,
        body: _bodies.GenerationRequest,
        route: decisions.Route | None,
    ) -> None:
        self._owner = owner
        self.req = req
        self.pool = pool
        self.profile = profile
        self._relay = relay
        self.call = call
        self._body = body
        self.route = route
        self.started_at = owner.now()
        self.engine = relay.engine

    @property
    def tokens(self) -> int:
        """Tokens of the answer so far; the last event holds no token."""
        position = self._relay.assembler.position
        return position - 1 if self._relay.assembler.done else position

    @property
    def last_position(self) -> int:
        """Position of the last event passed on."""
        return self._relay.assembler.position

    def engine_blocks(self) -> collections.abc.Iterator[bytes]:
        """Yield blocks of whole events with the event ids of the engine."""
        try:
            start = self._relay.assembler.position
            events_passed = 0
            for block in self._relay.blocks():
                self.engine = self._relay.engine
                events_passed += block.count(b"\n\nid: ") + 1
                yield block
            self._owner.check_completeness(self, start, events_passed)
            self._owner.finish(self)
        finally:
            self._owner.dispatch_queued(self.pool)

    def caller_blocks(
        self, codec: _resume.HandleCodec
    ) -> collections.abc.Iterator[bytes]:
        """Yield blocks whose event ids hold the resume handle.

        If the answer cannot be completed, yields an error event and raises
        ``ConnectionResetError``, after which the server closes the
        connection without the end of the chunked body.
        """
        from_engine = ""
        handle = b""
        digest = _resume.body_digest(self.req.body)
        try:
            for block in self.engine_blocks():
                if self.engine != from_engine:
                    from_engine = self.engine
                    handle = codec.encode(self._handle(digest)).encode()
                yield _assembler.insert_handle(block, handle)
        except _exceptions.RefusedError as exc:
            self._owner.record_cut(self.call.id, exc.refusal)
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
            self._relay.software or "",
        )


def _error_event(refusal: _exceptions.Refusal) -> bytes:
    """Return the event that reports an incomplete answer."""
    return b"event: error\ndata: " + net.encode(refusal) + b"\n\n"


def _engine_call(
    stream_id: str,
    body: _bodies.GenerationRequest,
    seed: int,
    created: int,
) -> _relay_types.GenerateCall:
    """Return the engine call that generates an answer.

    With the same arguments it generates the same answer on any engine.
    """
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
    body: _bodies.GenerationRequest, profile: decisions.RequestProfile
) -> int:
    """Return the priority of a request at the engine.

    The lowest number runs first. Requests with fewer prompt tokens to
    process are in a lower priority class; within a class, the caller's
    priority decides.
    """
    cached_tokens = max(profile.cached.values(), default=0)
    tokens = max(0, profile.prompt_tokens - cached_tokens)
    return decisions.priority_class(tokens) * 10 + body.priority


def _decode_engine(route: decisions.Route) -> str:
    """Return the name of the engine that decodes."""
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
