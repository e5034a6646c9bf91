"""Targets that stop in the middle of an answer's head and close."""

import collections.abc
import contextlib

import gevent
import gevent.server
import gevent.socket
import pytest

from agatewing import _clock
from agatewing import _exceptions
from agatewing.gateway import _channel
from agatewing.gateway import _messages
from agatewing import net
from agatewing.platform import standins

#: Fields of a head by how the body after it is framed.
FRAMINGS = {
    "length": b"Content-Length: 4\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "its connection": b"",
}
BODIES = {
    "length": b"body",
    "chunks": b"4\r\nbody\r\n0\r\n\r\n",
    "its connection": b"body",
}
LIMIT_S = 5.0


def head_of(framing: str) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Server-Stamp: 1.2.3\r\n" + FRAMINGS[framing] + b"\r\n"
    )


@contextlib.contextmanager
def serving(
    answer: bytes, resets: bool = False
) -> collections.abc.Iterator[str]:
    """Answer every request with some bytes, then close; yield the address."""

    def serve(sock: gevent.socket.socket, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(answer)
        if resets:
            # The bytes have to arrive before the reset does.
            gevent.sleep(0.005)
            net.reset_on_close(sock)
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.stop(timeout=0)


def request(path: bytes = b"/x") -> _messages.Outgoing:
    return _messages.Outgoing(b"GET", path, ((b"Host", b"h"),), b"")


# The start of a head passed for a whole one with an empty body.
@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_the_start_of_a_head_is_no_answer_to_the_gateway(
    framing: str, resets: bool
) -> None:
    head, clock = head_of(framing), _clock.SystemClock()
    for size in range(len(head)):
        with serving(head[:size], resets) as address:
            channel = _channel.Channel(address, clock)
            channel.connect(LIMIT_S)
            deadline = clock.monotonic() + LIMIT_S
            channel.send(request(), deadline)
            with pytest.raises(_channel.BrokenError):
                channel.read_head(deadline)
            channel.close()


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_the_start_of_a_head_is_no_answer_to_a_client(
    framing: str, resets: bool
) -> None:
    head = head_of(framing)
    for size in range(len(head)):
        for resend in (False, True):
            with serving(head[:size], resets) as address:
                client = net.HttpClient(address, resend=resend)
                with pytest.raises(_exceptions.TargetSilentError):
                    client.call("GET", "/x")
                client.close()


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_the_start_of_a_body_is_no_answer(framing: str) -> None:
    head, body = head_of(framing), BODIES[framing]
    clock = _clock.SystemClock()
    for size in range(len(body)):
        with serving(head + body[:size]) as address:
            client = net.HttpClient(address)
            with pytest.raises(_exceptions.TargetSilentError):
                client.call("GET", "/x")
            client.close()
            channel = _channel.Channel(address, clock)
            channel.connect(LIMIT_S)
            deadline = clock.monotonic() + LIMIT_S
            channel.send(request(), deadline)
            channel.read_head(deadline)
            with pytest.raises(_channel.BrokenError):
                while channel.read_piece(deadline):
                    pass
            channel.close()


#: Places where a head is cut: within the status line, after it, within a
#: field, before and within the empty line.
CUTS = (5, 15, 17, 40, -4, -2, -1)


# Callers got 200 with an empty or a short body, framed as whole.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    ("path", "kind", "statuses"),
    [
        ("/pay/x", "unsafe", {502}),
        ("/find/x", "safe", {502, 503}),
        ("/draft/x", "streaming", {502}),
        ("/chat/x", "resumable", {502, 503}),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_no_caller_gets_a_success_from_the_start_of_a_head(
    path: str, kind: str, statuses: set[int], framing: str
) -> None:
    head = head_of(framing)
    with standins.Site() as site:
        prefix = path[:-1]
        streams = kind in ("streaming", "resumable")
        site.route(
            prefix,
            "streaming" if streams else kind,
            "chat" if streams else "ledger",
            sticky=streams,
            resumable=kind == "resumable",
            timeout_ms=1_500,
        )
        site.add_target("e1", "chat" if streams else "ledger", None)
        site.publish()
        role = {"stage": "decode"} if streams else {}
        for cut in CUTS:
            with serving(head[:cut]) as address:
                site.announce(
                    "e1",
                    "chat" if streams else "ledger",
                    None,
                    address=address,
                    seq=10 + cut % 100,
                    **role,
                )
                instance = site.start(f"i{cut}")
                site.wait(lambda: instance.lifecycle.ready)
                site.wait(lambda: instance.catalog.targets)
                headers = {"X-Deadline-Ms": "1500"}
                if streams:
                    headers |= {
                        "X-Token-Count": "120,20",
                        "X-Prefix-Hash": "aa:80,bb:40",
                    }
                reply = site.ask(instance, path, "s1", headers)
                assert reply.status in statuses, (cut, reply)
                assert reply.complete
                instance.kill()
                site.instances.remove(instance)
