"""Exchange of load reports between instances.

An instance sees only its own requests: with six instances, it does not see
five sixths of an engine's queue, and an engine's own report is late and
billed. Each instance therefore sends its load per engine to a few peers, in
one datagram after a change and at most twenty times a second, so that the
queues are visible within one period. Reports also carry the configuration
version and the log offset that the sender has read, the role changes that it
ordered, the demand of its callers, prefix cache placements, the streams that
it began, the prefix blocks and requests on which targets may crash, and the
targets that leave. In large fleets a few instances also send summaries, see
:mod:`agatewing.gateway._load_summaries`.
"""

import collections.abc
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
from agatewing.gateway import _contracts
from agatewing.gateway import _load_summaries
from agatewing.gateway import _load_sums
from agatewing.gateway import _log_turns
from agatewing.gateway import _peers
from agatewing.gateway import _quarantine
from agatewing.gateway import _report_fields
from agatewing.gateway import _report_writer
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
#: Least time between two reports to them, in seconds. Loads go to other zones
#: in summaries; reports carry news there, which each zone then spreads by
#: itself.
OTHER_ZONE_PERIOD_S = 1.2
#: Age at which a report expires, in seconds; its sender may be gone.
EXPIRE_AFTER_S = 1.0
#: Age of its last report up to which an instance counts as alive, in
#: seconds: five report periods of an idle instance.
ALIVE_S = 2.0
#: The same for peers of the own zone, in large fleets: there, a given one is
#: heard about once a second.
ZONE_ALIVE_S = 5.0
#: Time between two looks for them, in seconds.
ZONE_PEERS_PERIOD_S = 0.2
#: Age up to which the demand in a report counts, in seconds: its average
#: changes slowly, and in large fleets a given peer is heard seldom.
DEMAND_KEEP_S = 3.0
#: Time between two checks for expired reports, in seconds.
EXPIRY_PERIOD_S = 0.2
#: Time after which an unchanged report is sent again, in seconds.
UNCHANGED_PERIOD_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class LastReport:
    """The last load report of another instance."""

    #: Monotonic time at which it was received.
    at: float
    #: Sequence number of the report.
    sequence: int
    #: Load that the sender caused, by engine.
    loads: _load_sums.Loads
    #: Demand of the sender's callers, by service.
    demand: dict[str, decisions.StreamDemand]
    #: Requests of client accounts.
    accounts: decisions.AccountRates


