"""Connections to targets: send a request, read its answer."""

import collections
import socket
import typing

import gevent
import h11

from agatewing import _clock
from agatewing import decisions
from agatewing import detour
from agatewing.gateway import _messages
from agatewing import net

#: Largest number of bytes read from a connection at once.
READ_BYTES = 65_536
#: Largest head of an answer, in bytes.
MAX_HEAD_BYTES = 65_536
#: Largest body of an answer, in bytes; a stream counts as one.
MAX_BODY_BYTES = 16_000_000
#: Largest number of informational heads before that of an answer.
MAX_INFORMATIONAL = 8
#: Timeout for establishing a connection, in seconds; callers also allow one
#: second for a connection to an instance.
CONNECT_TIMEOUT_S = 1.0
#: Time after which unacknowledged data, or data that the target does not read,
#: breaks the connection, in milliseconds; a target that has vanished sends no
#: reset. The platform removes the entry of a target that was silent for three
#: heartbeats, of about 1.2 s each; one that is silent for less goes on.
TCP_USER_TIMEOUT_MS = 4_000
#: Largest body that is sent without a greenlet of its own, in bytes; it fits
#: into the socket's buffer.
SMALL_BODY_BYTES = 8_192
#: Largest number of answers to other requests that are skipped before the
#: answer to a request.
MAX_STRAY_ANSWERS = 2
#: Headers that concern one connection only (hop-by-hop), in lower case.
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


#: Largest number of rejected requests of a connection that is used again.
MAX_REFUSED = 64


class ConnectError(Exception):
    """No connection was established; nothing was sent."""

    #: Time for which it was awaited, in seconds.
    awaited_s: float = 0.0


class ConnectRefusedError(ConnectError):
    """The host answered that no process listens on the port."""


class BrokenError(Exception):
    """The connection broke, or carried an invalid answer."""


class DeadlineExceededError(Exception):
    """The deadline passed while sending or receiving."""


