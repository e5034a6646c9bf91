"""Tests that shared prefixes are fetched instead of being recomputed.

Placements of prefixes are published to the other instances.
"""

import random

import pytest

from agatewing import _types
from agatewing import decisions

SPEED = decisions.Speed(
    64_200, 0.00423, 0.0, 512, 2_048, 64, 900_000, decode_prefill_share=0.5
)
BLOCKS = [("system", 500), ("history", 4_900), ("own", 6_600)]
# Tokens of the blocks "system" and "history"; all blocks have 12_000.
SHARED_TOKENS = 5_400


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


def prompt(**changes: object) -> decisions.RequestProfile:
    fields: dict[str, object] = {
        "cached": {"home": SHARED_TOKENS},
        "fetch_source": "home",
        "fetch_source_zone": "a",
    }
    fields.update(changes)
    return decisions.RequestProfile(
        12_000,
        40,
        "a",
        **fields,  # type: ignore[arg-type]
    )


def test_a_prompt_does_not_queue_for_its_shared_prefix() -> None:
    """The engine that has the prefix is busy, so another one fetches it."""
    decode = decisions.EngineLoad("d", "a", _types.Role.DECODE, SPEED)
    loads = [engine("home", backlog=7_000), engine("free"), decode]
    # samples, decode_prefill_limit, backlog_limit_s, recompute_weight
    router = decisions.Router(random.Random(1), 8, 1_700, 2.0, 2.0)
    route = router.choose(prompt(), loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "free"
    # Without a fetch, recomputing the prefix costs more than waiting.
    route = router.choose(prompt(fetch_source=""), loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "home"


FETCHED_TOKENS = {
    "the source itself fetches nothing": (prompt(), "home", 0),
    "another engine fetches what it lacks": (prompt(), "free", SHARED_TOKENS),
    "cached blocks are not fetched": (
        prompt(cached={"home": SHARED_TOKENS, "free": 500}),
        "free",
        4_900,
    ),
    "a short prefix is recomputed, not fetched": (
        prompt(cached={"home": 600, "free": 500}),
        "free",
        0,
    ),
    "no source is known": (prompt(fetch_source=""), "free", 0),
}


@pytest.mark.parametrize("name", FETCHED_TOKENS)
def test_number_of_fetched_tokens(name: str) -> None:
    profile, engine_name, tokens = FETCHED_TOKENS[name]
    assert decisions.fetchable_tokens(profile, engine(engine_name)) == tokens


def test_a_fetch_from_another_zone_takes_longer() -> None:
    near = decisions.prefill_s(prompt(), engine("free", "a"))
    far = decisions.prefill_s(prompt(), engine("free", "b"))
    assert (
        near
        < far
        < decisions.prefill_s(prompt(fetch_source=""), engine("free"))
    )


def test_placements_are_published_once() -> None:
    own_index, peer_index = (decisions.PlacementIndex(10.0) for _ in range(2))
    own_index.add("e1", BLOCKS, now=0.0, ready_s=0.3)
    (placement,) = own_index.take_unpublished(now=0.1, limit=8)
    assert own_index.take_unpublished(now=0.1, limit=8) == []
    peer_index.merge(placement, now=0.1)
    other = [*BLOCKS[:2], ("else", 100)]
    assert peer_index.match(other, now=0.2) == {"e1": SHARED_TOKENS}
    assert peer_index.match(other, now=0.2, ready=True) == {}
    assert peer_index.match(other, now=0.4, ready=True) == {
        "e1": SHARED_TOKENS
    }
    assert peer_index.match([("x", 1), *other], now=0.4) == {}


def test_short_prefixes_are_not_published() -> None:
    index = decisions.PlacementIndex(10.0)
    index.add("e1", [("a", 100), ("b", 100), ("own", 900)], now=0.0)
    assert index.take_unpublished(now=0.0, limit=8) == []


def test_another_use_does_not_delay_a_prefix_that_is_ready() -> None:
    index = decisions.PlacementIndex(10.0)
    index.add("e1", BLOCKS, now=0.0)
    index.add("e1", BLOCKS, now=1.0, ready_s=2.0)
    assert index.match(BLOCKS, now=1.5, ready=True) == {"e1": 12_000}


def test_blocks_of_a_failed_prefill_are_not_matched() -> None:
    index = decisions.PlacementIndex(10.0)
    index.add("e1", BLOCKS, now=0.0)
    index.drop("e1", BLOCKS)
    index.drop("unknown", BLOCKS)
    assert index.match(BLOCKS, now=0.0) == {}


def test_a_long_prompt_stays_in_its_zone_unless_the_wait_is_long() -> None:
    # Sending a large request to another zone costs 0.04 s.
    profile = decisions.RequestProfile(12_000, 40, "a", cross_zone_s=0.04)
    decode = decisions.EngineLoad("d", "a", _types.Role.DECODE, SPEED)
    router = decisions.Router(random.Random(1), 8, 1_700, 2.0, 2.0)
    loads = [engine("near", "a", 2_000), engine("far", "b"), decode]
    route = router.choose(profile, loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "near"
    loads = [engine("near", "a", 20_000), engine("far", "b"), decode]
    route = router.choose(profile, loads)
    assert isinstance(route, decisions.Split)
    assert route.prefill == "far"


def test_removed_engines_leave_no_entries() -> None:
    index = decisions.PlacementIndex(10.0)
    for number in range(100):
        index.add(f"e{number}", BLOCKS, now=0.0)
    index.retain_engines({"e7"})
    assert index.match(BLOCKS, now=0.0) == {"e7": 12_000}
    assert list(index._engines) == ["e7"]
