"""Failure detector, standing of the configuration, and message codec."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import membership
from agatewing import platform_services
from agatewing import wire

SENDER_STATE = membership.SenderState(
    wire.Vouch(config_version=3, log_age_ms=100), [], (1, 1)
)


class _SimulatedNetwork:
    """Simulated network of detectors with cut links and message loss."""

    def __init__(self, names: str, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, membership.Detector] = {}
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0
        for name in names:
            self.start(name, 1)

    def start(self, name: str, incarnation: int) -> None:
        myself = membership.LocalInstance(name, incarnation, "z", name)
        self.nodes[name] = membership.Detector(myself, self.rng)
        rows = tuple(
            platform_services.ListedInstance(n, "z", n, n, "live")
            for n in self.nodes
        )
        for node in self.nodes.values():
            node.apply_list(platform_services.InstanceList(rows), self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for name, node in list(self.nodes.items()):
                for out in node.tick(self.now, SENDER_STATE):
                    self._send(name, out)
            self.now += 0.75

    def _send(self, sender: str, out: membership.Outgoing) -> None:
        target = out.address
        if target not in self.nodes or self.rng.random() < self.loss:
            return
        if frozenset((sender, target)) in self.cuts:
            return
        replies = self.nodes[target].receive(
            out.message, sender, self.now, SENDER_STATE
        )
        for reply in replies:
            self._send(target, reply)

    def status(self, at: str, of: str) -> int:
        return self.nodes[at].peers[of].status


def test_all_instances_discover_each_other() -> None:
    net = _SimulatedNetwork("abcdef")
    net.run(6.0)
    for name, node in net.nodes.items():
        assert {p.instance for p in node.live_peers()} == (
            set("abcdef") - {name}
        )


def test_stopped_instance_is_declared_dead_within_seconds() -> None:
    net = _SimulatedNetwork("abcdef")
    net.run(6.0)
    del net.nodes["f"]
    net.run(9.0)
    assert {net.status(n, "f") for n in "abcde"} == {membership.DEAD}


def test_indirect_probe_keeps_peer_behind_one_cut_link_alive() -> None:
    net = _SimulatedNetwork("abcd")
    net.run(6.0)
    net.cuts.add(frozenset("ab"))
    net.run(15.0)
    assert net.status("a", "b") != membership.DEAD
    assert net.status("c", "b") == membership.ALIVE


def test_message_loss_declares_no_instance_dead() -> None:
    net = _SimulatedNetwork("abcdef", seed=3)
    net.loss = 0.15
    net.run(60.0)
    dead = [
        (a, b)
        for a in net.nodes
        for b in net.nodes
        if a != b and net.status(a, b) == membership.DEAD
    ]
    assert dead == []


def test_restarted_instance_replaces_its_earlier_incarnation() -> None:
    net = _SimulatedNetwork("abc")
    net.run(6.0)
    predecessor = net.nodes["c"]
    net.start("c", 2)
    net.run(6.0)
    assert net.nodes["a"].peers["c"].incarnation == 2
    late = predecessor.tick(net.now, SENDER_STATE)
    for out in late:
        assert (
            net.nodes["a"].receive(out.message, "c", net.now, SENDER_STATE)
            == []
        )
    assert net.nodes["a"].peers["c"].incarnation == 2
    assert net.nodes["a"].is_gone("c/1", net.now, 0.0)
    assert net.nodes["a"].is_removed("c/1", net.now, 0.0)
    assert not net.nodes["a"].is_gone("c/2", net.now, 0.0)


def test_silence_alone_does_not_remove_a_process() -> None:
    net = _SimulatedNetwork("abc")
    net.run(6.0)
    del net.nodes["c"]
    net.run(60.0)
    node = net.nodes["a"]
    assert node.is_gone("c/1", net.now, 20.0)
    assert not node.is_removed("c/1", net.now, 20.0)
    rows = tuple(
        platform_services.ListedInstance(n, "z", n, n, "live") for n in "ab"
    )
    node.apply_list(platform_services.InstanceList(rows), net.now)
    assert not node.is_removed("c/1", net.now + 19.0, 20.0)
    assert node.is_removed("c/1", net.now + 21.0, 20.0)


def test_leaving_instance_reports_that_it_left() -> None:
    net = _SimulatedNetwork("abc")
    net.run(6.0)
    net.nodes["c"].announce_departure()
    net.run(3.0)
    del net.nodes["c"]
    assert net.status("a", "c") == membership.LEFT
    assert net.nodes["a"].member_count() == 2


def test_buffered_heartbeats_are_no_fresh_evidence() -> None:
    """A paused process reads buffered messages only when it runs again.

    They must not count as fresh evidence. Found by the soak, episode
    4100017.
    """
    net = _SimulatedNetwork("ab")
    net.run(3.0)
    buffered = net.nodes["b"].tick(net.now, SENDER_STATE)
    net.now += 20.0
    before = net.nodes["a"].peers["b"].answered_probe_sent_at
    for out in buffered:
        net.nodes["a"].receive(out.message, "b", net.now, SENDER_STATE)
    assert net.nodes["a"].peers["b"].heard_at == net.now
    assert net.nodes["a"].peers["b"].answered_probe_sent_at == before


# Peers that answer and read the log, that answer without reading the log for
# 60 s, and that have not answered for 60 s.
READS_LOG = membership.PeerEvidence(0.5, 0.5, 3)
NO_LOG = membership.PeerEvidence(0.5, 60.0, 3)
NO_ANSWER = membership.PeerEvidence(60.0, 60.0, 3)


@pytest.mark.parametrize(
    ("version", "age", "peers", "members", "named", "standing"),
    [
        (0, 0.1, (READS_LOG,), 2, 0, "empty"),
        (3, 0.1, (), 1, 0, "current"),
        (3, 60.0, (READS_LOG, NO_ANSWER), 3, 3, "current"),
        (3, 60.0, (NO_LOG, NO_LOG), 3, 3, "outage"),
        (3, 60.0, (NO_LOG, NO_ANSWER, NO_ANSWER), 4, 3, "stale"),
        (3, 60.0, (NO_ANSWER, NO_ANSWER), 3, 3, "stale"),
        (3, 60.0, (NO_LOG, NO_LOG), 3, 4, "stale"),
        (3, 0.1, (NO_LOG,), 2, 4, "current"),
        (3, 60.0, (), 1, 0, "outage"),
        (
            3,
            60.0,
            (NO_LOG, NO_LOG, NO_ANSWER, NO_ANSWER, NO_ANSWER),
            6,
            3,
            "stale",
        ),
        (
            3,
            60.0,
            (NO_LOG, NO_LOG, NO_LOG, NO_ANSWER, NO_ANSWER),
            6,
            3,
            "outage",
        ),
    ],
)
def test_standing_of_the_configuration(
    version: int,
    age: float,
    peers: tuple[membership.PeerEvidence, ...],
    members: int,
    named: int,
    standing: str,
) -> None:
    evidence = membership.Evidence(version, age, peers, members, named)
    assert membership.configuration_standing(evidence) == standing


@hypothesis.given(strategies.binary(max_size=200))
def test_fuzz_decode_never_raises(data: bytes) -> None:
    codec = wire.Codec("s" * 16)
    assert codec.decode(wire.Message, data).is_err()
    signed = codec._digest(data) + data
    codec.decode(wire.Message, signed)
    codec.decode(wire.StateReply, signed)


def test_message_signed_with_another_secret_is_rejected() -> None:
    one, other = wire.Codec("a" * 16), wire.Codec("b" * 16)
    data = one.encode(wire.StateRequest(stream="config"))
    assert one.decode(wire.StateRequest, data).is_ok()
    assert other.decode(wire.StateRequest, data).is_err()


# The protocol of messages that are decoded is kept. One that stopped in the
# middle of a message must not read the next one wrongly.
@pytest.mark.parametrize("kept", [0, 1, 7, 20, 40])
def test_a_message_after_a_broken_one_is_decoded(kept: int) -> None:
    codec = wire.Codec("s" * 16)
    sent = wire.StateRequest(stream="config", key="k" * 30)
    payload = codec.encode(sent)[16:]
    whole = codec._digest(payload) + payload
    broken = payload[: min(kept, len(payload) - 1)]
    for _ in range(3):
        assert codec.decode(
            wire.StateRequest, codec._digest(broken) + broken
        ).is_err()
        assert codec.decode(wire.StateRequest, whole).unwrap() == sent
