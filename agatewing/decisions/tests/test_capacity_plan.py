"""Numbers of engines under each pattern of load and loss.

A service runs in three zones; its engines, the answers to orders and the
demand are given, second by second.
"""

import collections.abc
import dataclasses

import pytest

from agatewing import decisions

ZONES = ("east", "north", "west")
BOOT_S = 4.0
SCALING = decisions.Scaling(
    1, 40, BOOT_S, 0.2, {"east": 0.9, "north": 1.2, "west": 1.0}
)
LASTING = decisions.EngineKind.LASTING
RECLAIMABLE = decisions.EngineKind.RECLAIMABLE

Demand = collections.abc.Callable[[float], float | None]


def needs(engines: float | None) -> decisions.RoleNeeds | None:
    """Return needs that keep so many engines busy, half of them decoding."""
    if engines is None:
        return None
    return decisions.RoleNeeds(engines / 2 / 1.3, engines / 2)


class Site:
    """Carries out orders as a platform does, after the time of a start."""

    def __init__(
        self, demand: Demand, lasting: int = 10, service: str = "chat"
    ) -> None:
        self.demand = demand
        self.now = 0.0
        self.planner = decisions.CapacityPlanner()
        self.service = service
        self.scaling = SCALING
        self.active = {
            decisions.Place(zone, kind): lasting if kind is LASTING else 0
            for zone in ZONES
            for kind in decisions.EngineKind
        }
        #: Time and place of engines that are starting.
        self.starting: list[tuple[float, decisions.Place]] = []
        #: Reclaimable engines that leave, by zone.
        self.leaving: dict[str, int] = {}
        #: Places that have no engines, and those where orders are lost.
        self.empty: set[decisions.Place] = set()
        self.lost: set[decisions.Place] = set()
        self.orders: list[tuple[float, decisions.EngineOrder]] = []
        #: Least number of engines that were active.
        self.least = self.total
        #: Time that an order takes beyond that of a start, in seconds.
        self.late_s = 0.0

    @property
    def total(self) -> int:
        return sum(self.active.values())

    def count(self, kind: decisions.EngineKind) -> int:
        return sum(n for p, n in self.active.items() if p.kind is kind)

    def view(self) -> decisions.CapacityView:
        zones = {
            zone: decisions.ZoneEngines(
                self.active[decisions.Place(zone, LASTING)],
                self.active[decisions.Place(zone, RECLAIMABLE)],
                self.leaving.get(zone, 0),
            )
            for zone in ZONES
        }
        return decisions.CapacityView(
            self.service, self.scaling, zones, needs(self.demand(self.now))
        )

    def run(self, until: float) -> "Site":
        while self.now < until:
            self.now += 0.5
            for item in [i for i in self.starting if i[0] <= self.now]:
                self.starting.remove(item)
                self.active[item[1]] += 1
            for order in self.planner.plan(self.view(), self.now).orders:
                self.orders.append((self.now, order))
                self._carry_out(order)
            self.least = min(self.least, self.total)
        return self

    def _carry_out(self, order: decisions.EngineOrder) -> None:
        place = order.place
        if place in self.empty and order.count > order.before:
            self.planner.record_none_there(order, BOOT_S, self.now)
            return
        self.planner.record_given(order, self.now)
        if place in self.lost:
            return
        coming = sum(p == place for _, p in self.starting)
        more = order.count - self.active[place] - coming
        at = self.now + BOOT_S + self.late_s
        self.starting.extend((at, place) for _ in range(more))
        self.active[place] = min(self.active[place], order.count)

    def reclaim(self, zone: str) -> int:
        """Take away all reclaimable engines of a zone; return how many."""
        place = decisions.Place(zone, RECLAIMABLE)
        self.leaving[zone] = self.active[place]
        self.active[place] = 0
        self.empty.add(place)
        return self.leaving[zone]

    def since(self, at: float) -> list[decisions.EngineOrder]:
        return [order for when, order in self.orders if when > at]


def steady(site: Site) -> bool:
    """Return whether nothing was ordered in the last ten seconds."""
    return not site.since(site.now - 10)


