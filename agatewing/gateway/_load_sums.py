"""Sums of the loads of several instances, whole and in parts."""

import collections.abc
import dataclasses
import math
import operator
import typing

import xxhash

from agatewing import decisions

#: Bytes of engines in one part of a summary, so that it fits into a datagram,
#: and bytes of an engine beside its name.
PART_BYTES = 850
ENGINE_BYTES = 20


class Load(typing.NamedTuple):
    """Load of one engine, as in a report; a tuple, as there are many."""

    #: Prompt tokens that are not processed yet.
    tokens: int
    #: Running and queued sequences.
    sequences: int
    #: Those of the tokens that are in long prompts.
    long_tokens: int
    #: Tokens of KV cache that the sequences hold.
    kv_tokens: int

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load._make(map(operator.add, self, other))

    def minus(self, other: "Load") -> "Load":
        """Return the load without a part of it; nothing is below zero."""
        return Load._make(max(0, a - b) for a, b in zip(self, other))


Loads = dict[str, Load]
Demand = dict[str, decisions.StreamDemand]


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """What a summary, or a part of one, is a summary of."""

    #: Zone of the instances; empty if they are those of all zones.
    zone: str
    #: Number of instances.
    instances: int
    #: Number of the part, from 0, and number of parts.
    part: int = 0
    parts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """A part of the sums of the reports of several instances."""

    #: What it is a summary of.
    scope: Scope
    #: Instance that summed up.
    collector: str
    #: Load of the engines of this part; those that are missing have none.
    loads: Loads
    #: Demand of the instances' callers, by service; in the first part only.
    demand: Demand
    #: Placements that the instances published lately.
    placements: tuple[decisions.Placement, ...] = ()
    #: Requests of client accounts; in the first part only.
    accounts: decisions.AccountRates = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport:
    """What one instance of the zone reported last."""

    #: Load that it caused, by engine.
    loads: Loads
    #: Demand of its callers, by service.
    demand: Demand
    #: Requests of client accounts.
    accounts: decisions.AccountRates = dataclasses.field(default_factory=dict)


class Sums:
    """The parts of a summary that arrived last."""

    __slots__ = (
        "collector",
        "instances",
        "demand",
        "accounts",
        "_at",
        "_loads",
    )

    def __init__(self) -> None:
        #: Instance that summed up; empty before the first part.
        self.collector = ""
        #: Number of instances in the sums.
        self.instances = 0
        #: Demand by service.
        self.demand: Demand = {}
        #: Requests of client accounts.
        self.accounts: decisions.AccountRates = {}
        # Monotonic time at which each part arrived, in seconds, and its loads.
        self._at: list[float] = []
        self._loads: list[Loads] = []

    @property
    def at(self) -> float:
        """Monotonic time of the oldest part; infinitely long ago if none."""
        return min(self._at, default=-math.inf)

    @property
    def newest_at(self) -> float:
        """Monotonic time of the newest part."""
        return max(self._at, default=-math.inf)

    def update(self, summary: Summary, now: float) -> None:
        """Replace one part; all of them if their number is another."""
        scope = summary.scope
        if scope.parts != len(self._at):
            self._at = [-math.inf] * scope.parts
            self._loads = [{} for _ in range(scope.parts)]
        self.collector = summary.collector
        self.instances = scope.instances
        self._at[scope.part] = now
        self._loads[scope.part] = summary.loads
        if scope.part == 0:
            self.demand = summary.demand
            self.accounts = summary.accounts

    def loads(self) -> Loads:
        """Return the load of each engine that has any."""
        return {
            name: load for part in self._loads for name, load in part.items()
        }


def part_of(engine: str, parts: int) -> int:
    """Return the number of the part that holds an engine's load."""
    return xxhash.xxh64_intdigest(engine.encode()) % parts


def part_count(engines: collections.abc.Iterable[str]) -> int:
    """Return the number of parts in which these engines fit."""
    size = sum(len(name) + ENGINE_BYTES for name in engines)
    return max(1, math.ceil(size / PART_BYTES))


def add_up(several: collections.abc.Iterable[Loads]) -> Loads:
    """Return the sums by engine."""
    sums: Loads = {}
    for loads in several:
        for name, load in loads.items():
            before = sums.get(name)
            sums[name] = load if before is None else before.plus(load)
    return sums


def add_up_demand(demands: collections.abc.Iterable[Demand]) -> Demand:
    """Return the sums by service."""
    sums: Demand = {}
    for demand in demands:
        for service, added in demand.items():
            before = sums.get(service, decisions.StreamDemand())
            sums[service] = before.plus(added)
    return sums
