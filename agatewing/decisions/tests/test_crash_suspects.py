"""Evidence against prefix blocks on which engines crash."""

import dataclasses
import random
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import decisions
from agatewing.decisions import _crash_evidence
from agatewing.decisions import _crash_suspects

QUARANTINE_S = _crash_evidence.QUARANTINE_S
EVIDENCE_S = _crash_evidence.EVIDENCE_S
SERVED_S = _crash_suspects.SERVED_S
#: Memory of one kind of suspects and answers, in bytes: a twentieth of the
#: smallest instances' 200 MB for both kinds.
MAX_BYTES = 5_000_000
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
        abs=_crash_evidence.AGE_TOLERANCE_S,
    )
    engines = {c.engine for c in crashes}
    if len(engines) < _crash_evidence.QUARANTINE_CRASHES:
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


REQUESTS = decisions.WholeRequests()
FIRST_S = _crash_evidence.FIRST_TRIAL_S
TRIAL_S = _crash_evidence.TRIAL_S
ROUND_S = _crash_evidence.TRIAL_ROUND_S
#: A fingerprint for which the instance with delay 0 is the first to try.
REQUEST = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    at: float
    #: Whether it has failed; ``None`` while it is under way.
    failed: bool | None = True
    engine: int = 9


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCase:
    history: tuple[Crash | Served | Trial, ...]
    at: float
    left_s: float
    sent_again: bool


CRASHED: tuple[Crash | Served | Trial, ...] = tuple(
    Crash(n, n, 1, REQUEST) for n in range(3)
)
FAILED: tuple[Crash | Served | Trial, ...] = (
    *CRASHED,
    Trial(10),
    Crash(10, 9, 1, REQUEST),
)
REQUEST_CASES = {
    "one engine": RequestCase(CRASHED[:1], 0, 0, True),
    "two engines": RequestCase(CRASHED[:2], 1, 0, False),
    # No second prompt is needed, as it is the request itself that comes.
    "three engines": RequestCase(CRASHED, 2, FIRST_S, False),
    "the same engine thrice": RequestCase(
        tuple(Crash(n, 1, 1, REQUEST) for n in range(3)), 2, 0, True
    ),
    # Targets that end together break all copies of a sound request off.
    "many engines at once": RequestCase(
        tuple(Crash(0, n, 1, REQUEST) for n in range(8)), 0, FIRST_S, False
    ),
    "it may be tried": RequestCase(CRASHED, 2 + FIRST_S, 0, False),
    "others wait for a trial": RequestCase(
        (*CRASHED, Trial(10, None)), 11, TRIAL_S - 1, False
    ),
    "a trial without an end": RequestCase(
        (*CRASHED, Trial(7, None)), 7 + TRIAL_S, 0, False
    ),
    "a trial that did not run": RequestCase(
        (*CRASHED, Trial(7, False)), 7, 0, False
    ),
    "the turn of another instance": RequestCase(
        CRASHED, 2 + FIRST_S + ROUND_S / 2, ROUND_S / 2, False
    ),
    "everybody's turn": RequestCase(
        CRASHED, 2 + FIRST_S + 2.9 * ROUND_S, 0, False
    ),
    "a failed trial": RequestCase(FAILED, 10, QUARANTINE_S, False),
    # A target that crashes may fall silent, which proves nothing.
    "a failed trial without a crash": RequestCase(
        (*CRASHED, Trial(10)), 10, QUARANTINE_S, False
    ),
    "the next day has no trial": RequestCase(FAILED, 100, 30, False),
    "two failed trials": RequestCase(
        (*FAILED, Trial(131, True, 11)), 131, 2 * QUARANTINE_S, False
    ),
    "an answer in full clears": RequestCase(
        (*FAILED, Served(11, REQUEST)), 12, 0, True
    ),
    "popular": RequestCase((Served(-1, REQUEST), *CRASHED), 2, 0, True),
    # Else a request that comes once a minute would crash three more.
    "evidence is kept without a trial": RequestCase(
        (*CRASHED, Crash(90, 9, 1, REQUEST)), 90, FIRST_S, False
    ),
    "two crashes are forgotten": RequestCase(
        CRASHED[:2], 1 + EVIDENCE_S, 0, True
    ),
}


@pytest.mark.parametrize("name", REQUEST_CASES)
def test_a_request_is_judged_by_crashes_trials_and_answers(name: str) -> None:
    case = REQUEST_CASES[name]
    suspects = decisions.CrashSuspects(0.0, REQUESTS)
    for event in case.history:
        match event:
            case Crash():
                suspects.record_crash(
                    [event.block], event.engine, event.prompt, event.at
                )
            case Served():
                suspects.record_served([event.block], event.at)
            case Trial():
                assert suspects.begin_trial(REQUEST, event.at)
                if event.failed is not None:
                    suspects.end_trial(
                        REQUEST, event.engine, event.failed, event.at
                    )
    left_s = suspects.quarantine_left_s(REQUEST, case.at)
    assert left_s == pytest.approx(case.left_s)
    again = suspects.may_be_sent_again([REQUEST], case.at)
    assert again is case.sent_again


