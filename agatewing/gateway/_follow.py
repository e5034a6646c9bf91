"""Follows the topics of the platform's log."""

import collections.abc
import dataclasses
import logging
import math
import random

import gevent
import gevent.event

from agatewing import _clock
from agatewing import fleetlog
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _log_turns
from agatewing.gateway import _ports

_log = logging.getLogger("agatewing.follow")

#: First and longest backoff after the log gave no answer, in seconds; the
#: longest allows three retries within the two seconds in which a
#: configuration has to be followed.
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 0.5
#: Least time between two reads of a topic, in seconds: entries of targets
#: change many times a second, and every read is billed.
MIN_READ_PERIOD_S: dict[fleetlog.Topic, float] = {
    fleetlog.Topic.CONFIGURATION: 0.05,
    fleetlog.Topic.TARGETS: 0.4,
    fleetlog.Topic.INSTANCES: 1.0,
}

#: Topics of which peers tell what they have read.
TOLD_BY_PEERS = frozenset(
    (fleetlog.Topic.CONFIGURATION, fleetlog.Topic.TARGETS)
)
#: The only topic that is read while the log is unavailable, to detect its
#: return; calls that the log refuses are billed too.
PROBE_TOPIC = fleetlog.Topic.TARGETS
#: Factor on read periods and on the longest backoff in large fleets.
MANY_INSTANCES_FACTOR = 2
#: Range of the time until an instance of a large fleet that is no reader tries
#: again after a failed read, in seconds; readers tell when the log is back.
NO_READER_BACKOFF_S = (1.0, 2.0)
#: Least time between two reads that confirm what was read, in seconds.
CONFIRM_PERIOD_S = 0.05
#: Longest time between two looks whether a read is due, in seconds.
LOOK_PERIOD_S = 0.2

