"""Requests at an instance that has lost its links to the targets.

Its peers serve them, over real connections between the instances.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import json
import logging

import gevent
import msgspec
import pytest

from agatewing import _exceptions
from agatewing import decisions
from agatewing.detour import _detours
from agatewing import dispatch
from agatewing.dispatch import _refusals
from agatewing import gateway
from agatewing.gateway import _channel
from agatewing.gateway import _peers
from agatewing.platform import standins
from agatewing.platform.tests import _every_route
from agatewing.platform.tests import _standin_peer
from agatewing import wire

Act = _standin_peer.Act
Behaviour = standins.Behaviour
PROMPT_HEADERS = _every_route.PROMPT_HEADERS
#: Events of a whole stream of the stand-ins.
EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in (1, 2, 3)]
ROUTES = ["/look/x", "/pay/x", "/chat/x", "/draft/x", "/talk/x", "/long/x"]
_NUMBERS = itertools.count(1)


class LostLinks:
    """Links of an instance, of which some services' are lost."""

    def __init__(self, *reaching: str) -> None:
        self._reaching = reaching
        #: Services whose targets are not reached.
        self.services = {"ledger", "chat", "split"}
        #: Services of which that becomes known, and after how many seconds.
        self.to_be_lost: set[str] = set()
        self.verdict_after_s = 0.0
        self.verdicts_awaited = 0

    def lost(self, service: str) -> bool:
        return service in self.services

    def reaching(self, service: str) -> collections.abc.Sequence[str]:
        return self._reaching

    def await_verdict(self, service: str, name: str) -> bool:
        self.verdicts_awaited += 1
        gevent.sleep(self.verdict_after_s)
        self.services |= self.to_be_lost
        return self.lost(service)


def cut(instance: gateway.GatewayInstance, *reaching: str) -> LostLinks:
    """Tell an instance that only the given peers reach the targets."""
    links = LostLinks(*reaching)
    instance.handler_context.links = links
    instance.detours.links = links
    return links


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        _every_route.publish(made)
        yield made


@pytest.fixture
def pair(
    site: standins.Site,
) -> tuple[gateway.GatewayInstance, gateway.GatewayInstance]:
    """Two instances, the first of which has lost its links."""
    first, second = _every_route.start_ready(site, "i1", "i2")
    cut(first, "i2")
    return first, second


@contextlib.contextmanager
def peers_of(
    instance: gateway.GatewayInstance, *names: str
) -> collections.abc.Iterator[list[_standin_peer.StandinPeer]]:
    """Make stand-ins the only peers that reach the targets."""
    made = _standin_peer.stand_ins(instance, *names)
    cut(instance, *names)
    try:
        yield list(made.values())
    finally:
        for peer in made.values():
            peer.stop()


def follow_one_script(
    peers: list[_standin_peer.StandinPeer], *acts: Act
) -> None:
    """Let peers follow one script, in the order in which they are asked."""
    script = collections.deque(acts)
    for peer in peers:
        peer.script = script


def runs(site: standins.Site, request_id: str) -> int:
    return _standin_peer.ids_run(site)[request_id]


