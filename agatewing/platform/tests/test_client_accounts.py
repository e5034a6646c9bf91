"""Requests of client accounts, over real connections.

A key that is passed on, an account that a caller names itself, or a key that
was taken away and still works would let callers act as somebody else.
"""

import collections.abc
import dataclasses
import itertools
import logging

import msgspec
import pytest

from agatewing import accounts
from agatewing import detour
from agatewing import fleetlog
from agatewing import gateway
from agatewing.gateway import _context
from agatewing.gateway import _contracts
from agatewing.platform import standins
from agatewing.platform.tests import _every_route
from agatewing.platform.tests import test_detours
from agatewing import wire

Behaviour = standins.Behaviour
SHOP = {"name": "shop", "api_keys": ["key-of-shop", "second-key"]}
PORT = {"name": "port", "api_keys": ["key-of-port"], "priority": 0}
#: One route of each kind.
ROUTES = ["/look/x", "/pay/x", "/chat/x", "/draft/x", "/long/x"]
PROMPTED = ("/chat/x", "/draft/x", "/long/x")
_NUMBERS = itertools.count(1)


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.tenants = [SHOP, PORT]
        made.route("/open/", "safe", "ledger", public=True)
        _every_route.publish(made)
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    return _every_route.start_ready(site, "i1")[0]


def ask(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    **headers: str,
) -> tuple[standins.Reply, list[dict[str, str]]]:
    """Send a request; return its answer and the headers at targets."""
    fields = {k.replace("_", "-"): v for k, v in headers.items()}
    if path in PROMPTED:
        fields |= _every_route.PROMPT_HEADERS
    name = f"r{next(_NUMBERS)}"
    reply = site.ask(instance, path, name, fields)
    got = [
        run.headers
        for target in site.targets.values()
        for run in (*target.runs, *target.prefills)
        if run.id == name
    ]
    return reply, got


@pytest.mark.parametrize("path", ROUTES)
def test_a_target_gets_the_account_and_no_key(
    site: standins.Site, instance: gateway.GatewayInstance, path: str
) -> None:
    reply, got = ask(
        site, instance, path, X_Api_Key="key-of-shop", X_Tenant="port"
    )
    assert reply.status == 200
    assert got
    assert {headers["x-tenant"] for headers in got} == {"shop"}
    assert not any("x-api-key" in headers for headers in got)


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    lines: str


ODD_KEYS = {
    "none": Refused(""),
    "unknown": Refused("X-Api-Key: key-of-shoq\r\n"),
    "empty": Refused("X-Api-Key:\r\n"),
    "two": Refused("X-Api-Key: key-of-shop\r\nX-Api-Key: key-of-shop\r\n"),
    "a list": Refused("X-Api-Key: key-of-shop, key-of-port\r\n"),
    "8 kB": Refused(f"X-Api-Key: {'k' * 8_192}\r\n"),
    "no text": Refused("X-Api-Key: \xff\xfe\r\n"),
    "the account instead": Refused("X-Tenant: shop\r\n"),
}
FRAMINGS = {
    "length": "Content-Length: 3\r\n\r\nabc",
    "chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", ODD_KEYS)
def test_a_request_without_a_usable_key_is_refused(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    name: str,
    framing: str,
) -> None:
    head = (
        f"POST /pay/x HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        f"X-Request-Id: odd\r\n{ODD_KEYS[name].lines}{FRAMINGS[framing]}"
    )
    with site.connect(instance) as sock:
        sock.sendall(head.encode("latin-1"))
        reply = standins.read_reply(sock)
    assert reply.status == 401
    assert b"key" in reply.body
    assert not any(target.runs for target in site.targets.values())


