"""Connections of callers: message framing, limits and keep-alive."""

import collections.abc

import gevent
import hypothesis
from hypothesis import strategies
import pytest

from agatewing import gateway
from agatewing.gateway import _head_check
from agatewing.platform import standins

LOOK_REQUEST_START = (
    b"POST /look/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: a\r\n"
)

BAD_HEADS = {
    "bare LF ends a line": b"GET / HTTP/1.1\nHost: x\r\n\r\n",
    "bare LF inside": b"GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n",
    "bare CR": b"GET / HTTP/1.1\r\nHost: x\rA: b\r\n\r\n",
    "NUL": b"GET / HTTP/1.1\r\nHost: x\r\nA: \x00\r\n\r\n",
    "folded header": b"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
    "space before colon": b"GET / HTTP/1.1\r\nHost: x\r\nA : b\r\n\r\n",
    "no colon": b"GET / HTTP/1.1\r\nHost: x\r\nA\r\n\r\n",
    "two lengths": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\n"
    ),
    "the same length twice": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"content-length: 1\r\n\r\n"
    ),
    "length and coding": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    ),
    "negative length": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"
    ),
    "signed length": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n"
    ),
    "list of lengths": (
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\n"
    ),
    "another coding": (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n"
    ),
    "two codings": (
        b"POST / HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: gzip, chunked\r\n\r\n"
    ),
    "no host": b"GET / HTTP/1.1\r\nA: b\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "space in the path": b"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
    "another protocol": b"GET / HTTP/2.0\r\nHost: x\r\n\r\n",
}


@pytest.mark.parametrize("name", BAD_HEADS)
def test_an_ambiguous_head_is_refused(name: str) -> None:
    assert _head_check.fault(BAD_HEADS[name]) is not None


@pytest.mark.parametrize(
    "head",
    [
        b"GET /a/b?c=%0a HTTP/1.1\r\nHost: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x:80\r\nContent-Length: 12\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET / HTTP/1.0\r\nHost: x\r\nA:\r\n\r\n",
    ],
)
def test_a_valid_head_is_accepted(head: bytes) -> None:
    assert _head_check.fault(head) is None


@hypothesis.given(strategies.binary(max_size=200))
def test_fuzz_accepted_heads_have_one_host_and_no_bare_lf(raw: bytes) -> None:
    head = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + raw + b"\r\n\r\n"
    if _head_check.fault(head) is None:
        lines = head[:-4].split(b"\r\n")
        assert all(b"\n" not in line for line in lines)
        assert sum(line.lower().startswith(b"host:") for line in lines) == 1


@pytest.fixture(scope="module")
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/look/", "safe", "ledger", max_attempts=2)
        made.add_target("t1", "ledger", None)
        made.publish(
            max_header_bytes=2_000,
            max_body_bytes=5_000,
            header_timeout_ms=200,
            idle_timeout_ms=700,
        )
        instance = made.start()
        made.wait(lambda: instance.lifecycle.ready)
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    return site.instances[0]


EXCHANGES = {
    "malformed head": (b"GET / HTTP/1.1\nHost: x\n\n", 400),
    "smuggled framing": (
        LOOK_REQUEST_START
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        400,
    ),
    "odd chunk": (
        LOOK_REQUEST_START
        + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        400,
    ),
    "chunk without its end": (
        LOOK_REQUEST_START
        + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
        400,
    ),
    "head too large": (
        LOOK_REQUEST_START + b"A: " + b"b" * 3_000 + b"\r\n\r\n",
        431,
    ),
    "length too large": (
        LOOK_REQUEST_START + b"Content-Length: 5001\r\n\r\n",
        413,
    ),
    "chunks too large": (
        LOOK_REQUEST_START
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"1388\r\n"
        + b"x" * 5_000
        + b"\r\n1\r\nx\r\n",
        413,
    ),
    "slow head": (LOOK_REQUEST_START, 408),
    "slow body": (LOOK_REQUEST_START + b"Content-Length: 5\r\n\r\nab", 408),
    "unknown path": (
        b"GET /nowhere/ HTTP/1.1\r\nHost: site.example\r\n\r\n",
        404,
    ),
    "unknown host": (b"GET /look/ HTTP/1.1\r\nHost: other\r\n\r\n", 404),
}


@pytest.mark.parametrize("name", EXCHANGES)
def test_an_invalid_request_is_refused_and_runs_nowhere(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    raw, status = EXCHANGES[name]
    before = len(site.targets["t1"].runs)
    with site.connect(instance) as sock:
        sock.sendall(raw)
        assert standins.read_reply(sock).status == status
    assert len(site.targets["t1"].runs) == before


def test_a_kept_connection_serves_requests_in_order(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    with site.connect(instance) as sock:
        for number in range(3):
            request_id = f"k{number}"
            head = LOOK_REQUEST_START.replace(
                b": a", b": " + request_id.encode()
            )
            sock.sendall(head + b"Content-Length: 2\r\n\r\nhi")
            reply = standins.read_reply(sock)
            assert reply.body == b"body of " + request_id.encode()
        gevent.sleep(0.3)
        sock.sendall(LOOK_REQUEST_START + b"Content-Length: 0\r\n\r\n")
        assert standins.read_reply(sock).status == 200


def test_a_chunked_body_arrives_byte_for_byte(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    with site.connect(instance) as sock:
        sock.sendall(
            LOOK_REQUEST_START + b"Transfer-Encoding: chunked\r\n\r\n3\r\nab"
        )
        gevent.sleep(0.01)
        sock.sendall(b"\n\r\n2;x=y\r\n\r\n\r\n0\r\n\r\n")
        assert standins.read_reply(sock).status == 200
    assert site.targets["t1"].runs[-1].body == b"ab\n\r\n"


def test_an_idle_connection_is_closed_after_its_timeout(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    with site.connect(instance) as sock:
        assert sock.recv(1) == b""


def test_callers_cannot_set_headers_of_the_gateway(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    forged = {
        "X-Kv-Source": "10.0.0.1:1/h",
        "X-Kv-Hold": "h",
        "X-Pin-Ms": "9",
        "X-Kv-Backup": "10.0.0.1:1",
        "X-Expect-Instance": "other",
        "X-Stage": "prefill",
        "X-Request-Priority": "0",
        "X-Other": "kept",
        "Connection": "X-Hop",
        "X-Hop": "dropped",
    }
    reply = site.ask(instance, "/look/x", "forged", forged)
    assert reply.status == 200
    headers = site.targets["t1"].runs[-1].headers
    assert headers["x-expect-instance"] == "t1"
    assert headers["x-other"] == "kept"
    for name in ("x-kv-source", "x-kv-hold", "x-pin-ms", "x-kv-backup"):
        assert name not in headers
    assert "x-stage" not in headers
    assert "x-request-priority" not in headers
    assert "x-hop" not in headers
