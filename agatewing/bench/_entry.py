"""Cost of the entry: processor time, added latency, memory of a stream."""

import dataclasses
import functools
import pathlib
import time
import typing

import gevent
from hdrh import histogram
import msgspec

from agatewing import harness
from agatewing import net

#: Requests of each latency measurement.
REQUESTS = 300
#: Streams of each relay measurement, and their tokens.
STREAMS = 24
TOKENS = 400
#: Streams held open for the memory measurement.
OPEN_STREAMS = 400
SERVICE_PATH = "/services/accounts/accounts/1"


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure."""

    #: What was measured.
    name: str
    #: Value.
    value: float
    #: Unit.
    unit: str


class EntryBench:
    """Runs all measurements on one instance and its stand-ins."""

    def __init__(self, inventory: pathlib.Path) -> None:
        self._inventory = inventory
        self.figures: list[Figure] = []

    def run(self) -> list[Figure]:
        """Return every figure."""
        with self._deployment(1.0) as deployment:
            self._measure_calls(deployment)
            self._measure_first_event(deployment)
            self._measure_relay(deployment, "slow stream, one event a read")
            self._measure_memory(deployment)
        with self._deployment(200.0) as deployment:
            self._measure_relay(deployment, "fast stream, many events a read")
        return self.figures

    def _deployment(self, speed: float) -> harness.Deployment:
        deployment = harness.Deployment(
            self._inventory, instances=1, engine_speed=speed
        )
        deployment.start()
        deployment.wait_ready(deployment.version)
        gevent.sleep(2.5)
        return deployment

    def _add(self, name: str, value: float, unit: str) -> None:
        self.figures.append(Figure(name, value, unit))

    def _measure_calls(self, deployment: harness.Deployment) -> None:
        """Compare look-ups through the entry with direct ones."""
        target = next(iter(deployment.document.targets.values()))
        direct = net.HttpClient(target.address)
        entry = net.HttpClient(deployment.caller_address("entry-1"))
        headers = _headers(deployment)
        ours, theirs = _Times(), _Times()
        for _ in range(REQUESTS):
            theirs.time(lambda: direct.call("GET", "/accounts/1"))
            ours.time(lambda: entry.call("GET", SERVICE_PATH, b"", headers))
        used = self._used_by_calls(deployment, entry, headers)
        self._add("look-up, processor time", used / REQUESTS * 1e6, "us")
        for quantile in (50, 99):
            added = ours.at(quantile) - theirs.at(quantile)
            self._add(f"look-up, added latency p{quantile}", added, "us")

    def _used_by_calls(
        self,
        deployment: harness.Deployment,
        entry: net.HttpClient,
        headers: dict[str, str],
    ) -> float:
        """Return the processor time of all calls, less the idle use."""
        idle = _idle_share(deployment)
        cpu, started = _cpu(deployment), time.monotonic()
        for _ in range(REQUESTS):
            entry.call("GET", SERVICE_PATH, b"", headers)
        took = time.monotonic() - started
        return _cpu(deployment) - cpu - idle * took

    def _measure_first_event(self, deployment: harness.Deployment) -> None:
        """Compare the first event through the entry with a direct one."""
        engine = next(iter(deployment.document.engines.values()))
        direct = net.HttpClient(engine.address)
        entry = net.HttpClient(deployment.caller_address("entry-1"))
        headers = _headers(deployment)
        ours, theirs = _Times(), _Times()
        count = 60
        for number in range(count):
            call = _engine_body(number, 2)
            theirs.time(
                functools.partial(direct.call, "POST", "/v1/generate", call)
            )
            body = _caller_body(number, 2)
            ours.time(
                functools.partial(
                    entry.call, "POST", "/v1/completions", body, headers
                )
            )
        for quantile in (50, 99):
            added = ours.at(quantile) - theirs.at(quantile)
            self._add(f"short answer, added latency p{quantile}", added, "us")

    def _measure_relay(
        self, deployment: harness.Deployment, name: str
    ) -> None:
        """Measure processor time of each relayed event."""
        entry = net.HttpClient(
            deployment.caller_address("entry-1"), silence_timeout_s=30.0
        )
        headers = _headers(deployment)
        idle = _idle_share(deployment)
        cpu, started = _cpu(deployment), time.monotonic()
        streams = [
            gevent.spawn(
                entry.call,
                "POST",
                "/v1/completions",
                _caller_body(number, TOKENS),
                headers,
            )
            for number in range(STREAMS)
        ]
        gevent.joinall(streams)
        took = time.monotonic() - started
        used = _cpu(deployment) - cpu - idle * took
        events = sum(s.value.body.count(b"\nid: ") + 1 for s in streams)
        self._add(
            f"{name}, processor time of an event", used / events * 1e6, "us"
        )
        self._add(
            f"{name}, events a second of a core", events / used, "events/s"
        )

    def _measure_memory(self, deployment: harness.Deployment) -> None:
        """Measure resident memory of each open stream."""
        entry = net.HttpClient(
            deployment.caller_address("entry-1"), silence_timeout_s=60.0
        )
        headers = _headers(deployment)
        before = _memory(deployment)
        streams = []
        for number in range(OPEN_STREAMS):
            body = _caller_body(number, 100)
            streams.append(
                gevent.spawn(
                    entry.call, "POST", "/v1/completions", body, headers
                )
            )
        gevent.sleep(2.0)
        grown = _memory(deployment) - before
        self._add("memory of an open stream", grown / OPEN_STREAMS, "bytes")
        gevent.joinall(streams, timeout=60)


class _Times:
    """Times of one kind of call, in microseconds."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(1, 60_000_000, 3)

    def time(self, call: typing.Callable[[], net.HttpAnswer]) -> None:
        """Time one call; it has to succeed."""
        started = time.perf_counter()
        answer = call()
        taken = time.perf_counter() - started
        if answer.status != 200:
            raise RuntimeError(f"status {answer.status}: {answer.body!r}")
        self._histogram.record_value(int(taken * 1e6))

    def at(self, quantile: float) -> float:
        """Return a quantile in microseconds."""
        return float(self._histogram.get_value_at_percentile(quantile))


def _headers(deployment: harness.Deployment) -> dict[str, str]:
    """Return the header fields of a caller."""
    token = next(iter(deployment.tokens.values()))
    return {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
    }


def _caller_body(seed: int, tokens: int) -> bytes:
    """Return the body of a caller's request."""
    return msgspec.json.encode(
        {
            "model": "restock-draft",
            "prompt": f"question {seed}",
            "max_tokens": tokens,
            "stream": True,
            "seed": seed,
        }
    )


def _engine_body(seed: int, tokens: int) -> bytes:
    """Return the body of the same request to an engine."""
    return msgspec.json.encode(
        {
            "id": f"direct-{seed}",
            "model": "restock-draft",
            "prompt": f"question {seed}",
            "max_tokens": tokens,
            "seed": seed,
        }
    )


def _cpu(deployment: harness.Deployment) -> float:
    """Return the processor time of the instance, in seconds."""
    return float(deployment.status("entry-1")["cpu_s"])


def _idle_share(deployment: harness.Deployment) -> float:
    """Return the share of a core that the idle instance uses."""
    cpu, started = _cpu(deployment), time.monotonic()
    gevent.sleep(2.0)
    return (_cpu(deployment) - cpu) / (time.monotonic() - started)


def _memory(deployment: harness.Deployment) -> float:
    """Return the largest resident memory of the instance, in bytes."""
    return float(deployment.status("entry-1")["memory_bytes"])
