"""A few instances of a large fleet read the log, and tell the others.

The load: 200 instances before 84 targets, where each change of an entry ended
the reads of all of them, and reads were the dearest of all prices.
"""

import collections
import dataclasses
import random

import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _load_reports
from agatewing.gateway import _log_turns
from agatewing.gateway import _peers
from agatewing.gateway import _ranks

TOPIC = gateway.Topic.TARGETS
#: Time between two reports of an instance, and a step of the simulation, in
#: seconds.
STEP_S = 0.1
#: Bound in which a configuration is in force in fleets of that size, and in
#: which a target that left is unused, in seconds.
APPLY_S = 3.0
#: Zones of the fleet of 200 instances.
ZONES = 6


def target(name: str, sequence: int) -> _contracts.Target:
    return gateway.Target(
        name,
        "chat",
        "10.0.0.1:80",
        "z1",
        _types.TargetState.ACTIVE,
        64,
        sequence=sequence,
    )


@dataclasses.dataclass(eq=False)
class Instance:
    """What one instance knows of the log, and its reads."""

    name: str
    zone: int
    catalog: _catalog.Catalog
    turns: _log_turns.LogTurns
    #: Monotonic time at which the present read ends, in seconds.
    read_until: float = 0.0
    reads: int = 0
    dead: bool = False
    #: Whether its reads fail, and whether no peer is reached.
    log_cut: bool = False
    peers_cut: bool = False


class Fleet:
    """Instances, their reports to each other, and a log of changes."""

    def __init__(
        self, count: int, seed: int, loss: float = 0.0, zones: int = ZONES
    ) -> None:
        self.zones = zones
        self.rng = random.Random(seed)
        self.clock = _clock.ManualClock()
        self.loss = loss
        self.log_away = False
        #: Changed target of each record.
        self.records: list[_contracts.Target] = []
        self.heard: dict[tuple[str, str], float] = {}
        self.instances = [self._instance(n, count) for n in range(count)]
        for number in range(20):
            self.change(f"t{number}")
        for instance in self.instances:
            self._read(instance)

    def _instance(self, number: int, count: int) -> Instance:
        name, zone = f"i{number}", number % self.zones
        catalog = _catalog.Catalog(self.clock, lambda: None)
        turns = _log_turns.LogTurns(
            name,
            self.rng,
            lambda: count,
            lambda: self._zone_peers(name, zone),
            {TOPIC: catalog.age_s},
            APPLY_S,
        )
        return Instance(name, zone, catalog, turns)

    def _zone_peers(self, name: str, zone: int) -> list[str]:
        now = self.clock.monotonic()
        return [
            other.name
            for other in self.instances
            if other.zone == zone
            and now - self.heard.get((name, other.name), float("-inf"))
            < _load_reports.ZONE_ALIVE_S
        ]

    def change(self, name: str) -> None:
        self.records.append(target(name, len(self.records)))

    def _read(self, instance: Instance) -> None:
        """End a read: apply what the log holds."""
        instance.reads += 1
        if self.log_away or instance.log_cut:
            instance.catalog.record_unavailable()
            return
        catalog = instance.catalog
        for record in self.records[catalog.through :]:
            catalog.update_target(record.id, record)
        catalog.record_read()
        catalog.end_batch(len(self.records))

    def step(self) -> None:
        self.clock.advance(STEP_S)
        now = self.clock.monotonic()
        for instance in self.instances:
            if instance.dead:
                continue
            changed = instance.catalog.through < len(self.records)
            if now >= instance.read_until or (
                changed and instance.read_until and not self.log_away
            ):
                self._end_read(instance, now)
            self._report(instance, now)

    def _end_read(self, instance: Instance, now: float) -> None:
        if instance.read_until:
            self._read(instance)
            instance.read_until = 0.0
        if instance.turns.pause_s(TOPIC, instance.reads) <= 0:
            wait_s = instance.turns.wait_s(TOPIC)
            instance.read_until = now + max(wait_s, STEP_S / 2)

    def _report(self, sender: Instance, now: float) -> None:
        near = [i for i in self.instances if i.zone == sender.zone]
        far = [i for i in self.instances if i.zone != sender.zone]
        chosen = self.rng.sample(near, min(6, len(near)))
        chosen += self.rng.sample(far, min(2, len(far)))
        for receiver in chosen:
            cut = sender.peers_cut or receiver.peers_cut or receiver.dead
            if receiver is sender or cut or self.rng.random() < self.loss:
                continue
            self.heard[receiver.name, sender.name] = now
            state = sender.catalog.read_state()
            if not receiver.catalog.behind(state):
                receiver.catalog.merge_read_state(state)
                continue
            known = receiver.catalog.read_state()
            snapshot = sender.catalog.snapshot(known)
            receiver.catalog.merge_snapshot(snapshot, sender.name)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def readers(self) -> list[Instance]:
        return [i for i in self.instances if i.turns.is_reader]

    def behind(self) -> list[str]:
        """Return the instances that have not read up to the end."""
        return [
            i.name
            for i in self.instances
            if not i.dead and i.catalog.through < len(self.records)
        ]


