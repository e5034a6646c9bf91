"""Measures slopes: the cost of one more engine, peer, key, caller or record.

Also measures the time of a decision for several numbers of engines.
"""

import collections.abc
import functools
import gc
import random
import time
import tracemalloc
import typing

from agatewing import _clock
from agatewing import _types
from agatewing.bench import _entry
from agatewing import config
from agatewing import decisions
from agatewing import enginemodel
from agatewing import entry
from agatewing import fleet
from agatewing import membership
from agatewing import net
from agatewing import replica
from agatewing import timeline
from agatewing import wire

Figure = _entry.Figure

#: Minimum duration of the three timing runs together, in seconds.
MIN_TIMING_S = 0.2


def measure_all() -> list[Figure]:
    """Measure all slopes and return their figures."""
    return [
        *_state_slopes(),
        *_message_slopes(),
        *_record_slopes(),
        *_decision_slopes(),
        *_relay_slopes(),
    ]


def _time_us(call: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of a call, in microseconds.

    The call runs once to warm up; the fastest of three runs counts.
    """
    call()
    best_s = float("inf")
    for _ in range(3):
        count = 0
        started = time.process_time()
        while time.process_time() - started < MIN_TIMING_S / 3:
            for _ in range(20):
                call()
            count += 20
        best_s = min(best_s, (time.process_time() - started) / count)
    return best_s * 1e6


def _bytes_per_object(
    make: collections.abc.Callable[[int], typing.Any], count: int
) -> float:
    """Return the memory of each of ``count`` objects, in bytes."""
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    objects = make(count)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return (after_bytes - before_bytes) / count


def _document(engines: int, callers: int) -> dict[str, typing.Any]:
    """Return an undecoded configuration of the given size."""
    return {
        "deployment": "size",
        "regions": {"r": {"zones": ["z1", "z2"]}},
        "services": {"s": {"kind": "model", "models": ["m"]}},
        "engines": {
            f"engine-{n}": {
                "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:1",
                "zone": "z1",
                "service": "s",
                "roles": ["mixed", "prefill", "decode"],
            }
            for n in range(engines)
        },
        "targets": {},
        "rules": {
            "callers": {
                f"caller-{n}": {"token_sha256": f"{n:064x}"}
                for n in range(callers)
            }
        },
    }


def _state_slopes() -> list[Figure]:
    """Measure the memory that each engine, peer, key and caller takes.

    Entries of the prefix index and events of the time line are measured too.
    """

    def make_fleet(count: int) -> fleet.Fleet:
        document = config.decode_document(_document(count, 1), "size")
        engine_fleet = fleet.Fleet(
            _clock.SystemClock(), random.Random(1), net.HttpClient
        )
        engine_fleet.apply(document.unwrap())
        return engine_fleet

    def make_keys(count: int) -> replica.CallsState:
        state = replica.CallsState()
        author = replica.Author("i", 1)
        for number in range(count):
            key = f"caller/service/{number:036d}"
            attempt = f"{number:032x}"
            state.apply(number, author, replica.Intent(key, attempt, "d" * 32))
            answer = replica.Answer(
                key, attempt, 200, "application/json", b"x" * 100
            )
            state.apply(number, author, answer)
        return state

    def make_peers(count: int) -> membership.Detector:
        return _detector_with_peers(count)

    def make_callers(count: int) -> tuple[object, ...]:
        queue: decisions.FairQueue[int] = decisions.FairQueue()
        for number in range(count):
            queue.push(f"caller-{number}", 1.0, 1.0, number)
        document = config.decode_document(_document(1, count), "size")
        return queue, document, entry.CallerDirectory(document.unwrap())

    def make_blocks(count: int) -> decisions.PrefixIndex:
        index = decisions.PrefixIndex()
        index.add("engine-1", tuple(range(1 << 60, (1 << 60) + count)), 0.0)
        return index

    def make_events(count: int) -> timeline.EventRecorder:
        events = timeline.EventRecorder(
            timeline.HybridClock(_clock.SystemClock()), "i/1"
        )
        for number in range(count):
            events.add(
                timeline.EventKind.REQUEST_ROUTED, f"{number:016x}", "e"
            )
        return events

    cases: list[tuple[str, typing.Any, int]] = [
        ("memory of an engine", make_fleet, 1_000),
        ("memory of a peer", make_peers, 1_000),
        ("memory of an at-most-once key", make_keys, 5_000),
        ("memory of a caller account", make_callers, 370),
        ("memory of a cached block's hint", make_blocks, 20_000),
        ("memory of an event on the time line", make_events, 5_000),
    ]
    return [
        Figure(name, _bytes_per_object(make, count), "bytes")
        for name, make, count in cases
    ]


def _detector_with_peers(peers: int) -> membership.Detector:
    """Return a failure detector that has received a ping from each peer."""
    local_instance = membership.LocalInstance("self", 1, "z1", "10.0.0.1:1")
    detector = membership.Detector(local_instance, random.Random(1))
    for number in range(peers):
        detector.receive(
            _ping(f"peer-{number}", number), "10.0.0.2:1", 1.0, _sender_state()
        )
    return detector


def _sender_state() -> membership.SenderState:
    return membership.SenderState(
        wire.Vouch(config_version=1, log_age_ms=5),
        [
            wire.Demand(
                pool="s",
                prefill_tokens_per_s=1.0,
                decode_tokens_per_s=1.0,
                requests_per_s=1.0,
            )
        ],
        (1, 1),
    )


def _ping(name: str, number: int) -> wire.Message:
    member = wire.Member(
        instance=name,
        incarnation=1_796_337_000_000 + number,
        zone="z1",
        address=f"10.0.{number >> 8}.{number & 255}:7000",
        status=wire.Status.ALIVE,
        refutation=0,
    )
    sender_state = _sender_state()
    return wire.Message(
        kind=wire.Kind.PING,
        sequence=1,
        sender=member,
        hlc_wall_ms=1_796_337_000_000,
        hlc_counter=1,
        vouch=sender_state.vouch,
        gossip=[member] * 4,
        demand=sender_state.demand,
    )


def _message_slopes() -> list[Figure]:
    """Measure heartbeats: size, time to handle one, time of a probe round."""
    codec = wire.Codec("s" * 16)
    heartbeat = codec.encode(_ping("peer-1", 1))
    figures = [Figure("size of a heartbeat", float(len(heartbeat)), "bytes")]
    for peers in (6, 1_700):
        detector = _detector_with_peers(peers)

        def exchange(receiver: membership.Detector = detector) -> None:
            message = codec.decode(wire.Message, heartbeat).unwrap()
            for outgoing in receiver.receive(
                message, "10.0.0.2:1", 2.0, _sender_state()
            ):
                codec.encode(outgoing.message)

        def probe_round(sender: membership.Detector = detector) -> None:
            sender.tick(2.0, _sender_state())

        figures.append(
            Figure(
                f"heartbeat taken and answered, {peers} peers",
                _time_us(exchange),
                "us",
            )
        )
        figures.append(
            Figure(
                f"round of probes, {peers} peers", _time_us(probe_round), "us"
            )
        )
    return figures


def _record_slopes() -> list[Figure]:
    """Measure records: size, time to decode one, time to apply a patch."""
    author = replica.Author("entry-1", 1)
    key = "shops-guarda/accounts/" + "0" * 36
    intent = replica.Intent(key, "0" * 32, "0" * 32)
    answer = replica.Answer(key, "0" * 32, 200, "application/json", b"x" * 100)
    patch = replica.Publish(
        "0" * 32,
        1,
        "operator",
        None,
        {"engines": {"engine-1": {"state": "draining"}}},
    )
    figures = []
    for name, record in (
        ("intent", intent),
        ("answer", answer),
        ("configuration patch", patch),
    ):
        # 101 records less one are 100 records without the envelope. The time
        # to decode one of 101 includes its share of the envelope.
        single = replica.encode_envelope(
            replica.Envelope("0" * 32, author, (record,))
        )
        batch = replica.encode_envelope(
            replica.Envelope("0" * 32, author, (record,) * 101)
        )
        record_bytes = (len(batch) - len(single)) / 100
        figures.append(
            Figure(f"size of a record: {name}", record_bytes, "bytes")
        )
        decode_us = (
            _time_us(functools.partial(replica.decode_envelope, batch)) / 101
        )
        figures.append(Figure(f"decoding a record: {name}", decode_us, "us"))
    figures.append(_patch_slope(345))
    figures.append(_patch_slope(10_000))
    return figures


def _patch_slope(engines: int) -> Figure:
    """Measure the time to merge, decode and apply a patch of one engine."""
    current_plain = _document(engines, 370)
    engine_fleet = fleet.Fleet(
        _clock.SystemClock(), random.Random(1), net.HttpClient
    )

    current_document = config.decode_document(current_plain, "size").unwrap()
    engine_fleet.apply(current_document)

    def apply() -> None:
        merged = config.merge_patch(
            current_plain, {"engines": {"engine-1": {"state": "draining"}}}
        )
        changed_plain = typing.cast(dict[str, typing.Any], merged)
        changed_document = config.decode_changed(
            current_plain, current_document, changed_plain, "size"
        )
        engine_fleet.apply(changed_document.unwrap())

    apply()
    started = time.process_time()
    for _ in range(5):
        apply()
    apply_s = (time.process_time() - started) / 5
    return Figure(
        f"configuration put in force, {engines} engines", apply_s * 1e6, "us"
    )


def _loads(count: int) -> list[decisions.EngineLoad]:
    rng = random.Random(1)
    return [
        decisions.EngineLoad(
            f"engine-{n}",
            "z1",
            rng.choice(list(_types.Role)),
            reported_sequences=rng.randrange(20),
        )
        for n in range(count)
    ]


def _decision_slopes() -> list[Figure]:
    """Measure the time of routing, role planning, queueing and hashing."""
    figures = []
    profile = decisions.RequestProfile(2_000, 100, "z1", {"engine-1": 1_024})
    for count in (5, 50, 500, 5_000):
        loads = _loads(count)
        router = decisions.Router(random.Random(1))
        figures.append(
            Figure(
                f"routing a request among {count} engines",
                _time_us(functools.partial(router.choose, profile, loads)),
                "us",
            )
        )
    for count in (14, 345):
        figures.append(_plan_slope(count))
    figures.append(_queue_slope(370))
    prompt = "restock history " * 1_500
    figures.append(
        Figure(
            "hashing a prompt of 6000 tokens",
            _time_us(lambda: enginemodel.block_hashes(prompt)),
            "us",
        )
    )
    return figures


def _plan_slope(count: int) -> Figure:
    planner = decisions.RolePlanner(decisions.RolePolicy(0.8))
    engines = [
        decisions.PlannedEngine(
            f"engine-{n}", list(_types.Role)[n % 3], tuple(_types.Role)
        )
        for n in range(count)
    ]
    demand = decisions.TokenDemand(3_000.0 * count, 300.0 * count)
    speed = decisions.Speed()
    return Figure(
        f"planning roles of {count} engines",
        _time_us(lambda: planner.plan(demand, engines, speed, 0.0)),
        "us",
    )


def _queue_slope(callers: int) -> Figure:
    queue: decisions.FairQueue[int] = decisions.FairQueue()
    for number in range(callers):
        queue.push(f"caller-{number}", 1.0, 1.0, number)

    def requeue_next() -> None:
        queued = queue.pop()
        if queued is not None:
            queue.push(queued.caller, 1.0, 1.0, queued.item)

    return Figure(
        f"queueing and choosing among {callers} callers",
        _time_us(requeue_next),
        "us",
    )


def _relay_slopes() -> list[Figure]:
    """Measure the time per event to check its order and add its handle."""
    figures = []
    for count in (1, 20):
        event = (
            b'data: {"id":"0123456789abcdef","object":"text_completion",'
            b'"created":1796337000,"model":"restock-draft","choices":'
            b'[{"index":0,"text":" rice","finish_reason":null}]}\n\n'
        )
        block = b"".join(
            b"id: %d\n%s" % (n, event) for n in range(1, count + 1)
        )
        handle = b"h" * 100

        def relay(received: bytes = block) -> None:
            assembler = entry.EventAssembler("engine")
            entry.insert_handle(assembler.feed(received), handle)

        figures.append(
            Figure(
                f"ordering and labelling an event, {count} a read",
                _time_us(relay) / count,
                "us",
            )
        )
    return figures
