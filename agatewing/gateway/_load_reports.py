"""Exchange of load reports between instances.

An instance sees only its own requests: with six instances, it does not see
five sixths of an engine's queue, and an engine's own report is late and
billed. Each instance therefore sends its load per engine to a few peers, in
one datagram after a change and at most twenty times a second, so that the
queues are visible within one period. Reports also carry the configuration
version and the log offset that the sender has read, the role changes that it
ordered, prefix cache placements, the streams that it began, the prefix blocks
and requests on which targets may crash, and the targets that leave.
"""

import dataclasses
import logging
import random
import socket

import gevent
import gevent.socket
import result

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _catalog
from agatewing.gateway import _peers
from agatewing.gateway import _quarantine
from agatewing.gateway import _stream_directory
from agatewing.gateway import _target_registry
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.work")

#: Least time between two reports of one instance, in seconds: half of the
#: time in which an engine prefills a prompt of 6,600 tokens.
MIN_SEND_PERIOD_S = 0.05
#: Number of those peers in other zones; traffic between zones is billed.
OTHER_ZONE_FANOUT = 2
#: Age at which a report expires, in seconds; its sender may be gone.
EXPIRE_AFTER_S = 1.0
#: Age of its last report up to which an instance counts as alive, in
#: seconds: five report periods of an idle instance.
ALIVE_S = 2.0
#: Time between two checks for expired reports, in seconds.
EXPIRY_PERIOD_S = 0.2
#: Time after which an unchanged report is sent again, in seconds.
UNCHANGED_PERIOD_S = 0.4
#: Largest datagram, in bytes; a report is shortened to fit.
DATAGRAM_BYTES = 1_400
#: Largest number of engines in one report, so that it fits into a datagram.
MAX_ENGINES = 30
#: Largest numbers of prefix cache placements and of engines that change
#: roles in one report, for the same reason.
MAX_PLACEMENTS = 12
MAX_ROLE_CHANGES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LastReport:
    """The last load report of another instance."""

    #: Monotonic time at which it was received.
    at: float
    #: Sequence number of the report.
    sequence: int
    #: Load that the sender caused, by engine.
    loads: dict[str, wire.EngineWork]