def test_most_engines_become_reclaimable_and_room_never_dips() -> None:
    site = Site(lambda now: 8.0).run(60)
    assert site.count(LASTING) == 3
    assert site.total == 16
    assert site.least == 16
    assert steady(site)
    spread = [site.active[decisions.Place(z, RECLAIMABLE)] for z in ZONES]
    assert max(spread) - min(spread) <= 1
    first = site.orders[0][1]
    assert first.place.kind is RECLAIMABLE
    assert first.count > first.before


@pytest.mark.parametrize(
    ("pattern", "demand", "engines"),
    (
        ("calm day", lambda now: 8.0, 16),
        ("short burst", lambda now: 10.0 if 40 < now < 42.5 else 8.0, 16),
        ("burst of several", lambda now: 12.0 if 40 < now < 41.5 else 8.0, 16),
        ("lasting rise", lambda now: 16.0 if now > 40 else 8.0, 32),
        # The sum over zones is what counts: links are short, starts are not.
        ("a wave by zone", lambda now: 4.0 + 4.0, 16),
        ("a mix that turns over", lambda now: 8.0 - (now // 7) % 2, 16),
        ("a night", lambda now: 8.0 if now < 40 else 0.5, 3),
    ),
)
def test_numbers_follow_what_lasts(
    pattern: str, demand: Demand, engines: int
) -> None:
    site = Site(demand).run(130)
    assert site.total == engines, pattern
    assert steady(site)


def test_unknown_demand_orders_none_fewer() -> None:
    """After a restart of all; kinds are exchanged only without callers."""
    site = Site(lambda now: None, lasting=10).run(60)
    assert site.least == 30
    assert site.total == 30
    assert site.count(LASTING) == 8


def test_engines_that_are_found_one_after_the_other_all_count() -> None:
    site = Site(lambda now: None, lasting=1)
    for second in range(8):
        site.run(second)
        for zone in ZONES:
            site.active[decisions.Place(zone, LASTING)] += 1
    assert all(o.place.kind is RECLAIMABLE for _, o in site.orders)
    site.run(40)
    assert site.total == 27


def test_kinds_are_not_exchanged_before_the_demand_is_known_well() -> None:
    assert not Site(lambda now: 8.0).run(9.5).orders


def test_a_planner_that_takes_over_keeps_the_numbers() -> None:
    site = Site(lambda now: 8.0).run(60)
    before = site.planner.size
    assert before is not None
    site.planner = decisions.CapacityPlanner()
    site.planner.adopt(before)
    site.demand = lambda now: None if now < 63 else 8.0
    site.run(120)
    assert not site.since(60)


def test_a_reclaim_is_made_up_for_elsewhere_at_once() -> None:
    site = Site(lambda now: 8.0).run(60)
    lost = site.reclaim("north")
    assert site.total >= 8 / decisions.GROW_UTILIZATION - 1
    site.run(60.5)
    assert sum(o.count - o.before for o in site.since(60)) == lost
    assert {o.place.zone for o in site.since(60)} == {"east", "west"}
    site.run(65)
    assert site.total == 16
    # Later, they are spread over all zones again.
    site.leaving.clear()
    site.empty.clear()
    site.run(120)
    assert site.active[decisions.Place("north", RECLAIMABLE)] > 2
    assert site.total == 16
    assert steady(site)


@pytest.mark.parametrize("zones", (("north",), ZONES))
def test_zones_without_engines_are_asked_seldom(
    zones: tuple[str, ...],
) -> None:
    site = Site(lambda now: 8.0)
    site.empty = {decisions.Place(zone, RECLAIMABLE) for zone in zones}
    site.run(60)
    assert site.total == 16
    assert site.least == 16
    assert (site.count(LASTING) == 16) == (zones == ZONES)
    asked = [o for _, o in site.orders if o.place in site.empty]
    assert len(asked) <= len(zones) * (60 / 10 + 1)


def test_orders_that_arrive_late_are_given_once() -> None:
    site = Site(lambda now: 8.0)
    site.late_s = 3.0
    site.run(60)
    more = [o.place for _, o in site.orders if o.count > o.before]
    assert len(more) == len(set(more)) == 3
    assert site.total == 16


def test_ordered_engines_that_never_come_are_ordered_elsewhere() -> None:
    site = Site(lambda now: 8.0)
    site.lost = {decisions.Place("west", RECLAIMABLE)}
    site.run(90)
    assert site.total == 16
    assert site.count(LASTING) <= 6


def test_engines_lost_for_good_are_made_up_for() -> None:
    """The platform counts them still, so that the same number brings none."""
    site = Site(lambda now: 8.0).run(60)
    site.lost = {
        decisions.Place("west", kind) for kind in decisions.EngineKind
    }
    site.active[decisions.Place("west", RECLAIMABLE)] -= 2
    site.run(100)
    assert site.total == 16
    # The next loss, in another zone, is not taken for the same one.
    site.lost.clear()
    site.active[decisions.Place("east", RECLAIMABLE)] -= 1
    site.run(101)
    assert [o.place.zone for o in site.since(100)] == ["east"]


def test_a_gap_in_planning_is_no_knowledge_of_the_demand() -> None:
    """An instance that was cut off first hears of a part of the demand."""
    site = Site(lambda now: 16.0).run(60)
    total = site.total
    site.now += 70.0
    site.demand = lambda now: 1.0
    site.run(site.now + 5.0)
    assert site.total == total


def refuse_all(site: Site, seconds: float) -> int:
    """Refuse all orders for some seconds; return how many there were."""
    until, count = site.now + seconds, 0
    while site.now < until:
        site.now += 0.5
        for order in site.planner.plan(site.view(), site.now).orders:
            count += 1
            site.planner.record_none_there(
                order, site.scaling.boot_s, site.now
            )
    return count


@pytest.mark.parametrize("boot_s", (4.0, 0.0))
def test_orders_that_are_refused_are_repeated_seldom(boot_s: float) -> None:
    site = Site(lambda now: 1.0, lasting=7)
    site.scaling = dataclasses.replace(SCALING, boot_s=boot_s)
    # At most one for each of the six places in ten seconds.
    assert refuse_all(site, 60.0) <= 36


def test_a_zone_that_lost_its_engines_gets_the_least_number() -> None:
    site = Site(lambda now: 2.0)
    site.scaling = dataclasses.replace(SCALING, least=3)
    site.run(60)
    for kind in decisions.EngineKind:
        site.active[decisions.Place("west", kind)] = 0
    site.run(100)
    for zone in ZONES:
        both = sum(n for p, n in site.active.items() if p.zone == zone)
        assert both >= 3


def test_a_planner_that_knows_no_engine_yet_orders_none() -> None:
    """What another one ordered may run elsewhere, after a reclaim."""
    site = Site(lambda now: 8.0, lasting=0)
    site.planner.adopt(decisions.FleetSize(24, 3))
    site.run(2.0)
    assert not site.orders


def test_bounds_hold_for_both_kinds_together() -> None:
    site = Site(lambda now: 60.0)
    site.scaling = dataclasses.replace(SCALING, most=20)
    site.run(60)
    for _, order in site.orders:
        assert order.count <= 20
    assert site.total == 60


def test_without_reclaimable_engines_only_the_number_changes() -> None:
    site = Site(lambda now: 8.0)
    site.scaling = dataclasses.replace(SCALING, reclaimable_price=None)
    site.run(60)
    assert (site.count(LASTING), site.count(RECLAIMABLE)) == (16, 0)


def test_two_services_are_planned_apart() -> None:
    busy, idle = Site(lambda now: 16.0), Site(lambda now: 2.0, service="map")
    busy.run(60)
    idle.run(60)
    assert (busy.total, idle.total) == (30, 4)
    assert {o.service for _, o in idle.orders} == {"map"}


@pytest.mark.parametrize(
    ("total", "urgent", "zones", "lasting"),
    (
        # What two of four zones leave is enough.
        (40, 15, 4, 3),
        (40, 20, 4, 3),
        (40, 25, 4, 10),
        (40, 20, 3, 10),
        (40, 20, 2, 20),
        (40, 20, 1, 20),
        (2, 1, 4, 2),
    ),
)
def test_urgent_requests_survive_the_reclaim_of_two_zones(
    total: int, urgent: int, zones: int, lasting: int
) -> None:
    assert decisions.lasting_for(total, urgent, zones, 3) == lasting
