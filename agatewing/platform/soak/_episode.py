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
import typing

import gevent
import gevent.socket
import msgspec

from agatewing import _exceptions
from agatewing import harness
from agatewing import net
from agatewing.platform.soak import _accounts
from agatewing.platform.soak import _callers
from agatewing.platform.soak import _checks
from agatewing.platform.soak import _links
from agatewing.platform.soak import _log_restore
from agatewing.platform.soak import _proxy
from agatewing.platform.soak import _targets
from agatewing.platform.soak import _versions
from agatewing.platform import standins

Behaviour = standins.Behaviour

#: Instances in an episode.
INSTANCES = 3
#: Shortest and longest time between the starts of two faults, in seconds.
FAULT_PERIOD_S = (0.1, 0.8)
#: Shortest and longest duration of a fault, in seconds.
FAULT_DURATION_S = (0.2, 3.0)
#: Time limit for a process to stop, in seconds; longer than its own limit for
#: an orderly stop.
STOP_TIMEOUT_S = 10.0
#: Time without faults at the end, in seconds, so that requests sent late have
#: run before the check.
FAULT_FREE_S = 4.0
#: Longest time after it until all instances follow the log, in seconds.
FOLLOW_LIMIT_S = 3.0
#: Time between two looks at the versions in force, in seconds.
LOOK_PERIOD_S = 0.25
#: Time between two configurations after the connections to the log have fallen
#: silent, in seconds.
CHANGE_PERIOD_S = 0.7
#: Least time between two such silences, in seconds: a read that waits for 4 s
#: is noticed as lost before.
LOG_SILENCE_PERIOD_S = 6.0


PLAIN, STREAMS = _callers.PLAIN_SERVICE, _callers.STREAM_SERVICE

