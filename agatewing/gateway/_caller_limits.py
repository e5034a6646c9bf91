"""Limits on callers in force, and the idle limits just before them."""

from agatewing import _clock
from agatewing.gateway import _contracts

#: Time for which callers may go by an idle limit that is no longer in force,
#: in seconds: a new configuration reaches all instances within two seconds,
#: and a caller learns of it by its own means.
FORMER_LIMIT_KEEP_S = 5.0


class CallerLimitsInForce:
    """Limits of the newest configuration; defaults before the first."""

    __slots__ = ("_clock", "_present", "_former")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._present: _contracts.CallerLimits | None = None
        # Former idle limits in seconds, and until when each may be in use.
        self._former: list[tuple[float, float]] = []

    def apply(self, limits: _contracts.CallerLimits) -> None:
        """Put limits in force."""
        now = self._clock.monotonic()
        self._former = [(s, until) for s, until in self._former if until > now]
        if self._present is not None:
            former_s = self._present.idle_timeout_s
            self._former.append((former_s, now + FORMER_LIMIT_KEEP_S))
        self._present = limits

    @property
    def present(self) -> _contracts.CallerLimits:
        """Limits in force."""
        return self._present or _contracts.CallerLimits()

    @property
    def idle_timeout_s(self) -> float:
        """Time for which callers may count on an idle connection, in seconds.

        The longest limit that was in force of late.
        """
        now = self._clock.monotonic()
        former = [s for s, until in self._former if until > now]
        return max(self.present.idle_timeout_s, *former, 0.0)
