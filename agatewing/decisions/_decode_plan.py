"""How many engines of a service are to decode, by the demand for them.

An engine either prefills long prompts, or decodes streams and prefills short
prompts between their tokens. The plan splits the engines so that the role
with less room has as much as possible, and keeps the split until a better one
is worth the time for which the engines that change serve nothing.
"""

import dataclasses
import math
import typing

from agatewing.decisions import _engines
from agatewing.decisions import _stream_demand

#: Share of the longest pause between events that an event of a full batch may
#: take; prompts that are prefilled beside it take the rest.
PLANNED_GAP_SHARE = 0.5
#: Reserve of prefill engines over decode engines: prompts differ more in size
#: than streams, and each is waited for in turn.
PREFILL_RESERVE = 1.3
#: Number of engines' worth of streams that one decode engine takes before it
#: counts as busy all the time: callers overstate how much they will read, and
#: a stream beyond the slots waits only for the first of them to end.
DECODE_OVERCOMMIT = 1.3
#: Share of the engines that decode until the demand is known.
INITIAL_DECODE_SHARE = 0.4
#: Least relative gain of a change, beside its cost.
MIN_GAIN = 0.2
#: Period over which the cost of a change is spread, in seconds: a mix of
#: requests may turn over within half a minute.
HORIZON_S = 20.0
#: Time for which an engine that changes its role serves nothing, in seconds:
#: the duration of a role change on the engines' data sheet.
ROLE_SWITCH_S = 3.0
#: Time for which a change must have had a gain, in seconds.
MIN_GAIN_DURATION_S = 0.6
#: Least time between two changes of the plan, in seconds: the demand after
#: the first change has to be seen.
MIN_INTERVAL_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineClass:
    """What the plan reads of a service's engines and its routes."""

    #: Speed and batch slots of one engine.
    speed: _engines.Speed
    #: Tokens of KV cache that one engine holds; 0 if unknown.
    kv_limit: int = 0
    #: Longest pause between events that is on time, in seconds; 0 if none is
    #: stated.
    gap_s: float = 0.0
    #: Tokens in one event of a stream.
    tokens_per_event: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoleNeeds:
    """Number of engines that the demand would keep fully busy, by role."""

    #: Work that only one of the roles does.
    prefill: float
    decode: float
    #: Work that either role does, if prefill engines do it, and how many
    #: times as long it takes decode engines.
    either: float = 0.0
    beside_factor: float = 1.0

    def utilization(self, engines: int, decode_engines: int) -> float:
        """Return how busy the role with less room is, reserve included.

        Work that either role does goes where there is room.
        """
        prefill_engines = engines - decode_engines
        if decode_engines < 1 or prefill_engines < 1:
            return float("inf")
        # Utilization of each role without the shared work, and with all.
        decode = self.decode / decode_engines
        beside = self.beside_factor * self.either / decode_engines
        prefill = PREFILL_RESERVE * self.prefill / prefill_engines
        apart = PREFILL_RESERVE * self.either / prefill_engines
        if not self.either:
            return max(decode, prefill)
        # Share of it beside streams with which both roles are as busy.
        share = (prefill + apart - decode) / (beside + apart)
        share = min(1.0, max(0.0, share))
        return max(decode + share * beside, prefill + (1 - share) * apart)

    def best_split(self, engines: int, floor: int) -> int:
        """Return the number of decode engines with the least utilization.

        At least ``floor`` decode, and one prefills.
        """
        return min(
            range(min(floor, engines - 1), engines),
            key=lambda count: self.utilization(engines, count),
        )


def _per_stream_s(speed: _engines.Speed, context_tokens: float) -> float:
    """Return what a stream with so much context adds to a step, in seconds."""
    return (
        speed.step_per_sequence_s
        + speed.step_per_k_context_s * context_tokens / 1_000
    )


def planned_batch(
    demand: _stream_demand.StreamDemand, engines: EngineClass
) -> float:
    """Return the number of streams that one decode engine is to run."""
    speed = engines.speed
    batch = float(speed.slots)
    context = demand.context_tokens
    if engines.kv_limit and context:
        memory = _engines.KV_FILL_SHARE * engines.kv_limit
        batch = min(batch, memory / context)
    per_stream_s = _per_stream_s(speed, context)
    if engines.gap_s and per_stream_s:
        step_s = PLANNED_GAP_SHARE * engines.gap_s / engines.tokens_per_event
        on_time = (step_s - speed.step_base_s) / per_stream_s
        # In a smaller batch, a step mostly takes its fixed time, so that the
        # pauses get hardly shorter while each stream costs much more.
        efficient = speed.step_base_s / per_stream_s
        batch = min(batch, max(on_time, efficient))
    return max(1.0, batch)


