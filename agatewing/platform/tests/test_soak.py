"""The soak's checks find broken promises; a short run breaks none."""

import dataclasses
import socket
import time

import gevent
import gevent.socket
import pytest

from agatewing.harness import _ports
from agatewing import net
from agatewing.platform import soak
from agatewing.platform.soak import _accounts
from agatewing.platform.soak import _checks
from agatewing.platform.soak import _disturbances
from agatewing.platform.soak import _proxy
from agatewing.platform.soak import _targets
from agatewing.platform.soak import _versions
from agatewing.platform import standins


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    attempt: _checks.Attempt
    reply: standins.Reply
    runs: int
    violation: str
    # Time at which the reply ended after the request was sent, in seconds.
    at: float = 0.0
    # Place of a fault meanwhile.
    fault: str = ""
    # Whether a scripted behaviour of the target met the request.
    scripted: bool = False


def reply(
    status: int, body: bytes = b"", complete: bool = True
) -> standins.Reply:
    return standins.Reply(status, {}, body, complete)


def attempt(
    idempotent: bool, events: int, resumes: str = "", after: int = 0
) -> _checks.Attempt:
    return _checks.Attempt(
        "a1", idempotent, events, resumes, after, "i0", 0.0, "chat"
    )


ONCE = attempt(False, 0)
REPEATABLE = attempt(True, 0)
STREAM = attempt(False, 3)
TAKEN_UP = attempt(True, 3, resumes="a0", after=1)
#: Time limit of the routes, in seconds.
TIMEOUT_S = 3.0
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
    "cut and seen to be": Case(
        STREAM, reply(200, EVENTS[:9], False), 1, "", TIMEOUT_S
    ),
    "cut before its deadline": Case(
        STREAM, reply(200, EVENTS[:9], False), 1, "WHOLE", 2.9
    ),
    "no answer at all": Case(REPEATABLE, reply(0, b"", False), 1, "WHOLE"),
    "no answer, and no target reached": Case(
        REPEATABLE, reply(0, b"", False), 0, ""
    ),
    "refused in part": Case(ONCE, reply(502, b"", False), 1, "WHOLE"),
    "cut by the instance's fault": Case(
        STREAM, reply(200, EVENTS[:9], False), 1, "", 2.9, "i0"
    ),
    "cut by the service's fault": Case(
        STREAM, reply(200, EVENTS[:9], False), 1, "", 2.9, "chat"
    ),
    "cut beside a fault elsewhere": Case(
        STREAM, reply(200, EVENTS[:9], False), 1, "WHOLE", 2.9, "i1"
    ),
    "cut as the script says": Case(
        STREAM, reply(200, EVENTS[:9], False), 1, "", 2.9, scripted=True
    ),
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
    begun_at = time.monotonic()
    sent = dataclasses.replace(case.attempt, sent_at=begun_at)
    records.record_attempt(sent)
    if case.fault:
        records.disturbances.begin(case.fault).end()
    records.record_reply(sent.id, case.reply, begun_at + case.at)
    engine = standins.EngineStandin("e1")
    if case.scripted:
        engine.scripted.add(sent.id)
    run = standins.Run(case.attempt.id, "", {}, b"")
    engine.runs = [run] * case.runs
    violations = records.violations([engine])
    engine.stop()
    assert [line.split(":")[0] for line in violations] == (
        [case.violation] if case.violation else []
    )


@pytest.mark.parametrize(
    ("version", "at", "fault", "late"),
    [
        (2, 9.9, None, False),
        (1, 9.9, None, False),
        (1, 10.0, None, True),
        (0, 10.0, None, False),
        (2, 12.0, None, False),
        (1, 10.0, ("i0", 6.0, 6.9), True),
        (1, 10.0, ("i0", 6.0, 7.1), False),
        (1, 10.0, ("i1", 6.0, 9.0), True),
        (1, 10.0, (_versions.LOG, 7.5, 7.5), False),
        (1, 10.6, (_versions.LOG, 7.5, 7.5), True),
    ],
)
def test_a_late_configuration_is_found(
    version: int,
    at: float,
    fault: tuple[str, float, float] | None,
    late: bool,
) -> None:
    disturbances = _disturbances.Disturbances()
    if fault is not None:
        disturbance = disturbances.begin(fault[0])
        disturbance.since, disturbance.until = fault[1:]
    records = _versions.VersionRecords(disturbances)
    records.record_published(1, 0.0)
    records.record_published(2, 8.0)
    records.record_in_force("i0", version, at)
    assert bool(records.late) == late


