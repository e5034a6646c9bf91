"""Answers of targets without end, in the head or the body, end at a limit."""

import collections.abc
import dataclasses

import gevent
import pytest

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _messages
from agatewing.standins import endless

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"y" * 4_096 + b"\r\n"
#: Time that the request has, in seconds, and what a test adds to it.
LIMIT_S, SLACK_S = 1.0, 0.5
#: Bytes that the buffers of two sockets hold beyond what was read.
BUFFERED_BYTES = 12_000_000
OUTGOING = _messages.Outgoing(b"GET", b"/", ((b"Host", b"x"),), b"")


def read_head(channel: _channel.Channel, deadline: float) -> None:
    channel.read_head(deadline)


def read_body(channel: _channel.Channel, deadline: float) -> None:
    channel.read_head(deadline)
    while channel.read_piece(deadline):
        pass


def skip_answer(channel: _channel.Channel, deadline: float) -> None:
    channel.read_head(deadline)
    channel.skip_answer(deadline)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    start: bytes
    piece: bytes
    read: collections.abc.Callable[[_channel.Channel, float], None]
    #: Most bytes that may be read; ``None`` if only the time is limited.
    max_bytes: int | None = None
    pause_s: float = 0.0


HEAD_BYTES = 2 * _channel.MAX_HEAD_BYTES
BODY_BYTES = 2_000_000
CASES = {
    "header lines": Case(HEAD, b"X: y\r\n" * 500, read_head, HEAD_BYTES),
    "one header line": Case(
        HEAD + b"X: ", b"y" * 4_000, read_head, HEAD_BYTES
    ),
    "no HTTP at all": Case(b"", b"\x00\x01 no ", read_head, HEAD_BYTES),
    "interim answers": Case(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50, read_head, HEAD_BYTES
    ),
    "a head byte by byte": Case(HEAD + b"X: ", b"y", read_head, pause_s=0.02),
    "a body to the end": Case(
        HEAD + b"\r\n", b"y" * 60_000, read_body, BODY_BYTES
    ),
    "chunks": Case(CHUNKED, CHUNK, read_body, BODY_BYTES),
    "a body byte by byte": Case(HEAD + b"\r\n", b"y", read_body, pause_s=0.02),
    "a chunk extension": Case(
        CHUNKED + b"1;", b"y" * 4_000, read_body, HEAD_BYTES
    ),
    "a trailer": Case(
        CHUNKED + b"0\r\n", b"X: y\r\n" * 500, read_body, HEAD_BYTES
    ),
    "an answer to another request": Case(
        CHUNKED, CHUNK, skip_answer, BODY_BYTES
    ),
}


# A target that sent bytes without end filled the memory of an instance, or
# kept it reading for as long as the caller's deadline allowed.
@pytest.mark.parametrize("name", CASES)
def test_an_answer_ends_at_a_limit(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    case = CASES[name]
    monkeypatch.setattr(_channel, "MAX_BODY_BYTES", BODY_BYTES)
    clock = _clock.SystemClock()
    with endless.EndlessServer(case.start, case.piece, case.pause_s) as server:
        channel = _channel.Channel(server.address, clock)
        channel.connect(1.0)
        deadline = clock.monotonic() + LIMIT_S
        channel.send(OUTGOING, deadline)
        failures = (
            _channel.BrokenError
            if case.max_bytes is not None
            else _channel.DeadlineExceededError
        )
        with pytest.raises(failures):
            with gevent.Timeout(LIMIT_S + SLACK_S, AssertionError("no limit")):
                case.read(channel, deadline)
        channel.close()
        if case.max_bytes is not None:
            assert server.sent_bytes <= case.max_bytes + BUFFERED_BYTES
