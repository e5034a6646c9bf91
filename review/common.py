"""Shared parts of the scripts: the site on loopback and its instances.

The instances are the program of the deploy file, as processes of their own.
Store, engines and callers are the stand-ins of this project, in the process
of the script.
"""

import collections.abc
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import traceback
import typing

import gevent
import gevent.socket

from agatewing.platform import standins

ROOT = pathlib.Path(__file__).resolve().parent.parent

#: Bounds of the users' site files, in seconds.
STABLE_WINDOW_S = 3.0
#: Exit statuses of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with times in seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._began_at

    def since(self, at: float) -> float:
        """Return a monotonic time as one of the record."""
        return at - self._began_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


def last(run: typing.Any) -> str:
    """Return where a run of a stream goes on, as text."""
    after = run.headers.get("last-event-id")
    return f", after event {after}" if after else ""


class Instance:
    """One instance, as a process."""

    def __init__(
        self, name: str, settings: dict[str, typing.Any], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.settings = settings
        self._path = folder / f"{name}.jsonc"
        self._path.write_text(json.dumps(settings), encoding="utf-8")
        self._log_path = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None
        #: Monotonic time of the last start.
        self.started_at = 0.0

    @property
    def caller_address(self) -> str:
        return str(self.settings["caller_address"])

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["AGATEWING_CONFIG"] = str(self._path)
        env["PYTHONPATH"] = os.pathsep.join(paths)
        self.started_at = time.monotonic()
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                ["python3", "-m", "agatewing.gatewayd"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        if self._child is not None and self.running:
            os.kill(self._child.pid, signal.SIGKILL)
            self._child.wait()

    def ready(self) -> bool:
        """Return whether the balancer's question is answered with 200."""
        host, _, port = str(self.settings["ready_address"]).rpartition(":")
        try:
            with gevent.Timeout(1.0):
                with gevent.socket.create_connection(
                    (host, int(port))
                ) as sock:
                    sock.sendall(
                        b"GET /-/ready HTTP/1.1\r\nHost: x\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    return sock.recv(64).startswith(b"HTTP/1.1 200")
        except (OSError, gevent.Timeout):
            return False

    def in_touch(self, at: float) -> bool:
        """Return whether it had run for the stable window at a time."""
        return at - self.started_at >= STABLE_WINDOW_S

    @property
    def log_text(self) -> str:
        return self._log_path.read_text(encoding="utf-8", errors="replace")


class Deployment:
    """A site and its instances; a context manager that ends them all."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.site = standins.Site()
        self.instances: dict[str, Instance] = {}
        #: Engines and plain targets that others have taken the place of.
        self.past_targets: list[standins.EngineStandin] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *args: object) -> None:
        for instance in self.instances.values():
            instance.kill()
        self._write_runs()
        self.site.__exit__(None, None, None)
        self._folder.cleanup()

    def _write_runs(self) -> None:
        """Write what ran at the targets, in order of arrival."""
        targets = (*self.past_targets, *self.site.targets.values())
        runs = sorted(
            (run.at, kind, run.id, target.name, last(run))
            for target in targets
            for kind, arrived in (
                ("ran", target.runs),
                ("prefilled", target.prefills),
            )
            for run in arrived
        )
        for at, kind, request_id, name, after in runs:
            self.record.write(
                f"{kind} {request_id} at target {name} "
                f"from {self.record.since(at):.3f}{after}"
            )

    def add_instance(self, name: str, zone: str = "z1") -> Instance:
        """Make an instance with the settings of the template; not started."""
        site = self.site
        settings = site.settings(name, site.store.address)
        seeds = [
            str(other.settings["peer_address"])
            for other in list(self.instances.values())[:3]
        ]
        settings.update(
            {
                "zone": zone,
                "seeds": seeds,
                "peer_secret": "agatewing-on-the-platform",
                "stop_limit_s": 8,
                "cache_keep_s": 9.8,
                "freshness": {"apply_ms": 2000, "drain_ms": 2000},
                "retries": {"ratio": 0.2, "slack": 52, "window_s": 10},
                "roles": {"follow_demand": True, "holder_gap_ms": 3000},
            }
        )
        instance = Instance(name, settings, self.folder)
        self.instances[name] = instance
        return instance

    def wait(
        self,
        condition: collections.abc.Callable[[], object],
        what: str,
        limit_s: float = 20.0,
    ) -> None:
        """Wait for a condition; raise ``RuntimeError`` if it is not met."""
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise RuntimeError(f"not in time: {what}")
            gevent.sleep(0.05)

    def ask(
        self,
        instance: Instance,
        path: str,
        request_id: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> standins.Reply:
        """Send a request as a caller, on a new connection."""
        self.record.write(f"sent {request_id} to {instance.name}, {path}")
        try:
            reply = self.site.ask_at(
                instance.caller_address,
                path,
                request_id,
                headers,
                "POST",
                body,
            )
        except (OSError, AssertionError) as exc:
            self.record.write(f"answered {request_id}: nothing ({exc})")
            return standins.Reply(0, {}, b"", False)
        self.record.write(
            f"answered {request_id}: {reply.status}, {len(reply.body)} bytes"
            f"{'' if reply.complete else ', cut off'}"
        )
        return reply


def _stop(number: int, frame: object) -> None:
    raise SystemExit(COULD_NOT_RUN)


def run(
    folder: pathlib.Path,
    case: collections.abc.Callable[[Deployment], bool],
) -> int:
    """Run a case, which returns whether the rule held; return the status."""
    # All processes are ended also if the script itself is.
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGINT, _stop)
    record = Record(folder)
    record.say(f"disruption: {'yes' if TROUBLE else 'no'}")
    try:
        with Deployment(record) as deployment:
            held = case(deployment)
    except Exception:
        record.say(f"could not run: {traceback.format_exc()}")
        return COULD_NOT_RUN
    record.say("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
