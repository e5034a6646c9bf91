"""How many engines of a service are to run, of which kind and where.

Engines are of two kinds: lasting ones, and reclaimable ones, which cost less
but may be taken away, all of an availability zone at once. The plan keeps as
many lasting engines as the urgent requests need by themselves, and has the
others reclaimable and spread over the zones. More are ordered first, and fewer
only once others serve instead, so that the room never dips.
"""

import collections.abc
import dataclasses

from agatewing.decisions import _capacity_size
from agatewing.decisions import _capacity_types

#: Time without any demand from which a service is idle, in seconds; where it
#: has callers, all instances hear of a request within a second.
IDLE_S = 2.0
#: Time without another engine after which all count as known, in seconds: two
#: heartbeats of 1.2 s.
ORIENT_S = 2.4
#: Time beyond that of a start after which ordered engines are overdue, in
#: seconds: two heartbeats of 1.2 s and the delays of order and log.
LATE_S = 4.0
#: Number of times that an order is sent before its zone counts as barren.
ORDER_TRIES = 2
#: Time for which nothing is ordered in a barren zone, in starts of an engine:
#: the next look should not cost more than a start elsewhere.
BARREN_STARTS = 2.5
#: Shortest such time, in seconds, where engines start at once: each order is a
#: call, and most refusals have a cause that lasts.
LEAST_BARREN_S = 10.0
#: Least time between two orders of fewer engines, in seconds: the entries of
#: the first ones show that they leave.
FEWER_PERIOD_S = 1.0

_LASTING = _capacity_types.EngineKind.LASTING
_RECLAIMABLE = _capacity_types.EngineKind.RECLAIMABLE

_View = _capacity_types.CapacityView
_Place = _capacity_types.Place


@dataclasses.dataclass(frozen=True, slots=True)
class _Given:
    """The last order for a place."""

    #: Number of engines.
    count: int
    #: Monotonic time, in seconds.
    at: float
    #: Number of times that it was sent since its engines were last there.
    tries: int


