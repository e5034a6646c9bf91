"""Finds the route of a request: by host, then by the longest prefix."""

import random

from agatewing.gateway import _contracts


class RouteTable:
    """The routes of one configuration, ready for look-ups."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: tuple[_contracts.Route, ...]) -> None:
        self._by_host: dict[str, list[_contracts.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for rules in self._by_host.values():
            rules.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> _contracts.Route | None:
        """Return the route of a host and a path without its query."""
        for route in self._by_host.get(_plain_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: _contracts.Route, rng: random.Random) -> str:
    """Return one of the route's services, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]


def _plain_host(host: str) -> str:
    """Return a host in lower case, without a port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdecimal():
        host = name
    return host.lower()
