"""All engines and targets of the configuration in force."""

import collections.abc
import random

from agatewing import _clock
from agatewing import config
from agatewing import decisions
from agatewing.fleet import _machines
from agatewing.fleet import _meters


class Pool:
    """Engines that serve the same model services."""

    __slots__ = ("name", "engines", "meter", "index", "router", "slots")

    def __init__(self, name: str, rng: random.Random, slots: int) -> None:
        #: Name of the pool.
        self.name = name
        #: Engines by name.
        self.engines: dict[str, _machines.EngineMachine] = {}
        #: Work asked for here.
        self.meter = _meters.DemandMeter()
        #: Hints of cached prefixes.
        self.index = decisions.PrefixIndex()
        #: Chooses engines.
        self.router = decisions.Router(rng)
        #: Concurrent sequences of one engine.
        self.slots = slots

    def loads(self) -> list[decisions.EngineLoad]:
        """Return the state of all engines for the decisions."""
        return [machine.load for machine in self.engines.values()]

    def routable(self) -> list[_machines.EngineMachine]:
        """Return engines that may get new work."""
        return [m for m in self.engines.values() if m.load.routable]

    def ease_outliers(self, now: float) -> list[str]:
        """Update the share of work of each engine; return eased ones."""
        paces = {name: m.pace for name, m in self.engines.items()}
        shares = decisions.ease(paces, now)
        eased = []
        for name, machine in self.engines.items():
            share = shares[name]
            if share < 1 <= machine.load.ease:
                eased.append(name)
            machine.load.ease = share
            machine.load.slowness = max(1.0, machine.pace.current(now))
        return eased


class Fleet:
    """Follows the configuration; keeps machines that stay the same."""

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
        make_client: _machines.MakeClient,
    ) -> None:
        self._clock = clock
        self._random = rng
        self._make_client = make_client
        #: Configuration in force; ``None`` before the first.
        self.document: config.Document | None = None
        #: Engine pools by name.
        self.pools: dict[str, Pool] = {}
        #: Targets of plain services by name.
        self.targets: dict[str, _machines.ServiceMachine] = {}

    def apply(self, document: config.Document) -> None:
        """Put a configuration in force; nothing here yields."""
        self.document = document
        self._apply_pools(document)
        self._apply_targets(document)

    def pool_of(self, service: str) -> Pool | None:
        """Return the pool that serves a model service."""
        if self.document is None:
            return None
        return self.pools.get(self.document.pool_of(service))

    def engines(self) -> collections.abc.Iterator[_machines.EngineMachine]:
        """Return all engines."""
        for pool in self.pools.values():
            yield from pool.engines.values()

    def engine(self, name: str) -> _machines.EngineMachine | None:
        """Return an engine by its name."""
        for pool in self.pools.values():
            if name in pool.engines:
                return pool.engines[name]
        return None

    def pick_target(
        self, service: str, avoid: frozenset[str], zone: str
    ) -> _machines.ServiceMachine | None:
        """Return a target of a plain service, two choices by load."""
        if self.document is None:
            return None
        now = self._clock.monotonic()
        names = self.document.targets_of(service)
        usable = [
            machine
            for name in names
            if name not in avoid
            and (machine := self.targets[name]).usable(now)
        ]
        if not usable:
            return None
        two = self._random.sample(usable, min(2, len(usable)))
        return min(two, key=lambda m: (m.in_flight, m.spec.zone != zone))

    def _apply_pools(self, document: config.Document) -> None:
        old = {m.name: m for m in self.engines()}
        pools: dict[str, Pool] = {}
        for name in sorted(document.pools()):
            slots = _slots_of(document, name)
            pool = self.pools.get(name) or Pool(name, self._random, slots)
            pool.engines = {}
            for engine, spec in document.engines_of_pool(name).items():
                machine = old.get(engine)
                if machine is None or _moved(machine.spec, spec):
                    machine = _machines.EngineMachine(
                        engine, spec, slots, self._make_client
                    )
                if machine.spec is not spec or machine.name not in old:
                    machine.update_spec(spec, self._clock.monotonic())
                pool.engines[engine] = machine
            pools[name] = pool
        self.pools = pools

    def _apply_targets(self, document: config.Document) -> None:
        targets: dict[str, _machines.ServiceMachine] = {}
        for name, spec in document.targets.items():
            machine = self.targets.get(name)
            if machine is None or machine.spec.address != spec.address:
                machine = _machines.ServiceMachine(
                    name, spec, self._make_client
                )
            machine.spec = spec
            targets[name] = machine
        self.targets = targets


def _moved(old: config.Engine, new: config.Engine) -> bool:
    """Return whether the row names another machine than before."""
    return old.address != new.address or old.zone != new.zone


def _slots_of(document: config.Document, pool: str) -> int:
    """Return the batch size of a pool's engines."""
    sizes = [
        service.engine_slots
        for name, service in document.services.items()
        if isinstance(service, config.ModelService)
        and document.pool_of(name) == pool
    ]
    return min(sizes)
