"""What an instance believes of configuration and targets."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from agatewing import _clock
from agatewing import _types
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _follow
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


def catalog() -> tuple[_catalog.Catalog, _clock.ManualClock]:
    clock = _clock.ManualClock()
    made = _catalog.Catalog(clock, lambda: None)
    made.note_read()
    clock.advance(60)
    return made, clock


def test_a_lapsed_entry_is_held_and_then_gone() -> None:
    made, clock = catalog()
    made.take_change("a", target("a"))
    made.take_change("a", None)
    clock.advance(1.4)
    made.expire()
    assert "a" in made.targets
    clock.advance(0.2)
    made.expire()
    assert "a" not in made.targets


def test_an_entry_that_comes_back_is_kept() -> None:
    made, clock = catalog()
    made.take_change("a", target("a"))
    made.note_away()
    clock.advance(9)
    made.note_read()
    made.take_change("a", None)
    clock.advance(1.0)
    made.take_change("a", target("a", sequence=2))
    clock.advance(5)
    made.expire()
    assert "a" in made.targets


def test_what_is_missing_two_seconds_after_the_return_is_gone() -> None:
    made, clock = catalog()
    made.take_all({"a": target("a"), "b": target("b")}, 5)
    made.note_away()
    clock.advance(9)
    made.note_read()
    made.take_all({"b": target("b")}, 9)
    clock.advance(1.9)
    made.expire()
    assert "a" in made.targets
    clock.advance(0.2)
    made.expire()
    assert set(made.targets) == {"b"}


def test_a_leaving_target_is_gone_at_once() -> None:
    made, _ = catalog()
    made.take_change("a", target("a"))
    made.take_change("a", target("a", DRAINING, sequence=2))
    made.take_change("a", None)
    assert "a" not in made.targets


def test_a_peer_that_read_less_changes_nothing() -> None:
    made, _ = catalog()
    made.take_configuration(configuration(8), "log")
    made.take_all({"a": target("a")}, 20)
    old = _contracts.Snapshot(configuration(5), (target("b"),), 10, 0.1)
    made.take_snapshot(old, "peer")
    assert made.config_version == 8
    assert set(made.targets) == {"a"}
    new = _contracts.Snapshot(
        configuration(9), (target("a", DRAINING, sequence=2),), 30, 0.1
    )
    made.take_snapshot(new, "peer")
    assert made.config_version == 9
    assert made.targets["a"].state is DRAINING


class CatalogMachine(stateful.RuleBasedStateMachine):
    """Versions never fall; a start that leaves never comes back."""

    def __init__(self) -> None:
        super().__init__()
        self.catalog, self.clock = catalog()
        self.highest = 0
        self.left: set[tuple[str, int]] = set()

    @stateful.rule(version=strategies.integers(1, 30))
    def configure(self, version: int) -> None:
        self.catalog.take_configuration(configuration(version), "log")
        self.highest = max(self.highest, version)

    @stateful.rule(
        name=strategies.sampled_from("abc"),
        state=strategies.sampled_from([ACTIVE, DRAINING]),
        born=strategies.integers(1, 3),
    )
    def announce(
        self, name: str, state: _types.TargetState, born: int
    ) -> None:
        """Announce in order of starts; leaving is not taken back."""
        known = self.catalog.targets.get(name)
        if (name, born) in self.left and state is ACTIVE:
            # A late write: its number is lower than that of leaving.
            entry = target(name, state, born, 1)
        else:
            entry = target(name, state, born, 9 if state is DRAINING else 5)
        before = known.born_ms if known else 0
        self.catalog.take_change(name, entry)
        if state is DRAINING and born >= before:
            self.left.add((name, born))

    @stateful.rule(seconds=strategies.floats(0.1, 3))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.catalog.expire()

    @stateful.invariant()
    def holds(self) -> None:
        assert self.catalog.config_version == self.highest
        for name, known in self.catalog.targets.items():
            if (name, known.born_ms) in self.left:
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
        gateway.Route(prefix, "h", prefix, gateway.Kind.ONCE, 1, 1, 0, (), 1)
        for prefix in prefixes
    )
    found = _routes.RouteTable(routes).find("H:80", path)
    fitting = [p for p in prefixes if path.startswith(p)]
    expected = max(fitting, key=len) if fitting else None
    assert (found.prefix if found else None) == expected


@dataclasses.dataclass
class _Log:
    """Answers that a test prepares."""

    pages: list[object]

    def newest(self, topic: gateway.Topic) -> object:
        return self.pages.pop(0)

    def read(self, topic: gateway.Topic, offset: int) -> object:
        return self.pages.pop(0)


def test_lost_history_is_followed_by_the_newest_values() -> None:
    taken: list[object] = []
    sink = _follow.Sink(
        lambda records, offset: taken.append(("all", offset)),
        lambda record: taken.append(record.key),
        lambda offset: taken.append(offset),
        lambda: taken.append("away"),
    )
    record = gateway.KeyedRecord("k", b"v")
    log = _Log(
        [
            gateway.LogAway("busy"),
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
    assert taken == ["away", ("all", 3), "k", 4, ("all", 9)]
