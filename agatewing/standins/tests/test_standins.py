"""Tests of the stand-ins, the engine model and the manual clock."""

import random

import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import enginemodel
from agatewing import platform_services
from agatewing.standins import instances
from agatewing.standins import log


def test_the_log_keeps_order_and_expires_old_records() -> None:
    clock = _clock.ManualClock()
    model = log.LogModel(clock, retention_s=10.0)
    assert [model.append("s", str(n)) for n in range(3)] == [1, 2, 3]
    clock.advance(11.0)
    assert model.append("s", "x") == 4
    page = model.read("s", 1, 10, 0.0)
    assert page is not None
    assert (page.first, page.next) == (4, 5)
    assert [r.body for r in page.records] == ["x"]


def test_the_log_limits_appends() -> None:
    clock = _clock.ManualClock()
    model = log.LogModel(clock, appends_per_s=10.0)
    results = [model.append("s", "x") for _ in range(15)]
    assert results.count(-1) == 5
    clock.advance(1.0)
    assert model.append("s", "x") == 11


@pytest.mark.parametrize(
    ("fault", "appended"),
    [("lose_answers", 1), ("lose_appends", 0)],
)
def test_an_unanswered_append_took_effect_if_only_the_answer_was_lost(
    fault: str, appended: int
) -> None:
    model = log.LogModel(_clock.ManualClock())
    setattr(model.faults, fault, 1.0)
    assert model.append("s", "x") is None
    assert len(model.all_records("s", 1)) == appended


def test_the_instance_list_shows_changes_after_the_lag() -> None:
    clock = _clock.ManualClock()
    model = instances.InstanceListModel(clock, 2.0)
    row = platform_services.ListedInstance("a", "z", "p", "q", "live")
    model.change("a", row)
    assert model.listed().instances == ()
    clock.advance(2.0)
    assert model.listed().instances == (row,)
    model.change("a", None)
    clock.advance(1.0)
    assert model.listed().instances == (row,)


def _run(model: enginemodel.EngineModel) -> tuple[float, list[str]]:
    elapsed_s, finished = 0.0, []
    while model.busy:
        step = model.step()
        elapsed_s += step.duration_s
        finished += [s.id for s in step.finished]
    return elapsed_s, finished


def test_the_engine_batches_and_frees_its_memory() -> None:
    model = enginemodel.EngineModel(
        enginemodel.EngineSpec(), _types.Role.MIXED
    )
    for number in range(10):
        model.submit(enginemodel.Sequence(f"s{number}", 100, 20))
    seconds, finished = _run(model)
    assert len(finished) == 10 and model.kv_used == 0
    alone = enginemodel.EngineModel(
        enginemodel.EngineSpec(), _types.Role.MIXED
    )
    alone.submit(enginemodel.Sequence("s", 100, 20))
    one, _ = _run(alone)
    assert seconds < 10 * one


def test_the_engine_starts_sequences_of_a_lower_priority_class_first() -> None:
    model = enginemodel.EngineModel(
        enginemodel.EngineSpec(), _types.Role.MIXED
    )
    model.submit(enginemodel.Sequence("long", 8_000, 2, priority=5))
    model.submit(enginemodel.Sequence("short", 100, 2, priority=0))
    assert _run(model)[1] == ["short", "long"]


def test_a_cached_prefix_saves_time_and_the_cache_is_bounded() -> None:
    spec = enginemodel.EngineSpec(cache_tokens=6_400)
    model = enginemodel.EngineModel(spec, _types.Role.MIXED)
    rng = random.Random(1)
    blocks = tuple(rng.getrandbits(60) for _ in range(90))
    times = []
    for number in range(2):
        model.submit(enginemodel.Sequence(f"s{number}", 5_800, 1, blocks))
        times.append(_run(model)[0])
    assert times[1] < times[0] / 2
    other = tuple(rng.getrandbits(60) for _ in range(90))
    model.submit(enginemodel.Sequence("x", 5_800, 1, other))
    _run(model)
    assert len(model.cache) <= 100


def test_block_hashes_cover_the_prompt_up_to_the_blocks_end() -> None:
    one = enginemodel.block_hashes("a" * 600)
    other = enginemodel.block_hashes("b" + "a" * 599)
    same = enginemodel.block_hashes("a" * 512 + "z" * 300)
    assert len(one) == 2
    assert one[:2] == same[:2] and one[1] != other[1]


def test_a_manual_clock_wakes_sleepers_in_order() -> None:
    import gevent

    clock = _clock.ManualClock()
    woken: list[float] = []

    def sleeper(seconds: float) -> None:
        clock.sleep(seconds)
        woken.append(clock.monotonic())

    for seconds in (3.0, 1.0, 2.0):
        gevent.spawn(sleeper, seconds)
    gevent.sleep(0)
    clock.advance(2.5)
    assert woken == [1001.0, 1002.0]
    clock.advance(1.0)
    assert woken[-1] == 1003.0
