"""SWIM failure detector with direct and indirect probes and gossip.

The detector does no I/O: callers pass in received messages and the time, and
send the messages that it returns.
Source: Das, Gupta, Motivala, "SWIM", 2002, with its suspicion mechanism.
"""

import collections
import dataclasses
import random

from agatewing.membership import _peers
from agatewing import platform_services
from agatewing import wire

#: Interval between rounds of probes, in seconds.
PROBE_INTERVAL_S = 0.75
#: Maximum number of instances probed in one round.
PROBES_PER_ROUND = 4
#: Time without an answer to a direct probe before indirect probes are sent,
#: in seconds.
ACK_TIMEOUT_S = 0.4
#: Maximum number of peers asked to probe an instance that gave no answer.
INDIRECT_PROBES = 3
#: Time after a probe, without an indirect answer or any message from the
#: probed instance, before that instance becomes suspect, in seconds.
SUSPECT_AFTER_S = 1.0
#: Time that a suspect has to refute before it is declared dead, in seconds.
DEAD_AFTER_S = 2.0
#: Maximum number of members described in one message.
MAX_GOSSIP_MEMBERS = 4
#: Time from the last change of status until a dead or left instance that is
#: no longer listed is dropped, in seconds.
FORGET_AFTER_S = 120.0


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe that has not been answered yet."""

    #: Name of the probed instance.
    instance: str
    #: Monotonic time at which the probe was sent, in seconds.
    sent_at: float
    #: Whether peers were already asked to probe the instance.
    indirect: bool = False


class Detector:
    """Tracks the status of the other instances."""

    __slots__ = (
        "_self",
        "_random",
        "_sequence",
        "_probes",
        "_relayed_probes",
        "_unprobed",
        "_leaving",
        "_refutation_count",
        "_suspects",
        "_last_changed",
        "_peer_names",
        "peers",
        "status_changes",
        "list_was_read",
        "highest_reported_version",
    )

    def __init__(
        self, myself: _peers.LocalInstance, rng: random.Random
    ) -> None:
        self._self = myself
        self._random = rng
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        # Probes sent on behalf of peers, by their sequence number: address of
        # the peer that asked, sequence number and time of its request.
        self._relayed_probes: dict[int, tuple[str, int, float]] = {}
        # Names of peers to be probed before any peer is probed again.
        self._unprobed: list[str] = []
        self._leaving = False
        # Refutation count in this instance's messages. It is raised above that
        # of a reported suspicion, so that the status ``ALIVE`` is newer.
        self._refutation_count = 0
        self._suspects: set[str] = set()
        # Names of the peers whose status changed last, for gossip.
        self._last_changed: collections.deque[str] = collections.deque(
            maxlen=MAX_GOSSIP_MEMBERS // 2
        )
        # Names of all peers, from which gossip draws at random.
        self._peer_names: list[str] = []
        #: Other instances by name.
        self.peers: dict[str, _peers.Peer] = {}
        #: Changes of status; the owner reads and clears them.
        self.status_changes: list[_peers.StatusChange] = []
        #: Whether the platform's list has been read at least once.
        self.list_was_read = False
        #: Highest configuration version that any peer has ever reported.
        self.highest_reported_version = 0

    def announce_departure(self) -> None:
        """Report the status ``LEFT`` in every message from now on."""
        self._leaving = True

    def live_peers(self) -> list[_peers.Peer]:
        """Return alive and suspect peers whose incarnation is known."""
        return [
            peer
            for peer in self.peers.values()
            if peer.status in (_peers.ALIVE, _peers.SUSPECT)
            and peer.incarnation
        ]

    def member_count(self) -> int:
        """Return the number of expected instances, this one included.

        Peers are expected unless they have left, or are dead and no longer
        listed by the platform.
        """
        expected = [
            peer
            for peer in self.peers.values()
            if peer.status != _peers.LEFT
            and (peer.listed or peer.status in (_peers.ALIVE, _peers.SUSPECT))
        ]
        return len(expected) + 1

    def is_gone(self, process: str, now: float, after_s: float) -> bool:
        """Return whether a process has been dead or left for ``after_s``.

        A process replaced by a later incarnation is gone at once.
        """
        peer = self._peer_of(process)
        if isinstance(peer, bool):
            return peer
        if peer.status not in (_peers.DEAD, _peers.LEFT):
            return False
        return now - peer.changed_at >= after_s

    def is_removed(self, process: str, now: float, after_s: float) -> bool:
        """Return whether a process was removed at least ``after_s`` ago.

        A process counts as removed if the platform no longer lists it.
        Silence does not count, since a frozen process is silent too. A
        process replaced by a later incarnation of its instance counts at
        once, since two processes cannot hold the same ports.
        """
        peer = self._peer_of(process)
        if isinstance(peer, bool):
            return peer
        return now - peer.unlisted_at >= after_s

    def _peer_of(self, process: str) -> _peers.Peer | bool:
        """Return the peer that may run a process, or whether it has ended.

        ``True`` means that it has certainly ended, ``False`` that this is
        not known. A process of an unknown instance counts as ended once the
        platform's list has been read.
        """
        instance, _, incarnation = process.rpartition("/")
        if instance == self._self.instance:
            return int(incarnation) < self._self.incarnation
        peer = self.peers.get(instance)
        if peer is None:
            return self.list_was_read
        return True if peer.incarnation > int(incarnation) else peer

    def apply_list(
        self, listed: platform_services.InstanceList, now: float
    ) -> None:
        """Add listed peers and update which peers are listed.

        Drops unlisted peers of unknown incarnation, and dead or left ones
        ``FORGET_AFTER_S`` after their last change of status.
        """
        self.list_was_read = True
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
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        for name, peer in list(self.peers.items()):
            expired = now - peer.changed_at > FORGET_AFTER_S
            if (
                peer.status in (_peers.DEAD, _peers.LEFT)
                and expired
                and not peer.listed
            ):
                del self.peers[name]

    def tick(
        self,
        now: float,
        sender_state: _peers.SenderState,
    ) -> list[_peers.Outgoing]:
        """Update overdue probes and suspects; return the messages to send.

        These are requests for indirect probes and the next round of probes.
        ``sender_state`` is the state that every message reports.
        """
        outgoing = self._check_probes(now, sender_state)
        self._expire_suspects(now)
        for peer in self._peers_to_probe():
            self._sequence += 1
            self._probes[self._sequence] = _Probe(peer.instance, now)
            message = self._message(
                wire.Kind.PING, self._sequence, sender_state
            )
            outgoing.append(_peers.Outgoing(peer.address, message))
        return outgoing

    def receive(
        self,
        message: wire.Message,
        source: str,
        now: float,
        sender_state: _peers.SenderState,
    ) -> list[_peers.Outgoing]:
        """Handle a received message; return the messages to send.

        Ignores messages of this instance, of an earlier incarnation, and
        of an incarnation that has left but reports another status.
        """
        if message.sender.instance == self._self.instance:
            return []
        if not self._update_sender(message, now):
            return []
        for member in message.gossip:
            self._merge_member(member, now)
        if message.kind == wire.Kind.ACK:
            return self._handle_ack(message, now, sender_state)
        if message.kind == wire.Kind.PING:
            answer = self._message(
                wire.Kind.ACK, message.sequence, sender_state
            )
            return [_peers.Outgoing(source, answer)]
        if message.kind == wire.Kind.PING_REQ and message.target:
            return self._relay_probe(message, source, now, sender_state)
        return []

    def _peers_to_probe(self) -> list[_peers.Peer]:
        to_probe: list[_peers.Peer] = []
        for _ in range(min(PROBES_PER_ROUND, len(self.peers))):
            if not self._unprobed:
                self._unprobed = list(self.peers)
                self._random.shuffle(self._unprobed)
            peer = self.peers.get(self._unprobed.pop())
            if peer is not None and peer.status != _peers.LEFT:
                to_probe.append(peer)
        return to_probe

    def _message(
        self,
        kind: int,
        sequence: int,
        sender_state: _peers.SenderState,
        target: wire.Member | None = None,
    ) -> wire.Message:
        return wire.Message(
            kind=kind,
            sequence=sequence,
            sender=self._describe_self(),
            hlc_wall_ms=sender_state.stamp[0],
            hlc_counter=sender_state.stamp[1],
            vouch=sender_state.vouch,
            gossip=self._gossip(),
            demand=sender_state.demand,
            target=target,
        )

    def _describe_self(self) -> wire.Member:
        return wire.Member(
            instance=self._self.instance,
            incarnation=self._self.incarnation,
            zone=self._self.zone,
            address=self._self.address,
            status=_peers.LEFT if self._leaving else _peers.ALIVE,
            refutation=self._refutation_count,
        )

    def _gossip(self) -> list[wire.Member]:
        """Describe peers whose status changed last, and some random others."""
        if len(self._peer_names) != len(self.peers):
            self._peer_names = list(self.peers)
        names = dict.fromkeys(self._last_changed)
        for _ in range(
            min(len(self._peer_names), MAX_GOSSIP_MEMBERS) - len(names)
        ):
            index = int(self._random.random() * len(self._peer_names))
            names[self._peer_names[index]] = None
        known = [self.peers[n] for n in names if n in self.peers]
        return [_describe(peer) for peer in known if peer.incarnation]

    def _update_sender(self, message: wire.Message, now: float) -> bool:
        """Update the sending peer; return whether to handle the message."""
        sender = message.sender
        peer = self.peers.get(sender.instance)
        if peer is None:
            peer = _peers.Peer(sender.instance, sender.address, sender.zone)
            self.peers[sender.instance] = peer
        if sender.incarnation < peer.incarnation:
            return False
        if sender.incarnation > peer.incarnation:
            self._reset_incarnation(peer, sender, now)
        if peer.status == _peers.LEFT and sender.status != _peers.LEFT:
            return False
        peer.heard_at = now
        peer.address = sender.address
        self._update_reported_state(peer, message)
        peer.demand = {d.pool: d for d in message.demand}
        peer.refutation = max(peer.refutation, sender.refutation)
        self._set_status(peer, sender.status, now)
        return True

    def _update_reported_state(
        self, peer: _peers.Peer, message: wire.Message
    ) -> None:
        """Record the configuration version and the last read of the log.

        The read of the log is taken only from answers to direct probes, and
        its age counts from the time the probe was sent. Other messages may
        have been buffered while this process was paused, so their age is
        unknown. The configuration version is taken from every message: only
        its maximum is kept.
        """
        vouch = message.vouch
        self.highest_reported_version = max(
            self.highest_reported_version, vouch.config_version
        )
        peer.config_version = max(peer.config_version, vouch.config_version)
        probe = self._probes.get(message.sequence)
        direct_ack = message.kind == wire.Kind.ACK and message.target is None
        if not direct_ack or probe is None or probe.instance != peer.instance:
            return
        peer.answered_probe_sent_at = max(
            peer.answered_probe_sent_at, probe.sent_at
        )
        if vouch.log_age_ms >= 0:
            log_read_at = probe.sent_at - vouch.log_age_ms / 1000
            peer.log_read_at = max(peer.log_read_at, log_read_at)

    def _reset_incarnation(
        self, peer: _peers.Peer, member: wire.Member, now: float
    ) -> None:
        peer.incarnation = member.incarnation
        peer.refutation = member.refutation
        peer.address = member.address
        peer.zone = member.zone
        peer.heard_at = float("-inf")
        peer.answered_probe_sent_at = float("-inf")
        peer.log_read_at = float("-inf")
        peer.config_version = 0
        # No valid status, so that _set_status records a change.
        peer.status = 0
        self._set_status(peer, member.status, now)

    def _set_status(self, peer: _peers.Peer, status: int, now: float) -> None:
        if peer.status != status:
            peer.status = status
            peer.changed_at = now
            if peer.instance not in self._last_changed:
                self._last_changed.append(peer.instance)
            self._suspects.discard(peer.instance)
            if status == _peers.SUSPECT:
                self._suspects.add(peer.instance)
            self.status_changes.append(
                _peers.StatusChange(peer.process, status)
            )

    def _merge_member(self, member: wire.Member, now: float) -> None:
        """Merge gossip about a member if it is newer than the known state.

        The higher incarnation is newer; between equal ones, the higher
        refutation count; between equal counts, the higher status. The
        status ``LEFT`` changes only with a higher incarnation. An unknown
        member that is dead or has left is ignored. A suspicion of this
        instance is refuted.
        """
        if member.instance == self._self.instance:
            self._refute_suspicion(member)
            return
        peer = self.peers.get(member.instance)
        if peer is None:
            if member.status in (_peers.DEAD, _peers.LEFT):
                return
            peer = _peers.Peer(member.instance, member.address, member.zone)
            self.peers[member.instance] = peer
        reported = (member.incarnation, member.refutation, member.status)
        known = (peer.incarnation, peer.refutation, peer.status)
        if member.incarnation > peer.incarnation:
            self._reset_incarnation(peer, member, now)
        elif reported > known and peer.status != _peers.LEFT:
            peer.refutation = member.refutation
            self._set_status(peer, member.status, now)

    def _refute_suspicion(self, member: wire.Member) -> None:
        """Raise the own refutation count if gossip contradicts ``ALIVE``.

        Gossip about another incarnation is ignored, and all of it once this
        instance is leaving.
        """
        if member.incarnation != self._self.incarnation or self._leaving:
            return
        if (
            member.status != _peers.ALIVE
            and member.refutation >= self._refutation_count
        ):
            self._refutation_count = member.refutation + 1

    def _handle_ack(
        self,
        message: wire.Message,
        now: float,
        sender_state: _peers.SenderState,
    ) -> list[_peers.Outgoing]:
        """Complete a probe, or forward the answer to the peer that asked.

        An answer to an indirect probe makes a suspect alive again if it comes
        from the incarnation that is suspected.
        """
        relay = self._relayed_probes.pop(message.sequence, None)
        if relay is not None:
            address, sequence, _ = relay
            answer = self._message(
                wire.Kind.ACK,
                sequence,
                sender_state,
                target=message.sender,
            )
            return [_peers.Outgoing(address, answer)]
        probe = self._probes.pop(message.sequence, None)
        if probe is not None and message.target is not None:
            peer = self.peers.get(probe.instance)
            same_incarnation = peer is not None and (
                peer.incarnation == message.target.incarnation
            )
            if (
                peer is not None
                and same_incarnation
                and peer.status == _peers.SUSPECT
            ):
                self._set_status(peer, _peers.ALIVE, now)
        return []

    def _relay_probe(
        self,
        message: wire.Message,
        source: str,
        now: float,
        sender_state: _peers.SenderState,
    ) -> list[_peers.Outgoing]:
        """Probe the target on behalf of the peer that asked for it."""
        self._sequence += 1
        self._relayed_probes[self._sequence] = (source, message.sequence, now)
        for key, (_, _, at) in list(self._relayed_probes.items()):
            if now - at > SUSPECT_AFTER_S:
                del self._relayed_probes[key]
        ping = self._message(wire.Kind.PING, self._sequence, sender_state)
        return [_peers.Outgoing(message.target.address, ping)]

    def _check_probes(
        self,
        now: float,
        sender_state: _peers.SenderState,
    ) -> list[_peers.Outgoing]:
        """Drop answered probes and mark the peers of overdue ones suspect.

        A probe that is more than twice ``SUSPECT_AFTER_S`` old when it is
        checked is dropped without suspicion. Returns the requests for
        indirect probes.
        """
        outgoing: list[_peers.Outgoing] = []
        for sequence, probe in list(self._probes.items()):
            waited_s = now - probe.sent_at
            peer = self.peers.get(probe.instance)
            if peer is None or waited_s > 2 * SUSPECT_AFTER_S:
                del self._probes[sequence]
            elif peer.heard_at >= probe.sent_at:
                del self._probes[sequence]
            elif waited_s >= SUSPECT_AFTER_S:
                del self._probes[sequence]
                self._mark_suspect(peer, now)
            elif waited_s >= ACK_TIMEOUT_S and not probe.indirect:
                probe.indirect = True
                outgoing += self._probe_indirectly(
                    peer, sequence, sender_state
                )
        return outgoing

    def _probe_indirectly(
        self,
        peer: _peers.Peer,
        sequence: int,
        sender_state: _peers.SenderState,
    ) -> list[_peers.Outgoing]:
        """Return requests to some live peers to probe ``peer``."""
        others = [p for p in self.live_peers() if p is not peer]
        count = min(INDIRECT_PROBES, len(others))
        message = self._message(
            wire.Kind.PING_REQ,
            sequence,
            sender_state,
            target=_describe(peer),
        )
        return [
            _peers.Outgoing(helper.address, message)
            for helper in self._random.sample(others, count)
        ]

    def _mark_suspect(self, peer: _peers.Peer, now: float) -> None:
        if peer.status == _peers.ALIVE:
            self._set_status(peer, _peers.SUSPECT, now)

    def _expire_suspects(self, now: float) -> None:
        """Declare suspects dead after ``DEAD_AFTER_S`` without refutation."""
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
