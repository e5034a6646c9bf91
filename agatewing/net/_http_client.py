"""HTTP clients that detect silent connections and never retry a call."""

import collections.abc
import contextlib
import dataclasses
import errno
import socket
import typing

import gevent
import gevent.socket
import geventhttpclient
from geventhttpclient import client as http_client
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response
import msgspec

from agatewing import _exceptions
from agatewing.net import _address
from agatewing.net import _buffer_room
from agatewing.net import _sockets
from agatewing.net import _turns

#: Status codes of answers (RFC 9110, section 15); one outside them makes an
#: answer malformed.
STATUS_CODES = range(100, 600)
#: Maximum number of fields in the head of an answer; each takes some hundred
#: bytes for as long as the answer is read, however short it is.
MAX_FIELDS = 256
#: Maximum size of one read from a connection, in bytes.
READ_BLOCK_BYTES = 65_536
#: Steps of a turn that one read takes; it may hold thousands of chunks.
READ_STEPS = 16
#: Default limit of connections of one client.
MAX_CONNECTIONS = 4_096
#: Maximum number of bytes that are read before the head of an answer is
#: complete, or without a byte of its body.
MAX_OVERHEAD_BYTES = 131_072
#: Time that the head of an answer, or a piece of its body, may take beyond the
#: silence timeout, and the default for a whole body, in seconds.
PIECE_TIMEOUT_S = 1.0
BODY_TIMEOUT_S = 10.0
#: Time after which an idle connection is not reused, in seconds.
IDLE_LIMIT_S = 4.0
#: Maximum size of a whole answer from a target or platform service, in
#: bytes.
MAX_ANSWER_BYTES = 64_000_000
#: Number of answers of the largest size that a client may read at a time if it
#: shares no room with others.
ANSWERS_WITHOUT_ROOM = 4
#: TCP keep-alive options: the first probe after one idle second, then one
#: a second; five unanswered probes break the connection. A network device
#: in between may have dropped the connection without notice; a sound target
#: may be silent for three seconds.
KEEP_ALIVE_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 5,
}

#: Guard that is called just before a send; ``False`` forbids the send.
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
    #: Values of the headers by name in lower case; those of a header that
    #: comes several times are joined by commas.
    headers: Headers = dataclasses.field(default_factory=dict)


class SendForbiddenError(_exceptions.AgatewingError):
    """The guard of a call forbade the send, so nothing was sent.

    For example, a lease or claim was lost, the deadline passed, or the
    instance stopped serving.
    """

    def __init__(self, address: str) -> None:
        super().__init__(
            f"the call to {address} was not sent because its sender lost "
            "the permission to send; make a new call"
        )


class _Socket(_sockets.ClientSocket):
    """A socket that limits the bytes received before the head is complete."""

    # Bytes that may still be received; ``None`` for any number.
    allowed_bytes: int | None = None

    def recv(self, *args: typing.Any) -> bytes:
        """Receive bytes; raise ``OSError`` once no more are allowed."""
        if self.allowed_bytes is not None and self.allowed_bytes <= 0:
            raise OSError(errno.EMSGSIZE, "the head of the answer is too long")
        data = super().recv(*args)
        if self.allowed_bytes is not None:
            self.allowed_bytes -= len(data)
        return data


