"""Reads of the log whose connections have fallen silent.

Instances follow a simulated log on a manual clock, and tell each other what
they have read.
"""

import collections
import collections.abc
import dataclasses
import random

import gevent
import pytest

from agatewing import _clock
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _follow
from agatewing.gateway import _log_turns
from agatewing.platform import _log as platform_log

Topic = gateway.Topic

#: Step of the simulation, in seconds.
STEP_S = 0.05
#: Time of an answer of the log without load, in seconds.
ANSWER_S = 0.005
#: Time between two reports of an instance, in steps.
REPORT_STEPS = 2
#: Time between two configurations, in seconds.
CHANGE_PERIOD_S = 0.7
#: Instances of a zone.
ZONE_SIZE = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the operators of a site require."""

    #: Time from a disruption of connections to the moment from which
    #: configurations have to be in force in time again, in seconds.
    settle_s: float
    #: Time from the acknowledgement of a configuration to the moment from
    #: which it has to be in force, in seconds.
    apply_s: float


class SimulatedLog:
    """One instance's connections to a log of configuration versions."""

    def __init__(
        self,
        clock: _clock.ManualClock,
        versions: list[int],
        queue_s: float = 0.0,
    ) -> None:
        self._clock = clock
        # Time for which answers wait at the link, in seconds.
        self._queue_s = queue_s
        # Versions of all configurations, oldest first; shared by all.
        self._versions = versions
        # Monotonic time up to which connections that were open are silent.
        self._silenced_at = float("-inf")
        # Monotonic time at which each topic's connection was opened.
        self._opened: dict[Topic, float] = {}

    def silence(self) -> None:
        """Have all open connections carry nothing from now on."""
        self._silenced_at = self._clock.monotonic()

    def arriving(self, topic: gateway.Topic) -> bool:
        return False

    def read_newest(
        self, topic: Topic
    ) -> gateway.Page | gateway.LogUnavailable:
        page = self.read(topic, 0, 0.0)
        assert not isinstance(page, gateway.HistoryLost)
        return page

    def read(
        self, topic: Topic, offset: int, wait_s: float
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        started = self._clock.monotonic()
        opened = self._opened.setdefault(topic, started)
        self._clock.sleep(ANSWER_S)
        try:
            while not self._is_silent(opened):
                found = self._records(topic, offset)
                waited_s = self._clock.monotonic() - started
                if found or waited_s >= wait_s:
                    self._clock.sleep(self._queue_s)
                    return gateway.Page(found, offset + len(found))
                self._clock.sleep(min(STEP_S, wait_s - waited_s + 1e-6))
            limit_s = wait_s + platform_log.ANSWER_TIMEOUT_S
            waited_s = self._clock.monotonic() - started
            self._clock.sleep(max(0.0, limit_s - waited_s))
        except gevent.GreenletExit:
            del self._opened[topic]
            raise
        del self._opened[topic]
        return gateway.LogUnavailable("no head in time")

    def _is_silent(self, opened: float) -> bool:
        return opened <= self._silenced_at

    def _records(
        self, topic: Topic, offset: int
    ) -> tuple[gateway.KeyedRecord, ...]:
        if topic is not Topic.CONFIGURATION:
            return ()
        return tuple(
            gateway.KeyedRecord("config", str(version).encode())
            for version in self._versions[offset:]
        )


class VersionDecoder:
    """Decodes configurations that consist of their version."""

    def configuration(
        self, record: gateway.KeyedRecord
    ) -> _contracts.Configuration:
        version = int(record.value or b"0")
        limits = _contracts.CallerLimits(1, 1, 1.0, 1.0)
        return _contracts.Configuration(version, (), {}, limits)

    def target(self, record: gateway.KeyedRecord) -> None:
        raise AssertionError("no target has an entry")


@dataclasses.dataclass(eq=False)
class Instance:
    """One instance that follows the log."""

    name: str
    zone: int
    catalog: _catalog.Catalog
    log: SimulatedLog
    followers: list[_follow.Follower]


class Fleet:
    """Instances that follow one log, and their reports to each other."""

    def __init__(
        self, count: int, seed: int, apply_s: float, queue_s: float = 0.0
    ) -> None:
        # Time for which answers of the log and reports wait at links, in
        # seconds.
        self._queue_s = queue_s
        # Reports on their way: when each arrives, its sender, its receiver
        # and what it tells.
        self._reports: collections.deque[
            tuple[float, Instance, Instance, _contracts.ReadState]
        ] = collections.deque()
        self.clock = _clock.ManualClock()
        self.versions = [1]
        #: Monotonic time of the acknowledgement of each version.
        self.acknowledged = [self.clock.monotonic()]
        self.rng = random.Random(seed)
        self.instances = [
            self._instance(n, count, apply_s) for n in range(count)
        ]
        self._loops = [
            gevent.spawn(follower.run)
            for instance in self.instances
            for follower in instance.followers
        ]
        self._steps = 0

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *args: object) -> None:
        gevent.killall(self._loops)

    def _instance(self, number: int, count: int, apply_s: float) -> Instance:
        name, zone = f"i{number}", number // ZONE_SIZE
        catalog = _catalog.Catalog(self.clock, lambda: None)
        log = SimulatedLog(self.clock, self.versions, self._queue_s)
        rng = random.Random(self.rng.random())
        turns = _log_turns.LogTurns(
            name,
            rng,
            lambda: count,
            lambda: [
                f"i{n}"
                for n in range(count)
                if n != number and n // ZONE_SIZE == zone
            ],
            {
                Topic.CONFIGURATION: catalog.config_age_s,
                Topic.TARGETS: catalog.age_s,
            },
            apply_s,
        )
        limits = _follow.ReadLimits(lambda: catalog.log_unavailable, turns)
        decoder = VersionDecoder()
        sinks = {
            Topic.CONFIGURATION: _follow.configuration_sink(
                catalog,
                decoder,
            ),
            Topic.TARGETS: _follow.target_sink(
                catalog,
                decoder,
            ),
        }
        followers = [
            _follow.Follower(
                log,  # type: ignore[arg-type]
                self.clock,
                topic,
                sink,
                limits,
                rng=rng,
            )
            for topic, sink in sinks.items()
        ]
        return Instance(name, zone, catalog, log, followers)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._steps += 1
            if self._steps % REPORT_STEPS == 0:
                for sender in self.instances:
                    self._report(sender)
            self._deliver()

    def _report(self, sender: Instance) -> None:
        others = [i for i in self.instances if i is not sender]
        at = self.clock.monotonic() + self._queue_s
        for receiver in self.rng.sample(others, min(8, len(others))):
            state = sender.catalog.read_state()
            self._reports.append((at, sender, receiver, state))

    def _deliver(self) -> None:
        """Have the reports that have arrived merged."""
        while self._reports and self._reports[0][0] <= self.clock.monotonic():
            _, sender, receiver, state = self._reports.popleft()
            if receiver.catalog.behind(state):
                known = receiver.catalog.read_state()
                snapshot = sender.catalog.snapshot(known)
                receiver.catalog.merge_snapshot(snapshot, sender.name)
            elif not _log_turns.all_read(len(self.instances)):
                receiver.catalog.merge_read_state(state)

    def publish(self) -> None:
        self.versions.append(self.versions[-1] + 1)
        self.acknowledged.append(self.clock.monotonic())

    def late(self, apply_s: float) -> list[str]:
        """Return the instances without a version that has to be in force."""
        due = self.clock.monotonic() - apply_s
        version = max(
            (v for v, at in zip(self.versions, self.acknowledged) if at < due),
            default=0,
        )
        return [
            f"{i.name}: version {i.catalog.config_version} of {version}"
            for i in self.instances
            if i.catalog.config_version < version
        ]


