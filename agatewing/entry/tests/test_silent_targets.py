"""Sound targets that fall silent for a while and then go on."""

import collections.abc
import dataclasses
import hashlib
import itertools
import json
import typing

import gevent
import gevent.event
import pytest

from agatewing import _clock
from agatewing import _compose
from agatewing import _exceptions
from agatewing import _types
from agatewing import calls
from agatewing import config
from agatewing import enginemodel
from agatewing import harness
from agatewing import net
from agatewing import platform_services
from agatewing.standins import _http
from agatewing.standins import engine
from agatewing.standins import instances
from agatewing.standins import log
from agatewing.standins import service

TOKEN = "shop-token"
#: Time that engines take until the head of an answer, in seconds; they may
#: send it with the first token or comment.
HEAD_S = 0.9
#: Time that a call of the plain service takes, in seconds.
CALL_S = 3.6
#: Longest wait for the instances to be ready, in seconds.
READY_LIMIT_S = 20.0
SILENCES_S = (0.5, 1.0, 1.6, 2.2, 3.0)
ENGINES = ("e1", "e2", "e3")
TARGETS = ("t1", "t2", "t3")


class Silence:
    """Time for which a target does nothing."""

    def __init__(self) -> None:
        self._over = gevent.event.Event()
        self._over.set()

    def hold(self, seconds: float) -> None:
        self._over.clear()
        gevent.spawn_later(seconds, self._over.set)

    def wrap(self, app: net.Application, head_s: float) -> net.Application:
        """Return an application that stops before each write."""

        def silent(
            environ: net.Environ, start_response: net.StartResponse
        ) -> collections.abc.Iterator[bytes]:
            self._over.wait()
            blocks = app(environ, start_response)
            if "generate" in environ["PATH_INFO"]:
                gevent.sleep(head_s)
            try:
                for block in blocks:
                    self._over.wait()
                    yield block
            finally:
                close = getattr(blocks, "close", None)
                if close is not None:
                    close()

        return silent


class DirectList:
    """Reads the instance list without a network."""

    def __init__(self, model: instances.InstanceListModel) -> None:
        self.read = model.listed

    def close(self) -> None:
        pass


