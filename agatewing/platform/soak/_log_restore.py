"""Restores the log of an episode from older copies."""

import collections
import collections.abc
import random

import gevent

from agatewing.platform import standins

#: Ages of the copies that are restored, in seconds.
COPY_AGES_S = (0.5, 2.0, 5.0)
#: Time between two copies, in seconds, and number of those kept.
COPY_PERIOD_S = 0.25
COPIES = 24
#: Longest time for which the log is away, and longest time after its return
#: until all is written again, in seconds.
MAX_AWAY_S = 1.0
MAX_REWRITE_S = 1.5


class LogRestores:
    """Copies the log again and again; restores it from a copy."""

    def __init__(
        self,
        store: standins.StoreStandin,
        write_again: collections.abc.Callable[[], None],
        seed: int,
    ) -> None:
        self._store = store
        self._write_again = write_again
        self._random = random.Random(f"{seed}/log")
        self._copies = collections.deque([store.copy()], COPIES)
        self._copying = gevent.spawn(self._copy_forever)

    def stop(self) -> None:
        """Make no more copies."""
        self._copying.kill()

    def _copy_forever(self) -> None:
        while True:
            gevent.sleep(COPY_PERIOD_S)
            self._copies.append(self._store.copy())

    def run(self, copy_age_s: float, fault_s: float) -> None:
        """Restore a copy; write again what operator and targets wrote.

        The log may be away before, in some way, for a part of ``fault_s``.
        """
        index = max(0, len(self._copies) - 1 - int(copy_age_s / COPY_PERIOD_S))
        copied = self._copies[index]
        mode = self._random.choice(list(standins.StoreMode))
        if mode is not standins.StoreMode.SILENT:
            self._store.mode = mode
        gevent.sleep(min(fault_s, self._random.uniform(0.0, MAX_AWAY_S)))
        self._store.restore(copied)
        self._store.mode = standins.StoreMode.FINE
        gevent.sleep(self._random.uniform(0.0, MAX_REWRITE_S))
        self._write_again()
