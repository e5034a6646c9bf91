"""Plans engine roles for each pool whose lease is held; issues the orders."""

import collections.abc

from agatewing import _clock
from agatewing import _types
from agatewing import config
from agatewing.control import _leases
from agatewing.control import _orders
from agatewing import decisions
from agatewing import fleet
from agatewing import replica

#: Interval between two plans of a pool, in seconds.
PERIOD_S = 2.0
#: Prefix of the name of a pool's lease.
LEASE_PREFIX = "pool/"

DemandOf = collections.abc.Callable[[str], decisions.TokenDemand]


def lease_of(pool: str) -> str:
    """Return the name of a pool's lease."""
    return LEASE_PREFIX + pool


class RoleLoop:
    """Issues an order for each role change that the planner decides."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_leases",
        "_orders",
        "_demand_of",
        "_planners",
        "changes",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        targets: fleet.Fleet,
        leases: _leases.LeaseKeeper,
        orders: _orders.OrderKeeper,
        demand_of: DemandOf,
    ) -> None:
        self._clock = clock
        self._fleet = targets
        self._leases = leases
        self._orders = orders
        self._demand_of = demand_of
        self._planners: dict[
            str, tuple[decisions.RolePolicy, decisions.RolePlanner]
        ] = {}
        #: Number of role changes ordered by this process.
        self.changes = 0

    def run(self) -> None:
        """Plan all pools periodically; never returns."""
        while True:
            self._clock.sleep(PERIOD_S)
            for name in list(self._fleet.pools):
                self.step(name)

    def step(self, name: str) -> None:
        """Plan one pool and order at most one change, if its lease is held."""
        pool = self._fleet.pools.get(name)
        document = self._fleet.document
        lease = lease_of(name)
        if pool is None or document is None:
            return
        if self._leases.fence(lease) is None:
            return
        planner = self._planner(name, _policy(document, name))
        decision = planner.plan(
            self._demand_of(name),
            [
                self._planned_engine(candidate)
                for candidate in pool.engines.values()
                if _is_plannable(candidate)
            ],
            _pool_speed(pool),
            self._clock.monotonic(),
        )
        match decision:
            case decisions.ChangeRole(engine=engine_name, role=role):
                engine = pool.engines[engine_name]
                valid = self._orders.issue(
                    lease,
                    engine_name,
                    replica.SetRole(role),
                    engine.spec.checks_fencing,
                )
                self.changes += valid
            case decisions.KeepRoles():
                pass

    def _planner(
        self, name: str, policy: decisions.RolePolicy
    ) -> decisions.RolePlanner:
        cached = self._planners.get(name)
        if cached is None or cached[0] != policy:
            cached = (policy, decisions.RolePlanner(policy))
            self._planners[name] = cached
        return cached[1]

    def _planned_engine(
        self, engine: fleet.EngineTarget
    ) -> decisions.PlannedEngine:
        changeable = not engine.changing and self._orders.may_order(
            engine.name, engine.spec.checks_fencing
        )
        return decisions.PlannedEngine(
            engine.name,
            engine.load.role,
            engine.spec.roles,
            changeable,
            engine.load.sequences,
        )


def _is_plannable(engine: fleet.EngineTarget) -> bool:
    """Return whether an engine is active, reporting and not draining."""
    active = engine.spec.state is _types.TargetState.ACTIVE
    return active and engine.report is not None and not engine.draining


def _pool_speed(pool: fleet.Pool) -> decisions.Speed:
    """Return the speed of the pool's first engine, or the default speed."""
    for engine in pool.engines.values():
        return engine.load.speed
    return decisions.Speed()


def _policy(document: config.Document, pool: str) -> decisions.RolePolicy:
    """Return a pool's planning policy from the configuration."""
    floors = [
        service.role_floor
        for name, service in document.services.items()
        if isinstance(service, config.ModelService)
        and document.pool_of(name) == pool
    ]
    return decisions.RolePolicy(
        document.rules.goodput_weight, max(floors, default=1)
    )
