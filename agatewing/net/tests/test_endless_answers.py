"""Answers without end, in the head or the body, end at a limit."""

import collections.abc
import dataclasses
import time

import gevent
import pytest

from agatewing import _exceptions
from agatewing import gateway
from agatewing.gateway import _peers
from agatewing import net
from agatewing.net import _http_client
from agatewing import platform
from agatewing.standins import endless
from agatewing import wire

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: Silence timeout and limits of the clients of these tests.
SILENCE_S, BODY_S, MAX_BYTES = 0.3, 0.6, 2_000_000
#: Bytes that the buffers of two sockets hold beyond what was read.
BUFFERED_BYTES = 12_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    start: bytes
    piece: bytes
    pause_s: float = 0.0
    #: Whether a head is complete.
    has_head: bool = False


CASES = {
    "header lines": Case(HEAD, b"X-Field: " + b"y" * 4_000 + b"\r\n"),
    "one header line": Case(HEAD + b"X-Field: ", b"y" * 4_000),
    "no HTTP at all": Case(b"", b"\x00\x01 no answer "),
    "interim answers": Case(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "a head byte by byte": Case(HEAD + b"X-Field: ", b"y", 0.02),
    "a body to the end": Case(HEAD + b"\r\n", b"y" * 60_000, 0.0, True),
    "chunks": Case(CHUNKED, b"1000\r\n" + b"y" * 4_096 + b"\r\n", 0.0, True),
    "a body byte by byte": Case(HEAD + b"\r\n", b"y", 0.02, True),
    "a chunk extension": Case(CHUNKED + b"1;", b"y" * 4_000, 0.0, True),
    "a trailer": Case(CHUNKED + b"0\r\n", b"X: y\r\n" * 500, 0.0, True),
}


def client_call(address: str) -> None:
    net.HttpClient(
        address,
        silence_timeout_s=SILENCE_S,
        body_timeout_s=BODY_S,
        max_answer_bytes=MAX_BYTES,
    ).call("GET", "/")


def call_once(address: str) -> None:
    net.call_once(address, "POST", "/", b"", {}, BODY_S)


CALLS: dict[str, tuple[collections.abc.Callable[[str], None], float]] = {
    # A call, and the time in seconds after which it must have failed: to
    # connect, for the head, and for the body.
    "client": (client_call, 1.0 + SILENCE_S + 1.0 + BODY_S),
    "once": (call_once, 1.0 + BODY_S + 1.0 + BODY_S),
}


# A target or the log that sent bytes without end filled the memory, or kept a
# call waiting for ever.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("name", CASES)
def test_a_call_ends_at_a_limit(name: str, call: str) -> None:
    case = CASES[name]
    function, limit_s = CALLS[call]
    with endless.EndlessServer(case.start, case.piece, case.pause_s) as server:
        started = time.monotonic()
        with gevent.Timeout(limit_s + 0.5, AssertionError("no limit")):
            with pytest.raises(_exceptions.AgatewingError):
                function(server.address)
        assert time.monotonic() - started <= limit_s + 0.5
        if call == "client":
            limit = MAX_BYTES if case.has_head else 0
            limit += 2 * _http_client.MAX_OVERHEAD_BYTES + BUFFERED_BYTES
            assert server.sent_bytes <= limit


# Each answer was limited by itself, so that twenty at once took 1.1 GB.
@pytest.mark.parametrize("call", ["one client", "several clients", "once"])
@pytest.mark.parametrize(
    "name", ["a body to the end", "chunks", "a body byte by byte"]
)
def test_answers_that_are_read_at_once_share_a_limit(
    name: str, call: str
) -> None:
    case = CASES[name]
    room = net.BufferRoom(3 * MAX_BYTES // 2)
    most = 0

    def new_client(address: str) -> net.HttpClient:
        return net.HttpClient(
            address,
            silence_timeout_s=SILENCE_S,
            body_timeout_s=BODY_S,
            max_answer_bytes=MAX_BYTES,
            room=room,
        )

    with endless.EndlessServer(case.start, case.piece, case.pause_s) as server:
        shared = new_client(server.address)
        sends: dict[str, collections.abc.Callable[[], object]] = {
            "one client": lambda: shared.call("GET", "/"),
            "several clients": lambda: new_client(server.address).call(
                "GET", "/"
            ),
            "once": lambda: net.call_once(
                server.address, "GET", "/", b"", {}, BODY_S, room=room
            ),
        }

        def send() -> type[Exception] | None:
            try:
                sends[call]()
            except _exceptions.AgatewingError as exc:
                return type(exc)
            return None

        sending = [gevent.spawn(send) for _ in range(8)]
        while not all(each.ready() for each in sending):
            most = max(most, room.held)
            gevent.sleep(0.001)
    failures = {each.value for each in sending}
    expected: set[type[Exception]] = {_exceptions.ProtocolError}
    if name == "a body byte by byte":
        expected = {_exceptions.TargetOverdueError}
    assert failures <= expected | {_exceptions.TargetOverdueError}, failures
    assert 0 < most <= 3 * MAX_BYTES // 2
    assert room.held == 0


def test_a_client_without_a_room_has_one_of_its_own() -> None:
    """Guards against clients whose answers nothing bounds together."""
    case = CASES["a body to the end"]
    with endless.EndlessServer(case.start, case.piece) as server:
        client = net.HttpClient(server.address, max_answer_bytes=MAX_BYTES)
        most = 0

        def send() -> None:
            with pytest.raises(_exceptions.AgatewingError):
                client.call("GET", "/")

        sending = [gevent.spawn(send) for _ in range(8)]
        while not all(each.ready() for each in sending):
            most = max(most, client._room.held)
            gevent.sleep(0.001)
    assert 0 < most <= _http_client.ANSWERS_WITHOUT_ROOM * MAX_BYTES


# A read of the log that never ended stopped an instance from following it.
@pytest.mark.parametrize("name", CASES)
def test_a_read_of_the_log_ends_at_a_limit(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    case = CASES[name]
    monkeypatch.setattr(platform._log, "ANSWER_TIMEOUT_S", SILENCE_S)
    monkeypatch.setattr(platform._log, "BODY_TIMEOUT_S", BODY_S)
    with endless.EndlessServer(case.start, case.piece, case.pause_s) as server:
        log = platform.PlatformLog(server.address)
        with gevent.Timeout(3.0, AssertionError("no limit")):
            answer = log.read_newest(gateway.Topic.ORDERS)
    assert isinstance(answer, gateway.LogUnavailable)


# A peer that promised a long reply, and sent it byte by byte, held up those
# that asked it.
@pytest.mark.parametrize(
    ("start", "pause_s"),
    [
        (b"\xff\xff\xff\xff", 0.0),
        (b"\x00\xf0\x00\x00", 0.0),
        (b"\x00\x00\xf0\x00", 0.02),
        (b"", 0.2),
    ],
)
def test_an_exchange_with_a_peer_ends_at_a_limit(
    start: bytes, pause_s: float
) -> None:
    codec = wire.Codec("secret of the tests")
    request = wire.StateRequest(stream="any")
    with endless.EndlessServer(start, b"\x00" * 4_096, pause_s) as server:
        started = time.monotonic()
        reply = _peers.exchange(codec, server.address, request)
        assert time.monotonic() - started <= _peers.EXCHANGE_S + 0.5
    assert reply.is_err()
    limit = wire.MAX_MESSAGE_BYTES + BUFFERED_BYTES
    assert server.sent_bytes <= limit
