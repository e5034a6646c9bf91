"""Puts the events of a stream together by their positions."""

import re

from agatewing import _exceptions

#: Events held back while an earlier one is missing.
MAX_HELD = 4_096
#: Bytes of one event, at most.
MAX_EVENT_BYTES = 1_000_000

_SEPARATOR = b"\n\n"
_ID = b"id: "
_NEXT_ID = b"\n\nid: "
_DONE = b"data: [DONE]\n\n"
_ID_PATTERN = re.compile(rb"\Aid: (\d{1,12})\n")


class EventAssembler:
    """Yields blocks of whole events in order, each event once.

    A block whose events follow the last one is passed on undivided;
    only late, doubled or reordered events are taken apart.
    """

    __slots__ = ("_partial", "_held", "_source", "position", "done")

    def __init__(self, source: str, position: int = 0) -> None:
        self._source = source
        self._partial = b""
        self._held: dict[int, bytes] = {}
        #: Position of the last event passed on.
        self.position = position
        #: Whether the last event of the stream was passed on.
        self.done = False

    def reconnect(self) -> None:
        """Forget the unfinished event of a connection that broke."""
        self._partial = b""
        self._held.clear()

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; return the events that are next, if any."""
        data = self._partial + data if self._partial else data
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._partial = data
            self._check_partial()
            return b""
        end += len(_SEPARATOR)
        self._partial = data[end:]
        self._check_partial()
        block = data[:end]
        if self._is_next(block):
            return block
        return self._sort(block)

    def _check_partial(self) -> None:
        if len(self._partial) > MAX_EVENT_BYTES:
            raise _exceptions.ProtocolError(
                self._source, f"event over {MAX_EVENT_BYTES} bytes"
            )

    def _is_next(self, block: bytes) -> bool:
        """Accept a block of consecutive events that starts at the next."""
        if self._held or not block.startswith(_ID):
            return False
        first = self.position + 1
        if not block.startswith(b"id: %d\n" % first):
            return False
        count = block.count(_NEXT_ID) + 1
        if block.count(_SEPARATOR) != count:
            return False
        if count > 1:
            if not self._all_follow(block, first, count):
                return False
        self.position += count
        self.done = block.endswith(_DONE)
        return True

    def _all_follow(self, block: bytes, first: int, count: int) -> bool:
        """Return whether the ids of a block run on without a break."""
        at = 0
        for number in range(first + 1, first + count):
            at = block.find(_NEXT_ID, at) + len(_NEXT_ID)
            if not block.startswith(b"%d\n" % number, at):
                return False
        return True

    def _sort(self, block: bytes) -> bytes:
        for event in block.split(_SEPARATOR):
            match = _ID_PATTERN.match(event + b"\n")
            if match is None:
                continue
            number = int(match.group(1))
            if number > self.position:
                self._held.setdefault(number, event + _SEPARATOR)
        if len(self._held) > MAX_HELD:
            raise _exceptions.ProtocolError(
                self._source, "too many events out of order"
            )
        return self._release()

    def _release(self) -> bytes:
        ready = []
        while event := self._held.pop(self.position + 1, None):
            ready.append(event)
            self.position += 1
        block = b"".join(ready)
        if block.endswith(_DONE):
            self.done = True
        return block


def label(block: bytes, handle: bytes) -> bytes:
    """Put the resume handle in front of every event's position."""
    prefix = b"id: " + handle + b"."
    return prefix + block[len(_ID) :].replace(_NEXT_ID, b"\n\n" + prefix)
