"""Reassembles the events of a stream in the order of their positions."""

import re

from agatewing import _exceptions

#: Largest number of events held back while an earlier one is missing.
MAX_HELD_EVENTS = 4_096
#: Largest size of the events held back, in bytes; four of the largest size.
MAX_HELD_BYTES = 4_000_000
#: Largest size of one event, in bytes.
MAX_EVENT_BYTES = 1_000_000

_SEPARATOR = b"\n\n"
_ID = b"id: "
_NEXT_ID = b"\n\nid: "
_DONE = b"data: [DONE]\n\n"
_ID_PATTERN = re.compile(rb"\Aid: (\d{1,12})\n")


class EventAssembler:
    """Reassembles blocks of whole events in order, each event once.

    A block that holds exactly the next events is returned as it is. Any
    other block, such as one with late, duplicate or reordered events, is
    split into its events.
    """

    __slots__ = (
        "_partial",
        "_held",
        "_held_bytes",
        "_source",
        "position",
        "done",
    )

    def __init__(self, source: str, position: int = 0) -> None:
        self._source = source
        self._partial = b""
        self._held: dict[int, bytes] = {}
        # Bytes of the events held back.
        self._held_bytes = 0
        #: Position of the last event passed on.
        self.position = position
        #: Whether the last event of the stream was passed on.
        self.done = False

    def discard_pending(self) -> None:
        """Discard the unfinished event and the events held back.

        Call it before reading the stream from a new connection.
        """
        self._partial = b""
        self._held.clear()
        self._held_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """Bytes of the unfinished event and the events held back."""
        return len(self._partial) + self._held_bytes

    def feed(self, data: bytes) -> bytes:
        """Return the next events in order that the new bytes complete.

        Returns empty bytes if the next event is incomplete or missing.
        Raises ``ProtocolError`` if an event is too large or too many events
        are held back.
        """
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
        if self._accept_in_order(block):
            return block
        return self._reorder(block)

    def _check_partial(self) -> None:
        if len(self._partial) > MAX_EVENT_BYTES:
            raise _exceptions.ProtocolError(
                self._source, f"event over {MAX_EVENT_BYTES} bytes"
            )

    def _accept_in_order(self, block: bytes) -> bool:
        """Advance the position if a block holds exactly the next events.

        Returns whether it does; no other block changes the position.
        """
        if self._held or not block.startswith(_ID):
            return False
        first = self.position + 1
        if not block.startswith(b"id: %d\n" % first):
            return False
        count = block.count(_NEXT_ID) + 1
        if block.count(_SEPARATOR) != count:
            return False
        if count > 1:
            if not self._ids_are_consecutive(block, first, count):
                return False
        self.position += count
        self.done = block.endswith(_DONE)
        return True

    def _ids_are_consecutive(
        self, block: bytes, first: int, count: int
    ) -> bool:
        """Return whether the ids after the first are consecutive."""
        at = 0
        for number in range(first + 1, first + count):
            at = block.find(_NEXT_ID, at) + len(_NEXT_ID)
            if not block.startswith(b"%d\n" % number, at):
                return False
        return True

    def _reorder(self, block: bytes) -> bytes:
        for event in block.split(_SEPARATOR):
            match = _ID_PATTERN.match(event + b"\n")
            if match is None:
                continue
            number = int(match.group(1))
            if number > self.position and number not in self._held:
                self._held[number] = event + _SEPARATOR
                self._held_bytes += len(self._held[number])
        too_many = len(self._held) > MAX_HELD_EVENTS
        if too_many or self._held_bytes > MAX_HELD_BYTES:
            raise _exceptions.ProtocolError(
                self._source, "too many events out of order"
            )
        return self._release_in_order()

    def _release_in_order(self) -> bytes:
        ready = []
        while event := self._held.pop(self.position + 1, None):
            ready.append(event)
            self._held_bytes -= len(event)
            self.position += 1
        block = b"".join(ready)
        if block.endswith(_DONE):
            self.done = True
        return block


def insert_handle(block: bytes, handle: bytes) -> bytes:
    """Insert the resume handle before the position in every event id."""
    prefix = b"id: " + handle + b"."
    return prefix + block[len(_ID) :].replace(_NEXT_ID, b"\n\n" + prefix)
