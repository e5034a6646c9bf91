"""Rates of requested tokens, and expected lengths of answers."""

import collections

from agatewing import decisions

#: Duration of one bucket of a rate, in seconds.
BUCKET_S = 1.0
#: Number of whole buckets over which a rate is averaged.
BUCKETS = 10


class DemandMeter:
    """Rates of requested tokens and of requests.

    A rate is the average over the last ``BUCKETS`` whole buckets; the
    current bucket is left out because it is not full yet.
    """

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, list[float]]] = (
            collections.deque(maxlen=BUCKETS + 1)
        )

    def add(self, prefill: float, decode: float, now: float) -> None:
        """Count one request with its prefill and decode tokens."""
        bucket = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append((bucket, [0.0, 0.0, 0.0]))
        sums = self._buckets[-1][1]
        sums[0] += prefill
        sums[1] += decode
        sums[2] += 1

    def demand(self, now: float) -> decisions.TokenDemand:
        """Return the requested prefill and decode tokens per second."""
        sums = self._sums(now)
        return decisions.TokenDemand(sums[0], sums[1])

    def requests_per_s(self, now: float) -> float:
        """Return the rate of requests per second."""
        return self._sums(now)[2]

    def _sums(self, now: float) -> list[float]:
        current = int(now / BUCKET_S)
        totals = [0.0, 0.0, 0.0]
        for bucket, sums in self._buckets:
            if current - BUCKETS <= bucket < current:
                totals = [a + b for a, b in zip(totals, sums, strict=True)]
        return [total / (BUCKETS * BUCKET_S) for total in totals]


class LengthEstimate:
    """Expected answer lengths, as a share of ``max_tokens`` per caller."""

    __slots__ = ("_shares",)

    #: Weight of a new observation in the moving average of a caller.
    SMOOTHING_FACTOR = 0.1
    #: Callers remembered; the one observed longest ago is dropped first.
    MAX_CALLERS = 4_096

    def __init__(self) -> None:
        self._shares: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def expected(self, caller: str, max_tokens: int) -> int:
        """Return the expected length of an answer, in tokens.

        It is ``max_tokens`` for a caller without observations.
        """
        return max(1, round(self._shares.get(caller, 1.0) * max_tokens))

    def observe(self, caller: str, max_tokens: int, tokens: int) -> None:
        """Update the average of a caller with the length of an answer."""
        share = tokens / max(1, max_tokens)
        average = self._shares.get(caller, share)
        self._shares[caller] = average + self.SMOOTHING_FACTOR * (
            share - average
        )
        self._shares.move_to_end(caller)
        if len(self._shares) > self.MAX_CALLERS:
            self._shares.popitem(last=False)
