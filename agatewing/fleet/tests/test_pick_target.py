"""The choice of a target of a plain service."""

import random
import typing

import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import config
from agatewing import fleet

ACTIVE, DRAINING = _types.TargetState.ACTIVE, _types.TargetState.DRAINING
CASES = {
    "one failed lately": ((ACTIVE, ACTIVE), ("t0",), {"t1"}),
    "all failed lately": ((ACTIVE, ACTIVE), ("t0", "t1"), {"t0", "t1"}),
    "the other one drains": ((ACTIVE, DRAINING), ("t0",), {"t0"}),
    "all drain": ((DRAINING, DRAINING), (), {""}),
}


# Calls were refused for two seconds when each target had been silent, though
# the targets were sound.
@pytest.mark.parametrize("name", CASES)
def test_targets_that_failed_lately_are_the_last_choice(name: str) -> None:
    states, failed, expected = CASES[name]
    clock = _clock.ManualClock()
    made = fleet.Fleet(
        clock,
        random.Random(1),
        typing.cast(typing.Any, lambda address, **options: None),
    )
    targets = {
        f"t{number}": config.Target(f"10.0.0.{number}:80", "z", "s", state)
        for number, state in enumerate(states)
    }
    made.apply(
        config.Document(
            "d",
            {},
            {"s": config.PlainService()},
            {},
            targets,
            config.Rules({}),
        )  # fmt: skip
    )
    for target in failed:
        made.targets[target].record_failure(clock.monotonic())
    picked = [made.pick_target("s", frozenset(), "z") for _ in range(20)]
    assert {target.name if target else "" for target in picked} == expected
