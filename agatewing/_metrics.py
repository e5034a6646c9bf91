"""Metrics of one instance, mostly set when they are scraped."""

import collections.abc

import aioprometheus

#: Upper bounds of the histogram buckets of durations, in seconds.
TIME_BUCKETS_S = [
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
    30.0,
]


class Metrics:
    """Registry of gauges, counters and histograms.

    The name of a metric contains its unit.
    """

    __slots__ = (
        "_registry",
        "_gauges",
        "_counters",
        "first_event_seconds",
        "answer_seconds",
    )

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._counters: dict[str, aioprometheus.Counter] = {}
        #: Time from a request to the first event of its answer.
        self.first_event_seconds = aioprometheus.Histogram(
            "agatewing_first_event_seconds",
            "Time from a request to the first event of its answer",
            buckets=TIME_BUCKETS_S,
            registry=self._registry,
        )

        #: Time from a request to the end of its answer.
        self.answer_seconds = aioprometheus.Histogram(
            "agatewing_answer_seconds",
            "Time from a request to the end of its answer",
            buckets=TIME_BUCKETS_S,
            registry=self._registry,
        )

    def gauge(
        self, name: str, help_text: str, value: float, **labels: str
    ) -> None:
        """Set a gauge, which is created on first use."""
        metric = self._gauges.get(name)
        if metric is None:
            metric = aioprometheus.Gauge(
                name, help_text, registry=self._registry
            )
            self._gauges[name] = metric
        metric.set(labels, value)

    def clear_gauge(self, name: str) -> None:
        """Remove all values of a gauge, as of targets that have gone."""
        metric = self._gauges.get(name)
        if metric is not None:
            metric.values.clear()

    def counter(
        self, name: str, help_text: str, value: float, **labels: str
    ) -> None:
        """Set a counter's total, which must not decrease."""
        metric = self._counters.get(name)
        if metric is None:
            metric = aioprometheus.Counter(
                name, help_text, registry=self._registry
            )
            self._counters[name] = metric
        metric.set(labels, value)

    def counters(
        self,
        name: str,
        help_text: str,
        label: str,
        values: collections.abc.Mapping[str, float],
    ) -> None:
        """Set a counter's total for each value of one label."""
        for key, value in values.items():
            self.counter(name, help_text, value, **{label: key})

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format, and its content type."""
        raw, headers = aioprometheus.render(self._registry, ["text/plain"])
        return raw, headers["Content-Type"]
