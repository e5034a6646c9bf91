"""Plan the split of engines into roles from the demand for tokens.

Engines of role decode take prompts as well, in the same small chunks as
mixed ones; the router sends them what prefill engines cannot take.

A mixed engine that prefills ``x`` and decodes ``y`` tokens a second has
steps of ``base / (1 - per_sequence * y - x / rate)`` seconds; its batch is
``y`` times that, its chunk ``x`` times that.
"""

import collections
import dataclasses
import typing

from agatewing import _types
from agatewing.decisions import _engines

#: Longest step planned for a mixed engine, in seconds. The limit on the
#: time between tokens is 61 ms; the answers' deadlines need shorter steps.
STEP_LIMIT_S = 0.035
#: Share of its capacity that an engine is planned to use.
PLANNED_USE = 0.9
#: Time ahead for which a change has to pay, in seconds.
HORIZON_S = 120.0
#: Time for which an engine is away at a change, in seconds.
CHANGE_AWAY_S = 8.0
#: Goodput share that a change must gain where role changes weigh all.
CHANGE_PRICE = 2.0
#: Least time between two changes in one pool, in seconds.
MIN_INTERVAL_S = 10.0
#: Time for which a move has to pay before it is made, in seconds.
PERSIST_S = 10.0
#: Precision of the served share.
SHARE_STEPS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDemand:
    """Work that callers ask of a pool."""

    #: Prompt tokens a second, less what caches save.
    prefill_tokens_per_s: float
    #: Output tokens a second.
    decode_tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEngine:
    """An engine as the planner sees it."""

    #: Name.
    name: str
    #: Role it has, or is changing to.
    role: _types.Role
    #: Roles that its operators allow.
    allowed: tuple[_types.Role, ...]
    #: Whether it may be ordered about now.
    changeable: bool = True
    #: Sequences on it.
    sequences: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How the operators weigh goodput against role changes."""

    #: Weight of goodput, 0 to 1; the rest weighs role changes.
    goodput_weight: float
    #: Least number of engines that can prefill, and that can decode.
    floor: int = 1
    #: Time ahead for which a change has to pay, in seconds.
    horizon_s: float = HORIZON_S
    #: Whether any gain is enough, without regard to the cost.
    eager: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Number of engines of each role."""

    prefill: int
    decode: int
    mixed: int

    @property
    def total(self) -> int:
        """Number of all engines."""
        return self.prefill + self.decode + self.mixed


@dataclasses.dataclass(frozen=True, slots=True)
class Keep:
    """No change pays."""

    #: Share of the demand that the present split serves.
    served: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """One engine is to take another role."""

    #: The engine.
    engine: str
    #: Its new role.
    role: _types.Role
    #: Share of the demand served now, and after the change.
    served: float
    served_after: float


RoleDecision: typing.TypeAlias = Keep | ChangeRole


def prefill_capacity(speed: _engines.Speed) -> float:
    """Return prompt tokens a second of an engine that only prefills."""
    chunk = speed.full_chunk_tokens
    step = speed.step_base_s + chunk / speed.prefill_tokens_per_s
    return PLANNED_USE * chunk / step


def mixed_fits(speed: _engines.Speed, x: float, y: float) -> bool:
    """Return whether one engine prefills ``x`` and decodes ``y``."""
    x, y = x / PLANNED_USE, y / PLANNED_USE
    idle = 1 - speed.step_per_sequence_s * y
    idle -= x / speed.prefill_tokens_per_s
    if idle <= 0:
        return False
    step = speed.step_base_s / idle
    if y * step > speed.slots:
        return False
    if y * step < 0.5:
        return x * step <= speed.full_chunk_tokens
    return step <= STEP_LIMIT_S and x * step <= speed.chunk_tokens


def served_share(
    demand: TokenDemand, counts: Counts, speed: _engines.Speed
) -> float:
    """Return the share of the demand that a split can serve, up to 1.5."""
    low, high = 0.0, 1.5
    for _ in range(SHARE_STEPS):
        middle = (low + high) / 2
        if _serves(demand, counts, speed, middle):
            low = middle
        else:
            high = middle
    return low


def _serves(
    demand: TokenDemand,
    counts: Counts,
    speed: _engines.Speed,
    share: float,
) -> bool:
    x = demand.prefill_tokens_per_s * share
    y = demand.decode_tokens_per_s * share
    rest = max(0.0, x - counts.prefill * prefill_capacity(speed))
    both = counts.mixed + counts.decode
    return both > 0 and mixed_fits(speed, rest / both, y / both)


