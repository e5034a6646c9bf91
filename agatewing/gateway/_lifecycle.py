"""Readiness and orderly shutdown of an instance."""

import enum
import math

from agatewing import _clock
from agatewing.gateway import _catalog

#: Time after the stop signal in which new requests are still accepted, in
#: seconds: the balancer checks once a second and needs two failures to stop
#: sending; half a second more is left for connections that are being
#: opened.
ACCEPT_AFTER_STOP_S = 2.8
#: Part of the shutdown time that is reserved for the process to exit, in
#: seconds.
EXIT_RESERVE_S = 0.4
#: Time for one refusal, in seconds: 0.45 ms of processor time on a machine
#: with an eighth of a core.
REFUSAL_S = 0.004
#: Longest time before the stop limit at which refusals begin, in seconds: an
#: eighth of the shutdown time of the users' sites.
MAX_REFUSALS_S = 1.0


class Phase(enum.StrEnum):
    """Phase in the life of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "leaving"


class Lifecycle:
    """Tracks the phase of the process and when it may exit."""

    __slots__ = (
        "_clock",
        "_catalog",
        "stop_limit_s",
        "_stopping_since",
        "in_flight",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        catalog: _catalog.Catalog,
        stop_limit_s: float,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        #: Time from the stop signal to the exit, in seconds.
        self.stop_limit_s = stop_limit_s
        #: Monotonic time of the stop signal; ``None`` before it.
        self._stopping_since: float | None = None
        #: Number of requests in flight.
        self.in_flight = 0

    @property
    def phase(self) -> Phase:
        """Present phase of the instance."""
        if self._stopping_since is not None:
            return Phase.DRAINING
        if self._catalog.configuration is None or not self._catalog.targets:
            return Phase.STARTING
        return Phase.SERVING

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new connections."""
        return self.phase is Phase.SERVING

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their present answer."""
        return self._stopping_since is not None

    def begin_drain(self) -> None:
        """Begin to drain."""
        if self._stopping_since is None:
            self._stopping_since = self._clock.monotonic()

    @property
    def keeps_idle_connections(self) -> bool:
        """Whether idle connections stay open for another request."""
        if self._stopping_since is None:
            return True
        return (
            self._clock.monotonic() - self._stopping_since
            < ACCEPT_AFTER_STOP_S
        )

    def may_begin(self, deadline: float) -> bool:
        """Return whether a request that has just been read is accepted.

        ``deadline`` is the monotonic time by which it ends. Once idle
        connections are closed, only a request that ends before the stop limit
        is accepted, however long its target takes.
        """
        return self.keeps_idle_connections or deadline <= self.stop_at

    @property
    def stop_at(self) -> float:
        """Monotonic time at which requests under way are given up.

        Infinite before the stop signal.
        """
        if self._stopping_since is None:
            return math.inf
        return self._stopping_since + self.stop_limit_s - EXIT_RESERVE_S

    def refuse_at(self, count: int) -> float:
        """Return when ``count`` requests without an answer are refused.

        A monotonic time, so long before the stop limit that all of them have
        their refusals then.
        """
        return self.stop_at - min(MAX_REFUSALS_S, count * REFUSAL_S)

    @property
    def ends_at(self) -> float:
        """Monotonic time at which the process has to end."""
        return self.stop_at + EXIT_RESERVE_S

    @property
    def time_is_up(self) -> bool:
        """Whether requests under way are given up now."""
        return self._clock.monotonic() >= self.stop_at
