"""Memory for parts of answers, shared by all that are being read.

A target in trouble may send an event or a body that never ends. The sum is
bounded by breaking off the answer that holds most; sound ones are short.
"""

import typing


class BufferHolder(typing.Protocol):
    """Reader of an answer that holds bytes of it."""

    #: Bytes that it holds, as recorded by :meth:`BufferRoom.record`.
    held: int

    def break_off(self) -> None:
        """Close the answer's connection; record that nothing is held."""


class BufferRoom:
    """Bounds the bytes that all readers hold together."""

    __slots__ = ("_total", "_holders", "_held", "broken_off")

    def __init__(self, total: int) -> None:
        # Bytes of all readers together.
        self._total = total
        # Those that hold any.
        self._holders: set[BufferHolder] = set()
        self._held = 0
        #: Number of answers that were broken off to make room.
        self.broken_off = 0

    @property
    def held(self) -> int:
        """Bytes that all readers hold."""
        return self._held

    def record(self, holder: BufferHolder, size: int) -> None:
        """Record that a reader holds ``size`` bytes now.

        If that is too much for all together, answers are broken off, maybe
        its own, until the rest has room; those that hold most go first.
        """
        self._held += size - holder.held
        holder.held = size
        if size:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        while self._held > self._total:
            largest = max(self._holders, key=lambda each: each.held)
            self.broken_off += 1
            largest.break_off()
