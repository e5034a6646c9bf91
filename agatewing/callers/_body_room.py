"""Memory for what callers and peers send, shared by all their bodies.

Bodies take room as their bytes arrive. If there is none, a body waits without
being read, except for two kinds: small ones of announced length have some
room of their own, and one body at a time, the one that needs least, may go on
to its end beyond the bound. So some body can always end.
"""

import gevent.event

from agatewing import _clock
from agatewing.callers import _pace

#: Largest body that counts as small, in bytes: prompts of ordinary callers
#: are shorter.
SMALL_BYTES = 65_536
#: Longest wait of one body for room, in seconds: short beside the three
#: seconds that a head may take, so that a refused caller has time for another
#: instance.
WAIT_S = 1.0


class NoRoomError(Exception):
    """The bodies of others left no room in time."""


class BodyShare:
    """Room that one body takes."""

    __slots__ = ("held", "announced", "small", "pace")

    def __init__(self, announced: int | None, now: float) -> None:
        #: Bytes that it holds.
        self.held = 0
        #: Its length in bytes; ``None`` if that is not known.
        self.announced = announced
        #: Whether it holds room of small bodies.
        self.small = False
        #: Whether it moves.
        self.pace = _pace.Pace(now)

    @property
    def needed(self) -> float:
        """Bytes that it still needs; infinite if not known."""
        if self.announced is None:
            return float("inf")
        return self.announced - self.held


class _Wait:
    """A share that waits for more room."""

    __slots__ = ("share", "size", "granted")

    def __init__(self, share: BodyShare, size: int) -> None:
        self.share = share
        self.size = size
        self.granted = gevent.event.Event()


class BodyRoom:
    """Gives room to bodies; small and announced ones first."""

    __slots__ = (
        "_clock",
        "_total",
        "_small_total",
        "_small_held",
        "_last",
        "_waits",
        "held",
        "refused",
        "stalled",
    )

    def __init__(
        self, clock: _clock.Clock, total: int, small_total: int
    ) -> None:
        self._clock = clock
        # Bytes of all bodies together, and of small ones beside them.
        self._total = total
        self._small_total = small_total
        self._small_held = 0
        # The one that may go on beyond the bound.
        self._last: BodyShare | None = None
        # In the order in which they began to wait.
        self._waits: list[_Wait] = []
        #: Bytes of all bodies, without those of small ones beside them.
        self.held = 0
        #: Number of bodies that got no room in time.
        self.refused = 0
        #: Number of bodies that were ended for others, as they stood still.
        self.stalled = 0

    @property
    def pressed(self) -> bool:
        """Whether any body waits for room."""
        return bool(self._waits)

    @property
    def total_held(self) -> int:
        """Bytes of all bodies."""
        return self.held + self._small_held

    def open(self, announced: int | None) -> BodyShare:
        """Return the share of a body; it holds nothing yet.

        ``announced`` is its length in bytes, ``None`` if it is not known.
        """
        return BodyShare(announced, self._clock.monotonic())

    def try_grow(self, share: BodyShare, size: int) -> bool:
        """Let a share hold ``size`` bytes more; return whether it may."""
        if share.small:
            fits = self._small_held + size <= self._small_total
        else:
            fits = self.held + size <= self._total or share is self._last
        if not fits and share.small:
            fits = self.held + share.held + size <= self._total
            if fits:
                self._take_back_small(share)
        if fits:
            self._give(share, size)
            return True
        if self._may_be_small(share, size):
            share.small = True
            self.held -= share.held
            self._small_held += share.held + size
            share.held += size
            return True
        if self._last is None:
            self._last = share
            self._take_back_small(share)
            self._give(share, size)
            return True
        return False

    def grow(self, share: BodyShare, size: int, until: float) -> None:
        """Wait until a share may hold ``size`` bytes more.

        Raises :class:`NoRoomError` if there is no room within ``WAIT_S``, or
        until the monotonic time ``until``, in seconds.
        """
        if self.try_grow(share, size):
            return
        wait = _Wait(share, size)
        self._waits.append(wait)
        until = min(until, self._clock.monotonic() + WAIT_S)
        try:
            while not wait.granted.is_set():
                left_s = until - self._clock.monotonic()
                if left_s <= 0:
                    self.refused += 1
                    raise NoRoomError("the bodies of others left no room")
                self._clock.wait(wait.granted, left_s)
        finally:
            if wait in self._waits:
                self._waits.remove(wait)
        share.pace.begin(self._clock.monotonic())

    def shrink(self, share: BodyShare, size: int) -> None:
        """Give ``size`` bytes of a share back."""
        self._give(share, -size)
        if self._waits:
            self._give_to_waiting()

    def close(self, share: BodyShare) -> None:
        """Give all room of a share back."""
        self._give(share, -share.held)
        if share is self._last:
            self._last = None
        if self._waits:
            self._give_to_waiting()

    def check_moving(self, share: BodyShare, size: int) -> bool:
        """Record that ``size`` bytes came; return whether it may go on.

        One that stands still may not if others wait for its room.
        """
        now = self._clock.monotonic()
        share.pace.record(size)
        if (
            not share.pace.stands_still(now)
            or not self._waits
            or not share.held
        ):
            return True
        self.stalled += 1
        return False

    def _may_be_small(self, share: BodyShare, size: int) -> bool:
        if share.small or share.announced is None:
            return False
        if share.announced > SMALL_BYTES:
            return False
        return self._small_held + share.held + size <= self._small_total

    def _take_back_small(self, share: BodyShare) -> None:
        """Count a share's bytes with those of the others."""
        if share.small:
            share.small = False
            self._small_held -= share.held
            self.held += share.held

    def _give(self, share: BodyShare, size: int) -> None:
        share.held += size
        if share.small:
            self._small_held += size
        else:
            self.held += size

    def _give_to_waiting(self) -> None:
        """Give room to those that wait, what needs least first."""
        for wait in sorted(self._waits, key=lambda w: w.share.needed):
            if self.try_grow(wait.share, wait.size):
                self._waits.remove(wait)
                wait.granted.set()
