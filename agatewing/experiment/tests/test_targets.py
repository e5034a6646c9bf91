"""Goodput of the policies under light load and overload, at a fixed seed."""

import dataclasses

import pytest

from agatewing import experiment
from agatewing.experiment import _scenarios

_MIX = {"question": 1.5, "draft": 0.5, "tag": 0.5}


def _scenario(
    rates: dict[str, float], first_caller_share: float
) -> experiment.Scenario:
    phase = _scenarios.Phase(
        60.0, rates, first_caller_share=first_caller_share
    )
    return experiment.Scenario("test", (phase,))


def _run(
    scenario: experiment.Scenario, policy: str, load: float
) -> experiment.Outcome:
    return experiment.Simulation(
        scenario,
        experiment.DEPLOYMENTS["aldeias"],
        experiment.POLICIES[policy],
        3,
        load,
    ).run()


def test_goodput_does_not_fall_as_load_grows_past_capacity() -> None:
    rates = {**_MIX, "history": 0.4}
    goodput = [
        _run(_scenario(rates, 0.25), "agatewing", load).goodput
        for load in (0.5, 1.0, 2.0, 4.0)
    ]
    best = max(goodput)
    assert goodput[2] >= 0.9 * best
    assert goodput[3] >= 0.9 * best


def test_goodput_under_overload_is_over_twice_that_of_least_reported() -> None:
    rates = {**_MIX, "history": 0.4}
    ours = _run(_scenario(rates, 0.25), "agatewing", 4.0).goodput
    least_reported = _run(
        _scenario(rates, 0.25), "least reported", 4.0
    ).goodput
    assert ours > 2 * least_reported


def test_the_same_seed_gives_the_same_outcome() -> None:
    one = _run(_scenario(_MIX, 0.25), "agatewing", 1.0)
    other = _run(_scenario(_MIX, 0.25), "agatewing", 1.0)
    assert dataclasses.asdict(one) == dataclasses.asdict(other)


@pytest.mark.parametrize("name", ["round robin", "least reported", "eager"])
def test_baselines_answer_nearly_all_requests_at_low_load(name: str) -> None:
    outcome = _run(_scenario(_MIX, 0.25), name, 0.3)
    assert outcome.good >= 0.99 * outcome.requests
