"""Targets as this instance sees them, grouped by service."""

import collections.abc
import dataclasses
import logging
import random

import gevent.event

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import detour
from agatewing import fleet
from agatewing.gateway import _back_offs
from agatewing.gateway import _contracts
from agatewing.gateway import _departures
from agatewing.gateway import _kept_targets
from agatewing.gateway import _request_limits
from agatewing.gateway import _tracked_target

#: Part of an instance's equal share of a target's connections that it may keep
#: idle.
IDLE_CONNECTION_SHARE = 0.5

#: Time for which another instance's report of a role change stays valid, in
#: seconds; reports are sent at least every 0.4 s.
ROLE_CHANGE_KEEP_S = 0.6
#: Number of engines compared for one request; their known load includes what
#: other instances reported.
ENGINE_SAMPLES = 8
#: Prefill backlog above which an engine gets no more prompts of 512 tokens or
#: more, in seconds of its prefill rate: callers abandon a long prompt after
#: 3.2 s.
BACKLOG_LIMIT_S = 2.0
#: Weight of processing again a prefix that another engine has cached, in
#: addition to the prefill time itself: it delays the prompts queued behind it,
#: and the users price it separately.
RECOMPUTE_WEIGHT = 2.0
#: Largest number of prompt tokens that an engine prefills while it decodes
#: streams. An event of 9 tokens takes 9 steps; a step with a chunk of 512
#: tokens at half the prefill rate takes 20 ms, so seven chunks exceed a pause
#: of 150 ms between events. Half of that leaves room for a second prompt from
#: another instance.
COLOCATED_PREFILL_TOKENS = 1_700


#: Time between two estimates of the engines' speed, in seconds.
LEARNING_PERIOD_S = 2.0
#: Relative change of a learned speed from which it is logged.
LOGGED_CHANGE = 0.25

_log = logging.getLogger("agatewing.targets")


