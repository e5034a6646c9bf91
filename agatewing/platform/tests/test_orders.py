"""Instances send the role orders that the role plan needs."""

import collections.abc
import json

import gevent
import pytest

from agatewing.gateway import _settings
from agatewing.platform import standins

ROLES = {"roles": _settings.Roles(follow_demand=True)}


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site(ROLES) as made:
        made.route("/draft/", "streaming", sticky=True)
        for number in range(5):
            name = f"e{number}"
            engine = made.add_target(
                name, role="prefill" if number < 2 else "decode"
            )
            engine.on_role_change = role_publisher(made, name)
        made.publish()
        yield made


def role_publisher(
    site: standins.Site, name: str
) -> collections.abc.Callable[[str], None]:
    """Return a callback that writes the new role of an engine to the log."""
    return lambda role: site.announce(name, role=role, seq=2)


def orders(site: standins.Site) -> list[dict[str, object]]:
    return [
        {**json.loads(run.body), "engine": name}
        for name, engine in site.targets.items()
        for run in engine.orders
    ]


def test_only_one_of_several_instances_sends_the_missing_order(
    site: standins.Site,
) -> None:
    for name in ("i1", "i2", "i3"):
        site.start(name)
    site.wait(lambda: orders(site))
    # Time in which the other instances could send orders too.
    gevent.sleep(1.0)
    (order,) = orders(site)
    assert order["op"] == "stage"
    assert order["stage"] == "prefill"
    # The first offset of the first era.
    assert order["fence"] == 2**32 + 1
    assert order["holder"] in ("i1", "i2", "i3")
    (run,) = site.targets[str(order["engine"])].orders
    assert run.headers["x-expect-instance"] == order["engine"]


def test_no_order_is_sent_while_the_log_is_unavailable(
    site: standins.Site,
) -> None:
    instance = site.start("i1")
    site.wait(lambda: len(instance.catalog.targets) == 5)
    site.logs["i1"].disconnected = True
    instance.catalog.record_unavailable()
    gevent.sleep(2.5)
    assert orders(site) == []
