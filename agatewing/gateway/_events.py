"""Splits a stream of server-sent events at event boundaries."""

import re

from agatewing.gateway import _channel

#: Largest event, in bytes.
MAX_EVENT_BYTES = 1_000_000
#: Empty line that ends an event, with either kind of line end.
_END = re.compile(rb"\r?\n\r?\n")
#: Largest part of that empty line that does not end an event, in bytes.
_END_PART_BYTES = 3


class EventTooLargeError(_channel.BrokenError):
    """An event is larger than ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Holds back a partial event, so that a stream can be resumed."""

    __slots__ = ("_partial", "events", "last")

    def __init__(self) -> None:
        self._partial = bytearray()
        #: Number of complete events returned by ``feed``, without comments.
        self.events = 0
        #: The last complete event.
        self.last = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return all up to the end of the last complete event.

        Raises ``EventTooLargeError`` if the partial event is too large.
        """
        # The rest was searched when it came.
        searched = max(0, len(self._partial) - _END_PART_BYTES)
        self._partial += data
        end = 0
        for match in _END.finditer(self._partial, searched):
            start, end = end, match.end()
            event = bytes(self._partial[start:end])
            if not _is_comment(event):
                self.events += 1
                self.last = event
        if len(self._partial) - end > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event is larger than {MAX_EVENT_BYTES} bytes"
            )
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        return complete

    @property
    def held(self) -> int:
        """Bytes after the last complete event."""
        return len(self._partial)

    def take_last(self) -> bytes:
        """Return the last complete event, and keep it no longer."""
        last, self.last = self.last, b""
        return last

    @property
    def in_event(self) -> bool:
        """Whether an event has begun and is not complete."""
        return bool(self._partial.strip())

    def rest(self) -> bytes:
        """Return the bytes after the last complete event and clear them."""
        rest = bytes(self._partial)
        self._partial.clear()
        return rest


def _is_comment(event: bytes) -> bool:
    """Return whether all lines are comments, so that there is no event."""
    return event.startswith(b":") and all(
        line.startswith(b":") for line in event.strip().splitlines()
    )
