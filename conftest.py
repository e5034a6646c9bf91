"""Hypothesis is derandomised, but for ``make fuzz SEED=n``."""

import os
import random

import hypothesis

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
    """Draw the examples of ``make fuzz`` from its seed."""
    if SEED:
        random.seed(int(SEED))
        from hypothesis import core

        core.global_force_seed = int(SEED)
