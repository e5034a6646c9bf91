"""One connection of a caller: reads requests, writes answers."""

import collections.abc
import logging
import socket
import typing

import gevent
import gevent.socket
import h11

from agatewing import _clock
from agatewing import callers
from agatewing.gateway import _caller_input
from agatewing.gateway import _caller_limits
from agatewing.gateway import _head_check
from agatewing.gateway import _messages
from agatewing.gateway import _ports
from agatewing.gateway import _refusals
from agatewing import net

_log = logging.getLogger("agatewing.caller")

#: Time without progress of a write to a caller, in seconds; callers
#: abandon a stream after two seconds or more without an event, see
#: ``Route.patience_s``.
WRITE_TIMEOUT_S = 10.0
#: Longest time for which a caller that is still sending is read from after
#: its last answer, in seconds, and the largest number of bytes: as long as
#: callers wait for a connection, and as much as most bodies may have.
LINGER_S = 1.0
LINGER_BYTES = 4_000_000
#: Largest answer that is sent together with its head, in bytes; a copy of a
#: larger one would cost more than a second write.
SMALL_ANSWER_BYTES = 65_536
#: Steps of a turn that one request takes besides those of its body; so many
#: requests may follow each other without a wait.
REQUEST_STEPS = 8
#: Timeout for a whole body, as a multiple of the timeout for a head.
BODY_TIMEOUT_FACTOR = 4


class CallerGoneError(Exception):
    """The caller closed its connection, or it broke."""


class CallerNotReadingError(CallerGoneError):
    """The caller did not read its answer within ``WRITE_TIMEOUT_S``."""


class CallerClosedError(CallerGoneError):
    """The caller closed its side after a whole request.

    It may have shut down its write side only and still read.
    """


class StoppedError(Exception):
    """The process is about to exit."""


