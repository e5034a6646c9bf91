"""Answers that are whole, and answers that were broken off."""

import dataclasses
import socket

import gevent
import gevent.server
import gevent.socket
import pytest

from agatewing import _exceptions
from agatewing import net

JSON = "Content-Type: application/json\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    headers: str
    body: bytes
    #: Body that the client returns; ``None`` if the answer is broken.
    read: bytes | None
    reset: bool = False


CASES = {
    "length": Case("Content-Length: 2\r\n", b"{}", b"{}"),
    "length, cut": Case("Content-Length: 9\r\n", b"{}", None),
    "chunks": Case(CHUNKED, b"2\r\n{}\r\n0\r\n\r\n", b"{}"),
    "chunks, cut in a chunk": Case(CHUNKED, b"5\r\n{}", None),
    "chunks, last one missing": Case(CHUNKED, b"2\r\n{}\r\n", None),
    "close": Case("", b"abc", b"abc"),
    "close, reset": Case("", b"abc", None, reset=True),
    "close, JSON": Case(JSON, b'{"a": 1}', b'{"a": 1}'),
    "close, JSON cut": Case(JSON, b'{"a": ', None),
    "length, no JSON": Case(f"{JSON}Content-Length: 2\r\n", b"{!", b"{!"),
}


# A JSON answer that its connection's end cut short was returned as whole,
# and stored for replay if its call was at-most-once.
@pytest.mark.parametrize("name", CASES)
def test_a_broken_answer_is_not_returned(name: str) -> None:
    case = CASES[name]

    def serve(sock: gevent.socket.socket, _: object) -> None:
        sock.recv(65_536)
        head = f"HTTP/1.1 200 OK\r\n{case.headers}\r\n"
        sock.sendall(head.encode() + case.body)
        if case.reset:
            gevent.sleep(0.02)
            net.reset_on_close(sock)
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = net.HttpClient(f"127.0.0.1:{server.server_port}")
    try:
        if case.read is None:
            with pytest.raises(_exceptions.TargetSilentError):
                client.call("GET", "/")
        else:
            assert client.call("GET", "/").body == case.read
    finally:
        client.close()
        server.stop(timeout=0)


# The kernel broke the connection of a call that runs at most once after two
# seconds without an acknowledgement; its answer was lost.
def test_keep_alive_outlasts_the_silence_of_a_sound_target() -> None:
    with gevent.socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        client = net.HttpClient(address, silence_timeout_s=0.05)
        try:
            pool = client._client._connection_pool
            with pool._create_socket() as sock:
                interval_s, probes = (
                    sock.getsockopt(socket.IPPROTO_TCP, option)
                    for option in (socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
                )
        finally:
            client.close()
    # The first probe may come as the silence begins.
    assert interval_s * probes > 3.0


# The HTTP library sent calls again whose connection closed before the head,
# and reported a target that was gone by then as never reached.
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_a_call_is_sent_once(method: str) -> None:
    requests = []

    def close(sock: gevent.socket.socket, _: object) -> None:
        requests.append(sock.recv(65_536))
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), close)
    server.start()
    client = net.HttpClient(f"127.0.0.1:{server.server_port}", connections=2)
    try:
        with pytest.raises(_exceptions.TargetSilentError):
            client.call(method, "/", may_send=lambda: True)
    finally:
        client.close()
        server.stop(timeout=0)
    assert len(requests) == 1


# A call that was killed while it sent kept its slot, and those that followed
# waited for ever.
@pytest.mark.parametrize("end", [gevent.GreenletExit, gevent.Timeout])
def test_a_call_that_ends_while_it_sends_leaves_its_slot(
    end: type[BaseException],
) -> None:
    slots = 2
    unread: list[gevent.socket.socket] = []

    def serve(sock: gevent.socket.socket, _: object) -> None:
        if len(unread) < slots:
            unread.append(sock)
            gevent.sleep(60)
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def send() -> None:
        with pytest.raises(end):
            client.call("POST", "/", b"x" * 20_000_000)

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = net.HttpClient(
        f"127.0.0.1:{server.server_port}", connections=slots
    )
    try:
        for number in range(slots):
            sending = gevent.spawn(send)
            while len(unread) <= number:
                gevent.sleep(0.01)
            sending.kill(end)
            assert sending.successful()
        with gevent.Timeout(2.0, AssertionError("no slot was left")):
            assert client.call("GET", "/").body == b"ok"
        for sock in unread:
            # The connections were closed, not kept with half a request.
            with gevent.Timeout(2.0, AssertionError("was not closed")):
                while sock.recv(1_000_000):
                    pass
    finally:
        client.close()
        server.stop(timeout=0)
