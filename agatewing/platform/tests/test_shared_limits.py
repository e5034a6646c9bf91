"""Targets that limit the requests of all instances together."""

import collections.abc
import dataclasses
import itertools
import time

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins

PROMPT_HEADERS = {"X-Token-Count": "1200,20", "X-Prefix-Hash": "aa:800,bb:400"}
#: Time for the instances to adjust to a limit, in seconds:
#: ``stable_window_ms`` of the users' sites.
LEARN_S = 3.0
#: Time in which requests are counted then, in seconds, and how many more
#: than the limit allows may reach the target; both are the users' rule.
COUNT_S = 4.0
EXTRA_SHARE, EXTRA = 1.5, 5
#: Callers that ask each instance all the time, and their pause, in seconds.
CALLERS = 4
PAUSE_S = 0.05

_NUMBERS = itertools.count(1)


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/draft/", "streaming", sticky=True)
        made.route("/look/", "safe", "ledger", max_attempts=3)
        made.route("/pay/", "unsafe", "ledger", max_attempts=3)
        for name in ("e1", "e2"):
            made.add_target(name)
        for name in ("t1", "t2"):
            made.add_target(name, "ledger", None)
        made.publish()
        yield made


@pytest.fixture
def instances(site: standins.Site) -> list[gateway.GatewayInstance]:
    made = [site.start(name) for name in ("i1", "i2", "i3")]
    site.wait(lambda: all(i.lifecycle.ready for i in made))
    site.wait(lambda: all(len(i.peers.known) == 2 for i in made))
    site.wait(lambda: all(len(i.catalog.targets) == 4 for i in made))
    return made


class Callers:
    """Callers that ask all instances without a pause worth mentioning."""

    def __init__(
        self,
        site: standins.Site,
        instances: list[gateway.GatewayInstance],
        path: str,
    ) -> None:
        self._site = site
        self._path = path
        #: Status of each reply.
        self.statuses: list[int] = []
        #: Time until each refusal, in seconds.
        self.refusal_times: list[float] = []
        #: Replies of status 503 without a time to come back.
        self.without_time: list[standins.Reply] = []
        self._loops = [
            gevent.spawn(self._ask_forever, instance)
            for instance in instances
            for _ in range(CALLERS)
        ]

    def _ask_forever(self, instance: gateway.GatewayInstance) -> None:
        headers = PROMPT_HEADERS if self._path == "/draft/x" else {}
        while True:
            attempt = f"a{next(_NUMBERS)}"
            asked_at = time.monotonic()
            reply = self._site.ask(instance, self._path, attempt, headers)
            self.statuses.append(reply.status)
            if reply.status == 503:
                self.refusal_times.append(time.monotonic() - asked_at)
            if reply.status == 503 and "retry-after" not in reply.headers:
                self.without_time.append(reply)
            gevent.sleep(PAUSE_S)

    def stop(self) -> None:
        """End all loops."""
        gevent.killall(self._loops)


def most_in_window(arrivals: list[float], since: float) -> int:
    """Return the most arrivals in any window of ``COUNT_S``."""
    times = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= t < at + COUNT_S for t in times) for at in times),
        default=0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    path: str
    #: Limit of each target of the service, by name.
    limits: dict[str, str]
    #: Whether no target without a limit is left.
    all_limited: bool


CASES = {
    "one engine": Case("/draft/x", {"e1": "5.1"}, False),
    "all engines": Case("/draft/x", {"e1": "5.1", "e2": "2.9"}, True),
    "one plain target": Case("/look/x", {"t1": "3"}, False),
    "all plain targets": Case("/pay/x", {"t1": "3", "t2": "2.5"}, True),
}


# A target that named a limit for all instances together got as many requests
# as before, or that many from each of them.
@pytest.mark.parametrize("name", CASES)
def test_all_instances_together_keep_a_limit(
    site: standins.Site,
    instances: list[gateway.GatewayInstance],
    name: str,
) -> None:
    case = CASES[name]
    callers = Callers(site, instances, case.path)
    gevent.sleep(1.0)
    for target, limit in case.limits.items():
        site.targets[target].limit = limit
    named_at = site.targets["e1"].now()
    gevent.sleep(LEARN_S + COUNT_S + 1.0)
    callers.stop()
    for target, limit in case.limits.items():
        per_window = COUNT_S * float(limit)
        count = most_in_window(
            site.targets[target].arrivals, named_at + LEARN_S
        )
        assert count <= EXTRA_SHARE * per_window + EXTRA
        # Sound work is not stopped beyond what the limit asks for.
        assert not case.all_limited or count >= per_window / 2
    if not case.all_limited:
        assert set(callers.statuses) == {200}
    assert not callers.without_time


# Streams that a limit left no room for waited until near their deadline, long
# after their callers had given up.
def test_streams_are_refused_before_their_callers_give_up(
    site: standins.Site, instances: list[gateway.GatewayInstance]
) -> None:
    for name in ("e1", "e2"):
        site.targets[name].limit = "2"
    callers = Callers(site, instances, "/draft/x")
    gevent.sleep(LEARN_S + COUNT_S)
    callers.stop()
    route = instances[0].catalog.routes.find(standins.HOST, "/draft/x")
    assert route is not None
    assert callers.refusal_times
    assert max(callers.refusal_times) < route.patience_s


# A limit that a target names no more must not be kept.
def test_a_limit_ends_with_the_answers_that_name_it(
    site: standins.Site, instances: list[gateway.GatewayInstance]
) -> None:
    for name in ("e1", "e2"):
        site.targets[name].limit = "4"
    callers = Callers(site, instances, "/draft/x")
    gevent.sleep(1.0)
    for name in ("e1", "e2"):
        site.targets[name].limit = ""
    gevent.sleep(LEARN_S)
    callers.statuses.clear()
    gevent.sleep(1.0)
    callers.stop()
    assert callers.statuses
    assert set(callers.statuses) == {200}
