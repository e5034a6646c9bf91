"""An instance's view of configuration and targets, and log followers."""

import dataclasses

import gevent
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _follow
from agatewing.gateway import _log_turns
from agatewing.gateway import _peers
from agatewing.gateway import _routes

ACTIVE = _types.TargetState.ACTIVE
DRAINING = _types.TargetState.DRAINING


def target(
    name: str,
    state: _types.TargetState = ACTIVE,
    born: int = 1,
    sequence: int = 1,
) -> gateway.Target:
    return gateway.Target(
        name, "s", "10.0.0.1:80", "z", state, 8, None, 0.0, born, sequence
    )


def configuration(version: int) -> gateway.Configuration:
    return gateway.Configuration(version, (), {}, gateway.CallerLimits())


def make_catalog() -> tuple[_catalog.Catalog, _clock.ManualClock]:
    clock = _clock.ManualClock()
    catalog = _catalog.Catalog(clock, lambda: None)
    catalog.record_read()
    clock.advance(60)
    return catalog, clock


def test_a_target_whose_entry_expired_is_held_and_then_dropped() -> None:
    catalog, clock = make_catalog()
    catalog.update_target("a", target("a"))
    catalog.update_target("a", None)
    clock.advance(0.4)
    catalog.expire()
    assert "a" in catalog.targets
    clock.advance(0.2)
    catalog.expire()
    assert "a" not in catalog.targets


def test_a_target_whose_entry_comes_back_is_kept() -> None:
    catalog, clock = make_catalog()
    catalog.update_target("a", target("a"))
    catalog.record_unavailable()
    clock.advance(9)
    catalog.record_read()
    catalog.update_target("a", None)
    clock.advance(1.0)
    catalog.update_target("a", target("a", sequence=2))
    clock.advance(5)
    catalog.expire()
    assert "a" in catalog.targets


def test_a_target_missing_two_seconds_after_the_log_returns_is_dropped() -> (
    None
):
    catalog, clock = make_catalog()
    catalog.replace_targets({"a": target("a"), "b": target("b")}, 5)
    catalog.record_unavailable()
    clock.advance(9)
    catalog.record_read()
    catalog.replace_targets({"b": target("b")}, 9)
    clock.advance(1.9)
    catalog.expire()
    assert "a" in catalog.targets
    clock.advance(0.2)
    catalog.expire()
    assert set(catalog.targets) == {"b"}


def test_a_draining_target_without_entry_is_dropped_at_once() -> None:
    catalog, _ = make_catalog()
    catalog.update_target("a", target("a"))
    catalog.update_target("a", target("a", DRAINING, sequence=2))
    catalog.update_target("a", None)
    assert "a" not in catalog.targets


# An instance that knew the log from peers only gave snapshots that no peer
# could decode, as JSON has no infinite numbers.
def test_a_view_that_was_never_read_can_be_told() -> None:
    catalog = _catalog.Catalog(_clock.ManualClock(), lambda: None)
    catalog.apply_configuration(configuration(5), "peer")
    raw = msgspec.json.encode(catalog.snapshot())
    snapshot = msgspec.json.decode(raw, type=_contracts.Snapshot)
    assert snapshot.configuration == catalog.configuration
    assert snapshot.age_s == _catalog.NEVER_READ_S


def test_a_snapshot_of_a_peer_that_read_less_changes_nothing() -> None:
    catalog, _ = make_catalog()
    catalog.apply_configuration(configuration(8), "log")
    catalog.replace_targets({"a": target("a")}, 20)
    older = _contracts.Snapshot(configuration(5), (target("b"),), 10, 0.1)
    catalog.merge_snapshot(older, "peer")
    assert catalog.config_version == 8
    assert set(catalog.targets) == {"a"}
    newer = _contracts.Snapshot(
        configuration(9), (target("a", DRAINING, sequence=2),), 30, 0.1
    )
    catalog.merge_snapshot(newer, "peer")
    assert catalog.config_version == 9
    assert catalog.targets["a"].state is DRAINING


class CatalogMachine(stateful.RuleBasedStateMachine):
    """Versions never fall; a draining incarnation never becomes active."""

    def __init__(self) -> None:
        super().__init__()
        self.catalog, self.clock = make_catalog()
        self.highest = 0
        self.drained: set[tuple[str, int]] = set()

    @stateful.rule(version=strategies.integers(1, 30))
    def configure(self, version: int) -> None:
        self.catalog.apply_configuration(configuration(version), "log")
        self.highest = max(self.highest, version)

    @stateful.rule(
        name=strategies.sampled_from("abc"),
        state=strategies.sampled_from([ACTIVE, DRAINING]),
        born=strategies.integers(1, 3),
    )
    def announce(
        self, name: str, state: _types.TargetState, born: int
    ) -> None:
        """Announce a target; late writes may arrive after a drain."""
        known = self.catalog.targets.get(name)
        if (name, born) in self.drained and state is ACTIVE:
            # A late write has a lower sequence number than the drain.
            entry = target(name, state, born, 1)
        else:
            entry = target(name, state, born, 9 if state is DRAINING else 5)
        before = known.born_ms if known else 0
        self.catalog.update_target(name, entry)
        if state is DRAINING and born >= before:
            self.drained.add((name, born))

    @stateful.rule(seconds=strategies.floats(0.1, 3))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.catalog.expire()

    @stateful.invariant()
    def holds(self) -> None:
        assert self.catalog.config_version == self.highest
        for name, known in self.catalog.targets.items():
            if (name, known.born_ms) in self.drained:
                assert known.state is DRAINING


