"""A small deployment on loopback for the scripts of review cases.

Starts the program of the deploy file as separate processes, with settings
rendered from its template, beside stand-ins of the project for the store and
for servers. Everything that it starts ends with it.
"""

import contextlib
import json
import os
import pathlib
import re
import resource
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing

import gevent
import gevent.socket

from agatewing.platform import standins

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Figures of the small deployments of the users' pages.
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "cache_reuse_s": 9.8,
    "lease_ms": 3000,
}
LIMITS = {"memory_mb": 300, "max_fds": 4100}
#: Time that an instance has to become ready, in seconds.
READY_S = 20.0


class CannotRunError(Exception):
    """The case could not be played."""


def _find(path: str, fields: typing.Any) -> typing.Any:
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def render(text: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a template of settings as the users' platform does."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

    def repeat(match: re.Match[str]) -> str:
        value, body = _find(match[1], fields), match[2]
        if not value:
            return ""
        if not isinstance(value, list):
            return render(body, fields)
        last = len(value) - 1
        return "".join(
            body.replace("{{.}}", str(item)).replace(
                "{{,}}", "," if index < last else ""
            )
            for index, item in enumerate(value)
        )

    def fill(match: re.Match[str]) -> str:
        value = _find(match[1], fields)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    while section.search(text):
        text = section.sub(repeat, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class Fleet:
    """Store, servers, and machines that run the program under test."""

    def __init__(
        self, machines: int, zones: tuple[str, ...] = ("z1", "z2")
    ) -> None:
        # Of this process and those that it starts; the limit of the machine
        # stays as it is.
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = LIMITS["max_fds"]
        if most != resource.RLIM_INFINITY:
            wanted = min(wanted, most)
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))
        self.begun_at = time.monotonic()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        #: Store and servers; its routes and config, too.
        self.site = standins.Site()
        self.names = [f"front-{n + 1}" for n in range(machines)]
        self._zones = zones
        ports = self.site.ports
        self._ports = {n: ports.take(4) for n in self.names}
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        self._record: list[str] = []
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._role = tomllib.load(file)["roles"]["entry"]

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *args: object) -> None:
        for name in list(self._children):
            self.kill(name)
        with contextlib.suppress(Exception):
            self.site.__exit__(None, None, None)
        shutil.rmtree(self._folder, ignore_errors=True)

    @property
    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self.begun_at

    def note(self, text: str) -> None:
        """Add a line to the record of the case."""
        self._record.append(f"{self.now:8.3f} s  {text}")

    def write_record(self, path: pathlib.Path) -> None:
        """Write what was sent, answered and run."""
        path.write_text("\n".join(self._record) + "\n")

    def _fields(self, name: str) -> dict[str, typing.Any]:
        front, ready, peer, metrics = self._ports[name]
        index = self.names.index(name)
        return {
            "node_name": name,
            "zone": self._zones[index % len(self._zones)],
            "ip": "127.0.0.1",
            "port_range": [peer, peer],
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
            },
            "seeds": [],
            "bounds": BOUNDS,
            "limits": LIMITS,
            "platform": {"address": self.site.store.address},
            "metrics_port": metrics,
        }

    def start(self, name: str) -> None:
        """Start the program on a machine, as the deploy file says."""
        fields = self._fields(name)
        template = (ROOT / self._role["template"]).read_text()
        # All machines share one address here, so each has its own port.
        text = render(template, fields).replace(
            "127.0.0.1:9464", f"127.0.0.1:{fields['metrics_port']}"
        )
        settings = self._folder / f"{name}.jsonc"
        settings.write_text(text)
        with open(self._folder / f"{name}.log", "ab") as log:
            self._children[name] = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "PYTHONUNBUFFERED": "1",
                    "AGATEWING_CONFIG": str(settings),
                },
            )
        self.note(f"start of {name}")

    def start_all(self) -> None:
        """Start all machines and wait until they are ready."""
        for name in self.names:
            self.start(name)
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until all machines are ready."""
        until = time.monotonic() + READY_S
        while not all(map(self.is_ready, self.names)):
            if time.monotonic() > until:
                raise CannotRunError("a machine isn't ready\n" + self.logs())
            gevent.sleep(0.1)

    def running(self, name: str) -> bool:
        """Whether the process of a machine has not ended."""
        child = self._children.get(name)
        return child is not None and child.poll() is None

    def pid(self, name: str) -> int:
        """Return the process id of a machine's program."""
        return self._children[name].pid

    def kill(self, name: str) -> None:
        """Kill the process of a machine."""
        child = self._children.pop(name, None)
        if child is None:
            return
        if child.poll() is None:
            child.kill()
        child.wait()
        self.note(f"end of {name}")

    def is_ready(self, name: str) -> bool:
        """Ask a machine if it is ready, as the platform does."""
        port = self._ports[name][1]
        try:
            with gevent.Timeout(1.0, TimeoutError()):
                address = ("127.0.0.1", port)
                with gevent.socket.create_connection(address) as sock:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    return sock.recv(64).startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False

    def front(self, name: str) -> tuple[str, int]:
        """Address of a machine for clients."""
        return ("127.0.0.1", self._ports[name][0])

    def logs(self, words: tuple[str, ...] = ()) -> str:
        """Return the lines of all logs that hold one of some words."""
        lines = []
        for name in self.names:
            path = self._folder / f"{name}.log"
            if not path.exists():
                continue
            for line in path.read_text(errors="replace").splitlines():
                if not words or any(word in line for word in words):
                    lines.append(f"{name}: {line}")
        return "\n".join(lines)


def ask(
    address: tuple[str, int],
    request: bytes,
    timeout_s: float = 10.0,
) -> tuple[int, standins.Reply | None]:
    """Send a request on a new channel.

    Returns the status, 0 for a channel that ended without one, -1 for one
    that could not be opened and -2 for none in time, and the answer.
    """
    try:
        with gevent.Timeout(timeout_s, TimeoutError()):
            try:
                sock = gevent.socket.create_connection(address, timeout=1.0)
            except OSError:
                return -1, None
            with sock:
                sock.settimeout(None)
                try:
                    sock.sendall(request)
                except OSError:
                    pass
                reply = standins.read_reply(sock)
                return reply.status, reply
    except (TimeoutError, AssertionError):
        return -2, None


def run(case: typing.Callable[[Fleet, bool], list[str]], fleet: Fleet) -> None:
    """Play a case and exit as its status says.

    ``case`` gets the fleet and whether there is a disruption, and returns the
    ways in which the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    code = 2
    with fleet:
        try:
            broken = case(fleet, trouble)
            for line in broken:
                fleet.note(f"BROKEN: {line}")
            fleet.note(f"rule {'broken' if broken else 'held'}")
            code = 1 if broken else 0
        except Exception as exc:
            fleet.note(f"could not run: {exc!r}\n{traceback.format_exc()}")
        finally:
            fleet.write_record(folder / "record.txt")
    print(f"exit {code}; see record.txt")
    sys.exit(code)
