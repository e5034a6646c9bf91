"""Connections of callers that end beside a request or an answer."""

import collections.abc
import socket
import time

import gevent
import pytest

from agatewing import gateway
from agatewing.gateway import _server
from agatewing.platform import standins

HEAD = (
    f"POST /look/x HTTP/1.1\r\nHost: {standins.HOST}\r\nX-Request-Id: a\r\n"
).encode()
IDLE_S = 0.5
HEAD_TIMEOUT_S = 0.3


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/look/", "safe", "ledger", max_attempts=2)
        made.add_target("t1", "ledger", None)
        made.publish(
            max_body_bytes=5_000,
            header_timeout_ms=HEAD_TIMEOUT_S * 1_000,
            idle_timeout_ms=IDLE_S * 1_000,
        )
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: made.lifecycle.ready)
    return made


BESIDE_A_TIMEOUT = {
    "idle, then a request": (b"", HEAD + b"Content-Length: 0\r\n\r\n"),
    "head, then its rest": (HEAD, b"Content-Length: 0\r\n\r\n"),
    "body, then its rest": (HEAD + b"Content-Length: 2\r\n\r\na", b"b"),
}


# The time-out was seen before the bytes, if a process that had not run for a
# while found both; the request was dropped, or refused though it was there.
@pytest.mark.parametrize("name", BESIDE_A_TIMEOUT)
def test_bytes_that_have_arrived_count_more_than_a_timeout(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    before, rest = BESIDE_A_TIMEOUT[name]
    with site.connect(instance) as sock:
        sock.sendall(before)
        site.wait(lambda: len(instance.server._conns) == 1)
        # Blocks the loop of this process, which is the instance's too.
        time.sleep(0.1)
        sock._sock.send(rest)
        time.sleep(4 * HEAD_TIMEOUT_S)
        assert standins.read_reply(sock).status == 200


# The limit was read once, when the wait began, and a lowered one applied at
# once, though callers may know the older one still.
@pytest.mark.parametrize(
    ("limit_s", "changed_s", "idles_before"),
    [(IDLE_S, 6 * IDLE_S, True), (6 * IDLE_S, IDLE_S, False)],
    ids=["raised while idle", "lowered just before"],
)
def test_an_idle_connection_is_kept_for_the_longest_limit_of_late(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    limit_s: float,
    changed_s: float,
    idles_before: bool,
) -> None:
    def publish(idle_s: float) -> None:
        version = site.publish(idle_timeout_ms=idle_s * 1_000)
        site.wait(lambda: instance.catalog.config_version == version)

    publish(limit_s)
    if not idles_before:
        publish(changed_s)
    with site.connect(instance) as sock:
        sock.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        assert standins.read_reply(sock).status == 200
        if idles_before:
            publish(changed_s)
        gevent.sleep(2 * IDLE_S)
        sock.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        assert standins.read_reply(sock).status == 200


# The limits of a head were those of the time at which the wait began.
def test_a_head_counts_by_the_limits_of_its_arrival(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    site.publish(max_header_bytes=1_000)
    site.wait(lambda: _limits(instance).max_head_bytes == 1_000)
    with site.connect(instance) as sock:
        site.wait(lambda: instance.server._conns)
        site.publish(max_header_bytes=9_000)
        site.wait(lambda: _limits(instance).max_head_bytes == 9_000)
        sock.sendall(HEAD + b"A: " + b"b" * 5_000 + b"\r\n\r\n")
        assert standins.read_reply(sock).status == 200


def _limits(instance: gateway.GatewayInstance) -> gateway.CallerLimits:
    configuration = instance.catalog.configuration
    assert configuration is not None
    return configuration.limits


REFUSED_EARLY = {
    "body too large": (HEAD + b"Content-Length: 9000000\r\n\r\n", 413),
    "chunks too large": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n200000\r\n",
        413,
    ),
    "malformed head": (b"GET / HTTP/1.1\nHost: x\r\n\r\n", 400),
    "head too large": (HEAD + b"A: " + b"b" * 70_000, 431),
    "slow body": (HEAD + b"Content-Length: 4000\r\n\r\n", 408),
    "the last answer, and another request": (
        HEAD + b"Connection: close\r\n\r\n" + HEAD,
        200,
    ),
}


# Unread bytes made the kernel reset the connection, so that callers that send
# a whole body first, as most do, saw a broken connection and no refusal.
@pytest.mark.parametrize("name", REFUSED_EARLY)
def test_a_caller_that_is_still_sending_gets_its_answer(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    begin, status = REFUSED_EARLY[name]
    with site.connect(instance) as sock:
        sock.sendall(begin)
        if name == "slow body":
            gevent.sleep(5 * HEAD_TIMEOUT_S)
        for _ in range(20):
            sock.sendall(b"x" * 50_000)
            gevent.sleep(0.01)
        reply = standins.read_reply(sock)
        assert reply.status == status
        assert reply.complete


def test_a_caller_that_never_stops_sending_is_closed(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    with site.connect(instance) as sock, pytest.raises(OSError):
        sock.sendall(HEAD + b"Content-Length: 900000000\r\n\r\n")
        with gevent.Timeout(5.0, AssertionError("was not closed")):
            while True:
                sock.sendall(b"x" * 50_000)


@pytest.mark.parametrize("limit", [0, 2])
def test_the_number_of_lingering_connections_is_limited(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    monkeypatch: pytest.MonkeyPatch,
    limit: int,
) -> None:
    monkeypatch.setattr(_server, "MAX_LINGERING", limit)
    socks = [site.connect(instance) for _ in range(4)]
    for sock in socks:
        sock.sendall(b"GET / HTTP/1.1\nHost: x\r\n\r\n")
        assert standins.read_reply(sock).status == 400
    gevent.sleep(0.1)
    assert instance.server.lingering == limit
    for sock in socks:
        sock.close()
    site.wait(lambda: instance.server.lingering == 0)


# Both look the same until something is written. The engine has to stop for a
# caller that has left, and one that reads on got nothing.
@pytest.mark.parametrize("behaviour", ["answer", "hang"])
def test_a_caller_that_shuts_its_write_side_down_is_refused(
    site: standins.Site, instance: gateway.GatewayInstance, behaviour: str
) -> None:
    target = site.targets["t1"]
    target.script.append(standins.Behaviour(behaviour))
    with site.connect(instance) as sock:
        sock.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
        if behaviour == "hang":
            site.wait(lambda: target.runs)
        sock.shutdown(socket.SHUT_WR)
        reply = standins.read_reply(sock)
    assert reply.complete
    # 503 promises that the request has not run.
    assert reply.status == (502 if target.runs else 503)
    site.wait(lambda: target.dropped == [run.id for run in target.runs])
    site.wait(lambda: instance.lifecycle.in_flight == 0)


# The end of input was looked at only once a request was under way, so that
# engines worked for callers that had left while the process did not run.
def test_a_request_whose_caller_has_left_is_not_sent(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    site.targets["t1"].script.append(standins.Behaviour.HANG)
    with site.connect(instance) as sock:
        site.wait(lambda: instance.server._conns)
        gevent.sleep(0.05)
        sock._sock.send(HEAD + b"Content-Length: 0\r\n\r\n")
    site.wait(lambda: not instance.server._conns)
    assert not site.targets["t1"].runs


# A hedge that began after the deadline failed last, so that the caller was
# told that the target had failed.
def test_a_deadline_that_passes_while_the_process_stands_still_is_named(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    target = site.targets["t1"]
    target.script.append(standins.Behaviour.HANG)
    headers = {"X-Deadline-Ms": "400"}
    asked = gevent.spawn(site.ask, instance, "/look/x", "a", headers)
    site.wait(lambda: target.runs)
    # Blocks the loop of this process, which is the instance's too.
    time.sleep(0.6)
    reply = asked.get()
    assert (reply.status, reply.complete) == (504, True)
