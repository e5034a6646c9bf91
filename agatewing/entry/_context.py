"""Reads the requests of callers."""

import dataclasses
import uuid

import gevent

from agatewing import _exceptions
from agatewing import _types
from agatewing import callers
from agatewing.entry import _crashes
from agatewing.entry import _identity
from agatewing import net

#: Bytes of a body that are read at once, and for which it needs room.
PIECE_BYTES = 16_384
#: WSGI name of the header with the caller's timeout, in seconds.
DEADLINE_HEADER = "HTTP_AGATEWING_DEADLINE"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of an authenticated caller."""

    #: Id of the request in logs and on the time line.
    id: str
    #: HTTP method.
    method: str
    #: Path without the query string.
    path: str
    #: Query string without the question mark.
    query: str
    #: Content type of the body.
    content_type: str
    #: Whole body.
    body: bytes
    #: Caller account.
    identity: _identity.Identity
    #: Timeout that the caller set, in seconds; ``None`` if it set none.
    timeout_s: float | None
    #: Idempotency-Key header; empty if there is none.
    idempotency_key: str
    #: Last-Event-ID header; empty if there is none.
    last_event_id: str
    # Hash once it was computed.
    _key: int | None = dataclasses.field(
        default=None, init=False, repr=False, compare=False
    )

    @property
    def key(self) -> int:
        """Hash of what is the same each time that the request comes.

        It is computed on first use, as bodies may be large.
        """
        if self._key is None:
            key = _crashes.request_key(
                self.identity.name, self.method, self.path, self.body
            )
            object.__setattr__(self, "_key", key)
            return key
        return self._key


def read_request(
    environ: net.Environ,
    identity: _identity.Identity,
    max_body_bytes: int,
    read_timeout_s: float,
    room: callers.BodyRoom,
    share: callers.BodyShare,
) -> CallerRequest:
    """Read the header fields and the body of a request.

    The body takes its share of a room; the caller of this function gives it
    back.

    Raises ``RefusedError`` if the body is larger than ``max_body_bytes``,
    finds no room, does not arrive within ``read_timeout_s`` seconds or is
    truncated, or if the timeout header is malformed.
    """
    return CallerRequest(
        uuid.uuid4().hex[:16],
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        environ.get("CONTENT_TYPE", "") or "application/json",
        _read_body(environ, max_body_bytes, read_timeout_s, room, share),
        identity,
        _parse_timeout(environ.get(DEADLINE_HEADER, "")),
        environ.get("HTTP_IDEMPOTENCY_KEY", "").strip(),
        environ.get("HTTP_LAST_EVENT_ID", "").strip(),
    )


def _parse_timeout(text: str) -> float | None:
    """Return the timeout in the deadline header, in seconds.

    Returns ``None`` if the header is missing.
    """
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


def body_length(environ: net.Environ) -> int | None:
    """Return the announced length of a body; ``None`` if it is not known."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdecimal():
        return int(length)
    return None if environ.get("HTTP_TRANSFER_ENCODING") else 0


def _read_body(
    environ: net.Environ,
    limit: int,
    read_timeout_s: float,
    room: callers.BodyRoom,
    share: callers.BodyShare,
) -> bytes:
    """Return the body; refuse one that is too large, slow or truncated."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if length.isdecimal() and int(length) > limit:
        raise _exceptions.RefusedError(_too_large(limit))
    with gevent.Timeout(read_timeout_s, False):
        body = _receive(environ, limit, room, share)
        if length.isdecimal() and 0 < len(body) < int(length):
            raise _exceptions.RefusedError(_truncated())
        return body
    raise _exceptions.RefusedError(
        _exceptions.Refusal(
            _types.RefusalKind.SLOW_SENDER,
            "the body did not arrive in time",
            f"send the whole body within {read_timeout_s:g} s",
            retry_after_s=1.0,
        )
    )


def _receive(
    environ: net.Environ,
    limit: int,
    room: callers.BodyRoom,
    share: callers.BodyShare,
) -> bytes:
    """Return a body that is read in pieces, each as there is room for it."""
    body = bytearray()
    while True:
        try:
            room.grow(share, PIECE_BYTES, float("inf"))
        except callers.NoRoomError as exc:
            raise _exceptions.RefusedError(_no_room(environ)) from exc
        piece = environ["wsgi.input"].read(PIECE_BYTES)
        room.shrink(share, PIECE_BYTES - len(piece))
        body += piece
        if len(body) > limit:
            raise _exceptions.RefusedError(_too_large(limit))
        if len(piece) < PIECE_BYTES:
            return bytes(body)


def _no_room(environ: net.Environ) -> _exceptions.Refusal:
    """Return the refusal of a body that others left no room for.

    An earlier try with the same idempotency key may have run.
    """
    keyed = bool(environ.get("HTTP_IDEMPOTENCY_KEY"))
    return _exceptions.Refusal(
        _types.RefusalKind.OVERLOADED,
        "the bodies of other requests left no room for this one",
        "come back later, or ask another instance",
        _types.Outcome.UNKNOWN if keyed else _types.Outcome.NOT_RUN,
        retry_after_s=1.0,
    )


def _too_large(limit: int) -> _exceptions.Refusal:
    """Return the refusal of a body over the limit."""
    return _exceptions.Refusal(
        _types.RefusalKind.TOO_LARGE,
        f"the body is over {limit} bytes",
        "send a shorter body",
    )


def _truncated() -> _exceptions.Refusal:
    """Return the refusal of a body shorter than its Content-Length."""
    return _exceptions.Refusal(
        _types.RefusalKind.BAD_REQUEST,
        "the body ended before its Content-Length",
        "send the whole body",
    )