@pytest.mark.parametrize(("version", "found"), [("v1", 0), ("v2", 1)])
def test_events_of_two_versions_are_found(version: str, found: int) -> None:
    began = _checks.Attempt("a0", True, 2)
    taken_up = _checks.Attempt("a1", True, 2, resumes="a0", after=1)
    records = soak.CallerRecords()
    first = reply(200, b"id: 1\ndata: x v1\n\n", complete=False)
    rest = reply(200, f"id: 2\ndata: x {version}\n\n".encode())
    for attempt, answer in ((began, first), (taken_up, rest)):
        records.record_attempt(attempt)
        records.record_reply(attempt.id, answer, TIMEOUT_S)
    assert len(records.violations([])) == found


@pytest.mark.parametrize(
    ("since", "until", "overlaps"),
    [
        (-2.0, -1.0, False),
        (-2.0, 0.0, True),
        (0.0, 1.0, True),
        (5.0, 6.0, False),
    ],
)
def test_only_a_fault_at_the_same_time_excuses(
    since: float, until: float, overlaps: bool
) -> None:
    disturbances = _disturbances.Disturbances()
    disturbance = disturbances.begin("i0")
    begun_at = disturbance.since
    assert disturbances.overlap("i0", begun_at + 5.0, begun_at + 6.0)
    disturbance.end()
    span = (begun_at + since, begun_at + until)
    assert disturbances.overlap("i0", *span) == overlaps
    assert not disturbances.overlap("i1", *span)


# A silence that swallowed or changed bytes would be another fault.
def test_a_silent_target_goes_on_with_the_exact_rest() -> None:
    engine = standins.EngineStandin("e1", events=40)
    proxy = _proxy.Proxy(engine.address)
    engine.pause_s = 0.005
    head = "POST / HTTP/1.1\r\nX-Request-Id: a1\r\nX-Token-Count: 1,1\r\n\r\n"
    try:
        with gevent.socket.create_connection(
            net.split_address(proxy.address)
        ) as sock:
            sock.sendall(head.encode())
            gevent.sleep(0.05)
            proxy.fall_silent(0.5)
            proxy.fall_silent(60.0)
            gevent.sleep(0.4)
            heard = sock.recv(65_536, socket.MSG_PEEK)
            answer = standins.read_reply(sock)
    finally:
        proxy.stop()
        engine.stop()
    assert b"id: 40\n" not in heard
    assert answer.complete
    assert _checks.event_ids(answer.body) == list(range(1, 41))


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenCase:
    # Whether the stream may go on at another target.
    idempotent: bool
    found: bool
    # Picture of the cut of its instance.
    picture: standins.Picture = standins.Picture.RESET
    # Instance that sent it to the target.
    carrier: str = "i0"
    # Instances that were cut, and one that was disturbed, meanwhile.
    cut: tuple[str, ...] = ("i0",)
    disturbed: str = ""


BROKEN_CASES = {
    "may not go on": BrokenCase(False, False),
    "may not go on, but lives on": BrokenCase(
        False, True, standins.Picture.LIVE_ON
    ),
    "may go on at a peer": BrokenCase(True, True),
    "may go on, but at no peer": BrokenCase(True, False, cut=("i0", "i1")),
    "its peer was disturbed": BrokenCase(
        True, False, carrier="i1", disturbed="i1"
    ),
    "another peer was disturbed": BrokenCase(
        True, True, carrier="i0", disturbed="i1"
    ),
}


@pytest.mark.parametrize("name", BROKEN_CASES)
def test_a_stream_that_a_cut_need_not_end_is_found(name: str) -> None:
    case = BROKEN_CASES[name]
    records = soak.CallerRecords()
    records.carriers = lambda request, target: [case.carrier]
    begun_at = time.monotonic()
    # Shows that there is a peer.
    records.record_attempt(dataclasses.replace(REPEATABLE, instance="i1"))
    sent = dataclasses.replace(
        STREAM, id="a2", idempotent=case.idempotent, sent_at=begun_at
    )
    records.record_attempt(sent)
    for instance in case.cut:
        services = frozenset(("chat",))
        with records.cut(instance, services, ("e1",), case.picture):
            pass
    if case.disturbed:
        records.disturbances.begin(case.disturbed).end()
    broken = reply(200, EVENTS[:9], False)
    records.record_reply("a2", broken, time.monotonic() + 0.1)
    engine = standins.EngineStandin("e1")
    engine.stop()
    engine.runs = [standins.Run("a2", "", {}, b"")]
    violations = records.violations([engine])
    assert [v.split(":")[0] for v in violations] == ["WHOLE"] * case.found


