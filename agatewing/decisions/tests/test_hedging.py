"""The next step for the paths of one request."""

import pytest

from agatewing import decisions

State = decisions.PathState
NEVER = float("inf")
NOW = 10.0


def view(
    state: decisions.PathState, silent_at: float = NEVER
) -> decisions.PathView:
    return decisions.PathView(state, silent_at)


FIRST_SILENT = view(State.RUNNING, NOW - 1)
SECOND_SILENT = view(State.RUNNING, NOW - 0.1)
EXPECTED = view(State.RUNNING, NOW + 0.4)
CHOOSING = view(State.RUNNING)
DELIVERED = view(State.DELIVERED)
FAILED = view(State.FAILED)
FINAL = view(State.FINAL)

STEPS = {
    "an answer is expected": ([EXPECTED], 0.0, decisions.Wait(NOW + 0.4)),
    "an engine is being chosen": ([CHOOSING], 0.0, decisions.Wait(NEVER)),
    "it is silent": ([FIRST_SILENT], 0.0, decisions.Hedge()),
    "it has just become silent": (
        [view(State.RUNNING, NOW)],
        0.0,
        decisions.Hedge(),
    ),
    "a hedge was tried just now": (
        [FIRST_SILENT],
        NOW + 0.5,
        decisions.Wait(NOW + 0.5),
    ),
    "another one is under way": (
        [FIRST_SILENT, EXPECTED],
        0.0,
        decisions.Wait(NOW + 0.4),
    ),
    "another one is being chosen": (
        [FIRST_SILENT, CHOOSING],
        0.0,
        decisions.Wait(NEVER),
    ),
    "both are silent": ([FIRST_SILENT, SECOND_SILENT], 0.0, decisions.Hedge()),
    "the first goes on": (
        [DELIVERED, EXPECTED],
        0.0,
        decisions.Take(0),
    ),
    "the other is faster": ([FIRST_SILENT, DELIVERED], 0.0, decisions.Take(1)),
    "both deliver at once": ([DELIVERED, DELIVERED], 0.0, decisions.Take(0)),
    "the other fails": ([FIRST_SILENT, FAILED], 0.0, decisions.Hedge()),
    "the other fails early": (
        [FIRST_SILENT, FAILED],
        NOW + 0.2,
        decisions.Wait(NOW + 0.2),
    ),
    "the first fails": (
        [FAILED, EXPECTED],
        0.0,
        decisions.Wait(NOW + 0.4),
    ),
    "the first fails, the other delivers": (
        [FAILED, DELIVERED],
        0.0,
        decisions.Take(1),
    ),
    "the last fails": ([FAILED, FAILED], 0.0, decisions.GiveUp()),
    "the only one fails": ([FAILED], 0.0, decisions.GiveUp()),
    "it must not be sent again": (
        [FIRST_SILENT, FINAL],
        0.0,
        decisions.GiveUp(),
    ),
    "delivered before the final failure": (
        [DELIVERED, FINAL],
        0.0,
        decisions.Take(0),
    ),
}


# A silent path was given up before another one had delivered.
@pytest.mark.parametrize("name", STEPS)
def test_a_path_is_kept_until_another_delivers(name: str) -> None:
    paths, hedge_from, step = STEPS[name]
    assert decisions.next_step(paths, NOW, hedge_from) == step
