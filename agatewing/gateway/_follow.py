"""Follows the platform's log: configuration, targets, own instances."""

import collections.abc
import dataclasses
import logging

from agatewing import _clock
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _ports

_log = logging.getLogger("agatewing.follow")

#: First and longest pause after the log gave no answer, in seconds; the
#: longest leaves time for three tries within a configuration's two seconds.
PAUSE_FIRST_S = 0.1
PAUSE_LIMIT_S = 0.5
#: Least time between two reads of a topic, in seconds: entries of targets
#: change many times a second, and every read is paid for.
LEAST_PERIOD_S: dict[_ports.Topic, float] = {
    _ports.Topic.CONFIGURATION: 0.05,
    _ports.Topic.TARGETS: 0.4,
    _ports.Topic.INSTANCES: 1.0,
}

#: Topic whose reads find out that the log is back; calls that the log
#: refuses are paid for too.
ASKS = _ports.Topic.TARGETS
#: Number of instances above which each reads less often, and the times by
#: which: a change wakes them all, and they tell each other.
MANY_INSTANCES = 10
MANY_TIMES = 2

Take = collections.abc.Callable[[_ports.KeyedRecord], None]
TakeAll = collections.abc.Callable[[tuple[_ports.KeyedRecord, ...], int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Sink:
    """Where the records of a topic go."""

    #: Takes every present value, with the offset up to which it holds.
    take_all: TakeAll
    #: Takes one change.
    take: Take
    #: Ends a batch of changes, with the offset reached.
    changed: collections.abc.Callable[[int], None]
    #: Told when the log gave no answer.
    away: collections.abc.Callable[[], None] = lambda: None


def _never() -> bool:
    """Stand for a log that is never known to be away."""
    return False


def _alone() -> int:
    """Stand for an instance that knows of no other."""
    return 1


@dataclasses.dataclass(frozen=True, slots=True)
class Pacing:
    """What decides how often the log is called."""

    #: Whether the log is known to give no answers.
    away: collections.abc.Callable[[], bool] = _never
    #: Instances that read the log.
    instances: collections.abc.Callable[[], int] = _alone


class Follower:
    """Reads one topic for ever and survives loss of history."""

    __slots__ = (
        "_log",
        "_clock",
        "_topic",
        "_sink",
        "_pacing",
        "_offset",
        "failing",
    )

    def __init__(
        self,
        log: _ports.FleetLog,
        clock: _clock.Clock,
        topic: _ports.Topic,
        sink: Sink,
        pacing: Pacing | None = None,
    ) -> None:
        self._pacing = pacing or Pacing()
        self._log = log
        self._clock = clock
        self._topic = topic
        self._sink = sink
        self._offset: int | None = None
        #: Reads in a row without a usable answer.
        self.failing = 0

    def run(self) -> None:
        """Read for ever."""
        while True:
            started = self._clock.monotonic()
            if self.step():
                taken = self._clock.monotonic() - started
                pause = self._least_period_s() - taken
                if pause > 0:
                    self._clock.sleep(pause)
            else:
                self._pause()

    def _least_period_s(self) -> float:
        least = LEAST_PERIOD_S[self._topic]
        if self._pacing.instances() > MANY_INSTANCES:
            return least * MANY_TIMES
        return least

    def _pause(self) -> None:
        """Wait after a failure; one topic alone asks whether it is over."""
        many = self._pacing.instances() > MANY_INSTANCES
        limit = PAUSE_LIMIT_S * (MANY_TIMES if many else 1)
        self._clock.sleep(min(limit, PAUSE_FIRST_S * self.failing))
        while self._topic is not ASKS and self._pacing.away():
            self._clock.sleep(PAUSE_FIRST_S)

    def step(self) -> bool:
        """Read once; return whether the log answered."""
        if self._offset is None:
            return self._take_newest()
        match self._log.read(self._topic, self._offset):
            case _ports.Page(records=records, next_offset=offset):
                for record in records:
                    self._sink.take(record)
                self._offset = offset
                self._answered()
                self._sink.changed(offset)
                return True
            case _ports.HistoryLost():
                _log.warning(
                    "follow: history lost, reading newest values",
                    extra={"topic": str(self._topic)},
                )
                self._offset = None
                return True
            case _ports.LogAway(reason=reason):
                self._failed(reason)
        return False

    def _take_newest(self) -> bool:
        match self._log.newest(self._topic):
            case _ports.Page(records=records, next_offset=offset):
                self._offset = offset
                self._answered()
                self._sink.take_all(records, offset)
                return True
            case _ports.LogAway(reason=reason):
                self._failed(reason)
        return False

    def _answered(self) -> None:
        if self.failing:
            _log.info(
                "follow: log is back",
                extra={"topic": str(self._topic), "tries": self.failing},
            )
        self.failing = 0

    def _failed(self, reason: str) -> None:
        self.failing += 1
        self._sink.away()
        if self.failing == 1:
            _log.warning(
                "follow: log gives no answer",
                extra={"topic": str(self._topic), "reason": reason},
            )


def configuration_sink(
    catalog: _catalog.Catalog, decoder: _ports.Decoder
) -> Sink:
    """Return what takes the operators' configuration."""

    def take(record: _ports.KeyedRecord) -> None:
        configuration = decoder.configuration(record)
        if configuration is not None:
            catalog.take_configuration(configuration, "log")

    def take_all(records: tuple[_ports.KeyedRecord, ...], offset: int) -> None:
        for record in records:
            take(record)

    return Sink(take_all, take, lambda offset: None)


def target_sink(catalog: _catalog.Catalog, decoder: _ports.Decoder) -> Sink:
    """Return what takes the entries of targets."""

    def take(record: _ports.KeyedRecord) -> None:
        if record.value is None:
            catalog.take_change(record.key, None)
            return
        target = decoder.target(record)
        if target is not None:
            catalog.take_change(record.key, target)

    def take_all(records: tuple[_ports.KeyedRecord, ...], offset: int) -> None:
        catalog.note_read()
        targets: dict[str, _contracts.Target] = {}
        for record in records:
            target = decoder.target(record)
            if target is not None:
                targets[record.key] = target
        catalog.take_all(targets, offset)

    def changed(offset: int) -> None:
        catalog.note_read()
        catalog.changed(offset)

    return Sink(take_all, take, changed, catalog.note_away)
