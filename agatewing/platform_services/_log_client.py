"""Client of the platform's log service."""

import msgspec

from agatewing import _exceptions
from agatewing import net

#: Time without an answer after which the log counts as unavailable, in
#: seconds. Must exceed the wait of a read (``LONG_POLL_S`` in ``replica``),
#: as the log sends nothing during that wait.
SILENCE_TIMEOUT_S = 2.0
#: Maximum number of records in the answer to one read.
READ_LIMIT = 512


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a log stream."""

    # Position in the stream; grows by one with each record.
    offset: int
    # Text that was appended.
    body: str


class LogPage(msgspec.Struct, frozen=True):
    """Answer to a read."""

    # Offset of the oldest record that the log still retains.
    first: int
    # Offset that the next appended record will get.
    next: int
    # Time for which the log retains records, in seconds.
    retention_s: float
    # Records from the requested offset on, in order.
    records: tuple[LogRecord, ...] = ()


class _AppendAnswer(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


_page_decoder = msgspec.json.Decoder(LogPage)
_append_decoder = msgspec.json.Decoder(_AppendAnswer)


class LogClient:
    """Appends to and reads from the streams of the log service."""

    __slots__ = ("_client",)

    def __init__(self, url: str) -> None:
        self._client = net.HttpClient(
            url.removeprefix("http://").rstrip("/"),
            connect_timeout_s=1.0,
            silence_timeout_s=SILENCE_TIMEOUT_S,
            resend=True,
        )

    def append(self, stream: str, body: str) -> int:
        """Append one record and return its offset.

        Raises ``LogRefusedError`` if nothing was appended, and
        ``LogUnavailableError`` if the outcome is unknown.
        """
        path = f"/v1/streams/{stream}/records"
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._client.call("POST", path, body.encode(), headers)
        except _exceptions.ConnectRefusedError as exc:
            raise _exceptions.LogRefusedError(stream, 0) from exc
        except _exceptions.AgatewingError as exc:
            raise _exceptions.LogUnavailableError(stream, str(exc)) from exc
        if answer.status in (429, 503, 413, 400, 404):
            raise _exceptions.LogRefusedError(stream, answer.status)
        if answer.status != 200:
            raise _exceptions.LogUnavailableError(
                stream, f"status {answer.status}"
            )
        try:
            return _append_decoder.decode(answer.body).offset
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise _exceptions.LogUnavailableError(stream, str(exc)) from exc

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return at most ``READ_LIMIT`` records from offset ``start`` on.

        If there is none, the log service waits up to ``wait_s`` seconds for
        one. Raises ``LogUnavailableError`` without a usable answer.
        """
        path = (
            f"/v1/streams/{stream}/records?from={start}"
            f"&limit={READ_LIMIT}&wait={wait_s:g}"
        )
        try:
            answer = self._client.call("GET", path)
        except _exceptions.AgatewingError as exc:
            raise _exceptions.LogUnavailableError(stream, str(exc)) from exc
        if answer.status != 200:
            raise _exceptions.LogUnavailableError(
                stream, f"status {answer.status}"
            )
        try:
            return _page_decoder.decode(answer.body)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise _exceptions.LogUnavailableError(stream, str(exc)) from exc

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
