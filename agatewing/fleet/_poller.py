"""Polls the load report and the cache events of every engine."""

import logging
import random

import gevent
import msgspec

from agatewing import _clock
from agatewing import _exceptions
from agatewing.fleet import _fleet
from agatewing.fleet import _targets
from agatewing import timeline

_log = logging.getLogger("agatewing.poller")

#: Average time between two polls of one engine, in seconds.
POLL_PERIOD_S = 0.5
#: Polls of the load report for each poll of the cache events.
POLLS_PER_CACHE_POLL = 4


class _CacheEvent(msgspec.Struct, frozen=True):
    """A change of the prefix cache of an engine."""

    # Offset in the cache events of the engine.
    offset: int
    # Hashes of the prefix blocks that were added.
    added: tuple[int, ...] = ()
    # Hashes of the prefix blocks that were removed.
    removed: tuple[int, ...] = ()


class _CachePage(msgspec.Struct, frozen=True):
    """Answer to a poll of the cache events."""

    # Offset that the next event will have; not used here.
    next: int
    # Events from the requested offset on.
    events: tuple[_CacheEvent, ...] = ()


_report_decoder = msgspec.json.Decoder(_targets.LoadReport)
_cache_decoder = msgspec.json.Decoder(_CachePage)


class Poller:
    """Updates the fleet from the load reports and cache events of engines.

    Each engine is polled by a greenlet of its own, so one that does not
    answer delays no other.
    """

    __slots__ = ("_fleet", "_clock", "_random", "_timeline", "_tasks", "polls")

    def __init__(
        self,
        fleet: _fleet.Fleet,
        clock: _clock.Clock,
        rng: random.Random,
        events: timeline.EventRecorder,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._timeline = events
        # Polling greenlet by ``id`` of the engine's object.
        self._tasks: dict[int, gevent.Greenlet] = {}
        #: Number of polls of load reports made.
        self.polls = 0

    def run(self) -> None:
        """Start and stop the polling of engines as the fleet changes.

        All polling ends with the greenlet that runs this.
        """
        try:
            while True:
                self._follow_fleet()
                self._update_shares()
                self._clock.sleep(POLL_PERIOD_S)
        finally:
            gevent.killall(list(self._tasks.values()), block=False)

    def _follow_fleet(self) -> None:
        engines = {id(engine): engine for engine in self._fleet.engines()}
        for key, engine in engines.items():
            if key not in self._tasks:
                self._tasks[key] = gevent.spawn(self._poll_engine, engine)
        for key in set(self._tasks) - set(engines):
            self._tasks.pop(key).kill(block=False)

    def _update_shares(self) -> None:
        now = self._clock.monotonic()
        for pool in self._fleet.pools.values():
            for name in pool.reduce_outlier_shares(now):
                self._timeline.add(
                    timeline.EventKind.TARGET_LOAD_REDUCED, target=name
                )

    def _poll_engine(self, engine: _targets.EngineTarget) -> None:
        count = 0
        while True:
            self.polls += 1
            try:
                self.poll(engine)
                if count % POLLS_PER_CACHE_POLL == 0:
                    self.poll_cache(engine)
            except _exceptions.AgatewingError as exc:
                if engine.failures == 0:
                    _log.info(
                        "poller: no load report from %s: %s", engine.name, exc
                    )
                engine.record_unreachable()
            count += 1
            engine.refresh(self._clock.monotonic())
            self._clock.sleep(POLL_PERIOD_S * self._random.uniform(0.8, 1.2))

    def poll(self, engine: _targets.EngineTarget) -> None:
        """Fetch and apply one load report.

        Raises ``ProtocolError`` for another status than 200 or a report
        that does not decode.
        """
        answer = engine.client.call("GET", "/v1/load")
        if answer.status != 200:
            raise _exceptions.ProtocolError(
                engine.name, f"status {answer.status}"
            )
        try:
            report = _report_decoder.decode(answer.body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise _exceptions.ProtocolError(engine.name, str(exc)) from exc
        engine.handle_load_report(report, self._clock.monotonic())

    def poll_cache(self, engine: _targets.EngineTarget) -> None:
        """Fetch cache events and update the prefix index of the pool.

        Raises ``ProtocolError`` for events that do not decode; another
        status than 200 is ignored, since missed events only make routing
        by prefix less exact.
        """
        path = f"/v1/cache-events?from={engine.cache_offset}"
        answer = engine.client.call("GET", path)
        if answer.status != 200:
            return
        try:
            page = _cache_decoder.decode(answer.body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise _exceptions.ProtocolError(engine.name, str(exc)) from exc
        pool = self._fleet.pool_of(engine.spec.service)
        if pool is None:
            return
        now = self._clock.monotonic()
        for event in page.events:
            pool.index.add(engine.name, event.added, now)
            pool.index.remove(engine.name, event.removed)
            engine.cache_offset = max(engine.cache_offset, event.offset + 1)