class CallerConn:
    """Connection of one caller; serves its requests one by one."""

    __slots__ = (
        "_sock",
        "_clock",
        "_dialect",
        "_limits",
        "_room",
        "_share",
        "_answers_wait",
        "_whole",
        "_gives_way",
        "_since",
        "_parser",
        "_turn",
        "_input",
        "_handler_greenlet",
        "_unparsed",
        "busy",
        "closing",
        "_head_begun",
        "_idle_since",
        "_idle_end",
        "_started",
        "_gives_way",
        "_head_only",
    )

    def __init__(
        self,
        sock: gevent.socket.socket,
        clock: _clock.Clock,
        dialect: _ports.Dialect,
        limits: _caller_limits.CallerLimitsInForce,
        room: callers.BodyRoom,
        answers_wait: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._clock = clock
        self._dialect = dialect
        self._limits = limits
        self._room = room
        # Whether other answers wait for the room of those not yet read.
        self._answers_wait = answers_wait
        # Whether the whole of a request has arrived.
        self._whole = False
        # Whether it ends for the sake of another connection.
        self._gives_way = False
        # Monotonic time since which it is idle, or a head or body arrives.
        self._since = clock.monotonic()
        # Share of the present body; ``None`` if it has none.
        self._share: callers.BodyShare | None = None
        self._parser = self._new_parser()
        self._turn = net.Turn()
        self._unparsed = b""
        self._handler_greenlet: gevent.Greenlet = gevent.getcurrent()
        #: Whether a request is in flight.
        self.busy = False
        # Whether part of a head has arrived.
        self._head_begun = False
        # Monotonic time since which it has been idle, in seconds.
        self._idle_since = clock.monotonic()
        # Why the instance ends it while it is idle; empty if it does not.
        self._idle_end = ""
        #: Whether the next answer announces that the connection is closed.
        self.closing = False
        self._started = False
        # Whether a whole answer is sent, which may hold room of others.
        self._gives_way = False
        # Whether the answer must not have a body.
        self._head_only = False
        self._input = _caller_input.CallerInput(sock, self._abort_handler)

    def _new_parser(self) -> h11.Connection:
        size = self._limits.present.max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    def _abort_handler(self) -> None:
        """Abort the handling of a request whose caller has disconnected."""
        if self.busy:
            self._handler_greenlet.kill(
                CallerClosedError("the caller closed its side"), block=False
            )

    def next_request(self) -> _messages.CallerRequest | None:
        """Return the next request, read in full.

        Returns ``None`` if the connection ends, or is idle for too long,
        before a whole head. Raises :class:`GatewayRefusedError` for a
        malformed or slow request and :class:`CallerGoneError` if the
        connection ends inside a body.
        """
        if not self._read_head():
            return None
        self.busy = True
        self._input.ahead = _caller_input.BUSY_AHEAD_BYTES
        self._started = False
        arrived_at = self._clock.monotonic()
        self._turn.spend(REQUEST_STEPS)
        event = self._next_event()
        if not isinstance(event, h11.Request):
            raise CallerGoneError("the connection ended inside a head")
        self._head_only = event.method == b"HEAD"
        body = self._read_body(event)
        self._whole = True
        if self._input.closed_by_caller:
            # Nobody would notice the end of input any more.
            raise CallerClosedError("the caller closed its side")
        return self._dialect.read_request(
            event.method,
            event.target,
            tuple(event.headers.raw_items()),
            body,
            arrived_at,
        )

    def _read_head(self) -> bool:
        """Wait for a whole head, check it and feed it to the parser.

        Returns ``False`` if the connection ends before the whole head or is
        idle for too long; raises a refusal if a head that has begun is
        invalid or does not arrive in time.
        """
        raw = self._unparsed
        self._idle_since = self._since = self._clock.monotonic()
        deadline: float | None = None
        while True:
            if raw and not self._head_begun:
                self._since = self._clock.monotonic()
            self._head_begun = bool(raw)
            if deadline is None:
                limits = self._limits.present
            if not raw.startswith(b"\r\n") and _head_check.HEAD_END in raw:
                break
            raw = raw[2:] if raw.startswith(b"\r\n") else raw
            if len(raw) > limits.max_head_bytes:
                raise _refused("the head is too large", 431)
            if b"\n\n" in raw:
                raise _refused("a line of the head does not end with CR LF")
            now = self._clock.monotonic()
            if raw and deadline is None:
                deadline = now + limits.head_timeout_s
            until = deadline or self._idle_since + self._limits.idle_timeout_s
            data = self._input.take(max(0.0, until - now))
            if data is None and raw:
                raise _refused("the head did not arrive in time", 408)
            if data is None and self._may_idle:
                # The limit was raised meanwhile.
                continue
            if data is None:
                self._idle_end = "the idle limit"
            if not data and raw and self._gives_way:
                raise _no_connection()
            if not data:
                return False
            raw += data
        self._unparsed = b""
        end = raw.index(_head_check.HEAD_END) + len(_head_check.HEAD_END)
        if end > limits.max_head_bytes:
            raise _refused("the head is too large", 431)
        fault = _head_check.fault(raw[:end])
        if fault is not None:
            raise _refused(fault)
        self._parser.receive_data(raw)
        return True

    @property
    def _may_idle(self) -> bool:
        """Whether the connection may be idle any longer."""
        now = self._clock.monotonic()
        return now < self._idle_since + self._limits.idle_timeout_s

    def _next_event(self) -> typing.Any:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise _refused(str(exc), exc.error_status_hint) from exc

    def _read_body(self, head: h11.Request) -> bytes:
        """Return the whole body; raise a refusal if it exceeds a limit."""
        limits = self._limits.present
        limit = limits.max_body_bytes
        until = self._clock.monotonic() + (
            limits.head_timeout_s * BODY_TIMEOUT_FACTOR
        )
        announced = None
        for name, value in head.headers:
            if name == b"content-length":
                announced = int(value)
        if announced is not None and announced > limit:
            raise _too_large(limit)
        body = bytearray()
        while True:
            if self._turn.spend() and self._clock.monotonic() >= until:
                raise _late_body()
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._receive_body_bytes(announced, len(body), until)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limit:
                    raise _too_large(limit)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise CallerGoneError("the connection ended inside a body")

    def _receive_body_bytes(
        self, announced: int | None, received: int, until: float
    ) -> None:
        """Receive more bytes of a body and feed them to the parser.

        ``announced`` is its length, if known, ``received`` what has arrived.
        """
        if self._parser.they_are_waiting_for_100_continue:
            self._send(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        # Without a length, later requests may arrive with the body.
        most = _caller_input.READ_AHEAD_BYTES
        if announced is not None:
            most = min(_caller_input.READ_BYTES, announced - received)
        if self._share is None:
            self._share = self._room.open(announced)
        share = self._share
        if share.held > received:
            # Bytes that only framed chunks.
            self._room.shrink(share, share.held - received)
        try:
            self._room.grow(share, most, until)
        except callers.NoRoomError as exc:
            raise _no_room() from exc
        data = self._take_body_bytes(share, most, until)
        if len(data) < most:
            self._room.shrink(share, most - len(data))
        self._parser.receive_data(data)

    def _take_body_bytes(
        self, share: callers.BodyShare, most: int, until: float
    ) -> bytes:
        """Return bytes of a body that has room, once some have arrived."""
        while True:
            left_s = max(0.0, until - self._clock.monotonic())
            data = self._input.take(min(left_s, callers.STALL_S), most)
            if data == b"" and self._gives_way:
                raise _no_connection()
            if data == b"":
                raise CallerGoneError("the connection ended inside a body")
            if data is None and left_s <= callers.STALL_S:
                raise _late_body()
            if not self._room.check_moving(share, len(data or b"")):
                raise _stalled_body()
            if data:
                return data

    def _leave_room(self) -> None:
        """Give the room of the present body back."""
        share, self._share = self._share, None
        if share is not None:
            self._room.close(share)

    @property
    def started(self) -> bool:
        """Whether the head of the current answer was sent."""
        return self._started

    def start(
        self, status: int, headers: collections.abc.Iterable[typing.Any]
    ) -> None:
        """Send the head of an answer; its body follows by :meth:`write`."""
        self._gives_way = False
        self._send(self._head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._send(self._parser.send(h11.Data(data=data)))

    def end(self) -> None:
        """Finish the answer."""
        self._send(self._parser.send(h11.EndOfMessage()))

    def answer(
        self,
        status: int,
        headers: collections.abc.Iterable[typing.Any],
        body: bytes,
    ) -> None:
        """Send a whole answer, a small one with one write to the socket."""
        self._gives_way = True
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        head, data = self._head(status, fields), b""
        if body and not self._head_only:
            data = self._parser.send(h11.Data(data=body)) or b""
        self._parser.send(h11.EndOfMessage())
        if len(data) <= SMALL_ANSWER_BYTES:
            self._send(head + data)
        else:
            self._send(head)
            self._send(data)

    def refuse(self, refusal: _refusals.GatewayRefusal) -> None:
        """Answer with a refusal.

        Raises :class:`CallerGoneError` if an answer has already started.
        """
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise CallerGoneError("the connection cannot carry another answer")
        self.answer(refusal.status, refusal.headers(), refusal.body())

    def _head(
        self, status: int, headers: collections.abc.Iterable[typing.Any]
    ) -> bytes:
        fields = list(headers)
        if self.closing:
            fields.append((b"Connection", b"close"))
        self._started = True
        return (
            self._parser.send(
                h11.Response(status_code=status, headers=fields, reason=b"")
            )
            or b""
        )

    def _send(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            sent = self._send_some(data)
            if sent < len(data):
                self._send_rest(memoryview(data)[sent:], not sent)
        except TimeoutError as exc:
            raise CallerNotReadingError(str(exc)) from exc
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def _send_some(self, data: bytes | memoryview) -> int:
        """Send some bytes; return how many, 0 if none were taken in time."""
        timeout = gevent.Timeout(min(WRITE_TIMEOUT_S, callers.STALL_S))
        try:
            with timeout:
                return self._sock.send(data)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            return 0

    def _send_rest(self, unsent: memoryview, waited: bool) -> None:
        """Send bytes to a caller that does not take them at once.

        ``waited`` says that it has taken none at the first try. Raises
        ``TimeoutError`` if it takes none for ``WRITE_TIMEOUT_S``, or too few
        while other answers wait for the room of this one.
        """
        moved_at = self._clock.monotonic()
        if waited:
            moved_at -= min(WRITE_TIMEOUT_S, callers.STALL_S)
        pace = callers.Pace(moved_at)
        while unsent:
            sent = self._send_some(unsent)
            unsent = unsent[sent:]
            now = self._clock.monotonic()
            pace.record(sent)
            if sent:
                moved_at = now
            elif now >= moved_at + WRITE_TIMEOUT_S:
                raise TimeoutError("write timed out")
            if not self._gives_way:
                continue
            if pace.stands_still(now) and self._answers_wait():
                raise TimeoutError("other answers wait for its room")

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return whether one may follow."""
        self.busy = self._head_begun = self._whole = False
        self._leave_room()
        self._input.ahead = _caller_input.READ_AHEAD_BYTES
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        trailing, _ = self._parser.trailing_data
        self._unparsed = trailing
        self._parser = self._new_parser()
        return True

    @property
    def reading(self) -> bool:
        """Whether part of a request, or all of it, has arrived."""
        return self.busy or self._head_begun

    @property
    def held(self) -> "callers.Held[CallerConn]":
        """The connection, for the choice of one that gives way."""
        stays = self._whole or self._gives_way
        return callers.Held(self, stays, self.reading, self._since)

    def give_way(self) -> None:
        """End the connection unless it has a whole request by then."""
        self._gives_way = True
        if not self.reading:
            self._idle_end = "the bound of connections"
        self._input.end()

    def end_idle(self) -> None:
        """End the connection as if by its caller, if nothing has arrived."""
        if not self.reading and not self._input.pending:
            self._idle_end = self._idle_end or "the instance stops"
            self._input.end()

    def stop(self) -> None:
        """Raise :class:`StoppedError` where the connection is served."""
        self._handler_greenlet.kill(StoppedError, block=False)

    def close(self, linger: bool = False) -> None:
        """Close the connection; an unfinished answer stays incomplete.

        With ``linger``, a caller that has its last answer and is still
        sending is read from for a while first.
        """
        # The end of input no longer concerns a request.
        self.busy = False
        self._leave_room()
        caller, unread = net.peer_address(self._sock), self._input.pending
        if self._ends_by_close:
            net.reset_on_close(self._sock)
        else:
            self._close_write_side()
            if linger and self._answered:
                # What it holds of the request is not needed any more.
                self._parser = self._new_parser()
                self._input.discard(LINGER_S, LINGER_BYTES)
        self._input.stop()
        self._sock.close()
        if self._idle_end and not self._input.closed_by_caller:
            # Later bytes would be lost while the line is written.
            self._log_idle_end(caller, unread)

    def _log_idle_end(self, caller: str, unread: bool) -> None:
        """Log why an idle connection was closed, and if bytes were lost."""
        idle_s = self._clock.monotonic() - self._idle_since
        _log.info(
            "caller: idle connection closed",
            extra={
                "caller": caller,
                "reason": self._idle_end,
                "idle_s": round(idle_s, 3),
                "limit_s": self._limits.idle_timeout_s,
                "unread": unread,
            },
        )

    @property
    def _answered(self) -> bool:
        """Whether the present request has its whole answer."""
        done = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return self._parser.our_state in done

    @property
    def _ends_by_close(self) -> bool:
        """Whether an orderly close would end an unfinished answer.

        Callers of HTTP/1.0 get answers without length or chunks.
        """
        version = self._parser.their_http_version
        return (
            self._parser.our_state is h11.SEND_BODY
            and version is not None
            and version < b"1.1"
        )

    def _close_write_side(self) -> None:
        """Shut down the write side first, so that the last answer arrives."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            _log.debug("caller: connection was already closed: %s", exc)


def _refused(detail: str, status: int = 400) -> _refusals.GatewayRefusedError:
    """Return the error for a malformed request."""
    return _refusals.GatewayRefusedError(_refusals.bad_request(detail, status))


def _late_body() -> _refusals.GatewayRefusedError:
    """Return the error for a body that takes too long."""
    return _refused("the body did not arrive in time", 408)


def _stalled_body() -> _refusals.GatewayRefusedError:
    """Return the error for a body that stands still while others wait."""
    return _refused("the body stood still while others waited for room", 408)


def _no_room() -> _refusals.GatewayRefusedError:
    """Return the error for a body that the others left no room for."""
    return _refusals.GatewayRefusedError(
        _refusals.overloaded(
            "the bodies of other requests left no room for this one; come "
            "back later, or ask another instance"
        )
    )


def _no_connection() -> _refusals.GatewayRefusedError:
    """Return the error for a request whose connection gives way."""
    return _refusals.GatewayRefusedError(_refusals.too_many_connections())


def _too_large(limit: int) -> _refusals.GatewayRefusedError:
    """Return the error for a body over the limit."""
    return _refusals.GatewayRefusedError(_refusals.too_large(limit))
