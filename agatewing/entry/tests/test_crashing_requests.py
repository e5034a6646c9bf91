"""Whole requests that crash each target that begins to run them."""

import collections.abc
import dataclasses
import io
import json

import gevent
import pytest
import result

from agatewing import _clock
from agatewing import _crash_exchange
from agatewing import _exceptions
from agatewing import decisions
from agatewing import entry
from agatewing.entry.tests import test_silent_targets
from agatewing import net

#: Time until a crashed target is back, and for which the request comes, in
#: seconds.
RESTART_S = 2.1
RUN_S = 16.0
PERIOD_S = 0.4
#: Runs up to which targets may crash: the first three, and three more.
RUN_LIMIT = 6


class Deployment(test_silent_targets.Deployment):
    """Instances whose targets crash on requests with the word ``bad``."""

    def __init__(self, instances: int) -> None:
        self.runs = 0
        super().__init__(3, instances, call_s=0.01)

    def wrap(self, name: str, app: net.Application) -> net.Application:
        """Return an application that stops its server on a bad request."""

        def crashing(
            environ: net.Environ, start_response: net.StartResponse
        ) -> collections.abc.Iterable[bytes]:
            body = environ["wsgi.input"].read()
            if b"bad" not in body and "bad" not in environ["PATH_INFO"]:
                environ["wsgi.input"] = io.BytesIO(body)
                return app(environ, start_response)
            self.runs += 1
            server = self.servers[name]
            server.close()
            gevent.spawn(self._restart, name, server)
            raise ConnectionResetError(104, "crashed")

        return crashing

    def _restart(self, name: str, server: net.Server) -> None:
        server.stop(timeout=0)
        gevent.sleep(RESTART_S)
        port, app = self.applications[name]
        self.servers[name] = net.Server("127.0.0.1", port, app)
        self.servers[name].start()


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    kind: str
    instances: int


CASES = {
    f"{kind}, {instances} instances": Case(kind, instances)
    for kind in ("stream", "json", "safe", "unsafe")
    for instances in (1, 4)
}


# Each time that such a request came, it ended two more targets; nothing was
# learned of requests without shared prefix blocks.
@pytest.mark.parametrize("name", CASES)
def test_a_request_that_crashes_targets_is_kept_from_them(name: str) -> None:
    case = CASES[name]
    deployment = Deployment(case.instances)
    try:
        assert not deployment.ask(case.kind, 1_000, "before")
        for number in range(int(RUN_S / PERIOD_S)):
            gevent.spawn(deployment.ask, case.kind, number, "bad")
            gevent.sleep(PERIOD_S)
        gevent.sleep(RESTART_S + 1.5)
        assert 1 <= deployment.runs <= RUN_LIMIT
        assert not deployment.ask(case.kind, 1_001, "before")
        assert not deployment.ask(case.kind, 1_002, "after")
    finally:
        deployment.close()


EVIDENCE = {
    "no JSON": "{",
    "another type": "[]",
    "fields of another type": '{"suspects": [{"block": "x"}]}',
    "nothing": "{}",
}


# Evidence that another version of the program sends must not end the
# exchange, nor keep sound requests from targets.
@pytest.mark.parametrize("name", EVIDENCE)
def test_evidence_that_cannot_be_used_is_ignored(name: str) -> None:
    clock = _clock.ManualClock()
    guard = entry.CrashGuard(clock, decisions.CrashSuspects())
    exchange = _crash_exchange.CrashExchange(
        clock,
        guard,
        lambda address, stream, key: result.Err(
            _exceptions.TargetSilentError(address, "not used")
        ),
        list,
    )
    reply = exchange.reply(EVIDENCE[name])
    assert json.loads(reply.state) == {"suspects": [], "served": []}
