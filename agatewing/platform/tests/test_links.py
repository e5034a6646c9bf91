"""The links of the stand-in hang, are reset, or outlive a cut."""

import collections.abc
import dataclasses

import gevent
import gevent.socket
import pytest

from agatewing import net
from agatewing.platform import standins

Picture = standins.Picture
#: Time limit of a connect or a read that may hang, in seconds.
HANG_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    #: What becomes of a request on an open connection, and of a connect.
    asked: str
    connected: str
    #: Requests that have reached the target after the healing.
    runs: list[str]


CASES = {
    Picture.HANG: Case("TimeoutError", "TimeoutError", ["a1", "a2"]),
    Picture.RESET: Case(
        "ConnectionResetError", "ConnectionRefusedError", ["a1"]
    ),
    Picture.LIVE_ON: Case("200", "ConnectionRefusedError", ["a1", "a2"]),
}


@pytest.fixture
def site() -> collections.abc.Iterator[standins.LinkedSite]:
    with standins.LinkedSite() as made:
        made.add_target("t1", "ledger", None)
        made.add_target("t2", "ledger", None)
        yield made


def connect(
    site: standins.LinkedSite, target: str = "t1"
) -> gevent.socket.socket:
    address = net.split_address(site.targets[target].address)
    sock = gevent.socket.create_connection(address, HANG_S)
    sock.settimeout(HANG_S)
    return sock


def send(sock: gevent.socket.socket, request: str) -> None:
    sock.sendall(f"GET / HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n".encode())


def ask(sock: gevent.socket.socket, request: str) -> str:
    """Return the status of the answer, or the name of the error."""
    try:
        send(sock, request)
        return sock.recv(65_536).split()[1].decode()
    except OSError as exc:
        return type(exc).__name__


def try_connect(site: standins.LinkedSite, target: str = "t1") -> str:
    """Return the name of the error, if any."""
    try:
        connect(site, target).close()
    except OSError as exc:
        return type(exc).__name__
    return ""


def runs(site: standins.LinkedSite, target: str = "t1") -> list[str]:
    return [run.id for run in site.targets[target].runs]


# A cut that let something through, or lost what it should only hold back,
# would show faults that are none, or hide some.
@pytest.mark.parametrize("picture", CASES)
def test_a_cut_concerns_the_links_of_one_instance(picture: Picture) -> None:
    case = CASES[picture]
    with standins.LinkedSite() as site:
        site.add_target("t1", "ledger", None)

        def play() -> None:
            sock = connect(site)
            assert ask(sock, "a1") == "200"
            [flight] = site.cut(["i1"], picture)
            assert flight.request == "a1"
            assert flight.answered > 0
            assert ask(sock, "a2") == case.asked
            assert try_connect(site) == case.connected
            site.heal(["i1"])
            site.wait(lambda: runs(site) == case.runs)
            assert ask(connect(site), "a3") == "200"

        site.act_as("i1", play)
        assert site.carriers("a1") == ["i1"]


@pytest.mark.parametrize("picture", CASES)
def test_others_are_not_cut(
    site: standins.LinkedSite, picture: Picture
) -> None:
    site.cut(["i1"], picture, ["t1"])
    assert site.act_as("i1", lambda: try_connect(site)) != ""
    assert site.act_as("i1", lambda: try_connect(site, "t2")) == ""
    assert site.act_as("i2", lambda: try_connect(site)) == ""
    assert try_connect(site) == ""


# The kernel of an instance that has reset a connection sends nothing more on
# it, but sends the rest of one that it has closed.
@pytest.mark.parametrize(("resets", "found"), [(True, []), (False, ["a1"])])
def test_held_bytes_arrive_unless_the_connection_was_reset(
    site: standins.LinkedSite, resets: bool, found: list[str]
) -> None:
    def play() -> None:
        sock = connect(site)
        # The link has accepted it.
        site.wait(lambda: site.targets["t1"].accepted)
        site.cut(["i1"], Picture.HANG)
        send(sock, "a1")
        gevent.sleep(0.05)
        if resets:
            net.reset_on_close(sock)
        sock.close()
        gevent.sleep(0.05)
        assert runs(site) == []
        site.heal(["i1"])
        gevent.sleep(0.05)

    site.act_as("i1", play)
    assert runs(site) == found


# What greenlets and servers of an instance start must not escape the cut.
def test_greenlets_of_an_instance_share_its_links(
    site: standins.LinkedSite,
) -> None:
    def play() -> list[str]:
        spawned = [
            gevent.spawn(try_connect, site),
            gevent.spawn_later(0.01, try_connect, site),
        ]
        return [greenlet.get() for greenlet in spawned]

    site.cut(["i1"], Picture.RESET)
    assert site.act_as("i1", play) == ["ConnectionRefusedError"] * 2
    assert try_connect(site) == ""
