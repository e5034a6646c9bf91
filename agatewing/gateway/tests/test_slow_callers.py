"""Callers that read a large answer slowly, but without a pause."""

import collections.abc
import socket

import gevent
import gevent.socket
import pytest

from agatewing import _clock
from agatewing import callers
from agatewing.gateway import _caller_conn
from agatewing.gateway import _caller_limits
from agatewing import platform

Sockets = tuple[gevent.socket.socket, gevent.socket.socket]
BODY = b"x" * 1_000_000


@pytest.fixture
def sockets() -> collections.abc.Iterator[Sockets]:
    with gevent.socket.socket() as listener, gevent.socket.socket() as caller:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        caller.connect(listener.getsockname())
        accepted, _ = listener.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        with accepted:
            yield accepted, caller


# The time-out was for the whole answer, which was cut off while its caller
# was reading it.
def test_a_caller_that_keeps_reading_gets_its_whole_answer(
    sockets: Sockets, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_caller_conn, "WRITE_TIMEOUT_S", 0.5)
    clock = _clock.SystemClock()
    accepted, caller = sockets
    conn = _caller_conn.CallerConn(
        accepted,
        clock,
        platform.connect("127.0.0.1:1").dialect,
        _caller_limits.CallerLimitsInForce(clock),
        callers.BodyRoom(clock, 1_000_000, 0),
    )

    def read() -> bytes:
        received = b""
        while not received.endswith(BODY):
            received += caller.recv(4_096)
            gevent.sleep(0.005)
        return received

    caller.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: a1\r\n\r\n")
    reading = gevent.spawn(read)
    assert conn.next_request() is not None
    conn.answer(200, [], BODY)
    assert reading.get(timeout=30).endswith(BODY)


# A stream holds no room that others wait for, and may run once only.
def test_a_stream_is_not_cut_off_for_room_that_others_wait_for(
    sockets: Sockets,
) -> None:
    clock = _clock.SystemClock()
    accepted, caller = sockets
    conn = _caller_conn.CallerConn(
        accepted,
        clock,
        platform.connect("127.0.0.1:1").dialect,
        _caller_limits.CallerLimitsInForce(clock),
        callers.BodyRoom(clock, 1_000_000, 0),
        lambda: True,
    )

    def read() -> bytes:
        gevent.sleep(2 * callers.STALL_S)
        received = b""
        while not received.endswith(b"0\r\n\r\n"):
            received += caller.recv(65_536)
        return received

    caller.sendall(b"GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: a1\r\n\r\n")
    assert conn.next_request() is not None
    reading = gevent.spawn(read)
    conn.start(200, [(b"Transfer-Encoding", b"chunked")])
    conn.write(BODY)
    conn.end()
    assert BODY in reading.get(timeout=30)
