"""Shared parts are known to all instances and fetched, not read again."""

import random

import pytest

from agatewing import _types
from agatewing import decisions

SPEED = decisions.Speed(
    64_200, 0.00423, 0.0, 512, 2_048, 64, 900_000, beside_share=0.5
)
PARTS = [("system", 500), ("history", 4_900), ("own", 6_600)]
SHARED = 5_400


def engine(
    name: str, zone: str = "a", backlog: float = 0.0
) -> decisions.EngineLoad:
    return decisions.EngineLoad(
        name,
        zone,
        _types.Role.PREFILL,
        SPEED,
        unreported_tokens=backlog,
        unreported_long_tokens=backlog,
    )


def prompt(**changes: object) -> decisions.Work:
    facts: dict[str, object] = {
        "cached": {"home": SHARED},
        "source": "home",
        "source_zone": "a",
    }
    facts.update(changes)
    return decisions.Work(12_000, 40, "a", **facts)  # type: ignore[arg-type]


def test_a_prompt_does_not_queue_for_its_shared_parts() -> None:
    """Two prompts at once share a part that one engine has."""
    decode = decisions.EngineLoad("d", "a", _types.Role.DECODE, SPEED)
    loads = [engine("home", backlog=7_000), engine("free"), decode]
    router = decisions.Router(random.Random(1), 8, 1_700, 2.0, 2.0)
    route = router.choose(prompt(), loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "free"
    # Without a fetch, reading again would cost more than the wait.
    route = router.choose(prompt(source=""), loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "home"


GAINS = {
    "the source itself fetches nothing": (prompt(), "home", 0),
    "another fetches what it lacks": (prompt(), "free", SHARED),
    "a part that it has is not fetched": (
        prompt(cached={"home": SHARED, "free": 500}),
        "free",
        4_900,
    ),
    "too little is read instead": (
        prompt(cached={"home": 600, "free": 500}),
        "free",
        0,
    ),
    "no source is known": (prompt(source=""), "free", 0),
}


@pytest.mark.parametrize("name", GAINS)
def test_what_is_fetched(name: str) -> None:
    work, where, gain = GAINS[name]
    assert decisions.fetch_gain(work, engine(where)) == gain


def test_a_fetch_from_another_zone_takes_longer() -> None:
    near = decisions.prefill_s(prompt(), engine("free", "a"))
    far = decisions.prefill_s(prompt(), engine("free", "b"))
    assert near < far < decisions.prefill_s(prompt(source=""), engine("free"))


def test_others_learn_of_placements_once() -> None:
    mine, theirs = (decisions.PartIndex(10.0) for _ in range(2))
    mine.add("e1", PARTS, now=0.0, ready_s=0.3)
    (placement,) = mine.news(now=0.1, limit=8)
    assert mine.news(now=0.1, limit=8) == []
    theirs.take(placement, now=0.1)
    other = [*PARTS[:2], ("else", 100)]
    assert theirs.match(other, now=0.2) == {"e1": SHARED}
    assert theirs.match(other, now=0.2, ready=True) == {}
    assert theirs.match(other, now=0.4, ready=True) == {"e1": SHARED}
    assert theirs.match([("x", 1), *other], now=0.4) == {}


def test_small_parts_are_not_told() -> None:
    index = decisions.PartIndex(10.0)
    index.add("e1", [("a", 100), ("b", 100), ("own", 900)], now=0.0)
    assert index.news(now=0.0, limit=8) == []


def test_a_use_of_what_is_there_does_not_make_it_late() -> None:
    index = decisions.PartIndex(10.0)
    index.add("e1", PARTS, now=0.0)
    index.add("e1", PARTS, now=1.0, ready_s=2.0)
    assert index.match(PARTS, now=1.5, ready=True) == {"e1": 12_000}


def test_a_failed_prefill_placed_nothing() -> None:
    index = decisions.PartIndex(10.0)
    index.add("e1", PARTS, now=0.0)
    index.drop("e1", PARTS)
    index.drop("unknown", PARTS)
    assert index.match(PARTS, now=0.0) == {}


def test_a_long_body_stays_in_its_zone_unless_the_wait_is_long() -> None:
    work = decisions.Work(12_000, 40, "a", cross_s=0.04)
    decode = decisions.EngineLoad("d", "a", _types.Role.DECODE, SPEED)
    router = decisions.Router(random.Random(1), 8, 1_700, 2.0, 2.0)
    loads = [engine("near", "a", 2_000), engine("far", "b"), decode]
    route = router.choose(work, loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "near"
    loads = [engine("near", "a", 20_000), engine("far", "b"), decode]
    route = router.choose(work, loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "far"


def test_engines_that_are_gone_leave_nothing_behind() -> None:
    index = decisions.PartIndex(10.0)
    for number in range(100):
        index.add(f"e{number}", PARTS, now=0.0)
    index.keep({"e7"})
    assert index.match(PARTS, now=0.0) == {"e7": 12_000}
    assert list(index._engines) == ["e7"]
