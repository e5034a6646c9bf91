"""Streams that callers take up after instances were killed."""

import collections.abc
import dataclasses
import itertools
import json

import gevent
import pytest

from agatewing import gateway
from agatewing.gateway import _peers
from agatewing.platform import standins

PROMPT_HEADERS = {"X-Token-Count": "1200,20", "X-Prefix-Hash": "aa:800,bb:400"}
#: Events of a whole stream of the stand-ins.
EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in (1, 2, 3)]
#: Queued tokens that make an engine the last choice.
MANY_TOKENS = 1_000
#: Time in which instances write to the log what a restart must not lose, in
#: seconds.
SETTLE_S = 0.8
NAMES = ("i1", "i2")


@dataclasses.dataclass(frozen=True, slots=True)
class Add:
    """An engine starts."""

    name: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """An engine leaves; running instances notice."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Live:
    """Time passes, in seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """A stream begins at an engine and breaks off after two events."""

    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Instances are killed."""

    names: tuple[str, ...] = NAMES


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Instances start again."""

    names: tuple[str, ...] = NAMES


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A copy of the log is made."""


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """The log is restored from the copy; engines write their entries again."""


Step = Add | Leave | Live | Begin | Kill | Return | Copy | Restore


class Scenario:
    """A site with two instances on which steps are carried out."""

    def __init__(self, site: standins.Site) -> None:
        self.site = site
        self.running: dict[str, gateway.GatewayInstance] = {}
        self._versions: dict[str, str] = {}
        self._copy = site.store.copy()

    def carry_out(self, step: Step) -> None:
        match step:
            case Add(name, version):
                self.site.add_target(name, version=version)
                self._versions[name] = version
                self._wait_for_view()
            case Leave(name):
                self.site.withdraw(name)
                self.site.targets.pop(name).stop()
                del self._versions[name]
                self._wait_for_view()
            case Live(seconds):
                self.site.clock.advance(seconds)
                self._wait_for_view()
            case Begin(engine):
                self._begin(engine)
            case Kill(names):
                gevent.sleep(SETTLE_S)
                for name in names:
                    self.running.pop(name).kill()
            case Return(names):
                self._start(names)
            case Copy():
                gevent.sleep(SETTLE_S)
                self._copy = self.site.store.copy()
            case Restore():
                self.site.store.restore(self._copy)
                for name, version in self._versions.items():
                    self.site.announce(name, version=version, seq=2)

    def _start(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.running[name] = self.site.start(name)
        running = self.running.values()
        self.site.wait(lambda: all(i.lifecycle.ready for i in running))
        self.site.wait(lambda: all(i.peers.known for i in running))
        self._wait_for_view()

    def _wait_for_view(self) -> None:
        """Wait until all instances see the engines that are announced."""
        running = self.running.values()
        names = self._versions.keys()
        self.site.wait(
            lambda: all(
                i.catalog.age_s() < 1.0 and i.catalog.targets.keys() == names
                for i in running
            )
        )

    def _begin(self, first: str) -> None:
        instance = self.running["i1"]
        for name, engine in self.site.targets.items():
            if name != first:
                instance.registry.by_id[name].record_sent(MANY_TOKENS)
            engine.script.append(standins.Behaviour.RESET)
        self.site.targets[first].script.appendleft(standins.Behaviour.CUT)
        reply = self.site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
        assert reply.body == b"".join(EVENTS[:2])
        assert not reply.complete
        for engine in self.site.targets.values():
            engine.script.clear()

    def take_up(self, attempt: str, resumes: str) -> standins.Reply:
        headers = {**PROMPT_HEADERS, "Last-Event-Id": "2"}
        if resumes:
            headers["Resumes"] = resumes
        instance = self.running["i1"]
        return self.site.ask(instance, "/chat/x", attempt, headers)

    def versions_of(self, attempt: str) -> set[str]:
        """Return the versions of the engines that ran an attempt."""
        return {
            self._versions[name]
            for name, engine in self.site.targets.items()
            if any(run.id == attempt for run in engine.runs)
        }


@pytest.fixture
def scenario() -> collections.abc.Iterator[Scenario]:
    with standins.Site() as site:
        site.route(
            "/chat/",
            "streaming",
            sticky=True,
            resumable=True,
            timeout_ms=9_000,
        )
        site.publish()
        yield Scenario(site)


def check_take_up(
    scenario: Scenario, resumes: str, version: str, goes_on: bool
) -> None:
    """Take the stream up; check that it goes on at its version, or not."""
    reply = scenario.take_up("s2", resumes)
    assert scenario.versions_of("s2") <= {version}
    if goes_on:
        assert reply.complete
        assert reply.body == EVENTS[2]
        return
    assert reply.status == 503
    assert reply.body.startswith(b"stream-lost")
    assert 0 < float(reply.headers["retry-after"]) < 5
    assert not scenario.versions_of("s2")


#: Time for which the fleet has lived before the stream, in seconds.
LIVED = Live(40.0)
ALONE = (Add("e1", "v1"), Add("e2", "v1"), Return(), LIVED)
BESIDE = (Add("e1", "v1"), Add("e2", "v2"), Return(), LIVED, Begin("e1"))
LEAVE = Leave("e1")
#: When the old version leaves, as the steps before, during and after a kill.
LEAVES: dict[str, tuple[tuple[Step, ...], ...]] = {
    "stays": ((), (), ()),
    "leaves before": ((LEAVE,), (), ()),
    "leaves during": ((), (LEAVE,), ()),
    "leaves after": ((), (), (LEAVE,)),
}


# After a kill of all instances, a stream that one software version had begun
# went on at the only one that was left.
@pytest.mark.parametrize("resumes", ["s1", ""])
@pytest.mark.parametrize("later_s", [0.0, 10.0])
@pytest.mark.parametrize("killed", [NAMES, ("i1",)], ids=["all", "one"])
@pytest.mark.parametrize("leaves", LEAVES)
def test_a_stream_goes_on_at_the_version_of_two_that_began_it(
    scenario: Scenario,
    leaves: str,
    killed: tuple[str, ...],
    later_s: float,
    resumes: str,
) -> None:
    before, during, after = LEAVES[leaves]
    steps = itertools.chain(
        BESIDE,
        before,
        (Kill(killed),),
        during,
        (Return(killed),),
        after,
        (Live(later_s),),
    )
    for step in steps:
        scenario.carry_out(step)
    goes_on = leaves == "stays" and resumes == "s1"
    check_take_up(scenario, resumes, "v1", goes_on)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    steps: tuple[Step, ...]
    #: Version that began the stream.
    version: str
    #: Whether a take-up goes on that names the stream, and one that does not.
    named: bool
    unnamed: bool


SWAP = (Leave("e1"), Add("e2", "v2"))
CASES = {
    "one version all along": Case(
        (*ALONE, Begin("e1"), Kill(), Return()), "v1", True, True
    ),
    "one version in a new fleet": Case(
        (*ALONE[:-1], Begin("e1"), Kill(), Return()), "v1", True, True
    ),
    "one version, killed twice": Case(
        (*ALONE, Begin("e1"), Kill(), Return(), Kill(), Return()),
        "v1",
        True,
        True,
    ),
    "the only version is replaced during the kill": Case(
        (Add("e1", "v1"), Return(), LIVED, Begin("e1"), Kill(), *SWAP)
        + (Return(),),
        "v1",
        False,
        False,
    ),
    "the only version is replaced before the kill": Case(
        (Add("e1", "v1"), Return(), LIVED, Begin("e1"), *SWAP)
        + (Kill(), Return()),
        "v1",
        False,
        False,
    ),
    "replaced long before the kill": Case(
        (Add("e1", "v1"), Return(), LIVED, *SWAP, LIVED, Begin("e2"))
        + (Kill(), Return()),
        "v2",
        True,
        True,
    ),
    "the old version comes back": Case(
        (Add("e1", "v1"), Return(), LIVED, Begin("e1"), *SWAP)
        + (Kill(), Leave("e2"), Add("e3", "v1"), Return()),
        "v1",
        True,
        False,
    ),
    "the old version comes back, the stream is of the new one": Case(
        (Add("e1", "v1"), Return(), LIVED, *SWAP, Begin("e2"))
        + (Kill(), Leave("e2"), Add("e3", "v1"), Return()),
        "v2",
        False,
        False,
    ),
    "the log is restored to before the version came": Case(
        (Add("e1", "v1"), Return(), LIVED, Copy(), Add("e2", "v2"))
        + (Begin("e2"), Kill(), Leave("e2"), Restore(), Return(), Live(10)),
        "v2",
        False,
        False,
    ),
    "the log is restored, then all are killed": Case(
        (*ALONE, Copy(), Begin("e1"), Restore(), Kill(), Return()),
        "v1",
        True,
        True,
    ),
    "the log is restored while all are dead": Case(
        (*ALONE, Copy(), Begin("e1"), Kill(), Restore(), Return()),
        "v1",
        False,
        False,
    ),
    "long after all were killed": Case(
        (*ALONE, Copy(), Kill(), Restore(), Return(), LIVED, Begin("e1")),
        "v1",
        True,
        True,
    ),
}


# An instance that had just started took the versions that it saw for all that
# there had been.
@pytest.mark.parametrize("resumes", ["s1", ""])
@pytest.mark.parametrize("name", CASES)
def test_a_stream_goes_on_only_at_a_version_that_is_proved(
    scenario: Scenario, name: str, resumes: str
) -> None:
    case = CASES[name]
    for step in case.steps:
        scenario.carry_out(step)
    goes_on = case.named if resumes else case.unnamed
    check_take_up(scenario, resumes, case.version, goes_on)


# In a fleet in which not all instances learn of all streams, those that began
# a stream record it.
def test_a_large_fleet_records_its_streams_too(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_peers, "FANOUT", 0)
    for step in (*BESIDE, Kill(), Return()):
        scenario.carry_out(step)
    check_take_up(scenario, "s1", "v1", True)


def test_the_record_in_the_log_has_versions_and_streams(
    scenario: Scenario,
) -> None:
    for step in (*BESIDE, Kill(("i2",))):
        scenario.carry_out(step)
    store = scenario.site.store
    [(_, raw)] = store.topic("keyed.versions").newest.values()
    versions = json.loads(raw)
    assert versions["era"] == 1
    assert sorted(versions["services"]["chat"]) == ["v1", "v2"]
    batches = store.topic("keyed.streams").newest
    assert {name.partition("/")[0] for name in batches} <= set(NAMES)
    begun = [json.loads(raw)["begun"] for _, raw in batches.values()]
    assert begun == [{"chat": {"v1": ["s1"]}}]
    text = "".join(
        made.render_metrics()[0].decode() for made in scenario.site.instances
    )
    assert 'agatewing_stream_records_total{topic="streams"} 1' in text
    assert 'agatewing_stream_records_total{topic="versions"}' in text
