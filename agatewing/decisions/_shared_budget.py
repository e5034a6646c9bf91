"""Retries as a bounded share of requests, summed over all instances.

Pattern answered: targets of a service fail and every instance retries at
once. Each instance spends a share of its own requests and an equal part of
the constant allowance, so that the sum keeps the bound without any
exchange, also while instances cannot reach each other.
"""

import collections
import dataclasses

#: Share of the bound that is spent, for requests that are counted in a
#: window other than that of their repeats.
SPENT_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBound:
    """The bound that holds over all instances together."""

    #: Repeats for each request.
    ratio: float
    #: Repeats that are always allowed in a window.
    slack: float
    #: Length of the sliding window, in seconds.
    window_s: float


class _Account:
    """Requests and repeats of one service, as times."""

    __slots__ = ("requests", "repeats")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def expire(self, start: float) -> None:
        """Forget what happened before ``start``."""
        for times in (self.requests, self.repeats):
            while times and times[0] < start:
                times.popleft()


class SharedRetryBudget:
    """One instance's part of a budget that all instances share."""

    __slots__ = ("bound", "_accounts", "instances", "refused")

    def __init__(self, bound: BudgetBound) -> None:
        #: The bound over all instances.
        self.bound = bound
        self._accounts: dict[str, _Account] = {}
        #: Instances that may spend of the same budget, this one included.
        self.instances = 1
        #: Repeats that the budget did not allow.
        self.refused = 0

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._account(service, now).requests.append(now)

    def take(self, service: str, now: float) -> bool:
        """Spend one repeat; return whether it is allowed."""
        if not self.left(service, now):
            self.refused += 1
            return False
        self._account(service, now).repeats.append(now)
        return True

    def left(self, service: str, now: float) -> bool:
        """Return whether one repeat could be spent now."""
        account = self._account(service, now)
        own = self.bound.ratio * len(account.requests)
        slack = self.bound.slack / max(1, self.instances)
        return len(account.repeats) + 1 <= SPENT_SHARE * (own + slack)

    def _account(self, service: str, now: float) -> _Account:
        account = self._accounts.setdefault(service, _Account())
        account.expire(now - self.bound.window_s)
        return account
