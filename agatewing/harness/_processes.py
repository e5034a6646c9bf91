"""Child processes, ended by their own pid only."""

import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

#: Ports that deployments take, below those of outgoing connections.
FIRST_PORT = 10_000
PORTS = 20_000
#: Distance of the first ports of two processes.
PORT_STRIDE = 211

_next_port = itertools.count(os.getpid() * PORT_STRIDE)

#: Time that a process gets to end by itself, in seconds.
END_S = 10.0


def free_ports(count: int) -> list[int]:
    """Return distinct loopback ports that nobody listens on now.

    They lie below the range from which the kernel takes ports of outgoing
    connections, and each process starts at another place.
    """
    found: list[int] = []
    while len(found) < count:
        port = FIRST_PORT + next(_next_port) % PORTS
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


class Process:
    """One child process."""

    __slots__ = ("name", "_args", "_log_path", "_child")

    def __init__(
        self, name: str, module: str, args: list[str], log_dir: pathlib.Path
    ) -> None:
        #: Name for messages.
        self.name = name
        self._args = [sys.executable, "-m", module, *args]
        self._log_path = log_dir / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        if self._child is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process runs, or is frozen."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start, or start again after an end."""
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                self._args,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """End at once, as a crash does."""
        self.send(signal.SIGKILL)
        self.wait(END_S)

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def stop(self) -> None:
        """Ask for a graceful end."""
        self.send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or ``None`` if it still runs."""
        if self._child is None:
            return None
        deadline = time.monotonic() + timeout_s
        while self._child.poll() is None:
            if time.monotonic() > deadline:
                return None
            time.sleep(0.02)
        return self._child.returncode

    def log_text(self) -> str:
        """Return what the process wrote."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(errors="replace")
