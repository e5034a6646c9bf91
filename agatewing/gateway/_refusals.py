"""Refusals that the gateway sends: status, kind and retry time."""

import dataclasses
import random

from agatewing import _types
from agatewing import net

#: Retry-After if all known targets of the service are failing, in seconds:
#: as long as the first backoff for a target that accepts no connections.
NO_TARGET_RETRY_S = 0.5
#: Retry-After if no target of the service is known, in seconds: targets whose
#: entries expired publish them again within two seconds.
UNKNOWN_TARGETS_RETRY_S = 2.1
#: Jitter added to a retry time, as a share of it, so that callers do not all
#: retry at once.
RETRY_JITTER = 0.3
#: Retry-After if targets rejected the request as busy, in seconds: the time
#: of a few requests to a plain service.
OVERLOADED_RETRY_S = 0.1
#: Least and most time over which callers are spread that come back after the
#: same back-off of targets, in seconds.
MIN_SPREAD_S = 0.1
MAX_SPREAD_S = 1.0
#: Retry-After of an instance without a configuration, in seconds: while it
#: starts, and while the log that holds the configuration is unavailable.
NOT_READY_RETRY_S = 0.2
LOG_UNAVAILABLE_RETRY_S = 2.5
#: Retry-After of an instance that stops, in seconds: other instances serve,
#: and callers open a new connection for each try.
LEAVING_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRefusal:
    """A final answer that the gateway itself gives to a caller."""

    #: HTTP status code.
    status: int
    #: Kind of the refusal.
    kind: _types.RefusalKind
    #: Cause, as text for a person.
    detail: str
    #: Time after which a retry is useful, in seconds; ``None`` if no retry
    #: is suggested.
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the body of the answer, as plain text."""
        return f"{self.kind}: {self.detail}\n".encode()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers without those of the message framing."""
        fields = [(b"Content-Type", b"text/plain")]
        if self.retry_after_s is not None:
            value = f"{self.retry_after_s:.2f}".encode()
            fields.append((b"Retry-After", value))
        return fields

    def reason(self) -> str:
        """Return the status code and its reason phrase."""
        return net.status_line(self.status)


class GatewayRefusedError(Exception):
    """Raised by handlers to answer the request with a refusal."""

    def __init__(self, refusal: GatewayRefusal) -> None:
        super().__init__(f"{refusal.kind}: {refusal.detail}")
        self.refusal = refusal


def not_found(host: str, path: str) -> GatewayRefusal:
    """Return the refusal of a request that no route matches."""
    return GatewayRefusal(
        404,
        _types.RefusalKind.NOT_FOUND,
        f"no route for {host}{path}; ask the operators to add one",
    )


def unknown_key() -> GatewayRefusal:
    """Return the refusal of a request without a key of an account."""
    return GatewayRefusal(
        401,
        _types.RefusalKind.UNKNOWN_KEY,
        "the request names no account; send exactly one key that the "
        "operators have given out",
    )


def bad_request(detail: str, status: int = 400) -> GatewayRefusal:
    """Return the refusal of a malformed request."""
    return GatewayRefusal(status, _types.RefusalKind.BAD_REQUEST, detail)


def too_large(limit: int) -> GatewayRefusal:
    """Return the refusal of a body over ``limit`` bytes."""
    return GatewayRefusal(
        413,
        _types.RefusalKind.TOO_LARGE,
        f"the body is over {limit} bytes; send a shorter one",
    )


def not_ready(log_unavailable: bool, rng: random.Random) -> GatewayRefusal:
    """Return the refusal of an instance without a configuration.

    ``log_unavailable`` says whether the log that holds the configuration
    is unavailable.
    """
    base_s = LOG_UNAVAILABLE_RETRY_S if log_unavailable else NOT_READY_RETRY_S
    return GatewayRefusal(
        503,
        _types.RefusalKind.NOT_READY,
        "this instance has no configuration yet; ask another one",
        base_s * (1 + RETRY_JITTER * rng.random()),
    )


def no_target(
    service: str, targets_known: bool, rng: random.Random
) -> GatewayRefusal:
    """Return the refusal if no target of a service accepts requests.

    ``targets_known`` says whether any target of the service is known.
    """
    base_s = NO_TARGET_RETRY_S if targets_known else UNKNOWN_TARGETS_RETRY_S
    return GatewayRefusal(
        503,
        _types.RefusalKind.NO_TARGET,
        f"no target of {service} takes new work; come back later",
        base_s * (1 + RETRY_JITTER * rng.random()),
    )


