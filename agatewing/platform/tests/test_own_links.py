"""What an instance knows of its own links to targets.

Links are cut between some instances and targets; callers, the log and the
other instances still reach them.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import logging
import random
import time

import gevent
import pytest
import result

from agatewing import detour
from agatewing import gateway
from agatewing.platform import standins
from agatewing.platform.tests import _silences

Picture = standins.Picture
#: Longest time until a cut or a healing is known, in seconds.
KNOWN_S = 1.0
#: The same for a cut that spares targets of the same service: a target counts
#: as lost only after it was tried.
SOME_KNOWN_S = 3.0
#: Time between two requests of a service at an instance, in seconds.
PERIOD_S = 0.1
#: Services and how many targets they have.
TARGETS = {"ledger": 4, "chat": 4, "single": 1}


class Traffic:
    """Sends requests for every service to every instance."""

    def __init__(
        self,
        site: standins.Site,
        instances: dict[str, gateway.GatewayInstance],
    ) -> None:
        self._site = site
        self._instances = instances
        self._numbers = itertools.count(1)
        self._loops: list[gevent.Greenlet] = []

    def __enter__(self) -> "Traffic":
        for number, (instance, service) in enumerate(
            itertools.product(self._instances.values(), TARGETS)
        ):
            self._loops.append(
                gevent.spawn_later(
                    number * 0.01, self._send_all, instance, service
                )
            )
        return self

    def __exit__(self, *args: object) -> None:
        gevent.killall(self._loops)

    def _send_all(
        self, instance: gateway.GatewayInstance, service: str
    ) -> None:
        while True:
            gevent.spawn(self._send, instance, service)
            gevent.sleep(PERIOD_S)

    def _send(self, instance: gateway.GatewayInstance, service: str) -> None:
        headers = {"X-Deadline-Ms": "1500", "X-Token-Count": "400,20"}
        with contextlib.suppress(OSError, AssertionError):
            self._site.ask(
                instance, f"/{service}/x", f"q{next(self._numbers)}", headers
            )


def build(site: standins.Site, answers: int = 5) -> None:
    for service, count in TARGETS.items():
        kind = "streaming" if service == "chat" else "safe"
        role = "decode" if service == "chat" else None
        changes = {"sticky": True} if service == "chat" else {}
        site.route(f"/{service}/", kind, service, **changes)
        for number in range(count):
            target = site.add_target(f"{service}-{number}", service, role)
            target.answers_per_connection = answers
    site.publish()


def start(
    site: standins.LinkedSite, count: int = 4
) -> dict[str, gateway.GatewayInstance]:
    made = {f"i{n}": site.start(f"i{n}") for n in range(count)}
    for instance in made.values():
        site.wait(lambda: instance.lifecycle.ready)
        site.wait(lambda: len(instance.peers.known) == count - 1)
        site.wait(lambda: len(instance.catalog.targets) == len(site.targets))
    return made


def names_of(*services: str) -> list[str]:
    return [f"{s}-{n}" for s in services for n in range(TARGETS[s])]


def lost(instance: gateway.GatewayInstance) -> set[str]:
    return {service for service in TARGETS if instance.links.lost(service)}


def lost_targets(instance: gateway.GatewayInstance) -> set[str]:
    return {
        name
        for name, tracked in instance.registry.by_id.items()
        if instance.links.lost_to(tracked)
    }


def time_until(condition: collections.abc.Callable[[], object]) -> float:
    """Return the time until a condition holds, in seconds."""
    began_at = time.monotonic()
    while not condition():
        gevent.sleep(0.01)
        assert time.monotonic() - began_at < 5.0, "not within 5 s"
    return time.monotonic() - began_at


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Links that are cut, and what follows."""

    picture: Picture
    #: Targets that are not reached.
    targets: list[str]
    #: Services of which none is reached.
    services: set[str]

    @property
    def answers(self) -> int:
        """Answers after which targets close a connection.

        What spares some targets shows only on new connections.
        """
        return 5 if self.services else 1


