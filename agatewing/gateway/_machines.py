"""Targets as one instance sees them, grouped by their services."""

import collections.abc
import dataclasses
import random

import gevent.event

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import fleet
from agatewing.gateway import _contracts
from agatewing.gateway import _machine

#: Share of a target's connections that one instance may keep idle, on top
#: of an equal split among instances.
IDLE_SHARE = 0.5

#: Time for which a note that an engine changes its role counts, in seconds;
#: it is repeated each 0.4 s.
CHANGE_TOLD_S = 0.6
#: Engines compared for one request; the work of other instances is known.
SAMPLES = 8
#: Prompts waiting in an engine beyond which it gets no more, in seconds of
#: its work: callers give a long prompt up after 3.2 s.
BACKLOG_LIMIT_S = 2.0
#: Times by which reading a shared part again counts beyond its own time: it
#: delays what waits behind it, and the users price it by itself.
REREAD_WEIGHT = 2.0
#: Prompt tokens that an engine processes beside streams at most. An event
#: of 9 tokens takes 9 steps; with a chunk of 512 tokens at half the rate in
#: each, 20 ms a step, seven chunks break a pause of 150 ms. Half of that
#: leaves room for a second prompt from another instance.
BESIDE_TOKENS = 1_700


class Pool:
    """The targets of one service."""

    __slots__ = (
        "name",
        "engines",
        "meter",
        "router",
        "instances",
        "facts",
        "_catch_up",
    )

    def __init__(
        self,
        service: _contracts.Service,
        router: decisions.Router,
        catch_up: collections.abc.Callable[[], None],
    ) -> None:
        self._catch_up = catch_up
        #: Name of the service.
        self.name = service.name
        #: Targets by id.
        self.engines: dict[str, _machine.Machine] = {}
        #: Work asked for here.
        self.meter = fleet.DemandMeter()
        #: Chooses engines.
        self.router = router
        #: Instances that share the targets.
        self.instances = 1
        #: What the operators state of the service.
        self.facts = service

    def refresh(self, now: float) -> None:
        """Bring what the decisions read up to date."""
        paces = {name: m.pace for name, m in self.engines.items()}
        shares = decisions.ease(paces, now)
        losses = {name: m.losses for name, m in self.engines.items()}
        kept = decisions.ease(losses, now)
        keep = self._idle_limit()
        for name, machine in self.engines.items():
            for meter in tuple(machine.meters):
                meter.check(now)
            load = machine.load
            load.routable = machine.usable(now)
            if load.role is _types.Role.PREFILL:
                load.routable = load.routable and now >= machine.no_cache_until
            load.ease = shares[name] * kept[name]
            load.slowness = max(1.0, machine.pace.current(now))
            load.credits = decisions.credits(load, _machine.SHARING)
            machine.channels.keep = keep

    def loads(self) -> list[decisions.EngineLoad]:
        """Return the state of all engines for the decisions."""
        self._catch_up()
        return [machine.load for machine in self.engines.values()]

    def routable(self) -> list[_machine.Machine]:
        """Return engines that may get new work."""
        return [m for m in self.engines.values() if m.load.routable]

    def usable(
        self, avoid: collections.abc.Set[str], now: float
    ) -> list[_machine.Machine]:
        """Return targets that may get a request, in any order."""
        return [
            machine
            for name, machine in self.engines.items()
            if name not in avoid and machine.usable(now)
        ]

    def _idle_limit(self) -> int:
        """Return the idle connections that one instance may keep."""
        share = self.facts.max_connections / max(1, self.instances)
        return max(1, int(share * IDLE_SHARE))


class Machines:
    """Every target, grouped by service; follows the catalogue."""

    __slots__ = (
        "_clock",
        "_random",
        "_speed",
        "pools",
        "by_id",
        "instances",
        "changed",
        "catch_up",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        rng: random.Random,
        speed: decisions.Speed,
    ) -> None:
        self._clock = clock
        self._random = rng
        self._speed = speed
        #: Pools by name of the service.
        self.pools: dict[str, Pool] = {}
        #: Machines by id.
        self.by_id: dict[str, _machine.Machine] = {}
        #: Instances that share the targets.
        self.instances = 1
        #: Brings the known work of other instances up to date.
        self.catch_up: collections.abc.Callable[[], None] = _nothing
        #: Set whenever the own work at targets changes.
        self.changed = gevent.event.Event()

    def ordered(self) -> list[str]:
        """Return engines that change their role by an order from here."""
        now = self._clock.monotonic()
        return [n for n, m in self.by_id.items() if now < m.ordered_until]

    def note_changing(self, names: collections.abc.Iterable[str]) -> None:
        """Send nothing to engines that change by another's order."""
        until = self._clock.monotonic() + CHANGE_TOLD_S
        for name in names:
            machine = self.by_id.get(name)
            if machine is not None:
                machine.changing_until = until

    def _look(self) -> None:
        self.catch_up()

    def apply(
        self,
        services: collections.abc.Mapping[str, _contracts.Service],
        targets: collections.abc.Mapping[str, _contracts.Target],
    ) -> None:
        """Follow a change of services or targets; nothing here yields."""
        for name in list(self.by_id):
            if name not in targets:
                self.by_id.pop(name).withdraw()
        for name, target in targets.items():
            self._apply_target(name, target, services.get(target.service))
        for name, service in services.items():
            pool = self.pools.get(name)
            if pool is None:
                router = decisions.Router(
                    self._random,
                    SAMPLES,
                    BESIDE_TOKENS,
                    BACKLOG_LIMIT_S,
                    REREAD_WEIGHT,
                )
                pool = self.pools[name] = Pool(service, router, self._look)
            pool.facts = service
            pool.instances = self.instances
            pool.engines = {
                key: machine
                for key, machine in self.by_id.items()
                if machine.target.service == name
            }

    def _apply_target(
        self,
        name: str,
        target: _contracts.Target,
        service: _contracts.Service | None,
    ) -> None:
        machine = self.by_id.get(name)
        if machine is not None and _same_start(machine.target, target):
            machine.update(target)
            return
        if machine is not None:
            machine.withdraw()
        speed = speed_of(self._speed, target, service)
        facts = service.engines if service else None
        self.by_id[name] = _machine.Machine(
            target,
            speed,
            self._clock,
            self.changed,
            facts.kv_tokens if facts else 0,
        )


def _nothing() -> None:
    """Stand for the work of others where there are none."""


def speed_of(
    typical: decisions.Speed,
    target: _contracts.Target,
    service: _contracts.Service | None,
) -> decisions.Speed:
    """Return the speed of an engine, with what the operators state."""
    facts = service.engines if service else None
    if facts is None:
        return decisions.Speed(slots=max(1, target.slots))
    imports = facts.link_bytes_per_s / max(1, facts.kv_token_bytes)
    return dataclasses.replace(
        typical, slots=facts.slots, import_tokens_per_s=max(1.0, imports)
    )


def _same_start(old: _contracts.Target, new: _contracts.Target) -> bool:
    """Return whether two announcements are of one start of a target."""
    return (
        old.address == new.address
        and old.service == new.service
        and old.born_ms == new.born_ms
    )
