"""Clients outside the limits keep all others from a machine."""

import pathlib
import sys

import gevent
import gevent.socket

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import fleet as fleets  # noqa: E402
from agatewing.platform import standins  # noqa: E402

#: Channels of the clients outside the limits; the machine keeps 1,380.
CHANNELS = 1_500
#: Ordinary clients, each with a new channel for every request.
CLIENTS = 8
PERIOD_S = 0.5
CALM_S = 4.0
TROUBLE_S = 24.0
STABLE_S = fleets.BOUNDS["stable_window_ms"] / 1_000
BODY = b"x" * 200


def request(request_id: str, path: str = "/look/a") -> bytes:
    """Return a proper request with a whole body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2000\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


def unfinished(request_id: str) -> bytes:
    """Return a request whose chunked body stops just short of its end."""
    return (
        f"POST /look/a HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 10000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n"
    ).encode()


class Crowd:
    """Clients that don't keep to the limits, at one machine.

    Each channel carries one proper request, then one whose chunked body stops
    just short of its end, and stays open until the machine closes it.
    """

    def __init__(self, fleet: fleets.Fleet, name: str) -> None:
        self._fleet = fleet
        self._address = fleet.front(name)
        self._greenlets: list[gevent.Greenlet] = []
        self.open = 0
        self.answered = 0
        self.ended = 0

    def start(self) -> None:
        """Open the channels, some 500 a second."""
        for number in range(CHANNELS):
            self._greenlets.append(gevent.spawn(self._run, number))
            gevent.sleep(0.002)

    def stop(self) -> None:
        """Close all channels."""
        gevent.killall(self._greenlets)

    def _run(self, number: int) -> None:
        turn = 0
        while True:
            turn += 1
            try:
                self._use_channel(f"c{number}-{turn}")
            except OSError:
                pass
            gevent.sleep(0.5)

    def _use_channel(self, name: str) -> None:
        with gevent.socket.create_connection(self._address, 1.0) as sock:
            sock.settimeout(None)
            sock.sendall(request(name + "a"))
            reply = standins.ReplyReader(sock).read(10.0)
            if reply.status != 200:
                return
            self.answered += 1
            sock.sendall(unfinished(name + "b"))
            self.open += 1
            try:
                while sock.recv(4_096):
                    pass
            finally:
                self.open -= 1
                self.ended += 1


class Client:
    """An ordinary client: a small request every half second."""

    def __init__(self, fleet: fleets.Fleet, machine: str, number: int) -> None:
        self._fleet = fleet
        self._machine = machine
        self._number = number
        #: Time and status of each request.
        self.tries: list[tuple[float, int]] = []

    def run(self) -> None:
        """Send requests forever."""
        gevent.sleep(self._number * PERIOD_S / CLIENTS)
        count = 0
        while True:
            count += 1
            name = f"o{self._number}-{count}"
            begun_at = self._fleet.now
            status, _ = fleets.ask(
                self._fleet.front(self._machine), request(name), 2.0
            )
            self.tries.append((begun_at, status))
            self._fleet.note(
                f"ordinary request {name} sent at {begun_at:.3f}: {status}"
            )
            left_s = begun_at + PERIOD_S - self._fleet.now
            gevent.sleep(max(0.01, left_s))


def longest_gap(
    tries: list[tuple[float, int]], since: float, until: float
) -> tuple[float, float]:
    """Return the longest time in which no request was answered with 200."""
    marks = [since]
    marks += sorted(at for at, s in tries if s == 200 and since <= at < until)
    marks.append(until)
    return max((b - a, a) for a, b in zip(marks, marks[1:]))


def case(fleet: fleets.Fleet, trouble: bool) -> list[str]:
    """Return how the rule was broken."""
    site = fleet.site
    site.route("/look/", "safe", "accounts", max_attempts=2, timeout_ms=2_000)
    site.max_conns = 96
    for name in ("a1", "a2"):
        site.add_target(name, "accounts", None)
    site.publish()
    fleet.start_all()
    machine, other = fleet.names
    clients = [Client(fleet, machine, n) for n in range(CLIENTS)]
    others = [Client(fleet, other, n + CLIENTS) for n in range(CLIENTS)]
    running = [gevent.spawn(c.run) for c in clients + others]
    gevent.sleep(CALM_S)
    crowd = Crowd(fleet, machine)
    since = fleet.now
    ready: list[tuple[float, bool]] = []

    def look() -> None:
        while True:
            ready.append((fleet.now, fleet.is_ready(machine)))
            gevent.sleep(1.0)

    running.append(gevent.spawn(look))
    if trouble:
        fleet.note(f"{CHANNELS} channels outside the limits to {machine}")
        running.append(gevent.spawn(crowd.start))
    for _ in range(int(TROUBLE_S / 2)):
        gevent.sleep(2.0)
        fleet.note(
            f"outside the limits: {crowd.answered} answered, {crowd.open} "
            f"open, {crowd.ended} ended by the machine"
        )
    until = fleet.now
    gevent.killall(running)
    crowd.stop()
    broken = []
    gap_s, at = longest_gap(
        [t for c in clients for t in c.tries], since, until
    )
    statuses: dict[int, int] = {}
    for client in clients:
        for begun_at, status in client.tries:
            if at < begun_at < at + gap_s:
                statuses[status] = statuses.get(status, 0) + 1
    said_ready = [is_ready for when, is_ready in ready if at <= when <= at + gap_s]
    fleet.note(
        f"{machine}: no ordinary request was served for {gap_s:.2f} s from "
        f"{at:.2f} s on; their statuses: {statuses}; it said that it is "
        f"ready {sum(said_ready)} of {len(said_ready)} times"
    )
    other_gap_s, _ = longest_gap(
        [t for c in others for t in c.tries], since, until
    )
    fleet.note(f"{other}: longest such time {other_gap_s:.2f} s")
    if not fleet.running(machine):
        broken.append(f"the process of {machine} has ended")
    if gap_s > STABLE_S and said_ready and all(said_ready):
        broken.append(
            f"RECOVER: {machine} says that it is ready and takes no new "
            f"channel of {CLIENTS} clients for {gap_s:.2f} s"
        )
    fleet.note(fleet.logs(("too many connections",))[:1_500])
    return broken


if __name__ == "__main__":
    fleets.run(case, fleets.Fleet(2))
