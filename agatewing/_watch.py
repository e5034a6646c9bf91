"""Monitors peers, the log and the instance list for one instance."""

import json
import logging
import typing

import gevent
import result

from agatewing import _exceptions
from agatewing import decisions
from agatewing import membership
from agatewing import replica
from agatewing import timeline
from agatewing import wire

if typing.TYPE_CHECKING:
    from agatewing import _compose

_log = logging.getLogger("agatewing.watch")

#: Interval between steps of the watch loop, in seconds.
STEP_PERIOD_S = 0.25
#: Interval between reads of the platform's instance list, in seconds.
LIST_PERIOD_S = 1.0
#: Least time between configuration fetches from peers, in seconds.
FETCH_PERIOD_S = 0.5
#: Time since the end of the config stream was last read after which the
#: log counts as unavailable, in seconds.
LOG_UNAVAILABLE_AGE_S = 2.0
#: Stream name in a state request that asks only for the position in the
#: calls stream.
CALLS_POSITION = "calls-position"

_EVENT_OF_STATUS = {
    membership.ALIVE: timeline.EventKind.PEER_ALIVE,
    membership.SUSPECT: timeline.EventKind.PEER_SUSPECT,
    membership.DEAD: timeline.EventKind.PEER_DEAD,
    membership.LEFT: timeline.EventKind.PEER_LEFT,
}


