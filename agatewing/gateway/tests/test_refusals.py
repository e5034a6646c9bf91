"""Retry-After times of refusals."""

import random

from agatewing.gateway import _refusals


def test_callers_retry_soon_while_an_instance_starts() -> None:
    refusal = _refusals.not_ready(False, random.Random(1))
    assert refusal.status == 503
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s < 0.3


def test_retry_times_are_jittered_while_the_log_is_unavailable() -> None:
    rng = random.Random(1)
    times = [
        _refusals.not_ready(True, rng).retry_after_s or 0.0 for _ in range(50)
    ]
    assert min(times) >= _refusals.LOG_UNAVAILABLE_RETRY_S
    assert max(times) - min(times) > 0.5
