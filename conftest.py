"""Hypothesis profiles, and expected failures from KNOWN-RED.txt.

The default profile derandomises hypothesis; ``make fuzz SEED=n`` explores
more examples, drawn from its seed.
"""

import os
import pathlib
import random

import hypothesis
import pytest

SEED = os.environ.get("FUZZ_SEED", "")

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "explore",
    deadline=None,
    database=None,
    max_examples=300,
    stateful_step_count=60,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("explore" if SEED else "ci")


def pytest_configure() -> None:
    """Seed hypothesis and ``random`` with the seed of ``make fuzz``."""
    if SEED:
        random.seed(int(SEED))
        from hypothesis import core

        core.global_force_seed = int(SEED)


def _known_failures() -> dict[str, str]:
    """Return the reason of each failing test in KNOWN-RED.txt, by test."""
    path = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    known, current = {}, ""
    for line in path.read_text().splitlines():
        field, _, value = line.partition(": ")
        if field == "test":
            current = value.strip()
            known[current] = ""
        elif field == "seen" and current:
            known[current] = value.strip()
    return known


def pytest_report_header() -> list[str]:
    """Return the known failures as lines of the report header."""
    return [
        f"known red: {test}: {seen}"
        for test, seen in _known_failures().items()
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known failures as strict xfail: one that passes is an error."""
    known = _known_failures()
    for item in items:
        seen = known.get(item.nodeid)
        if seen is not None:
            item.add_marker(pytest.mark.xfail(reason=seen, strict=True))
