"""Requests under way when an instance is stopped."""

import collections.abc
import dataclasses

import gevent
import pytest

from agatewing import gateway
from agatewing.gateway import _lifecycle
from agatewing.platform import standins

Behaviour = standins.Behaviour
ACCEPT_S = 0.2
STOP_LIMIT_S = 0.6
PROMPT = "X-Token-Count: 10,3\r\nX-Prefix-Hash: aa:5,bb:5\r\n"


@pytest.fixture
def site(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[standins.Site]:
    monkeypatch.setattr(_lifecycle, "ACCEPT_AFTER_STOP_S", ACCEPT_S)
    stop_limit_s = STOP_LIMIT_S + _lifecycle.EXIT_RESERVE_S
    with standins.Site({"stop_limit_s": stop_limit_s}) as made:
        made.route("/pay/", "unsafe", "ledger", max_attempts=2)
        made.route("/look/", "safe", "ledger", max_attempts=2)
        made.route("/draft/", "streaming", sticky=True)
        made.add_target("t1", "ledger", None)
        made.add_target("e1", slots=1)
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: len(made.catalog.targets) == 2)
    site.wait(lambda: made.lifecycle.ready)
    return made


def request(path: str, fields: str = "", version: str = "1.1") -> bytes:
    return (
        f"POST {path} HTTP/{version}\r\nHost: {standins.HOST}\r\n"
        f"X-Request-Id: s1\r\n{fields}\r\n"
    ).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    #: What the caller has sent before the stop.
    sent: bytes
    #: Status of the answer; 0 for none.
    status: int
    #: Pause of the engine before each event, in seconds.
    pause_s: float = 0.0
    #: Events that the caller has had before the stop.
    events: int = 0


CASES = {
    "a call at its target": Case(request("/pay/x"), 502),
    "a repeatable call at its target": Case(request("/look/x"), 502),
    "a stream before its first event": Case(
        request("/draft/x", PROMPT), 502, 9.0
    ),
    "a stream after an event": Case(
        request("/draft/x", PROMPT), 200, 0.4, events=1
    ),
    "a stream without length or chunks": Case(
        request("/draft/x", PROMPT, "1.0"), 200, 0.4, events=1
    ),
    "half of a body": Case(
        request("/pay/x", "Content-Length: 4\r\n") + b"ab", 503
    ),
    "half of a head": Case(request("/pay/x")[:-9], 503),
}


