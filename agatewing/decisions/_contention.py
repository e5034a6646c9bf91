"""Who yields while there is too little room.

The pattern: a burst of requests that callers wait for meets a pool full of
work that may wait, such as labels with an objective of two seconds beside
questions with one of half a second. Where a service has both, the latter goes
first at the instance and at the engine, and the former uses what is left
until it has to go itself. Nothing yields where all objectives of a service
are short, or all its requests are of one rank.
"""

import collections.abc
import dataclasses

from agatewing.decisions import _costs

#: Objective from which on a request may wait, in seconds: it still holds if
#: an engine first reads a prompt of the largest size, which takes 0.9 s.
MIN_WAITING_OBJECTIVE_S = 1.5
#: Time before the end of its objective from which on such a request yields to
#: no other, in seconds: that of its own prompt behind the next long one.
GO_BEFORE_S = 0.9
#: First priority class of requests that yield, and the last class at engines.
FIRST_YIELDING_CLASS = 6
LAST_CLASS = 9
#: Part of the time until there is room over which callers come back, and the
#: least such time, in seconds: a fair queue works off a second of requests
#: before the next ones come.
RETURN_SPREAD = 0.5
MIN_RETURN_S = 1.0
#: Priority class of all prompts of 8,192 tokens and more at an engine. Engines
#: run shorter prompts first, but prompts of this class in order of arrival.
#: When the longest tenth of prompts had a class of its own, it waited until
#: its callers gave up. If the class began at 4,096 tokens, the longest prompts
#: of routes with little patience would wait behind those of routes with much
#: patience.
LAST_PRIORITY_CLASS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """What decides whether a request yields to others of its service."""

    #: Rank of the request; 0 is the most urgent.
    rank: int
    #: Time within which its answer counts as on time, in seconds.
    objective_s: float


def yielding_s(
    own: Urgency, others: collections.abc.Iterable[Urgency]
) -> float:
    """Return the seconds after its arrival for which a request yields.

    ``others`` are the routes of its service; 0 if it yields to none of them.
    """
    if own.objective_s < MIN_WAITING_OBJECTIVE_S:
        return 0.0
    more_urgent = any(
        other.rank < own.rank and 2 * other.objective_s <= own.objective_s
        for other in others
    )
    return own.objective_s - GO_BEFORE_S if more_urgent else 0.0


def engine_class(tokens: int, yields: bool) -> int:
    """Return the priority class of a request at engines; 0 runs first.

    ``tokens`` is the size of the prompt to prefill. Those that yield come
    after all others, and the shorter ones of them first.
    """
    size = min(LAST_PRIORITY_CLASS, _costs.priority_class(tokens))
    if not yields:
        return size
    return min(LAST_CLASS, FIRST_YIELDING_CLASS + size)


def retry_after_s(room_s: float, yields: bool, draw: float) -> float:
    """Return when a refused caller comes back, in seconds.

    Room is expected in ``room_s``. Callers come back over half of that time,
    by ``draw`` from 0 to 1, so that they do not meet each other; those whose
    requests yield come in the half after it, when the others were served.
    """
    spread_s = RETURN_SPREAD * max(room_s, MIN_RETURN_S)
    return room_s + spread_s * (draw + yields)
