"""Links between instances: heartbeats over UDP, state over TCP."""

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

#: Largest datagram, and largest state request, that is read, in bytes.
MAX_READ_BYTES = 8_192
#: Timeout of a whole exchange of state over TCP, in seconds.
EXCHANGE_TIMEOUT_S = 3.0

StateSource = collections.abc.Callable[[str, str], wire.StateReply]
SenderStateSource = collections.abc.Callable[[], _peers.SenderState]
StampSink = collections.abc.Callable[[int, int], None]
T = typing.TypeVar("T")


class Links:
    """Exchanges the detector's messages and the state of streams."""

    __slots__ = (
        "_codec",
        "_clock",
        "_detector",
        "_sender_state",
        "_on_stamp",
        "_state_source",
        "_udp",
        "_tcp",
        "_loops",
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
        sender_state: SenderStateSource,
        on_stamp: StampSink,
        state_source: StateSource,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._detector = detector
        self._sender_state = sender_state
        self._on_stamp = on_stamp
        self._state_source = state_source
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._udp = gevent.socket.socket(family, socket.SOCK_DGRAM)
        self._udp.bind((host, port))
        self._tcp = gevent.server.StreamServer((host, port), self._serve)
        self._loops: list[gevent.Greenlet] = []
        #: Bytes sent in datagrams.
        self.sent_bytes = 0
        #: Bytes received in datagrams.
        self.received_bytes = 0
        #: Datagrams and state requests that could not be decoded.
        self.malformed = 0

    def start(self) -> None:
        """Serve state requests; start receiving and probing."""
        self._tcp.start()
        self._loops = [
            gevent.spawn(self._run_receive),
            gevent.spawn(self._run_probes),
        ]

    def stop(self) -> None:
        """Send one more round of probes and stop serving state requests.

        The probes report the status ``LEFT`` if
        ``Detector.announce_departure`` was called before. The loops that
        receive and probe run until :meth:`kill`.
        """
        self._send(
            self._detector.tick(self._clock.monotonic(), self._sender_state())
        )
        self._tcp.stop()

    def kill(self) -> None:
        """End all loops and close both ports, without sending anything."""
        gevent.killall(self._loops)
        self._tcp.stop(timeout=0)
        self._udp.close()

    def fetch_state(
        self, address: str, stream: str, key: str = ""
    ) -> result.Result[wire.StateReply, _exceptions.AgatewingError]:
        """Fetch a peer's state of a stream.

        Returns a ``TargetSilentError`` if the peer cannot be reached or does
        not answer within ``EXCHANGE_TIMEOUT_S``, or the error of a reply that
        cannot be decoded.
        """
        socket_address = net.split_address(address)
        request = wire.StateRequest(stream=stream, key=key or None)
        try:
            with gevent.Timeout(EXCHANGE_TIMEOUT_S, TimeoutError("no answer")):
                sock = gevent.socket.create_connection(
                    socket_address, timeout=1.0
                )
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
            with gevent.Timeout(EXCHANGE_TIMEOUT_S, TimeoutError("slow peer")):
                data = wire.read_frame(sock, limit=MAX_READ_BYTES)
                match self._codec.decode(wire.StateRequest, data):
                    case result.Ok(request):
                        reply = self._state_source(
                            request.stream, request.key or ""
                        )
                        wire.send_frame(sock, self._codec.encode(reply))
                    case result.Err(exc):
                        self.malformed += 1
                        _log.warning(
                            "links: rejected a state request: %s", exc
                        )
        except (OSError, ValueError) as exc:
            _log.info("links: state exchange failed: %s", exc)
        finally:
            sock.close()

    def _run_receive(self) -> None:
        turn = net.Turn()
        while True:
            turn.spend()
            data, source = self._udp.recvfrom(MAX_READ_BYTES)
            self.received_bytes += len(data)
            match self._codec.decode(wire.Message, data):
                case result.Ok(message):
                    self._handle_message(message, f"{source[0]}:{source[1]}")
                case result.Err():
                    self.malformed += 1

    def _handle_message(self, message: wire.Message, source: str) -> None:
        self._on_stamp(message.hlc_wall_ms, message.hlc_counter)
        now = self._clock.monotonic()
        self._send(
            self._detector.receive(message, source, now, self._sender_state())
        )

    def _run_probes(self) -> None:
        while True:
            now = self._clock.monotonic()
            self._send(self._detector.tick(now, self._sender_state()))
            self._clock.sleep(_detector.PROBE_INTERVAL_S)

    def _send(self, outgoing: list[_peers.Outgoing]) -> None:
        for item in outgoing:
            data = self._codec.encode(item.message)
            socket_address = net.split_address(item.address)
            try:
                self._udp.sendto(data, socket_address)
            except OSError as exc:
                _log.info("links: cannot send to %s: %s", item.address, exc)
                continue
            self.sent_bytes += len(data)