# The process ended at its stop limit, and with it the connections.
@pytest.mark.parametrize("name", CASES)
def test_a_stop_leaves_no_request_without_an_answer(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    case = CASES[name]
    for target in site.targets.values():
        target.events = 9
        target.pause_s = case.pause_s
    site.targets["t1"].script.append(Behaviour.HANG)
    with site.connect(instance) as sock:
        sock.sendall(case.sent)
        reading = gevent.spawn(standins.read_reply, sock)
        gevent.sleep(0.5 if case.events else 0.1)
        finished = instance.stop()
        gevent.sleep(0.01)
        # Whatever comes later is lost with the process.
        assert reading.ready()
    reply = reading.get()
    assert reply.status == case.status
    assert reply.complete is (not case.events)
    assert reply.body.count(b"\n\n") >= case.events
    assert not finished
    if case.status == 503:
        assert 0 < float(reply.headers["retry-after"]) < 1
        assert not any(target.runs for target in site.targets.values())


def test_a_queued_request_is_refused_as_soon_as_it_cannot_be_served(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """Guards against a wait for the stop limit that can only end in vain."""
    engine = instance.registry.by_id["e1"]
    for _ in range(engine.target.slots):
        engine.record_sent(0)
    clock = instance.clock
    with site.connect(instance) as sock:
        # At a full engine, 30 tokens take longer than the stop.
        sock.sendall(request("/draft/x", PROMPT.replace("10,3", "10,30")))
        queues = instance.dispatcher.queues
        site.wait(lambda: any(len(q.fair_queue) for q in queues.values()))
        began_at = clock.monotonic()
        stopping = gevent.spawn(instance.stop)
        reply = standins.read_reply(sock)
        taken_s = clock.monotonic() - began_at
    stopping.join()
    assert reply.status == 503
    assert reply.body.startswith(b"instance-leaving")
    assert 0 < float(reply.headers["retry-after"]) < 1
    assert taken_s < ACCEPT_S
    assert not site.targets["e1"].runs


@pytest.mark.parametrize(("tokens", "status"), [(3, 200), (100, 503)])
def test_a_stream_that_outlasts_the_instance_is_refused_at_once(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    tokens: int,
    status: int,
) -> None:
    """Guards against streams that begin only to be cut off at the stop."""
    prompt = {"X-Token-Count": f"10,{tokens}", "X-Prefix-Hash": "aa:5,bb:5"}
    stopping = gevent.spawn(instance.stop)
    site.wait(lambda: instance.lifecycle.closing)
    reply = site.ask(instance, "/draft/x", "late", prompt)
    stopping.join()
    assert reply.status == status
    assert len(site.targets["e1"].runs) == (status == 200)


def test_a_connection_is_not_closed_before_that_was_announced(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """Guards against a close after an answer that began before the stop."""
    site.targets["e1"].pause_s = 0.05
    with site.connect(instance) as sock:
        sock.sendall(request("/draft/x", PROMPT))
        site.wait(lambda: site.targets["e1"].runs)
        site.wait(lambda: any(c.started for c in instance.server._conns))
        stopping = gevent.spawn(instance.stop)
        reply = standins.read_reply(sock)
        assert reply.complete
        assert "connection" not in reply.headers
        sock.sendall(request("/look/x"))
        reply = standins.read_reply(sock)
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
    stopping.join()
    assert stopping.value


# A fixed time was left for the refusals, which many requests exceeded.
def test_a_stop_waits_until_all_requests_are_refused(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    count = 300
    site.targets["t1"].script.extend([Behaviour.HANG] * count)
    callers = []
    for _ in range(count):
        callers.append(site.connect(instance))
        callers[-1].sendall(request("/pay/x"))
    site.wait(lambda: instance.lifecycle.in_flight == count)
    assert not instance.stop()
    # Whatever is left is lost with the process.
    assert instance.lifecycle.in_flight == 0
    for sock in callers:
        sock.close()


SENDS_S = 0.5


# Connections with an answer that their callers had not read were reset by the
# end of the process.
@pytest.mark.parametrize("refused_s", [0.0, SENDS_S - 0.1])
def test_a_stop_waits_for_callers_that_are_still_sending(
    site: standins.Site, instance: gateway.GatewayInstance, refused_s: float
) -> None:
    with site.connect(instance) as sock:
        stopping = gevent.spawn(instance.stop)
        began_at = instance.clock.monotonic()
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n")
        gevent.sleep(refused_s)
        sock.sendall(b"a line without a colon\r\n\r\n")
        while instance.clock.monotonic() < began_at + SENDS_S:
            assert not stopping.ready()
            sock.sendall(b"x" * 9_000)
            gevent.sleep(0.01)
        reply = standins.read_reply(sock)
        assert not stopping.ready()
    assert (reply.status, reply.complete) == (400, True)
    assert stopping.get()
    assert instance.server.lingering == 0


def test_a_stop_ends_beside_a_caller_that_never_stops_sending(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """Guards against a wait for callers beyond the time left for it."""
    with site.connect(instance) as sock:
        stopping = gevent.spawn(instance.stop)
        began_at = instance.clock.monotonic()
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n")
        gevent.sleep(STOP_LIMIT_S - 0.1)
        sock.sendall(b"a line without a colon\r\n\r\n")
        while not stopping.ready():
            sock.sendall(b"x" * 9_000)
            gevent.sleep(0.01)
        taken_s = instance.clock.monotonic() - began_at
    # Its answer was sent, so nothing was given up.
    assert stopping.get()
    assert STOP_LIMIT_S <= taken_s < STOP_LIMIT_S + _lifecycle.EXIT_RESERVE_S
