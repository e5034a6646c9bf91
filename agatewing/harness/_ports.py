"""Loopback ports for processes that are to be started."""

import itertools
import os
import socket

HOST = "127.0.0.1"
#: Ports for deployments; below the kernel's range for outgoing connections.
FIRST_PORT = 10_000
PORT_COUNT = 20_000
#: Distance between the first ports of processes with successive pids.
PORT_STRIDE = 211

_next_port = itertools.count(os.getpid() * PORT_STRIDE)


class PortLease:
    """Loopback ports that no other lease of any process gets meanwhile.

    A port may be opened and closed any number of times, by this or another
    process, if that sets SO_REUSEADDR; connections are refused while it is
    closed. A lease ends when it is closed or deleted.
    """

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        # Each is bound to a port, and does not listen.
        self._sockets: list[socket.socket] = []

    def take(self, count: int) -> list[int]:
        """Return distinct ports that are free for TCP and UDP.

        Raises ``OSError`` if there are not as many.
        """
        # Each process starts its search at another port.
        found: list[int] = []
        for _ in range(PORT_COUNT):
            if len(found) == count:
                return found
            port = FIRST_PORT + next(_next_port) % PORT_COUNT
            sock = _hold(port)
            if sock is not None:
                self._sockets.append(sock)
                found.append(port)
        raise OSError(
            f"only {len(found)} of {count} ports are free; close leases or "
            "end processes that hold loopback ports"
        )

    def close(self) -> None:
        """Give the ports up."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def _hold(port: int) -> socket.socket | None:
    """Bind a port; return ``None`` if it is in use."""
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
        with socket.socket(type=socket.SOCK_DGRAM) as datagram_sock:
            datagram_sock.bind((HOST, port))
    except OSError:
        sock.close()
        return None
    # Only after the bind, which would share a port of another lease.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock
