"""Other instances and their snapshots of the log.

An instance that cannot read the log requests snapshots from a few peers, by
thrift over TCP, until it can read the log again. While the log is available,
it requests one only from a peer whose load report shows that it has read
further, and for a while after it has missed entries of targets, which peers
may have seen.
"""

import collections.abc
import dataclasses
import logging
import random
import socket
import typing

import gevent
import gevent.pool
import gevent.server
import gevent.socket
import msgspec
import result

from agatewing import _clock
from agatewing import _decoding
from agatewing import _exceptions
from agatewing import detour
from agatewing import fleetlog
from agatewing.gateway import _catalog
from agatewing.gateway import _config_patches
from agatewing.gateway import _contracts
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.peers")

#: Stream name that requests a snapshot in a state request.
SNAPSHOT_STREAM = "gateway-snapshot"
#: Timeout of a whole exchange; of one for a snapshot, the time within which
#: each piece of it has to follow the one before. In seconds.
EXCHANGE_S = 0.6
#: Timeout of a whole exchange for a snapshot, in seconds: the largest
#: configuration takes 0.6 s of an idle link of 5 Mbit/s, and links are shared.
SNAPSHOT_S = 5.0
#: Size from which on a reply is large, in bytes, and number of those that one
#: instance sends at a time: more would only slow each other down, and the
#: peers that have one pass it on.
LARGE_REPLY_BYTES = 16_384
MAX_LARGE_REPLIES = 2
#: Time between two rounds of snapshot requests while the log is unavailable,
#: in seconds; several fit into the two seconds in which a configuration or a
#: drain has to be followed.
REQUEST_PERIOD_S = 0.4
#: Time after entries of targets were missed in which peers are asked what they
#: have seen of them, in seconds: five rounds. Peers that have not told by then
#: are asked with each stream that is taken up.
ASK_MISSED_S = 5 * REQUEST_PERIOD_S
#: Delay before a snapshot is requested from a peer whose load report shows
#: that it has read further, in seconds: ten times the latency of the log
#: without load.
REQUEST_DELAY_S = 0.04
#: Largest number of connections of peers at a time, unless the process's
#: settings leave less.
MAX_CONNECTIONS = 1_024
#: Largest number of peers that get one load report. With more peers, they
#: are drawn at random, so that the traffic of one instance does not grow with
#: the fleet.
FANOUT = 8
#: Peers asked in one round: more than one, as a peer may be unable to read the
#: log too.
PEERS_PER_ROUND = 2


def full_view(instances: int) -> bool:
    """Return whether each of so many instances gets the reports of all.

    Otherwise it has a partial view of what the others send to targets.
    """
    return instances <= FANOUT + 1


_DecodedRequest: typing.TypeAlias = result.Result[
    wire.StateRequest, _exceptions.ProtocolError
]


class PeerEntry(msgspec.Struct, frozen=True):
    """Entry of an instance in the log."""

    # IP address and port for other instances.
    address: str
    # Availability zone.
    zone: str
    # Whether its release takes requests of peers.
    takes_requests: bool = False
    # Whether it records software versions and streams in the log; earlier
    # releases do not.
    records_streams: bool = False
    # Whether it identifies the accounts of requests that it takes.
    identifies_accounts: bool = False
    # Bandwidth of its link in Mbit/s; 0 if it does not know it, as earlier
    # releases do not.
    link_mbps: float = 0.0


