"""Requests that crash each target, and sound ones that are like them."""

import collections.abc
import dataclasses
import itertools

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins

#: Time after the third crash in which all instances must have learned which
#: request it is, in seconds: ``stable_window_ms`` of the users' sites.
LEARN_S = 3.0
#: Crashes after which that time begins, and times that the request may still
#: reach targets after it; both are the users' rule.
CRASHES = 3
MAX_LATE_SENDS = 3
#: Tries of one test to get so many crashes.
MAX_TRIES = 20
#: Time for which the request still comes after that, in seconds: a day of
#: the users has 90 s.
DAY_S = 90.0
#: Time after which a sound request that broke off must be served again, in
#: seconds: the longest deadline of callers on the users' sites, and the 3 s
#: in which crashed targets are back.
SERVED_WITHIN_S = 13.0
#: Time by which the clock is set forward in one step, and time for messages
#: between the instances after it, in seconds.
STEP_S = 2.5
PAUSE_S = 0.15

_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """What is the same each time that a request comes."""

    path: str
    prefix: str = ""
    body: bytes = b""
    count: str = "1200,20"
    caller: str = ""
    after_event: bool = False

    @property
    def generates(self) -> bool:
        return self.path.startswith(("/draft/", "/chat/"))


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/draft/", "streaming", sticky=True)
        made.route("/chat/", "streaming", sticky=True, resumable=True)
        for prefix, kind, most in (
            ("/look/", "safe", 2),
            ("/look3/", "safe", 3),
            ("/make/", "unsafe", 2),
        ):
            made.route(prefix, kind, "plain", max_attempts=most)
        for number in range(4):
            made.add_target(f"e{number}")
            made.add_target(f"t{number}", "plain", None)
        made.add_target("p1", role="prefill")
        made.publish()
        yield made


@pytest.fixture
def instances(site: standins.Site) -> list[gateway.GatewayInstance]:
    made = [site.start(name) for name in ("i1", "i2", "i3")]
    site.wait(lambda: all(i.lifecycle.ready for i in made))
    site.wait(lambda: all(len(i.peers.known) == 2 for i in made))
    wait_for_targets(site, made)
    return made


def wait_for_targets(
    site: standins.Site, instances: list[gateway.GatewayInstance]
) -> None:
    """Wait until all targets are back and known everywhere."""
    site.wait(lambda: all(len(i.catalog.targets) == 9 for i in instances))
    site.wait(
        lambda: all(
            set(i.catalog.targets) <= set(site.targets)
            and not set(i.catalog.targets) & set(site.crashed)
            for i in instances
        )
    )


def ask(
    site: standins.Site, instance: gateway.GatewayInstance, sent: Repeated
) -> standins.Reply:
    """Send a request once more, under a new id."""
    headers = {}
    if sent.generates:
        headers["X-Token-Count"] = sent.count
        if sent.prefix:
            headers["X-Prefix-Hash"] = sent.prefix
    if sent.caller:
        headers["Authorization"] = sent.caller
    request_id = f"a{next(_NUMBERS)}"
    return site.ask(instance, sent.path, request_id, headers, body=sent.body)


def crash_on(site: standins.Site, sent: Repeated) -> None:
    """Let each target crash that begins to run a request."""
    site.crash_requests.add(
        standins.CrashRequest(sent.path, sent.body, sent.caller)
    )


def sends_of(site: standins.Site, sent: Repeated) -> int:
    """Return how many times a request reached targets."""
    return sum(
        run.line.split()[1] == sent.path
        and run.body == sent.body
        and run.headers.get("authorization", "") == sent.caller
        for engine in site.targets.values()
        for run in (*engine.runs, *engine.prefills)
    )


def pass_time(site: standins.Site, seconds: float) -> None:
    """Set the clock of all instances forward, in steps."""
    while seconds > 0:
        site.clock.advance(min(seconds, STEP_S))
        seconds -= STEP_S
        gevent.sleep(PAUSE_S)


