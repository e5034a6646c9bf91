"""Orders to engines under load: long prompts before nine engines.

The split was planned after 2.6 s of traffic and ordered after 16.8 s: orders
waited until the same engines had been chosen for a time, and under load the
engines with the fewest requests are others at each check.
"""

import collections.abc
import dataclasses
import random
import typing

import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import duties
from agatewing import gateway
from agatewing.gateway import _contracts
from agatewing.gateway import _ranks
from agatewing.gateway import _role_loop
from agatewing.gateway import _target_registry
from agatewing.gateway import _tracked_target

#: Two decode engines suit it; the first plan has four.
LONG_PROMPTS = decisions.StreamDemand(400_000, 10_000, 0, 5_000, 4e7)


class Claims:
    """The right to give orders, always granted."""

    def __init__(self, ordered: dict[str, float]) -> None:
        self._ordered = ordered
        #: Split of each claim.
        self.splits: list[dict[str, float]] = []

    def prepare(self) -> None:
        """Do nothing."""

    def ordered_split(self) -> dict[str, float]:
        return self._ordered

    def acquire(self, split: dict[str, float]) -> duties.Claim:
        self.splits.append(split)
        return duties.Claim(1, 0.0, 0.0, None)

    def valid(self, claim: duties.Claim) -> bool:
        return True


class Sender:
    """Records orders."""

    def __init__(self) -> None:
        self.ordered: list[str] = []

    def send_command(
        self, tracked: _tracked_target.TrackedTarget, *parts: object
    ) -> int:
        self.ordered.append(tracked.target.id)
        return 202


class Dialect:
    """Builds no orders."""

    def role_order(self, *parts: object) -> None:
        """Return nothing to send."""


@pytest.fixture
def clock() -> _clock.ManualClock:
    return _clock.ManualClock()


@pytest.fixture
def registry(
    clock: _clock.ManualClock,
) -> _target_registry.TargetRegistry:
    made = _target_registry.TargetRegistry(
        clock,
        random.Random(1),
        decisions.Speed(60_000, step_base_s=0.005, slots=64),
        "me",
    )
    targets = {
        f"e{number}": gateway.Target(
            f"e{number}",
            "chat",
            f"10.0.0.{number}:80",
            "z",
            _types.TargetState.ACTIVE,
            64,
            _types.Role.DECODE if number < 4 else _types.Role.PREFILL,
        )
        for number in range(9)
    }
    properties = gateway.EngineProperties(64, 500_000, 1, 1e9)
    made.apply({"chat": _contracts.Service("chat", 100, properties)}, targets)
    return made


def loop_of(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    sender: typing.Any,
    view_current: collections.abc.Callable[[], bool] = lambda: True,
    has_demand: collections.abc.Callable[[], bool] = lambda: True,
    granted: Claims | None = None,
    peers: collections.abc.Iterable[str] = (),
    is_changing: collections.abc.Callable[[str], bool] = lambda service: False,
    demand: decisions.StreamDemand = LONG_PROMPTS,
) -> _role_loop.RoleLoop:
    dialect: typing.Any = Dialect()
    claims: typing.Any = granted or Claims({})
    return _role_loop.RoleLoop(
        _role_loop.RoleLoopContext(
            clock,
            registry,
            sender,
            dialect,
            claims,
            "me",
            lambda: peers,
            view_current,
            lambda pool: demand if has_demand() else None,
            is_changing,
        )
    )


def run(
    clock: _clock.ManualClock,
    loop: _role_loop.RoleLoop,
    registry: _target_registry.TargetRegistry,
    duration_s: float,
) -> None:
    """Check the roles for a time, while the load of engines changes."""
    for step in range(int(duration_s / _role_loop.CHECK_PERIOD_S)):
        for number in range(9):
            load = registry.by_id[f"e{number}"].load
            load.reported_sequences = (number * 7 + step * 5) % 11
        loop.step()
        clock.advance(_role_loop.CHECK_PERIOD_S)


