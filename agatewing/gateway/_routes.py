"""Finds a request's route by host, then by the longest path prefix."""

import random

from agatewing import decisions
from agatewing.gateway import _contracts


class RouteTable:
    """The routes of one configuration, indexed by host."""

    __slots__ = ("_by_host", "urgencies")

    def __init__(self, routes: tuple[_contracts.Route, ...]) -> None:
        self._by_host: dict[str, list[_contracts.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        by_service: dict[str, set[decisions.Urgency]] = {}
        for route in routes:
            urgency = decisions.Urgency(route.rank, route.objective_s)
            for share in route.shares:
                by_service.setdefault(share.service, set()).add(urgency)
        #: What its routes ask of each service.
        self.urgencies = by_service
        for rules in self._by_host.values():
            rules.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> _contracts.Route | None:
        """Return the route for a host and a path without query, if any."""
        for route in self._by_host.get(plain_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: _contracts.Route, rng: random.Random) -> str:
    """Return a service of the route, drawn at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]


def plain_host(host: str) -> str:
    """Return the host in lower case, without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdecimal():
        host = name
    return host.lower()