def silence_all(fleet: Fleet) -> list[Instance]:
    return fleet.instances


def silence_half(fleet: Fleet) -> list[Instance]:
    return fleet.instances[::2]


def silence_one(fleet: Fleet) -> list[Instance]:
    return fleet.instances[:1]


#: Longest time for which packets wait at the link of an instance that has to
#: follow in time, in seconds.
QUEUE_S = 0.5
#: Times without a change before connections fall silent, in seconds.
QUIET_S = (0.1, 0.8, 1.5, 2.3, 3.1, 3.9)
SMALL, LARGE = Bounds(3.0, 2.0), Bounds(4.0, 3.0)
STRICT, HUGE = Bounds(1.5, 1.5), Bounds(5.0, 4.0)
SIZES = {
    "one": (1, SMALL),
    "6": (6, SMALL),
    "10, the largest that all read": (10, SMALL),
    "11, the smallest with readers": (11, LARGE),
    "30": (30, LARGE),
    "6 of a strict site": (6, STRICT),
    "30 of a site as strict as a small one": (30, SMALL),
    "30 of a large site": (30, HUGE),
}


def late_after_a_silence(
    count: int,
    bounds: Bounds,
    choose: collections.abc.Callable[[Fleet], list[Instance]],
    quiet_s: float,
    queue_s: float = 0.0,
) -> list[str]:
    """Return who is late after connections have fallen silent.

    Before that, nothing changes for ``quiet_s`` seconds and reads wait. What
    instances receive waits for ``queue_s`` seconds at their links.
    """
    late: list[str] = []
    with Fleet(count, 39, bounds.apply_s, queue_s) as fleet:
        fleet.run(3.0)
        fleet.publish()
        fleet.run(quiet_s)
        for instance in choose(fleet):
            instance.log.silence()
        for step in range(round(8.0 / STEP_S)):
            if step % round(CHANGE_PERIOD_S / STEP_S) == 0:
                fleet.publish()
            fleet.run(STEP_S)
            if (step + 1) * STEP_S >= bounds.settle_s:
                late += fleet.late(bounds.apply_s)
    return late


# Connections fell silent without a reset while configurations changed, and
# instances did not notice before their reads of 4 s ended: they refused or
# misrouted requests by a configuration that was replaced long before.
@pytest.mark.parametrize("choose", [silence_all, silence_half, silence_one])
@pytest.mark.parametrize("size", SIZES)
def test_configurations_are_in_force_in_time_after_a_silence(
    size: str,
    choose: collections.abc.Callable[[Fleet], list[Instance]],
) -> None:
    count, bounds = SIZES[size]
    for quiet_s in QUIET_S:
        late = late_after_a_silence(count, bounds, choose, quiet_s)
        assert not late, f"quiet for {quiet_s} s"


# Answers and reports that waited at full links were taken for half a second
# newer than they were, and instances read the log by themselves too late.
@pytest.mark.parametrize("quiet_s", QUIET_S)
def test_configurations_are_in_force_in_time_while_links_are_full(
    quiet_s: float,
) -> None:
    assert not late_after_a_silence(30, LARGE, silence_all, quiet_s, QUEUE_S)
