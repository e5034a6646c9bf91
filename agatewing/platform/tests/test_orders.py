"""Instances order engines into the planned split, over loopback."""

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
            engine = made.add_engine(
                name, role="prefill" if number < 2 else "decode"
            )
            engine.on_role_change = announcer(made, name)
        made.publish()
        yield made


def announcer(
    site: standins.Site, name: str
) -> collections.abc.Callable[[str], None]:
    """Return what announces the new role of an engine."""
    return lambda role: site.announce(name, role=role, seq=2)


def orders(site: standins.Site) -> list[dict[str, object]]:
    return [
        {**json.loads(run.body), "engine": name}
        for name, engine in site.engines.items()
        for run in engine.orders
    ]


def test_one_of_several_instances_gives_the_order_that_is_missing(
    site: standins.Site,
) -> None:
    for name in ("i1", "i2", "i3"):
        site.start(name)
    site.wait(lambda: orders(site))
    # Time for the others to give orders too, if they did.
    gevent.sleep(1.0)
    (order,) = orders(site)
    assert order["op"] == "stage"
    assert order["stage"] == "prefill"
    assert order["fence"] == 1
    assert order["holder"] in ("i1", "i2", "i3")
    (run,) = site.engines[str(order["engine"])].orders
    assert run.headers["x-expect-instance"] == order["engine"]


def test_no_order_is_given_while_the_log_is_away(
    site: standins.Site,
) -> None:
    instance = site.start("i1")
    site.wait(lambda: len(instance.catalog.targets) == 5)
    site.logs["i1"].disconnected = True
    instance.catalog.note_away()
    gevent.sleep(2.5)
    assert orders(site) == []