class CapacityPlanner:
    """Plans the engines of one service."""

    __slots__ = (
        "_sizes",
        "_began_at",
        "_adopted",
        "_idle_since",
        "_given",
        "_barren_until",
        "_fewer_at",
    )

    def __init__(self) -> None:
        self._sizes: _capacity_size.SizePlanner | None = None
        # Monotonic times, in seconds, at which the last engine was found that
        # had not been ordered, and since when there is no demand.
        self._began_at = float("inf")
        self._idle_since: float | None = None
        # Size that another instance planned.
        self._adopted: _capacity_size.FleetSize | None = None
        self._given: dict[_Place, _Given] = {}
        # Monotonic time until which nothing is ordered, in seconds.
        self._barren_until: dict[_Place, float] = {}
        self._fewer_at = float("-inf")

    @property
    def size(self) -> _capacity_size.FleetSize | None:
        """The planned size; ``None`` before the first plan."""
        return self._sizes.size if self._sizes is not None else None

    def adopt(self, size: _capacity_size.FleetSize) -> None:
        """Go on with the size that another instance planned."""
        self._adopted = size
        if self._sizes is not None:
            self._sizes.adopt(size)

    def record_given(
        self, order: _capacity_types.EngineOrder, now: float
    ) -> None:
        """Record an order that was accepted, or may have been."""
        last = self._given.get(order.place)
        again = last is not None and last.count == order.count
        tries = last.tries + 1 if last is not None and again else 1
        self._given[order.place] = _Given(order.count, now, tries)
        if order.count < order.before:
            self._fewer_at = now

    def record_none_there(
        self, order: _capacity_types.EngineOrder, boot_s: float, now: float
    ) -> None:
        """Record that there are no such engines now; times in seconds."""
        self._barren_until[order.place] = now + _barren_s(boot_s)
        self._given.pop(order.place, None)

    def plan(self, view: _View, now: float) -> _capacity_types.CapacityPlan:
        """Return what is wanted and due at a monotonic time, in seconds."""
        sizes = self._orient(view, now)
        self._see_reclaims(view, now)
        self._see_overdue(view, now)
        size = sizes.follow(
            view.needs, view.versions, view.scaling.boot_s, now
        )
        may_exchange = self._is_idle(view, now) or sizes.settled(now)
        wanted = self._wanted(view, size, may_exchange, now)
        oriented = now - self._began_at >= ORIENT_S
        orders = [
            order
            for order in self._more(view, wanted, now)
            # Others may be there and not be known yet; reclaimable ones only
            # if they were ordered before.
            if oriented
            or (self._adopted is None and order.place.kind is _RECLAIMABLE)
        ]
        if not orders and may_exchange and oriented:
            orders = self._fewer(view, wanted, size.total, now)
        return _capacity_types.CapacityPlan(wanted, tuple(orders))

    def _orient(self, view: _View, now: float) -> _capacity_size.SizePlanner:
        """Return the planner of the size; it begins with what there is.

        Engines that were not ordered by this plan count until the demand is
        known well: entries come one after the other when all begin.
        """
        present = self._not_ordered(view)
        if self._sizes is None:
            self._sizes = _capacity_size.SizePlanner(present, len(view.zones))
            self._began_at = now
            if self._adopted is not None:
                self._sizes.adopt(self._adopted)
        elif self._adopted is None and not self._sizes.settled(now):
            if self._sizes.raise_to(present):
                self._began_at = now
        return self._sizes

    def _not_ordered(self, view: _View) -> int:
        """Return the number of engines without those that were ordered."""
        ordered = sum(
            given.count
            for place, given in self._given.items()
            if place.kind is _RECLAIMABLE
        )
        lasting = sum(zone.lasting for zone in view.zones.values())
        return lasting + max(0, view.active - lasting - ordered)

    def _is_idle(self, view: _View, now: float) -> bool:
        """Return whether there is certainly no demand.

        Kinds are exchanged then, or when the demand is well known; not on a
        guess under load.
        """
        if view.needs is not None:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        return now - self._idle_since >= IDLE_S

    def _see_reclaims(self, view: _View, now: float) -> None:
        """Treat a zone as barren while its reclaimable engines leave.

        Those that an order of fewer engines sends away are not all.
        """
        for zone, engines in view.zones.items():
            place = _Place(zone, _RECLAIMABLE)
            given = self._given.get(place)
            unasked = given is None or given.count > 0
            if engines.leaving and not engines.reclaimable and unasked:
                pause_s = _barren_s(view.scaling.boot_s)
                self._barren_until[place] = now + pause_s
                self._given.pop(place, None)

    def _see_overdue(self, view: _View, now: float) -> None:
        """Treat a place as barren if repeated orders bring no engine."""
        late_s = view.scaling.boot_s + LATE_S
        for place, given in list(self._given.items()):
            overdue = now - given.at >= late_s
            if given.count <= _active(view, place):
                # They came; what is missing later was lost.
                self._given[place] = dataclasses.replace(given, tries=1)
            elif overdue and given.tries >= ORDER_TRIES:
                pause_s = _barren_s(view.scaling.boot_s)
                self._barren_until[place] = now + pause_s
                del self._given[place]

    def _is_barren(self, place: _Place, now: float) -> bool:
        return now < self._barren_until.get(place, float("-inf"))

    def _wanted(
        self,
        view: _View,
        size: _capacity_size.FleetSize,
        may_exchange: bool,
        now: float,
    ) -> dict[_Place, int]:
        """Return the number of engines that are to run, by place."""
        present = sum(z.lasting for z in view.zones.values())
        lasting = size.lasting
        if not view.scaling.offers_reclaimable:
            lasting = size.total
        elif not may_exchange:
            lasting = max(lasting, min(present, size.total))
        reclaimable = size.total - lasting
        wanted = self._spread(view, _RECLAIMABLE, reclaimable, {}, now)
        # What no zone has of the one kind is made up for by the other.
        missing = reclaimable - sum(wanted.values())
        return wanted | self._spread(
            view, _LASTING, lasting + missing, wanted, now
        )

    def _spread(
        self,
        view: _View,
        kind: _capacity_types.EngineKind,
        count: int,
        others: collections.abc.Mapping[_Place, int],
        now: float,
    ) -> dict[_Place, int]:
        """Spread engines of a kind evenly; the cheapest zones get one more.

        A barren zone keeps what it has. ``others`` are the engines of the
        other kind that are wanted.
        """
        zones = sorted(view.zones, key=lambda zone: (view.price(zone), zone))
        spread = {_Place(zone, kind): 0 for zone in zones}
        room = {}
        for place in spread:
            room[place] = view.scaling.most - sum(
                number
                for other, number in others.items()
                if other.zone == place.zone
            )
            if kind is _RECLAIMABLE:
                # Lasting engines leave only when the others serve.
                room[place] -= view.zones[place.zone].lasting
            if self._is_barren(place, now):
                room[place] = min(room[place], _active(view, place))
        if kind is _LASTING:
            for place in spread:
                beside = others.get(_Place(place.zone, _RECLAIMABLE), 0)
                least = max(0, view.scaling.least - beside)
                spread[place] = min(max(0, room[place]), least)
        for _ in range(count - sum(spread.values())):
            open_places = [p for p in spread if spread[p] < room[p]]
            if not open_places:
                break
            # The first of the emptiest ones is the cheapest.
            spread[min(open_places, key=lambda p: spread[p])] += 1
        return spread

    def _more(
        self,
        view: _View,
        wanted: collections.abc.Mapping[_Place, int],
        now: float,
    ) -> list[_capacity_types.EngineOrder]:
        """Return the orders of more engines that are due."""
        orders = []
        for place, count in wanted.items():
            active = _active(view, place)
            given = self._given.get(place)
            if active >= count or self._is_barren(place, now):
                continue
            reason = "more are wanted"
            if given is not None and given.count >= count:
                # They were ordered, and come or were lost.
                if now - given.at < view.scaling.boot_s + LATE_S:
                    continue
                reason = "ordered ones are missing"
            orders.append(
                _capacity_types.EngineOrder(
                    view.service, place, count, active, reason
                )
            )
        return orders

    def _fewer(
        self,
        view: _View,
        wanted: collections.abc.Mapping[_Place, int],
        total: int,
        now: float,
    ) -> list[_capacity_types.EngineOrder]:
        """Return the orders of fewer engines that leave enough of them."""
        if now - self._fewer_at < FEWER_PERIOD_S:
            return []
        spare = view.active - total
        orders = []
        by_price = sorted(
            wanted,
            key=lambda p: (p.kind is not _LASTING, -view.price(p.zone)),
        )
        for place in by_price:
            if self._is_barren(place, now):
                continue
            active = _active(view, place)
            left = max(wanted[place], active - max(0, spare))
            others = sum(
                min(count, _active(view, other))
                for other, count in wanted.items()
                if other.zone == place.zone and other.kind is not place.kind
            )
            left = max(left, view.scaling.least - others)
            if left < active:
                spare -= active - left
                orders.append(
                    _capacity_types.EngineOrder(
                        view.service, place, left, active, "fewer are enough"
                    )
                )
        return orders


def _barren_s(boot_s: float) -> float:
    """Return for how long a barren place is left alone, in seconds."""
    return max(LEAST_BARREN_S, BARREN_STARTS * boot_s)


def _active(view: _View, place: _Place) -> int:
    engines = view.zones.get(place.zone)
    return engines.active(place.kind) if engines is not None else 0