@dataclasses.dataclass(frozen=True, slots=True)
class RecoverCase:
    # Requests at the cut instance and at its peer: sent, and served of them.
    at_cut: tuple[int, int]
    at_peer: tuple[int, int]
    found: bool
    # Time after the cut at which they are sent, in seconds.
    at_s: float = 3.5
    # Instance that is absent.
    absent: str = ""
    service: str = "chat"


RECOVER_CASES = {
    "as often": RecoverCase((40, 30), (40, 40), False),
    "too seldom": RecoverCase((40, 20), (40, 40), True),
    "too seldom, like the others": RecoverCase((40, 20), (40, 25), False),
    "few failures": RecoverCase((12, 2), (40, 40), False),
    "too early": RecoverCase((40, 0), (40, 40), False, 2.5),
    "after the cut": RecoverCase((40, 0), (40, 40), False, 5.5),
    "absent": RecoverCase((40, 0), (40, 40), False, absent="i0"),
    "no peer": RecoverCase((40, 0), (40, 40), False, absent="i1"),
    "another service": RecoverCase((40, 0), (40, 40), False, service="ledger"),
}


@pytest.mark.parametrize("name", RECOVER_CASES)
def test_an_instance_that_serves_too_few_without_links_is_found(
    name: str,
) -> None:
    case = RECOVER_CASES[name]
    records = soak.CallerRecords()
    cut = records.cuts.begin("i0", frozenset(("chat",)), ends_open=True)
    cut.until = cut.since + 5.0
    sent_at = cut.since + case.at_s
    if case.absent:
        absence = records.absences.begin(case.absent)
        absence.since = absence.until = sent_at
    for instance, (sent, served) in (
        ("i0", case.at_cut),
        ("i1", case.at_peer),
    ):
        for number in range(sent):
            tried = dataclasses.replace(
                REPEATABLE,
                id=f"{instance}-{number}",
                instance=instance,
                service=case.service,
                sent_at=sent_at,
            )
            records.record_attempt(tried)
            body = f"body of {tried.id}".encode()
            answer = reply(200, body) if number < served else reply(503)
            records.record_reply(tried.id, answer, sent_at + 0.1)
    violations = records.violations([])
    assert [v.split(":")[0] for v in violations] == ["RECOVER"] * case.found


# A request that a peer served was counted as sent by its own instance.
@pytest.mark.parametrize(("carrier", "found"), [("i0", True), ("i1", False)])
def test_only_the_instance_that_sends_to_a_leaving_target_counts(
    carrier: str, found: bool
) -> None:
    headers = {"server-leaving": "1", "x-server-stamp": "e1"}
    answer = standins.Reply(200, headers, b"body of x-0", True)
    case = NoticeCase((2.1,), [])
    records, engine = sent_after_an_answer(case, answer)
    records.carriers = lambda request, target: [carrier]
    violations = records.violations([engine])
    assert [v.split(":")[0] for v in violations] == ["DRAIN"] * found


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCase:
    # Times of the sends that reach a target each, in seconds; a target
    # crashes on those that are no prefills.
    sends: tuple[float, ...]
    prefills: tuple[float, ...]
    found: bool
    # Begin and end of an absence of the instance.
    absence: tuple[float, float] | None = None


CRASH_CASES = {
    "two crashes": CrashCase((0.0, 9.0), (9.0, 9.1, 9.2, 9.3), False),
    "three late sends": CrashCase(
        (0.0, 0.1, 0.2, 0.3, 3.1, 3.3, 3.4, 3.5), (), False
    ),
    "four late sends": CrashCase(
        (0.0, 0.1, 0.2, 3.3, 3.4, 3.5, 3.6), (), True
    ),
    "four late prefills": CrashCase(
        (0.0, 0.1, 0.2), (3.3, 3.4, 3.5, 3.6), True
    ),
    "one by an instance away": CrashCase(
        (0.0, 0.1, 0.2, 3.3, 3.4, 3.5, 6.6), (), False, (4.0, 4.0)
    ),
    "all after an instance was away": CrashCase(
        (0.0, 0.1, 0.2, 7.3, 7.4, 7.5, 7.6), (), True, (4.0, 4.0)
    ),
}


