"""One episode: instances as processes, callers, and faults in series."""

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

#: Instances of an episode.
INSTANCES = 3
#: Events of a stream.
EVENTS = 4
#: Callers that ask at once; each keeps its connection.
CALLERS = 6
#: Time that a caller waits for an answer, in seconds.
REPLY_S = 4.0
#: Time between two requests of a caller, in seconds.
ASK_PERIOD_S = 0.02
#: Time between two faults, in seconds, at least and at most.
FAULT_PERIOD_S = (0.1, 0.8)
#: Time for which a fault lasts, in seconds, at least and at most.
FAULT_LASTS_S = (0.2, 2.5)
#: Time for processes to end, in seconds; more than their stop limit.
END_S = 10.0
#: Time at the end in which no fault is active, in seconds; what was sent
#: late has run by then.
CALM_S = 4.0

#: Path of each kind of request, and whether it may run more than once.
KINDS = {
    "/pay/x": False,
    "/look/x": True,
    "/draft/x": False,
    "/chat/x": True,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How an episode ended."""

    #: Seed that repeats its schedule.
    seed: int
    #: Replies by status; 0 for closed connections.
    statuses: dict[int, int]
    #: Faults in order.
    faults: tuple[str, ...]
    #: Broken promises; empty if all held.
    broken: tuple[str, ...]
    #: Attempts that got no success, each with its status.
    failed: tuple[str, ...]


class Episode:
    """Runs one seed; ends only the processes that it started."""

    def __init__(
        self,
        seed: int,
        duration_s: float,
        logs: pathlib.Path | None = None,
    ) -> None:
        self._logs = logs
        self._seed = seed
        self._duration_s = duration_s
        self._random = random.Random(seed)
        self._ledger = _checks.Ledger()
        self._faults: list[str] = []
        self._processes: dict[str, harness.Process] = {}
        self._folder = pathlib.Path()
        self._asking = True
        self._generation = 0

    def run(self) -> Verdict:
        """Play the episode and return its verdict."""
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self._folder = pathlib.Path(folder)
            self._site = stack.enter_context(standins.Site())
            stack.callback(self._end_processes)
            self._build()
            self._play()
            gevent.sleep(CALM_S)
            engines = list(self._site.engines.values())
            return Verdict(
                self._seed,
                dict(sorted(self._ledger.statuses.items())),
                tuple(self._faults),
                tuple(self._ledger.broken(engines)),
                tuple(self._ledger.failed()),
            )

    def _build(self) -> None:
        """Announce targets behind proxies and start the instances."""
        site = self._site
        site.route("/pay/", "unsafe", "ledger", max_attempts=3)
        site.route("/look/", "safe", "ledger", max_attempts=3)
        site.route("/draft/", "streaming", sticky=True)
        site.route("/chat/", "streaming", sticky=True, resumable=True)
        self._proxies: dict[str, _proxy.Proxy] = {}
        for name, service, role in (
            ("t1", "ledger", None),
            ("t2", "ledger", None),
            ("e1", "chat", "decode"),
            ("e2", "chat", "decode"),
            ("p1", "chat", "prefill"),
        ):
            engine = site.add_engine(name, service, role, EVENTS)
            self._proxies[name] = _proxy.Proxy(engine.address)
            address = self._proxies[name].address
            site.announce(name, service, role, address=address, seq=2)
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
        path = self._folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(self._settings[name]))
        process = harness.Process(
            name,
            "agatewing.gatewayd",
            ["--settings", str(path)],
            self._logs or self._folder,
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

    def _play(self) -> None:
        """Let callers ask while faults come and go."""
        callers = [gevent.spawn(self._call, n) for n in range(CALLERS)]
        end = time.monotonic() + self._duration_s
        active: list[gevent.Greenlet] = []
        while time.monotonic() < end:
            gevent.sleep(self._random.uniform(*FAULT_PERIOD_S))
            lasts_s = self._random.uniform(*FAULT_LASTS_S)
            name, fault = self._random.choice(list(self._all_faults()))
            self._faults.append(f"{name} for {lasts_s:.2f} s")
            active.append(gevent.spawn(fault, lasts_s))
        gevent.joinall(active)
        self._asking = False
        gevent.joinall(callers)

    def _all_faults(
        self,
    ) -> collections.abc.Iterator[
        tuple[str, collections.abc.Callable[[float], None]]
    ]:
        """Yield what may go wrong, by name."""
        for name in self._settings:
            yield f"pause {name}", functools.partial(self._pause, name)
            yield f"kill {name}", functools.partial(self._kill, name)
            yield f"stop {name}", functools.partial(self._stop, name)
            yield f"reload {name}", functools.partial(self._reload, name)
        for mode in list(standins.StoreMode)[1:]:
            yield f"log {mode}", functools.partial(self._spoil_log, mode)
        for target, proxy in self._proxies.items():
            for kind in list(_proxy.ProxyMode)[1:]:
                fault = functools.partial(_spoil_link, proxy, kind)
                yield f"link to {target} {kind}", fault
        for behaviour in list(Behaviour)[1:]:
            fault = functools.partial(self._misbehave, behaviour)
            yield f"targets {behaviour}", fault
        yield "configuration", self._change_configuration

    def _pause(self, name: str, lasts_s: float) -> None:
        process = self._processes[name]
        process.freeze()
        gevent.sleep(lasts_s)
        process.thaw()

    def _kill(self, name: str, lasts_s: float) -> None:
        process = self._processes[name]
        process.kill()
        gevent.sleep(lasts_s)
        if self._processes[name] is process:
            self._start(name)

    def _stop(self, name: str, lasts_s: float) -> None:
        """Stop in order, and start again."""
        process = self._processes[name]
        process.stop()
        end = time.monotonic() + END_S
        while process.running and time.monotonic() < end:
            gevent.sleep(0.05)
        if self._processes[name] is process:
            self._start(name)

    def _reload(self, name: str, lasts_s: float) -> None:
        settings = {**self._settings[name], "log_level": "DEBUG"}
        path = self._folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        self._processes[name].send(signal.SIGHUP)

    def _spoil_log(self, mode: standins.StoreMode, lasts_s: float) -> None:
        self._site.store.mode = mode
        gevent.sleep(lasts_s)
        self._site.store.mode = standins.StoreMode.FINE

    def _misbehave(self, behaviour: Behaviour, lasts_s: float) -> None:
        for engine in self._site.engines.values():
            engine.script.append(behaviour)

    def _change_configuration(self, lasts_s: float) -> None:
        self._generation += 1
        self._site.route(f"/new{self._generation}/", "safe", "ledger")
        self._site.publish()

    def _call(self, caller: int) -> None:
        """Ask again and again, over one connection while it lasts."""
        rng = random.Random(f"{self._seed}/{caller}")
        number = 0
        sock: gevent.socket.socket | None = None
        while self._asking:
            gevent.sleep(ASK_PERIOD_S)
            number += 1
            path = rng.choice(list(KINDS))
            name = rng.choice(list(self._settings))
            streams = path in ("/draft/x", "/chat/x")
            asked = _checks.Asked(
                f"c{caller}-{number}", KINDS[path], EVENTS if streams else 0
            )
            self._ledger.ask(asked)
            if sock is None or rng.random() < 0.3:
                sock = self._connect(name, sock)
            if sock is None:
                continue
            reply = _exchange(sock, path, asked, rng)
            self._ledger.reply(asked.id, reply)
            kept = reply.headers.get("connection") != "close"
            if not reply.whole or not kept:
                sock.close()
                sock = None

    def _connect(
        self, name: str, old: gevent.socket.socket | None
    ) -> gevent.socket.socket | None:
        if old is not None:
            old.close()
        host, _, port = str(self._settings[name]["caller_address"]).rpartition(
            ":"
        )
        try:
            return gevent.socket.create_connection((host, int(port)), 1.0)
        except OSError:
            return None

    def _end_processes(self) -> None:
        """End the processes of this episode, whatever their state."""
        for process in self._processes.values():
            process.thaw()
            process.kill()
        for proxy in (*self._proxies.values(), self._log_proxy):
            proxy.stop()


def _spoil_link(
    proxy: _proxy.Proxy, mode: _proxy.ProxyMode, lasts_s: float
) -> None:
    """Spoil a link for a while; a cut breaks what is open too."""
    proxy.mode = mode
    if mode is _proxy.ProxyMode.CUT:
        proxy.break_connections()
    gevent.sleep(lasts_s)
    proxy.mode = _proxy.ProxyMode.FINE


def _exchange(
    sock: gevent.socket.socket,
    path: str,
    asked: _checks.Asked,
    rng: random.Random,
) -> standins.Reply:
    """Send one request on a connection and read its answer."""
    fields = f"Host: {standins.HOST}\r\nX-Request-Id: {asked.id}\r\n"
    if asked.events:
        long = rng.random() < 0.5
        tokens = 9_000 if long else 400
        fields += f"X-Token-Count: {tokens},20\r\n"
        fields += f"X-Prefix-Hash: aa:200,{asked.id}:200\r\n"
    head = f"POST {path} HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n"
    sock.settimeout(REPLY_S)
    try:
        sock.sendall(head.encode())
        return standins.read_reply(sock)
    except OSError:
        return standins.Reply(0, {}, b"", False)
