"""Watches peers, the log and the platform's list of one instance."""

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

#: Time between two looks, in seconds.
PERIOD_S = 0.25
#: Time between two reads of the platform's list, in seconds.
LIST_PERIOD_S = 1.0
#: Time between two fetches of configuration from peers, in seconds.
FETCH_PERIOD_S = 0.5
#: Age of the log's end from which the log counts as lost, in seconds.
LOG_LOST_S = 2.0
#: Stream name that asks for the position in the calls stream only.
CALLS_POSITION = "calls-position"

_EVENT_OF_STATUS = {
    membership.ALIVE: timeline.EventKind.PEER_ALIVE,
    membership.SUSPECT: timeline.EventKind.PEER_SUSPECT,
    membership.DEAD: timeline.EventKind.PEER_DEAD,
    membership.LEFT: timeline.EventKind.PEER_LEFT,
}


class Watch:
    """Judges the own standing and answers peers."""

    __slots__ = ("_instance", "_fetched_at", "_log_lost")

    def __init__(self, instance: "_compose.Instance") -> None:
        self._instance = instance
        self._fetched_at = float("-inf")
        self._log_lost = False

    def run(self) -> None:
        """Look for ever."""
        while True:
            self.step()
            self._instance.clock.sleep(PERIOD_S)

    def run_list(self) -> None:
        """Read the platform's list for ever."""
        while True:
            self.read_list()
            self._instance.clock.sleep(LIST_PERIOD_S)

    def read_list(self) -> bool:
        """Read the platform's list once; return whether that worked."""
        instance = self._instance
        try:
            listed = instance.instance_list.read()
        except _exceptions.AgatewingError as exc:
            _log.info("watch: no instance list: %s", exc)
            return False
        instance.detector.apply_list(listed, instance.clock.monotonic())
        name = instance.settings.instance
        if any(row.instance == name for row in listed.instances):
            instance.executor.joined = True
        return True

    def possible_processes(self) -> list[str]:
        """Return every other process that may be running."""
        detector = self._instance.detector
        live = detector.live_peers()
        return [
            peer.process
            for peer in detector.peers.values()
            if peer.listed or peer in live
        ]

    def step(self) -> None:
        """Take note of what changed; judge the own standing."""
        instance = self._instance
        self._note_changes()
        self._note_log()
        live = instance.detector.live_peers()
        instance.dispatcher.instances = len(live) + 1
        for machine in instance.fleet.engines():
            machine.instances = len(live) + 1
        instance.history.note_alive()
        before = instance.gate.ready
        if not instance.gate.warm:
            instance.gate.warm = self._knows_engines()
        instance.gate.judge(membership.judge(self._evidence()))
        if instance.gate.ready is not before:
            kind = timeline.EventKind.NOT_READY
            if instance.gate.ready:
                kind = timeline.EventKind.READY
            instance.events.add(kind, detail=str(instance.gate.standing))
            _log.info("watch: standing is %s", instance.gate.standing)
        self._fetch_newer(live)
        for keeper in instance.keepers:
            keeper.step()

    def _knows_engines(self) -> bool:
        """Return whether every engine answered, or failed to, once."""
        fleet = self._instance.fleet
        if fleet.document is None:
            return False
        return all(m.report or m.failures for m in fleet.engines())

    def own_demand(self) -> list[wire.Demand]:
        """Return the work that callers asked for here."""
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

    def demand_of(self, name: str) -> decisions.TokenDemand:
        """Return the work that callers ask of a pool at all instances."""
        instance = self._instance
        pool = instance.fleet.pools[name]
        own = pool.meter.demand(instance.clock.monotonic())
        prefill = own.prefill_tokens_per_s
        decode = own.decode_tokens_per_s
        for peer in instance.detector.live_peers():
            theirs = peer.demand.get(name)
            if theirs is not None:
                prefill += theirs.prefill_tokens_per_s
                decode += theirs.decode_tokens_per_s
        return decisions.TokenDemand(prefill, decode)

    def state_reply(self, stream: str) -> wire.StateReply:
        """Return what a peer asks for."""
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
        """Return how far a process has read the calls stream."""
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

    def _note_changes(self) -> None:
        detector = self._instance.detector
        changes, detector.changes = detector.changes, []
        for change in changes:
            kind = _EVENT_OF_STATUS[change.status]
            self._instance.events.add(kind, detail=change.process)

    def _note_log(self) -> None:
        follower = self._instance.followers[replica.CONFIG_STREAM]
        lost = follower.age() > LOG_LOST_S
        if lost is self._log_lost:
            return
        self._log_lost = lost
        kind = timeline.EventKind.LOG_BACK
        if lost:
            kind = timeline.EventKind.LOG_LOST
        self._instance.events.add(kind)
        _log.info("watch: %s", kind)

    def _evidence(self) -> membership.Evidence:
        instance = self._instance
        now = instance.clock.monotonic()
        follower = instance.followers[replica.CONFIG_STREAM]
        peers = tuple(
            membership.PeerEvidence(
                now - peer.vouched_at,
                now - peer.log_ok_at,
                peer.config_version,
            )
            for peer in instance.detector.peers.values()
            if peer.incarnation and peer.status != membership.LEFT
        )
        age = follower.age() if follower.replay.known else float("inf")
        return membership.Evidence(
            instance.config_keeper.applied_version,
            age,
            peers,
            instance.detector.member_count(),
            instance.detector.named_version,
        )

    def _fetch_newer(self, live: list[membership.Peer]) -> None:
        """Ask a peer that names a newer version, if the log is late."""
        instance = self._instance
        now = instance.clock.monotonic()
        follower = instance.followers[replica.CONFIG_STREAM]
        current = follower.replay.known and follower.age() <= LOG_LOST_S
        own = instance.config_keeper.applied_version
        newer = [p for p in live if p.config_version > own]
        if (current and own) or not newer:
            return
        if now - self._fetched_at < FETCH_PERIOD_S:
            return
        self._fetched_at = now
        peer = instance.rng.choice(newer)
        gevent.spawn(instance.config_keeper.fetch_from, peer.address)
