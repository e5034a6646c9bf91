"""Orders engines to change roles until they match the role plan."""

import collections.abc
import dataclasses
import logging

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import duties
from agatewing.gateway import _channel
from agatewing.gateway import _ports
from agatewing.gateway import _ranks
from agatewing.gateway import _sender
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

_log = logging.getLogger("agatewing.orders")

#: Time between two checks of the roles, in seconds: a tenth of the time for
#: which an engine is unavailable during a role change.
CHECK_PERIOD_S = 0.3
#: Time that must pass after an engine was added to the role plan before orders
#: are sent, in seconds: announcements of engines that start together arrive
#: within a heartbeat of 1.2 s. Moves that add no decode engine must stay
#: planned for as long, unless they come from a new split.
SETTLE_S = 1.5
#: Time for which too few engines must have had the role decode before one is
#: ordered to take it, in seconds; short, as every stream is slower meanwhile.
DECODE_SHORTAGE_S = 0.4
#: Time for which an order counts as carried out though the engine has not
#: announced its new role, in seconds: the change takes 3 s, the heartbeat and
#: the delay of the log two more, and the engine first finishes its requests.
ORDER_PENDING_S = 10.0
#: Additional delay per rank before an instance gives orders, in seconds: if
#: the roles still differ from the plan, the next instance takes over after
#: the time of a role change and its announcement.
NEXT_RANK_DELAY_S = 7.0
#: Number of instances, by rank, that may give orders; more would only add
#: reads of the log.
ORDERING_INSTANCES = 3
#: Consecutive failures after which an engine is left out of the plan.
EXCLUDE_AFTER_FAILURES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingOrder:
    """An order whose sending was begun; also kept if the send failed."""

    #: Role that the engine was ordered to change to.
    role: _types.Role
    #: Monotonic time of the order, in seconds.
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PlannedMoves:
    """Role changes that every check since ``since`` planned, or none."""

    #: Names of the engines that the last check included in the role plan.
    engines: frozenset[str]
    #: New roles of the planned changes; may be empty. Which engines are to
    #: take them may change with their load.
    roles: tuple[_types.Role, ...]
    #: Monotonic time of the first check that planned these changes, in
    #: seconds.
    since: float
    #: Monotonic time at which an engine was last added to the role plan,
    #: because it is new or usable again, in seconds.
    joined_at: float
    #: Number of engines that are to decode.
    decode_engines: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoleLoopContext:
    """Components of the instance that the loop uses."""

    #: The clock.
    clock: _clock.Clock
    #: Targets.
    registry: _target_registry.TargetRegistry
    #: Sends to targets.
    sender: _sender.Sender
    #: Builds orders in the platform's format.
    dialect: _ports.Dialect
    #: Acquires the right to give orders.
    claims: duties.Claims
    #: Name of the instance.
    name: str
    #: Returns the names of the other instances that are alive.
    live_peers: collections.abc.Callable[[], collections.abc.Iterable[str]]
    #: Returns whether the view of the engines is up to date.
    view_current: collections.abc.Callable[[], bool]
    #: Returns the demand of all instances for a pool; ``None`` if unknown.
    demand_of: collections.abc.Callable[
        [_target_registry.Pool], decisions.StreamDemand | None
    ]
    #: Returns whether engines of a service come or leave within seconds.
    is_changing: collections.abc.Callable[[str], bool] = lambda service: False


