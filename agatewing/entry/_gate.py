"""Whether this instance may take new work, and why not."""

import enum

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import membership


#: Age up to which a judgement of the standing holds, in seconds.
JUDGED_LIMIT_S = 1.0
#: Standings in which work may be sent.
SERVING = frozenset({membership.Standing.CURRENT, membership.Standing.OUTAGE})


class Phase(enum.StrEnum):
    """Life of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Gate:
    """State that every request looks at first, and before it is sent."""

    __slots__ = ("_clock", "_judged_at", "phase", "standing", "warm")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._judged_at = float("-inf")
        #: Where the process is in its life.
        self.phase = Phase.STARTING
        #: What it knows about its configuration.
        self.standing = membership.Standing.EMPTY
        #: Whether every engine was asked for its load once.
        self.warm = False

    def judge(self, standing: membership.Standing) -> None:
        """Take a new judgement of the standing."""
        self.standing = standing
        self._judged_at = self._clock.monotonic()

    def may_send(self) -> bool:
        """Return whether work may leave the process now.

        A process that stood still has no right to its last judgement.
        """
        age = self._clock.monotonic() - self._judged_at
        if age > JUDGED_LIMIT_S:
            return False
        return self.standing in SERVING

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new requests."""
        return self.refusal() is None

    def refusal(self) -> _exceptions.Refusal | None:
        """Return why new work is refused, or ``None``."""
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
        if not self.warm:
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
        """Raise if new work is refused."""
        refusal = self.refusal()
        if refusal is not None:
            raise _exceptions.RefusedError(refusal)
