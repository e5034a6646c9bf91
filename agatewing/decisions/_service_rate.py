"""Measured service rate of a queue while it has a backlog."""

import collections

#: Window over which the rate is measured, in seconds.
WINDOW_S = 5.0
#: Time with a backlog, within the window, from which the measured rate is
#: used, in seconds.
MIN_BUSY_S = 1.0


class ServiceRate:
    """Measures the cost that is sent per second of backlog."""

    __slots__ = ("_sent", "_busy_spans", "_busy_since")

    def __init__(self) -> None:
        self._sent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._busy_spans: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._busy_since: float | None = None

    def record_backlog(self, has_backlog: bool, now: float) -> None:
        """Record whether requests are queued that could not be sent."""
        if has_backlog and self._busy_since is None:
            self._busy_since = now
        elif not has_backlog and self._busy_since is not None:
            self._busy_spans.append((self._busy_since, now))
            self._busy_since = None

    def record_sent(self, cost: float, now: float) -> None:
        """Record the cost of a request that was sent."""
        self._sent.append((now, cost))

    def measured_rate(self, planned_rate: float, now: float) -> float:
        """Return the measured service rate, in cost per second.

        Returns ``planned_rate`` until the backlog has lasted long enough
        for a measurement, and never less than 5 % of it.
        """
        self._expire(now)
        busy = self._busy_s(now)
        if busy < MIN_BUSY_S:
            return planned_rate
        start = now - WINDOW_S
        sent = sum(cost for at, cost in self._sent if at >= start)
        return max(sent / min(busy, WINDOW_S), planned_rate * 0.05)

    def _busy_s(self, now: float) -> float:
        start = now - WINDOW_S
        spans = list(self._busy_spans)
        if self._busy_since is not None:
            spans.append((self._busy_since, now))
        return sum(end - max(begin, start) for begin, end in spans)

    def _expire(self, now: float) -> None:
        start = now - WINDOW_S
        while self._sent and self._sent[0][0] < start:
            self._sent.popleft()
        while self._busy_spans and self._busy_spans[0][1] < start:
            self._busy_spans.popleft()
