"""Targets of an episode, each behind a proxy, and their faults."""

import collections.abc
import dataclasses
import functools
import random
import time

import gevent

from agatewing.platform.soak import _callers
from agatewing.platform.soak import _disturbances
from agatewing.platform.soak import _proxy
from agatewing.platform import standins

#: Pause before each event of a stream, in seconds, so that faults meet
#: streams under way.
EVENT_PERIOD_S = 0.05
#: Shortest and longest time after which a target that crashed is back, in
#: seconds.
RESTART_S = (1.0, 3.0)
#: Time for which a target runs a request before it crashes on it, in seconds,
#: so that others are under way there.
CRASH_AFTER_S = 0.02
#: Time for which a target goes on serving after its entry says that it
#: leaves, in seconds; its answers say so before.
DRAIN_S = 2.0
#: Shortest time for which targets fall silent, in seconds.
MIN_SILENCE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """What a target publishes about itself."""

    #: Service that it belongs to.
    service: str
    #: Role of an engine; ``None`` for a target of a plain service.
    role: str | None
    #: Software version.
    version: str


PLAIN, STREAMS = _callers.PLAIN_SERVICE, _callers.STREAM_SERVICE
#: Targets by id.
TARGETS = {
    "t1": TargetSpec(PLAIN, None, "v1"),
    "t2": TargetSpec(PLAIN, None, "v1"),
    "e1": TargetSpec(STREAMS, "decode", "v1"),
    "e2": TargetSpec(STREAMS, "decode", "v1"),
    "e3": TargetSpec(STREAMS, "decode", "v2"),
    "p1": TargetSpec(STREAMS, "prefill", "v2"),
}
#: Ids of the targets by service.
BY_SERVICE = {
    service: tuple(
        name for name, spec in TARGETS.items() if spec.service == service
    )
    for service in (PLAIN, STREAMS)
}
#: Targets that fall silent together, besides single ones.
GROUPS = (
    ("t1", "t2"),
    ("e1", "e2"),
    ("e1", "e2", "e3", "p1"),
    tuple(TARGETS),
)


