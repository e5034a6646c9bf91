"""Queues requests for engines fairly and sends them as credits allow."""

import collections.abc
import dataclasses
import typing

import gevent.event

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions

#: Time between two looks at a queue that waits for credits, in seconds.
PUMP_PERIOD_S = 0.02
#: Smoothing of the calibration.
CALIBRATION_ALPHA = 0.05


class Caller(typing.Protocol):
    """Who a request is counted for in the fair queue."""

    @property
    def name(self) -> str:
        """Name of the account."""

    @property
    def weight(self) -> float:
        """Weight in the fair queue."""


class Machine(typing.Protocol):
    """An engine as far as the dispatcher needs it."""

    @property
    def load(self) -> decisions.EngineLoad:
        """State for the decisions."""


class Meter(typing.Protocol):
    """Counts the work that callers ask for."""

    def add(self, prefill: float, decode: float, now: float) -> None:
        """Count the tokens of one request."""


class Pool(typing.Protocol):
    """Engines that serve the same requests."""

    @property
    def name(self) -> str:
        """Name of the pool."""

    @property
    def meter(self) -> Meter:
        """Counts the work asked for."""

    @property
    def router(self) -> decisions.Router:
        """Chooses engines."""

    @property
    def engines(self) -> collections.abc.Mapping[str, Machine]:
        """Engines by name."""

    def loads(self) -> list[decisions.EngineLoad]:
        """Return the state of all engines for the decisions."""

    def routable(self) -> collections.abc.Sequence[Machine]:
        """Return engines that may get new work."""


