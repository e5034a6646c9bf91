"""HTTP clients that notice silence and never repeat a call by themselves."""

import collections.abc
import dataclasses
import socket
import typing

import gevent
import gevent.socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response

from agatewing import _exceptions
from agatewing.net import _address

#: Largest block read from a connection at once, in bytes.
READ_BLOCK_BYTES = 65_536
#: Connections of one client to one address.
MAX_CONNECTIONS = 4_096
#: Time after which an idle connection is not used again, in seconds.
IDLE_LIMIT_S = 4.0
#: Largest whole answer read from a target or platform service, in bytes.
MAX_ANSWER_BYTES = 64_000_000
#: Probes of an idle connection: after one second, each second, and broken
#: after two without an answer; something between may have lost track.
KEEP_ALIVE = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}

MaySend: typing.TypeAlias = collections.abc.Callable[[], bool]
Headers: typing.TypeAlias = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP answer."""

    #: Status code.
    status: int
    #: Content type; empty if the answer names none.
    content_type: str
    #: Body.
    body: bytes


class SendForbiddenError(_exceptions.AgatewingError):
    """The guard of a call said no just before the send."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"the call to {address} was not sent; its authority ended, "
            "make a new call"
        )


class _Pool(connectionpool.ConnectionPool):
    """A connection pool with TCP_NODELAY and a limit on idle time."""

    def after_connect(self, sock: gevent.socket.socket) -> None:
        """Switch off the delay of small writes; probe idle connections."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEP_ALIVE.items():
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Stamp the connection and keep it for the next call."""
        self._idle_since()[id(sock)] = gevent.get_hub().loop.now()
        super().return_socket(sock)

    def _is_socket_alive(self, sock: gevent.socket.socket | None) -> bool:
        """Treat a connection that idled for long as silent."""
        since = self._idle_since().pop(id(sock), None)
        now = gevent.get_hub().loop.now()
        if since is not None and now - since > IDLE_LIMIT_S:
            return False
        return super()._is_socket_alive(sock)

    def _idle_since(self) -> dict[int, float]:
        if not hasattr(self, "_idle"):
            self._idle: dict[int, float] = {}
        return self._idle


class StreamAnswer:
    """An HTTP answer whose body is read as it arrives."""

    __slots__ = ("_response", "_address")

    def __init__(
        self,
        response: http_response.HTTPSocketPoolResponse,
        address: str,
    ) -> None:
        self._response = response
        self._address = address

    @property
    def status(self) -> int:
        """Status code."""
        return self._response.status_code

    @property
    def content_type(self) -> str:
        """Content type; empty if the answer names none."""
        return str(self._response.get("content-type", "") or "")

    def read_available(self) -> bytes:
        """Return what has arrived; empty at the end of the body."""
        response = self._response
        buffer = response._body_buffer
        try:
            while not buffer and not response.message_complete:
                sock = response._sock
                if sock is None:
                    raise _exceptions.TargetSilentError(
                        self._address, "connection closed"
                    )
                data = sock.recv(READ_BLOCK_BYTES)
                response.feed(data)
                if not data and not response.message_complete:
                    raise _exceptions.TargetSilentError(
                        self._address, "connection closed in mid-answer"
                    )
        except (OSError, http_response.HTTPParseError) as exc:
            self.close()
            raise _exceptions.TargetSilentError(
                self._address, str(exc)
            ) from exc
        data = bytes(buffer)
        del buffer[:]
        return data

    def read_all(self, limit: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body, up to ``limit`` bytes."""
        parts: list[bytes] = []
        size = 0
        while part := self.read_available():
            parts.append(part)
            size += len(part)
            if size > limit:
                self.close()
                raise _exceptions.ProtocolError(
                    self._address, f"answer over {limit} bytes"
                )
        return b"".join(parts)

    def close(self) -> None:
        """Give the connection up if the answer was not read whole."""
        self._response.release()


class HttpClient:
    """Calls to one address over pooled connections."""

    __slots__ = ("address", "_client")

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = 1.0,
        silence_timeout_s: float = 5.0,
        connections: int = MAX_CONNECTIONS,
    ) -> None:
        #: IP number and port.
        self.address = address
        host, port = _address.split_address(address)
        self._client = geventhttpclient.HTTPClient(
            host,
            port,
            connection_timeout=connect_timeout_s,
            network_timeout=silence_timeout_s,
            concurrency=connections,
            block_size=READ_BLOCK_BYTES,
        )
        old = self._client._connection_pool
        self._client._connection_pool = _Pool(
            old._connection_host,
            old._connection_port,
            old._request_host,
            old._request_port,
            size=connections,
            connection_timeout=connect_timeout_s,
            network_timeout=silence_timeout_s,
        )

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers | None = None,
        may_send: MaySend | None = None,
    ) -> StreamAnswer:
        """Send a request and return once the answer's head is here.

        ``may_send`` is asked once a connection stands; nothing yields
        between its answer and the send.
        """
        if may_send is not None:
            self._connect()
            if not may_send():
                raise SendForbiddenError(self.address)
        try:
            response = self._client.request(
                method, path, body, dict(headers or {})
            )
        except ConnectionRefusedError as exc:
            raise _exceptions.ConnectRefusedError(
                self.address, str(exc)
            ) from exc
        except (OSError, http_response.HTTPParseError) as exc:
            raise _exceptions.TargetSilentError(
                self.address, str(exc) or type(exc).__name__
            ) from exc
        return StreamAnswer(response, self.address)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers | None = None,
        may_send: MaySend | None = None,
    ) -> HttpAnswer:
        """Send a request and return the whole answer."""
        answer = self.open(method, path, body, headers, may_send)
        return HttpAnswer(
            answer.status, answer.content_type, answer.read_all()
        )

    def _connect(self) -> None:
        """Have a connection ready for the next request."""
        pool = self._client._connection_pool
        try:
            pool.return_socket(pool.get_socket())
        except OSError as exc:
            raise _exceptions.ConnectRefusedError(
                self.address, str(exc)
            ) from exc

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


class CallOnce(typing.Protocol):
    """The signature of :func:`call_once`, for stand-ins of a network."""

    def __call__(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
        timeout_s: float,
        may_send: MaySend = ...,
    ) -> HttpAnswer:
        """Make one call on a new connection, never sent twice."""


def call_once(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: Headers,
    timeout_s: float,
    may_send: MaySend = lambda: True,
) -> HttpAnswer:
    """Make one call on a new connection, never sent twice.

    A pooled connection may have gone silent; a new one either comes
    about or provably carried nothing. ``may_send`` is asked once the
    connection stands; nothing yields between its answer and the send.
    """
    client = HttpClient(
        address,
        connect_timeout_s=min(1.0, timeout_s),
        silence_timeout_s=timeout_s,
        connections=1,
    )
    sent = False

    def may_send_now() -> bool:
        nonlocal sent
        sent = may_send()
        return sent

    try:
        return client.call(method, path, body, headers, may_send_now)
    except _exceptions.ConnectRefusedError as exc:
        if not sent:
            raise
        raise _exceptions.TargetSilentError(address, str(exc)) from exc
    finally:
        client.close()
