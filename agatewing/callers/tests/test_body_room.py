"""Room for bodies: who gets it, who waits and who is ended."""

import gevent
import pytest

from agatewing import _clock
from agatewing import callers
from agatewing.platform import standins

TOTAL, SMALL_TOTAL = 1_000, 100


@pytest.fixture
def room() -> callers.BodyRoom:
    return callers.BodyRoom(_clock.SystemClock(), TOTAL, SMALL_TOTAL)


def fill(room: callers.BodyRoom) -> list[callers.BodyShare]:
    """Let two bodies take all room, the second more than there is."""
    shares = [room.open(None), room.open(None)]
    assert room.try_grow(shares[0], TOTAL)
    assert room.try_grow(shares[1], 10)
    return shares


# Chunked bodies that all stop short would hold all room for ever.
def test_one_body_goes_on_beyond_the_bound(room: callers.BodyRoom) -> None:
    first, last = fill(room)
    assert room.try_grow(last, 5_000)
    assert not room.try_grow(first, 1)
    room.close(last)
    assert room.try_grow(first, 1)


def test_small_announced_bodies_have_room_of_their_own(
    room: callers.BodyRoom,
) -> None:
    fill(room)
    assert room.try_grow(room.open(60), 60)
    small = room.open(40)
    assert room.try_grow(small, 40)
    assert not room.try_grow(room.open(1), 1)
    assert not room.try_grow(room.open(callers.SMALL_BYTES + 1), 1)
    room.close(small)
    assert room.try_grow(room.open(1), 1)


def test_a_small_body_gets_room_of_the_others(
    room: callers.BodyRoom,
) -> None:
    first, _ = fill(room)
    small, other = room.open(60), room.open(60)
    assert room.try_grow(small, 40)
    assert room.try_grow(other, 60)
    assert not room.try_grow(small, 20)
    room.close(first)
    assert room.try_grow(small, 20)


def test_room_goes_to_the_body_that_needs_least(
    room: callers.BodyRoom,
) -> None:
    first, _ = fill(room)
    large = callers.SMALL_BYTES
    granted: list[str] = []

    def wait(name: str, announced: int | None) -> None:
        share = room.open(announced)
        room.grow(share, TOTAL - 10, float("inf"))
        granted.append(name)

    waits = [
        gevent.spawn(wait, "unknown", None),
        gevent.spawn(wait, "long", large + 2_000),
        gevent.spawn(wait, "short", large + 1_000),
    ]
    gevent.sleep(0)
    assert room.pressed
    room.close(first)
    gevent.joinall(waits, timeout=callers.WAIT_S / 2, count=1)
    assert granted == ["short"]
    gevent.killall(waits)
    assert not room.pressed


def test_a_body_without_room_in_time_is_refused(
    room: callers.BodyRoom,
) -> None:
    fill(room)
    share = room.open(None)
    with pytest.raises(callers.NoRoomError):
        room.grow(share, 1, 0.0)
    assert (room.refused, room.pressed, share.held) == (1, False, 0)


def test_all_room_comes_back(room: callers.BodyRoom) -> None:
    shares = [*fill(room), room.open(50)]
    assert room.try_grow(shares[2], 50)
    room.shrink(shares[0], 400)
    for share in shares:
        room.close(share)
    assert room.total_held == 0


# Before, its room was held until the time-out for a whole body.
@pytest.mark.parametrize(
    ("moved", "others_wait", "goes_on"),
    [(0, True, False), (0, False, True), (40_000, True, True)],
)
def test_a_body_that_stands_still_ends_if_others_wait(
    moved: int, others_wait: bool, goes_on: bool
) -> None:
    clock = standins.AdvancingClock()
    room = callers.BodyRoom(clock, TOTAL, SMALL_TOTAL)
    first, _ = fill(room)
    if others_wait:
        until = clock.monotonic() + callers.WAIT_S
        waiting = gevent.spawn(room.grow, room.open(None), 1, until)
        gevent.sleep(0)
    assert room.check_moving(first, moved)
    clock.advance(callers.STALL_S)
    assert room.check_moving(first, 0) is goes_on
    assert room.stalled == (not goes_on)
    if others_wait:
        waiting.kill()
