"""Answers whose status or fields are not those of an answer."""

import collections.abc

import pytest

from agatewing import _clock
from agatewing import _exceptions
from agatewing.gateway import _channel
from agatewing.gateway import _messages
from agatewing import net
from agatewing.platform import standins
from agatewing.platform.tests import _raw_targets
from agatewing.standins import hasty

LIMIT_S = 5.0
STATUS = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"X-Server-Stamp: 1.2.3\r\nContent-Type: text/event-stream\r\n"
BODY = b"id: 1\ndata: token 1\n\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)


def with_status(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" X\r\n" + SIGNED + LENGTH


def with_line(line: bytes) -> bytes:
    """Return a head with one line of its own before the length."""
    return STATUS + SIGNED + line + b"\r\n" + LENGTH


STATUSES = (b"000", b"001", b"099", b"20", b"2000", b"+20", b"-20", b"2x0")
#: Statuses of three digits that RFC 9110, section 15, does not know.
OVER_599 = (b"600", b"700", b"999")
#: Bytes that the name of a field must not hold, by what they are.
BYTES = {
    "a blank": b" ",
    "a tab": b"\t",
    "a control byte": b"\x01",
    "NUL": b"\x00",
    "DEL": b"\x7f",
    "a high byte": b"\xe9",
    "a bracket": b"(",
    "a bare CR": b"\r",
}
HEADS = {
    **{f"status {s.decode()}": with_status(s) for s in STATUSES + OVER_599},
    **{
        f"{what} in a name": with_line(b"X-A" + byte + b"B: v")
        for what, byte in BYTES.items()
    },
    **{
        f"{what} before the colon": with_line(b"X-A" + byte + b": v")
        for what, byte in BYTES.items()
    },
    **{
        f"{what} in the name of the length": STATUS
        + SIGNED
        + b"Content"
        + byte
        + LENGTH[len("Content") :]
        for what, byte in BYTES.items()
    },
    "an empty name": with_line(b": v"),
    "no colon": with_line(b"X-A"),
    "two lengths": with_line(b"Content-Length: 3"),
    "no number as length": STATUS + SIGNED + b"Content-Length: 0x15\r\n",
}
#: What a reader returns as an answer: its status and its body.
Read = tuple[int, bytes]


def read_channel(address: str) -> Read:
    clock = _clock.SystemClock()
    channel = _channel.Channel(address, clock)
    channel.connect(LIMIT_S)
    deadline = clock.monotonic() + LIMIT_S
    outgoing = _messages.Outgoing(b"GET", b"/x", ((b"Host", b"h"),), b"")
    try:
        channel.send(outgoing, deadline)
        head, body = channel.read_head(deadline), b""
        while piece := channel.read_piece(deadline):
            body += piece
    finally:
        channel.close()
    return head.status, body


def call_client(address: str) -> Read:
    client = net.HttpClient(address)
    try:
        answer = client.call("GET", "/x")
    finally:
        client.close()
    return answer.status, answer.body


def read_reply(address: str) -> Read:
    """Read an answer like the callers of the tests do."""
    with net.connect(address, LIMIT_S) as sock:
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        reply = standins.read_reply(sock)
    if not reply.complete:
        raise _exceptions.ProtocolError(address, "no whole answer")
    return reply.status, reply.body


READERS: dict[
    str, tuple[collections.abc.Callable[[str], Read], type[Exception]]
] = {
    "gateway": (read_channel, _channel.BrokenError),
    "client": (call_client, _exceptions.TargetSilentError),
    "stand-in": (read_reply, _exceptions.ProtocolError),
}


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("name", HEADS)
def test_a_malformed_head_is_no_answer(name: str, reader: str) -> None:
    read, failure = READERS[reader]
    answer = HEADS[name] + b"\r\n" + BODY
    with hasty.HastyServer(answer, hasty.End.ORDERLY) as server:
        with pytest.raises(failure):
            read(server.address)


CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
CODINGS = {
    "another": b"gzip",
    "one before chunks": b"gzip, chunked",
    "one after chunks": b"chunked, gzip",
    "one with a name like it": b"xchunked",
    "chunks in chunks": b"chunked, chunked",
    "none": b"",
}


# The client returned the coded bytes as the body.
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("body", [BODY, CHUNKS], ids=["plain", "chunks"])
@pytest.mark.parametrize("name", CODINGS)
def test_a_body_in_an_unknown_coding_is_no_answer(
    name: str, body: bytes, reader: str
) -> None:
    read, failure = READERS[reader]
    line = b"Transfer-Encoding: " + CODINGS[name] + b"\r\n\r\n"
    answer = STATUS + SIGNED + line + body
    with hasty.HastyServer(answer, hasty.End.ORDERLY) as server:
        with pytest.raises(failure):
            read(server.address)


@pytest.mark.parametrize("reader", READERS)
def test_the_name_of_a_coding_may_be_in_capitals(reader: str) -> None:
    read, _ = READERS[reader]
    line = b"Transfer-Encoding: Chunked\r\n\r\n"
    answer = STATUS + SIGNED + line + CHUNKS
    with hasty.HastyServer(answer, hasty.End.ORDERLY) as server:
        assert read(server.address) == (200, BODY)


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_an_answer_after_one_without_a_status_is_no_answer(
    status: bytes, reader: str
) -> None:
    """Guards against statuses under 200 that count as interim ones.

    Both bodies then became one.
    """
    read, failure = READERS[reader]
    sound = STATUS + SIGNED + LENGTH + b"\r\n" + BODY
    answer = with_status(status) + b"\r\n" + BODY + sound
    with hasty.HastyServer(answer, hasty.End.ORDERLY) as server:
        with pytest.raises(failure):
            read(server.address)


# The stand-ins' reader keeps no answer for long, so that it has no such limit.
@pytest.mark.parametrize("reader", ["gateway", "client"])
@pytest.mark.parametrize("more", [0, 1])
def test_a_head_has_a_largest_number_of_fields(more: int, reader: str) -> None:
    read, failure = READERS[reader]
    # Beside the signature, the content type and the length.
    count = net.MAX_FIELDS - 3 + more
    lines = [b"X-%d: v" % number for number in range(count)]
    answer = with_line(b"\r\n".join(lines)) + b"\r\n" + BODY
    with hasty.HastyServer(answer, hasty.End.ORDERLY) as server:
        if more:
            with pytest.raises(failure):
                read(server.address)
        else:
            assert read(server.address) == (200, BODY)


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("status", [b"200", b"203", b"418", b"599"])
def test_every_other_status_is_passed_on(status: bytes, reader: str) -> None:
    read, _ = READERS[reader]
    answer = with_status(status) + b"\r\n" + BODY
    with hasty.HastyServer(answer, hasty.End.ORDERLY) as server:
        assert read(server.address) == (int(status), BODY)


# Callers got such an answer, with its status or with a body that was not
# the engine's.
@pytest.mark.parametrize("path", _raw_targets.ROUTES)
@pytest.mark.parametrize(
    "name",
    [
        "status 000",
        "status 600",
        "status 999",
        "a blank in a name",
        "a control byte in a name",
        "a blank before the colon",
        "a control byte in the name of the length",
    ],
)
def test_no_caller_gets_an_answer_with_a_malformed_head(
    path: str, name: str
) -> None:
    answer = HEADS[name] + b"\r\n" + BODY
    with _raw_targets.serving(path, answer) as raw:
        reply = raw.ask("r")
        assert (reply.status, reply.complete) == (502, True)
        assert BODY not in reply.body
        if path == "/pay/":
            # It may have run, so that it is not sent again.
            assert raw.requests == 1