class LoadReports:
    """Sends this instance's load reports and merges those of others."""

    __slots__ = (
        "_name",
        "_address",
        "_clock",
        "_peers",
        "_catalog",
        "_registry",
        "_codec",
        "_index",
        "_streams",
        "_quarantine",
        "_zone",
        "_random",
        "_socket",
        "_loops",
        "_sequence",
        "_last_reports",
        "_merge_needed",
        "_merged_at",
        "sent_bytes",
        "malformed",
    )

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        clock: _clock.Clock,
        peers: _peers.Peers,
        catalog: _catalog.Catalog,
        registry: _target_registry.TargetRegistry,
        codec: wire.Codec,
        rng: random.Random,
        index: decisions.PlacementIndex,
        streams: _stream_directory.StreamDirectory,
        quarantine: _quarantine.Quarantine,
        zone: str,
    ) -> None:
        self._zone = zone
        self._quarantine = quarantine
        self._streams = streams
        self._index = index
        self._name = name
        self._address = address
        self._clock = clock
        self._peers = peers
        self._catalog = catalog
        self._registry = registry
        self._codec = codec
        self._random = rng
        self._socket: gevent.socket.socket | None = None
        self._loops: list[gevent.Greenlet] = []
        # Wall time, so that numbers of a new incarnation are higher than those
        # of the earlier ones.
        self._sequence = int(clock.wall() * 1_000)
        self._last_reports: dict[str, LastReport] = {}
        self._merge_needed = False
        self._merged_at = float("-inf")
        registry.merge_reports = self.merge_reports
        #: Number of bytes sent.
        self.sent_bytes = 0
        #: Number of datagrams that failed to decode.
        self.malformed = 0

    def start(self) -> None:
        """Open the port and start to send and receive reports."""
        sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(self._address)
        self._socket = sock
        self._loops = [
            gevent.spawn(self._send_forever, sock),
            gevent.spawn(self._receive_forever, sock),
        ]

    def stop(self) -> None:
        """Stop the loops and close the port."""
        gevent.killall(self._loops)
        if self._socket is not None:
            self._socket.close()

    def _send_forever(self, sock: gevent.socket.socket) -> None:
        while True:
            self._registry.changed.wait(UNCHANGED_PERIOD_S)
            self._registry.changed.clear()
            self._send(sock, self._own_load())
            self._clock.sleep(MIN_SEND_PERIOD_S)

    def _own_load(self) -> list[wire.EngineWork]:
        # In the gateway, ``reported_`` fields hold the load of other instances
        # and ``unreported_`` fields the whole load of this one.
        loads = []
        for name, tracked in self._registry.by_id.items():
            load = tracked.load
            if load.own_sequences and tracked.target.role is not None:
                loads.append(
                    wire.EngineWork(
                        engine=name,
                        tokens=max(0, int(load.unreported_tokens)),
                        sequences=load.own_sequences,
                        long_tokens=max(0, int(load.unreported_long_tokens)),
                        kv_tokens=load.own_kv_tokens,
                    )
                )
        return loads[:MAX_ENGINES]

    def _send(
        self, sock: gevent.socket.socket, loads: list[wire.EngineWork]
    ) -> None:
        begun = self._streams.take_unpublished()
        data = self._encode(loads, begun)
        addresses = set(self.receivers())
        for begin in begun:
            addresses.update(self._streams.keepers(begin.attempt))
        for name in self._registry.limits.co_senders():
            if name in self._peers.known:
                addresses.add(self._peers.known[name].address)
        for address in addresses:
            try:
                sock.sendto(data, net.split_address(address))
            except OSError as exc:
                _log.debug("work: report not sent to %s: %s", address, exc)
                continue
            self.sent_bytes += len(data)

    def _encode(
        self,
        loads: list[wire.EngineWork],
        begun: list[wire.StreamBegin],
    ) -> bytes:
        """Return the next report, shortened if it exceeds a datagram."""
        self._sequence += 1
        record = wire.WorkNote(
            instance=self._name,
            sequence=self._sequence,
            work=loads,
            config_version=self._catalog.config_version,
            through=self._catalog.through,
            era=self._catalog.era,
            changing=self._registry.own_role_changes()[:MAX_ROLE_CHANGES],
            held=self._placements(),
            begun=begun,
            suspects=self._quarantine.take_suspects(),
            served=self._quarantine.take_served(),
            limits=self._registry.limits.take_reports(),
            requests=self._quarantine.take_requests(),
            served_requests=self._quarantine.take_served_requests(),
            leaving=self._registry.departures.take_reports(),
        )
        data = self._codec.encode(record)
        while len(data) > DATAGRAM_BYTES and _shorten(record):
            data = self._codec.encode(record)
        return data

    def _placements(self) -> list[wire.PartsHeld]:
        now = self._clock.monotonic()
        return [
            wire.PartsHeld(
                engine=placement.engine,
                chain=placement.key,
                ready_ms=int(placement.ready_s * 1_000),
            )
            for placement in self._index.take_unpublished(now, MAX_PLACEMENTS)
        ]

    def receivers(self) -> list[str]:
        """Return the addresses of the peers that get the next report.

        Routing prefers engines of the own zone, so instances of one zone
        share most of their engines. A few receivers in other zones spread
        the report between zones.
        """
        known = self._peers.known.values()
        if len(known) <= _peers.FANOUT:
            return [entry.address for entry in known]
        near = [e.address for e in known if e.zone == self._zone]
        far = [e.address for e in known if e.zone != self._zone]
        others = self._random.sample(far, min(OTHER_ZONE_FANOUT, len(far)))
        count = min(_peers.FANOUT - len(others), len(near))
        return others + self._random.sample(near, count)

    def _receive_forever(self, sock: gevent.socket.socket) -> None:
        while True:
            try:
                data, _ = sock.recvfrom(DATAGRAM_BYTES)
            except OSError as exc:
                _log.debug("work: receiving a report failed: %s", exc)
                continue
            match self._codec.decode(wire.WorkNote, data):
                case result.Ok(record):
                    self.handle(record)
                case result.Err():
                    self.malformed += 1

    def handle(self, record: wire.WorkNote) -> None:
        """Handle a load report of another instance.

        Of one that arrives late, only the streams, the blocks and requests
        on which targets may crash, and the targets that leave count.
        """
        self._streams.merge(record.begun or ())
        self._quarantine.merge(record)
        self._registry.merge_departures(record.leaving or ())
        last = self._last_reports.get(record.instance)
        if last is not None and record.sequence <= last.sequence:
            return
        if (
            record.config_version > self._catalog.config_version
            or (record.era or 0, record.through) > self._catalog.position
        ):
            self._peers.request_snapshot_soon(record.instance)
        self._registry.limits.merge(record.instance, record.limits or ())
        now = self._clock.monotonic()
        self._last_reports[record.instance] = LastReport(
            now,
            record.sequence,
            {load.engine: load for load in record.work},
        )
        self._merge_needed = True
        self._registry.mark_role_changes(record.changing)
        for held in record.held:
            placement = decisions.Placement(
                held.engine, held.chain, held.ready_ms / 1_000
            )
            self._index.merge(placement, now)

    def alive(self) -> list[str]:
        """Return the names of instances that sent a report recently."""
        now = self._clock.monotonic()
        return [
            name
            for name, report in self._last_reports.items()
            if now - report.at < ALIVE_S
        ]

    def merge_reports(self) -> None:
        """Write the summed load of other instances into the engines' loads.

        Does nothing while no new report arrived and the last merge is less
        than ``EXPIRY_PERIOD_S`` ago.
        """
        now = self._clock.monotonic()
        if not self._merge_needed and now - self._merged_at < EXPIRY_PERIOD_S:
            return
        self._merge_needed = False
        self._merged_at = now
        fresh = [
            r
            for r in self._last_reports.values()
            if now - r.at < EXPIRE_AFTER_S
        ]
        if len(fresh) < len(self._last_reports):
            # Expired reports are kept longer: ``handle`` needs their sequence
            # numbers, ``alive`` their ages.
            self._last_reports = {
                name: report
                for name, report in self._last_reports.items()
                if now - report.at < EXPIRE_AFTER_S * 10
            }
        for tracked in self._registry.by_id.values():
            tracked.load.reported_tokens = 0.0
            tracked.load.reported_long_tokens = 0.0
            tracked.load.reported_sequences = 0
            tracked.load.reported_kv_tokens = 0
        for report in fresh:
            for name, load in report.loads.items():
                target = self._registry.by_id.get(name)
                if target is None:
                    continue
                target.load.reported_tokens += load.tokens
                target.load.reported_long_tokens += load.long_tokens
                target.load.reported_sequences += load.sequences
                target.load.reported_kv_tokens += load.kv_tokens


def _shorten(record: wire.WorkNote) -> bool:
    """Shorten a report that exceeds a datagram; return whether it could be.

    Evidence of crashes is cut last; it is repeated.
    """
    for group in (("work", "held"), ("suspects", "requests")):
        if any(getattr(record, name) for name in group):
            for name in group:
                items = getattr(record, name)
                setattr(record, name, items[: len(items) // 2])
            return True
    return False