def ask(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> tuple[standins.Reply, str]:
    """Send a request that suits its route; return the answer and its id."""
    request_id = f"d{next(_NUMBERS)}"
    fields = dict(headers or {})
    if path not in ("/look/x", "/pay/x"):
        fields = {**PROMPT_HEADERS, **fields}
    reply = site.ask(instance, path, request_id, fields, body=body)
    return reply, request_id


@pytest.mark.parametrize("path", ROUTES)
def test_a_peer_serves_a_request(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
    path: str,
) -> None:
    first, second = pair
    reply = _every_route.ask(site, first, path)
    assert (reply.status, reply.complete) == (200, True)
    assert "x-server-stamp" in reply.headers
    if path in ("/look/x", "/pay/x"):
        assert reply.body.startswith(b"body of a")
    else:
        assert reply.body == b"".join(EVENTS)
    assert not first.handler_context.sender.request_count
    assert second.handler_context.sender.request_count
    assert not first.detours.in_flight


HEADERS = {
    "X-Deadline-Ms": "2500",
    "X-Model": "m",
    "Authorization": "caller 7",
    **PROMPT_HEADERS,
}


#: Headers that differ each time that a request is sent in that test.
OWN_FIELDS = ("x-deadline-ms", "x-expect-instance", "x-prefix-hash")


# What a target is told of a request differs by the way that it came.
@pytest.mark.parametrize("path", ["/look/x?a=b", "/pay/x", "/talk/x"])
def test_a_target_gets_the_same_request_through_a_peer(
    site: standins.Site, path: str
) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    headers = dict(HEADERS)
    if path != "/talk/x":
        headers.pop("X-Token-Count")
    body = b"body of the request"
    seen = []
    for instance in (second, first):
        # No prefix block is cached yet.
        block = instance.settings.instance
        headers["X-Prefix-Hash"] = f"{block}:800,b{block}:400"
        site.ask(instance, path, "same", headers, "PUT", body)
        cut(first, "i2")
    for target in site.targets.values():
        seen += [r for r in target.requests if r.id == "same"]
    assert len(seen) == 2
    known = [
        {
            name: value
            for name, value in run.headers.items()
            if name not in OWN_FIELDS
        }
        for run in seen
    ]
    assert known[0] == known[1]
    assert {r.headers["x-prefix-hash"][:2] for r in seen} == {"i1", "i2"}
    assert seen[0].line == seen[1].line
    assert seen[0].body == seen[1].body == body
    assert all(int(r.headers["x-deadline-ms"]) > 2_000 for r in seen)


SIZES = {
    # Bytes of the request and of the answer.
    "largest request": (4_194_304, 100),
    "largest answer": (0, 15_999_000),
}


@pytest.mark.parametrize("path", ["/look/x", "/pay/x"])
@pytest.mark.parametrize("name", SIZES)
def test_the_largest_bodies_go_through_a_peer(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
    path: str,
    name: str,
) -> None:
    first, _ = pair
    body_bytes, answer_bytes = SIZES[name]
    for target in site.targets.values():
        target.body_bytes = answer_bytes
    reply, request_id = ask(site, first, path, body=b"x" * body_bytes)
    assert (reply.status, len(reply.body)) == (200, answer_bytes)
    (run,) = [
        run
        for target in site.targets.values()
        for run in target.runs
        if run.id == request_id
    ]
    assert len(run.body) == body_bytes
    assert not first.handler_context.sender._buffered_bytes


def test_events_are_forwarded_through_a_peer_as_they_come(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, _ = pair
    for engine in site.targets.values():
        engine.pause_s = 0.3
    lines = "".join(f"{name}: {v}\r\n" for name, v in PROMPT_HEADERS.items())
    head = f"POST /draft/x HTTP/1.1\r\nHost: {standins.HOST}\r\n{lines}\r\n"
    with site.connect(first) as sock:
        sock.sendall(head.encode())
        received = b""
        while EVENTS[0] not in received:
            received += sock.recv(65_536)
        assert EVENTS[2] not in received
        while EVENTS[2] not in received:
            received += sock.recv(65_536)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    path: str
    #: What the first two peers do with it; further ones answer.
    acts: tuple[Act, ...]
    status: int
    #: Number of peers that may have run it.
    taken: int
    complete: bool = True
    #: Number of events that the caller gets; ``None`` for plain routes.
    events: int | None = None


NOT_TAKEN = (Act.CLOSE, Act.FULL, Act.BREAK_BEFORE_BODY, Act.SILENT)
BROKEN = {
    **{
        f"{path}, {act}": Case(path, (act,), 200, 1)
        for path in ("/look/x", "/pay/x", "/draft/x", "/talk/x")
        for act in NOT_TAKEN
        if act is not Act.BREAK_BEFORE_BODY
    },
    **{
        f"{path}, {act}": Case(path, (act,), 200, 2)
        for path in ("/look/x", "/pay/x", "/draft/x", "/talk/x")
        for act in (Act.LOST_TOO,)
    },
    "all are full": Case("/pay/x", (Act.FULL,) * 3, 503, 0),
    "all have lost them too": Case("/draft/x", (Act.LOST_TOO,) * 3, 503, 3),
    "once, before the head": Case("/pay/x", (Act.BREAK_BEFORE_HEAD,), 502, 1),
    "once, in the answer": Case("/pay/x", (Act.BREAK_IN_ANSWER,), 502, 1),
    # The body was sent, so the peer may have read it.
    "once, before the body": Case("/pay/x", (Act.BREAK_BEFORE_BODY,), 502, 0),
    "repeatable, before the head": Case(
        "/look/x", (Act.BREAK_BEFORE_HEAD,), 200, 2
    ),
    "repeatable, in the answer": Case(
        "/look/x", (Act.BREAK_IN_ANSWER,), 200, 2
    ),
    "stream once, before the head": Case(
        "/draft/x", (Act.BREAK_BEFORE_HEAD,), 502, 1
    ),
    "stream once, in the answer": Case(
        "/draft/x", (Act.BREAK_IN_ANSWER,), 200, 1, False, 1
    ),
    "resumable, before the head": Case(
        "/talk/x", (Act.BREAK_BEFORE_HEAD,), 200, 2, True, 3
    ),
    "resumable, in the answer": Case(
        "/talk/x", (Act.BREAK_IN_ANSWER,), 200, 2, True, 3
    ),
    # No attempt is left then.
    "resumable, twice in the answer": Case(
        "/talk/x", (Act.BREAK_IN_ANSWER,) * 2, 200, 2, False, 2
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_peers_that_break_off(site: standins.Site, name: str) -> None:
    case = BROKEN[name]
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2", "p3") as peers:
        follow_one_script(peers, *case.acts)
        reply, _ = ask(site, first, case.path)
        assert (reply.status, reply.complete) == (case.status, case.complete)
        assert sum(len(peer.taken) for peer in peers) == case.taken
        if case.events is not None:
            assert reply.body == b"".join(EVENTS[: case.events])
        if case.status == 503:
            assert 0 < float(reply.headers["retry-after"]) < 1
    assert not site.targets["t1"].requests
    assert not first.detours.in_flight


# A peer that had stopped kept a request until its deadline.
@pytest.mark.parametrize("path", ["/look/x", "/talk/x"])
def test_another_peer_is_tried_beside_one_that_hangs(
    site: standins.Site, path: str
) -> None:
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2") as peers:
        follow_one_script(peers, Act.HANG)
        reply, _ = ask(site, first, path)
        assert (reply.status, reply.complete) == (200, True)
        assert sum(len(peer.taken) for peer in peers) == 2
        site.wait(lambda: sum(peer.left for peer in peers) == 1)
    assert not first.detours.in_flight


def test_a_request_that_runs_once_waits_for_a_peer_that_hangs(
    site: standins.Site,
) -> None:
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2") as peers:
        for peer in peers:
            peer.script.append(Act.HANG)
        reply, _ = ask(site, first, "/pay/x", {"X-Deadline-Ms": "700"})
        assert reply.status == 504
        assert sum(len(peer.offered) for peer in peers) == 1


REFUSALS = {
    "overloaded": (503, "overloaded", 0.75),
    "leaving": (503, "instance-leaving", 0.2),
    "not found": (404, "not-found", None),
    "failed": (502, "target-failed", None),
    "late": (504, "deadline-unreachable", None),
    "quarantined": (503, "quarantined", 3.5),
}


@pytest.mark.parametrize("path", ["/pay/x", "/draft/x"])
@pytest.mark.parametrize("name", REFUSALS)
def test_a_refusal_of_a_peer_is_passed_on_unchanged(
    site: standins.Site, path: str, name: str
) -> None:
    status, kind, after_s = REFUSALS[name]
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2") as peers:
        for peer in peers:
            peer.refusals.append(
                _standin_peer.refusal(
                    status, "of the peer", False, 1, kind, after_s
                )
            )
        reply, _ = ask(site, first, path)
        assert reply.status == status
        assert reply.body == f"{kind}: of the peer\n".encode()
        retry_after = reply.headers.get("retry-after")
        assert (retry_after and float(retry_after)) == after_s
        assert sum(len(peer.taken) for peer in peers) == 1


GOES_ON = {
    "ran out of targets": (True, 2, 200),
    # For instance as targets crash on the request, or no retry is left.
    "gave the request up": (False, 1, 502),
}


@pytest.mark.parametrize("path", ["/look/x", "/talk/x"])
@pytest.mark.parametrize("name", GOES_ON)
def test_a_request_goes_on_after_a_peer_if_that_lets_it(
    site: standins.Site, path: str, name: str
) -> None:
    may_go_on, taken, status = GOES_ON[name]
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2") as peers:
        refusal = _standin_peer.refusal(
            502, "failed", targets=1, may_go_on=may_go_on
        )
        refusals = collections.deque([refusal])
        for peer in peers:
            peer.refusals = refusals
        reply, _ = ask(site, first, path)
        assert reply.status == status
        assert sum(len(peer.taken) for peer in peers) == taken


# The instance sent a request again on which the peer's target had crashed.
def test_a_request_that_crashes_targets_reaches_no_more_through_peers(
    site: standins.Site,
) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    site.crash_requests.add(standins.CrashRequest("/look/x"))
    counts = []
    for instance in (second, first):
        cut(first, "i2")
        before = len(site.crashed)
        reply, request_id = ask(site, instance, "/look/x")
        assert reply.status in (502, 503)
        counts.append(len(site.crashed) - before)
        site.wait(lambda: len(second.registry.pools["ledger"].engines) == 2)
    assert counts[1] <= counts[0]


# A peer that lost its links after it had taken a request let it fail.
@pytest.mark.parametrize("path", ["/pay/x", "/draft/x", "/talk/x"])
def test_a_peer_loses_its_links_with_a_request(
    site: standins.Site, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    first, second, third = _every_route.start_ready(site, "i1", "i2", "i3")
    cut(first, "i2")
    pools = {t.channels for t in second.registry.by_id.values()}
    acquire = _channel.ChannelPool.acquire

    def fail(
        pool: _channel.ChannelPool, reuse: decisions.Reuse, timeout_s: float
    ) -> _channel.Channel:
        if pool not in pools:
            return acquire(pool, reuse, timeout_s)
        cut(second, "i3")
        cut(first, "i3")
        raise _channel.ConnectError("timed out")

    monkeypatch.setattr(_channel.ChannelPool, "acquire", fail)
    reply, request_id = ask(site, first, path)
    assert (reply.status, reply.complete) == (200, True)
    assert runs(site, request_id) == 1
    assert second.server.hops_served == {"refused": 1}
    assert third.server.hops_served == {"answered": 1}


# A refusal said that a request had not run, which an earlier peer may have.
def test_a_refusal_after_an_unknown_outcome_promises_nothing(
    site: standins.Site,
) -> None:
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2") as peers:
        follow_one_script(peers, Act.BREAK_BEFORE_HEAD, Act.LOST_TOO)
        reply, _ = ask(site, first, "/look/x")
        assert reply.status == 502


def test_two_instances_without_links_do_not_ask_each_other_in_turns(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    cut(second, "i1")
    for path in ROUTES:
        reply = _every_route.ask(site, first, path)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) < 1
    assert first.server.hops_served == {}
    assert set(second.server.hops_served) == {"declined"}


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    path: str
    behaviour: Behaviour
    status: int
    #: Number of runs at all targets.
    runs: int


LIMITS = {
    "a reset may have run": Limit("/pay/x", Behaviour.RESET, 502, 1),
    "proof leads to another target": Limit(
        "/pay/x", Behaviour.NOT_RUN, 503, 0
    ),
    "repeatable, as often as allowed": Limit(
        "/look/x", Behaviour.RESET, 502, 2
    ),
    "an error is passed on": Limit("/pay/x", Behaviour.ERROR, 500, 1),
    "an error is repeated": Limit("/look/x", Behaviour.ERROR, 500, 2),
    "a stream is not repeated": Limit("/draft/x", Behaviour.RESET, 502, 1),
    "a stream is resumed": Limit("/talk/x", Behaviour.RESET, 502, 2),
    "an error of a stream": Limit("/draft/x", Behaviour.ERROR, 500, 1),
}


# Attempts were counted at each of the two instances.
@pytest.mark.parametrize("name", LIMITS)
def test_attempts_are_limited_over_both_instances(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
    name: str,
) -> None:
    limit = LIMITS[name]
    first, _ = pair
    for target in site.targets.values():
        target.script.extend([limit.behaviour] * 5)
    reply, request_id = ask(site, first, limit.path)
    assert reply.status == limit.status
    assert runs(site, request_id) == limit.runs


# Each instance counted the request, and both let it be repeated.
def test_a_request_counts_once_in_the_retry_budget(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    ask(site, first, "/look/x")
    now = site.clock.monotonic()
    counted = [
        len(instance.budget._window("ledger", now).requests)
        for instance in (first, second)
    ]
    assert counted == [1, 0]


@pytest.mark.parametrize("path", ["/pay/x", "/draft/x", "/talk/x"])
def test_a_target_is_left_when_the_caller_leaves(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
    path: str,
) -> None:
    first, second = pair
    for target in site.targets.values():
        target.script.append(Behaviour.HANG)
    fields = {"Host": standins.HOST, "X-Request-Id": "gone"}
    if path != "/pay/x":
        fields.update(PROMPT_HEADERS)
    lines = "".join(f"{name}: {v}\r\n" for name, v in fields.items())
    with site.connect(first) as sock:
        sock.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())
        site.wait(lambda: runs(site, "gone"))
    site.wait(
        lambda: any(t.dropped == ["gone"] for t in site.targets.values())
    )
    site.wait(lambda: not first.detours.in_flight)
    site.wait(lambda: not second.lifecycle.in_flight)
    assert runs(site, "gone") == 1


def test_a_deadline_holds_through_a_peer(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    for target in site.targets.values():
        target.script.append(Behaviour.HANG)
    reply, _ = ask(site, first, "/pay/x", {"X-Deadline-Ms": "400"})
    assert reply.status == 504
    site.wait(lambda: not second.lifecycle.in_flight)


KILLED = {
    "once": ("/pay/x", 502, 1),
    "repeatable": ("/look/x", 200, 2),
    "stream once": ("/draft/x", 502, 1),
    "resumable": ("/talk/x", 200, 2),
}


@pytest.mark.parametrize("name", KILLED)
def test_a_peer_is_killed_while_it_serves(
    site: standins.Site, name: str
) -> None:
    path, status, count = KILLED[name]
    first, second, third = _every_route.start_ready(site, "i1", "i2", "i3")
    cut(first, "i2", "i3")
    script(site, Behaviour.HANG)
    asking = gevent.spawn(ask, site, first, path)
    site.wait(lambda: second.lifecycle.in_flight or third.lifecycle.in_flight)
    site.wait(lambda: any(t.runs for t in site.targets.values()))
    for target in site.targets.values():
        target.script.clear()
    (second if second.lifecycle.in_flight else third).kill()
    reply, request_id = asking.get()
    assert reply.status == status
    assert runs(site, request_id) == count
    if status == 200:
        assert reply.complete


def script(site: standins.Site, *behaviours: Behaviour) -> None:
    """Set the behaviour for the next requests at every target."""
    for target in site.targets.values():
        target.script.extend(behaviours)


def test_a_peer_that_stops_ends_what_it_has_taken(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    for target in site.targets.values():
        target.pause_s = 0.2
    asking = gevent.spawn(ask, site, first, "/draft/x")
    site.wait(lambda: second.lifecycle.in_flight)
    stopping = gevent.spawn(second.stop)
    site.wait(lambda: second.lifecycle.closing)
    late, _ = ask(site, first, "/pay/x")
    assert late.status == 503
    reply, _ = asking.get()
    assert (reply.status, reply.complete) == (200, True)
    stopping.join()
    assert stopping.value is True


# At its stop limit a peer cut a request off without a word.
def test_a_peer_at_its_stop_limit_refuses_truthfully(
    site: standins.Site,
) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    cut(first, "i2")
    script(site, Behaviour.HANG)
    asking = gevent.spawn(
        ask, site, first, "/pay/x", {"X-Deadline-Ms": "3000"}
    )
    site.wait(lambda: any(t.runs for t in site.targets.values()))
    second.server.stop_requests()
    reply, request_id = asking.get()
    assert reply.status == 502
    assert runs(site, request_id) == 1


# A stream that began before the cut ended with it.
def test_a_stream_goes_on_through_a_peer_at_its_version(
    site: standins.Site,
) -> None:
    for name, version in {"e1": "v1", "e2": "v2", "e3": "v1"}.items():
        if name == "e3":
            site.add_target(name, version=version)
        else:
            site.announce(name, version=version)
    first, second = _every_route.start_ready(site, "i1", "i2")
    for name in ("e2", "e3"):
        first.registry.by_id[name].record_sent(5_000)
    for engine in site.targets.values():
        engine.event_suffix = f" of {engine.name}"
        engine.pause_s = 0.1
    links = cut(first, "i2")
    links.services.clear()
    e1 = site.targets["e1"]
    asking = gevent.spawn(ask, site, first, "/talk/x")
    site.wait(lambda: e1.begun_at)
    links.services.add("chat")
    e1.voice.fall_silent(60.0)
    e1.drop_connections()
    reply, _ = asking.get()
    assert reply.complete
    assert reply.headers["x-server-stamp"] == "e1"
    numbers = [line for line in reply.body.split(b"\n") if b"id:" in line]
    assert numbers == [b"id: 1", b"id: 2", b"id: 3"]
    assert b"e2" not in reply.body
    assert b"of e3" in reply.body
    assert second.handler_context.sender.request_count


# The peer refused to go on with a stream whose rest was not likely to be
# whole before the deadline.
def test_a_stream_that_goes_on_is_not_admitted_again(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    first, _ = pair
    links = cut(first, "i2")
    links.services.clear()
    for engine in site.targets.values():
        engine.pause_s = 0.05
    asking = gevent.spawn(ask, site, first, "/talk/x")
    site.wait(lambda: any(t.begun_at for t in site.targets.values()))
    links.services.add("chat")
    monkeypatch.setattr(dispatch.Dispatcher, "wait_for_route", _refuse)
    for engine in site.targets.values():
        engine.drop_connections()
    reply, _ = asking.get()
    assert (reply.complete, reply.body) == (True, b"".join(EVENTS))


def _refuse(*args: object) -> decisions.Route:
    raise _exceptions.RefusedError(_refusals.too_late(2.0))


# Open connections may hang in a cut, and nothing says that they are gone.
@pytest.mark.parametrize("path", ["/look/x", "/talk/x"])
def test_a_peer_is_tried_beside_a_connection_that_hangs(
    site: standins.Site, path: str
) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    links = cut(first, "i2")
    links.services.clear()
    script(site, Behaviour.HANG)
    asking = gevent.spawn(ask, site, first, path, {"X-Deadline-Ms": "3000"})
    site.wait(lambda: any(t.runs for t in site.targets.values()))
    for target in site.targets.values():
        target.script.clear()
    links.services.update(("ledger", "chat"))
    reply, request_id = asking.get()
    assert (reply.status, reply.complete) == (200, True)
    assert runs(site, request_id) == 2
    assert second.server.hops_served == {"answered": 1}


# A request whose connection could not be opened was refused, also while it
# was not known yet that only this instance does not reach the targets.
@pytest.mark.parametrize("known_at_once", [True, False])
@pytest.mark.parametrize("path", ROUTES)
def test_a_request_that_reached_no_target_goes_to_a_peer(
    site: standins.Site,
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    known_at_once: bool,
) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    links = cut(first, "i2")
    links.services.clear()
    links.verdict_after_s = 0.3
    links.to_be_lost = {"ledger", "chat", "split"}
    pools = {t.channels for t in first.registry.by_id.values()}
    acquire = _channel.ChannelPool.acquire

    def fail(
        pool: _channel.ChannelPool, reuse: decisions.Reuse, timeout_s: float
    ) -> _channel.Channel:
        if pool not in pools:
            return acquire(pool, reuse, timeout_s)
        if known_at_once:
            links.services.update(("ledger", "chat", "split"))
        raise _channel.ConnectError("timed out")

    monkeypatch.setattr(_channel.ChannelPool, "acquire", fail)
    reply, request_id = ask(site, first, path)
    assert (reply.status, reply.complete) == (200, True)
    assert runs(site, request_id) == 1
    assert second.server.hops_served == {"answered": 1}


# Each target that was not reached held the refusal up once more.
def test_a_refusal_waits_for_one_verdict_only(
    site: standins.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    (first,) = _every_route.start_ready(site, "i1")
    for number in range(3, 9):
        site.add_target(f"t{number}", "ledger", None)
    site.wait(lambda: len(first.registry.pools["ledger"].engines) == 8)
    links = cut(first)
    links.services.clear()
    links.verdict_after_s = 0.3

    def fail(*args: object) -> _channel.Channel:
        raise _channel.ConnectError("refused")

    monkeypatch.setattr(_channel.ChannelPool, "acquire", fail)
    reply, _ = ask(site, first, "/pay/x")
    assert reply.status == 503
    assert links.verdicts_awaited == 2


# A stream that a caller took up went to an engine of another version.
def test_a_stream_is_taken_up_through_a_peer_at_its_version(
    site: standins.Site,
) -> None:
    site.announce("e2", version="v2")
    first, second = _every_route.start_ready(site, "i1", "i2")
    for name in ("e2",):
        first.registry.by_id[name].record_sent(1_000)
    site.targets["e1"].script.append(Behaviour.CUT)
    site.targets["e2"].script.append(Behaviour.RESET)
    site.targets["e1"].script.append(Behaviour.RESET)
    site.ask(first, "/talk/x", "s1", PROMPT_HEADERS)
    for target in site.targets.values():
        target.script.clear()
    cut(first, "i2")
    second.registry.by_id["e1"].record_sent(1_000)
    headers = {**PROMPT_HEADERS, "Last-Event-Id": "2", "Resumes": "s1"}
    reply = site.ask(first, "/talk/x", "s2", headers)
    assert reply.body == EVENTS[2]
    assert [run.id for run in site.targets["e1"].runs][-1] == "s2"
    # And again at an instance that learned of neither attempt.
    assert not [run for run in site.targets["e2"].runs if run.id == "s2"]


def test_a_stream_that_began_through_a_peer_is_known_at_both(
    site: standins.Site,
) -> None:
    site.announce("e2", version="v2")
    first, second = _every_route.start_ready(site, "i1", "i2")
    cut(first, "i2")
    ask(site, first, "/talk/x")
    site.ask(first, "/talk/x", "s1", PROMPT_HEADERS)
    for instance in (first, second):
        origin = instance.streams.find("s1", "chat")
        assert origin is not None
        assert origin.software in ("v1", "v2")


def test_peers_of_an_earlier_release_are_not_asked(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    entry = first.peers.known["i2"]
    old = json.dumps({"address": entry.address, "zone": entry.zone})
    first.peers.known["i2"] = msgspec.json.decode(old, type=_peers.PeerEntry)
    reply, _ = ask(site, first, "/pay/x")
    assert reply.status == 503
    assert not second.server.hops_served


# An earlier release answers the opening with its snapshot.
def test_a_peer_of_an_earlier_release_does_not_take_a_request(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    second.peers.hop_server = None
    reply, _ = ask(site, first, "/pay/x")
    assert reply.status == 503
    assert not second.server.hops_served


def test_an_entry_is_read_by_an_earlier_release() -> None:
    class EarlierEntry(msgspec.Struct, frozen=True):
        address: str
        zone: str

    entry = _peers.PeerEntry("127.0.0.1:1", "z1", takes_requests=True)
    raw = msgspec.json.encode(entry)
    read = msgspec.json.decode(raw, type=EarlierEntry)
    assert read == EarlierEntry("127.0.0.1:1", "z1")


BOUNDS = {
    "requests": ("MAX_REQUESTS", 1, b""),
    "bytes": ("MAX_BODY_BYTES", 1_500, b"x" * 1_000),
}


@pytest.mark.parametrize("name", BOUNDS)
def test_what_is_handed_on_is_bounded(
    site: standins.Site, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    constant, value, body = BOUNDS[name]
    monkeypatch.setattr(_detours, constant, value)
    (first,) = _every_route.start_ready(site, "i1")
    with peers_of(first, "p1", "p2") as peers:
        for peer in peers:
            peer.script.append(Act.HANG)
        asking = gevent.spawn(
            ask, site, first, "/pay/x", {"X-Deadline-Ms": "900"}, body
        )
        site.wait(lambda: first.detours.in_flight)
        reply, _ = ask(site, first, "/pay/x", body=body)
        assert reply.status == 503
        # The first one counts before its connection is open.
        site.wait(lambda: any(peer.offered for peer in peers))
        assert sum(len(peer.offered) for peer in peers) == 1
        asking.get()
        reply, _ = ask(site, first, "/pay/x", body=body)
        assert reply.status in (200, 504)


# A peer that had lost its links, but did not know it yet, or had other reasons
# to use no target, made the instance refuse what a second peer could serve.
@pytest.mark.parametrize("path", ["/look/x", "/pay/x", "/draft/x"])
def test_another_peer_is_tried_if_one_has_no_usable_target(
    site: standins.Site, path: str
) -> None:
    first, second, _ = _every_route.start_ready(site, "i1", "i2", "i3")
    cut(first, "i2", "i3")
    for tracked in second.registry.by_id.values():
        tracked.avoid_until = float("inf")
    for _ in range(8):
        reply, request_id = ask(site, first, path)
        assert (reply.status, reply.complete) == (200, True)
        assert runs(site, request_id) == 1
    assert second.server.hops_served["refused"]


# A request on a route that a peer has not heard of was refused with 404.
def test_a_peer_that_is_behind_does_not_take_a_request(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    site.logs["i2"].disconnected = True
    site.route("/new/", "unsafe", "ledger")
    site.publish()
    site.wait(lambda: first.catalog.config_version == site.version)
    behind = second.catalog.config_version < site.version
    reply, _ = ask(site, first, "/new/x")
    assert reply.status == (503 if behind else 200)


def test_own_links_are_used_once_they_are_back(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    links = cut(first, "i2")
    links.services.discard("ledger")
    reply, _ = ask(site, first, "/pay/x")
    assert reply.status == 200
    assert not second.server.hops_served
    reply, _ = ask(site, first, "/draft/x")
    assert reply.status == 200
    assert second.server.hops_served == {"answered": 1}


def test_both_instances_log_the_request(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
    caplog: pytest.LogCaptureFixture,
) -> None:
    first, _ = pair
    with caplog.at_level(logging.INFO, logger="agatewing"):
        _, request_id = ask(site, first, "/talk/x")
    lines = [
        record
        for record in caplog.records
        if getattr(record, "request", "") == request_id
    ]
    texts = [record.getMessage() for record in lines]
    assert texts.count("request: handed on") == 1
    assert texts.count("server: request of a peer taken") == 1
    answered = [r for r in lines if r.getMessage() == "request: answered"]
    assert sorted(vars(record)["via"] for record in answered) == ["", "i2"]
    assert len({vars(record)["target"] for record in answered}) == 1


def test_a_stranger_has_nothing_served(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    first.detours._client._codec = wire.Codec("another secret")
    reply, _ = ask(site, first, "/pay/x")
    assert reply.status == 503
    assert not second.server.hops_served


def test_both_instances_count_the_request(
    site: standins.Site,
    pair: tuple[gateway.GatewayInstance, gateway.GatewayInstance],
) -> None:
    first, second = pair
    ask(site, first, "/talk/x")
    lines = [
        instance.render_metrics()[0].decode().splitlines()
        for instance in (first, second)
    ]
    assert 'agatewing_detours_total{outcome="answered"} 1' in lines[0]
    assert 'agatewing_hops_served_total{outcome="answered"} 1' in lines[1]
    assert "agatewing_detours_under_way 0" in lines[0]
    assert "agatewing_hops_under_way 0" in lines[1]
