"""One path of a stream: a prefill, an engine to decode on, its answer."""

import typing

import gevent

from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _event_reader
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _prefill
from agatewing.gateway import _race
from agatewing.gateway import _relay
from agatewing.gateway import _send_turn
from agatewing.gateway import _sender
from agatewing.gateway import _stream_engines
from agatewing.gateway import _tracked_target


class StreamWay(_race.Path, typing.Protocol):
    """One way to the events of a stream."""

    #: Race that it takes part in; ``None`` if it is the only path.
    race: "_race.Race[StreamWay] | None"

    @property
    def source(self) -> _messages.AnswerSource:
        """Where the present answer comes from."""

    @property
    def prefilled_by(self) -> str:
        """Id of the engine that prefilled the prompt; empty if unknown."""

    @property
    def uncounted_targets(self) -> int:
        """Number of targets that may have the request uncounted."""

    @property
    def failed(self) -> bool:
        """Whether the present answer failed."""

    def record_prefix(self) -> None:
        """Record that the engine has the prompt's prefix blocks cached."""

    def next(self) -> _relay.Piece:
        """Return the next part that holds an event or the end."""

    def advance(self) -> _relay.Piece | None:
        """Take one step; return what it brought, if anything."""

    def read(self, max_silence_s: float) -> _relay.Piece | None:
        """Return the next part of the present answer, if it comes in time."""

    def mark_silent(self) -> None:
        """Let another path try while this one is silent."""

    def finish(self) -> None:
        """Keep the connection after an answer that was read to its end."""


def next_piece(path: StreamWay) -> _relay.Piece:
    """Return the next part of a stream, over as many steps as it takes."""
    while True:
        piece = path.advance()
        if piece is not None:
            return piece


