"""Memory for the answers that are read in whole, shared by all of them.

Room is given so that the answers that have begun can always be read to the
end one after the other, each as soon as those before it gave theirs back (the
banker's algorithm).
"""

import collections.abc
import contextlib

import gevent.event

from agatewing import _clock
from agatewing.gateway import _channel


#: Part of the room for answers that are kept while another target is awaited,
#: which may take as long as their requests do.
KEPT_PART = 4


class Share:
    """Room that one answer takes; it grows as the answer is read."""

    __slots__ = ("held", "most", "kept")

    def __init__(self, most: int) -> None:
        #: Bytes that it holds.
        self.held = 0
        #: Bytes that it may need altogether.
        self.most = most
        #: Whether the answer was read and is kept for later.
        self.kept = False

    @property
    def needed(self) -> int:
        """Bytes that it may still need."""
        return max(0, self.most - self.held)

    @property
    def may_overtake(self) -> bool:
        """Whether it is given room before others that have waited longer.

        An answer that has begun gives its room back sooner, and a small one
        keeps none.
        """
        return self.held > 0 or self.most <= _channel.READ_BYTES


class _Wait:
    """A share that waits for more room."""

    __slots__ = ("share", "size", "granted")

    def __init__(self, share: Share, size: int) -> None:
        self.share = share
        self.size = size
        self.granted = gevent.event.Event()


class AnswerRoom:
    """Gives room to answers, in the order in which they asked for it."""

    __slots__ = ("_clock", "_total", "_shares", "_waits", "held")

    def __init__(self, clock: _clock.Clock, total: int) -> None:
        self._clock = clock
        # Bytes of all answers together.
        self._total = total
        self._shares: set[Share] = set()
        # In the order in which they began to wait.
        self._waits: list[_Wait] = []
        #: Bytes of all answers that are being read.
        self.held = 0

    def open(self, body_bytes: int | None) -> Share:
        """Return the share of an answer; it holds nothing yet.

        ``body_bytes`` is the length of its body, ``None`` if it is not known.
        """
        most = min(_channel.MAX_BODY_BYTES, self._total)
        if body_bytes is not None:
            most = min(most, body_bytes)
        share = Share(most)
        self._shares.add(share)
        return share

    def grow(self, share: Share, size: int, deadline: float) -> None:
        """Wait until a share may hold ``size`` bytes more.

        Raises :class:`DeadlineExceededError` if there is no room for them
        until ``deadline``, a monotonic time in seconds.
        """
        if not self._waits and self._fits(share, size):
            self._give(share, size)
            return
        wait = _Wait(share, size)
        self._waits.append(wait)
        self._give_to_waiting()
        try:
            while not wait.granted.is_set():
                left_s = deadline - self._clock.monotonic()
                if left_s <= 0:
                    raise _channel.DeadlineExceededError(
                        "the answers of other requests left no room in time"
                    )
                self._clock.wait(wait.granted, left_s)
        finally:
            if wait in self._waits:
                self._waits.remove(wait)

    @property
    def pressed(self) -> bool:
        """Whether any answer waits for room."""
        return bool(self._waits)

    @contextlib.contextmanager
    def delivering(self, size: int) -> collections.abc.Iterator[None]:
        """Hold room for a whole answer while its caller reads it.

        It held the same room while it was read, so that nothing waits here.
        """
        share = Share(size)
        self._shares.add(share)
        self._give(share, size)
        try:
            yield
        finally:
            self.close(share)

    def keep(self, size: int) -> Share | None:
        """Return the share of a whole answer that is kept for later.

        ``None`` if there is no room for it at once.
        """
        kept = sum(share.held for share in self._shares if share.kept)
        if kept + size > self._total // KEPT_PART:
            return None
        if self.held + size > self._total:
            return None
        share = Share(size)
        share.kept = True
        self._shares.add(share)
        self._give(share, size)
        return share

    def close(self, share: Share) -> None:
        """Give all room of a share back."""
        self._shares.discard(share)
        self.held -= share.held
        share.held = 0
        self._give_to_waiting()

    def _give_to_waiting(self) -> None:
        overtaken = False
        for wait in list(self._waits):
            if overtaken and not wait.share.may_overtake:
                continue
            if not self._fits(wait.share, wait.size):
                overtaken = True
            else:
                self._give(wait.share, wait.size)
                self._waits.remove(wait)
                wait.granted.set()

    def _give(self, share: Share, size: int) -> None:
        share.held += size
        self.held += size

    def _fits(self, share: Share, size: int) -> bool:
        """Return whether all answers can still end if a share grows."""
        free = self._total - self.held - size
        if free < 0:
            return False
        if free >= _channel.MAX_BODY_BYTES:
            return True
        ends = []
        for other in self._shares:
            more = size if other is share else 0
            if not other.held + more:
                continue
            ends.append((max(0, other.needed - more), other.held + more))
        for needed, held in sorted(ends):
            if needed > free:
                return False
            free += held
        return True