@pytest.mark.parametrize("name", CRASH_CASES)
def test_a_crashing_request_that_is_not_kept_away_is_found(name: str) -> None:
    case = CRASH_CASES[name]
    records = soak.CallerRecords()
    engines = []
    begun_at = time.monotonic()
    if case.absence is not None:
        absence = records.absences.begin("i0")
        absence.since = begun_at + case.absence[0]
        absence.until = begun_at + case.absence[1]
    for number, at in enumerate(case.sends + case.prefills):
        engine = standins.EngineStandin(f"e{number}")
        engine.stop()
        engines.append(engine)
        sent = dataclasses.replace(
            REPEATABLE, id=f"x-{number}", crashing="x", instance="i0"
        )
        records.record_attempt(sent)
        run = standins.Run(sent.id, "", {}, b"", begun_at + at)
        if number < len(case.sends):
            engine.runs.append(run)
        else:
            engine.prefills.append(run)
    violations = records.violations(engines)
    assert [v.split(":")[0] for v in violations] == ["CRASHED"] * case.found


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeCase:
    # Times at which requests are sent and reach the target, in seconds.
    sends: tuple[float, ...]
    violations: list[str]
    # Instance, and begin and end of its absence or of a fault of the link.
    fault: tuple[str, float, float] | None = None
    # Instance of these requests; the first answer is passed on by "i0".
    instance: str = "i0"


LEAVE_CASES = {
    "in time": NoticeCase((0.0, 1.9, 2.0), []),
    "late": NoticeCase((1.0, 2.1), ["DRAIN"]),
    "late by another instance": NoticeCase((2.1,), [], instance="i1"),
    "late after a freeze": NoticeCase((2.1,), [], ("i0", 1.0, 1.5)),
    "late before a freeze": NoticeCase((2.1,), ["DRAIN"], ("i0", 3.0, 3.5)),
}
BACK_OFF_CASES = {
    "at first": NoticeCase((0.1, 0.2, 0.3, 0.4), []),
    "two": NoticeCase((0.6, 2.9), []),
    "three": NoticeCase((0.6, 1.0, 2.9), ["BUDGET"]),
    "after the end": NoticeCase((0.6, 1.0, 3.1, 3.2), []),
    "three by another instance": NoticeCase(
        (0.6, 1.0, 2.9), [], instance="i1"
    ),
    "three with a freeze": NoticeCase((0.6, 1.0, 2.9), [], ("i0", 0.7, 0.8)),
    "three with a fault of the link": NoticeCase(
        (0.6, 1.0, 2.9), [], ("link to e1", 0.0, 0.1)
    ),
    "three with a fault of another link": NoticeCase(
        (0.6, 1.0, 2.9), ["BUDGET"], ("link to e2", 0.0, 0.1)
    ),
}


def sent_after_an_answer(
    case: NoticeCase, answer: standins.Reply
) -> tuple[soak.CallerRecords, standins.EngineStandin]:
    """Return records of requests that follow an answer of e1 at time 0."""
    records = soak.CallerRecords()
    engine = standins.EngineStandin("e1")
    engine.stop()
    begun_at = time.monotonic()
    if case.fault is not None:
        where, since, until = case.fault
        for record in (records.absences, records.disturbances):
            fault = record.begin(where)
            fault.since, fault.until = begun_at + since, begun_at + until
    for number, at in enumerate((0.0, *case.sends)):
        sent = dataclasses.replace(
            REPEATABLE,
            id=f"x-{number}",
            instance=case.instance if number else "i0",
            sent_at=begun_at + at,
        )
        records.record_attempt(sent)
        run = standins.Run(sent.id, "", {}, b"", begun_at + at)
        engine.requests.append(run)
    records.record_reply("x-0", answer, begun_at)
    engine.turned_away["x-0"] = begun_at
    engine.back_off_ends["x-0"] = begun_at
    return records, engine


@pytest.mark.parametrize("name", LEAVE_CASES)
def test_a_request_to_a_target_that_left_is_found(name: str) -> None:
    case = LEAVE_CASES[name]
    headers = {"server-leaving": "1", "x-server-stamp": "e1"}
    answer = standins.Reply(200, headers, b"body of x-0", True)
    records, engine = sent_after_an_answer(case, answer)
    violations = records.violations([engine])
    assert [v.split(":")[0] for v in violations] == case.violations


@pytest.mark.parametrize("name", BACK_OFF_CASES)
def test_requests_in_a_back_off_are_found(name: str) -> None:
    case = BACK_OFF_CASES[name]
    records, engine = sent_after_an_answer(case, reply(503))
    engine.back_off_ends["x-0"] += 3.0
    violations = records.violations([engine])
    assert [v.split(":")[0] for v in violations] == case.violations


@pytest.mark.parametrize(("crashing", "found"), [("", ["STOPPED"]), ("x", [])])
def test_only_a_crashing_request_may_be_under_quarantine(
    crashing: str, found: list[str]
) -> None:
    records = soak.CallerRecords()
    records.record_attempt(dataclasses.replace(STREAM, crashing=crashing))
    records.record_reply("a1", reply(503, b"quarantined: text\n"), 0.0)
    assert [v.split(":")[0] for v in records.violations([])] == found


