"""Targets as one instance sees them, and the groups they form."""

import collections.abc
import dataclasses
import random
import typing

import gevent.event

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import fleet
from agatewing.gateway import _channel
from agatewing.gateway import _contracts

#: First and longest time for which a target that accepts no connections is
#: left alone, in seconds; the platform removes the entry of one that is
#: gone after three heartbeats, about four seconds.
AVOID_FIRST_S = 0.5
AVOID_LIMIT_S = 4.0
#: Requests without an answer in a row after which a target that accepts
#: connections is left alone; targets lose one answer in thirty at times.
LOST_IN_A_ROW = 3
#: Time for which an engine that turned work away gets no more, in seconds:
#: a tenth of a change of its role.
BUSY_S = 0.3
#: Share of a target's connections that one instance may keep idle, on top
#: of an equal split among instances.
IDLE_SHARE = 0.5
#: Time for which a target whose KV caches could not be fetched gets no
#: prompts to prefill for others, in seconds.
NO_CACHE_S = 3.0

#: Time for which a note that an engine changes its role counts, in seconds;
#: it is repeated each 0.4 s.
CHANGE_TOLD_S = 0.6
#: Smoothing of measured paces: five slow answers, a second or two of an
#: engine's work, ease it off.
PACE_ALPHA = 0.25
#: Time after which a measured pace loses half its weight, in seconds: a
#: target that is eased off entirely is tried again within a few.
PACE_HALF_LIFE_S = 3.0
#: Largest pace that one measurement counts with; one request that hung says
#: little of the next, and admission reckons with the pace.
PACE_LIMIT = 5.0
#: Instances among which the slots of an engine are split: none, as the work
#: of the others is known and engines queue by urgency.
SHARING = 1
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


class Meter(typing.Protocol):
    """Counts one request as work of its engine."""

    def check(self, now: float) -> None:
        """Count the request no more if it is probably lost."""


