"""Takes requests that peers hand on, and answers them."""

import collections.abc

import gevent
import gevent.socket

from agatewing.detour import _session
from agatewing import wire

#: Time after which an idle connection is closed, in seconds; longer than the
#: peer uses it.
IDLE_TIMEOUT_S = 15.0
#: Timeout for the body of a request that was taken, in seconds.
BODY_TIMEOUT_S = 5.0
#: Time without progress of a write to a peer, in seconds; as long as for a
#: write to a caller.
WRITE_TIMEOUT_S = 10.0
#: Largest number of connections; further ones are closed.
MAX_CONNECTIONS = 1_024
#: Largest number of requests that are served for peers at a time, and of the
#: bytes of their bodies.
MAX_REQUESTS = 256
MAX_BODY_BYTES = 32_000_000


class Room:
    """Number and bytes of the requests that an instance serves for peers."""

    __slots__ = ("requests", "body_bytes")

    def __init__(self) -> None:
        #: Number of requests.
        self.requests = 0
        #: Bytes of their bodies.
        self.body_bytes = 0

    def has_for(self, body_bytes: int) -> bool:
        """Return whether one more request finds room.

        A body finds room if there is no other one, however large it is.
        """
        if self.requests >= MAX_REQUESTS:
            return False
        return (
            not self.body_bytes
            or self.body_bytes + body_bytes <= MAX_BODY_BYTES
        )


class HopAnswer:
    """The answering side of a connection on which a peer hands on requests."""

    __slots__ = ("_session",)

    def __init__(self, session: _session.Session) -> None:
        self._session = session

    def next_request(self) -> wire.HopRequest:
        """Wait for the next request that the peer offers.

        Raises :class:`BrokenError` if none comes.
        """
        with _timeout(IDLE_TIMEOUT_S, "idle for too long"):
            frame = self._session.receive(_session.HEAD_FRAME_BYTES)
        if frame.request is None:
            raise _session.BrokenError("a frame belongs to no request")
        if frame.request.body_bytes < 0:
            raise _session.BrokenError("the length of a body is negative")
        return frame.request

    def say_ready(self) -> None:
        """Tell the peer to send the body of the request."""
        self._send(ready=True)

    def take(self, request: wire.HopRequest) -> bytes:
        """Take a request; return its body once it has arrived in full."""
        self.say_ready()
        body = bytearray()
        with _timeout(BODY_TIMEOUT_S, "the body did not arrive in time"):
            while True:
                frame = self._session.receive()
                if frame.data is None:
                    raise _session.BrokenError("the body broke off")
                body += frame.data
                if len(body) > request.body_bytes:
                    raise _session.BrokenError("the body is too long")
                if frame.last:
                    break
        if len(body) != request.body_bytes:
            raise _session.BrokenError("the body is too short")
        return bytes(body)

    def start(self, head: wire.HopHead) -> None:
        """Send the head of an answer."""
        self._send(head=head)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        for piece in _session.body_pieces(data):
            self._send(data=piece)

    def end(self) -> None:
        """Finish the answer."""
        self._send(last=True)

    def refuse(self, refusal: wire.HopRefusal) -> None:
        """Refuse the request."""
        self._send(refusal=refusal)

    def _send(self, **members: object) -> None:
        with _timeout(WRITE_TIMEOUT_S, "the peer does not read"):
            self._session.send(**members)

    def watch(
        self, on_end: collections.abc.Callable[[], None]
    ) -> gevent.Greenlet:
        """Return a greenlet that calls ``on_end`` once the peer has left."""

        def wait() -> None:
            if not self._session.wait_for_input():
                on_end()

        return gevent.spawn(wait)

    def close(self) -> None:
        """Close the connection; an unfinished answer stays incomplete."""
        self._session.close()


def _timeout(seconds: float, reason: str) -> gevent.Timeout:
    return gevent.Timeout(seconds, _session.BrokenError(reason))


class HopServer:
    """Accepts connections on which peers hand on requests."""

    __slots__ = ("_codec", "_serve", "_socks")

    def __init__(
        self,
        codec: wire.Codec,
        serve: collections.abc.Callable[[HopAnswer], None],
    ) -> None:
        self._codec = codec
        # Serves the requests of a connection.
        self._serve = serve
        self._socks: set[gevent.socket.socket] = set()

    def close(self) -> None:
        """Close all connections, as the end of the process does."""
        for sock in list(self._socks):
            sock.close()

    def serve(
        self, sock: gevent.socket.socket, opening: wire.StateRequest
    ) -> None:
        """Serve a connection whose first frame was ``opening``.

        The socket is closed by the time that it returns.
        """
        nonce = _session.new_nonce()
        try:
            peer_nonce = bytes.fromhex(opening.key or "")
        except ValueError:
            peer_nonce = b""
        known = (
            len(peer_nonce) == _session.NONCE_BYTES
            and len(self._socks) < MAX_CONNECTIONS
        )
        reply = wire.StateReply(known=known, through=0, state=nonce)
        self._socks.add(sock)
        try:
            _session.set_options(sock)
            with _timeout(WRITE_TIMEOUT_S, "the peer does not read"):
                wire.send_frame(sock, self._codec.encode(reply))
            if known:
                session = _session.Session(
                    sock, self._codec, peer_nonce + nonce, serves=True
                )
                self._serve(HopAnswer(session))
        finally:
            self._socks.discard(sock)
            sock.close()
