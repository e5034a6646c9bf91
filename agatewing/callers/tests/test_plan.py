"""Shares of a process, and which connection gives way."""

import pytest

from agatewing import callers

Held = callers.Held
LARGEST_BODY = 4_194_304


@pytest.mark.parametrize(
    ("process_mb", "descriptors"), [(160, 1_638), (300, 4_100), (552, 10_250)]
)
def test_a_plan_stays_within_its_machine(
    process_mb: int, descriptors: int
) -> None:
    plan = callers.plan_memory(process_mb, descriptors)
    held = plan.body_bytes + plan.small_bytes + plan.answer_bytes
    held += plan.event_bytes
    # The process itself, and what connections take.
    others = 64_000_000 + 85_000 * plan.connections
    assert held + LARGEST_BODY + others < process_mb * 1_000_000
    assert plan.body_bytes > 2 * LARGEST_BODY
    assert plan.connections + plan.peer_connections < descriptors - 200


CHOICES = {
    "none": ([], None),
    "the longest idle": (
        [("new", False, False, 5.0), ("old", False, False, 2.0)],
        "old",
    ),
    "idle before sending": (
        [("sends", False, True, 1.0), ("idle", False, False, 5.0)],
        "idle",
    ),
    "the longest sending": (
        [("new", False, True, 5.0), ("old", False, True, 2.0)],
        "old",
    ),
    "no whole request": ([("whole", True, True, 1.0)], None),
}


@pytest.mark.parametrize("name", CHOICES)
def test_which_connection_gives_way(name: str) -> None:
    held, victim = CHOICES[name]
    assert callers.choose_victim(Held(*fields) for fields in held) == victim
