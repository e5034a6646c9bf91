"""One episode: instances as processes, callers, and injected faults."""

import collections.abc
import contextlib
import dataclasses
import functools
import pathlib
import random
import signal
import tempfile
import time

import gevent
import gevent.socket
import msgspec

from agatewing import harness
from agatewing.platform.soak import _callers
from agatewing.platform.soak import _checks
from agatewing.platform.soak import _proxy
from agatewing.platform import standins

Behaviour = standins.Behaviour

#: Pause before each event of a stream, in seconds, so that faults meet
#: streams under way.
EVENT_PERIOD_S = 0.05
#: Instances in an episode.
INSTANCES = 3
#: Shortest and longest time between the starts of two faults, in seconds.
FAULT_PERIOD_S = (0.1, 0.8)
#: Shortest and longest duration of a fault, in seconds.
FAULT_DURATION_S = (0.2, 3.0)
#: Shortest time for which targets fall silent, in seconds.
MIN_SILENCE_S = 0.5
#: Time limit for a process to stop, in seconds; longer than its own limit for
#: an orderly stop.
STOP_TIMEOUT_S = 10.0
#: Time without faults at the end, in seconds, so that requests sent late have
#: run before the check.
FAULT_FREE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """What a target publishes about itself."""

    #: Service that it belongs to.
    service: str
    #: Role of an engine; ``None`` for a target of a plain service.
    role: str | None
    #: Software version.
    version: str


