"""Tests of which idle connection carries a request."""

import pytest

from agatewing import decisions

ONCE = decisions.Reuse.ONCE
AGAIN = decisions.Reuse.AGAIN


@pytest.mark.parametrize(
    ("reuse", "announced_s", "trusted", "limit_s"),
    [
        (ONCE, 10.0, True, 8.0),
        (AGAIN, 10.0, True, 9.5),
        (ONCE, 10.0, False, 0.5),
        (AGAIN, 10.0, False, 5.0),
        # Without a clear margin, the bound for unannounced times holds.
        (ONCE, 2.0, True, 0.5),
        (AGAIN, 1.0, True, 0.5),
        (ONCE, None, True, 0.5),
        (AGAIN, None, True, 10.0),
        (decisions.Reuse.NEVER, 10.0, True, -1.0),
    ],
)
def test_announced_times_are_used_up_to_a_margin(
    reuse: decisions.Reuse,
    announced_s: float | None,
    trusted: bool,
    limit_s: float,
) -> None:
    """At few requests a target, half of the time opens each anew."""
    assert decisions.idle_limit_s(reuse, announced_s, trusted) == limit_s


def test_requests_that_may_run_again_leave_recent_connections() -> None:
    """A request that must not run twice could not use the older ones."""
    idle = [decisions.IdleConnection(s, 10.0) for s in (9.0, 4.0, 0.1, 9.8)]
    assert decisions.idle_candidates(idle, AGAIN) == [0, 1, 2]
    assert decisions.idle_candidates(idle, ONCE) == [2, 1]
    assert not decisions.idle_candidates(idle, decisions.Reuse.NEVER)


@pytest.mark.parametrize(
    ("idle_s", "announced_s", "trusted"),
    [(3.0, 10.0, False), (10.1, 10.0, True), (3.0, None, True)],
)
def test_a_target_that_closes_early_is_not_taken_at_its_word(
    idle_s: float, announced_s: float | None, trusted: bool
) -> None:
    """A request sent as the target closes may have run or not."""
    times = decisions.AnnouncedTimes()
    times.record_closed(
        decisions.IdleConnection(idle_s, announced_s), now=100.0
    )
    assert times.trusted(101.0) is trusted
    assert times.trusted(131.0)
