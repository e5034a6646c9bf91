"""Other instances: who they are, and what they know of the log.

An instance that reads the log itself asks nobody. One that cannot asks a
few others for their snapshot, by thrift over TCP, until it can again.
"""

import collections.abc
import logging
import random
import socket

import gevent
import gevent.server
import gevent.socket
import msgspec
import result

from agatewing import _clock
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _ports
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.peers")

#: Stream name of a snapshot in a state request.
SNAPSHOT = "gateway-snapshot"
#: Time for a whole exchange, in seconds.
EXCHANGE_S = 0.6
#: Time between two rounds of questions while the log is away, in seconds;
#: several fit into the two seconds of a configuration or a drain.
ASK_PERIOD_S = 0.4
#: Pause before a peer is asked whose note shows that it knows more, in
#: seconds: ten times what the log takes for an answer on a calm day.
ASK_DELAY_S = 0.04
#: Peers asked in one round, so that one that is cut off too costs nothing.
ASKED = 2


class PeerEntry(msgspec.Struct, frozen=True):
    """What an instance writes about itself into the log."""

    # IP number and port for other instances.
    address: str
    # Availability zone.
    zone: str


class Peers:
    """Serves snapshots and asks for them."""

    __slots__ = (
        "_name",
        "_seeds",
        "_clock",
        "_catalog",
        "_codec",
        "_random",
        "_server",
        "_loop",
        "known",
        "asked",
        "_asking",
    )

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        clock: _clock.Clock,
        catalog: _catalog.Catalog,
        codec: wire.Codec,
        rng: random.Random,
        seeds: collections.abc.Sequence[str] = (),
    ) -> None:
        self._name = name
        self._seeds = tuple(
            seed for seed in seeds if seed != f"{address[0]}:{address[1]}"
        )
        self._clock = clock
        self._catalog = catalog
        self._codec = codec
        self._random = rng
        self._server = gevent.server.StreamServer(address, self._serve)
        self._loop: gevent.Greenlet | None = None
        #: Entries of other instances by name.
        self.known: dict[str, PeerEntry] = {}
        #: Questions asked so far.
        self.asked = 0
        self._asking = False

    def start(self) -> None:
        """Serve questions and ask while the log is away."""
        self._server.start()
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the port and ask no more."""
        if self._loop is not None:
            self._loop.kill()
        self._server.stop(timeout=0)

    def take(self, record: _ports.KeyedRecord) -> None:
        """Take the entry of an instance, or its removal."""
        if record.key == self._name:
            return
        if not record.value:
            self.known.pop(record.key, None)
            return
        try:
            entry = msgspec.json.decode(record.value, type=PeerEntry)
        except msgspec.MsgspecError as exc:
            _log.warning(
                "peers: entry cannot be read",
                extra={"instance": record.key, "reason": str(exc)},
            )
            return
        self.known[record.key] = entry

    def take_all(
        self, records: tuple[_ports.KeyedRecord, ...], offset: int
    ) -> None:
        """Take every present entry."""
        self.known.clear()
        for record in records:
            self.take(record)

    def _run(self) -> None:
        while True:
            self._clock.sleep(ASK_PERIOD_S)
            self._catalog.expire()
            if self._catalog.away:
                self.ask_round()

    def ask_round(self) -> None:
        """Ask a few peers for their snapshots; seeds if none is known."""
        if not self.known:
            for seed in self._seeds:
                gevent.spawn(self._ask, seed, seed)
            return
        names = sorted(self.known)
        chosen = self._random.sample(names, min(ASKED, len(names)))
        for name in chosen:
            gevent.spawn(self._ask, name, self.known[name].address)

    def ask_soon(self, name: str) -> None:
        """Ask one peer that knows more, unless a question is open."""
        entry = self.known.get(name)
        if entry is None or self._asking:
            return
        self._asking = True
        gevent.spawn(self._ask_one, name, entry.address)

    def _ask_one(self, name: str, address: str) -> None:
        try:
            # The own read usually brings the same news within this time.
            self._clock.sleep(ASK_DELAY_S)
            self._ask(name, address)
        finally:
            self._asking = False

    def _ask(self, name: str, address: str) -> None:
        self.asked += 1
        match self._fetch(address):
            case result.Ok(snapshot):
                self._catalog.take_snapshot(snapshot, f"peer {name}")
            case result.Err(reason):
                _log.info(
                    "peers: no snapshot",
                    extra={"instance": name, "reason": reason},
                )

    def _fetch(self, address: str) -> result.Result[_contracts.Snapshot, str]:
        request = wire.StateRequest(stream=SNAPSHOT)
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError("no answer")):
                place = net.split_address(address)
                sock = gevent.socket.create_connection(place)
                with sock:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    wire.send_frame(sock, self._codec.encode(request))
                    data = wire.read_frame(sock)
        except (OSError, ValueError) as exc:
            return result.Err(str(exc))
        match self._codec.decode(wire.StateReply, data):
            case result.Err(fault):
                return result.Err(str(fault))
            case result.Ok(reply):
                pass
        try:
            return result.Ok(
                msgspec.json.decode(reply.state, type=_contracts.Snapshot)
            )
        except msgspec.MsgspecError as exc:
            return result.Err(str(exc))

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError("slow peer")):
                data = wire.read_frame(sock, limit=4_096)
                match self._codec.decode(wire.StateRequest, data):
                    case result.Ok():
                        wire.send_frame(sock, self._codec.encode(self.reply()))
                    case result.Err(exc):
                        _log.warning("peers: refused a question: %s", exc)
        except (OSError, ValueError) as exc:
            _log.info("peers: question ended early: %s", exc)
        finally:
            sock.close()

    def reply(self) -> wire.StateReply:
        """Return the snapshot as a message."""
        snapshot = self._catalog.snapshot()
        return wire.StateReply(
            known=snapshot.configuration is not None,
            through=snapshot.through,
            state=msgspec.json.encode(snapshot),
        )