def settled(
    count: int = 200, seed: int = 5, loss: float = 0.0, zones: int = ZONES
) -> Fleet:
    fleet = Fleet(count, seed, loss, zones)
    fleet.run(6.0)
    return fleet


# A quarter of the reads is what the fleet of 200 is to have.
@pytest.mark.parametrize(("count", "zones"), [(200, 6), (87, 3)])
def test_a_large_fleet_reads_seldom(count: int, zones: int) -> None:
    """Compared with instances that each wait four seconds and at changes."""
    fleet = settled(count, zones=zones)
    before = sum(i.reads for i in fleet.instances)
    changes = 0
    for second in range(30):
        if second % 5 == 0:
            fleet.change(f"t{second % 20}")
            changes += 1
        fleet.run(1.0)
    reads = sum(i.reads for i in fleet.instances) - before
    each_alone = count * max(30 / 4, changes)
    assert reads < 0.25 * each_alone
    assert not fleet.behind()


def kill_readers(fleet: Fleet) -> None:
    for instance in fleet.readers():
        instance.dead = True


def cut_readers_from_the_log(fleet: Fleet) -> None:
    for instance in fleet.readers():
        instance.log_cut = True


def cut_readers_from_peers(fleet: Fleet) -> None:
    for instance in fleet.readers():
        instance.peers_cut = True


def cut_others_from_the_log(fleet: Fleet) -> None:
    readers = fleet.readers()
    for instance in fleet.instances:
        instance.log_cut = instance not in readers


def cut_all_from_peers(fleet: Fleet) -> None:
    for instance in fleet.instances:
        instance.peers_cut = True


def change_nothing(fleet: Fleet) -> None:
    pass


# A fleet that depends on some of its instances must not wait for them.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "event",
    [
        change_nothing,
        kill_readers,
        cut_readers_from_the_log,
        cut_readers_from_peers,
        cut_others_from_the_log,
        cut_all_from_peers,
    ],
)
def test_a_change_is_known_in_time_whatever_befalls_the_readers(
    event: object, seed: int
) -> None:
    fleet = settled(seed=seed)
    assert len(fleet.readers()) == _log_turns.READERS_PER_ZONE * ZONES
    assert callable(event)
    event(fleet)
    fleet.change("t1")
    fleet.run(APPLY_S - 0.5)
    assert not fleet.behind()


# Each instance told on the ages that it had heard, without the time that the
# reports took: they stayed low though nobody had read the log for seconds, so
# nobody read it, and targets that had left got requests.
@pytest.mark.parametrize("transit_s", [0.0, 0.02, 0.1, 0.25])
@pytest.mark.parametrize("period_s", [0.05, 0.4])
def test_ages_grow_while_nobody_reads(
    transit_s: float, period_s: float
) -> None:
    rng = random.Random(3)
    clock = _clock.ManualClock()
    catalogs = [_catalog.Catalog(clock, lambda: None) for _ in range(60)]
    for catalog in catalogs:
        catalog.record_read()
        catalog.record_config_read()
        catalog.end_batch(5)
    step_s, unread_s = 0.01, 4.0
    #: Reports on their way: when each arrives, where, and what it tells.
    sent: collections.deque[
        tuple[float, _catalog.Catalog, _contracts.ReadState]
    ] = collections.deque()
    began_at = clock.monotonic()
    due = [began_at + rng.random() * period_s for _ in catalogs]
    while clock.monotonic() < began_at + unread_s:
        clock.advance(step_s)
        now = clock.monotonic()
        while sent and sent[0][0] <= now:
            _, receiver, state = sent.popleft()
            receiver.merge_read_state(state)
        for number, sender in enumerate(catalogs):
            if now >= due[number]:
                due[number] = now + period_s
                state = sender.read_state()
                for receiver in rng.sample(catalogs, _peers.FANOUT):
                    sent.append((now + transit_s, receiver, state))
    assert min(c.age_s() for c in catalogs) >= unread_s
    assert min(c.config_age_s() for c in catalogs) >= unread_s


def test_half_of_the_reports_may_be_lost() -> None:
    fleet = settled(loss=0.5)
    fleet.change("t1")
    fleet.run(APPLY_S - 0.5)
    assert not fleet.behind()


def test_all_know_within_a_second_or_so_if_nothing_is_wrong() -> None:
    fleet = settled()
    fleet.change("t1")
    fleet.run(1.2)
    assert not fleet.behind()


