"""Exchange of load reports between instances."""

import dataclasses
import random

import gevent
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _load_reports
from agatewing.gateway import _load_sums
from agatewing.gateway import _peers
from agatewing.gateway import _quarantine
from agatewing.gateway import _report_writer
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
        _stream_directory.StreamDirectory(
            clock,
            peers,
            catalog.age_s,
            lambda limit_s: True,
            catalog.seen.coverage,
        ),
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


# The bytes of reports to other zones were the second dearest price of 195
# instances, though nobody there could use the loads in them.
def test_in_a_large_fleet_other_zones_get_few_reports(
    clock: _clock.ManualClock, reports: _load_reports.LoadReports
) -> None:
    for number in range(60):
        entry = _peers.PeerEntry(f"10.0.0.{number}:1", f"z{number % 4}")
        reports._peers.known[f"i{number}"] = entry
    zones = {e.address: e.zone for e in reports._peers.known.values()}
    reports._zone = "z1"
    sent = SentDatagrams()
    for _ in range(80):
        reports._send(sent, [])
        clock.advance(0.05)
    far = [address for address in sent.to if zones[address] != "z1"]
    assert len(sent.to) - len(far) == 80 * 6
    # One in each 1.2 s of the four.
    assert 3 * 2 <= len(far) <= 4 * 2


class SentDatagrams:
    """A socket that records the addresses of its datagrams."""

    def __init__(self) -> None:
        self.to: list[str] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.to.append(f"{address[0]}:{address[1]}")


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
    data = reports.writer.encode(reports.writer.own_load(), begun)
    assert len(data) <= _report_writer.DATAGRAM_BYTES
    decoded = wire.Codec("a secret of the tests").decode(wire.WorkNote, data)
    read = decoded.unwrap()
    assert read.work
    assert read.held
    assert len(read.begun) == _stream_directory.MAX_BEGUN
    assert len(read.changing) == _report_writer.MAX_ROLE_CHANGES


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


