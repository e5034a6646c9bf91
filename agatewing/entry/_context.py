"""One caller request on its way through the edge."""

import dataclasses
import uuid

import gevent

from agatewing import _exceptions
from agatewing import _types
from agatewing.entry import _identity
from agatewing import net

#: Header with the time the caller allows, in seconds.
DEADLINE_HEADER = "HTTP_AGATEWING_DEADLINE"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose caller is known."""

    #: Id of the request in logs and on the time line.
    id: str
    #: HTTP method.
    method: str
    #: Path.
    path: str
    #: Query string.
    query: str
    #: Content type of the body.
    content_type: str
    #: Body.
    body: bytes
    #: Who asks.
    identity: _identity.Identity
    #: Time that the caller allows; ``None`` if it names none.
    allowed_s: float | None
    #: Idempotency-Key header; empty if there is none.
    idempotency_key: str
    #: Last-Event-ID header; empty if there is none.
    last_event_id: str


def read_request(
    environ: net.Environ,
    identity: _identity.Identity,
    max_body_bytes: int,
    read_s: float,
) -> CallerRequest:
    """Read the rest of a request within its limits."""
    return CallerRequest(
        uuid.uuid4().hex[:16],
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        environ.get("CONTENT_TYPE", "") or "application/json",
        _read_body(environ, max_body_bytes, read_s),
        identity,
        _allowed_s(environ.get(DEADLINE_HEADER, "")),
        environ.get("HTTP_IDEMPOTENCY_KEY", "").strip(),
        environ.get("HTTP_LAST_EVENT_ID", "").strip(),
    )


def _allowed_s(text: str) -> float | None:
    """Return the seconds that the deadline header allows."""
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= 86_400:
        raise _exceptions.RefusedError(
            _exceptions.Refusal(
                _types.RefusalKind.BAD_REQUEST,
                "Agatewing-Deadline is not a number of seconds",
                "send seconds between 0 and 86400, such as 30",
            )
        )
    return seconds


def _read_body(environ: net.Environ, limit: int, read_s: float) -> bytes:
    """Return the body; refuse one that is too large or too slow."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if length.isdecimal() and int(length) > limit:
        raise _exceptions.RefusedError(_too_large(limit))
    with gevent.Timeout(read_s, False):
        body: bytes = environ["wsgi.input"].read(limit + 1)
        if len(body) > limit:
            raise _exceptions.RefusedError(_too_large(limit))
        if length.isdecimal() and 0 < len(body) < int(length):
            raise _exceptions.RefusedError(_truncated())
        return body
    raise _exceptions.RefusedError(
        _exceptions.Refusal(
            _types.RefusalKind.SLOW_SENDER,
            "the body did not arrive in time",
            f"send the whole body within {read_s:g} s",
            retry_after_s=1.0,
        )
    )


def _too_large(limit: int) -> _exceptions.Refusal:
    """Return the refusal of a body over the limit."""
    return _exceptions.Refusal(
        _types.RefusalKind.TOO_LARGE,
        f"the body is over {limit} bytes",
        "send a shorter body",
    )


def _truncated() -> _exceptions.Refusal:
    """Return the refusal of a body shorter than its length says."""
    return _exceptions.Refusal(
        _types.RefusalKind.BAD_REQUEST,
        "the body ended before its Content-Length",
        "send the whole body",
    )
