"""Targets that fall silent for a while, with open connections, and go on.

Each test plays the cases of one table at the same time, each on a site of its
own; every caller has to get its whole answer.
"""

import dataclasses

import gevent
import pytest

from agatewing.gateway import _target_registry
from agatewing.platform import standins
from agatewing.platform.tests import _silences

Behaviour = standins.Behaviour
Case = _silences.Case
Change = _silences.Change
Kind = _silences.Kind
Place = standins.Place
LONG_S = (1.0, 3.0)
#: Largest number of looks for an engine with room in 2.2 s of silence.
MAX_LOOKS = 8
SILENCES = {
    "resumable, head": _silences.table(Kind.RESUMABLE, Place.HEAD),
    "resumable, first event": _silences.table(
        Kind.RESUMABLE, Place.FIRST_EVENT
    ),
    "resumable, between events": _silences.table(Kind.RESUMABLE, Place.EVENT),
    "once, head": _silences.table(Kind.ONCE_STREAM, Place.HEAD, LONG_S),
    "once, first event": _silences.table(
        Kind.ONCE_STREAM, Place.FIRST_EVENT, LONG_S
    ),
    "once, between events": _silences.table(
        Kind.ONCE_STREAM, Place.EVENT, LONG_S
    ),
    "safe": _silences.table(Kind.SAFE, Place.HEAD),
    "unsafe": _silences.table(Kind.UNSAFE, Place.HEAD, LONG_S),
    "resumable, prefill": _silences.table(
        Kind.RESUMABLE, Place.PREFILL, prefill=True
    ),
    "once, prefill": _silences.table(
        Kind.ONCE_STREAM, Place.PREFILL, prefill=True
    ),
    "resumable, head after a prefill": _silences.table(
        Kind.RESUMABLE, Place.HEAD, LONG_S, prefill=True
    ),
    "resumable, between events after a prefill": _silences.table(
        Kind.RESUMABLE, Place.EVENT, LONG_S, prefill=True
    ),
    "once, between events after a prefill": _silences.table(
        Kind.ONCE_STREAM, Place.EVENT, LONG_S, prefill=True
    ),
}


# A target was given up before another had delivered anything, and then no
# other one had room, took the request or answered either.
@pytest.mark.parametrize("name", SILENCES)
def test_a_silence_loses_no_answer(name: str) -> None:
    found = _silences.failures(SILENCES[name])
    assert not found, "\n".join(found)


PLACES = [
    (Kind.RESUMABLE, Place.HEAD, False),
    (Kind.RESUMABLE, Place.EVENT, False),
    (Kind.RESUMABLE, Place.PREFILL, True),
    (Kind.ONCE_STREAM, Place.PREFILL, True),
    (Kind.SAFE, Place.HEAD, False),
]


# Without another attempt or retry, the first target is all there is.
@pytest.mark.parametrize(
    "limits",
    [{"budget": False}, {"max_attempts": 1}, {"max_attempts": 3}],
    ids=["no-budget", "no-attempt", "three-attempts"],
)
def test_a_silence_loses_no_answer_without_retries(
    limits: dict[str, object],
) -> None:
    cases = [
        case
        for kind, place, prefill in PLACES
        for case in _silences.table(
            kind, place, LONG_S, prefill=prefill, **limits
        )
    ]
    found = _silences.failures(cases)
    assert not found, "\n".join(found)


# A configuration or an entry changed while a target was silent, and the
# answers that were under way ended.
@pytest.mark.parametrize(
    "change", [c for c in Change if c is not Change.NONE], ids=lambda c: c.name
)
def test_a_change_during_a_silence_loses_no_answer(change: Change) -> None:
    kinds = [
        *PLACES,
        (Kind.ONCE_STREAM, Place.EVENT, False),
        (Kind.UNSAFE, Place.HEAD, False),
    ]
    cases = [
        case
        for kind, place, prefill in kinds
        for case in _silences.table(
            kind, place, (2.2,), prefill=prefill, change=change
        )
    ]
    found = _silences.failures(cases)
    assert not found, "\n".join(found)


