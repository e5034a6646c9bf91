"""Serves one stream: chooses its engines and forwards its events."""

import collections.abc
import dataclasses

from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _prefill
from agatewing.gateway import _relay
from agatewing.gateway import _sender
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

#: Longest wait for another engine with room, in seconds: an eighth of the
#: 3.2 s after which callers abandon a long prompt.
REROUTE_TIMEOUT_S = 0.4
#: Interval at which the engines are checked during that wait, in seconds: ten
#: decode steps.
REROUTE_POLL_S = 0.04


class Stream:
    """One stream, from the choice of its engine to its last event."""

    __slots__ = (
        "_ctx",
        "_job",
        "_pool",
        "_profile",
        "_relay",
        "_prefill",
        "_broken_engine",
        "_sent_back",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        pool: _target_registry.Pool,
        profile: decisions.RequestProfile,
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._pool = pool
        self._profile = profile
        self._relay = _relay.EventRelay(
            job, ctx.clock, ctx.sender, self._record_begin
        )
        self._prefill = _prefill.Prefill(ctx, job, pool, profile)
        # Id of the engine that broke the stream off last; empty if none did.
        self._broken_engine = ""
        # Whether the stream was resumed on the engine that broke it off.
        self._sent_back = False

    def run(self, route: decisions.Route) -> None:
        """Serve the stream by ``route``; retry on other engines if allowed.

        Raises :class:`GatewayRefusedError` if no engine finishes it.
        """
        try:
            tracked = self._prepare_decode_engine(route)
            while not self._send_to(tracked):
                tracked = self._next_engine()
        finally:
            self._prefill.release()

    def _prepare_decode_engine(
        self, route: decisions.Route
    ) -> _tracked_target.TrackedTarget:
        """Run the prefill of a split route; return the engine to decode on.

        A prefill can take seconds, so the engine that decodes is chosen again
        after it. A prefill that fails is retried on another engine. Raises
        :class:`GatewayRefusedError` if the request is given up.
        """
        while True:
            match route:
                case decisions.Single(engine=name):
                    return (
                        self._pool.engines.get(name)
                        or self._wait_for_decode_engine()
                    )
                case decisions.Split(prefill=name):
                    prefill_engine = self._pool.engines.get(name)
                    if prefill_engine is not None and self._prefill.run_on(
                        prefill_engine
                    ):
                        return self._wait_for_decode_engine()
            route = self._reroute()

    def _reroute(self) -> decisions.Route:
        """Return a new route for the whole request, prompt included."""
        for _ in self._poll_pool():
            route = self._pool.router.choose(
                self._profile,
                self._pool.loads(),
                frozenset(self._job.excluded),
            )
            if route is not None:
                return route
        raise _context.give_up_error(self._job, "no other engine has room")

    def _wait_for_decode_engine(self) -> _tracked_target.TrackedTarget:
        """Return an engine to decode on, waiting for one with room.

        That engine also prefills the prompt if no KV cache is to be fetched.
        """
        for _ in self._poll_pool():
            if not self._can_be_decoded():
                break
            tracked = self._find_decode_engine()
            if tracked is not None:
                return tracked
        raise _context.give_up_error(
            self._job, "no engine that decodes is left"
        )

    def _poll_pool(self) -> collections.abc.Iterator[None]:
        """Yield at once, then periodically up to ``REROUTE_TIMEOUT_S``.

        Ends then, or at the deadline; if all engines are still full, the
        request is refused instead of being queued.
        """
        clock = self._ctx.clock
        give_up_at = min(
            clock.monotonic() + REROUTE_TIMEOUT_S, self._job.deadline
        )
        while True:
            self._pool.refresh(clock.monotonic())
            yield
            if clock.monotonic() >= give_up_at:
                return
            clock.sleep(REROUTE_POLL_S)

    def _avoided(self) -> frozenset[str]:
        """Return the ids of engines that the request is not sent to.

        The engine that broke the stream off may go on, once, if no other one
        of its software version decodes.
        """
        avoid = frozenset(self._job.excluded)
        software = self._profile.software
        if software is None or self._sent_back:
            return avoid
        if self._pool.decodes(software, avoid):
            return avoid
        return avoid - {self._broken_engine}

    def _can_be_decoded(self) -> bool:
        """Return whether an engine of the stream's software version decodes.

        A stream without an event is bound to no version.
        """
        software = self._profile.software
        if software is None:
            return True
        return self._pool.decodes(software, self._avoided())

    def _find_decode_engine(self) -> _tracked_target.TrackedTarget | None:
        """Return the best engine to decode on; ``None`` if none has room."""
        loads = [
            load
            for load in self._pool.loads(begun=True)
            if load.role is not _types.Role.PREFILL
        ]
        decode_profile = self._decode_profile()
        avoid = self._avoided()
        # If no engine has enough memory free for the KV cache, an engine is
        # chosen regardless of its size: waiting would only keep memory
        # occupied, as the prefill engine holds the cache until it is fetched.
        for profile in (
            decode_profile,
            dataclasses.replace(decode_profile, fetched_tokens=0),
        ):
            route = self._pool.router.choose(profile, loads, avoid)
            if isinstance(route, decisions.Single):
                self._sent_back |= route.engine == self._broken_engine
                return self._pool.engines[route.engine]
        return None

    def _decode_profile(self) -> decisions.RequestProfile:
        """Return the request's profile for the engine that decodes.

        While a KV cache is unfetched, the prompt counts as tokens to fetch,
        not to prefill.
        """
        if self._prefill.unfetched_cache is None:
            return self._profile
        profile = self._profile
        cache_engine = self._prefill.cache_engine
        return dataclasses.replace(
            profile,
            prompt_tokens=0,
            cached={},
            fetched_tokens=profile.prompt_tokens,
            fetch_source="",
            fetch_source_zone=cache_engine.target.zone
            if cache_engine is not None
            else "",
        )

    def _send_to(self, tracked: _tracked_target.TrackedTarget) -> bool:
        """Send to one engine; return whether the stream is finished.

        Raises :class:`GatewayRefusedError` if it failed and must not be
        retried.
        """
        _context.check_quarantine(self._ctx, self._job)
        used_cache = self._prefill.unfetched_cache is not None
        events_before = self._relay.event_count
        now = self._ctx.clock.monotonic()
        meter = _meter.LoadMeter(tracked, self._profile, used_cache, now)
        try:
            outcome = self._exchange(tracked, meter)
        finally:
            meter.end()
        if isinstance(outcome, _messages.Answered):
            self._prefill.record_prefix(tracked)
            self._record_answer(tracked, outcome.head)
            return True
        events = self._relay.event_count - events_before
        self._prepare_retry(tracked, outcome, used_cache, events)
        return False

    def _exchange(
        self, tracked: _tracked_target.TrackedTarget, meter: _meter.LoadMeter
    ) -> _messages.Outcome:
        """Send the request and forward the answer; return the outcome."""
        job = self._job
        last_event_id = self._last_event_id()
        options = self._prefill.send_options(tracked, False, last_event_id)
        sender = self._ctx.sender
        stall = None
        if job.attempts.idempotent and job.attempts.another_left:
            stall = self._prefill.stall_limit(meter)
        result = sender.send_request(
            tracked,
            job.req,
            options,
            job.deadline,
            sender.max_idle_s(job.attempts.idempotent),
            stall,
        )
        if not isinstance(result, _sender.AnswerStarted):
            return result
        self._prefill.mark_fetched()
        return self._relay.forward(tracked, result, meter)

    def _last_event_id(self) -> bytes | None:
        """Return the id of the last forwarded event.

        ``None`` if it has none, or no event was forwarded.
        """
        if not self._relay.event_count:
            return None
        return self._ctx.dialect.last_event_id(self._relay.last_event)

    def _record_begin(self, tracked: _tracked_target.TrackedTarget) -> None:
        """Bind the stream to the version of the engine of its first event.

        Other instances learn of it, unless the caller takes up a stream that
        began before.
        """
        job, software = self._job, tracked.target.software
        self._profile = dataclasses.replace(self._profile, software=software)
        if job.attempts.idempotent and job.req.id and not job.req.take_up:
            self._ctx.streams.record_begin(
                decisions.StreamOrigin(job.req.id, job.service, software)
            )

    def _record_answer(
        self,
        tracked: _tracked_target.TrackedTarget,
        head: _messages.AnswerHead,
    ) -> None:
        take_up = self._job.req.take_up
        first_s = self._relay.first_event_at - self._job.req.arrived_at
        self._ctx.metrics.first_event_seconds.observe(
            {"kind": str(self._job.route.kind)}, max(0.0, first_s)
        )
        _context.record_answer(
            self._ctx,
            self._job,
            tracked.target.id,
            head,
            prefill=self._prefill.engine_id,
            tokens=self._profile.prompt_tokens,
            cached=self._profile.cached.get(
                self._prefill.engine_id or tracked.target.id, 0
            ),
            events=self._relay.event_count,
            first_s=round(first_s, 4),
            pause_s=round(self._relay.longest_pause_s, 4),
            software=tracked.target.software,
            resumes=take_up.first_attempt if take_up is not None else "",
        )

    def _prepare_retry(
        self,
        tracked: _tracked_target.TrackedTarget,
        outcome: _messages.Outcome,
        used_cache: bool,
        events: int,
    ) -> None:
        """Record the failure and prepare the next send.

        ``events`` is the number of events that this send has brought.
        Raises :class:`GatewayRefusedError` if no further send is allowed.
        """
        check = self._ctx.quarantine.check_break(
            self._job.req, tracked.target, outcome, events
        )
        match outcome:
            case _messages.TimedOut() | _messages.Unknown():
                tracked.record_no_answer()
            case _messages.NotRun() if used_cache:
                if tracked.half_full:
                    # The engine is more likely full than the cache gone.
                    tracked.record_busy()
                self._prefill.mark_fetch_failed()
            case _messages.NotRun():
                tracked.record_busy()
        _context.prepare_retry(
            self._ctx,
            self._job,
            tracked.target.id,
            outcome,
            used_cache,
            events=self._relay.event_count,
            software=tracked.target.software,
        )
        _context.await_check(self._ctx, self._job, check)
        self._relay.prepare_resume()
        self._broken_engine = tracked.target.id
        if self._relay.event_count and self._last_event_id() is None:
            raise _context.give_up_error(
                self._job, "the last event has no id to resume after"
            )

    def _next_engine(self) -> _tracked_target.TrackedTarget:
        """Return the engine for the next send.

        After forwarded events, or while a KV cache is unfetched, only an
        engine to decode on is chosen. Otherwise, for instance if the KV cache
        could not be fetched, the whole request is routed anew. If the new
        route has a separate prefill, it must be allowed as a retry of its
        own; if it is not, one engine prefills and decodes.
        """
        if (
            self._relay.event_count
            or self._prefill.unfetched_cache is not None
        ):
            return self._wait_for_decode_engine()
        route = self._reroute()
        separate_prefill = isinstance(route, decisions.Split)
        if separate_prefill and not _context.spend_retry(self._ctx, self._job):
            # The retry budget was charged for the send, but not for the
            # additional prefill.
            return self._wait_for_decode_engine()
        return self._prepare_decode_engine(route)
