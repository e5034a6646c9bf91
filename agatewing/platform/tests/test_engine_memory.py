"""Engines whose memory is almost full of other requests.

The pattern: long prompts were prefilled at one engine while the engines that
decode filled up. Some engines crash if the requests that they hold exceed
their memory.
"""

import collections.abc

import gevent
import pytest

from agatewing.platform import standins
from agatewing.platform.tests import _every_route

LIMIT_TOKENS = 10_000
#: Size of a request to /long/x, prompt and answer, in tokens.
SIZE_TOKENS = 4_020


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        _every_route.publish(made)
        yield made


@pytest.mark.parametrize(
    ("held_tokens", "status"),
    [
        (4_000, 200),
        # The reserve is there for what was prefilled already.
        (LIMIT_TOKENS - SIZE_TOKENS, 200),
        (LIMIT_TOKENS - SIZE_TOKENS + 1, 503),
    ],
)
def test_no_request_exceeds_the_memory_of_an_engine(
    site: standins.Site, held_tokens: int, status: int
) -> None:
    [instance] = _every_route.start_ready(site, "i1")
    load = instance.registry.by_id["d1"].load
    site.wait(lambda: instance.registry.by_id["p1"].active)

    def fill() -> None:
        load.kv_limit = LIMIT_TOKENS
        load.own_kv_tokens += held_tokens

    # Other requests are sent while this one is prefilled.
    for name in ("p1", "p2"):
        site.targets[name].prefill_s = 0.2
    asked = instance.handler_context.sender.request_count
    asking = gevent.spawn(_every_route.ask, site, instance, "/long/x")
    site.wait(lambda: instance.handler_context.sender.request_count > asked)
    fill()
    assert asking.get().status == status
    assert len(site.targets["d1"].runs) == (status == 200)
