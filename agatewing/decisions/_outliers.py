"""Find targets that are alive but slow, and ease them off."""

import dataclasses
import statistics

#: Smoothing of one measurement.
ALPHA = 0.15
#: A target this many times slower than the median is an outlier.
THRESHOLD = 1.8
#: Least share of normal work, by which a target is probed again.
FLOOR = 0.05
#: Measurements before a target is judged.
MIN_SAMPLES = 5
#: Time after which a measurement loses half its weight, in seconds.
HALF_LIFE_S = 30.0
#: Largest ratio that one measurement counts with.
LIMIT = 20.0


@dataclasses.dataclass(slots=True)
class Pace:
    """Measured over expected time of one target."""

    #: Smoothed ratio; 1 is as expected.
    ratio: float = 1.0
    #: Number of measurements.
    samples: int = 0
    #: Monotonic time of the last one.
    at: float = 0.0
    #: Smoothing of one measurement.
    alpha: float = ALPHA
    #: Time after which a measurement loses half its weight, in seconds.
    half_life_s: float = HALF_LIFE_S
    #: Largest ratio that one measurement counts with.
    limit: float = LIMIT

    def observe(self, ratio: float, now: float) -> None:
        """Take one measurement in."""
        bounded = min(self.limit, max(0.05, ratio))
        self.ratio += self.alpha * (bounded - self.ratio)
        self.samples += 1
        self.at = now

    def current(self, now: float) -> float:
        """Return the ratio, which fades to 1 while unmeasured."""
        age = max(0.0, now - self.at)
        fade = 0.5 ** (age / self.half_life_s)
        return 1.0 + (self.ratio - 1.0) * fade


def ease(paces: dict[str, Pace], now: float) -> dict[str, float]:
    """Return the share of normal work for each target."""
    ratios = {
        name: pace.current(now)
        for name, pace in paces.items()
        if pace.samples >= MIN_SAMPLES
    }
    shares = dict.fromkeys(paces, 1.0)
    if len(ratios) < 3:
        return shares
    median = statistics.median(ratios.values())
    for name, ratio in ratios.items():
        if ratio > THRESHOLD * median:
            shares[name] = max(FLOOR, (median / ratio) ** 2)
    return shares
