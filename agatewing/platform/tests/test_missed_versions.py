"""Software versions that come and go unseen, by each way to learn of targets.

The load: an instance does not hear of anything while an engine of another
version joins, begins streams through another instance, and leaves. The streams
are taken up at the instance that has missed it.
"""

import collections.abc
import dataclasses
import json

import pytest

from agatewing import gateway
from agatewing.gateway import _peers
from agatewing.gateway import _stream_record
from agatewing.platform import standins
from agatewing.platform.tests import test_out_of_step as _out_of_step
from agatewing.platform.tests import test_stream_versions as _versions

#: Fixture: a site with a route of streams that may be resumed.
site = _versions.site

Leaves = collections.abc.Callable[[standins.Site], None]


def removed(site: standins.Site) -> None:
    site.withdraw("e1")


def drained(site: standins.Site) -> None:
    site.announce("e1", version="v2", state="draining", seq=2)
    site.withdraw("e1")


def replaced(site: standins.Site) -> None:
    """Start the engine again under its id, with the old version."""
    site.announce("e1", version="v1", born=99)


LEAVES: dict[str, Leaves] = {
    "removed": removed,
    "drained": drained,
    "replaced": replaced,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """How the instance learns of targets after what it has missed."""

    #: Whether a peer tells first, and whether it tells the changes only.
    peer: bool
    changes: bool = False
    #: Whether the log has forgotten what it held meanwhile.
    forgotten: bool = False
    #: Whether the log was restored to before the version joined.
    restored: bool = False


WAYS = {
    "changes of a peer": Way(True, changes=True),
    "whole snapshot of a peer": Way(True),
    "changes of a peer, then the log": Way(True, changes=True, forgotten=True),
    "whole snapshot of a peer, then the log": Way(True, forgotten=True),
    "own read": Way(False),
    "own listing": Way(False, forgotten=True),
    "own listing of a restored log": Way(False, restored=True),
    "snapshot of a restored log": Way(True, restored=True),
}


class Pair:
    """Two instances, the second of which is out of step for a while."""

    def __init__(self, site: standins.Site) -> None:
        self.site = site
        site.add_target("e0", version="v1")
        self.first, self.second = _versions.start_pair(site)
        _out_of_step.pass_time(site, self.first, self.second)
        site.wait(lambda: site.store.topic("keyed.versions").newest)
        self._copy = site.store.copy()
        self._entry = self.second.peers.known["i1"]

    def part(self) -> None:
        """Have the second instance hear of nothing from now on."""
        _out_of_step.cut(self.site, self.second, "i2")
        self.second.peers.known.pop("i1")
        self.site.wait(lambda: self.second.catalog.read_failed)

    def meet(self, way: Way) -> None:
        """Have it learn of the targets again."""
        self._wait_for_first()
        if way.forgotten:
            self.site.store.forget_history()
        if way.restored:
            self.site.store.restore(self._copy)
            self.site.announce("e0", version="v1", seq=2)
        self._wait_for_first()
        if way.peer:
            if not way.changes:
                self.first.catalog._batches.clear()
            self._know_peer()
            self._wait_until_read()
        self.site.logs["i2"].disconnected = False
        self.site.wait(lambda: not self.second.catalog.read_failed)
        self._know_peer()
        self._wait_until_read()

    def _wait_for_first(self) -> None:
        """Wait until the first instance has read all of the log."""
        store, catalog = self.site.store, self.first.catalog
        end = store.topic("keyed.servers").end
        self.site.wait(lambda: catalog.position == (store.era, end))

    def _know_peer(self) -> None:
        self.second.peers.known["i1"] = self._entry

    def _wait_until_read(self) -> None:
        first, second = self.first.catalog, self.second.catalog
        self.site.wait(lambda: second.position >= first.position)


# An engine of another version had come and gone while an instance was frozen
# or cut off. A peer's changes, a listing or a restored log did not show it, so
# the instance took the streams that had begun there up at the old version.
@pytest.mark.parametrize("large", [False, True], ids=["small", "large"])
@pytest.mark.parametrize("leaves", LEAVES)
@pytest.mark.parametrize("way", WAYS)
def test_a_stream_of_a_version_that_was_missed_goes_on_nowhere_else(
    site: standins.Site,
    monkeypatch: pytest.MonkeyPatch,
    way: str,
    leaves: str,
    large: bool,
) -> None:
    if large:
        monkeypatch.setattr(_peers, "FANOUT", 0)
    pair = Pair(site)
    pair.part()
    site.add_target("e1", version="v2")
    site.wait(lambda: len(pair.first.catalog.targets) == 2)
    _versions.begin_and_break(site, pair.first)
    LEAVES[leaves](site)
    pair.meet(WAYS[way])
    if leaves != "replaced":
        # Its entry may come back, until then it is in use.
        site.wait(lambda: "e1" not in pair.second.catalog.targets)
    reply = _versions.take_up(site, pair.second, "s1")
    assert reply.status == 503
    assert reply.body.startswith(b"stream-lost")
    assert not _versions.engines_of(site, "s2")


# An instance that cannot know what it has missed refused every stream for half
# a minute, though others had missed nothing, or nobody had seen anything.
@pytest.mark.parametrize("way", WAYS)
def test_streams_go_on_if_only_their_version_came_and_went(
    site: standins.Site, way: str
) -> None:
    pair = Pair(site)
    pair.part()
    site.add_target("e1", version="v1")
    site.wait(lambda: len(pair.first.catalog.targets) == 2)
    removed(site)
    pair.meet(WAYS[way])
    replies = [_versions.take_up(site, pair.second, "unknown")]
    site.wait(
        lambda: _out_of_step.take_up_again(
            site, pair.second, "unknown", replies
        )
    )
    assert replies[-1].body == _versions.EVENTS[2]


def fail_writes(site: standins.Site, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the log take no more writes of the instances."""
    failure = gateway.LogUnavailable("busy")
    for log in site.logs.values():
        monkeypatch.setattr(log, "put", lambda *args: failure)
        monkeypatch.setattr(log, "put_if_end", lambda *args: failure)


# All instances were killed before the record of versions had been written. Its
# last state was believed by those that came back, however old it was.
@pytest.mark.parametrize("forgotten", [False, True])
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_record_proves_nothing_of_what_came_after_it(
    site: standins.Site,
    monkeypatch: pytest.MonkeyPatch,
    version: str,
    forgotten: bool,
) -> None:
    pair = Pair(site)
    fail_writes(site, monkeypatch)
    site.add_target("e1", version=version)
    site.wait(lambda: len(pair.first.catalog.targets) == 2)
    _versions.begin_and_break(site, pair.first)
    removed(site)
    pair.first.kill()
    pair.second.kill()
    if forgotten:
        site.store.forget_history()
    again = site.start("i3")
    site.wait(lambda: again.lifecycle.ready)
    reply = _versions.take_up(site, again, "s1")
    if version == "v1" and not forgotten:
        assert reply.body == _versions.EVENTS[2]
    else:
        assert reply.status == 503
        assert not _versions.engines_of(site, "s2")


# The log keeps its records for some seconds only: a record of versions that
# was written once proved nothing after that.
def test_the_record_follows_the_entries(site: standins.Site) -> None:
    Pair(site)
    versions = site.store.topic("keyed.versions")
    before = len(versions.records)
    for number in range(3):
        site.announce("e0", version="v1", seq=2 + number)
        site.clock.advance(_stream_record.REFRESH_S)
        end = site.store.topic("keyed.servers").end

        def follows(end: int = end) -> bool:
            return json.loads(versions.newest["services"][1])["through"] == end

        site.wait(follows)
    # One instance writes it.
    assert len(versions.records) == before + 3


# A peer of the release before does not tell what its changes leave out.
def test_a_peer_that_does_not_tell_what_it_saw_proves_nothing(
    site: standins.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = Pair(site)
    pair.part()
    site.add_target("e1", version="v2")
    site.wait(lambda: len(pair.first.catalog.targets) == 2)
    removed(site)
    snapshot = gateway._catalog.Catalog.snapshot
    monkeypatch.setattr(
        gateway._catalog.Catalog,
        "snapshot",
        lambda self, known=None: dataclasses.replace(
            snapshot(self, known), seen=None
        ),
    )
    pair.meet(WAYS["changes of a peer, then the log"])
    pair.first.kill()
    assert _versions.take_up(site, pair.second, "s1").status == 503