class Pool:
    """The targets of one service."""

    __slots__ = (
        "name",
        "engines",
        "meter",
        "stream_demand",
        "learned",
        "gap_s",
        "_learned_at",
        "_logged_speed",
        "router",
        "instances",
        "full_view",
        "service",
        "_merge_reports",
        "_limits",
        "_any_held_back",
        "_kept",
        "_service_speed",
        "time_factors",
    )

    def __init__(
        self,
        service: _contracts.Service,
        router: decisions.Router,
        merge_reports: collections.abc.Callable[[], None],
        limits: _request_limits.RequestLimits,
        learned: decisions.LearnedSpeed,
        kept: _kept_targets.KeptTargets,
    ) -> None:
        self._merge_reports = merge_reports
        self._limits = limits
        # Whether an engine may still be marked as held back.
        self._any_held_back = False
        # Marks the engines that this instance prefers.
        self._kept = kept
        # Speed of the service's engines at the last estimate.
        self._service_speed: decisions.Speed | None = None
        #: How each engine differs from it, by key of its incarnation.
        self.time_factors: dict[int, decisions.TimeFactors] = {}
        #: Name of the service.
        self.name = service.name
        #: Targets by id; named as ``dispatch.Pool`` requires.
        self.engines: dict[str, _tracked_target.TrackedTarget] = {}
        #: Demand of this instance's callers.
        self.meter = fleet.DemandMeter()
        #: Work that its callers demand of engines, by which roles are planned.
        self.stream_demand = decisions.StreamDemandMeter()
        #: Shortest of the pauses between events that routes allow, in
        #: seconds; 0 if none states one.
        self.gap_s = 0.0
        #: Speed of its engines, by the answers of this instance.
        self.learned = learned
        # Monotonic time of the last estimate, in seconds, and the estimate
        # that was logged last.
        self._learned_at = float("-inf")
        self._logged_speed: decisions.Speed | None = None
        #: Chooses engines.
        self.router = router
        #: Number of instances that share the targets.
        self.instances = 1
        #: Whether this instance gets the load reports of all others.
        self.full_view = True
        #: Configuration of the service.
        self.service = service

    def engine_class(self) -> decisions.EngineClass | None:
        """Return what the role plan reads of the engines; ``None`` if none.

        It is as fast as all engines are on average.
        """
        for tracked in self.engines.values():
            if tracked.target.role is not None:
                return decisions.EngineClass(
                    self._mean_speed(tracked.load.speed),
                    tracked.load.kv_limit,
                    self.gap_s,
                    self.learned.tokens_per_event(),
                )
        return None

    def _mean_speed(self, speed: decisions.Speed) -> decisions.Speed:
        """Return the mean speed of all engines.

        Slots and the import rate are those of ``speed``.
        """
        learned = self._service_speed
        if learned is None or not self.time_factors:
            return speed
        mean = decisions.mean_factors(self.time_factors.values())
        return dataclasses.replace(
            mean.scaled(learned),
            slots=speed.slots,
            import_tokens_per_s=speed.import_tokens_per_s,
        )

    def refresh(self, now: float) -> None:
        """Update what routing decisions read of each target."""
        self._apply_learned_speed(now)
        self._kept.refresh(self.engines.values(), self.instances, now)
        slownesses = {
            name: tracked.slowness for name, tracked in self.engines.items()
        }
        slowness_shares = decisions.traffic_shares(slownesses, now)
        losses = {
            name: tracked.loss_ratio for name, tracked in self.engines.items()
        }
        loss_shares = decisions.traffic_shares(losses, now)
        idle_limit = self._idle_limit()
        for name, tracked in self.engines.items():
            for meter in tuple(tracked.meters):
                meter.drop_if_lost(now)
            load = tracked.load
            load.routable = tracked.usable(now)
            if load.role is _types.Role.PREFILL:
                load.routable = (
                    load.routable and now >= tracked.no_prefill_until
                )
            load.traffic_share = slowness_shares[name] * loss_shares[name]
            load.slowness = max(1.0, tracked.slowness.current(now))
            load.credits = decisions.credits(
                load, _tracked_target.SHARING_INSTANCES
            )
            tracked.channels.max_idle = idle_limit

    @property
    def fit_policy(self) -> decisions.FitPolicy:
        """How the speed is learned from measured times."""
        return (
            decisions.FULL_VIEW_FIT
            if self.full_view
            else decisions.PARTIAL_VIEW_FIT
        )

    def _apply_learned_speed(self, now: float) -> None:
        """Give all engines the learned speed, from time to time.

        Where engines differ for good, each gets its own. What comes and goes
        is their ``slowness``.
        """
        if now - self._learned_at < LEARNING_PERIOD_S or not any(
            self.learned.samples(now)
        ):
            return
        self._learned_at = now
        learned = self.learned.speed(now, self.fit_policy)
        self._service_speed = learned
        keys = frozenset(
            tracked.target.key
            for tracked in self.engines.values()
            if tracked.target.role is not None
        )
        self.learned.targets.retain(keys)
        self.time_factors = self.learned.targets.factors(
            keys,
            learned,
            self.learned.tokens_per_event(),
            self.fit_policy.quantile,
        )
        for tracked in self.engines.values():
            if tracked.target.role is not None:
                factors = self.time_factors[tracked.target.key]
                # Slots and the import rate are those of the configuration.
                tracked.load.speed = dataclasses.replace(
                    factors.scaled(learned),
                    slots=tracked.load.speed.slots,
                    import_tokens_per_s=(
                        tracked.load.speed.import_tokens_per_s
                    ),
                )
        self._log_learned_speed(learned, now)

    def _log_learned_speed(self, learned: decisions.Speed, now: float) -> None:
        """Log a learned speed that differs much from the last one logged."""
        last = self._logged_speed
        if last is not None and not _differs_much(learned, last):
            return
        self._logged_speed = learned
        prompts, streams = self.learned.samples(now)
        _log.info(
            "targets: speed of engines learned",
            extra={
                "service": self.name,
                "prefill_tokens_per_s": round(learned.prefill_tokens_per_s),
                "prefill_base_ms": round(learned.prefill_base_s * 1_000, 1),
                "step_ms": round(learned.step_base_s * 1_000, 3),
                "step_us_per_sequence": round(
                    learned.step_per_sequence_s * 1e6, 2
                ),
                "tokens_per_event": self.learned.tokens_per_event(),
                "prompts": prompts,
                "streams": streams,
            },
        )

    def loads(self, begun: bool = False) -> list[decisions.EngineLoad]:
        """Merge pending load reports; return the loads of all engines.

        ``begun`` says that an engine has worked on the request for which they
        are read.
        """
        self._merge_reports()
        self._kept.update_costs()
        active = self._limits.active
        if active or self._any_held_back:
            for tracked in self.engines.values():
                tracked.load.held_back = not tracked.may_get(begun)
            self._any_held_back = active
        return [tracked.load for tracked in self.engines.values()]

    @property
    def limited(self) -> bool:
        """Whether any engine limits the requests of all instances."""
        return self._limits.active and any(
            tracked.limited for tracked in self.engines.values()
        )

    def versions(self) -> frozenset[str]:
        """Return the software versions of all engines, leaving ones too."""
        return frozenset(
            tracked.target.software
            for tracked in self.engines.values()
            if tracked.target.role is not None
        )

    def decodes(
        self,
        software: str | None,
        avoid: collections.abc.Set[str] = frozenset(),
    ) -> bool:
        """Return whether an engine of a software version decodes.

        ``None`` stands for any version. Engines whose ids are in ``avoid``
        do not count.
        """
        return any(
            tracked.active
            and name not in avoid
            and software in (None, tracked.target.software)
            and tracked.load.role is not _types.Role.PREFILL
            for name, tracked in self.engines.items()
        )

    def back_off_s(self, now: float, software: str | None = None) -> float:
        """Return the time until the first target takes requests, in seconds.

        0 if one does, or none will. Engines that only prefill do not count,
        nor those of other versions than ``software``, if it is given.
        """
        ends = [
            tracked.back_off_until
            for tracked in self.engines.values()
            if tracked.active
            and tracked.load.role is not _types.Role.PREFILL
            and software in (None, tracked.target.software)
        ]
        return max(0.0, min(ends, default=now) - now)

    def routable(self) -> list[_tracked_target.TrackedTarget]:
        """Return the engines that may get new requests."""
        return [
            tracked
            for tracked in self.engines.values()
            if tracked.load.routable
        ]

    def usable(
        self, avoid: collections.abc.Set[str], now: float
    ) -> list[_tracked_target.TrackedTarget]:
        """Return the usable targets whose ids are not in ``avoid``."""
        return [
            tracked
            for name, tracked in self.engines.items()
            if name not in avoid and tracked.usable(now)
        ]

    def _idle_limit(self) -> int:
        """Return how many idle connections to a target this instance keeps."""
        share = self.service.max_connections / max(1, self.instances)
        return max(1, int(share * IDLE_CONNECTION_SHARE))


