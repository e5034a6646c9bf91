"""Engines and service targets of the configuration in force."""

import collections.abc
import random

from agatewing import _clock
from agatewing import config
from agatewing import decisions
from agatewing.fleet import _meters
from agatewing.fleet import _targets


class Pool:
    """Engines that serve the same model services."""

    __slots__ = ("name", "engines", "meter", "index", "router", "slots")

    def __init__(self, name: str, rng: random.Random, slots: int) -> None:
        #: Name of the pool.
        self.name = name
        #: Engines by name.
        self.engines: dict[str, _targets.EngineTarget] = {}
        #: Rates of tokens and requests that callers ask this instance for.
        self.meter = _meters.DemandMeter()
        #: Prompt blocks that each engine probably has in its prefix cache.
        self.index = decisions.PrefixIndex()
        #: Chooses the engines for a request.
        self.router = decisions.Router(rng)
        #: Configured batch size of one engine, in sequences.
        self.slots = slots

    def loads(self) -> list[decisions.EngineLoad]:
        """Return the load of every engine, routable or not."""
        return [engine.load for engine in self.engines.values()]

    def routable(self) -> list[_targets.EngineTarget]:
        """Return the engines to which new requests may be sent."""
        return [
            engine for engine in self.engines.values() if engine.load.routable
        ]

    def reduce_outlier_shares(self, now: float) -> list[str]:
        """Update the traffic shares; that of a slow outlier is below 1.

        Returns the names of engines whose share was 1 until now and has
        fallen below it.
        """
        measured = {
            name: engine.slowness for name, engine in self.engines.items()
        }
        shares = decisions.traffic_shares(measured, now)
        reduced = []
        for name, engine in self.engines.items():
            share = shares[name]
            if share < 1 <= engine.load.traffic_share:
                reduced.append(name)
            engine.load.traffic_share = share
            engine.load.slowness = max(1.0, engine.slowness.current(now))
        return reduced


class Fleet:
    """Holds one object for each engine and target of the configuration.

    A new configuration keeps the object of an engine whose address and zone,
    or of a target whose address, did not change, with its connections.
    """

    __slots__ = (
        "_clock",
        "_random",
        "_make_client",
        "document",
        "pools",
        "targets",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        rng: random.Random,
        make_client: _targets.ClientFactory,
    ) -> None:
        self._clock = clock
        self._random = rng
        self._make_client = make_client
        #: Configuration in force; ``None`` before the first.
        self.document: config.Document | None = None
        #: Engine pools by name.
        self.pools: dict[str, Pool] = {}
        #: Targets of plain services by name.
        self.targets: dict[str, _targets.ServiceTarget] = {}

    def apply(self, document: config.Document) -> None:
        """Put a configuration in force.

        Nothing in this method yields to another greenlet, so no greenlet
        sees a configuration that is applied in part.
        """
        self.document = document
        self._apply_pools(document)
        self._apply_targets(document)

    def pool_of(self, service: str) -> Pool | None:
        """Return the pool that serves a model service, or ``None``."""
        if self.document is None:
            return None
        return self.pools.get(self.document.pool_of(service))

    def engines(self) -> collections.abc.Iterator[_targets.EngineTarget]:
        """Yield the engines of all pools."""
        for pool in self.pools.values():
            yield from pool.engines.values()

    def engine(self, name: str) -> _targets.EngineTarget | None:
        """Return the engine with a name, or ``None``."""
        for pool in self.pools.values():
            if name in pool.engines:
                return pool.engines[name]
        return None

    def pick_target(
        self, service: str, avoid: frozenset[str], zone: str
    ) -> _targets.ServiceTarget | None:
        """Choose a target of a plain service, or return ``None``.

        Draws two active targets at random and returns the one with fewer
        calls in flight from this instance; on a tie, the one in ``zone``.
        Targets that failed lately are chosen only if there is no other.
        """
        if self.document is None:
            return None
        now = self._clock.monotonic()
        names = self.document.targets_of(service)
        active = [
            target
            for name in names
            if name not in avoid and (target := self.targets[name]).active
        ]
        usable = [target for target in active if target.usable(now)] or active
        if not usable:
            return None
        candidates = self._random.sample(usable, min(2, len(usable)))
        return min(
            candidates, key=lambda t: (t.in_flight, t.spec.zone != zone)
        )

    def _apply_pools(self, document: config.Document) -> None:
        existing = {engine.name: engine for engine in self.engines()}
        pools: dict[str, Pool] = {}
        for name in sorted(document.pools()):
            slots = _slots_of(document, name)
            pool = self.pools.get(name) or Pool(name, self._random, slots)
            pool.engines = {}
            for engine_name, spec in document.engines_of_pool(name).items():
                engine = existing.get(engine_name)
                if engine is None or _is_other_engine(engine.spec, spec):
                    engine = _targets.EngineTarget(
                        engine_name, spec, slots, self._make_client
                    )
                if engine.spec is not spec or engine.name not in existing:
                    engine.update_spec(spec, self._clock.monotonic())
                pool.engines[engine_name] = engine
            pools[name] = pool
        self.pools = pools

    def _apply_targets(self, document: config.Document) -> None:
        targets: dict[str, _targets.ServiceTarget] = {}
        for name, spec in document.targets.items():
            target = self.targets.get(name)
            deadline_s = document.services[spec.service].deadline_s
            if target is None or target.spec.address != spec.address:
                target = _targets.ServiceTarget(
                    name, spec, self._make_client, deadline_s
                )
            target.update_spec(spec, deadline_s)
            targets[name] = target
        self.targets = targets


def _is_other_engine(previous: config.Engine, current: config.Engine) -> bool:
    """Return whether the address or zone of an engine changed."""
    return previous.address != current.address or previous.zone != current.zone


def _slots_of(document: config.Document, pool: str) -> int:
    """Return the smallest batch size of the pool's model services."""
    sizes = [
        service.engine_slots
        for name, service in document.services.items()
        if isinstance(service, config.ModelService)
        and document.pool_of(name) == pool
    ]
    return min(sizes)
