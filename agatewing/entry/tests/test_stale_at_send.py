"""Streams whose instance may not send when they are to leave."""

import collections.abc

import pytest

from agatewing.entry import _gate
from agatewing.entry import _relay
from agatewing.entry.tests import test_silent_targets
from agatewing import fleet

#: Requests; more than an instance may retry in a row.
REQUESTS = 16


@pytest.fixture
def deployment(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[test_silent_targets.Deployment]:
    monkeypatch.setattr(test_silent_targets, "HEAD_S", 0.0)
    started = test_silent_targets.Deployment(3, instances_=1)
    yield started
    started.close()


def make_stale(monkeypatch: pytest.MonkeyPatch, lasting: bool) -> None:
    """Let the standing be too old once a request is about to be sent.

    As after the process was suspended; unless that lasts, the next step of
    the watch sets it anew.
    """
    may_start_on = _relay.Relay._may_start_on
    begun: set[str] = set()

    def stale_first(relay: _relay.Relay, target: fleet.EngineTarget) -> bool:
        if relay._call.id not in begun:
            begun.add(relay._call.id)
            relay._deps.gate._standing_set_at = float("-inf")
            if lasting:
                monkeypatch.setattr(
                    _gate.Gate, "set_standing", lambda *_: None
                )
        return may_start_on(relay, target)

    monkeypatch.setattr(_relay.Relay, "_may_start_on", stale_first)


# Each engine was taken for failed in turn, and the retries were used up.
def test_a_stream_waits_until_it_may_be_sent(
    deployment: test_silent_targets.Deployment,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    make_stale(monkeypatch, lasting=False)
    wrong = [
        deployment.ask("stream", number, f"sound-{number}")
        for number in range(REQUESTS)
    ]
    assert wrong == [""] * REQUESTS


def test_a_stream_that_may_not_be_sent_is_refused_for_that(
    deployment: test_silent_targets.Deployment,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    make_stale(monkeypatch, lasting=True)
    wrong = deployment.ask("stream", 0)
    assert "stale-configuration" in wrong
    assert '"outcome":"not-run"' in wrong
    [instance] = deployment.instances
    assert instance.retry_budget.refused == 0
    assert [e.failures for e in instance.fleet.engines()] == [0] * 3
