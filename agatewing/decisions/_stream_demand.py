"""Rates at which callers demand work of the engines of one service."""

import dataclasses
import enum
import math

#: Time constant of the moving average of a rate, in seconds: three times as
#: long as a role change takes, so that roles do not follow a burst which is
#: over when the engine is back.
AVERAGE_S = 9.0
#: Time with requests from which a rate is used, in seconds.
MIN_OBSERVED_S = 1.0


class PrefillPlace(enum.Enum):
    """Engines that may prefill a prompt."""

    #: Prefill engines only; it would delay the streams beside it.
    APART = enum.auto()
    #: Engines of either role.
    EITHER = enum.auto()
    #: Decode engines; it is too short for a second send.
    BESIDE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class StreamDemand:
    """Work that callers demand of a service's engines, a second."""

    #: Cost of prompts that only prefill engines prefill, in prompt tokens a
    #: second.
    apart_tokens_per_s: float = 0.0
    #: Cost of prompts that engines of either role prefill, likewise.
    either_tokens_per_s: float = 0.0
    #: Cost of prompts that are always prefilled beside streams, likewise.
    beside_tokens_per_s: float = 0.0
    #: Tokens to generate, a second.
    output_tokens_per_s: float = 0.0
    #: Sum of output tokens times prompt tokens of the requests, a second.
    context_per_s: float = 0.0

    @property
    def context_tokens(self) -> float:
        """Mean length of the prompts of the streams that decode at a time."""
        if not self.output_tokens_per_s:
            return 0.0
        return self.context_per_s / self.output_tokens_per_s

    def plus(self, other: "StreamDemand") -> "StreamDemand":
        """Return the sum of two demands."""
        return StreamDemand(
            self.apart_tokens_per_s + other.apart_tokens_per_s,
            self.either_tokens_per_s + other.either_tokens_per_s,
            self.beside_tokens_per_s + other.beside_tokens_per_s,
            self.output_tokens_per_s + other.output_tokens_per_s,
            self.context_per_s + other.context_per_s,
        )

    def times(self, factor: float) -> "StreamDemand":
        """Return a multiple of this demand."""
        return StreamDemand(
            self.apart_tokens_per_s * factor,
            self.either_tokens_per_s * factor,
            self.beside_tokens_per_s * factor,
            self.output_tokens_per_s * factor,
            self.context_per_s * factor,
        )


class StreamDemandMeter:
    """Averages the demand of one instance's callers.

    The average is exponential, and complete from the first seconds on: it is
    divided by the weight of the time that was observed. That time begins with
    the first request at any instance: if each instance began with its own,
    those with few requests would overstate their rate.
    """

    __slots__ = ("_sums", "_started_at", "_at")

    def __init__(self) -> None:
        self._sums = StreamDemand()
        # Monotonic times of the begin and of the last request, in seconds.
        self._started_at = math.inf
        self._at = math.inf

    def start(self, now: float) -> None:
        """Begin to observe: some instance has requests."""
        self._started_at = min(self._started_at, now)

    def add(
        self,
        prefill_tokens: float,
        place: PrefillPlace,
        prompt_tokens: int,
        output_tokens: int,
        now: float,
    ) -> None:
        """Add one request, also one that is refused.

        ``prefill_tokens`` is the cost of what is not cached of its prompt of
        ``prompt_tokens``; ``place`` says which engines may prefill it.
        """
        self.start(now)
        self._sums = self._decayed(now).plus(
            StreamDemand(
                prefill_tokens * (place is PrefillPlace.APART),
                prefill_tokens * (place is PrefillPlace.EITHER),
                prefill_tokens * (place is PrefillPlace.BESIDE),
                output_tokens,
                output_tokens * prompt_tokens,
            )
        )
        self._at = now

    def _decayed(self, now: float) -> StreamDemand:
        if self._at > now:
            return self._sums
        return self._sums.times(math.exp((self._at - now) / AVERAGE_S))

    def demand(self, now: float) -> StreamDemand | None:
        """Return the present demand; ``None`` until it was observed."""
        observed_s = now - self._started_at
        if observed_s < MIN_OBSERVED_S:
            return None
        weight_s = AVERAGE_S * -math.expm1(-observed_s / AVERAGE_S)
        return self._decayed(now).times(1 / weight_s)


def fleet_demand(
    own: StreamDemand | None,
    peers: list[StreamDemand],
    instances: int,
) -> StreamDemand | None:
    """Return the demand of all instances; ``None`` if none is known.

    ``peers`` are the demands that other instances reported. ``instances`` is
    the number of all; those not heard from are taken to be like the others.
    """
    known = [*peers, *([own] if own is not None else [])]
    if not known:
        return None
    total = StreamDemand()
    for demand in known:
        total = total.plus(demand)
    return total.times(max(1.0, instances / len(known)))
