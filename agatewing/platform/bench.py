"""Measures the CPU time of an instance: ``make bench-platform``.

The instance runs as a process of its own, stand-ins and callers in this one.
The CPU time of a batch is the difference of the kernel's counters for the
instance before and after it.
"""

import argparse
import os
import pathlib
import sys
import tempfile

import msgspec

from agatewing import harness
from agatewing.platform import standins

#: Requests in one batch.
BATCH_REQUESTS = 400
#: Events of a short and of a long stream; the difference of their CPU times
#: gives the CPU time of one event.
STREAM_EVENTS = (2, 42)


class Bench:
    """One instance with the targets of its site."""

    def __init__(self, site: standins.Site, folder: pathlib.Path) -> None:
        self._site = site
        for name, service, role in (
            ("t1", "ledger", None),
            ("e1", "chat", "decode"),
            ("p1", "chat", "prefill"),
        ):
            site.add_target(name, service, role)
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
        site.wait(self._is_serving)

    def _is_serving(self) -> bool:
        try:
            return self._site.ask_at(self._address, "/look/x").status == 200
        except OSError:
            return False

    def _cpu_time_s(self) -> float:
        """Return user and system time of the instance, in seconds."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def cpu_ms_per_request(self, path: str, headers: dict[str, str]) -> float:
        """Send one batch; return the CPU time per request, in milliseconds."""
        before = self._cpu_time_s()
        for number in range(BATCH_REQUESTS):
            headers_with_id = {**headers, "X-Request-Id": f"b{number}"}
            self._site.ask_at(
                self._address, path, f"b{number}", headers_with_id
            )
        return (self._cpu_time_s() - before) / BATCH_REQUESTS * 1_000

    def set_stream_events(self, count: int) -> None:
        """Set the number of events of each stream."""
        for engine in self._site.targets.values():
            engine.events = count


def main() -> int:
    """Run the batches and print CPU times per request and per event."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    short = {"X-Token-Count": "400,20", "X-Prefix-Hash": "aa:200,bb:200"}
    with tempfile.TemporaryDirectory() as folder, standins.Site() as site:
        bench = Bench(site, pathlib.Path(folder))
        try:
            plain_ms = bench.cpu_ms_per_request("/look/x", {})
            stream_ms = []
            for count in STREAM_EVENTS:
                bench.set_stream_events(count)
                stream_ms.append(bench.cpu_ms_per_request("/draft/x", short))
        finally:
            bench.process.kill()
    event_ms = (stream_ms[1] - stream_ms[0]) / (
        STREAM_EVENTS[1] - STREAM_EVENTS[0]
    )
    print(f"plain request on a new connection: {plain_ms:.2f} ms")
    print(f"stream of {STREAM_EVENTS[0]} events: {stream_ms[0]:.2f} ms")
    print(f"one more event: {event_ms * 1_000:.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
