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
from agatewing.platform.soak import _checks
from agatewing.platform.soak import _proxy
from agatewing.platform import standins

Behaviour = standins.Behaviour

#: Instances in an episode.
INSTANCES = 3
#: Events in each stream.
EVENTS = 4
#: Concurrent callers; each reuses its connection.
CALLERS = 6
#: Time limit of one blocking call on a caller's connection, in seconds.
REPLY_TIMEOUT_S = 4.0
#: Pause between two requests of a caller, in seconds.
REQUEST_PERIOD_S = 0.02
#: Shortest and longest time between the starts of two faults, in seconds.
FAULT_PERIOD_S = (0.1, 0.8)
#: Shortest and longest duration of a fault, in seconds.
FAULT_DURATION_S = (0.2, 2.5)
#: Time limit for a process to stop, in seconds; longer than its own limit for
#: an orderly stop.
STOP_TIMEOUT_S = 10.0
#: Time without faults at the end, in seconds, so that requests sent late have
#: run before the check.
FAULT_FREE_S = 4.0

#: Whether a request may run more than once, by its path.
IDEMPOTENT_BY_PATH = {
    "/pay/x": False,
    "/look/x": True,
    "/draft/x": False,
    "/chat/x": True,
}


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
    ) -> None:
        self._log_folder = logs
        self._seed = seed
        self._duration_s = duration_s
        self._random = random.Random(seed)
        self._records = _checks.CallerRecords()
        self._faults: list[str] = []
        self._processes: dict[str, harness.Process] = {}
        self._settings_folder = pathlib.Path()
        self._sending = True
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
        site.route("/pay/", "unsafe", "ledger", max_attempts=3)
        site.route("/look/", "safe", "ledger", max_attempts=3)
        site.route("/draft/", "streaming", sticky=True)
        site.route("/chat/", "streaming", sticky=True, resumable=True)
        self._proxies: dict[str, _proxy.Proxy] = {}
        for name, service, role, version in (
            ("t1", "ledger", None, "v1"),
            ("t2", "ledger", None, "v1"),
            ("e1", "chat", "decode", "v1"),
            ("e2", "chat", "decode", "v1"),
            ("e3", "chat", "decode", "v2"),
            ("p1", "chat", "prefill", "v2"),
        ):
            engine = site.add_target(name, service, role, EVENTS)
            engine.event_suffix = f" {version}"
            self._proxies[name] = _proxy.Proxy(engine.address)
            site.announce(
                name,
                service,
                role,
                address=self._proxies[name].address,
                version=version,
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
        callers = [gevent.spawn(self._run_caller, n) for n in range(CALLERS)]
        deadline = time.monotonic() + self._duration_s
        active: list[gevent.Greenlet] = []
        while time.monotonic() < deadline:
            gevent.sleep(self._random.uniform(*FAULT_PERIOD_S))
            fault_s = self._random.uniform(*FAULT_DURATION_S)
            name, fault = self._random.choice(list(self._possible_faults()))
            self._faults.append(f"{name} for {fault_s:.2f} s")
            active.append(gevent.spawn(fault, fault_s))
        gevent.joinall(active)
        self._sending = False
        gevent.joinall(callers)

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
        for target, proxy in self._proxies.items():
            for kind in list(_proxy.ProxyMode)[1:]:
                fault = functools.partial(_degrade_link, proxy, kind)
                yield f"link to {target} {kind}", fault
        for behaviour in list(Behaviour)[1:]:
            fault = functools.partial(self._script_behaviour, behaviour)
            yield f"targets {behaviour}", fault
        yield "configuration", self._change_configuration

    def _pause(self, name: str, fault_s: float) -> None:
        process = self._processes[name]
        process.freeze()
        gevent.sleep(fault_s)
        process.thaw()

    def _kill(self, name: str, fault_s: float) -> None:
        process = self._processes[name]
        process.kill()
        gevent.sleep(fault_s)
        if self._processes[name] is process:
            self._start(name)

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

    def _script_behaviour(self, behaviour: Behaviour, fault_s: float) -> None:
        for engine in self._site.targets.values():
            engine.script.append(behaviour)

    def _change_configuration(self, fault_s: float) -> None:
        self._added_routes += 1
        self._site.route(f"/new{self._added_routes}/", "safe", "ledger")
        self._site.publish()

    def _run_caller(self, caller: int) -> None:
        """Send requests until the episode ends.

        Opens a new connection at random, and after the previous one broke or
        was closed.
        """
        rng = random.Random(f"{self._seed}/{caller}")
        number = 0
        sock: gevent.socket.socket | None = None
        while self._sending:
            gevent.sleep(REQUEST_PERIOD_S)
            number += 1
            path = rng.choice(list(IDEMPOTENT_BY_PATH))
            name = rng.choice(list(self._settings))
            is_stream = path in ("/draft/x", "/chat/x")
            attempt = _checks.Attempt(
                f"c{caller}-{number}",
                IDEMPOTENT_BY_PATH[path],
                EVENTS if is_stream else 0,
            )
            self._records.record_attempt(attempt)
            if sock is None or rng.random() < 0.3:
                sock = self._connect(name, sock)
            if sock is None:
                continue
            reply = _send_attempt(sock, path, attempt, rng)
            self._records.record_reply(attempt.id, reply)
            keep_alive = reply.headers.get("connection") != "close"
            if not reply.complete or not keep_alive:
                sock.close()
                sock = None
            if path == "/chat/x" and not reply.complete:
                self._take_up(attempt, reply, rng)

    def _take_up(
        self,
        began: _checks.Attempt,
        reply: standins.Reply,
        rng: random.Random,
    ) -> None:
        """Take a stream that broke off up once, at any instance."""
        ids = _checks.event_ids(reply.body.rpartition(b"\n\n")[0])
        if not ids:
            return
        attempt = dataclasses.replace(
            began, id=f"{began.id}r", resumes=began.id, after=ids[-1]
        )
        self._records.record_attempt(attempt)
        sock = self._connect(rng.choice(list(self._settings)), None)
        if sock is not None:
            again = _send_attempt(sock, "/chat/x", attempt, rng)
            self._records.record_reply(attempt.id, again)
            sock.close()

    def _connect(
        self, name: str, previous: gevent.socket.socket | None
    ) -> gevent.socket.socket | None:
        if previous is not None:
            previous.close()
        host, _, port = str(self._settings[name]["caller_address"]).rpartition(
            ":"
        )
        try:
            return gevent.socket.create_connection((host, int(port)), 1.0)
        except OSError:
            return None

    def _kill_processes(self) -> None:
        """Kill the processes, also frozen ones, and stop the proxies."""
        for process in self._processes.values():
            process.thaw()
            process.kill()
        for proxy in (*self._proxies.values(), self._log_proxy):
            proxy.stop()


def _degrade_link(
    proxy: _proxy.Proxy, mode: _proxy.ProxyMode, fault_s: float
) -> None:
    """Inject a network fault; CUT also closes open connections."""
    proxy.mode = mode
    if mode is _proxy.ProxyMode.CUT:
        proxy.break_connections()
    gevent.sleep(fault_s)
    proxy.mode = _proxy.ProxyMode.FINE


def _send_attempt(
    sock: gevent.socket.socket,
    path: str,
    attempt: _checks.Attempt,
    rng: random.Random,
) -> standins.Reply:
    """Send one request on a connection and read its reply.

    A broken connection gives a reply with status 0.
    """
    fields = f"Host: {standins.HOST}\r\nX-Request-Id: {attempt.id}\r\n"
    if attempt.events:
        long = rng.random() < 0.5
        tokens = 9_000 if long else 400
        fields += f"X-Token-Count: {tokens},20\r\n"
        fields += f"X-Prefix-Hash: aa:200,{attempt.id}:200\r\n"
    if attempt.resumes:
        fields += f"Last-Event-Id: {attempt.after}\r\n"
        fields += f"Resumes: {attempt.resumes}\r\n"
    head = f"POST {path} HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n"
    sock.settimeout(REPLY_TIMEOUT_S)
    try:
        sock.sendall(head.encode())
        return standins.read_reply(sock)
    except OSError:
        return standins.Reply(0, {}, b"", False)
