"""Requests at an instance that has lost its links to the targets.

Its peers serve them, over real connections between the instances.
"""

import collections.abc
import dataclasses

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins
from agatewing.platform.tests import _every_route

Behaviour = standins.Behaviour


class LostLinks:
    """Links of an instance, of which some services' are lost."""

    def __init__(self, *reaching: str) -> None:
        self._reaching = reaching
        #: Services whose targets are not reached.
        self.services = {"ledger", "chat", "split"}

    def lost(self, service: str) -> bool:
        return service in self.services

    def reaching(self, service: str) -> collections.abc.Sequence[str]:
        return self._reaching


def cut(instance: gateway.GatewayInstance, *reaching: str) -> LostLinks:
    """Tell an instance that only the given peers reach the targets."""
    links = LostLinks(*reaching)
    instance.set_links(links)
    return links


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        _every_route.publish(made)
        yield made


def runs(site: standins.Site, request_id: str) -> int:
    return sum(
        run.id == request_id
        for target in site.targets.values()
        for run in target.runs
    )


ROUTES = ["/look/x", "/pay/x", "/chat/x", "/draft/x", "/talk/x", "/long/x"]


@pytest.mark.parametrize("path", ROUTES)
def test_a_peer_serves_a_request(site: standins.Site, path: str) -> None:
    first, second = _every_route.start_ready(site, "i1", "i2")
    cut(first, "i2")
    reply = _every_route.ask(site, first, path)
    assert (reply.status, reply.complete) == (200, True)
    assert first.handler_context.sender.request_count == 0
    assert second.handler_context.sender.request_count >= 1