class TargetRegistry:
    """All targets, grouped by service; follows the catalogue."""

    __slots__ = (
        "_clock",
        "_name",
        "_zone",
        "_random",
        "_speed",
        "_tokens_per_event",
        "pools",
        "by_id",
        "instances",
        "full_view",
        "changed",
        "limits",
        "departures",
        "back_offs",
        "links",
        "merge_reports",
        "on_gone",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        rng: random.Random,
        speed: decisions.Speed,
        name: str,
        tokens_per_event: float = 1.0,
        zone: str = "",
    ) -> None:
        self._clock = clock
        # Name and availability zone of this instance.
        self._name = name
        self._zone = zone
        self._random = rng
        # Speed of engines, and tokens in an event, until they are learned.
        self._speed = speed
        self._tokens_per_event = tokens_per_event
        #: Pools by name of the service.
        self.pools: dict[str, Pool] = {}
        #: Targets by id.
        self.by_id: dict[str, _tracked_target.TrackedTarget] = {}
        #: Number of instances that share the targets.
        self.instances = 1
        #: Whether this instance gets the load reports of all others.
        self.full_view = True
        #: Merges the load reports of other instances into the loads.
        self.merge_reports: collections.abc.Callable[[], None] = _no_reports
        #: Called with an active target whose entry has expired, or which
        #: another process has replaced; that one is given too.
        self.on_gone: collections.abc.Callable[
            [_contracts.Target, _contracts.Target | None], None
        ] = _ignore_gone
        #: Set whenever this instance's load at targets changes.
        self.changed = gevent.event.Event()
        #: Limits that targets name for the requests of all instances.
        self.limits = _request_limits.RequestLimits(
            clock, decisions.SharedLimits(name, rng), self.changed
        )
        #: Targets that said that they leave.
        self.departures = _departures.Departures(clock, self.changed)
        #: Targets that want no requests from this instance for a time.
        self.back_offs = _back_offs.BackOffs(clock)
        #: What connections show of this instance's paths to targets.
        self.links = detour.LinkRecorder(clock)

    def connections_opened(self) -> dict[str, int]:
        """Return the connections opened to present targets, by reason."""
        opened = dict.fromkeys(decisions.OpenReason, 0)
        for tracked in self.by_id.values():
            for reason, count in tracked.channels.opened.items():
                opened[reason] += count
        return {reason.value: count for reason, count in opened.items()}

    def own_role_changes(self) -> list[str]:
        """Return ids of engines that change roles by this instance's order."""
        now = self._clock.monotonic()
        return [
            n
            for n, tracked in self.by_id.items()
            if now < tracked.ordered_until
        ]

    def mark_role_changes(self, names: collections.abc.Iterable[str]) -> None:
        """Mark engines that change roles by another instance's order."""
        until = self._clock.monotonic() + ROLE_CHANGE_KEEP_S
        for name in names:
            tracked = self.by_id.get(name)
            if tracked is not None:
                tracked.changing_until = until

    def merge_departures(self, keys: collections.abc.Iterable[int]) -> None:
        """Add the leaving targets that another instance reported."""
        if self.departures.merge(keys):
            for tracked in self.by_id.values():
                tracked.apply_departure("peer")

    def targets_of(
        self, service: str
    ) -> collections.abc.Mapping[str, _tracked_target.TrackedTarget]:
        """Return the targets of a service by id."""
        pool = self.pools.get(service)
        return pool.engines if pool is not None else {}

    def _run_merge_reports(self) -> None:
        # Pools hold this method, as ``merge_reports`` is set later.
        self.merge_reports()

    def apply(
        self,
        services: collections.abc.Mapping[str, _contracts.Service],
        targets: collections.abc.Mapping[str, _contracts.Target],
    ) -> None:
        """Apply changed services or targets; yield to no other greenlet."""
        for name in list(self.by_id):
            if name not in targets:
                self._withdraw(self.by_id.pop(name), None)
        self.departures.retain(targets.values())
        for name, target in targets.items():
            self._apply_target(name, target, services.get(target.service))
        for name, service in services.items():
            pool = self.pools.get(name)
            if pool is None:
                router = decisions.Router(
                    self._random,
                    ENGINE_SAMPLES,
                    COLOCATED_PREFILL_TOKENS,
                    BACKLOG_LIMIT_S,
                    RECOMPUTE_WEIGHT,
                )
                pool = self.pools[name] = Pool(
                    service,
                    router,
                    self._run_merge_reports,
                    self.limits,
                    decisions.LearnedSpeed(
                        self._speed, self._tokens_per_event
                    ),
                    _kept_targets.KeptTargets(self._name, self._zone),
                )
            pool.service = service
            pool.instances = self.instances
            pool.full_view = self.full_view
        # Requests of a withdrawn service may still be queued.
        for name, pool in self.pools.items():
            pool.engines = {
                key: tracked
                for key, tracked in self.by_id.items()
                if tracked.target.service == name
            }

    def _withdraw(
        self,
        tracked: _tracked_target.TrackedTarget,
        successor: _contracts.Target | None,
    ) -> None:
        gone, was_active = tracked.target, tracked.active
        tracked.withdraw()
        if was_active:
            self.on_gone(gone, successor)

    def _apply_target(
        self,
        name: str,
        target: _contracts.Target,
        service: _contracts.Service | None,
    ) -> None:
        tracked = self.by_id.get(name)
        if tracked is not None and _same_incarnation(tracked.target, target):
            tracked.update(target)
            return
        if tracked is not None:
            self._withdraw(tracked, target)
        speed = speed_of(self._speed, target, service)
        properties = service.engines if service else None
        self.by_id[name] = _tracked_target.TrackedTarget(
            target,
            speed,
            self._clock,
            self.changed,
            self.limits,
            self.departures,
            self.back_offs,
            properties.kv_tokens if properties else 0,
            self.links.open(target.service),
        )


