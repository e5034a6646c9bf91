"""Which entries of targets were seen, and the software versions in them.

A stream that nobody remembers may go on at a version only if no other can have
begun it. So each way in which entries come in has to say which records of the
log it covers; what none covers may have held any version.
"""

import collections.abc
import logging

import gevent.event

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _contracts

_log = logging.getLogger("agatewing.catalogue")

#: Time told for which a view that misses nothing has been complete, in
#: seconds; JSON has no infinite numbers.
ALWAYS_S = 1e9

#: Times or ages of software versions, by service and version.
VersionTimes = collections.abc.Mapping[
    str, collections.abc.Mapping[str, float]
]


def _no_versions() -> VersionTimes:
    """Default of ``SeenTargets.version_ages``."""
    return {}


class SeenTargets:
    """The entries of targets that this instance knows of."""

    __slots__ = ("_clock", "coverage", "version_ages", "_versions", "missed")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        #: Parts of the log whose entries were seen, here or by those who told.
        self.coverage = decisions.LogCoverage()
        #: Returns the software versions of late, by service, with the time
        #: since the last engine of each left, in seconds.
        self.version_ages: collections.abc.Callable[[], VersionTimes] = (
            _no_versions
        )
        # Versions in the entries seen since they were last taken, by service,
        # with the monotonic times until which they were there.
        self._versions: dict[str, dict[str, float]] = {}
        #: Set when entries were missed, until somebody clears it.
        self.missed = gevent.event.Event()

    @property
    def missed_lately(self) -> bool:
        """Whether engines that began recent streams may have been missed."""
        missed_s = self._clock.monotonic() - self.coverage.since
        return missed_s < decisions.STREAM_KEEP_S

    def stretch(
        self, era: int, start: int, through: int, complete_s: float = 0.0
    ) -> decisions.LogStretch:
        """Return a part of the log that has been complete for so long."""
        since = self._clock.monotonic() - complete_s
        return decisions.LogStretch(era, start, through, since)

    def stretch_of(
        self, snapshot: _contracts.Snapshot
    ) -> decisions.LogStretch:
        """Return the records that the sender of a snapshot has seen.

        One that does not say so has seen none, for all that is known.
        """
        era, through, seen = snapshot.era, snapshot.through, snapshot.seen
        if seen is None:
            return self.stretch(era, through, through)
        return self.stretch(era, seen.start, through, seen.complete_s)

    def note(self, target: _contracts.Target) -> None:
        """Note the version of an entry, also of one that is not used here.

        Another instance may have used it.
        """
        if target.role is not None:
            seen = self._versions.setdefault(target.service, {})
            seen[target.software] = self._clock.monotonic()

    def note_versions(self, ages: VersionTimes) -> None:
        """Note versions with the time since each was there, in seconds."""
        now = self._clock.monotonic()
        for service, by_version in ages.items():
            seen = self._versions.setdefault(service, {})
            for software, age_s in by_version.items():
                at = now - age_s
                seen[software] = max(seen.get(software, at), at)

    def take_versions(self) -> dict[str, dict[str, float]]:
        """Return and forget the software versions of the engines seen.

        They are given by service, with the monotonic times until which they
        were there. Among them are those of engines that have joined and left
        between two changes that the catalogue's listener was told of.
        """
        seen, self._versions = self._versions, {}
        return seen

    def advance(self, stretch: decisions.LogStretch, source: str) -> None:
        """Add the records that end where the log is now known to."""
        before = self.coverage.newest
        self.coverage.advance(stretch)
        if before is not None and self.coverage.since > before.since:
            self.missed.set()
            _log.info(
                "catalogue: targets may have come and gone unseen",
                extra={
                    "source": source,
                    "era": stretch.era,
                    "known_through": before.through,
                    "known_from": stretch.start,
                },
            )

    def vouch(
        self, stretch: decisions.LogStretch, ages: VersionTimes, source: str
    ) -> None:
        """Count records as seen that somebody else has seen.

        ``ages`` are of the versions in them and in the entries before them.
        """
        self.note_versions(ages)
        before = self.coverage.since
        self.coverage.vouch(stretch)
        self._log_known(before, source)

    def hear(self, peer: str, snapshot: _contracts.Snapshot) -> None:
        """Record that a peer has told all that it saw.

        The versions in its snapshot have to be noted already.
        """
        if snapshot.seen is not None:
            position = (snapshot.era, snapshot.through)
            self.coverage.hear(peer, snapshot.seen.memory, position)

    def join_all(self) -> None:
        """Count records as seen that no instance has seen.

        All have told what they saw.
        """
        before = self.coverage.since
        self.coverage.join_all()
        self._log_known(before, "all instances")

    def _log_known(self, before: float, source: str) -> None:
        """Log if something that was missed ``before`` is known now."""
        if self.coverage.since < before:
            _log.info(
                "catalogue: targets that came and went are known",
                extra={"source": source},
            )

    def tell(self) -> _contracts.SeenRecords | None:
        """Return what a peer may count as seen; ``None`` before any read."""
        newest, memory = self.coverage.newest, self.coverage.memory
        if newest is None or memory is None:
            return None
        return _contracts.SeenRecords(
            newest.start,
            min(self._clock.monotonic() - newest.since, ALWAYS_S),
            {name: dict(ages) for name, ages in self.version_ages().items()},
            memory,
        )
