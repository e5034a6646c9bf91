"""Decides whether this instance accepts and sends new requests."""

import enum

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import membership


#: Age after which a standing does not permit sending any more, in seconds.
STANDING_MAX_AGE_S = 1.0
#: Longest wait of an admitted request until it may be sent, and the period
#: in which it asks, in seconds; the standing is set four times a second.
SEND_WAIT_S = 1.0
SEND_WAIT_PERIOD_S = 0.02
#: Standings in which requests may be sent to targets.
SERVING_STANDINGS = frozenset(
    {membership.Standing.CURRENT, membership.Standing.OUTAGE}
)


class Phase(enum.StrEnum):
    """Phase in the life cycle of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Gate:
    """State that is checked when a request arrives and before it is sent."""

    __slots__ = (
        "_clock",
        "_standing_set_at",
        "phase",
        "standing",
        "engines_polled",
    )

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._standing_set_at = float("-inf")
        #: Phase in the life cycle of the process.
        self.phase = Phase.STARTING
        #: Whether the configuration of this instance is up to date.
        self.standing = membership.Standing.EMPTY
        #: Whether every engine has answered, or failed, a first poll.
        self.engines_polled = False

    def set_standing(self, standing: membership.Standing) -> None:
        """Set the standing and the time from which its age is counted."""
        self.standing = standing
        self._standing_set_at = self._clock.monotonic()

    def may_send(self) -> bool:
        """Return whether a request may be sent to a target now.

        The standing must be at most ``STANDING_MAX_AGE_S`` seconds old:
        after the process was suspended, its last standing may be wrong.
        """
        age = self._clock.monotonic() - self._standing_set_at
        if age > STANDING_MAX_AGE_S:
            return False
        return self.standing in SERVING_STANDINGS

    def wait_to_send(self, deadline: float) -> bool:
        """Wait until an admitted request may be sent; return whether it may.

        Waits for ``SEND_WAIT_S`` at most, and not after a monotonic time in
        seconds. A process that was suspended sets its standing soon after.
        """
        until = min(deadline, self._clock.monotonic() + SEND_WAIT_S)
        while not self.may_send():
            if self._clock.monotonic() >= until:
                return False
            self._clock.sleep(SEND_WAIT_PERIOD_S)
        return True

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this instance."""
        return self.refusal() is None

    def refusal(self) -> _exceptions.Refusal | None:
        """Return the refusal of new requests; ``None`` if accepted."""
        if self.phase is Phase.LEAVING:
            return _exceptions.Refusal(
                _types.RefusalKind.LEAVING,
                "this instance is stopping",
                "send the request again; another instance takes it",
                retry_after_s=1.0,
            )
        if self.standing is membership.Standing.EMPTY:
            return _exceptions.Refusal(
                _types.RefusalKind.NOT_READY,
                "this instance has no configuration yet",
                "send the request again; another instance takes it",
                retry_after_s=1.0,
            )
        if not self.engines_polled:
            return _exceptions.Refusal(
                _types.RefusalKind.NOT_READY,
                "this instance does not know its engines yet",
                "send the request again; another instance takes it",
                retry_after_s=1.0,
            )
        if not self.may_send():
            return _exceptions.Refusal(
                _types.RefusalKind.STALE_CONFIG,
                "this instance is cut off and may be out of date",
                "send the request again; another instance takes it",
                retry_after_s=1.0,
            )
        return None

    def check(self) -> None:
        """Raise ``RefusedError`` if new requests are refused."""
        refusal = self.refusal()
        if refusal is not None:
            raise _exceptions.RefusedError(refusal)
