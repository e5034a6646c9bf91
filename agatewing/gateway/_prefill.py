"""Has a stream's prompt prefilled on one engine to decode on another.

Keeps the handle of the KV cache until another engine has fetched it.
"""

import collections.abc
import logging

import gevent

from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _sender
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

_log = logging.getLogger("agatewing.stream")

#: Timeout of the call that frees a KV cache which no engine fetched, in
#: seconds.
RELEASE_TIMEOUT_S = 1.0


class Prefill:
    """Prefill of one stream's prompt, and the KV cache that it makes."""

    __slots__ = (
        "_ctx",
        "_job",
        "_pool",
        "_profile",
        "_check",
        "_not_sent",
        "unfetched_cache",
        "engine_id",
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
        # Check of the last failure: whether it crashed its engine.
        self._check: gevent.Greenlet | None = None
        # Whether the last failure reached no engine.
        self._not_sent = False
        #: KV cache that no engine has fetched yet; ``None`` if there is none.
        self.unfetched_cache: _messages.CacheHandle | None = None
        #: Id of the engine that processed the prompt; empty if none did.
        self.engine_id = ""

    @property
    def cache_engine(self) -> _tracked_target.TrackedTarget | None:
        """Engine that made the KV cache.

        ``None`` if there is none or it has left the pool.
        """
        return self._pool.engines.get(self.engine_id)

    def run_on(
        self,
        tracked: _tracked_target.TrackedTarget,
        expect_within: collections.abc.Callable[[float], None],
    ) -> bool:
        """Have one engine process the prompt; return whether it did.

        On success the handle is in ``unfetched_cache``. ``expect_within`` is
        told the time, in seconds, after which the engine counts as silent.
        """
        _context.check_quarantine(self._ctx, self._job)
        clock = self._ctx.clock
        meter = _meter.LoadMeter(
            tracked, self._profile, False, clock.monotonic()
        )
        cached, sent_at = self._known_cached(tracked), clock.monotonic()
        # Recorded before the prefill ends, so that prompts with the same
        # prefix are routed to this engine meanwhile.
        self.record_prefix(tracked, meter.expected_s)
        try:
            expect_within(meter.stall_timeout_s)
            outcome = self._send(tracked)
            if self.unfetched_cache is not None:
                now = clock.monotonic()
                meter.mark_prompt_processed(now)
                if meter.unqueued and self._cached_is_known(cached):
                    self._pool.learned.record_prefill(
                        self._profile.prompt_tokens,
                        cached,
                        now - sent_at,
                        now,
                        tracked.target.key,
                    )
        finally:
            meter.end()
        if self.unfetched_cache is not None:
            self.engine_id = tracked.target.id
            self.record_prefix(tracked)
            return True
        self._record_failure(tracked, outcome)
        return False

    def _known_cached(self, tracked: _tracked_target.TrackedTarget) -> int:
        """Return the tokens of the prompt that the engine surely has cached.

        Unlike in the profile, those that it is only preferred for are left
        out, and those that it still has to read.
        """
        prompt = self._job.req.prompt
        if prompt is None:
            return 0
        now = self._ctx.clock.monotonic()
        known = self._ctx.index.match(prompt.sized_blocks, now, ready=True)
        return min(
            self._profile.prompt_tokens, known.get(tracked.target.id, 0)
        )

    def _cached_is_known(self, cached: int) -> bool:
        """Return whether the engine has no more cached than ``cached``.

        Where instances hear of a part of the placements only, another one may
        have had a shared prefix read there.
        """
        prompt = self._job.req.prompt
        if prompt is None or self._ctx.registry.full_view:
            return True
        shared = sum(block.tokens for block in prompt.blocks[:-1])
        return cached >= min(shared, self._profile.prompt_tokens)

    def _send(
        self, tracked: _tracked_target.TrackedTarget
    ) -> _messages.Outcome:
        sender = self._ctx.sender
        result = self._send_once(tracked, sender.reuse(True))
        if isinstance(result, _messages.Unknown) and result.stale:
            # The target closed the connection while it was idle. Retrying is
            # safe, because a prompt may be processed twice.
            self._job.reached_target = True
            if _context.spend_retry(self._ctx, self._job):
                result = self._send_once(tracked, decisions.Reuse.NEVER)
        if not isinstance(result, _sender.AnswerStarted):
            return result
        outcome = sender.read_body(result, tracked, self._job.deadline)
        if isinstance(outcome, _messages.Answered):
            address = tracked.target.address
            if outcome.head.status == 200:
                self.unfetched_cache = self._ctx.dialect.cache_handle(
                    address, outcome.body
                )
            tracked.record_answer()
        return outcome

    def _send_once(
        self,
        tracked: _tracked_target.TrackedTarget,
        reuse: decisions.Reuse,
    ) -> _sender.SendResult:
        return self._ctx.sender.send_request(
            tracked,
            self._job.req,
            self.send_options(tracked, prefill_only=True),
            self._job.deadline,
            reuse,
        )

    def _record_failure(
        self,
        tracked: _tracked_target.TrackedTarget,
        outcome: _messages.Outcome,
    ) -> None:
        """Exclude an engine that did not process the prompt."""
        job = self._job
        job.excluded.add(tracked.target.id)
        if job.req.prompt is not None:
            self._ctx.index.drop(
                tracked.target.id, job.req.prompt.sized_blocks
            )
        self._check = self._ctx.quarantine.check_break(
            job.req, tracked.target, outcome
        )
        _context.log_event(
            job,
            "the prefill failed",
            target=tracked.target.id,
            outcome=str(outcome),
        )
        self._not_sent = isinstance(outcome, _messages.NotSent)
        match outcome:
            case _messages.NotSent():
                job.unreached.add(tracked.target.id)
            case _messages.NotRun():
                job.reached_target = True
                tracked.record_busy()
            case _:
                job.reached_target = True
                tracked.record_no_answer()

    def prepare_retry(self, others: bool) -> None:
        """Prepare another try after a failure, or raise the final refusal.

        A prefill does not run the request itself, so it may be retried within
        the retry budget. It does not count towards the route's limit of
        targets. ``others`` says whether other paths are still awaited.
        """
        job, reason = self._job, "the prefill failed"
        job.on_trial = False
        if self._ctx.clock.monotonic() >= job.deadline:
            raise _context.give_up_error(job, f"{reason}; no time is left")
        if others:
            raise _context.give_up_error(job, f"{reason}; another is awaited")
        # What was paid for a send that reached no engine pays for the next.
        if not self._not_sent and not _context.spend_retry(self._ctx, job):
            raise _context.give_up_error(job, f"{reason}; no retry is left")
        check, self._check = self._check, None
        _context.await_check(self._ctx, job, check)

    def send_options(
        self,
        tracked: _tracked_target.TrackedTarget,
        prefill_only: bool,
        last_event_id: bytes | None = None,
    ) -> _messages.SendOptions:
        """Return the values of the headers that the gateway adds to a send."""
        now = self._ctx.clock.monotonic()
        remaining_s = self._job.deadline - now
        # A prompt that was processed elsewhere keeps memory there until this
        # engine has fetched it, so it yields to nothing any more.
        cache = None if prefill_only else self.unfetched_cache
        priority = decisions.engine_class(
            decisions.prefill_cost_tokens(self._profile, tracked.load),
            cache is None and now < self._profile.yields_until,
        )
        return _messages.SendOptions(
            tracked.target.id,
            remaining_s,
            priority,
            prefill_only,
            cache,
            self._fetch_from(tracked, prefill_only),
            last_event_id,
            self._job.identity,
        )

    def _fetch_from(
        self, tracked: _tracked_target.TrackedTarget, prefill_only: bool
    ) -> str | None:
        """Return the address of an engine that has a longer cached prefix.

        Returns ``None`` if there is nothing to gain from fetching it.
        """
        if self.unfetched_cache is not None and not prefill_only:
            return None
        if not decisions.fetchable_tokens(self._profile, tracked.load):
            return None
        source = self._pool.engines.get(self._profile.fetch_source)
        now = self._ctx.clock.monotonic()
        if source is None or not source.takes_requests(now):
            return None
        return source.target.address

    def record_prefix(
        self, tracked: _tracked_target.TrackedTarget, ready_s: float = 0.0
    ) -> None:
        """Record that an engine will have the prompt cached.

        ``ready_s`` is the time until then, in seconds; 0 if it has it now.
        """
        prompt = self._job.req.prompt
        if prompt is not None:
            self._ctx.index.add(
                tracked.target.id,
                prompt.sized_blocks,
                self._ctx.clock.monotonic(),
                ready_s,
            )

    def mark_fetch_failed(self) -> None:
        """Record that the KV cache could not be fetched, and free it."""
        if self.cache_engine is not None:
            self.cache_engine.record_cache_fetch_failure()
        self.release()

    def mark_fetched(self) -> None:
        """Record that another engine has fetched the KV cache."""
        if self.unfetched_cache is not None and self.cache_engine is not None:
            self.cache_engine.record_cache_fetch()
        self.unfetched_cache = None

    def release(self) -> None:
        """Free the KV cache, if no engine has fetched it."""
        cache, self.unfetched_cache = self.unfetched_cache, None
        if cache is not None and self.cache_engine is not None:
            gevent.spawn(self._release_on, self.cache_engine, cache)

    def _release_on(
        self,
        tracked: _tracked_target.TrackedTarget,
        cache: _messages.CacheHandle,
    ) -> None:
        outgoing = self._ctx.dialect.release_request(cache)
        try:
            self._ctx.sender.call(tracked, outgoing, RELEASE_TIMEOUT_S)
        except (
            _channel.ConnectError,
            _channel.BrokenError,
            _channel.DeadlineExceededError,
        ) as exc:
            # The engine frees the cache by itself when it expires.
            _log.info("stream: KV cache not freed: %s", exc)