class _Pool(connectionpool.ConnectionPool):
    """A connection pool with TCP_NODELAY, keep-alive and an idle limit."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        #: Whether connections that are closed are reset.
        self.resets = False
        # Time from which a pooled connection is idle, by its ``id``.
        self._idle: dict[int, float] = {}
        # Connection that a greenlet took for a call without a head yet.
        self._opening: dict[gevent.Greenlet, gevent.socket.socket] = {}

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> gevent.socket.socket:
        return _Socket(family, socktype, protocol)

    def get_socket(self) -> gevent.socket.socket:
        """Return a connection on which a head is expected."""
        sock = super().get_socket()
        sock.allowed_bytes = MAX_OVERHEAD_BYTES
        self._opening[gevent.getcurrent()] = sock
        return sock

    def end_opening(self, opened: bool) -> None:
        """End the call that this greenlet was opening.

        If it was not opened, its connection is closed, unless the answer has
        given it back.
        """
        sock = self._opening.pop(gevent.getcurrent(), None)
        if sock is not None and not opened:
            self.release_socket(sock)

    def _forget_opening(self, sock: gevent.socket.socket) -> None:
        current = gevent.getcurrent()
        if self._opening.get(current) is sock:
            del self._opening[current]

    def after_connect(self, sock: gevent.socket.socket) -> None:
        """Set TCP_NODELAY and the keep-alive options."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEP_ALIVE_OPTIONS.items():
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Put the connection back into the pool; record the time."""
        self._forget_opening(sock)
        self._idle[id(sock)] = gevent.get_hub().loop.now()
        super().return_socket(sock)

    def release_socket(self, sock: gevent.socket.socket) -> None:
        """Close the connection and leave its place in the pool."""
        self._forget_opening(sock)
        if self.resets:
            with contextlib.suppress(OSError):
                _sockets.reset_on_close(sock)
        super().release_socket(sock)

    def _is_socket_alive(self, sock: gevent.socket.socket | None) -> bool:
        """Return whether a pooled connection may be reused.

        A connection idle for more than ``IDLE_LIMIT_S`` counts as dead.
        """
        since = self._idle.pop(id(sock), None)
        now = gevent.get_hub().loop.now()
        if since is not None and now - since > IDLE_LIMIT_S:
            return False
        return super()._is_socket_alive(sock)


class _Response(http_response.HTTPSocketPoolResponse):
    """Reads one answer, and nothing that follows it.

    The library's class adds the message after an answer to it, status, fields
    and body, and gives the connection back to the pool at the end of each
    message, be it an interim one whose answer is still to come.
    """

    # Whether the answer was read whole; interim ones do not count.
    _whole = False

    def _on_message_begin(self) -> None:
        if self._whole:
            raise http_response.HTTPProtocolViolationError(
                "bytes follow the answer"
            )
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        if self.get_code() not in STATUS_CODES:
            raise http_response.HTTPProtocolViolationError(
                f"{self.get_code()} is not a status code"
            )
        skips_body = super()._on_headers_complete()
        if self._header_position > MAX_FIELDS + 1:
            raise http_response.HTTPProtocolViolationError(
                f"the head has more than {MAX_FIELDS} fields"
            )
        coding = self.get("transfer-encoding", "chunked")
        # A list if several fields name one.
        if not isinstance(coding, str) or coding.lower() != "chunked":
            raise http_response.HTTPProtocolViolationError(
                f"transfer coding {coding!r} is not understood"
            )
        return skips_body

    def _on_message_complete(self) -> None:
        self.message_complete = True
        self._whole = self.get_code() >= 200

    def feed(self, data: str | bytes) -> None:
        """Parse bytes; give the connection back after a whole answer.

        It is closed if other bytes follow the answer, as they may belong to
        any request.
        """
        try:
            super().feed(data)
        except http_response.HTTPParseError:
            if not self._whole:
                raise
            self._trailing_data_dropped = True
        if self._whole:
            self.release()


class StreamAnswer:
    """An HTTP answer whose body is read as it arrives."""

    __slots__ = (
        "_response",
        "_address",
        "_room",
        "_timeout_s",
        "_turn",
        "_broken_off",
        "held",
    )

    def __init__(
        self,
        response: _Response,
        address: str,
        room: _buffer_room.BufferRoom,
        timeout_s: float,
    ) -> None:
        self._response = response
        self._address = address
        # Memory for bodies that are read in whole.
        self._room = room
        # Whether it was broken off to make room for others.
        self._broken_off = False
        #: Bytes of the body that are held while it is read in whole.
        self.held = 0
        # Time in which the next byte of the body must arrive, in seconds.
        self._timeout_s = timeout_s
        self._turn = _turns.Turn()

    @property
    def status(self) -> int:
        """Status code."""
        return self._response.status_code

    @property
    def content_type(self) -> str:
        """Content type; empty if the answer names none."""
        return str(self._response.get("content-type", "") or "")

    @property
    def headers(self) -> Headers:
        """Values of the headers by name in lower case.

        Those of a header that comes several times are joined by commas.
        """
        found: dict[str, str] = {}
        for name, value in self._response.items():
            key = name.lower()
            found[key] = f"{found[key]}, {value}" if key in found else value
        return found

    @property
    def ends_by_close(self) -> bool:
        """Whether the body has no length and no chunks.

        Its end is then the end of the connection.
        """
        headers = self._response
        return (
            headers.get("content-length") is None
            and headers.get("transfer-encoding") is None
        )

    def read_available(self) -> bytes:
        """Wait for body bytes and return those that have arrived.

        Returns empty bytes at the end of the body. Raises
        ``TargetOverdueError`` if the connection stays silent, and
        ``TargetSilentError`` if it breaks.
        """
        response = self._response
        buffer = response._body_buffer
        try:
            if not buffer and not response.message_complete:
                with gevent.Timeout(
                    self._timeout_s, TimeoutError("no byte of the body came")
                ):
                    self._receive()
        except TimeoutError as exc:
            self.close()
            raise _exceptions.TargetOverdueError(
                self._address, str(exc)
            ) from exc
        except (OSError, http_response.HTTPParseError) as exc:
            self.close()
            raise _exceptions.TargetSilentError(
                self._address, str(exc)
            ) from exc
        # Before the bytes are taken, as a timeout may end the wait.
        self._turn.spend(READ_STEPS, len(buffer))
        data = bytes(buffer)
        del buffer[:]
        return data

    def _receive(self) -> None:
        """Receive until a byte of the body has arrived, or its end."""
        response = self._response
        sock = response._sock
        if sock is None:
            raise _exceptions.TargetSilentError(
                self._address, "connection closed"
            )
        sock.allowed_bytes = MAX_OVERHEAD_BYTES
        while not response._body_buffer and not response.message_complete:
            data = sock.recv(READ_BLOCK_BYTES)
            response.feed(data)
            if not data and not response.message_complete:
                raise _exceptions.TargetSilentError(
                    self._address,
                    "connection closed before the end of the answer",
                )

    def read_all(self, limit: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body.

        Raises ``ProtocolError`` if it is longer than ``limit`` bytes, or the
        longest of those that have no room together.
        """
        blocks: list[bytes] = []
        size = 0
        try:
            while block := self.read_available():
                blocks.append(block)
                size += len(block)
                if size > limit:
                    self.close()
                    raise _exceptions.ProtocolError(
                        self._address, f"answer is longer than {limit} bytes"
                    )
                self._room.record(self, size)
                if self._broken_off:
                    break
        except _exceptions.TargetSilentError:
            if not self._broken_off:
                raise
        except TimeoutError as exc:
            raise TimeoutError(f"{exc}, {size} bytes arrived") from exc
        finally:
            self._room.record(self, 0)
        if self._broken_off:
            raise _exceptions.ProtocolError(
                self._address,
                f"answer of {size} bytes and more finds no room beside others",
            )
        return b"".join(blocks)

    def break_off(self) -> None:
        """Close the connection, as answers take too much memory together."""
        self._broken_off = True
        self._room.record(self, 0)
        self.close()

    def close(self) -> None:
        """Release the connection; close it unless the body was read whole."""
        self._response.release()


