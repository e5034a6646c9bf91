"""Plans the roles of each pool whose lease is held, and orders them."""

import collections.abc

from agatewing import _clock
from agatewing import _types
from agatewing import config
from agatewing.control import _leases
from agatewing.control import _orders
from agatewing import decisions
from agatewing import fleet
from agatewing import replica

#: Time between two plans, in seconds.
PERIOD_S = 2.0
#: Prefix of the names of pool leases.
LEASE_PREFIX = "pool/"

DemandOf = collections.abc.Callable[[str], decisions.TokenDemand]


def lease_of(pool: str) -> str:
    """Return the name of a pool's lease."""
    return LEASE_PREFIX + pool


class RoleLoop:
    """Turns role decisions into orders."""

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
        machines: fleet.Fleet,
        leases: _leases.LeaseKeeper,
        orders: _orders.OrderKeeper,
        demand_of: DemandOf,
    ) -> None:
        self._clock = clock
        self._fleet = machines
        self._leases = leases
        self._orders = orders
        self._demand_of = demand_of
        self._planners: dict[
            str, tuple[decisions.Policy, decisions.RolePlanner]
        ] = {}
        #: Role changes ordered.
        self.changes = 0

    def run(self) -> None:
        """Plan for ever."""
        while True:
            self._clock.sleep(PERIOD_S)
            for name in list(self._fleet.pools):
                self.step(name)

    def step(self, name: str) -> None:
        """Plan one pool, if its lease is held."""
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
            [self._planned(m) for m in pool.engines.values() if _known(m)],
            _typical_speed(pool),
            self._clock.monotonic(),
        )
        match decision:
            case decisions.ChangeRole(engine=engine, role=role):
                machine = pool.engines[engine]
                given = self._orders.give(
                    lease,
                    engine,
                    replica.SetRole(role),
                    machine.spec.checks_fencing,
                )
                self.changes += given
            case decisions.Keep():
                pass

    def _planner(
        self, name: str, policy: decisions.Policy
    ) -> decisions.RolePlanner:
        known = self._planners.get(name)
        if known is None or known[0] != policy:
            known = (policy, decisions.RolePlanner(policy))
            self._planners[name] = known
        return known[1]

    def _planned(
        self, machine: fleet.EngineMachine
    ) -> decisions.PlannedEngine:
        changeable = not machine.changing and self._orders.may_order(
            machine.name, machine.spec.checks_fencing
        )
        return decisions.PlannedEngine(
            machine.name,
            machine.load.role,
            machine.spec.roles,
            changeable,
            machine.load.sequences,
        )


def _known(machine: fleet.EngineMachine) -> bool:
    """Return whether an engine counts in the plan."""
    active = machine.spec.state is _types.TargetState.ACTIVE
    return active and machine.report is not None and not machine.draining


def _typical_speed(pool: fleet.Pool) -> decisions.Speed:
    """Return the speed of an engine of the pool."""
    for machine in pool.engines.values():
        return machine.load.speed
    return decisions.Speed()


def _policy(document: config.Document, pool: str) -> decisions.Policy:
    """Return the operators' rule for a pool."""
    floors = [
        service.role_floor
        for name, service in document.services.items()
        if isinstance(service, config.ModelService)
        and document.pool_of(name) == pool
    ]
    return decisions.Policy(
        document.rules.goodput_weight, max(floors, default=1)
    )
