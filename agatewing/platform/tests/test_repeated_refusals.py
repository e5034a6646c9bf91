"""A faulty target writes an earlier refusal once more on a kept connection.

The copy arrives where the answer to the next request is due, and the target
runs that one. Taken for its answer, the copy leads to a promise that nothing
ran, or to a second run at another target.
"""

import collections.abc

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins

Behaviour = standins.Behaviour
PROMPT_HEADERS = {
    "X-Token-Count": "4000,20",
    "X-Prefix-Hash": "aa:2000,bb:2000",
}
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/pay/", "unsafe", "ledger", max_attempts=2)
        made.route("/draft/", "streaming", sticky=True, max_attempts=2)
        made.add_target("t1", "ledger", None)
        made.add_target("t2", "ledger", None)
        made.add_target("e1")
        made.add_target("p1", role="prefill")
        made.add_target("p2", role="prefill")
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start("i1")
    site.wait(lambda: len(made.catalog.targets) == 5)
    site.wait(lambda: made.lifecycle.ready)
    for target in site.targets.values():
        target.repeats_refusals = True
    return made


def check(site: standins.Site, reply: standins.Reply, name: str) -> None:
    """Fail if a request ran twice, or ran and is said not to have run."""
    runs = [r for t in site.targets.values() for r in t.runs if r.id == name]
    assert len(runs) <= 1
    if reply.status in PROMISES:
        assert not runs
    if reply.status == 200:
        assert reply.complete
        assert len(runs) == 1


def test_a_stream_is_sent_again_to_the_engine_that_refused_it(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """The copy bears the id of the very request that runs now.

    An engine that cannot fetch a KV cache refuses the request, which is sent
    there again with another cache.
    """
    instance.registry.by_id["e1"].record_sent(3_000)
    site.targets["e1"].script.append(Behaviour.NOT_RUN)
    reply = site.ask(instance, "/draft/x", "s1", PROMPT_HEADERS)
    check(site, reply, "s1")
    assert reply.status == 200


@pytest.mark.parametrize("names_refused", [True, False])
def test_the_next_request_on_the_connection(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    names_refused: bool,
) -> None:
    """The copy bears the id of another request, or none."""
    for target in site.targets.values():
        target.names_refused = names_refused
    for number in range(12):
        for name in ("t1", "t2"):
            site.targets[name].script.clear()
            if number % 3 == 0:
                site.targets[name].script.append(Behaviour.NOT_RUN)
        for tracked in instance.registry.by_id.values():
            tracked.record_answer()
        name = f"r{number}"
        check(site, site.ask(instance, "/pay/x", name), name)
    # A send without a sound answer is followed by a look at its target, which
    # must not end before.
    gevent.sleep(0.2)
    served = sum(len(site.targets[name].runs) for name in ("t1", "t2"))
    assert served >= 6
