"""A machine is frozen while an engine of another software version comes and goes.

Streams that began there are taken up at that machine afterwards.
"""

import pathlib
import time

import gevent
import gevent.socket

import scene3
from agatewing import net
from agatewing.platform import standins

FOLDER = pathlib.Path(__file__).parent
SERVICE, SHORT = "assistente", "etiqueta"
#: Short streams a second of another service, as background.
SHORT_PER_S = 40
#: Seconds from the begin of the freeze; it lasts for 7 s (the largest dose of the
#: site: 7.4 s).
JOINS_AT, LEAVES_AT, THAW_AT, EXITS_AT = 2.5, 6.0, 7.0, 10.5
EVENTS, PAUSE_S = 68, 0.13
DEADLINE_S = 10.0
#: Machines of the site.
MACHINES = 6
#: The rule: more than two streams.
ALLOWED = 2


class Streams:
    """Clients of one stream each; they take it up once at the last machine."""

    def __init__(self, stage):
        self._stage = stage
        self._machines = list(stage.machines.values())
        self.by_name = {}
        self.loops = []

    def begin(self, number):
        self.loops.append(gevent.spawn(self._follow, f"s{number}", number))

    def _follow(self, name, number):
        until = time.monotonic() + DEADLINE_S
        events = self.by_name.setdefault(name, [])
        first = self._machines[number % (MACHINES - 1)]
        done, status = self._ask(first, name, events, {}, until)
        self._stage.record.line(
            f"{name} at {first.name}: {status}, {len(events)} events of "
            f"{versions(events)}, {'complete' if done else 'broken off'}"
        )
        if done or not events or time.monotonic() > until - 0.5:
            return
        # PROTOCOL.md: the client may resume after a broken channel; retries
        # reach other nodes.
        other, before = self._machines[-1], len(events)
        taken_up = {
            "Last-Event-Id": str(events[-1][0]),
            "Resumes": name,
        }
        done, status = self._ask(other, f"{name}-2", events, taken_up, until)
        self._stage.record.line(
            f"{name} taken up at {other.name} after event {before}: {status}, "
            f"{len(events) - before} events more, of {versions(events[before:])}"
        )

    def ask_short(self, name, number):
        machine = self._machines[number % (MACHINES - 1)]
        head = (
            f"POST /tag/x HTTP/1.1\r\nHost: {scene3.HOST}\r\n"
            f"X-Request-Id: {name}\r\nX-Deadline-Ms: 2500\r\nX-Model: m\r\n"
            f"X-Token-Count: 120,3\r\nX-Prefix-Hash: bb:80,{name}:40\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        try:
            with gevent.Timeout(2.5, OSError("late")):
                with net.connect(machine.front, 1.0) as sock:
                    sock.sendall(head.encode())
                    standins.read_reply(sock)
        except OSError:
            pass

    def _ask(self, machine, name, events, headers, until):
        """Read a stream; return whether it is complete, and its status."""
        left_s = until - time.monotonic()
        fields = {
            "Host": scene3.HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(left_s * 1_000)),
            "X-Model": "m",
            "X-Token-Count": f"120,{EVENTS}",
            "X-Prefix-Hash": f"aa:80,{name}:40",
            "Content-Length": "0",
            **headers,
        }
        lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        status, data = 0, b""
        try:
            with gevent.Timeout(left_s, OSError("late")):
                with net.connect(machine.front, 1.0) as sock:
                    sock.sendall(
                        f"POST /chat/x HTTP/1.1\r\n{lines}\r\n".encode()
                    )
                    while got := sock.recv(65_536):
                        data += got
                        if not status and b"\r\n" in data:
                            status = int(data.split(b" ", 2)[1])
                        while status == 200 and b"\n\n" in data:
                            event, _, data = data.partition(b"\n\n")
                            text = event.decode("latin-1")
                            number = int(text.split("id: ")[1].split("\n")[0])
                            version = text.rpartition(" ")[2].strip()
                            events.append((number, version))
                        if status == 200 and b"0\r\n\r\n" in data:
                            return True, status
                        if status and status != 200:
                            return False, status
        except OSError:
            pass
        return False, status


