"""Labels that may wait beside questions, and accounts of different demand.

The pattern: an instance sends both to engines that also serve others, which
order them by the class that it names.
"""

import collections.abc
import typing

import pytest

from agatewing import decisions
from agatewing import gateway
from agatewing.platform import standins

HEADERS = {
    "X-Token-Count": "800,20",
    "X-Prefix-Hash": "shared:300,own:500",
}


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/ask/", "streaming", priority=0, target_latency_ms=500)
        made.route("/tag/", "streaming", priority=2, target_latency_ms=2_000)
        made.add_target("e1")
        made.publish()
        yield made


def add_accounts(
    site: standins.Site, **priorities: typing.Any
) -> gateway.GatewayInstance:
    """Start an instance with accounts of these priorities."""
    site._published["version"] += 1
    site._published["tenants"] = [
        {"name": name, "api_keys": [f"key-of-{name}"], "priority": priority}
        for name, priority in priorities.items()
    ]
    site.publish_again()
    instance = site.start()
    site.wait(lambda: instance.lifecycle.ready)
    site.wait(lambda: instance.catalog.accounts.names)
    return instance


def class_of(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    account: str,
) -> int:
    """Return the class that an engine is told for a request."""
    headers = HEADERS | {"X-Api-Key": f"key-of-{account}"}
    number = len(site.targets["e1"].runs)
    reply = site.ask(instance, path, f"a{number}", headers)
    assert reply.status == 200
    run = site.targets["e1"].runs[-1]
    return int(run.headers["x-request-priority"])


def test_engines_are_told_what_may_wait(site: standins.Site) -> None:
    instance = add_accounts(site, usual=None, first=0, last=5)
    question = class_of(site, instance, "/ask/1", "usual")
    label = class_of(site, instance, "/tag/1", "usual")
    assert question <= 5 < label
    # An account's rank counts before the route's.
    assert class_of(site, instance, "/tag/1", "first") <= 5
    # What has no time to give away does not yield, whatever its rank.
    assert class_of(site, instance, "/ask/1", "last") <= 5
    assert instance.urgency_use.yielded == {"0": 0, "2": 1, "5": 0}


def test_what_exceeds_an_accounts_share_yields(site: standins.Site) -> None:
    instance = add_accounts(site, quiet=None, surging=None)
    quiet, surging = map(decisions.short_key, ("quiet", "surging"))
    rates = {
        (quiet, False): decisions.AccountRate(20.0, 20.0),
        (surging, False): decisions.AccountRate(1e9, 1.0),
    }
    instance.account_use.rates = lambda: rates
    assert class_of(site, instance, "/ask/1", "surging") > 5
    assert class_of(site, instance, "/ask/1", "quiet") <= 5
    assert instance.account_use.over_share == {"surging": 1}


def test_a_refusal_names_what_decided_it(
    site: standins.Site, caplog: pytest.LogCaptureFixture
) -> None:
    instance = add_accounts(site, usual=None)
    caplog.set_level("INFO", "agatewing.server")
    headers = HEADERS | {
        "X-Api-Key": "key-of-usual",
        "X-Token-Count": "90000,9000",
        "X-Prefix-Hash": "own:90000",
        "X-Deadline-Ms": "400",
    }
    reply = site.ask(instance, "/tag/1", "a1", headers)
    assert reply.status == 503
    [line] = [r for r in caplog.records if r.message == "server: refused"]
    decided = vars(line)
    assert (decided["account"], decided["rank"]) == ("usual", 2)
    assert decided["yields"] and not decided["over_share"]
    assert decided["objective_s"] == 2.0
    assert instance.urgency_use.refused == {"2 deadline-unreachable": 1}
    # Those that yield come back after all others.
    least_s = decided["retry_after_s"]
    assert least_s >= 1.5
