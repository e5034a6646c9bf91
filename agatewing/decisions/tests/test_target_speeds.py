"""Tests of the speed of each target, where targets differ for good."""

import dataclasses
import random

import pytest

from agatewing import decisions

PREFILL = decisions.AnswerKind.PREFILL
DECODE = decisions.AnswerKind.DECODE
#: Speed of the service, which follows the faster engines.
SERVICE = decisions.Speed(
    prefill_tokens_per_s=190_000,
    prefill_base_s=0.018,
    step_base_s=0.002,
    step_per_sequence_s=0.00006,
    full_chunk_tokens=2_048,
)
TOKENS_PER_EVENT = 8.0
QUANTILE = decisions.PARTIAL_VIEW_FIT.quantile


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """What an instance hears of one engine."""

    #: Time of its answers, as a multiple of those of the fastest engine.
    factor: float
    count: int = 12
    kind: decisions.AnswerKind = PREFILL
    #: Share of the answers that waited, and are several times as long.
    waited: float = 0.2
    #: Time between two answers, in seconds.
    every_s: float = 1.0


def add(
    speeds: decisions.TargetSpeeds,
    target: int,
    answers: Answers,
    now: float = 0.0,
) -> float:
    """Add the answers of an engine; return the time after the last one."""
    rng = random.Random(target)
    for _ in range(answers.count):
        now += answers.every_s
        if answers.kind is PREFILL:
            quantity = rng.uniform(1_000, 12_000)
            seconds = quantity / SERVICE.full_chunk_rate() + 0.02
        else:
            quantity = rng.uniform(0, 10)
            seconds = TOKENS_PER_EVENT * SERVICE.step_s(quantity)
        seconds *= answers.factor * rng.uniform(1.0, 1.1)
        if rng.random() < answers.waited:
            seconds *= rng.uniform(1.5, 4)
        answer = decisions.AnswerTime(quantity, seconds)
        speeds.add(target, answers.kind, answer, now)
    return now


def factors(
    speeds: decisions.TargetSpeeds, targets: int
) -> list[decisions.TimeFactors]:
    found = speeds.factors(
        frozenset(range(targets)), SERVICE, TOKENS_PER_EVENT, QUANTILE
    )
    return [found[target] for target in range(targets)]


@pytest.mark.parametrize("kind", [PREFILL, DECODE])
@pytest.mark.parametrize("count", [5, 12, 24])
def test_two_speeds(kind: decisions.AnswerKind, count: int) -> None:
    """A third of the engines is faster by 1.7 / 0.7 for good.

    Of one speed for all, the slower ones seem slow for a time again and
    again, and prompts wait there for longer than is known.
    """
    speeds = decisions.TargetSpeeds()
    for target in range(30):
        factor = 1.0 if target % 3 == 2 else 1.7 / 0.7
        add(speeds, target, Answers(factor, count, kind))
    found = factors(speeds, 30)
    name, other = ("prefill", "decode")[:: 1 if kind is PREFILL else -1]
    for target in range(30):
        expected = 1.0 if target % 3 == 2 else 1.7 / 0.7
        assert getattr(found[target], name) == pytest.approx(expected, rel=0.3)
        # Of the other kind, only the ratio of two engines is known.
        ratio = getattr(found[target], other) / getattr(found[2], other)
        assert ratio == pytest.approx(expected, rel=0.4)


def test_alike_targets_have_one_speed() -> None:
    """Estimates of single engines are less sure than that of all of them."""
    speeds = decisions.TargetSpeeds()
    for target in range(14):
        add(speeds, target, Answers(1.0, 6 + target, waited=0.3))
    assert set(factors(speeds, 14)) == {decisions.TimeFactors()}


@pytest.mark.parametrize("waited", [0.5, 0.7])
def test_an_overloaded_engine_is_not_slow_for_good(waited: float) -> None:
    """Most of its answers waited for what the instance does not know of."""
    speeds = decisions.TargetSpeeds()
    for target in range(9):
        add(speeds, target, Answers((1.0, 2.4)[target % 2], 24))
    add(speeds, 9, Answers(1.0, 24, waited=waited))
    assert factors(speeds, 10)[9].prefill < 1.6


def test_an_engine_that_is_slow_for_a_time_keeps_its_speed() -> None:
    """It is found slow by its present answers, and fast again after them."""
    speeds = decisions.TargetSpeeds()
    for target in range(9):
        add(speeds, target, Answers((1.0, 2.4)[target % 2], 24))
    now = add(speeds, 9, Answers(1.0, 24))
    add(speeds, 9, Answers(5.0, 80, every_s=0.2), now)
    assert factors(speeds, 10)[9].prefill == pytest.approx(1.0, rel=0.2)


def test_a_new_engine_begins_at_the_middle() -> None:
    """Its predecessor of the same name was slow; it is another incarnation."""
    speeds = decisions.TargetSpeeds()
    for target in range(9):
        add(speeds, target, Answers(2.4 if target < 6 else 1.0))
    speeds.retain(frozenset(range(9)) - {0})
    found = factors(speeds, 9)[0]
    assert (found.samples, found.prefill) == (
        0,
        pytest.approx(2.4, rel=0.3),
    )
    add(speeds, 0, Answers(1.0, 6))
    assert factors(speeds, 9)[0].prefill < 1.6


def test_an_engine_that_changes_its_role_stays_as_fast() -> None:
    """It has prefilled only, and is to decode now."""
    speeds = decisions.TargetSpeeds()
    for target in range(9):
        factor = 1.0 if target % 3 == 2 else 2.4
        kind = PREFILL if target < 6 else DECODE
        add(speeds, target, Answers(factor, kind=kind))
    found = factors(speeds, 9)
    assert found[2].decode < 0.7 * found[0].decode
    assert found[8].prefill < 0.7 * found[7].prefill


def test_the_mean_serves_as_much_as_all_together() -> None:
    """The role plan counts engines."""
    mean = decisions.mean_factors(
        [decisions.TimeFactors(f, f) for f in (1 / 0.7, 1 / 0.7, 1 / 1.7)]
    )
    assert 1 / mean.prefill == pytest.approx((0.7 + 0.7 + 1.7) / 3)
    scaled = mean.scaled(SERVICE)
    assert scaled.step_s(20) == pytest.approx(SERVICE.step_s(20) * mean.decode)
