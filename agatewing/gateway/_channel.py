"""One connection to a target: sends a request, reads its answer."""

import socket
import struct
import typing

import gevent
import gevent.socket
import h11

from agatewing import _clock
from agatewing.gateway import _messages
from agatewing import net

#: Bytes read from a connection at once.
READ_BYTES = 65_536
#: Largest head of an answer, in bytes.
MAX_HEAD_BYTES = 65_536
#: Longest time for a connection to come about, in seconds; callers allow
#: an instance one second too.
CONNECT_S = 1.0
#: Time without an acknowledgement after which a connection counts as
#: broken, in milliseconds; a silent target sends no reset.
USER_TIMEOUT_MS = 1_500
#: Bodies up to this size fit into the socket's buffer, in bytes.
SMALL_BODY_BYTES = 8_192
#: Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Answers of earlier requests that are skipped on one connection.
MAX_STRAY_ANSWERS = 2
#: Headers that concern one connection only, in lower case.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class ConnectError(Exception):
    """No connection came about; nothing was sent."""


class BrokenError(Exception):
    """The connection broke, or carried what is no answer."""


class OverdueError(Exception):
    """Nothing came within the time given."""


class Channel:
    """One connection, used for one request at a time."""

    __slots__ = (
        "address",
        "_clock",
        "_sock",
        "_conn",
        "_sender",
        "_request",
        "idle_since",
        "keep_idle_s",
        "fresh",
    )

    def __init__(self, address: str, clock: _clock.Clock) -> None:
        #: IP number and port.
        self.address = address
        self._clock = clock
        self._sock: gevent.socket.socket | None = None
        self._conn = _new_parser()
        self._sender: gevent.Greenlet | None = None
        self._request: h11.Request | None = None
        #: Monotonic time at which the last answer was whole.
        self.idle_since = 0.0
        #: Time for which the target keeps it idle, in seconds.
        self.keep_idle_s: float | None = None
        #: Whether it has not carried an answer yet.
        self.fresh = True

    def connect(self, timeout_s: float) -> None:
        """Open the connection or raise :class:`ConnectError`."""
        try:
            sock = gevent.socket.create_connection(
                net.split_address(self.address),
                timeout=max(0.001, min(CONNECT_S, timeout_s)),
            )
        except (OSError, ValueError) as exc:
            raise ConnectError(f"{self.address}: {exc}") from exc
        # The limit on connecting would hold for every later read too.
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self._sock = sock

    def usable(self, now: float, most_idle_s: float) -> bool:
        """Return whether an idle connection may carry a request."""
        idle = now - self.idle_since
        if idle > most_idle_s:
            return False
        if self.keep_idle_s is not None and idle > self.keep_idle_s / 2:
            return False
        return self._silent()

    def _silent(self) -> bool:
        """Return whether an idle connection is open and has no bytes."""
        if self._sock is None or self._conn.trailing_data[0]:
            return False
        try:
            self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, outgoing: _messages.Outgoing, deadline: float) -> None:
        """Send a request; a large body goes on beside the answer."""
        head, body = _encode(self._conn, outgoing)
        self._request = h11.Request(
            method=outgoing.method, target="*", headers=[("Host", "none")]
        )
        if len(body) <= SMALL_BODY_BYTES:
            self._send(head + body, deadline)
            return
        self._sender = gevent.spawn(self._send_quietly, head + body, deadline)

    def _send(self, data: bytes, deadline: float) -> None:
        sock = self._live_socket()
        left = deadline - self._clock.monotonic()
        try:
            with gevent.Timeout(max(0.001, left), OverdueError("not read")):
                sock.sendall(data)
        except OSError as exc:
            raise BrokenError(f"{self.address}: {exc}") from exc

    def _send_quietly(self, data: bytes, deadline: float) -> None:
        """Send in a greenlet of its own; the reader finds out the rest."""
        try:
            self._send(data, deadline)
        except (BrokenError, OverdueError):
            # The answer may have come early; if not, reading fails too.
            self._sender = None

    def _live_socket(self) -> gevent.socket.socket:
        if self._sock is None:
            raise BrokenError(f"{self.address}: the connection is closed")
        return self._sock

    def read_head(self, deadline: float) -> _messages.AnswerHead:
        """Return the head of the next final answer."""
        while True:
            event = self._next(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError(f"{self.address}: no answer came")
            raw = tuple(event.headers.raw_items())
            fields = [
                (name, value)
                for name, value in raw
                if name.lower() not in CONNECTION_HEADERS
            ]
            self._note_keep_idle(raw)
            return _messages.AnswerHead(event.status_code, tuple(fields))

    def _note_keep_idle(self, headers: _messages.Headers) -> None:
        value = _messages.header(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_idle_s = float(number)

    def read_piece(self, deadline: float) -> bytes:
        """Return the next piece of the body; empty at its end."""
        event = self._next(deadline)
        while isinstance(event, h11.Data) and not event.data:
            event = self._next(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.fresh = False
            self.idle_since = self._clock.monotonic()
            return b""
        raise BrokenError(f"{self.address}: the answer broke off")

    def skip_answer(self, deadline: float) -> None:
        """Read past an answer that belongs to another request.

        Its whole body is dropped and the parser made ready for the one
        answer that is still due.
        """
        while self.read_piece(deadline):
            pass
        left, closed = self._conn.trailing_data
        if closed or self._conn.their_state is not h11.DONE:
            raise BrokenError(f"{self.address}: closed after a stray answer")
        self._conn = _new_parser()
        if self._request is not None:
            # The parser wants a request before an answer; it is not sent.
            self._conn.send(self._request)
            self._conn.send(h11.EndOfMessage())
        self._conn.receive_data(left)

    def _next(self, deadline: float) -> typing.Any:
        """Return the next event, reading as far as it takes."""
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise BrokenError(f"{self.address}: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            self._receive(deadline)

    def _receive(self, deadline: float) -> None:
        sock = self._live_socket()
        left = deadline - self._clock.monotonic()
        if left <= 0:
            raise OverdueError(f"{self.address}: no answer in time")
        try:
            with gevent.Timeout(left, OverdueError("no answer in time")):
                data = sock.recv(READ_BYTES)
        except OSError as exc:
            raise BrokenError(f"{self.address}: {exc}") from exc
        if not data and self._conn.their_state is h11.SEND_RESPONSE:
            raise BrokenError(f"{self.address}: closed without an answer")
        self._conn.receive_data(data)

    def reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        if self._sender is not None and not self._sender.ready():
            return False
        if self._sock is None or self._conn.trailing_data[0]:
            return False
        done = (h11.DONE, h11.DONE)
        if (self._conn.our_state, self._conn.their_state) != done:
            return False
        self._conn.start_next_cycle()
        self._sender = None
        return True

    def close(self) -> None:
        """Close; an answer under way ends at the target too."""
        if self._sender is not None:
            self._sender.kill(block=False)
            self._sender = None
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def reset(self) -> None:
        """Close so that bytes not yet delivered never arrive."""
        if self._sock is not None:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.close()


class ChannelPool:
    """Idle connections to one target."""

    __slots__ = ("_address", "_clock", "_idle", "keep", "opened")

    def __init__(self, address: str, clock: _clock.Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[Channel] = []
        #: Most idle connections to keep.
        self.keep = 1
        #: Connections opened so far.
        self.opened = 0

    def take(self, most_idle_s: float, timeout_s: float) -> Channel:
        """Return an idle connection, or a new one."""
        now = self._clock.monotonic()
        while self._idle:
            channel = self._idle.pop()
            if channel.usable(now, most_idle_s):
                return channel
            channel.close()
        channel = Channel(self._address, self._clock)
        channel.connect(timeout_s)
        self.opened += 1
        return channel

    def put(self, channel: Channel) -> None:
        """Keep a connection for later, up to the limit."""
        if len(self._idle) < self.keep and channel.reusable():
            self._idle.append(channel)
        else:
            channel.close()

    def close(self) -> None:
        """Close idle connections."""
        for channel in self._idle:
            channel.close()
        self._idle.clear()


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _encode(
    conn: h11.Connection, outgoing: _messages.Outgoing
) -> tuple[bytes, bytes]:
    """Return the head and the body of a request as bytes."""
    fields = list(outgoing.headers)
    if outgoing.body or outgoing.method not in (b"GET", b"HEAD", b"DELETE"):
        fields.append((b"Content-Length", b"%d" % len(outgoing.body)))
    request = h11.Request(
        method=outgoing.method, target=outgoing.target, headers=fields
    )
    head = conn.send(request) or b""
    body = b""
    if outgoing.body:
        body = conn.send(h11.Data(data=outgoing.body)) or b""
    conn.send(h11.EndOfMessage())
    return head, body
