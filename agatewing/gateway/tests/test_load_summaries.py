"""Sums of the loads of many instances.

The load: up to 200 instances in six zones before 80 engines. Each instance has
a few requests a second, so it hears of a given peer's requests too seldom to
know how busy an engine is, and sends prompts behind those of others.
"""

import random

import pytest

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _load_summaries
from agatewing.gateway import _load_sums
from agatewing.gateway import _peers
from agatewing.gateway import _ranks

ZONES = 6
ENGINES = [f"i-engine{n:03}" for n in range(80)]
STEP_S = 0.02
SERVICE = "chat"


def load_of(sequences: int) -> _load_sums.Load:
    return _load_sums.Load(
        sequences * 1_000, sequences, sequences * 500, sequences * 2_000
    )


class Member:
    """One instance of a fleet that runs in the process of the test."""

    def __init__(self, fleet: "Fleet", name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.alive = True
        self.loads: _load_sums.Loads = {}
        self.reports: dict[str, _load_sums.InstanceReport] = {}
        self.received = 0
        self.placements: list[decisions.Placement] = []
        self.summaries = _load_summaries.LoadSummaries(
            name,
            zone,
            fleet.clock,
            lambda: {n: e for n, e in fleet.entries.items() if n != name},
            lambda: [
                m.name
                for m in fleet.members
                if m.zone == zone and m.name != name and m.name in fleet.heard
            ],
        )

    def report(self) -> _load_sums.InstanceReport:
        demand = decisions.StreamDemand(apart_tokens_per_s=10.0)
        return _load_sums.InstanceReport(dict(self.loads), {SERVICE: demand})

    def step(self) -> None:
        for address in self.summaries.receivers(dict(self.loads)):
            peer = self.fleet.deliver(address)
            if peer is not None:
                peer.reports[self.name] = self.report()
        reports = [r for n, r in self.reports.items() if n in self.fleet.heard]
        total, far = self.summaries.summarize(ENGINES, reports, self.report())
        for summaries, addresses in (
            (total, self.summaries.zone_addresses()),
            (far, self.summaries.far_addresses() if far else []),
        ):
            for summary in summaries:
                for address in addresses:
                    peer = self.fleet.deliver(address)
                    if peer is not None:
                        peer.receive(summary)

    def receive(self, summary: _load_sums.Summary) -> None:
        self.placements += summary.placements
        self.summaries.receive(summary)

    def error(self, truth: dict[str, int]) -> int:
        """Return by how many sequences the view of the engines is wrong."""
        others = self.summaries.loads_of_others()
        assert others is not None
        wrong = 0
        for engine in ENGINES:
            seen = others[engine].sequences if engine in others else 0
            own = self.loads.get(engine)
            seen += own.sequences if own is not None else 0
            wrong += abs(seen - truth.get(engine, 0))
        return wrong


class Fleet:
    """Instances that exchange reports and summaries without a network."""

    def __init__(self, instances: int, loss: float = 0.0) -> None:
        self.clock = _clock.ManualClock()
        self.random = random.Random(7)
        self.loss = loss
        self.entries: dict[str, _peers.PeerEntry] = {}
        self.members: list[Member] = []
        self.by_address: dict[str, Member] = {}
        for number in range(instances):
            name, zone = f"i{number}", f"z{number % ZONES}"
            address = f"10.0.0.{number}:1"
            self.entries[name] = _peers.PeerEntry(address, zone)
            member = Member(self, name, zone)
            self.members.append(member)
            self.by_address[address] = member
        #: Names of the instances that others have heard of lately.
        self.heard = {m.name for m in self.members}

    def deliver(self, address: str) -> Member | None:
        """Return the receiver of a datagram; ``None`` if it is lost."""
        member = self.by_address[address]
        if not member.alive or self.random.random() < self.loss:
            return None
        member.received += 1
        return member

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            for member in self.members:
                if member.alive:
                    member.step()
            self.clock.advance(STEP_S)

    def place(self, count: int) -> None:
        """Give each instance so many requests at engines."""
        for member in self.members:
            for _ in range(count):
                engine = self.random.choice(ENGINES)
                before = member.loads.get(engine)
                number = before.sequences if before is not None else 0
                member.loads[engine] = load_of(number + 1)

    def truth(self) -> dict[str, int]:
        truth: dict[str, int] = {}
        for member in self.living():
            for engine, load in member.loads.items():
                truth[engine] = truth.get(engine, 0) + load.sequences
        return truth

    def living(self) -> list[Member]:
        return [m for m in self.members if m.alive]

    def collectors(self, zone: str) -> list[Member]:
        members = [m for m in self.living() if m.zone == zone]
        names = members[0].summaries.collectors()
        return [m for name in names for m in members if m.name == name]


# The summary of 30 instances and of 200 is equally old.
@pytest.mark.parametrize("instances", [30, 87, 200])
def test_all_instances_know_the_load_of_all_engines_within_a_second(
    instances: int,
) -> None:
    fleet = Fleet(instances)
    fleet.place(4)
    fleet.run(0.8)
    truth = fleet.truth()
    assert [m.error(truth) for m in fleet.members] == [0] * instances
    oldest_s = max(m.summaries.age_s() for m in fleet.members)
    assert oldest_s <= _load_summaries.PERIOD_S + STEP_S


def test_an_end_is_known_as_soon_as_a_begin() -> None:
    fleet = Fleet(60)
    fleet.place(4)
    fleet.run(0.8)
    for member in fleet.members:
        member.loads = {}
    fleet.run(0.8)
    assert [m.error({}) for m in fleet.members] == [0] * 60


@pytest.mark.parametrize("instances", [30, 87, 200])
def test_what_an_instance_receives_does_not_grow_with_the_fleet(
    instances: int,
) -> None:
    fleet = Fleet(instances)
    fleet.place(4)
    fleet.run(3.0)
    parts = 3
    period_s = _load_summaries.PERIOD_S
    far = (ZONES - 1) * parts / _load_summaries.PERIOD_S
    limit = parts / period_s + far + _load_summaries.REPORTS_PER_S
    for member in fleet.members:
        busy = any(member in fleet.collectors(f"z{n}") for n in range(ZONES))
        most = limit if busy else parts / period_s
        assert member.received <= most * 3.0 * 1.1


# The other instances would choose blindly until the silence is noticed.
@pytest.mark.parametrize(
    ("lost", "blind_s"),
    [(1, 0.0), (2, 5.2)],
    ids=["the one that sums up", "both collectors of a zone"],
)
def test_another_collector_sums_up_when_one_is_lost(
    lost: int, blind_s: float
) -> None:
    fleet = Fleet(60)
    fleet.place(4)
    fleet.run(1.0)
    gone = fleet.collectors("z0")[:lost]
    for member in gone:
        member.alive = False
    near = [m for m in fleet.living() if m.zone == "z0"]
    blind = 0
    for step in range(350):
        fleet.run(STEP_S)
        if step * STEP_S > 5.0:
            # Nothing was heard of the lost ones for so long.
            fleet.heard -= {m.name for m in gone}
        blind += any(m.summaries.loads_of_others() is None for m in near)
    assert blind * STEP_S <= blind_s
    truth = fleet.truth()
    assert [m.error(truth) for m in fleet.living()] == [0] * (60 - lost)


def test_lost_datagrams_make_no_instance_blind_for_long() -> None:
    fleet = Fleet(60, loss=0.05)
    fleet.place(4)
    fleet.run(1.0)
    blind = looks = 0
    for _ in range(100):
        fleet.run(STEP_S)
        blind += sum(
            m.summaries.loads_of_others() is None for m in fleet.members
        )
        looks += len(fleet.members)
    assert blind <= looks / 100


# One that was cut off hears of nobody and takes itself for the collector.
def test_the_total_of_fewer_instances_does_not_replace_a_whole_one() -> None:
    fleet = Fleet(60)
    fleet.place(4)
    fleet.run(1.0)
    first = next(m for m in fleet.members if m.zone == "z0")
    blind = _load_sums.Summary(
        _load_sums.Scope("", 1, 0, 3), "cut off", {}, {}
    )
    first.summaries.receive(blind)
    assert first.error(fleet.truth()) == 0


# It hears of nobody, but the others hear it: its totals must not keep the
# other collector from summing up.
def test_a_collector_that_hears_nobody_is_replaced() -> None:
    fleet = Fleet(60)
    fleet.place(4)
    fleet.run(1.0)
    first, _ = fleet.collectors("z0")
    address = fleet.entries[first.name].address
    fleet.by_address[address] = Member(fleet, first.name, first.zone)
    fleet.run(1.5)
    first.reports.clear()
    fleet.run(2.0)
    truth = fleet.truth()
    near = [m for m in fleet.members if m.zone == "z0" and m is not first]
    assert [m.error(truth) for m in near] == [0] * len(near)


# Entries of machines that were removed for good stay in the log.
@pytest.mark.parametrize("gone", [1, 2, 5])
def test_zones_find_each_other_though_their_first_instances_are_gone(
    gone: int,
) -> None:
    fleet = Fleet(60)
    for number in range(ZONES):
        members = [m for m in fleet.members if m.zone == f"z{number}"]
        ranked = _ranks.first([m.name for m in members], gone)
        for member in members:
            if member.name in ranked:
                member.alive = False
                fleet.heard.remove(member.name)
    fleet.place(4)
    fleet.run(3.0)
    truth = fleet.truth()
    living = fleet.living()
    assert [m.error(truth) for m in living] == [0] * len(living)


def test_the_demand_of_all_instances_is_known() -> None:
    fleet = Fleet(60)
    fleet.run(1.0)
    for member in fleet.members:
        demand = member.summaries.demand(SERVICE)
        assert demand is not None
        assert demand.apart_tokens_per_s == pytest.approx(600)


# Prefixes were read again by engines, as an instance heard of one placement
# in five.
def test_placements_reach_the_instances_of_all_zones_once() -> None:
    fleet = Fleet(60)
    fleet.run(0.5)
    first, _ = fleet.collectors("z0")
    sender = next(m for m in fleet.members if m.zone == "z0")
    placement = decisions.Placement("i-engine001", 77, 0.5)
    first.summaries.record_placements(sender.name, [placement])
    fleet.run(1.5)
    collectors = {
        m.name for n in range(ZONES) for m in fleet.collectors(f"z{n}")
    }
    for member in fleet.members:
        if member.name not in collectors:
            (received,) = member.placements
            assert received.engine == placement.engine
            assert 0.0 <= received.ready_s <= 0.5
        elif member is not first:
            assert member.placements


def test_a_small_fleet_exchanges_no_summaries() -> None:
    fleet = Fleet(8)
    fleet.place(4)
    fleet.run(1.0)
    assert [m.received for m in fleet.members] == [0] * 8
    assert all(m.summaries.loads_of_others() is None for m in fleet.members)
