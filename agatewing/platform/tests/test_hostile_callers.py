"""Callers that nobody controls can't take a process's memory."""

import collections.abc
import contextlib
import pathlib
import typing

import gevent
import msgspec
import pytest

from agatewing import harness
from agatewing import net
from agatewing import platform
from agatewing.platform import standins
from agatewing.platform.tests import _gateway_process
from agatewing.platform.tests import _hostile_crowd

Crowd = _hostile_crowd.Crowd

#: Bounds of every case: resident memory in megabytes, and descriptors.
MEMORY_MB = 100
DESCRIPTORS = 400
#: Limits of the process's own settings.
SETTINGS: dict[str, typing.Any] = {
    "memory": {"process_mb": 160, "max_descriptors": DESCRIPTORS}
}
#: Longest wait for the answer of an ordinary request, tries and all, in
#: seconds.
ANSWER_S = 30.0
#: Answers after which callers try again; 0 is a closed connection, or none.
PROMISES = (0, 408, 429, 503)
#: Size of the answers of the target that hangs on no request, in bytes.
ANSWER_BYTES = 4_000_000

#: Largest body that callers may send, in bytes.
LARGEST = 4_194_304

LARGE = _hostile_crowd.chunk(_hostile_crowd.LARGE)
ONES = _hostile_crowd.chunk(1) * 10_000
BLOCK = b"x" * _hostile_crowd.LARGE
LINE = b"X-Line: " + b"x" * 1_000 + b"\r\n"
POST, CHUNKED = _hostile_crowd.POST, _hostile_crowd.CHUNKED
READ = POST.replace(b"/look/", b"/read/") + _hostile_crowd.WHOLE
WAITING = _hostile_crowd.SLOW + _hostile_crowd.WHOLE
CROWDS = {
    "announced far over the limit": Crowd(
        40, _hostile_crowd.announced(400_000_000), BLOCK, 128
    ),
    "sent far over the limit": Crowd(40, POST + CHUNKED, LARGE, 128),
    "announced, stop short": Crowd(
        40, _hostile_crowd.announced(4_194_304), BLOCK, 63
    ),
    "large chunks, stop short": Crowd(40, POST + CHUNKED, LARGE, 63),
    "many large chunks, stop short": Crowd(400, POST + CHUNKED, LARGE, 63),
    "chunks of 1 byte, stop short": Crowd(40, POST + CHUNKED, ONES, 400),
    "few chunks of 1 byte, stop short": Crowd(4, POST + CHUNKED, ONES, 400),
    "heads that never end": Crowd(300, POST, LINE, 14),
    "heads over the limit": Crowd(40, POST, LINE * 64, 64),
    "trailers that never end": Crowd(
        40, POST + CHUNKED + LARGE * 40 + b"0\r\n", LINE, 1_000
    ),
    "a chunk's head that never ends": Crowd(
        40, POST + CHUNKED + LARGE * 40 + b"1;", BLOCK, 64
    ),
    "requests behind one that waits": Crowd(100, WAITING, WAITING * 64, 64),
    "bodies behind one that waits": Crowd(
        100, WAITING + POST + CHUNKED, LARGE, 63
    ),
    "whole bodies that wait": Crowd(
        40, _hostile_crowd.SLOW + CHUNKED, LARGE, 63, b"0\r\n\r\n"
    ),
    "answers that nobody reads": Crowd(40, READ, READ, 3),
    "silent": Crowd(600),
    "silent at the port for peers": Crowd(600, port="peer_address"),
    "frames that never end": Crowd(
        300, b"\x00\x00\x0f\xff", b"x", 64, port="peer_address"
    ),
    "silent at the port for readiness": Crowd(600, port="ready_address"),
    "heads that never end at the port for readiness": Crowd(
        300, POST, LINE, 30, port="ready_address"
    ),
}


@pytest.fixture(autouse=True)
def alone() -> collections.abc.Iterator[None]:
    """Let no two of these tests run at a time."""
    with _gateway_process.alone():
        yield


class Door:
    """One instance as a process of its own."""

    def __init__(self, site: standins.Site, folder: pathlib.Path) -> None:
        self._site = site
        for path in ("look", "slow", "read"):
            site.add_target(f"t-{path}", path, None)
            site.route(f"/{path}/", "safe", path, timeout_ms=60_000)
        site.targets["t-slow"].half_pause_s = 60.0
        site.targets["t-slow"].pause_s = 60.0
        site.targets["t-read"].body_bytes = ANSWER_BYTES
        site.publish()
        self.settings = site.settings("i1", site.store.address) | SETTINGS
        file = folder / "settings.jsonc"
        file.write_bytes(msgspec.json.encode(self.settings))
        self.process = harness.Process(
            "i1", "agatewing.gatewayd", ["--settings", str(file)], folder
        )
        self.process.start()

    def address(self, port: str) -> tuple[str, int]:
        """Return the address that a setting holds."""
        return net.split_address(self.settings[port])

    def last_body(self) -> bytes:
        """Return the body of the last request that a target ran."""
        return self._site.targets["t-look"].runs[-1].body

    def ask(self, port: str, path: str, body: bytes = b"") -> int:
        """Send an ordinary request, and again after a promise."""
        status = 0
        with gevent.Timeout(ANSWER_S, False):
            while status in PROMISES:
                with contextlib.suppress(OSError, AssertionError):
                    status = self._site.ask_at(
                        self.settings[port], path, method="GET", body=body
                    ).status
                gevent.sleep(0.1)
        return status


@pytest.fixture
def door(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[Door]:
    with standins.Site() as site:
        made = Door(site, tmp_path)
        try:
            assert made.ask("caller_address", "/look/x") == 200
            yield made
        finally:
            made.process.kill()


# Nothing bounded what callers had sent, nor their connections: 40 that
# stopped short of 4 MB took 229 MB.
@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_takes_no_more_than_its_bounds(door: Door, name: str) -> None:
    crowd = CROWDS[name]
    meter = _hostile_crowd.Meter(door.process.pid)
    with _hostile_crowd.at_the_door(door.address(crowd.port), crowd):
        answered = door.ask("caller_address", "/look/x")
        ready = door.ask("ready_address", platform.READY_PATH)
        meter.stop()
        assert door.process.running, door.process.describe()
        peak_mb = meter.peak_mb()
    seen = f"{peak_mb:.0f} MB, {meter.descriptors} descriptors"
    print(f"{name}: {seen}, {answered}, {ready}")
    assert peak_mb < MEMORY_MB, seen
    assert meter.descriptors <= DESCRIPTORS, seen
    assert (answered, ready) == (200, 200), seen


@pytest.mark.parametrize("framing", ["announced", "chunked"])
def test_the_largest_request_is_served_in_calm(
    door: Door, framing: str
) -> None:
    meter = _hostile_crowd.Meter(door.process.pid)
    head = _hostile_crowd.announced(LARGEST)
    body = b"x" * LARGEST
    if framing == "chunked":
        head = POST + CHUNKED
        body = LARGE * (LARGEST // _hostile_crowd.LARGE) + b"0\r\n\r\n"
    with net.connect(door.settings["caller_address"], ANSWER_S) as sock:
        sock.sendall(head + body)
        assert standins.read_reply(sock).status == 200
    meter.stop()
    assert meter.peak_mb() < MEMORY_MB
    assert len(door.last_body()) == LARGEST