class Channel:
    """One connection, used for one request at a time."""

    __slots__ = (
        "address",
        "_clock",
        "_sock",
        "_parser",
        "_turn",
        "_send_greenlet",
        "_request",
        "_body_bytes",
        "_last_byte_at",
        "_link",
        "_opened_at",
        "_heard",
        "idle_since",
        "keep_alive_s",
        "fresh",
        "refused",
        "names_requests",
        "__weakref__",
    )

    def __init__(
        self,
        address: str,
        clock: _clock.Clock,
        link: detour.TargetLink | None = None,
    ) -> None:
        #: IP address and port of the target.
        self.address = address
        self._clock = clock
        # Records what the connection shows of the path to the target.
        self._link = link or detour.LinkRecorder(clock).open()
        # Monotonic time at which its opening began, in seconds.
        self._opened_at = clock.monotonic()
        # Whether any byte was received.
        self._heard = False
        self._sock: net.ClientSocket | None = None
        self._parser = _new_parser()
        self._turn = net.Turn()
        self._send_greenlet: gevent.Greenlet | None = None
        self._request: h11.Request | None = None
        # Number of bytes of the present answer's body that were read.
        self._body_bytes = 0
        # Monotonic time of the last received bytes, or of the send if none
        # came after it, in seconds.
        self._last_byte_at = clock.monotonic()
        #: Monotonic time at which the last answer was read in full.
        self.idle_since = 0.0
        #: Time for which the target keeps an idle connection, in seconds;
        #: ``None`` if its Keep-Alive header did not say.
        self.keep_alive_s: float | None = None
        #: Whether no answer has been read from it yet.
        self.fresh = True
        #: Ids of the requests that were rejected on it. A faulty target may
        #: write a rejection once more.
        self.refused: set[str] = set()
        #: Whether its answers name the requests that they belong to.
        self.names_requests = False

    def connect(self, timeout_s: float) -> None:
        """Open the connection; raise :class:`ConnectError` if that fails."""
        limit_s = max(0.001, min(CONNECT_TIMEOUT_S, timeout_s))
        attempt = self._link.begin()
        self._opened_at = attempt.started_at
        try:
            sock = net.connect(self.address, limit_s)
        except ConnectionRefusedError as exc:
            attempt.record_failure(decisions.LinkFailure.REFUSED)
            refused = ConnectRefusedError(f"{self.address}: {exc}")
            raise self._failed(refused) from exc
        except OSError as exc:
            attempt.record_failure(detour.failure_of(exc))
            raise self._failed(ConnectError(f"{self.address}: {exc}")) from exc
        except ValueError as exc:
            attempt.abandon()
            raise ConnectError(f"{self.address}: {exc}") from exc
        except BaseException:
            attempt.abandon()
            raise
        attempt.record_connected()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._sock = sock

    def _failed(self, exc: ConnectError) -> ConnectError:
        exc.awaited_s = self._clock.monotonic() - self._opened_at
        return exc

    def idle(self, now: float) -> decisions.IdleConnection:
        """Return what decides whether it may carry another request."""
        return decisions.IdleConnection(
            now - self.idle_since, self.keep_alive_s
        )

    def open_and_drained(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        if self._sock is None or self._parser.trailing_data[0]:
            return False
        return self._sock.peek() is None

    def send(self, outgoing: _messages.Outgoing, deadline: float) -> None:
        """Send a request; a large one is sent while the answer is read."""
        head, body = _encode(self._parser, outgoing)
        self._last_byte_at = self._clock.monotonic()
        self._link.record_sent()
        self._request = h11.Request(
            method=outgoing.method, target="*", headers=[("Host", "none")]
        )
        if len(body) <= SMALL_BODY_BYTES:
            self._send(head + body, deadline)
            return
        self._send_greenlet = gevent.spawn(
            self._send_in_background, head + body, deadline
        )

    def _send(self, data: bytes, deadline: float) -> None:
        sock = self._connected_socket()
        remaining_s = deadline - self._clock.monotonic()
        try:
            with gevent.Timeout(
                max(0.001, remaining_s), DeadlineExceededError("not read")
            ):
                sock.sendall(data)
        except OSError as exc:
            self._link.record_broken(self._opened_at, not self._heard)
            raise BrokenError(f"{self.address}: {exc}") from exc

    def _send_in_background(self, data: bytes, deadline: float) -> None:
        """Send from a greenlet of its own; failures show on reading."""
        try:
            self._send(data, deadline)
        except (BrokenError, DeadlineExceededError):
            # The target may have answered before it read the whole body; if
            # not, reading the answer fails as well.
            self._send_greenlet = None

    def _connected_socket(self) -> net.ClientSocket:
        if self._sock is None:
            raise BrokenError(f"{self.address}: the connection is closed")
        return self._sock

    def read_head(self, deadline: float) -> _messages.AnswerHead:
        """Return the head of the next answer that is not informational."""
        self._body_bytes = 0
        for _ in range(MAX_INFORMATIONAL + 1):
            event = self._next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError(f"{self.address}: no answer came")
            if event.status_code not in net.STATUS_CODES:
                raise BrokenError(
                    f"{self.address}: {event.status_code} is not a status code"
                )
            if len(event.headers) > net.MAX_FIELDS:
                raise BrokenError(
                    f"{self.address}: the head has more than "
                    f"{net.MAX_FIELDS} fields"
                )
            raw = tuple(event.headers.raw_items())
            fields = [
                (name, value)
                for name, value in raw
                if name.lower() not in CONNECTION_HEADERS
            ]
            self._read_keep_alive(raw)
            return _messages.AnswerHead(
                event.status_code, tuple(fields), _framing(raw)
            )
        raise BrokenError(f"{self.address}: too many informational heads")

    def _read_keep_alive(self, headers: _messages.Headers) -> None:
        value = _messages.header(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def read_piece(self, deadline: float) -> bytes:
        """Return the next piece of the body; ``b""`` at its end.

        Raises :class:`BrokenError` if the body is over ``MAX_BODY_BYTES``.
        """
        event = self._next_event(deadline)
        while isinstance(event, h11.Data) and not event.data:
            event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > MAX_BODY_BYTES:
                raise BrokenError(f"{self.address}: the answer is too large")
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.fresh = False
            self.idle_since = self._clock.monotonic()
            return b""
        raise BrokenError(f"{self.address}: the answer broke off")

    def skip_answer(self, deadline: float) -> None:
        """Skip an answer that belongs to another request.

        Its whole body is dropped and the parser is reset for the answer that
        is still expected.
        """
        while self.read_piece(deadline):
            pass
        unread, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE:
            raise BrokenError(f"{self.address}: closed after a stray answer")
        self._parser = _new_parser()
        if self._request is not None:
            # The parser accepts an answer only after a request; the bytes
            # that it returns here are not sent.
            self._parser.send(self._request)
            self._parser.send(h11.EndOfMessage())
        if unread:
            # Without bytes, the parser takes it for the end of the connection.
            self._parser.receive_data(unread)

    def _next_event(self, deadline: float) -> typing.Any:
        """Return the parser's next event, receiving bytes as needed.

        Other greenlets run between two events if many follow each other.
        Raises :class:`DeadlineExceededError` if the deadline passes meanwhile.
        """
        while True:
            if self._turn.spend():
                self._remaining_s(deadline)
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise BrokenError(f"{self.address}: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            self._receive(deadline)

    def _receive(self, deadline: float) -> None:
        sock = self._connected_socket()
        try:
            with gevent.Timeout(
                self._remaining_s(deadline),
                DeadlineExceededError("no answer in time"),
            ):
                data = sock.recv(READ_BYTES)
        except OSError as exc:
            self._link.record_broken(self._opened_at, not self._heard)
            raise BrokenError(f"{self.address}: {exc}") from exc
        if not data and self._parser.their_state is h11.SEND_RESPONSE:
            self._link.record_broken(self._opened_at, not self._heard)
            raise BrokenError(f"{self.address}: closed without an answer")
        if data:
            self._last_byte_at = self._clock.monotonic()
            new = not self._heard
            self._link.record_heard(self._opened_at if new else float("-inf"))
            self._heard = True
        self._parser.receive_data(data)
        self._turn.spend(0, len(data))

    def _remaining_s(self, deadline: float) -> float:
        """Return the time that is left, in seconds.

        Raises :class:`DeadlineExceededError` if there is none.
        """
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            raise DeadlineExceededError(f"{self.address}: no answer in time")
        return remaining_s

    @property
    def unread(self) -> bool:
        """Whether bytes have arrived that were not received yet."""
        return self._sock is not None and bool(self._sock.peek())

    @property
    def silent_s(self) -> float:
        """Time since the last byte from the target, in seconds.

        Since the send, if none came after it.
        """
        return self._clock.monotonic() - self._last_byte_at

    def prepare_reuse(self) -> bool:
        """Reset the parser for another request; return whether that worked."""
        if self._send_greenlet is not None and not self._send_greenlet.ready():
            return False
        if self._sock is None or self._parser.trailing_data[0]:
            return False
        if len(self.refused) > MAX_REFUSED:
            return False
        done = (h11.DONE, h11.DONE)
        if (self._parser.our_state, self._parser.their_state) != done:
            return False
        self._parser.start_next_cycle()
        self._send_greenlet = None
        return True

    def close(self) -> None:
        """Close the connection; the target then cancels a running request."""
        if self._send_greenlet is not None:
            self._send_greenlet.kill(block=False)
            self._send_greenlet = None
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def reset(self) -> None:
        """Reset the connection, so that undelivered bytes never arrive."""
        if self._sock is not None:
            net.reset_on_close(self._sock)
        self.close()


class ChannelPool:
    """Pool of idle connections to one target."""

    __slots__ = (
        "_address",
        "_clock",
        "_link",
        "_idle",
        "_announced",
        "max_idle",
        "opened",
        "uses",
        "answered",
        "announced_s",
    )

    def __init__(
        self,
        address: str,
        clock: _clock.Clock,
        link: detour.TargetLink | None = None,
    ) -> None:
        self._address = address
        self._clock = clock
        self._link = link
        # Those that idled for longest are the first.
        self._idle: list[Channel] = []
        self._announced = decisions.AnnouncedTimes()
        #: Largest number of idle connections that are kept.
        self.max_idle = 1
        #: Number of connections opened so far, by reason.
        self.opened: collections.Counter[decisions.OpenReason] = (
            collections.Counter()
        )
        #: Number of times that a connection was asked for.
        self.uses = 0
        #: Whether an answer was read in full.
        self.answered = False
        #: Time for which the target keeps an idle connection, in seconds;
        #: ``None`` until it says so.
        self.announced_s: float | None = None

    def close_refused(self, request_id: str) -> None:
        """Close idle connections on which this request was rejected.

        If the rejection came once more, it could not be told from a new one.
        """
        for channel in self._idle:
            if request_id in channel.refused:
                channel.close()
        self._idle = [c for c in self._idle if request_id not in c.refused]

    def cost_s(self, reuse: decisions.Reuse) -> float:
        """Return what the next connection counts in the choice of a target.

        The unit is seconds.
        """
        if not self._idle:
            return decisions.NEW_CONNECTION_S
        now = self._clock.monotonic()
        state = self._idle[-1].idle(now)
        limit_s = decisions.idle_limit_s(
            reuse, state.announced_s, self._announced.trusted(now)
        )
        return decisions.connection_cost_s(state.idle_s, limit_s)

    def acquire(self, reuse: decisions.Reuse, timeout_s: float) -> Channel:
        """Return an idle connection, or open a new one.

        Raises :class:`ConnectError`.
        """
        now = self._clock.monotonic()
        self.uses += 1
        expired = self._close_expired(now)
        reason = decisions.OpenReason.NONE_IDLE
        if reuse is decisions.Reuse.NEVER:
            reason = decisions.OpenReason.OWN
        elif self._idle or expired:
            reason = decisions.OpenReason.IDLE_TOO_LONG
        states = [channel.idle(now) for channel in self._idle]
        idle = [
            self._idle[index]
            for index in decisions.idle_candidates(
                states, reuse, self._announced.trusted(now)
            )
        ]
        for channel in idle:
            self._idle.remove(channel)
            if channel.open_and_drained():
                return channel
            self._announced.record_closed(channel.idle(now), now)
            channel.close()
            reason = decisions.OpenReason.CLOSED
        channel = Channel(self._address, self._clock, self._link)
        channel.connect(timeout_s)
        self.opened[reason] += 1
        return channel

    def release(self, channel: Channel) -> None:
        """Keep a connection for reuse if it can be; close it otherwise."""
        self._close_expired(self._clock.monotonic())
        self.answered = True
        self.announced_s = channel.keep_alive_s
        if len(self._idle) < self.max_idle and channel.prepare_reuse():
            self._idle.append(channel)
        else:
            channel.close()

    def _close_expired(self, now: float) -> int:
        """Close connections that no request may use; return their number."""
        trusted = self._announced.trusted(now)
        kept = []
        for channel in self._idle:
            state = channel.idle(now)
            if state.idle_s > decisions.idle_limit_s(
                decisions.Reuse.AGAIN, state.announced_s, trusted
            ):
                channel.close()
            else:
                kept.append(channel)
        expired = len(self._idle) - len(kept)
        self._idle = kept
        return expired

    def close(self) -> None:
        """Close all idle connections."""
        for channel in self._idle:
            channel.close()
        self._idle.clear()


def _framing(headers: _messages.Headers) -> _messages.Framing:
    """Return how a body is framed; chunks outrank a length."""
    if _messages.header(headers, b"transfer-encoding") is not None:
        return _messages.Framing.CHUNKED
    if _messages.header(headers, b"content-length") is not None:
        return _messages.Framing.LENGTH
    return _messages.Framing.CLOSE


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _encode(
    conn: h11.Connection, outgoing: _messages.Outgoing
) -> tuple[bytes, bytes]:
    """Return the encoded head and body of a request."""
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