#: Name of a fault, and its function, which takes its duration in seconds.
_Fault: typing.TypeAlias = tuple[str, collections.abc.Callable[[float], None]]


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
    #: Configurations that came into force too late, one line each. An instance
    #: that waits for a processor for seconds is late, too.
    late: tuple[str, ...]
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
        self._accounts = _accounts.Accounts(seed)
        self._records.accounts = self._accounts
        self._versions = _versions.VersionRecords(self._records.absences)
        self._faults: list[str] = []
        self._processes: dict[str, harness.Process] = {}
        self._settings_folder = pathlib.Path()
        self._added_routes = 0
        # Monotonic time at which connections to the log last fell silent.
        self._log_silent_at = float("-inf")
        # Services with a request on which targets crash.
        self._crashing: set[str] = set()

    def run(self) -> Verdict:
        """Run the episode and return its result."""
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self._settings_folder = pathlib.Path(folder)
            self._site = stack.enter_context(standins.Site())
            stack.callback(self._kill_processes)
            self._targets = _targets.Targets(
                self._seed, self._site, self._records.disturbances
            )
            stack.callback(self._targets.stop)
            self._start_site()
            watch = gevent.spawn(self._watch_versions)
            stack.callback(watch.kill)
            change = gevent.spawn(self._change_keys)
            stack.callback(change.kill)
            self._inject_faults()
            gevent.sleep(FAULT_FREE_S)
            behind = self._instances_behind()
            return Verdict(
                self._seed,
                dict(sorted(self._records.statuses.items())),
                tuple(self._faults),
                (*self._records.violations(self._targets.engines), *behind),
                tuple(self._versions.late),
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
        self._targets.start()
        self._log_proxy = _proxy.Proxy(site.store.address)
        self._publish()
        self._log_restore = _log_restore.LogRestores(
            site.store, self._write_again, self._seed
        )
        self._settings = {
            f"i{n}": site.settings(f"i{n}", self._log_proxy.address)
            for n in range(INSTANCES)
        }
        self._links = _links.Links(
            self._settings, self._targets.addresses, site.ports, self._records
        )
        self._targets.on_down = self._links.set_target_down
        self._records.carriers = self._links.carriers
        for name in self._settings:
            self._start(name)
        site.wait(lambda: all(map(self._is_ready, self._settings)))

    def _instances_behind(self) -> list[str]:
        """Return the instances that do not follow the log at the end.

        Their era and configuration have to become the newest ones in time.
        """
        deadline = time.monotonic() + FOLLOW_LIMIT_S
        while True:
            behind = [
                line for name in self._settings for line in self._behind(name)
            ]
            if not behind or time.monotonic() > deadline:
                return behind
            gevent.sleep(0.1)

    def _behind(self, name: str) -> list[str]:
        """Return what an instance has not followed, by its metrics."""
        try:
            values = self._metrics(name)
        except _exceptions.AgatewingError as exc:
            return [f"BEHIND: {name} shows no metrics: {exc}"]
        newest = {
            "agatewing_log_era": self._site.store.era,
            "agatewing_config_version": self._site.version,
        }
        return [
            f"BEHIND: {name} has {metric} {values.get(metric)}, not {value}"
            for metric, value in newest.items()
            if float(values.get(metric, "nan")) != value
        ]

    def _metrics(self, name: str) -> dict[str, str]:
        """Return the metrics of an instance by name.

        Raises ``AgatewingError`` if it gives none.
        """
        address = str(self._settings[name]["ready_address"])
        metrics = net.HttpClient(address).call("GET", "/metrics")
        return dict(
            line.rpartition(" ")[::2]
            for line in metrics.body.decode().splitlines()
        )

    def _watch_versions(self) -> None:
        """Record which versions the instances have in force, forever."""
        while True:
            gevent.sleep(LOOK_PERIOD_S)
            gevent.joinall(
                [gevent.spawn(self._look, name) for name in self._settings]
            )

    def _look(self, name: str) -> None:
        asked_at = time.monotonic()
        try:
            values = self._metrics(name)
        except _exceptions.AgatewingError:
            # One that does not run has nothing in force.
            return
        version = int(float(values["agatewing_config_version"]))
        self._versions.record_in_force(name, version, asked_at)

    def _start(self, name: str) -> None:
        path = self._settings_folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(self._settings[name]))
        links = self._settings_folder / f"{name}-links.json"
        links.write_bytes(msgspec.json.encode(self._links.addresses(name)))
        process = harness.Process(
            name,
            "agatewing.platform.soak._linked_gatewayd",
            [str(links), "--settings", str(path)],
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
        self._callers = _callers.Callers(
            self._seed,
            self._records,
            {
                name: str(settings["caller_address"])
                for name, settings in self._settings.items()
            },
            self._accounts,
        )
        self._callers.start()
        self._deadline = begun_at + self._duration_s
        active: list[gevent.Greenlet] = []
        while time.monotonic() < self._deadline:
            gevent.sleep(self._random.uniform(*FAULT_PERIOD_S))
            fault_s = self._random.uniform(*FAULT_DURATION_S)
            name, fault = self._random.choice(self._drawn_faults())
            at_s = time.monotonic() - begun_at
            self._faults.append(f"{at_s:.2f} s: {name} for {fault_s:.2f} s")
            active.append(gevent.spawn(fault, fault_s))
        gevent.joinall(active)
        self._callers.stop()

    def _drawn_faults(self) -> list[_Fault]:
        """Return the possible faults that the episode is limited to.

        Raises ``ValueError`` if there are none.
        """
        possible = list(self._possible_faults())
        drawn = [
            fault
            for fault in possible
            if not self._only or fault[0].startswith(self._only)
        ]
        if not drawn:
            names = "; ".join(name for name, _ in possible)
            raise ValueError(f"no such fault, choose beginnings of: {names}")
        return drawn

    def _possible_faults(self) -> collections.abc.Iterator[_Fault]:
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
        for target in _targets.TARGETS:
            for kind in list(_proxy.ProxyMode)[1:]:
                fault = functools.partial(
                    self._targets.degrade_link, target, kind
                )
                yield f"link to {target} {kind}", fault
        for behaviour in list(Behaviour)[1:]:
            fault = functools.partial(
                self._targets.script_behaviour, behaviour
            )
            yield f"targets {behaviour}", fault
        yield "configuration", self._change_configuration
        for group in (
            *((name,) for name in _targets.TARGETS),
            *_targets.GROUPS,
        ):
            names = ", ".join(group)
            yield (
                f"silence of {names}",
                functools.partial(self._targets.fall_silent, group),
            )
        for path in _callers.IDEMPOTENT_BY_PATH:
            send = functools.partial(self._send_crashing, path)
            yield f"crashing request to {path}", send
        for target in _targets.TARGETS:
            leave = functools.partial(self._targets.leave, target)
            yield f"leaving of {target}", leave
        for target in _targets.TARGETS:
            back_off = functools.partial(self._targets.back_off, target)
            yield f"back-off of {target}", back_off
        for copy_age_s in _log_restore.COPY_AGES_S:
            yield (
                f"restore of the log from {copy_age_s} s before",
                functools.partial(self._restore_log, copy_age_s),
            )

        yield from self._possible_cuts()
        yield "log connections fall silent", self._silence_log_connections

    def _possible_cuts(self) -> collections.abc.Iterator[_Fault]:
        """Yield the cuts of one or two instances, from all or one service."""
        names = list(self._settings)
        services = _targets.BY_SERVICE
        for picture in standins.Picture:
            for group in (*((name,) for name in names), tuple(names[:2])):
                cut = functools.partial(
                    self._links.cut, group, services, picture
                )
                yield f"cut of {', '.join(group)} ({picture})", cut
            for service, targets in services.items():
                cut = functools.partial(
                    self._links.cut,
                    (names[-1],),
                    {service: targets},
                    picture,
                )
                yield f"cut of {names[-1]} from {service} ({picture})", cut

    def _pause(self, name: str, fault_s: float) -> None:
        process = self._processes[name]
        with self._records.absent(name, ends_requests=True):
            process.freeze()
            gevent.sleep(fault_s)
            process.thaw()

    def _kill(self, name: str, fault_s: float) -> None:
        process = self._processes[name]
        with self._records.absent(name, ends_requests=True):
            process.kill()
            gevent.sleep(fault_s)
            if self._processes[name] is process:
                self._start(name)

    def _stop(self, name: str, fault_s: float) -> None:
        """Stop an instance in an orderly way, then start it again."""
        process = self._processes[name]
        with self._records.absent(name):
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
        with self._records.absent(_versions.LOG):
            self._site.store.mode = mode
            gevent.sleep(fault_s)
            self._site.store.mode = standins.StoreMode.FINE

    def _silence_log_connections(self, fault_s: float) -> None:
        """Have all connections to the log carry nothing any more.

        Then configurations change for a while. Does nothing if that was so
        shortly before: only some time later it shows who noticed.
        """
        now = time.monotonic()
        if now < self._log_silent_at + LOG_SILENCE_PERIOD_S:
            return
        self._log_silent_at = now
        with self._records.absent(_versions.LOG):
            self._log_proxy.silence_open()
        until = time.monotonic() + fault_s + _versions.SETTLE_S
        while time.monotonic() < until:
            self._change_configuration(0.0)
            gevent.sleep(CHANGE_PERIOD_S)

    def _send_crashing(self, path: str, fault_s: float) -> None:
        """Send a request on which targets crash until the episode ends."""
        streams = path in _callers.STREAM_PATHS
        service = STREAMS if streams else PLAIN
        if service in self._crashing:
            return
        self._crashing.add(service)
        name = f"crash-{service}"
        req = _callers.crashing_request(path, name)
        self._site.crash_requests.add(
            standins.CrashRequest(req.path, req.body, req.caller)
        )
        self._callers.send_crashing(req, self._deadline)

    def _change_configuration(self, fault_s: float) -> None:
        self._added_routes += 1
        self._site.route(f"/new{self._added_routes}/", "safe", PLAIN)
        self._publish()

    def _change_keys(self) -> None:
        """Change the keys of client accounts periodically, forever."""
        while True:
            gevent.sleep(_accounts.CHANGE_PERIOD_S)
            self._accounts.change(self._publish)

    def _publish(self) -> None:
        self._site.tenants = self._accounts.tenants()
        self._versions.record_published(self._site.publish())

    def _restore_log(self, copy_age_s: float, fault_s: float) -> None:
        with self._records.absent(_versions.LOG):
            self._log_restore.run(copy_age_s, fault_s)

    def _write_again(self) -> None:
        """Write what the operator and the targets wrote last."""
        self._site.publish_again()
        self._targets.announce_again()

    def _kill_processes(self) -> None:
        """Kill the processes, also frozen ones, and stop the log's proxy."""
        for process in self._processes.values():
            process.thaw()
            process.kill()
        self._log_proxy.stop()
        self._log_restore.stop()
        self._links.stop()
