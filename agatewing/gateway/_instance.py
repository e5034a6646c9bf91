"""One gateway instance on a platform, assembled from its components."""

import collections
import dataclasses
import functools
import logging
import random

import gevent
import msgspec

from agatewing import _clock
from agatewing import _metrics
from agatewing import callers
from agatewing import decisions
from agatewing import detour
from agatewing import dispatch
from agatewing import duties
from agatewing import fleetlog
from agatewing.gateway import _account_use
from agatewing.gateway import _capacity_parts
from agatewing.gateway import _catalog
from agatewing.gateway import _context
from agatewing.gateway import _contracts
from agatewing.gateway import _follow
from agatewing.gateway import _instance_metrics
from agatewing.gateway import _lifecycle
from agatewing.gateway import _load_reports
from agatewing.gateway import _log_turns
from agatewing.gateway import _own_entry
from agatewing.gateway import _past_entries
from agatewing.gateway import _peers
from agatewing.gateway import _ports
from agatewing.gateway import _quarantine
from agatewing.gateway import _role_loop
from agatewing.gateway import _sender
from agatewing.gateway import _server
from agatewing.gateway import _settings
from agatewing.gateway import _stream_directory
from agatewing.gateway import _stream_record
from agatewing.gateway import _target_registry
from agatewing.gateway import _urgency_use
from agatewing.gateway import _usage_parts
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.instance")

#: Largest number of requests queued for the engines of one service; more are
#: refused.
MAX_QUEUE = 2_048

