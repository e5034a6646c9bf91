"""Leases and orders to engines, as replayed from the control stream."""

import collections
import dataclasses
import typing

import msgspec

from agatewing.replica import _records

#: Refused orders whose reason is kept.
MAX_ORDER_REFUSALS = 1_024


class Lease(msgspec.Struct):
    """A lease, after the last applied record."""

    # Name of the lease.
    name: str
    # Fencing token: offset of the granting record.
    fence: int
    # Holder as ``instance/incarnation``; empty if released.
    holder: str
    # Offset of the last record that granted, renewed or released it.
    touched: int
    # Time for which it is valid without renewal, in seconds.
    duration_s: float


class OrderState(msgspec.Struct):
    """A valid order and its deliverers."""

    # Id of the order.
    id: str
    # Offset of the order, sent to the engine as fencing token.
    number: int
    # Lease under which it was issued.
    lease: str
    # Name of the engine.
    engine: str
    # Role or model that the engine is to change to.
    change: _records.Change
    # Whether the engine refuses orders with an old fencing token.
    checked: bool
    # Settlement by deliverer; ``None`` while it may still send the order.
    deliverers: dict[str, _records.Settlement | None]

    @property
    def settled(self) -> bool:
        """Whether no deliverer can send the order any more."""
        return all(how is not None for how in self.deliverers.values())

    @property
    def delivered(self) -> bool:
        """Whether the engine accepted the order from a deliverer."""
        return _records.Settlement.DELIVERED in self.deliverers.values()


class _StateDump(msgspec.Struct):
    """The whole state, as stored in a snapshot."""

    rank: int
    leases: list[Lease]
    orders: list[OrderState]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefusal:
    """Why an order record has no effect."""

    #: Reason, in words.
    reason: str


class ControlState:
    """Leases by name and the last valid order of each engine."""

    __slots__ = (
        "leases",
        "orders",
        "order_refusals",
        "valid_orders",
        "_state_version",
    )

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Restore the state without leases and orders."""
        #: Lease by name.
        self.leases: dict[str, Lease] = {}
        #: Last valid order by engine name.
        self.orders: dict[str, OrderState] = {}
        #: Refusals by order id, newest last.
        self.order_refusals: collections.OrderedDict[str, OrderRefusal] = (
            collections.OrderedDict()
        )
        #: Number of valid orders applied since the last reset.
        self.valid_orders = 0
        self._state_version = 0

    def state_version(self) -> int:
        """Return the offset of the last record that had an effect."""
        return self._state_version

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Apply one record of the control stream."""
        process = str(author)
        match record:
            case _records.LeaseClaim():
                changed = self._claim(offset, process, record)
            case _records.LeaseRenew(fences=fences):
                changed = self._renew(offset, process, fences)
            case _records.LeaseRelease(fences=fences):
                changed = self._release(offset, process, fences)
            case _records.Order():
                changed = self._apply_order(offset, process, record)
            case _records.OrderTaken():
                changed = self._add_deliverer(process, record)
            case _records.OrderSettled():
                changed = self._settle(process, record)
            case _:
                changed = False
        if changed:
            self._state_version = offset

    def holds(self, lease: str, fence: int, process: str) -> bool:
        """Return whether a process holds the lease with this fencing token."""
        current = self.leases.get(lease)
        if current is None:
            return False
        return current.fence == fence and current.holder == process

    def touched(self, lease: str) -> int:
        """Return the offset that a valid claim names as ``over``.

        It is 0 for a lease without records.
        """
        current = self.leases.get(lease)
        return current.touched if current else 0

    def _claim(
        self, offset: int, process: str, record: _records.LeaseClaim
    ) -> bool:
        if record.over != self.touched(record.lease):
            return False
        self.leases[record.lease] = Lease(
            record.lease, offset, process, offset, record.duration_s
        )
        return True

    def _renew(
        self, offset: int, process: str, fences: dict[str, int]
    ) -> bool:
        changed = False
        for name, fence in fences.items():
            if self.holds(name, fence, process):
                self.leases[name].touched = offset
                changed = True
        return changed

    def _release(
        self, offset: int, process: str, fences: dict[str, int]
    ) -> bool:
        changed = False
        for name, fence in fences.items():
            if self.holds(name, fence, process):
                self.leases[name].touched = offset
                self.leases[name].holder = ""
                changed = True
        return changed

    def _apply_order(
        self, offset: int, process: str, record: _records.Order
    ) -> bool:
        reason = self._refusal_reason(process, record)
        if reason is not None:
            self.order_refusals[record.id] = OrderRefusal(reason)
            if len(self.order_refusals) > MAX_ORDER_REFUSALS:
                self.order_refusals.popitem(last=False)
            return False
        self.orders[record.engine] = OrderState(
            record.id,
            offset,
            record.lease,
            record.engine,
            record.change,
            record.checked,
            {process: None},
        )
        self.valid_orders += 1
        return True

    def _refusal_reason(
        self, process: str, record: _records.Order
    ) -> str | None:
        if not self.holds(record.lease, record.fence, process):
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

    def _add_deliverer(
        self, process: str, record: _records.OrderTaken
    ) -> bool:
        order = self._find(record.id)
        if order is None or order.lease != record.lease:
            return False
        if not self.holds(record.lease, record.fence, process):
            return False
        order.deliverers[process] = None
        return True

    def _settle(self, process: str, record: _records.OrderSettled) -> bool:
        order = self._find(record.id)
        if order is None or record.deliverer not in order.deliverers:
            return False
        if order.deliverers[record.deliverer] is not None:
            return False
        if record.how is _records.Settlement.GONE:
            lease = self.leases.get(order.lease)
            allowed = lease is not None and lease.holder == process
        else:
            allowed = record.deliverer == process
        if allowed:
            order.deliverers[record.deliverer] = record.how
        return allowed

    def dump(self) -> dict[str, typing.Any]:
        """Return the state as plain data."""
        return msgspec.to_builtins(
            _StateDump(
                self._state_version,
                list(self.leases.values()),
                list(self.orders.values()),
            )
        )

    def load(self, state: dict[str, typing.Any]) -> None:
        """Replace the state by a dump; raise ValueError if malformed."""
        try:
            dump = msgspec.convert(state, _StateDump)
        except msgspec.ValidationError as exc:
            raise ValueError(str(exc)) from exc
        self.reset()
        self._state_version = dump.rank
        self.leases = {lease.name: lease for lease in dump.leases}
        self.orders = {order.engine: order for order in dump.orders}
