"""Streams while engines of two software versions serve."""

import collections.abc
import dataclasses

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins

Behaviour = standins.Behaviour
PROMPT_HEADERS = {"X-Token-Count": "1200,20", "X-Prefix-Hash": "aa:800,bb:400"}
#: Events of a whole stream of the stand-ins.
EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in (1, 2, 3)]
#: Queued tokens that make an engine the last choice.
MANY_TOKENS = 1_000


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route(
            "/chat/",
            "streaming",
            sticky=True,
            resumable=True,
            timeout_ms=9_000,
        )
        made.publish()
        yield made


def add_engines(site: standins.Site, versions: dict[str, str]) -> None:
    for name, version in versions.items():
        site.add_target(name, version=version)


def start_ready(site: standins.Site, name: str) -> gateway.GatewayInstance:
    made = site.start(name)
    count = len(site.targets)
    site.wait(lambda: len(made.catalog.targets) == count)
    site.wait(lambda: made.lifecycle.ready)
    return made


def start_pair(
    site: standins.Site,
) -> tuple[gateway.GatewayInstance, gateway.GatewayInstance]:
    """Start two instances that know each other."""
    first, second = start_ready(site, "i1"), start_ready(site, "i2")
    site.wait(lambda: first.peers.known and second.peers.known)
    return first, second


def load(instance: gateway.GatewayInstance, *names: str) -> None:
    """Make engines the last choices of an instance."""
    for name in names:
        instance.registry.by_id[name].record_sent(MANY_TOKENS)


