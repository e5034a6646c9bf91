"""Composition root: creates and connects the parts of one instance."""

import collections.abc
import dataclasses
import functools
import logging
import random
import typing

import gevent
import result

from agatewing import _backend
from agatewing import _clock
from agatewing import _crash_exchange
from agatewing import _exceptions
from agatewing import _invariants
from agatewing import _watch
from agatewing import admin
from agatewing import calls
from agatewing import config
from agatewing import control
from agatewing import decisions
from agatewing import dispatch
from agatewing import entry
from agatewing import fleet
from agatewing import membership
from agatewing import net
from agatewing import platform_services
from agatewing import replica
from agatewing import timeline
from agatewing import wire

_log = logging.getLogger("agatewing.instance")

#: Interval between checks for open requests during a stop, in seconds.
DRAIN_POLL_S = 0.05
#: Wait between stopping the peer links and closing the caller and
#: administration ports, in seconds. Periodic probes announce the departure
#: during this time, since ``membership.Links.stop`` doesn't end them.
LEAVE_NOTICE_S = 0.5


class PeerLinks(typing.Protocol):
    """Messages to and from other instances, as an instance uses them."""

    #: Bytes of datagrams sent to other instances.
    sent_bytes: int

    def start(self) -> None:
        """Start sending and receiving messages."""

    def stop(self) -> None:
        """Send a last round of probes; stop serving state requests.

        Over a real network, periodic probes go on until :meth:`kill`.
        """

    def kill(self) -> None:
        """End all sending and receiving at once."""

    def fetch_state(
        self, address: str, stream: str, key: str = ""
    ) -> "result.Result[wire.StateReply, _exceptions.AgatewingError]":
        """Request a peer's replayed state of a stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Clients and network factories that an instance is built with."""

    #: Client of the log service.
    log: platform_services.LogClient
    #: Client of the platform's instance list.
    instance_list: platform_services.InstanceListClient
    #: Sends a request on a new connection, never twice.
    call_once: net.CallOnce
    #: Creates a pooled HTTP client for a target's address.
    make_client: fleet.ClientFactory
    #: Memory for answers of targets that are being read.
    answer_room: net.BufferRoom
    #: Creates the links of an instance to its peers.
    make_links: collections.abc.Callable[["Instance"], PeerLinks]


def network_dependencies(settings: config.Settings) -> Dependencies:
    """Return clients and factories that use the real network."""
    room = net.BufferRoom(settings.limits.max_answers_bytes)
    return Dependencies(
        platform_services.LogClient(settings.log_url),
        platform_services.InstanceListClient(settings.instance_list_url),
        functools.partial(net.call_once, room=room),
        functools.partial(net.HttpClient, room=room),
        room,
        _network_links,
    )


def _network_links(instance: "Instance") -> PeerLinks:
    """Return peer links over UDP and TCP."""
    settings = instance.settings
    return membership.Links(
        settings.host,
        settings.peer_port,
        wire.Codec(settings.peer_secret),
        instance.clock,
        instance.detector,
        instance.sender_state,
        instance.receive_stamp,
        instance.state_reply,
    )


