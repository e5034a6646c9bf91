"""Requests that began, counted by account and window of the wall clock.

Each incarnation of an instance counts for itself. Its counts only grow, so
counts of one incarnation, window and account are merged by the larger one:
messages may come twice, late, out of order, or in part.
"""

import collections
import collections.abc
import dataclasses

#: Times that counts are sent after a change: two datagrams in a row may be
#: lost.
SENDS = 3
#: Windows that are kept. Reports of a duty whose address or log is away for
#: that long are given up; the record of a claim holds the figures of all.
KEEP_WINDOWS = 24
#: Largest number of incarnations in one window: those of the largest fleet,
#: started anew several times.
MAX_LIFETIMES = 2_048
#: Largest number of accounts of one incarnation in one window.
MAX_ACCOUNTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Lifetime:
    """One incarnation of an instance."""

    #: Name of the instance.
    instance: str
    #: Wall time at which it started, in milliseconds since 1970.
    start_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """Counts of one incarnation in one window, or a part of them."""

    #: Incarnation that counted.
    lifetime: Lifetime
    #: Number of the window.
    window: int
    #: Number of requests that began, by account.
    counts: collections.abc.Mapping[str, int]


class UsageCounts:
    """Counts of this instance, and those that it has heard of others."""

    __slots__ = ("own", "_windows", "_first", "_last", "_sends_left")

    def __init__(self, own: Lifetime) -> None:
        #: This incarnation.
        self.own = own
        self._windows: dict[int, dict[Lifetime, dict[str, int]]] = {}
        # Windows that are kept; none before the first call of ``keep``.
        self._first = 0
        self._last = -1
        # Times that own counts are still to be sent, by window.
        self._sends_left: dict[int, int] = {}

    def keep(self, current: int) -> None:
        """Drop windows that are too old; ``current`` is the present one.

        Counts of later ones than the next are not taken: their sender has a
        wrong clock.
        """
        self._first = current - KEEP_WINDOWS
        self._last = current + 1
        for windows in (self._windows, self._sends_left):
            for window in [w for w in windows if w < self._first]:
                del windows[window]

    def begin(self, account: str, window: int) -> None:
        """Count a request of this instance that began."""
        counts = self._of(self.own, window)
        counts[account] = counts.get(account, 0) + 1
        self._sends_left[window] = SENDS

    def merge(self, part: WindowCounts) -> bool:
        """Merge counts of another incarnation; return whether they fit."""
        if not self._first <= part.window <= self._last:
            return False
        lifetimes = self._windows.get(part.window, {})
        known = part.lifetime in lifetimes
        if not known and len(lifetimes) >= MAX_LIFETIMES:
            return False
        counts = self._of(part.lifetime, part.window)
        for account, count in part.counts.items():
            if account in counts or len(counts) < MAX_ACCOUNTS:
                counts[account] = max(count, counts.get(account, 0))
        return True

    def _of(self, lifetime: Lifetime, window: int) -> dict[str, int]:
        return self._windows.setdefault(window, {}).setdefault(lifetime, {})

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of all incarnations in a window, by account."""
        totals: collections.Counter[str] = collections.Counter()
        for counts in self._windows.get(window, {}).values():
            totals.update(counts)
        return dict(totals)

    def first_window(self) -> int | None:
        """Return the first window in which a request is known to begin."""
        begun = (
            window
            for window, lifetimes in self._windows.items()
            if any(lifetimes.values())
        )
        return min(begun, default=None)

    def saw_since(self, window: int, start_ms: float) -> bool:
        """Return whether an incarnation is known that saw all of a window.

        ``start_ms`` is the begin of the window. Incarnations that are known
        from any window since count.
        """
        return self.own.start_ms <= start_ms or any(
            lifetime.start_ms <= start_ms
            for number, lifetimes in self._windows.items()
            if number >= window
            for lifetime in lifetimes
        )

    def known(self, first: int, last: int) -> list[WindowCounts]:
        """Return all that is known of some windows.

        This incarnation is in each of them, with or without counts.
        """
        parts = []
        first, last = max(first, self._first), min(last, self._last)
        for window in range(first, last + 1):
            self._of(self.own, window)
            parts += [
                WindowCounts(lifetime, window, dict(counts))
                for lifetime, counts in self._windows[window].items()
            ]
        return parts

    def take_unsent(self) -> list[WindowCounts]:
        """Return the own counts that are to be sent now."""
        parts = []
        for window in sorted(self._sends_left):
            self._sends_left[window] -= 1
            if not self._sends_left[window]:
                del self._sends_left[window]
            counts = dict(self._of(self.own, window))
            parts.append(WindowCounts(self.own, window, counts))
        return parts

    def send_again(self) -> None:
        """Have all own counts sent again, as others are to keep them."""
        for window, lifetimes in self._windows.items():
            if self.own in lifetimes:
                self._sends_left[window] = SENDS
