"""Tests of event reassembly, resume handles and request bodies."""

import collections.abc
import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import _exceptions
from agatewing import _types
from agatewing import entry
from agatewing.entry import _whole_answer
from agatewing import net


def _event(number: int, last: int) -> bytes:
    data = b"[DONE]" if number == last else b'{"n": %d}' % number
    return b"id: %d\ndata: %s\n\n" % (number, data)


@hypothesis.given(
    strategies.integers(1, 40),
    strategies.integers(0, 2**32),
    strategies.integers(1, 60),
)
def test_fuzz_any_splitting_gives_the_same_events(
    last: int, seed: int, size: int
) -> None:
    rng = random.Random(seed)
    whole = b": open\n\n" + b"".join(
        _event(n, last) + (b": ping\n\n" if rng.random() < 0.2 else b"")
        for n in range(1, last + 1)
    )
    assembler = entry.EventAssembler("engine")
    out = b"".join(
        assembler.feed(whole[at : at + size])
        for at in range(0, len(whole), size)
    )
    assert out == b"".join(_event(n, last) for n in range(1, last + 1))
    assert assembler.done and assembler.position == last


@hypothesis.given(strategies.integers(1, 30), strategies.integers(0, 2**32))
def test_fuzz_late_doubled_and_reordered_events(last: int, seed: int) -> None:
    rng = random.Random(seed)
    numbers = list(range(1, last + 1))
    sent = numbers + rng.choices(numbers, k=last)
    rng.shuffle(sent)
    assembler = entry.EventAssembler("engine")
    out = b"".join(assembler.feed(_event(n, last)) for n in sent)
    assert out == b"".join(_event(n, last) for n in numbers)
    assert assembler.done


@hypothesis.given(strategies.binary(max_size=200))
def test_fuzz_any_bytes_never_pass_out_of_order(data: bytes) -> None:
    assembler = entry.EventAssembler("engine")
    assembler.feed(data + b"\n\n" + _event(1, 9) + _event(2, 9))
    assert assembler.position in (0, 1, 2) or assembler.position <= 12


# 4,096 events of up to 1 MB each were held back while one was missing.
@pytest.mark.parametrize("size", [10, 500_000])
def test_events_that_are_held_back_have_a_largest_size(size: int) -> None:
    assembler = entry.EventAssembler("engine")
    most = 0
    with pytest.raises(_exceptions.ProtocolError):
        for number in range(2, 5_000):
            data = b"id: %d\ndata: %s\n\n" % (number, b"x" * size)
            assert assembler.feed(data) == b""
            most = max(most, assembler.pending_bytes)
    assert 0 < most <= 4_000_000
    assembler.discard_pending()
    assert assembler.pending_bytes == 0


def test_what_is_pending_is_counted() -> None:
    assembler = entry.EventAssembler("engine")
    later = _event(2, 9)
    assembler.feed(later + later + b"id: 3")
    assert assembler.pending_bytes == len(later) + len(b"id: 3")
    assert assembler.feed(b"\n\n" + _event(1, 9)) != b""
    assert assembler.pending_bytes == 0


def _endless_texts() -> collections.abc.Iterator[bytes]:
    for number in itertools.count(1):
        text = "x" * 10_000
        yield b'id: %d\ndata: {"choices": [{"text": "%s"}]}\n\n' % (
            number,
            text.encode(),
        )


# An answer that is not streamed was collected for as long as events came.
def test_a_collected_text_has_a_largest_size() -> None:
    room = net.BufferRoom(1_000_000)
    with pytest.raises(_exceptions.RefusedError) as caught:
        _whole_answer.collect(_endless_texts(), room)
    assert caught.value.refusal.outcome is _types.Outcome.UNKNOWN
    assert room.held == 0


def test_the_largest_collected_text_gives_way() -> None:
    room = net.BufferRoom(1_000_000)
    small = itertools.islice(_endless_texts(), 20)
    while_small = []

    def blocks() -> collections.abc.Iterator[bytes]:
        for block in small:
            yield block
            while_small.append(room.held)
        with pytest.raises(_exceptions.RefusedError):
            _whole_answer.collect(_endless_texts(), room)

    text, _ = _whole_answer.collect(blocks(), room)
    assert len(text) == 20 * 10_000
    assert while_small[-1] > len(text)
    assert room.held == 0


def test_a_text_that_gave_way_is_not_returned() -> None:
    """Guards against a text that is dropped after its last event."""
    room = net.BufferRoom(1_000_000)

    def blocks() -> collections.abc.Iterator[bytes]:
        yield from itertools.islice(_endless_texts(), 90)
        for _ in range(10):
            room.record(Other(), 50_000)

    class Other:
        held = 0

        def break_off(self) -> None:
            raise AssertionError("a smaller answer was broken off")

    with pytest.raises(_exceptions.RefusedError):
        _whole_answer.collect(blocks(), room)


def test_a_broken_connection_forgets_the_unfinished_event() -> None:
    assembler = entry.EventAssembler("engine")
    assembler.feed(_event(1, 3) + b"id: 2\nda")
    assembler.discard_pending()
    assert assembler.feed(_event(2, 3) + _event(3, 3)).count(b"id") == 2
    assert assembler.done


def test_insert_handle_changes_event_ids_only() -> None:
    block = _event(1, 3) + b'id: 2\ndata: {"t": "id: 9"}\n\n'
    labelled = entry.insert_handle(block, b"H")
    assert labelled == (
        b'id: H.1\ndata: {"n": 1}\n\nid: H.2\ndata: {"t": "id: 9"}\n\n'
    )


HANDLE = entry.StreamHandle("shop", "e1", "s1", 5, 7, b"12345678")


def test_a_handle_survives_encoding_and_decoding() -> None:
    codec = entry.HandleCodec("s" * 16)
    handle, position = codec.decode(codec.encode(HANDLE) + ".41")
    assert handle == HANDLE and position == 41


@pytest.mark.parametrize(
    "event_id",
    ["", ".", "x.1", "AAAA.1", "A" * 2_000 + ".1", "\u00e9.1", "a.-1", "a.x"],
)
def test_a_bad_id_is_refused(event_id: str) -> None:
    codec = entry.HandleCodec("s" * 16)
    with pytest.raises(_exceptions.RefusedError) as caught:
        codec.decode(event_id)
    assert caught.value.refusal.kind == "bad-resume-id"


@hypothesis.given(strategies.integers(0, 200), strategies.integers(1, 255))
def test_fuzz_a_changed_handle_is_refused(place: int, change: int) -> None:
    codec = entry.HandleCodec("s" * 16)
    text = codec.encode(HANDLE)
    place %= len(text)
    other = chr((ord(text[place]) ^ change) & 0x7F)
    forged = text[:place] + other + text[place + 1 :]
    hypothesis.assume(forged != text)
    try:
        handle, _ = codec.decode(forged + ".1")
    except _exceptions.RefusedError:
        return
    assert handle == HANDLE


@hypothesis.given(strategies.binary(max_size=300))
def test_fuzz_any_body_is_refused_or_read(raw: bytes) -> None:
    for shape in ("completions", "chat"):
        try:
            entry.parse_body(shape, raw)
        except _exceptions.RefusedError as exc:
            assert exc.refusal.kind == "bad-request"