def _differs_much(speed: decisions.Speed, other: decisions.Speed) -> bool:
    """Return whether two speeds differ by more than ``LOGGED_CHANGE``."""
    pairs = (
        (speed.prefill_tokens_per_s, other.prefill_tokens_per_s),
        (speed.step_s(speed.slots / 2), other.step_s(other.slots / 2)),
    )
    return any(abs(a - b) > LOGGED_CHANGE * b for a, b in pairs)


def _ignore_gone(
    target: _contracts.Target, successor: _contracts.Target | None
) -> None:
    """Default of ``TargetRegistry.on_gone``."""


def _no_reports() -> None:
    """Default of ``TargetRegistry.merge_reports``, without load reports."""


def speed_of(
    typical: decisions.Speed,
    target: _contracts.Target,
    service: _contracts.Service | None,
) -> decisions.Speed:
    """Return the speed of an engine.

    Batch slots and link rate come from the service's configuration, the rest
    from ``typical``.
    """
    properties = service.engines if service else None
    if properties is None:
        return decisions.Speed(slots=max(1, target.slots))
    imports = properties.link_bytes_per_s / max(1, properties.kv_token_bytes)
    return dataclasses.replace(
        typical, slots=properties.slots, import_tokens_per_s=max(1.0, imports)
    )


def _same_incarnation(
    known: _contracts.Target, received: _contracts.Target
) -> bool:
    """Return whether two announcements are of the same incarnation."""
    return (
        known.address == received.address
        and known.service == received.service
        and known.born_ms == received.born_ms
    )
