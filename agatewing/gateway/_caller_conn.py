"""One connection of a caller: reads requests, writes answers.

A reader greenlet takes bytes in all the time, so that a caller that
leaves is noticed while the request still waits for its target.
"""

import collections.abc
import errno
import logging
import socket
import typing

import gevent
import gevent.event
import gevent.socket
import h11

from agatewing import _clock
from agatewing.gateway import _contracts
from agatewing.gateway import _head_check
from agatewing.gateway import _messages
from agatewing.gateway import _ports
from agatewing.gateway import _refusals

_log = logging.getLogger("agatewing.caller")

#: Bytes read from a connection at once.
READ_BYTES = 65_536
#: Bytes of later requests taken in while one is under way.
READ_AHEAD_BYTES = 65_536
#: Time for which a caller may leave an answer unread, in seconds; callers
#: give a stream up after two seconds without an event.
WRITE_STALL_S = 10.0
#: Time allowed for a whole body, as a multiple of the time for a head.
BODY_HEAD_TIMES = 4


class CallerGoneError(Exception):
    """The caller closed its connection, or it broke."""


class _Inbox:
    """Bytes that have arrived and were not parsed yet."""

    __slots__ = ("_parts", "_size", "_changed", "closed")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self._changed = gevent.event.Event()
        #: Whether the caller has closed its side.
        self.closed = False

    @property
    def full(self) -> bool:
        """Whether reading should pause."""
        return self._size >= READ_AHEAD_BYTES

    def put(self, data: bytes) -> None:
        """Take bytes in; none mean the end."""
        if data:
            self._parts.append(data)
            self._size += len(data)
        else:
            self.closed = True
        self._changed.set()

    def take(self, timeout_s: float) -> bytes | None:
        """Return all bytes; ``b""`` at the end, ``None`` after a while."""
        while not self._parts:
            if self.closed:
                return b""
            self._changed.clear()
            if not self._changed.wait(timeout_s):
                return None
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        return data