class StreamPath:
    """Sends a stream's request; retries as long as it is the only path."""

    __slots__ = (
        "_ctx",
        "_job",
        "_engines",
        "_relay",
        "_turn",
        "_route",
        "_reader",
        "_channel",
        "_meter",
        "_used_cache",
        "_events",
        "_failure",
        "_counted",
        "_silent",
        "_paid_targets",
        "_hedge",
        "_prefilling",
        "_closed",
        "prefill",
        "tracked",
        "race",
        "_silent_at",
        "_waits_since",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        engines: _stream_engines.StreamEngines,
        relay: _relay.EventRelay,
        turn: _send_turn.SendTurn,
        route: decisions.Route | None,
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._engines = engines
        self._relay = relay
        self._turn = turn
        # Route of the next send; ``None`` to choose one.
        self._route = route
        # Whether it was opened beside a silent path and has sent nothing.
        self._hedge = route is None
        # Reads the present answer; ``None`` before its head.
        self._reader: _event_reader.EventReader | None = None
        # Connection that it reads from.
        self._channel: _channel.Channel | None = None
        self._meter: _meter.LoadMeter | None = None
        self._used_cache = False
        # Number of events of the present answer.
        self._events = 0
        # Failed outcome that is not handled yet.
        self._failure: _messages.Outcome | None = None
        # Whether the present engine was counted while it was silent.
        self._counted = False
        # Whether the engine that is awaited is silent.
        self._silent = False
        # Number of targets of the request after which this path may send
        # without spending another retry.
        self._paid_targets = job.attempts.targets
        # Whether the answer to a separate prefill is awaited.
        self._prefilling = False
        self._closed = False
        #: Prefill of this path and its KV cache.
        self.prefill = _prefill.Prefill(
            ctx, job, engines.pool, engines.profile
        )
        #: Engine of the present answer; ``None`` before a choice.
        self.tracked: _tracked_target.TrackedTarget | None = None
        #: Race that it takes part in; ``None`` if it is the only path.
        self.race: _race.Race[StreamWay] | None = None
        # Monotonic time at which it counts as silent, and of the beginning
        # of the wait, in seconds.
        self._silent_at = _race.NEVER
        self._waits_since = 0.0

    @property
    def source(self) -> _messages.AnswerSource:
        """Where the present answer comes from."""
        if self.tracked is None:
            raise AssertionError("a piece comes from an engine")
        target = self.tracked.target
        return _messages.AnswerSource(target.id, target.software)

    @property
    def prefilled_by(self) -> str:
        """Id of the engine that prefilled the prompt; empty if none did."""
        return self.prefill.engine_id

    def record_prefix(self) -> None:
        """Record that the engine has the prompt's prefix blocks cached."""
        if self.tracked is not None:
            self.prefill.record_prefix(self.tracked)

    @property
    def silent_at(self) -> float:
        """Monotonic time at which it counts as silent, in seconds."""
        return _context.silent_at(
            self._ctx, self._job, self._waits_since, self._silent_at
        )

    def next(self) -> _relay.Piece:
        """Return the next part of the stream that holds an event or its end.

        Raises :class:`GatewayRefusedError` if it fails while another path is
        open, or if no further send is allowed.
        """
        return next_piece(self)

    def advance(self) -> _relay.Piece | None:
        """Take one step; return what it brought, if anything."""
        if self._failure is not None:
            self._handle_failure()
        elif self._reader is not None:
            return self.read(_race.NEVER)
        else:
            if self.tracked is None:
                self.tracked = self._choose_engine()
            return self._send_to(self.tracked)
        return None

    def read(self, max_silence_s: float) -> _relay.Piece | None:
        """Return the next part of the present answer.

        Returns ``None`` if it failed, or if nothing came for
        ``max_silence_s``; :meth:`next` goes on in both cases.
        """
        reader = self._reader
        if reader is None:
            raise AssertionError("read() needs an answer; call next()")
        match reader.read(max_silence_s, self._job.deadline):
            case _event_reader.Silent(since=since):
                self._silent_at = since
                return None
            case _relay.Piece() as piece:
                if piece.events:
                    self._record_events(piece.events)
                return piece
            case failure:
                self._failure = failure
                return None

    def _record_events(self, count: int) -> None:
        self._events += count
        self._silent = False
        _context.record_begun(self._ctx, self._job)
        self._expect(_race.NEVER)
        if self._meter is not None:
            self._meter.mark_prompt_processed(self._ctx.clock.monotonic())

    def _choose_engine(self) -> _tracked_target.TrackedTarget:
        """Return the engine for the next send, after a prefill if needed.

        After forwarded events, or while a KV cache is unfetched, only an
        engine to decode on is chosen. Otherwise, for instance if the KV cache
        could not be fetched, the whole request is routed anew. If the new
        route has a separate prefill, it must be allowed as a retry of its
        own; if it is not, one engine prefills and decodes.
        """
        engines = self._engines
        # A hedge that finds no room is tried again periodically.
        wait = not (self._hedge and self._others())
        _context.check_links(self._ctx, self._job)
        route, self._route = self._route, None
        if route is not None:
            return self._prepare_decode_engine(route)
        if self._relay.event_count or self.prefill.unfetched_cache is not None:
            tracked = engines.wait_for_decode_engine(self.prefill, wait)
            self._pay_for_hedge()
            return tracked
        route = engines.reroute(wait)
        sent_before = self._job.sent
        self._pay_for_hedge()
        separate_prefill = isinstance(route, decisions.Split)
        if (
            separate_prefill
            and sent_before
            and not _context.spend_retry(self._ctx, self._job)
        ):
            # The retry budget was charged for the send, but not for the
            # additional prefill.
            return engines.wait_for_decode_engine(self.prefill)
        return self._prepare_decode_engine(route)

    def _pay_for_hedge(self) -> None:
        """Spend the retry of a path that was opened beside a silent one."""
        if self._hedge:
            self._spend_retry()
            self._hedge = False

    def _spend_retry(self) -> None:
        if not _context.spend_retry(self._ctx, self._job):
            raise _context.give_up_error(self._job, "no retry is left")
        self._paid_targets = self._job.attempts.targets

    def _prepare_decode_engine(
        self, route: decisions.Route
    ) -> _tracked_target.TrackedTarget:
        """Run the prefill of a split route; return the engine to decode on.

        A prefill can take seconds, so the engine that decodes is chosen again
        after it. A prefill that fails is retried on another engine. Raises
        :class:`GatewayRefusedError` if the request is given up.
        """
        pool = self._engines.pool
        while True:
            match route:
                case decisions.Single(engine=name):
                    return pool.engines.get(
                        name
                    ) or self._engines.wait_for_decode_engine(self.prefill)
                case decisions.Split(prefill=name):
                    engine = pool.engines.get(name)
                    if engine is not None and self._run_prefill(engine):
                        return self._engines.wait_for_decode_engine(
                            self.prefill
                        )
            route = self._engines.reroute()

    def _run_prefill(self, engine: _tracked_target.TrackedTarget) -> bool:
        self.tracked, self._prefilling = engine, True
        try:
            if self.prefill.run_on(engine, self._expect_within):
                return True
        finally:
            self.tracked, self._prefilling = None, False
            self._silent = False
            self._expect(_race.NEVER)
        self.prefill.prepare_retry(self._others())
        return False

    def _expect_within(self, timeout_s: float) -> None:
        self._expect(self._ctx.clock.monotonic() + timeout_s)

    def _expect(self, silent_at: float) -> None:
        """Set when the path counts as silent."""
        self._silent_at = silent_at
        self._waits_since = self._ctx.clock.monotonic()
        if self.race is not None:
            self.race.expect(silent_at)

    def _others(self) -> bool:
        """Return whether another path may still deliver."""
        return self.race is not None and self.race.others(self)

    def _send_to(
        self, tracked: _tracked_target.TrackedTarget
    ) -> _relay.Piece | None:
        """Send the request; return the answer of an engine that failed it.

        Returns ``None`` if an answer has begun, or the send failed.
        """
        if not self._take_turn(tracked):
            self.tracked = None
            return None
        _context.check_quarantine(self._ctx, self._job)
        job, sender = self._job, self._ctx.sender
        job.retry_paid = False
        self._used_cache = self.prefill.unfetched_cache is not None
        self._events, self._counted, self._silent = 0, False, False
        now = self._ctx.clock.monotonic()
        self._meter = _meter.LoadMeter(
            tracked, self._engines.profile, self._used_cache, now
        )
        if job.attempts.idempotent:
            self._expect(now + self._meter.stall_timeout_s)
        result = sender.send_request(
            tracked,
            job.req,
            self.prefill.send_options(
                tracked, False, self._relay.last_event_id
            ),
            job.deadline,
            sender.reuse(job.attempts.idempotent),
        )
        if not isinstance(result, _sender.AnswerStarted):
            self._failure = result
            return None
        self.prefill.mark_fetched()
        if result.head.status >= 300:
            return self._read_failure(tracked, result)
        # A comment does not decide which path is kept.
        self._reader = _event_reader.EventReader(
            result.head,
            result.channel,
            self._ctx.clock,
            sender.event_room,
            keeps_comments=self._others,
        )
        self._channel = result.channel
        return None

    def _take_turn(self, tracked: _tracked_target.TrackedTarget) -> bool:
        """Wait until the request may be sent; pay for it if need be.

        Returns whether ``tracked`` is still an engine to send it to. Raises
        :class:`GatewayRefusedError` if the request may not be sent any more.
        """
        attempts = self._job.attempts
        waits = self._turn.taken_by_other(self)
        if waits:
            # No engine is awaited by this path, so it does not keep another
            # one from being tried.
            self._expect(0.0)
        self._turn.acquire(self)
        if self._closed:
            raise gevent.GreenletExit
        self._expect(_race.NEVER)
        ran_once = attempts.maybe_ran and not attempts.idempotent
        if ran_once or attempts.targets >= attempts.max_targets:
            raise _context.give_up_error(self._job, "no attempt is left")
        if attempts.targets > self._paid_targets:
            self._spend_retry()
        # Another path may have met the engine meanwhile.
        return not waits or tracked.target.id not in self._job.excluded

    def _read_failure(
        self,
        tracked: _tracked_target.TrackedTarget,
        answer: _sender.AnswerStarted,
    ) -> _relay.Piece | None:
        """Return an engine's error answer, unless the stream may go on."""
        outcome = self._ctx.sender.read_body(
            answer, tracked, self._job.deadline
        )
        if not isinstance(outcome, _messages.Answered):
            self._failure = outcome
            return None
        others = self._job.attempts.idempotent and self._others()
        if self._relay.head_sent or others:
            self._failure = _messages.Unknown(f"status {outcome.head.status}")
            return None
        return _relay.Piece(outcome.head, outcome.body, ended=True)

    def _handle_failure(self) -> None:
        """Record the failure and prepare the next send.

        Raises :class:`GatewayRefusedError` if no further send is allowed or
        another path is open.
        """
        outcome, self._failure = self._failure, None
        tracked, self.tracked = self.tracked, None
        if outcome is None or tracked is None:
            raise AssertionError("only a send that was made can fail")
        used_cache, counted = self._used_cache, self._counted
        self._end_send()
        if not self._events:
            _context.record_lost(self._ctx, self._job, outcome)
        check = self._ctx.quarantine.check_break(
            self._job.req, tracked.target, outcome, self._events
        )
        if check is not None:
            self._job.check = check
        match outcome:
            case _messages.TimedOut() | _messages.Unknown():
                tracked.record_no_answer()
            case _messages.NotRun() if used_cache:
                if tracked.half_full:
                    # The engine is more likely full than the cache gone.
                    tracked.record_busy()
                self.prefill.mark_fetch_failed()
            case _messages.NotRun():
                tracked.record_busy()
        self._engines.broken_engine = tracked.target.id
        _context.prepare_retry(
            self._ctx,
            self._job,
            tracked.target.id,
            outcome,
            used_cache,
            counted,
            self._others(),
            events=self._relay.event_count,
            software=tracked.target.software,
        )
        self._paid_targets = self._job.attempts.targets
        self._turn.release(self)
        _context.await_check(self._ctx, self._job, check)
        if not self._relay.may_resume:
            raise _context.give_up_error(
                self._job, "the last event has no id to resume after"
            )

    def _end_send(self) -> None:
        """Stop awaiting the present answer."""
        self._reader = self._channel = None
        meter, self._meter = self._meter, None
        if meter is not None:
            meter.end()
        self._expect(_race.NEVER)

    @property
    def sending(self) -> bool:
        """Whether the answer to the request itself is awaited."""
        return self._meter is not None

    @property
    def uncounted_targets(self) -> int:
        """Number of targets that may have the request uncounted."""
        return int(self.sending and not self._counted)

    @property
    def failed(self) -> bool:
        """Whether the present answer failed."""
        return self._failure is not None

    def mark_silent(self) -> None:
        """Let another path try while this one is silent."""
        awaited = self.sending or self._prefilling
        if self.tracked is None or not awaited:
            return
        self._silent = True
        if self._counted:
            return
        self._job.reached_target = True
        self._job.excluded.add(self.tracked.target.id)
        _context.log_event(
            self._job,
            "target silent",
            target=self.tracked.target.id,
            prefill=not self.sending,
            events=self._relay.event_count,
        )
        if self.sending:
            self._counted = self._job.sent = True
            self._job.attempts.record_silence()
            self._turn.release(self)

    def record_loss(self) -> None:
        """Count a silent engine's answer as lost: another one was faster."""
        if self._silent and self.tracked is not None:
            self.tracked.record_no_answer()

    def finish(self) -> None:
        """Keep the connection after an answer that was read to its end."""
        if self.tracked is None:
            return
        self._reader = None
        channel, self._channel = self._channel, None
        if channel is not None:
            self._ctx.sender.release_channel(self.tracked, channel)
            self.tracked.record_answer()

    def close(self) -> None:
        """Close the connection and free the KV cache; may be repeated."""
        self._closed = True
        if self._reader is not None:
            self._reader.close()
        if self.sending and not self._counted:
            self._job.attempts.record_silence()
            self._counted = True
        self._end_send()
        self._turn.release(self)
        self.prefill.release()