class Targets:
    """Starts the targets, and those again that crashed."""

    def __init__(
        self,
        seed: int,
        site: standins.Site,
        disturbances: _disturbances.Disturbances,
    ) -> None:
        self._site = site
        self._disturbances = disturbances
        self._random = random.Random(f"{seed}/targets")
        #: All targets, also those that crashed.
        self.engines: list[standins.EngineStandin] = []
        self._proxies: dict[str, _proxy.Proxy] = {}
        self._ports = dict(
            zip(TARGETS, site.ports.take(len(TARGETS)), strict=True)
        )
        #: Called with the id of a target that begins or ends to refuse
        #: connections.
        self.on_down: collections.abc.Callable[[str, bool], None] = (
            lambda name, down: None
        )
        # Unix time of the start of each target, in milliseconds.
        self._born: dict[str, int] = {}
        # State and sequence of the last entry of each target.
        self._entries: dict[str, tuple[str, int]] = {}
        # Number of back-offs that were begun.
        self._back_offs = 0
        # Ids of the targets that are to be started again.
        self._crashed: set[str] = set()
        self._replacements: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start all targets and publish them."""
        for name in TARGETS:
            self._start(name)

    def stop(self) -> None:
        """Stop the proxies; the site stops the targets."""
        gevent.killall(self._replacements)
        for proxy in self._proxies.values():
            proxy.stop()

    def _start(self, name: str) -> None:
        """Start a target and its proxy, or a new one in place of a crashed.

        The new one has the id and address of the old one.
        """
        spec = TARGETS[name]
        engine = self._site.start_engine(name, _callers.EVENTS)
        engine.event_suffix = f" {spec.version}"
        engine.pause_s = EVENT_PERIOD_S
        engine.crash_after_s = CRASH_AFTER_S
        engine.crash_after_event = self._random.random() < 0.5
        engine.on_crash = functools.partial(self._replace_crashed, name)
        self.engines.append(engine)
        self._proxies[name] = _proxy.Proxy(engine.address, self._ports[name])
        self.on_down(name, False)
        self._born[name] = int(time.time() * 1_000)
        self._announce(name, "ready", 1)

    def _announce(self, name: str, state: str, sequence: int) -> None:
        """Write the entry of a target."""
        self._entries[name] = state, sequence
        spec = TARGETS[name]
        self._site.announce(
            name,
            spec.service,
            spec.role,
            address=self._proxies[name].address,
            version=spec.version,
            born=self._born[name],
            state=state,
            seq=sequence,
        )

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the targets, by id; they keep them."""
        return {
            name: f"127.0.0.1:{port}" for name, port in self._ports.items()
        }

    def announce_again(self) -> None:
        """Write the entries of all targets that have not crashed."""
        for name in TARGETS:
            if name not in self._crashed:
                self._announce(name, *self._entries[name])

    def _replace_crashed(self, name: str) -> None:
        """Refuse connections to a target that crashed until it is back."""
        if name in self._crashed:
            return
        self._crashed.add(name)
        self.on_down(name, True)
        self._proxies[name].stop()
        service = TARGETS[name].service
        disturbance = self._disturbances.begin(service)

        def replace() -> None:
            self._crashed.discard(name)
            self._start(name)
            disturbance.end()

        after_s = self._random.uniform(*RESTART_S)
        self._replacements.append(gevent.spawn_later(after_s, replace))

    def degrade_link(
        self, target: str, mode: _proxy.ProxyMode, fault_s: float
    ) -> None:
        """Inject a network fault; CUT also closes open connections."""
        proxy = self._proxies[target]
        link = self._disturbances.begin(_disturbances.link(target))
        disturbance = None
        if mode is _proxy.ProxyMode.CUT:
            service = TARGETS[target].service
            disturbance = self._disturbances.begin(service)
        proxy.mode = mode
        if mode is _proxy.ProxyMode.CUT:
            proxy.break_connections()
        gevent.sleep(fault_s)
        proxy.mode = _proxy.ProxyMode.FINE
        link.end()
        if disturbance is not None:
            disturbance.end()

    def fall_silent(self, names: tuple[str, ...], fault_s: float) -> None:
        """Let targets send nothing for a time, with all connections open."""
        silence_s = max(MIN_SILENCE_S, fault_s)
        links = [
            self._disturbances.begin(_disturbances.link(name))
            for name in names
        ]
        for name in names:
            self._proxies[name].fall_silent(silence_s)
        gevent.sleep(silence_s)
        for link in links:
            link.end()

    def leave(self, name: str, fault_s: float) -> None:
        """Let a target leave, then start it again.

        Its answers say so for ``fault_s`` before its entry does.
        """
        engine = self._site.targets[name]
        if engine.leaving:
            return
        engine.leaving = True
        gevent.sleep(fault_s)
        if self._serves(name, engine):
            self._announce(name, "draining", 2)
            gevent.sleep(DRAIN_S)
        if self._serves(name, engine):
            engine.crash()

    def _serves(self, name: str, engine: standins.EngineStandin) -> bool:
        """Return whether a target is still the one that it was."""
        return name not in self._crashed and self._site.targets[name] is engine

    def back_off(self, name: str, fault_s: float) -> None:
        """Let a target turn all requests away for a time, as it says itself.

        Every second time its answers prove that they did not run.
        """
        engine = self._site.targets[name]
        self._back_offs += 1
        engine.turns_away_with_proof = self._back_offs % 2 == 0
        engine.retry_after = wanted = f"{fault_s:.3f}"
        gevent.sleep(fault_s)
        if engine.retry_after == wanted:
            engine.retry_after = ""

    def script_behaviour(
        self, behaviour: standins.Behaviour, fault_s: float
    ) -> None:
        """Let each target behave so once; the duration is not used."""
        for engine in self._site.targets.values():
            engine.script.append(behaviour)