OnRecord = collections.abc.Callable[[fleetlog.KeyedRecord], None]
OnAllRecords = collections.abc.Callable[
    [tuple[fleetlog.KeyedRecord, ...], int], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Sink:
    """Callbacks that receive the records of a topic."""

    #: Receives the newest value of every key and the offset after them.
    replace_all: OnAllRecords
    #: Receives one changed or removed key.
    apply: OnRecord
    #: Called after a batch of changes, with the offset after them.
    end_batch: collections.abc.Callable[[int], None]
    #: Called when the log gave no answer.
    on_read_failed: collections.abc.Callable[[], None] = lambda: None
    #: Called before ``replace_all`` with the era of its records if it is
    #: another one than that of the records so far.
    begin_era: collections.abc.Callable[[int], None] = lambda era: None
    #: Returns the era, 0 if the log names none, and the offset up to which
    #: the records are known, also from peers.
    position: collections.abc.Callable[[], tuple[int, int]] = lambda: (0, 0)


def _never_unavailable() -> bool:
    """Default of ``ReadLimits.log_unavailable``."""
    return False


def _single_instance() -> _log_turns.LogTurns:
    """Default of ``ReadLimits.turns``."""
    return _log_turns.LogTurns(
        "", random.Random(0), lambda: 1, tuple, {}, math.inf
    )


class ReadFailures:
    """Tells the followers of one log of each other's failed reads.

    After one, the connections of the others may be dead as well, unless an
    answer is arriving on them.
    """

    __slots__ = ("failed",)

    def __init__(self) -> None:
        #: Set when the first read of a topic in a row has failed, then
        #: replaced by a new event.
        self.failed = gevent.event.Event()

    def record(self) -> None:
        """Record that a read has failed."""
        failed, self.failed = self.failed, gevent.event.Event()
        failed.set()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLimits:
    """What determines how often the log is read."""

    #: Returns whether the log is known to be unavailable.
    log_unavailable: collections.abc.Callable[[], bool] = _never_unavailable
    #: When this instance reads.
    turns: _log_turns.LogTurns = dataclasses.field(
        default_factory=_single_instance
    )
    #: Failures of the reads of all topics.
    failures: ReadFailures = dataclasses.field(default_factory=ReadFailures)


class Follower:
    """Reads one topic forever.

    It reads all values on loss of history, and when the log was restored from
    an older copy: then its offset may name another record than before.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_topic",
        "_sink",
        "_limits",
        "_offset",
        "_era",
        "_offset_era",
        "_reads",
        "_read_since",
        "_failing_since",
        "_begun_at",
        "_proved_at",
        "_wanted",
        "_ended",
        "_random",
        "failed_reads",
    )

    def __init__(
        self,
        log: fleetlog.FleetLog,
        clock: _clock.Clock,
        topic: fleetlog.Topic,
        sink: Sink,
        limits: ReadLimits | None = None,
        era: fleetlog.LogEra | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._random = rng or random.Random()
        # Number of reads that the log has answered.
        self._reads = 0
        # Monotonic times of the begin of the present read, and of the first
        # of the consecutive ones that have failed, in seconds.
        self._read_since = self._failing_since = clock.monotonic()
        # Monotonic times of the begin of the present call to the log, and of
        # the one that was answered and applied last, in seconds.
        self._begun_at = self._proved_at = float("-inf")
        # Set while a read without a wait is wanted.
        self._wanted = gevent.event.Event()
        # Set when a read has ended, then replaced by a new event.
        self._ended = gevent.event.Event()
        self._era = era or fleetlog.LogEra()
        # Era in which the offset is valid; ``None`` if the log named none.
        self._offset_era: int | None = None
        self._limits = limits or ReadLimits()
        self._log = log
        self._clock = clock
        self._topic = topic
        self._sink = sink
        self._offset: int | None = None
        #: Number of consecutive reads without a usable answer.
        self.failed_reads = 0

    def run(self) -> None:
        """Read the topic forever."""
        while True:
            self._await_turn()
            started = self._clock.monotonic()
            if self._step_or_fail():
                self._reads += 1
                self._pause(started)
            else:
                self._back_off()

    def confirm(self, limit_s: float) -> bool:
        """Read the topic anew; return whether that is done within a time.

        What was applied then is not older than this call.
        """
        asked_at = self._clock.monotonic()
        while self._proved_at < asked_at:
            left_s = asked_at + limit_s - self._clock.monotonic()
            if self.failed_reads or left_s <= 0:
                return False
            self._wanted.set()
            self._clock.wait(self._ended, left_s)
        return True

    def _pause(self, started: float) -> None:
        """Wait until another read may begin, the last one at ``started``."""
        elapsed_s = self._clock.monotonic() - started
        self._clock.wait(self._wanted, self._min_period_s() - elapsed_s)
        elapsed_s = self._clock.monotonic() - started
        if elapsed_s < CONFIRM_PERIOD_S:
            self._clock.sleep(CONFIRM_PERIOD_S - elapsed_s)

    def _step_or_fail(self) -> bool:
        """Read the log once; an unexpected error counts as a failed read."""
        try:
            return self.step()
        except Exception as exc:
            _log.exception("follow: unexpected error")
            # The records up to the error may not all have been applied.
            self._offset = None
            self._record_failure(repr(exc))
            return False

    def _await_turn(self) -> None:
        """Wait until a read is due; a listing always is."""
        turns, since = self._limits.turns, self._clock.monotonic()
        while self._offset is not None and not self._restored:
            waited_s = self._clock.monotonic() - since
            left_s = turns.pause_s(self._topic, self._reads)
            if self._topic not in TOLD_BY_PEERS:
                left_s -= waited_s
            if left_s <= 0 or self._wanted.is_set():
                return
            self._clock.wait(self._wanted, min(left_s, LOOK_PERIOD_S))

    def _min_period_s(self) -> float:
        least = MIN_READ_PERIOD_S[self._topic]
        return least * (MANY_INSTANCES_FACTOR if self._many else 1)

    @property
    def _many(self) -> bool:
        return self._limits.turns.many

    def _back_off(self) -> None:
        """Wait after a failed read.

        Followers of other topics than ``PROBE_TOPIC`` wait until that one
        has found the log available.
        """
        turns = self._limits.turns
        if turns.is_reader or self.failed_reads == 1:
            # At first, only the connection may have been dead.
            limit = BACKOFF_LIMIT_S * (
                MANY_INSTANCES_FACTOR if self._many else 1
            )
            self._clock.sleep(min(limit, BACKOFF_FIRST_S * self.failed_reads))
        else:
            self._clock.sleep(self._random.uniform(*NO_READER_BACKOFF_S))
        while (
            self._topic is not PROBE_TOPIC and self._limits.log_unavailable()
        ):
            self._clock.sleep(BACKOFF_FIRST_S)

    def step(self) -> bool:
        """Read the log once; return whether it answered."""
        self._read_since = self._clock.monotonic()
        if self._offset is None or self._restored:
            return self._read_newest()
        self._offset = self._known_through(self._offset)
        answer = self._read_unless_restored(self._offset)
        if answer is None:
            return self._read_newest()
        if not self._era.observe(answer.era):
            return self._reject_older(answer.era)
        if self._restored:
            return self._read_newest()
        match answer:
            case fleetlog.Page(records=records, next_offset=offset):
                self._log_records(len(records), offset)
                self._apply_unknown(records)
                self._offset = self._known_through(offset)
                self._record_success()
                self._sink.end_batch(self._offset)
                self._record_proof()
                return True
            case fleetlog.HistoryLost():
                _log.warning(
                    "follow: history lost, reading newest values",
                    extra={"topic": str(self._topic)},
                )
                self._offset = None
                return True
            case fleetlog.LogUnavailable(reason=reason):
                self._record_failure(reason)
        return False

    def _known_through(self, offset: int) -> int:
        """Return an offset, or the one up to which records are known."""
        era, through = self._sink.position()
        if era != (self._offset_era or 0):
            return offset
        return max(offset, through)

    def _apply_unknown(
        self, records: tuple[fleetlog.KeyedRecord, ...]
    ) -> None:
        """Apply records, without those that a peer has told meanwhile.

        An older record must not replace what is known from a newer one.
        """
        through = self._known_through(0)
        for record in records:
            if record.offset is None or record.offset >= through:
                self._sink.apply(record)

    def _log_records(self, count: int, offset: int) -> None:
        """Log what was read of a topic whose records are large."""
        if count and self._topic is fleetlog.Topic.CONFIGURATION:
            _log.info(
                "follow: configurations read",
                extra={
                    "records": count,
                    "through": offset,
                    "read_s": self._seconds_since(self._read_since),
                },
            )

    @property
    def _restored(self) -> bool:
        """Whether the log was restored since the offset was read."""
        return self._era.current != self._offset_era

    def _read_unless_restored(
        self, offset: int
    ) -> fleetlog.Page | fleetlog.HistoryLost | fleetlog.LogUnavailable | None:
        """Read from an offset; ``None`` as soon as that has become worthless.

        Another topic may show first that the log was restored, or that its
        connections are dead; then the read is repeated without a wait, as it
        is to confirm what was read.
        """
        risen = self._era.risen
        # A read that was begun during an outage is not answered after it, so
        # none waits long until the log has answered.
        if not self.failed_reads and not self._wanted.is_set():
            wait_s = self._limits.turns.wait_s(self._topic)
            answer = self._read_until(
                offset,
                wait_s,
                [risen, self._wanted],
                self._limits.failures.failed,
            )
            if answer is not None or risen.is_set():
                return answer
        return self._read_until(offset, 0.0, [risen])

    def _read_until(
        self,
        offset: int,
        wait_s: float,
        events: list[gevent.event.Event],
        failed: gevent.event.Event | None = None,
    ) -> fleetlog.Page | fleetlog.HistoryLost | fleetlog.LogUnavailable | None:
        """Read from an offset; ``None`` if one of the events is set first.

        ``failed`` is such an event only while no answer is arriving.
        """
        self._begin_call(wait_s)
        reading = gevent.spawn(self._log.read, self._topic, offset, wait_s)
        ends = [reading, *events]
        try:
            gevent.wait([*ends, *([failed] if failed else [])], count=1)
            if self._log.arriving(self._topic):
                gevent.wait(ends, count=1)
            return reading.get() if reading.ready() else None
        finally:
            reading.kill()

    def _begin_call(self, wait_s: float) -> None:
        """Record that the log is called; one without a wait confirms."""
        self._begun_at = self._clock.monotonic()
        if not wait_s:
            self._wanted.clear()

    def _record_proof(self) -> None:
        """Record that the answer to the present call was applied."""
        self._proved_at = self._begun_at
        self._end_waits()

    def _end_waits(self) -> None:
        """Have those that confirm see what became of the read."""
        ended, self._ended = self._ended, gevent.event.Event()
        ended.set()

    def _read_newest(self) -> bool:
        self._offset = None
        self._begin_call(0.0)
        known_era = self._era.current
        answer = self._log.read_newest(self._topic)
        if not self._era.observe(answer.era):
            return self._reject_older(answer.era)
        match answer:
            case fleetlog.Page(records=records, next_offset=offset, era=era):
                self._record_success()
                self._list_anew(
                    records, offset, known_era if era is None else era
                )
                self._record_proof()
                return True
            case fleetlog.LogUnavailable(reason=reason):
                self._record_failure(reason)
        return False

    def _list_anew(
        self,
        records: tuple[fleetlog.KeyedRecord, ...],
        offset: int,
        era: int | None,
    ) -> None:
        """Apply a listing, unless a peer has told of later records."""
        known = self._sink.position()
        if known > (era or 0, offset):
            self._offset_era, self._offset = era, known[1]
            self._sink.end_batch(known[1])
            return
        self._begin_era(era)
        self._offset = offset
        self._sink.replace_all(records, offset)

    def _begin_era(self, era: int | None) -> None:
        """Set the era of the records that follow."""
        if era is not None and era != self._offset_era:
            self._sink.begin_era(era)
        self._offset_era = era

    def _reject_older(self, era: int | None) -> bool:
        """Treat an answer of an older era as a failed read."""
        self._offset = None
        self._record_failure(f"the answer is of the older era {era}")
        return False

    def _record_success(self) -> None:
        if self.failed_reads:
            _log.info(
                "follow: log is back",
                extra={
                    "topic": str(self._topic),
                    "tries": self.failed_reads,
                    "away_s": self._seconds_since(self._failing_since),
                },
            )
        self.failed_reads = 0

    def _record_failure(self, reason: str) -> None:
        self.failed_reads += 1
        self._end_waits()
        self._sink.on_read_failed()
        if self.failed_reads == 1:
            self._failing_since = self._read_since
            self._limits.failures.record()
            _log.warning(
                "follow: log gives no answer",
                extra={
                    "topic": str(self._topic),
                    "reason": reason,
                    "waited_s": self._seconds_since(self._read_since),
                },
            )

    def _seconds_since(self, at: float) -> float:
        return round(self._clock.monotonic() - at, 3)


def configuration_sink(
    catalog: _catalog.Catalog, decoder: _ports.Decoder
) -> Sink:
    """Return a sink that puts configurations in force."""

    def apply(record: fleetlog.KeyedRecord) -> None:
        configuration = decoder.configuration(record)
        if configuration is not None:
            catalog.apply_configuration(configuration, "log")

    def replace_all(
        records: tuple[fleetlog.KeyedRecord, ...], offset: int
    ) -> None:
        for record in records:
            apply(record)
        catalog.record_config_read(offset)

    def end_batch(offset: int) -> None:
        catalog.record_config_read(offset)

    return Sink(
        replace_all,
        apply,
        end_batch,
        begin_era=catalog.begin_config_era,
        position=lambda: catalog.config_position,
    )


def target_sink(catalog: _catalog.Catalog, decoder: _ports.Decoder) -> Sink:
    """Return a sink that applies the entries of targets."""

    def apply(record: fleetlog.KeyedRecord) -> None:
        if record.value is None:
            catalog.update_target(record.key, None)
            return
        target = decoder.target(record)
        if target is not None:
            catalog.update_target(record.key, target)

    def replace_all(
        records: tuple[fleetlog.KeyedRecord, ...], offset: int
    ) -> None:
        catalog.record_read()
        targets: dict[str, _contracts.Target] = {}
        for record in records:
            target = decoder.target(record)
            if target is not None:
                targets[record.key] = target
        catalog.replace_targets(targets, offset)

    def end_batch(offset: int) -> None:
        catalog.record_read()
        catalog.end_batch(offset)

    return Sink(
        replace_all,
        apply,
        end_batch,
        catalog.record_unavailable,
        catalog.begin_era,
        lambda: catalog.position,
    )