def begin_and_break(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    """Begin stream s1 at e1, which breaks off after two events."""
    for engine in site.targets.values():
        engine.script.append(Behaviour.RESET)
    site.targets["e1"].script.appendleft(Behaviour.CUT)
    load(instance, *(name for name in site.targets if name != "e1"))
    reply = site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
    assert reply.body == b"".join(EVENTS[:2])
    assert not reply.complete
    for engine in site.targets.values():
        engine.script.clear()


def take_up(
    site: standins.Site, instance: gateway.GatewayInstance, stream: str
) -> standins.Reply:
    """Take a stream up after its second event, in attempt s2."""
    headers = {**PROMPT_HEADERS, "Last-Event-Id": "2", "Resumes": stream}
    return site.ask(instance, "/chat/x", "s2", headers)


def engines_of(site: standins.Site, attempt: str) -> list[str]:
    """Return the engines that an attempt has reached."""
    return [
        name
        for name, engine in site.targets.items()
        if any(run.id == attempt for run in engine.runs)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    versions: dict[str, str]
    #: Behaviour of e1 for its first requests.
    script: tuple[Behaviour, ...]
    #: Number of events that the caller gets, and whether they are all.
    received: int
    complete: bool
    #: Number of runs at each engine.
    runs: dict[str, int]


CASES = {
    "no-other-engine-of-the-version": Case(
        {"e1": "v1", "e2": "v2"},
        (Behaviour.CUT, Behaviour.RESET),
        2,
        False,
        {"e1": 2, "e2": 0},
    ),
    "another-engine-of-the-version": Case(
        {"e1": "v1", "e2": "v2", "e3": "v1"},
        (Behaviour.CUT,),
        3,
        True,
        {"e1": 1, "e2": 0, "e3": 1},
    ),
    "the-engine-itself-goes-on": Case(
        {"e1": "v1", "e2": "v2"},
        (Behaviour.CUT,),
        3,
        True,
        {"e1": 2, "e2": 0},
    ),
    "no-event-yet": Case(
        {"e1": "v1", "e2": "v2"},
        (Behaviour.RESET,),
        3,
        True,
        {"e1": 1, "e2": 1},
    ),
}


# A stream that broke off at one software version went on at another one
# within the same answer.
@pytest.mark.parametrize("name", CASES)
def test_an_answer_holds_events_of_one_version(
    site: standins.Site, name: str
) -> None:
    case = CASES[name]
    add_engines(site, case.versions)
    instance = start_ready(site, "i1")
    site.targets["e1"].script.extend(case.script)
    load(instance, *(n for n in case.versions if n != "e1"))
    if "e3" in case.versions:
        load(instance, "e3")
    reply = site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
    assert reply.body == b"".join(EVENTS[: case.received])
    assert reply.complete is case.complete
    runs = {name: len(site.targets[name].runs) for name in case.versions}
    assert runs == case.runs


# A caller that took a stream up at another instance was sent to an engine of
# another software version.
@pytest.mark.parametrize("first_dies", [False, True])
def test_a_stream_is_taken_up_at_its_version(
    site: standins.Site, first_dies: bool
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v2"})
    first, second = start_pair(site)
    begin_and_break(site, first)
    if first_dies:
        site.wait(lambda: second.streams.reply("chat/s1").known)
        first.kill()
    load(second, "e1")
    reply = take_up(site, second, "s1")
    assert reply.complete
    assert reply.body == EVENTS[2]
    assert engines_of(site, "s2") == ["e1"]


# An instance that had just started did not know the streams that others
# began.
def test_a_restarted_instance_asks_its_peers_for_the_version(
    site: standins.Site,
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v2"})
    first = start_ready(site, "i1")
    begin_and_break(site, first)
    second = start_ready(site, "i2")
    site.wait(lambda: second.peers.known)
    load(second, "e1")
    reply = take_up(site, second, "s1")
    assert reply.body == EVENTS[2]
    assert engines_of(site, "s2") == ["e1"]
    metrics = second.render_metrics()[0].decode()
    assert 'agatewing_take_ups_total{how="peer"} 1' in metrics


# A second version joined after an instance had frozen or died. What it had
# begun before was refused everywhere, though it was of the first version.
def test_a_stream_of_a_lost_instance_goes_on_beside_a_newer_version(
    site: standins.Site,
) -> None:
    add_engines(site, {"e1": "v1", "e3": "v1"})
    first, second = start_pair(site)
    begin_and_break(site, first)
    site.wait(lambda: second.streams.reply("chat/s1").known)
    first.kill()
    site.add_target("e2", version="v2")
    site.wait(lambda: len(second.catalog.targets) == 3)
    load(second, "e1", "e3")
    reply = take_up(site, second, "s1")
    assert reply.body == EVENTS[2]
    assert set(engines_of(site, "s2")) <= {"e1", "e3"}


# Beside one version, streams are told to the other instances, not to the log:
# every write is billed.
def test_streams_of_the_only_version_are_not_written_to_the_log(
    site: standins.Site,
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v1"})
    first, second = start_pair(site)
    begin_and_break(site, first)
    site.wait(lambda: second.streams.reply("chat/s1").known)
    gevent.sleep(0.3)
    assert not site.store.topic("keyed.streams").records


# While one version serves, streams that nobody knows were refused, for
# instance after all instances had been killed.
@pytest.mark.parametrize("stream", ["unknown", ""])
def test_an_unknown_stream_goes_on_while_one_version_serves(
    site: standins.Site, stream: str
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v1"})
    for made in start_pair(site):
        reply = take_up(site, made, stream)
        assert reply.complete
        assert reply.body == EVENTS[2]


# A stream whose version is not known, or serves no longer, went on anywhere.
@pytest.mark.parametrize("stream", ["s1", "unknown", ""])
def test_a_stream_that_cannot_go_on_is_refused(
    site: standins.Site, stream: str
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v2"})
    instances = start_pair(site)
    begin_and_break(site, instances[0])
    if stream == "s1":
        site.announce("e1", version="v1", state="draining", seq=2)
        site.wait(lambda: not _serves("e1", instances))
    for made in instances:
        reply = take_up(site, made, stream)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) < 5
    assert not engines_of(site, "s2")


# A stream that waited for room at its version waited on, until its deadline,
# after the last engine of the version had left.
def test_a_queued_stream_is_refused_when_its_version_leaves(
    site: standins.Site,
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v2"})
    instance = start_ready(site, "i1")
    begin_and_break(site, instance)
    full = instance.registry.by_id["e1"]
    for _ in range(full.target.slots):
        full.record_sent(0)
    asked = gevent.spawn(take_up, site, instance, "s1")
    queues = instance.dispatcher.queues
    site.wait(lambda: any(len(q.fair_queue) for q in queues.values()))
    site.withdraw("e1")
    reply = asked.get()
    assert reply.status == 503
    assert reply.body.startswith(b"stream-lost")
    assert not engines_of(site, "s2")


def _serves(name: str, instances: tuple[gateway.GatewayInstance, ...]) -> bool:
    """Return whether any instance still sends to an engine."""
    return any(made.registry.by_id[name].active for made in instances)


# A stream was refused as too long for its deadline, though most of it was
# delivered, or its caller's estimate of the length too high.
@pytest.mark.parametrize(
    ("last_event_id", "tokens", "status"),
    [
        # At 18 ms a token; the deadline is in three seconds.
        ("", 120, 200),
        ("", 200, 200),
        ("", 400, 503),
        ("2", 200, 200),
        ("2", 400, 503),
        ("300", 400, 200),
    ],
)
def test_a_stream_is_served_if_a_short_rest_of_it_is_in_time(
    site: standins.Site, last_event_id: str, tokens: int, status: int
) -> None:
    add_engines(site, {"e1": "v1", "e2": "v1"})
    instance, _ = start_pair(site)
    headers = {"X-Token-Count": f"100,{tokens}", "X-Deadline-Ms": "3000"}
    if last_event_id:
        headers |= {"Last-Event-Id": last_event_id, "Resumes": "s1"}
    reply = site.ask(instance, "/chat/x", "s2", headers)
    assert reply.status == status
