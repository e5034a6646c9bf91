"""Options of TCP sockets."""

import socket
import struct

import gevent.socket

#: Value of SO_LINGER with a linger time of 0 s.
_NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(sock: gevent.socket.socket) -> None:
    """Make ``close`` reset the connection and drop unsent bytes.

    Raises ``OSError`` if the socket is closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def peer_address(sock: gevent.socket.socket) -> str:
    """Return the other end as ``IP:PORT``; empty if it is not connected."""
    try:
        host, port, *_ = sock.getpeername()
    except OSError:
        return ""
    return f"{host}:{port}"
