"""Hybrid clock, event filters, renderings and the bounded buffer."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import _clock
from agatewing import timeline


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.floats(0, 0.01),
        ),
        max_size=40,
    )
)
def test_fuzz_stamps_respect_cause_and_effect(
    steps: list[tuple[int, int, float]],
) -> None:
    """A receipt is stamped later than its sending despite clock skew."""
    clocks = [_clock.ManualClock(0.0, 1e6 + n * 5.0) for n in range(3)]
    hybrid = [timeline.HybridClock(clock) for clock in clocks]
    last = [timeline.Stamp(0, 0)] * 3
    for sender, receiver, seconds in steps:
        clocks[sender]._now += seconds
        sent = hybrid[sender].now()
        assert sent > last[sender]
        last[sender] = sent
        hybrid[receiver].receive(sent)
        received = hybrid[receiver].now()
        assert received > sent and received > last[receiver]
        last[receiver] = received


def test_a_stamp_from_the_far_future_is_ignored() -> None:
    clock = timeline.HybridClock(_clock.ManualClock(0.0, 1e6))
    clock.receive(timeline.Stamp(10**15, 0))
    assert clock.now().wall_ms < 10**10


def _timelines_of_two_processes() -> list[list[timeline.Event]]:
    wall = _clock.ManualClock(0.0, 1e6)
    timelines = []
    for name in ("a/1", "b/1"):
        recorder = timeline.EventRecorder(timeline.HybridClock(wall), name)
        recorder.add(timeline.EventKind.CONFIG_APPLIED, version=2)
        recorder.add(
            timeline.EventKind.REQUEST_ROUTED, request="r1", target="e1"
        )
        recorder.add(timeline.EventKind.LEASE_GRANTED, lease="pool/x")
        recorder.add(timeline.EventKind.INVARIANT_BROKEN, detail="<b>&")
        timelines.append(recorder.events())
    return timelines


@pytest.mark.parametrize(
    ("wanted", "count"),
    [
        (timeline.EventFilter(), 8),
        (timeline.EventFilter(request="r1"), 2),
        (timeline.EventFilter(target="e1"), 2),
        (timeline.EventFilter(lease="pool/x"), 2),
        (timeline.EventFilter(version=2), 2),
        (timeline.EventFilter(request="r1", lease="pool/x"), 0),
    ],
)
def test_filters(wanted: timeline.EventFilter, count: int) -> None:
    merged = timeline.merge(_timelines_of_two_processes(), wanted)
    assert len(merged) == count
    assert merged == sorted(merged, key=lambda e: (e.stamp, e.process))


def test_renderings() -> None:
    merged = timeline.merge(
        _timelines_of_two_processes(), timeline.EventFilter()
    )
    assert len(timeline.render_text(merged).splitlines()) == 8
    rows = timeline.render_json_lines(merged).splitlines()
    assert json.loads(rows[0])["kind"] == "config-applied"
    page = timeline.render_html(merged)
    assert "&lt;b&gt;&amp;" in page and "<b>&" not in page
    assert page.count('class="bad"') == 2


def test_the_number_of_events_is_bounded() -> None:
    recorder = timeline.EventRecorder(
        timeline.HybridClock(_clock.SystemClock()), "a/1"
    )
    for number in range(9_000):
        recorder.add(timeline.EventKind.AUDIT, detail=str(number))
    assert len(recorder.events()) == 8_192
    assert recorder.recorded == 9_000
