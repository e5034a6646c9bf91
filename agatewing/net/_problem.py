"""Encode refusals as application/problem+json (RFC 9457)."""

import math

import msgspec

from agatewing import _exceptions
from agatewing import _types

CONTENT_TYPE = "application/problem+json"

#: Prefix of problem type URNs; the kind of refusal follows.
TYPE_PREFIX = "urn:agatewing:problem:"

_REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}

BAD_HEAD = _exceptions.Refusal(
    _types.RefusalKind.BAD_REQUEST,
    "the request's head is not valid HTTP/1.1",
    "send a request line and header fields as RFC 9112 defines them",
)
LARGE_HEAD = _exceptions.Refusal(
    _types.RefusalKind.TOO_LARGE,
    "the request's head is too large",
    "send fewer or shorter header fields",
)
SLOW_HEAD = _exceptions.Refusal(
    _types.RefusalKind.SLOW_SENDER,
    "the request's head did not arrive in time",
    "send the head in one piece",
    retry_after_s=1.0,
)
NOT_FINISHED = _exceptions.Refusal(
    _types.RefusalKind.INTERNAL,
    "the instance stopped, or failed, before it had an answer",
    "ask for the outcome before you send the request again",
    _types.Outcome.UNKNOWN,
)


class Problem(msgspec.Struct, omit_defaults=True):
    """JSON body of a refusal."""

    # URN of the kind of refusal.
    type: str
    # Kind of refusal in words.
    title: str
    # HTTP status code.
    status: int
    # What happened.
    detail: str
    # What the caller can do.
    remedy: str
    # Whether the request may have had an effect: ``not-run`` or
    # ``unknown``.
    outcome: _types.Outcome
    # Time after which a retry makes sense, in seconds.
    retry_after_s: float | None = None


def status_line(code: int) -> str:
    """Return the status code with its reason phrase."""
    return f"{code} {_REASON_PHRASES.get(code, 'Other')}"


def encode(refusal: _exceptions.Refusal) -> bytes:
    """Return the problem document of a refusal as JSON."""
    return msgspec.json.encode(
        Problem(
            TYPE_PREFIX + refusal.kind,
            refusal.kind.replace("-", " "),
            refusal.status,
            refusal.detail,
            refusal.remedy,
            refusal.outcome,
            refusal.retry_after_s,
        )
    )


def headers(
    refusal: _exceptions.Refusal, body: bytes
) -> list[tuple[str, str]]:
    """Return the header fields of a refusal."""
    fields = [
        ("Content-Type", CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        ("Cache-Control", "no-store"),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        fields.append(("Retry-After", str(seconds)))
    if refusal.kind is _types.RefusalKind.BAD_TOKEN:
        fields.append(("WWW-Authenticate", "Bearer"))
    return fields


def raw_response(refusal: _exceptions.Refusal) -> tuple[str, bytes]:
    """Return the status and the whole HTTP response of a refusal.

    The response closes the connection.
    """
    body = encode(refusal)
    status = status_line(refusal.status)
    fields = [*headers(refusal, body), ("Connection", "close")]
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in fields)]
    head = "\r\n".join([*lines, "", ""])
    return status, head.encode("latin-1") + body