PLAIN, STREAMS = _callers.PLAIN_SERVICE, _callers.STREAM_SERVICE
#: Targets by id.
TARGETS = {
    "t1": TargetSpec(PLAIN, None, "v1"),
    "t2": TargetSpec(PLAIN, None, "v1"),
    "e1": TargetSpec(STREAMS, "decode", "v1"),
    "e2": TargetSpec(STREAMS, "decode", "v1"),
    "e3": TargetSpec(STREAMS, "decode", "v2"),
    "p1": TargetSpec(STREAMS, "prefill", "v2"),
}
#: Targets that fall silent together, besides single ones.
GROUPS = (
    ("t1", "t2"),
    ("e1", "e2"),
    ("e1", "e2", "e3", "p1"),
    tuple(TARGETS),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of an episode."""

    #: Seed of its faults and requests.
    seed: int
    #: Number of replies by status; 0 for connections without a reply.
    statuses: dict[int, int]
    #: Faults in the order of their start.
    faults: tuple[str, ...]
    #: Broken promises, one line each; empty if all held.
    violations: tuple[str, ...]
    #: Attempts without a complete 200 reply, each with its status.
    failed: tuple[str, ...]


class Episode:
    """Runs the schedule of one seed; ends only processes it started."""

    def __init__(
        self,
        seed: int,
        duration_s: float,
        logs: pathlib.Path | None = None,
        only: tuple[str, ...] = (),
    ) -> None:
        # Beginnings of the names of the faults to draw; all if empty.
        self._only = only
        self._log_folder = logs
        self._seed = seed
        self._duration_s = duration_s
        self._random = random.Random(seed)
        self._records = _checks.CallerRecords()
        self._faults: list[str] = []
        self._processes: dict[str, harness.Process] = {}
        self._settings_folder = pathlib.Path()
        self._added_routes = 0

    def run(self) -> Verdict:
        """Run the episode and return its result."""
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self._settings_folder = pathlib.Path(folder)
            self._site = stack.enter_context(standins.Site())
            stack.callback(self._kill_processes)
            self._start_site()
            self._inject_faults()
            gevent.sleep(FAULT_FREE_S)
            engines = list(self._site.targets.values())
            return Verdict(
                self._seed,
                dict(sorted(self._records.statuses.items())),
                tuple(self._faults),
                tuple(self._records.violations(engines)),
                tuple(self._records.failed()),
            )

    def _start_site(self) -> None:
        """Publish targets behind proxies and start the instances."""
        site = self._site
        timeout_ms = int(_checks.ROUTE_TIMEOUT_S * 1_000)
        add_route = functools.partial(site.route, timeout_ms=timeout_ms)
        add_route("/pay/", "unsafe", PLAIN, max_attempts=3)
        add_route("/look/", "safe", PLAIN, max_attempts=3)
        add_route("/draft/", "streaming", STREAMS, sticky=True)
        add_route("/chat/", "streaming", STREAMS, sticky=True, resumable=True)
        self._proxies: dict[str, _proxy.Proxy] = {}
        for name, spec in TARGETS.items():
            engine = site.add_target(
                name, spec.service, spec.role, _callers.EVENTS
            )
            engine.event_suffix = f" {spec.version}"
            engine.pause_s = EVENT_PERIOD_S
            self._proxies[name] = _proxy.Proxy(engine.address)
            site.announce(
                name,
                spec.service,
                spec.role,
                address=self._proxies[name].address,
                version=spec.version,
                seq=2,
            )
        self._log_proxy = _proxy.Proxy(site.store.address)
        site.publish()
        self._settings = {
            f"i{n}": site.settings(f"i{n}", self._log_proxy.address)
            for n in range(INSTANCES)
        }
        for name in self._settings:
            self._start(name)
        site.wait(lambda: all(map(self._is_ready, self._settings)))

    def _start(self, name: str) -> None:
        path = self._settings_folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(self._settings[name]))
        process = harness.Process(
            name,
            "agatewing.gatewayd",
            ["--settings", str(path)],
            self._log_folder or self._settings_folder,
        )
        process.start()
        self._processes[name] = process

    def _is_ready(self, name: str) -> bool:
        host, _, port = str(self._settings[name]["ready_address"]).rpartition(
            ":"
        )
        try:
            with gevent.socket.create_connection((host, int(port))) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _inject_faults(self) -> None:
        """Run the callers and inject random faults until the duration ends."""
        begun_at = time.monotonic()
        callers = _callers.Callers(
            self._seed,
            self._records,
            {
                name: str(settings["caller_address"])
                for name, settings in self._settings.items()
            },
        )
        callers.start()
        deadline = time.monotonic() + self._duration_s
        active: list[gevent.Greenlet] = []
        while time.monotonic() < deadline:
            gevent.sleep(self._random.uniform(*FAULT_PERIOD_S))
            fault_s = self._random.uniform(*FAULT_DURATION_S)
            name, fault = self._random.choice(
                [
                    (name, fault)
                    for name, fault in self._possible_faults()
                    if not self._only or name.startswith(self._only)
                ]
            )
            at_s = time.monotonic() - begun_at
            self._faults.append(f"{at_s:.2f} s: {name} for {fault_s:.2f} s")
            active.append(gevent.spawn(fault, fault_s))
        gevent.joinall(active)
        callers.stop()

    def _possible_faults(
        self,
    ) -> collections.abc.Iterator[
        tuple[str, collections.abc.Callable[[float], None]]
    ]:
        """Yield the name and function of each possible fault.

        The order decides which fault a seed draws.
        """
        for name in self._settings:
            yield f"pause {name}", functools.partial(self._pause, name)
            yield f"kill {name}", functools.partial(self._kill, name)
            yield f"stop {name}", functools.partial(self._stop, name)
            yield f"reload {name}", functools.partial(self._reload, name)
        for mode in list(standins.StoreMode)[1:]:
            yield f"log {mode}", functools.partial(self._degrade_log, mode)
        for target in self._proxies:
            for kind in list(_proxy.ProxyMode)[1:]:
                fault = functools.partial(self._degrade_link, target, kind)
                yield f"link to {target} {kind}", fault
        for behaviour in list(Behaviour)[1:]:
            fault = functools.partial(self._script_behaviour, behaviour)
            yield f"targets {behaviour}", fault
        yield "configuration", self._change_configuration
        for group in (*((name,) for name in TARGETS), *GROUPS):
            names = ", ".join(group)
            yield (
                f"silence of {names}",
                functools.partial(self._silence, group),
            )

    def _pause(self, name: str, fault_s: float) -> None:
        process = self._processes[name]
        disturbance = self._records.disturbances.begin(name)
        process.freeze()
        gevent.sleep(fault_s)
        process.thaw()
        disturbance.end()

    def _kill(self, name: str, fault_s: float) -> None:
        process = self._processes[name]
        disturbance = self._records.disturbances.begin(name)
        process.kill()
        gevent.sleep(fault_s)
        if self._processes[name] is process:
            self._start(name)
        disturbance.end()

    def _stop(self, name: str, fault_s: float) -> None:
        """Stop an instance in an orderly way, then start it again."""
        process = self._processes[name]
        process.stop()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while process.running and time.monotonic() < deadline:
            gevent.sleep(0.05)
        if self._processes[name] is process:
            self._start(name)

    def _reload(self, name: str, fault_s: float) -> None:
        settings = {**self._settings[name], "log_level": "DEBUG"}
        path = self._settings_folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        self._processes[name].send(signal.SIGHUP)

    def _degrade_log(self, mode: standins.StoreMode, fault_s: float) -> None:
        self._site.store.mode = mode
        gevent.sleep(fault_s)
        self._site.store.mode = standins.StoreMode.FINE

    def _degrade_link(
        self, target: str, mode: _proxy.ProxyMode, fault_s: float
    ) -> None:
        """Inject a network fault; CUT also closes open connections."""
        proxy = self._proxies[target]
        disturbance = None
        if mode is _proxy.ProxyMode.CUT:
            service = TARGETS[target].service
            disturbance = self._records.disturbances.begin(service)
        proxy.mode = mode
        if mode is _proxy.ProxyMode.CUT:
            proxy.break_connections()
        gevent.sleep(fault_s)
        proxy.mode = _proxy.ProxyMode.FINE
        if disturbance is not None:
            disturbance.end()

    def _silence(self, names: tuple[str, ...], fault_s: float) -> None:
        """Let targets send nothing for a time, with all connections open."""
        for name in names:
            self._proxies[name].silence(max(MIN_SILENCE_S, fault_s))

    def _script_behaviour(self, behaviour: Behaviour, fault_s: float) -> None:
        for engine in self._site.targets.values():
            engine.script.append(behaviour)

    def _change_configuration(self, fault_s: float) -> None:
        self._added_routes += 1
        self._site.route(f"/new{self._added_routes}/", "safe", PLAIN)
        self._site.publish()

    def _kill_processes(self) -> None:
        """Kill the processes, also frozen ones, and stop the proxies."""
        for process in self._processes.values():
            process.thaw()
            process.kill()
        for proxy in (*self._proxies.values(), self._log_proxy):
            proxy.stop()