class RoleLoop:
    """Sends the orders for planned role changes.

    The instance of rank 0 acts first. Those of higher ranks act later, and
    only if the roles still differ from the plan.
    """

    __slots__ = (
        "_context",
        "_pending_orders",
        "_planned_moves",
        "_planners",
        "_adopted_split",
        "_decided_at",
        "orders",
        "decode_planned",
    )

    def __init__(self, context: RoleLoopContext) -> None:
        self._context = context
        self._pending_orders: dict[str, _PendingOrder] = {}
        self._planned_moves: dict[str, _PlannedMoves] = {}
        self._planners: dict[str, decisions.DecodePlanner] = {}
        # Split of the last claim of another instance, by service.
        self._adopted_split: dict[str, float] = {}
        # Monotonic time of the last new split by demand, in seconds, by pool.
        self._decided_at: dict[str, float] = {}
        #: Number of engines that are to decode, by pool.
        self.decode_planned: dict[str, int] = {}
        #: Number of orders that were answered.
        self.orders = 0

    def run(self) -> None:
        """Check the roles periodically, forever."""
        while True:
            self._context.clock.sleep(CHECK_PERIOD_S)
            self.step()

    def step(self) -> None:
        """Check the roles of all services once and send the orders due."""
        now = self._context.clock.monotonic()
        self._drop_finished_orders(now)
        if not self._context.view_current():
            # With an outdated view, engines may only seem to be gone.
            self._planned_moves.clear()
            return
        rank = self._rank()
        may_order = rank < ORDERING_INSTANCES
        if may_order:
            self._context.claims.prepare()
            self._adopt_split()
        for pool in list(self._context.registry.pools.values()):
            engines = self._engines(pool)
            self._keep_present_split(pool, engines, now)
            wanted = self._plan_decode_engines(pool, engines, now)
            if may_order:
                self._check_pool(pool, engines, wanted, rank, now)
            else:
                self._planned_moves.pop(pool.name, None)

    def _adopt_split(self) -> None:
        """Take over the split that another instance ordered last."""
        ordered = self._context.claims.ordered_split()
        if ordered == self._adopted_split:
            return
        self._adopted_split = ordered
        for name, share in ordered.items():
            self._planner_of(name).adopt(share)

    def _planner_of(self, service: str) -> decisions.DecodePlanner:
        planner = self._planners.get(service)
        if planner is None:
            planner = decisions.DecodePlanner(decisions.MIN_DECODE_ENGINES)
            self._planners[service] = planner
        return planner

    def _check_pool(
        self,
        pool: _target_registry.Pool,
        engines: list[decisions.RolePlanEngine],
        wanted: int,
        rank: int,
        now: float,
    ) -> None:
        """Send the orders that are due so that ``wanted`` engines decode.

        ``rank`` is that of this instance.
        """
        moves = decisions.plan_roles(engines, wanted)
        names = frozenset(e.name for e in engines)
        previous = self._planned_moves.get(pool.name)
        joined_at = (
            previous.joined_at
            if previous and names <= previous.engines
            else now
        )
        roles = tuple(move.role for move in moves)
        since = previous.since if previous and roles == previous.roles else now
        if previous and wanted != previous.decode_engines:
            # The planner has waited until the gain of the new split lasted.
            since = now - SETTLE_S
        self._planned_moves[pool.name] = _PlannedMoves(
            names, roles, since, joined_at, wanted
        )
        settled = now - joined_at >= SETTLE_S
        if (
            self._context.is_changing(pool.name)
            and not self._decided_lately(pool, now)
            and _has_both_roles(engines)
        ):
            # Moves for a number that holds for seconds would be undone.
            return
        if moves and settled and now - since >= _required_age_s(moves, rank):
            self._order(pool, moves)

    def _keep_present_split(
        self,
        pool: _target_registry.Pool,
        engines: list[decisions.RolePlanEngine],
        now: float,
    ) -> None:
        """Have the planner go on with the split that came about.

        Where the number of engines is ordered, they come with any role and
        leave with any. Each change of a role has callers refused, so only the
        demand for one is a reason. Without demand, the planned split holds.
        """
        if pool.service.scaling is None or self._decided_lately(pool, now):
            return
        if self._context.demand_of(pool) is None:
            return
        if not _has_both_roles(engines):
            return
        count = len(engines)
        decode = sum(e.role is _types.Role.DECODE for e in engines)
        planner = self._planner_of(pool.name)
        if decode != int(count * planner.share + 0.5):
            planner.adopt(decode / count)

    def _decided_lately(self, pool: _target_registry.Pool, now: float) -> bool:
        """Return whether orders for a new split may still be due."""
        decided_at = self._decided_at.get(pool.name, float("-inf"))
        return now - decided_at < ORDER_PENDING_S

    def _plan_decode_engines(
        self,
        pool: _target_registry.Pool,
        engines: list[decisions.RolePlanEngine],
        now: float,
    ) -> int:
        """Return how many engines are to decode, by the present demand."""
        planner = self._planner_of(pool.name)
        demand = self._context.demand_of(pool)
        needs = None
        engine_class = pool.engine_class()
        if demand is not None and engine_class is not None:
            needs = decisions.role_needs(demand, engine_class)
        bounds = decisions.PARTIAL_VIEW_BOUNDS
        if pool.full_view:
            bounds = decisions.FULL_VIEW_BOUNDS
        decision = planner.plan(len(engines), needs, now, bounds)
        if isinstance(decision, decisions.ChangeSplit):
            self._decided_at[pool.name] = now
            _log.info(
                "orders: split of the engines changed",
                extra={
                    "service": pool.name,
                    "decode": decision.decode_engines,
                    "before": decision.before,
                    "engines": len(engines),
                    "utilization": round(decision.utilization, 3),
                    "utilization_after": round(decision.utilization_after, 3),
                },
            )
        self.decode_planned[pool.name] = decision.decode_engines
        return decision.decode_engines

    def _engines(
        self, pool: _target_registry.Pool
    ) -> list[decisions.RolePlanEngine]:
        """Return the engines to include in the role plan."""
        engines = []
        for name, tracked in pool.engines.items():
            role = tracked.target.role
            if role is None or not tracked.active:
                continue
            if tracked.failures >= EXCLUDE_AFTER_FAILURES:
                continue
            sent = self._pending_orders.get(name)
            engines.append(
                decisions.RolePlanEngine(
                    name,
                    tracked.target.zone,
                    sent.role if sent else role,
                    tracked.load.sequences,
                    sent is not None,
                    tracked.target.software,
                )
            )
        return engines

    def _rank(self) -> int:
        """Return this instance's rank among those that are alive.

        The instance of rank 0 is the first to give orders.
        """
        return _ranks.rank(self._context.name, self._context.live_peers())

    def _order(
        self,
        pool: _target_registry.Pool,
        moves: tuple[decisions.RoleMove, ...],
    ) -> None:
        moves = tuple(m for m in moves if self._takes_orders(pool, m.engine))
        if not moves:
            return
        claim = self._context.claims.acquire(
            {name: p.share for name, p in self._planners.items()}
        )
        if claim is None:
            return
        for move in moves:
            if not self._context.claims.valid(claim):
                return
            tracked = pool.engines.get(move.engine)
            if tracked is not None:
                self._send(tracked, move.role, claim)

    def _takes_orders(self, pool: _target_registry.Pool, name: str) -> bool:
        tracked = pool.engines.get(name)
        now = self._context.clock.monotonic()
        return tracked is not None and tracked.takes_requests(now)

    def _send(
        self,
        tracked: _tracked_target.TrackedTarget,
        role: _types.Role,
        claim: duties.Claim,
    ) -> None:
        """Send one order.

        The status of the answer is only logged: the engine's next
        announcement shows whether it changed its role.
        """
        name = tracked.target.id
        now = self._context.clock.monotonic()
        self._pending_orders[name] = _PendingOrder(role, now)
        tracked.mark_role_change(decisions.ROLE_SWITCH_S)
        outgoing = self._context.dialect.role_order(
            tracked.target, role, self._context.name, claim.token
        )
        try:
            status = self._context.sender.send_command(
                tracked,
                outgoing,
                duties.ORDER_TIMEOUT_S,
                lambda: self._context.claims.valid(claim),
            )
        except (
            _channel.ConnectError,
            _channel.BrokenError,
            _channel.DeadlineExceededError,
        ) as exc:
            _log.warning(
                "orders: no answer",
                extra={"target": name, "role": str(role), "reason": str(exc)},
            )
            return
        self.orders += 1
        _log.info(
            "orders: given",
            extra={
                "target": name,
                "role": str(role),
                "token": claim.token,
                "status": status,
            },
        )

    def _drop_finished_orders(self, now: float) -> None:
        """Forget orders that were carried out or timed out.

        Orders for engines that are no longer registered are forgotten too.
        """
        by_id = self._context.registry.by_id
        for name, sent in list(self._pending_orders.items()):
            tracked = by_id.get(name)
            done = tracked is None or tracked.target.role is sent.role
            if done or now - sent.at >= ORDER_PENDING_S:
                del self._pending_orders[name]


def _required_age_s(moves: tuple[decisions.RoleMove, ...], rank: int) -> float:
    """Return for how long moves must be planned before orders are sent.

    In seconds; ``rank`` is that of the instance.
    """
    adds_decode = moves[0].role is _types.Role.DECODE
    base = DECODE_SHORTAGE_S if adds_decode else SETTLE_S
    return base + NEXT_RANK_DELAY_S * rank


def _has_both_roles(engines: list[decisions.RolePlanEngine]) -> bool:
    decode = sum(e.role is _types.Role.DECODE for e in engines)
    return decisions.MIN_DECODE_ENGINES <= decode < len(engines)