@dataclasses.dataclass(frozen=True, slots=True)
class _Wanted:
    """A move that pays, and since when."""

    move: tuple[_types.Role, _types.Role]
    since: float


class RolePlanner:
    """Decides on one role change at a time, or on none."""

    __slots__ = ("_policy", "_changed_at", "_wanted")

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._changed_at = float("-inf")
        self._wanted: _Wanted | None = None

    def plan(
        self,
        demand: TokenDemand,
        engines: list[PlannedEngine],
        speed: _engines.Speed,
        now: float,
    ) -> RoleDecision:
        """Return the change that pays most, if one does."""
        counts = count_roles(engines)
        served = served_share(demand, counts, speed)
        busy = any(not e.changeable for e in engines)
        waited = now - self._changed_at
        if busy or (waited < MIN_INTERVAL_S and not self._policy.eager):
            return Keep(served)
        best = self._best_move(demand, engines, speed, counts, served)
        if not self._has_lasted(best, engines, now) or best is None:
            return Keep(served)
        self._changed_at = now
        self._wanted = None
        return best

    def _has_lasted(
        self,
        best: ChangeRole | None,
        engines: list[PlannedEngine],
        now: float,
    ) -> bool:
        """Return whether the same move has paid for long enough."""
        if best is None:
            self._wanted = None
            return False
        old = next(e.role for e in engines if e.name == best.engine)
        move = (old, best.role)
        if self._wanted is None or self._wanted.move != move:
            self._wanted = _Wanted(move, now)
        if self._policy.eager:
            return True
        return now - self._wanted.since >= PERSIST_S

    def _best_move(
        self,
        demand: TokenDemand,
        engines: list[PlannedEngine],
        speed: _engines.Speed,
        counts: Counts,
        served: float,
    ) -> ChangeRole | None:
        best: ChangeRole | None = None
        best_gain = 0.0
        for engine, role in _moves(engines):
            after = _moved(counts, engine.role, role)
            if not self._above_floor(after):
                continue
            share = served_share(demand, after, speed)
            gain = self._gain(served, share, counts.total)
            if gain > best_gain:
                best_gain = gain
                best = ChangeRole(engine.name, role, served, share)
        return best

    def _gain(self, served: float, after: float, engines: int) -> float:
        """Return the weighted gain of a change over the horizon."""
        policy = self._policy
        if policy.eager:
            return after - served
        gained = min(1.0, after) - min(1.0, served)
        away = CHANGE_AWAY_S / policy.horizon_s / engines
        price = CHANGE_PRICE * (1 - policy.goodput_weight) / engines
        return policy.goodput_weight * (gained - away) - price

    def _above_floor(self, counts: Counts) -> bool:
        floor = min(self._policy.floor, counts.total)
        can_prefill = counts.prefill + counts.mixed
        can_decode = counts.decode + counts.mixed
        return can_prefill >= floor and can_decode >= floor


def count_roles(engines: list[PlannedEngine]) -> Counts:
    """Return the number of engines of each role."""
    counter = collections.Counter(e.role for e in engines)
    return Counts(
        counter[_types.Role.PREFILL],
        counter[_types.Role.DECODE],
        counter[_types.Role.MIXED],
    )


def _moves(
    engines: list[PlannedEngine],
) -> list[tuple[PlannedEngine, _types.Role]]:
    """Return the emptiest engine for each pair of old and new role."""
    chosen: dict[tuple[_types.Role, _types.Role], PlannedEngine] = {}
    for engine in engines:
        for role in engine.allowed:
            if role is engine.role:
                continue
            pair = (engine.role, role)
            other = chosen.get(pair)
            if other is None or engine.sequences < other.sequences:
                chosen[pair] = engine
    return [(engine, role) for (_, role), engine in chosen.items()]


def _moved(counts: Counts, old: _types.Role, new: _types.Role) -> Counts:
    """Return the counts after one engine changed its role."""
    numbers = {
        _types.Role.PREFILL: counts.prefill,
        _types.Role.DECODE: counts.decode,
        _types.Role.MIXED: counts.mixed,
    }
    numbers[old] -= 1
    numbers[new] += 1
    return Counts(
        numbers[_types.Role.PREFILL],
        numbers[_types.Role.DECODE],
        numbers[_types.Role.MIXED],
    )
