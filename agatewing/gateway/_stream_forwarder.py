"""Forwards requests whose answers are streams of events to engines."""

from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _context
from agatewing.gateway import _machine
from agatewing.gateway import _machines
from agatewing.gateway import _refusals
from agatewing.gateway import _stream

#: Cost of a byte sent to another zone, as seconds of answer time: on the most
#: expensive price sheet a body of 12,000 bytes costs a seventh of the value of
#: its answer, which counts like 40 ms of its 800 ms.
CROSS_ZONE_S_PER_BYTE = 3.3e-6


class RouteAccount:
    """Account of a route in the fair queue, so that no route starves."""

    __slots__ = ("name", "weight")

    def __init__(self, name: str, weight: float = 1.0) -> None:
        self.name = name
        self.weight = weight


class StreamForwarder:
    """Handler of requests for streams."""

    __slots__ = ("_parts",)

    def __init__(self, parts: _context.Parts) -> None:
        self._parts = parts

    def handle(self, job: _context.Job) -> None:
        """Answer one request; raise ``GatewayRefusedError`` if refused."""
        pool = self._parts.machines.pools.get(job.service)
        if pool is None or not pool.engines:
            raise _refusals.GatewayRefusedError(
                _refusals.no_target(job.service, False, self._parts.rng)
            )
        now = self._parts.clock.monotonic()
        pool.refresh(now)
        work = self._cost_estimate(job, pool)
        try:
            route = self._parts.dispatcher.enter(
                pool, RouteAccount(job.route.name), work, job.deadline
            )
        except _exceptions.RefusedError as exc:
            raise _context.dispatcher_refusal(exc) from exc
        self._check_patience(job, pool, work, route)
        _stream.Stream(self._parts, job, pool, work).run(route)

    def _check_patience(
        self,
        job: _context.Job,
        pool: _machines.Pool,
        work: decisions.Work,
        route: decisions.Route,
    ) -> None:
        """Refuse a request whose caller would give up before its answer."""
        match route:
            case decisions.Single(engine=name):
                machine = pool.engines.get(name)
            case decisions.Split(prefill=name):
                machine = pool.engines.get(name)
        if machine is None:
            return
        waited_s = self._parts.clock.monotonic() - job.req.arrived_at
        patience_s = job.route.patience_s - waited_s
        expected_s = decisions.prefill_s(work, machine.load)
        after_s = decisions.comes_too_late(expected_s, patience_s)
        if after_s is not None:
            raise _refusals.GatewayRefusedError(
                _refusals.overloaded(
                    "the engines have too much to read", after_s
                )
            )

    def _cost_estimate(
        self, job: _context.Job, pool: _machines.Pool
    ) -> decisions.Work:
        """Return the cost estimate of the request at an engine."""
        prompt = job.req.prompt
        if prompt is None:
            return decisions.Work(0, 1, self._parts.zone)
        blocks = prompt.sized_blocks
        now = self._parts.clock.monotonic()
        cached = self._parts.index.match(blocks, now)
        cached = {n: t for n, t in cached.items() if n in pool.engines}
        ready = self._parts.index.match(blocks, now, ready=True)
        self._add_default_engine(pool, blocks[:-1], cached)
        source = self._fetch_source(pool, ready)
        return decisions.Work(
            prompt.tokens,
            max(1, prompt.max_output_tokens),
            self._parts.zone,
            cached,
            source=source.target.id if source is not None else "",
            source_zone=source.target.zone if source is not None else "",
            cross_s=decisions.ZONE_ROUND_TRIP_S
            + len(job.req.body) * CROSS_ZONE_S_PER_BYTE,
        )

    def _add_default_engine(
        self,
        pool: _machines.Pool,
        shared: decisions.Parts,
        cached: dict[str, int],
    ) -> None:
        """Count shared prefix blocks as cached at their default engine.

        Does nothing if an engine is known to have all of them. All instances
        choose the same default engine, so that prompts with the same prefix
        meet there.
        """
        tokens = sum(size for _, size in shared)
        if max(cached.values(), default=0) >= tokens:
            return
        candidates = [
            name
            for name, machine in pool.engines.items()
            if machine.load.routable
            and machine.load.role is _types.Role.PREFILL
        ]
        default_engine = decisions.home(shared, candidates)
        if default_engine is not None:
            cached[default_engine] = tokens

    def _fetch_source(
        self, pool: _machines.Pool, cached: dict[str, int]
    ) -> _machine.Machine | None:
        """Return the engine from which others fetch cached prefix blocks."""
        holders = [
            machine
            for name, machine in pool.engines.items()
            if name in cached
            and machine.load.routable
            and not machine.failures
        ]
        return max(
            holders,
            key=lambda m: (
                cached[m.target.id],
                m.load.role is _types.Role.PREFILL,
            ),
            default=None,
        )
