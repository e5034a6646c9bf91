"""Reports of usage at the platform's address for duties."""

import collections.abc
import functools
import time

import gevent
import gevent.server
import gevent.socket
import msgspec
import pytest

from agatewing import duties
from agatewing import gateway
from agatewing import platform
from agatewing.platform import standins

HEAD_END = b"\r\n\r\n"


class Address:
    """Takes calls; answers with a status, or not at all."""

    def __init__(self, status: int | None) -> None:
        self._status = status
        #: Heads and bodies of the calls.
        self.calls: list[tuple[str, bytes]] = []
        #: Whether each connection that was not answered was reset.
        self.resets: list[bool] = []
        self._server = gevent.server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        data = b""
        try:
            while piece := sock.recv(65_536):
                data += piece
                head, end, body = data.partition(HEAD_END)
                size = head.lower().partition(b"content-length: ")[2]
                if not end or len(body) < int(size.split()[0]):
                    continue
                self.calls.append((head.decode(), body))
                data = b""
                if self._status is not None:
                    sock.sendall(
                        b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n"
                        % self._status
                    )
            self.resets.append(False)
        except ConnectionResetError:
            self.resets.append(True)


@pytest.fixture
def address(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[Address]:
    made = Address(getattr(request, "param", 200))
    yield made
    made.stop()


def _report(
    address: Address, may_send: bool = True
) -> duties.CallResult | None:
    port = platform.connect("127.0.0.1:1", address.address).duty_port
    assert port is not None
    return port.report_usage(7, {"acme": 3}, "i1", 12, lambda: may_send)


@pytest.mark.parametrize(
    ("address", "expected"),
    (
        (200, duties.Accepted()),
        (429, duties.Busy()),
        (409, duties.Refused("status 409")),
        (503, duties.NoAnswer("status 503")),
    ),
    indirect=["address"],
)
def test_a_report_and_its_answer(
    address: Address, expected: duties.CallResult
) -> None:
    assert _report(address) == expected
    ((head, body),) = address.calls
    assert head.startswith("POST /usage HTTP/1.1\r\n")
    fields = {line.lower() for line in head.split("\r\n")}
    assert {"x-lease-holder: i1", "x-fencing-token: 12"} <= fields
    assert msgspec.json.decode(body) == {"window": 7, "counts": {"acme": 3}}


def test_nothing_is_sent_without_the_claim(address: Address) -> None:
    assert isinstance(_report(address, False), duties.NoAnswer)
    assert not address.calls


@pytest.mark.parametrize("address", (None,), indirect=True)
def test_a_call_without_an_answer_is_reset_in_time(address: Address) -> None:
    begin = time.monotonic()
    assert isinstance(_report(address), duties.NoAnswer)
    assert time.monotonic() - begin < 2 * duties.ORDER_TIMEOUT_S
    gevent.sleep(0.1)
    assert address.resets == [True]


def test_a_platform_without_an_address_has_no_port() -> None:
    assert platform.connect("127.0.0.1:1").duty_port is None


def test_duties_are_named_as_the_platform_names_them() -> None:
    connected = platform.connect(
        "127.0.0.1:1", "127.0.0.1:2", ("usage_report", "other")
    )
    assert connected.duty_kinds == {duties.Duty.USAGE}


def _publish(site: standins.Site) -> None:
    """Publish the configuration anew, with an account."""
    site.store.put(
        "keyed.op",
        "config",
        {
            "version": site.version + 3,
            "routes": site.routes,
            "services": [
                {
                    "name": "ledger",
                    "health_path": "/health",
                    "max_conns": site.max_conns,
                }
            ],
            "tenants": [{"name": "acme", "api_keys": ["k1"]}],
        },
    )


def _knows_all(instance: gateway.GatewayInstance) -> bool:
    """Return whether an instance knows its accounts and two others."""
    return (
        instance.lifecycle.ready
        and instance.catalog.accounts.in_force
        and len(instance.load_reports.alive()) == 2
    )


ACCEPTED = 'agatewing_usage_reports_total{outcome="accepted"}'


def test_instances_report_what_began_at_all_of_them(address: Address) -> None:
    named = gateway.Duties(
        address=address.address,
        kinds=("usage_report",),
        usage_window_s=1.0,
        usage_late_s=2.0,
    )
    with standins.Site({"duties": named}) as site:
        site.route("/look/", "safe", "ledger")
        site.add_target("t1", "ledger", None)
        site.publish()
        _publish(site)
        instances = [site.start(name) for name in ("i1", "i2", "i3")]
        for instance in instances:
            site.wait(functools.partial(_knows_all, instance))
        for instance in instances:
            reply = site.ask(instance, "/look/x", headers={"X-Api-Key": "k1"})
            assert reply.status == 200
        site.wait(lambda: _total(address) >= len(instances))
        holders = [i for i in instances if i.usage and i.usage.holds]
        # The report is counted here before the holder reads its answer.
        site.wait(lambda: ACCEPTED in _metrics(holders[0]))
        text = _metrics(holders[0])
    assert _total(address) == len(instances)
    assert len(holders) == 1
    assert "agatewing_usage_holder 1" in text
    assert ACCEPTED in text


def _metrics(instance: gateway.GatewayInstance) -> str:
    return instance.render_metrics()[0].decode()


def _total(address: Address) -> int:
    """Return the requests in all reports; each window counts once."""
    windows: dict[int, dict[str, int]] = {}
    for _, body in address.calls:
        report = msgspec.json.decode(body)
        counts = report["counts"]
        assert windows.setdefault(report["window"], counts) == counts
    return sum(counts.get("acme", 0) for counts in windows.values())


def test_instances_without_duties_count_no_usage() -> None:
    with standins.Site() as site:
        site.route("/look/", "safe", "ledger")
        site.add_target("t1", "ledger", None)
        site.publish()
        instance = site.start()
        site.wait(lambda: instance.lifecycle.ready)
        assert instance.usage is None
        assert b"usage" not in instance.render_metrics()[0]