ONE_BLOCK = "aa:1200"
CASES = {
    "safe": Repeated("/look/x", body=b"bad"),
    "safe, three targets": Repeated("/look3/x", body=b"bad"),
    "unsafe": Repeated("/make/x", body=b"bad"),
    "stream, one block": Repeated("/draft/x", ONE_BLOCK, b"bad"),
    "stream, no block": Repeated("/draft/x", body=b"bad"),
    "resumable, one block": Repeated("/chat/x", ONE_BLOCK, b"bad"),
    "resumable, no block": Repeated("/chat/x", body=b"bad"),
    "resumable, sound block": Repeated("/chat/x", "aa:800,bb:400", b"bad"),
    "resumable, prefilled": Repeated(
        "/chat/x", "aa:5000,bb:1000", b"bad", "6000,20"
    ),
    "stream, first event": Repeated(
        "/draft/x", ONE_BLOCK, b"bad", after_event=True
    ),
    "resumable, first event": Repeated(
        "/chat/x", ONE_BLOCK, b"bad", after_event=True
    ),
}


# A request that came again, with nothing in common with others, crashed all
# targets of its service, again after each restart: nothing was learned of it.
@pytest.mark.parametrize("name", CASES)
def test_a_request_that_crashes_targets_is_kept_from_them(
    site: standins.Site, instances: list[gateway.GatewayInstance], name: str
) -> None:
    bad = CASES[name]
    sound = dataclasses.replace(bad, body=b"sound")
    for engine in site.targets.values():
        engine.crash_after_event = bad.after_event
    for instance in instances:
        assert ask(site, instance, sound).status == 200
    crash_on(site, bad)
    for number in range(MAX_TRIES):
        if len(site.crashed) >= CRASHES:
            break
        ask(site, instances[number % 3], bad)
        wait_for_targets(site, instances)
        site.clock.advance(1.0)
        for engine in site.targets.values():
            engine.crash_after_event = bad.after_event
    assert len(site.crashed) >= CRASHES
    pass_time(site, LEARN_S)
    before = sends_of(site, bad)
    replies = []
    for step in range(round(DAY_S / 5)):
        # Targets that restart for another reason know nothing of it.
        if step in (2, 4):
            for engine in list(site.targets.values()):
                if engine.name not in site.crashed:
                    engine.crash()
            gevent.sleep(standins.RESTART_S)
        wait_for_targets(site, instances)
        replies += [ask(site, instance, bad) for instance in instances]
        pass_time(site, 5)
    assert sends_of(site, bad) - before <= MAX_LATE_SENDS
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) >= len(replies) - MAX_LATE_SENDS
    assert all(float(r.headers["retry-after"]) > 0 for r in refused)
    wait_for_targets(site, instances)
    for instance in instances:
        assert ask(site, instance, sound).status == 200


def crash_targets(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    bad: Repeated,
) -> None:
    """Send a request until enough targets crashed on it."""
    crash_on(site, bad)
    for number in range(MAX_TRIES):
        if len(site.crashed) >= CRASHES:
            break
        ask(site, instances[number % 3], bad)
        wait_for_targets(site, instances)
        site.clock.advance(1.0)
    assert len(site.crashed) >= CRASHES


# A request that was tried after its quarantine was sent to a second target
# while the first one was silent.
@pytest.mark.parametrize("name", ["safe", "resumable, one block"])
def test_a_request_on_trial_is_sent_once(
    site: standins.Site, instances: list[gateway.GatewayInstance], name: str
) -> None:
    bad = CASES[name]
    crash_targets(site, instances, bad)
    before = sends_of(site, bad)
    for _ in range(MAX_TRIES):
        pass_time(site, 1.0)
        for engine in site.targets.values():
            engine.voice.fall_silent(2.2)
        ask(site, instances[0], bad)
        if sends_of(site, bad) > before:
            break
    assert sends_of(site, bad) == before + 1


# Copies that came at the same moment at several instances were all tried.
@pytest.mark.parametrize(
    ("name", "sends"),
    [
        ("safe", 1),
        ("resumable, one block", 1),
        # The prefill and the stream.
        ("resumable, prefilled", 2),
    ],
)
def test_one_of_the_copies_of_one_moment_is_tried(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    name: str,
    sends: int,
) -> None:
    bad = CASES[name]
    crash_targets(site, instances, bad)
    # It is everybody's turn.
    pass_time(site, 20.0)
    wait_for_targets(site, instances)
    before = sends_of(site, bad)
    copies = [gevent.spawn(ask, site, i, bad) for i in instances]
    gevent.joinall(copies)
    assert sends_of(site, bad) == before + sends