FAILING = {
    "turns it away": Behaviour.NOT_RUN,
    "resets": Behaviour.RESET,
    "hangs": Behaviour.HANG,
    "fails": Behaviour.ERROR,
}


# The first target was given up for one that then did not answer.
@pytest.mark.parametrize("name", FAILING)
def test_another_target_that_fails_does_not_end_the_first(name: str) -> None:
    cases = [
        Case(kind, place, silence_s, prefill=prefill)
        for kind, place, prefill in PLACES
        for silence_s in (2.2, 3.0)
    ]
    playing = {
        case: gevent.spawn(_silences.play_beside_failing, case, FAILING[name])
        for case in cases
    }
    found = [
        f"{case}: {greenlet.get()}"
        for case, greenlet in playing.items()
        if greenlet.get() != _silences.SERVED
    ]
    assert not found, "\n".join(found)


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    silence_s: float
    #: Software version of the second engine; the first has v1.
    version: str
    #: Events of the answer that each engine sent.
    first: range
    second: range
    #: Requests that the second engine ran.
    runs: int


HEDGES = {
    "the other engine is faster": Hedge(
        6.0, "v1", range(1, 2), range(2, 6), 1
    ),
    "no other engine of the version": Hedge(
        2.2, "v2", range(1, 6), range(0), 0
    ),
}


# Beside a silent engine, another one resumed the stream at a wrong event, or
# one of another version did.
@pytest.mark.parametrize("name", HEDGES)
def test_a_stream_goes_on_at_an_engine_of_its_version(name: str) -> None:
    hedge = HEDGES[name]
    case = Case(Kind.RESUMABLE, Place.EVENT, hedge.silence_s)
    with standins.Site() as site:
        _silences.build(site, case)
        site.announce("e2", version=hedge.version)
        instance = site.start()
        _silences.wait_until_ready(site, instance, 2)
        for engine in site.targets.values():
            engine.event_suffix = f" of {engine.name}"
        _silences.plan_silence(site, case)
        # 8,000 queued tokens make the first engine the first choice.
        instance.registry.by_id["e2"].record_sent(8_000)
        headers = {
            "X-Deadline-Ms": str(_silences.TIMEOUT_MS),
            **_silences.PROMPT_HEADERS,
        }
        reply = site.ask(instance, "/chat/x", "a1", headers)
        first, second = site.targets["e1"], site.targets["e2"]
        assert reply.complete
        assert reply.body == b"".join(
            f"id: {number}\ndata: token {number} of {engine}\n\n".encode()
            for engine, numbers in (("e1", hedge.first), ("e2", hedge.second))
            for number in numbers
        )
        assert len(second.runs) == hedge.runs
        if hedge.runs:
            site.wait(lambda: first.dropped == ["a1"])
            overlap_s = first.ended_at["a1"] - second.begun_at["a1"]
            assert overlap_s <= _silences.OVERLAP_S


# A caller that left while its engine was silent kept both engines at work.
def test_both_engines_are_left_when_the_caller_leaves() -> None:
    case = Case(Kind.RESUMABLE, Place.HEAD, 2.0, _silences.Silent.ALL)
    with standins.Site() as site:
        _silences.build(site, case)
        instance = site.start()
        _silences.wait_until_ready(site, instance, 2)
        engines = list(site.targets.values())
        for engine in engines:
            engine.script.append(Behaviour.HANG)
        fields = {
            "Host": standins.HOST,
            "X-Request-Id": "a1",
            **_silences.PROMPT_HEADERS,
        }
        lines = "".join(f"{name}: {v}\r\n" for name, v in fields.items())
        with site.connect(instance) as sock:
            sock.sendall(f"POST /chat/x HTTP/1.1\r\n{lines}\r\n".encode())
            site.wait(lambda: all(engine.runs for engine in engines))
            assert not any(engine.dropped for engine in engines)
        site.wait(lambda: all(e.dropped == ["a1"] for e in engines))
        site.wait(lambda: not instance.registry.by_id["e1"].in_flight)
        assert not instance.registry.by_id["e2"].in_flight


