"""Streams are routed to engines with room for their KV cache."""

import random

from agatewing import _types
from agatewing import decisions

SPEED = decisions.Speed(64_200, 0.00423, 0.0, 512, 2_048, 64)


def engine(name: str, used: int, sequences: int) -> decisions.EngineLoad:
    return decisions.EngineLoad(
        name,
        "z",
        _types.Role.DECODE,
        SPEED,
        own_sequences=sequences,
        unreported_sequences=sequences,
        own_kv_tokens=used // 2,
        reported_kv_tokens=used - used // 2,
        kv_limit=100_000,
    )


def choose(
    profile: decisions.RequestProfile, *engines: decisions.EngineLoad
) -> decisions.Route | None:
    return decisions.Router(random.Random(1), 8).choose(profile, engines)


def test_a_full_engine_is_avoided_though_it_has_few_streams() -> None:
    profile = decisions.RequestProfile(0, 40, "z", fetched_tokens=12_000)
    route = choose(
        profile, engine("full", 85_000, 2), engine("roomy", 20_000, 9)
    )
    assert isinstance(route, decisions.Single)
    assert route.engine == "roomy"


def test_a_stream_stays_queued_while_it_fits_nowhere() -> None:
    profile = decisions.RequestProfile(0, 40, "z", fetched_tokens=12_000)
    assert choose(profile, engine("full", 85_000, 2)) is None


def test_an_engine_of_unknown_kv_capacity_is_used() -> None:
    load = engine("e", 85_000, 2)
    load.kv_limit = 0
    assert choose(decisions.RequestProfile(0, 40, "z"), load) is not None
