"""Limits of targets that all instances keep together."""

import dataclasses
import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import decisions
from agatewing.decisions import _shared_limits

TARGET = 7
KEEP_S = _shared_limits.KEEP_S
#: Window over which targets are held to a limit, in seconds: the users' rule.
COUNT_S = 4.0


def limits(name: str = "i0") -> decisions.SharedLimits:
    return decisions.SharedLimits(name, random.Random(1))


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    at: float
    limit: float | None
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    at: float
    limit: float | None
    age_s: float = 0.0


CASES = {
    "nothing said": ((), 1.0, None),
    "named": ((Answer(1, 5.1, 0),), 2.0, 5.1),
    "named anew": ((Answer(1, 5.1, 0), Answer(2, 2.0, 1)), 2.0, 2.0),
    "named no more": ((Answer(1, 5.1, 0), Answer(3, None, 2)), 3.0, None),
    # Answers may overtake each other on different connections.
    "an older answer says nothing": (
        (Answer(1, 5.1, 0.5), Answer(2, None, 0.4)),
        2.0,
        5.1,
    ),
    "forgotten": ((Answer(1, 5.1, 0),), 1 + KEEP_S, None),
    "told by a peer": ((Report(1, 3.0),), 1.0, 3.0),
    "a peer's newer end": ((Answer(1, 5.1, 0), Report(3, None)), 3.0, None),
    "a peer's older limit": (
        (Answer(1, 5.1, 0), Answer(3, None, 2), Report(4, 5.1, 3.0)),
        4.0,
        None,
    ),
    "told too late": ((Report(1, 3.0, KEEP_S),), 1.0, None),
}


@pytest.mark.parametrize("name", CASES)
def test_the_newest_answer_of_a_target_counts(name: str) -> None:
    events, at, expected = CASES[name]
    known = limits()
    for event in events:
        match event:
            case Answer():
                known.observe(TARGET, event.limit, event.sent_at, event.at)
            case Report():
                report = decisions.LimitReport(
                    TARGET, event.limit, event.age_s, 0
                )
                known.merge("i1", report, event.at)
    assert known.limit(TARGET, at) == expected


@pytest.mark.parametrize(
    ("limit", "own", "peers", "begun", "may"),
    [
        (5.0, 0, 0, False, True),
        # 10 in a window of 2 s; new requests may use 8 of them.
        (5.0, 4, 4, False, False),
        (5.0, 4, 4, True, True),
        (5.0, 5, 5, True, False),
        # Each limit lets something through in time, however low it is.
        (0.01, 0, 0, False, True),
        (0.01, 0, 1, False, False),
        (0.0, 0, 0, True, False),
    ],
)
def test_the_sum_of_all_instances_counts(
    limit: float, own: int, peers: int, begun: bool, may: bool
) -> None:
    known = limits()
    for _ in range(own):
        known.record_send(TARGET, 1.0)
    known.observe(TARGET, limit, 0.0, 1.0)
    known.merge("i1", decisions.LimitReport(TARGET, limit, 0.0, peers), 1.0)
    # Twice, as an instance may let others go first.
    known.may_send(TARGET, 1.0, begun)
    later = 1.0 + 10 * _shared_limits.STAGGER_S
    assert known.may_send(TARGET, later, begun) is may


# Requests that were routed in one go all counted as sent only later.
def test_a_routed_request_counts_until_it_is_sent() -> None:
    known = limits()
    known.observe(TARGET, 1.0, 0.0, 0.0)
    known.record_route(TARGET, 0.0)
    known.record_route(TARGET, 0.0)
    known.record_route(TARGET, 0.0)
    assert not known.may_send(TARGET, 0.1)
    (report,) = known.take_reports(0.1, 8)
    assert report.sends == 3
    known.record_send(TARGET, 0.2)
    (report,) = known.take_reports(0.2, 8)
    assert report.sends == 3


@pytest.mark.parametrize(
    ("limit", "peers", "least", "most"),
    [
        (10.0, 0, 0.0, 0.0),
        # Others may see the same room: they go first.
        (5.0, 7, 0.0, 2 * _shared_limits.STAGGER_S),
        # No room: each of three instances sends every 0.6 s.
        (5.0, 10, 0.6, 0.6),
    ],
)
def test_a_caller_is_told_when_there_may_be_room(
    limit: float, peers: int, least: float, most: float
) -> None:
    known = limits()
    known.set_members(["i1", "i2"])
    known.observe(TARGET, limit, 0.0, 1.0)
    known.merge("i1", decisions.LimitReport(TARGET, limit, 0.0, peers), 1.0)
    after_s = known.room_after_s(TARGET, 1.0)
    assert after_s is not None
    assert least <= after_s <= most
    known.observe(TARGET, 0.0, 1.0, 1.0)
    assert known.room_after_s(TARGET, 1.0) is None


