"""Child processes, which are signalled by their pid only."""

import os
import pathlib
import signal
import subprocess
import sys
import time

#: Longest wait for a killed process to exit, in seconds.
EXIT_TIMEOUT_S = 10.0
#: Lines of a log that errors show.
LOG_TAIL_LINES = 20


class Process:
    """A Python module that runs as a child process."""

    __slots__ = ("name", "_args", "_log_path", "_child")

    def __init__(
        self, name: str, module: str, args: list[str], log_dir: pathlib.Path
    ) -> None:
        #: Name in error messages and of the log file.
        self.name = name
        self._args = [sys.executable, "-m", module, *args]
        self._log_path = log_dir / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id; raises ``RuntimeError`` before the first start."""
        if self._child is None:
            raise RuntimeError(
                f"{self.name} was not started; call start() first"
            )
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited; true also while frozen."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; may be called again after it has exited."""
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                self._args,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process has not exited."""
        if self.running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process as a crash would, and wait for its exit."""
        self.send(signal.SIGKILL)
        self.wait(EXIT_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue a frozen process with SIGCONT."""
        self.send(signal.SIGCONT)

    def stop(self) -> None:
        """Request an orderly shutdown with SIGTERM."""
        self.send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the exit; return the code, or ``None`` on timeout."""
        if self._child is None:
            return None
        deadline = time.monotonic() + timeout_s
        while self._child.poll() is None:
            if time.monotonic() > deadline:
                return None
            time.sleep(0.02)
        return self._child.returncode

    def log_text(self) -> str:
        """Return the output of the process; empty if there is none."""
        if not self._log_path.exists():
            return ""
        return self._log_path.read_text(errors="replace")

    def describe(self) -> str:
        """Return whether the process runs, and the end of its output."""
        state = "not started"
        if self._child is not None:
            code = self._child.poll()
            state = "running" if code is None else f"exited with {code}"
        tail = self.log_text().splitlines()[-LOG_TAIL_LINES:]
        return "\n".join((f"{self.name} ({state}):", *tail))
