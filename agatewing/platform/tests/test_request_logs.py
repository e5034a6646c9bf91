"""Fields of the log lines that describe a request."""

import collections.abc
import logging

import pytest

from agatewing import gateway
from agatewing.platform import standins

PROMPT_HEADERS = {
    "X-Token-Count": "1200,20",
    "X-Prefix-Hash": "aa:700,bb:100,cc:400",
}


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/chat/", "streaming", sticky=True)
        made.add_target("e1")
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: made.catalog.targets)
    site.wait(lambda: made.lifecycle.ready)
    return made


# Nothing said that a target limits the requests of all instances.
def test_lines_name_the_limit_of_a_target(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    engine = site.targets["e1"]
    with caplog.at_level(logging.INFO, logger="agatewing.limits"):
        for engine.limit in ("", "5.1", "5.1", "not a number"):
            reply = site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
            assert reply.status == 200
    assert [
        (r.getMessage(), getattr(r, "limit_per_s", None))
        for r in caplog.records
    ] == [
        ("limits: a target limits its requests", 5.1),
        ("limits: a target has no limit any more", None),
    ]
    metrics = instance.render_metrics()[0].decode()
    assert "agatewing_sends_to_limited_total 2" in metrics


# Logs did not say which prefix blocks the requests of a crash had in common.
@pytest.mark.parametrize(
    ("behaviour", "message"),
    [
        (standins.Behaviour.ANSWER, "request: answered"),
        (standins.Behaviour.RESET, "request: send failed"),
    ],
)
def test_lines_name_the_shared_prefix_blocks(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    behaviour: standins.Behaviour,
    message: str,
) -> None:
    site.targets["e1"].script.append(behaviour)
    with caplog.at_level(logging.INFO, logger="agatewing.request"):
        site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
    (line,) = [r for r in caplog.records if r.getMessage() == message]
    assert getattr(line, "prefix") == "aa,bb"
