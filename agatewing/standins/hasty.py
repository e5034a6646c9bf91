"""Test double of a target that answers before it has read the request."""

import enum
import socket

import gevent
import gevent.server
import gevent.socket

from agatewing import net

#: Size of the receive buffer, in bytes; a larger upload is still being
#: written when the answer comes.
BUFFER_BYTES = 65_536
#: Largest number of bytes of a request that are read: its head.
HEAD_BYTES = 8_192
#: Longest time for which the rest of an upload is read, in seconds.
DRAIN_S = 5.0


class End(enum.StrEnum):
    """How the connection ends after the answer."""

    #: Resets it.
    RESET = "reset"
    #: Closes it with unread bytes, so that the kernel resets it.
    CLOSE_UNREAD = "close with unread bytes"
    #: Ends the answer in order, reads the rest of the request, and closes.
    ORDERLY = "orderly"
    #: Ends the answer in order, and resets the connection later.
    ORDERLY_THEN_RESET = "orderly, then reset"


class HastyServer:
    """Reads the head of each request, answers, and ends the connection."""

    def __init__(
        self,
        answer: bytes,
        end: End = End.RESET,
        pause_s: float = 0.0,
    ):
        """Create a server of one answer.

        ``pause_s`` is the time from the answer to the end of the connection.
        """
        self._answer = answer
        self._end = end
        self._pause_s = pause_s
        #: Number of requests that have reached it.
        self.requests = 0
        listener = gevent.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(128)
        self._server = gevent.server.StreamServer(listener, self._serve)
        self._server.start()

    def __enter__(self) -> "HastyServer":
        return self

    def __exit__(self, *args: object) -> None:
        self._server.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address of the server as ``IP:PORT``."""
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        try:
            if not sock.recv(HEAD_BYTES):
                return
            self.requests += 1
            sock.sendall(self._answer)
            gevent.sleep(self._pause_s)
            self._finish(sock)
        except OSError:
            # The caller has closed the connection.
            return
        finally:
            sock.close()

    def _finish(self, sock: gevent.socket.socket) -> None:
        match self._end:
            case End.RESET:
                net.reset_on_close(sock)
            case End.CLOSE_UNREAD:
                pass
            case End.ORDERLY:
                sock.shutdown(socket.SHUT_WR)
                _drain(sock)
            case End.ORDERLY_THEN_RESET:
                sock.shutdown(socket.SHUT_WR)
                gevent.sleep(0.05)
                net.reset_on_close(sock)


def _drain(sock: gevent.socket.socket) -> None:
    """Read until the caller closes, for ``DRAIN_S`` at most."""
    with gevent.Timeout(DRAIN_S, False):
        while sock.recv(1_048_576):
            pass
