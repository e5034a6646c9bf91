"""Polls load reports and cache events of every engine."""

import logging
import random

import gevent
import msgspec

from agatewing import _clock
from agatewing import _exceptions
from agatewing.fleet import _fleet
from agatewing.fleet import _machines
from agatewing import timeline

_log = logging.getLogger("agatewing.poller")

#: Time between two polls of one engine, in seconds.
PERIOD_S = 0.5
#: Polls of load between two polls of cache events.
CACHE_EVERY = 4


class _CacheEvent(msgspec.Struct, frozen=True):
    offset: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class _CachePage(msgspec.Struct, frozen=True):
    next: int
    events: tuple[_CacheEvent, ...] = ()


_report_decoder = msgspec.json.Decoder(_machines.LoadReport)
_cache_decoder = msgspec.json.Decoder(_CachePage)


class Poller:
    """Keeps the picture of the engines as new as their reports are."""

    __slots__ = ("_fleet", "_clock", "_random", "_timeline", "_tasks", "polls")

    def __init__(
        self,
        fleet: _fleet.Fleet,
        clock: _clock.Clock,
        rng: random.Random,
        events: timeline.Timeline,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._random = rng
        self._timeline = events
        self._tasks: dict[int, gevent.Greenlet] = {}
        #: Polls made.
        self.polls = 0

    def run(self) -> None:
        """Start and end polls as the fleet changes."""
        while True:
            machines = {id(m): m for m in self._fleet.engines()}
            for key, machine in machines.items():
                if key not in self._tasks:
                    self._tasks[key] = gevent.spawn(self._run_one, machine)
            for key in set(self._tasks) - set(machines):
                self._tasks.pop(key).kill(block=False)
            self._ease()
            self._clock.sleep(PERIOD_S)

    def _ease(self) -> None:
        now = self._clock.monotonic()
        for pool in self._fleet.pools.values():
            for name in pool.ease_outliers(now):
                self._timeline.add(
                    timeline.EventKind.TARGET_EASED, target=name
                )

    def _run_one(self, machine: _machines.EngineMachine) -> None:
        count = 0
        while True:
            self.polls += 1
            try:
                self.poll(machine)
                if count % CACHE_EVERY == 0:
                    self.poll_cache(machine)
            except _exceptions.AgatewingError as exc:
                if machine.failures == 0:
                    _log.info(
                        "poller: %s gave no report: %s", machine.name, exc
                    )
                machine.note_unreachable()
            count += 1
            machine.refresh(self._clock.monotonic())
            self._clock.sleep(PERIOD_S * self._random.uniform(0.8, 1.2))

    def poll(self, machine: _machines.EngineMachine) -> None:
        """Read one load report."""
        answer = machine.client.call("GET", "/v1/load")
        if answer.status != 200:
            raise _exceptions.ProtocolError(
                machine.name, f"status {answer.status}"
            )
        try:
            report = _report_decoder.decode(answer.body)
        except msgspec.MsgspecError as exc:
            raise _exceptions.ProtocolError(machine.name, str(exc)) from exc
        machine.take_report(report, self._clock.monotonic())

    def poll_cache(self, machine: _machines.EngineMachine) -> None:
        """Read cache events; a gap only makes hints worse."""
        path = f"/v1/cache-events?from={machine.cache_offset}"
        answer = machine.client.call("GET", path)
        if answer.status != 200:
            return
        try:
            page = _cache_decoder.decode(answer.body)
        except msgspec.MsgspecError as exc:
            raise _exceptions.ProtocolError(machine.name, str(exc)) from exc
        pool = self._fleet.pool_of(machine.spec.service)
        if pool is None:
            return
        now = self._clock.monotonic()
        for event in page.events:
            pool.index.add(machine.name, event.added, now)
            pool.index.remove(machine.name, event.removed)
            machine.cache_offset = max(machine.cache_offset, event.offset + 1)
