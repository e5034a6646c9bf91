"""Streams are split at the ends of events."""

import re

from hypothesis import given
from hypothesis import strategies
import pytest

from agatewing.gateway import _events

#: Bytes of which an event may be made up.
ALPHABET = b"\r\n:x"


class CountingPattern:
    """A pattern that counts the bytes which are searched."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self._pattern = pattern
        self.searched_bytes = 0

    def finditer(self, data: bytes, start: int = 0) -> object:
        self.searched_bytes += len(data) - start
        return self._pattern.finditer(data, start)


# The whole incomplete event was searched again with each piece, so that the
# cost of an event grew with the square of its length.
@pytest.mark.parametrize("piece_bytes", [1, 8, 1_000])
def test_the_bytes_of_an_event_are_searched_once(
    monkeypatch: pytest.MonkeyPatch, piece_bytes: int
) -> None:
    pattern = CountingPattern(_events._END)
    monkeypatch.setattr(_events, "_END", pattern)
    splitter = _events.EventSplitter()
    pieces = 20_000 // piece_bytes
    for _ in range(pieces):
        assert splitter.feed(b"x" * piece_bytes) == b""
    assert splitter.feed(b"\n\n") == b"x" * (pieces * piece_bytes) + b"\n\n"
    repeated = 3 * (pieces + 1)
    assert pattern.searched_bytes <= pieces * piece_bytes + 2 + repeated


def split(pieces: list[bytes]) -> tuple[bytes, int, bytes, bytes]:
    splitter = _events.EventSplitter()
    complete = b"".join(splitter.feed(piece) for piece in pieces)
    return complete, splitter.events, splitter.last, splitter.rest()


# The end of an event that comes in several pieces could be missed, or found
# twice.
@given(
    strategies.lists(
        strategies.lists(strategies.sampled_from(ALPHABET)).map(bytes)
    )
)
def test_events_are_the_same_however_they_arrive(pieces: list[bytes]) -> None:
    data = b"".join(pieces)
    by_byte = [data[n : n + 1] for n in range(len(data))]
    complete, events, last, rest = split(by_byte)
    assert complete + rest == data
    for arrived in (pieces, [data]):
        assert split(arrived) == (complete, events, last, rest)


@pytest.mark.parametrize("piece_bytes", [8, 60_000])
def test_an_event_has_a_largest_size(piece_bytes: int) -> None:
    splitter = _events.EventSplitter()
    fed = 0
    with pytest.raises(_events.EventTooLargeError):
        while fed <= _events.MAX_EVENT_BYTES:
            fed += piece_bytes
            splitter.feed(b"x" * piece_bytes)
    assert fed > _events.MAX_EVENT_BYTES
