"""A loopback port that accepts connections, refuses or ignores them."""

import collections.abc
import socket

import gevent
import gevent.server
import gevent.socket

#: Connections that fill the queue of a socket with the shortest backlog.
QUEUED = 4

Handle = collections.abc.Callable[[gevent.socket.socket], None]


class Port:
    """A port that can change; connections that are open are not concerned."""

    def __init__(self, port: int, handle: Handle) -> None:
        """Listen; ``handle`` is called in a greenlet per connection."""
        self._address = ("127.0.0.1", port)
        self._handle = handle
        self._server: gevent.server.StreamServer | None = None
        # Without an answer to connects: the listening socket and the
        # connections in its queue.
        self._full: list[socket.socket] = []
        self.accept()

    @property
    def address(self) -> str:
        """Address as ``IP:PORT``."""
        return "{}:{}".format(*self._address)

    def accept(self) -> None:
        """Accept connections from now on."""
        if self._server is not None:
            return
        self.refuse()
        # Greenlets of the hub, not of the instance that opened the port.
        self._server = gevent.server.StreamServer(
            self._address,
            lambda sock, _: self._handle(sock),
            spawn=gevent.spawn,
        )
        self._server.start()

    def refuse(self) -> None:
        """Refuse connections from now on."""
        if self._server is not None:
            self._accept_pending(self._server)
            self._server.stop(timeout=0)
            self._server = None
        for sock in self._full:
            sock.close()
        self._full.clear()

    def ignore(self) -> None:
        """Do not answer connects from now on: the queue is full."""
        if self._full:
            return
        self.refuse()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(0)
        self._full.append(listener)
        for _ in range(QUEUED):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self._address)
            self._full.append(sock)

    def _accept_pending(self, server: gevent.server.StreamServer) -> None:
        """Accept what the kernel has already opened, not to be reset."""
        while accepted := server.do_read():
            gevent.spawn(self._handle, accepted[0])
