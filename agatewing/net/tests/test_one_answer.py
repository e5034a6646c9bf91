"""A call gets its own answer, whatever comes before or after it."""

import collections.abc
import contextlib

import gevent
import gevent.server
import gevent.socket
import pytest

from agatewing import _exceptions
from agatewing import net

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Own: 1\r\n\r\nok"
OTHER = b"HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\nX-Own: 2\r\n\r\nother"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
HINTS_AND_BODY = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\nabc"
#: Pause between the pieces that a server sends, in seconds.
PAUSE_S = 0.03


@contextlib.contextmanager
def serving(
    *pieces: bytes,
) -> collections.abc.Iterator[tuple[str, list[int]]]:
    """Answer each request with some pieces, one after the other.

    Yields the address and the number of requests on each connection.
    """
    requests: list[int] = []

    def serve(sock: gevent.socket.socket, _: object) -> None:
        index = len(requests)
        requests.append(0)
        with contextlib.suppress(OSError):
            while sock.recv(65_536):
                requests[index] += 1
                for piece in pieces:
                    sock.sendall(piece)
                    gevent.sleep(PAUSE_S)
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}", requests
    finally:
        server.stop(timeout=0)


FOLLOWING = {
    "an answer": (ANSWER + OTHER,),
    "the head of one": (ANSWER + OTHER[:30],),
    "another answer, later": (ANSWER, OTHER),
    "no answer": (ANSWER + b"\x00\x01 no answer",),
    "an interim answer": (ANSWER + CONTINUE,),
}


# The status and fields of what followed an answer replaced those of the
# answer, and its body was added.
@pytest.mark.parametrize("name", FOLLOWING)
def test_what_follows_an_answer_belongs_to_no_call(name: str) -> None:
    with serving(*FOLLOWING[name]) as (address, requests):
        client = net.HttpClient(address)
        try:
            for _ in range(2):
                answer = client.call("GET", "/")
                assert (answer.status, answer.body) == (200, b"ok")
                assert answer.headers["x-own"] == "1"
                gevent.sleep(2 * PAUSE_S)
        finally:
            client.close()
    # The connection is not used again.
    assert requests == [1, 1]


INTERIM = {
    "in one piece": (CONTINUE + ANSWER,),
    "later": (CONTINUE, ANSWER),
    "several": (HINTS, CONTINUE, HINTS + ANSWER),
}


# An interim answer gave the connection back to the pool, where other calls
# found it, and left the call that awaited the answer without one.
@pytest.mark.parametrize("name", INTERIM)
def test_an_interim_answer_is_not_the_answer(name: str) -> None:
    calls = 4
    with serving(*INTERIM[name]) as (address, requests):
        client = net.HttpClient(address)
        try:
            calling = []
            for _ in range(calls):
                calling.append(gevent.spawn(client.call, "GET", "/"))
                gevent.sleep(PAUSE_S / 2)
            for call in calling:
                answer = call.get()
                assert (answer.status, answer.body) == (200, b"ok")
                assert "x-hint" not in answer.headers
        finally:
            client.close()
    assert sum(requests) == calls


# RFC 9110 gives interim answers no body, so that the bytes after the head
# would belong to the answer.
@pytest.mark.parametrize("at_once", [True, False], ids=["at once", "later"])
def test_an_interim_answer_with_a_body_breaks_the_call(at_once: bool) -> None:
    pieces = [HINTS_AND_BODY, ANSWER]
    if at_once:
        pieces = [HINTS_AND_BODY + ANSWER]
    with serving(*pieces) as (address, _):
        client = net.HttpClient(address)
        try:
            with pytest.raises(_exceptions.TargetSilentError):
                client.call("GET", "/")
        finally:
            client.close()
