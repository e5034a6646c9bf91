"""The links of instances to targets, and their cuts."""

import collections.abc
import contextlib
import itertools

import gevent

from agatewing import harness
from agatewing.platform.soak import _checks
from agatewing.platform import standins

#: Shortest time of a cut, in seconds, so that it outlasts the time in which
#: instances may learn of it.
MIN_CUT_S = 4.5


class Links:
    """One link of each instance to each target, between it and its proxy."""

    def __init__(
        self,
        instances: collections.abc.Iterable[str],
        targets: dict[str, str],
        ports: harness.PortLease,
        records: _checks.CallerRecords,
    ) -> None:
        """Open the links; ``targets`` are addresses by id."""
        self._targets = targets
        self._records = records
        self._links: dict[tuple[str, str], standins.Link] = {}
        names = tuple(instances)
        self._instances = len(names)
        for instance, target in itertools.product(names, targets):
            [port] = ports.take(1)
            self._links[instance, target] = standins.Link(
                targets[target], port
            )
        # Instances that are cut from all targets of some service.
        self._cut: set[str] = set()

    def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.stop()

    def addresses(self, instance: str) -> dict[str, str]:
        """Return the addresses of an instance's links, by those of targets."""
        return {
            address: self._links[instance, target].address
            for target, address in self._targets.items()
        }

    def set_target_down(self, target: str, down: bool) -> None:
        """Refuse connections to a target as long as it does so."""
        for (_, name), link in self._links.items():
            if name == target:
                link.set_target_down(down)

    def carriers(self, request: str, target: str) -> list[str]:
        """Return the instances that sent a request to a target."""
        return [
            instance
            for (instance, name), link in self._links.items()
            if name == target and request in link.carried
        ]

    def cut(
        self,
        instances: tuple[str, ...],
        services: dict[str, tuple[str, ...]],
        picture: standins.Picture,
        fault_s: float,
    ) -> None:
        """Cut instances from all targets of services for a time.

        ``services`` are ids of targets by service. Instances are left out
        that are cut already, and the last one that is not.
        """
        targets = tuple(itertools.chain.from_iterable(services.values()))
        names = []
        for name in instances:
            if name not in self._cut and len(self._cut) + 1 < self._instances:
                names.append(name)
                self._cut.add(name)
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(
                    self._records.cut(
                        name, frozenset(services), targets, picture
                    )
                )
            for link in self._of(names, targets):
                link.cut(picture)
            gevent.sleep(max(MIN_CUT_S, fault_s))
            for link in self._of(names, targets):
                link.heal()
        self._cut.difference_update(names)

    def _of(
        self, instances: list[str], targets: tuple[str, ...]
    ) -> list[standins.Link]:
        return [
            self._links[pair] for pair in itertools.product(instances, targets)
        ]
