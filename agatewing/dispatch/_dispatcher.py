"""Admits requests for engines, queues them fairly and routes them.

A credit is the permission to send one more request to an engine. Requests
stay queued while no engine has a credit. Costs are in engine seconds: one
engine second is what one engine can process in a second.
"""

import collections.abc
import dataclasses
import math
import typing

import gevent.event

from agatewing import _clock
from agatewing import _exceptions
from agatewing import decisions
from agatewing.dispatch import _refusals

#: Interval at which queues that wait for credits are checked, in seconds.
DISPATCH_INTERVAL_S = 0.02
#: Weight of a new sample in the moving average of the calibration factor.
CALIBRATION_ALPHA = 0.05


class Caller(typing.Protocol):
    """The account that is charged for a request in the fair queue.

    It is a client account or, in the gateway, a route.
    """

    @property
    def name(self) -> str:
        """Name of the account."""

    @property
    def weight(self) -> float:
        """Weight in the fair queue."""


class Engine(typing.Protocol):
    """The part of an engine that the dispatcher uses."""

    @property
    def load(self) -> decisions.EngineLoad:
        """Load of the engine, with this instance's credits for it."""

    def record_route(self) -> None:
        """Record a request that was routed to it and is not sent yet."""


class Meter(typing.Protocol):
    """Measures the demand for tokens."""

    def add(self, prefill: float, decode: float, now: float) -> None:
        """Add the prefill and decode tokens of one request at ``now``."""


class Pool(typing.Protocol):
    """A group of engines that serve the same requests."""

    @property
    def name(self) -> str:
        """Name of the pool."""

    @property
    def meter(self) -> Meter:
        """Measures the demand for tokens in the pool."""

    @property
    def router(self) -> decisions.Router:
        """Chooses the engine, or engines, of a request."""

    @property
    def engines(self) -> collections.abc.Mapping[str, Engine]:
        """Engines by name."""

    def loads(self) -> list[decisions.EngineLoad]:
        """Return the loads of all engines of the pool."""

    def routable(self) -> collections.abc.Sequence[Engine]:
        """Return the engines that may be sent new requests."""


