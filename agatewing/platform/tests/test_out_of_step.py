"""Instances that are out of step while a new software version joins."""

import dataclasses

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins
from agatewing.platform.tests import test_stream_versions as _versions
from agatewing import wire

#: Fixture: a site with a route of streams that may be resumed.
site = _versions.site


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    #: Instances beside i1 that hear nothing of the log and of i1 while the
    #: version joins. The stream is taken up at the first of them.
    out_of_step: tuple[str, ...]
    #: Whether the log, and i1, are reached again when it is taken up.
    log_back: bool
    peers_back: bool
    #: Whether the stream goes on.
    goes_on: bool
    #: Whether the new engine has left when the log is read again.
    leaves: bool = False
    #: Whether the log has forgotten what it held meanwhile.
    forgotten: bool = False


CASES = {
    "cut off from all": Case(("i2",), False, False, False),
    "cut off from the log": Case(("i2",), False, True, True),
    "it stood still": Case(("i2",), True, True, True),
    "cut off from the others": Case(("i2",), True, False, False),
    "the new version has left again": Case(
        ("i2",), True, False, False, leaves=True
    ),
    "the log has forgotten that it was there": Case(
        ("i2",), True, False, False, leaves=True, forgotten=True
    ),
    "two that reach each other": Case(("i2", "i3"), False, False, False),
}


def cut(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    site.logs[name].disconnected = True
    _, receiving, _ = instance.load_reports._loops
    gevent.kill(receiving)


def pass_time(
    site: standins.Site, *instances: gateway.GatewayInstance
) -> None:
    """Let the instances have seen all versions of recent streams."""
    site.clock.advance(40.0)
    for instance in instances:
        site.wait(lambda: instance.catalog.age_s() < 1.0)


def forget(site: standins.Site) -> None:
    """Have the log forget, a while later, all but the newest values."""
    site.clock.advance(3.0)
    site.store.forget_history()


def take_up_again(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    stream: str,
    replies: list[standins.Reply],
) -> bool:
    """Take a stream up until it is not refused."""
    if replies[-1].status == 503:
        replies.append(_versions.take_up(site, instance, stream))
    return replies[-1].status != 503


# A stream that had begun at a new version was taken up at an instance that
# still knew one version only, from a view some seconds old, and went on there.
@pytest.mark.parametrize("name", CASES)
def test_a_stream_of_a_new_version_goes_on_there_or_not_at_all(
    site: standins.Site, name: str
) -> None:
    case = CASES[name]
    site.add_target("e0", version="v1")
    names = ("i1", *case.out_of_step)
    made = {n: _versions.start_ready(site, n) for n in names}
    for instance in made.values():
        site.wait(lambda: len(instance.peers.known) == len(names) - 1)
    pass_time(site, *made.values())
    for late in case.out_of_step:
        cut(site, made[late], late)
    site.add_target("e1", version="v2")
    site.wait(lambda: len(made["i1"].catalog.targets) == 2)
    _versions.begin_and_break(site, made["i1"])
    if case.leaves:
        site.announce("e1", version="v2", state="draining", seq=2)
        site.withdraw("e1")
    if case.forgotten:
        forget(site)
    second = made[case.out_of_step[0]]
    if not case.peers_back:
        second.peers.known.pop("i1")
    site.logs[case.out_of_step[0]].disconnected = not case.log_back
    if case.leaves:
        site.wait(lambda: second.catalog.through >= 4)
    replies = [_versions.take_up(site, second, "s1")]
    if case.goes_on:
        # At first, the instance may not know the new engine.
        site.wait(lambda: take_up_again(site, second, "s1", replies))
        assert replies[-1].complete
        assert replies[-1].body == _versions.EVENTS[2]
    assert "e0" not in _versions.engines_of(site, "s2")
    for reply in replies[:-1] if case.goes_on else replies:
        assert reply.status == 503
        assert reply.body.startswith(b"stream-lost")


# After a time that an instance did not see, it refused streams for half a
# minute, though the log tells which versions there were.
def test_streams_go_on_after_a_time_without_sight_if_no_version_joined(
    site: standins.Site,
) -> None:
    site.add_target("e0", version="v1")
    first, second = _versions.start_pair(site)
    pass_time(site, first, second)
    # The versions are in the log.
    site.wait(lambda: site.store.topic("keyed.versions").newest)
    cut(site, second, "i2")
    site.wait(lambda: second.catalog.read_failed)
    second.peers.known.pop("i1")
    site.withdraw("e0")
    site.announce("e0", version="v1", seq=2)
    forget(site)
    site.logs["i2"].disconnected = False
    site.wait(lambda: not second.catalog.log_unavailable)
    replies = [_versions.take_up(site, second, "unknown")]
    site.wait(lambda: take_up_again(site, second, "unknown", replies))
    assert replies[-1].body == _versions.EVENTS[2]


#: Replies about an unknown stream, by what a release says of its view.
REPLIES = {
    "a view of some seconds ago": b'"current":true,"complete":true',
    "a view that is not current": b'"current":false,"complete":true',
    "less": b'"current":true',
    "confirmed": b'"current":true,"complete":true,"confirmed":true',
}


# Peers of the release before this one say that their view is current when it
# is some seconds old: what they do not say must not be believed.
@pytest.mark.parametrize("name", REPLIES)
def test_a_reply_that_does_not_say_that_it_was_confirmed_proves_nothing(
    site: standins.Site, name: str
) -> None:
    site.add_target("e0", version="v1")
    first, second = _versions.start_pair(site)
    pass_time(site, first, second)
    raw = b'{"versions":["v1"],%s}' % REPLIES[name]
    first.peers.replies["gateway-stream-origins"] = lambda key: (
        wire.StateReply(known=False, through=0, state=raw)
    )
    site.logs["i2"].disconnected = True
    site.wait(lambda: second.catalog.read_failed)
    reply = _versions.take_up(site, second, "unknown")
    expected = 200 if name == "confirmed" else 503
    assert reply.status == expected
