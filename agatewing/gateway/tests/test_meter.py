"""Load that requests add to an engine, also if answers are lost."""

import random

import gevent.event
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _back_offs
from agatewing.gateway import _departures
from agatewing.gateway import _meter
from agatewing.gateway import _request_limits
from agatewing.gateway import _tracked_target

PROFILE = decisions.RequestProfile(6_400, 100, "z")


@pytest.fixture
def clock() -> _clock.ManualClock:
    return _clock.ManualClock()


@pytest.fixture
def tracked(clock: _clock.ManualClock) -> _tracked_target.TrackedTarget:
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
    limits = _request_limits.RequestLimits(
        clock, decisions.SharedLimits("me", random.Random(1)), changed
    )
    return _tracked_target.TrackedTarget(
        target,
        decisions.Speed(),
        clock,
        changed,
        limits,
        _departures.Departures(clock, changed),
        _back_offs.BackOffs(clock),
    )


def counted(
    tracked: _tracked_target.TrackedTarget,
) -> tuple[int, float, int, int]:
    load = tracked.load
    return (
        load.own_sequences,
        load.unreported_tokens,
        load.own_kv_tokens,
        tracked.in_flight,
    )


def test_a_request_counts_until_it_ends(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    meter = _meter.LoadMeter(tracked, PROFILE, False, clock.monotonic())
    assert counted(tracked) == (1, 6_400, 6_500, 1)
    meter.mark_prompt_processed(clock.monotonic())
    assert counted(tracked) == (1, 0, 6_500, 1)
    meter.end()
    assert counted(tracked) == (0, 0, 0, 0)


def test_a_lost_answer_stops_counting_as_load(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    """Guards against requests whose answers were lost adding up as load.

    109 of them were counted at one engine.
    """
    meter = _meter.LoadMeter(tracked, PROFILE, False, clock.monotonic())
    clock.advance(meter.stall_timeout_s)
    meter.drop_if_lost(clock.monotonic())
    assert counted(tracked) == (1, 6_400, 6_500, 1)
    clock.advance(0.01)
    meter.drop_if_lost(clock.monotonic())
    meter.drop_if_lost(clock.monotonic())
    assert counted(tracked) == (0, 0, 0, 0)
    meter.end()
    assert counted(tracked) == (0, 0, 0, 0)
    assert not tracked.meters


def test_a_late_answer_counts_again(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    meter = _meter.LoadMeter(tracked, PROFILE, False, clock.monotonic())
    clock.advance(meter.stall_timeout_s + 1.0)
    meter.drop_if_lost(clock.monotonic())
    meter.mark_prompt_processed(clock.monotonic())
    meter.drop_if_lost(clock.monotonic())
    assert counted(tracked) == (1, 0, 6_500, 1)
    meter.end()
    assert counted(tracked) == (0, 0, 0, 0)


def test_an_engine_is_avoided_only_after_several_lost_answers(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    now = clock.monotonic()
    for _ in range(_tracked_target.MAX_CONSECUTIVE_LOSSES - 1):
        tracked.record_no_answer()
        assert tracked.usable(now)
    tracked.record_no_answer()
    assert not tracked.usable(now)
    tracked.record_answer()
    assert tracked.usable(now)


def test_an_engine_that_rejects_a_request_is_avoided_briefly(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    tracked.record_busy()
    assert not tracked.usable(clock.monotonic())
    assert tracked.usable(clock.monotonic() + _tracked_target.BUSY_BACKOFF_S)


def test_lost_answers_raise_the_loss_ratio_but_not_the_slowness(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    tracked.record_no_answer()
    now = clock.monotonic()
    assert tracked.loss_ratio.current(now) > 1.8
    assert tracked.slowness.current(now) == 1.0
    for _ in range(8):
        tracked.record_answer()
    assert tracked.loss_ratio.current(now) < 1.2


def test_many_lost_answers_do_not_exclude_a_target_for_long(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    """Guards against idle engines being avoided for 4 s after losses."""
    for _ in range(10):
        tracked.record_no_answer()
    assert tracked.usable(clock.monotonic() + _tracked_target.AVOID_FIRST_S)


def test_one_failed_cache_fetch_does_not_exclude_the_engine(
    clock: _clock.ManualClock, tracked: _tracked_target.TrackedTarget
) -> None:
    """Guards against excluding engines for the fault of the fetching one.

    A full engine rejected KV caches; both engines that had made them were
    excluded for three seconds.
    """
    now = clock.monotonic()
    for _ in range(_tracked_target.MAX_FAILED_FETCHES - 1):
        tracked.record_cache_fetch_failure()
    assert tracked.no_prefill_until <= now
    tracked.record_cache_fetch()
    tracked.record_cache_fetch_failure()
    assert tracked.no_prefill_until <= now
    for _ in range(_tracked_target.MAX_FAILED_FETCHES):
        tracked.record_cache_fetch_failure()
    assert tracked.no_prefill_until > now
