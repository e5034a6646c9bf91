"""Length-prefixed messages over TCP."""

import gevent.socket

from agatewing.wire import _codec

#: Length of the big-endian length prefix of a message, in bytes.
LENGTH_BYTES = 4
#: Size of the pieces in which a message is sent, in bytes; the timeout of the
#: socket holds for each of them.
PIECE_BYTES = 16_384


def send_frame(sock: gevent.socket.socket, data: bytes) -> None:
    """Send a message with its length prefix."""
    framed = memoryview(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    for start in range(0, len(framed), PIECE_BYTES):
        sock.sendall(framed[start : start + PIECE_BYTES])


def read_frame(
    sock: gevent.socket.socket, limit: int = _codec.MAX_MESSAGE_BYTES
) -> bytes:
    """Read one message and return it without its length prefix.

    Raises ``ValueError`` if it is longer than ``limit`` bytes, and
    ``ConnectionResetError`` if the connection ends before it is complete.
    """
    length = int.from_bytes(_read_exact(sock, LENGTH_BYTES), "big")
    if length > limit:
        raise ValueError(
            f"message of {length} bytes exceeds the limit of {limit}"
        )
    return _read_exact(sock, length)


def _read_exact(sock: gevent.socket.socket, count: int) -> bytes:
    """Read exactly ``count`` bytes.

    A ``TimeoutError`` says how many of them have arrived.
    """
    received = bytearray()
    try:
        while len(received) < count:
            data = sock.recv(min(65_536, count - len(received)))
            if not data:
                raise ConnectionResetError(
                    "connection closed before the end of a message"
                )
            received += data
    except TimeoutError as exc:
        raise TimeoutError(
            f"{exc}, {len(received)} of {count} bytes arrived"
        ) from exc
    return bytes(received)
