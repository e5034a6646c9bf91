"""Times in which an injected fault may end a request that is under way."""

import math
import time


def link(target: str, instance: str = "") -> str:
    """Return the place of faults on the link to one target.

    It is that of one instance, or of all of them if empty.
    """
    return (
        f"link of {instance} to {target}" if instance else f"link to {target}"
    )


class Disturbance:
    """One fault, at an instance or on the links to a service."""

    __slots__ = ("where", "since", "until")

    def __init__(self, where: str, since: float) -> None:
        #: Name of the instance, service or link.
        self.where = where
        #: Monotonic times of its begin and end, in seconds.
        self.since = since
        self.until = math.inf

    def end(self) -> None:
        """Record that the fault is over."""
        self.until = time.monotonic()


class Disturbances:
    """All such faults of an episode."""

    __slots__ = ("_all",)

    def __init__(self) -> None:
        self._all: list[Disturbance] = []

    def begin(self, where: str) -> Disturbance:
        """Record that a fault begins now; the caller has to end it."""
        disturbance = Disturbance(where, time.monotonic())
        self._all.append(disturbance)
        return disturbance

    def overlap(self, where: str, since: float, until: float) -> bool:
        """Return whether a fault at a place overlaps a span of time."""
        return any(
            d.where == where and d.since <= until and since <= d.until
            for d in self._all
        )
