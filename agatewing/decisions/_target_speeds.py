"""Speed of each target of a service, where they differ for good.

The service's speed, see :mod:`agatewing.decisions._learned_speed`, follows
the faster targets. What a target takes longer than that is learned of its own
answers, from its start on; slowness that comes and goes is measured apart,
against the speed that is learned here.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics

from agatewing.decisions import _engines

#: Number of answers of a target that are kept of each kind.
MAX_SAMPLES = 24
#: Least time between two of them once there are as many, in seconds. They
#: then span three quarters of a minute, so that a target which is slow for
#: some seconds, or overloaded, is not taken for one that is slow for good.
SPACING_S = 2.0
#: Answers of a target from which its speed is estimated.
MIN_SAMPLES = 4
#: Targets with so many answers from which speeds are compared: among two,
#: nothing shows which one differs.
MIN_TARGETS = 3
#: Number of answers as which the middle of the targets counts.
PRIOR_SAMPLES = 1
#: Ratio of the times of a slower target to those of a faster one from which
#: targets are not alike; the estimates of alike ones differ by up to a fifth.
MIN_SPREAD = 1.25
#: Share of the targets that are slower, or faster, than the two compared.
SPREAD_SHARE = 0.2
#: Bounds of a target's time, as a multiple of the service's: engines of two
#: generations differ by less.
MIN_TIME_FACTOR = 0.5
MAX_TIME_FACTOR = 3.0


class AnswerKind(enum.Enum):
    """What was measured of an answer."""

    #: Time of a prompt that a prefill engine began at once.
    PREFILL = enum.auto()
    #: Time from one event of a stream to the next.
    DECODE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTime:
    """A measured time and what it depends on."""

    #: Cost of the prompt in tokens, or number of streams in the batch.
    quantity: float
    #: Time of the prompt, or from one event to the next.
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimeFactors:
    """Times of a target, as multiples of those by its service's speed."""

    #: Of prompts.
    prefill: float = 1.0
    #: Of steps that decode.
    decode: float = 1.0
    #: Number of answers that they are estimated from; 0 if the target counts
    #: as the middle of its service.
    samples: int = 0

    def scaled(self, speed: _engines.Speed) -> _engines.Speed:
        """Return the speed of the target; ``speed`` is the service's."""
        if self.prefill == self.decode == 1.0:
            return speed
        return dataclasses.replace(
            speed,
            prefill_tokens_per_s=speed.prefill_tokens_per_s / self.prefill,
            prefill_base_s=speed.prefill_base_s * self.prefill,
            step_base_s=speed.step_base_s * self.decode,
            step_per_sequence_s=speed.step_per_sequence_s * self.decode,
            step_per_k_context_s=speed.step_per_k_context_s * self.decode,
        )


ALIKE = TimeFactors()


