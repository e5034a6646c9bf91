"""Requests under way when an instance is stopped."""

import collections.abc

import gevent
import pytest

from agatewing import gateway
from agatewing.gateway import _lifecycle
from agatewing.platform import standins

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
