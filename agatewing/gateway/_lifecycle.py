"""Whether the instance is ready, and how it stops."""

import enum

from agatewing import _clock
from agatewing.gateway import _catalog

#: Time after the order to stop in which new requests are still taken, in
#: seconds: the balancer asks once a second and needs two misses; half a
#: second more for connections on their way.
STILL_TAKEN_S = 2.8
#: Part of the time for stopping that is kept for the end itself, in
#: seconds.
END_RESERVE_S = 0.4


class Phase(enum.StrEnum):
    """Life of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Lifecycle:
    """The phase of the process and what follows from it."""

    __slots__ = ("_clock", "_catalog", "grace_s", "_left_at", "in_flight")

    def __init__(
        self, clock: _clock.Clock, catalog: _catalog.Catalog, grace_s: float
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        #: Time from the order to stop to the end, in seconds.
        self.grace_s = grace_s
        self._left_at: float | None = None
        #: Requests under way.
        self.in_flight = 0

    @property
    def phase(self) -> Phase:
        """Where the process is in its life."""
        if self._left_at is not None:
            return Phase.LEAVING
        if self._catalog.configuration is None or not self._catalog.targets:
            return Phase.STARTING
        return Phase.SERVING

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new connections."""
        return self.phase is Phase.SERVING

    @property
    def closing(self) -> bool:
        """Whether connections end after their present answer."""
        return self._left_at is not None

    def leave(self) -> None:
        """Begin to stop."""
        if self._left_at is None:
            self._left_at = self._clock.monotonic()

    @property
    def takes_connections(self) -> bool:
        """Whether idle connections are kept for a last request."""
        if self._left_at is None:
            return True
        return self._clock.monotonic() - self._left_at < STILL_TAKEN_S

    def may_end(self) -> bool:
        """Return whether the process may end now."""
        if self._left_at is None or self.takes_connections:
            return False
        if self.in_flight == 0:
            return True
        gone = self._clock.monotonic() - self._left_at
        return gone > self.grace_s - END_RESERVE_S