class HttpClient:
    """Sends requests to one address over pooled connections."""

    __slots__ = (
        "address",
        "_client",
        "_pool",
        "_head_timeout_s",
        "_piece_timeout_s",
        "_body_timeout_s",
        "_max_answer_bytes",
        "_resends",
        "_room",
        "arriving",
    )

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = 1.0,
        silence_timeout_s: float = 5.0,
        connections: int = MAX_CONNECTIONS,
        body_timeout_s: float | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        resend: bool = False,
        piece_timeout_s: float | None = None,
        reset: bool = False,
        room: _buffer_room.BufferRoom | None = None,
    ) -> None:
        """Create a client of one address.

        ``piece_timeout_s`` is the time in which each piece of a body has to
        come, if that is not the silence timeout and a second.
        ``resend`` says whether a call of an idempotent method is sent again
        if its connection closes before the head. A call that may end the
        process that it reaches must not be.
        ``reset`` says whether the connection of a call that fails is reset,
        so that no byte of the call arrives later. ``room`` is the memory for
        answers that this client shares with others; without one, each client
        has room for ``ANSWERS_WITHOUT_ROOM`` answers of the largest size.
        """
        #: IP number and port.
        self.address = address
        #: Number of calls of which the head of the answer has arrived, and the
        #: body is arriving.
        self.arriving = 0
        longest_s = silence_timeout_s + PIECE_TIMEOUT_S
        self._piece_timeout_s = piece_timeout_s or longest_s
        self._head_timeout_s = connect_timeout_s + longest_s
        # A body may be silent once for as long as a head.
        self._body_timeout_s = body_timeout_s or max(
            BODY_TIMEOUT_S, silence_timeout_s
        )
        self._max_answer_bytes = max_answer_bytes
        self._room = room or _buffer_room.BufferRoom(
            ANSWERS_WITHOUT_ROOM * max_answer_bytes
        )
        host, port = _address.split_address(address)
        self._client = geventhttpclient.HTTPClient(
            host,
            port,
            connection_timeout=connect_timeout_s,
            network_timeout=silence_timeout_s,
            concurrency=connections,
            block_size=READ_BLOCK_BYTES,
        )
        default_pool = self._client._connection_pool
        self._pool = _Pool(
            default_pool._connection_host,
            default_pool._connection_port,
            default_pool._request_host,
            default_pool._request_port,
            size=connections,
            connection_timeout=connect_timeout_s,
            network_timeout=silence_timeout_s,
        )
        self._client._connection_pool = self._pool
        self._pool.resets = reset
        # Number of times that a call may be sent again; each connection of
        # the pool may have been closed while it was idle.
        self._resends = connections + 1 if resend else 0

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers | None = None,
        may_send: MaySend | None = None,
        head_timeout_s: float | None = None,
    ) -> StreamAnswer:
        """Send a request and return when the head of the answer has arrived.

        ``may_send`` is called when a connection is open; no other greenlet
        runs between its return and the send. ``head_timeout_s`` is the time
        in which the head has to come, in seconds, if the call has less than
        the client's calls have.

        Raises ``SendForbiddenError`` if it returns ``False``,
        ``ConnectRefusedError`` if the connection was refused, and
        ``TargetSilentError`` if the request may have been sent. Any other
        failure to connect, such as a timeout, raises ``ConnectRefusedError``
        with ``may_send`` and ``TargetSilentError`` without it.
        """
        if may_send is not None:
            self._ensure_connected()
            if not may_send():
                raise SendForbiddenError(self.address)
        try:
            with gevent.Timeout(
                self._head_timeout_s
                if head_timeout_s is None
                else head_timeout_s,
                TimeoutError("no head in time"),
            ):
                response = self._request(method, path, body, headers)
        except ConnectionRefusedError as exc:
            raise _exceptions.ConnectRefusedError(
                self.address, str(exc)
            ) from exc
        except TimeoutError as exc:
            raise _exceptions.TargetOverdueError(
                self.address, str(exc) or type(exc).__name__
            ) from exc
        except (OSError, http_response.HTTPParseError) as exc:
            raise _exceptions.TargetSilentError(
                self.address, str(exc) or type(exc).__name__
            ) from exc
        return StreamAnswer(
            response, self.address, self._room, self._piece_timeout_s
        )

    def _request(
        self, method: str, path: str, body: bytes, headers: Headers | None
    ) -> _Response:
        """Send a request; its connection is closed if that ends early."""
        head = self._client._build_request(
            method, path, body, dict(headers or {})
        )
        data = head.encode("latin-1") + body
        idempotent = method in http_client.IDEMPOTENT_METHODS
        resends = self._resends if idempotent else 0
        while True:
            opened = False
            try:
                response = self._send(method, data)
                opened = True
                return response
            except http_response.HTTPConnectionClosed:
                if not resends:
                    raise
                resends -= 1
            finally:
                self._pool.end_opening(opened)

    def _send(self, method: str, data: bytes) -> _Response:
        """Send a request once; return when the head of its answer is read."""
        sock = self._pool.get_socket()
        try:
            sock.sendall(data)
        except OSError as exc:
            # The other side may have answered before it stopped reading.
            if exc.errno not in (errno.ECONNRESET, errno.EPIPE):
                raise
        return _Response(
            sock, self._pool, block_size=READ_BLOCK_BYTES, method=method
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers | None = None,
        may_send: MaySend | None = None,
        head_timeout_s: float | None = None,
    ) -> HttpAnswer:
        """Send a request and return the whole answer.

        Raises the errors of ``open`` and ``StreamAnswer.read_all``, and
        ``TargetSilentError`` if a JSON answer that ends with its connection
        is not a whole document.
        """
        answer = self.open(
            method, path, body, headers, may_send, head_timeout_s
        )
        self.arriving += 1
        try:
            with gevent.Timeout(
                self._body_timeout_s, TimeoutError("no whole body in time")
            ):
                raw = answer.read_all(self._max_answer_bytes)
        except OSError as exc:
            answer.close()
            raise _exceptions.TargetSilentError(
                self.address, str(exc)
            ) from exc
        except gevent.GreenletExit:
            answer.close()
            raise
        finally:
            self.arriving -= 1
        if answer.ends_by_close and raw and _is_cut_json(answer, raw):
            raise _exceptions.TargetSilentError(
                self.address, "connection closed inside a JSON answer"
            )
        return HttpAnswer(
            answer.status, answer.content_type, raw, answer.headers
        )

    def _ensure_connected(self) -> None:
        """Put an open connection into the pool for the next request."""
        try:
            self._pool.return_socket(self._pool.get_socket())
        except TimeoutError as exc:
            raise _exceptions.ConnectTimeoutError(
                self.address, str(exc)
            ) from exc
        except OSError as exc:
            raise _exceptions.ConnectRefusedError(
                self.address, str(exc)
            ) from exc

    def check_connection(self) -> None:
        """Open a connection unless one is open; send nothing.

        Raises ``ConnectRefusedError`` if none opens.
        """
        self._ensure_connected()

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def _is_cut_json(answer: StreamAnswer, body: bytes) -> bool:
    """Return whether a JSON answer holds no whole document."""
    media_type = answer.content_type.partition(";")[0].strip().lower()
    if media_type != "application/json":
        return False
    try:
        msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        # One that is nested too deeply to be checked does not pass for whole.
        return True
    return False


