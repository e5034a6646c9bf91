"""A proxy on loopback that spoils the connections through it."""

import enum

import gevent
import gevent.server
import gevent.socket

from agatewing import net
from agatewing.platform import standins

#: Bytes copied at once.
BLOCK_BYTES = 65_536
#: Delay of each block in the mode SLOW, in seconds.
DELAY_S = 0.05


class ProxyMode(enum.StrEnum):
    """What happens to connections."""

    FINE = "fine"
    #: Each block is delayed.
    SLOW = "slow"
    #: Nothing passes any more, and nothing says so.
    SILENT = "silent"
    #: Requests pass, answers do not.
    ONE_WAY = "one-way"
    #: Connections are closed, new ones too.
    CUT = "cut"


class Proxy(standins.Loopback):
    """Passes connections on to one address."""

    def __init__(self, target: str) -> None:
        self._target = net.split_address(target)
        self.mode = ProxyMode.FINE
        self._pairs: set[gevent.socket.socket] = set()
        super().__init__(
            gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        )

    def stop(self) -> None:
        """Close the port and every connection."""
        super().stop()
        self.break_connections()

    def break_connections(self) -> None:
        """Close what is open now; new connections may come."""
        for sock in list(self._pairs):
            sock.close()
        self._pairs.clear()

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        if self.mode is ProxyMode.CUT:
            sock.close()
            return
        try:
            other = gevent.socket.create_connection(self._target)
        except OSError:
            sock.close()
            return
        self._pairs |= {sock, other}
        there = gevent.spawn(self._copy, sock, other, False)
        back = gevent.spawn(self._copy, other, sock, True)
        gevent.joinall([there, back])
        self._pairs -= {sock, other}

    def _copy(
        self,
        source: gevent.socket.socket,
        sink: gevent.socket.socket,
        answers: bool,
    ) -> None:
        """Copy one direction; an end or a break ends both."""
        try:
            while data := source.recv(BLOCK_BYTES):
                self._hold(answers)
                sink.sendall(data)
        except OSError:
            # A break on one side is passed on by the close below.
            pass
        sink.close()
        source.close()

    def _hold(self, answers: bool) -> None:
        """Wait as long as the mode says."""
        if self.mode is ProxyMode.SLOW:
            gevent.sleep(DELAY_S)
        while self.mode is ProxyMode.SILENT or (
            answers and self.mode is ProxyMode.ONE_WAY
        ):
            gevent.sleep(DELAY_S)
