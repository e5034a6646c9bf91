"""Load that requests add to an engine, also if answers are lost."""

import gevent.event
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _machine
from agatewing.gateway import _meter

WORK = decisions.Work(6_400, 100, "z")


@pytest.fixture
def clock() -> _clock.ManualClock:
    return _clock.ManualClock()


@pytest.fixture
def machine(clock: _clock.ManualClock) -> _machine.Machine:
    target = gateway.Target(
        "e1",
        "chat",
        "10.0.0.1:80",
        "z",
        _types.TargetState.ACTIVE,
        64,
        _types.Role.DECODE,
    )
    changed = gevent.event.Event()
    return _machine.Machine(target, decisions.Speed(), clock, changed)


def counted(machine: _machine.Machine) -> tuple[int, float, int, int]:
    load = machine.load
    return (
        load.own_sequences,
        load.unreported_tokens,
        load.own_kv_tokens,
        machine.in_flight,
    )


def test_a_request_counts_until_it_ends(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    meter = _meter.LoadMeter(machine, WORK, False, clock.monotonic())
    assert counted(machine) == (1, 6_400, 6_500, 1)
    meter.prompt_processed(clock.monotonic())
    assert counted(machine) == (1, 0, 6_500, 1)
    meter.end()
    assert counted(machine) == (0, 0, 0, 0)


def test_a_lost_answer_stops_counting_as_load(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    """Guards against requests whose answers were lost adding up as load.

    109 of them were counted at one engine.
    """
    meter = _meter.LoadMeter(machine, WORK, False, clock.monotonic())
    clock.advance(meter.stall_s)
    meter.check(clock.monotonic())
    assert counted(machine) == (1, 6_400, 6_500, 1)
    clock.advance(0.01)
    meter.check(clock.monotonic())
    meter.check(clock.monotonic())
    assert counted(machine) == (0, 0, 0, 0)
    meter.end()
    assert counted(machine) == (0, 0, 0, 0)
    assert not machine.meters


def test_a_late_answer_counts_again(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    meter = _meter.LoadMeter(machine, WORK, False, clock.monotonic())
    clock.advance(meter.stall_s + 1.0)
    meter.check(clock.monotonic())
    meter.prompt_processed(clock.monotonic())
    meter.check(clock.monotonic())
    assert counted(machine) == (1, 0, 6_500, 1)
    meter.end()
    assert counted(machine) == (0, 0, 0, 0)


def test_an_engine_is_avoided_only_after_several_lost_answers(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    now = clock.monotonic()
    for _ in range(_machine.LOST_IN_A_ROW - 1):
        machine.note_lost()
        assert machine.usable(now)
    machine.note_lost()
    assert not machine.usable(now)
    machine.note_answer()
    assert machine.usable(now)


def test_an_engine_that_rejects_a_request_is_avoided_briefly(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    machine.note_busy()
    assert not machine.usable(clock.monotonic())
    assert machine.usable(clock.monotonic() + _machine.BUSY_S)


def test_lost_answers_raise_the_loss_average_but_not_the_slowdown(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    machine.note_lost()
    now = clock.monotonic()
    assert machine.losses.current(now) > 1.8
    assert machine.pace.current(now) == 1.0
    for _ in range(8):
        machine.note_answer()
    assert machine.losses.current(now) < 1.2


def test_many_lost_answers_do_not_exclude_a_target_for_long(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    """Guards against idle engines being avoided for 4 s after losses."""
    for _ in range(10):
        machine.note_lost()
    assert machine.usable(clock.monotonic() + _machine.AVOID_FIRST_S)


def test_one_failed_cache_fetch_does_not_exclude_the_engine(
    clock: _clock.ManualClock, machine: _machine.Machine
) -> None:
    """Guards against excluding engines for the fault of the fetching one.

    A full engine rejected KV caches; both engines that had made them were
    excluded for three seconds.
    """
    now = clock.monotonic()
    for _ in range(_machine.CACHES_IN_A_ROW - 1):
        machine.note_cache_lost()
    assert machine.no_cache_until <= now
    machine.note_cache_fetched()
    machine.note_cache_lost()
    assert machine.no_cache_until <= now
    for _ in range(_machine.CACHES_IN_A_ROW):
        machine.note_cache_lost()
    assert machine.no_cache_until > now
