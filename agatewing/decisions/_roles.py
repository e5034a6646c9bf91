"""Plan the roles of engines from the demand for tokens.

control/ uses this plan; gateway/ uses the plan with a fixed share of decode
engines, see :mod:`agatewing.decisions._role_plan`.

Engines of role decode process prompts as well, in the same small chunks as
mixed ones; the router sends them what exceeds the prefill engines'
capacity.

A mixed engine that prefills ``prefill_rate`` and decodes ``decode_rate``
tokens per second has steps of ``step`` seconds. Its batch has
``decode_rate * step`` sequences, its chunk has ``prefill_rate * step``
tokens, and with the engine's :class:`Speed`::

    step = step_base_s / (
        1 - step_per_sequence_s * decode_rate
        - prefill_rate / prefill_tokens_per_s
    )
"""

import collections
import dataclasses
import typing

from agatewing import _types
from agatewing.decisions import _engines

#: Longest step planned for a mixed engine, in seconds. The limit on the
#: time between tokens is 61 ms, but the deadlines of whole answers need
#: shorter steps.
MIXED_STEP_LIMIT_S = 0.035
#: Share of its capacity that an engine is planned to use.
PLANNED_USE = 0.9
#: Period over which a role change is judged, in seconds: the loss during its
#: downtime is spread over this period.
HORIZON_S = 120.0
#: Time for which an engine serves nothing during a role change, in seconds.
ROLE_CHANGE_DOWNTIME_S = 8.0
#: Price of a role change at goodput weight 0, in multiples of one engine's
#: share of the goodput.
ROLE_CHANGE_PRICE = 2.0
#: Shortest time between two role changes in one pool, in seconds.
MIN_INTERVAL_S = 10.0
#: Time for which a role change must have a gain before it is made, in
#: seconds.
MIN_GAIN_DURATION_S = 10.0
#: Steps of the bisection that finds the served share.
BISECTION_STEPS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDemand:
    """Token rates that callers demand of a pool."""

    #: Prompt tokens per second, without prefix cache hit tokens.
    prefill_tokens_per_s: float
    #: Output tokens per second.
    decode_tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEngine:
    """What :class:`RolePlanner` reads of an engine."""

    #: Name.
    name: str
    #: Its role, or the one it is changing to.
    role: _types.Role
    #: Roles that the operators allow.
    allowed: tuple[_types.Role, ...]
    #: Whether its role may be changed now: no change is in progress, and an
    #: order may be issued.
    changeable: bool = True
    #: Number of sequences on it.
    sequences: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RolePolicy:
    """The operators' preference between goodput and few role changes."""

    #: Weight of goodput, 0 to 1. The weight of the price of a role change is
    #: 1 minus this.
    goodput_weight: float
    #: Smallest number of engines that can prefill, and that can decode.
    floor: int = 1
    #: Period over which a role change is judged, in seconds: the loss during
    #: its downtime is spread over this period.
    horizon_s: float = HORIZON_S
    #: Whether any gain is enough, whatever the change costs.
    ignore_change_cost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCounts:
    """Number of engines of each role."""

    prefill: int
    decode: int
    mixed: int

    @property
    def total(self) -> int:
        """Number of all engines."""
        return self.prefill + self.decode + self.mixed


@dataclasses.dataclass(frozen=True, slots=True)
class KeepRoles:
    """No role change is to be made now."""

    #: Share of the demand that the present roles serve.
    served: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """The role of one engine is to be changed."""

    #: Name of the engine.
    engine: str
    #: Its new role.
    role: _types.Role
    #: Shares of the demand that are served now, and after the change.
    served: float
    served_after: float


RoleDecision: typing.TypeAlias = KeepRoles | ChangeRole


def prefill_capacity(speed: _engines.Speed) -> float:
    """Return the planned prefill rate of a prefill engine, in tokens/s."""
    chunk = speed.full_chunk_tokens
    step = speed.step_base_s + chunk / speed.prefill_tokens_per_s
    return PLANNED_USE * chunk / step


def mixed_engine_sustains(
    speed: _engines.Speed, prefill_rate: float, decode_rate: float
) -> bool:
    """Return whether one engine sustains both token rates.

    The rates are in tokens per second. The docstring of the module gives the
    formula.
    """
    prefill_rate, decode_rate = (
        prefill_rate / PLANNED_USE,
        decode_rate / PLANNED_USE,
    )
    # Share of a step that is left for its fixed time.
    base_share = 1 - speed.step_per_sequence_s * decode_rate
    base_share -= prefill_rate / speed.prefill_tokens_per_s
    if base_share <= 0:
        return False
    step = speed.step_base_s / base_share
    if decode_rate * step > speed.slots:
        return False
    # With less than half a sequence on average, the engine counts as one
    # without decoding sequences: the full chunk and no step limit apply.
    if decode_rate * step < 0.5:
        return prefill_rate * step <= speed.full_chunk_tokens
    return (
        step <= MIXED_STEP_LIMIT_S
        and prefill_rate * step <= speed.chunk_tokens
    )


def served_share(
    demand: TokenDemand, counts: RoleCounts, speed: _engines.Speed
) -> float:
    """Return the share of the demand that engines of these roles can serve.

    A share above 1 means spare capacity; the result is at most 1.5.
    """
    low, high = 0.0, 1.5
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _serves(demand, counts, speed, middle):
            low = middle
        else:
            high = middle
    return low


