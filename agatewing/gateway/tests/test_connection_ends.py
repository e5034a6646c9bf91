"""Connections of callers that end beside a request or an answer."""

import collections.abc
import time

import pytest

from agatewing import gateway
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