class Instance:
    """One instance of the system, with all its parts."""

    def __init__(
        self,
        settings: config.Settings,
        clock: _clock.Clock,
        dependencies: Dependencies,
    ) -> None:
        #: Settings of the process.
        self.settings = settings
        #: Clock of all parts.
        self.clock = clock
        #: Clients and network factories.
        self.dependencies = dependencies
        #: Start time in milliseconds since the epoch; a restart has a later
        #: one.
        self.incarnation = int(clock.wall() * 1000)
        #: This process, as the author of log records.
        self.author = replica.Author(settings.instance, self.incarnation)
        #: Random generator of all parts.
        self.rng = random.Random(f"{self.author}")
        #: Hybrid logical clock; stamps events and peer messages.
        self.hybrid_clock = timeline.HybridClock(clock)
        #: Events of this process.
        self.events = timeline.EventRecorder(
            self.hybrid_clock, str(self.author)
        )
        #: Checks of the system's invariants.
        self.invariants = _invariants.Invariants(self.events)
        #: Decides whether requests are accepted and sent.
        self.gate = entry.Gate(clock)
        #: Engines and targets of the configuration.
        self.fleet = fleet.Fleet(clock, self.rng, dependencies.make_client)
        self._create_membership()
        self._create_log()
        self._create_control()
        self._create_calls()
        self._create_entry()
        self._create_admin()
        self._tasks: list[gevent.Greenlet] = []
        self._servers: list[net.Server] = []

    def _create_membership(self) -> None:
        settings = self.settings
        identity = membership.LocalInstance(
            settings.instance,
            self.incarnation,
            settings.zone,
            f"{settings.host}:{settings.peer_port}",
        )
        #: Status of the other instances.
        self.detector = membership.Detector(identity, self.rng)
        #: Messages to and from other instances.
        self.links = self.dependencies.make_links(self)
        #: Client of the platform's instance list.
        self.instance_list = self.dependencies.instance_list

    def _create_log(self) -> None:
        #: Client of the log service.
        self.log = self.dependencies.log
        #: State replayed from each stream.
        self.config_state = replica.ConfigState()
        self.control_state = replica.ControlState()
        self.calls_state = replica.CallsState()
        budget = replica.AppendBudget(
            self.clock,
            self.settings.log_appends_per_s,
            lambda: len(self.detector.live_peers()) + 1,
        )
        #: Readers of the streams, by stream.
        self.followers: dict[str, replica.Follower] = {}
        #: Batch appends to the streams, by stream.
        self.group_commits: dict[str, replica.GroupCommit] = {}
        for stream, state_machine in (
            (replica.CONFIG_STREAM, self.config_state),
            (replica.CONTROL_STREAM, self.control_state),
            (replica.CALLS_STREAM, self.calls_state),
        ):
            follower = replica.Follower(
                self.log,
                self.clock,
                stream,
                replica.Replay(state_machine),
                self.rng,
            )
            self.followers[stream] = follower
            self.group_commits[stream] = replica.GroupCommit(
                self.log,
                self.clock,
                follower,
                budget,
                self.author,
                self.rng,
            )

    def _create_control(self) -> None:
        config_stream = replica.CONFIG_STREAM
        control_stream = replica.CONTROL_STREAM
        follower, commit = (
            self.followers[control_stream],
            self.group_commits[control_stream],
        )
        #: Applies and publishes configurations.
        self.config_keeper = control.ConfigKeeper(
            self.clock,
            self.config_state,
            self.followers[config_stream],
            self.group_commits[config_stream],
            self.events,
            self._apply_config,
            self.links.fetch_state,
        )
        #: Write snapshots of the config and control streams.
        self.snapshot_writers = [
            control.SnapshotWriter(
                self.clock,
                self.followers[stream],
                state_machine,
                self.group_commits[stream],
                self.events,
                self.rng,
            )
            for stream, state_machine in (
                (config_stream, self.config_state),
                (control_stream, self.control_state),
            )
        ]
        #: Leases of this process.
        self.leases = control.LeaseKeeper(
            self.clock,
            self.control_state,
            follower,
            commit,
            self.events,
            self.rng,
        )
        #: Issues and delivers orders to engines.
        self.orders = control.OrderKeeper(
            self.clock,
            self.control_state,
            follower,
            commit,
            self.leases,
            self.fleet,
            self.events,
            self._is_removed,
            self.invariants,
            self.dependencies.call_once,
        )
        #: Plans role changes and issues orders for them.
        self.role_loop = control.RoleLoop(
            self.clock,
            self.fleet,
            self.leases,
            self.orders,
            self._demand_of,
        )

    def _create_calls(self) -> None:
        stream = replica.CALLS_STREAM
        follower, commit = self.followers[stream], self.group_commits[stream]
        #: Checks that the calls stream was replayed completely.
        self.completeness = calls.CompletenessCheck(
            self.clock,
            self.log,
            follower,
            self._ask_calls_position,
            # Lambdas, since ``_create_admin`` sets ``self.watch`` later.
            lambda: self.watch.read_instance_list(),
            lambda: self.watch.possible_processes(),
        )
        #: Retry budget that plain calls and streams share.
        self.retry_budget = decisions.RetryBudget(self.rng)
        #: Keeps requests from targets that would crash on them.
        self.crashes = entry.CrashGuard(
            self.clock,
            decisions.CrashSuspects(),
            random.Random(f"{self.author}/crashes").random(),
        )
        #: Shares with other instances what targets crash on.
        self.crash_exchange = _crash_exchange.CrashExchange(
            self.clock,
            self.crashes,
            self.links.fetch_state,
            self.detector.live_peers,
        )
        #: Handles calls of plain services.
        self.services = entry.Services(
            self.clock,
            self.fleet,
            self.gate,
            self.events,
            self.retry_budget,
            self.settings.zone,
            self.dependencies.call_once,
            self.crashes,
        )
        #: Runs at-most-once calls.
        self.executor = calls.OnceExecutor(
            self.clock,
            self.calls_state,
            follower,
            commit,
            self.events,
            self.services.send_once,
            self.completeness,
            self.invariants,
        )
        self.services.executor = self.executor
        #: Records ``AnswerLost`` for calls of processes that died, left or
        #: were replaced.
        self.reaper = calls.Reaper(
            self.clock,
            self.calls_state,
            follower,
            commit,
            self.events,
            self._is_gone,
            self.rng,
        )

    def _create_entry(self) -> None:
        limits = self.settings.limits
        #: Queues requests and routes them to engines.
        self.dispatcher = dispatch.Dispatcher(
            self.clock, self.fleet, limits.max_queue
        )
        relay_dependencies = entry.RelayDependencies(
            self.fleet,
            self.clock,
            self.events,
            self.retry_budget,
            self.invariants,
            self.gate,
            self.crashes,
            self.dependencies.answer_room,
        )
        generation = entry.Generation(
            relay_dependencies,
            self.dispatcher,
            entry.HandleCodec(self.settings.stream_secret),
            fleet.LengthEstimate(),
            self.rng,
            self.settings.zone,
        )
        #: WSGI application of the caller port.
        self.app = entry.EntryApp(
            self.fleet,
            self.gate,
            generation,
            self.services,
            self.events,
            limits,
            self.clock,
        )
        #: Polls the load reports and cache events of engines.
        self.poller = fleet.Poller(
            self.fleet, self.clock, self.rng, self.events
        )

    def _create_admin(self) -> None:
        #: Monitors peers, the log and the instance list.
        self.watch = _watch.Watch(self)
        #: Data and operations of the administration API.
        self.backend = _backend.InstanceBackend(self)
        authorizer = admin.Authorizer(
            self.settings.admin_tokens,
            self.clock,
            self.settings.limits.admin_rate_per_s,
        )
        #: WSGI application of the administration port.
        self.admin_app = admin.AdminApp(self.backend, authorizer)

    def start(self) -> None:
        """Open the caller and admin ports; start every background loop."""
        self._open_ports()
        self.start_loops()
        _log.info(
            "instance: %s serves callers on %s:%d",
            self.author,
            self.settings.host,
            self.settings.caller_port,
        )

    def _open_ports(self) -> None:
        limits = self.settings.limits
        self._servers = [
            net.Server(
                self.settings.host,
                self.settings.caller_port,
                self.app,
                limits.max_connections,
                limits.max_header_bytes,
                limits.request_read_s,
            ),
            net.Server(
                self.settings.host,
                self.settings.admin_port,
                self.admin_app,
                max_connections=256,
            ),
        ]
        for server in self._servers:
            server.start()

    def start_loops(self, poll_engines: bool = True) -> None:
        """Start every background loop; don't open caller and admin ports.

        Without ``poll_engines``, engines are not polled, and the instance
        does not wait for their first reports before it is ready.
        """
        self.gate.phase = entry.Phase.SERVING
        self.events.add(timeline.EventKind.STARTED)
        self.links.start()
        loops = [
            *(f.run for f in self.followers.values()),
            *(c.run for c in self.group_commits.values()),
            self.watch.run,
            self.watch.run_list_reads,
            self.dispatcher.run,
            self.leases.run,
            self.orders.run,
            self.role_loop.run,
            self.reaper.run,
            self.crash_exchange.run,
        ]
        self.gate.engines_polled = not poll_engines
        if poll_engines:
            loops.append(self.poller.run)
        self._tasks = [gevent.spawn(loop) for loop in loops]

    def kill(self) -> None:
        """Kill the loops of ``start_loops`` at once, without draining.

        The peer links and the servers keep running.
        """
        gevent.killall(self._tasks, block=False)

    def stop(self) -> bool:
        """Drain and stop; return whether the drain completed.

        It is complete if all open requests and active at-most-once calls
        ended within ``drain_limit_s``.
        """
        self.gate.phase = entry.Phase.LEAVING
        self.detector.announce_departure()
        self.events.add(timeline.EventKind.LEAVING)
        _log.info("instance: %s is draining", self.author)
        self.clock.sleep(self.settings.leave_delay_s)
        drained = self._wait_for_requests()
        self.invariants.check(
            _invariants.Invariant.GRACEFUL_STOP,
            drained,
            f"{self.app.open_requests} requests were open at the stop",
        )
        self.leases.release_all()
        self.links.stop()
        self.clock.sleep(LEAVE_NOTICE_S)
        for server in self._servers:
            server.stop(timeout=1.0)
        self.links.kill()
        gevent.killall(self._tasks, block=False)
        self.events.add(timeline.EventKind.STOPPED)
        _log.info("instance: %s stopped", self.author)
        return drained

    def _wait_for_requests(self) -> bool:
        deadline = self.clock.monotonic() + self.settings.drain_limit_s
        while self.app.open_requests or self.executor.active:
            if self.clock.monotonic() > deadline:
                return False
            self.clock.sleep(DRAIN_POLL_S)
        return True

    def _apply_config(self, document: config.Document, version: int) -> None:
        self.invariants.check(
            _invariants.Invariant.NO_REVERT,
            version > self.config_keeper.applied_version,
            f"version {version} after {self.config_keeper.applied_version}",
        )
        self.fleet.apply(document)
        self.leases.required = frozenset(
            control.lease_of(pool) for pool in document.pools()
        )
        idempotency_window_s = document.rules.idempotency_window_s
        self.executor.window_s = idempotency_window_s
        self.reaper.window_s = idempotency_window_s
        _log.info("instance: configuration %d is in force", version)

    def receive_stamp(self, wall_ms: int, counter: int) -> None:
        """Advance the hybrid logical clock past a peer's stamp."""
        self.hybrid_clock.receive(timeline.Stamp(wall_ms, counter))

    def sender_state(self) -> membership.SenderState:
        """Return the state that this instance reports in peer messages."""
        follower = self.followers[replica.CONFIG_STREAM]
        log_age_s = follower.age_s()
        # -1 if the end of the config stream was never read, or not for 1e6 s.
        log_age_ms = int(log_age_s * 1000) if log_age_s < 1e6 else -1
        stamp = self.hybrid_clock.now()
        return membership.SenderState(
            wire.Vouch(
                config_version=self.config_keeper.applied_version,
                log_age_ms=log_age_ms,
            ),
            self.watch.local_demand(),
            (stamp.wall_ms, stamp.counter),
        )

    def state_reply(self, stream: str, key: str = "") -> wire.StateReply:
        """Return the reply to a peer's request for the state of a stream."""
        if stream == _crash_exchange.CRASH_EVIDENCE:
            return self.crash_exchange.reply(key)
        return self.watch.state_reply(stream)

    def _is_gone(self, process: str, after_s: float) -> bool:
        return self.detector.is_gone(process, self.clock.monotonic(), after_s)

    def _is_removed(self, process: str, after_s: float) -> bool:
        return self.detector.is_removed(
            process, self.clock.monotonic(), after_s
        )

    def _demand_of(self, pool: str) -> decisions.TokenDemand:
        return self.watch.demand_of(pool)

    def _ask_calls_position(self, process: str) -> int | None:
        return self.watch.ask_position(process)
