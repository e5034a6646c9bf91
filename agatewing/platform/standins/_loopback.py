"""Base class of servers on a free loopback port."""

import errno

import gevent.baseserver
import gevent.socket

from agatewing import net


class Loopback:
    """Runs a server on a loopback port."""

    def __init__(self, server: gevent.baseserver.BaseServer) -> None:
        self._server = server
        self._server.start()

    @property
    def address(self) -> str:
        """Address of the server as ``IP:PORT``."""
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        """Stop the server and close its port."""
        self._server.stop(timeout=0)


def reset(sock: gevent.socket.socket) -> None:
    """Close a connection with a TCP reset; a closed one stays as it is."""
    try:
        net.reset_on_close(sock)
    except OSError as exc:
        if exc.errno != errno.EBADF:
            raise
    sock.close()
