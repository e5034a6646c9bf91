"""Measures the entry: processor time, added latency, memory of a stream."""

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

#: Requests in each look-up measurement.
REQUESTS = 300
#: Concurrent streams in each relay measurement.
STREAMS = 24
#: Output tokens of each of these streams.
TOKENS = 400
#: Concurrent streams in the memory measurement.
OPEN_STREAMS = 400
#: Path of the measured look-up; it reads one account through the entry.
SERVICE_PATH = "/services/accounts/accounts/1"


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured or computed figure, stored as JSON."""

    #: What the figure describes.
    name: str
    #: Value, in ``unit``.
    value: float
    #: Unit; empty for a plain number.
    unit: str


class EntryBench:
    """Measures one instance with stand-ins for engines and targets."""

    def __init__(self, inventory: pathlib.Path) -> None:
        self._inventory = inventory
        self.figures: list[Figure] = []

    def run(self) -> list[Figure]:
        """Run all measurements and return their figures."""
        with self._deployment(1.0) as deployment:
            self._measure_look_ups(deployment)
            self._measure_short_answers(deployment)
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

    def _measure_look_ups(self, deployment: harness.Deployment) -> None:
        """Compare look-ups through the entry with look-ups at the target."""
        target = next(iter(deployment.document.targets.values()))
        direct = net.HttpClient(target.address)
        entry = net.HttpClient(deployment.caller_address("entry-1"))
        headers = _caller_headers(deployment)
        entry_us, direct_us = _Durations(), _Durations()
        for _ in range(REQUESTS):
            direct_us.measure(lambda: direct.call("GET", "/accounts/1"))
            entry_us.measure(
                lambda: entry.call("GET", SERVICE_PATH, b"", headers)
            )
        cpu_used_s = self._look_up_cpu_s(deployment, entry, headers)
        self._add("look-up, processor time", cpu_used_s / REQUESTS * 1e6, "us")
        for percentile in (50, 99):
            added_us = entry_us.at_percentile(
                percentile
            ) - direct_us.at_percentile(percentile)
            self._add(f"look-up, added latency p{percentile}", added_us, "us")

    def _look_up_cpu_s(
        self,
        deployment: harness.Deployment,
        entry: net.HttpClient,
        headers: dict[str, str],
    ) -> float:
        """Return the processor time of ``REQUESTS`` look-ups, in seconds.

        The processor time that the idle instance uses is subtracted.
        """
        idle_share = _idle_share(deployment)
        cpu_before_s, started = _cpu_s(deployment), time.monotonic()
        for _ in range(REQUESTS):
            entry.call("GET", SERVICE_PATH, b"", headers)
        elapsed_s = time.monotonic() - started
        return _cpu_s(deployment) - cpu_before_s - idle_share * elapsed_s

    def _measure_short_answers(self, deployment: harness.Deployment) -> None:
        """Compare a two-token answer through the entry with a direct one."""
        engine = next(iter(deployment.document.engines.values()))
        direct = net.HttpClient(engine.address)
        entry = net.HttpClient(deployment.caller_address("entry-1"))
        headers = _caller_headers(deployment)
        entry_us, direct_us = _Durations(), _Durations()
        count = 60
        for number in range(count):
            engine_body = _engine_body(number, 2)
            direct_us.measure(
                functools.partial(
                    direct.call, "POST", "/v1/generate", engine_body
                )
            )
            caller_body = _caller_body(number, 2)
            entry_us.measure(
                functools.partial(
                    entry.call, "POST", "/v1/completions", caller_body, headers
                )
            )
        for percentile in (50, 99):
            added_us = entry_us.at_percentile(
                percentile
            ) - direct_us.at_percentile(percentile)
            self._add(
                f"short answer, added latency p{percentile}", added_us, "us"
            )

    def _measure_relay(
        self, deployment: harness.Deployment, name: str
    ) -> None:
        """Measure the processor time of each relayed event.

        The processor time that the idle instance uses is subtracted.
        """
        entry = net.HttpClient(
            deployment.caller_address("entry-1"), silence_timeout_s=30.0
        )
        headers = _caller_headers(deployment)
        idle_share = _idle_share(deployment)
        cpu_before_s, started = _cpu_s(deployment), time.monotonic()
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
        elapsed_s = time.monotonic() - started
        cpu_used_s = _cpu_s(deployment) - cpu_before_s - idle_share * elapsed_s
        events = sum(s.value.body.count(b"\nid: ") + 1 for s in streams)
        self._add(
            f"{name}, processor time of an event",
            cpu_used_s / events * 1e6,
            "us",
        )
        self._add(
            f"{name}, events a second of a core",
            events / cpu_used_s,
            "events/s",
        )

    def _measure_memory(self, deployment: harness.Deployment) -> None:
        """Measure the growth of peak resident memory with each open stream."""
        entry = net.HttpClient(
            deployment.caller_address("entry-1"), silence_timeout_s=60.0
        )
        headers = _caller_headers(deployment)
        before_bytes = _memory_bytes(deployment)
        streams = []
        for number in range(OPEN_STREAMS):
            caller_body = _caller_body(number, 100)
            streams.append(
                gevent.spawn(
                    entry.call, "POST", "/v1/completions", caller_body, headers
                )
            )
        gevent.sleep(2.0)
        growth_bytes = _memory_bytes(deployment) - before_bytes
        self._add(
            "memory of an open stream", growth_bytes / OPEN_STREAMS, "bytes"
        )
        gevent.joinall(streams, timeout=60)


class _Durations:
    """Histogram of the durations of calls, in microseconds."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(1, 60_000_000, 3)

    def measure(self, call: typing.Callable[[], net.HttpAnswer]) -> None:
        """Make one call and record its duration.

        Raises RuntimeError if the answer's status is not 200.
        """
        started = time.perf_counter()
        answer = call()
        duration_s = time.perf_counter() - started
        if answer.status != 200:
            raise RuntimeError(
                f"status {answer.status} instead of 200: {answer.body!r};"
                " check the logs of the instance and the stand-ins"
            )
        self._histogram.record_value(int(duration_s * 1e6))

    def at_percentile(self, percentile: float) -> float:
        """Return the duration at a percentile, in microseconds."""
        return float(self._histogram.get_value_at_percentile(percentile))


def _caller_headers(deployment: harness.Deployment) -> dict[str, str]:
    """Return the header fields of a caller's request."""
    token = next(iter(deployment.tokens.values()))
    return {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
    }


def _caller_body(seed: int, tokens: int) -> bytes:
    """Return the body of a caller's completion request."""
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
    """Return the body of the same request in the engine's format."""
    return msgspec.json.encode(
        {
            "id": f"direct-{seed}",
            "model": "restock-draft",
            "prompt": f"question {seed}",
            "max_tokens": tokens,
            "seed": seed,
        }
    )


def _cpu_s(deployment: harness.Deployment) -> float:
    """Return the processor time of the instance so far, in seconds."""
    return float(deployment.status("entry-1")["cpu_s"])


def _idle_share(deployment: harness.Deployment) -> float:
    """Return the share of a core that the idle instance uses."""
    cpu_before_s, started = _cpu_s(deployment), time.monotonic()
    gevent.sleep(2.0)
    return (_cpu_s(deployment) - cpu_before_s) / (time.monotonic() - started)


def _memory_bytes(deployment: harness.Deployment) -> float:
    """Return the peak resident memory of the instance so far, in bytes."""
    return float(deployment.status("entry-1")["memory_bytes"])
