"""Speed of the engines of one service, learned from their answers.

Instances share what they measure: where there are many, each one has few
answers, and what it learned from these alone would be off by several times.

Times that an instance measures are those of the engine plus waits that it
does not see: prompts of other instances are queued before its own, prompts
are processed between the tokens of its streams, and a part of the engines is
slow. All of these only add time. So the fit is a low quantile, which follows
the engines that are neither slow nor busy as long as most are like them.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics
import typing

from agatewing.decisions import _engines
from agatewing.decisions import _target_speeds

#: Number of measurements that are kept of each kind, and their greatest age,
#: in seconds: engines are replaced by faster ones within that time.
MAX_SAMPLES = 96
MAX_AGE_S = 30.0
#: Least time between two measured streams once that many are kept, in
#: seconds. If all were kept, a busy fleet would remember the last three
#: seconds only, and take what a surge adds to all times for the speed of the
#: engines. Prompts that did not wait are rare, except where waits are not
#: known of: there, the first ones, when no prefix is cached yet, are to be
#: forgotten soon.
STREAM_SPACING_S = MAX_AGE_S / MAX_SAMPLES
#: Largest number of measurements that are shared at a time.
MAX_SHARED = 6
#: Measurements from which the number of tokens in an event is estimated.
MIN_RATIOS = 8
#: Weight of the scaled prior, as a share of the measurements: prompts of like
#: sizes do not tell the two coefficients apart.
PRIOR_WEIGHT = 0.05
#: Range of the second coefficient, in multiples of that of the scaled prior:
#: of the time per prompt token, and of what a stream adds to a step, which on
#: some engines is next to nothing.
PER_TOKEN_RANGE = (1 / 3, 3.0)
PER_STREAM_RANGE = (0.0, 400.0)
#: Rounds of the reweighted least squares.
ROUNDS = 12
#: Smallest residual that is told from zero, as a share of the measured time.
MIN_RESIDUAL = 0.01
#: Largest factor between the estimate and the prior, either way.
MAX_FACTOR = 16.0
#: Events of a stream from which its pace is measured.
MIN_EVENTS = 5
#: The same for comparing engines, which needs no exact pace.
MIN_COMPARED_EVENTS = 3
#: Batch sizes at which the prior of the step time is taken.
PRIOR_BATCHES = (1.0, 16.0, 32.0)
#: Costs of prompts at which the prior of the prefill time is taken, in tokens.
PRIOR_COSTS = (1_000.0, 4_000.0, 16_000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class FitPolicy:
    """How an estimate is made of the measured times."""

    #: Quantile of the measured times that the fit follows.
    quantile: float
    #: Measurements from which the estimate departs from the prior.
    min_samples: int
    #: Number of reports in which each measurement is shared.
    reports: int


#: Where instances hear of all requests, and know which prompts waited.
FULL_VIEW_FIT = FitPolicy(0.3, 8, 1)
#: Where they hear of a part only. Most prompts may have waited for one that
#: is not known of, so that a few of them do not show the speed.
PARTIAL_VIEW_FIT = FitPolicy(0.15, 24, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class MeasuredTime:
    """Time that an engine took, as instances tell it to each other."""

    #: Cost of a prompt in tokens, or number of streams in the batch.
    quantity: float
    #: Time of the prompt, or from one event of a stream to the next.
    seconds: float
    #: Tokens in one event; ``None`` for a prompt.
    tokens_per_event: float | None = None
    #: Key of the engine's incarnation; ``None`` if the sender did not say.
    target: int | None = None
    #: Number of events of the stream; 0 if unknown, or for a prompt.
    events: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """A measured time and the two quantities that it depends on."""

    first: float
    second: float
    seconds: float
    #: Monotonic time of the measurement, in seconds.
    at: float


class _Fit:
    """Low-quantile fit of ``seconds = a * first + b * second``."""

    __slots__ = ("_prior", "_points", "_range", "_spacing_s", "_samples")

    def __init__(
        self,
        prior: tuple[float, float],
        points: collections.abc.Iterable[tuple[float, float]],
        second_range: tuple[float, float],
        spacing_s: float = 0.0,
    ) -> None:
        self._prior = prior
        # Least time between two samples once there are many.
        self._spacing_s = spacing_s
        # Range of the second coefficient around that of the scaled prior.
        self._range = second_range
        # Values of the two quantities at which the prior is taken.
        self._points = tuple(points)
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def add(self, sample: _Sample) -> None:
        full = self.count(sample.at) == MAX_SAMPLES
        if full and sample.at - self._samples[-1].at < self._spacing_s:
            return
        self._samples.append(sample)

    def count(self, now: float) -> int:
        while self._samples and now - self._samples[0].at > MAX_AGE_S:
            self._samples.popleft()
        return len(self._samples)

    def coefficients(
        self, now: float, policy: FitPolicy
    ) -> tuple[float, float]:
        """Return ``a`` and ``b``; the prior while there are few samples."""
        if self.count(now) < policy.min_samples:
            return self._prior
        estimate = self._scaled_prior(policy.quantile)
        scaled = estimate
        samples = [*self._samples, *self._pseudo_samples(scaled, now)]
        for _ in range(ROUNDS):
            estimate = self._solve(samples, estimate, policy.quantile)
        low, high = self._range
        if not low * scaled[1] <= estimate[1] <= high * scaled[1]:
            estimate = scaled
        return self._bounded(estimate[0], 0), self._bounded(estimate[1], 1)

    def _scaled_prior(self, quantile: float) -> tuple[float, float]:
        """Return the prior, scaled to the measured times.

        The ratio of its two coefficients is kept: it is all that is known if
        the measurements are alike.
        """
        a, b = self._prior
        ratios = sorted(
            s.seconds / max(1e-9, a * s.first + b * s.second)
            for s in self._samples
        )
        scale = ratios[int(quantile * (len(ratios) - 1))]
        return a * scale, b * scale

    def _pseudo_samples(
        self, scaled: tuple[float, float], now: float
    ) -> list[_Sample]:
        return [
            _Sample(x, y, scaled[0] * x + scaled[1] * y, now)
            for x, y in self._points
        ] * round(PRIOR_WEIGHT * len(self._samples) / len(self._points) + 1)

    @staticmethod
    def _solve(
        samples: list[_Sample],
        estimate: tuple[float, float],
        quantile: float,
    ) -> tuple[float, float]:
        """Return the next estimate of the reweighted least squares."""
        xx = xy = yy = xt = yt = 0.0
        for sample in samples:
            x, y, t = sample.first, sample.second, sample.seconds
            residual = t - estimate[0] * x - estimate[1] * y
            share = quantile if residual > 0 else 1 - quantile
            # Relative errors count, so a weight has the unit of 1 / t.
            weight = share / max(abs(residual), MIN_RESIDUAL * t) / t
            xx += weight * x * x
            xy += weight * x * y
            yy += weight * y * y
            xt += weight * x * t
            yt += weight * y * t
        determinant = xx * yy - xy * xy
        if determinant <= 1e-12 * xx * yy:
            return estimate
        a = (xt * yy - yt * xy) / determinant
        b = (yt * xx - xt * xy) / determinant
        if b < 0:
            return xt / xx, 0.0
        if a < 0:
            return 0.0, yt / yy
        return a, b

    def _bounded(self, value: float, index: int) -> float:
        prior = self._prior[index]
        unbounded = index == 1 and not self._range[0]
        low = 0.0 if unbounded else prior / MAX_FACTOR
        return min(prior * MAX_FACTOR, max(low, value))


class LearnedSpeed:
    """Estimates the speed of a service's engines; ``prior`` is the first."""

    __slots__ = (
        "_prior",
        "_prior_tokens",
        "_prefill",
        "_step",
        "_ratios",
        "_unshared",
        "targets",
    )

    def __init__(self, prior: _engines.Speed, tokens_per_event: float) -> None:
        self._prior = prior
        self._prior_tokens = tokens_per_event
        self._prefill = _Fit(
            (prior.step_base_s, 1 / prior.prefill_tokens_per_s),
            [(1.0, cost) for cost in PRIOR_COSTS],
            PER_TOKEN_RANGE,
        )
        self._step = _Fit(
            (
                prior.step_base_s * tokens_per_event,
                max(prior.step_per_sequence_s, prior.step_base_s / 1_000)
                * tokens_per_event,
            ),
            [(1.0, batch) for batch in PRIOR_BATCHES],
            PER_STREAM_RANGE,
            STREAM_SPACING_S,
        )
        # Expected tokens of answers over the events that they had.
        self._ratios: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        # Own measurements that are still to be shared, the latest ones, and
        # the number of reports that each of them was in.
        self._unshared: collections.deque[tuple[MeasuredTime, int]] = (
            collections.deque(maxlen=MAX_SHARED)
        )
        #: How the engines differ in speed.
        self.targets = _target_speeds.TargetSpeeds()

    def record_prefill(
        self,
        prompt_tokens: int,
        cached: int,
        seconds: float,
        now: float,
        target: int | None = None,
    ) -> None:
        """Add the time of a prompt that a prefill engine began at once.

        As far as is known: that nothing was before it, and that ``cached`` of
        its tokens were. ``target`` is the key of the engine's incarnation.
        """
        if seconds <= 0 or cached >= prompt_tokens:
            return
        cost = self._prior.prefill_cost_tokens(prompt_tokens, cached)
        self._record_own(MeasuredTime(cost, seconds, target=target), now)

    def record_stream(
        self,
        batch: float,
        events: int,
        expected_tokens: int,
        seconds: float,
        now: float,
        target: int | None = None,
    ) -> None:
        """Add a complete stream of an engine that decoded ``batch`` streams.

        ``seconds`` is the time from its first to its last event.
        ``expected_tokens`` is its length as its caller estimated it.
        ``target`` is the key of the engine's incarnation.
        """
        if events < MIN_COMPARED_EVENTS or seconds <= 0:
            return
        measured = MeasuredTime(
            batch,
            seconds / (events - 1),
            expected_tokens / events,
            target,
            events,
        )
        self._record_own(measured, now)

    def _record_own(self, measured: MeasuredTime, now: float) -> None:
        self._unshared.append((measured, 0))
        self.merge(measured, now)

    def merge(self, measured: MeasuredTime, now: float) -> None:
        """Add a measurement of this instance or of another one.

        One that cannot be is left out.
        """
        ratio = measured.tokens_per_event
        if measured.seconds <= 0 or measured.quantity < 0:
            return
        if ratio is not None and not 0 < ratio < math.inf:
            return
        self._merge_target(measured, now)
        sample = _Sample(1.0, measured.quantity, measured.seconds, now)
        if ratio is None:
            self._prefill.add(sample)
            return
        if 0 < measured.events < MIN_EVENTS:
            return
        self._ratios.append(ratio)
        self._step.add(sample)

    def _merge_target(self, measured: MeasuredTime, now: float) -> None:
        if measured.target is None:
            return
        kind = _target_speeds.AnswerKind.DECODE
        if measured.tokens_per_event is None:
            kind = _target_speeds.AnswerKind.PREFILL
        answer = _target_speeds.AnswerTime(measured.quantity, measured.seconds)
        self.targets.add(measured.target, kind, answer, now)

    def take_unshared(
        self, policy: FitPolicy = FULL_VIEW_FIT
    ) -> list[MeasuredTime]:
        """Return the own measurements for the next report."""
        taken = [measured for measured, _ in self._unshared]
        left = [
            (measured, reports + 1)
            for measured, reports in self._unshared
            if reports + 1 < policy.reports
        ]
        self._unshared.clear()
        self._unshared.extend(left)
        return taken

    def tokens_per_event(self) -> float:
        """Return the tokens in one event; callers are right at the median."""
        if len(self._ratios) < MIN_RATIOS:
            return self._prior_tokens
        return max(1.0, float(round(statistics.median(self._ratios))))

    def samples(self, now: float) -> tuple[int, int]:
        """Return the number of prompts and of streams that were measured."""
        return self._prefill.count(now), self._step.count(now)

    def speed(
        self, now: float, policy: FitPolicy = FULL_VIEW_FIT
    ) -> _engines.Speed:
        """Return a new estimate, made as ``policy`` says.

        What the context adds to a step is a part of what a stream adds, once
        that is measured. The relative cost of attention stays the assumed
        one; an error of it is made up for by the rate.
        """
        prefills, streams = self.samples(now)
        changes: dict[str, typing.Any] = {}
        step_s = self._prior.step_base_s
        if streams >= policy.min_samples:
            base, per_stream = self._step.coefficients(now, policy)
            tokens = self.tokens_per_event()
            step_s = base / tokens
            changes["step_base_s"] = step_s
            changes["step_per_sequence_s"] = per_stream / tokens
            changes["step_per_k_context_s"] = 0.0
        if prefills >= policy.min_samples:
            base, per_token = self._prefill.coefficients(now, policy)
            # The time of the steps in which a prompt is prefilled is counted
            # apart.
            per_token -= min(
                per_token / 2, step_s / self._prior.full_chunk_tokens
            )
            changes["prefill_base_s"] = max(0.0, base - step_s)
            changes["prefill_tokens_per_s"] = 1 / per_token
        return dataclasses.replace(self._prior, **changes)
