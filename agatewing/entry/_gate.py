"""Whether this instance may take new work, and why not."""

import dataclasses
import enum

from agatewing import _exceptions
from agatewing import _types
from agatewing import membership


class Phase(enum.StrEnum):
    """Life of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class Gate:
    """State that every request looks at first."""

    #: Where the process is in its life.
    phase: Phase = Phase.STARTING
    #: What it knows about its configuration.
    standing: membership.Standing = membership.Standing.EMPTY
    #: Whether every engine was asked for its load once.
    warm: bool = False

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
        if self.standing is membership.Standing.STALE:
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