# A request that came with another query each time counted as a new one.
def test_a_request_with_changing_queries_is_kept_from_targets(
    site: standins.Site, instances: list[gateway.GatewayInstance]
) -> None:
    variants = [
        Repeated(f"/look/x?page={n}", body=b"bad") for n in range(MAX_TRIES)
    ]
    for variant in variants:
        crash_on(site, variant)
    late = 0
    for number, variant in enumerate(variants):
        known = len(site.crashed) >= CRASHES
        ask(site, instances[number % 3], variant)
        late += known and sends_of(site, variant) > 0
        wait_for_targets(site, instances)
        pass_time(site, 1.0)
    assert len(site.crashed) >= CRASHES
    assert late <= MAX_LATE_SENDS


# An answer to one query clears the path, but not the query that crashes.
def test_other_queries_of_a_path_are_served(
    site: standins.Site, instances: list[gateway.GatewayInstance]
) -> None:
    bad = Repeated("/look/x?page=bad", body=b"same")
    sound = Repeated("/look/x?page=sound", body=b"same")
    for instance in instances:
        assert ask(site, instance, sound).status == 200
    crash_on(site, bad)
    for number in range(6):
        ask(site, instances[number % 3], bad)
        wait_for_targets(site, instances)
        site.clock.advance(1.0)
        assert ask(site, instances[number % 3], sound).status == 200
    assert len(site.crashed) <= CRASHES + MAX_LATE_SENDS


BAD = Repeated("/look/x", body=b"bad")
BAD_STREAM = Repeated("/chat/x", ONE_BLOCK, b"bad")


# Requests that share path, body or caller with one that crashes targets must
# not be taken for it.
@pytest.mark.parametrize("bad", [BAD, BAD_STREAM])
@pytest.mark.parametrize(
    "change", [{"body": b"other"}, {"path": "y"}, {"caller": "Basic b"}]
)
def test_similar_requests_are_served(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    bad: Repeated,
    change: dict[str, object],
) -> None:
    if "path" in change:
        change = {"path": bad.path.removesuffix("x") + "y"}
    similar = dataclasses.replace(bad, **change)  # type: ignore[arg-type]
    crash_on(site, bad)
    for number in range(6):
        ask(site, instances[number % 3], bad)
        wait_for_targets(site, instances)
        site.clock.advance(1.0)
        assert ask(site, instances[number % 3], similar).status == 200


# Equal sound requests were under way on several targets when these crashed.
# If no target has answered one before, they look like the cause.
@pytest.mark.parametrize("bad", [BAD, BAD_STREAM])
@pytest.mark.parametrize("beside", [True, False])
@pytest.mark.parametrize("popular", [True, False])
def test_equal_sound_requests_are_served_again(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    bad: Repeated,
    beside: bool,
    popular: bool,
) -> None:
    sound = dataclasses.replace(bad, body=b"sound")
    if popular:
        for instance in instances:
            assert ask(site, instance, sound).status == 200
    crash_on(site, bad)
    for _ in range(2):
        for engine in site.targets.values():
            engine.pause_s = 0.3
            engine.crash_after_s = 0.05
        copies = [
            gevent.spawn(ask, site, instance, sound)
            for instance in instances * 4
        ]
        gevent.sleep(0.1)
        if beside:
            ask(site, instances[0], bad)
        else:
            # All targets end at the same moment.
            for engine in list(site.targets.values()):
                if engine.name not in site.crashed:
                    engine.crash()
        gevent.joinall(copies)
        wait_for_targets(site, instances)
    assert len(site.crashed) >= CRASHES
    for engine in site.targets.values():
        engine.pause_s = engine.crash_after_s = 0.0
    if not popular:
        pass_time(site, SERVED_WITHIN_S)
        # Whoever comes first at each instance may be asked to come back.
        for instance in instances * 2:
            ask(site, instance, sound)
        pass_time(site, 1.0)
    site.clock.advance(1.0)
    replies = [ask(site, i, sound) for i in instances * 2]
    assert [reply.status for reply in replies] == [200] * len(replies)
