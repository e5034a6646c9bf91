"""Find targets that answer but are slow, and reduce their traffic."""

import dataclasses
import statistics

#: Weight of a new measurement in the moving average.
SMOOTHING_FACTOR = 0.15
#: A target that is this many times slower than the median is an outlier.
OUTLIER_THRESHOLD = 1.8
#: Smallest share of normal traffic; it shows when a target has recovered.
MIN_TRAFFIC_SHARE = 0.05
#: Measurements required before a target can count as an outlier.
MIN_SAMPLES = 5
#: Time after which a measured deviation counts half, in seconds.
HALF_LIFE_S = 30.0
#: Largest ratio that a single measurement can count with; the smallest is
#: 0.05.
MAX_RATIO = 20.0


@dataclasses.dataclass(slots=True)
class SmoothedRatio:
    """Moving average of the ratio of measured to expected duration."""

    #: Averaged ratio; 1 is as expected.
    ratio: float = 1.0
    #: Number of measurements.
    samples: int = 0
    #: Monotonic time of the last measurement, in seconds.
    at: float = 0.0
    #: Weight of a new measurement in the moving average.
    alpha: float = SMOOTHING_FACTOR
    #: Time after which a measured deviation counts half, in seconds.
    half_life_s: float = HALF_LIFE_S
    #: Largest ratio that a single measurement can count with.
    limit: float = MAX_RATIO

    def observe(self, ratio: float, now: float) -> None:
        """Add one measured ratio; ``now`` is a monotonic time in seconds."""
        bounded = min(self.limit, max(0.05, ratio))
        self.ratio += self.alpha * (bounded - self.ratio)
        self.samples += 1
        self.at = now

    def current(self, now: float) -> float:
        """Return the ratio, which decays to 1 without new measurements."""
        age = max(0.0, now - self.at)
        decay = 0.5 ** (age / self.half_life_s)
        return 1.0 + (self.ratio - 1.0) * decay


def traffic_shares(
    measured: dict[str, SmoothedRatio], now: float
) -> dict[str, float]:
    """Return the share of normal traffic for each target, up to 1.

    Fewer than three measured targets are too few to find outliers.
    """
    ratios = {
        name: average.current(now)
        for name, average in measured.items()
        if average.samples >= MIN_SAMPLES
    }
    shares = dict.fromkeys(measured, 1.0)
    if len(ratios) < 3:
        return shares
    median = statistics.median(ratios.values())
    for name, ratio in ratios.items():
        if ratio > OUTLIER_THRESHOLD * median:
            shares[name] = max(MIN_TRAFFIC_SHARE, (median / ratio) ** 2)
    return shares
