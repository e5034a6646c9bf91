"""Odd requests that once ended without an answer."""

import collections.abc

import pytest

from agatewing import gateway
from agatewing.platform import standins


@pytest.fixture(scope="module")
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/look/", "safe", "ledger", max_attempts=2)
        made.route("/draft/", "streaming", sticky=True)
        made.add_target("t1", "ledger", None)
        made.add_target("e1")
        made.publish()
        instance = made.start()
        made.wait(lambda: len(instance.catalog.targets) == 2)
        made.wait(lambda: instance.lifecycle.ready)
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    return site.instances[0]


REFUSED_HEADS = {
    "no route": ("/nowhere/", 404),
    "no configuration": ("/look/x", 503),
}


# A refusal has a body, which an answer to HEAD must not have.
@pytest.mark.parametrize("name", REFUSED_HEADS)
def test_a_refused_head_request_gets_the_head_of_the_refusal(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
) -> None:
    path, status = REFUSED_HEADS[name]
    if name == "no configuration":
        monkeypatch.setattr(instance.catalog, "configuration", None)
    request = f"HEAD {path} HTTP/1.1\r\nHost: {standins.HOST}\r\n\r\n"
    with site.connect(instance) as sock:
        sock.settimeout(2.0)
        sock.sendall(request.encode())
        answer = sock.recv(4_096)
        assert answer.startswith(b"HTTP/1.1 %d" % status)
        assert answer.endswith(b"\r\n\r\n")


# The number was too long to convert, and the connection ended.
@pytest.mark.parametrize(
    "header",
    ["X-Deadline-Ms", "X-Token-Count", "X-Length-Hint", "X-Prefix-Hash"],
)
@pytest.mark.parametrize("digits", [400, 5_000])
def test_a_number_with_too_many_digits_counts_as_absent(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    header: str,
    digits: int,
) -> None:
    number = "9" * digits
    fields = {"X-Token-Count": "100,3", "X-Prefix-Hash": "aa:50,bb:50"}
    fields[header] = f"aa:{number}" if header == "X-Prefix-Hash" else number
    reply = site.ask(instance, "/draft/x", f"long {header}", fields)
    assert reply.status == 200
    assert reply.complete


def test_a_length_with_too_many_digits_is_too_large(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    fields = {"Content-Length": "9" * 5_000}
    reply = site.ask(instance, "/look/x", "long length", fields)
    assert reply.status in (400, 413)


# Only the exceptions of a refusal were answered while a request was read.
def test_a_defect_while_a_request_is_read_is_answered(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*args: object) -> None:
        raise RuntimeError("a defect")

    dialect = type(instance.platform.dialect)
    monkeypatch.setattr(dialect, "read_request", fail)
    reply = site.ask(instance, "/look/x", "defect")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert not any(run.id == "defect" for run in site.targets["t1"].runs)
