"""Counts that come twice, late, in part or in any order are the same."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import _clock
from agatewing import duties

A = duties.Lifetime("a", 1)
B = duties.Lifetime("b", 1)
AGAIN = duties.Lifetime("a", 2)
NOW = 100


def _counts() -> duties.UsageCounts:
    counts = duties.UsageCounts(duties.Lifetime("me", 0))
    counts.keep(NOW)
    return counts


PARTS = [
    duties.WindowCounts(A, NOW, {"x": 1}),
    duties.WindowCounts(A, NOW, {"x": 3, "y": 1}),
    duties.WindowCounts(A, NOW, {"y": 2}),
    duties.WindowCounts(AGAIN, NOW, {"x": 1}),
    duties.WindowCounts(B, NOW, {"x": 5}),
    duties.WindowCounts(B, NOW - 1, {"x": 7}),
]


@hypothesis.given(
    strategies.permutations(PARTS),
    strategies.lists(strategies.sampled_from(PARTS)),
)
def test_merging_is_the_same_in_any_order_and_twice(
    order: list[duties.WindowCounts], again: list[duties.WindowCounts]
) -> None:
    counts = _counts()
    for part in itertools.chain(order, again):
        assert counts.merge(part)
    assert counts.totals(NOW) == {"x": 9, "y": 2}
    assert counts.totals(NOW - 1) == {"x": 7}


@pytest.mark.parametrize(
    ("window", "taken"),
    (
        (NOW - duties.KEEP_WINDOWS - 1, False),
        (NOW - duties.KEEP_WINDOWS, True),
        (NOW + 1, True),
        (NOW + 2, False),
    ),
)
def test_windows_are_bounded(window: int, taken: bool) -> None:
    counts = _counts()
    assert counts.merge(duties.WindowCounts(A, window, {"x": 1})) is taken
    counts.keep(NOW + duties.KEEP_WINDOWS + 2)
    assert counts.totals(window) == {}


def test_own_counts_are_sent_until_they_have_come_three_times() -> None:
    counts = _counts()
    counts.begin("x", NOW)
    sent = [counts.take_unsent() for _ in range(5)]
    assert [len(parts) for parts in sent] == [1, 1, 1, 0, 0]
    counts.begin("x", NOW)
    assert counts.take_unsent()[0].counts == {"x": 2}


@pytest.mark.parametrize(
    ("offsets", "now"),
    (
        ({}, 0.0),
        ({"a": 9.0}, 0.0),
        ({"a": 0.0, "b": 6.0}, 0.0),
        ({"a": 5.0, "b": 5.0}, 5.0),
        ({"a": -6.0, "b": 0.1, "c": 0.1, "d": 6.0}, 0.1),
    ),
)
def test_the_time_of_the_fleet_is_the_median(
    offsets: dict[str, float], now: float
) -> None:
    clock = _clock.ManualClock()
    time = duties.FleetTime(clock)
    for peer, offset in offsets.items():
        time.hear(peer, clock.wall() + offset)
        # A report that was long on its way changes nothing.
        time.hear(peer, clock.wall() + offset - 0.5)
    time.update()
    assert time.now() - clock.wall() == pytest.approx(now)
    assert time.own_error_s == pytest.approx(-now)