def versions(events):
    return "/".join(sorted({version for _, version in events})) or "nothing"


def case(stage):
    site, record = stage.site, stage.record
    site.max_conns = 360

    entries = {}

    def announce(name, **changes):
        entries[name].update(changes)
        entries[name]["seq"] += 1
        site.store.put("keyed.servers", name, entries[name])

    def add(name, software, stage, service=SERVICE, events=EVENTS):
        engine = site.start_engine(name, events)
        engine.event_suffix = f" {software}"
        engine.pause_s = PAUSE_S
        engine.on_role_change = lambda role: announce(name, stage=role)
        entries[name] = {
            "service": service,
            "address": engine.address,
            "zone": "z1",
            "version": software,
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": stage,
            "seq": 0,
        }
        announce(name)
        return engine

    add("e1", "v1", "decode")
    add("e2", "v1", "decode")
    add("p1", "v1", "prefill")
    for name in ("t1", "t2"):
        add(name, "v1", "decode", SHORT, 3).pause_s = 0.02
    site.route(
        "/tag/",
        "streaming",
        SHORT,
        sticky=True,
        timeout_ms=2_500,
        target_gap_ms=150,
    )
    site.route(
        "/chat/",
        "streaming",
        SERVICE,
        sticky=True,
        resumable=True,
        timeout_ms=int(DEADLINE_S * 1_000),
        target_gap_ms=150,
    )
    site.publish()
    for number in range(1, MACHINES):
        stage.add_machine(f"front-{number}")
    last = stage.add_machine(f"front-{MACHINES}")
    stage.start_all()

    def check_in(name):
        while name in entries:
            announce(name)
            gevent.sleep(1.2)

    # Engines that start together check in together: at 0.0, 1.2, 2.4, 3.6 s.
    for name in list(entries):
        gevent.spawn(check_in, name)
    gevent.sleep(3.3)
    streams = Streams(stage)
    begun = time.monotonic()

    def at(seconds):
        gevent.sleep(max(0.0, begun + seconds - time.monotonic()))

    def clients():
        for number in range(400):
            streams.begin(number)
            gevent.sleep(0.06)
            if time.monotonic() > begun + EXITS_AT:
                return

    def short_streams():
        for number in range(100_000):
            gevent.spawn(streams.ask_short, f"t{number}", number)
            gevent.sleep(1 / SHORT_PER_S)

    gevent.spawn(clients)
    gevent.spawn(short_streams)
    if scene3.TROUBLE:
        record.line(f"{last.name} freezes", True)
        last.send(scene3.signal.SIGSTOP)
    at(JOINS_AT)
    record.line("e3 of v2 joins", True)
    engine = add("e3", "v2", "decode")
    gevent.spawn(check_in, "e3")
    at(LEAVES_AT)
    record.line("the entry of e3 is removed; it serves on", True)
    del entries["e3"]
    site.withdraw("e3")
    at(THAW_AT)
    if scene3.TROUBLE:
        last.send(scene3.signal.SIGCONT)
        record.line(f"{last.name} wakes", True)
    at(EXITS_AT)
    record.line(f"e3 exits, {len(engine.runs)} streams began there", True)
    engine.crash()
    gevent.joinall(streams.loops, timeout=DEADLINE_S + 2)
    joined = [
        n for n, e in streams.by_name.items() if len({v for _, v in e}) > 1
    ]
    record.line(
        f"{len(streams.by_name)} streams; with events of two versions: "
        f"{len(joined)} (allowed: {ALLOWED}) {' '.join(joined)}",
        True,
    )
    if not engine.runs:
        raise scene3.CannotRunError("no stream began at e3")
    return scene3.BROKEN if len(joined) > ALLOWED else scene3.HELD


if __name__ == "__main__":
    scene3.play(FOLDER, case)
