"""Long prompts that arrive faster than the engines read them.

The pattern: for half a minute, a fifth to a half more prompt tokens arrive
than the prefill engines of a service read, in prompts from a few hundred to
sixty thousand tokens, and again at the usual rate after it.
"""

import collections
import dataclasses
import random

import pytest

from agatewing import _types
from agatewing import decisions

ENGINES = 5
SURGE_S = 30.0
#: Simulated time, of which the part after the surge is calm, in seconds.
PLAYED_S = 45.0
OBJECTIVE_S = 0.6
#: Silence after which callers give up, in seconds.
PATIENCE_S = 2.4
SPEED = decisions.Speed(prefill_tokens_per_s=50_000, prefill_base_s=0.06)
#: Median length of the prompts, and the largest, in tokens.
MEDIAN_TOKENS = 6_000
LARGEST_TOKENS = 60_000


@dataclasses.dataclass(slots=True)
class Served:
    """What became of the prompts of one size."""

    #: First event on time, late, after the caller gave up, and refused.
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def share(self, *names: str) -> float:
        """Return the share of prompts with these outcomes."""
        return sum(self.outcomes[n] for n in names) / self.outcomes.total()


@dataclasses.dataclass(slots=True)
class Prefills:
    """An engine that reads prompts in order of arrival."""

    load: decisions.EngineLoad
    #: Ends of the prompts that were sent, in seconds, and their tokens.
    pending: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def pass_time(self, now: float) -> None:
        """Forget the prompts that were read."""
        while self.pending and self.pending[0][0] <= now:
            self.pending.popleft()
        waiting = float(sum(tokens for _, tokens in self.pending))
        self.load.unreported_tokens = waiting
        self.load.unreported_sequences = len(self.pending)

    def send(self, tokens: int, now: float) -> float:
        """Have a prompt read; return when it will be, in seconds."""
        begun_at = max([now, *(end for end, _ in self.pending)])
        taken_s = SPEED.prefill_base_s + tokens / SPEED.full_chunk_rate()
        self.pending.append((begun_at + taken_s, tokens))
        return begun_at + taken_s


def play(factor: float, refuses: bool, seed: int) -> dict[str, Served]:
    """Return what became of all prompts, and of the largest tenth.

    ``factor`` is the arriving work of the surge over what can be done.
    """
    rng = random.Random(seed)
    engines = [
        Prefills(
            decisions.EngineLoad(
                f"e{n}", "z1", role=_types.Role.PREFILL, speed=SPEED
            )
        )
        for n in range(ENGINES)
    ]
    served = {"all": Served(), "largest tenth": Served()}
    sizes = sorted(_tokens(rng) for _ in range(2_000))
    large = sizes[int(len(sizes) * 0.9)]
    mean_s = SPEED.prefill_base_s + sum(sizes) / len(sizes) / (
        SPEED.full_chunk_rate()
    )
    now = 0.0
    while now < PLAYED_S:
        present = factor if now < SURGE_S else 0.7
        now += rng.expovariate(present * ENGINES / mean_s)
        tokens = _tokens(rng)
        outcome = _send(engines, tokens, now, refuses)
        served["all"].outcomes[outcome] += 1
        if tokens >= large:
            served["largest tenth"].outcomes[outcome] += 1
    return served


def _tokens(rng: random.Random) -> int:
    return min(LARGEST_TOKENS, int(MEDIAN_TOKENS * rng.lognormvariate(0, 0.9)))


def _send(
    engines: list[Prefills], tokens: int, now: float, refuses: bool
) -> str:
    for engine in engines:
        engine.pass_time(now)
    profile = decisions.RequestProfile(tokens, 1, "z1")
    best = min(
        engines, key=lambda engine: decisions.prefill_s(profile, engine.load)
    )
    expected_s = decisions.prefill_s(profile, best.load)
    after_s = decisions.retry_delay_if_late(expected_s, PATIENCE_S)
    if after_s is None and refuses:
        after_s = decisions.retry_delay_if_overdue(
            expected_s,
            decisions.unqueued_prefill_s(profile, best.load),
            OBJECTIVE_S,
        )
    if after_s is not None:
        return "refused"
    taken_s = best.send(tokens, now) - now
    if taken_s > PATIENCE_S:
        return "given up"
    alone_s = decisions.unqueued_prefill_s(profile, engines[0].load)
    return "on time" if taken_s <= max(OBJECTIVE_S, alone_s) else "late"


# Prompts were let in as long as their callers would wait for them: during a
# surge and for seconds after it, all of them were late.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("factor", [1.2, 1.5])
def test_a_surge_makes_few_prompts_late(factor: float, seed: int) -> None:
    before = play(factor, False, seed)["all"]
    now = play(factor, True, seed)
    assert now["all"].share("on time") > 1.25 * before.share("on time")
    assert now["all"].share("given up") <= before.share("given up")
    # Of the largest, at least half as many are served.
    every = now["all"].share("on time", "late")
    largest = now["largest tenth"].share("on time", "late")
    assert largest >= every / 2


# A prompt that takes longer than its objective at an idle engine was refused
# forever.
@pytest.mark.parametrize("tokens", [500, LARGEST_TOKENS, 10 * LARGEST_TOKENS])
def test_a_prompt_is_not_refused_for_its_own_length(tokens: int) -> None:
    engine = Prefills(
        decisions.EngineLoad("e1", "z1", role=_types.Role.PREFILL, speed=SPEED)
    )
    profile = decisions.RequestProfile(tokens, 1, "z1")
    alone_s = decisions.unqueued_prefill_s(profile, engine.load)
    assert decisions.prefill_s(profile, engine.load) == alone_s
    assert (
        decisions.retry_delay_if_overdue(alone_s, alone_s, OBJECTIVE_S) is None
    )
    for queued_tokens, is_refused in ((10_000, False), (60_000, True)):
        engine.pending.clear()
        engine.send(queued_tokens, 0.0)
        engine.pass_time(0.0)
        after_s = decisions.retry_delay_if_overdue(
            decisions.prefill_s(profile, engine.load), alone_s, OBJECTIVE_S
        )
        assert (after_s is not None) == is_refused