class LoadReports:
    """Sends this instance's load reports and merges those of others."""

    __slots__ = (
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
        "_last_reports",
        "_summary_sequences",
        "_merge_needed",
        "_merged_at",
        "_zone_peers",
        "_zone_peers_at",
        "_far_sent_at",
        "_sums_up",
        "summaries",
        "writer",
        "sent_bytes",
        "malformed",
        "take_other",
        "hear_wall",
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
        accounts: decisions.AccountDemandMeter | None = None,
    ) -> None:
        self._zone = zone
        self._quarantine = quarantine
        self._streams = streams
        self._index = index
        self._address = address
        self._clock = clock
        self._peers = peers
        self._catalog = catalog
        self._registry = registry
        self._codec = codec
        self._random = rng
        self._socket: gevent.socket.socket | None = None
        self._loops: list[gevent.Greenlet] = []
        self._last_reports: dict[str, LastReport] = {}
        # Sequence number of the last summary, by collector.
        self._summary_sequences: dict[str, int] = {}
        self._merge_needed = False
        self._merged_at = float("-inf")
        # Other instances of the zone that are heard of, and the monotonic time
        # at which they were looked for, in seconds.
        self._zone_peers: list[str] = []
        self._zone_peers_at = float("-inf")
        # Monotonic time of the last report to other zones, in seconds.
        self._far_sent_at = float("-inf")
        # Whether this instance summed up at the last check.
        self._sums_up = False
        registry.merge_reports = self.merge_reports
        #: Sums of the loads of all instances, in large fleets.
        self.summaries = _load_summaries.LoadSummaries(
            name, zone, clock, lambda: peers.known, self.zone_peers
        )
        #: Writes the reports.
        self.writer = _report_writer.ReportWriter(
            name,
            clock,
            catalog,
            registry,
            codec,
            index,
            quarantine,
            self.summaries,
            accounts or decisions.AccountDemandMeter(),
        )
        #: Number of bytes sent.
        self.sent_bytes = 0
        #: Number of datagrams that failed to decode.
        self.malformed = 0
        #: Takes a datagram that is no report; returns whether it could.
        self.take_other: collections.abc.Callable[[bytes], bool] = _reject
        #: Called with the name and the wall time in seconds of an instance
        #: whose report tells it.
        self.hear_wall: collections.abc.Callable[[str, float], None] = _ignore

    def start(self) -> None:
        """Open the port and start to send and receive reports."""
        sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(self._address)
        self._socket = sock
        self._loops = [
            gevent.spawn(self._send_forever, sock),
            gevent.spawn(self._receive_forever, sock),
            gevent.spawn(self._summarize_forever, sock),
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
            self._send(sock, self.writer.own_load())
            self._clock.sleep(MIN_SEND_PERIOD_S)

    def _summarize_forever(self, sock: gevent.socket.socket) -> None:
        while True:
            self._clock.sleep(_load_summaries.PERIOD_S)
            self._send_summaries(sock)

    def _send_summaries(self, sock: gevent.socket.socket) -> None:
        """Send the sums that are due, if this instance sums up."""
        sums_up = self.summaries.sums_up()
        if sums_up is not self._sums_up:
            self._sums_up = sums_up
            _log.info(
                "work: summing up the loads of the zone",
                extra={"active": sums_up},
            )
        if not sums_up:
            return
        now = self._clock.monotonic()
        reports = [
            _load_sums.InstanceReport(
                report.loads, report.demand, report.accounts
            )
            for name, report in self._last_reports.items()
            if now - report.at < EXPIRE_AFTER_S
            and self.summaries.in_zone(name)
        ]
        own = _load_sums.InstanceReport(
            _report_fields.decode_loads(self.writer.own_load()),
            self.writer.own_demand(),
            self.writer.own_accounts(),
        )
        engines = [
            name
            for name, tracked in self._registry.by_id.items()
            if tracked.target.role is not None
        ]
        total, far = self.summaries.summarize(engines, reports, own)
        if not total:
            return
        self._take_summary(now)
        for summaries, addresses in (
            (total, self.summaries.zone_addresses()),
            (far, self.summaries.far_addresses()),
        ):
            for summary in summaries:
                self._send_to(
                    sock, self.writer.encode_summary(summary), addresses
                )

    def _take_summary(self, now: float) -> None:
        """Have the loads merged; begin to measure the demand that it has."""
        self._merge_needed = True
        for pool in self._registry.pools.values():
            if self.summaries.demand(pool.name) is not None:
                pool.stream_demand.start(now)

    def send(self, data: bytes, addresses: list[str]) -> None:
        """Send a datagram to other instances; none before the start."""
        if self._socket is not None:
            self._send_to(self._socket, data, addresses)

    def _send_to(
        self,
        sock: gevent.socket.socket,
        data: bytes,
        addresses: collections.abc.Iterable[str],
    ) -> None:
        for address in addresses:
            try:
                sock.sendto(data, net.split_address(address))
            except OSError as exc:
                _log.debug("work: report not sent to %s: %s", address, exc)
                continue
            self.sent_bytes += len(data)

    def _send(
        self, sock: gevent.socket.socket, loads: list[wire.EngineWork]
    ) -> None:
        begun = self._streams.take_unpublished()
        data = self.writer.encode(loads, begun)
        now = self._clock.monotonic()
        far = now - self._far_sent_at >= OTHER_ZONE_PERIOD_S
        if far:
            self._far_sent_at = now
        addresses = set(self.receivers(far))
        for begin in begun:
            addresses.update(self._streams.keepers(begin.attempt))
        for name in self._registry.limits.co_senders():
            if name in self._peers.known:
                addresses.add(self._peers.known[name].address)
        own = _report_fields.decode_loads(loads)
        addresses.update(self.summaries.receivers(own))
        self._send_to(sock, data, addresses)

    def _merge_measured(
        self, received: list[wire.MeasuredTime], now: float
    ) -> None:
        for item in received:
            pool = self._registry.pools.get(item.service_name)
            if pool is not None:
                measured = decisions.MeasuredTime(
                    item.quantity,
                    item.time_us / 1e6,
                    item.tokens_per_event,
                    item.target,
                    item.events or 0,
                )
                pool.learned.merge(measured, now)

    def demand_of(
        self, pool: _target_registry.Pool
    ) -> decisions.StreamDemand | None:
        """Return the demand of all instances for a pool's engines.

        ``None`` if none is known. In fleets in which a report reaches only
        some peers, it is that of the last summary. Without one, instances
        that were not heard count like the others.
        """
        total = self.summaries.demand(pool.name)
        if total is not None:
            return total
        now = self._clock.monotonic()
        peers = [
            report.demand[pool.name]
            for report in self._last_reports.values()
            if pool.name in report.demand and now - report.at < DEMAND_KEEP_S
        ]
        known = len(self._peers.known)
        return decisions.fleet_demand(
            pool.stream_demand.demand(now),
            peers,
            1 if _peers.full_view(known + 1) else known + 1,
        )

    def account_rates(self) -> decisions.AccountRates:
        """Return the requests of client accounts at all instances.

        In fleets in which a report reaches only some peers, they are those of
        the last summary. Without one, they are those of this instance and of
        the peers that it hears of, which is all that it decides by.
        """
        total = self.summaries.accounts()
        if total is not None:
            return total
        now = self._clock.monotonic()
        return decisions.add_up_accounts(
            [
                self.writer.own_accounts(),
                *(
                    report.accounts
                    for report in self._last_reports.values()
                    if now - report.at < DEMAND_KEEP_S
                ),
            ]
        )

    def receivers(self, far: bool = True) -> list[str]:
        """Return the addresses of the peers that get the next report.

        ``far`` says whether some in other zones get it too, where not all
        peers do.

        Routing prefers engines of the own zone, so instances of one zone
        share most of their engines. A few receivers in other zones spread
        the report between zones.
        """
        known = self._peers.known.values()
        if len(known) <= _peers.FANOUT:
            return [entry.address for entry in known]
        near = [e.address for e in known if e.zone == self._zone]
        others = [e.address for e in known if e.zone != self._zone]
        other_count = min(OTHER_ZONE_FANOUT, len(others))
        near_count = min(_peers.FANOUT - other_count, len(near))
        chosen = self._random.sample(near, near_count)
        if far:
            chosen += self._random.sample(others, other_count)
        return chosen

    def _receive_forever(self, sock: gevent.socket.socket) -> None:
        turn = net.Turn()
        while True:
            turn.spend()
            try:
                data, _ = sock.recvfrom(_report_writer.DATAGRAM_BYTES)
            except OSError as exc:
                _log.debug("work: receiving a report failed: %s", exc)
                continue
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Handle a datagram; count one that is no whole report."""
        match self._codec.decode(wire.WorkNote, data):
            case result.Ok(record):
                self.handle(record)
            case result.Err() if not self.take_other(data):
                self.malformed += 1

    def handle(self, record: wire.WorkNote) -> None:
        """Handle a load report of another instance.

        Of one that arrives late, only the streams, the blocks and requests
        on which targets may crash, and the targets that leave count.
        """
        if record.summary is not None:
            self._handle_summary(record)
            return
        self._streams.merge(record.begun or ())
        self._quarantine.merge(record)
        self._registry.merge_departures(record.leaving or ())
        last = self._last_reports.get(record.instance)
        if last is not None and record.sequence <= last.sequence:
            return
        self._merge_read_state(record)
        if record.wall_ms is not None:
            self.hear_wall(record.instance, record.wall_ms / 1_000)
        self._registry.limits.merge(record.instance, record.limits or ())
        now = self._clock.monotonic()
        self._last_reports[record.instance] = LastReport(
            now,
            record.sequence,
            _report_fields.decode_loads(record.work),
            _report_fields.decode_demand(record.demand or ()),
            _report_fields.decode_accounts(record.accounts),
        )
        for demand in record.demand or ():
            pool = self._registry.pools.get(demand.service_name)
            if pool is not None:
                pool.stream_demand.start(now)
        self._merge_measured(record.measured or [], now)
        self._merge_needed = True
        self._registry.mark_role_changes(record.changing)
        placements = _report_fields.decode_placements(record.held)
        self.summaries.record_placements(record.instance, placements)
        for placement in placements:
            self._index.merge(placement, now)

    def _handle_summary(self, record: wire.WorkNote) -> None:
        """Handle a part of the sums of other instances' reports."""
        if record.sequence <= self._summary_sequences.get(record.instance, 0):
            return
        self._summary_sequences[record.instance] = record.sequence
        summary = _report_fields.decode_summary(record)
        if summary is None:
            self.malformed += 1
            return
        self._merge_read_state(record)
        self.summaries.receive(summary)
        now = self._clock.monotonic()
        self._take_summary(now)
        for placement in summary.placements:
            self._index.merge(placement, now)

    def _merge_read_state(self, record: wire.WorkNote) -> None:
        """Learn what the sender has read of the log.

        In small fleets each instance reads for itself, and only what it lacks
        is requested.
        """
        state = _contracts.ReadState(
            record.config_version,
            (record.era or 0, record.through),
            _report_fields.decode_age(record.config_age_ms),
            _report_fields.decode_age(record.targets_age_ms),
        )
        self._catalog.record_peer_read(state.targets_age_s)
        if self._catalog.behind(state):
            self._peers.request_snapshot_soon(record.instance, state)
        elif not _log_turns.all_read(len(self._peers.known) + 1):
            self._catalog.merge_read_state(state)

    def zone_peers(self) -> list[str]:
        """Return the other instances of the zone that are heard of.

        As of up to ``ZONE_PEERS_PERIOD_S`` ago: it is asked for with every
        report that arrives.
        """
        now = self._clock.monotonic()
        if now - self._zone_peers_at >= ZONE_PEERS_PERIOD_S:
            self._zone_peers_at = now
            self._zone_peers = [
                name
                for name, report in self._last_reports.items()
                if now - report.at < ZONE_ALIVE_S
                and self.summaries.in_zone(name)
            ]
        return self._zone_peers

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
        others = self.summaries.loads_of_others()
        if others is not None:
            sources = [others]
        else:
            sources = [report.loads for report in fresh]
        for loads in sources:
            for name, load in loads.items():
                target = self._registry.by_id.get(name)
                if target is None:
                    continue
                target.load.reported_tokens += load.tokens
                target.load.reported_long_tokens += load.long_tokens
                target.load.reported_sequences += load.sequences
                target.load.reported_kv_tokens += load.kv_tokens


def _reject(data: bytes) -> bool:
    """Take no datagram."""
    return False


def _ignore(instance: str, wall_s: float) -> None:
    """Do nothing."""
