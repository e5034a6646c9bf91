"""Leads requests to connections that would end unused, for one service."""

import collections.abc
import statistics

from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _tracked_target

#: Time between two choices, in seconds.
PERIOD_S = 1.0


class KeptTargets:
    """Chooses the engines that an instance prefers, for each role."""

    __slots__ = (
        "_instance",
        "_zone",
        "_at",
        "_scarce",
        "_rates",
        "_uses",
        "counts",
    )

    def __init__(self, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        # Monotonic time of the last choice, in seconds.
        self._at = float("-inf")
        # Engines whose connections would end unless requests are led to them.
        self._scarce: list[_tracked_target.TrackedTarget] = []
        # Rate of requests by role, and the number of those to each engine at
        # the last choice.
        self._rates: dict[_types.Role, decisions.UseRate] = {}
        self._uses: dict[str, int] = {}
        #: Number of preferred engines by role.
        self.counts: dict[_types.Role, int] = {}

    def refresh(
        self,
        targets: collections.abc.Iterable[_tracked_target.TrackedTarget],
        instances: int,
        now: float,
    ) -> None:
        """Choose anew from time to time; ``now`` is a monotonic time."""
        if now - self._at < PERIOD_S:
            return
        self._at = now
        by_role: dict[_types.Role, list[_tracked_target.TrackedTarget]] = {}
        for tracked in targets:
            if tracked.target.role is not None and tracked.active:
                by_role.setdefault(tracked.load.role, []).append(tracked)
        self.counts = {}
        self._scarce = []
        for role, engines in by_role.items():
            kept = self._choose(engines, instances, now)
            self.counts[role] = len(kept)
            for tracked in engines:
                tracked.load.kept = tracked.load.name in kept
                tracked.load.connection_s = 0.0
        self._uses = {
            tracked.load.name: tracked.channels.uses
            for engines in by_role.values()
            for tracked in engines
        }

    def update_costs(self) -> None:
        """Update what connections count in the choice of an engine."""
        for tracked in self._scarce:
            # The answer to a prompt may be asked for again, that to a stream
            # mostly may not.
            prefills = tracked.load.role is _types.Role.PREFILL
            tracked.load.connection_s = tracked.channels.cost_s(
                decisions.Reuse.AGAIN if prefills else decisions.Reuse.ONCE
            )

    def _rate(
        self, engines: list[_tracked_target.TrackedTarget], now: float
    ) -> float:
        """Return the requests a second to the engines of one role."""
        role = engines[0].load.role
        rate = self._rates.setdefault(role, decisions.UseRate())
        rate.add(
            sum(
                max(0, t.channels.uses - self._uses.get(t.load.name, 0))
                for t in engines
            ),
            now,
        )
        return rate.current(now)

    def _choose(
        self,
        engines: list[_tracked_target.TrackedTarget],
        instances: int,
        now: float,
    ) -> frozenset[str]:
        """Return the names of the preferred engines of one role.

        All of them if they announce no time for which they keep connections.
        Until one has answered, they count as if they did: what an instance
        opens when it starts is most of what it opens.
        """
        answered = [t.channels for t in engines if t.channels.answered]
        announced = [
            channels.announced_s
            for channels in answered
            if channels.announced_s is not None
        ]
        count = len(engines)
        if announced or not answered:
            rate = self._rate(engines, now)
            idle_s = decisions.idle_limit_s(
                decisions.Reuse.ONCE,
                statistics.median(announced) if announced else None,
            )
            if decisions.scarce(count, rate, idle_s):
                self._scarce += engines
            count = decisions.kept_count(count, instances, rate, idle_s)
        return decisions.kept_targets(
            self._instance,
            [
                decisions.KeepCandidate(
                    tracked.load.name, tracked.load.zone == self._zone
                )
                for tracked in engines
            ],
            count,
        )
