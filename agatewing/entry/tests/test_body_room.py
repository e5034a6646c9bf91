"""Bodies at the entry share room, however they are sent."""

import io

import pytest

from agatewing import _clock
from agatewing import _exceptions
from agatewing import callers
from agatewing.entry import _context
from agatewing.entry import _identity
from agatewing import net

LIMIT = 100_000
IDENTITY = _identity.Identity("a", 1.0, ())


def environ(size: int, **fields: str) -> net.Environ:
    return {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/v1/completions",
        "CONTENT_LENGTH": str(size),
        "wsgi.input": io.BytesIO(b"x" * size),
        **fields,
    }


def read(
    room: callers.BodyRoom, made: net.Environ, share: callers.BodyShare
) -> bytes:
    return _context.read_request(made, IDENTITY, LIMIT, 5.0, room, share).body


def test_a_body_holds_its_length_until_its_share_is_closed() -> None:
    room = callers.BodyRoom(_clock.SystemClock(), 1_000_000, 0)
    share = room.open(None)
    assert len(read(room, environ(50_000), share)) == 50_000
    assert room.total_held == 50_000
    room.close(share)
    assert room.total_held == 0


@pytest.mark.parametrize(
    ("fields", "outcome"),
    [({}, "not-run"), ({"HTTP_IDEMPOTENCY_KEY": "k"}, "unknown")],
)
def test_a_body_without_room_is_refused_truthfully(
    fields: dict[str, str], outcome: str
) -> None:
    room = callers.BodyRoom(_clock.SystemClock(), 10, 0)
    # It may go on beyond the bound, so that no other may.
    assert room.try_grow(room.open(None), 50)
    made = environ(50_000, **fields)
    with pytest.raises(_exceptions.RefusedError) as caught:
        read(room, made, room.open(50_000))
    assert caught.value.refusal.status == 503
    assert caught.value.refusal.outcome == outcome
    assert made["wsgi.input"].tell() == 0
