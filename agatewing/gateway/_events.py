"""Cuts a stream of events at the ends of events."""

import re

from agatewing.gateway import _channel

#: Largest event, in bytes.
MAX_EVENT_BYTES = 1_000_000
#: Empty line that ends an event, with either kind of line end.
_END = re.compile(rb"\r?\n\r?\n")


class EventTooLargeError(_channel.BrokenError):
    """An event does not end within the limit."""


class EventSplitter:
    """Holds back an unfinished event, so that a stream can be resumed."""

    __slots__ = ("_partial", "events", "last")

    def __init__(self) -> None:
        self._partial = b""
        #: Whole events passed on.
        self.events = 0
        #: The last whole event.
        self.last = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; return those up to the end of the last event."""
        data = self._partial + data if self._partial else data
        end = start = 0
        for match in _END.finditer(data):
            start, end = end, match.end()
            self.events += 1
        if end:
            self.last = data[start:end]
        self._partial = data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return data[:end]

    def rest(self) -> bytes:
        """Return what follows the last whole event."""
        rest, self._partial = self._partial, b""
        return rest

    def drop_partial(self) -> None:
        """Forget the unfinished event of a connection that broke."""
        self._partial = b""
