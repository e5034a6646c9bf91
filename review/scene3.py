"""What the scripts of review/11 to review/15 share: machines and a record.

A machine is one process with the command of the deploy file, at a loopback
address of its own, with settings rendered from the template of the deploy
file. The store, engines and services are the project's own stand-ins, in the
process of the script.
"""

import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import gevent
import gevent.socket

from agatewing import net
from agatewing.platform import standins
from agatewing.platform.standins import _store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = standins.HOST
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
#: The store may keep a read waiting for 30 s (PROTOCOL.md); the stand-in's own
#: limit of 0.3 s only keeps the project's tests short.
_store.MAX_READ_WAIT_S = 30.0

#: Bounds and limits of sites/abastecer-rede.toml.
FIELDS = {
    "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
    "bounds": {
        "stable_window_ms": 3000,
        "drain_ms": 2000,
        "grace_s": 8,
        "config_apply_ms": 2000,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_slack": 52,
        "cache_reuse_s": 9.8,
        "lease_ms": 3000,
    },
}


class CannotRunError(Exception):
    """The case could not be set up; it says nothing of the rule."""


def render(text, fields):
    """Fill in the template as the platform does (DEPLOY.md)."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match.group(1))
        if value is None or value is False:
            return ""
        if not isinstance(value, list):
            return render(match.group(2), fields)
        parts = []
        for number, entry in enumerate(value, 1):
            part = match.group(2).replace("{{.}}", str(entry))
            parts.append(
                part.replace("{{,}}", "," if number < len(value) else "")
            )
        return "".join(parts)

    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = find(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S
    )
    return re.sub(r"\{\{([\w.|]+)\}\}", value_of, text)


class Record:
    """record.txt of a case; also printed."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._begun = time.monotonic()
        self.line(f"TROUBLE={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self._begun

    def line(self, text, show=False):
        stamped = f"{self.now():8.3f} s  {text}"
        self._file.write(stamped + "\n")
        self._file.flush()
        if show:
            print(stamped, flush=True)


class Machine:
    """One process of the deploy file's only role."""

    def __init__(self, stage, name, ip, store_address, seeds, zone="z1"):
        self.name, self.ip = name, ip
        self.front = f"{ip}:8149"
        self.ready_address = f"{ip}:8141"
        self.child = None
        self._stage = stage
        fields = dict(
            FIELDS,
            node_name=name,
            zone=zone,
            ip=ip,
            port_range=[7380, 7395],
            seeds=seeds,
            listen={"front": self.front, "ready": self.ready_address},
            platform={"address": store_address},
        )
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = system["roles"]["entry"]
        self._command = role["run"].split()
        self._settings = stage.folder / f"{name}.jsonc"
        self._settings.write_text(
            render((ROOT / role["template"]).read_text(), fields)
        )

    def start(self):
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env |= {
            "AGATEWING_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._stage.folder / f"{self.name}.log").open("ab")
        self.child = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )

    def send(self, number):
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, number)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    @property
    def running(self):
        return self.child is not None and self.child.poll() is None

    def log_text(self):
        path = self._stage.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def ready(self, timeout_s=1.0):
        """Ask as the platform does once a second."""
        try:
            with gevent.Timeout(timeout_s, OSError("no answer")):
                with net.connect(self.ready_address, timeout_s) as sock:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Stage:
    """Store, servers, machines; ends all that it started."""

    def __init__(self, folder):
        resource.setrlimit(
            resource.RLIMIT_NOFILE,
            (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2,
        )
        self.folder = pathlib.Path(
            tempfile.mkdtemp(prefix="agatewing-review-")
        )
        self.record = Record(folder)
        self.site = standins.Site()
        self.machines = {}
        self._net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"

    def __enter__(self):
        return self

    def __exit__(self, *args):
        for machine in self.machines.values():
            machine.end()
        self.site.__exit__()
        shutil.rmtree(self.folder, ignore_errors=True)

    def ip(self, number):
        return f"{self._net}.{number}"

    def add_machine(self, name, store_address=None, zone="z1"):
        number = len(self.machines) + 1
        ip = self.ip(number)
        for port in (8149, 8141, 7380, 9464):
            with socket.socket() as sock:
                try:
                    sock.bind((ip, port))
                except OSError as exc:
                    raise CannotRunError(f"{ip}:{port}: {exc}") from exc
        seeds = [f"{self.ip(n)}:8144" for n in (1, 2, 3)]
        machine = Machine(
            self,
            name,
            ip,
            store_address or self.site.store.address,
            seeds,
            zone,
        )
        self.machines[name] = machine
        return machine

    def start_all(self, limit_s=20.0):
        for machine in self.machines.values():
            machine.start()
        until = time.monotonic() + limit_s
        while not all(m.ready() for m in self.machines.values()):
            if time.monotonic() > until:
                raise CannotRunError("the machines are not ready in time")
            gevent.sleep(0.1)


def play(folder, case):
    """Run a case; exit with its result."""
    if not (ROOT / "target/deps").exists():
        print("run the build of deploy/system.toml first", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    # So that the machines are ended, too.
    gevent.signal_handler(signal.SIGTERM, sys.exit, CANNOT_RUN)
    try:
        with gevent.Timeout(110, CannotRunError("took too long")):
            with Stage(folder) as stage:
                code = case(stage)
                stage.record.line(f"exit {code}", show=True)
    except CannotRunError as exc:
        print(f"cannot run: {exc}", file=sys.stderr)
        code = CANNOT_RUN
    except Exception:
        # A fault of the script says nothing of the rule.
        traceback.print_exc()
        code = CANNOT_RUN
    sys.exit(code)
