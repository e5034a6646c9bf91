"""Errors of the package; each message names the remedy."""

import dataclasses

from agatewing import _types


class AgatewingError(Exception):
    """Base class of every error that this package raises."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of one request, as sent to the caller."""

    #: Why the request is refused.
    kind: _types.RefusalKind
    #: Explanation for a human reader.
    detail: str
    #: What the caller can do about it.
    remedy: str
    #: Whether the request certainly had no effect, or may have had one.
    outcome: _types.Outcome = _types.Outcome.NOT_RUN
    #: Seconds after which a retry makes sense; ``None`` for never.
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the refusal."""
        return _types.STATUS_OF_KIND[self.kind]


class RefusedError(AgatewingError):
    """Raised to refuse a request; the HTTP application answers with it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind}: {refusal.detail}")
        self.refusal = refusal


class LogUnavailableError(AgatewingError):
    """The log service gave no usable answer; an append may have happened."""

    def __init__(self, stream: str, cause: str) -> None:
        super().__init__(
            f"log stream {stream!r} gave no usable answer ({cause}); look "
            "for the id of an append in the stream before trying it again"
        )
        self.stream = stream


class LogRefusedError(AgatewingError):
    """The log service refused an append; nothing was appended.

    The status is also 429 if the queue of this instance was full. It is 0
    if no connection opened or the record's time ran out before a send.
    """

    def __init__(self, stream: str, status: int) -> None:
        super().__init__(
            f"log stream {stream!r} refused the append with status "
            f"{status}; lower the append rate if it is 429 or 503, "
            "otherwise check the log service and the record"
        )
        self.stream = stream
        self.status = status


class ConnectRefusedError(AgatewingError):
    """The connection could not be opened; nothing was sent."""

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(
            f"{address} accepted no connection ({cause}); check that the "
            "target runs or drain it"
        )
        self.address = address


class TargetSilentError(AgatewingError):
    """A connection timed out or broke; the request may have been sent."""

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(
            f"{address} went silent ({cause}); the call may have run, "
            "resume it on a new connection or report its outcome as unknown"
        )
        self.address = address


class TargetOverdueError(TargetSilentError):
    """Nothing came in time on an open connection, which proves nothing.

    The target may still answer the request.
    """


class ConnectTimeoutError(ConnectRefusedError):
    """The connection did not open in time; nothing was sent."""


class ProtocolError(AgatewingError):
    """A peer, target or platform service sent a malformed message."""

    def __init__(self, source: str, cause: str) -> None:
        super().__init__(
            f"{source} sent a malformed message ({cause}); compare its "
            "version with docs/INTERFACES.md"
        )
        self.source = source


class SettingsError(AgatewingError):
    """A settings or configuration file has faults, one a line."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class InvariantError(AgatewingError):
    """An invariant of the system was violated; always a defect."""

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(
            f"invariant {invariant} broken: {detail}; keep the time line and "
            "file a defect"
        )
        self.invariant = invariant