# Instances that await a reader's word would not see that the log is back.
def test_after_an_outage_all_know_that_the_log_is_back() -> None:
    fleet = settled()
    fleet.log_away = True
    fleet.run(5.0)
    assert all(i.catalog.log_unavailable for i in fleet.instances)
    fleet.log_away = False
    fleet.change("t1")
    fleet.run(APPLY_S - 0.5)
    assert not fleet.behind()
    assert not any(i.catalog.log_unavailable for i in fleet.instances)


def test_a_small_fleet_reads_by_itself() -> None:
    fleet = Fleet(8, 1)
    assert len(fleet.readers()) == 8
    wait_s = fleet.instances[0].turns.wait_s(TOPIC)
    assert wait_s == APPLY_S - _log_turns.REPEAT_S


# After 1,024 reads, a power of two ended the loop that reads the entries.
@pytest.mark.parametrize(
    ("reads", "pause_s"), [(0, 2.0), (1, 4.0), (4, 20.0), (5_000, 20.0)]
)
def test_entries_of_instances_are_read_ever_less_often(
    reads: int, pause_s: float
) -> None:
    turns = _log_turns.LogTurns(
        "me",
        random.Random(1),
        lambda: 200,
        # Two of them come before this instance.
        lambda: [f"i{number}" for number in range(60)],
        {},
        APPLY_S,
    )
    assert not turns.is_reader
    assert turns.pause_s(gateway.Topic.INSTANCES, reads) == pause_s


NAMES = [f"i{number}" for number in range(12)]
ALL_SLOW = dict.fromkeys(NAMES, 5.0)
FIRST = _ranks.first(NAMES, _log_turns.READERS_PER_ZONE)
#: Links in Mbit/s by name, and who reads.
LINKS = {
    "two fast ones": (ALL_SLOW | {"i3": 100.0, "i5": 100.0}, ["i3", "i5"]),
    "three, of which one is faster still": (
        ALL_SLOW | {"i3": 100.0, "i5": 100.0, "i7": 200.0},
        ["i7", _ranks.first(["i3", "i5"], 1)[0]],
    ),
    "all alike": (ALL_SLOW, FIRST),
    "none is known": ({}, FIRST),
    "one is of an earlier release, which names no link": (
        ALL_SLOW | {"i3": 100.0, "i5": 100.0, "i9": 0.0},
        FIRST,
    ),
}


# Readers with links of 5 Mbit/s took half a second for each configuration, and
# the requests of their callers waited behind it.
@pytest.mark.parametrize("name", LINKS)
def test_the_instances_with_the_fastest_links_read(name: str) -> None:
    links, expected = LINKS[name]

    def is_reader(name: str) -> bool:
        return _log_turns.LogTurns(
            name,
            random.Random(1),
            lambda: len(NAMES),
            lambda: [other for other in NAMES if other != name],
            {},
            APPLY_S,
            lambda other: links.get(other, 0.0),
        ).is_reader

    assert [n for n in NAMES if is_reader(n)] == sorted(expected)


def test_a_peer_gets_only_what_it_lacks() -> None:
    fleet = settled(12)
    sender, receiver = fleet.instances[:2]
    known = receiver.catalog.read_state()
    fleet.change("t3")
    fleet._read(sender)
    snapshot = sender.catalog.snapshot(known)
    assert [t.id for t in snapshot.targets] == ["t3"]
    assert snapshot.base == known.position[1]
    sender.catalog.update_target("t4", None)
    sender.catalog.end_batch(len(fleet.records) + 1)
    snapshot = sender.catalog.snapshot(known)
    assert [t.id for t in snapshot.targets] == ["t3"]
    assert snapshot.removed == ("t4",)
    far_behind = _contracts.ReadState(0, (0, 1))
    snapshot = sender.catalog.snapshot(far_behind)
    assert snapshot.base is None or len(snapshot.targets) == 19


# The changes between two offsets mean nothing from any other one.
def test_changes_from_another_offset_are_not_applied() -> None:
    fleet = settled(12)
    sender, receiver = fleet.instances[:2]
    known = receiver.catalog.read_state()
    fleet.change("t3")
    fleet._read(sender)
    snapshot = sender.catalog.snapshot(known)
    moved = dataclasses.replace(snapshot, base=known.position[1] - 1)
    receiver.catalog.merge_snapshot(moved, "peer")
    assert receiver.catalog.position == known.position
    receiver.catalog.merge_snapshot(snapshot, "peer")
    assert receiver.catalog.position == sender.catalog.position


@pytest.mark.parametrize(
    ("key", "position"),
    [
        ("7:1:22", (1, 22)),
        ("0:0:0", (0, 0)),
        ("", None),
        ("7:1", None),
        ("7:1:-2", None),
        ("a:b:c", None),
    ],
)
def test_the_key_of_a_request_says_what_was_read(
    key: str, position: tuple[int, int] | None
) -> None:
    state = _peers._decode_state(key)
    assert (state.position if state else None) == position
