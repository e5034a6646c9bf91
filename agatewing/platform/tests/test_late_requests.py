"""Requests that come late in the time that an instance has for its stop."""

import collections.abc
import dataclasses
import time

import gevent
import pytest

from agatewing import detour
from agatewing import gateway
from agatewing.gateway import _caller_conn
from agatewing.gateway import _lifecycle
from agatewing.gateway import _refusals
from agatewing.platform import standins
from agatewing.platform.tests import _standin_peer
from agatewing import wire

#: Time in which an instance that stops still keeps idle connections, and in
#: which it ends what is under way, in seconds.
ACCEPT_S, STOP_LIMIT_S = 0.3, 2.0
#: Times after the stop signal at which the last byte of a request is sent, at
#: which it is read, and at which one with a short deadline is given up, in
#: seconds.
SENT_S, READ_S, SHORT_S = 0.35, 0.5, 1.6
PROMPT = "X-Token-Count: 10,3\r\nX-Prefix-Hash: aa:5,bb:5\r\n"
LONG = "X-Deadline-Ms: 9000\r\n"


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
        made.route("/resumed/", "streaming", sticky=True, resumable=True)
        made.add_target("t1", "ledger", None)
        made.add_target("e1")
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: len(made.catalog.targets) == 2)
    site.wait(lambda: made.lifecycle.ready)
    return made


def request(path: str, fields: str = "") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        f"X-Request-Id: s1\r\nContent-Length: 2\r\n{fields}\r\nab"
    ).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    path: str
    status: int
    #: Headers besides those of every request.
    fields: str = ""
    #: Whether its deadline is before the stop limit.
    short: bool = False
    #: Whether its target takes longer than the instance has.
    slow: bool = True


CASES = {
    "a stream": Case("/draft/x", 503, PROMPT + LONG),
    "a stream without a deadline": Case("/draft/x", 503, PROMPT),
    "a stream that may go on elsewhere": Case("/resumed/x", 503, PROMPT),
    "a call": Case("/pay/x", 503, LONG),
    "a call without a deadline": Case("/pay/x", 503),
    "a repeatable call": Case("/look/x", 503),
    "a call to a fast target": Case("/pay/x", 503, LONG, slow=False),
    "a call with a short deadline": Case(
        "/pay/x", 200, short=True, slow=False
    ),
    "a stream with a short deadline": Case(
        "/draft/x", 200, PROMPT, short=True, slow=False
    ),
    "a call that is late at its deadline": Case("/pay/x", 504, short=True),
}


# A request that came late, on a connection whose end was not announced or
# with a body that took long, was passed on and cut off with the process.
@pytest.mark.parametrize("in_parts", [False, True], ids=["whole", "in parts"])
@pytest.mark.parametrize("name", CASES)
def test_a_late_request_ends_before_the_instance_or_is_refused(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    name: str,
    in_parts: bool,
) -> None:
    case, engine, target = CASES[name], *map(site.targets.get, ("e1", "t1"))
    assert engine is not None
    assert target is not None
    fields = case.fields
    if case.short:
        # It counts from the arrival of the head.
        left_s = SHORT_S - (0.0 if in_parts else READ_S)
        fields += f"X-Deadline-Ms: {left_s * 1_000:.0f}\r\n"
    sent = request(case.path, fields)
    engine.pause_s, engine.events = READ_S / 2, 3
    with site.connect(instance) as sock:
        replies = standins.ReplyReader(sock)
        if in_parts:
            sock.sendall(sent[:-1])
            site.wait(lambda: any(c.busy for c in instance.server._conns))
        else:
            # Its answer has begun before the stop, so it announces nothing.
            sock.sendall(request("/draft/x", PROMPT))
            site.wait(lambda: any(c.started for c in instance.server._conns))
        stopping = gevent.spawn(instance.stop)
        gevent.sleep(SENT_S)
        assert not instance.lifecycle.keeps_idle_connections
        runs_before = len(engine.runs) + len(target.runs)
        if case.slow:
            target.script.append(standins.Behaviour.HANG)
        # Before the answer ends, as the connection may be closed then.
        sock.sendall(sent[-1:] if in_parts else sent)
        # A stream that is under way keeps its number of events.
        engine.events = 99 if case.slow else 3
        if not in_parts:
            assert "connection" not in replies.read().headers
        reply = replies.read()
        refused_in_time = not instance.lifecycle.time_is_up
    stopping.join()
    assert (reply.status, reply.complete) == (case.status, True)
    assert reply.headers["connection"] == "close"
    runs = len(engine.runs) + len(target.runs) - runs_before
    assert runs == (case.status != 503)
    if case.status == 503:
        assert reply.body.startswith(b"instance-leaving")
        assert 0 < float(reply.headers["retry-after"]) < 1
        assert refused_in_time
    assert stopping.value


