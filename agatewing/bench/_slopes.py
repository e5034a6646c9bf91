"""Slopes: cost of one more engine, peer, key, caller, record, decision."""

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

#: Time that each timing loop takes at least, in seconds.
LOOP_S = 0.2


def measure_all() -> list[Figure]:
    """Return every slope."""
    return [
        *_state_slopes(),
        *_message_slopes(),
        *_record_slopes(),
        *_decision_slopes(),
        *_relay_slopes(),
    ]


def _time_us(call: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of a call, in microseconds."""
    call()
    best = float("inf")
    for _ in range(3):
        count = 0
        started = time.process_time()
        while time.process_time() - started < LOOP_S / 3:
            for _ in range(20):
                call()
            count += 20
        best = min(best, (time.process_time() - started) / count)
    return best * 1e6


def _bytes_each(
    make: collections.abc.Callable[[int], typing.Any], count: int
) -> float:
    """Return the memory of each of ``count`` objects, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / count


def _document(engines: int, callers: int) -> dict[str, typing.Any]:
    """Return a plain configuration of this size."""
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
    """Measure the memory of state kept for each thing."""

    def fleet_of(count: int) -> fleet.Fleet:
        document = config.decode_document(_document(count, 1), "size")
        machines = fleet.Fleet(
            _clock.SystemClock(), random.Random(1), net.HttpClient
        )
        machines.apply(document.unwrap())
        return machines

    def keys_of(count: int) -> replica.CallsState:
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

    def peers_of(count: int) -> membership.Detector:
        return _detector(count)

    def callers_of(count: int) -> tuple[object, ...]:
        queue: decisions.FairQueue[int] = decisions.FairQueue()
        for number in range(count):
            queue.push(f"caller-{number}", 1.0, 1.0, number)
        document = config.decode_document(_document(1, count), "size")
        return queue, document, entry.Directory(document.unwrap())

    def blocks_of(count: int) -> decisions.PrefixIndex:
        index = decisions.PrefixIndex()
        index.add("engine-1", tuple(range(1 << 60, (1 << 60) + count)), 0.0)
        return index

    def events_of(count: int) -> timeline.Timeline:
        line = timeline.Timeline(
            timeline.HybridClock(_clock.SystemClock()), "i/1"
        )
        for number in range(count):
            line.add(timeline.EventKind.REQUEST_ROUTED, f"{number:016x}", "e")
        return line

    sizes: list[tuple[str, typing.Any, int]] = [
        ("memory of an engine", fleet_of, 1_000),
        ("memory of a peer", peers_of, 1_000),
        ("memory of an at-most-once key", keys_of, 5_000),
        ("memory of a caller account", callers_of, 370),
        ("memory of a cached block's hint", blocks_of, 20_000),
        ("memory of an event on the time line", events_of, 5_000),
    ]
    return [
        Figure(name, _bytes_each(make, count), "bytes")
        for name, make, count in sizes
    ]


def _detector(peers: int) -> membership.Detector:
    """Return a failure detector that has heard of ``peers``."""
    myself = membership.Self("self", 1, "z1", "10.0.0.1:1")
    detector = membership.Detector(myself, random.Random(1))
    for number in range(peers):
        detector.receive(
            _ping(f"peer-{number}", number), "10.0.0.2:1", 1.0, _news()
        )
    return detector


def _news() -> membership.News:
    return membership.News(
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
    news = _news()
    return wire.Message(
        kind=wire.Kind.PING,
        sequence=1,
        sender=member,
        hlc_wall_ms=1_796_337_000_000,
        hlc_counter=1,
        vouch=news.vouch,
        gossip=[member] * 4,
        demand=news.demand,
    )


def _message_slopes() -> list[Figure]:
    """Measure heartbeats: size, and time to make and take one."""
    codec = wire.Codec("s" * 16)
    data = codec.encode(_ping("peer-1", 1))
    figures = [Figure("size of a heartbeat", float(len(data)), "bytes")]
    for peers in (6, 1_700):
        detector = _detector(peers)

        def exchange(d: membership.Detector = detector) -> None:
            message = codec.decode(wire.Message, data).unwrap()
            for out in d.receive(message, "10.0.0.2:1", 2.0, _news()):
                codec.encode(out.message)

        def period(d: membership.Detector = detector) -> None:
            d.tick(2.0, _news())

        figures.append(
            Figure(
                f"heartbeat taken and answered, {peers} peers",
                _time_us(exchange),
                "us",
            )
        )
        figures.append(
            Figure(f"round of probes, {peers} peers", _time_us(period), "us")
        )
    return figures


def _record_slopes() -> list[Figure]:
    """Measure records: size, and time to decode and apply one."""
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
        one = replica.encode_envelope(
            replica.Envelope("0" * 32, author, (record,))
        )
        many = replica.encode_envelope(
            replica.Envelope("0" * 32, author, (record,) * 101)
        )
        size = (len(many) - len(one)) / 100
        figures.append(Figure(f"size of a record: {name}", size, "bytes"))
        decode = (
            _time_us(functools.partial(replica.decode_envelope, many)) / 101
        )
        figures.append(Figure(f"decoding a record: {name}", decode, "us"))
    figures.append(_apply_patch(345))
    figures.append(_apply_patch(10_000))
    return figures


def _apply_patch(engines: int) -> Figure:
    """Measure putting a patch in force, with this many engines."""
    document = _document(engines, 370)
    machines = fleet.Fleet(
        _clock.SystemClock(), random.Random(1), net.HttpClient
    )

    decoded = config.decode_document(document, "size").unwrap()
    machines.apply(decoded)

    def apply() -> None:
        merged = config.merge_patch(
            document, {"engines": {"engine-1": {"state": "draining"}}}
        )
        plain = typing.cast(dict[str, typing.Any], merged)
        changed = config.decode_changed(document, decoded, plain, "size")
        machines.apply(changed.unwrap())

    apply()
    started = time.process_time()
    for _ in range(5):
        apply()
    taken = (time.process_time() - started) / 5
    return Figure(
        f"configuration put in force, {engines} engines", taken * 1e6, "us"
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
    """Measure decisions against the number of engines and callers."""
    figures = []
    work = decisions.Work(2_000, 100, "z1", {"engine-1": 1_024})
    for count in (5, 50, 500, 5_000):
        loads = _loads(count)
        router = decisions.Router(random.Random(1))
        figures.append(
            Figure(
                f"routing a request among {count} engines",
                _time_us(functools.partial(router.choose, work, loads)),
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
    planner = decisions.RolePlanner(decisions.Policy(0.8))
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

    def turn() -> None:
        entry_ = queue.pop()
        if entry_ is not None:
            queue.push(entry_.caller, 1.0, 1.0, entry_.item)

    return Figure(
        f"queueing and choosing among {callers} callers",
        _time_us(turn),
        "us",
    )


def _relay_slopes() -> list[Figure]:
    """Measure the relay's own work on blocks of events."""
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

        def relay(b: bytes = block) -> None:
            assembler = entry.EventAssembler("engine")
            entry.label(assembler.feed(b), handle)

        figures.append(
            Figure(
                f"ordering and labelling an event, {count} a read",
                _time_us(relay) / count,
                "us",
            )
        )
    return figures