CUTS = {
    f"{name}, {picture}": Cut(picture, targets, services)
    for picture in Picture
    for name, targets, services in (
        ("all", names_of(*TARGETS), set(TARGETS)),
        ("one service", names_of("ledger"), {"ledger"}),
        ("the single target", names_of("single"), {"single"}),
        ("some targets", ["ledger-0", "ledger-1", "chat-0", "chat-3"], set()),
    )
}


# An instance without links held its targets for faulty, and did not notice
# that they were reached again.
@pytest.mark.parametrize("name", CUTS)
def test_a_cut_and_its_end_are_known_within_a_second(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    cut = CUTS[name]
    caplog.set_level(logging.INFO, logger="agatewing.links")
    with standins.LinkedSite() as site, _silences.StillWatch() as watch:
        build(site, cut.answers)
        instances = start(site)
        sound = [instances["i2"], instances["i3"]]
        severed = [instances["i0"], instances["i1"]]
        with Traffic(site, instances):
            gevent.sleep(1.0)
            assert not any(lost_targets(i) for i in instances.values())
            site.cut(["i0", "i1"], cut.picture, cut.targets)
            known_s = time_until(
                lambda: (
                    all(lost(i) == cut.services for i in severed)
                    and all(
                        set(cut.targets) <= lost_targets(i) for i in severed
                    )
                )
            )
            gevent.sleep(1.5)
            peers = {
                name
                for i in severed
                for service in cut.services
                for name in i.links.reaching(service)
            }
            assert all(lost(i) == cut.services for i in severed)
            assert not any(lost_targets(i) for i in sound)
            site.heal(["i0", "i1"])
            healed_s = time_until(
                lambda: not any(lost_targets(i) for i in severed)
            )
            gevent.sleep(0.5)
            assert not any(lost_targets(i) for i in instances.values())
    print(f"{name}: known {known_s:.2f} s, healed {healed_s:.2f} s")
    assert peers <= {"i2", "i3"}
    assert bool(peers) == bool(cut.services)
    messages = [record.getMessage() for record in caplog.records]
    assert "links: own paths lost" in messages
    assert "links: own paths restored" in messages
    known_within_s = KNOWN_S if cut.services else SOME_KNOWN_S
    assert known_s < known_within_s + watch.longest_s
    assert healed_s < KNOWN_S + watch.longest_s


Play = collections.abc.Callable[[standins.LinkedSite], None]
#: Time for which each disturbance lasts, in seconds.
DISTURBED_S = 2.0


def crash_one(site: standins.LinkedSite) -> None:
    engine = site.targets["ledger-0"]
    engine.stop()
    engine.drop_connections()
    gevent.sleep(DISTURBED_S)


def crash_the_single_one(site: standins.LinkedSite) -> None:
    engine = site.targets["single-0"]
    engine.stop()
    engine.drop_connections()
    gevent.sleep(DISTURBED_S)


def come_back_at_once(site: standins.LinkedSite) -> None:
    for name in ("ledger-0", "chat-1", "single-0"):
        engine = site.targets[name]
        port = int(engine.address.rpartition(":")[2])
        engine.stop()
        engine.drop_connections()
        gevent.sleep(0.3)
        site.targets[name] = standins.EngineStandin(name, 3, port)
    gevent.sleep(DISTURBED_S)


def cut_for_all(
    picture: Picture, targets: list[str]
) -> collections.abc.Callable[[standins.LinkedSite], None]:
    def play(site: standins.LinkedSite) -> None:
        names = ["i0", "i1", "i2", "i3"]
        site.cut(names, picture, targets)
        gevent.sleep(DISTURBED_S)
        site.heal(names)
        gevent.sleep(DISTURBED_S)

    return play


def fall_silent(site: standins.LinkedSite) -> None:
    for length_s in (0.5, 2.0):
        for target in site.targets.values():
            target.voice.fall_silent(length_s)
        gevent.sleep(length_s + 0.5)


def answer_slowly(site: standins.LinkedSite) -> None:
    for target in site.targets.values():
        target.pause_s = 1.0
    gevent.sleep(2 * DISTURBED_S)


def have_no_room(site: standins.LinkedSite) -> None:
    # Open connections are served, further ones are reset.
    for name in ("ledger-0", "single-0"):
        site.targets[name]._server.set_handle(
            lambda sock, address: standins.reset(sock)
        )
    gevent.sleep(DISTURBED_S)


def lose_single_packets(site: standins.LinkedSite) -> None:
    rng = random.Random(7)
    for _ in range(60):
        instance = rng.choice(["i0", "i1", "i2", "i3"])
        target = rng.choice(sorted(site.targets))
        site.cut([instance], Picture.HANG, [target])
        gevent.sleep(0.03)
        site.heal([instance])


def stand_still(site: standins.LinkedSite) -> None:
    for _ in range(3):
        time.sleep(1.2)
        gevent.sleep(0.4)


def set_the_clock_forward(site: standins.LinkedSite) -> None:
    for _ in range(3):
        site.clock.advance(1.5)
        gevent.sleep(0.4)


def ask_peers_of_the_previous_release(site: standins.LinkedSite) -> None:
    for instance in site.instances:
        del instance.peers.replies[detour.LINK_STREAM]
    site.cut(["i0"], Picture.HANG)
    gevent.sleep(DISTURBED_S)


NO_CUTS: dict[str, Play] = {
    "nothing happens": lambda site: gevent.sleep(DISTURBED_S),
    "a target crashes": crash_one,
    "the single target crashes": crash_the_single_one,
    "targets are back after a moment": come_back_at_once,
    "a target hangs for everyone": cut_for_all(Picture.HANG, ["ledger-0"]),
    "a target refuses everyone": cut_for_all(Picture.LIVE_ON, ["chat-0"]),
    **{
        f"nobody reaches anything, {picture}": cut_for_all(
            picture, names_of(*TARGETS)
        )
        for picture in Picture
    },
    "all targets are silent": fall_silent,
    "all targets are slow": answer_slowly,
    "targets have no room for connections": have_no_room,
    "single packets are lost": lose_single_packets,
    "the process stands still": stand_still,
    "timers are late": set_the_clock_forward,
    "peers are of the previous release": ask_peers_of_the_previous_release,
}


# Targets at fault, or that are only slow, were taken for lost links, and got
# no requests any more.
@pytest.mark.parametrize("name", NO_CUTS)
def test_no_links_are_lost(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    with standins.LinkedSite() as site:
        build(site)
        instances = start(site)
        with Traffic(site, instances):
            gevent.sleep(0.5)
            with caplog.at_level(logging.INFO, logger="agatewing.links"):
                NO_CUTS[name](site)
        probes = sum(i.links.probes for i in instances.values())
        questions = sum(i.links.questions for i in instances.values())
    print(f"{name}: {probes} probes, {questions} questions")
    lines = [
        (getattr(record, "service"), getattr(record, "targets"))
        for record in caplog.records
        if record.getMessage() == "links: own paths lost"
    ]
    assert not lines
    if name == "nothing happens":
        assert not probes and not questions


# Peers were slow when a cut was looked into. It was given up, and as the
# targets got no requests for being faulty, nobody looked again.
def test_a_cut_is_found_when_peers_answer_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with standins.LinkedSite() as site:
        build(site)
        instances = start(site, 3)
        cut = instances["i0"]
        site.cut(["i0"], Picture.RESET, names_of("ledger"))
        with monkeypatch.context() as patch:
            patch.setattr(
                cut.links._exchange,
                "_ask_peer",
                lambda address, request: result.Err("no answer"),
            )
            headers = {"X-Deadline-Ms": "1500"}
            site.ask(cut, "/ledger/x", "q1", headers)
            gevent.sleep(1.5)
            assert not lost_targets(cut)
        known_s = time_until(lambda: lost(cut) == {"ledger"})
        probes = cut.links.probes
        site.heal(["i0"])
        time_until(lambda: not lost_targets(cut))
        gevent.sleep(0.5)
        assert not len(cut.links._next_looks)
    print(f"known {known_s:.2f} s, {probes} probes")


# An instance without requests opened connections all the same.
def test_nothing_is_probed_without_a_suspicion() -> None:
    with standins.LinkedSite() as site:
        build(site)
        instances = start(site, 2)
        site.cut(["i0"], Picture.HANG)
        gevent.sleep(1.5)
        assert not any(i.links.probes for i in instances.values())
        assert not any(i.links.questions for i in instances.values())