# A fixed share of the engines decoded, as no instance knew the demand of all.
def test_demand_of_all_instances_is_summed_and_forgotten(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    pool = registry.pools["chat"]
    assert reports.demand_of(pool) is None
    late = report("i1", 7, 0)
    late.demand = [
        wire.StreamDemand(
            service_name="chat",
            apart_tokens_per_s=3_000.0,
            either_tokens_per_s=200.0,
            beside_tokens_per_s=10.0,
            output_tokens_per_s=50.0,
            context_per_s=100_000.0,
        )
    ]
    reports.handle(late)
    demand = reports.demand_of(pool)
    assert demand == decisions.StreamDemand(3_000, 200, 10, 50, 100_000)
    clock.advance(1.5)
    pool.stream_demand.add(
        1_500, decisions.PrefillPlace.APART, 2_000, 30, clock.monotonic()
    )
    total = reports.demand_of(pool)
    assert total is not None
    assert total.apart_tokens_per_s > 3_900
    clock.advance(_load_reports.DEMAND_KEEP_S)
    own = reports.demand_of(pool)
    assert own is not None
    assert own.apart_tokens_per_s < 3_000


def test_own_demand_is_reported(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    meter = registry.pools["chat"].stream_demand
    for _ in range(20):
        meter.add(
            1_000, decisions.PrefillPlace.EITHER, 1_000, 40, clock.monotonic()
        )
        clock.advance(0.1)
    data = reports.writer.encode([], [])
    decoded = wire.Codec("a secret of the tests").decode(wire.WorkNote, data)
    (demand,) = decoded.unwrap().demand
    assert demand.service_name == "chat"
    assert demand.either_tokens_per_s == pytest.approx(10_000, rel=0.15)
    assert demand.output_tokens_per_s == pytest.approx(400, rel=0.15)


def test_measured_times_reach_other_instances_once(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    codec = wire.Codec("a secret of the tests")
    learned = registry.pools["chat"].learned
    learned.record_prefill(4_000, 0, 0.25, clock.monotonic())
    learned.record_stream(3, 11, 80, 0.5, clock.monotonic())
    sent = [
        codec.decode(wire.WorkNote, reports.writer.encode([], [])).unwrap()
        for _ in range(2)
    ]
    prompt, stream = sent[0].measured
    assert (prompt.time_us, prompt.tokens_per_event) == (250_000, None)
    assert (stream.quantity, stream.time_us) == (3, 50_000)
    assert not sent[1].measured
    for sequence, _ in enumerate(sent, 1):
        note = report("other", sequence, 0)
        note.measured = [prompt, stream]
        reports.handle(note)
    assert learned.samples(clock.monotonic()) == (3, 3)
    assert not learned.take_unshared()


def test_measured_times_name_the_engine(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    """Those of an earlier release do not, and count for the service only."""
    codec = wire.Codec("a secret of the tests")
    pool = registry.pools["chat"]
    key = registry.by_id["e1"].target.key
    now = clock.monotonic()
    pool.learned.record_stream(3, 4, 30, 0.5, now, key)
    pool.learned.record_prefill(4_000, 0, 0.25, now, key)
    note = codec.decode(wire.WorkNote, reports.writer.encode([], [])).unwrap()
    assert [(m.target, m.events) for m in note.measured] == [
        (key, 4),
        (key, None),
    ]
    # A stream of few events does not show the pace of the service.
    assert pool.learned.samples(now) == (1, 0)
    earlier = report("other", 1, 0)
    earlier.measured = [
        wire.MeasuredTime(
            service_name="chat",
            quantity=3,
            time_us=50_000,
            tokens_per_event=8.0,
        )
    ]
    reports.handle(earlier)
    assert pool.learned.samples(now) == (1, 1)


def fill(reports: _load_reports.LoadReports, instances: int) -> None:
    """Let there be so many instances."""
    for number in range(instances - 1):
        entry = _peers.PeerEntry(f"10.0.0.{number}:1", "z")
        reports._peers.known[f"i{number}"] = entry


# In large fleets most instances do not read the log; in small ones all do, and
# one that is cut from it has to know that.
@pytest.mark.parametrize(
    ("instances", "through", "age_ms", "age_s"),
    [
        (60, 5, 200, 0.2 + _catalog.REPORT_S),
        (60, 4, 200, 9.0),
        (60, 5, None, 9.0),
        (60, 5, -1, 9.0),
        (8, 5, 200, 9.0),
    ],
    ids=["the same", "less", "unknown", "nonsense", "small fleet"],
)
def test_what_a_peer_has_read_counts_as_read_if_it_is_the_same(
    clock: _clock.ManualClock,
    reports: _load_reports.LoadReports,
    instances: int,
    through: int,
    age_ms: int | None,
    age_s: float,
) -> None:
    fill(reports, instances)
    catalog = reports._catalog
    catalog.record_read()
    catalog.record_config_read()
    catalog.end_batch(5)
    clock.advance(9.0)
    note = report("i1", 1, 0)
    note.through = through
    note.targets_age_ms = note.config_age_ms = age_ms
    reports.handle(note)
    assert catalog.age_s() == pytest.approx(age_s)
    expected = 9.0
    if instances > 8 and age_ms == 200:
        expected = 0.2 + _catalog.REPORT_S
    assert catalog.config_age_s() == pytest.approx(expected)


#: Instances of the fleet, whether others read the log while this instance
#: cannot, and how long a target without an entry is held then, in seconds.
HOLDS = {
    "others read the log": (60, True, _catalog.HOLD_S),
    "others of a small fleet do": (6, True, _catalog.HOLD_S),
    "nobody reads it": (60, False, _catalog.RETURN_HOLD_S),
    "nobody of a small fleet does": (6, False, _catalog.RETURN_HOLD_S),
}


# Targets that had left got requests for more than 3 s: instances that could
# not reach the log took it for back whenever a peer had read it, and awaited
# the entries of targets as after an outage.
@pytest.mark.parametrize("name", HOLDS)
def test_a_target_is_held_only_if_the_log_was_away_for_all(
    clock: _clock.ManualClock,
    reports: _load_reports.LoadReports,
    name: str,
) -> None:
    instances, others_read, hold_s = HOLDS[name]
    fill(reports, instances)
    catalog = reports._catalog
    target = _contracts.Target(
        "t1", "chat", "10.0.0.1:80", "z1", _types.TargetState.ACTIVE, 8
    )
    catalog.record_read()
    catalog.replace_targets({"t1": target}, 5)
    clock.advance(60.0)
    catalog.record_read()
    for sequence in range(1, 11):
        clock.advance(0.2)
        catalog.record_unavailable()
        clock.advance(0.2)
        note = report("i1", sequence, 0)
        note.through = 5
        ago_s = 0.1 if others_read else sequence * 0.4
        note.targets_age_ms = int(ago_s * 1_000)
        reports.handle(note)
    clock.advance(0.1)
    told = _contracts.Snapshot(None, (), 6, 0.0, base=5, removed=("t1",))
    catalog.merge_snapshot(told, "i1")
    clock.advance(hold_s - 0.1)
    catalog.expire()
    assert "t1" in catalog.targets
    clock.advance(0.2)
    catalog.expire()
    assert "t1" not in catalog.targets


def test_the_age_of_what_was_read_is_told(
    clock: _clock.ManualClock, reports: _load_reports.LoadReports
) -> None:
    codec = wire.Codec("a secret of the tests")
    sent = codec.decode(wire.WorkNote, reports.writer.encode([], [])).unwrap()
    assert (sent.targets_age_ms, sent.config_age_ms) == (None, None)
    reports._catalog.record_read()
    clock.advance(0.5)
    reports._catalog.record_config_read()
    clock.advance(0.25)
    sent = codec.decode(wire.WorkNote, reports.writer.encode([], [])).unwrap()
    assert (sent.targets_age_ms, sent.config_age_ms) == (750, 250)


# Each instance fetched the whole view after each change, though its own read
# ended a moment later.
@pytest.mark.parametrize(
    ("reads_meanwhile", "requests"), [(True, 0), (False, 1)]
)
def test_a_snapshot_is_fetched_only_if_it_is_still_needed(
    clock: _clock.ManualClock,
    reports: _load_reports.LoadReports,
    reads_meanwhile: bool,
    requests: int,
) -> None:
    fill(reports, 60)
    peers = reports._peers
    note = report("i1", 1, 0)
    note.through = 7
    reports.handle(note)
    gevent.sleep(0)
    if reads_meanwhile:
        reports._catalog.end_batch(7)
    clock.advance(_peers.REQUEST_DELAY_S)
    gevent.sleep(0.01)
    assert peers.requests_sent == requests


def summary(sequence: int, sequences: int, part: int = 0) -> wire.WorkNote:
    """Return a total of 60 instances, in which e1 has so many sequences."""
    total = report("collector", sequence, 0)
    tokens = sequences * 500
    total.summary = wire.LoadSummary(
        "",
        60,
        part,
        1,
        ["e1"],
        [tokens],
        [sequences],
        [tokens // 2],
        [tokens * 2],
        [],
    )
    return total


# With the reports that reached it, one of 195 instances knew a fifth of the
# requests at an engine.
def test_a_summary_counts_instead_of_the_reports_that_arrived(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    fill(reports, 60)
    pool = registry.pools["chat"]
    reports.handle(report("i1", 1, 1_000))
    reports.handle(summary(1, 9))
    (load,) = pool.loads()
    assert (load.sequences, load.prefill_backlog) == (9, 4_500)
    clock.advance(0.7)
    reports.handle(report("i1", 2, 1_000))
    (load,) = pool.loads()
    assert (load.sequences, load.prefill_backlog) == (2, 1_000)


def test_a_summary_contains_what_this_instance_has_reported(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
) -> None:
    fill(reports, 60)
    tracked = registry.by_id["e1"]
    tracked.record_sent(500)
    reports._send(SentDatagrams(), reports.writer.own_load())
    clock.advance(0.05)
    # The total was made before this one was reported.
    tracked.record_sent(500)
    reports._send(SentDatagrams(), reports.writer.own_load())
    reports.handle(summary(1, 9))
    (load,) = registry.pools["chat"].loads()
    assert (load.sequences, load.prefill_backlog) == (8 + 2, 4_000 + 1_000)


@pytest.mark.parametrize(
    ("late", "malformed"),
    [(summary(4, 30), 0), (summary(6, 30, part=1), 1)],
    ids=["an earlier one", "no such part"],
)
def test_a_summary_that_is_late_or_nonsense_is_ignored(
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
    late: wire.WorkNote,
    malformed: int,
) -> None:
    fill(reports, 60)
    reports.handle(summary(5, 9))
    reports.handle(late)
    (load,) = registry.pools["chat"].loads()
    assert load.sequences == 9
    assert reports.malformed == malformed


@pytest.mark.parametrize("engines", (30, 80, 300))
def test_each_part_of_a_summary_fits_into_a_datagram(
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
    engines: int,
) -> None:
    fill(reports, 60)
    names = [f"i-{number:010x}" for number in range(engines)]
    first = registry.by_id["e1"].target
    properties = gateway.EngineProperties(64, 1_000, 1, 1e9)
    services = {"chat": _contracts.Service("chat", 100, properties)}
    targets = {n: dataclasses.replace(first, id=n) for n in names}
    registry.apply(services, targets)
    busy = _load_sums.Load(900_000, 99, 900_000, 900_000)
    loads = dict.fromkeys(names, busy)
    rate = decisions.AccountRate(2e6, 2e6)
    accounts = {(n << 20, bool(n % 2)): rate for n in range(60)}
    other = _load_sums.InstanceReport(loads, {}, accounts)
    for number in range(60):
        placement = decisions.Placement(names[0], number << 40, 0.5)
        reports.summaries.record_placements("me", [placement])
    total, _ = reports.summaries.summarize(names, [other], other)
    read = []
    for part in total:
        data = reports.writer.encode_summary(part)
        assert len(data) <= _report_writer.DATAGRAM_BYTES
        decoded = reports._codec.decode(wire.WorkNote, data).unwrap()
        read += decoded.summary.engines
        # An earlier release would take these for the sender's own.
        assert (decoded.work, decoded.demand) == ([], None)
    assert sorted(read) == names


# A report of which a part is missing ended the loop that receives them, or
# failed each request that read the loads.
@pytest.mark.parametrize(
    "part", ["summary", "work", "demand", "held", "accounts"]
)
def test_a_report_of_which_a_part_is_missing_is_ignored(
    clock: _clock.ManualClock,
    registry: _target_registry.TargetRegistry,
    reports: _load_reports.LoadReports,
    part: str,
) -> None:
    fill(reports, 60)
    broken = report("i1", 1, 0)
    match part:
        case "summary":
            broken.summary = wire.LoadSummary(zone="")
        case "work":
            broken.work = [wire.EngineWork(engine="e1")]
        case "demand":
            broken.demand = [wire.StreamDemand(service_name="chat")]
        case "held":
            broken.held = [wire.PartsHeld(engine="e1")]
        case "accounts":
            broken.accounts = wire.AccountDemand(accounts=[1], may_wait=[True])
    reports.receive(reports._codec.encode(broken))
    reports.receive(reports._codec.encode(report("i2", 1, 1_000)))
    clock.advance(0.1)
    (load,) = registry.pools["chat"].loads()
    assert load.prefill_backlog == 1_000
    reports.demand_of(registry.pools["chat"])
    reports._send_summaries(SentDatagrams())


def note_of_accounts(
    sender: str, rates: dict[int, tuple[int, int]]
) -> wire.WorkNote:
    made = report(sender, 1, 0)
    made.accounts = wire.AccountDemand(
        accounts=list(rates),
        may_wait=[False] * len(rates),
        recent=[recent for recent, _ in rates.values()],
        usual=[usual for _, usual in rates.values()],
    )
    return made


def test_the_requests_of_accounts_are_summed_and_expire(
    clock: _clock.ManualClock, reports: _load_reports.LoadReports
) -> None:
    reports.handle(note_of_accounts("i1", {1: (40_000, 4_000)}))
    reports.handle(note_of_accounts("i2", {1: (20_000, 4_000), 2: (8, 8)}))
    # One of an earlier release names no accounts.
    reports.handle(report("i3", 1, 0))
    rates = reports.account_rates()
    assert rates[1, False] == decisions.AccountRate(60.0, 8.0)
    assert decisions.excess_share(rates, 1) > 0.5
    clock.advance(4.0)
    # Cut off from all others, it decides by its own.
    assert reports.account_rates() == {}


def test_columns_of_different_lengths_are_ignored(
    reports: _load_reports.LoadReports,
) -> None:
    broken = note_of_accounts("i1", {1: (40_000, 4_000)})
    broken.accounts.usual = []
    reports.receive(reports._codec.encode(broken))
    assert reports.account_rates() == {}


def test_accounts_of_all_zones_are_in_the_total(
    clock: _clock.ManualClock, reports: _load_reports.LoadReports
) -> None:
    fill(reports, 60)
    meter = reports.writer._accounts
    for step in range(100):
        clock.advance(0.1)
        meter.add(7, True, clock.monotonic())
    own = _load_sums.InstanceReport({}, {}, reports.writer.own_accounts())
    total, far = reports.summaries.summarize(["e1"], [own], own)
    for part in (*total, *far):
        data = reports.writer.encode_summary(part)
        decoded = reports._codec.decode(wire.WorkNote, data).unwrap()
        (recent,) = decoded.summary.accounts.recent
        assert recent == pytest.approx(20_000, rel=0.2)
    rates = reports.account_rates()
    assert rates[7, True].recent == pytest.approx(20.0, rel=0.2)
