"""Delivers orders under a lease; settles those of removed processes."""

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

#: Interval between two passes over all orders, in seconds.
PERIOD_S = 0.5
#: Time since the platform removed a deliverer, in seconds, after which its
#: orders are settled in its place.
REMOVED_AFTER_S = 20.0
#: Timeout of one delivery to an engine, in seconds.
DELIVERY_TIMEOUT_S = 3.0
#: Time for which appending a settlement is retried, in seconds.
SETTLE_TIMEOUT_S = 600.0
#: Time after a failed delivery, in seconds, after which its request can no
#: longer arrive at the engine.
MAX_ARRIVAL_DELAY_S = 10.0

IsRemoved = collections.abc.Callable[[str, float], bool]


class _OrderCall(msgspec.Struct, frozen=True):
    """Body of an order to an engine; see docs/INTERFACES.md."""

    id: str
    number: int
    change: replica.Change


class OrderKeeper:
    """Issues and delivers orders for the pools whose lease is held."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_leases",
        "_fleet",
        "_events",
        "_is_removed",
        "_settled_up_to",
        "_gone_submitted",
        "_may_arrive_until",
        "_invariants",
        "_call_once",
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
        targets: fleet.Fleet,
        events: timeline.EventRecorder,
        is_removed: IsRemoved,
        invariants: _invariants.Invariants,
        call_once: net.CallOnce,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._leases = leases
        self._fleet = targets
        self._events = events
        self._is_removed = is_removed
        self._invariants = invariants
        self._call_once = call_once
        # Highest order number sent, by engine.
        self._highest_sent: dict[str, int] = {}
        # Number of the last order that this process settled for itself, by
        # engine; the settlement may not be in the log yet.
        self._settled_up_to: dict[str, int] = {}
        # Order id and removed deliverer of each settlement submitted for
        # another.
        self._gone_submitted: set[tuple[str, str]] = set()
        # Monotonic time until which an unanswered request may still arrive,
        # by engine.
        self._may_arrive_until: dict[str, float] = {}
        #: Number of orders that engines accepted from this process.
        self.delivered = 0

    def may_order(self, engine: str, checked: bool) -> bool:
        """Return whether a new order for an engine would be valid.

        ``checked`` says whether the engine refuses old fencing tokens. A
        new order may follow one that is not settled yet if both are
        checked.
        """
        current = self._state.orders.get(engine)
        if current is None or current.settled:
            return True
        return checked and current.checked

    def issue(
        self,
        lease: str,
        engine: str,
        change: replica.Change,
        checked: bool,
    ) -> bool:
        """Append an order; return whether it became the valid one.

        Also returns ``False`` if the outcome is unknown: the order may
        still become valid, and ``step`` then delivers it.
        """
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
        """Run ``step`` periodically; never returns."""
        while True:
            self._clock.sleep(PERIOD_S)
            self.step()

    def step(self) -> None:
        """Deliver or settle each open order, by ascending number."""
        for order in sorted(
            self._state.orders.values(), key=lambda o: o.number
        ):
            if order.settled:
                continue
            self._process_order(order)

    def _process_order(self, order: replica.OrderState) -> None:
        own_id = str(self._commit.author)
        fence = self._leases.fence(order.lease)
        # ``None`` only if this process is a deliverer that has not settled.
        own_settlement = order.deliverers.get(
            own_id, replica.Settlement.ABANDONED
        )
        if own_settlement is None:
            if self._settled_here(order):
                return
            self._deliver_or_abandon(order, own_id, fence)
            return
        if fence is None:
            return
        self._settle_gone(order)
        if not order.settled and own_id not in order.deliverers:
            self._join_deliverers(order, fence)

    def _deliver_or_abandon(
        self, order: replica.OrderState, own_id: str, fence: int | None
    ) -> None:
        """Deliver an order, or abandon it if the lease is lost.

        While an unanswered request may still arrive, an engine that does
        not check fencing tokens gets no second request, since the first
        could then arrive after a newer order. For the same reason, if the
        lease is lost, the order is abandoned only once no request of it can
        arrive any more.
        """
        may_still_arrive = self._may_still_arrive(order)
        if fence is None:
            if not may_still_arrive:
                self._settle(order, own_id, replica.Settlement.ABANDONED)
        elif order.checked or not may_still_arrive:
            self._deliver(order, fence)

    def _may_still_arrive(self, order: replica.OrderState) -> bool:
        """Return whether an unanswered request may still arrive."""
        until = self._may_arrive_until.get(order.engine, float("-inf"))
        return self._clock.monotonic() < until

    def _settled_here(self, order: replica.OrderState) -> bool:
        """Return whether this process submitted its settlement already."""
        return self._settled_up_to.get(order.engine, 0) >= order.number

    def _settle(
        self,
        order: replica.OrderState,
        deliverer: str,
        settlement: replica.Settlement,
    ) -> None:
        if deliverer == str(self._commit.author):
            self._settled_up_to[order.engine] = order.number
        self._events.add(
            timeline.EventKind.ORDER_SETTLED,
            target=order.engine,
            lease=order.lease,
            detail=f"{deliverer} {settlement}",
        )
        self._commit.submit(
            replica.OrderSettled(order.id, deliverer, settlement),
            SETTLE_TIMEOUT_S,
        )

    def _settle_gone(self, order: replica.OrderState) -> None:
        """Settle the order for deliverers that the platform has removed."""
        for deliverer, settlement in order.deliverers.items():
            key = (order.id, deliverer)
            if settlement is not None or key in self._gone_submitted:
                continue
            if self._is_removed(deliverer, REMOVED_AFTER_S):
                self._gone_submitted.add(key)
                self._settle(order, deliverer, replica.Settlement.GONE)

    def _join_deliverers(self, order: replica.OrderState, fence: int) -> None:
        """Record in the log that this process delivers the order as well."""
        record = replica.OrderTaken(order.id, order.lease, fence)
        committed = self._commit.submit(record, 2.0).wait(2.5)
        if isinstance(committed, result.Ok):
            self._follower.wait_for(committed.ok_value, 2.0)

    def _deliver(self, order: replica.OrderState, fence: int) -> None:
        engine = self._fleet.engine(order.engine)
        if engine is None:
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

        # Recorded before the attempt; ORDER_SETTLED records the result.
        self._events.add(
            timeline.EventKind.ORDER_DELIVERED,
            target=order.engine,
            lease=order.lease,
            detail=f"number {order.number}",
        )
        try:
            answer = self._call_once(
                engine.spec.address,
                "POST",
                "/v1/orders",
                msgspec.json.encode(
                    _OrderCall(order.id, order.number, order.change)
                ),
                {"Content-Type": "application/json"},
                DELIVERY_TIMEOUT_S,
                may_send,
            )
        except (net.SendForbiddenError, _exceptions.ConnectRefusedError):
            return
        except _exceptions.AgatewingError:
            now = self._clock.monotonic()
            self._may_arrive_until[order.engine] = now + MAX_ARRIVAL_DELAY_S
            return
        self._handle_answer(order, answer)

    def _check_send(self, order: replica.OrderState, fence: int) -> None:
        """Check the invariants of a delivery just before it is sent.

        The lease is held according to the log, and no engine gets an order
        with a lower number than an earlier one.
        """
        own_id = str(self._commit.author)
        self._invariants.check(
            _invariants.Invariant.LEASED_ORDERS,
            self._state.holds(order.lease, fence, own_id),
            f"{order.lease} is not held in the log",
        )
        highest = self._highest_sent.get(order.engine, 0)
        self._invariants.check(
            _invariants.Invariant.ONE_ORDER,
            order.number >= highest,
            f"{order.engine} gets {order.number} after {highest}",
        )
        self._highest_sent[order.engine] = max(highest, order.number)

    def _handle_answer(
        self, order: replica.OrderState, answer: net.HttpAnswer
    ) -> None:
        """Settle the order by the engine's answer.

        After any other status the next step delivers it again.
        """
        own_id = str(self._commit.author)
        if answer.status == 200:
            self.delivered += 1
            self._settle(order, own_id, replica.Settlement.DELIVERED)
        elif answer.status in (400, 404, 409):
            self._settle(order, own_id, replica.Settlement.REFUSED)
