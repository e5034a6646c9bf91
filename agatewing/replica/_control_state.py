"""Leases and orders to engines, as a function of the control stream."""

import collections
import dataclasses
import typing

import msgspec

from agatewing.replica import _records

#: Settled orders kept for operators and for repeated records.
MAX_SETTLED = 1_024


class Lease(msgspec.Struct):
    """A lease as of the last record."""

    # Name of the lease.
    name: str
    # Fencing number: offset of the grant.
    fence: int
    # Holder as ``instance/incarnation``; empty if released.
    holder: str
    # Offset of the grant, last renewal or release.
    touched: int
    # Time it holds without renewal, in seconds.
    duration_s: float


class OrderState(msgspec.Struct):
    """A valid order and who may still deliver it."""

    # Id of the order.
    id: str
    # Offset, which is the fencing number sent to the engine.
    number: int
    # Lease under which it was given.
    lease: str
    # Name of the engine.
    engine: str
    # What the engine is to be.
    change: _records.Change
    # Whether the engine refuses old fencing numbers.
    checked: bool
    # Settlement by deliverer; ``None`` while one may still send.
    deliverers: dict[str, _records.Settlement | None]

    @property
    def settled(self) -> bool:
        """Whether no deliverer can send the order any more."""
        return all(how is not None for how in self.deliverers.values())

    @property
    def delivered(self) -> bool:
        """Whether a deliverer had the engine's consent."""
        return _records.Settlement.DELIVERED in self.deliverers.values()


class _Dump(msgspec.Struct):
    """Plain form of the whole state."""

    rank: int
    leases: list[Lease]
    orders: list[OrderState]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefusal:
    """Why an order record has no effect."""

    #: Reason, for the time line.
    reason: str


class ControlState:
    """Leases by name, the last valid order of each engine."""

    __slots__ = (
        "leases",
        "orders",
        "order_refusals",
        "valid_orders",
        "_rank",
    )

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Return to the state with no lease and no order."""
        #: Lease by name.
        self.leases: dict[str, Lease] = {}
        #: Last valid order by name of the engine.
        self.orders: dict[str, OrderState] = {}
        #: Refused orders by id, the newest last.
        self.order_refusals: collections.OrderedDict[str, OrderRefusal] = (
            collections.OrderedDict()
        )
        #: Number of valid orders seen.
        self.valid_orders = 0
        self._rank = 0

    def rank(self) -> int:
        """Return the offset of the last record that had an effect."""
        return self._rank

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Apply one record of the control stream."""
        who = str(author)
        match record:
            case _records.LeaseClaim():
                changed = self._claim(offset, who, record)
            case _records.LeaseRenew(fences=fences):
                changed = self._renew(offset, who, fences)
            case _records.LeaseRelease(fences=fences):
                changed = self._release(offset, who, fences)
            case _records.Order():
                changed = self._order(offset, who, record)
            case _records.OrderTaken():
                changed = self._take(who, record)
            case _records.OrderSettled():
                changed = self._settle(who, record)
            case _:
                changed = False
        if changed:
            self._rank = offset

    def holds(self, lease: str, fence: int, who: str) -> bool:
        """Return whether ``who`` holds the lease under this number."""
        found = self.leases.get(lease)
        if found is None:
            return False
        return found.fence == fence and found.holder == who

    def touched(self, lease: str) -> int:
        """Return the offset that a claim has to name."""
        found = self.leases.get(lease)
        return found.touched if found else 0

    def _claim(
        self, offset: int, who: str, record: _records.LeaseClaim
    ) -> bool:
        if record.over != self.touched(record.lease):
            return False
        self.leases[record.lease] = Lease(
            record.lease, offset, who, offset, record.duration_s
        )
        return True

    def _renew(self, offset: int, who: str, fences: dict[str, int]) -> bool:
        changed = False
        for name, fence in fences.items():
            if self.holds(name, fence, who):
                self.leases[name].touched = offset
                changed = True
        return changed

    def _release(self, offset: int, who: str, fences: dict[str, int]) -> bool:
        changed = False
        for name, fence in fences.items():
            if self.holds(name, fence, who):
                self.leases[name].touched = offset
                self.leases[name].holder = ""
                changed = True
        return changed

    def _order(self, offset: int, who: str, record: _records.Order) -> bool:
        reason = self._order_fault(who, record)
        if reason is not None:
            self.order_refusals[record.id] = OrderRefusal(reason)
            if len(self.order_refusals) > MAX_SETTLED:
                self.order_refusals.popitem(last=False)
            return False
        self.orders[record.engine] = OrderState(
            record.id,
            offset,
            record.lease,
            record.engine,
            record.change,
            record.checked,
            {who: None},
        )
        self.valid_orders += 1
        return True

    def _order_fault(self, who: str, record: _records.Order) -> str | None:
        if not self.holds(record.lease, record.fence, who):
            return "its author does not hold the lease"
        current = self.orders.get(record.engine)
        if current is None:
            return None
        if current.id == record.id:
            return "its id was used before"
        if current.settled or (record.checked and current.checked):
            return None
        return "an earlier order may still be delivered"

    def _find(self, order_id: str) -> OrderState | None:
        for order in self.orders.values():
            if order.id == order_id:
                return order
        return None

    def _take(self, who: str, record: _records.OrderTaken) -> bool:
        order = self._find(record.id)
        if order is None or order.lease != record.lease:
            return False
        if not self.holds(record.lease, record.fence, who):
            return False
        order.deliverers[who] = None
        return True

    def _settle(self, who: str, record: _records.OrderSettled) -> bool:
        order = self._find(record.id)
        if order is None or record.deliverer not in order.deliverers:
            return False
        if order.deliverers[record.deliverer] is not None:
            return False
        if record.how is _records.Settlement.GONE:
            lease = self.leases.get(order.lease)
            allowed = lease is not None and lease.holder == who
        else:
            allowed = record.deliverer == who
        if allowed:
            order.deliverers[record.deliverer] = record.how
        return allowed

    def dump(self) -> dict[str, typing.Any]:
        """Return the state as plain data."""
        return msgspec.to_builtins(
            _Dump(
                self._rank,
                list(self.leases.values()),
                list(self.orders.values()),
            )
        )

    def load(self, state: dict[str, typing.Any]) -> None:
        """Replace the state by a dump."""
        try:
            dump = msgspec.convert(state, _Dump)
        except msgspec.ValidationError as exc:
            raise ValueError(str(exc)) from exc
        self.reset()
        self._rank = dump.rank
        self.leases = {lease.name: lease for lease in dump.leases}
        self.orders = {order.engine: order for order in dump.orders}
