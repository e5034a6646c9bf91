"""Client of the platform's log service."""

import msgspec

from agatewing import _exceptions
from agatewing import net

#: Time without an answer after which the log counts as silent, in seconds.
SILENCE_S = 2.0
#: Records asked for in one read.
READ_LIMIT = 512


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    # Place in the stream; grows by one a record.
    offset: int
    # Text that was appended.
    body: str


class LogPage(msgspec.Struct, frozen=True):
    """Answer to a read."""

    # First offset that the stream still holds.
    first: int
    # Offset that the next append gets.
    next: int
    # Time for which records are kept, in seconds.
    retention_s: float
    # Records from the offset asked for.
    records: tuple[LogRecord, ...] = ()


class _Appended(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


_page_decoder = msgspec.json.Decoder(LogPage)
_appended_decoder = msgspec.json.Decoder(_Appended)


class LogClient:
    """Appends to and reads from the streams of the log service."""

    __slots__ = ("_client",)

    def __init__(self, url: str) -> None:
        self._client = net.HttpClient(
            url.removeprefix("http://").rstrip("/"),
            connect_timeout_s=1.0,
            silence_timeout_s=SILENCE_S,
        )

    def append(self, stream: str, body: str) -> int:
        """Append one record and return its offset.

        Raises LogUnavailableError if the append may have happened, and
        LogRefusedError if it did not.
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
            return _appended_decoder.decode(answer.body).offset
        except msgspec.MsgspecError as exc:
            raise _exceptions.LogUnavailableError(stream, str(exc)) from exc

    def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return records from ``start``; wait for one if there is none."""
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
        except msgspec.MsgspecError as exc:
            raise _exceptions.LogUnavailableError(stream, str(exc)) from exc

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
