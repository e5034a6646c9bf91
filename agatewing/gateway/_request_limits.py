"""Limits that targets name for the requests of all instances together."""

import collections.abc
import logging

import gevent.event

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _contracts
from agatewing import wire

_log = logging.getLogger("agatewing.limits")

#: Largest number of targets in one report, so that it fits into a datagram.
MAX_REPORTED = 8


class RequestLimits:
    """Limits of targets, by this instance's view."""

    __slots__ = ("_clock", "_shared", "_changed", "sends")

    def __init__(
        self,
        clock: _clock.Clock,
        shared: decisions.SharedLimits,
        changed: gevent.event.Event,
    ) -> None:
        self._clock = clock
        self._shared = shared
        # Set when there is something new to report.
        self._changed = changed
        #: Number of requests sent to targets while they had a limit.
        self.sends = 0

    def record_send(self, target: _contracts.Target) -> None:
        """Record a request that is sent to a target now."""
        now = self._clock.monotonic()
        self._shared.record_send(target.key, now)
        if self._shared.limit(target.key, now) is not None:
            self.sends += 1
            self._changed.set()

    def record_route(self, target: _contracts.Target) -> None:
        """Record a request that will be sent to a target soon."""
        self._shared.record_route(target.key, self._clock.monotonic())

    def observe(
        self, target: _contracts.Target, limit: float | None, sent_at: float
    ) -> None:
        """Record what an answer says.

        ``sent_at`` is the monotonic time of its request, in seconds.
        """
        now = self._clock.monotonic()
        before = self._shared.limit(target.key, now)
        if not self._shared.observe(target.key, limit, sent_at, now):
            return
        self._changed.set()
        if limit is None:
            _log.info(
                "limits: a target has no limit any more",
                extra={"target": target.id},
            )
        elif before is None:
            _log.info(
                "limits: a target limits its requests",
                extra={"target": target.id, "limit_per_s": limit},
            )

    @property
    def active(self) -> bool:
        """Whether any target has a limit, or had one lately."""
        return self._shared.active(self._clock.monotonic())

    def limits(self, target: _contracts.Target) -> bool:
        """Return whether a target names a limit."""
        now = self._clock.monotonic()
        return self._shared.limit(target.key, now) is not None

    def may_send(self, target: _contracts.Target, begun: bool = False) -> bool:
        """Return whether a request may be sent to a target now.

        ``begun`` says that an engine has worked on the request already.
        """
        now = self._clock.monotonic()
        return self._shared.may_send(target.key, now, begun)

    def room_after_s(
        self, targets: collections.abc.Iterable[_contracts.Target]
    ) -> float | None:
        """Return the time until one of the targets may have room, in seconds.

        ``None`` if all of them take no requests at all.
        """
        now = self._clock.monotonic()
        times = [self._shared.room_after_s(t.key, now) for t in targets]
        return min((t for t in times if t is not None), default=None)

    def set_members(
        self,
        peers: collections.abc.Iterable[str],
        targets: collections.abc.Iterable[_contracts.Target],
    ) -> None:
        """Set the names of the other instances, and the known targets."""
        self._shared.set_members(peers)
        self._shared.retain_targets({target.key for target in targets})

    def co_senders(self) -> frozenset[str]:
        """Return the names of the peers that share limits with this one."""
        return self._shared.co_senders(self._clock.monotonic())

    def take_reports(self) -> list[wire.TargetLimit]:
        """Return the limits for the next load report."""
        now = self._clock.monotonic()
        return [
            wire.TargetLimit(
                target=report.target,
                limit=report.limit,
                age_ms=int(report.age_s * 1_000),
                sends=report.sends,
            )
            for report in self._shared.take_reports(now, MAX_REPORTED)
        ]

    def merge(
        self, sender: str, limits: collections.abc.Iterable[wire.TargetLimit]
    ) -> None:
        """Add what another instance reported."""
        now = self._clock.monotonic()
        changed = [
            self._shared.merge(
                sender,
                decisions.LimitReport(
                    limit.target,
                    limit.limit,
                    limit.age_ms / 1_000,
                    limit.sends,
                ),
                now,
            )
            for limit in limits
        ]
        if any(changed):
            self._changed.set()
