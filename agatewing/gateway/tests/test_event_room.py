"""All streams share the memory for events that callers do not have yet."""

import pytest

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _event_reader
from agatewing.gateway import _events
from agatewing.gateway import _messages
from agatewing.gateway import _relay
from agatewing import net

ROOM_BYTES = 10_000
DEADLINE = float("inf")
EVENT = b"id: 1\ndata: x\n\n"
HEAD = _messages.AnswerHead(200, (), _messages.Framing.CHUNKED)


class ScriptedChannel:
    """Connection that brings given pieces."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces = list(pieces)
        self.closed = False
        self.silent_s = 0.0

    def read_piece(self, deadline: float) -> bytes:
        if self.closed:
            raise _channel.BrokenError("closed")
        if not self.pieces:
            raise _channel.DeadlineExceededError("silent")
        return self.pieces.pop(0)

    def close(self) -> None:
        self.closed = True


def new_reader(
    room: net.BufferRoom, *pieces: bytes, races: bool = False
) -> tuple[_event_reader.EventReader, ScriptedChannel]:
    channel = ScriptedChannel(*pieces)
    reader = _event_reader.EventReader(
        HEAD, channel, _clock.SystemClock(), room, lambda: races
    )
    return reader, channel


def read(reader: _event_reader.EventReader) -> _event_reader.ReadResult:
    return reader.read(0.0, DEADLINE)


@pytest.fixture
def room() -> net.BufferRoom:
    return net.BufferRoom(ROOM_BYTES)


# Any number of streams could hold an event of the largest size each.
def test_the_largest_unfinished_event_gives_way(
    room: net.BufferRoom,
) -> None:
    sizes = (3_000, 5_000, 1_000, 900)
    made = [new_reader(room, b"x" * size) for size in sizes]
    for reader, _ in made:
        assert isinstance(read(reader), _event_reader.Silent)
    assert room.held == sum(sizes)
    last, channel = new_reader(room, b"x" * 2_000)
    assert isinstance(read(last), _event_reader.Silent)
    assert [each.closed for _, each in made] == [False, True, False, False]
    assert not channel.closed
    assert room.held == sum(sizes) - 5_000 + 2_000
    failure = read(made[1][0])
    assert isinstance(failure, _messages.Unknown)
    assert "too much memory" in failure.reason
    assert room.broken_off == 1


def test_an_event_that_takes_all_the_room_is_broken_off_itself(
    room: net.BufferRoom,
) -> None:
    small, channel = new_reader(room, b"x" * 100)
    read(small)
    large, _ = new_reader(room, *[b"x" * 6_000] * 2)
    failure = read(large)
    assert isinstance(failure, _messages.Unknown)
    assert "too much memory" in failure.reason
    assert not channel.closed
    assert room.held == 100


def test_events_count_until_they_are_forwarded(
    room: net.BufferRoom,
) -> None:
    reader, channel = new_reader(room, EVENT * 50 + b"data")
    piece = read(reader)
    assert isinstance(piece, _relay.Piece)
    assert (piece.events, piece.last_event) == (50, EVENT)
    assert room.held == len(EVENT) * 50 + len(b"data")
    assert isinstance(read(reader), _event_reader.Silent)
    assert room.held == len(b"data")
    channel.pieces = [b": x\n\n", b""]
    read(reader)
    piece = read(reader)
    assert isinstance(piece, _relay.Piece) and piece.ended
    assert room.held == 0
    assert not channel.closed


@pytest.mark.parametrize("piece", [EVENT, b"data: ", b": x\n\n"])
def test_a_closed_reader_holds_nothing(
    room: net.BufferRoom, piece: bytes
) -> None:
    reader, channel = new_reader(room, piece, races=True)
    read(reader)
    assert room.held
    reader.close()
    assert channel.closed
    assert room.held == 0
    # The parser of a closed connection may still have bytes.
    channel.closed = False
    channel.pieces = [EVENT]
    assert isinstance(read(reader), _messages.Unknown)
    assert room.held == 0


def test_comments_are_kept_for_the_next_event_of_a_race(
    room: net.BufferRoom,
) -> None:
    reader, _ = new_reader(room, b": a\n\n", b": b\n\n", EVENT, races=True)
    piece = read(reader)
    assert isinstance(piece, _relay.Piece)
    assert piece.data == b": a\n\n: b\n\n" + EVENT
    assert (piece.events, piece.last_event) == (1, EVENT)


# They were kept for as long as another engine was awaited as well.
def test_comments_without_an_event_have_a_largest_size() -> None:
    room = net.BufferRoom(3 * _events.MAX_EVENT_BYTES)
    comment = b": " + b"x" * 50_000 + b"\n\n"
    reader, channel = new_reader(room, *[comment] * 40, races=True)
    failure = read(reader)
    assert isinstance(failure, _messages.Unknown)
    assert "without an event" in failure.reason
    assert channel.closed
    assert room.held == 0
