"""When refused callers are asked to come back."""

import random

from agatewing.gateway import _refusals


def test_callers_come_back_soon_to_a_process_that_starts() -> None:
    refusal = _refusals.not_ready(False, random.Random(1))
    assert refusal.status == 503
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s < 0.3


def test_callers_spread_their_return_while_the_log_is_away() -> None:
    rng = random.Random(1)
    times = [
        _refusals.not_ready(True, rng).retry_after_s or 0.0 for _ in range(50)
    ]
    assert min(times) >= _refusals.LOG_AWAY_RETRY_S
    assert max(times) - min(times) > 0.5
