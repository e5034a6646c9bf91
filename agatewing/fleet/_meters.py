"""Sliding rates of the work that callers ask for."""

import collections

from agatewing import decisions

#: Length of one bucket, in seconds.
BUCKET_S = 1.0
#: Buckets that make up a rate.
BUCKETS = 10


class DemandMeter:
    """Tokens asked for a second, over the last whole buckets."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, list[float]]] = (
            collections.deque(maxlen=BUCKETS + 1)
        )

    def add(self, prefill: float, decode: float, now: float) -> None:
        """Count the tokens of one request."""
        number = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, [0.0, 0.0, 0.0]))
        sums = self._buckets[-1][1]
        sums[0] += prefill
        sums[1] += decode
        sums[2] += 1

    def demand(self, now: float) -> decisions.TokenDemand:
        """Return the demand in tokens a second."""
        sums = self._sums(now)
        return decisions.TokenDemand(sums[0], sums[1])

    def requests_per_s(self, now: float) -> float:
        """Return requests a second."""
        return self._sums(now)[2]

    def _sums(self, now: float) -> list[float]:
        current = int(now / BUCKET_S)
        totals = [0.0, 0.0, 0.0]
        for number, sums in self._buckets:
            if current - BUCKETS <= number < current:
                totals = [a + b for a, b in zip(totals, sums, strict=True)]
        return [total / (BUCKETS * BUCKET_S) for total in totals]


class LengthEstimate:
    """Expected share of ``max_tokens`` that an answer uses, a caller."""

    __slots__ = ("_shares",)

    #: Smoothing of one observation.
    ALPHA = 0.1
    #: Callers remembered.
    LIMIT = 4_096

    def __init__(self) -> None:
        self._shares: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def expected(self, caller: str, max_tokens: int) -> int:
        """Return the expected tokens of an answer."""
        return max(1, round(self._shares.get(caller, 1.0) * max_tokens))

    def observe(self, caller: str, max_tokens: int, tokens: int) -> None:
        """Learn the true length of an answer."""
        share = tokens / max(1, max_tokens)
        old = self._shares.get(caller, share)
        self._shares[caller] = old + self.ALPHA * (share - old)
        self._shares.move_to_end(caller)
        if len(self._shares) > self.LIMIT:
            self._shares.popitem(last=False)
