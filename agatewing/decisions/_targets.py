"""Choose a target of a plain service.

Pattern answered: short calls in bursts on few targets of few slots, some of
them slow or in another availability zone.
"""

import collections.abc
import dataclasses
import random

#: Load, in filled slots, that another availability zone is worth avoiding:
#: bytes between zones are paid for, a queued call is not on time.
OTHER_ZONE_SLOTS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target as seen from one instance."""

    #: Name.
    name: str
    #: Calls that it processes at once.
    slots: int
    #: Calls sent from here and not ended.
    in_flight: int
    #: Measured over expected time of its answers.
    pace: float
    #: Whether it is in the instance's own zone.
    near: bool


def choose_target(
    targets: collections.abc.Sequence[TargetLoad], rng: random.Random
) -> str:
    """Return the target with the least work ahead of a new call."""
    return min(targets, key=lambda t: (_cost(t), rng.random())).name


def _cost(target: TargetLoad) -> float:
    """Return the work ahead, in slots' worth at the target's pace."""
    slots = max(1, target.slots)
    ahead = (target.in_flight + 1) / slots * max(0.1, target.pace)
    return ahead if target.near else ahead + OTHER_ZONE_SLOTS / slots
