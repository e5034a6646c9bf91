"""Choose a target of a plain service.

Plain services get bursts of short calls, and have few targets with few
slots each, some of them slow or in another availability zone.
"""

import collections.abc
import dataclasses
import random

#: Penalty for a target in another availability zone, in filled slots. Traffic
#: between zones costs money, but a call that has to queue is late; so the
#: penalty is less than one slot.
CROSS_ZONE_PENALTY_SLOTS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of a target as one instance knows it."""

    #: Name.
    name: str
    #: Number of calls that it processes at once.
    slots: int
    #: Calls that this instance sent and that have not ended.
    in_flight: int
    #: Ratio of measured to expected duration of its answers.
    slowness: float
    #: Whether it is in the availability zone of this instance.
    same_zone: bool


def choose_target(
    targets: collections.abc.Sequence[TargetLoad], rng: random.Random
) -> str:
    """Return the name of the target with the least load, ties at random."""
    return min(targets, key=lambda t: (_relative_load(t), rng.random())).name


def _relative_load(target: TargetLoad) -> float:
    """Return the load with one more call, as a share of the slots.

    It is scaled by the target's measured slowness.
    """
    slots = max(1, target.slots)
    load = (target.in_flight + 1) / slots * max(0.1, target.slowness)
    return (
        load if target.same_zone else load + CROSS_ZONE_PENALTY_SLOTS / slots
    )
