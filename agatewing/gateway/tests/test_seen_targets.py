"""No instance takes versions for all that it and others may have missed."""

import dataclasses
import math
import os
import random

import msgspec
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts

#: Seed of ``make fuzz``.
SEED = os.environ.get("FUZZ_SEED", "")
SERVICE = "s"
NODES = 3
ENGINES = ["e0", "e1"]
VERSIONS = ["v1", "v2", "v3"]
#: Time that each step takes, in seconds; all of them take less than the time
#: for which versions are remembered.
STEP_S = 0.2


def engine(name: str, version: str, born_ms: int) -> gateway.Target:
    return gateway.Target(
        name,
        SERVICE,
        "10.0.0.1:80",
        "z",
        _types.TargetState.ACTIVE,
        8,
        _types.Role.DECODE,
        born_ms=born_ms,
        software=version,
    )


_Versions = dict[str, dict[str, float]]


class Node:
    """One instance: its catalogue, and the versions that it remembers."""

    def __init__(self, clock: _clock.ManualClock) -> None:
        self._clock = clock
        self.catalog = _catalog.Catalog(clock, self._remember)
        self.catalog.seen.version_ages = self._ages
        self.known: dict[str, float] = {}

    def _remember(self) -> None:
        for seen in self.catalog.seen.take_versions().values():
            self.known |= seen

    @property
    def in_use(self) -> set[str]:
        targets = self.catalog.targets.values()
        return {target.software for target in targets}

    def _ages(self) -> dict[str, dict[str, float]]:
        now = self._clock.monotonic()
        ages = {v: now - at for v, at in self.known.items()}
        return {SERVICE: ages | dict.fromkeys(self.in_use, 0.0)}


