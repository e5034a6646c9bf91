"""A site whose instances reach each target over a link of their own."""

import collections.abc
import functools
import typing

from agatewing import gateway
from agatewing import net
from agatewing.platform.standins import _dialing
from agatewing.platform.standins import _link
from agatewing.platform.standins import _site

_T = typing.TypeVar("_T")


class LinkedSite(_site.Site):
    """Log, targets, instances, and the links from instances to targets.

    A cut concerns these links only: callers, the log and the other instances
    still reach the instance. Only one such site can be open at a time.
    """

    def __init__(self, settings: dict[str, typing.Any] | None = None) -> None:
        super().__init__(settings)
        # Links by name of the instance and id of the target; each is made for
        # the first connection, or cut.
        self._links: dict[tuple[str, str], _link.Link] = {}
        self._zones: dict[str, str] = {}
        self._dialers: dict[str, _dialing.Dialer] = {}
        self._diverted = _dialing.diverted()

    def __enter__(self) -> "LinkedSite":
        super().__enter__()
        self._diverted.__enter__()
        return self

    def __exit__(self, *args: object) -> None:
        try:
            super().__exit__(*args)
            for link in self._links.values():
                link.stop()
        finally:
            self._diverted.__exit__(None, None, None)

    def settings(self, name: str, log_address: str) -> dict[str, typing.Any]:
        """Return settings of an instance, with ports of its own."""
        raw = super().settings(name, log_address)
        return {**raw, "zone": self._zones.get(name, raw["zone"])}

    def start(
        self, name: str = "i1", zone: str = "z1"
    ) -> gateway.GatewayInstance:
        """Start an instance; it may not be ready yet when this returns."""
        self._zones[name] = zone
        self._dialers.pop(name, None)
        return self.act_as(name, functools.partial(super().start, name))

    def act_as(
        self, instance: str, function: collections.abc.Callable[[], _T]
    ) -> _T:
        """Return the result of a function that uses an instance's links."""
        dialer = self._dialers.setdefault(
            instance,
            _dialing.Dialer(functools.partial(self._dial, instance)),
        )
        return _dialing.run_with(dialer, function)

    def kill(self, instance: gateway.GatewayInstance) -> None:
        """End an instance as if its process were killed.

        Its greenlets may still run, but reach nobody any more.
        """
        instance.kill()
        dialer = self._dialers[instance.settings.instance]
        # Nobody listens there.
        [port] = self.ports.take(1)
        dialer.divert = lambda _: ("127.0.0.1", port)
        dialer.reset_all()

    def link(self, instance: str, target: str) -> _link.Link:
        """Return the link of an instance to a target."""
        link = self._links.get((instance, target))
        if link is None:
            [port] = self.ports.take(1)
            link = _link.Link(self.targets[target].address, port)
            self._links[instance, target] = link
        return link

    def cut(
        self,
        instances: collections.abc.Iterable[str],
        picture: _link.Picture,
        targets: collections.abc.Iterable[str] | None = None,
    ) -> list[_link.Flight]:
        """Cut the links of instances, to all targets unless some are named.

        Returns what the connections that were open had in flight.
        """
        names = list(self.targets if targets is None else targets)
        return [
            flight
            for instance in instances
            for target in names
            for flight in self.link(instance, target).cut(picture)
        ]

    def heal(self, instances: collections.abc.Iterable[str]) -> None:
        """End all cuts of instances."""
        names = set(instances)
        for (instance, _), link in self._links.items():
            if instance in names:
                link.heal()

    def carriers(self, request: str) -> list[str]:
        """Return the instances over whose links a request reached targets."""
        return [
            instance
            for (instance, _), link in self._links.items()
            if request in link.carried
        ]

    def _dial(
        self, instance: str, address: _dialing.Address
    ) -> _dialing.Address:
        """Return where an instance gets that connects to an address."""
        for name, target in self.targets.items():
            if net.split_address(target.address) == address:
                return net.split_address(self.link(instance, name).address)
        return address
