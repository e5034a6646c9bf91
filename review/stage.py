"""Processes and stand-ins of the cases of the second review.

The program is started with the command of the deploy file and settings that
are rendered from ``deploy/settings.jsonc``. Store and targets are the
project's own stand-ins; they run in the process of the case.
"""

import json
import os
import pathlib
import re
import resource
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import gevent
import gevent.socket

REPO = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"

#: The users' sheet for six machines, `sites/abastecer-rede`.
SHEET = {
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_slack": 52,
    "budget_window_s": 10,
    "cache_reuse_s": 9.8,
    "lease_ms": 3000,
    "memory_mb": 300,
    "max_fds": 4100,
}


class CannotRun(Exception):
    """The case cannot run here."""


class Record:
    """What was sent, answered and run: ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the time since the start."""
        at = time.monotonic() - self._begun
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and show it."""
        print(text, flush=True)
        self.line(text)


def raise_descriptors(wanted: int) -> None:
    """Allow this process and its children so many descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= wanted:
        return
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRun(f"only {hard} descriptors are allowed here")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def free_port() -> int:
    """Return a port that is free now on all loopback addresses."""
    with socket.socket() as sock:
        sock.bind(("", 0))
        return int(sock.getsockname()[1])


class Ports:
    """The ports of all machines of a day: the same on each of them."""

    def __init__(self) -> None:
        found: set[int] = set()
        while len(found) < 5:
            found.add(free_port())
        self.front, self.ready, self.control, self.peer, self.metrics = found


def render(values: dict[str, object]) -> str:
    """Return the settings as the platform renders them, without duties."""
    text = (REPO / "deploy" / "settings.jsonc").read_text()
    text = re.sub(
        r"\{\{#cloud\.duties_per_s\}\}.*\{\{/cloud\.duties_per_s\}\}",
        "",
        text,
        flags=re.DOTALL,
    )
    seeds = ",".join(json.dumps(seed) for seed in values["seeds"])
    text = text.replace('{{#seeds}}"{{.}}"{{,}}{{/seeds}}', seeds)

    def fill(match: re.Match[str]) -> str:
        name, as_json = match.group(1), match.group(2)
        value = values[name]
        return json.dumps(value) if as_json else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", fill, text)


class Machine:
    """One machine of the system: an address and a process."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        ports: Ports,
        store: str,
        seeds: list[str],
        folder: pathlib.Path,
        **changes: object,
    ) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.front = (ip, ports.front)
        self.ready_address = (ip, ports.ready)
        sheet = {**SHEET, **changes}
        values = {
            "node_name": name,
            "zone": zone,
            "listen.front": f"{ip}:{ports.front}",
            "listen.ready": f"{ip}:{ports.ready}",
            "ip": ip,
            "port_range.0": ports.peer,
            "seeds": seeds,
            "platform.address": store,
            "bounds.grace_s": sheet["grace_s"],
            "bounds.cache_reuse_s": sheet["cache_reuse_s"],
            "bounds.config_apply_ms": sheet["config_apply_ms"],
            "bounds.drain_ms": sheet["drain_ms"],
            "bounds.retry_budget_ratio": sheet["retry_budget_ratio"],
            "bounds.budget_slack": sheet["budget_slack"],
            "bounds.budget_window_s": sheet["budget_window_s"],
            "bounds.lease_ms": sheet["lease_ms"],
            "limits.memory_mb": sheet["memory_mb"],
            "limits.max_fds": sheet["max_fds"],
        }
        self._settings = folder / f"{name}.jsonc"
        text = render(values)
        # The port of the metrics is fixed in the template; others may use it.
        text = text.replace(f"{ip}:9464", f"{ip}:{ports.metrics}")
        self._settings.write_text(text)
        self.log_path = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        role = tomllib.loads((REPO / "deploy/system.toml").read_text())
        command = shlex.split(role["roles"]["entry"]["run"])
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["AGATEWING_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(REPO / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                command,
                cwd=REPO,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._child is not None and self._child.poll() is None:
            os.kill(self._child.pid, number)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def pid(self) -> int:
        """Process id; raises if the process was not started."""
        if self._child is None:
            raise CannotRun(f"{self.name} was not started")
        return self._child.pid

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        while self.running:
            gevent.sleep(0.01)

    def is_ready(self) -> bool:
        """Return whether the balancer would send clients here."""
        try:
            with gevent.socket.create_connection(self.ready_address, 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Stage:
    """Machines of one case, which all end with it."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.ports = Ports()
        self.machines: list[Machine] = []
        self._addresses = 0
        # Loopback addresses that no other run is likely to use.
        self._net = f"127.{50 + os.getpid() % 150}"

    def __enter__(self) -> "Stage":
        return self

    def __exit__(self, *args: object) -> None:
        for machine in self.machines:
            machine.kill()
        self._folder.cleanup()

    def add(self, zone: str, store: str, **changes: object) -> Machine:
        """Start another machine, at an address of its own."""
        self._addresses += 1
        number = self._addresses
        ip = f"{self._net}.{1 + number // 250}.{1 + number % 250}"
        seeds = [f"{m.ip}:{self.ports.control}" for m in self.machines[:3]]
        machine = Machine(
            f"front-{zone}-{number}",
            ip,
            zone,
            self.ports,
            store,
            seeds,
            self.folder,
            **changes,
        )
        machine.start()
        self.machines.append(machine)
        return machine

    def wait_ready(self, machines: list[Machine], limit_s: float) -> None:
        """Wait until machines are ready."""
        until = time.monotonic() + limit_s
        for machine in machines:
            while not machine.is_ready():
                if time.monotonic() > until:
                    tail = machine.log_path.read_text()[-1500:]
                    raise CannotRun(f"{machine.name} is not ready: {tail}")
                gevent.sleep(0.05)


def request(
    path: str,
    request_id: str,
    fields: dict[str, str] | None = None,
    method: str = "POST",
    body: bytes = b"",
) -> bytes:
    """Return an encoded request."""
    head = {
        "Host": HOST,
        "X-Request-Id": request_id,
        **(fields or {}),
    }
    if method == "POST":
        head["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body
