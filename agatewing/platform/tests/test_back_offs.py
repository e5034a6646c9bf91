"""Targets that turn requests away and want none for a time."""

import collections.abc
import dataclasses
import logging
import time

import gevent
import pytest

from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _messages
from agatewing import platform
from agatewing.platform import standins
from agatewing.platform.tests import _every_route

Behaviour = standins.Behaviour
#: Back-off of most tests, in seconds.
BACK_OFF_S = 1.5
#: Time after a target's answer from which requests count, in seconds: those
#: under way at that moment still arrive.
RULE_FROM_S = 0.5
#: Queued tokens so that no prompt is read where it is decoded.
MANY_TOKENS = 4_000

#: Time that a plain target takes that is slow for its route, in seconds.
SLOW_S = 0.6


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        _every_route.publish(made)
        yield made


@dataclasses.dataclass(frozen=True, slots=True)
class ValueCase:
    raw: bytes | None
    back_off_s: float | None
    status: int = 503


VALUES = {
    "whole": ValueCase(b"2", 2.0),
    "fraction": ValueCase(b"0.25", 0.25),
    "spaces": ValueCase(b" 1.5 ", 1.5),
    "absent": ValueCase(None, None),
    "zero": ValueCase(b"0", None),
    "zero with fraction": ValueCase(b"0.00", None),
    "negative": ValueCase(b"-3", None),
    "empty": ValueCase(b"", None),
    "words": ValueCase(b"soon", None),
    "date": ValueCase(b"Fri, 31 Dec 1999 23:59:59 GMT", None),
    "two values": ValueCase(b"1, 2", None),
    "not a number": ValueCase(b"nan", None),
    "endless": ValueCase(b"inf", None),
    "underscore": ValueCase(b"1_0", None),
    "long": ValueCase(b"86400", 86_400.0),
    "too long for a float": ValueCase(b"9" * 400, float("inf")),
    "other status": ValueCase(b"2", None, 429),
    "success": ValueCase(b"2", None, 200),
}


@pytest.mark.parametrize("name", VALUES)
def test_values_of_retry_after(name: str) -> None:
    case = VALUES[name]
    fields = () if case.raw is None else ((b"Retry-After", case.raw),)
    head = gateway.AnswerHead(case.status, fields, _messages.Framing.LENGTH)
    notice = platform.connect("127.0.0.1:1").dialect.notice(head)
    assert notice.back_off_s == case.back_off_s


# A back-off without end would keep a target out until it starts again.
@pytest.mark.parametrize(
    ("retry_after", "longest_s"), [("86400", 300.0), ("9" * 400, 300.0)]
)
def test_a_back_off_has_a_longest_time(
    site: standins.Site, retry_after: str, longest_s: float
) -> None:
    (instance,) = _every_route.start_ready(site, "i1")
    for name in ("t1", "t2"):
        site.targets[name].retry_after = retry_after
    reply = _every_route.ask(site, instance, "/look/x")
    assert reply.status == 503
    assert 0.9 * longest_s < float(reply.headers["retry-after"])
    for name in ("t1", "t2"):
        site.targets[name].retry_after = ""
    instance.clock.sleep(0.01)
    site.clock.advance(longest_s + 0.1)
    assert _every_route.ask(site, instance, "/look/x").status == 200


#: Path, and the targets that turn requests away.
ROUTES = {
    "plain safe": ("/look/x", ("t1",)),
    "plain unsafe": ("/pay/x", ("t1",)),
    "stream": ("/chat/x", ("e1",)),
    "sticky stream": ("/draft/x", ("e1",)),
    "resumable stream": ("/talk/x", ("e1",)),
    "prefill apart": ("/long/x", ("p1",)),
    "all plain targets": ("/pay/x", ("t1", "t2")),
    "all engines": ("/draft/x", ("e1", "e2")),
}


def ask_forever(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    replies: list[standins.Reply],
) -> None:
    while True:
        replies.append(_every_route.ask(site, instance, path))
        gevent.sleep(0.02)


def prefer(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    names: tuple[str, ...],
) -> None:
    """Make all other targets of a service the last choices."""
    pool = instance.registry.by_id[names[0]].target.service
    for name, tracked in instance.registry.by_id.items():
        if tracked.target.service != pool or name in names:
            continue
        if path in ("/look/x", "/pay/x"):
            site.targets[name].pause_s = SLOW_S
        elif name != "d1":
            tracked.record_sent(MANY_TOKENS)


# A target that wanted no requests for a time got them all that time.
@pytest.mark.parametrize("proof", [True, False])
@pytest.mark.parametrize("name", ROUTES)
def test_a_target_gets_no_requests_while_it_backs_off(
    site: standins.Site, name: str, proof: bool
) -> None:
    path, pushing = ROUTES[name]
    (instance,) = _every_route.start_ready(site, "i1")
    instance.registry.by_id["d1"].record_sent(MANY_TOKENS)
    prefer(site, instance, path, pushing)
    for target in pushing:
        site.targets[target].retry_after = str(BACK_OFF_S)
        site.targets[target].turns_away_with_proof = proof
    replies: list[standins.Reply] = []
    callers = [
        gevent.spawn(ask_forever, site, instance, path, replies)
        for _ in range(4)
    ]
    engines = [site.targets[target] for target in pushing]
    site.wait(lambda: all(engine.turned_away for engine in engines))
    gevent.sleep(BACK_OFF_S - 0.2)
    during = len(replies)
    for engine in engines:
        first = min(engine.turned_away.values())
        late = [
            at
            for at in engine.arrivals
            if first + RULE_FROM_S < at < first + BACK_OFF_S
        ]
        assert not late
        engine.retry_after = ""
    gevent.sleep(1.0)
    gevent.killall(callers)
    now = instance.clock.monotonic()
    assert all(instance.registry.by_id[name].usable(now) for name in pushing)
    assert during > 0
    statuses = {reply.status for reply in replies[-4:]}
    assert statuses == {200}


