"""Targets that reset a connection while a request is still being sent."""

import collections.abc

import gevent
import pytest

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _messages
from agatewing.standins import hasty

#: Upload that the target's receive buffer does not hold, in bytes.
UPLOAD_BYTES = 16_000_000
LIMIT_S = 5.0
PART = b"part of a body"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
#: Answer without a length, so that its connection ends it.
ANSWER = HEAD + PART


def send_upload(
    address: str, clock: _clock.Clock
) -> tuple[_channel.Channel, float]:
    """Begin an upload; return its connection and the deadline."""
    channel = _channel.Channel(address, clock)
    channel.connect(LIMIT_S)
    deadline = clock.monotonic() + LIMIT_S
    outgoing = _messages.Outgoing(
        b"POST", b"/x", ((b"Host", b"h"),), b"u" * UPLOAD_BYTES
    )
    channel.send(outgoing, deadline)
    return channel, deadline


def read_first_part(channel: _channel.Channel, deadline: float) -> None:
    channel.read_head(deadline)
    assert channel.read_piece(deadline) == PART


def wait_for_sender(channel: _channel.Channel) -> None:
    """Wait until the greenlet that sends the upload has failed."""
    with gevent.Timeout(LIMIT_S, AssertionError("the upload goes on")):
        while channel._send_greenlet is not None:
            gevent.sleep(0.005)


def look_for_input(channel: _channel.Channel) -> None:
    """Look for unread bytes until the connection has ended."""
    assert channel._send_greenlet is not None
    channel._send_greenlet.kill()
    gevent.sleep(0.2)
    assert not channel.unread


#: What sees the reset before the answer is read on.
FIRST_TO_SEE: dict[str, collections.abc.Callable[[_channel.Channel], None]] = {
    "the upload": wait_for_sender,
    "a look for unread bytes": look_for_input,
    "the reader": lambda channel: None,
}


# The kernel tells of a reset once. Where the upload was told, the answer
# seemed to end in order, and the part of its body passed for the whole.
@pytest.mark.parametrize("pause_s", [0.05, 0.3])
@pytest.mark.parametrize("end", [hasty.End.RESET, hasty.End.CLOSE_UNREAD])
@pytest.mark.parametrize("first", FIRST_TO_SEE)
def test_a_reset_never_ends_an_answer(
    first: str, end: hasty.End, pause_s: float
) -> None:
    clock = _clock.SystemClock()
    with hasty.HastyServer(ANSWER, end, pause_s) as server:
        channel, deadline = send_upload(server.address, clock)
        read_first_part(channel, deadline)
        FIRST_TO_SEE[first](channel)
        with pytest.raises(_channel.BrokenError):
            channel.read_piece(deadline)
        channel.close()


@pytest.mark.parametrize(
    "end", [hasty.End.ORDERLY, hasty.End.ORDERLY_THEN_RESET]
)
@pytest.mark.parametrize("waits", [False, True], ids=["at once", "later"])
def test_an_answer_that_ends_in_order_beside_an_upload_is_whole(
    waits: bool, end: hasty.End
) -> None:
    """Guards against taking the end of the upload for that of the answer.

    The target may close for reading once its answer has ended.
    """
    clock = _clock.SystemClock()
    with hasty.HastyServer(ANSWER, end) as server:
        channel, deadline = send_upload(server.address, clock)
        read_first_part(channel, deadline)
        if waits:
            gevent.sleep(0.3)
        assert channel.read_piece(deadline) == b""
        channel.close()


OWN_ENDS: dict[str, collections.abc.Callable[[_channel.Channel], None]] = {
    "closes": lambda channel: channel.close(),
    "resets": lambda channel: channel.reset(),
}


# A path that loses its race, or a target that has ended, has its connection
# closed by another greenlet than the one that reads.
@pytest.mark.parametrize("waits", [True, False], ids=["in a read", "before"])
@pytest.mark.parametrize("name", OWN_ENDS)
def test_an_end_of_its_own_never_ends_an_answer(
    name: str, waits: bool
) -> None:
    clock = _clock.SystemClock()
    with hasty.HastyServer(ANSWER, hasty.End.ORDERLY, 2.0) as server:
        channel, deadline = send_upload(server.address, clock)
        read_first_part(channel, deadline)
        end = gevent.spawn_later(0.05, OWN_ENDS[name], channel)
        if not waits:
            end.join()
        with pytest.raises(_channel.BrokenError):
            channel.read_piece(deadline)


def test_a_deadline_never_ends_an_answer() -> None:
    clock = _clock.SystemClock()
    with hasty.HastyServer(ANSWER, hasty.End.RESET, 0.4) as server:
        channel, _ = send_upload(server.address, clock)
        read_first_part(channel, clock.monotonic() + LIMIT_S)
        with pytest.raises(_channel.DeadlineExceededError):
            channel.read_piece(clock.monotonic() + 0.1)
        # A reader may go on after a silence; the reset has come meanwhile.
        wait_for_sender(channel)
        with pytest.raises(_channel.BrokenError):
            channel.read_piece(clock.monotonic() + LIMIT_S)
        channel.close()
