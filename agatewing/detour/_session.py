"""Signed frames of one connection that carries requests between instances.

A connection begins with the state request :data:`HOP_STREAM`, whose key is a
nonce of the side that opens it; the reply's state is a nonce of the other
side. All further frames name both and are numbered, so that frames recorded
on one connection are not valid on another or a second time.
"""

import secrets
import socket

import gevent.socket
import result

from agatewing import net
from agatewing import wire

#: Name of the state in the first request on a connection.
HOP_STREAM = "gateway-hops"
#: Length of a nonce, in bytes.
NONCE_BYTES = 16
#: Largest piece of a body in one frame, in bytes.
PART_BYTES = 262_144
#: Largest frame without a piece of a body, in bytes: a head with its headers.
HEAD_FRAME_BYTES = 65_536
#: Largest frame, in bytes.
MAX_FRAME_BYTES = PART_BYTES + HEAD_FRAME_BYTES
#: Steps of a turn that one frame takes; its signature is checked.
FRAME_STEPS = 2
#: Largest number of bytes read from a connection at once.
READ_BYTES = 65_536
#: Time after which data that is not acknowledged, or that the other side does
#: not read, breaks a connection, in milliseconds; as long as a write to a
#: caller may take, whose pause holds up that of the peer.
TCP_USER_TIMEOUT_MS = 10_000
_CALLING = b"c"
_SERVING = b"s"


class BrokenError(Exception):
    """The connection broke or carried an invalid frame."""


class Session:
    """One side of a connection, once both nonces are known."""

    __slots__ = (
        "_sock",
        "_codec",
        "_own",
        "_other",
        "_sent",
        "_received",
        "_unread",
        "_turn",
    )

    def __init__(
        self,
        sock: gevent.socket.socket,
        codec: wire.Codec,
        nonces: bytes,
        serves: bool,
    ) -> None:
        self._sock = sock
        self._codec = codec
        own, other = (_SERVING, _CALLING) if serves else (_CALLING, _SERVING)
        self._own = own + nonces
        self._other = other + nonces
        self._sent = 0
        self._received = 0
        # Bytes of a frame that has not arrived whole. They are kept here, as
        # a timeout may end a wait for the rest.
        self._unread = bytearray()
        self._turn = net.Turn()

    def send(self, **members: object) -> None:
        """Send a frame with the given members.

        Raises :class:`BrokenError` if the connection is broken.
        """
        self._sent += 1
        frame = wire.HopFrame(
            session=self._own, sequence=self._sent, **members
        )
        try:
            wire.send_frame(self._sock, self._codec.encode(frame))
        except OSError as exc:
            raise BrokenError(str(exc)) from exc

    def receive(self, limit: int = MAX_FRAME_BYTES) -> wire.HopFrame:
        """Return the next frame of the other side.

        ``limit`` is the largest one that may come, in bytes. Raises
        :class:`BrokenError` if there is none or it is not valid. A wait that
        is interrupted may go on with another call.
        """
        self._turn.spend(FRAME_STEPS)
        data = self._receive_frame(limit)
        match self._codec.decode(wire.HopFrame, data):
            case result.Ok(frame):
                pass
            case result.Err(reason):
                raise BrokenError(str(reason))
        self._received += 1
        if (frame.session, frame.sequence) != (self._other, self._received):
            raise BrokenError("the frame belongs to another connection")
        return frame

    def _receive_frame(self, limit: int) -> bytes:
        head = wire.LENGTH_BYTES
        self._receive_up_to(head)
        length = int.from_bytes(self._unread[:head], "big")
        if length > limit:
            raise BrokenError(f"a frame of {length} bytes is too long")
        self._receive_up_to(head + length)
        data = bytes(self._unread[head : head + length])
        del self._unread[: head + length]
        return data

    def _receive_up_to(self, count: int) -> None:
        """Receive until ``count`` bytes are unread."""
        while len(self._unread) < count:
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError as exc:
                raise BrokenError(str(exc)) from exc
            if not data:
                raise BrokenError("the connection ended")
            self._unread += data
            self._turn.spend(0, len(data))

    @property
    def open_and_drained(self) -> bool:
        """Whether the connection is open and nothing has arrived on it."""
        return not self._unread and self._peek() is None

    def wait_for_input(self) -> bool:
        """Wait for bytes; return ``False`` if the connection ends instead."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _peek(self) -> bytes | None:
        """Return a byte that has arrived; ``None`` if there is none."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bytes(self._sock._sock.recv(1, flags))
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def body_pieces(body: bytes) -> list[bytes]:
    """Split a body for frames; an empty one is one empty piece."""
    starts = range(0, len(body), PART_BYTES) or range(1)
    return [body[start : start + PART_BYTES] for start in starts]


def new_nonce() -> bytes:
    """Return a nonce that nobody can predict."""
    return secrets.token_bytes(NONCE_BYTES)


def set_options(sock: gevent.socket.socket) -> None:
    """Set the options of a connection; raise ``OSError`` if it is closed."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
