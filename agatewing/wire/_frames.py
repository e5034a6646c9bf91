"""Messages over TCP: each behind its length."""

import gevent.socket

from agatewing.wire import _codec

#: Bytes of the length in front of each message.
LENGTH_BYTES = 4


def send_frame(sock: gevent.socket.socket, data: bytes) -> None:
    """Send a message behind its length."""
    sock.sendall(len(data).to_bytes(LENGTH_BYTES, "big") + data)


def read_frame(
    sock: gevent.socket.socket, limit: int = _codec.MAX_MESSAGE_BYTES
) -> bytes:
    """Read a message behind its length."""
    length = int.from_bytes(_read_exact(sock, LENGTH_BYTES), "big")
    if length > limit:
        raise ValueError(f"message of {length} bytes is over {limit}")
    return _read_exact(sock, length)


def _read_exact(sock: gevent.socket.socket, count: int) -> bytes:
    """Read exactly ``count`` bytes."""
    parts = bytearray()
    while len(parts) < count:
        data = sock.recv(min(65_536, count - len(parts)))
        if not data:
            raise ConnectionResetError("connection closed early")
        parts += data
    return bytes(parts)
