"""The link of one instance to one target, which can be cut and healed."""

import collections.abc
import dataclasses
import enum
import re
import socket
import time

import gevent
import gevent.event
import gevent.socket

from agatewing import net
from agatewing.platform.standins import _loopback
from agatewing.platform.standins import _port

#: Largest block copied at once, in bytes.
BLOCK_BYTES = 65_536
#: Finds the id in the head of a request.
_REQUEST_ID = re.compile(
    rb" HTTP/1\.1\r\n.*?x-request-id: *([^\r]*)", re.IGNORECASE | re.DOTALL
)


class Picture(enum.StrEnum):
    """What an instance sees of a link that is cut."""

    #: Bytes and connects vanish; what is not yet through arrives after the
    #: healing, if its sender has not given up.
    HANG = "hang"
    #: Open connections are reset, new ones refused.
    RESET = "reset"
    #: Open connections live on, new ones are refused.
    LIVE_ON = "live on"


@dataclasses.dataclass(slots=True)
class Flight:
    """What an open connection has carried."""

    #: Id of the last request on it; empty without one.
    request: str = ""
    #: Bytes of that request that reached the target.
    sent: int = 0
    #: Bytes of its answer that reached the instance.
    answered: int = 0
    #: Bytes that wait for the healing, in both directions.
    held: int = 0

    def begin(self, request: str) -> None:
        """Record that a request begins."""
        self.request, self.sent, self.answered = request, 0, 0


class Link:
    """Forwards the connections of one instance to one target."""

    def __init__(self, target: str, port: int) -> None:
        self._target = net.split_address(target)
        #: How the link is cut; ``None`` while it is whole.
        self.picture: Picture | None = None
        #: Monotonic time at which each request began to reach the target, in
        #: seconds, by its id.
        self.carried: dict[str, float] = {}
        # What each open connection has carried, and its two sockets.
        self._flights: dict[
            gevent.socket.socket, tuple[Flight, gevent.socket.socket]
        ] = {}
        self._flowing = gevent.event.Event()
        self._flowing.set()
        self._target_down = False
        self._port = _port.Port(port, self._serve)

    @property
    def address(self) -> str:
        """Address at which the instance reaches the target."""
        return self._port.address

    def stop(self) -> None:
        """Close the port and reset all connections."""
        self.heal()
        self._port.refuse()
        self._reset_all()

    def cut(self, picture: Picture) -> list[Flight]:
        """Cut the link; return what its connections had in flight."""
        flights = [
            dataclasses.replace(flight) for flight, _ in self._flights.values()
        ]
        self.picture = picture
        match picture:
            case Picture.HANG:
                self._flowing.clear()
            case Picture.RESET:
                self._reset_all()
        self._set_port()
        return flights

    def heal(self) -> None:
        """End the cut; connections that hang go on with the exact rest."""
        self.picture = None
        self._flowing.set()
        self._set_port()

    def set_target_down(self, down: bool) -> None:
        """Refuse connections as long as the target does so."""
        self._target_down = down
        self._set_port()

    def _set_port(self) -> None:
        match self.picture:
            case Picture.HANG:
                self._port.ignore()
            case Picture.RESET | Picture.LIVE_ON:
                self._port.refuse()
            case None if self._target_down:
                self._port.refuse()
            case None:
                self._port.accept()

    def _reset_all(self) -> None:
        for sock, (_, upstream) in list(self._flights.items()):
            _loopback.reset(sock)
            _loopback.reset(upstream)
        self._flights.clear()

    def _serve(self, sock: gevent.socket.socket) -> None:
        self._flowing.wait()
        try:
            upstream = gevent.socket.create_connection(self._target)
        except OSError:
            _loopback.reset(sock)
            return
        for end in (sock, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        flight = Flight()
        self._flights[sock] = flight, upstream
        copies = [
            gevent.spawn(
                self._copy, sock, upstream, flight, self._record_sent
            ),
            gevent.spawn(self._copy, upstream, sock, flight, _record_answered),
        ]
        gevent.joinall(copies)
        self._flights.pop(sock, None)
        sock.close()
        upstream.close()

    def _copy(
        self,
        source: gevent.socket.socket,
        sink: gevent.socket.socket,
        flight: Flight,
        record: collections.abc.Callable[[Flight, bytes], None],
    ) -> None:
        """Copy one direction; its end, orderly or not, hangs like bytes."""
        try:
            while data := source.recv(BLOCK_BYTES):
                if not self._flowing.is_set():
                    self._hold(flight, len(data), source)
                record(flight, data)
                sink.sendall(data)
            self._flowing.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._flowing.wait()
            _loopback.reset(sink)
            _loopback.reset(source)

    def _hold(
        self, flight: Flight, size: int, source: gevent.socket.socket
    ) -> None:
        """Keep bytes back until the healing.

        Raises ``ConnectionResetError`` if their sender has reset the
        connection, as its kernel then no longer sends them.
        """
        flight.held += size
        self._flowing.wait()
        flight.held -= size
        if _is_reset(source):
            raise ConnectionResetError

    def _record_sent(self, flight: Flight, data: bytes) -> None:
        found = _REQUEST_ID.search(data[:BLOCK_BYTES])
        if found is not None:
            flight.begin(found[1].decode())
            self.carried.setdefault(flight.request, time.monotonic())
        flight.sent += len(data)


def _record_answered(flight: Flight, data: bytes) -> None:
    flight.answered += len(data)


def _is_reset(sock: gevent.socket.socket) -> bool:
    """Return whether the peer has reset the connection."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return False
