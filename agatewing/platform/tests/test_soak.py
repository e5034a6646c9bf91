"""The soak's checks find broken promises; a short run breaks none."""

import dataclasses

import pytest

from agatewing.platform import soak
from agatewing.platform.soak import _checks
from agatewing.platform import standins


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    attempt: _checks.Attempt
    reply: standins.Reply
    runs: int
    violation: str


def reply(
    status: int, body: bytes = b"", complete: bool = True
) -> standins.Reply:
    return standins.Reply(status, {}, body, complete)


ONCE = _checks.Attempt("a1", False, 0)
REPEATABLE = _checks.Attempt("a1", True, 0)
STREAM = _checks.Attempt("a1", False, 3)
TAKEN_UP = _checks.Attempt("a1", True, 3, resumes="a0", after=1)
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"

CASES = {
    "served once": Case(ONCE, reply(200, b"body of a1"), 1, ""),
    "ran twice": Case(ONCE, reply(200, b"body of a1"), 2, "TWICE"),
    "may run twice": Case(REPEATABLE, reply(200, b"body of a1"), 2, ""),
    "refused though it ran": Case(ONCE, reply(503), 1, "REFUSED"),
    "refused and did not run": Case(ONCE, reply(503), 0, ""),
    "unknown outcome": Case(ONCE, reply(502), 1, ""),
    "another's body": Case(ONCE, reply(200, b"body of b2"), 1, "MIXED"),
    "a piece missing": Case(STREAM, reply(200, EVENTS[15:]), 1, "ORDER"),
    "a piece twice": Case(STREAM, reply(200, EVENTS + EVENTS), 1, "ORDER"),
    "cut and seen to be": Case(STREAM, reply(200, EVENTS[:9], False), 1, ""),
    "whole": Case(STREAM, reply(200, EVENTS), 1, ""),
    "taken up": Case(TAKEN_UP, reply(200, EVENTS[15:]), 1, ""),
    "taken up with a piece twice": Case(
        TAKEN_UP, reply(200, EVENTS), 1, "ORDER"
    ),
    "taken up with a piece missing": Case(
        TAKEN_UP, reply(200, EVENTS[30:]), 1, "ORDER"
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_a_broken_promise_is_found(name: str) -> None:
    case = CASES[name]
    records = soak.CallerRecords()
    records.record_attempt(case.attempt)
    records.record_reply(case.attempt.id, case.reply)
    engine = standins.EngineStandin("e1")
    run = standins.Run(case.attempt.id, "", {}, b"")
    engine.runs = [run] * case.runs
    violations = records.violations([engine])
    engine.stop()
    assert [line.split(":")[0] for line in violations] == (
        [case.violation] if case.violation else []
    )


@pytest.mark.parametrize(("version", "found"), [("v1", 0), ("v2", 1)])
def test_events_of_two_versions_are_found(version: str, found: int) -> None:
    began = _checks.Attempt("a0", True, 2)
    taken_up = _checks.Attempt("a1", True, 2, resumes="a0", after=1)
    records = soak.CallerRecords()
    first = reply(200, b"id: 1\ndata: x v1\n\n", complete=False)
    rest = reply(200, f"id: 2\ndata: x {version}\n\n".encode())
    for attempt, answer in ((began, first), (taken_up, rest)):
        records.record_attempt(attempt)
        records.record_reply(attempt.id, answer)
    assert len(records.violations([])) == found


def test_a_run_that_no_caller_sent_is_found() -> None:
    engine = standins.EngineStandin("e1")
    engine.runs = [standins.Run("smuggled", "", {}, b"")]
    engine.stop()
    assert soak.CallerRecords().violations([engine]) == [
        "UNASKED: smuggled ran"
    ]


def test_a_short_seeded_soak_of_processes_breaks_no_promise() -> None:
    verdict = soak.Episode(seed=3, duration_s=3.0).run()
    assert verdict.violations == ()
    assert verdict.statuses.get(200, 0) > 0
