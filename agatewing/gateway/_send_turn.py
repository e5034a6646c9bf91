"""Decides which path of a request may send it."""

import gevent.event

from agatewing import decisions


class SendTurn:
    """Lets one path at a time await the answer to the request itself.

    The next path gets the turn once that answer failed or is silent, so that
    the number of engines that run the request stays within its limits.
    """

    __slots__ = ("_attempts", "_holder", "_freed", "_waiting")

    def __init__(self, attempts: decisions.Attempts) -> None:
        self._attempts = attempts
        self._holder: object | None = None
        self._freed = gevent.event.Event()
        self._waiting = 0

    @property
    def taken(self) -> bool:
        """Whether a path holds the turn."""
        return self._holder is not None

    def taken_by_other(self, path: object) -> bool:
        """Return whether a path other than ``path`` holds the turn."""
        return self._holder not in (None, path)

    @property
    def wanted(self) -> bool:
        """Whether a path waits for the turn."""
        return self._waiting > 0

    def acquire(self, path: object) -> None:
        """Wait until ``path`` may send the request."""
        while self.taken_by_other(path):
            self._freed.clear()
            self._waiting += 1
            try:
                self._freed.wait()
            finally:
                self._waiting -= 1
        self._holder = path

    def release(self, path: object) -> None:
        """Let another path send the request, if ``path`` had the turn.

        Keeps the turn if the request may have run and must not run again.
        """
        attempts = self._attempts
        if attempts.maybe_ran and not attempts.idempotent:
            return
        if self._holder is path:
            self._holder = None
            self._freed.set()
