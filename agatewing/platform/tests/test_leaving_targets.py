"""Targets that say in their answers that they leave."""

import collections.abc
import dataclasses

import gevent
import pytest

from agatewing import _types
from agatewing import gateway
from agatewing.platform import standins
from agatewing.platform.tests import _every_route

Behaviour = standins.Behaviour
#: Requests after a target has said that it leaves.
LATER_REQUESTS = 12
#: Queued tokens that make an engine the last choice.
MANY_TOKENS = 4_000


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        _every_route.publish(made)
        yield made


def disconnect_all(site: standins.Site) -> None:
    for log in site.logs.values():
        log.disconnected = True
    for instance in site.instances:
        instance.catalog.record_unavailable()


def ask_until_met(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    target: str,
) -> None:
    """Ask until a request has reached a target."""
    for _ in range(60):
        _every_route.ask(site, instance, path)
        if site.targets[target].arrivals:
            return
    raise AssertionError("no request reached the target; ask more often")


#: Path, and the target that leaves.
ROUTES = {
    "plain safe": ("/look/x", "t1"),
    "plain unsafe": ("/pay/x", "t1"),
    "stream": ("/chat/x", "e1"),
    "sticky stream": ("/draft/x", "e1"),
    "resumable stream": ("/talk/x", "e1"),
    "prefill apart": ("/long/x", "p1"),
}


# A target that said in its answers that it leaves got requests until its
# entry in the log said so too, from each instance.
@pytest.mark.parametrize("log_away", [False, True])
@pytest.mark.parametrize("name", ROUTES)
def test_no_request_follows_an_answer_of_a_target_that_leaves(
    site: standins.Site, name: str, log_away: bool
) -> None:
    path, leaver = ROUTES[name]
    instances = _every_route.start_ready(site, "i1", "i2", "i3")
    if path == "/long/x":
        # So that it has no prompt read itself.
        for instance in instances:
            instance.registry.by_id["d1"].record_sent(MANY_TOKENS)
    if log_away:
        disconnect_all(site)
    site.targets[leaver].leaving = True
    ask_until_met(site, instances[0], path, leaver)
    reached = len(site.targets[leaver].arrivals)
    statuses = {
        _every_route.ask(site, instances[0], path).status
        for _ in range(LATER_REQUESTS)
    }
    site.wait(
        lambda: not any(i.registry.by_id[leaver].active for i in instances)
    )
    for instance in instances[1:]:
        statuses |= {
            _every_route.ask(site, instance, path).status
            for _ in range(LATER_REQUESTS)
        }
    assert len(site.targets[leaver].arrivals) == reached
    assert statuses == {200}


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCase:
    behaviour: Behaviour
    path: str = "/look/x"
    leaver: str = "t1"
    leaves: bool = True


ANSWERS = {
    "plain": AnswerCase(Behaviour.ANSWER),
    "error": AnswerCase(Behaviour.ERROR),
    "turned away": AnswerCase(Behaviour.NOT_RUN),
    "unsigned": AnswerCase(Behaviour.UNSIGNED),
    "cut off": AnswerCase(Behaviour.CUT),
    "without length": AnswerCase(Behaviour.UNFRAMED),
    "stream": AnswerCase(Behaviour.ANSWER, "/chat/x", "e1"),
    "stream cut off": AnswerCase(Behaviour.CUT, "/talk/x", "e1"),
    "stream turned away": AnswerCase(Behaviour.NOT_RUN, "/draft/x", "e1"),
    "stream failed": AnswerCase(Behaviour.ERROR, "/draft/x", "e1"),
    # Another target that has taken the address leaves.
    "address reassigned": AnswerCase(Behaviour.MOVED, leaves=False),
}


# Guards against answers that are handled on a way of their own.
@pytest.mark.parametrize("name", ANSWERS)
def test_any_answer_says_that_a_target_leaves(
    site: standins.Site, name: str
) -> None:
    case = ANSWERS[name]
    (instance,) = _every_route.start_ready(site, "i1")
    engine = site.targets[case.leaver]
    engine.leaving = True
    engine.script.extend([case.behaviour] * 3)
    ask_until_met(site, instance, case.path, case.leaver)
    assert instance.registry.by_id[case.leaver].active != case.leaves
    reached = len(engine.arrivals)
    if case.leaves:
        for _ in range(LATER_REQUESTS):
            _every_route.ask(site, instance, case.path)
        assert len(engine.arrivals) == reached


# Guards against calls that read no more than the status of their answer.
@pytest.mark.parametrize("kind", ["role order", "cache freed"])
def test_an_answer_to_a_call_says_that_a_target_leaves(
    site: standins.Site, kind: str
) -> None:
    (instance,) = _every_route.start_ready(site, "i1")
    context = instance.handler_context
    tracked = instance.registry.by_id["e1"]
    site.targets["e1"].leaving = True
    order = context.dialect.role_order(
        tracked.target, _types.Role.PREFILL, "i1", 1
    )
    if kind == "role order":
        context.sender.send_command(tracked, order, 1.0, lambda: True)
    else:
        handle = gateway.CacheHandle(tracked.target.address, "h")
        outgoing = context.dialect.release_request(handle)
        context.sender.call(tracked, outgoing, 1.0)
    assert not tracked.active
    with pytest.raises(Exception, match="it leaves or backs off"):
        context.sender.send_command(tracked, order, 1.0, lambda: True)
    assert len(site.targets["e1"].orders) == (kind == "role order")


