"""Instances follow a log that is restored from an older copy."""

import collections.abc
import dataclasses
import time

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/look/", "safe", "ledger")
        made.add_target("t1", "ledger", None)
        made.add_target("t2", "ledger", None)
        made.publish()
        yield made


def start(site: standins.Site, *names: str) -> list[gateway.GatewayInstance]:
    """Start instances; return them when they know each other."""
    started = [site.start(name) for name in names]
    for instance in started:
        site.wait(lambda: instance.lifecycle.ready)
        site.wait(lambda: len(instance.peers.known) == len(names) - 1)
    return started


def write_filler(site: standins.Site, count: int = 4) -> None:
    """Let a target write its entry some times."""
    for number in range(count):
        site.announce("t1", "ledger", None, seq=10 + number)


def announced(site: standins.Site, name: str) -> bool:
    """Return whether all instances know a target."""
    return all(name in i.catalog.targets for i in site.instances)


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    #: Records that are lost, and those written again before the next read.
    lost: int
    rewritten: int
    #: Number of restores of the same copy.
    restores: int = 1
    #: Instances without the log from before the restore until after it.
    away: tuple[str, ...] = ()
    #: Time for which the log is busy before it is restored, in seconds.
    busy_s: float = 0.0


RESTORES = {
    "the offset is gone": Restore(4, 0),
    "the offset is the end again": Restore(4, 3),
    "the offset has another record": Restore(4, 8),
    "two eras in a row": Restore(4, 8, 2),
    "one instance away": Restore(4, 8, away=("i2",)),
    "one instance away for two eras": Restore(4, 8, 2, ("i2",)),
    "all away for a moment": Restore(4, 8, busy_s=0.7),
}


# After a restore that reached beyond their offsets, instances missed what had
# been written at those below.
@pytest.mark.parametrize("name", RESTORES)
def test_instances_see_all_that_a_restored_log_has(
    site: standins.Site, name: str
) -> None:
    case = RESTORES[name]
    instances = start(site, "i1", "i2", "i3")
    copied = site.store.copy()
    write_filler(site, case.lost)
    site.wait(
        lambda: all(i.catalog.through == 2 + case.lost for i in instances)
    )
    for instance in case.away:
        site.logs[instance].disconnected = True
    if case.busy_s:
        site.store.mode = standins.StoreMode.BUSY
        gevent.sleep(case.busy_s)
        site.store.mode = standins.StoreMode.FINE
    for _ in range(case.restores):
        site.store.restore(copied)
        site.add_target("t3", "ledger", None)
        write_filler(site, case.rewritten)
        if case.restores > 1:
            gevent.sleep(0.1)
    site.wait(lambda: announced(site, "t3"))
    for instance in case.away:
        site.logs[instance].disconnected = False
    site.add_target("t4", "ledger", None)
    site.withdraw("t1")
    site.wait(lambda: announced(site, "t4"))
    site.wait(
        lambda: not any("t1" in i.catalog.targets for i in site.instances)
    )
    assert {i.catalog.era for i in instances} == {1 + case.restores}


@pytest.mark.parametrize("rewritten", ["nothing", "the same", "a newer one"])
def test_the_configuration_never_goes_back_and_reaches_all(
    site: standins.Site, rewritten: str
) -> None:
    instances = start(site, "i1", "i2", "i3")
    copied = site.store.copy()
    older = instances[0].catalog.config_version
    site.logs["i2"].disconnected = site.logs["i3"].disconnected = True
    site.route("/new/", "safe", "ledger")
    version = site.publish()
    first = instances[0]
    site.wait(lambda: first.catalog.config_version == version)
    site.store.restore(copied)
    site.logs["i2"].disconnected = site.logs["i3"].disconnected = False
    restarted = site.start("i4")
    site.wait(lambda: site.store.era == restarted.catalog.era)
    everywhere = [*instances, restarted]
    site.wait(
        lambda: all(i.catalog.config_version == version for i in everywhere)
    )
    newest = site.store.topic("keyed.op").newest["config"][1]
    assert b'"version":%d' % older in newest
    if rewritten == "the same":
        site._version = older
        assert site.publish() == version
    if rewritten == "a newer one":
        version = site.publish()
    site.wait(
        lambda: all(i.catalog.config_version == version for i in everywhere)
    )
    for instance in everywhere:
        assert site.ask(instance, "/new/x", f"r{instance}").status == 200


def test_peers_that_the_copy_lacks_are_kept(site: standins.Site) -> None:
    copied = site.store.copy()
    instances = start(site, "i1", "i2")
    site.store.restore(copied)
    site.wait(lambda: all(i.catalog.era == 2 for i in instances))
    # Longer than the least time between two reads of the entries.
    for _ in range(40):
        gevent.sleep(0.05)
        assert [set(i.peers.known) for i in instances] == [{"i2"}, {"i1"}]


# The copy lacked the entries of instances, and these never wrote them again.
def test_entries_of_instances_that_the_copy_lacks_are_written_again(
    site: standins.Site,
) -> None:
    (first,) = start(site, "i1")
    site.wait(lambda: site.store.topic("keyed.instances").newest)
    copied = site.store.copy()
    second = site.start("i2")
    site.wait(lambda: "i2" in first.peers.known)
    for _ in range(2):
        site.store.restore(copied)
        newest = site.store.topic("keyed.instances").newest
        site.wait(lambda: set(newest) == {"i1", "i2"})
    third = site.start("i3")
    site.wait(lambda: set(third.peers.known) == {"i1", "i2"})
    site.wait(lambda: set(second.peers.known) == {"i1", "i3"})
    # Only the lost one was written again.
    assert first.own_entry.rewrites == 0
    assert second.own_entry.rewrites == 2
    metrics, _ = second.render_metrics()
    assert b"agatewing_records_rewritten_total 2" in metrics
    assert b"agatewing_log_era 3" in metrics


def test_the_newer_of_two_eras_stays_if_an_answer_is_late(
    site: standins.Site,
) -> None:
    (instance,) = start(site, "i1")
    site.store.era = 3
    site.add_target("t3", "ledger", None)
    site.wait(lambda: announced(site, "t3"))
    # As if all further answers had been sent before the restore.
    site.store.era = 2
    site.withdraw("t3")
    gevent.sleep(1.5)
    assert instance.catalog.position[0] == 3
    assert announced(site, "t3")
    site.store.era = 4
    site.wait(lambda: "t3" not in instance.catalog.targets)


#: Longest time from the return of the log until all instances agree, in
#: seconds: the users' limit for following a configuration.
AGREE_S = 2.0


def test_six_instances_agree_soon_after_a_restore(
    site: standins.Site,
) -> None:
    instances = start(site, *(f"i{number}" for number in range(6)))
    for number in range(3):
        copied = site.store.copy()
        site.route(f"/r{number}/", "safe", "ledger")
        site.publish()
        name = f"n{number}"
        site.add_target(name, "ledger", None)
        site.wait(lambda: announced(site, name))
        calls = site.store.calls
        restored_at = time.monotonic()
        site.store.restore(copied)
        site.publish_again()
        site.announce(name, "ledger", None, seq=2)
        place = (site.store.era, site.store.topic("keyed.servers").end)
        site.wait(
            lambda: all(
                i.catalog.position >= place
                and i.catalog.config_version == site.version
                and name in i.catalog.targets
                for i in instances
            )
        )
        assert time.monotonic() - restored_at < AGREE_S
        # Three topics are listed, and reads that were pending end.
        assert site.store.calls - calls <= 12 * len(instances)