class TargetSpeeds:
    """Learns how the targets of one service differ in speed."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        # Answers by key of the target's incarnation and by kind, and the
        # monotonic time of the last one, in seconds.
        self._samples: dict[
            tuple[int, AnswerKind],
            tuple[collections.deque[AnswerTime], float],
        ] = {}

    def add(
        self, target: int, kind: AnswerKind, answer: AnswerTime, now: float
    ) -> None:
        """Add an answer of this instance or of another one.

        ``target`` is the key of the target's incarnation.
        """
        kept, at = self._samples.get(
            (target, kind), (collections.deque(maxlen=MAX_SAMPLES), now)
        )
        if len(kept) == MAX_SAMPLES and now - at < SPACING_S:
            return
        kept.append(answer)
        self._samples[target, kind] = kept, now

    def retain(self, targets: collections.abc.Set[int]) -> None:
        """Forget all targets but these."""
        gone = [key for key in self._samples if key[0] not in targets]
        for key in gone:
            del self._samples[key]

    def factors(
        self,
        targets: collections.abc.Set[int],
        speed: _engines.Speed,
        tokens_per_event: float,
        quantile: float,
    ) -> dict[int, TimeFactors]:
        """Return the factors of ``targets``, by key.

        ``speed`` is that of the service, fitted to the given quantile of the
        answers. All are 1 if the targets are alike.
        """
        counts = {
            key: sum(
                len(self._samples[key, kind][0])
                for kind in AnswerKind
                if (key, kind) in self._samples
            )
            for key in targets
        }
        found = {
            kind: self._ratios(
                kind, targets, speed, tokens_per_event, quantile
            )
            for kind in AnswerKind
        }
        found = {k: v if _differ(v.values()) else {} for k, v in found.items()}
        if not any(found.values()):
            return dict.fromkeys(targets, ALIKE)
        middles = {
            kind: statistics.median(ratios.values()) if ratios else 1.0
            for kind, ratios in found.items()
        }
        result = {}
        for key in targets:
            values = {}
            for kind, other in (
                (AnswerKind.PREFILL, AnswerKind.DECODE),
                (AnswerKind.DECODE, AnswerKind.PREFILL),
            ):
                # What is not known of one kind is taken from the other: an
                # engine that changes its role is as fast in the new one.
                relative = found[other].get(key, middles[other])
                relative /= middles[other]
                value = found[kind].get(key, middles[kind] * relative)
                values[kind] = min(
                    MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, value)
                )
            result[key] = TimeFactors(
                values[AnswerKind.PREFILL],
                values[AnswerKind.DECODE],
                counts[key],
            )
        return result

    def _ratios(
        self,
        kind: AnswerKind,
        targets: collections.abc.Set[int],
        speed: _engines.Speed,
        tokens_per_event: float,
        quantile: float,
    ) -> dict[int, float]:
        """Return the times of targets as multiples of the expected ones.

        Targets with few answers are left out. Waits only add time, so a low
        quantile of a target's answers counts; with few answers, it is drawn
        towards the middle of the targets.
        """
        ratios: dict[int, tuple[float, int]] = {}
        for key in targets:
            answers, _ = self._samples.get((key, kind), ((), 0.0))
            if len(answers) < MIN_SAMPLES:
                continue
            ordered = sorted(
                a.seconds / _expected_s(kind, a, speed, tokens_per_event)
                for a in answers
            )
            ratio = ordered[int(quantile * (len(ordered) - 1))]
            ratios[key] = ratio, len(ordered)
        if len(ratios) < MIN_TARGETS:
            return {}
        middle = statistics.median(ratio for ratio, _ in ratios.values())
        return {
            key: middle * (ratio / middle) ** (count / (count + PRIOR_SAMPLES))
            for key, (ratio, count) in ratios.items()
        }


def _expected_s(
    kind: AnswerKind,
    answer: AnswerTime,
    speed: _engines.Speed,
    tokens_per_event: float,
) -> float:
    """Return the expected time of an answer by the service's speed."""
    match kind:
        case AnswerKind.PREFILL:
            seconds = answer.quantity / speed.full_chunk_rate()
            seconds += speed.step_base_s + speed.prefill_base_s
        case AnswerKind.DECODE:
            seconds = tokens_per_event * speed.step_s(answer.quantity)
    return max(1e-6, seconds)


def _differ(ratios: collections.abc.Iterable[float]) -> bool:
    """Return whether targets with these times are not alike."""
    ordered = sorted(ratios)
    if len(ordered) < MIN_TARGETS:
        return False
    last = len(ordered) - 1
    low = ordered[math.floor(SPREAD_SHARE * last)]
    high = ordered[math.ceil((1 - SPREAD_SHARE) * last)]
    return high > MIN_SPREAD * low


def mean_factors(
    factors: collections.abc.Collection[TimeFactors],
) -> TimeFactors:
    """Return the factors of targets that serve as much as these on average."""
    if not factors:
        return ALIKE
    return TimeFactors(
        statistics.harmonic_mean([f.prefill for f in factors]),
        statistics.harmonic_mean([f.decode for f in factors]),
        sum(f.samples for f in factors),
    )
