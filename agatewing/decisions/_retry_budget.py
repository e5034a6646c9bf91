"""Retry budget in proportion to first tries, and jittered backoff."""

import random

#: Retries that each first try adds to the budget.
RETRIES_PER_FIRST_TRY = 0.1
#: Largest number of unused retries in the budget.
MAX_SAVED_RETRIES = 10.0
#: The backoff before retry n is random, up to BACKOFF_BASE_S * 2**n and at
#: most BACKOFF_LIMIT_S, in seconds.
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0


class RetryBudget:
    """Limits retries, so that they don't multiply the load in an outage."""

    __slots__ = ("_tokens", "_random", "refused")

    def __init__(self, rng: random.Random) -> None:
        self._tokens = MAX_SAVED_RETRIES
        self._random = rng
        #: Number of retries that the budget did not allow.
        self.refused = 0

    def record_first_try(self) -> None:
        """Count a first try, which adds to the budget."""
        self._tokens = min(
            MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_FIRST_TRY
        )

    def try_spend(self) -> bool:
        """Use one retry of the budget; return whether it is allowed."""
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        return True

    def backoff_s(self, retry_number: int) -> float:
        """Return the backoff before a retry, in seconds.

        ``retry_number`` counts the retries of a request from 1.
        """
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**retry_number)
        return self._random.uniform(0, limit_s)