TestCatalog = CatalogMachine.TestCase


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["/", "/a/", "/a/b/", "/a/b/c/", "/x/"]),
        unique=True,
    ),
    strategies.sampled_from(["/", "/a/b/c/d", "/a/x", "/x", "/x/y", "/ab/"]),
)
def test_fuzz_the_longest_prefix_wins(prefixes: list[str], path: str) -> None:
    routes = tuple(
        gateway.Route(
            prefix, "h", prefix, gateway.RouteKind.ONCE, 1, 1, 0, (), 1
        )
        for prefix in prefixes
    )
    found = _routes.RouteTable(routes).find("H:80", path)
    fitting = [p for p in prefixes if path.startswith(p)]
    expected = max(fitting, key=len) if fitting else None
    assert (found.prefix if found else None) == expected


@dataclasses.dataclass
class _Log:
    """A log that returns prepared answers."""

    pages: list[object]

    def arriving(self, topic: gateway.Topic) -> bool:
        return False

    def read_newest(self, topic: gateway.Topic) -> object:
        return self.pages.pop(0)

    def read(self, topic: gateway.Topic, offset: int, wait_s: float) -> object:
        return self.pages.pop(0)


def test_after_lost_history_the_newest_values_are_read() -> None:
    received: list[object] = []
    sink = _follow.Sink(
        lambda records, offset: received.append(("all", offset)),
        lambda record: received.append(record.key),
        lambda offset: received.append(offset),
        lambda: received.append("away"),
    )
    record = gateway.KeyedRecord("k", b"v")
    log = _Log(
        [
            gateway.LogUnavailable("busy"),
            gateway.Page((), 3),
            gateway.Page((record,), 4),
            gateway.HistoryLost(),
            gateway.Page((), 9),
        ]
    )
    follower = _follow.Follower(
        log,  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.TARGETS,
        sink,
    )
    steps = [follower.step() for _ in range(5)]
    assert steps == [False, True, True, True, True]
    assert received == ["away", ("all", 3), "k", 4, ("all", 9)]


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    instances: int
    #: Longest time for which a removed target gets requests, in seconds.
    bound_s: float


FLEETS = {
    # A target got a request 2.19 s after its removal in
    # engines-leave-during-prefills.toml on tala-ops, varied with seed
    # 609288884056.
    "six instances": Fleet(6, 2.0),
    "eighty-eight instances": Fleet(88, 3.0),
}
#: Allowance for a slow read or a busy event loop, in seconds.
SLACK_S = 0.25


@pytest.mark.parametrize("name", FLEETS)
def test_a_target_removed_without_draining_is_dropped_in_time(
    name: str,
) -> None:
    fleet = FLEETS[name]
    clock = _clock.ManualClock()
    catalog = _catalog.Catalog(clock, lambda: None)
    catalog.record_read()
    catalog.update_target("t1", target("t1"))
    clock.advance(10.0)
    removed_at = clock.monotonic()
    many = fleet.instances > _log_turns.MANY_INSTANCES
    period = _follow.MIN_READ_PERIOD_S[gateway.Topic.TARGETS]
    clock.advance(period * (_follow.MANY_INSTANCES_FACTOR if many else 1))
    catalog.update_target("t1", None)
    # Worst case: one check comes just before the hold time is over.
    clock.advance(_catalog.HOLD_S - 0.001)
    catalog.expire()
    assert "t1" in catalog.targets
    clock.advance(_peers.REQUEST_PERIOD_S)
    catalog.expire()
    assert "t1" not in catalog.targets
    assert clock.monotonic() - removed_at + SLACK_S <= fleet.bound_s


def test_while_the_log_is_unavailable_only_one_topic_is_read() -> None:
    clock = _clock.ManualClock()
    log_unavailable = [True]
    reads: list[gateway.Topic] = []

    class Log:
        def arriving(self, topic: gateway.Topic) -> bool:
            return False

        def read_newest(
            self, topic: gateway.Topic
        ) -> gateway.Page | gateway.LogUnavailable:
            reads.append(topic)
            return (
                gateway.LogUnavailable("busy")
                if log_unavailable[0]
                else gateway.Page((), 0)
            )

        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
            return gateway.Page((), 0)

    limits = _follow.ReadLimits(lambda: log_unavailable[0])
    sink = _follow.Sink(
        lambda records, offset: None,
        lambda record: None,
        lambda offset: None,
    )
    loops = [
        gevent.spawn(
            _follow.Follower(
                Log(),  # type: ignore[arg-type]
                clock,
                topic,
                sink,
                limits,
            ).run
        )
        for topic in (gateway.Topic.CONFIGURATION, gateway.Topic.TARGETS)
    ]
    for _ in range(40):
        clock.advance(0.1)
    assert reads.count(gateway.Topic.CONFIGURATION) == 1
    assert 6 <= reads.count(gateway.Topic.TARGETS) <= 12
    log_unavailable[0] = False
    for _ in range(8):
        clock.advance(0.1)
    assert reads.count(gateway.Topic.CONFIGURATION) == 2
    gevent.killall(loops)
