"""One connection never keeps an instance from all others.

The parts of its input that are processed between two polls of the event loop
are counted, as all other connections and all timers wait for that long.
"""

import collections
import collections.abc
import dataclasses

import gevent
import gevent.socket
import h11
import pytest

from agatewing import _clock
from agatewing.detour import _session
from agatewing import gateway
from agatewing.gateway import _caller_conn
from agatewing.gateway import _channel
from agatewing.gateway import _event_reader
from agatewing.gateway import _messages
from agatewing import net
from agatewing.platform import standins
from agatewing.standins import endless
from agatewing import wire

#: Most parts of one connection between two polls of the event loop: at up to
#: 0.1 ms a part, 50 polls of one request fit into half a second.
MOST_PARTS = 100
#: Time for which an answer is read, in seconds.
READ_S = 0.5
OUTGOING = _messages.Outgoing(b"GET", b"/", ((b"Host", b"x"),), b"")
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def parts(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.Counter[tuple[int, int]]:
    """Return the numbers of parts by parser and poll."""
    counted: collections.Counter[tuple[int, int]] = collections.Counter()
    next_event = h11.Connection.next_event

    def next_counted(parser: h11.Connection) -> object:
        counted[id(parser), gevent.get_hub().loop.iteration] += 1
        return next_event(parser)

    monkeypatch.setattr(h11.Connection, "next_event", next_counted)
    return counted


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_events(channel: _channel.Channel, deadline: float) -> None:
    clock = _clock.SystemClock()
    head = channel.read_head(deadline)
    room = net.BufferRoom(1_000_000)
    reader = _event_reader.EventReader(head, channel, clock, room)
    while True:
        match reader.read(READ_S, deadline):
            case _messages.Unknown() | _messages.TimedOut() as failure:
                raise _channel.BrokenError(failure.reason)


def read_body(channel: _channel.Channel, deadline: float) -> None:
    channel.read_head(deadline)
    while channel.read_piece(deadline):
        pass


def skip_answer(channel: _channel.Channel, deadline: float) -> None:
    channel.read_head(deadline)
    channel.skip_answer(deadline)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    piece: bytes
    read: collections.abc.Callable[[_channel.Channel, float], None]
    start: bytes = CHUNKED


ANSWERS = {
    "one event": Answer(
        chunk(b"x" * 8), read_events, CHUNKED + chunk(b"id: 1\ndata: ")
    ),
    "comments": Answer(chunk(b":\n\n"), read_events),
    "empty lines": Answer(chunk(b"\n"), read_events),
    "whole events": Answer(chunk(b"id: 1\ndata: x\n\n"), read_events),
    "a body": Answer(chunk(b"x"), read_body),
    "an answer to another request": Answer(chunk(b"x"), skip_answer),
    "a body without chunks": Answer(b"x" * 60_000, read_body, HEAD + b"\r\n"),
    "chunk extensions": Answer(b"1;a=b\r\nx\r\n", read_body),
}


# An engine that sent small chunks without end kept its instance from all
# other requests, and from all timers, for up to 10 s.
@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_without_end_is_read_in_turns(
    name: str, parts: collections.Counter[tuple[int, int]]
) -> None:
    answer = ANSWERS[name]
    clock = _clock.SystemClock()
    # Many pieces at once, so that input never runs dry.
    piece = answer.piece * max(1, 60_000 // len(answer.piece))
    with endless.EndlessServer(answer.start, piece) as server:
        channel = _channel.Channel(server.address, clock)
        channel.connect(1.0)
        deadline = clock.monotonic() + READ_S
        channel.send(OUTGOING, deadline)
        with pytest.raises(
            (_channel.BrokenError, _channel.DeadlineExceededError)
        ):
            answer.read(channel, deadline)
        channel.close()
    assert parts.total() > MOST_PARTS
    assert max(parts.values()) <= MOST_PARTS


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/look/", "safe", "ledger", max_attempts=2)
        made.add_target("t1", "ledger", None)
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: made.lifecycle.ready)
    return made


def turns_ended(instance: gateway.GatewayInstance) -> int:
    lines = instance.render_metrics()[0].decode().splitlines()
    name = "agatewing_turns_ended_total "
    return next(int(x.split()[1]) for x in lines if x.startswith(name))


# So did a caller with a body in small chunks, even if no target was involved.
def test_a_body_of_a_caller_is_read_in_turns(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    parts: collections.Counter[tuple[int, int]],
) -> None:
    head = (
        f"POST /look/x HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        "X-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    with site.connect(instance) as sock:
        sock.sendall(head.encode() + chunk(b"x") * 20_000 + b"0\r\n\r\n")
        ended_before = turns_ended(instance)
        assert standins.read_reply(sock).status == 200
    assert parts.total() > 20_000
    assert max(parts.values()) <= MOST_PARTS
    assert turns_ended(instance) - ended_before >= 20_000 / MOST_PARTS


# So did requests that were sent without waiting for their answers.
def test_requests_that_follow_each_other_are_read_in_turns(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    request = (
        b"GET /nowhere/x HTTP/1.1\r\nHost: none\r\nX-Request-Id: a\r\n\r\n"
    )
    requests: collections.Counter[int] = collections.Counter()
    next_request = _caller_conn.CallerConn.next_request

    def next_counted(
        conn: _caller_conn.CallerConn,
    ) -> _messages.CallerRequest | None:
        req = next_request(conn)
        requests[gevent.get_hub().loop.iteration] += 1
        return req

    monkeypatch.setattr(_caller_conn.CallerConn, "next_request", next_counted)
    with site.connect(instance) as sock:
        sock.sendall(request * 500)
        replies = standins.ReplyReader(sock)
        for _ in range(500):
            assert replies.read().status == 404
    # Each takes as long as several parts.
    assert max(requests.values()) <= MOST_PARTS // 10


# So would a peer that hands on such an answer.
def test_frames_of_a_peer_are_read_in_turns() -> None:
    codec = wire.Codec("secret of the tests")
    ours, theirs = gevent.socket.socketpair()
    reader = _session.Session(ours, codec, b"n" * 32, serves=False)
    writer = _session.Session(theirs, codec, b"n" * 32, serves=True)
    frames: collections.Counter[int] = collections.Counter()

    def write() -> None:
        for _ in range(1_000):
            writer.send(data=b"x")
        theirs.close()

    writing = gevent.spawn(write)
    with pytest.raises(_session.BrokenError):
        while True:
            reader.receive()
            frames[gevent.get_hub().loop.iteration] += 1
    writing.join()
    assert frames.total() == 1_000
    assert max(frames.values()) <= MOST_PARTS
