"""Prompts with a prefix block that crashes each engine."""

import collections.abc
import itertools

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins

#: Time after the fifth crash in which all instances must have learned which
#: block it is, in seconds: ``stable_window_ms`` of the users' sites.
LEARN_S = 3.0
#: Crashes after which that time begins, and requests that may still reach
#: engines after it; both are the users' rule.
CRASHES = 5
MAX_LATE_SENDS = 3
#: Engines that one request may crash: its first and one more, besides one
#: that was silent.
MAX_CRASHES_OF_ONE = 3
#: Tries of one test to get so many crashes.
MAX_TRIES = 40

_NUMBERS = itertools.count(1)


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/draft/", "streaming", sticky=True)
        made.route("/chat/", "streaming", sticky=True, resumable=True)
        made.route("/look/", "safe", max_attempts=3)
        for name in ("e1", "e2", "e3", "e4"):
            made.add_target(name)
        made.add_target("p1", role="prefill")
        made.publish()
        yield made


@pytest.fixture
def instances(site: standins.Site) -> list[gateway.GatewayInstance]:
    made = [site.start(name) for name in ("i1", "i2", "i3")]
    site.wait(lambda: all(i.lifecycle.ready for i in made))
    site.wait(lambda: all(len(i.peers.known) == 2 for i in made))
    site.wait(lambda: all(len(i.catalog.targets) == 5 for i in made))
    return made


def ask(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    block: str,
    count: str = "1200,20",
) -> standins.Reply:
    """Send a prompt whose second prefix block is ``block``."""
    number = next(_NUMBERS)
    prefix = f"system:500,{block}:300,own{number}:400"
    headers = {"X-Token-Count": count, "X-Prefix-Hash": prefix}
    return site.ask(instance, path, f"a{number}", headers)


def runs_with(site: standins.Site, block: str) -> int:
    """Return how many requests with a prefix block reached engines."""
    field = f",{block}:"
    return sum(
        field in run.headers.get("x-prefix-hash", "")
        for engine in site.targets.values()
        for run in (*engine.runs, *engine.prefills)
    )


def crash_engines(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    path: str,
    block: str,
    count: str,
) -> None:
    """Send prompts with a block until so many engines have crashed.

    Ends early if no prompt gets through any more. Sound prompts are sent
    between them.
    """
    for number in range(MAX_TRIES):
        if len(site.crashed) >= CRASHES:
            return
        instance = instances[number % len(instances)]
        ask(site, instance, path, block, count)
        ask(site, instance, path, "sound", count)
        gevent.sleep(standins.RESTART_S)


# Requests whose prompts shared a prefix block crashed one engine after the
# other, as no instance learned from the crashes that others saw.
@pytest.mark.parametrize(
    ("path", "count"),
    [
        ("/draft/x", "1200,20"),
        ("/chat/x", "1200,20"),
        ("/look/x", "1200,20"),
        # Prefilled at another engine, which does not crash.
        ("/chat/x", "6000,20"),
    ],
)
def test_a_block_that_crashes_engines_is_kept_from_them(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    path: str,
    count: str,
) -> None:
    site.crash_blocks.add("bad")
    crash_engines(site, instances, path, "bad", count)
    gevent.sleep(LEARN_S)
    before = runs_with(site, "bad")
    replies = [ask(site, i, path, "bad", count) for i in instances * 3]
    assert runs_with(site, "bad") - before <= MAX_LATE_SENDS
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) >= len(replies) - MAX_LATE_SENDS
    for reply in refused:
        assert float(reply.headers["retry-after"]) > LEARN_S


# Sound prompts that share the first block with those that crash engines, and
# broke off with them, must not be taken for the cause.
@pytest.mark.parametrize("path", ["/draft/x", "/chat/x"])
def test_sound_prompts_with_the_same_first_block_are_served(
    site: standins.Site, instances: list[gateway.GatewayInstance], path: str
) -> None:
    site.crash_blocks.add("bad")
    for engine in site.targets.values():
        engine.pause_s = 0.02
    for instance in instances:
        assert ask(site, instance, path, "sound").status == 200
    for number in range(6):
        beside = [
            gevent.spawn(ask, site, instance, path, f"sound{number}")
            for instance in instances
        ]
        ask(site, instances[number % len(instances)], path, "bad")
        gevent.joinall(beside)
        gevent.sleep(standins.RESTART_S)
    gevent.sleep(LEARN_S)
    replies = [
        ask(site, instance, path, f"sound{number}")
        for instance in instances
        for number in range(6)
    ]
    assert [reply.status for reply in replies] == [200] * len(replies)


# Beside a silent engine, further ones were tried though the request had
# crashed those before.
@pytest.mark.parametrize("path", ["/chat/y", "/look/y"])
def test_a_silent_engine_lets_a_prompt_crash_no_more_engines(
    path: str,
) -> None:
    with standins.Site() as made:
        made.route("/chat/", "streaming", max_attempts=6, sticky=True)
        made.routes[-1]["resumable"] = True
        made.route("/look/", "safe", max_attempts=6, timeout_ms=6_000)
        for number in range(6):
            made.add_target(f"e{number}")
        made.publish()
        instance = made.start()
        made.wait(lambda: len(instance.catalog.targets) == 6)
        made.wait(lambda: instance.lifecycle.ready)
        made.crash_blocks.add("bad")
        # 8,000 queued tokens make the silent engine the first choice.
        for name in ("e1", "e2", "e3", "e4", "e5"):
            instance.registry.by_id[name].record_sent(8_000)
            instance.registry.by_id[name].in_flight += 4
        made.targets["e0"].voice.fall_silent(6.5)
        ask(made, instance, path, "bad")
        assert len(made.crashed) <= MAX_CRASHES_OF_ONE
