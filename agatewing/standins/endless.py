"""Test double of a peer that sends bytes without end."""

import gevent
import gevent.server
import gevent.socket

#: Time after which it closes the connection itself, in seconds; longer than
#: any limit that a test expects.
GIVE_UP_S = 30.0


class EndlessServer:
    """Sends a start and then a piece again and again, until it is closed."""

    def __init__(self, start: bytes, piece: bytes, pause_s: float = 0.0):
        self._start = start
        self._piece = piece
        self._pause_s = pause_s
        #: Number of bytes sent to all callers.
        self.sent_bytes = 0
        #: Number of connections on which a request has come.
        self.connections = 0
        #: Number of connections that callers closed.
        self.closed = 0
        self._server = gevent.server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()

    def __enter__(self) -> "EndlessServer":
        return self

    def __exit__(self, *args: object) -> None:
        self._server.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address of the server as ``IP:PORT``."""
        return f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        with gevent.Timeout(GIVE_UP_S, False):
            try:
                sock.recv(65_536)
                self.connections += 1
                self._send(sock, self._start)
                while True:
                    self._send(sock, self._piece)
                    gevent.sleep(self._pause_s)
            except OSError:
                self.closed += 1
        sock.close()

    def _send(self, sock: gevent.socket.socket, data: bytes) -> None:
        sock.sendall(data)
        self.sent_bytes += len(data)
