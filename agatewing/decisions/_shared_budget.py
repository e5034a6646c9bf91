"""Retry budget with a bound over all instances together.

When the targets of a service fail, all instances retry at once. Each
instance may use a share of its own requests and an equal part of the
constant allowance. So the sum of retries keeps the bound without
communication, also while instances cannot reach each other.
"""

import collections
import dataclasses

#: Share of the bound that may be used. The rest allows for requests that are
#: not counted in the same window as their retries.
USABLE_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBound:
    """The bound that holds over all instances together."""

    #: Retries for each request.
    ratio: float
    #: Retries in a window that are allowed without any request.
    slack: float
    #: Length of the sliding window, in seconds.
    window_s: float


class _Window:
    """Monotonic times of recent requests and retries of one service."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def expire(self, start: float) -> None:
        """Remove what happened before ``start``."""
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()


class SharedRetryBudget:
    """The part of one instance in a budget that all instances share."""

    __slots__ = ("bound", "_windows", "instances", "refused")

    def __init__(self, bound: BudgetBound) -> None:
        #: The bound over all instances.
        self.bound = bound
        self._windows: dict[str, _Window] = {}
        #: Number of instances that share the budget, this one included.
        self.instances = 1
        #: Number of retries that the budget did not allow.
        self.refused = 0

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller for a service."""
        self._window(service, now).requests.append(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Use one retry of the budget; return whether it is allowed."""
        if not self.allows_retry(service, now):
            self.refused += 1
            return False
        self._window(service, now).retries.append(now)
        return True

    def allows_retry(self, service: str, now: float) -> bool:
        """Return whether the budget allows one retry now."""
        window = self._window(service, now)
        own_allowance = self.bound.ratio * len(window.requests)
        slack = self.bound.slack / max(1, self.instances)
        return len(window.retries) + 1 <= USABLE_SHARE * (
            own_allowance + slack
        )

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self.bound.window_s)
        return window
