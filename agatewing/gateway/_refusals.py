"""Refusals of the gateway: status, reason and when to come back."""

import dataclasses
import random

from agatewing import _types
from agatewing import net

#: Time after which a request may return that found all targets failing, in
#: seconds: the first pause for a target that accepts no connections.
NO_TARGET_RETRY_S = 0.5
#: Time after which a request may return that found no target known, in
#: seconds: entries that lapsed are back within two seconds.
UNKNOWN_TARGETS_RETRY_S = 2.1
#: Part by which that time is spread, so that callers do not all return at
#: once.
SPREAD = 0.3
#: Time after which a request may return that a busy target turned away,
#: in seconds: a few requests of a plain service later.
BUSY_RETRY_S = 0.1
#: Time after which a process without a configuration may be asked again, in
#: seconds: while it starts, and while the log from which it learns the
#: configuration is away.
NOT_READY_RETRY_S = 0.2
LOG_AWAY_RETRY_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRefusal:
    """A final answer of the system's own."""

    #: HTTP status code.
    status: int
    #: Why, from the product's list.
    kind: _types.RefusalKind
    #: What happened, for a person.
    detail: str
    #: Seconds after which a retry makes sense; ``None`` for none.
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the text of the answer."""
        return f"{self.kind}: {self.detail}\n".encode()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers without framing."""
        fields = [(b"Content-Type", b"text/plain")]
        if self.retry_after_s is not None:
            value = f"{self.retry_after_s:.2f}".encode()
            fields.append((b"Retry-After", value))
        return fields

    def reason(self) -> str:
        """Return the status line without the protocol."""
        return net.status_line(self.status)


class GatewayRefusedError(Exception):
    """Carries a refusal up to the connection that answers it."""

    def __init__(self, refusal: GatewayRefusal) -> None:
        super().__init__(f"{refusal.kind}: {refusal.detail}")
        self.refusal = refusal


def not_found(host: str, path: str) -> GatewayRefusal:
    """Return the answer where no route matches."""
    return GatewayRefusal(
        404,
        _types.RefusalKind.NOT_FOUND,
        f"no route for {host}{path}; ask the operators to add one",
    )


def bad_request(detail: str, status: int = 400) -> GatewayRefusal:
    """Return the answer to a malformed request."""
    return GatewayRefusal(status, _types.RefusalKind.BAD_REQUEST, detail)


def too_large(limit: int) -> GatewayRefusal:
    """Return the answer to a body over the limit."""
    return GatewayRefusal(
        413,
        _types.RefusalKind.TOO_LARGE,
        f"the body is over {limit} bytes; send a shorter one",
    )


def not_ready(log_away: bool, rng: random.Random) -> GatewayRefusal:
    """Return the answer of a process without a configuration.

    ``log_away`` says whether the log refused to tell it.
    """
    least = LOG_AWAY_RETRY_S if log_away else NOT_READY_RETRY_S
    return GatewayRefusal(
        503,
        _types.RefusalKind.NOT_READY,
        "this instance has no configuration yet; ask another one",
        least * (1 + SPREAD * rng.random()),
    )


def no_target(service: str, known: bool, rng: random.Random) -> GatewayRefusal:
    """Return the answer where no target takes new work.

    ``known`` says whether any target of the service is known.
    """
    least = NO_TARGET_RETRY_S if known else UNKNOWN_TARGETS_RETRY_S
    return GatewayRefusal(
        503,
        _types.RefusalKind.NO_TARGET,
        f"no target of {service} takes new work; come back later",
        least * (1 + SPREAD * rng.random()),
    )


def busy(reason: str, retry_after_s: float = BUSY_RETRY_S) -> GatewayRefusal:
    """Return the answer where targets turned the request away unrun."""
    return GatewayRefusal(
        503, _types.RefusalKind.OVERLOADED, reason, retry_after_s
    )


def unknown(reason: str) -> GatewayRefusal:
    """Return the answer where the request may have run."""
    return GatewayRefusal(502, _types.RefusalKind.TARGET_FAILED, reason)


def timed_out(reason: str) -> GatewayRefusal:
    """Return the answer where the time is over and it may have run."""
    return GatewayRefusal(504, _types.RefusalKind.DEADLINE, reason)
