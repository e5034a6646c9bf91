"""Cuts of links of an episode, and what callers may expect beside them."""

import collections.abc
import dataclasses
import math
import time

from agatewing.platform.soak import _disturbances

#: Time after which callers have to be served at instances that are cut, in
#: seconds: the users' rule, like the three values below.
LEARN_S = 3.0
#: Least share served there, of that at the others, and failures that are
#: allowed: a number, and a share of all.
SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILED_SHARE = 1 / 50


@dataclasses.dataclass(slots=True)
class Cut:
    """A cut of one instance."""

    instance: str
    #: Services of which it reaches no target.
    services: frozenset[str]
    #: Whether connections that are open do not outlive it.
    ends_open: bool
    #: Monotonic times of its begin and end, in seconds.
    since: float
    until: float = math.inf

    def overlaps(self, service: str, since: float, until: float) -> bool:
        """Return whether it concerns a service in a span of time."""
        met = self.since <= until and since <= self.until
        return met and service in self.services


@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """A caller's first try of a sound request."""

    instance: str
    service: str
    #: Monotonic times of its begin and end, in seconds.
    since: float
    until: float
    #: Whether the caller got the whole answer.
    served: bool


class Cuts:
    """All cuts of an episode."""

    __slots__ = ("_all",)

    def __init__(self) -> None:
        self._all: list[Cut] = []

    def begin(
        self, instance: str, services: frozenset[str], ends_open: bool
    ) -> Cut:
        """Record that a cut begins now; the caller has to set its end."""
        cut = Cut(instance, services, ends_open, time.monotonic())
        self._all.append(cut)
        return cut

    def overlap(
        self, instance: str, service: str, since: float, until: float
    ) -> bool:
        """Return whether an instance lacked a service in a span of time."""
        return any(
            cut.instance == instance and cut.overlaps(service, since, until)
            for cut in self._all
        )

    def ended_connections(
        self, instances: collections.abc.Set[str], since: float, until: float
    ) -> bool:
        """Return whether connections of instances ended in a span of time."""
        return any(
            cut.ends_open
            and cut.instance in instances
            and since <= cut.since <= until
            for cut in self._all
        )

    def sound_peer(
        self,
        tried: Tried,
        instances: collections.abc.Iterable[str],
        absences: _disturbances.Disturbances,
        before_s: float = 0.0,
    ) -> bool:
        """Return whether another instance could serve a request all the time.

        It neither was cut nor absent meanwhile, nor in a time before.
        """
        since = tried.since - before_s
        return any(
            name != tried.instance
            and not self.overlap(name, tried.service, since, tried.until)
            and not absences.overlap(name, since, tried.until)
            for name in instances
        )

    def unequal(
        self,
        tries: collections.abc.Iterable[Tried],
        absences: _disturbances.Disturbances,
    ) -> list[str]:
        """Return whether cut instances served too few requests, as a line.

        Those count that were sent while a cut had lasted for ``LEARN_S``, at
        instances that were there, and at a cut one only if a peer could serve
        them.
        """
        every = list(tries)
        instances = {tried.instance for tried in every}
        at_cut, others = [], []
        for tried in every:
            if absences.overlap(tried.instance, tried.since, tried.until):
                continue
            if self._has_lasted(tried, {tried.instance}):
                if self.sound_peer(tried, instances, absences, LEARN_S):
                    at_cut.append(tried.served)
            elif self._has_lasted(tried, instances) and not self.overlap(
                tried.instance, tried.service, tried.since, tried.until
            ):
                others.append(tried.served)
        failed = len(at_cut) - sum(at_cut)
        if failed <= ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * len(at_cut):
            return []
        if sum(at_cut) * len(others) >= SHARE * sum(others) * len(at_cut):
            return []
        return [
            f"RECOVER: instances without links served {sum(at_cut)} of "
            f"{len(at_cut)} requests, the others {sum(others)} of "
            f"{len(others)}"
        ]

    def _has_lasted(
        self, tried: Tried, instances: collections.abc.Set[str]
    ) -> bool:
        """Return whether one of the instances was cut when it was sent."""
        return any(
            cut.instance in instances
            and tried.service in cut.services
            and cut.since + LEARN_S <= tried.since <= cut.until
            for cut in self._all
        )
