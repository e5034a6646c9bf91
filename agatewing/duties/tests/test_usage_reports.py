"""One report for each window, whatever fails between count and answer."""

import msgspec
import pytest

from agatewing import duties
from agatewing.duties.tests import _fakes

ZONES = {
    "a1": "a",
    "a2": "a",
    "a3": "a",
    "a4": "a",
    "b1": "b",
    "b2": "b",
    "b3": "b",
}


@pytest.fixture
def fleet() -> _fakes.Fleet:
    """A fleet at the begin of a window, with a holder."""
    fleet = _fakes.Fleet(ZONES)
    _count(fleet)
    fleet.advance(8.0)
    assert len(fleet.port.sent) == 1
    fleet.advance(2.0)
    return fleet


def _count(fleet: _fakes.Fleet, account: str = "x") -> None:
    """Count one request at each instance."""
    for instance in fleet.instances.values():
        instance.reports.begin(account)


def _holder(fleet: _fakes.Fleet) -> _fakes.Instance:
    (holder,) = (i for i in fleet.instances.values() if i.reports.holds)
    return holder


def _lateness(fleet: _fakes.Fleet, window: int) -> float:
    """Return when a window was reported, in seconds after its end."""
    first = min(s.at for s in fleet.port.sent if s.window == window)
    begin = fleet.clock.monotonic() - (
        fleet.clock.wall() - (window + 1) * _fakes.WINDOW_S
    )
    return first - begin


def test_each_window_is_reported_once_with_all_counts(
    fleet: _fakes.Fleet,
) -> None:
    first = min(fleet.reported())
    for account in "xyz":
        _count(fleet, account)
        fleet.advance(_fakes.WINDOW_S)
    fleet.advance(8.0)
    reported = fleet.reported()
    assert len(fleet.port.sent) == len(reported)
    # The window after the first one had no requests.
    assert [reported[w] for w in sorted(reported)][:5] == [
        {"x": 7},
        {},
        {"x": 7},
        {"y": 7},
        {"z": 7},
    ]
    assert min(reported) == first
    assert {s.holder for s in fleet.port.sent} == {fleet.port.sent[0].holder}
    assert all(_lateness(fleet, w) <= 2.5 for w in reported)


def test_the_record_holds_only_what_may_not_be_accepted(
    fleet: _fakes.Fleet,
) -> None:
    for _ in range(4):
        _count(fleet)
        fleet.advance(_fakes.WINDOW_S)
    record = msgspec.json.decode(
        fleet.log.records[-1], type=duties.ClaimRecord
    )
    assert record.usage is not None
    assert len(record.usage.open) == 1


def test_nothing_is_claimed_before_any_request_began() -> None:
    fleet = _fakes.Fleet(ZONES)
    fleet.advance(12.0)
    assert not fleet.log.records
    assert not fleet.port.sent


def _kill(fleet: _fakes.Fleet) -> None:
    fleet.kill(_holder(fleet).name)


def _freeze(fleet: _fakes.Fleet) -> None:
    _holder(fleet).acts = False


def _cut(fleet: _fakes.Fleet) -> None:
    fleet.cut.add(_holder(fleet).name)


LOSSES = {"killed": _kill, "frozen": _freeze, "cut off": _cut}


@pytest.mark.parametrize("after_s", (0.5, 3.0, 6.5, 7.5))
@pytest.mark.parametrize("loss", LOSSES)
def test_another_one_reports_in_time_if_the_holder_is_lost(
    fleet: _fakes.Fleet, loss: str, after_s: float
) -> None:
    _count(fleet)
    window = fleet.window()
    fleet.advance(after_s)
    LOSSES[loss](fleet)
    fleet.advance(25.0)
    reported = fleet.reported()
    assert set(range(window, window + 3)) <= set(reported)
    assert sum(reported[window].values()) == 7
    for number in range(window, window + 3):
        assert _lateness(fleet, number) <= _fakes.LATE_S
    for instance in fleet.instances.values():
        instance.acts = True
    fleet.cut.clear()
    fleet.advance(15.0)
    _check_holders(fleet)


def test_half_of_the_zones_may_be_lost_for_good(
    fleet: _fakes.Fleet,
) -> None:
    """Their entries stay; the others report within the time that is due."""
    for name in [n for n in fleet.instances if n.startswith("b")]:
        fleet.kill(name)
    _count(fleet)
    window = fleet.window()
    fleet.advance(40.0)
    due = range(window, fleet.window() - 2)
    assert set(due) <= set(fleet.reported())
    assert all(_lateness(fleet, w) <= _fakes.LATE_S for w in due)