def _serves(
    demand: TokenDemand,
    counts: RoleCounts,
    speed: _engines.Speed,
    share: float,
) -> bool:
    prefill_rate = demand.prefill_tokens_per_s * share
    decode_rate = demand.decode_tokens_per_s * share
    excess_prefill = max(
        0.0, prefill_rate - counts.prefill * prefill_capacity(speed)
    )
    decoding_engines = counts.mixed + counts.decode
    return decoding_engines > 0 and mixed_engine_sustains(
        speed,
        excess_prefill / decoding_engines,
        decode_rate / decoding_engines,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _CandidateChange:
    """A role change that has a gain.

    ``roles`` is the present and the new role, ``since`` the monotonic time in
    seconds from which the change has had a gain.
    """

    roles: tuple[_types.Role, _types.Role]
    since: float


class RolePlanner:
    """Decides on at most one role change at a time."""

    __slots__ = ("_policy", "_changed_at", "_candidate")

    def __init__(self, policy: RolePolicy) -> None:
        self._policy = policy
        self._changed_at = float("-inf")
        self._candidate: _CandidateChange | None = None

    def plan(
        self,
        demand: TokenDemand,
        engines: list[PlannedEngine],
        speed: _engines.Speed,
        now: float,
    ) -> RoleDecision:
        """Return the role change with the largest gain, or :class:`KeepRoles`.

        Returns :class:`KeepRoles` if no change has a gain, while an engine is
        not changeable, within ``MIN_INTERVAL_S`` of the last change, and until
        the same change has had a gain for ``MIN_GAIN_DURATION_S``. The last
        two do not apply if the policy ignores the cost of changes. ``now`` is
        a monotonic time in seconds.
        """
        counts = count_roles(engines)
        served = served_share(demand, counts, speed)
        some_unchangeable = any(not e.changeable for e in engines)
        since_change_s = now - self._changed_at
        if some_unchangeable or (
            since_change_s < MIN_INTERVAL_S
            and not self._policy.ignore_change_cost
        ):
            return KeepRoles(served)
        best = self._best_change(demand, engines, speed, counts, served)
        if not self._track_candidate(best, engines, now) or best is None:
            return KeepRoles(served)
        self._changed_at = now
        self._candidate = None
        return best

    def _track_candidate(
        self,
        best: ChangeRole | None,
        engines: list[PlannedEngine],
        now: float,
    ) -> bool:
        """Remember the best role change; return whether it may be made now.

        The same change must have had a gain for ``MIN_GAIN_DURATION_S``,
        unless the policy ignores the cost of changes.
        """
        if best is None:
            self._candidate = None
            return False
        old = next(e.role for e in engines if e.name == best.engine)
        roles = (old, best.role)
        if self._candidate is None or self._candidate.roles != roles:
            self._candidate = _CandidateChange(roles, now)
        if self._policy.ignore_change_cost:
            return True
        return now - self._candidate.since >= MIN_GAIN_DURATION_S

    def _best_change(
        self,
        demand: TokenDemand,
        engines: list[PlannedEngine],
        speed: _engines.Speed,
        counts: RoleCounts,
        served: float,
    ) -> ChangeRole | None:
        best: ChangeRole | None = None
        best_gain = 0.0
        for engine, role in _candidate_changes(engines):
            after = _counts_after_change(counts, engine.role, role)
            if not self._meets_floor(after):
                continue
            share = served_share(demand, after, speed)
            gain = self._gain(served, share, counts.total)
            if gain > best_gain:
                best_gain = gain
                best = ChangeRole(engine.name, role, served, share)
        return best

    def _gain(self, served: float, after: float, engines: int) -> float:
        """Return the weighted gain of a change, less its downtime and price.

        If the policy ignores the cost of changes, this is the difference of
        the two shares, also above 1. ``served`` and ``after`` are shares of
        the demand, and ``engines`` is the size of the pool.
        """
        policy = self._policy
        if policy.ignore_change_cost:
            return after - served
        gained = min(1.0, after) - min(1.0, served)
        downtime_share = ROLE_CHANGE_DOWNTIME_S / policy.horizon_s / engines
        price = ROLE_CHANGE_PRICE * (1 - policy.goodput_weight) / engines
        return policy.goodput_weight * (gained - downtime_share) - price

    def _meets_floor(self, counts: RoleCounts) -> bool:
        floor = min(self._policy.floor, counts.total)
        can_prefill = counts.prefill + counts.mixed
        can_decode = counts.decode + counts.mixed
        return can_prefill >= floor and can_decode >= floor


def count_roles(engines: list[PlannedEngine]) -> RoleCounts:
    """Return the number of engines of each role."""
    counter = collections.Counter(e.role for e in engines)
    return RoleCounts(
        counter[_types.Role.PREFILL],
        counter[_types.Role.DECODE],
        counter[_types.Role.MIXED],
    )


def _candidate_changes(
    engines: list[PlannedEngine],
) -> list[tuple[PlannedEngine, _types.Role]]:
    """Return the candidate role changes, as pairs of engine and new role.

    There is one for each pair of old and new role: that of the engine with
    the fewest sequences.
    """
    chosen: dict[tuple[_types.Role, _types.Role], PlannedEngine] = {}
    for engine in engines:
        for role in engine.allowed:
            if role is engine.role:
                continue
            pair = (engine.role, role)
            least_busy = chosen.get(pair)
            if least_busy is None or engine.sequences < least_busy.sequences:
                chosen[pair] = engine
    return [(engine, role) for (_, role), engine in chosen.items()]


def _counts_after_change(
    counts: RoleCounts, old: _types.Role, new: _types.Role
) -> RoleCounts:
    """Return the counts after the role of one engine has changed."""
    numbers = {
        _types.Role.PREFILL: counts.prefill,
        _types.Role.DECODE: counts.decode,
        _types.Role.MIXED: counts.mixed,
    }
    numbers[old] -= 1
    numbers[new] += 1
    return RoleCounts(
        numbers[_types.Role.PREFILL],
        numbers[_types.Role.DECODE],
        numbers[_types.Role.MIXED],
    )
