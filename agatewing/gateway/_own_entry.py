"""The instance's own entry in the log, by which peers find it."""

import logging

import gevent.event

from agatewing import _clock
from agatewing import fleetlog

_log = logging.getLogger("agatewing.instance")

#: Pause before a failed write is retried, in seconds.
RETRY_S = 1.0


class OwnEntry:
    """Writes the entry, and again when the log does not have it any more."""

    __slots__ = (
        "_log",
        "_clock",
        "_era",
        "_record",
        "_wanted",
        "_written_era",
        "rewrites",
    )

    def __init__(
        self,
        log: fleetlog.FleetLog,
        clock: _clock.Clock,
        era: fleetlog.LogEra,
        record: fleetlog.KeyedRecord,
    ) -> None:
        self._log = log
        self._clock = clock
        self._era = era
        self._record = record
        # Set until the log has acknowledged the entry.
        self._wanted = gevent.event.Event()
        self._wanted.set()
        # Era of the log that has acknowledged the entry.
        self._written_era: int | None = None
        #: Number of times that it was written again.
        self.rewrites = 0

    def run(self) -> None:
        """Keep the entry in the log, forever."""
        while True:
            self._wanted.wait()
            if not self.step():
                self._clock.sleep(RETRY_S)

    def check(self, records: tuple[fleetlog.KeyedRecord, ...]) -> None:
        """Have the entry written again unless a listing contains it.

        A restored log may lack it, or have that of an earlier start. A
        listing of the era in which it was written may have been read before.
        """
        if self._wanted.is_set() or self._written_era == self._era.current:
            return
        if self._record in records:
            self._written_era = self._era.current
            return
        self.rewrites += 1
        _log.warning(
            "instance: own entry written again, the log lacks it",
            extra={"era": self._era.current},
        )
        self._wanted.set()

    def step(self) -> bool:
        """Write the entry once; return whether the log acknowledged.

        A write counts only if the log was not restored until its answer: it
        may have been carried out before.
        """
        before = self._era.current
        match self._log.put(
            fleetlog.Topic.INSTANCES,
            self._record.key,
            self._record.value or b"",
        ):
            case fleetlog.LogUnavailable(reason=reason, era=era):
                self._era.observe(era)
                _log.warning(
                    "instance: own entry not written; retrying",
                    extra={"reason": reason},
                )
                return False
            case fleetlog.Stored(era=era):
                newest = self._era.observe(era)
        if newest and before in (None, self._era.current):
            self._wanted.clear()
            self._written_era = self._era.current
        return True
