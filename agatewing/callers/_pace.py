"""Whether bytes move, of a body that arrives or an answer that is read."""

#: Time in which bytes have to move while others wait for room, in seconds,
#: and how many: a tenth of the pace that the time-out for a whole body asks of
#: the largest one.
STALL_S = 1.0
STALL_BYTES = 32_768


class Pace:
    """Bytes that moved of late."""

    __slots__ = ("_moved", "_since")

    def __init__(self, now: float) -> None:
        self._moved = 0
        # Monotonic time since which they are counted, in seconds.
        self._since = now

    def begin(self, now: float) -> None:
        """Count anew, as nothing could move until now."""
        self._moved, self._since = 0, now

    def record(self, size: int) -> None:
        """Record that bytes moved."""
        self._moved += size

    def stands_still(self, now: float) -> bool:
        """Return whether too few moved; counts anew if enough did."""
        if now < self._since + STALL_S:
            return False
        if self._moved < STALL_BYTES:
            return True
        self.begin(now)
        return False
