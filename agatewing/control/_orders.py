"""Delivers orders to engines under a lease; settles those of others."""

import collections.abc
import uuid

import msgspec
import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _invariants
from agatewing.control import _leases
from agatewing import fleet
from agatewing import net
from agatewing import replica
from agatewing import timeline

#: Time between two looks, in seconds.
PERIOD_S = 0.5
#: Time for which an instance must be gone before its order is settled.
GONE_FOR_S = 20.0
#: Time for one delivery, in seconds.
DELIVERY_S = 3.0
#: Time for which a record is offered to the log, in seconds.
PATIENCE_S = 600.0
#: Time after which a send without an answer cannot arrive any more.
DOUBT_S = 10.0

IsGone = collections.abc.Callable[[str, float], bool]


class _OrderCall(msgspec.Struct, frozen=True):
    """Body of an order to an engine; see docs/INTERFACES.md."""

    id: str
    number: int
    change: replica.Change


class OrderKeeper:
    """Gives and delivers orders for the pools whose lease is held."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_leases",
        "_fleet",
        "_events",
        "_is_gone",
        "_finished",
        "_settling",
        "_doubt_until",
        "_invariants",
        "_call",
        "_highest_sent",
        "delivered",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.ControlState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        leases: _leases.LeaseKeeper,
        machines: fleet.Fleet,
        events: timeline.Timeline,
        is_gone: IsGone,
        invariants: _invariants.Invariants,
        call_once: net.CallOnce,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._leases = leases
        self._fleet = machines
        self._events = events
        self._is_gone = is_gone
        self._invariants = invariants
        self._call = call_once
        self._highest_sent: dict[str, int] = {}
        self._finished: dict[str, int] = {}
        self._settling: set[tuple[str, str]] = set()
        self._doubt_until: dict[str, float] = {}
        #: Orders that engines consented to.
        self.delivered = 0

    def may_order(self, engine: str, checked: bool) -> bool:
        """Return whether a new order for an engine would be valid."""
        current = self._state.orders.get(engine)
        if current is None or current.settled:
            return True
        return checked and current.checked

    def give(
        self,
        lease: str,
        engine: str,
        change: replica.Change,
        checked: bool,
    ) -> bool:
        """Append an order; return whether it is valid."""
        fence = self._leases.fence(lease)
        if fence is None or not self.may_order(engine, checked):
            return False
        order = replica.Order(
            uuid.uuid4().hex, lease, fence, engine, change, checked
        )
        committed = self._commit.submit(order, 2.0).wait(2.5)
        if not isinstance(committed, result.Ok):
            return False
        if not self._follower.wait_for(committed.ok_value, 2.0):
            return False
        current = self._state.orders.get(engine)
        valid = current is not None and current.id == order.id
        kind = timeline.EventKind.ORDER_INVALID
        if valid:
            kind = timeline.EventKind.ORDER_VALID
        self._events.add(kind, target=engine, lease=lease, detail=str(change))
        return valid

    def run(self) -> None:
        """Deliver and settle for ever."""
        while True:
            self._clock.sleep(PERIOD_S)
            self.step()

    def step(self) -> None:
        """Look at every order once."""
        for order in sorted(
            self._state.orders.values(), key=lambda o: o.number
        ):
            if order.settled:
                continue
            self._look_after(order)

    def _look_after(self, order: replica.OrderState) -> None:
        me = str(self._commit.author)
        fence = self._leases.fence(order.lease)
        mine = order.deliverers.get(me, replica.Settlement.ABANDONED)
        if mine is None:
            if self._done_with(order):
                return
            self._go_on(order, me, fence)
            return
        if fence is None:
            return
        self._settle_gone(order)
        if not order.settled and me not in order.deliverers:
            self._take(order, fence)

    def _go_on(
        self, order: replica.OrderState, me: str, fence: int | None
    ) -> None:
        """Send an order of ours, or give it up with the lease.

        While a send without an answer may still arrive, an engine that
        checks nothing gets no second one: it could come after a newer
        order.
        """
        in_doubt = self._may_be_on_its_way(order)
        if fence is None:
            if not in_doubt:
                self._settle(order, me, replica.Settlement.ABANDONED)
        elif order.checked or not in_doubt:
            self._deliver(order, fence)

    def _may_be_on_its_way(self, order: replica.OrderState) -> bool:
        """Return whether a send without an answer may still arrive."""
        until = self._doubt_until.get(order.engine, float("-inf"))
        return self._clock.monotonic() < until

    def _done_with(self, order: replica.OrderState) -> bool:
        """Return whether this process already settled the order."""
        return self._finished.get(order.engine, 0) >= order.number

    def _settle(
        self,
        order: replica.OrderState,
        deliverer: str,
        how: replica.Settlement,
    ) -> None:
        if deliverer == str(self._commit.author):
            self._finished[order.engine] = order.number
        self._events.add(
            timeline.EventKind.ORDER_SETTLED,
            target=order.engine,
            lease=order.lease,
            detail=f"{deliverer} {how}",
        )
        self._commit.submit(
            replica.OrderSettled(order.id, deliverer, how), PATIENCE_S
        )

    def _settle_gone(self, order: replica.OrderState) -> None:
        """Settle for deliverers that the platform has taken away."""
        for deliverer, how in order.deliverers.items():
            key = (order.id, deliverer)
            if how is not None or key in self._settling:
                continue
            if self._is_gone(deliverer, GONE_FOR_S):
                self._settling.add(key)
                self._settle(order, deliverer, replica.Settlement.GONE)

    def _take(self, order: replica.OrderState, fence: int) -> None:
        """Record that this process delivers the same order as well."""
        record = replica.OrderTaken(order.id, order.lease, fence)
        committed = self._commit.submit(record, 2.0).wait(2.5)
        if isinstance(committed, result.Ok):
            self._follower.wait_for(committed.ok_value, 2.0)

    def _deliver(self, order: replica.OrderState, fence: int) -> None:
        machine = self._fleet.engine(order.engine)
        if machine is None:
            self._settle(
                order,
                str(self._commit.author),
                replica.Settlement.ABANDONED,
            )
            return

        def may_send() -> bool:
            current = self._state.orders.get(order.engine)
            if current is None or current.id != order.id:
                return False
            if self._leases.fence(order.lease) != fence:
                return False
            self._check_send(order, fence)
            return True

        self._events.add(
            timeline.EventKind.ORDER_DELIVERED,
            target=order.engine,
            lease=order.lease,
            detail=f"number {order.number}",
        )
        try:
            answer = self._call(
                machine.spec.address,
                "POST",
                "/v1/orders",
                msgspec.json.encode(
                    _OrderCall(order.id, order.number, order.change)
                ),
                {"Content-Type": "application/json"},
                DELIVERY_S,
                may_send,
            )
        except (net.SendForbiddenError, _exceptions.ConnectRefusedError):
            return
        except _exceptions.AgatewingError:
            now = self._clock.monotonic()
            self._doubt_until[order.engine] = now + DOUBT_S
            return
        self._note_answer(order, answer)

    def _check_send(self, order: replica.OrderState, fence: int) -> None:
        """Check what must hold when an order leaves the process."""
        me = str(self._commit.author)
        self._invariants.check(
            _invariants.Promise.LEASED_ORDERS,
            self._state.holds(order.lease, fence, me),
            f"{order.lease} is not held in the log",
        )
        highest = self._highest_sent.get(order.engine, 0)
        self._invariants.check(
            _invariants.Promise.ONE_ORDER,
            order.number >= highest,
            f"{order.engine} gets {order.number} after {highest}",
        )
        self._highest_sent[order.engine] = max(highest, order.number)

    def _note_answer(
        self, order: replica.OrderState, answer: net.HttpAnswer
    ) -> None:
        me = str(self._commit.author)
        if answer.status == 200:
            self.delivered += 1
            self._settle(order, me, replica.Settlement.DELIVERED)
        elif answer.status in (400, 404, 409):
            self._settle(order, me, replica.Settlement.REFUSED)