def test_a_window_that_is_refused_keeps_no_later_one(
    fleet: _fakes.Fleet,
) -> None:
    refused = fleet.window()
    fleet.port.refused.add(refused)
    fleet.advance(30.0)
    due = set(range(refused + 1, fleet.window() - 2))
    assert due <= set(fleet.reported())
    assert all(_lateness(fleet, w) <= _fakes.LATE_S for w in due)


def _check_holders(fleet: _fakes.Fleet) -> None:
    """Tokens rise; calls of two holders are at least the gap apart."""
    for before, after in zip(
        fleet.port.sent, fleet.port.sent[1:], strict=False
    ):
        if before.holder == after.holder:
            assert after.token >= before.token
        else:
            assert after.token > before.token
            assert after.at - before.at >= _fakes.GAP_S
    fleet.reported()


#: Faults of the address, by its answer and whether it takes calls, and of the
#: log, by the field that is set.
ADDRESS_FAULTS: dict[str, tuple[duties.CallResult, bool]] = {
    "answers of the address are lost": (duties.NoAnswer("lost"), True),
    "the address is away": (duties.NoAnswer("away"), False),
    "the address is busy": (duties.Busy(), False),
    "the address refuses": (duties.Refused("status 409"), False),
}
LOG_FAULTS = {
    "the log is down": "down",
    "answers of the log are lost": "lose_answer",
    "writes to the log are late": "late",
}


def _break(fleet: _fakes.Fleet, fault: str) -> None:
    if fault in LOG_FAULTS:
        setattr(fleet.log, LOG_FAULTS[fault], True)
    else:
        fleet.port.answer, fleet.port.takes = ADDRESS_FAULTS[fault]


@pytest.mark.parametrize("fault", [*ADDRESS_FAULTS, *LOG_FAULTS])
def test_a_fault_that_ends_in_time_delays_a_report_only(
    fleet: _fakes.Fleet, fault: str
) -> None:
    _count(fleet)
    window = fleet.window()
    fleet.advance(6.0)
    _break(fleet, fault)
    # Counts that come meanwhile must not change what is decided.
    fleet.advance(2.0)
    for instance in fleet.instances.values():
        instance.counts.begin("late", window)
    fleet.advance(3.0)
    fleet.log.apply_delayed()
    fleet.log.down = fleet.log.lose_answer = fleet.log.late = False
    fleet.port.answer = duties.Accepted()
    fleet.advance(12.0)
    assert window in fleet.reported()
    assert _lateness(fleet, window) <= _fakes.LATE_S
    assert fleet.reported()[window]["x"] == 7


def test_windows_that_ended_while_nobody_could_report_are_reported(
    fleet: _fakes.Fleet,
) -> None:
    fleet.log.down = True
    windows = []
    for _ in range(4):
        _count(fleet)
        windows.append(fleet.window())
        fleet.advance(_fakes.WINDOW_S)
    fleet.log.down = False
    fleet.advance(10.0)
    reported = fleet.reported()
    assert [reported.get(w) for w in windows] == [{"x": 7}] * 4


def test_a_third_lost_at_once_loses_little(fleet: _fakes.Fleet) -> None:
    window = fleet.window()
    for _ in range(16):
        _count(fleet)
        fleet.advance(0.25)
    # Of the last quarter of a second nothing is told.
    _count(fleet)
    for name in ("a1", "b1"):
        fleet.kill(name)
    fleet.advance(12.0)
    counted = fleet.reported()[window]["x"]
    assert 0.95 * 17 * 7 <= counted <= 17 * 7


def test_a_holder_without_peers_leaves_the_report_to_others(
    fleet: _fakes.Fleet,
) -> None:
    _count(fleet)
    window = fleet.window()
    fleet.advance(1.0)
    cut = _holder(fleet)
    fleet.cut.add(cut.name)
    fleet.advance(15.0)
    assert fleet.reported()[window] == {"x": 7}
    assert all(s.holder != cut.name for s in fleet.port.sent[1:])


def test_a_window_that_nobody_saw_whole_is_not_reported(
    fleet: _fakes.Fleet,
) -> None:
    _count(fleet)
    window = fleet.window()
    fleet.advance(2.0)
    for name in ZONES:
        fleet.start(name)
    _count(fleet)
    fleet.advance(_fakes.WINDOW_S)
    _count(fleet)
    fleet.advance(15.0)
    reported = fleet.reported()
    assert window not in reported
    assert reported[window + 1] == {"x": 7}


def test_what_a_restored_log_has_lost_is_not_decided_again(
    fleet: _fakes.Fleet,
) -> None:
    fleet.log.era = 1
    _count(fleet)
    fleet.advance(8.0)
    before = set(fleet.reported())
    for instance in fleet.instances.values():
        instance.counts.begin("late", max(before))
    fleet.log.restore(lost=1)
    fleet.advance(25.0)
    assert max(fleet.reported()) > max(before) + 1