class Watch:
    """Determines this instance's standing and replies to peers' requests."""

    __slots__ = ("_instance", "_fetched_at", "_log_unavailable")

    def __init__(self, instance: "_compose.Instance") -> None:
        self._instance = instance
        self._fetched_at = float("-inf")
        self._log_unavailable = False

    def run(self) -> None:
        """Repeat :meth:`step` for ever."""
        while True:
            self.step()
            self._instance.clock.sleep(STEP_PERIOD_S)

    def run_list_reads(self) -> None:
        """Repeat :meth:`read_instance_list` for ever."""
        while True:
            self.read_instance_list()
            self._instance.clock.sleep(LIST_PERIOD_S)

    def read_instance_list(self) -> bool:
        """Read the platform's instance list; return whether that worked."""
        instance = self._instance
        try:
            listed = instance.instance_list.read()
        except _exceptions.AgatewingError as exc:
            _log.info("watch: instance list not read: %s", exc)
            return False
        instance.detector.apply_list(listed, instance.clock.monotonic())
        name = instance.settings.instance
        if any(row.instance == name for row in listed.instances):
            instance.executor.seen_in_list = True
        return True

    def possible_processes(self) -> list[str]:
        """Return every other process that may run.

        Each is written as ``instance/incarnation``. A listed process counts
        even if it is known as dead here.
        """
        detector = self._instance.detector
        live = detector.live_peers()
        return [
            peer.process
            for peer in detector.peers.values()
            if peer.listed or peer in live
        ]

    def step(self) -> None:
        """Record changes of peers and log; update standing and readiness.

        Also updates the counts of live instances, fetches a newer
        configuration from a peer if needed, and runs the snapshot writers.
        """
        instance = self._instance
        self._record_peer_changes()
        self._record_log_state()
        live = instance.detector.live_peers()
        instance.dispatcher.instances = len(live) + 1
        for engine in instance.fleet.engines():
            engine.live_instances = len(live) + 1
        instance.completeness.record_alive_processes()
        was_ready = instance.gate.ready
        if not instance.gate.engines_polled:
            instance.gate.engines_polled = self._engines_polled()
        instance.gate.set_standing(
            membership.configuration_standing(self._evidence())
        )
        if instance.gate.ready is not was_ready:
            kind = timeline.EventKind.NOT_READY
            if instance.gate.ready:
                kind = timeline.EventKind.READY
            instance.events.add(kind, detail=str(instance.gate.standing))
            _log.info("watch: standing is %s", instance.gate.standing)
        self._fetch_newer_config(live)
        for writer in instance.snapshot_writers:
            writer.step()

    def _engines_polled(self) -> bool:
        """Return whether every engine has reported or failed at least once."""
        fleet = self._instance.fleet
        if fleet.document is None:
            return False
        return all(
            engine.report or engine.failures for engine in fleet.engines()
        )

    def local_demand(self) -> list[wire.Demand]:
        """Return the demand of callers at this instance, by pool."""
        now = self._instance.clock.monotonic()
        demands = []
        for pool in self._instance.fleet.pools.values():
            tokens = pool.meter.demand(now)
            demands.append(
                wire.Demand(
                    pool=pool.name,
                    prefill_tokens_per_s=tokens.prefill_tokens_per_s,
                    decode_tokens_per_s=tokens.decode_tokens_per_s,
                    requests_per_s=pool.meter.requests_per_s(now),
                )
            )
        return demands

    def demand_of(self, pool_name: str) -> decisions.TokenDemand:
        """Return a pool's token demand, summed over live instances."""
        instance = self._instance
        pool = instance.fleet.pools[pool_name]
        local = pool.meter.demand(instance.clock.monotonic())
        prefill = local.prefill_tokens_per_s
        decode = local.decode_tokens_per_s
        for peer in instance.detector.live_peers():
            peer_demand = peer.demand.get(pool_name)
            if peer_demand is not None:
                prefill += peer_demand.prefill_tokens_per_s
                decode += peer_demand.decode_tokens_per_s
        return decisions.TokenDemand(prefill, decode)

    def state_reply(self, stream: str) -> wire.StateReply:
        """Return the reply to a peer's request for the state of a stream."""
        instance = self._instance
        if stream == CALLS_POSITION:
            follower = instance.followers[replica.CALLS_STREAM]
            return wire.StateReply(
                known=True,
                through=follower.position,
                state=str(instance.incarnation).encode(),
            )
        follower = instance.followers[replica.CONFIG_STREAM]
        known = follower.replay.known and bool(instance.config_state.version)
        if stream != replica.CONFIG_STREAM or not known:
            return wire.StateReply(known=False, through=0, state=b"")
        return wire.StateReply(
            known=True,
            through=follower.replay.through,
            state=json.dumps(instance.config_state.dump()).encode(),
        )

    def ask_position(self, process: str) -> int | None:
        """Return a process's position in the calls stream.

        Returns ``None`` if it gives no answer or another incarnation
        answers.
        """
        name, _, incarnation = process.rpartition("/")
        peer = self._instance.detector.peers.get(name)
        if peer is None:
            return None
        reply = self._instance.links.fetch_state(peer.address, CALLS_POSITION)
        if isinstance(reply, result.Err):
            return None
        state: wire.StateReply = reply.ok_value
        if state.state != incarnation.encode():
            return None
        return int(state.through)

    def _record_peer_changes(self) -> None:
        detector = self._instance.detector
        changes, detector.status_changes = detector.status_changes, []
        for change in changes:
            kind = _EVENT_OF_STATUS[change.status]
            self._instance.events.add(kind, detail=change.process)

    def _record_log_state(self) -> None:
        follower = self._instance.followers[replica.CONFIG_STREAM]
        unavailable = follower.age_s() > LOG_UNAVAILABLE_AGE_S
        if unavailable is self._log_unavailable:
            return
        self._log_unavailable = unavailable
        kind = timeline.EventKind.LOG_BACK
        if unavailable:
            kind = timeline.EventKind.LOG_LOST
        self._instance.events.add(kind)
        _log.info("watch: %s", kind)

    def _evidence(self) -> membership.Evidence:
        instance = self._instance
        now = instance.clock.monotonic()
        follower = instance.followers[replica.CONFIG_STREAM]
        peers = tuple(
            membership.PeerEvidence(
                now - peer.answered_probe_sent_at,
                now - peer.log_read_at,
                peer.config_version,
            )
            for peer in instance.detector.peers.values()
            if peer.incarnation and peer.status != membership.LEFT
        )
        log_age_s = follower.age_s() if follower.replay.known else float("inf")
        return membership.Evidence(
            instance.config_keeper.applied_version,
            log_age_s,
            peers,
            instance.detector.member_count(),
            instance.detector.highest_reported_version,
        )

    def _fetch_newer_config(self, live: list[membership.Peer]) -> None:
        """Fetch the configuration from a peer that reports a newer version.

        Does so only while the log is unavailable, its state is unknown or no
        configuration is in force here.
        """
        instance = self._instance
        now = instance.clock.monotonic()
        follower = instance.followers[replica.CONFIG_STREAM]
        log_is_current = (
            follower.replay.known and follower.age_s() <= LOG_UNAVAILABLE_AGE_S
        )
        applied_version = instance.config_keeper.applied_version
        newer_peers = [p for p in live if p.config_version > applied_version]
        if (log_is_current and applied_version) or not newer_peers:
            return
        if now - self._fetched_at < FETCH_PERIOD_S:
            return
        self._fetched_at = now
        peer = instance.rng.choice(newer_peers)
        gevent.spawn(instance.config_keeper.fetch_from, peer.address)