class Peers:
    """Tracks the other instances; serves and requests snapshots."""

    __slots__ = (
        "_name",
        "_seeds",
        "_clock",
        "_catalog",
        "codec",
        "_random",
        "_server",
        "_loop",
        "known",
        "listed",
        "replies",
        "hop_server",
        "requests_sent",
        "requests_failed",
        "snapshot_bytes_sent",
        "_request_pending",
        "_requests_open",
        "_large_replies",
        "_restored",
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
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._name = name
        self._seeds = tuple(
            seed for seed in seeds if seed != f"{address[0]}:{address[1]}"
        )
        self._clock = clock
        self._catalog = catalog
        #: Codec of messages between instances.
        self.codec = codec
        self._random = rng
        self._server = gevent.server.StreamServer(
            address,
            self._serve,
            # Further ones wait to be accepted.
            spawn=gevent.pool.Pool(max_connections),
        )
        self._loop: gevent.Greenlet | None = None
        #: Entries of other instances by name.
        self.known: dict[str, PeerEntry] = {}
        #: Whether they have been read; the fleet may have any size before.
        self.listed = False
        #: Returns the reply to a request for another state than the
        #: snapshot, given its key; by the stream that the request names.
        self.replies: dict[
            str, collections.abc.Callable[[str], wire.StateReply]
        ] = {}
        #: Takes requests of peers; ``None`` if this instance takes none.
        self.hop_server: detour.HopServer | None = None
        #: Number of snapshot requests sent, and of those that failed.
        self.requests_sent = self.requests_failed = 0
        #: Bytes of the replies to such requests of peers.
        self.snapshot_bytes_sent = 0
        self._request_pending = False
        # Number of requests for snapshots that are not answered yet, and of
        # large replies that are being sent.
        self._requests_open = 0
        self._large_replies = 0
        # Whether the next listing is the first of a restored log.
        self._restored = False

    def start(self) -> None:
        """Serve snapshots; request them while the log is unavailable."""
        self._server.start()
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the port and stop requesting snapshots."""
        if self._loop is not None:
            self._loop.kill()
        self._server.stop(timeout=0)

    def update_entry(self, record: fleetlog.KeyedRecord) -> None:
        """Apply the new entry of an instance, or its removal."""
        if record.key == self._name:
            return
        if not record.value:
            self.known.pop(record.key, None)
            return
        match _decoding.decode_json(record.value, PeerEntry):
            case result.Err(reason):
                _log.warning(
                    "peers: entry cannot be read",
                    extra={"instance": record.key, "reason": reason},
                )
            case result.Ok(entry):
                self.known[record.key] = entry

    def begin_era(self, era: int) -> None:
        """Record that the next listing is the first of a restored log."""
        self._restored = True

    def replace_entries(
        self, records: tuple[fleetlog.KeyedRecord, ...], offset: int
    ) -> None:
        """Replace all entries.

        Those that a restored log lacks are kept: their instances write them
        again.
        """
        if not self._restored:
            self.known.clear()
        self._restored = False
        self.listed = True
        for record in records:
            self.update_entry(record)

    @property
    def full_view(self) -> bool:
        """Whether this instance gets the load reports of all others."""
        return self.listed and full_view(len(self.known) + 1)

    def _run(self) -> None:
        missed = self._catalog.seen.missed
        while True:
            if self._clock.wait(missed, REQUEST_PERIOD_S):
                missed.clear()
                # The peers are to have read as far first.
                self._clock.sleep(REQUEST_DELAY_S)
            self._catalog.expire()
            if self._catalog.log_unavailable:
                self.request_snapshots()
            else:
                self._ask_for_missed()
            self._join_if_all_told()

    def _ask_for_missed(self) -> None:
        """Ask peers for what has come and gone unseen here."""
        missed_s = self._clock.monotonic() - self._catalog.seen.coverage.since
        if not 0 <= missed_s < ASK_MISSED_S or self._requests_open:
            return
        names = self._unheard()
        if not names:
            count = min(PEERS_PER_ROUND, len(self.known))
            names = self._random.sample(sorted(self.known), count)
        for name in names:
            gevent.spawn(
                self._request_snapshot, name, self.known[name].address
            )

    def _unheard(self) -> list[str]:
        """Return the peers that may have seen what was missed here.

        Empty in fleets that are too large to ask all.
        """
        if not self.full_view:
            return []
        return sorted(self._catalog.seen.coverage.unheard(self.known))

    def _join_if_all_told(self) -> None:
        """Count what was missed as seen once all peers have told."""
        if self.full_view and not self._unheard():
            self._catalog.seen.join_all()

    def request_snapshots(self) -> None:
        """Request snapshots from a few peers, or from the seeds if none."""
        if not self.known:
            for seed in self._seeds:
                gevent.spawn(self._request_snapshot, seed, seed)
            return
        names = sorted(self.known)
        count = min(PEERS_PER_ROUND - self._requests_open, len(names))
        chosen = self._random.sample(names, max(0, count))
        for name in chosen:
            gevent.spawn(
                self._request_snapshot, name, self.known[name].address
            )

    def request_snapshot_soon(
        self, name: str, state: _contracts.ReadState
    ) -> None:
        """Request a snapshot after a delay, unless a request is pending.

        ``state`` is what the peer has read. If this instance has read as far
        by then, nothing is requested.
        """
        entry = self.known.get(name)
        if entry is None or self._request_pending:
            return
        self._request_pending = True
        gevent.spawn(self._request_after_delay, name, entry.address, state)

    def _request_after_delay(
        self, name: str, address: str, state: _contracts.ReadState
    ) -> None:
        try:
            self._clock.sleep(REQUEST_DELAY_S)
            if self._catalog.behind(state):
                self._request_snapshot(name, address)
        finally:
            self._request_pending = False

    def _request_snapshot(self, name: str, address: str) -> None:
        self.requests_sent += 1
        self._requests_open += 1
        try:
            fetched = self._fetch(address)
        finally:
            self._requests_open -= 1
        match fetched:
            case result.Ok(snapshot):
                self._catalog.merge_snapshot(snapshot, name)
                self._join_if_all_told()
            case result.Err(reason):
                self.requests_failed += 1
                _log.info(
                    "peers: no snapshot",
                    extra={"instance": name, "reason": reason},
                )

    def _fetch(self, address: str) -> result.Result[_contracts.Snapshot, str]:
        patches = self._catalog.config_patches
        request = wire.StateRequest(
            stream=SNAPSHOT_STREAM,
            key=_encode_state(self._catalog.read_state()),
            encodings=[_config_patches.ENCODING],
            config_digest=patches.newest,
        )
        return exchange(
            self.codec, address, request, whole_s=SNAPSHOT_S
        ).and_then(lambda reply: _decode_snapshot(reply, patches))

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        try:
            with gevent.Timeout(EXCHANGE_S, TimeoutError("slow peer")):
                data = wire.read_frame(sock, limit=4_096)
            request = self.codec.decode(wire.StateRequest, data)
            hop_server = self._hop_server_for(request)
            if hop_server is not None:
                hop_server.serve(sock, request.unwrap())
                return
            sock.settimeout(EXCHANGE_S)
            with gevent.Timeout(SNAPSHOT_S, TimeoutError("slow peer")):
                self._answer(sock, request)
        except (OSError, ValueError) as exc:
            _log.info("peers: state request ended early: %s", exc)
        finally:
            sock.close()

    def _hop_server_for(
        self, request: "_DecodedRequest"
    ) -> detour.HopServer | None:
        """Return what serves the rest of a connection; ``None`` if nothing.

        ``request`` is the first frame.
        """
        match request:
            case result.Ok(opening) if opening.stream == detour.HOP_STREAM:
                return self.hop_server
        return None

    def _answer(
        self, sock: gevent.socket.socket, request: "_DecodedRequest"
    ) -> None:
        match request:
            case result.Ok(asked):
                reply = self._reply_to(asked)
                data = self.codec.encode(reply)
                large = len(data) >= LARGE_REPLY_BYTES
                self._large_replies += large
                try:
                    wire.send_frame(sock, data)
                finally:
                    self._large_replies -= large
                if asked.stream == SNAPSHOT_STREAM:
                    self.snapshot_bytes_sent += len(data)
            case result.Err(exc):
                _log.warning("peers: rejected a state request: %s", exc)

    def _reply_to(self, request: wire.StateRequest) -> wire.StateReply:
        other = self.replies.get(request.stream)
        if other is not None:
            return other(request.key or "")
        return self.reply(request)

    def reply(self, request: wire.StateRequest) -> wire.StateReply:
        """Return the reply that carries the snapshot of this instance.

        The peer gets the changes since what its request says that it has
        read. While as many large replies as may be are on their way, the
        configuration is left out unless its differences are small; another
        peer may send it.
        """
        snapshot = self._catalog.snapshot(_decode_state(request.key or ""))
        reply = wire.StateReply(
            known=self._catalog.configuration is not None,
            through=snapshot.through,
        )
        may_be_large = self._large_replies < MAX_LARGE_REPLIES
        if _config_patches.ENCODING not in (request.encodings or ()):
            if not may_be_large:
                snapshot = dataclasses.replace(snapshot, configuration=None)
            reply.state = msgspec.json.encode(snapshot)
            return reply
        patch = None
        if snapshot.configuration is not None:
            patches = self._catalog.config_patches
            patch = patches.patch(request.config_digest)
        if patch is not None and (
            may_be_large or len(patch.data) < LARGE_REPLY_BYTES
        ):
            reply.configuration = patch.data
            reply.config_base = patch.base
        reply.encoding = _config_patches.ENCODING
        reply.state = _config_patches.compress(
            msgspec.json.encode(
                dataclasses.replace(snapshot, configuration=None)
            )
        )
        return reply


def _encode_state(state: _contracts.ReadState) -> str:
    """Return what was read as the key of a request for a snapshot."""
    return ":".join(str(n) for n in (state.config_version, *state.position))


def _decode_state(key: str) -> _contracts.ReadState | None:
    """Return what a peer has read; ``None`` if its key does not say it.

    Earlier releases send no key.
    """
    parts = key.split(":")
    if len(parts) != 3 or not all(p.isdecimal() for p in parts):
        return None
    version, era, through = map(int, parts)
    return _contracts.ReadState(version, (era, through))


def _decode_snapshot(
    reply: wire.StateReply, patches: _config_patches.ConfigPatches
) -> result.Result[_contracts.Snapshot, str]:
    """Return the snapshot of a reply, or why it has none.

    Releases that name no encoding send all of it as plain JSON.
    """
    state: result.Result[bytes, str] = result.Ok(reply.state)
    if reply.encoding == _config_patches.ENCODING:
        state = _config_patches.decompress(reply.state)
    decoded = state.and_then(
        lambda raw: _decoding.decode_json(raw, _contracts.Snapshot)
    )
    if reply.configuration is None:
        return decoded
    patch = _config_patches.Patch(reply.configuration, reply.config_base)
    return decoded.and_then(
        lambda snapshot: patches.apply(patch).map(
            lambda configuration: dataclasses.replace(
                snapshot, configuration=configuration
            )
        )
    )


def exchange(
    codec: wire.Codec,
    address: str,
    request: wire.StateRequest,
    whole_s: float = EXCHANGE_S,
) -> result.Result[wire.StateReply, str]:
    """Send a request to a peer; return its reply, or why there is none.

    Takes ``whole_s`` seconds at most, and ``EXCHANGE_S`` for the connection
    and for each piece of the reply.
    """
    try:
        with gevent.Timeout(whole_s, TimeoutError("no answer")):
            host_port = net.split_address(address)
            sock = gevent.socket.create_connection(
                host_port, timeout=EXCHANGE_S
            )
            with sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                wire.send_frame(sock, codec.encode(request))
                data = wire.read_frame(sock)
    except (OSError, ValueError) as exc:
        return result.Err(str(exc))
    return codec.decode(wire.StateReply, data).map_err(str)