def entry_returns(site: standins.Site) -> None:
    site.withdraw("t1")
    (instance,) = site.instances
    site.wait(lambda: "t1" not in instance.catalog.targets)
    site.announce("t1", "ledger", None, seq=2)
    site.wait(lambda: "t1" in instance.catalog.targets)


def replace_target(site: standins.Site) -> None:
    site.targets["t1"].stop()
    site.add_target("t1", "ledger", None, seq=2)


#: What happens to a target that leaves, and whether it gets requests then.
CHANGES: dict[
    str, tuple[collections.abc.Callable[[standins.Site], None], bool]
] = {
    "another entry": (
        lambda site: site.announce("t1", "ledger", None, seq=2, slots=9),
        False,
    ),
    "its entry returns": (entry_returns, False),
    "another start": (
        lambda site: site.announce("t1", "ledger", None, seq=2, born=7),
        True,
    ),
    "another address": (replace_target, True),
}


# Guards against an entry in the log that takes a leaving target back, and
# against one that keeps its next incarnation away.
@pytest.mark.parametrize("name", CHANGES)
def test_a_target_leaves_until_its_incarnation_ends(
    site: standins.Site, name: str
) -> None:
    change, returns = CHANGES[name]
    (instance,) = _every_route.start_ready(site, "i1")
    engine = site.targets["t1"]
    engine.leaving = True
    ask_until_met(site, instance, "/look/x", "t1")
    engine.leaving = False
    change(site)
    site.wait(
        lambda: (
            instance.registry.by_id["t1"].target.sequence == 2
            and instance.registry.by_id["t1"].active == returns
        )
    )
    gevent.sleep(1.0)
    assert instance.registry.by_id["t1"].active == returns


# Guards against a running stream that is cut off, and against a new one at
# the only engine of its software version.
@pytest.mark.parametrize("leaves", [False, True])
def test_what_runs_goes_on_but_is_not_resumed_at_a_leaving_engine(
    site: standins.Site, leaves: bool
) -> None:
    site.announce("e2", version="v2", seq=2)
    (instance,) = _every_route.start_ready(site, "i1")
    registry = instance.registry
    site.wait(lambda: registry.by_id["e2"].target.software == "v2")
    registry.by_id["e2"].record_sent(MANY_TOKENS)
    engine = site.targets["e1"]
    engine.pause_s = 0.2
    running = gevent.spawn(_every_route.ask, site, instance, "/talk/x")
    site.wait(lambda: engine.runs)
    engine.leaving = leaves
    engine.script.append(Behaviour.CUT)
    broken = site.ask(instance, "/talk/x", "s1", _every_route.PROMPT_HEADERS)
    assert broken.complete != leaves
    assert running.get().complete
    reached = len(engine.arrivals)
    if not leaves:
        return
    headers = {
        **_every_route.PROMPT_HEADERS,
        "Last-Event-Id": "2",
        "Resumes": "s1",
    }
    refused = _every_route.ask(site, instance, "/talk/x", headers)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    assert len(engine.arrivals) == reached
    assert not site.targets["e2"].arrivals


# Guards against callers that are kept waiting for targets that have left.
@pytest.mark.parametrize("path", ["/look/x", "/pay/x", "/draft/x", "/talk/x"])
def test_callers_are_refused_once_all_targets_leave(
    site: standins.Site, path: str
) -> None:
    names = ("t1", "t2") if path in ("/look/x", "/pay/x") else ("e1", "e2")
    (instance,) = _every_route.start_ready(site, "i1")
    for name in names:
        site.targets[name].leaving = True
    statuses = [
        _every_route.ask(site, instance, path).status for _ in range(6)
    ]
    assert statuses == [200, 200, 503, 503, 503, 503]
    began_at = instance.clock.monotonic()
    refused = _every_route.ask(site, instance, path)
    assert instance.clock.monotonic() - began_at < 0.3
    assert 0 < float(refused.headers["retry-after"]) < 5
    assert [len(site.targets[name].arrivals) for name in names] == [1, 1]


# Guards against crash evidence from targets that end in order.
def test_the_end_of_a_leaving_target_is_no_crash(site: standins.Site) -> None:
    (instance,) = _every_route.start_ready(site, "i1")
    engine = site.targets["t1"]
    engine.leaving = True
    engine.pause_s = 0.5
    asked = [
        gevent.spawn(_every_route.ask, site, instance, "/pay/x")
        for _ in range(6)
    ]
    site.wait(lambda: len(engine.runs) >= 2)
    engine.pause_s = 0.0
    ask_until_met(site, instance, "/look/x", "t1")
    site.wait(lambda: not instance.registry.by_id["t1"].active)
    engine.stop()
    engine.drop_connections()
    gevent.joinall(asked)
    gevent.sleep(0.3)
    assert instance.quarantine.crashes == 0
    metrics = instance.render_metrics()[0].decode()
    assert 'agatewing_departures_total{source="answer"} 1' in metrics
