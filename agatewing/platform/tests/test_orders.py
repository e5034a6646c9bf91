"""Instances send the role orders that the role plan needs."""

import collections.abc
import json

import gevent
import pytest

from agatewing.gateway import _settings
from agatewing.platform import standins

ROLES = {"roles": _settings.Roles(decode_share=0.42)}


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
    assert order["fence"] == 1
    assert order["holder"] in ("i1", "i2", "i3")
    (run,) = site.targets[str(order["engine"])].orders
    assert run.headers["x-expect-instance"] == order["engine"]


# While all engines that decode name a limit, streams were refused though
# engines without a limit only prefilled.
def test_engines_without_a_limit_decode_instead_of_limited_ones(
    site: standins.Site,
) -> None:
    for name, role in zip(
        ("e0", "e1", "e2", "e3", "e4"),
        ("decode", "decode", "prefill", "prefill", "prefill"),
        strict=True,
    ):
        site.announce(name, role=role)
    instance = site.start("i1")
    site.wait(lambda: len(instance.catalog.targets) == 5)
    site.wait(lambda: instance.lifecycle.ready)
    limits = instance.registry.limits
    for name in ("e0", "e1"):
        target = instance.registry.by_id[name].target
        limits.observe(target, 3.0, instance.clock.monotonic())
    site.wait(lambda: len(orders(site)) == 2)
    gevent.sleep(1.0)
    assert [order["stage"] for order in orders(site)] == ["decode"] * 2
    ordered = {str(order["engine"]) for order in orders(site)}
    assert ordered < {"e2", "e3", "e4"}


def test_no_order_is_sent_while_the_log_is_unavailable(
    site: standins.Site,
) -> None:
    instance = site.start("i1")
    site.wait(lambda: len(instance.catalog.targets) == 5)
    site.logs["i1"].disconnected = True
    instance.catalog.record_unavailable()
    gevent.sleep(2.5)
    assert orders(site) == []
