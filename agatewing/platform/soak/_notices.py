"""Finds requests that reached targets which had said that they want none."""

import collections
import collections.abc
import dataclasses

from agatewing.platform.soak import _disturbances
from agatewing.platform import standins

#: Time after an answer that says that a target leaves, in seconds, after
#: which no request may be sent that reaches it: the users' rule, like the
#: two values below.
DRAIN_S = 2.0
#: Time after an answer that asks for a back-off from which requests count, in
#: seconds, and how many of them an instance may send.
BACK_OFF_FROM_S = 0.5
MAX_IN_BACK_OFF = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A request as its caller sent it."""

    #: Name of the instance that sent it to the target.
    instance: str
    #: Monotonic time at which the caller sent it, in seconds.
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PassedOn:
    """An answer which says that its target leaves, as its caller got it."""

    #: Name of the instance.
    instance: str
    #: Monotonic time of its end, in seconds.
    at: float
    #: Signature of the target; empty for an unsigned answer.
    target: str


def sent_to_leaving(
    engine: standins.EngineStandin,
    sends: collections.abc.Mapping[str, Send],
    passed_on: collections.abc.Mapping[str, PassedOn],
    absences: _disturbances.Disturbances,
) -> list[str]:
    """Return the requests that reached a target too long after it said so.

    They are those that a caller sent later than ``DRAIN_S`` after the same
    instance had passed on such an answer, and had run all the time since.
    """
    told_at: dict[str, float] = {}
    for run in engine.requests:
        answer = passed_on.get(run.id)
        if answer is None or answer.target not in ("", engine.name):
            continue
        before = told_at.get(answer.instance, answer.at)
        told_at[answer.instance] = min(before, answer.at)
    found = []
    for run in engine.requests:
        send = sends.get(run.id)
        if send is None or send.instance not in told_at:
            continue
        since = told_at[send.instance]
        if send.at <= since + DRAIN_S:
            continue
        if not absences.overlap(send.instance, since, run.at):
            found.append(
                f"DRAIN: {run.id} was sent {send.at - since:.2f} s after "
                f"{send.instance} had passed on that {engine.name} leaves"
            )
    return found


def sent_in_back_off(
    engine: standins.EngineStandin,
    sends: collections.abc.Mapping[str, Send],
    absences: _disturbances.Disturbances,
    links: _disturbances.Disturbances,
) -> list[str]:
    """Return the instances that sent too much to a target that backed off.

    Faults on the link to the target excuse them, as its answer may have come
    late, and so does an absence.
    """
    by_instance = collections.defaultdict(list)
    for run in engine.requests:
        if run.id in sends:
            by_instance[sends[run.id].instance].append(run)
    found = []
    for instance, runs in by_instance.items():
        places = (
            _disturbances.link(engine.name),
            _disturbances.link(engine.name, instance),
        )
        worst = 0
        for name, at in engine.turned_away.items():
            if name not in sends or sends[name].instance != instance:
                continue
            until = engine.back_off_ends[name]
            late = [r for r in runs if at + BACK_OFF_FROM_S < r.at < until]
            if late and not (
                absences.overlap(instance, at, late[-1].at)
                or any(links.overlap(p, at, late[-1].at) for p in places)
            ):
                worst = max(worst, len(late))
        if worst > MAX_IN_BACK_OFF:
            found.append(
                f"BUDGET: {instance} sent {worst} requests to {engine.name} "
                "in a back-off"
            )
    return found
