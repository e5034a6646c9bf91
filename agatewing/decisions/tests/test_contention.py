"""Requests of several urgencies before one pool that is short of room.

The patterns: bursts of questions meet a pool full of labels that may wait;
bursts of both alternate every 2.8 s; a service whose routes are all urgent.
"""

import dataclasses
import heapq
import random

import pytest

from agatewing import decisions

QUESTION = decisions.Urgency(0, 0.5)
BRIEFING = decisions.Urgency(1, 0.6)
LABEL = decisions.Urgency(2, 2.0)

SERVICES = {
    "a label beside questions": (LABEL, [QUESTION, BRIEFING, LABEL], True),
    "a question": (QUESTION, [QUESTION, BRIEFING, LABEL], False),
    "a briefing": (BRIEFING, [QUESTION, BRIEFING, LABEL], False),
    # An account whose requests go first, whatever the route says.
    "a label of an urgent account": (
        dataclasses.replace(LABEL, rank=0),
        [QUESTION, LABEL],
        False,
    ),
    "nothing is more urgent": (LABEL, [LABEL], False),
    "one rank": (LABEL, [decisions.Urgency(2, 0.5), LABEL], False),
    # Of two that may wait, the first is no reason for the other to.
    "no objective is short": (
        LABEL,
        [decisions.Urgency(0, 1.8), LABEL],
        False,
    ),
    # What has a short objective has no time to give away.
    "a low rank and a short objective": (
        decisions.Urgency(2, 0.8),
        [decisions.Urgency(0, 0.25)],
        False,
    ),
}


@pytest.mark.parametrize("name", SERVICES)
def test_what_may_wait_yields_to_what_may_not(name: str) -> None:
    own, routes, yields = SERVICES[name]
    waits_s = decisions.yielding_s(own, routes)
    assert bool(waits_s) is yields
    assert waits_s < own.objective_s


@pytest.mark.parametrize("tokens", [0, 500, 2_400, 9_000, 54_000])
def test_engines_run_all_else_before_what_yields(tokens: int) -> None:
    assert decisions.engine_class(tokens, True) > decisions.engine_class(
        60_000, False
    )
    assert decisions.engine_class(tokens, True) <= 9
    assert decisions.engine_class(500, True) <= decisions.engine_class(
        tokens + 500, True
    )


#: Tokens that the engine reads in a second.
RATE = 60_000
PLAYED_S = 60.0
BURST_S = 2.8


@dataclasses.dataclass(slots=True)
class Kind:
    """Requests of one kind, and how many of them were on time."""

    urgency: decisions.Urgency
    tokens: int
    #: Part of the engine that they take on average.
    load: float
    on_time: int = 0
    asked: int = 0

    @property
    def share(self) -> float:
        return self.on_time / self.asked


def play(
    yields: bool, factor: float, alternating: bool, seed: int
) -> dict[str, Kind]:
    """Return what became of questions and labels at one engine.

    ``factor`` is the load of a burst over the usual one.
    """
    rng = random.Random(seed)
    kinds = {
        "question": Kind(QUESTION, 800, 0.26),
        "label": Kind(LABEL, 2_000, 0.26),
    }
    arrivals: list[tuple[float, str]] = []
    for number, (name, kind) in enumerate(kinds.items()):
        now = 0.0
        while now < PLAYED_S:
            turn = int(now / BURST_S) % 2
            bursts = turn == (number if alternating else 0)
            rate = kind.load * RATE / kind.tokens
            now += rng.expovariate(rate * (factor if bursts else 1.0))
            arrivals.append((now, name))
    waiting: list[tuple[int, float, str]] = []
    free_at = 0.0
    for at, name in [*sorted(arrivals), (PLAYED_S * 2, "")]:
        while waiting and free_at < at:
            _, asked_at, first = heapq.heappop(waiting)
            kind = kinds[first]
            free_at = max(free_at, asked_at) + kind.tokens / RATE
            kind.asked += 1
            kind.on_time += free_at - asked_at <= kind.urgency.objective_s
        if not name:
            break
        kind = kinds[name]
        others = [k.urgency for k in kinds.values()]
        may_wait = yields and bool(decisions.yielding_s(kind.urgency, others))
        order = decisions.engine_class(kind.tokens, may_wait) if yields else 0
        heapq.heappush(waiting, (order, at, name))
    return kinds


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("alternating", [False, True])
@pytest.mark.parametrize("factor", [1.5, 2.5])
def test_questions_are_on_time_and_labels_use_what_is_left(
    factor: float, alternating: bool, seed: int
) -> None:
    before = play(False, factor, alternating, seed)
    now = play(True, factor, alternating, seed)
    assert now["question"].share > 0.98
    assert now["question"].share >= before["question"].share
    # Half of the time there is room for all; labels wait for it.
    assert now["label"].share >= before["label"].share - 0.12
    assert now["label"].share > 0.5
