"""A TCP proxy on loopback that injects network faults."""

import enum
import random
import time

import gevent
import gevent.server
import gevent.socket

from agatewing import net
from agatewing.platform import standins

#: Largest block copied at once, in bytes.
BLOCK_BYTES = 65_536
#: Delay of each block in mode SLOW, and the polling period of the modes that
#: block, in seconds.
DELAY_S = 0.05
#: Shortest time between two silences of a target, in seconds.
MIN_TALK_S = 0.5


class ProxyMode(enum.StrEnum):
    """Network fault on all connections through the proxy."""

    FINE = "fine"
    #: Each block is delayed.
    SLOW = "slow"
    #: Data is held back in both directions; connections stay open.
    SILENT = "silent"
    #: Requests pass, answers are held back.
    ONE_WAY = "one-way"
    #: Open connections are reset, new ones are closed at once.
    CUT = "cut"


class Proxy(standins.Loopback):
    """Forwards connections to one address."""

    def __init__(self, target: str, port: int = 0) -> None:
        """Listen on a port; on any free one for 0."""
        self._target = net.split_address(target)
        self.mode = ProxyMode.FINE
        # Monotonic time until which the target is silent, in seconds.
        self._silent_until = 0.0
        self._random = random.Random(self._target[1])
        self._sockets: set[gevent.socket.socket] = set()
        # Those that carry nothing any more.
        self._dead: set[gevent.socket.socket] = set()
        super().__init__(
            gevent.server.StreamServer(("127.0.0.1", port), self._serve)
        )

    def stop(self) -> None:
        """Close the port and all connections."""
        super().stop()
        self.break_connections()

    def break_connections(self) -> None:
        """Reset all open connections; new ones are still accepted."""
        for sock in list(self._sockets):
            standins.reset(sock)
        self._sockets.clear()

    def silence_open(self) -> None:
        """Have all open connections carry nothing any more, without a reset.

        New ones work.
        """
        self._dead |= self._sockets

    def fall_silent(self, length_s: float) -> None:
        """Let the target fall silent; it goes on with the exact rest.

        Does nothing if it was silent less than ``MIN_TALK_S`` ago, so that
        silences that overlap do not add up.
        """
        now = time.monotonic()
        if now >= self._silent_until + MIN_TALK_S:
            self._silent_until = now + length_s

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        if self.mode is ProxyMode.CUT:
            sock.close()
            return
        try:
            upstream = gevent.socket.create_connection(self._target)
        except OSError:
            sock.close()
            return
        self._sockets |= {sock, upstream}
        forward = gevent.spawn(self._copy, sock, upstream, False)
        backward = gevent.spawn(self._copy, upstream, sock, True)
        gevent.joinall([forward, backward])
        self._sockets -= {sock, upstream}
        self._dead -= {sock, upstream}

    def _copy(
        self,
        source: gevent.socket.socket,
        sink: gevent.socket.socket,
        is_answer: bool,
    ) -> None:
        """Copy one direction until it ends or breaks; end both sides.

        A broken connection is reset on the other side too: an orderly close
        would end an unframed answer.
        """
        try:
            while data := source.recv(BLOCK_BYTES):
                if source in self._dead:
                    continue
                self._delay(is_answer)
                if is_answer:
                    data = self._hold_rest(sink, data)
                sink.sendall(data)
        except OSError:
            standins.reset(sink)
        sink.close()
        source.close()

    def _hold_rest(self, sink: gevent.socket.socket, data: bytes) -> bytes:
        """Wait while the target is silent; return what is still to be sent.

        Of the blocks that come meanwhile, a third is held back whole, a third
        in part, and a third passes, so that answers fall silent before their
        first byte, inside an event, and between two.
        """
        left_s = self._silent_until - time.monotonic()
        if left_s <= 0:
            return data
        passed = self._random.choice(
            (0, self._random.randrange(len(data)), len(data))
        )
        sink.sendall(data[:passed])
        while passed < len(data) and left_s > 0:
            gevent.sleep(left_s)
            left_s = self._silent_until - time.monotonic()
        return data[passed:]

    def _delay(self, is_answer: bool) -> None:
        """Delay a block by DELAY_S, or until the mode lets it pass."""
        if self.mode is ProxyMode.SLOW:
            gevent.sleep(DELAY_S)
        while self.mode is ProxyMode.SILENT or (
            is_answer and self.mode is ProxyMode.ONE_WAY
        ):
            gevent.sleep(DELAY_S)
