"""Orders engines into the roles that the planned split gives them."""

import collections.abc
import dataclasses
import logging

import xxhash

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _claims
from agatewing.gateway import _machine
from agatewing.gateway import _machines
from agatewing.gateway import _ports
from agatewing.gateway import _sender

_log = logging.getLogger("agatewing.orders")

#: Time between two looks at the split, in seconds: a tenth of the time for
#: which an engine is away at a change.
PERIOD_S = 0.3
#: Time since the last engine came before a split is judged, in seconds:
#: entries of engines that start together arrive within a heartbeat of 1.2 s.
SETTLED_S = 1.5
#: Time for which too few engines have to decode before one is moved, in
#: seconds; every stream suffers meanwhile.
SHORT_S = 0.4
#: Time for which an order counts as carried out though the engine has not
#: announced its role, in seconds: the change takes 3 s, its heartbeat and
#: the way through the log two more, and the engine finishes its work first.
PENDING_S = 10.0
#: Time for which an engine that was ordered takes no work, in seconds; the
#: sheet's time of a change.
CHANGING_S = 3.0
#: Time after which the next instance in line sees to a split that is still
#: not as planned, in seconds: a change and its announcement.
NEXT_IN_LINE_S = 7.0
#: Instances in line; more would only read the log.
LINE = 3
#: Failures in a row after which an engine does not count any more.
LOST_FAILURES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Ordered:
    """An order that was sent."""

    #: Role that the engine is to take.
    role: _types.Role
    #: Monotonic time of the order.
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Wish:
    """Moves that were wanted at every look since a time."""

    #: Engines that were known, and the moves.
    engines: frozenset[str]
    moves: tuple[decisions.RoleMove, ...]
    #: Monotonic time of the first look that wanted these moves.
    since: float
    #: Monotonic time at which an engine came last.
    grew_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SplitParts:
    """What the loop uses of its instance."""

    #: The clock.
    clock: _clock.Clock
    #: Targets.
    machines: _machines.Machines
    #: Sends to targets.
    sender: _sender.Sender
    #: Headers of the platform.
    dialect: _ports.Dialect
    #: Claims the right to order.
    claims: _claims.Claims
    #: Name of the instance.
    name: str
    #: Names of other instances that live.
    others: collections.abc.Callable[[], collections.abc.Iterable[str]]
    #: Whether what is known of the engines is up to date.
    sure: collections.abc.Callable[[], bool]
    #: Share of the engines that decode.
    decode_share: float


class SplitLoop:
    """Keeps the split of engines as planned, if it is this one's turn."""

    __slots__ = ("_parts", "_ordered", "_wishes", "orders")

    def __init__(self, parts: SplitParts) -> None:
        self._parts = parts
        self._ordered: dict[str, _Ordered] = {}
        self._wishes: dict[str, _Wish] = {}
        #: Orders sent.
        self.orders = 0

    def run(self) -> None:
        """Look at the split for ever."""
        while True:
            self._parts.clock.sleep(PERIOD_S)
            self.step()

    def step(self) -> None:
        """Look once; give the orders that are due."""
        now = self._parts.clock.monotonic()
        self._forget(now)
        if not self._parts.sure():
            # No order under doubt: engines may only seem to be gone.
            self._wishes.clear()
            return
        if self._place() < LINE:
            self._parts.claims.prepare()
        for pool in list(self._parts.machines.pools.values()):
            self._look_at(pool, now)

    def _look_at(self, pool: _machines.Pool, now: float) -> None:
        engines = self._engines(pool)
        moves = decisions.plan_split(engines, self._parts.decode_share)
        names = frozenset(e.name for e in engines)
        old = self._wishes.get(pool.name)
        grew_at = old.grew_at if old and names <= old.engines else now
        since = old.since if old and moves == old.moves else now
        self._wishes[pool.name] = _Wish(names, moves, since, grew_at)
        settled = now - grew_at >= SETTLED_S
        if moves and settled and now - since >= self._patience_s(moves):
            self._order(pool, moves)

    def _engines(self, pool: _machines.Pool) -> list[decisions.SplitEngine]:
        """Return the engines that can take part in the split."""
        found = []
        for name, machine in pool.engines.items():
            role = machine.target.role
            if role is None or not machine.active:
                continue
            if machine.failures >= LOST_FAILURES:
                continue
            ordered = self._ordered.get(name)
            found.append(
                decisions.SplitEngine(
                    name,
                    machine.target.zone,
                    ordered.role if ordered else role,
                    machine.load.sequences,
                    ordered is not None,
                )
            )
        return found

    def _patience_s(self, moves: tuple[decisions.RoleMove, ...]) -> float:
        """Return how long moves have to be wanted before this one acts."""
        short = moves[0].role is _types.Role.DECODE
        own = SHORT_S if short else SETTLED_S
        place = self._place()
        if place >= LINE:
            return float("inf")
        return own + NEXT_IN_LINE_S * place

    def _place(self) -> int:
        """Return this instance's place in the line of those that order."""
        me = _rank(self._parts.name)
        return sum(_rank(name) < me for name in self._parts.others())

    def _order(
        self, pool: _machines.Pool, moves: tuple[decisions.RoleMove, ...]
    ) -> None:
        claim = self._parts.claims.acquire()
        if claim is None:
            return
        for move in moves:
            if not self._parts.claims.valid(claim):
                return
            machine = pool.engines.get(move.engine)
            if machine is not None:
                self._send(machine, move.role, claim)

    def _send(
        self,
        machine: _machine.Machine,
        role: _types.Role,
        claim: _claims.Claim,
    ) -> None:
        """Send one order; what its answer says shows in the engine's entry."""
        name = machine.target.id
        now = self._parts.clock.monotonic()
        self._ordered[name] = _Ordered(role, now)
        machine.note_ordered(CHANGING_S)
        outgoing = self._parts.dialect.order(
            machine.target, role, self._parts.name, claim.token
        )
        try:
            status = self._parts.sender.command(
                machine,
                outgoing,
                _claims.ORDER_S,
                lambda: self._parts.claims.valid(claim),
            )
        except (
            _channel.ConnectError,
            _channel.BrokenError,
            _channel.OverdueError,
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

    def _forget(self, now: float) -> None:
        """Drop orders that were carried out or are overdue."""
        by_id = self._parts.machines.by_id
        for name, ordered in list(self._ordered.items()):
            machine = by_id.get(name)
            done = machine is None or machine.target.role is ordered.role
            if done or now - ordered.at >= PENDING_S:
                del self._ordered[name]


def _rank(name: str) -> int:
    """Return a number by which all instances agree on their line."""
    return xxhash.xxh64_intdigest(name.encode())