#: Settings that take effect without a restart.
RELOADABLE = frozenset(
    ("retries", "stop_limit_s", "log_level", "hold_engines")
)


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Adapters to the platform that an instance runs on."""

    #: The platform's log.
    log: fleetlog.FleetLog
    #: Decodes records of the log.
    decoder: _ports.Decoder
    #: Reads and writes the headers of requests and answers.
    dialect: _ports.Dialect
    #: Path that the balancer requests to check readiness.
    ready_path: str
    #: Address for duties; ``None`` if the platform has none.
    duty_port: duties.DutyPort | None = None
    #: Duties that the system has.
    duty_kinds: frozenset[duties.Duty] = frozenset()
    #: What orders engines; ``None`` if the platform takes no such orders.
    capacity_port: duties.CapacityPort | None = None


class GatewayInstance:
    """One process that forwards callers' requests to targets."""

    def __init__(
        self,
        settings: _settings.GatewaySettings,
        clock: _clock.Clock,
        platform: Platform,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self._random = rng
        self.memory_plan = callers.plan_memory(
            settings.memory.process_mb, settings.memory.max_descriptors
        )
        self.log_era = fleetlog.LogEra()
        self.catalog = _catalog.Catalog(
            clock, self._apply_changes, self.log_era
        )
        self.registry = _target_registry.TargetRegistry(
            clock,
            rng,
            _engine_speed(settings.engines),
            settings.instance,
            settings.engines.tokens_per_event,
            settings.zone,
        )
        self.budget = decisions.SharedRetryBudget(
            decisions.BudgetBound(
                settings.retries.ratio,
                settings.retries.slack,
                settings.retries.window_s,
            )
        )
        self.dispatcher = dispatch.Dispatcher(clock, self.registry, MAX_QUEUE)
        self.lifecycle = _lifecycle.Lifecycle(
            clock, self.catalog, settings.stop_limit_s
        )
        self.peers = _peers.Peers(
            settings.instance,
            net.split_address(settings.peer_address),
            clock,
            self.catalog,
            wire.Codec(settings.peer_secret),
            rng,
            _settings.peer_seeds(settings),
            self.memory_plan.peer_connections,
        )
        self.links = self._build_links(rng)
        index = decisions.PlacementIndex(settings.cache_keep_s)
        self.streams = _stream_directory.StreamDirectory(
            clock,
            self.peers,
            self.catalog.age_s,
            self._confirm_targets,
            self.catalog.seen.coverage,
        )
        self.catalog.seen.version_ages = self.streams.version_ages
        self.peers.replies[_stream_directory.ORIGIN_STREAM] = (
            self.streams.reply
        )
        self.quarantine = _quarantine.Quarantine(
            clock,
            decisions.CrashSuspects(rng.random()),
            decisions.CrashSuspects(rng.random(), decisions.WholeRequests()),
            self.registry.changed,
            self.links,
        )
        self.account_use = _account_use.AccountUse()
        self.urgency_use = _urgency_use.UrgencyUse()
        self.load_reports = _load_reports.LoadReports(
            settings.instance,
            net.split_address(settings.peer_address),
            clock,
            self.peers,
            self.catalog,
            self.registry,
            wire.Codec(settings.peer_secret),
            rng,
            index,
            self.streams,
            self.quarantine,
            settings.zone,
            self.account_use.demand,
        )
        self.account_use.rates = self.load_reports.account_rates
        self.log_turns = _log_turns.LogTurns(
            settings.instance,
            rng,
            lambda: len(self.peers.known) + 1,
            self.load_reports.zone_peers,
            {
                fleetlog.Topic.CONFIGURATION: self.catalog.config_age_s,
                fleetlog.Topic.TARGETS: self.catalog.age_s,
            },
            settings.freshness.limit_s,
            self._link_mbps,
        )
        self.detours = detour.Detours(
            clock,
            rng,
            self.peers.codec,
            self.links,
            lambda: self.peers.known,
            settings.zone,
        )
        self.stream_record = _stream_record.StreamRecord(
            platform.log,
            clock,
            self.log_era,
            self.streams,
            self.catalog,
            _past_entries.PastEntries(
                platform.log,
                self.catalog,
                platform.decoder,
                lambda: self.log_turns.is_reader,
            ),
            settings.instance,
            self.load_reports.alive,
            lambda: len(self.peers.known) + 1,
        )
        self.own_entry = self._build_own_entry()
        self.followers = self._build_followers()
        self.metrics = _metrics.Metrics()
        self.handler_context = self._build_handler_context(rng, index)
        self.capacity_loop = self._build_capacity_loop()
        self._watch_ends(self.handler_context.sender)
        self.role_loop = self._build_role_loop()
        self.usage = self._build_usage()
        self.server = _server.CallerServer(
            net.split_address(settings.caller_address),
            self.handler_context,
            self.lifecycle,
            self.memory_plan,
        )
        self.peers.hop_server = detour.HopServer(
            self.peers.codec, self.server.serve_hops
        )
        #: Whether the numbers of engines stay where they are.
        self.engines_held = settings.hold_engines
        self._loops: list[gevent.Greenlet] = []
        addresses = (settings.ready_address, settings.metrics_address)
        #: Servers of readiness checks and of metrics.
        self.probe_servers = [
            net.Server(
                *net.split_address(address),
                self._serve_probe,
                max_connections=64,
            )
            for address in addresses
            if address
        ]

    def _build_handler_context(
        self, rng: random.Random, index: decisions.PlacementIndex
    ) -> _context.HandlerContext:
        dialect = self.platform.dialect
        return _context.HandlerContext(
            self.clock,
            rng,
            dialect,
            self.catalog,
            self.registry,
            _sender.Sender(
                self.clock,
                dialect,
                self.registry.limits,
                self.memory_plan.answer_bytes,
                self.memory_plan.event_bytes,
            ),
            self.budget,
            self.dispatcher,
            index,
            self.streams,
            self.quarantine,
            self.links,
            self.detours,
            self.settings.zone,
            collections.Counter(),
            collections.Counter(),
            self.metrics,
            self.account_use,
            self.urgency_use,
        )

    def _watch_ends(self, sender: _sender.Sender) -> None:
        """Tell the sender of targets whose process has ended."""
        self.registry.on_gone = sender.record_gone
        self.quarantine.on_crashed = functools.partial(
            sender.ended_targets.record_end, evidence="it crashed"
        )

    def _build_links(self, rng: random.Random) -> detour.LinkWatch:
        probe = detour.LinkProbe(self.clock)
        exchange = detour.LinkExchange(
            self.clock,
            rng,
            self.settings.zone,
            self.peers,
            functools.partial(_peers.exchange, self.peers.codec),
            probe,
            self.registry.targets_of,
        )
        self.peers.replies[detour.LINK_STREAM] = exchange.reply
        return detour.LinkWatch(
            self.clock,
            rng,
            self.registry.links,
            probe,
            exchange,
            self.registry.targets_of,
            self.registry.changed,
        )

    def _build_followers(self) -> dict[fleetlog.Topic, _follow.Follower]:
        decoder = self.platform.decoder
        sinks = {
            fleetlog.Topic.CONFIGURATION: _follow.configuration_sink(
                self.catalog, decoder
            ),
            fleetlog.Topic.TARGETS: _follow.target_sink(self.catalog, decoder),
            fleetlog.Topic.INSTANCES: _follow.Sink(
                self._replace_instances,
                self.peers.update_entry,
                self._instances_changed,
                begin_era=self.peers.begin_era,
            ),
        }
        limits = _follow.ReadLimits(
            lambda: self.catalog.log_unavailable, self.log_turns
        )
        return {
            topic: _follow.Follower(
                self.platform.log,
                self.clock,
                topic,
                sink,
                limits,
                self.log_era,
                self._random,
            )
            for topic, sink in sinks.items()
        }

    def _link_mbps(self, name: str) -> float:
        """Return the bandwidth of an instance's link; 0 if not known."""
        if name == self.settings.instance:
            return self.settings.link_mbps
        entry = self.peers.known.get(name)
        return entry.link_mbps if entry is not None else 0.0

    def _confirm_targets(self, limit_s: float) -> bool:
        """Read the targets anew; return whether that is done in time."""
        return self.followers[fleetlog.Topic.TARGETS].confirm(limit_s)

    def _build_own_entry(self) -> _own_entry.OwnEntry:
        settings = self.settings
        entry = _peers.PeerEntry(
            settings.peer_address,
            settings.zone,
            takes_requests=True,
            records_streams=True,
            identifies_accounts=True,
            link_mbps=settings.link_mbps,
        )
        record = fleetlog.KeyedRecord(
            settings.instance, msgspec.json.encode(entry)
        )
        return _own_entry.OwnEntry(
            self.platform.log, self.clock, self.log_era, record
        )

    def _build_role_loop(self) -> _role_loop.RoleLoop:
        settings = self.settings
        own_record = duties.ClaimRecord(
            settings.instance, f"{self.clock.wall():.3f}"
        )
        claims = duties.Claims(
            self.platform.log,
            self.clock,
            own_record,
            settings.roles.holder_gap_ms / 1_000,
            self.log_era,
        )
        return _role_loop.RoleLoop(
            _role_loop.RoleLoopContext(
                self.clock,
                self.registry,
                self.handler_context.sender,
                self.platform.dialect,
                claims,
                settings.instance,
                self.load_reports.alive,
                self._view_current,
                self.load_reports.demand_of,
                self.capacity_loop.is_changing
                if self.capacity_loop is not None
                else lambda service: False,
            )
        )

    def _build_capacity_loop(self) -> duties.CapacityLoop | None:
        """Return what orders engines; ``None`` if the platform takes none."""
        if self.platform.capacity_port is None:
            return None
        return _capacity_parts.build(
            self.settings,
            self.clock,
            self.platform.log,
            self.log_era,
            self.platform.capacity_port,
            self.peers,
            self.load_reports,
            self.registry,
            self._view_current,
            lambda: self.engines_held,
        )

    def _build_usage(self) -> duties.UsageReports | None:
        """Return what reports usage; ``None`` if the platform wants none."""
        port = self.platform.duty_port
        if port is None or duties.Duty.USAGE not in self.platform.duty_kinds:
            return None
        return _usage_parts.build(
            self.settings,
            self.clock,
            self.platform.log,
            self.log_era,
            port,
            self.peers,
            self.load_reports,
            self.account_use,
            self._view_current,
        )

    def _view_current(self) -> bool:
        """Return whether this instance serves and reads the log."""
        return (
            not self.catalog.log_unavailable
            and self.lifecycle.ready
            and self.peers.listed
        )

    def _apply_changes(self) -> None:
        """Apply a change of configuration, targets or instances."""
        self.streams.remember(self.catalog.seen.take_versions())
        configuration = self.catalog.configuration
        if configuration is None:
            return
        instances = len(self.peers.known) + 1
        self.budget.instances = instances
        self.dispatcher.instances = instances
        self.registry.instances = instances
        self.registry.full_view = self.peers.full_view
        self.registry.apply(configuration.services, self.catalog.targets)
        self._apply_gaps(configuration)
        self.account_use.retain(self.catalog.accounts.names)
        self.registry.limits.set_members(
            self.peers.known,
            [tracked.target for tracked in self.registry.by_id.values()],
        )
        self.streams.observe(self.registry.pools)
        self.handler_context.index.retain_engines(self.registry.by_id)
        self.registry.changed.set()

    def _apply_gaps(self, configuration: _contracts.Configuration) -> None:
        """Set the shortest pause that the routes of each pool allow."""
        for name, pool in self.registry.pools.items():
            pool.gap_s = min(
                (
                    route.gap_s
                    for route in configuration.routes
                    if route.gap_s
                    and name in {s.service for s in route.shares}
                ),
                default=0.0,
            )

    def start(self) -> None:
        """Open the ports and start all background loops."""
        self.server.start()
        for server in self.probe_servers:
            server.start()
        self.peers.start()
        self.load_reports.start()
        self.links.start()
        for follower in self.followers.values():
            self._loops.append(gevent.spawn(follower.run))
        self._loops.append(gevent.spawn(self.dispatcher.run))
        self._loops.append(gevent.spawn(self._run_records))
        if self.settings.roles.follow_demand:
            self._loops.append(gevent.spawn(self.role_loop.run))
        if self.capacity_loop is not None:
            self._loops.append(gevent.spawn(self.capacity_loop.run))
        if self.usage is not None:
            self._loops.append(gevent.spawn(self.usage.push_forever))
            self._loops.append(gevent.spawn(self.usage.run))
        _log.info(
            "instance: started",
            extra={"address": self.settings.caller_address},
        )

    def _run_records(self) -> None:
        """Write the own entry, and keep the record of streams.

        Whether an earlier release left the own entry has to be read before.
        """
        self.stream_record.load()
        self._loops.append(gevent.spawn(self.own_entry.run))
        self.stream_record.run()

    def _replace_instances(
        self, records: tuple[fleetlog.KeyedRecord, ...], offset: int
    ) -> None:
        self.peers.replace_entries(records, offset)
        self.own_entry.check(records)
        self._apply_changes()

    def _instances_changed(self, offset: int) -> None:
        self._apply_changes()

    def reload(self, settings: _settings.GatewaySettings) -> None:
        """Apply those settings that can change without a restart."""
        self.budget.bound = decisions.BudgetBound(
            settings.retries.ratio,
            settings.retries.slack,
            settings.retries.window_s,
        )
        self.lifecycle.stop_limit_s = settings.stop_limit_s
        self.engines_held = settings.hold_engines
        logging.getLogger().setLevel(settings.log_level)
        fixed = [
            name
            for name in settings.__struct_fields__
            if name not in RELOADABLE
            and getattr(settings, name) != getattr(self.settings, name)
        ]
        _log.info(
            "instance: settings reloaded",
            extra={"needs_restart": fixed},
        )

    def stop(self) -> bool:
        """Drain and stop; return whether every answer was finished."""
        _log.info("instance: stopping", extra={"under_way": self._in_flight})
        given_up = _server.drain(self.clock, self.server, self.lifecycle)
        if self.usage is not None:
            self.usage.push()
        _log.info("instance: stopped", extra={"cut_off": given_up})
        return given_up == 0

    def kill(self) -> None:
        """Stop at once without draining, as if killed; for tests."""
        gevent.killall(self._loops)
        self.peers.stop()
        if self.peers.hop_server is not None:
            self.peers.hop_server.close()
        self.load_reports.stop()
        self.links.stop()
        for server in self.probe_servers:
            server.stop(timeout=0)
        self.server.close_port()

    @property
    def _in_flight(self) -> int:
        return self.lifecycle.in_flight

    def _serve_probe(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> list[bytes]:
        """Answer readiness checks and requests for metrics."""
        path = environ.get("PATH_INFO", "")
        if path == "/metrics":
            return self._serve_metrics(start_response)
        code = 200 if self.lifecycle.ready else 503
        if path != self.platform.ready_path:
            code = 404
        body = f"{self.lifecycle.phase}\n".encode()
        fields = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
        ]
        start_response(net.status_line(code), fields)
        return [body]

    def render_metrics(self) -> tuple[bytes, str]:
        """Return all metrics as encoded text, and its content type."""
        _instance_metrics.collect(self)
        return self.metrics.render()

    def _serve_metrics(self, start_response: net.StartResponse) -> list[bytes]:
        raw, kind = self.render_metrics()
        start_response(
            net.status_line(200),
            [("Content-Type", kind), ("Content-Length", str(len(raw)))],
        )
        return [raw]


def _engine_speed(configured: _settings.EngineSpeed) -> decisions.Speed:
    """Convert the engine speed of the settings for the cost model."""
    return decisions.Speed(
        prefill_tokens_per_s=configured.prefill_tokens_per_s,
        step_base_s=configured.step_ms / 1_000,
        step_per_sequence_s=configured.step_ms_per_sequence / 1_000,
        chunk_tokens=int(
            configured.chunk_tokens * configured.beside_chunk_share
        ),
        full_chunk_tokens=configured.chunk_tokens,
        decode_prefill_share=configured.beside_rate_share,
        attention_tokens_per_m_pairs=configured.attention_ms_per_m_pairs
        / 1_000
        * configured.prefill_tokens_per_s,
        step_per_k_context_s=configured.step_ms_per_k_context / 1_000,
    )