def test_orders_are_given_though_other_engines_are_chosen_each_time(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
) -> None:
    sender = Sender()
    loop = loop_of(clock, registry, sender)
    run(clock, loop, registry, 5.0)
    assert len(set(sender.ordered)) == 2
    assert loop.decode_planned == {"chat": 2}


def test_no_order_is_given_on_a_view_that_is_out_of_date(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
) -> None:
    sender = Sender()
    loop = loop_of(clock, registry, sender, lambda: False)
    run(clock, loop, registry, 5.0)
    assert not sender.ordered


# Long prompts waited for 7 s of a day of 34 s until a split that was planned
# after 2.6 s was in force: first for the gain to last, then for the moves.
def test_orders_follow_a_new_split_at_once(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
) -> None:
    sender = Sender()
    begin = clock.monotonic() + 12.0
    loop = loop_of(
        clock, registry, sender, has_demand=lambda: clock.monotonic() >= begin
    )
    run(clock, loop, registry, 12.0)
    assert loop.decode_planned == {"chat": 4}
    assert not sender.ordered
    run(clock, loop, registry, 1.5)
    assert loop.decode_planned == {"chat": 2}
    assert len(sender.ordered) == 2


# All instances were killed, or the one that gives orders was replaced. The
# next one began with two fifths that decode, and ordered engines back that
# the demand had moved.
@pytest.mark.parametrize(
    ("ordered", "orders"), [({}, 0), ({"chat": 2 / 9}, 2), ({"pay": 0.9}, 0)]
)
def test_an_instance_begins_with_the_split_that_was_ordered_last(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    ordered: dict[str, float],
    orders: int,
) -> None:
    sender = Sender()
    claims = Claims(ordered)
    loop = loop_of(clock, registry, sender, has_demand=bool, granted=claims)
    run(clock, loop, registry, 5.0)
    # Four of nine decode in the fixture.
    assert len(set(sender.ordered)) == orders
    assert all(split["chat"] == 2 / 9 for split in claims.splits)


def test_an_instance_that_may_not_order_still_knows_the_split(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
) -> None:
    """Hundreds of instances need not choose engines that they do not order."""
    names = [f"i{n}" for n in range(40)]
    assert _ranks.rank("me", names) >= _role_loop.ORDERING_INSTANCES
    sender = Sender()
    loop = loop_of(clock, registry, sender, peers=names)
    run(clock, loop, registry, 30.0)
    assert not sender.ordered
    assert loop.decode_planned == {"chat": 2}


def test_roles_wait_for_ordered_engines_but_not_with_a_new_split(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
) -> None:
    """Two engines came that decode; others were ordered away."""
    for name in ("e4", "e5"):
        tracked = registry.by_id[name]
        decode = _types.Role.DECODE
        tracked.update(dataclasses.replace(tracked.target, role=decode))
    sender = Sender()
    asked: list[bool] = []
    loop = loop_of(
        clock,
        registry,
        sender,
        has_demand=lambda: bool(asked),
        is_changing=lambda service: True,
    )
    run(clock, loop, registry, 5.0)
    assert not sender.ordered
    asked.append(True)
    run(clock, loop, registry, 10.0)
    assert sender.ordered


def test_engines_that_come_with_any_role_keep_it_under_demand(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
) -> None:
    """Half of the engines leave; the split that is left serves the demand."""
    scaling = decisions.Scaling(1, 9, 4.0)
    for pool in registry.pools.values():
        pool.service = dataclasses.replace(pool.service, scaling=scaling)
    for number in range(5, 9):
        tracked = registry.by_id[f"e{number}"]
        draining = _types.TargetState.DRAINING
        tracked.update(dataclasses.replace(tracked.target, state=draining))
    light = decisions.StreamDemand(1_000, 0, 0, 500, 4e5)
    sender = Sender()
    loop = loop_of(clock, registry, sender, demand=light)
    run(clock, loop, registry, 10.0)
    assert not sender.ordered
    assert loop.decode_planned == {"chat": 4}