@pytest.mark.parametrize("size", [2, 9, 10, 60])
def test_all_instances_choose_the_same_senders(size: int) -> None:
    names = [f"i{number}" for number in range(size)]
    fleet = [limits(name) for name in names]
    for known in fleet:
        known.set_members(names)
        known.observe(TARGET, 10.0, 0.0, 0.0)
    (senders,) = {known.senders(TARGET) for known in fleet}
    assert len(senders) == min(size, _shared_limits.MAX_SENDERS)
    for name, known in zip(names, fleet, strict=True):
        assert known.may_send(TARGET, 0.0) is (name in senders)
        others = senders - {name} if name in senders else frozenset()
        assert known.co_senders(0.0) == others


# Three instances under a flood used up a window of 4 s within 0.3 s. Nothing
# was sent for the rest of it, so nobody heard that the limit had ended.
@pytest.mark.parametrize("limit", [2.0, 4.0, 12.0])
def test_a_flood_leaves_no_long_pause(limit: float) -> None:
    names = ["i0", "i1", "i2"]
    fleet = {name: limits(name) for name in names}
    for known in fleet.values():
        known.set_members(names)
        known.observe(TARGET, limit, 0.0, 0.0)
    sends = [0.0]
    for step in range(int(END_S / STEP_S)):
        now = step * STEP_S
        for known in fleet.values():
            if known.may_send(TARGET, now):
                known.record_send(TARGET, now)
                known.observe(TARGET, limit, now, now)
                sends.append(now)
        if step % int(REPORT_S / STEP_S):
            continue
        for name, known in fleet.items():
            (report,) = known.take_reports(now, 1)
            for peer in known.co_senders(now):
                fleet[peer].merge(name, report, now)
    pauses = [later - at for at, later in itertools.pairwise(sends)]
    assert max(pauses) < SETTLE_S


#: Period of the simulation and of load reports under load, in seconds, and
#: the time after which the rule holds: ``stable_window_ms`` of the users.
STEP_S, REPORT_S, SETTLE_S = 0.01, 0.05, 3.0
END_S = 14.0


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    strategies.integers(0, 1 << 32),
    strategies.integers(1, 60),
    strategies.floats(0.3, 12.0),
    strategies.floats(0.0, 0.2),
    strategies.floats(1.0, 5.0),
)
def test_a_fleet_keeps_a_limit_and_uses_it(
    seed: int, size: int, limit: float, loss: float, demand: float
) -> None:
    """Demand is ``demand`` times the limit, spread unevenly."""
    rng = random.Random(seed)
    names = [f"i{number}" for number in range(size)]
    fleet = {
        name: decisions.SharedLimits(name, random.Random(rng.random()))
        for name in names
    }
    for known in fleet.values():
        known.set_members(names)
        known.observe(TARGET, limit, 0.0, 0.0)
    weights = [rng.random() + 0.1 for _ in names]
    senders = fleet[names[0]].senders(TARGET)
    waiting = dict.fromkeys(names, 0)
    sends: list[float] = []
    for step in range(int(END_S / STEP_S)):
        now = step * STEP_S
        if rng.random() < demand * limit * STEP_S:
            # Requests wait at the instances that send to the target.
            name = rng.choices(names, weights)[0]
            if name in senders:
                waiting[name] += 1
            else:
                waiting[rng.choice(sorted(senders))] += 1
        for name in rng.sample(names, size):
            if waiting[name] and fleet[name].may_send(TARGET, now):
                waiting[name] -= 1
                fleet[name].record_send(TARGET, now)
                # The answer names the limit again.
                fleet[name].observe(TARGET, limit, now, now)
                sends.append(now)
        if step % int(REPORT_S / STEP_S):
            continue
        for name, known in fleet.items():
            reports = known.take_reports(now, 8)
            for peer in known.co_senders(now):
                if rng.random() < loss:
                    continue
                for report in reports:
                    fleet[peer].merge(name, report, now)
    window = COUNT_S
    late = [at for at in sends if at >= SETTLE_S]
    most = max(
        (sum(at <= t < at + window for t in late) for at in late), default=0
    )
    assert most <= 1.5 * limit * window + 5
    possible = min(1.0, demand) * limit * END_S
    assert len(sends) >= 0.4 * possible - 3
