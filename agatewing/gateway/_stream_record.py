"""Records in the log what a loss of all instances must not lose.

Instances remember which software version began which stream. If all of them
are killed at once, only the log can tell it: the versions that may have begun
recent streams of each service and, while those are several, the streams.

The versions are written when they change, by the instance of the lowest rank
or, if it has not done so in time, by the next. Streams are written in batches:
in small fleets by the instance of rank 0, as it learns of all; in larger ones
by the instances that began them, less often.

The versions are written anew from time to time, with the offset up to which
their writer had read the entries of targets. What has come since can be read
in the log, so that the record proves what it does not name.
"""

import collections
import collections.abc
import logging
import math

import msgspec
import result

from agatewing import _clock
from agatewing import _decoding
from agatewing import decisions
from agatewing import fleetlog
from agatewing.gateway import _catalog
from agatewing.gateway import _past_entries
from agatewing.gateway import _peers
from agatewing.gateway import _ranks
from agatewing.gateway import _stream_directory

_log = logging.getLogger("agatewing.streams")

#: Key of the record of all versions.
VERSIONS_KEY = "services"
#: Least time between two batches of streams, in seconds.
PERIOD_S = 0.1
#: Instances that write a batch each period, at most; if there are more, each
#: of them writes less often.
WRITERS = 9
#: Number of streams in a batch, so that it stays below 16 kB.
MAX_STREAMS = 512
#: Number of instances, by rank, that may write the versions, and the delay of
#: each behind the one before, in seconds.
WRITING_INSTANCES = 3
RANK_DELAY_S = 1.0
#: Pause after a call to which the log gave no usable answer, in seconds.
RETRY_S = 0.5
#: Time after which the versions are written anew, in seconds. The log keeps
#: its records for 20 s at the users' sites: the third instance by rank, which
#: waits three times as long, is in time as well.
REFRESH_S = 5.0
#: Time from the first to the second look at a record that did not tell of all
#: that was missed, in seconds; doubled each time.
LOOK_AGAIN_S = 1.0
#: Era of a record that cannot be decoded; no log names it.
NO_ERA = -1


class _Versions(msgspec.Struct, frozen=True):
    # Software versions that may have begun recent streams, by service.
    services: dict[str, frozenset[str]]
    # Era of the log in which it was written.
    era: int
    # Offset up to which the writer had read the entries of targets; earlier
    # releases do not tell.
    through: int | None = None


class _Batch(msgspec.Struct, frozen=True):
    # Unix time of its writing, in seconds.
    at: float
    # Attempts that brought first events, by service and software version.
    begun: dict[str, dict[str, list[str]]]