def role_needs(
    demand: _stream_demand.StreamDemand, engines: EngineClass
) -> RoleNeeds:
    """Return how many engines of each role the demand keeps busy."""
    speed = engines.speed
    batch = planned_batch(demand, engines)
    per_stream_s = _per_stream_s(speed, demand.context_tokens)
    step_s = speed.step_base_s + batch * per_stream_s
    apart_rate = speed.full_chunk_rate()
    beside_rate = speed.prefill_tokens_per_s * speed.decode_prefill_share
    return RoleNeeds(
        demand.apart_tokens_per_s / apart_rate,
        demand.output_tokens_per_s * step_s / batch / DECODE_OVERCOMMIT
        + demand.beside_tokens_per_s / beside_rate,
        demand.either_tokens_per_s / apart_rate,
        apart_rate / beside_rate,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class KeepSplit:
    """The planned split stays as it is."""

    #: Number of engines that are to decode.
    decode_engines: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSplit:
    """The number of engines that are to decode has changed."""

    #: Number of engines that are to decode.
    decode_engines: int
    #: Number before.
    before: int
    #: Utilization of the busier role, before and after.
    utilization: float
    utilization_after: float


SplitDecision: typing.TypeAlias = KeepSplit | ChangeSplit


@dataclasses.dataclass(frozen=True, slots=True)
class PlanBounds:
    """How far a plan may go by what is known of the demand."""

    #: Least share of its engines that each role keeps in one change.
    kept_share: float = 0.0
    #: Least share of the engines that decode.
    decode_share: float = 0.0
    #: Utilization of the busier role up to which both have room, so that
    #: roles are not changed.
    room_utilization: float = 1.0


#: Where instances hear of all requests.
FULL_VIEW_BOUNDS = PlanBounds()
#: Where they hear of a part only. Demand and speeds are then rough estimates,
#: so what a change does has to be seen before the next one, and a role counts
#: as short only if it is so beyond the error of the estimate. And engines are
#: chosen by a view that is older: streams need several times the decode
#: engines that they would keep busy, while prompts are queued.
PARTIAL_VIEW_BOUNDS = PlanBounds(0.75, INITIAL_DECODE_SHARE, 1.3)


class DecodePlanner:
    """Plans the number of decode engines of one service.

    ``floor`` is the least number, if there are enough engines.
    """

    __slots__ = ("_floor", "_share", "_changed_at", "_gain_since")

    def __init__(self, floor: int) -> None:
        self._floor = floor
        # Planned share of the engines that decode.
        self._share = INITIAL_DECODE_SHARE
        # Monotonic times of the last change, and since which a change in one
        # direction has a gain, in seconds.
        self._changed_at = float("-inf")
        self._gain_since: tuple[bool, float] | None = None

    @property
    def share(self) -> float:
        """Share of the engines that are to decode."""
        return self._share

    def adopt(self, share: float) -> None:
        """Begin with a split that another planner made."""
        self._share = min(1.0, max(0.0, share))
        self._gain_since = None

    def plan(
        self,
        engines: int,
        needs: RoleNeeds | None,
        now: float,
        bounds: PlanBounds = FULL_VIEW_BOUNDS,
    ) -> SplitDecision:
        """Return the split of ``engines``; ``now`` is a monotonic time.

        ``needs`` is ``None`` while the demand is not known.
        """
        present = self._in_bounds(engines, int(engines * self._share + 0.5))
        if needs is None or engines < 2:
            return KeepSplit(present)
        floor = max(self._floor, int(engines * bounds.decode_share + 0.5))
        best = self._within_reach(
            engines,
            present,
            self._in_bounds(engines, needs.best_split(engines, floor)),
            bounds.kept_share,
        )
        before = needs.utilization(engines, present)
        after = needs.utilization(engines, best)
        has_room = before < bounds.room_utilization
        moves = abs(best - present)
        if has_room or not self._worth_it(engines, moves, before, after):
            self._gain_since = None
            return KeepSplit(present)
        if not self._lasts(best > present, now):
            return KeepSplit(present)
        self._share = best / engines
        self._changed_at = now
        self._gain_since = None
        return ChangeSplit(best, present, before, after)

    @staticmethod
    def _within_reach(
        engines: int, present: int, best: int, kept_share: float
    ) -> int:
        """Return the split next to ``best`` that one change may lead to."""
        least = math.ceil(kept_share * present)
        most = engines - math.ceil(kept_share * (engines - present))
        return min(most, max(least, best))

    def _in_bounds(self, engines: int, count: int) -> int:
        if engines < 2:
            return engines
        return min(engines - 1, max(self._floor, count))

    def _worth_it(
        self, engines: int, moves: int, before: float, after: float
    ) -> bool:
        """Return whether a gain exceeds the time that the change costs."""
        if not moves:
            return False
        cost = moves / engines * ROLE_SWITCH_S / HORIZON_S
        return (before - after) / before > MIN_GAIN + cost

    def _lasts(self, more: bool, now: float) -> bool:
        """Return whether a change in this direction has had a gain so long."""
        if self._gain_since is None or self._gain_since[0] is not more:
            self._gain_since = (more, now)
        since = max(self._changed_at + MIN_INTERVAL_S, self._gain_since[1])
        return now - since >= MIN_GAIN_DURATION_S