class CallerConn:
    """Reads requests of one caller one after the other."""

    __slots__ = (
        "_sock",
        "_clock",
        "_dialect",
        "_limits",
        "_conn",
        "_inbox",
        "_resume",
        "_reader",
        "_owner",
        "_raw",
        "busy",
        "closing",
        "_started",
    )

    def __init__(
        self,
        sock: gevent.socket.socket,
        clock: _clock.Clock,
        dialect: _ports.Dialect,
        limits: collections.abc.Callable[[], _contracts.CallerLimits],
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._clock = clock
        self._dialect = dialect
        self._limits = limits
        self._conn = self._new_parser()
        self._inbox = _Inbox()
        self._resume = gevent.event.Event()
        self._raw = b""
        self._owner: gevent.Greenlet = gevent.getcurrent()
        #: Whether a request is under way.
        self.busy = False
        #: Whether the connection ends after the present answer.
        self.closing = False
        self._started = False
        self._reader = gevent.spawn(self._read_always)

    def _new_parser(self) -> h11.Connection:
        size = self._limits().max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    def _read_always(self) -> None:
        """Take bytes in until the caller closes."""
        while True:
            while self._inbox.full:
                self._resume.clear()
                self._resume.wait()
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError as exc:
                if exc.errno == errno.EBADF:
                    return
                data = b""
            self._inbox.put(data)
            if not data:
                self._interrupt()
                return

    def _interrupt(self) -> None:
        """Stop work for a caller that is not there any more."""
        if self.busy:
            self._owner.kill(CallerGoneError, block=False)

    def _take(self, timeout_s: float) -> bytes | None:
        data = self._inbox.take(timeout_s)
        self._resume.set()
        return data

    def next_request(self) -> _messages.CallerRequest | None:
        """Return the next whole request; ``None`` at the end.

        Raises a refusal for a malformed request and
        :class:`CallerGoneError` if the caller leaves half-way.
        """
        if not self._read_head():
            return None
        self.busy = True
        self._started = False
        arrived_at = self._clock.monotonic()
        event = self._next_event()
        if not isinstance(event, h11.Request):
            raise CallerGoneError("the connection ended inside a head")
        body = self._read_body(event)
        return self._dialect.read_request(
            event.method,
            event.target,
            tuple(event.headers.raw_items()),
            body,
            arrived_at,
        )

    def _read_head(self) -> bool:
        """Wait for a whole head and hand it to the parser."""
        limits = self._limits()
        raw = self._raw
        deadline: float | None = None
        while True:
            if not raw.startswith(b"\r\n") and _head_check.END in raw:
                break
            raw = raw[2:] if raw.startswith(b"\r\n") else raw
            if len(raw) > limits.max_head_bytes:
                raise _refused("the head is too large", 431)
            if b"\n\n" in raw:
                raise _refused("a line of the head does not end with CR LF")
            now = self._clock.monotonic()
            if raw and deadline is None:
                deadline = now + limits.head_timeout_s
            wait = limits.idle_timeout_s
            if deadline is not None:
                wait = deadline - now
            data = self._take(wait) if wait > 0 else None
            if data is None:
                if raw:
                    raise _refused("the head did not arrive in time", 408)
                return False
            if not data:
                return False
            raw += data
        self._raw = b""
        end = raw.index(_head_check.END) + len(_head_check.END)
        if end > limits.max_head_bytes:
            raise _refused("the head is too large", 431)
        fault = _head_check.fault(raw[:end])
        if fault is not None:
            raise _refused(fault)
        self._conn.receive_data(raw)
        return True

    def _next_event(self) -> typing.Any:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise _refused(str(exc), exc.error_status_hint) from exc

    def _read_body(self, head: h11.Request) -> bytes:
        """Return the whole body, within the limits."""
        limits = self._limits()
        limit = limits.max_body_bytes
        until = self._clock.monotonic() + (
            limits.head_timeout_s * BODY_HEAD_TIMES
        )
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit:
                raise _too_large(limit)
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._feed(until)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise _too_large(limit)
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise CallerGoneError("the connection ended inside a body")

    def _feed(self, until: float) -> None:
        """Give the parser more bytes of a body."""
        if self._conn.they_are_waiting_for_100_continue:
            self._send(
                self._conn.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        left = until - self._clock.monotonic()
        data = self._take(left) if left > 0 else None
        if data is None:
            raise _refused("the body did not arrive in time", 408)
        if not data:
            raise CallerGoneError("the connection ended inside a body")
        self._conn.receive_data(data)

    @property
    def started(self) -> bool:
        """Whether the head of the present answer was sent."""
        return self._started

    def start(
        self, status: int, headers: collections.abc.Iterable[typing.Any]
    ) -> None:
        """Send the head of an answer."""
        self._send(self._head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._send(self._conn.send(h11.Data(data=data)))

    def end(self) -> None:
        """Finish the answer."""
        self._send(self._conn.send(h11.EndOfMessage()))

    def answer(
        self,
        status: int,
        headers: collections.abc.Iterable[typing.Any],
        body: bytes,
    ) -> None:
        """Send a whole answer with one write."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        data = self._head(status, fields)
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        self._send(data)

    def refuse(self, refusal: _refusals.GatewayRefusal) -> None:
        """Answer with a refusal; after a malformed request, the last."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise CallerGoneError("no answer can be sent any more")
        self.answer(refusal.status, refusal.headers(), refusal.body())

    def _head(
        self, status: int, headers: collections.abc.Iterable[typing.Any]
    ) -> bytes:
        fields = list(headers)
        if self.closing:
            fields.append((b"Connection", b"close"))
        self._started = True
        return (
            self._conn.send(
                h11.Response(status_code=status, headers=fields, reason=b"")
            )
            or b""
        )

    def _send(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            with gevent.Timeout(WRITE_STALL_S, TimeoutError("not read")):
                self._sock.sendall(data)
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def finish(self) -> bool:
        """Make ready for the next request; return whether there is one."""
        self.busy = False
        if self.closing or self._conn.our_state is not h11.DONE:
            return False
        if self._conn.their_state is not h11.DONE:
            return False
        trailing, _ = self._conn.trailing_data
        self._raw = trailing
        self._conn = self._new_parser()
        return True

    def end_idle(self) -> None:
        """Let an idle connection end as if the caller had closed it."""
        self._inbox.put(b"")

    def close(self) -> None:
        """Close; an answer that was not ended stays unfinished."""
        self._reader.kill(block=False)
        self._shut_down()
        self._sock.close()

    def _shut_down(self) -> None:
        """End our side first, so that the last answer is not lost."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            _log.debug("caller: connection was gone at its end: %s", exc)


def _refused(detail: str, status: int = 400) -> _refusals.GatewayRefusedError:
    """Return the error for a malformed request."""
    return _refusals.GatewayRefusedError(_refusals.bad_request(detail, status))


def _too_large(limit: int) -> _refusals.GatewayRefusedError:
    """Return the error for a body over the limit."""
    return _refusals.GatewayRefusedError(_refusals.too_large(limit))
