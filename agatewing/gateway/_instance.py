"""Wires the parts of one instance that serves on a platform."""

import collections
import dataclasses
import logging
import random

import gevent
import msgspec

from agatewing import _clock
from agatewing import _metrics
from agatewing import decisions
from agatewing import dispatch
from agatewing.gateway import _catalog
from agatewing.gateway import _claims
from agatewing.gateway import _context
from agatewing.gateway import _follow
from agatewing.gateway import _lifecycle
from agatewing.gateway import _machines
from agatewing.gateway import _peers
from agatewing.gateway import _ports
from agatewing.gateway import _sender
from agatewing.gateway import _server
from agatewing.gateway import _settings
from agatewing.gateway import _split_loop
from agatewing.gateway import _work_notes
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.instance")

#: Requests that wait for engines at most; beyond, new ones are refused.
MAX_QUEUE = 2_048
#: Pause before the own entry is written again after a failure, in seconds.
ANNOUNCE_PAUSE_S = 1.0

#: Settings that are taken in without a restart.
RELOADED = frozenset(("retries", "stop_limit_s", "log_level"))


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform that an instance runs on."""

    #: Its log.
    log: _ports.FleetLog
    #: Decodes records of the log.
    decoder: _ports.Decoder
    #: Headers of requests and answers.
    dialect: _ports.Dialect
    #: Path that the balancer asks for readiness.
    ready_path: str


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
        self.catalog = _catalog.Catalog(clock, self._apply)
        self.machines = _machines.Machines(
            clock, rng, _speed(settings.engines)
        )
        self.budget = decisions.SharedRetryBudget(
            decisions.BudgetBound(
                settings.retries.ratio,
                settings.retries.slack,
                settings.retries.window_s,
            )
        )
        self.dispatcher = dispatch.Dispatcher(clock, self.machines, MAX_QUEUE)
        self.life = _lifecycle.Lifecycle(
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
        )
        index = decisions.PartIndex(settings.cache_keep_s)
        self.work = _work_notes.WorkNotes(
            settings.instance,
            net.split_address(settings.peer_address),
            clock,
            self.peers,
            self.catalog,
            self.machines,
            wire.Codec(settings.peer_secret),
            rng,
            index,
            settings.zone,
        )
        self.metrics = _metrics.Metrics()
        self.parts = self._parts(rng, index)
        self.split = self._split()
        self.server = _server.CallerServer(
            net.split_address(settings.caller_address),
            self.parts,
            self.life,
        )
        self._loops: list[gevent.Greenlet] = []
        addresses = (settings.ready_address, settings.metrics_address)
        self._watch_servers = [
            net.Server(
                *net.split_address(address),
                self._serve_ready,
                max_connections=64,
            )
            for address in addresses
            if address
        ]

    def _parts(
        self, rng: random.Random, index: decisions.PartIndex
    ) -> _context.Parts:
        dialect = self.platform.dialect
        return _context.Parts(
            self.clock,
            rng,
            dialect,
            self.catalog,
            self.machines,
            _sender.Sender(self.clock, dialect),
            self.budget,
            self.dispatcher,
            index,
            self.settings.zone,
            collections.Counter(),
            self.metrics,
        )

    def _split(self) -> _split_loop.SplitLoop:
        settings = self.settings
        me = _claims.ClaimRecord(settings.instance, f"{self.clock.wall():.3f}")
        claims = _claims.Claims(
            self.platform.log,
            self.clock,
            me,
            settings.roles.holder_gap_ms / 1_000,
        )
        return _split_loop.SplitLoop(
            _split_loop.SplitParts(
                self.clock,
                self.machines,
                self.parts.sender,
                self.platform.dialect,
                claims,
                settings.instance,
                self.work.alive,
                lambda: not self.catalog.away and self.life.ready,
                settings.roles.decode_share,
            )
        )

    def _apply(self) -> None:
        """Follow a change of configuration, targets or instances."""
        configuration = self.catalog.configuration
        if configuration is None:
            return
        instances = len(self.peers.known) + 1
        self.budget.instances = instances
        self.dispatcher.instances = instances
        self.machines.instances = instances
        self.machines.apply(configuration.services, self.catalog.targets)
        self.parts.index.keep(self.machines.by_id)
        self.machines.changed.set()

    def start(self) -> None:
        """Open the ports and start every loop."""
        self.server.start()
        for server in self._watch_servers:
            server.start()
        self.peers.start()
        self.work.start()
        decoder = self.platform.decoder
        sinks = {
            _ports.Topic.CONFIGURATION: _follow.configuration_sink(
                self.catalog, decoder
            ),
            _ports.Topic.TARGETS: _follow.target_sink(self.catalog, decoder),
            _ports.Topic.INSTANCES: _follow.Sink(
                self.peers.take_all, self.peers.take, self._instances_changed
            ),
        }
        pacing = _follow.Pacing(
            lambda: self.catalog.away, lambda: len(self.peers.known) + 1
        )
        for topic, sink in sinks.items():
            follower = _follow.Follower(
                self.platform.log, self.clock, topic, sink, pacing
            )
            self._loops.append(gevent.spawn(follower.run))
        self._loops.append(gevent.spawn(self.dispatcher.run))
        self._loops.append(gevent.spawn(self._announce))
        if self.settings.roles.decode_share:
            self._loops.append(gevent.spawn(self.split.run))
        _log.info(
            "instance: started",
            extra={"address": self.settings.caller_address},
        )

    def _instances_changed(self, offset: int) -> None:
        self._apply()

    def _announce(self) -> None:
        """Write the own entry, so that others find this instance."""
        entry = _peers.PeerEntry(
            self.settings.peer_address, self.settings.zone
        )
        raw = msgspec.json.encode(entry)
        while True:
            away = self.platform.log.put(
                _ports.Topic.INSTANCES, self.settings.instance, raw
            )
            if away is None:
                return
            _log.warning(
                "instance: own entry not written",
                extra={"reason": away.reason},
            )
            self.clock.sleep(ANNOUNCE_PAUSE_S)

    def reload(self, settings: _settings.GatewaySettings) -> None:
        """Take settings in that can change while the process runs."""
        self.budget.bound = decisions.BudgetBound(
            settings.retries.ratio,
            settings.retries.slack,
            settings.retries.window_s,
        )
        self.life.grace_s = settings.stop_limit_s
        logging.getLogger().setLevel(settings.log_level)
        fixed = [
            name
            for name in settings.__struct_fields__
            if name not in RELOADED
            and getattr(settings, name) != getattr(self.settings, name)
        ]
        _log.info(
            "instance: settings read again",
            extra={"needs_restart": fixed},
        )

    def stop(self) -> bool:
        """Stop in order; return whether every answer was finished."""
        _log.info("instance: stopping", extra={"under_way": self._under_way})
        ended = _server.wait_until_ended(self.clock, self.server, self.life)
        _log.info("instance: stopped", extra={"cut_off": self._under_way})
        return ended

    def halt(self) -> None:
        """End at once, as a kill would; for tests in one process."""
        gevent.killall(self._loops)
        self.peers.stop()
        self.work.stop()
        for server in self._watch_servers:
            server.stop(timeout=0)
        self.server.close_port()

    @property
    def _under_way(self) -> int:
        return self.life.in_flight

    def _serve_ready(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> list[bytes]:
        """Answer the balancer, and who asks for metrics."""
        path = environ.get("PATH_INFO", "")
        if path == "/metrics":
            return self._serve_metrics(start_response)
        code = 200 if self.life.ready else 503
        if path != self.platform.ready_path:
            code = 404
        body = f"{self.life.phase}\n".encode()
        fields = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
        ]
        start_response(net.status_line(code), fields)
        return [body]

    def render_metrics(self) -> tuple[bytes, str]:
        """Return all metrics as text, and its content type."""
        self._collect()
        return self.metrics.render()

    def _serve_metrics(self, start_response: net.StartResponse) -> list[bytes]:
        raw, kind = self.render_metrics()
        start_response(
            net.status_line(200),
            [("Content-Type", kind), ("Content-Length", str(len(raw)))],
        )
        return [raw]

    def _collect(self) -> None:
        metrics = self.metrics
        metrics.counters(
            "agatewing_answers_total",
            "Answers of targets passed on, by status",
            "status",
            self.parts.answers,
        )
        metrics.counters(
            "agatewing_refused_total",
            "Refusals by kind",
            "kind",
            self.server.refusals,
        )
        metrics.counter(
            "agatewing_sends_total",
            "Requests sent to targets",
            self.parts.sender.sent,
        )
        metrics.counter(
            "agatewing_retries_denied_total",
            "Repeats that the budget did not allow",
            self.budget.refused,
        )
        metrics.gauge(
            "agatewing_requests_under_way",
            "Requests under way",
            self.life.in_flight,
        )
        metrics.gauge(
            "agatewing_log_age_seconds",
            "Seconds since the end of the log was known",
            min(self.catalog.age_s(), 1e9),
        )
        metrics.gauge(
            "agatewing_config_version",
            "Configuration version in force",
            self.catalog.config_version,
        )
        metrics.counter(
            "agatewing_note_bytes_total",
            "Bytes of notes sent to other instances",
            self.work.sent_bytes,
        )
        metrics.counter(
            "agatewing_orders_total",
            "Orders to engines to take a role",
            self.split.orders,
        )
        metrics.counter(
            "agatewing_connections_opened_total",
            "Connections opened to targets that are known now",
            sum(m.channels.opened for m in self.machines.by_id.values()),
        )


def _speed(sheet: _settings.EngineSpeed) -> decisions.Speed:
    """Return the speed that a deployment's sheet states."""
    return decisions.Speed(
        prefill_tokens_per_s=sheet.prefill_tokens_per_s,
        step_base_s=sheet.step_ms / 1_000,
        step_per_sequence_s=sheet.step_ms_per_sequence / 1_000,
        chunk_tokens=int(sheet.chunk_tokens * sheet.beside_chunk_share),
        full_chunk_tokens=sheet.chunk_tokens,
        beside_share=sheet.beside_rate_share,
        tokens_per_m_pairs=sheet.attention_ms_per_m_pairs
        / 1_000
        * sheet.prefill_tokens_per_s,
        step_per_k_context_s=sheet.step_ms_per_k_context / 1_000,
    )