class PoolSource(typing.Protocol):
    """Provides the pools of the configuration in force."""

    @property
    def pools(self) -> collections.abc.Mapping[str, Pool]:
        """Pools by name."""


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request and the result that its greenlet waits for."""

    #: Account that is charged for the request.
    caller: Caller
    #: Facts from which its cost is estimated.
    profile: decisions.RequestProfile
    #: Monotonic time by which the answer has to be complete, in seconds.
    deadline: float
    #: Expected time from sending the request to its complete answer, in
    #: seconds, if that is as short as it may be.
    service_s: float
    #: Route of the request, or its refusal; set once.
    routing_result: "gevent.event.AsyncResult[RoutingResult]"


RoutingResult: typing.TypeAlias = decisions.Route | _exceptions.Refusal


class PoolQueue:
    """The queue of one pool, its service rate and its time calibration."""

    __slots__ = ("fair_queue", "calibration", "rate", "refused_late")

    def __init__(self) -> None:
        #: Queued requests, ordered by the fair share of their callers.
        self.fair_queue: decisions.FairQueue[QueuedRequest] = (
            decisions.FairQueue()
        )
        #: Moving average of the ratio of measured to estimated answer time.
        self.calibration = 1.0
        #: Number of queued requests refused because their deadline could
        #: no longer be met.
        self.refused_late = 0
        #: Rate at which the queue is served, in engine seconds per second.
        self.rate = decisions.ServiceRate()

    def observe(self, expected_s: float, actual_s: float) -> None:
        """Update the calibration with the time that one answer took.

        ``expected_s`` is the estimate for the actual length of the answer.
        Times are in seconds. Their ratio is limited to 0.2 to 5, so that
        one outlier changes the average little.
        """
        ratio = min(5.0, max(0.2, actual_s / max(expected_s, 1e-3)))
        self.calibration += CALIBRATION_ALPHA * (ratio - self.calibration)


class Dispatcher:
    """Admits, queues and routes requests for engines."""

    __slots__ = (
        "_clock",
        "_pool_source",
        "_max_queued",
        "_has_queued",
        "queues",
        "instances",
        "_ends_at",
    )

    def __init__(
        self, clock: _clock.Clock, pool_source: PoolSource, max_queued: int
    ) -> None:
        self._clock = clock
        self._pool_source = pool_source
        self._max_queued = max_queued
        self._has_queued = gevent.event.Event()
        #: Queue by name of the pool.
        self.queues: dict[str, PoolQueue] = {}
        #: Number of live instances that share the engines.
        self.instances = 1
        # Monotonic time at which the process ends.
        self._ends_at = math.inf

    def begin_end(self, ends_at: float) -> None:
        """Refuse what cannot be answered before the process ends.

        ``ends_at`` is the monotonic time of its end. Queued requests are
        refused at once, later ones on admission.
        """
        self._ends_at = ends_at
        now = self._clock.monotonic()
        for queue in self.queues.values():
            for entry in queue.fair_queue.entries():
                if self._refuse_late(queue, entry.item, now):
                    queue.fair_queue.cancel(entry)

    def run(self) -> None:
        """Dispatch from non-empty queues until the greenlet is killed.

        Sleeps on an event while every queue is empty.
        """
        while True:
            self._has_queued.wait()
            self._has_queued.clear()
            while self._dispatch_all():
                self._clock.sleep(DISPATCH_INTERVAL_S)

    def _dispatch_all(self) -> bool:
        """Dispatch from every queue; return whether requests remain queued."""
        any_queued = False
        for name, queue in list(self.queues.items()):
            if len(queue.fair_queue):
                self.dispatch_queued(name)
                any_queued = any_queued or bool(len(queue.fair_queue))
        return any_queued

    def queue_of(self, pool: Pool) -> PoolQueue:
        """Return the queue of a pool; create it on first use."""
        return self.queues.setdefault(pool.name, PoolQueue())

    def wait_for_route(
        self,
        pool: Pool,
        caller: Caller,
        profile: decisions.RequestProfile,
        deadline: float,
        shortest: decisions.RequestProfile | None = None,
    ) -> decisions.Route:
        """Queue a request until an engine has room; return its route.

        ``shortest`` is its profile with the shortest answer that it may have;
        it is too late only if that would be. ``None`` is the same as
        ``profile``.

        Raises ``RefusedError`` if no engine accepts requests, the queue is
        full, the deadline cannot be met, or the pool is removed while the
        request is queued.
        """
        now = self._clock.monotonic()
        pool.meter.add(
            profile.prompt_tokens - _cached_tokens(profile),
            profile.output_tokens,
            now,
        )
        queued = self._admit(pool, caller, profile, deadline, shortest)
        queue = self.queue_of(pool)
        entry = queue.fair_queue.push(
            caller.name,
            caller.weight,
            self.cost(pool, profile),
            queued,
            # A caller's requests are ordered by the latest time to send them.
            deadline - queued.service_s,
        )
        self.dispatch_queued(pool.name)
        self._has_queued.set()
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        try:
            if not self._clock.wait(queued.routing_result, remaining_s):
                raise _exceptions.RefusedError(_refusals.too_late(2.0))
        finally:
            queue.fair_queue.cancel(entry)
        routing_result = queued.routing_result.get()
        if isinstance(routing_result, _exceptions.Refusal):
            raise _exceptions.RefusedError(routing_result)
        return routing_result

    def adjust_charge(
        self,
        pool: Pool,
        caller: Caller,
        profile: decisions.RequestProfile,
        output_tokens: int,
    ) -> None:
        """Adjust a caller's charge to the actual length of an answer.

        ``output_tokens`` is that length.
        """
        extra_tokens = output_tokens - profile.output_tokens
        cost = extra_tokens * _typical_speed(pool).token_cost_s()
        self.queue_of(pool).fair_queue.adjust_charge(caller.name, cost)

    def cost(self, pool: Pool, profile: decisions.RequestProfile) -> float:
        """Return the estimated cost of a request, in engine seconds."""
        speed = _typical_speed(pool)
        prefill = profile.prompt_tokens - _cached_tokens(profile)
        return (
            prefill / speed.prefill_tokens_per_s
            + profile.output_tokens * speed.token_cost_s()
        )

    def dispatch_queued(self, name: str) -> None:
        """Route queued requests of a pool while engines have credits.

        Refuses all of them if the pool is no longer configured, or has no
        engine left.
        """
        pool = self._pool_source.pools.get(name)
        queue = self.queues.get(name)
        if queue is None:
            return
        if pool is None:
            self._refuse_all(queue, _refusals.withdrawn())
            return
        if not pool.engines:
            self._refuse_all(queue, _refusals.no_engine())
            return
        while self._route_one(pool, queue):
            pass
        has_backlog = len(queue.fair_queue) > 0
        queue.rate.record_backlog(has_backlog, self._clock.monotonic())

    def _route_one(self, pool: Pool, queue: PoolQueue) -> bool:
        """Route or refuse one queued request; return whether one was.

        Tries the first request of each caller, so a long prompt that no
        engine has room for does not block the requests of other callers. It
        blocks those that yield.
        """
        now = self._clock.monotonic()
        loads = pool.loads()
        heads = queue.fair_queue.heads()
        heads.sort(key=lambda entry: now < entry.item.profile.yields_until)
        held_back = False
        for entry in heads:
            queued = entry.item
            if self._refuse_late(queue, queued, now):
                queue.fair_queue.remove_head(entry)
                return True
            if not decisions.may_be_decoded(queued.profile, loads):
                queue.fair_queue.remove_head(entry)
                queued.routing_result.set(_refusals.version_gone())
                return True
            if held_back and now < queued.profile.yields_until:
                continue
            route = pool.router.choose(
                queued.profile, loads, queued.profile.avoid
            )
            if route is None:
                # What yields takes no room that others wait for.
                held_back |= not queued.profile.bound
                continue
            queue.fair_queue.remove_head(entry)
            queue.rate.record_sent(entry.cost, now)
            self._record_route(pool, route)
            queued.routing_result.set(route)
            return True
        return False

    def _record_route(self, pool: Pool, route: decisions.Route) -> None:
        """Record a request at its engines; spend a credit of the decoding one.

        The credit is spent here because the engine's load counts the request
        only once it is sent; until then, further requests could be routed to
        the engine with the same credit.
        """
        match route:
            case decisions.Single(engine=name):
                pool.engines[name].record_route()
            case decisions.Split(prefill=first, decode=name):
                pool.engines[first].record_route()
                pool.engines[name].record_route()
        pool.engines[name].load.credits -= 1

    def _refuse_all(
        self, queue: PoolQueue, refusal: _exceptions.Refusal
    ) -> None:
        """Refuse every queued request of a pool."""
        while (entry := queue.fair_queue.pop()) is not None:
            entry.item.routing_result.set(refusal)

    def _refuse_late(
        self, queue: PoolQueue, queued: QueuedRequest, now: float
    ) -> bool:
        """Refuse a request if it cannot meet its deadline.

        Returns whether it was refused.
        """
        if not decisions.can_meet_deadline(
            queued.service_s, queued.deadline - now
        ):
            refusal = _refusals.too_late(2.0)
        elif not decisions.can_meet_deadline(
            queued.service_s, self._ends_at - now
        ):
            refusal = _refusals.leaving()
        else:
            return False
        queue.refused_late += 1
        queued.routing_result.set(refusal)
        return True

    def _admit(
        self,
        pool: Pool,
        caller: Caller,
        profile: decisions.RequestProfile,
        deadline: float,
        shortest: decisions.RequestProfile | None,
    ) -> QueuedRequest:
        """Return a request to queue; raise if it has to be refused now."""
        routable = pool.routable()
        if not routable:
            raise _exceptions.RefusedError(_refusals.no_engine())
        now = self._clock.monotonic()
        service_s = min(
            decisions.single_engine_s(shortest or profile, engine.load)
            for engine in routable
        )
        queue = self.queue_of(pool)
        queue_state = self._queue_state(
            queue, caller, profile, len(routable), now
        )
        ends_in_s = self._ends_at - now
        match decisions.admit(queue_state, service_s, ends_in_s):
            case decisions.TooLate():
                raise _exceptions.RefusedError(_refusals.leaving())
        match decisions.admit(queue_state, service_s, deadline - now):
            case decisions.TooLate(retry_after_s=after):
                raise _exceptions.RefusedError(_refusals.too_late(after))
            case decisions.QueueFull(retry_after_s=after):
                raise _exceptions.RefusedError(_refusals.overloaded(after))
        return QueuedRequest(
            caller,
            profile,
            deadline,
            service_s,
            gevent.event.AsyncResult(),
        )

    def _queue_state(
        self,
        queue: PoolQueue,
        caller: Caller,
        profile: decisions.RequestProfile,
        engine_count: int,
        now: float,
    ) -> decisions.QueueState:
        """Return what is ahead of a request; all, if it yields."""
        fair_queue = queue.fair_queue
        backlog = own_backlog = fair_queue.backlog
        share = 1.0
        if now >= profile.yields_until:
            backlog -= sum(
                entry.cost
                for entry in fair_queue.entries()
                if now < entry.item.profile.yields_until
            )
            own_backlog = fair_queue.backlog_of(caller.name)
            share = fair_queue.share_of(caller.name, caller.weight)
        # Used until a rate is measured: one engine second per second and
        # engine, shared equally among the instances.
        planned_rate = engine_count / max(1, self.instances)
        capacity = queue.rate.measured_rate(planned_rate, now)
        return decisions.QueueState(
            own_backlog,
            max(0.0, backlog),
            share,
            capacity,
            len(fair_queue),
            self._max_queued,
            queue.calibration,
        )


def _typical_speed(pool: Pool) -> decisions.Speed:
    """Return the speed that stands for all engines of the pool.

    It is that of the first engine, or a default if there is none.
    """
    for engine in pool.engines.values():
        return engine.load.speed
    return decisions.Speed()


def _cached_tokens(profile: decisions.RequestProfile) -> int:
    """Return the length of the longest expected prefix cache hit, in tokens.

    The engine that has it need not be the one that is chosen.
    """
    return min(profile.prompt_tokens, max(profile.cached.values(), default=0))
