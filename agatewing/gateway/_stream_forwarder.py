"""Forwards requests whose answers are streams of events to engines."""

import dataclasses

from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _refusals
from agatewing.gateway import _stream
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

#: Cost of a byte sent to another zone, as seconds of answer time: on the most
#: expensive price sheet a body of 12,000 bytes costs a seventh of the value of
#: its answer, which counts like 40 ms of its 800 ms.
CROSS_ZONE_S_PER_BYTE = 3.3e-6

#: Weight of the account of streams that callers take up, against 1 of a
#: route's new ones: they have less time left, and a part of them is delivered.
TAKE_UP_WEIGHT = 4.0
#: Refusals for want of room.
FULL_KINDS = (_types.RefusalKind.OVERLOADED, _types.RefusalKind.DEADLINE)
#: Least share of the length that callers expect which an answer may have:
#: their hints are right at the median and off by up to two times.
SHORT_ANSWER_SHARE = 0.5


class RouteAccount:
    """Account of a route in the fair queue, so that no route starves."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: float = 1.0) -> None:
        self.name = name
        self.weight = weight


class StreamForwarder:
    """Handler of requests for streams."""

    __slots__ = ("_ctx",)

    def __init__(self, ctx: _context.HandlerContext) -> None:
        self._ctx = ctx

    def handle(self, job: _context.Job) -> None:
        """Answer one request; raise ``GatewayRefusedError`` if refused."""
        _context.check_quarantine(self._ctx, job, sending=False)
        software = self._find_version(job)
        pool = self._ctx.registry.pools.get(job.service)
        if pool is None or not pool.engines:
            raise _refusals.GatewayRefusedError(
                _refusals.no_target(job.service, False, self._ctx.rng)
            )
        if software is not None and not pool.decodes(software):
            raise _refusals.GatewayRefusedError(
                _refusals.no_version(job.service, software, self._ctx.rng)
            )
        _context.check_back_offs(self._ctx, job, software)
        now = self._ctx.clock.monotonic()
        pool.refresh(now)
        located, known_tokens = self._locate(job, pool)
        profile = dataclasses.replace(
            _with_length(located, job, pool, 1.0),
            software=software,
            avoid=self._avoided(job, pool, software),
            yields_until=self._yields_until(job),
        )
        yields = now < profile.yields_until
        if job.req.handed_on is None:
            self._ctx.urgency_use.record_asked(job.priority, yields)
        self._record_demand(job, pool, profile, known_tokens)
        handed_on = job.req.handed_on
        resumes = handed_on is not None and not handed_on.begins
        if resumes or _context.needs_detour(self._ctx, job):
            # A stream that goes on has been admitted, and a peer admits
            # those that are handed on.
            _stream.Stream(self._ctx, job, pool, profile).run(None)
            return
        name, weight = job.route.name, 1.0
        if software is not None:
            # Engines of one version may be full while others have room.
            name, weight = f"{name} of {software}", TAKE_UP_WEIGHT
        if profile.avoid:
            name = f"{name}, sent before"
        if job.over_share:
            # Behind these, what may wait would yield for too long.
            name = f"{name}, over share"
        elif yields:
            name = f"{name}, may wait"
        account = RouteAccount(name, weight)
        job.queued = True
        try:
            route = self._ctx.dispatcher.wait_for_route(
                pool,
                account,
                profile,
                self._queue_deadline(job, pool),
                _with_length(located, job, pool, SHORT_ANSWER_SHARE),
            )
            job.queued = False
        except _exceptions.RefusedError as exc:
            error = _context.dispatcher_refusal(exc)
            raise self._in_order(job, pool, account, yields, error) from exc
        waited_s = self._ctx.clock.monotonic() - now
        try:
            self._check_patience(job, pool, profile, route)
        except _refusals.GatewayRefusedError as error:
            raise self._in_order(job, pool, account, yields, error) from error
        self._ctx.urgency_use.record_sent(job.priority, waited_s)
        _stream.Stream(self._ctx, job, pool, profile).run(route)

    def _yields_until(self, job: _context.Job) -> float:
        """Return the monotonic time until which a request yields; 0 if not.

        A stream that has begun yields to none. What exceeds the share of its
        account yields as long as it may be served.
        """
        if job.req.take_up is not None or job.req.handed_on is not None:
            return 0.0
        ctx = self._ctx
        yields_s = decisions.yielding_s(
            decisions.Urgency(job.priority, job.route.objective_s),
            ctx.catalog.routes.urgencies.get(job.service, ()),
        )
        if job.account is not None:
            excess = ctx.account_use.excess_share(
                job.account, bool(yields_s), ctx.clock.monotonic()
            )
            if excess and ctx.rng.random() < excess:
                job.over_share = True
                ctx.account_use.over_share[job.account.name] += 1
                return job.deadline
        return job.req.arrived_at + yields_s if yields_s else 0.0

    def _in_order(
        self,
        job: _context.Job,
        pool: _target_registry.Pool,
        account: RouteAccount,
        yields: bool,
        error: _refusals.GatewayRefusedError,
    ) -> _refusals.GatewayRefusedError:
        """Return a refusal with the time at which it is the caller's turn.

        Counts it, and keeps what decided it for the log.
        """
        refusal = error.refusal
        queue = self._ctx.dispatcher.queue_of(pool).fair_queue
        job.decided_by = {
            "rank": job.priority,
            "yields": yields,
            "over_share": job.over_share,
            "objective_s": job.route.objective_s,
            "queued": len(queue),
            "queued_engine_s": round(queue.backlog, 3),
            "share": round(queue.share_of(account.name, account.weight), 3),
        }
        self._ctx.urgency_use.record_refused(job.priority, str(refusal.kind))
        room_s = refusal.retry_after_s
        ordered = yields or job.account is not None
        if refusal.kind not in FULL_KINDS or room_s is None or not ordered:
            return error
        after_s = decisions.retry_after_s(
            room_s, yields, self._ctx.rng.random()
        )
        return _refusals.GatewayRefusedError(
            dataclasses.replace(refusal, retry_after_s=after_s)
        )

    def _record_demand(
        self,
        job: _context.Job,
        pool: _target_registry.Pool,
        profile: decisions.RequestProfile,
        known_tokens: int,
    ) -> None:
        """Count a caller's request, also one that will be refused.

        Of the prompt, the ``known_tokens`` that some engine is known to have
        count as cached; the preferred engine still has to read them. But in
        fleets in which an instance hears of a part of the placements only,
        other instances have had most prefixes read there.
        """
        prompt, engines = job.req.prompt, pool.engine_class()
        if prompt is None or engines is None or job.req.handed_on:
            return
        cached = known_tokens
        if not self._ctx.registry.full_view:
            cached = max(profile.cached.values(), default=0)
        cost = engines.speed.prefill_cost_tokens(
            profile.prompt_tokens, min(cached, profile.prompt_tokens)
        )
        pool.stream_demand.add(
            cost,
            _prefill_place(cost),
            profile.prompt_tokens,
            profile.output_tokens,
            self._ctx.clock.monotonic(),
        )

    def _avoided(
        self,
        job: _context.Job,
        pool: _target_registry.Pool,
        software: str | None,
    ) -> frozenset[str]:
        """Return the ids of engines that the first send does not go to.

        Another instance has sent it there. If no other engine is left, one
        that broke a stream off may go on with it; a request that has begun
        no stream is refused by :class:`GatewayRefusedError`.
        """
        avoid = frozenset(job.excluded)
        if not avoid or pool.decodes(software, avoid):
            return avoid
        if software is not None:
            job.excluded.clear()
            return frozenset()
        raise _refusals.GatewayRefusedError(
            _refusals.no_target(job.service, True, self._ctx.rng)
        )

    def _queue_deadline(
        self, job: _context.Job, pool: _target_registry.Pool
    ) -> float:
        """Return the monotonic time until which a request may be queued.

        While engines limit the requests of all instances, a queue holds more
        than they take; callers that would give up are refused at once.
        """
        if not pool.limited:
            return job.deadline
        give_up_at = job.req.arrived_at + job.route.patience_s
        return min(job.deadline, give_up_at - _context.ANSWER_MARGIN_S)

    def _find_version(self, job: _context.Job) -> str | None:
        """Return the software version that a taken-up stream is bound to.

        ``None`` for a new stream. Sets the job's service to that which began
        the stream. Raises :class:`GatewayRefusedError` if the version is not
        known, or the route no longer leads to that service.
        """
        handed_on = job.req.handed_on
        if handed_on is not None:
            return handed_on.software
        take_up = job.req.take_up
        if take_up is None or not _takes_up(job):
            return None
        origin = self._ctx.streams.find(take_up.first_attempt, job.service)
        if origin is None:
            raise _refusals.GatewayRefusedError(
                _refusals.unknown_stream(self._ctx.rng)
            )
        if origin.service not in {s.service for s in job.route.shares}:
            raise _refusals.GatewayRefusedError(
                _refusals.no_version(
                    origin.service, origin.software, self._ctx.rng
                )
            )
        job.service = origin.service
        return origin.software

    def _check_patience(
        self,
        job: _context.Job,
        pool: _target_registry.Pool,
        profile: decisions.RequestProfile,
        route: decisions.Route,
    ) -> None:
        """Refuse a request whose prompt would wait too long at its engine.

        That is, if its caller would give up before the first event, or if the
        engine's queue makes a stream late that is neither begun nor handed on.
        Time that has passed since the request came is none of that queue.
        """
        match route:
            case decisions.Single(engine=name):
                tracked = pool.engines.get(name)
            case decisions.Split(prefill=name):
                tracked = pool.engines.get(name)
        if tracked is None:
            return
        waited_s = self._ctx.clock.monotonic() - job.req.arrived_at
        patience_s = job.route.patience_s - waited_s
        expected_s = decisions.prefill_s(profile, tracked.load)
        after_s = decisions.retry_delay_if_late(expected_s, patience_s)
        begun = profile.software is not None or job.req.handed_on is not None
        if after_s is None and not begun:
            after_s = decisions.retry_delay_if_overdue(
                expected_s,
                decisions.unqueued_prefill_s(profile, tracked.load),
                job.route.objective_s,
            )
        if after_s is not None:
            raise _refusals.GatewayRefusedError(
                _refusals.overloaded(
                    "the engines have too much to read", after_s
                )
            )

    def _locate(
        self, job: _context.Job, pool: _target_registry.Pool
    ) -> tuple[decisions.RequestProfile, int]:
        """Return the size of the prompt and where its prefix is cached.

        Also returns how many of its tokens some engine is known to have, the
        preferred engine left aside.
        """
        prompt = job.req.prompt
        if prompt is None:
            return decisions.RequestProfile(0, 1, self._ctx.zone), 0
        blocks = prompt.sized_blocks
        now = self._ctx.clock.monotonic()
        cached = self._ctx.index.match(blocks, now)
        cached = {n: t for n, t in cached.items() if n in pool.engines}
        ready = self._ctx.index.match(blocks, now, ready=True)
        known_tokens = max(cached.values(), default=0)
        # The last block belongs to this request alone, so it is not shared.
        self._add_preferred_engine(pool, blocks[:-1], cached)
        source = self._fetch_source(pool, ready)
        profile = decisions.RequestProfile(
            prompt.tokens,
            1,
            self._ctx.zone,
            cached,
            fetch_source=source.target.id if source is not None else "",
            fetch_source_zone=source.target.zone if source is not None else "",
            cross_zone_s=decisions.ZONE_ROUND_TRIP_S
            + len(job.req.body) * CROSS_ZONE_S_PER_BYTE,
        )
        return profile, known_tokens

    def _add_preferred_engine(
        self,
        pool: _target_registry.Pool,
        shared: decisions.PrefixBlocks,
        cached: dict[str, int],
    ) -> None:
        """Count shared prefix blocks as cached at their preferred engine.

        Does nothing if an engine is known to have all of them. All instances
        choose the same preferred engine, so that prompts with the same prefix
        meet there.
        """
        tokens = sum(size for _, size in shared)
        if max(cached.values(), default=0) >= tokens:
            return
        candidates = [
            name
            for name, tracked in pool.engines.items()
            if tracked.load.routable
            and tracked.load.role is _types.Role.PREFILL
        ]
        preferred = decisions.preferred_engine(shared, candidates)
        if preferred is not None:
            cached[preferred] = tokens

    def _fetch_source(
        self, pool: _target_registry.Pool, cached: dict[str, int]
    ) -> _tracked_target.TrackedTarget | None:
        """Return the engine from which others fetch cached prefix blocks."""
        holders = [
            tracked
            for name, tracked in pool.engines.items()
            if name in cached
            and tracked.load.routable
            and not tracked.failures
        ]
        return max(
            holders,
            key=lambda tracked: (
                cached[tracked.target.id],
                tracked.load.role is _types.Role.PREFILL,
            ),
            default=None,
        )


def _with_length(
    located: decisions.RequestProfile,
    job: _context.Job,
    pool: _target_registry.Pool,
    share: float,
) -> decisions.RequestProfile:
    """Return the profile of a request with an answer of some length.

    The answer has ``share`` of the length that the caller expects; of a
    stream that is taken up only the rest is left.
    """
    prompt, take_up = job.req.prompt, job.req.take_up
    if prompt is None:
        return located
    profile = dataclasses.replace(
        located, output_tokens=max(1, int(prompt.max_output_tokens * share))
    )
    if take_up is None or not _takes_up(job):
        return profile
    return decisions.remaining_profile(
        profile, int(take_up.events * pool.learned.tokens_per_event())
    )


def _prefill_place(cost_tokens: int) -> decisions.PrefillPlace:
    """Return which engines may prefill a prompt of this cost."""
    if cost_tokens > _target_registry.COLOCATED_PREFILL_TOKENS:
        return decisions.PrefillPlace.APART
    if cost_tokens >= decisions.SPLIT_MIN_TOKENS:
        return decisions.PrefillPlace.EITHER
    return decisions.PrefillPlace.BESIDE


def _takes_up(job: _context.Job) -> bool:
    """Return whether a request continues a stream of an earlier attempt."""
    return job.req.take_up is not None and job.attempts.idempotent
