"""The WSGI server: no delayed writes, bounded heads, slow senders cut."""

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


def reply_json(
    start_response: StartResponse, code: int, body: object
) -> collections.abc.Iterable[bytes]:
    """Send plain data or structs as JSON."""
    raw = msgspec.json.encode(body)
    fields = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(raw))),
    ]
    start_response(_problem.status_line(code), fields)
    return [raw]


class _BoundedReader:
    """Counts the bytes of one head and cuts it off at a limit."""

    __slots__ = ("_file", "_left", "exceeded")

    def __init__(self, file: typing.Any, limit: int) -> None:
        self._file = file
        self._left = limit
        self.exceeded = False

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; empty once the limit is passed."""
        line: bytes = self._file.readline(size)
        self._left -= len(line)
        if self._left < 0:
            self.exceeded = True
            return b""
        return line


class Handler(pywsgi.WSGIHandler):
    """Serves one connection."""

    rfile: typing.Any

    def __init__(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        server: "Server",
        rfile: typing.Any = None,
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def read_requestline(self) -> str:
        """Wait for a request, at most the keep-alive time."""
        with gevent.Timeout(KEEP_ALIVE_S, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head within its limits of time and size."""
        server: Server = self.server
        timeout = gevent.Timeout(server.head_timeout_s)
        timeout.start()
        plain = self.rfile
        bounded = _BoundedReader(plain, server.max_header_bytes)
        self.rfile = bounded
        try:
            return super().read_request(raw_requestline)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            raise _HeadError(_problem.SLOW_HEAD) from exc
        finally:
            timeout.close()
            self.rfile = plain
            if bounded.exceeded:
                raise _HeadError(_problem.LARGE_HEAD)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Answer a bad head with a problem document."""
        refusal = (
            ex.refusal if isinstance(ex, _HeadError) else (_problem.BAD_HEAD)
        )
        status, raw = _problem.raw_response(refusal)
        return status, raw

    def log_request(self) -> None:
        """Leave request logs to the application."""


class _HeadError(ValueError):
    """The head of a request broke a limit."""

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
        super().__init__(
            (host, port),
            application,
            spawn=gevent.pool.Pool(max_connections),
            log=None,
            error_log=_log,
            backlog=1_024,
        )

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self.server_port)