def test_a_key_of_16_kb_is_refused(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    reply, got = ask(site, instance, "/look/x", X_Api_Key="k" * 16_384)
    assert (reply.status, got) == (431, [])


@pytest.mark.parametrize(
    ("key", "account"),
    [(None, None), ("unknown", None), ("key-of-port", "port")],
)
def test_a_public_route_needs_no_key(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    key: str | None,
    account: str | None,
) -> None:
    fields = {"X_Api_Key": key} if key else {}
    reply, got = ask(site, instance, "/open/x", X_Tenant="shop", **fields)
    assert reply.status == 200
    assert [headers.get("x-tenant") for headers in got] == [account]
    assert not any("x-api-key" in headers for headers in got)


def test_without_accounts_headers_are_passed_on(site: standins.Site) -> None:
    site.tenants = None
    site.publish()
    instance = _every_route.start_ready(site, "i1")[0]
    reply, got = ask(
        site, instance, "/look/x", X_Api_Key="any", X_Tenant="own"
    )
    assert reply.status == 200
    assert [(h["x-api-key"], h["x-tenant"]) for h in got] == [("any", "own")]


def test_a_key_that_is_taken_away_ends_on_open_connections(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    request = (
        f"GET /look/x HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        "X-Request-Id: kept\r\nX-Api-Key: second-key\r\n\r\n"
    ).encode()
    with site.connect(instance) as sock:
        reader = standins.ReplyReader(sock)
        sock.sendall(request)
        assert reader.read().status == 200
        site.tenants = [{"name": "shop", "api_keys": ["key-of-shop"]}, PORT]
        version = site.publish()
        site.wait(lambda: instance.catalog.config_version == version)
        sock.sendall(request)
        assert reader.read().status == 401


@pytest.mark.parametrize("path", ["/pay/x", "/chat/x"])
def test_a_request_is_identified_again_before_it_is_sent_again(
    site: standins.Site, instance: gateway.GatewayInstance, path: str
) -> None:
    """Its key is taken away after a target turned it away unread."""
    for target in site.targets.values():
        target.script.append(Behaviour.NOT_RUN)
    found = instance.catalog.accounts
    calls = itertools.count()

    class Withdrawn:
        def identify(
            self, digest: str, public: bool
        ) -> accounts.Identity | accounts.Rejected:
            if next(calls) < 2:
                return found.identify(digest, public)
            return accounts.Rejected()

    instance.catalog.accounts = Withdrawn()  # type: ignore[assignment]
    reply, got = ask(site, instance, path, X_Api_Key="key-of-shop")
    assert (reply.status, got) == (401, [])


@pytest.mark.parametrize("path", ROUTES)
def test_a_peer_identifies_the_account_itself(
    site: standins.Site, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, _ = _every_route.start_ready(site, "i1", "i2")
    test_detours.cut(first, "i2")
    sent: list[str] = []
    offer = detour.HopClient.open

    def record(
        client: detour.HopClient,
        address: str,
        request: wire.HopRequest,
        timeout_s: float,
    ) -> detour.Hop:
        sent.append(repr(request))
        return offer(client, address, request, timeout_s)

    monkeypatch.setattr(detour.HopClient, "open", record)
    reply, got = ask(site, first, path, X_Api_Key="key-of-shop")
    assert reply.status == 200
    assert {headers["x-tenant"] for headers in got} == {"shop"}
    assert sent
    assert "key-of-shop" not in "".join(sent)


def test_requests_of_accounts_go_to_no_release_that_knows_none(
    site: standins.Site,
) -> None:
    first, _ = _every_route.start_ready(site, "i1", "i2")
    test_detours.cut(first, "i2")
    known = first.peers.known["i2"]
    first.peers.known["i2"] = msgspec.structs.replace(
        known, identifies_accounts=False
    )
    reply, got = ask(site, first, "/pay/x", X_Api_Key="key-of-shop")
    assert (reply.status, got) == (503, [])


def test_a_configuration_of_a_release_without_accounts_is_not_believed(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    present = instance.catalog.configuration
    assert present is not None
    older = dataclasses.replace(
        present,
        version=present.version + 1,
        client_accounts=None,
        accounts_known=False,
    )
    snapshot = _contracts.Snapshot(older, (), 0, 0.0)
    instance.catalog.merge_snapshot(snapshot, "an older release")
    assert instance.catalog.config_version == present.version
    reply, _ = ask(site, instance, "/look/x")
    assert reply.status == 401


@pytest.mark.parametrize(
    "tenants",
    [
        "shop",
        [{"api_keys": ["k"]}],
        [{"name": "a\r\nb", "api_keys": []}],
        [{"name": "shop", "api_keys": [7]}],
    ],
)
def test_accounts_that_cannot_be_read_leave_the_former_in_force(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    tenants: object,
    caplog: pytest.LogCaptureFixture,
) -> None:
    before = instance.catalog.config_version
    site.tenants = tenants  # type: ignore[assignment]
    with caplog.at_level(logging.ERROR):
        site.publish()
        site.wait(lambda: caplog.records)
    assert "tenants" in str(caplog.records[0].__dict__["reason"])
    assert instance.catalog.config_version == before
    reply, _ = ask(site, instance, "/look/x", X_Api_Key="key-of-shop")
    assert reply.status == 200


def test_no_key_is_logged_counted_or_written(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.DEBUG):
        for path in ROUTES:
            ask(site, instance, path, X_Api_Key="key-of-shop")
        ask(site, instance, "/look/x", X_Api_Key="key-of-nobody")
    metrics = instance.render_metrics()[0].decode()
    assert 'agatewing_account_requests_total{account="shop"} 5' in metrics
    assert 'agatewing_account_begun_total{account="shop"} 5' in metrics
    assert "agatewing_unknown_keys_total 1" in metrics
    known = instance.catalog.configuration
    written = [
        record
        for topic in fleetlog.Topic
        if topic is not fleetlog.Topic.CONFIGURATION
        for record in _records(site, topic)
    ]
    logged = [str(record.__dict__) for record in caplog.records]
    for text in (metrics, *logged, str(known), *written):
        assert "key-of-shop" not in text
        assert "key-of-nobody" not in text


def _records(site: standins.Site, topic: fleetlog.Topic) -> list[str]:
    page = site.logs["i1"].read_newest(topic)
    assert isinstance(page, fleetlog.Page)
    return [str(record) for record in page.records]


def test_a_request_is_the_same_with_another_key_of_its_account(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """A request that crashes targets would be forgotten with each key."""
    prints = []
    handle = instance.server._handle

    def record(job: _context.Job) -> None:
        prints.append(job.req.fingerprint)
        handle(job)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(instance.server), "_handle", record_of(record))
        for key in ("key-of-shop", "second-key", "key-of-port"):
            ask(site, instance, "/look/x", X_Api_Key=key)
    assert prints[0] == prints[1] != prints[2]


def record_of(
    record: collections.abc.Callable[[_context.Job], None],
) -> collections.abc.Callable[[object, _context.Job], None]:
    """Return a method that calls a function."""
    return lambda server, job: record(job)


def test_a_peer_that_knows_of_no_accounts_yet_takes_no_request_of_one(
    site: standins.Site,
) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    test_detours.cut(first, "i2")
    present = second.catalog.configuration
    assert present is not None
    second.catalog.configuration = dataclasses.replace(
        present, version=present.version - 1, client_accounts=None
    )
    second.catalog.accounts = accounts.AccountTable(None)
    reply, got = ask(
        site, first, "/pay/x", X_Api_Key="key-of-shop", X_Tenant="port"
    )
    assert (reply.status, got) == (503, [])
