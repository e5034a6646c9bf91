"""Targets are not blamed for links that an instance has lost itself."""

import logging

import gevent
import pytest

from agatewing.platform import standins
from agatewing.platform.tests import test_own_links as own_links

Picture = standins.Picture


# Targets were avoided, and reported as crashed to peers, because an instance
# had lost its own links; the back-offs outlived the cut.
@pytest.mark.parametrize("picture", Picture)
def test_a_cut_leaves_no_blame(
    picture: Picture, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, logger="agatewing")
    with standins.LinkedSite() as site:
        own_links.build(site)
        instances = own_links.start(site, 3)
        cut = instances["i0"]
        with own_links.Traffic(site, instances):
            gevent.sleep(1.0)
            site.cut(["i0"], picture)
            gevent.sleep(2.0)
            assert own_links.lost(cut) == set(own_links.TARGETS)
            now = site.clock.monotonic()
            for tracked in cut.registry.by_id.values():
                assert not tracked.failures
                assert tracked.avoid_until < now
                assert tracked.loss_ratio.current(now) == 1.0
            budgets = {
                service: cut.budget.allows_retry(service, now)
                for service in own_links.TARGETS
            }
            site.heal(["i0"])
            site.wait(lambda: not own_links.lost_targets(cut))
            now = site.clock.monotonic()
            for tracked in cut.registry.by_id.values():
                assert tracked.usable(now)
        for instance in instances.values():
            assert not instance.quarantine.crashes
            assert not instance.quarantine.block_count
            assert not instance.quarantine.request_count
            assert not instance.registry.departures.learned
    assert all(budgets.values())
    messages = {record.getMessage() for record in caplog.records}
    assert not any(m.startswith("quarantine:") for m in messages)
