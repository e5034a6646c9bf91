"""Orders engines to change roles until they match the role plan."""

import collections.abc
import dataclasses
import logging

import xxhash

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _claims
from agatewing.gateway import _ports
from agatewing.gateway import _sender
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

_log = logging.getLogger("agatewing.orders")

#: Time between two checks of the roles, in seconds: a tenth of the time for
#: which an engine is unavailable during a role change.
CHECK_PERIOD_S = 0.3
#: Time for which no engine may have joined before engines are ordered, in
#: seconds: entries of engines that start together arrive within a heartbeat
#: of 1.2 s. Moves that add no decode engine must stay planned for as long.
SETTLE_S = 1.5
#: Time for which too few engines must have had the role decode before one is
#: ordered to take it, in seconds; short, as every stream is slower meanwhile.
DECODE_SHORTAGE_S = 0.4
#: Time for which a sent order counts as carried out though the engine has not
#: announced its new role, in seconds: the change takes 3 s, the heartbeat and
#: the delay of the log two more, and the engine first finishes its requests.
ORDER_PENDING_S = 10.0
#: Time for which an engine gets no requests after an order, in seconds: the
#: duration of a role change on the engines' data sheet.
CHANGING_S = 3.0
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
class _SentOrder:
    """An order that was sent."""

    #: Role that the engine was ordered to change to.
    role: _types.Role
    #: Monotonic time of the order, in seconds.
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingMoves:
    """Role changes that every check since ``since`` has planned."""

    #: Names of the engines known, and the planned role changes.
    engines: frozenset[str]
    moves: tuple[decisions.RoleMove, ...]
    #: Monotonic time of the first check that planned these changes.
    since: float
    #: Monotonic time at which an engine last joined.
    joined_at: float


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
    claims: _claims.Claims
    #: Name of the instance.
    name: str
    #: Returns the names of the other instances that are alive.
    live_peers: collections.abc.Callable[[], collections.abc.Iterable[str]]
    #: Returns whether the view of the engines is up to date.
    view_current: collections.abc.Callable[[], bool]
    #: Planned share of the engines that decode.
    decode_share: float


class RoleLoop:
    """Orders planned role changes; instances act in order of their ranks."""

    __slots__ = ("_context", "_sent_orders", "_pending", "orders")

    def __init__(self, context: RoleLoopContext) -> None:
        self._context = context
        self._sent_orders: dict[str, _SentOrder] = {}
        self._pending: dict[str, _PendingMoves] = {}
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
            self._pending.clear()
            return
        if self._rank() < ORDERING_INSTANCES:
            self._context.claims.prepare()
        for pool in list(self._context.registry.pools.values()):
            self._check_pool(pool, now)

    def _check_pool(self, pool: _target_registry.Pool, now: float) -> None:
        engines = self._engines(pool)
        moves = decisions.plan_roles(engines, self._context.decode_share)
        names = frozenset(e.name for e in engines)
        previous = self._pending.get(pool.name)
        joined_at = (
            previous.joined_at
            if previous and names <= previous.engines
            else now
        )
        since = previous.since if previous and moves == previous.moves else now
        self._pending[pool.name] = _PendingMoves(
            names, moves, since, joined_at
        )
        settled = now - joined_at >= SETTLE_S
        if moves and settled and now - since >= self._required_age_s(moves):
            self._order(pool, moves)

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
            sent = self._sent_orders.get(name)
            engines.append(
                decisions.RolePlanEngine(
                    name,
                    tracked.target.zone,
                    sent.role if sent else role,
                    tracked.load.sequences,
                    sent is not None,
                )
            )
        return engines

    def _required_age_s(self, moves: tuple[decisions.RoleMove, ...]) -> float:
        """Return for how long moves must be planned before orders are sent.

        In seconds; infinite if this instance gives no orders.
        """
        adds_decode = moves[0].role is _types.Role.DECODE
        base = DECODE_SHORTAGE_S if adds_decode else SETTLE_S
        rank = self._rank()
        if rank >= ORDERING_INSTANCES:
            return float("inf")
        return base + NEXT_RANK_DELAY_S * rank

    def _rank(self) -> int:
        """Return this instance's rank among those alive; 0 orders first."""
        own = _hash_rank(self._context.name)
        return sum(
            _hash_rank(name) < own for name in self._context.live_peers()
        )

    def _order(
        self,
        pool: _target_registry.Pool,
        moves: tuple[decisions.RoleMove, ...],
    ) -> None:
        claim = self._context.claims.acquire()
        if claim is None:
            return
        for move in moves:
            if not self._context.claims.valid(claim):
                return
            tracked = pool.engines.get(move.engine)
            if tracked is not None:
                self._send(tracked, move.role, claim)

    def _send(
        self,
        tracked: _tracked_target.TrackedTarget,
        role: _types.Role,
        claim: _claims.Claim,
    ) -> None:
        """Send one order; its effect is read from the engine's entry."""
        name = tracked.target.id
        now = self._context.clock.monotonic()
        self._sent_orders[name] = _SentOrder(role, now)
        tracked.mark_role_change(CHANGING_S)
        outgoing = self._context.dialect.role_order(
            tracked.target, role, self._context.name, claim.token
        )
        try:
            status = self._context.sender.send_command(
                tracked,
                outgoing,
                _claims.ORDER_TIMEOUT_S,
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
        """Forget sent orders that were carried out or timed out."""
        by_id = self._context.registry.by_id
        for name, sent in list(self._sent_orders.items()):
            tracked = by_id.get(name)
            done = tracked is None or tracked.target.role is sent.role
            if done or now - sent.at >= ORDER_PENDING_S:
                del self._sent_orders[name]


def _hash_rank(name: str) -> int:
    """Return a hash of the name, by which all instances rank each other."""
    return xxhash.xxh64_intdigest(name.encode())
