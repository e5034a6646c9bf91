"""What the matrix of changes excuses."""

import dataclasses

import pytest

from agatewing.platform import standins
from agatewing.platform.tests import _change_matrix
from agatewing.platform.tests import _changes
from agatewing.platform.tests import _steady_callers

Kind = _steady_callers.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A request beside time limits that were lowered from 10.0 to 10.2 s."""

    kind: Kind
    sent_at: float
    taken_s: float
    status: int
    failed: bool


CASES = {
    "cut off by the lowered limit": Ended(
        Kind.ONCE_STREAM, 10.1, 0.4, 200, False
    ),
    "cut off while the lowered limit may be in force": Ended(
        Kind.ONCE_STREAM, 11.0, 0.4, 200, False
    ),
    "cut off before the lowered limit": Ended(
        Kind.ONCE_STREAM, 10.1, 0.2, 200, True
    ),
    "cut off though sent before the change": Ended(
        Kind.ONCE_STREAM, 9.5, 1.0, 200, True
    ),
    "cut off after the limit was raised again": Ended(
        Kind.ONCE_STREAM, 12.5, 0.5, 200, True
    ),
    "504 by the lowered limit": Ended(Kind.SAFE, 10.1, 0.4, 504, False),
    "504 though sent before the change": Ended(
        Kind.UNSAFE, 9.5, 1.0, 504, True
    ),
    "504 after the limit was raised again": Ended(
        Kind.SAFE, 12.5, 0.5, 504, True
    ),
}


# Requests that an earlier or later time limit ended counted as allowed.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_only_the_time_limit_in_force_ends_requests(case: Ended) -> None:
    play = _change_matrix.Play(
        _change_matrix.Combination(
            _changes.Change.TIMEOUTS_LOWER, _change_matrix.Series.REVERTED
        ),
        1,
    )
    play.note_limits(True, 10.0)
    play.note_limits(False, 10.2)
    sent = _steady_callers.Sent("a", case.kind, _steady_callers.Style.NEW)
    sent.turn_at = sent.sent_at = case.sent_at
    sent.whole = True
    sent.ended_at = case.sent_at + case.taken_s
    sent.reply = standins.Reply(case.status, {}, b"", case.status == 504)
    assert play.outcome(sent).failed is case.failed
