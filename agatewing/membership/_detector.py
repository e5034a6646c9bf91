"""Failure detector: direct and indirect probes, gossip, incarnations.

Pure state: messages and time go in, messages to send come out.
Source: Das, Gupta, Motivala, "SWIM", 2002, with its suspicion mechanism.
"""

import collections
import dataclasses
import random

from agatewing.membership import _peers
from agatewing import platform_services
from agatewing import wire

#: Time between rounds of probes, in seconds.
PERIOD_S = 0.75
#: Instances probed in one round.
FANOUT = 4
#: Time for an answer before others are asked to probe, in seconds.
ACK_TIMEOUT_S = 0.4
#: Others asked to probe an instance that gave no answer.
INDIRECT_PROBES = 3
#: Time without any answer before an instance is suspect, in seconds.
SUSPECT_AFTER_S = 1.0
#: Time that a suspect has to refute, in seconds.
DEAD_AFTER_S = 2.0
#: Members described in one message.
GOSSIP_MEMBERS = 4
#: Time that dead and left instances are remembered, in seconds.
FORGET_AFTER_S = 120.0


@dataclasses.dataclass(slots=True)
class _Probe:
    instance: str
    sent_at: float
    indirect: bool = False


class Detector:
    """Knows which instances are alive."""

    __slots__ = (
        "_self",
        "_random",
        "_sequence",
        "_probes",
        "_relays",
        "_round",
        "_leaving",
        "_refutation",
        "_suspects",
        "_recent",
        "_names",
        "peers",
        "changes",
        "list_seen",
        "named_version",
    )

    def __init__(self, myself: _peers.Self, rng: random.Random) -> None:
        self._self = myself
        self._random = rng
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, tuple[str, int, float]] = {}
        self._round: list[str] = []
        self._leaving = False
        self._refutation = 0
        self._suspects: set[str] = set()
        self._recent: collections.deque[str] = collections.deque(
            maxlen=GOSSIP_MEMBERS // 2
        )
        self._names: list[str] = []
        #: Other instances by name.
        self.peers: dict[str, _peers.Peer] = {}
        #: Changes of status, for the owner to take.
        self.changes: list[_peers.Change] = []
        #: Whether the platform's list was ever read.
        self.list_seen = False
        #: Highest configuration version that any peer ever named.
        self.named_version = 0

    def leave(self) -> None:
        """Tell the others from now on that this instance leaves."""
        self._leaving = True

    def live_peers(self) -> list[_peers.Peer]:
        """Return peers that were heard of and are not known dead."""
        return [
            peer
            for peer in self.peers.values()
            if peer.status in (_peers.ALIVE, _peers.SUSPECT)
            and peer.incarnation
        ]

    def member_count(self) -> int:
        """Return the number of instances that should exist, with this."""
        expected = [
            peer
            for peer in self.peers.values()
            if peer.status != _peers.LEFT
            and (peer.listed or peer.status in (_peers.ALIVE, _peers.SUSPECT))
        ]
        return len(expected) + 1

    def is_gone(self, process: str, now: float, after_s: float) -> bool:
        """Return whether a process has been dead for ``after_s``."""
        peer = self._peer_of(process)
        if isinstance(peer, bool):
            return peer
        if peer.status not in (_peers.DEAD, _peers.LEFT):
            return False
        return now - peer.changed_at >= after_s

    def is_removed(self, process: str, now: float, after_s: float) -> bool:
        """Return whether the platform took a process away long ago.

        Silence is no proof: a frozen process is silent too. A later
        incarnation at the same address is one, since two processes
        cannot hold the same ports.
        """
        peer = self._peer_of(process)
        if isinstance(peer, bool):
            return peer
        return now - peer.unlisted_at >= after_s

    def _peer_of(self, process: str) -> _peers.Peer | bool:
        """Return the peer that runs a process, or whether it surely ended."""
        instance, _, incarnation = process.rpartition("/")
        if instance == self._self.instance:
            return int(incarnation) < self._self.incarnation
        peer = self.peers.get(instance)
        if peer is None:
            return self.list_seen
        return True if peer.incarnation > int(incarnation) else peer

    def apply_list(
        self, listed: platform_services.InstanceList, now: float
    ) -> None:
        """Take note of the platform's list."""
        self.list_seen = True
        names = set()
        for row in listed.instances:
            names.add(row.instance)
            if row.instance == self._self.instance:
                continue
            peer = self.peers.get(row.instance)
            if peer is None:
                peer = _peers.Peer(row.instance, row.peer_address, row.zone)
                peer.changed_at = now
                self.peers[row.instance] = peer
            peer.listed = True
        for name, peer in list(self.peers.items()):
            peer.listed = name in names
            if peer.listed:
                peer.unlisted_at = float("inf")
            else:
                peer.unlisted_at = min(peer.unlisted_at, now)
            if not peer.listed and not peer.incarnation:
                del self.peers[name]
        self._forget(now)

    def _forget(self, now: float) -> None:
        for name, peer in list(self.peers.items()):
            old = now - peer.changed_at > FORGET_AFTER_S
            if (
                peer.status in (_peers.DEAD, _peers.LEFT)
                and old
                and not peer.listed
            ):
                del self.peers[name]

    def tick(
        self,
        now: float,
        news: _peers.News,
    ) -> list[_peers.Outgoing]:
        """Return the messages of one round of probes."""
        out = self._check_probes(now, news)
        self._check_suspects(now)
        for peer in self._next_peers():
            self._sequence += 1
            self._probes[self._sequence] = _Probe(peer.instance, now)
            message = self._message(wire.Kind.PING, self._sequence, news)
            out.append(_peers.Outgoing(peer.address, message))
        return out

    def receive(
        self,
        message: wire.Message,
        source: str,
        now: float,
        news: _peers.News,
    ) -> list[_peers.Outgoing]:
        """Take a message in; return the messages that it calls for."""
        if message.sender.instance == self._self.instance:
            return []
        if not self._hear(message, now):
            return []
        for member in message.gossip:
            self._merge(member, now)
        if message.kind == wire.Kind.ACK:
            return self._acknowledge(message, now, news)
        if message.kind == wire.Kind.PING:
            answer = self._message(wire.Kind.ACK, message.sequence, news)
            return [_peers.Outgoing(source, answer)]
        if message.kind == wire.Kind.PING_REQ and message.target:
            return self._relay(message, source, now, news)
        return []

    def _next_peers(self) -> list[_peers.Peer]:
        chosen: list[_peers.Peer] = []
        for _ in range(min(FANOUT, len(self.peers))):
            if not self._round:
                self._round = list(self.peers)
                self._random.shuffle(self._round)
            peer = self.peers.get(self._round.pop())
            if peer is not None and peer.status != _peers.LEFT:
                chosen.append(peer)
        return chosen

    def _message(
        self,
        kind: int,
        sequence: int,
        news: _peers.News,
        target: wire.Member | None = None,
    ) -> wire.Message:
        return wire.Message(
            kind=kind,
            sequence=sequence,
            sender=self._describe_self(),
            hlc_wall_ms=news.stamp[0],
            hlc_counter=news.stamp[1],
            vouch=news.vouch,
            gossip=self._gossip(),
            demand=news.demand,
            target=target,
        )

    def _describe_self(self) -> wire.Member:
        return wire.Member(
            instance=self._self.instance,
            incarnation=self._self.incarnation,
            zone=self._self.zone,
            address=self._self.address,
            status=_peers.LEFT if self._leaving else _peers.ALIVE,
            refutation=self._refutation,
        )

    def _gossip(self) -> list[wire.Member]:
        """Describe peers that changed last, and some others."""
        if len(self._names) != len(self.peers):
            self._names = list(self.peers)
        names = dict.fromkeys(self._recent)
        for _ in range(min(len(self._names), GOSSIP_MEMBERS) - len(names)):
            index = int(self._random.random() * len(self._names))
            names[self._names[index]] = None
        known = [self.peers[n] for n in names if n in self.peers]
        return [_describe(peer) for peer in known if peer.incarnation]

    def _hear(self, message: wire.Message, now: float) -> bool:
        sender = message.sender
        peer = self.peers.get(sender.instance)
        if peer is None:
            peer = _peers.Peer(sender.instance, sender.address, sender.zone)
            self.peers[sender.instance] = peer
        if sender.incarnation < peer.incarnation:
            return False
        if sender.incarnation > peer.incarnation:
            self._replace(peer, sender, now)
        if peer.status == _peers.LEFT and sender.status != _peers.LEFT:
            return False
        peer.heard_at = now
        peer.address = sender.address
        self._note_vouch(peer, message)
        peer.demand = {d.pool: d for d in message.demand}
        peer.refutation = max(peer.refutation, sender.refutation)
        self._set_status(peer, sender.status, now)
        return True

    def _note_vouch(self, peer: _peers.Peer, message: wire.Message) -> None:
        """Take what a peer vouches for, as of the probe that it answers.

        Other messages may have waited in a buffer while this process
        stood still; their age is unknown.
        """
        vouch = message.vouch
        self.named_version = max(self.named_version, vouch.config_version)
        peer.config_version = max(peer.config_version, vouch.config_version)
        probe = self._probes.get(message.sequence)
        answers = message.kind == wire.Kind.ACK and message.target is None
        if not answers or probe is None or probe.instance != peer.instance:
            return
        peer.vouched_at = max(peer.vouched_at, probe.sent_at)
        if vouch.log_age_ms >= 0:
            log_ok_at = probe.sent_at - vouch.log_age_ms / 1000
            peer.log_ok_at = max(peer.log_ok_at, log_ok_at)

    def _replace(
        self, peer: _peers.Peer, member: wire.Member, now: float
    ) -> None:
        peer.incarnation = member.incarnation
        peer.refutation = member.refutation
        peer.address = member.address
        peer.zone = member.zone
        peer.heard_at = float("-inf")
        peer.vouched_at = float("-inf")
        peer.log_ok_at = float("-inf")
        peer.config_version = 0
        peer.status = 0
        self._set_status(peer, member.status, now)

    def _set_status(self, peer: _peers.Peer, status: int, now: float) -> None:
        if peer.status != status:
            peer.status = status
            peer.changed_at = now
            if peer.instance not in self._recent:
                self._recent.append(peer.instance)
            self._suspects.discard(peer.instance)
            if status == _peers.SUSPECT:
                self._suspects.add(peer.instance)
            self.changes.append(_peers.Change(peer.process, status))

    def _merge(self, member: wire.Member, now: float) -> None:
        if member.instance == self._self.instance:
            self._refute(member)
            return
        peer = self.peers.get(member.instance)
        if peer is None:
            if member.status in (_peers.DEAD, _peers.LEFT):
                return
            peer = _peers.Peer(member.instance, member.address, member.zone)
            self.peers[member.instance] = peer
        theirs = (member.incarnation, member.refutation, member.status)
        ours = (peer.incarnation, peer.refutation, peer.status)
        if member.incarnation > peer.incarnation:
            self._replace(peer, member, now)
        elif theirs > ours and peer.status != _peers.LEFT:
            peer.refutation = member.refutation
            self._set_status(peer, member.status, now)

    def _refute(self, member: wire.Member) -> None:
        if member.incarnation != self._self.incarnation or self._leaving:
            return
        if (
            member.status != _peers.ALIVE
            and member.refutation >= self._refutation
        ):
            self._refutation = member.refutation + 1

    def _acknowledge(
        self,
        message: wire.Message,
        now: float,
        news: _peers.News,
    ) -> list[_peers.Outgoing]:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            address, sequence, _ = relay
            answer = self._message(
                wire.Kind.ACK,
                sequence,
                news,
                target=message.sender,
            )
            return [_peers.Outgoing(address, answer)]
        probe = self._probes.pop(message.sequence, None)
        if probe is not None and message.target is not None:
            peer = self.peers.get(probe.instance)
            same = peer is not None and (
                peer.incarnation == message.target.incarnation
            )
            if peer is not None and same and peer.status == _peers.SUSPECT:
                self._set_status(peer, _peers.ALIVE, now)
        return []

    def _relay(
        self,
        message: wire.Message,
        source: str,
        now: float,
        news: _peers.News,
    ) -> list[_peers.Outgoing]:
        self._sequence += 1
        self._relays[self._sequence] = (source, message.sequence, now)
        for key, (_, _, at) in list(self._relays.items()):
            if now - at > SUSPECT_AFTER_S:
                del self._relays[key]
        ping = self._message(wire.Kind.PING, self._sequence, news)
        return [_peers.Outgoing(message.target.address, ping)]

    def _check_probes(
        self,
        now: float,
        news: _peers.News,
    ) -> list[_peers.Outgoing]:
        out: list[_peers.Outgoing] = []
        for sequence, probe in list(self._probes.items()):
            waited = now - probe.sent_at
            peer = self.peers.get(probe.instance)
            if peer is None or waited > 2 * SUSPECT_AFTER_S:
                del self._probes[sequence]
            elif peer.heard_at >= probe.sent_at:
                del self._probes[sequence]
            elif waited >= SUSPECT_AFTER_S:
                del self._probes[sequence]
                self._suspect(peer, now)
            elif waited >= ACK_TIMEOUT_S and not probe.indirect:
                probe.indirect = True
                out += self._ask_others(peer, sequence, news)
        return out

    def _ask_others(
        self,
        peer: _peers.Peer,
        sequence: int,
        news: _peers.News,
    ) -> list[_peers.Outgoing]:
        others = [p for p in self.live_peers() if p is not peer]
        count = min(INDIRECT_PROBES, len(others))
        message = self._message(
            wire.Kind.PING_REQ,
            sequence,
            news,
            target=_describe(peer),
        )
        return [
            _peers.Outgoing(helper.address, message)
            for helper in self._random.sample(others, count)
        ]

    def _suspect(self, peer: _peers.Peer, now: float) -> None:
        if peer.status == _peers.ALIVE:
            self._set_status(peer, _peers.SUSPECT, now)

    def _check_suspects(self, now: float) -> None:
        for name in list(self._suspects):
            peer = self.peers.get(name)
            if peer is None or peer.status != _peers.SUSPECT:
                self._suspects.discard(name)
            elif now - peer.changed_at >= DEAD_AFTER_S:
                self._set_status(peer, _peers.DEAD, now)


def _describe(peer: _peers.Peer) -> wire.Member:
    """Return the wire form of a peer."""
    return wire.Member(
        instance=peer.instance,
        incarnation=peer.incarnation,
        zone=peer.zone,
        address=peer.address,
        status=peer.status,
        refutation=peer.refutation,
    )