# Guards against a herd of callers that come back at one moment.
@pytest.mark.parametrize(
    ("path", "names"),
    [("/look/x", ("t1", "t2")), ("/draft/x", ("e1", "e2"))],
)
def test_callers_are_told_to_come_back_after_the_back_off(
    site: standins.Site, path: str, names: tuple[str, ...]
) -> None:
    (instance,) = _every_route.start_ready(site, "i1")
    engines = [site.targets[name] for name in names]
    for engine in engines:
        engine.retry_after = "2"
    site.wait(
        lambda: (
            _every_route.ask(site, instance, path).status == 503
            and all(engine.turned_away for engine in engines)
        )
    )
    until = min(max(e.turned_away.values()) for e in engines) + 2.0
    returns = []
    for _ in range(40):
        reply = _every_route.ask(site, instance, path)
        assert reply.status == 503
        returns.append(time.monotonic() + float(reply.headers["retry-after"]))
    assert min(returns) >= until
    assert max(returns) < until + 1.2
    # Not more than a third of them in any tenth of a second.
    returns.sort()
    assert max(sum(a <= b < a + 0.1 for b in returns) for a in returns) < 14
    assert sum(len(engine.arrivals) for engine in engines) == 2


# A retry was spent on targets that did not want it.
@pytest.mark.parametrize("proof", [True, False])
def test_a_back_off_of_all_targets_spends_no_retry(
    site: standins.Site, proof: bool
) -> None:
    (instance,) = _every_route.start_ready(site, "i1")
    instance.budget.bound = decisions.BudgetBound(0.0, 1.6, 10.0)
    for name in ("t1", "t2"):
        site.targets[name].retry_after = "1"
        site.targets[name].turns_away_with_proof = proof
    for _ in range(6):
        assert _every_route.ask(site, instance, "/look/x").status == 503
    # One retry, from the first target to the second.
    turned_away = [len(site.targets[n].turned_away) for n in ("t1", "t2")]
    assert turned_away == [1, 1]
    assert instance.budget.refused == 0


def return_entry(site: standins.Site) -> None:
    site.withdraw("t1")
    (instance,) = site.instances
    site.wait(lambda: "t1" not in instance.catalog.targets)
    site.announce("t1", "ledger", None, seq=2)


def restart(site: standins.Site) -> None:
    site.announce("t1", "ledger", None, seq=2, born=7)


def replace_target(site: standins.Site) -> None:
    site.targets["t1"].stop()
    site.add_target("t1", "ledger", None, seq=2)


CHANGES = {
    "its entry returns": (return_entry, False),
    "another start": (restart, True),
    "another address": (replace_target, True),
}


# Guards against a back-off that outlives its incarnation, or that an entry
# in the log ends.
@pytest.mark.parametrize("name", CHANGES)
def test_a_back_off_ends_with_the_incarnation(
    site: standins.Site, name: str
) -> None:
    change, ended = CHANGES[name]
    (instance,) = _every_route.start_ready(site, "i1")
    site.targets["t1"].retry_after = "60"
    site.wait(
        lambda: (
            _every_route.ask(site, instance, "/look/x")
            and site.targets["t1"].turned_away
        )
    )
    change(site)

    def changed() -> bool:
        tracked = instance.registry.by_id.get("t1")
        return tracked is not None and tracked.target.sequence == 2

    site.wait(changed)
    tracked = instance.registry.by_id["t1"]
    assert tracked.takes_requests(instance.clock.monotonic()) == ended


# Nothing said that a target turns requests away.
def test_a_line_and_counters_tell_of_a_back_off(
    site: standins.Site, caplog: pytest.LogCaptureFixture
) -> None:
    (instance,) = _every_route.start_ready(site, "i1")
    site.targets["t1"].retry_after = "0.4"
    with caplog.at_level(logging.INFO, logger="agatewing.targets"):
        site.wait(
            lambda: (
                _every_route.ask(site, instance, "/look/x")
                and site.targets["t1"].turned_away
            )
        )
        for _ in range(5):
            assert _every_route.ask(site, instance, "/look/x").status == 200
    (line,) = caplog.records
    assert line.getMessage() == "targets: a target backs off"
    assert getattr(line, "target") == "t1"
    assert getattr(line, "back_off_s") == 0.4
    metrics = instance.render_metrics()[0].decode()
    assert "agatewing_back_offs_total 1" in metrics
    assert "agatewing_targets_backing_off 1" in metrics
    gevent.sleep(0.5)
    metrics = instance.render_metrics()[0].decode()
    assert "agatewing_targets_backing_off 0" in metrics