class Deployment:
    """Real instances in this process, with stand-ins of targets."""

    def __init__(
        self, engines: int, instances_: int = 2, call_s: float = CALL_S
    ) -> None:
        self._clock = _clock.SystemClock()
        self.silences = {
            name: Silence() for name in (*ENGINES[:engines], *TARGETS)
        }
        self._call_s = call_s
        self._ports = harness.PortLease()
        #: Port and application of each target, by name.
        self.applications: dict[str, tuple[int, net.Application]] = {}
        self.services: list[service.ServiceServer] = []
        #: Servers of the targets, by name.
        self.servers: dict[str, net.Server] = {}
        self._log = log.LogModel(self._clock)
        self._list = instances.InstanceListModel(self._clock, 0.1)
        self.document = self._start_targets(engines)
        self.instances = [
            self._start_instance(f"i{n}") for n in range(instances_)
        ]
        self.publish({}, config.to_plain(self.document))
        self._wait_until_ready()

    def _serve(self, name: str, handler: _http.Handler) -> str:
        app = self.wrap(name, _http.application(handler))
        # Nobody who still asks at a port of an earlier target meets it.
        [port] = self._ports.take(1)
        server = net.Server("127.0.0.1", port, app)
        server.start()
        self.servers[name] = server
        self.applications[name] = (server.port, app)
        return f"127.0.0.1:{server.port}"

    def wrap(self, name: str, app: net.Application) -> net.Application:
        """Return the application of a target, with its faults."""
        return self.silences[name].wrap(app, HEAD_S)

    def _start_targets(self, engines: int) -> config.Document:
        spec = enginemodel.EngineSpec(step_base_s=0.01)
        engine_rows, target_rows = {}, {}
        for name in ENGINES[:engines]:
            stand_in = engine.EngineServer(
                name, spec, _types.Role.MIXED, frozenset(), False, 0.2, ""
            )
            stand_in.start()
            address = self._serve(name, stand_in.route)
            engine_rows[name] = config.Engine(address, "z", "chat")
        for name in TARGETS:
            plain = service.ServiceServer(name, 1)
            plain.faults.slow_s = self._call_s
            self.services.append(plain)
            # One target for calls that may be repeated.
            kind = "reports" if name == "t1" else "orders"
            address = self._serve(name, plain.route)
            target_rows[name] = config.Target(address, "z", kind)
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        return config.Document(
            "d",
            {"r": config.Region(("z",))},
            {
                "chat": config.ModelService(("m",), 30.0),
                "reports": config.PlainService(30.0),
                "orders": config.PlainService(30.0),
            },
            engine_rows,
            target_rows,
            config.Rules(
                {"shop": config.Caller(digest)},
                at_most_once=(config.AtMostOnce("orders", "POST", "/*"),),
            ),
        )

    def _start_instance(self, name: str) -> _compose.Instance:
        caller, admin, peer = self._ports.take(3)
        settings = config.Settings(
            name, "z", "127.0.0.1", caller, admin, peer,
            "http://127.0.0.1:1", "http://127.0.0.1:1", "s" * 16, "s" * 16,
            leave_delay_s=0.0,
        )  # fmt: skip
        real = _compose.network_dependencies(settings)
        dependencies = dataclasses.replace(
            real,
            log=typing.cast(
                platform_services.LogClient,
                log.DirectLogClient(self._log, self._clock),
            ),
            instance_list=typing.cast(
                platform_services.InstanceListClient, DirectList(self._list)
            ),
        )
        instance = _compose.Instance(settings, self._clock, dependencies)
        instance.start()
        self._list.change(
            name,
            platform_services.ListedInstance(
                name, "z", f"127.0.0.1:{peer}", f"127.0.0.1:{admin}", "live"
            ),
        )
        return instance

    def publish(
        self,
        patch: dict[str, typing.Any],
        document: dict[str, typing.Any] | None = None,
    ) -> None:
        """Publish a configuration, or a patch of the one in force."""
        keeper = self.instances[0].config_keeper
        base = keeper.applied_version
        keeper.publish(
            base, "operator", document, None if document else patch, f"p{base}"
        )

    def _wait_until_ready(self) -> None:
        with gevent.Timeout(READY_LIMIT_S):
            while not all(map(_is_ready, self.instances)):
                gevent.sleep(0.05)

    def ask(self, kind: str, number: int, text: str = "sound") -> str:
        """Return what is wrong with an answer; empty if it is whole."""
        ports = [i.settings.caller_port for i in self.instances]
        client = net.HttpClient(
            f"127.0.0.1:{ports[number % len(ports)]}", silence_timeout_s=40.0
        )
        path, body = "/v1/completions", {
            "model": "m", "prompt": f"{text} {kind}", "max_tokens": 90,
            "stream": kind == "stream", "seed": 5,
        }  # fmt: skip
        headers = {"Authorization": f"Bearer {TOKEN}"}
        method = "POST"
        if kind == "safe":
            method, path = "GET", f"/services/reports/{text}"
        elif kind == "unsafe":
            path = f"/services/orders/{text}"
            key = calls.new_key(self._clock.wall(), number)
            headers["Idempotency-Key"] = str(key)
        try:
            answer = client.call(
                method, path, json.dumps(body).encode(), headers
            )
        except _exceptions.AgatewingError as exc:
            return f"{kind}: {exc}"
        finally:
            client.close()
        if answer.status != 200:
            return f"{kind}: {answer.status} {answer.body.decode()}"
        if kind == "stream" and not answer.body.endswith(b"data: [DONE]\n\n"):
            return f"{kind}: {answer.body[-300:].decode()}"
        return ""

    def ask_all(self, count: int) -> list[gevent.Greenlet]:
        kinds = {"stream": count, "json": count, "safe": 4, "unsafe": 4}
        return [
            gevent.spawn(self.ask, kind, number, f"sound-{number}")
            for kind, number_of in kinds.items()
            for number in range(number_of)
        ]

    def close(self) -> None:
        for instance in self.instances:
            instance.stop()
        for server in self.servers.values():
            server.stop(timeout=0)
        self._ports.close()


def _is_ready(instance: _compose.Instance) -> bool:
    engines = list(instance.fleet.engines())
    return (
        instance.gate.ready
        and instance.executor.available()
        and bool(engines)
        and all(e.load.routable for e in engines)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    engines: int
    #: Names of the targets that fall silent.
    silent: tuple[str, ...]
    #: Time from the requests until then, in seconds.
    after_s: float
    silence_s: float


GROUPS = {
    "one of several": (3, ("e1", "t1", "t2")),
    "all": (3, (*ENGINES, *TARGETS)),
    "the only engine": (1, ("e1", *TARGETS)),
}
TIMES_S = {"before the answer": -0.02, "inside the answer": 1.5}
CASES = {
    f"{group}, {time}, {silence_s} s": Case(*GROUPS[group], at, silence_s)
    for group, (time, at), silence_s in itertools.product(
        GROUPS, TIMES_S.items(), SILENCES_S
    )
}


# Answers were lost when the instance gave up a silent target and had no
# other one, or no retry, left.
@pytest.mark.parametrize("name", CASES)
def test_answers_of_silent_targets_are_whole(name: str) -> None:
    case = CASES[name]
    deployment = Deployment(case.engines)
    try:
        tasks = []
        if case.after_s > 0:
            tasks = deployment.ask_all(20)
            gevent.sleep(case.after_s)
        for target in case.silent:
            deployment.silences[target].hold(case.silence_s)
        gevent.spawn(
            deployment.publish, {"rules": {"idempotency_window_s": 800}}
        )
        tasks = tasks or deployment.ask_all(20)
        gevent.joinall(tasks)
        wrong = [task.value for task in tasks if task.value != ""]
        assert not wrong
        effects = [n for s in deployment.services for n in s.effects.values()]
        assert effects == [1] * 4
        broken = [i.invariants.violation_counts for i in deployment.instances]
        assert not any(broken)
    finally:
        deployment.close()