class CallOnce(typing.Protocol):
    """The signature of :func:`call_once`, for simulated networks."""

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
        """Send one request on a new connection; never resend it."""


def call_once(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: Headers,
    timeout_s: float,
    may_send: MaySend = lambda: True,
    *,
    room: _buffer_room.BufferRoom | None = None,
) -> HttpAnswer:
    """Send one request on a new connection; never resend it.

    A pooled connection may be dead without notice, and a call that fails
    on it may have run. If a new connection doesn't open, nothing was sent.
    ``may_send`` is called when the connection is open; no other greenlet
    runs between its return and the send. ``room`` is that of the answer, as
    for :class:`HttpClient`.

    Raises ``ConnectRefusedError`` only if nothing was sent, otherwise the
    errors of :meth:`HttpClient.call`.
    """
    client = HttpClient(
        address,
        connect_timeout_s=min(1.0, timeout_s),
        silence_timeout_s=timeout_s,
        connections=1,
        body_timeout_s=timeout_s,
        room=room,
    )
    sent = False

    def record_permission() -> bool:
        nonlocal sent
        sent = may_send()
        return sent

    try:
        return client.call(method, path, body, headers, record_permission)
    except _exceptions.ConnectRefusedError as exc:
        if not sent:
            raise
        raise _exceptions.TargetSilentError(address, str(exc)) from exc
    finally:
        client.close()