# The kernel reset connections on which a silent target acknowledged nothing.
@pytest.mark.parametrize("kind", [Kind.SAFE, Kind.UNSAFE])
def test_a_large_body_waits_for_a_target_that_does_not_read(
    kind: Kind,
) -> None:
    case = Case(kind, Place.HEAD, 2.2, max_attempts=1)
    body = b"x" * 6_000_000
    with standins.Site() as site:
        _silences.build(site, case)
        site.publish(max_body_bytes=8_000_000)
        for engine in site.targets.values():
            engine.limit_receive_buffer(8_192)
        instance = site.start()
        site.wait(lambda: len(instance.catalog.targets) == 2)
        site.wait(lambda: instance.lifecycle.ready)
        for engine in site.targets.values():
            engine.voice.fall_silent(2.2)
        head = (
            f"POST /{kind}/x HTTP/1.1\r\nHost: {standins.HOST}\r\n"
            f"X-Request-Id: a1\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with site.connect(instance) as sock:
            sock.sendall(head.encode() + body)
            reply = standins.read_reply(sock)
        assert (reply.status, reply.body) == (200, b"body of a1")
        (run,) = [r for e in site.targets.values() for r in e.runs]
        assert run.body == body


# New requests were refused while the only target was silent, because of the
# streams that it had kept waiting.
def test_a_new_request_reaches_the_only_target_after_silences() -> None:
    case = Case(Kind.RESUMABLE, Place.EVENT, 2.2)
    with standins.Site() as site:
        _silences.build(site, case)
        site.withdraw("e2")
        instance = site.start()
        site.wait(lambda: len(instance.catalog.targets) == 1)
        site.wait(lambda: instance.lifecycle.ready)
        engine = site.targets["e1"]
        headers = {
            "X-Deadline-Ms": str(_silences.TIMEOUT_MS),
            "X-Token-Count": "300,20",
            "X-Prefix-Hash": "aa:200,bb:100",
        }
        engine.pause_s = 0.05
        asked = [
            gevent.spawn(site.ask, instance, "/chat/x", f"a{n}", headers)
            for n in range(4)
        ]
        site.wait(lambda: len(engine.begun_at) == 4)
        engine.voice.fall_silent(2.2)
        gevent.sleep(2.0)
        late = site.ask(instance, "/chat/x", "late", headers)
        replies = [late, *(greenlet.get() for greenlet in asked)]
    assert [(r.status, r.complete, r.body) for r in replies] == [
        (200, True, _silences.EVENTS)
    ] * 5


# Each stream looked for room 25 times a second as long as its engine was
# silent, which took most of an instance's processor time.
def test_a_silent_stream_seldom_looks_for_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    case = Case(Kind.RESUMABLE, Place.HEAD, 2.2)
    looks: list[str] = []
    refresh = _target_registry.Pool.refresh

    def count(pool: _target_registry.Pool, now: float) -> None:
        looks.append(pool.name)
        refresh(pool, now)

    with standins.Site() as site:
        _silences.build(site, case)
        instance = site.start()
        _silences.wait_until_ready(site, instance, 2)
        _silences.plan_silence(site, case)
        instance.registry.by_id["e2"].mark_role_change(9.0)
        monkeypatch.setattr(_target_registry.Pool, "refresh", count)
        headers = {
            "X-Token-Count": "40,20",
            "X-Prefix-Hash": "aa:20,bb:20",
        }
        reply = site.ask(instance, "/chat/x", "a1", headers)
    assert reply.body == _silences.EVENTS
    assert 2 <= len(looks) <= MAX_LOOKS
