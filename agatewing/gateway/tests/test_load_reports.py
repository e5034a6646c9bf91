"""Exchange of load reports between instances."""

import dataclasses
import random

import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _load_reports
from agatewing.gateway import _peers
from agatewing.gateway import _quarantine
from agatewing.gateway import _stream_directory
from agatewing.gateway import _target_registry
from agatewing import wire


@pytest.fixture
def clock() -> _clock.ManualClock:
    return _clock.ManualClock()


@pytest.fixture
def registry(
    clock: _clock.ManualClock,
) -> _target_registry.TargetRegistry:
    made = _target_registry.TargetRegistry(
        clock, random.Random(1), decisions.Speed(), "me"
    )
    properties = gateway.EngineProperties(64, 1_000, 1, 1e9)
    target = gateway.Target(
        "e1",
        "chat",
        "10.0.0.1:80",
        "z",
        _types.TargetState.ACTIVE,
        64,
        _types.Role.DECODE,
    )
    services = {"chat": _contracts.Service("chat", 100, properties)}
    made.apply(services, {"e1": target})
    return made


@pytest.fixture
def reports(
    clock: _clock.ManualClock, registry: _target_registry.TargetRegistry
) -> _load_reports.LoadReports:
    catalog = _catalog.Catalog(clock, lambda: None)
    codec = wire.Codec("a secret of the tests")
    rng = random.Random(1)
    address = ("127.0.0.1", 0)
    peers = _peers.Peers("me", address, clock, catalog, codec, rng)
    return _load_reports.LoadReports(
        "me",
        address,
        clock,
        peers,
        catalog,
        registry,
        codec,
        rng,
        decisions.PlacementIndex(10.0),
        _stream_directory.StreamDirectory(clock, peers, catalog.age_s),
        _quarantine.Quarantine(
            clock,
            decisions.CrashSuspects(),
            decisions.CrashSuspects(0.0, decisions.WholeRequests()),
            registry.changed,
            SoundLinks(),
        ),
        "z",
    )


class SoundLinks:
    """An instance that reaches all targets."""

    def unclear(self, service: str, name: str) -> bool:
        return False

    def await_verdict(self, service: str, name: str) -> bool:
        return False


def report(sender: str, sequence: int, tokens: int) -> wire.WorkNote:
    load = wire.EngineWork(
        engine="e1",
        tokens=tokens,
        sequences=2,
        long_tokens=tokens // 2,
        kv_tokens=tokens * 2,
    )
    return wire.WorkNote(
        instance=sender,
        sequence=sequence,
        work=[load] if tokens else [],
        config_version=0,
        through=0,
        changing=[],
        held=[],
    )


def test_the_load_of_other_instances_is_summed_and_expires(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    reports.handle(report("i1", 1, 1_000))
    reports.handle(report("i2", 1, 3_000))
    (load,) = registry.pools["chat"].loads()
    assert load.prefill_backlog == 4_000
    assert load.long_backlog == 2_000
    assert load.sequences == 4
    clock.advance(0.6)
    reports.handle(report("i2", 2, 0))
    (load,) = registry.pools["chat"].loads()
    assert load.prefill_backlog == 1_000
    clock.advance(0.6)
    (load,) = registry.pools["chat"].loads()
    assert load.prefill_backlog == 0


def test_a_report_that_arrives_out_of_order_is_ignored(
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    reports.handle(report("i1", 8, 1_000))
    reports.handle(report("i1", 7, 9_000))
    (load,) = registry.pools["chat"].loads()
    assert load.prefill_backlog == 1_000


def test_own_load_is_counted_from_the_send_to_the_end(
    registry: _target_registry.TargetRegistry,
) -> None:
    tracked = registry.by_id["e1"]
    tracked.record_sent(20_000)
    load = tracked.load
    assert (load.prefill_backlog, load.sequences) == (20_000, 1)
    assert load.long_backlog == 20_000
    tracked.record_prompt_processed(20_000)
    tracked.record_end()
    assert (load.prefill_backlog, load.long_backlog) == (0, 0)
    assert load.sequences == 0


def test_in_a_large_fleet_most_receivers_are_in_the_own_zone(
    reports: _load_reports.LoadReports,
) -> None:
    for number in range(60):
        entry = _peers.PeerEntry(f"10.0.0.{number}:1", f"z{number % 4}")
        reports._peers.known[f"i{number}"] = entry
    zones = {e.address: e.zone for e in reports._peers.known.values()}
    reports._zone = "z1"
    for _ in range(20):
        receivers = reports.receivers()
        assert len(set(receivers)) == _peers.FANOUT
        far = [address for address in receivers if zones[address] != "z1"]
        assert len(far) == _load_reports.OTHER_ZONE_FANOUT


def test_in_a_small_fleet_every_peer_is_a_receiver(
    reports: _load_reports.LoadReports,
) -> None:
    for number in range(5):
        entry = _peers.PeerEntry(f"10.0.0.{number}:1", f"z{number}")
        reports._peers.known[f"i{number}"] = entry
    assert len(reports.receivers()) == 5


@pytest.mark.parametrize("name_length", (12, 60))
def test_a_report_fits_into_a_datagram(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
    name_length: int,
) -> None:
    names = [f"e{number}".ljust(name_length, "x") for number in range(60)]
    first = registry.by_id["e1"].target
    targets = {n: dataclasses.replace(first, id=n) for n in names}
    properties = gateway.EngineProperties(64, 1_000, 1, 1e9)
    services = {"chat": _contracts.Service("chat", 100, properties)}
    registry.apply(services, targets)
    for number, name in enumerate(names):
        registry.by_id[name].record_sent(200_000, 490_000)
        registry.by_id[name].mark_role_change(3.0)
        blocks = [(f"p{number}", 5_000), ("own", 100)]
        reports._index.add(name, blocks, clock.monotonic(), 2.0)
    streams = reports._streams
    for number in range(_stream_directory.MAX_BEGUN + 1):
        attempt = f"{number}".ljust(name_length, "x")
        streams.record_begin(decisions.StreamOrigin(attempt, "chat", "v1.2"))
    begun = streams.take_unpublished()
    data = reports._encode(reports._own_load(), begun)
    assert len(data) <= _load_reports.DATAGRAM_BYTES
    decoded = wire.Codec("a secret of the tests").decode(wire.WorkNote, data)
    read = decoded.unwrap()
    assert read.work
    assert read.held
    assert len(read.begun) == _stream_directory.MAX_BEGUN
    assert len(read.changing) == _load_reports.MAX_ROLE_CHANGES


def test_streams_of_a_late_report_are_remembered(
    reports: _load_reports.LoadReports,
) -> None:
    late = report("i1", 7, 0)
    late.begun = [
        wire.StreamBegin(attempt="s1", service_name="chat", software="v1")
    ]
    reports.handle(report("i1", 8, 0))
    reports.handle(late)
    origin = reports._streams.find("s1", "chat")
    assert origin == decisions.StreamOrigin("s1", "chat", "v1")
