"""Leased ports belong to one lease, whether they are open or not."""

import itertools
import socket

import gevent.server
import gevent.socket
import pytest

from agatewing import harness
from agatewing.harness import _ports


def test_a_port_goes_to_one_lease_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Searches that meet, as those of two processes may."""
    first, second = harness.PortLease(), harness.PortLease()
    [port] = first.take(1)
    start = port - _ports.FIRST_PORT
    monkeypatch.setattr(_ports, "_next_port", itertools.count(start))
    others = second.take(3)
    assert port not in others
    first.close()
    monkeypatch.setattr(_ports, "_next_port", itertools.count(start))
    assert second.take(1) == [port]
    second.close()


@pytest.mark.parametrize(
    "kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["TCP", "UDP"]
)
def test_a_port_in_use_is_not_leased(
    kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    lease = harness.PortLease()
    [port] = lease.take(1)
    lease.close()
    with socket.socket(type=kind) as user:
        user.bind((_ports.HOST, port))
        start = port - _ports.FIRST_PORT
        monkeypatch.setattr(_ports, "_next_port", itertools.count(start))
        assert port not in lease.take(3)
    lease.close()


def test_a_leased_port_opens_and_closes_again_and_again() -> None:
    lease = harness.PortLease()
    [port] = lease.take(1)
    address = (_ports.HOST, port)
    for _ in range(3):
        with pytest.raises(ConnectionRefusedError):
            gevent.socket.create_connection(address)
        server = gevent.server.StreamServer(address, lambda *_: None)
        server.start()
        with gevent.socket.socket(type=socket.SOCK_DGRAM) as datagram_sock:
            datagram_sock.bind(address)
            with gevent.socket.create_connection(address) as sock:
                assert sock.recv(1) == b""
        server.stop()
    lease.close()


def test_missing_ports_are_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_ports, "PORT_COUNT", 2)
    lease = harness.PortLease()
    with pytest.raises(OSError, match="of 3 ports are free; close leases"):
        lease.take(3)
    lease.close()
