"""Relayed streams while engines of two software versions serve."""

import collections
import dataclasses
import random
import types
import typing

import pytest

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _invariants
from agatewing import _types
from agatewing import config
from agatewing import decisions
from agatewing import entry
from agatewing import fleet
from agatewing import net
from agatewing import timeline

EVENTS = [b"id: 1\ndata: {}\n\n", b"id: 2\ndata: [DONE]\n\n"]
CALL = entry.GenerateCall("s1", "m", "p", 9, "completions", 0, 5, 7)


class Answer:
    """Answer of an engine that breaks off after some events."""

    status = 200

    def __init__(self, events: list[bytes]) -> None:
        self._events = collections.deque(events)

    def read_available(self) -> bytes:
        if not self._events:
            raise _exceptions.TargetSilentError("engine", "broken off")
        return self._events.popleft()

    def close(self) -> None:
        pass


class Client:
    """Client of an engine: e1 breaks off, others finish the stream."""

    def __init__(self, address: str, *, silence_timeout_s: float) -> None:
        self._breaks = address == "10.0.0.1:80"
        self.calls = 0

    def open(self, *args: typing.Any) -> Answer:
        self.calls += 1
        if not self._breaks:
            return Answer(EVENTS[1:])
        if self.calls > 1:
            raise _exceptions.ConnectRefusedError("engine", "is gone")
        return Answer(EVENTS[:1])


def make_relay(
    versions: dict[str, str],
    software: str | None,
    position: int,
    handle: entry.StreamHandle | None = None,
) -> tuple[entry.Relay, fleet.Pool]:
    clock = _clock.SystemClock()
    made = fleet.Fleet(
        clock, random.Random(1), typing.cast(typing.Any, Client)
    )
    engines = {
        name: config.Engine(f"10.0.0.{number}:80", "z", "chat")
        for number, name in enumerate(versions, 1)
    }
    service = config.ModelService(("m",))
    rules = config.Rules({})
    made.apply(config.Document("d", {}, {"chat": service}, engines, {}, rules))
    pool = made.pools["chat"]
    for name, version in versions.items():
        report = fleet.LoadReport(_types.Role.MIXED, software=version)
        pool.engines[name].handle_load_report(report, clock.monotonic())
    events = timeline.EventRecorder(timeline.HybridClock(clock), "process")
    deps = entry.RelayDependencies(
        made,
        clock,
        events,
        decisions.RetryBudget(random.Random(1)),
        _invariants.Invariants(events),
        typing.cast(typing.Any, types.SimpleNamespace(may_send=lambda: True)),
        entry.CrashGuard(clock, decisions.CrashSuspects()),
        net.BufferRoom(1_000_000),
    )
    profile = decisions.RequestProfile(9, 9, "z", software=software)
    if handle is not None:
        profile = entry.bind_to_version(profile, handle)
    deadline = clock.monotonic() + 10.0
    relay = entry.Relay(deps, pool, CALL, profile, deadline, position)
    return relay, pool


def calls(pool: fleet.Pool) -> dict[str, int]:
    return {
        name: typing.cast(Client, engine.client).calls
        for name, engine in pool.engines.items()
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    versions: dict[str, str]
    #: Engine that goes on; empty if none may.
    goes_on: str


CASES = {
    "an engine of the version": Case(
        {"e1": "v1", "e2": "v2", "e3": "v1", "e4": "v2"}, "e3"
    ),
    "no engine of the version": Case({"e1": "v1", "e2": "v2"}, ""),
    "versions not announced": Case({"e1": "", "e2": ""}, "e2"),
}


# A stream whose engine was lost was generated on by an engine of another
# software version, which need not generate the same events.
@pytest.mark.parametrize("taken_up", [False, True])
@pytest.mark.parametrize("name", CASES)
def test_another_engine_goes_on_only_with_the_same_version(
    name: str, taken_up: bool
) -> None:
    case = CASES[name]
    software = case.versions["e1"] if taken_up else None
    relay, pool = make_relay(case.versions, software, int(taken_up))
    received: list[bytes] = []
    try:
        if taken_up:
            typing.cast(Client, pool.engines["e1"].client).calls = 1
            relay.resume("e1")
        else:
            relay.start(decisions.Single("e1", 0.0))
        received.extend(relay.blocks())
    except _exceptions.RefusedError as exc:
        assert exc.refusal.kind is _types.RefusalKind.STREAM_LOST
        assert not case.goes_on
    assert relay.assembler.done is bool(case.goes_on)
    others = {n: c for n, c in calls(pool).items() if n != "e1"}
    assert others == {n: int(n == case.goes_on) for n in others}
    if case.goes_on:
        assert b"".join(received) == b"".join(EVENTS[int(taken_up) :])


def test_a_handle_names_the_version_that_began_the_stream() -> None:
    codec = entry.HandleCodec("s" * 16)
    handle = entry.StreamHandle("c", "e1", "s1", 5, 7, b"12345678", "v1")
    assert codec.decode(codec.encode(handle) + ".1") == (handle, 1)


HANDLE_CASES = {
    "the version serves": ("v1", {"e1": "v1", "e2": "v2", "e3": "v1"}, "e3"),
    "only another version is left": ("v1", {"e1": "v2", "e2": "v2"}, ""),
    "no version was announced, as now": ("", {"e1": "", "e2": ""}, "e2"),
    "no version was announced, one is now": ("", {"e1": "", "e2": "v2"}, ""),
}


# A handle that named no version let a stream go on at any. An instance that
# has just started has nothing but the handle.
@pytest.mark.parametrize("name", HANDLE_CASES)
def test_a_taken_up_stream_goes_on_where_its_handle_allows(name: str) -> None:
    software, versions, goes_on = HANDLE_CASES[name]
    handle = entry.StreamHandle("c", "e1", "s1", 5, 7, b"12345678", software)
    relay, pool = make_relay(versions, None, 1, handle)
    # The engine that began the stream is gone.
    typing.cast(Client, pool.engines["e1"].client).calls = 1
    try:
        relay.resume("e1")
        received = b"".join(relay.blocks())
    except _exceptions.RefusedError as exc:
        assert exc.refusal.kind is _types.RefusalKind.STREAM_LOST
        received = b""
    assert received == (EVENTS[1] if goes_on else b"")
    others = {n: c for n, c in calls(pool).items() if n != "e1"}
    assert others == {n: int(n == goes_on) for n in others}


class Other:
    """Another answer that takes memory."""

    def __init__(self) -> None:
        self.held = 0

    def break_off(self) -> None:
        raise AssertionError("a smaller answer was broken off")


# Each stream could hold an unfinished event of the largest size, and nothing
# bounded their sum.
def test_a_stream_whose_event_takes_too_much_memory_goes_on_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    begun = EVENTS[0] + b"id: 2\ndata: " + b"x" * 600_000
    monkeypatch.setitem(globals(), "EVENTS", [begun, EVENTS[1]])
    relay, pool = make_relay({"e1": "v1", "e2": "v1"}, "v1", 0)
    room, other = relay._deps.room, Other()
    room.record(other, 500_000)
    relay.start(decisions.Single("e1", 0.0))
    blocks = relay.blocks()
    received = [next(blocks)]
    assert room.broken_off == 1
    assert room.held == 500_000
    received.extend(blocks)
    assert b"".join(received) == b"id: 1\ndata: {}\n\n" + EVENTS[1]
    assert calls(pool)["e2"] == 1
    assert room.held == 500_000
