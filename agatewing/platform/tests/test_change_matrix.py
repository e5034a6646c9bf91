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


# A stream that reaches its time limit ends its connection, and with it what
# was sent behind it without awaiting its answer.
@pytest.mark.parametrize(
    ("taken_s", "complete", "ran", "failed"),
    [
        (0.4, False, False, False),
        (0.4, False, True, True),
        (0.2, False, False, True),
        (0.4, True, False, True),
    ],
    ids=["cut off at its limit", "and it ran", "cut off before", "answered"],
)
def test_what_was_sent_behind_a_stream_may_end_with_it_at_its_limit(
    taken_s: float, complete: bool, ran: bool, failed: bool
) -> None:
    play = _change_matrix.Play(
        _change_matrix.Combination(
            _changes.Change.TIMEOUTS_LOWER, _change_matrix.Series.REVERTED
        ),
        1,
    )
    play.note_limits(True, 10.0)
    first, second = (
        _steady_callers.Sent(
            name, Kind.ONCE_STREAM, _steady_callers.Style.PIPELINED
        )
        for name in "ab"
    )
    for sent in (first, second):
        sent.turn_at = sent.sent_at = 10.1
        sent.whole = True
        sent.ended_at = 10.1 + taken_s
    first.reply = standins.Reply(200, {}, b"", complete)
    second.reply = standins.Reply(0, {}, b"", False)
    second.behind = first
    with standins.Site() as site:
        play._site = site
        target = site.start_engine("e1", 1)
        if ran:
            target.runs.append(standins.Run("b", "", {}, b""))
        assert play.outcome(second).failed is failed
