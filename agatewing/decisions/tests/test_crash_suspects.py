"""Evidence against prefix blocks on which engines crash."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import decisions
from agatewing.decisions import _crash_suspects

QUARANTINE_S = _crash_suspects.QUARANTINE_S
EVIDENCE_S = _crash_suspects.EVIDENCE_S
SERVED_S = _crash_suspects.SERVED_S
SYSTEM, BAD, SOUND = (
    decisions.long_key(name) for name in ("system", "bad", "sound")
)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    at: float
    engine: int
    prompt: int
    block: int = BAD


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    at: float
    block: int = BAD


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    history: tuple[Crash | Served, ...]
    at: float
    left_s: float
    sent_again: bool


THREE = (Crash(0, 1, 1), Crash(1, 2, 1), Crash(2, 3, 2))
CASES = {
    "nothing": Case((), 1, 0, True),
    "one engine": Case((Crash(0, 1, 1), Crash(0.1, 1, 2)), 1, 0, True),
    "a retry ends a second engine": Case(THREE[:2], 2, 0, False),
    "three engines, two prompts": Case(THREE, 2, QUARANTINE_S, False),
    # The same prompt is repeated by its caller until engines that crash of
    # something else are back.
    "three engines, one prompt": Case(
        (*THREE[:2], Crash(2, 3, 1)), 2, 0, False
    ),
    "the same engine thrice": Case(
        (Crash(0, 1, 1), Crash(1, 1, 2), Crash(2, 1, 3)), 2, 0, True
    ),
    # Engines that crash now and then must not add up over hours.
    "evidence expires": Case(
        (*THREE[:2], Crash(2 + EVIDENCE_S, 3, 2)),
        2 + EVIDENCE_S,
        0,
        True,
    ),
    "the quarantine ends": Case(THREE, 2 + QUARANTINE_S, 0, False),
    "one more crash after it doubles it": Case(
        (*THREE, Crash(2 + QUARANTINE_S, 4, 3)),
        2 + QUARANTINE_S,
        2 * QUARANTINE_S,
        False,
    ),
    "an answer in full clears": Case((*THREE, Served(3)), 4, 0, True),
    "served before": Case((Served(-1), *THREE), 3, 0, True),
    "served long before": Case(
        (Served(-SERVED_S), *THREE), 2, QUARANTINE_S, False
    ),
    "another block is served": Case(
        (*THREE, Served(3, SOUND)), 3, QUARANTINE_S - 1, False
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_a_block_is_judged_by_crashes_and_answers(name: str) -> None:
    case = CASES[name]
    suspects = decisions.CrashSuspects()
    for event in case.history:
        match event:
            case Crash():
                suspects.record_crash(
                    [event.block], event.engine, event.prompt, event.at
                )
            case Served():
                suspects.record_served([event.block], event.at)
    assert suspects.quarantine_left_s(BAD, case.at) == pytest.approx(
        case.left_s
    )
    assert suspects.may_be_sent_again([SYSTEM, BAD], case.at) is (
        case.sent_again
    )


def test_instances_end_a_quarantine_at_different_times() -> None:
    left = []
    for jitter in (0.0, 0.5, 1.0):
        suspects = decisions.CrashSuspects(jitter)
        for crash in THREE:
            suspects.record_crash([BAD], crash.engine, crash.prompt, 0.0)
        left.append(suspects.quarantine_left_s(BAD, 0.0))
    assert left == [QUARANTINE_S, 1.25 * QUARANTINE_S, 1.5 * QUARANTINE_S]


# A suspicion against a block that another instance answers in full would stop
# sound prompts.
def test_an_instance_that_serves_a_block_clears_it_everywhere() -> None:
    first, second, third = (decisions.CrashSuspects() for _ in range(3))
    second.record_served([SOUND], 0.0)
    for crash in THREE:
        first.record_crash([SOUND], crash.engine, crash.prompt, 1.0)
    (report,) = first.take_reports(1.0, 6)
    third.merge(report, 1.0)
    assert second.merge(report, 1.0) == []
    (cleared,) = second.take_served(2.0, 6)
    assert cleared.age_s == 2.0
    assert second.take_served(2.0, 6) == []
    first.merge_served(cleared, 2.0)
    assert first.quarantine_left_s(SOUND, 2.0) == 0
    # The first tells the third in turn.
    for again in first.take_served(2.0, 6):
        third.merge_served(again, 2.0)
    assert third.quarantine_left_s(SOUND, 2.0) == 0


def test_the_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_crash_suspects, "MAX_SUSPECTS", 4)
    monkeypatch.setattr(_crash_suspects, "MAX_SERVED", 4)
    suspects = decisions.CrashSuspects()
    for crash in THREE:
        suspects.record_crash([BAD], crash.engine, crash.prompt, 0.0)
    suspects.record_crash(range(100), 9, 9, 1.0)
    assert len(suspects.take_reports(1.0, 100)) == 4
    assert suspects.quarantined(1.0) == 1
    suspects.record_served(range(200, 300), 1.0)
    assert suspects.is_cleared([299], 1.0)
    assert not suspects.is_cleared([200], 1.0)


CRASHES = strategies.lists(
    strategies.builds(
        Crash,
        strategies.floats(0, 50),
        strategies.integers(0, 12),
        strategies.integers(0, 3),
    ),
    max_size=12,
)


@hypothesis.given(CRASHES, strategies.randoms())
def test_evidence_does_not_depend_on_order_or_repeats(
    crashes: list[Crash], rng: random.Random
) -> None:
    now = 50.0
    ordered, shuffled = (decisions.CrashSuspects() for _ in range(2))
    reports = [
        decisions.SuspectReport(
            BAD,
            frozenset((c.engine,)),
            frozenset((c.prompt,)),
            now - c.at,
        )
        for c in crashes
    ]
    for report in reports:
        ordered.merge(report, now)
    again = reports + reports[: len(reports) // 2]
    rng.shuffle(again)
    for report in again:
        shuffled.merge(report, now)
    assert shuffled.quarantine_left_s(BAD, now) == pytest.approx(
        ordered.quarantine_left_s(BAD, now),
        abs=_crash_suspects.AGE_TOLERANCE_S,
    )
    engines = {c.engine for c in crashes}
    if len(engines) < _crash_suspects.QUARANTINE_CRASHES:
        assert ordered.quarantine_left_s(BAD, now) == 0


#: Peers that get each report, and reports in ``stable_window_ms`` (3 s), of
#: which one is sent at least every 0.4 s.
FANOUT = 8
ROUNDS = 7


@hypothesis.given(
    strategies.integers(0, 1 << 32),
    strategies.integers(6, 60),
    strategies.floats(0.0, 0.3),
    strategies.integers(0, 40),
)
def test_a_fleet_learns_of_crashes_that_no_instance_sees_alone(
    seed: int, size: int, loss: float, collateral: int
) -> None:
    rng = random.Random(seed)
    fleet = [decisions.CrashSuspects() for _ in range(size)]
    for suspects in fleet[::2]:
        suspects.record_served([SYSTEM], 0.0)
    others = [decisions.long_key(f"other {n}") for n in range(collateral)]
    # Five crashes, each seen by one instance; one of these restarts.
    watchers = rng.sample(range(size), 5)
    for number, watcher in enumerate(watchers):
        fleet[watcher].record_crash(
            [SYSTEM, BAD, *rng.sample(others, collateral // 4)],
            number,
            number,
            1.0,
        )
    fleet[watchers[0]] = decisions.CrashSuspects()
    for number in range(ROUNDS):
        now = 1.0 + 0.4 * (number + 1)
        for sender in fleet:
            suspected = sender.take_reports(now, 6)
            served = sender.take_served(now, 6)
            for receiver in rng.sample(fleet, min(FANOUT, size)):
                if rng.random() < loss:
                    continue
                for cleared in served:
                    receiver.merge_served(cleared, now)
                for report in suspected:
                    receiver.merge(report, now)
    now = 1.0 + 0.4 * ROUNDS
    assert all(s.quarantine_left_s(BAD, now) > 0 for s in fleet)
    assert not any(s.quarantine_left_s(SYSTEM, now) for s in fleet)
