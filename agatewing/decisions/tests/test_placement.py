"""Routes of prompts, preferred engines of prefixes, and plain targets."""

import dataclasses
import random

import pytest

from agatewing import _types
from agatewing import decisions

#: Speed of the engines by the platform's data sheet.
SPEED = decisions.Speed(
    prefill_tokens_per_s=64_200,
    step_base_s=0.00423,
    step_per_sequence_s=7.67e-7,
    chunk_tokens=512,
    full_chunk_tokens=2_048,
    slots=64,
    import_tokens_per_s=915_000,
    decode_prefill_share=0.5,
    attention_tokens_per_m_pairs=41.5,
)


def engine(
    name: str,
    role: _types.Role,
    tokens: float = 0,
    long_tokens: float = 0,
    sequences: int = 0,
) -> decisions.EngineLoad:
    return decisions.EngineLoad(
        name,
        "z1",
        role,
        SPEED,
        credits=64,
        reported_tokens=tokens,
        reported_long_tokens=long_tokens,
        reported_sequences=sequences,
    )


def prefill(
    name: str, tokens: float = 0, long_tokens: float = 0
) -> decisions.EngineLoad:
    return engine(name, _types.Role.PREFILL, tokens, long_tokens)


def decode(
    name: str, tokens: float = 0, sequences: int = 0
) -> decisions.EngineLoad:
    return engine(name, _types.Role.DECODE, tokens, 0, sequences)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    prompt: int
    engines: tuple[decisions.EngineLoad, ...]
    prefill: str | None
    engine: str
    cached: dict[str, int] = dataclasses.field(default_factory=dict)


CASES = {
    "a long prompt is not prefilled by an engine with streams": Case(
        12_000, (prefill("p"), decode("d", sequences=3)), "p", "d"
    ),
    "also when the prefill engine has a backlog of a second": Case(
        12_000, (prefill("p", 60_000), decode("d", sequences=3)), "p", "d"
    ),
    "a short prompt avoids an engine that processes a long one": Case(
        2_400,
        (
            prefill("p1", 30_000, 30_000),
            prefill("p2", 9_000),
            decode("d", sequences=3),
        ),
        "p2",
        "d",
    ),
    "a short prompt is prefilled by a decode engine with few streams": Case(
        800, (prefill("p", 20_000), decode("d", sequences=2)), None, "d"
    ),
    "a second prompt would delay a decode engine's streams too long": Case(
        1_200,
        (prefill("p", 2_000), decode("d", tokens=1_200, sequences=3)),
        "p",
        "d",
    ),
    "a cached prefix outweighs a short queue": Case(
        9_000,
        (prefill("p1", 4_000), prefill("p2"), decode("d", sequences=3)),
        "p1",
        "d",
        {"p1": 5_400},
    ),
    "a long queue outweighs a cached prefix": Case(
        9_000,
        (prefill("p1", 60_000), prefill("p2"), decode("d", sequences=3)),
        "p2",
        "d",
        {"p1": 5_400},
    ),
    "without a prefill engine, one engine prefills and decodes": Case(
        12_000, (decode("d1", 9_000, 3), decode("d2")), None, "d2"
    ),
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", CASES)
def test_route_of_a_prompt(name: str, seed: int) -> None:
    case = CASES[name]
    router = decisions.Router(
        random.Random(seed), 8, 1_700, 2.0, recompute_weight=2.0
    )
    profile = decisions.RequestProfile(case.prompt, 20, "z1", case.cached)
    match router.choose(profile, case.engines):
        case decisions.Single(engine=chosen):
            assert (None, chosen) == (case.prefill, case.engine)
        case decisions.Split(prefill=first, decode=second):
            assert (first, second) == (case.prefill, case.engine)
        case None:
            pytest.fail("no engine was chosen")


def test_all_instances_prefer_the_same_engine_for_a_prefix() -> None:
    engines = [f"e{n}" for n in range(5)]
    blocks = [("system", 500), ("history", 4_900)]
    preferred = {
        decisions.preferred_engine(
            blocks, random.Random(seed).sample(engines, 5)
        )
        for seed in range(20)
    }
    assert len(preferred) == 1
    remaining = [name for name in engines if name not in preferred]
    reassigned = sum(
        decisions.preferred_engine([("s", 1), (f"h{n}", 1)], engines)
        != decisions.preferred_engine(
            [("s", 1), (f"h{n}", 1)], [*engines, "new"]
        )
        for n in range(600)
    )
    assert decisions.preferred_engine(blocks, remaining) in remaining
    assert 60 < reassigned < 150  # A sixth of 600 moves to the sixth engine.


def test_prefixes_expire_and_match_from_the_first_block() -> None:
    index = decisions.PlacementIndex(keep_s=10)
    blocks = [("a", 100), ("b", 200), ("c", 300)]
    index.add("e1", blocks[:2], now=0)
    assert index.match(blocks, now=5) == {"e1": 300}
    assert index.match([("x", 1), *blocks], now=5) == {}
    assert index.match(blocks, now=11) == {}


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCase:
    targets: tuple[decisions.TargetLoad, ...]
    chosen: str


TARGETS = {
    "the one with the fewest calls": TargetCase(
        (
            decisions.TargetLoad("a", 6, 3, 1.0, True),
            decisions.TargetLoad("b", 6, 1, 1.0, True),
        ),
        "b",
    ),
    "a slow one counts as busier": TargetCase(
        (
            decisions.TargetLoad("a", 6, 0, 4.0, True),
            decisions.TargetLoad("b", 6, 1, 1.0, True),
        ),
        "b",
    ),
    "the own zone at equal load": TargetCase(
        (
            decisions.TargetLoad("a", 6, 1, 1.0, False),
            decisions.TargetLoad("b", 6, 1, 1.0, True),
        ),
        "b",
    ),
    "another zone when the own one is busy": TargetCase(
        (
            decisions.TargetLoad("a", 6, 0, 1.0, False),
            decisions.TargetLoad("b", 6, 1, 1.0, True),
        ),
        "a",
    ),
}


@pytest.mark.parametrize("name", TARGETS)
def test_target_of_a_call(name: str) -> None:
    case = TARGETS[name]
    for seed in range(5):
        rng = random.Random(seed)
        assert decisions.choose_target(case.targets, rng) == case.chosen


PATIENCE = {
    "in time": (0.5, 2.0, None),
    "a little late by an estimate that is high": (2.3, 2.0, None),
    "after the caller gave up": (5.0, 3.2, 1.8),
    "no patience is left": (0.5, 0.0, 1.0),
}


@pytest.mark.parametrize("name", PATIENCE)
def test_requests_beyond_their_callers_patience_are_refused(name: str) -> None:
    first_event_s, patience_s, after_s = PATIENCE[name]
    retry_after_s = decisions.retry_delay_if_late(first_event_s, patience_s)
    assert retry_after_s == (pytest.approx(after_s) if after_s else None)