class Fleet:
    """Instances that read one log and tell each other, in random steps."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.clock = _clock.ManualClock()
        self.records: list[tuple[str, gateway.Target | None]] = []
        self.first = 0
        self.era = 1
        self.copied: list[tuple[str, gateway.Target | None]] = []
        self.born_ms = 0
        #: The record of versions: what it proves, and the versions.
        self.record: tuple[decisions.LogStretch, _Versions] | None = None
        #: Versions that any instance has used.
        self.used: set[str] = set()
        #: Snapshots on their way: sender, receiver and the message.
        self.sent: list[tuple[int, Node, bytes]] = []
        self.nodes = [Node(self.clock) for _ in range(NODES)]
        for node in self.nodes:
            self.list_targets(node)
            # The first start of all.
            start = decisions.LogStretch(1, 0, 0, -math.inf)
            node.catalog.vouch(start, {}, "start")

    def join(self, node: Node) -> None:
        self.born_ms += 1
        name, version = self._rng.choice(ENGINES), self._rng.choice(VERSIONS)
        self.records.append((name, engine(name, version, self.born_ms)))

    def leave(self, node: Node) -> None:
        self.records.append((self._rng.choice(ENGINES), None))

    def read(self, node: Node) -> None:
        """Read some records, or list if the log does not have them."""
        catalog = node.catalog
        if catalog.era != self.era or catalog.through < self.first:
            self.list_targets(node)
            return
        count = self._rng.choice((1, 2, 99))
        end = min(len(self.records), catalog.through + count)
        for name, target in self.records[catalog.through : end]:
            catalog.update_target(name, target)
        catalog.record_read()
        catalog.end_batch(end)

    def list_targets(self, node: Node) -> None:
        catalog = node.catalog
        if catalog.era != self.era:
            catalog.begin_era(self.era)
        newest = dict(self.records)
        catalog.record_read()
        catalog.replace_targets(
            {name: target for name, target in newest.items() if target},
            len(self.records),
        )

    def send(self, node: Node) -> None:
        sender = self._rng.randrange(NODES)
        state = self._rng.choice((None, node.catalog.read_state()))
        snapshot = self.nodes[sender].catalog.snapshot(state)
        self.sent.append((sender, node, msgspec.json.encode(snapshot)))

    def deliver(self, node: Node) -> None:
        if not self.sent:
            return
        chosen = self._rng.randrange(len(self.sent))
        sender, receiver, message = self.sent.pop(chosen)
        if receiver is not self.nodes[sender]:
            snapshot = msgspec.json.decode(message, type=_contracts.Snapshot)
            receiver.catalog.merge_snapshot(snapshot, str(sender))

    def exchange(self, node: Node) -> None:
        self.sent.clear()
        self.send(node)
        self.deliver(node)

    def agree(self, node: Node) -> None:
        """Count what nobody has seen as seen, once all others have told."""
        seen = node.catalog.seen
        others = {str(n) for n in range(NODES) if self.nodes[n] is not node}
        if not seen.coverage.unheard(others):
            seen.join_all()

    def restart(self, node: Node) -> None:
        self.nodes[self.nodes.index(node)] = Node(self.clock)

    def write_record(self, node: Node) -> None:
        """Record the versions of a complete view, however old it is."""
        seen = node.catalog.seen
        newest = seen.coverage.newest
        if newest is not None and not seen.missed_lately:
            ages = dict.fromkeys(node.known.keys() | node.in_use, 0.0)
            proof = dataclasses.replace(newest, start=newest.through)
            self.record = proof, {SERVICE: ages}

    def read_record(self, node: Node) -> None:
        """Read the record, and what the log holds of the time since."""
        catalog = node.catalog
        if self.record is not None:
            catalog.vouch(*self.record, "the record")
        gap = catalog.seen.coverage.gap
        if gap is None or catalog.era != self.era or gap[0] < self.first:
            return
        past = [t for _, t in self.records[gap[0] :] if t is not None]
        ages = {SERVICE: {target.software: 0.0 for target in past}}
        seen = catalog.seen.stretch(self.era, gap[0], len(self.records))
        catalog.vouch(seen, ages, "past records")

    def forget_history(self, node: Node) -> None:
        self.first = len(self.records)

    def copy(self, node: Node) -> None:
        self.copied = list(self.records)

    def restore(self, node: Node) -> None:
        self.records = list(self.copied)
        self.first = min(self.first, len(self.records))
        self.era += 1

    def step(self) -> str:
        """Take a random step at a random node; return its name."""
        name = self._rng.choices(list(STEPS), list(STEPS.values()))[0]
        number = self._rng.randrange(NODES)
        getattr(self, name)(self.nodes[number])
        self.clock.advance(STEP_S)
        for node in self.nodes:
            node.catalog.expire()
            self.used |= node.in_use
        return f"{name} {number}"

    def missed(self) -> set[str]:
        """Return versions that an instance with a complete view lacks."""
        lacking = set()
        for node in self.nodes:
            catalog = node.catalog
            confirmed = catalog.position == (self.era, len(self.records))
            if confirmed and not catalog.seen.missed_lately:
                lacking |= self.used - node.known.keys() - node.in_use
        return lacking


#: Steps of a fleet, by how often each is taken.
STEPS = {
    "join": 2,
    "leave": 2,
    "read": 6,
    "list_targets": 1,
    "send": 2,
    "deliver": 2,
    "exchange": 6,
    "agree": 3,
    "write_record": 2,
    "read_record": 2,
    "restart": 1,
    "forget_history": 1,
    "copy": 1,
    "restore": 1,
}
WALKS = 1_500
STEPS_OF_A_WALK = 45


# Each way to learn of targets had its own rule of what it may have left out,
# and some of them none.
@pytest.mark.parametrize("seed", range(4))
def test_a_complete_view_names_all_versions_in_use(seed: int) -> None:
    complete = 0
    for walk in range(WALKS):
        fleet = Fleet(random.Random(f"{SEED}/{seed}/{walk}"))
        steps = []
        for _ in range(STEPS_OF_A_WALK):
            steps.append(fleet.step())
            assert not fleet.missed(), f"walk {walk}: {steps}"
        complete += any(
            not node.catalog.seen.missed_lately for node in fleet.nodes
        )
    # Views are complete often enough for this to show something.
    assert complete > WALKS / 10


def complete_pair() -> tuple[Node, Node, _clock.ManualClock]:
    """Return two nodes that have missed nothing, at offset 5."""
    clock = _clock.ManualClock()
    nodes = Node(clock), Node(clock)
    for node in nodes:
        node.catalog.record_read()
        node.catalog.replace_targets({"e0": engine("e0", "v1", 1)}, 5)
        start = decisions.LogStretch(0, 5, 5, -math.inf)
        node.catalog.vouch(start, {}, "start")
    return *nodes, clock


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Entries of one read, and versions that have to be known after it."""

    written: tuple[tuple[str, gateway.Target | None], ...]
    known: set[str]


ENTRIES = {
    "joined and left": Entries(
        (("e1", engine("e1", "v2", 2)), ("e1", None)), {"v1", "v2"}
    ),
    "replaced under its id": Entries(
        (
            ("e1", engine("e1", "v2", 2)),
            ("e1", engine("e1", "v1", 3)),
            ("e1", None),
        ),
        {"v1", "v2"},
    ),
    # Written late: an instance that had not read of the newer one used it.
    "older than the known one": Entries(
        (("e0", engine("e0", "v3", 0)),), {"v1", "v3"}
    ),
}


# A peer that was told of the changes, or of all targets, did not learn of
# versions that only entries in between had named.
@pytest.mark.parametrize("whole", [False, True], ids=["changes", "all"])
@pytest.mark.parametrize("name", ENTRIES)
def test_a_peer_is_told_of_the_versions_between_two_reads(
    name: str, whole: bool
) -> None:
    first, second, clock = complete_pair()
    case = ENTRIES[name]
    for target, entry in case.written:
        first.catalog.update_target(target, entry)
    first.catalog.end_batch(5 + len(case.written))
    clock.advance(1.0)
    first.catalog.expire()
    state = None if whole else second.catalog.read_state()
    second.catalog.merge_snapshot(first.catalog.snapshot(state), "i1")
    assert second.known.keys() == case.known
    assert not second.catalog.seen.missed_lately
