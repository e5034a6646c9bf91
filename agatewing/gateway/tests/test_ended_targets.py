"""Targets whose process ends while connections to them show nothing.

The pattern: a machine loses power, or a path drops resets, so requests under
way wait for answers that never come; one of them may run once at most.
"""

import collections.abc

import gevent
import pytest

from agatewing import _clock
from agatewing.gateway import _ended_targets
from agatewing.gateway import _sender
from agatewing.platform import standins

KEY = 7


class FakeChannel:
    """A connection, silent since some time."""

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self.heard_at = clock.monotonic()
        self.closed = False
        self.unread = False

    @property
    def silent_s(self) -> float:
        return self._clock.monotonic() - self.heard_at

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize(
    ("heard", "confirmed", "ended"),
    [
        (False, True, True),
        # A target that only had no room for one more connection.
        (True, True, False),
        # It refused a connection, and takes one now.
        (False, False, False),
    ],
)
def test_only_a_silent_target_has_ended(
    heard: bool, confirmed: bool, ended: bool
) -> None:
    clock = _clock.SystemClock()
    targets = _ended_targets.EndedTargets(clock)
    waiting, answered, other = (FakeChannel(clock) for _ in range(3))
    targets.add(KEY, waiting)
    targets.add(KEY, answered)
    targets.discard(KEY, answered)
    targets.add(KEY + 1, other)
    gevent.sleep(0.05)
    targets.record_end(KEY, "a test", lambda: confirmed)
    gevent.sleep(_ended_targets.QUIET_S / 2)
    if heard:
        waiting.heard_at = clock.monotonic()
    gevent.sleep(_ended_targets.QUIET_S)
    assert waiting.closed is ended
    assert not answered.closed and not other.closed
    assert targets.ended == ended


def test_an_answer_that_waits_to_be_read_is_no_silence() -> None:
    clock = _clock.SystemClock()
    targets = _ended_targets.EndedTargets(clock)
    channel = FakeChannel(clock)
    channel.unread = True
    targets.add(KEY, channel)
    targets.record_end(KEY, "a test")
    gevent.sleep(2 * _ended_targets.QUIET_S)
    assert not channel.closed


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/pay/", "unsafe", "ledger", timeout_ms=5_000)
        made.route("/chat/", "streaming", timeout_ms=5_000, resumable=False)
        made.add_target("t1", "ledger", None, born=1_000)
        made.publish()
        yield made


def replace(site: standins.Site) -> None:
    site.announce("t1", "ledger", None, born=2_000)


def expire(site: standins.Site) -> None:
    site.targets["t1"].stop()
    site.withdraw("t1")


def crash_known_to_a_peer(site: standins.Site) -> None:
    [instance] = site.instances
    key = instance.registry.by_id["t1"].target.key
    instance.quarantine.on_crashed(key)


@pytest.mark.parametrize("end", [replace, expire, crash_known_to_a_peer])
def test_an_unsafe_request_is_answered_once_its_target_has_ended(
    site: standins.Site, end: collections.abc.Callable[[standins.Site], None]
) -> None:
    site.targets["t1"].script.append(standins.Behaviour.HANG)
    instance = site.start()
    site.wait(lambda: instance.lifecycle.ready)
    asked_at = instance.clock.monotonic()
    asking = gevent.spawn(site.ask, instance, "/pay/1")
    site.wait(lambda: site.targets["t1"].runs)
    end(site)
    reply = asking.get()
    # It may have run, so nothing may say that it has not.
    assert reply.status == 502
    # A removed entry counts once the log had two seconds to bring it back.
    assert instance.clock.monotonic() - asked_at < 3.5


def test_a_target_without_an_entry_that_lives_on_may_answer(
    site: standins.Site,
) -> None:
    site.targets["t1"].script.append(standins.Behaviour.HALVES)
    site.targets["t1"].half_pause_s = 1.0
    instance = site.start()
    site.wait(lambda: instance.lifecycle.ready)
    asking = gevent.spawn(site.ask, instance, "/pay/1")
    site.wait(lambda: site.targets["t1"].runs)
    site.withdraw("t1")
    assert asking.get().status == 200


def test_a_connection_that_is_not_answered_proves_nothing(
    site: standins.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The path may be lost, or the target's queue of connections full."""
    monkeypatch.setattr(_sender, "_accepts_connections", lambda *_: None)
    site.targets["t1"].script.append(standins.Behaviour.HALVES)
    site.targets["t1"].half_pause_s = 4.0
    instance = site.start()
    site.wait(lambda: instance.lifecycle.ready)
    asking = gevent.spawn(site.ask, instance, "/pay/1")
    site.wait(lambda: site.targets["t1"].runs)
    site.withdraw("t1")
    assert asking.get().status == 200
