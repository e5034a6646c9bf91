"""Reads what the log still has of the targets that came and went unseen.

An instance that lists the targets does not see those that have left. If it
knows, or was told, of all versions up to an earlier offset, the records from
there on show the others, as long as the log keeps them.
"""

import collections.abc
import logging

from agatewing import fleetlog
from agatewing.gateway import _catalog
from agatewing.gateway import _ports

_log = logging.getLogger("agatewing.catalogue")

#: Largest number of reads at a time: in twenty seconds, which the users' sites
#: keep, 70 targets write some 400 kB, and 300 in five seconds.
MAX_READS = 4


class PastEntries:
    """Closes the last gap of a catalogue from the log."""

    __slots__ = ("_log", "_catalog", "_decoder", "reads_log")

    def __init__(
        self,
        log: fleetlog.FleetLog,
        catalog: _catalog.Catalog,
        decoder: _ports.Decoder,
        reads_log: collections.abc.Callable[[], bool],
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._decoder = decoder
        #: Returns whether this instance is one of those that read the log all
        #: the time; the others learn from them.
        self.reads_log = reads_log

    def read(self) -> None:
        """Read the records of the last gap; some may have been deleted."""
        gap = self._catalog.seen.coverage.gap
        if gap is None or not self.reads_log():
            return
        offset, end = gap
        for _ in range(MAX_READS):
            page = self._log.read_past(fleetlog.Topic.TARGETS, offset)
            if (
                not isinstance(page, fleetlog.Page)
                or (page.era or 0) != self._catalog.era
                or page.next_offset == offset
            ):
                _log.info("catalogue: records that were missed are gone")
                return
            self._vouch(offset, page)
            offset = page.next_offset
            if offset >= end:
                return

    def _vouch(self, start: int, page: fleetlog.Page) -> None:
        versions: dict[str, dict[str, float]] = {}
        for record in page.records:
            target = self._decoder.target(record) if record.value else None
            if target is not None and target.role is not None:
                versions.setdefault(target.service, {})[target.software] = 0.0
        seen = self._catalog.seen.stretch(
            self._catalog.era, start, page.next_offset
        )
        self._catalog.vouch(seen, versions, "past records")