def unknown_stream(rng: random.Random) -> GatewayRefusal:
    """Return the refusal of a stream whose software version is not known."""
    return GatewayRefusal(
        503,
        _types.RefusalKind.STREAM_LOST,
        "no instance knows which software version began the stream; send "
        "the request without Last-Event-Id to begin a new one",
        NO_TARGET_RETRY_S * (1 + RETRY_JITTER * rng.random()),
    )


def no_version(
    service: str, software: str, rng: random.Random
) -> GatewayRefusal:
    """Return the refusal of a stream whose software version has no engine."""
    return GatewayRefusal(
        503,
        _types.RefusalKind.STREAM_LOST,
        f"no engine of {service} decodes with software {software}, which "
        "began the stream; come back later, or send the request without "
        "Last-Event-Id to begin a new one",
        NO_TARGET_RETRY_S * (1 + RETRY_JITTER * rng.random()),
    )


def overloaded(
    reason: str, retry_after_s: float = OVERLOADED_RETRY_S
) -> GatewayRefusal:
    """Return the refusal of a request that certainly did not run."""
    return GatewayRefusal(
        503, _types.RefusalKind.OVERLOADED, reason, retry_after_s
    )


def too_many_connections() -> GatewayRefusal:
    """Return the refusal at the bound of connections; nothing has run."""
    return overloaded(
        "this instance has too many connections; ask another one",
        LEAVING_RETRY_S,
    )


def targets_back_off(
    service: str, left_s: float, rng: random.Random
) -> GatewayRefusal:
    """Return the refusal while all targets of a service want no requests.

    ``left_s`` is the time until the first of them does, in seconds. Callers
    are told different times, so that they do not all come back at once.
    """
    spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, left_s * RETRY_JITTER))
    return overloaded(
        f"all targets of {service} want no requests now; come back later",
        # Not earlier than that, also after rounding.
        left_s + 0.01 + spread_s * rng.random(),
    )


def links_lost(
    service: str, reason: str, rng: random.Random
) -> GatewayRefusal:
    """Return the refusal if no peer serves a request for this instance.

    ``reason`` says why.
    """
    return GatewayRefusal(
        503,
        _types.RefusalKind.NO_TARGET,
        f"this instance does not reach the targets of {service}, and "
        f"{reason}; ask another one",
        LEAVING_RETRY_S * (1 + RETRY_JITTER * rng.random()),
    )


def leaving(rng: random.Random) -> GatewayRefusal:
    """Return the refusal of a request that an instance has no time for."""
    return GatewayRefusal(
        503,
        _types.RefusalKind.LEAVING,
        "this instance stops; ask another one",
        LEAVING_RETRY_S * (1 + RETRY_JITTER * rng.random()),
    )


def caller_closed(maybe_ran: bool) -> GatewayRefusal:
    """Return the refusal of a request whose caller has closed its side.

    ``maybe_ran`` says whether a target may have run it.
    """
    reason = (
        "the connection was closed from the caller's side; keep both sides "
        "open until the answer has come"
    )
    return outcome_unknown(reason) if maybe_ran else overloaded(reason)


def unread() -> GatewayRefusal:
    """Return the refusal of a request that a defect kept from being read."""
    return overloaded(
        "this instance failed to read the request; ask another one"
    )


def quarantined(reason: str, remedy: str, left_s: float) -> GatewayRefusal:
    """Return the refusal of a request on which targets would crash.

    ``remedy`` says what to do at once, ``left_s`` is the time until it may
    be tried again, in seconds.
    """
    return GatewayRefusal(
        503,
        _types.RefusalKind.QUARANTINED,
        f"{reason}; {remedy}, or come back later",
        max(left_s, OVERLOADED_RETRY_S),
    )


def outcome_unknown(reason: str) -> GatewayRefusal:
    """Return the refusal of a request that may have run."""
    return GatewayRefusal(502, _types.RefusalKind.TARGET_FAILED, reason)


def timed_out(reason: str) -> GatewayRefusal:
    """Return the refusal of a request that timed out and may have run."""
    return GatewayRefusal(504, _types.RefusalKind.DEADLINE, reason)
