"""Processor time of an instance on the platform: ``make bench-platform``.

One instance as a process, stand-ins and callers in this one; the kernel's
count of the instance's processor time before and after each batch.
"""

import argparse
import os
import pathlib
import sys
import tempfile

import msgspec

from agatewing import harness
from agatewing.platform import standins

#: Requests of one batch.
BATCH = 400
#: Events of a short and of a long stream; the difference is the slope.
EVENTS = (2, 42)


class Bench:
    """One instance and its site."""

    def __init__(self, site: standins.Site, folder: pathlib.Path) -> None:
        self._site = site
        for name, service, role in (
            ("t1", "ledger", None),
            ("e1", "chat", "decode"),
            ("p1", "chat", "prefill"),
        ):
            site.add_engine(name, service, role)
        site.route("/look/", "safe", "ledger")
        site.route("/draft/", "streaming", sticky=True)
        site.publish()
        settings = site.settings("i1", site.store.address)
        self._address = str(settings["caller_address"])
        path = folder / "settings.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        self.process = harness.Process(
            "i1", "agatewing.gatewayd", ["--settings", str(path)], folder
        )
        self.process.start()
        site.wait(self._serves)

    def _serves(self) -> bool:
        try:
            return self._site.ask_at(self._address, "/look/x").status == 200
        except OSError:
            return False

    def _used_s(self) -> float:
        """Return the processor time of the instance so far, in seconds."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def cost_ms(self, path: str, headers: dict[str, str]) -> float:
        """Return milliseconds of processor time a request."""
        before = self._used_s()
        for number in range(BATCH):
            named = {**headers, "X-Request-Id": f"b{number}"}
            self._site.ask_at(self._address, path, f"b{number}", named)
        return (self._used_s() - before) / BATCH * 1_000

    def events(self, count: int) -> None:
        """Let every stream have so many events."""
        for engine in self._site.engines.values():
            engine.events = count


def main() -> int:
    """Print the figures."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    short = {"X-Token-Count": "400,20", "X-Prefix-Hash": "aa:200,bb:200"}
    with tempfile.TemporaryDirectory() as folder, standins.Site() as site:
        bench = Bench(site, pathlib.Path(folder))
        try:
            plain = bench.cost_ms("/look/x", {})
            streams = []
            for count in EVENTS:
                bench.events(count)
                streams.append(bench.cost_ms("/draft/x", short))
        finally:
            bench.process.kill()
    event = (streams[1] - streams[0]) / (EVENTS[1] - EVENTS[0])
    print(f"plain request on a new connection: {plain:.2f} ms")
    print(f"stream of {EVENTS[0]} events: {streams[0]:.2f} ms")
    print(f"one more event: {event * 1_000:.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
