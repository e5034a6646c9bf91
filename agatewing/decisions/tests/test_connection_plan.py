"""Tests of which idle connection carries a request."""

import random
import typing

import pytest

from agatewing import decisions

ONCE = decisions.Reuse.ONCE
AGAIN = decisions.Reuse.AGAIN


@pytest.mark.parametrize(
    ("reuse", "announced_s", "trusted", "limit_s"),
    [
        (ONCE, 10.0, True, 8.0),
        (AGAIN, 10.0, True, 9.5),
        (ONCE, 10.0, False, 0.5),
        (AGAIN, 10.0, False, 5.0),
        # Without a clear margin, the bound for unannounced times holds.
        (ONCE, 2.0, True, 0.5),
        (AGAIN, 1.0, True, 0.5),
        (ONCE, None, True, 0.5),
        (AGAIN, None, True, 10.0),
        (decisions.Reuse.NEVER, 10.0, True, -1.0),
        # Paths end unseen in a longer time.
        (ONCE, 60.0, True, 10.0),
        (AGAIN, 3_600.0, True, 10.0),
    ],
)
def test_announced_times_are_used_up_to_a_margin(
    reuse: decisions.Reuse,
    announced_s: float | None,
    trusted: bool,
    limit_s: float,
) -> None:
    """At few requests a target, half of the time opens each anew."""
    assert decisions.idle_limit_s(reuse, announced_s, trusted) == limit_s


def test_requests_that_may_run_again_leave_recent_connections() -> None:
    """A request that must not run twice could not use the older ones."""
    idle = [decisions.IdleConnection(s, 10.0) for s in (9.0, 4.0, 0.1, 9.8)]
    assert decisions.idle_candidates(idle, AGAIN) == [0, 1, 2]
    assert decisions.idle_candidates(idle, ONCE) == [2, 1]
    assert not decisions.idle_candidates(idle, decisions.Reuse.NEVER)


@pytest.mark.parametrize(
    ("idle_s", "announced_s", "trusted"),
    [(3.0, 10.0, False), (10.1, 10.0, True), (3.0, None, True)],
)
def test_a_target_that_closes_early_is_not_taken_at_its_word(
    idle_s: float, announced_s: float | None, trusted: bool
) -> None:
    """A request sent as the target closes may have run or not."""
    times = decisions.AnnouncedTimes()
    times.record_closed(
        decisions.IdleConnection(idle_s, announced_s), now=100.0
    )
    assert times.trusted(101.0) is trusted
    assert times.trusted(131.0)


@pytest.mark.parametrize(
    ("targets", "instances", "rate", "count"),
    [
        (15, 58, 2.9, 6),
        (30, 58, 2.9, 6),
        # Few instances, or many requests: each target is used often enough.
        (15, 6, 2.9, 15),
        (15, 58, 30.0, 15),
        (15, 58, 0.0, 4),
        (3, 58, 0.5, 3),
    ],
)
def test_an_instance_prefers_as_many_targets_as_its_requests_fill(
    targets: int, instances: int, rate: float, count: int
) -> None:
    """Each of 58 instances has a request for a target every six seconds."""
    assert decisions.kept_count(targets, instances, rate, 8.0) == count


def _kept(engines: list[str]) -> list[frozenset[str]]:
    """Return the preferred ones of 58 instances; each third in a zone."""
    return [
        decisions.kept_targets(
            f"instance-{instance}",
            [
                decisions.KeepCandidate(
                    engine,
                    index % 3 == instance % 3,
                    1.7 if index % 3 == 2 else 0.7,
                )
                for index, engine in enumerate(engines)
            ],
            8,
        )
        for instance in range(58)
    ]


def test_instances_that_prefer_a_part_of_the_engines_load_all_alike() -> None:
    """The busiest engine over the mean, in proportion to speeds.

    If each request goes to the least loaded of the preferred ones, eight of
    fifteen are as good as all.
    """
    engines = [f"engine-{index}" for index in range(15)]
    speeds = {e: 1.7 if i % 3 == 2 else 0.7 for i, e in enumerate(engines)}
    loads = dict.fromkeys(engines, 0.0)
    for _ in range(50):
        for kept in _kept(engines):
            engine = min(sorted(kept), key=lambda e: loads[e] / speeds[e])
            loads[engine] += 1
    mean = sum(loads.values()) / sum(speeds.values())
    assert max(loads[e] / speeds[e] for e in engines) / mean < 1.05


def test_an_engine_that_leaves_changes_few_choices() -> None:
    """All connections would be opened anew at each change."""
    engines = [f"engine-{index}" for index in range(15)]
    without = [e if i else "engine-new" for i, e in enumerate(engines)]
    for before, after in zip(_kept(engines), _kept(without), strict=True):
        assert len(before - after) <= 1


def test_engines_that_are_not_preferred_take_over() -> None:
    """The preferred ones have no room, are slow, or leave."""
    router = decisions.Router(random.Random(1), 8)
    profile = decisions.RequestProfile(100, 20, "a")

    def choose(**changes: typing.Any) -> str:
        preferred = decisions.EngineLoad("kept", "a", **changes)
        other = decisions.EngineLoad("other", "a", kept=False)
        other.connection_s = decisions.NEW_CONNECTION_S
        other.reported_sequences = 2
        route = router.choose(profile, [preferred, other])
        assert isinstance(route, decisions.Single)
        return route.engine

    assert choose(reported_sequences=3) == "kept"
    assert choose(reported_sequences=40) == "other"
    assert choose(slowness=2.0) == "other"
    assert choose(routable=False) == "other"


def test_connections_that_are_about_to_end_are_used() -> None:
    """Used at random, one of five ends although there are requests enough."""
    cost = decisions.connection_cost_s
    assert cost(7.5, 8.0) < cost(0.1, 8.0) < cost(None, 8.0) == cost(9.0, 8.0)
    assert decisions.scarce(targets=15, rate=2.9, idle_s=8.0)
    assert not decisions.scarce(targets=15, rate=30.0, idle_s=8.0)


def test_the_rate_is_known_from_the_first_second_on() -> None:
    """An average that begins at 0 shows too few requests for a while."""
    rate = decisions.UseRate()
    assert rate.current(5.0) == 0
    for second in range(1, 60):
        rate.add(4, float(second))
        if second in (2, 10, 59):
            assert 3.5 < rate.current(float(second)) < 9
