"""Limits that targets name for the requests of all instances together."""

import logging

from agatewing import _clock
from agatewing.gateway import _contracts

_log = logging.getLogger("agatewing.limits")


class RequestLimits:
    """Limits of targets, by this instance's view."""

    __slots__ = ("_clock", "_limits", "sends")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Requests a second by id of the target.
        self._limits: dict[str, float] = {}
        #: Number of requests sent to targets while they had a limit.
        self.sends = 0

    def record_send(self, target: _contracts.Target) -> None:
        """Record a request that is sent to a target now."""
        if target.id in self._limits:
            self.sends += 1

    def observe(
        self, target: _contracts.Target, limit: float | None, sent_at: float
    ) -> None:
        """Record what an answer says.

        ``sent_at`` is the monotonic time of its request, in seconds.
        """
        if limit == self._limits.get(target.id):
            return
        if limit is None:
            del self._limits[target.id]
            _log.info(
                "limits: a target has no limit any more",
                extra={"target": target.id},
            )
            return
        if target.id not in self._limits:
            _log.info(
                "limits: a target limits its requests",
                extra={"target": target.id, "limit_per_s": limit},
            )
        self._limits[target.id] = limit
