"""Targets that answer a long upload at once, and break the answer off."""

import pytest

from agatewing.platform.tests import _raw_targets
from agatewing.standins import hasty

UPLOAD = b"u" * 4_000_000
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: 1.2.3\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
EVENT = b"id: 1\ndata: token 1\n\n"
#: Parts of an answer without a length, by size.
PARTS = {"short": EVENT, "300 kB": EVENT + b": " + b"x" * 300_000 + b"\n\n"}
ENDS = [
    (hasty.End.RESET, 0.0),
    (hasty.End.RESET, 0.02),
    (hasty.End.RESET, 0.3),
    (hasty.End.CLOSE_UNREAD, 0.005),
]


# The part that had arrived before the reset reached the caller as a whole
# answer.
@pytest.mark.parametrize("path", _raw_targets.ROUTES)
@pytest.mark.parametrize("size", PARTS)
@pytest.mark.parametrize(
    ("end", "pause_s"), ENDS, ids=lambda value: str(value)
)
def test_a_part_before_a_reset_never_passes_for_whole(
    path: str, size: str, end: hasty.End, pause_s: float
) -> None:
    answer = HEAD + PARTS[size]
    with _raw_targets.serving(path, answer, end, pause_s) as raw:
        for number in range(_raw_targets.TARGETS):
            reply = raw.ask(f"r{number}", UPLOAD)
            success = reply.status < 300 and reply.complete
            assert not success, (number, reply.status, len(reply.body))
        assert raw.requests >= _raw_targets.TARGETS // 2


@pytest.mark.parametrize("path", _raw_targets.ROUTES)
@pytest.mark.parametrize(
    "end", [hasty.End.ORDERLY, hasty.End.ORDERLY_THEN_RESET]
)
def test_an_early_answer_that_ends_in_order_is_passed_on(
    path: str, end: hasty.End
) -> None:
    with _raw_targets.serving(path, HEAD + EVENT, end) as raw:
        reply = raw.ask("r", UPLOAD)
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body == EVENT
