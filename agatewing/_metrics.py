"""Metrics of one instance, filled in when they are read."""

import collections.abc

import aioprometheus

#: Upper bounds of the buckets of times, in seconds.
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
    """Gauges and counters with units in their names."""

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
        #: Time from a request to its first event.
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

    def gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set a value that goes up and down."""
        metric = self._gauges.get(name)
        if metric is None:
            metric = aioprometheus.Gauge(name, doc, registry=self._registry)
            self._gauges[name] = metric
        metric.set(labels, value)

    def counter(
        self, name: str, doc: str, value: float, **labels: str
    ) -> None:
        """Set a total that only grows."""
        metric = self._counters.get(name)
        if metric is None:
            metric = aioprometheus.Counter(name, doc, registry=self._registry)
            self._counters[name] = metric
        metric.set(labels, value)

    def counters(
        self,
        name: str,
        doc: str,
        label: str,
        values: collections.abc.Mapping[str, float],
    ) -> None:
        """Set one total for each value of a label."""
        for key, value in values.items():
            self.counter(name, doc, value, **{label: key})

    def render(self) -> tuple[bytes, str]:
        """Return the text format and its content type."""
        raw, headers = aioprometheus.render(self._registry, ["text/plain"])
        return raw, headers["Content-Type"]