class PoolSource(typing.Protocol):
    """Holds the pools of the configuration in force."""

    @property
    def pools(self) -> collections.abc.Mapping[str, Pool]:
        """Pools by name."""


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request on its way to an engine."""

    #: Who asks.
    identity: Caller
    #: What it asks of an engine.
    work: decisions.Work
    #: Monotonic time at which the answer has to be whole.
    deadline: float
    #: Expected time of the answer once it is sent, in seconds.
    service_s: float
    #: Route, or the refusal.
    turn: "gevent.event.AsyncResult[Turn]"


Turn: typing.TypeAlias = decisions.Route | _exceptions.Refusal


class PoolQueue:
    """Requests that wait for one pool."""

    __slots__ = ("queue", "calibration", "rate", "refused_late")

    def __init__(self) -> None:
        #: Requests by caller.
        self.queue: decisions.FairQueue[Waiting] = decisions.FairQueue()
        #: Measured time of answers over their estimate.
        self.calibration = 1.0
        #: Requests that could not be answered in time any more.
        self.refused_late = 0
        #: Measured rate, in engine seconds a second.
        self.rate = decisions.ServiceRate()

    def observe(self, expected_s: float, actual_s: float) -> None:
        """Learn how far the estimates are off."""
        ratio = min(5.0, max(0.2, actual_s / max(expected_s, 1e-3)))
        self.calibration += CALIBRATION_ALPHA * (ratio - self.calibration)


class Dispatcher:
    """Admits, queues and routes requests for engines."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_limit",
        "_waiting",
        "queues",
        "instances",
    )

    def __init__(
        self, clock: _clock.Clock, machines: PoolSource, limit: int
    ) -> None:
        self._clock = clock
        self._fleet = machines
        self._limit = limit
        self._waiting = gevent.event.Event()
        #: Queue by name of the pool.
        self.queues: dict[str, PoolQueue] = {}
        #: Live instances that share the engines.
        self.instances = 1

    def run(self) -> None:
        """Look at waiting queues for ever."""
        while True:
            self._waiting.wait()
            self._waiting.clear()
            while self._pump_all():
                self._clock.sleep(PUMP_PERIOD_S)

    def _pump_all(self) -> bool:
        """Look at every queue; return whether any is left waiting."""
        left = False
        for name, queue in list(self.queues.items()):
            if len(queue.queue):
                self.pump(name)
                left = left or bool(len(queue.queue))
        return left

    def queue_of(self, pool: Pool) -> PoolQueue:
        """Return the queue of a pool."""
        return self.queues.setdefault(pool.name, PoolQueue())

    def enter(
        self,
        pool: Pool,
        identity: Caller,
        work: decisions.Work,
        deadline: float,
    ) -> decisions.Route:
        """Wait for the request's turn; raise if it is refused."""
        now = self._clock.monotonic()
        pool.meter.add(
            work.prompt_tokens - _saved(work), work.output_tokens, now
        )
        waiting = self._admit(pool, identity, work, deadline)
        queue = self.queue_of(pool)
        entry = queue.queue.push(
            identity.name,
            identity.weight,
            self.cost(pool, work),
            waiting,
            deadline - waiting.service_s,
        )
        self.pump(pool.name)
        self._waiting.set()
        left = max(0.0, deadline - self._clock.monotonic())
        try:
            if not self._clock.wait(waiting.turn, left):
                raise _exceptions.RefusedError(_too_late(2.0))
        finally:
            queue.queue.cancel(entry)
        turn = waiting.turn.get()
        if isinstance(turn, _exceptions.Refusal):
            raise _exceptions.RefusedError(turn)
        return turn

    def correct(
        self,
        pool: Pool,
        identity: Caller,
        work: decisions.Work,
        output_tokens: int,
    ) -> None:
        """Charge a caller for the true length of an answer."""
        extra = output_tokens - work.output_tokens
        cost = extra * _speed(pool).token_cost_s()
        self.queue_of(pool).queue.correct(identity.name, cost)

    def cost(self, pool: Pool, work: decisions.Work) -> float:
        """Return the engine seconds that a request takes."""
        speed = _speed(pool)
        prefill = work.prompt_tokens - _saved(work)
        return (
            prefill / speed.prefill_tokens_per_s
            + work.output_tokens * speed.token_cost_s()
        )

    def pump(self, name: str) -> None:
        """Send waiting requests while there are credits."""
        pool = self._fleet.pools.get(name)
        queue = self.queues.get(name)
        if queue is None:
            return
        if pool is None:
            self._refuse_all(queue)
            return
        while self._send_one(pool, queue):
            pass
        waiting = len(queue.queue) > 0
        queue.rate.note_backlog(waiting, self._clock.monotonic())

    def _send_one(self, pool: Pool, queue: PoolQueue) -> bool:
        """Send, or refuse, the first request for which there is room.

        A long prompt that has to wait does not hold other callers up.
        """
        now = self._clock.monotonic()
        loads = pool.loads()
        for entry in queue.queue.heads():
            waiting = entry.item
            if self._refuse_late(queue, waiting, now):
                queue.queue.take(entry)
                return True
            route = pool.router.choose(waiting.work, loads)
            if route is None:
                continue
            queue.queue.take(entry)
            queue.rate.note_sent(entry.cost, now)
            self._reserve(pool, route)
            waiting.turn.set(route)
            return True
        return False

    def _reserve(self, pool: Pool, route: decisions.Route) -> None:
        """Use up the credit at once; the relay counts the rest."""
        match route:
            case decisions.Single(engine=name):
                pool.engines[name].load.credits -= 1
            case decisions.Split(decode=name):
                pool.engines[name].load.credits -= 1

    def _refuse_all(self, queue: PoolQueue) -> None:
        while (entry := queue.queue.pop()) is not None:
            entry.item.turn.set(
                _exceptions.Refusal(
                    _types.RefusalKind.NO_TARGET,
                    "the service was withdrawn",
                    "ask for another model",
                )
            )

    def _refuse_late(
        self, queue: PoolQueue, waiting: Waiting, now: float
    ) -> bool:
        left = waiting.deadline - now
        if decisions.still_worthwhile(waiting.service_s, left):
            return False
        queue.refused_late += 1
        waiting.turn.set(_too_late(2.0))
        return True

    def _admit(
        self,
        pool: Pool,
        identity: Caller,
        work: decisions.Work,
        deadline: float,
    ) -> Waiting:
        routable = pool.routable()
        if not routable:
            raise _exceptions.RefusedError(_no_engine())
        now = self._clock.monotonic()
        service_s = min(
            decisions.single_s(work, machine.load) for machine in routable
        )
        queue = self.queue_of(pool)
        queueing = self._queueing(queue, identity, len(routable), now)
        match decisions.admit(queueing, service_s, deadline - now):
            case decisions.TooLate(retry_after_s=after):
                raise _exceptions.RefusedError(_too_late(after))
            case decisions.QueueFull(retry_after_s=after):
                raise _exceptions.RefusedError(_overloaded(after))
        return Waiting(
            identity,
            work,
            deadline,
            service_s,
            gevent.event.AsyncResult(),
        )

    def _queueing(
        self,
        queue: PoolQueue,
        identity: Caller,
        engines: int,
        now: float,
    ) -> decisions.Queueing:
        waiting = queue.queue
        planned = engines / max(1, self.instances)
        capacity = queue.rate.per_s(planned, now)
        return decisions.Queueing(
            waiting.backlog_of(identity.name),
            waiting.backlog,
            waiting.share_of(identity.name, identity.weight),
            capacity,
            len(waiting),
            self._limit,
            queue.calibration,
        )


def _speed(pool: Pool) -> decisions.Speed:
    """Return the speed of a typical engine of the pool."""
    for machine in pool.engines.values():
        return machine.load.speed
    return decisions.Speed()


def _saved(work: decisions.Work) -> int:
    """Return prompt tokens that some cache will probably save."""
    return min(work.prompt_tokens, max(work.cached.values(), default=0))


def _too_late(retry_after_s: float) -> _exceptions.Refusal:
    """Return the refusal of a request that cannot be answered in time."""
    return _exceptions.Refusal(
        _types.RefusalKind.DEADLINE,
        "the answer cannot be whole before the deadline",
        "come back after Retry-After, or allow more time",
        retry_after_s=retry_after_s,
    )


def _overloaded(retry_after_s: float) -> _exceptions.Refusal:
    """Return the refusal of a request that finds a full queue."""
    return _exceptions.Refusal(
        _types.RefusalKind.OVERLOADED,
        "too many requests wait for this service",
        "come back after Retry-After",
        retry_after_s=retry_after_s,
    )


def _no_engine() -> _exceptions.Refusal:
    """Return the refusal where no engine takes new work."""
    return _exceptions.Refusal(
        _types.RefusalKind.NO_TARGET,
        "no engine of this service takes new work now",
        "come back after Retry-After",
        retry_after_s=2.0,
    )
