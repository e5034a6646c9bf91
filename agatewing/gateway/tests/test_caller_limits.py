"""Idle limits beside a change of the configuration."""

import pytest

from agatewing import _clock
from agatewing import gateway
from agatewing.gateway import _caller_limits

KEEP_S = _caller_limits.FORMER_LIMIT_KEEP_S
CHANGES = {
    "first configuration": ([(0.0, 3.0)], 3.0),
    "raised": ([(0.0, 3.0), (1.0, 9.0)], 9.0),
    "lowered just now": ([(0.0, 9.0), (1.0, 3.0)], 9.0),
    "lowered long ago": ([(0.0, 9.0), (1.0, 3.0), (KEEP_S, 3.0)], 3.0),
    "lowered twice": ([(0.0, 9.0), (1.0, 5.0), (KEEP_S, 3.0)], 5.0),
    "lowered, then raised": ([(0.0, 9.0), (1.0, 3.0), (1.0, 4.0)], 9.0),
}


@pytest.mark.parametrize("name", CHANGES)
def test_the_longest_idle_limit_of_late_holds(name: str) -> None:
    changes, expected_s = CHANGES[name]
    clock = _clock.ManualClock()
    limits = _caller_limits.CallerLimitsInForce(clock)
    for after_s, idle_s in changes:
        clock.advance(after_s)
        limits.apply(gateway.CallerLimits(idle_timeout_s=idle_s))
    assert limits.present.idle_timeout_s == changes[-1][1]
    assert limits.idle_timeout_s == expected_s


def test_defaults_hold_before_the_first_configuration() -> None:
    limits = _caller_limits.CallerLimitsInForce(_clock.ManualClock())
    assert limits.present == gateway.CallerLimits()
    assert limits.idle_timeout_s == gateway.CallerLimits().idle_timeout_s
