"""Hands requests on to peers, over pooled connections."""

import collections
import collections.abc
import contextlib

import gevent
import gevent.socket
import result

from agatewing import _clock
from agatewing.detour import _session
from agatewing import net
from agatewing import wire

#: Timeout from the choice of a peer until it takes the request, in seconds.
TAKE_TIMEOUT_S = 0.5
#: Longest idle time of a connection that is used again, in seconds.
MAX_IDLE_S = 10.0
#: Largest number of idle connections to one peer.
MAX_IDLE = 16


class NotTakenError(Exception):
    """The peer has not taken the request and never will."""

    def __init__(
        self, reason: str, refusal: wire.HopRefusal | None = None
    ) -> None:
        super().__init__(reason)
        #: Refusal of the peer; ``None`` if it gave none.
        self.refusal = refusal


class DeadlineExceededError(Exception):
    """The deadline passed while an answer was awaited."""


class Hop:
    """One request that a peer serves, and its answer.

    The peer begins to serve it only after the last frame of its body.
    """

    __slots__ = (
        "_session",
        "_clock",
        "_pool",
        "_released",
        "_last_frame_at",
        "_data",
        "_ended",
        "on_close",
    )

    def __init__(
        self,
        session: _session.Session,
        clock: _clock.Clock,
        pool: "_Pool",
    ) -> None:
        self._session = session
        self._clock = clock
        self._pool = pool
        self._released = False
        # Monotonic time of the last frame from the peer, in seconds.
        self._last_frame_at = clock.monotonic()
        # Pieces of the body that came with other members.
        self._data: collections.deque[bytes] = collections.deque()
        self._ended = False
        #: Called once the hop is closed or released.
        self.on_close: collections.abc.Callable[[], None] | None = None

    def send_body(self, body: bytes, deadline: float) -> None:
        """Send the whole body, whereupon the peer serves the request.

        Raises :class:`NotTakenError` if that failed before the last frame,
        and :class:`BrokenError` if the peer may have it.
        """
        pieces = _session.body_pieces(body)
        try:
            with self._timeout(deadline):
                for piece in pieces[:-1]:
                    self._session.send(data=piece)
        except (_session.BrokenError, DeadlineExceededError) as exc:
            raise NotTakenError(str(exc)) from exc
        with self._timeout(deadline):
            self._session.send(data=pieces[-1], last=True)
        self._last_frame_at = self._clock.monotonic()

    def read_head(self, deadline: float) -> wire.HopHead | wire.HopRefusal:
        """Return the head of the answer, or the peer's refusal."""
        frame = self._receive(deadline)
        if frame.refusal is not None:
            self._ended = True
            return frame.refusal
        if frame.head is None:
            raise _session.BrokenError("the answer has no head")
        if frame.head.status not in net.STATUS_CODES:
            # Earlier releases pass on whatever status a target sends.
            raise _session.BrokenError(
                f"{frame.head.status} is not a status code"
            )
        return frame.head

    def read_piece(self, deadline: float) -> bytes:
        """Return the next piece of the body; ``b""`` at its end."""
        while not self._data and not self._ended:
            frame = self._receive(deadline)
            if frame.data is None and not frame.last:
                raise _session.BrokenError("the answer broke off")
        return self._data.popleft() if self._data else b""

    def _receive(self, deadline: float) -> wire.HopFrame:
        with self._timeout(deadline):
            frame = self._session.receive()
        self._last_frame_at = self._clock.monotonic()
        if frame.data:
            self._data.append(frame.data)
        self._ended = bool(frame.last)
        return frame

    def _timeout(self, deadline: float) -> gevent.Timeout:
        left_s = deadline - self._clock.monotonic()
        return gevent.Timeout(
            max(0.001, left_s),
            DeadlineExceededError("the peer has not answered in time"),
        )

    @property
    def silent_s(self) -> float:
        """Time since the last frame from the peer, in seconds."""
        return self._clock.monotonic() - self._last_frame_at

    def release(self) -> None:
        """Keep the connection if the answer was read to its end."""
        if not self._released and self._ended and not self._data:
            self._released = True
            self._pool.release(self._session)
            self._report_close()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection; the peer then cancels the request.

        Does nothing if the hop was released.
        """
        if not self._released:
            self._released = True
            self._session.close()
        self._report_close()

    def _report_close(self) -> None:
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            on_close()


class _Pool:
    """Idle connections to one peer."""

    __slots__ = ("_clock", "_idle", "_expiry")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # With the monotonic time since which it idles, in seconds.
        self._idle: list[tuple[_session.Session, float]] = []
        # Closes those that idle for too long.
        self._expiry: gevent.Greenlet | None = None

    def take(self) -> _session.Session | None:
        """Remove and return an open connection; ``None`` without one."""
        now = self._clock.monotonic()
        while self._idle:
            session, since = self._idle.pop()
            if now - since <= MAX_IDLE_S and session.open_and_drained:
                return session
            session.close()
        return None

    def release(self, session: _session.Session) -> None:
        """Keep a connection for another request."""
        if len(self._idle) < MAX_IDLE:
            self._idle.append((session, self._clock.monotonic()))
            if not self._expiry:
                self._expiry = gevent.spawn(self._expire)
        else:
            session.close()

    def _expire(self) -> None:
        """Close connections that idle for too long, until none is left."""
        while self._idle:
            self._clock.sleep(MAX_IDLE_S)
            now = self._clock.monotonic()
            while self._idle and now - self._idle[0][1] >= MAX_IDLE_S:
                session, _ = self._idle.pop(0)
                session.close()

    def close(self) -> None:
        """Close all connections."""
        for session, _ in self._idle:
            session.close()
        self._idle.clear()


class HopClient:
    """Opens hops to peers."""

    __slots__ = ("_clock", "_codec", "_pools")

    def __init__(self, clock: _clock.Clock, codec: wire.Codec) -> None:
        self._clock = clock
        self._codec = codec
        # By address of the peer.
        self._pools: collections.defaultdict[str, _Pool] = (
            collections.defaultdict(lambda: _Pool(clock))
        )

    def open(
        self, address: str, request: wire.HopRequest, timeout_s: float
    ) -> Hop:
        """Return a hop once the peer takes a request.

        Raises :class:`NotTakenError` if it does not within ``timeout_s`` or
        ``TAKE_TIMEOUT_S``.
        """
        pool = self._pools[address]
        timeout = gevent.Timeout(
            max(0.001, min(TAKE_TIMEOUT_S, timeout_s)),
            NotTakenError("the peer has not taken the request in time"),
        )
        with timeout:
            session = pool.take()
            if session is not None:
                # The peer may have closed it while it was idle.
                with contextlib.suppress(_session.BrokenError):
                    return self._offer(session, request, pool)
            try:
                session = self._connect(address)
                return self._offer(session, request, pool)
            except (OSError, ValueError, _session.BrokenError) as exc:
                raise NotTakenError(str(exc)) from exc

    def _offer(
        self,
        session: _session.Session,
        request: wire.HopRequest,
        pool: _Pool,
    ) -> Hop:
        """Return a hop if the peer takes the request.

        Raises :class:`BrokenError` or :class:`NotTakenError` if not.
        """
        try:
            session.send(request=request)
            frame = session.receive()
            if frame.refusal is None and not frame.ready:
                raise _session.BrokenError("the peer has not said if it takes")
        except BaseException:
            session.close()
            raise
        if frame.refusal is not None:
            pool.release(session)
            raise NotTakenError(frame.refusal.detail, frame.refusal)
        return Hop(session, self._clock, pool)

    def _connect(self, address: str) -> _session.Session:
        nonce = _session.new_nonce()
        opening = wire.StateRequest(
            stream=_session.HOP_STREAM, key=nonce.hex()
        )
        sock = gevent.socket.create_connection(net.split_address(address))
        try:
            _session.set_options(sock)
            wire.send_frame(sock, self._codec.encode(opening))
            data = wire.read_frame(sock)
            match self._codec.decode(wire.StateReply, data):
                case result.Ok(reply):
                    pass
                case result.Err(exc):
                    raise _session.BrokenError(str(exc))
            if not reply.known or len(reply.state) != _session.NONCE_BYTES:
                raise _session.BrokenError("the peer takes no requests")
        except BaseException:
            sock.close()
            raise
        return _session.Session(
            sock, self._codec, nonce + reply.state, serves=False
        )

    def close_idle(self, addresses: collections.abc.Container[str]) -> None:
        """Close the idle connections to all but the given addresses."""
        for address in list(self._pools):
            if address not in addresses:
                self._pools.pop(address).close()
