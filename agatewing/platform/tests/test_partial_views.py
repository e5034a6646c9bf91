"""An instance that hears of a part of the fleet's requests only.

The load: 87 instances before 30 engines with prompts that share long prefixes.
Most prefixes have been read for another instance, and most prompts wait behind
those of others.
"""

import collections.abc

import msgspec
import pytest

from agatewing import gateway
from agatewing.gateway import _peers
from agatewing.gateway import _target_registry
from agatewing.platform import standins
from agatewing.platform.tests import _every_route


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        _every_route.publish(made)
        yield made


def ask_long(
    site: standins.Site, instance: gateway.GatewayInstance, own: str
) -> None:
    """Send a prompt of 9,000 tokens, the last 6,000 of which are its own."""
    headers = {
        "X-Token-Count": "9000,20",
        "X-Prefix-Hash": f"shared:3000,{own}:6000",
    }
    reply = site.ask(instance, "/long/x", own, headers)
    assert (reply.status, reply.complete) == (200, True)


def start(
    site: standins.Site, full_view: bool
) -> tuple[gateway.GatewayInstance, _target_registry.Pool]:
    [instance] = _every_route.start_ready(site, "i1")
    # The first listing of the instances sets what is set below.
    site.wait(lambda: instance.peers.listed)
    pool = instance.registry.pools["split"]
    instance.registry.full_view = pool.full_view = full_view
    return instance, pool


# Each of 87 instances counted prefixes as unread that others had had read, and
# planned for three times the prompts that there were.
@pytest.mark.parametrize(
    ("full_view", "unread"), [(True, 9_000), (False, 6_000)]
)
def test_a_prefix_that_is_new_here_may_be_read_elsewhere(
    site: standins.Site, full_view: bool, unread: int
) -> None:
    instance, pool = start(site, full_view)
    ask_long(site, instance, "aa1")
    sums = pool.stream_demand._sums
    cost = sums.apart_tokens_per_s + sums.either_tokens_per_s
    # Beside its tokens, a prompt costs the attention to those before it.
    assert unread <= cost < unread * 1.2


# A prompt whose prefix another instance had brought into the cache looked as
# if the engine were many times as fast.
@pytest.mark.parametrize(
    ("full_view", "samples"), [(True, [1, 2]), (False, [0, 1])]
)
def test_a_time_counts_only_if_it_is_known_what_was_cached(
    site: standins.Site, full_view: bool, samples: list[int]
) -> None:
    instance, pool = start(site, full_view)
    counted = []
    for own in ("bb1", "bb2"):
        ask_long(site, instance, own)
        now = instance.clock.monotonic()
        counted.append(pool.learned.samples(now)[0])
    assert counted == samples


# All of 87 instances were killed and started again. Each of them took itself
# to be one of a few for two seconds or more, though it had read the entries of
# the others: it planned three decode engines of 30 for what it saw, where 12
# were needed, and would have used the retries of the whole fleet by itself.
def test_the_size_of_the_fleet_counts_from_the_first_listing_on(
    site: standins.Site,
) -> None:
    [instance] = _every_route.start_ready(site, "i1")
    # It is ready before it has listed the instances.
    site.wait(lambda: instance.registry.full_view)
    entry = msgspec.json.encode(_peers.PeerEntry("127.0.0.1:9", "z1"))
    records = tuple(
        gateway.KeyedRecord(f"i{number}", entry) for number in range(2, 88)
    )
    instance._replace_instances(records, 86)
    assert not instance.registry.full_view
    assert not any(p.full_view for p in instance.registry.pools.values())
    assert instance.budget.instances == 87
    assert instance.dispatcher.instances == 87


def test_a_fleet_of_unknown_size_is_not_taken_for_a_small_one(
    site: standins.Site,
) -> None:
    """Nothing is planned by what one instance hears before that is known."""
    [instance] = _every_route.start_ready(site, "i1")
    site.wait(lambda: instance.peers.listed)
    assert instance.peers.full_view
    assert instance.role_loop._context.view_current()
    instance.peers.listed = False
    instance._apply_changes()
    assert not instance.registry.full_view
    assert not instance.role_loop._context.view_current()