def test_a_request_that_runs_keeps_all_of_the_time(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """Guards against a refusal that cuts short what has been passed on."""
    engine = site.targets["e1"]
    engine.pause_s, engine.events = STOP_LIMIT_S / 4, 3
    with site.connect(instance) as sock:
        stopping = gevent.spawn(instance.stop)
        site.wait(lambda: instance.lifecycle.closing)
        sock.sendall(request("/draft/x", PROMPT))
        reply = standins.read_reply(sock)
    stopping.join()
    assert (reply.status, reply.complete) == (200, True)
    assert stopping.value


#: Time of one refusal on a small machine, in seconds.
REFUSAL_S = 0.0035
REFUSED = 120


# The time for the refusals at the stop limit was the same for any number of
# requests, so that a small machine ended with some of them unanswered.
def test_a_slow_machine_refuses_all_before_it_ends(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    refuse = _caller_conn.CallerConn.refuse

    def refuse_slowly(
        conn: _caller_conn.CallerConn, refusal: _refusals.GatewayRefusal
    ) -> None:
        time.sleep(REFUSAL_S)
        refuse(conn, refusal)

    monkeypatch.setattr(_caller_conn.CallerConn, "refuse", refuse_slowly)
    site.targets["t1"].script.extend([standins.Behaviour.HANG] * REFUSED)
    callers = [site.connect(instance) for _ in range(REFUSED)]
    for sock in callers:
        sock.sendall(request("/pay/x"))
    site.wait(lambda: instance.lifecycle.in_flight == REFUSED)
    assert not instance.stop()
    # Whatever is left is lost with the process.
    assert instance.lifecycle.in_flight == 0
    for sock in callers:
        assert standins.read_reply(sock).status == 502
        sock.close()


# A process that had not run until after its limit ended without a refusal.
def test_a_process_that_stood_still_refuses_before_it_ends(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    site.targets["t1"].script.append(standins.Behaviour.HANG)
    with site.connect(instance) as sock:
        sock.sendall(request("/pay/x"))
        site.wait(lambda: site.targets["t1"].runs)
        # Blocks the loop of this process, which is the instance's too.
        standstill_s = STOP_LIMIT_S + _lifecycle.EXIT_RESERVE_S
        gevent.spawn_later(1.5 * ACCEPT_S, time.sleep, standstill_s)
        assert not instance.stop()
        # Whatever is left is lost with the process.
        assert instance.lifecycle.in_flight == 0
        assert standins.read_reply(sock).status == 502


# So was one of a peer whose body had not come before the stop.
def test_a_late_request_of_a_peer_is_left_to_another(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    site.targets["t1"].script.append(standins.Behaviour.HANG)
    address = instance.settings.peer_address
    clients = detour.HopClient(
        instance.clock, wire.Codec(_standin_peer.SECRET)
    )
    host = wire.HopField(name=b"Host", value=standins.HOST.encode())
    name = wire.HopField(name=b"X-Request-Id", value=b"s1")
    offered = wire.HopRequest(
        method=b"POST",
        target=b"/pay/x",
        headers=[host, name],
        body_bytes=2,
        service_name="ledger",
        waited_ms=0,
        left_ms=9_000,
        targets_left=1,
        excluded=[],
        config_version=instance.catalog.config_version,
    )
    hop = clients.open(address, offered, 1.0)
    stopping = gevent.spawn(instance.stop)
    gevent.sleep(SENT_S)
    deadline = instance.clock.monotonic() + STOP_LIMIT_S
    hop.send_body(b"ab", deadline)
    refusal = hop.read_head(deadline)
    hop.close()
    stopping.join()
    assert isinstance(refusal, wire.HopRefusal)
    assert (refusal.status, refusal.kind) == (503, "instance-leaving")
    assert refusal.not_taken
    assert not site.targets["t1"].runs
    assert stopping.value