class Machine:
    """One target with its connections and what was seen of it."""

    __slots__ = (
        "target",
        "load",
        "pace",
        "channels",
        "in_flight",
        "failures",
        "avoid_until",
        "no_cache_until",
        "changing_until",
        "ordered_until",
        "meters",
        "_clock",
        "_changed",
    )

    def __init__(
        self,
        target: _contracts.Target,
        speed: decisions.Speed,
        clock: _clock.Clock,
        changed: gevent.event.Event,
        kv_limit: int = 0,
    ) -> None:
        #: Its own announcement.
        self.target = target
        #: State for the decisions.
        self.load = decisions.EngineLoad(
            target.id,
            target.zone,
            target.role or _types.Role.MIXED,
            speed,
        )
        self.load.kv_limit = kv_limit
        #: Measured pace.
        self.pace = decisions.Pace(
            alpha=PACE_ALPHA, half_life_s=PACE_HALF_LIFE_S, limit=PACE_LIMIT
        )
        #: Connections to it.
        self.channels = _channel.ChannelPool(target.address, clock)
        #: Requests sent from here and not ended.
        self.in_flight = 0
        #: Failures in a row.
        self.failures = 0
        #: Monotonic time until which it gets no new work.
        self.avoid_until = float("-inf")
        #: Monotonic time until which it prefills for no other engine.
        self.no_cache_until = float("-inf")
        #: Monotonic time until which it probably changes its role.
        self.changing_until = float("-inf")
        #: The same by an order of this instance, which the others are told.
        self.ordered_until = float("-inf")
        #: Requests from here that are under way, oldest first.
        self.meters: dict[Meter, None] = {}
        self._clock = clock
        self._changed = changed

    def note_ordered(self, for_s: float) -> None:
        """Send nothing for a while to an engine that is told to change."""
        until = self._clock.monotonic() + for_s
        self.ordered_until = self.changing_until = until
        self._changed.set()

    def update(self, target: _contracts.Target) -> None:
        """Take a new announcement of the same start in."""
        if target.role is not self.target.role:
            self.changing_until = self.ordered_until = float("-inf")
        self.target = target
        if target.role is not None:
            self.load.role = target.role

    def withdraw(self) -> None:
        """Take no new work for a target that is gone."""
        gone = _types.TargetState.WITHDRAWN
        self.target = dataclasses.replace(self.target, state=gone)
        self.channels.close()

    def note_failure(self) -> None:
        """Leave a target that cannot be reached alone; longer each time."""
        self.failures += 1
        self._avoid()

    def _avoid(self) -> None:
        pause = AVOID_FIRST_S * 2 ** min(self.failures - 1, 10)
        now = self._clock.monotonic()
        self.avoid_until = now + min(AVOID_LIMIT_S, pause)

    def note_lost(self) -> None:
        """Count a request that brought no answer.

        One is a measurement like a very slow answer: an engine that loses
        many gets less work, one that loses a few recovers with its next
        answers.
        """
        self.failures += 1
        self.pace.observe(PACE_LIMIT, self._clock.monotonic())
        if self.failures >= LOST_IN_A_ROW:
            self._avoid()

    def note_busy(self) -> None:
        """Send nothing for a moment to a target that turned work away."""
        until = self._clock.monotonic() + BUSY_S
        self.avoid_until = max(self.avoid_until, until)

    def note_answer(self) -> None:
        """Trust the target again."""
        self.failures = 0
        self.avoid_until = float("-inf")

    def note_cache_lost(self) -> None:
        """Let the engine prefill for no other one for a while."""
        self.no_cache_until = self._clock.monotonic() + NO_CACHE_S

    @property
    def active(self) -> bool:
        """Whether the target announced that it takes new work."""
        return self.target.state is _types.TargetState.ACTIVE

    def usable(self, now: float) -> bool:
        """Return whether new work may go to the target."""
        until = max(self.avoid_until, self.changing_until)
        return self.active and now >= until

    def note_sent(self, tokens: int, kv_tokens: int = 0) -> None:
        """Count a request sent: prompt tokens to process, memory to hold."""
        self.in_flight += 1
        self.load.own_kv_tokens += kv_tokens
        self.load.own_sequences += 1
        self.load.unreported_sequences += 1
        self._add_tokens(tokens)

    def note_processed(self, tokens: int) -> None:
        """Count prompt tokens as processed."""
        self._add_tokens(-tokens)

    def _add_tokens(self, tokens: int) -> None:
        load = self.load
        load.unreported_tokens += tokens
        if load.is_long(abs(tokens)):
            load.unreported_long_tokens += tokens
        self._changed.set()

    def note_ended(self, kv_tokens: int = 0) -> None:
        """Count the end of a request, which frees its memory."""
        self.in_flight -= 1
        self.load.own_kv_tokens -= kv_tokens
        self.load.own_sequences -= 1
        self.load.unreported_sequences -= 1
        self._changed.set()
        self.load.credits = decisions.credits(self.load, SHARING)


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
        self.engines: dict[str, Machine] = {}
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
        for name, machine in self.engines.items():
            for meter in tuple(machine.meters):
                meter.check(now)
            load = machine.load
            load.routable = machine.usable(now)
            if load.role is _types.Role.PREFILL:
                load.routable = load.routable and now >= machine.no_cache_until
            load.ease = shares[name]
            load.slowness = max(1.0, machine.pace.current(now))
            load.credits = decisions.credits(load, SHARING)
            machine.channels.keep = self._idle_limit()

    def loads(self) -> list[decisions.EngineLoad]:
        """Return the state of all engines for the decisions."""
        self._catch_up()
        return [machine.load for machine in self.engines.values()]

    def routable(self) -> list[Machine]:
        """Return engines that may get new work."""
        return [m for m in self.engines.values() if m.load.routable]

    def usable(
        self, avoid: collections.abc.Set[str], now: float
    ) -> list[Machine]:
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
        self.by_id: dict[str, Machine] = {}
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
        self.by_id[name] = Machine(
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
    return decisions.Speed(
        typical.prefill_tokens_per_s,
        typical.step_base_s,
        typical.step_per_sequence_s,
        typical.chunk_tokens,
        typical.full_chunk_tokens,
        facts.slots,
        max(1.0, imports),
        typical.beside_share,
        typical.tokens_per_m_pairs,
        typical.step_per_k_context_s,
    )


def _same_start(old: _contracts.Target, new: _contracts.Target) -> bool:
    """Return whether two announcements are of one start of a target."""
    return (
        old.address == new.address
        and old.service == new.service
        and old.born_ms == new.born_ms
    )