@pytest.mark.parametrize(
    ("request_id", "line", "violation"),
    [
        (
            "smuggled",
            "POST /pay/x HTTP/1.1",
            "UNASKED: 'smuggled' ran at e1: POST /pay/x HTTP/1.1",
        ),
        (
            "",
            "GET /-/ready HTTP/1.1",
            "UNASKED: '' ran at e1: GET /-/ready HTTP/1.1",
        ),
    ],
    ids=["with an id", "without an id"],
)
def test_a_run_that_no_caller_sent_is_found(
    request_id: str, line: str, violation: str
) -> None:
    engine = standins.EngineStandin("e1")
    engine.runs = [standins.Run(request_id, line, {}, b"")]
    engine.stop()
    assert soak.CallerRecords().violations([engine]) == [violation]


# Instances that other tests had left running reached the targets of a soak.
def test_targets_listen_on_leased_ports() -> None:
    with standins.Site() as site:
        targets = _targets.Targets(3, site, _disturbances.Disturbances())
        targets.start()
        ports = {
            int(engine.address.rpartition(":")[2])
            for engine in targets.engines
        }
        targets.stop()
    first, count = _ports.FIRST_PORT, _ports.PORT_COUNT
    assert ports
    assert all(first <= port < first + count for port in ports)


def test_a_short_seeded_soak_of_processes_breaks_no_promise() -> None:
    verdict = soak.Episode(seed=3, duration_s=3.0).run()
    assert verdict.violations == ()
    assert verdict.statuses.get(200, 0) > 0


# Each fault on its own meets far more requests than the mixture does.
@pytest.mark.parametrize(
    ("faults", "seed", "duration_s"),
    [
        pytest.param("silence", 601, 6.0, id="silent targets"),
        pytest.param("crashing", 7, 12.0, id="crashing requests"),
        pytest.param("leaving", 11, 8.0, id="leaving targets"),
        pytest.param("back-off", 11, 8.0, id="targets that back off"),
        pytest.param("restore", 11, 8.0, id="restored log"),
        pytest.param("cut of", 11, 8.0, id="lost links"),
        pytest.param("log connections", 11, 8.0, id="silent log connections"),
    ],
)
def test_a_short_soak_of_one_kind_of_fault_breaks_no_promise(
    faults: str, seed: int, duration_s: float
) -> None:
    verdict = soak.Episode(seed, duration_s, only=(faults,)).run()
    assert verdict.violations == ()
    assert verdict.statuses.get(200, 0) > 0


def test_an_unknown_kind_of_fault_is_refused() -> None:
    with pytest.raises(ValueError, match="silence of t1; "):
        soak.Episode(3, 0.1, only=("nothing",)).run()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountCase:
    headers: dict[str, str]
    kinds: list[str]
    # Time from the removal of its key to its send, in seconds; ``None`` if
    # its key was not taken away.
    removed_s: float | None = None
    # Whether the instance was disturbed shortly before.
    disturbed: bool = False


ACCOUNT = {"x-tenant": "account-0"}
ACCOUNT_CASES = {
    "its account": AccountCase(ACCOUNT, []),
    "no account": AccountCase({}, ["ACCOUNT"]),
    "another account": AccountCase({"x-tenant": "account-1"}, ["ACCOUNT"]),
    "with the key": AccountCase({**ACCOUNT, "x-api-key": "k"}, ["ACCOUNT"]),
    "removed just before": AccountCase(ACCOUNT, [], 1.9),
    "removed long before": AccountCase(ACCOUNT, ["REVOKED"], 2.2),
    "at a disturbed instance": AccountCase(ACCOUNT, [], 2.2, True),
}


@pytest.mark.parametrize("name", ACCOUNT_CASES)
def test_runs_for_another_account_or_a_removed_key_are_found(
    name: str,
) -> None:
    case = ACCOUNT_CASES[name]
    kept = _accounts.Accounts(1)
    credential = kept.draw(0)
    kept.change(lambda: None)
    sent_at = time.monotonic() + (case.removed_s or 0.0)
    if case.removed_s is None:
        credential = kept.draw(0)
        sent_at = 0.0
    disturbances = _disturbances.Disturbances()
    if case.disturbed:
        disturbances.begin("i0")
    run = standins.Run("a1", "POST /pay/x", case.headers, b"", sent_at)
    sent = _accounts.Sent(credential, sent_at, frozenset(("i0",)))
    found = kept.violations("a1", sent, run, disturbances)
    assert [line.partition(":")[0] for line in found] == case.kinds
