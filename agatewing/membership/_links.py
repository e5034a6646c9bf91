"""Links between instances: UDP for heartbeats, TCP for state."""

import collections.abc
import logging
import socket
import typing

import gevent
import gevent.server
import gevent.socket
import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing.membership import _detector
from agatewing.membership import _peers
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.links")

#: Largest datagram read, in bytes.
DATAGRAM_BYTES = 8_192
#: Time for a whole exchange over TCP, in seconds.
EXCHANGE_S = 3.0

StateSource = collections.abc.Callable[[str], wire.StateReply]
NewsSource = collections.abc.Callable[[], _peers.News]
StampSink = collections.abc.Callable[[int, int], None]
T = typing.TypeVar("T")


class Links:
    """Sends and receives what the detector asks for."""

    __slots__ = (
        "_codec",
        "_clock",
        "_detector",
        "_news",
        "_on_stamp",
        "_state_source",
        "_udp",
        "_tcp",
        "sent_bytes",
        "received_bytes",
        "malformed",
    )

    def __init__(
        self,
        host: str,
        port: int,
        codec: wire.Codec,
        clock: _clock.Clock,
        detector: _detector.Detector,
        news: NewsSource,
        on_stamp: StampSink,
        state_source: StateSource,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._detector = detector
        self._news = news
        self._on_stamp = on_stamp
        self._state_source = state_source
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._udp = gevent.socket.socket(family, socket.SOCK_DGRAM)
        self._udp.bind((host, port))
        self._tcp = gevent.server.StreamServer((host, port), self._serve)
        #: Bytes sent in datagrams.
        self.sent_bytes = 0
        #: Bytes received in datagrams.
        self.received_bytes = 0
        #: Datagrams that could not be decoded.
        self.malformed = 0

    def start(self) -> None:
        """Serve state requests and start both loops."""
        self._tcp.start()
        gevent.spawn(self._run_receive)
        gevent.spawn(self._run_ticks)

    def stop(self) -> None:
        """Tell the others once more and close."""
        self._send(self._detector.tick(self._clock.monotonic(), self._news()))
        self._tcp.stop()

    def fetch_state(
        self, address: str, stream: str
    ) -> result.Result[wire.StateReply, _exceptions.AgatewingError]:
        """Ask a peer for its state of a stream."""
        place = net.split_address(address)
        request = wire.StateRequest(stream=stream)
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError("no answer")):
                sock = gevent.socket.create_connection(place, timeout=1.0)
                with sock:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    wire.send_frame(sock, self._codec.encode(request))
                    data = wire.read_frame(sock)
        except (OSError, ValueError) as exc:
            return result.Err(_exceptions.TargetSilentError(address, str(exc)))
        decoded = self._codec.decode(wire.StateReply, data)
        return typing.cast(
            "result.Result[wire.StateReply, _exceptions.AgatewingError]",
            decoded,
        )

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError("slow peer")):
                data = wire.read_frame(sock, limit=DATAGRAM_BYTES)
                match self._codec.decode(wire.StateRequest, data):
                    case result.Ok(request):
                        reply = self._state_source(request.stream)
                        wire.send_frame(sock, self._codec.encode(reply))
                    case result.Err(exc):
                        self.malformed += 1
                        _log.warning("links: refused a request: %s", exc)
        except (OSError, ValueError) as exc:
            _log.info("links: exchange ended early: %s", exc)
        finally:
            sock.close()

    def _run_receive(self) -> None:
        while True:
            data, source = self._udp.recvfrom(DATAGRAM_BYTES)
            self.received_bytes += len(data)
            match self._codec.decode(wire.Message, data):
                case result.Ok(message):
                    self._take(message, f"{source[0]}:{source[1]}")
                case result.Err():
                    self.malformed += 1

    def _take(self, message: wire.Message, source: str) -> None:
        self._on_stamp(message.hlc_wall_ms, message.hlc_counter)
        now = self._clock.monotonic()
        self._send(self._detector.receive(message, source, now, self._news()))

    def _run_ticks(self) -> None:
        while True:
            now = self._clock.monotonic()
            self._send(self._detector.tick(now, self._news()))
            self._clock.sleep(_detector.PERIOD_S)

    def _send(self, outgoing: list[_peers.Outgoing]) -> None:
        for item in outgoing:
            data = self._codec.encode(item.message)
            place = net.split_address(item.address)
            try:
                self._udp.sendto(data, place)
            except OSError as exc:
                _log.info("links: %s not reached: %s", item.address, exc)
                continue
            self.sent_bytes += len(data)
