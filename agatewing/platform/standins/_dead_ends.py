"""Loopback addresses at which no connection can be opened."""

import socket

#: Connections that fill the queue of a socket with the shortest backlog.
QUEUED = 4


class DeadEnds:
    """An address that does not answer connects, and one that refuses them."""

    def __init__(self) -> None:
        self._silent = socket.socket()
        self._silent.bind(("127.0.0.1", 0))
        self._silent.listen(0)
        self._queued = []
        for _ in range(QUEUED):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.silent)
            self._queued.append(sock)
        self._closed = socket.socket()
        self._closed.bind(("127.0.0.1", 0))

    @property
    def silent(self) -> tuple[str, int]:
        """Address at which connects hang, as its queue is full."""
        host, port = self._silent.getsockname()
        return str(host), int(port)

    @property
    def refusing(self) -> tuple[str, int]:
        """Address at which connects are refused."""
        host, port = self._closed.getsockname()
        return str(host), int(port)

    def close(self) -> None:
        """Give the addresses up."""
        for sock in (self._silent, self._closed, *self._queued):
            sock.close()