class StreamRecord:
    """Reads the record at the start of an instance, then keeps it.

    It is read again after a time that the instance did not see.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_era",
        "_streams",
        "_catalog",
        "_past_entries",
        "_name",
        "_live_peers",
        "_instance_count",
        "_known",
        "_known_at",
        "_loaded_since",
        "_look_at",
        "_look_pause_s",
        "_due_since",
        "_retry_at",
        "_batch_at",
        "_batches",
        "writes",
    )

    def __init__(
        self,
        log: fleetlog.FleetLog,
        clock: _clock.Clock,
        era: fleetlog.LogEra,
        streams: _stream_directory.StreamDirectory,
        catalog: _catalog.Catalog,
        past_entries: _past_entries.PastEntries,
        name: str,
        live_peers: collections.abc.Callable[[], list[str]],
        instance_count: collections.abc.Callable[[], int],
    ) -> None:
        self._log = log
        self._clock = clock
        self._era = era
        self._streams = streams
        self._catalog = catalog
        self._past_entries = past_entries
        self._name = name
        # Returns the names of the other instances that are alive.
        self._live_peers = live_peers
        # Returns the number of instances, this one included.
        self._instance_count = instance_count
        # The record of versions, as it was last read or written.
        self._known: decisions.VersionRecord | None = None
        # Monotonic time of that.
        self._known_at = float("-inf")
        # Time since which nothing was missed when it was last read, and when
        # it is read again if much was missed before that, as monotonic times;
        # and the pause until then, in seconds.
        self._loaded_since = float("-inf")
        self._look_at = float("-inf")
        self._look_pause_s = LOOK_AGAIN_S
        # Monotonic time since which it has to be written.
        self._due_since: float | None = None
        # Monotonic times before which nothing, and no batch, is written.
        self._retry_at = float("-inf")
        self._batch_at = float("-inf")
        # Number of batches written.
        self._batches = 0
        #: Number of writes, by topic.
        self.writes: collections.Counter[str] = collections.Counter()

    def load(self) -> None:
        """Read the record; tries until the targets are known."""
        while self._catalog.seen.coverage.newest is None:
            self._clock.sleep(PERIOD_S)
        while not self._load():
            self._clock.sleep(RETRY_S)

    def run(self) -> None:
        """Keep the record, forever; :meth:`load` has to be done before."""
        while True:
            self._clock.sleep(PERIOD_S)
            self.step()

    def _load(self) -> bool:
        """Read the record; return whether the log answered."""
        listed = self._read_versions()
        if listed is None:
            return False
        record, _ = listed
        begun = self._log.read_newest(fleetlog.Topic.STREAMS)
        if not self._era.observe(begun.era):
            return False
        if not isinstance(begun, fleetlog.Page):
            return False
        proof = self._proof(record)
        if proof is None:
            return False
        self._set_known(record)
        services = record.services if record is not None else {}
        self._catalog.vouch(proof, _just_seen(services), "the record")
        self._past_entries.read()
        self._streams.restore(_origins(begun.records))
        now = self._clock.monotonic()
        if self._catalog.seen.coverage.since > self._loaded_since:
            self._look_pause_s = LOOK_AGAIN_S
        self._loaded_since = self._catalog.seen.coverage.since
        self._look_at = now + self._look_pause_s
        self._look_pause_s *= 2
        _log.info(
            "streams: record read",
            extra={
                "proved_through": proof.through,
                "complete": not self._catalog.seen.missed_lately,
                "versions": {n: sorted(v) for n, v in services.items()},
            },
        )
        return True

    def _set_known(self, record: decisions.VersionRecord | None) -> None:
        self._known = record
        self._known_at = self._clock.monotonic()

    def _proof(
        self, record: decisions.VersionRecord | None
    ) -> decisions.LogStretch | None:
        """Return the part of the log of which a record names all versions.

        It reaches back to the first stream. Of a record that proves nothing,
        it is one of no era. ``None`` if the log gave no usable answer.
        """
        nothing = decisions.LogStretch(NO_ERA, 0, 0, 0.0)
        if record is not None:
            # A restored log lacks what was written since the copy.
            if record.through is None:
                return nothing
            return decisions.LogStretch(
                record.era, record.through, record.through, float("-inf")
            )
        answer = self._log.read_newest(fleetlog.Topic.INSTANCES)
        if not self._era.observe(answer.era):
            return None
        if not isinstance(answer, fleetlog.Page):
            return None
        if (self._era.current or 0) > fleetlog.FIRST_ERA:
            return nothing
        # Instances of earlier releases begin streams without a record.
        if not all(_records_streams(entry) for entry in answer.records):
            return nothing
        # Without a record, this is the first start of all.
        era, through = self._catalog.position
        return decisions.LogStretch(era, through, through, float("-inf"))

    def _read_versions(
        self,
    ) -> tuple[decisions.VersionRecord | None, int] | None:
        """Return the record of versions and the end of its topic.

        ``None`` if the log gave no usable answer.
        """
        answer = self._log.read_newest(fleetlog.Topic.VERSIONS)
        if not self._era.observe(answer.era):
            return None
        match answer:
            case fleetlog.LogUnavailable(reason=reason):
                _log.info("streams: record not read", extra={"reason": reason})
                return None
            case fleetlog.Page(records=records, next_offset=end):
                pass
        for record in records:
            if record.key == VERSIONS_KEY and record.value:
                return _decode_versions(record.value), end
        return None, end

    def step(self) -> None:
        """Write what is due."""
        now = self._clock.monotonic()
        if now < self._retry_at:
            return
        rank = _ranks.rank(self._name, self._live_peers())
        answered = True
        if self._look_due(now):
            answered = self._load()
        if answered and self._versions_due(now, rank):
            answered = self._write_versions()
        if self._streams.shared_by_all and rank:
            self._streams.drop_unrecorded()
        elif answered and now >= self._batch_at:
            self._batch_at = now + self._batch_period_s()
            answered = self._write_batch()
        if not answered:
            self._retry_at = now + RETRY_S

    def _look_due(self, now: float) -> bool:
        """Return whether the record has to be read for what was missed."""
        if not self._catalog.seen.missed_lately:
            return False
        if self._catalog.seen.coverage.since > self._loaded_since:
            return True
        return now >= self._look_at and self._past_entries.reads_log()

    def _batch_period_s(self) -> float:
        return PERIOD_S * max(1.0, self._instance_count() / WRITERS)

    def _own_record(self) -> decisions.VersionRecord | None:
        newest = self._catalog.seen.coverage.newest
        if newest is None:
            return None
        return decisions.version_record(
            self._streams.views(), newest.era, newest.through
        )

    def _versions_due(self, now: float, rank: int) -> bool:
        """Return whether this instance has to write the versions now."""
        own = self._own_record()
        if own is None or own == self._known:
            self._due_since = None
            return own is not None and self._refresh_due(own, now, rank)
        if self._due_since is None:
            self._due_since = now
        if rank >= WRITING_INSTANCES:
            return False
        return now - self._due_since >= rank * RANK_DELAY_S

    def _refresh_due(
        self, own: decisions.VersionRecord, now: float, rank: int
    ) -> bool:
        """Return whether the same versions have to be written anew."""
        return (
            rank < WRITING_INSTANCES
            and bool(own.services)
            and now - self._known_at >= REFRESH_S * (rank + 1)
            and (self._known is None or own.through != self._known.through)
        )

    def _write_versions(self) -> bool:
        """Write the versions if nobody else has; return whether it is done.

        The write is conditional, so that none which arrives late undoes
        another.
        """
        listed = self._read_versions()
        if listed is None:
            return False
        recorded, end = listed
        before = self._known
        added = decisions.unknown_versions(recorded, before)
        now = self._clock.monotonic()
        self._streams.remember(
            {name: dict.fromkeys(seen, now) for name, seen in added.items()}
        )
        self._set_known(recorded)
        own = self._own_record()
        if own is None or (own == recorded and _is_newer(recorded, before)):
            return True
        value = msgspec.json.encode(
            _Versions(own.services, own.era, own.through)
        )
        written = self._log.put_if_end(
            fleetlog.Topic.VERSIONS, VERSIONS_KEY, value, end
        )
        self._era.observe(written.era)
        if not isinstance(written, fleetlog.Written):
            return False
        self.writes[str(fleetlog.Topic.VERSIONS)] += 1
        if own.era == (self._era.current or 0):
            self._known = own
        return True

    def _write_batch(self) -> bool:
        """Write streams that are due; return whether the log took them."""
        origins = self._streams.take_unrecorded(MAX_STREAMS)
        if not origins:
            return True
        begun: dict[str, dict[str, list[str]]] = {}
        for origin in origins:
            by_version = begun.setdefault(origin.service, {})
            by_version.setdefault(origin.software, []).append(origin.attempt)
        batch = msgspec.json.encode(_Batch(self._clock.wall(), begun))
        # Keys are used again when their streams are no longer remembered.
        keys = math.ceil(decisions.STREAM_KEEP_S / self._batch_period_s()) + 1
        key = f"{self._name}/{self._batches % keys}"
        self._batches += 1
        stored = self._log.put(fleetlog.Topic.STREAMS, key, batch)
        self._era.observe(stored.era)
        if not isinstance(stored, fleetlog.Stored):
            self._streams.return_unrecorded(origins)
            return False
        self.writes[str(fleetlog.Topic.STREAMS)] += 1
        return True


def _just_seen(
    services: collections.abc.Mapping[str, frozenset[str]],
) -> dict[str, dict[str, float]]:
    """Return versions that may have begun streams until now."""
    return {name: dict.fromkeys(seen, 0.0) for name, seen in services.items()}


def _is_newer(
    recorded: decisions.VersionRecord,
    before: decisions.VersionRecord | None,
) -> bool:
    """Return whether another instance has written a record since."""
    known = before.through if before is not None else None
    return recorded.through is not None and recorded.through != known


def _decode_versions(raw: bytes) -> decisions.VersionRecord:
    """Decode a record; one that cannot be decoded is of no era."""
    match _decoding.decode_json(raw, _Versions):
        case result.Ok(versions):
            return decisions.VersionRecord(
                versions.services, versions.era, versions.through
            )
        case result.Err(reason):
            _log.warning(
                "streams: record ignored, it cannot be decoded",
                extra={"reason": reason},
            )
    return decisions.VersionRecord({}, NO_ERA)


def _records_streams(record: fleetlog.KeyedRecord) -> bool:
    """Return whether an instance's entry says that it records streams."""
    match _decoding.decode_json(record.value or b"", _peers.PeerEntry):
        case result.Ok(entry):
            return entry.records_streams
    return False


def _origins(
    records: collections.abc.Iterable[fleetlog.KeyedRecord],
) -> list[decisions.StreamOrigin]:
    """Return the streams of all batches, those of the oldest batch first."""
    batches = []
    for record in records:
        match _decoding.decode_json(record.value or b"", _Batch):
            case result.Ok(batch):
                batches.append(batch)
            case result.Err(reason):
                _log.warning(
                    "streams: batch ignored, it cannot be decoded",
                    extra={"key": record.key, "reason": reason},
                )
    batches.sort(key=lambda batch: batch.at)
    return [
        decisions.StreamOrigin(attempt, service, software)
        for batch in batches
        for service, by_version in batch.begun.items()
        for software, attempts in by_version.items()
        for attempt in attempts
    ]
