"""Retries as a bounded share of first tries, with jittered backoff."""

import random

#: Retries allowed for each first try.
RATIO = 0.1
#: Retries that may be saved up.
BURST = 10.0
#: First and longest pause before a retry, in seconds.
PAUSE_FIRST_S = 0.02
PAUSE_LIMIT_S = 1.0


class RetryBudget:
    """Keeps retries from multiplying the load in an outage."""

    __slots__ = ("_tokens", "_random", "refused")

    def __init__(self, rng: random.Random) -> None:
        self._tokens = BURST
        self._random = rng
        #: Retries that the budget did not allow.
        self.refused = 0

    def note_first_try(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BURST, self._tokens + RATIO)

    def take(self) -> bool:
        """Spend one retry; return whether it is allowed."""
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        return True

    def pause_s(self, attempt: int) -> float:
        """Return the pause before retry number ``attempt``, from 1."""
        longest = min(PAUSE_LIMIT_S, PAUSE_FIRST_S * 2**attempt)
        return self._random.uniform(0, longest)
