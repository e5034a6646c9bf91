"""One instance as a process of its own, in front of targets of a test."""

import collections.abc
import contextlib
import dataclasses
import fcntl
import pathlib
import tempfile

import msgspec

from agatewing import harness
from agatewing.platform import standins
from agatewing.platform.tests import _hostile_crowd

#: Memory that the instance may take, in megabytes.
PROCESS_MB = 160
SETTINGS = {"memory": {"process_mb": PROCESS_MB, "max_descriptors": 2_000}}
#: Time that an ordinary request has; the test's own process is busy as well.
FIND_TIMEOUT_MS = 9_000
PROMPT = {"X-Token-Count": "120,20", "X-Prefix-Hash": "aa:80,bb:40"}


@dataclasses.dataclass(frozen=True, slots=True)
class Gateway:
    """The instance and its site."""

    site: standins.Site
    process: harness.Process
    #: Address for callers.
    address: str
    meter: _hostile_crowd.Meter

    @property
    def answers(self) -> bool:
        """Whether requests to the sound target are answered."""
        with contextlib.suppress(OSError):
            return self.ask("/find/x", "a").status == 200
        return False

    def ask(self, path: str, name: str, **headers: str) -> standins.Reply:
        """Send a request; return the answer."""
        return self.site.ask_at(self.address, path, name, PROMPT | headers)


@contextlib.contextmanager
def alone() -> collections.abc.Iterator[None]:
    """Let one test at a time go on that keeps a process busy.

    Several would leave too little of the processors to tests of timing.
    """
    path = pathlib.Path(tempfile.gettempdir()) / "agatewing-hostile.lock"
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.contextmanager
def started(
    site: standins.Site, folder: pathlib.Path
) -> collections.abc.Iterator[Gateway]:
    """Start an instance of a site, with a sound target behind ``/find/``."""
    site.route("/find/", "safe", "ledger", timeout_ms=FIND_TIMEOUT_MS)
    site.add_target("t1", "ledger", None)
    site.max_conns = 512
    site.publish()
    settings = site.settings("i1", site.store.address) | SETTINGS
    file = folder / "settings.jsonc"
    file.write_bytes(msgspec.json.encode(settings))
    process = harness.Process(
        "i1", "agatewing.gatewayd", ["--settings", str(file)], folder
    )
    process.start()
    meter = _hostile_crowd.Meter(process.pid)
    made = Gateway(site, process, settings["caller_address"], meter)
    try:
        site.wait(lambda: made.answers)
        yield made
    finally:
        meter.stop()
        process.kill()