# What one instance found out by a trial was not known to the others, so that
# each of them tried the request.
@pytest.mark.parametrize("failed", [True, False, None])
def test_others_hear_of_a_trial(failed: bool | None) -> None:
    first, second = (decisions.CrashSuspects(0.0, REQUESTS) for _ in range(2))
    for engine in range(3):
        first.record_crash([REQUEST], engine, 1, 2.0)
    assert not second.begin_trial(REQUEST, 7.0)
    assert first.begin_trial(REQUEST, 7.0)
    assert first.has_news
    if failed is not None:
        first.end_trial(REQUEST, 9, failed, 7.0)
    (report,) = first.take_reports(7.0, 6)
    second.merge(report, 7.0)
    expected = {True: QUARANTINE_S, False: 0.0, None: TRIAL_S}[failed]
    assert second.quarantine_left_s(REQUEST, 7.0) == pytest.approx(expected)


# Copies that came at the same moment at several instances were all tried.
@pytest.mark.parametrize(
    ("announced", "heard_at", "going_on"),
    [
        ((0.0, 0.0), 0.3, {0}),
        ((0.3, 0.0), 0.5, {0}),
        ((0.0, 0.3), 0.5, {0}),
        # The second one did not hear of the first one's, but of its send.
        ((0.0, 0.3), 1.1, {0}),
        ((0.3, 0.0), 1.1, {1}),
        ((0.0, 0.0), None, {0, 1}),
    ],
)
def test_one_of_two_announced_trials_goes_on(
    announced: tuple[float, float],
    heard_at: float | None,
    going_on: set[int],
) -> None:
    fleet = [decisions.CrashSuspects(p, REQUESTS) for p in (0.1, 0.2)]
    for suspects in fleet:
        for engine in range(3):
            suspects.record_crash([REQUEST], engine, 1, 0.0)
    start = FIRST_S + 1.0
    for suspects, after_s in zip(fleet, announced, strict=True):
        wait_s = suspects.claim_trial(REQUEST, start + after_s)
        assert wait_s == decisions.CLAIM_S
        assert suspects.quarantine_left_s(REQUEST, start + after_s) > 0
    sent = set()
    events = [(after_s + 1.0, n) for n, after_s in enumerate(announced)]
    for at, number in sorted(events):
        now = start + at
        if heard_at is not None and heard_at < at:
            reports = [s.take_reports(start + heard_at, 6) for s in fleet]
            fleet[0].merge(reports[1][0], start + heard_at)
            fleet[1].merge(reports[0][0], start + heard_at)
        if fleet[number].holds_trial(REQUEST, now):
            fleet[number].begin_trial(REQUEST, now)
            sent.add(number)
    assert sent == going_on


def test_an_announced_trial_does_not_last() -> None:
    suspects = decisions.CrashSuspects(0.1, REQUESTS)
    assert suspects.claim_trial(REQUEST, 0.0) == 0
    assert suspects.holds_trial(REQUEST, 0.0)
    for engine in range(3):
        suspects.record_crash([REQUEST], engine, 1, 0.0)
    suspects.claim_trial(REQUEST, 10.0)
    assert suspects.holds_trial(REQUEST, 11.0)
    assert not suspects.holds_trial(REQUEST, 10.0 + TRIAL_S)
    # Another one crashed under it meanwhile.
    suspects.record_crash([REQUEST], 4, 1, 11.0)
    assert not suspects.holds_trial(REQUEST, 11.0)


def test_instances_try_each_request_in_another_order() -> None:
    def first_of(key: int) -> int:
        left = []
        for number in range(6):
            suspects = decisions.CrashSuspects(number / 6, REQUESTS)
            for engine in range(3):
                suspects.record_crash([key], engine, 1, 0.0)
            left.append(suspects.quarantine_left_s(key, 0.0))
        assert min(left) >= FIRST_S
        assert max(left) <= FIRST_S + ROUND_S
        assert left.count(min(left)) <= 2
        return left.index(min(left))

    keys = [decisions.long_key(f"request {n}") for n in range(40)]
    assert len({first_of(key) for key in keys}) > 3


# The requests that a rack of engines breaks off as it ends pushed the one out
# that ends engines, or kept it from the reports.
@pytest.mark.parametrize("others", [500, 3_000])
def test_the_cause_stands_out_from_the_requests_of_a_rack(others: int) -> None:
    suspects = decisions.CrashSuspects(0.0, REQUESTS)
    for engine in range(3):
        suspects.record_crash([REQUEST], engine, 1, 0.0)
    suspects.record_crash(range(1, others + 1), 100, 1, 1.0)
    assert suspects.quarantine_left_s(REQUEST, 1.0) > 0
    heard = [
        report.key
        for step in range(8)
        for report in suspects.take_reports(1.0 + step * 0.05, 6)
    ]
    assert heard[0] == REQUEST
    assert heard.count(REQUEST) >= 8
    # The others come in turn.
    assert len(set(heard)) == 1 + 8 * 5


def test_the_memory_of_suspects_is_bounded_in_bytes() -> None:
    tracemalloc.start()
    try:
        suspects = decisions.CrashSuspects(0.0, REQUESTS)
        rng = random.Random(1)
        for _ in range(3 * _crash_suspects.MAX_SUSPECTS):
            key = rng.getrandbits(62)
            for _ in range(_crash_evidence.MAX_CRASHES):
                suspects.record_crash([key], rng.getrandbits(31), 1, 0.0)
        for _ in range(2 * _crash_suspects.MAX_SERVED):
            suspects.record_served([rng.getrandbits(62)], 1.0 + rng.random())
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used < MAX_BYTES
