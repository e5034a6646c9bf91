"""A WSGI server with TCP_NODELAY and limits on request heads.

The size of the header block and the time for sending it are limited.
"""

import collections.abc
import logging
import socket
import typing

import gevent
import gevent.pool
from gevent import pywsgi
import gevent.socket
import msgspec

from agatewing.net import _problem
from agatewing.net import _turns

Environ: typing.TypeAlias = dict[str, typing.Any]
StartResponse: typing.TypeAlias = collections.abc.Callable[
    [str, list[tuple[str, str]]], typing.Any
]
Application: typing.TypeAlias = collections.abc.Callable[
    [Environ, StartResponse], collections.abc.Iterable[bytes]
]

_log = logging.getLogger("agatewing.net")

#: Time an idle keep-alive connection stays open, in seconds.
KEEP_ALIVE_S = 75.0
#: Connections that end for the sake of others for one log line.
LOG_EVERY = 1_000
#: Connections beyond the bound that are open while others end for them; so
#: many are accepted at once.
SPARE_CONNECTIONS = 16


def reply_json(
    start_response: StartResponse, code: int, body: object
) -> collections.abc.Iterable[bytes]:
    """Start a JSON response and return its body."""
    raw = msgspec.json.encode(body)
    fields = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(raw))),
    ]
    start_response(_problem.status_line(code), fields)
    return [raw]


class _PacedReader:
    """Reads from a connection in turns with the others."""

    __slots__ = ("_file", "_turn")

    def __init__(self, file: typing.Any) -> None:
        self._file = file
        self._turn = _turns.Turn()

    def read(self, size: int = -1) -> bytes:
        """Return up to ``size`` bytes; empty bytes at the end."""
        data: bytes = self._file.read(size)
        self._turn.spend(1, len(data))
        return data

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; empty bytes at the end."""
        line: bytes = self._file.readline(size)
        self._turn.spend(1, len(line))
        return line

    @property
    def closed(self) -> bool:
        """Whether the file was closed."""
        return bool(self._file.closed)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class _BoundedReader:
    """Reads the lines of one header block up to a limit in bytes."""

    __slots__ = ("_file", "_remaining", "exceeded")

    def __init__(self, file: typing.Any, limit: int) -> None:
        self._file = file
        self._remaining = limit
        self.exceeded = False

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; empty bytes beyond the limit."""
        line: bytes = self._file.readline(size)
        self._remaining -= len(line)
        if self._remaining < 0:
            self.exceeded = True
            return b""
        return line


class Handler(pywsgi.WSGIHandler):
    """Handles the requests of one connection."""

    rfile: typing.Any
    #: Whether no whole head has arrived.
    waiting = True

    def __init__(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        server: "Server",
        rfile: typing.Any = None,
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)
        self.rfile = _PacedReader(self.rfile)

    def read_requestline(self) -> str:
        """Return the next request line.

        Returns an empty text if none arrives within ``KEEP_ALIVE_S``.
        """
        self.waiting = True
        with gevent.Timeout(KEEP_ALIVE_S, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header fields within the limits of time and size.

        Raises ``_HeadError`` beyond a limit.
        """
        server: Server = self.server
        timeout = gevent.Timeout(server.head_timeout_s)
        timeout.start()
        unbounded = self.rfile
        bounded = _BoundedReader(unbounded, server.max_header_bytes)
        self.rfile = bounded
        try:
            has_head = super().read_request(raw_requestline)
            self.waiting = False
            return has_head
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            raise _HeadError(_problem.SLOW_HEAD) from exc
        finally:
            timeout.close()
            self.rfile = unbounded
            if bounded.exceeded:
                raise _HeadError(_problem.LARGE_HEAD)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return the problem document for an invalid head."""
        refusal = (
            ex.refusal if isinstance(ex, _HeadError) else (_problem.BAD_HEAD)
        )
        status, raw = _problem.raw_response(refusal)
        return status, raw

    def _send_error_response_if_possible(self, error_code: int) -> None:
        """Send the problem document of a request that was not finished."""
        if error_code != 500:
            super()._send_error_response_if_possible(error_code)
            return
        self.close_connection = True
        if self.response_length:
            return
        _, raw = _problem.raw_response(_problem.NOT_FINISHED)
        try:
            self._sendall(raw)
        except OSError as exc:
            _log.debug("net: caller disconnected: %s", exc)

    def give_way(self) -> None:
        """End the connection, on which no whole head has arrived."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError as exc:
            _log.debug("net: connection was already closed: %s", exc)

    def log_request(self) -> None:
        """Log nothing; the application logs requests."""


class _HeadError(ValueError):
    """The head of a request exceeded a limit."""

    def __init__(self, refusal: typing.Any) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Server(pywsgi.WSGIServer):
    """A WSGI server on one IP number and port."""

    handler_class = Handler

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        max_connections: int = 8_192,
        max_header_bytes: int = 32_768,
        head_timeout_s: float = 10.0,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.head_timeout_s = head_timeout_s
        self._max_connections = max_connections
        # In the order in which they were accepted.
        self._handlers: dict[Handler, None] = {}
        #: Number of connections that ended for the sake of others.
        self.gave_way = 0
        super().__init__(
            (host, port),
            application,
            spawn=gevent.pool.Pool(max_connections + SPARE_CONNECTIONS),
            log=None,
            error_log=_log,
            backlog=1_024,
        )

    def handle(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        """Serve a connection; at their bound, the oldest idle one ends."""
        if len(self._handlers) >= self._max_connections:
            self._make_way()
        handler = self.handler_class(sock, address, self)
        self._handlers[handler] = None
        try:
            handler.handle()
        finally:
            self._handlers.pop(handler, None)

    def _make_way(self) -> None:
        for handler in self._handlers:
            if handler.waiting:
                del self._handlers[handler]
                self.gave_way += 1
                if self.gave_way % LOG_EVERY == 1:
                    _log.warning(
                        "net: too many connections to port %d, %d ended",
                        self.port,
                        self.gave_way,
                    )
                handler.give_way()
                return

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self.server_port)
