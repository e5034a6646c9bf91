"""A prefill that fails, hangs or is lost is retried at another engine."""

import collections.abc

import pytest

from agatewing import decisions
from agatewing import gateway
from agatewing.platform import standins

Behaviour = standins.Behaviour
PROMPT_HEADERS = {
    "X-Token-Count": "4000,20",
    "X-Prefix-Hash": "aa:2000,bb:2000",
}


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        # One target per attempt: prefills don't count towards it.
        made.route("/draft/", "streaming", sticky=True, max_attempts=1)
        made.add_target("e1")
        made.add_target("p1", role="prefill")
        made.add_target("p2", role="prefill")
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start("i1")
    site.wait(lambda: len(made.catalog.targets) == 3)
    site.wait(lambda: made.lifecycle.ready)
    # Enough queued tokens that e1 processes no prompt itself: each prompt of
    # these tests is prefilled at another engine.
    made.registry.by_id["e1"].record_sent(3_000)
    return made


def prefills(site: standins.Site) -> int:
    return sum(len(e.prefills) for e in site.targets.values())


# Guards against prefills whose engine is lost and whose answer never arrives,
# as seen on abastecer-rede, trouble-2.
FAILURES = {
    "the engine turns it away": (Behaviour.NOT_RUN, 1),
    "the engine never answers": (Behaviour.HANG, 2),
}


@pytest.mark.parametrize("name", FAILURES)
def test_another_engine_prefills(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    behaviour, expected_prefills = FAILURES[name]
    site.targets["p1"].script.append(behaviour)
    # 8,000 queued tokens make p2 the second choice.
    instance.registry.by_id["p2"].record_sent(8_000)
    reply = site.ask(instance, "/draft/x", "s1", PROMPT_HEADERS)
    assert reply.complete
    assert reply.status == 200
    assert prefills(site) == expected_prefills
    (run,) = site.targets["e1"].runs
    assert "x-kv-source" in run.headers


def test_a_prefill_that_hangs_is_awaited_while_no_retry_is_left(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    instance.budget.bound = decisions.BudgetBound(0.0, 0.0, 10.0)
    for name in ("p1", "p2"):
        site.targets[name].script.append(Behaviour.HANG)
    headers = {**PROMPT_HEADERS, "X-Deadline-Ms": "1500"}
    reply = site.ask(instance, "/draft/x", "s1", headers)
    assert reply.status == 503
    assert prefills(site) == 1
    assert not site.targets["e1"].runs


def test_a_cache_that_cannot_be_fetched_is_prefilled_again(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    site.targets["e1"].script.append(Behaviour.NOT_RUN)
    reply = site.ask(instance, "/draft/x", "s1", PROMPT_HEADERS)
    assert reply.complete
    assert prefills(site) == 2
    (run,) = site.targets["e1"].runs
    assert "x-kv-source" in run.headers


# The second prefill of a request was not charged to the retry budget after an
# engine had turned the first one's KV cache away.
def test_another_prefill_after_a_rejection_is_a_retry(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    # Allows one retry, which is the second send.
    instance.budget.bound = decisions.BudgetBound(0.0, 1.5, 10.0)
    site.targets["e1"].script.append(Behaviour.NOT_RUN)
    reply = site.ask(instance, "/draft/x", "s1", PROMPT_HEADERS)
    assert reply.complete
    assert len(site.targets["e1"].runs) == 1
    assert prefills(site) == 1


def test_a_shared_prefix_is_fetched_from_the_engine_that_caches_it(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    first = {"X-Token-Count": "4000,20", "X-Prefix-Hash": "aa:3000,b1:1000"}
    assert site.ask(instance, "/draft/x", "s1", first).complete
    (caching,) = [e for e in site.targets.values() if e.prefills]
    instance.registry.by_id[caching.name].record_sent(14_000)
    second = {"X-Token-Count": "4000,20", "X-Prefix-Hash": "aa:3000,b2:1000"}
    assert site.ask(instance, "/draft/x", "s2", second).complete
    (run,) = [
        run
        for e in site.targets.values()
        for run in e.prefills
        if run.id == "s2"
    ]
    assert run.headers["kv-fetch"] == caching.address
    assert "kv-fetch" not in caching.prefills[0].headers
