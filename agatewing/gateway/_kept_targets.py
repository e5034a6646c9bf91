"""Marks the engines of a service whose connections this instance keeps."""

import collections.abc
import statistics

from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _tracked_target

#: Time between two choices, in seconds.
PERIOD_S = 1.0


class KeptTargets:
    """Chooses the engines that an instance prefers, for each role."""

    __slots__ = ("_instance", "_zone", "_at", "counts")

    def __init__(self, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        # Monotonic time of the last choice, in seconds.
        self._at = float("-inf")
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
        for role, engines in by_role.items():
            kept = self._choose(engines, instances, now)
            self.counts[role] = len(kept)
            for tracked in engines:
                tracked.load.kept = tracked.load.name in kept

    def _choose(
        self,
        engines: list[_tracked_target.TrackedTarget],
        instances: int,
        now: float,
    ) -> frozenset[str]:
        """Return the names of the preferred engines of one role.

        All of them while none has announced how long it keeps connections.
        """
        announced = [
            tracked.channels.announced_s
            for tracked in engines
            if tracked.channels.announced_s is not None
        ]
        count = len(engines)
        if announced:
            count = decisions.kept_count(
                count,
                instances,
                sum(tracked.channels.uses.current(now) for tracked in engines),
                decisions.idle_limit_s(
                    decisions.Reuse.ONCE, statistics.median(announced)
                ),
            )
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
