"""A crowd whose heads are inside the limit and have thousands of fields.

Each sends such a head, then a chunked body that stops just short of its end.
"""

import os
import pathlib
import time

import gevent

import scene3
from agatewing import net
from agatewing.platform import standins

FOLDER = pathlib.Path(__file__).parent
#: Channels of the crowd; the machine takes 1,379, so none is refused.
CROWD = 1_300
PERIOD_S = 0.004
#: Limits of the site's config; the heads are inside max_header_bytes.
MAX_HEADER_BYTES = 16_384
HEADER_TIMEOUT_MS = 3_000
#: memory_mb of the machine, in the largest reading of a megabyte.
MEMORY_MB = scene3.FIELDS["limits"]["memory_mb"]
MEMORY_BYTES = MEMORY_MB * 1_048_576
CALM_S, CROWD_S = 3.0, 14.0
#: With PLAIN=1 the same crowd sends heads of five fields.
PLAIN = os.environ.get("PLAIN") == "1"


def head(number):
    lines = (
        f"POST /look/x HTTP/1.1\r\nHost: {scene3.HOST}\r\n"
        f"X-Request-Id: crowd-{number}\r\nX-Deadline-Ms: 60000\r\n"
        "Transfer-Encoding: chunked\r\n"
    )
    if PLAIN:
        return lines + "Accept: */*\r\n\r\n"
    count = (MAX_HEADER_BYTES - len(lines) - 2) // 4
    names = "abcdefghijklmnopqrstuvwxyz"
    return (
        lines + "".join(f"{names[n % 26]}:\r\n" for n in range(count)) + "\r\n"
    )


def memory(pid):
    """Return the present and the largest resident memory, in bytes."""
    found = {}
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            found[name] = int(value.split()[0]) * 1_024
    return found["VmRSS"], found["VmHWM"]


def case(stage):
    site, record = stage.site, stage.record
    site.max_conns = 96
    for n in range(4):
        site.add_target(f"c{n}", "contas", None, slots=6)
    site.route("/look/", "safe", "contas", timeout_ms=600)
    site.publish(
        max_header_bytes=MAX_HEADER_BYTES,
        max_body_bytes=4_194_304,
        header_timeout_ms=HEADER_TIMEOUT_MS,
        idle_timeout_ms=15_000,
    )
    machine = stage.add_machine("front-1")
    stage.start_all()
    socks, answers = [], []

    def come(number):
        try:
            sock = net.connect(machine.front, 5.0)
            socks.append(sock)
            sock.sendall((head(number) + "5\r\nab").encode())
        except OSError as exc:
            record.line(f"crowd {number}: {exc}")

    def ask():
        for number in range(10_000):
            begun = time.monotonic()
            status = 0
            try:
                with gevent.Timeout(2.0, OSError("late")):
                    status = site.ask_at(
                        machine.front,
                        "/look/x",
                        f"client-{number}",
                        method="GET",
                    ).status
            except (OSError, AssertionError):
                pass
            answers.append(status)
            record.line(
                f"ordinary client {number}: {status or 'no answer'} after "
                f"{time.monotonic() - begun:.3f} s"
            )
            gevent.sleep(0.25)

    asking = gevent.spawn(ask)
    gevent.sleep(CALM_S)
    if answers.count(200) < len(answers):
        raise scene3.CannotRunError("not served in calm")
    record.line(
        f"calm: resident {memory(machine.child.pid)[0] / 1e6:.0f} MB", True
    )
    if scene3.TROUBLE:
        record.line(
            f"{CROWD} channels come, with heads of {len(head(1_000))} bytes and "
            f"{head(1_000).count(':')} fields",
            True,
        )
        crowd = [
            gevent.spawn_later(n * PERIOD_S, come, n) for n in range(CROWD)
        ]
    most, over_at = 0, None
    until = time.monotonic() + CROWD_S
    while time.monotonic() < until and machine.running:
        gevent.sleep(0.25)
        try:
            present, most = memory(machine.child.pid)
        except (OSError, KeyError):
            break
        record.line(
            f"resident {present / 1e6:.0f} MB, {len(socks)} of the crowd"
        )
        if over_at is None and present > MEMORY_BYTES:
            over_at = len(socks)
            record.line(
                f"over {MEMORY_MB} MB with {over_at} of the crowd: the "
                "platform kills the process here",
                True,
            )
    asking.kill()
    if scene3.TROUBLE:
        gevent.killall(crowd)
    for sock in socks:
        sock.close()
    record.line(
        f"largest resident memory {most / 1e6:.0f} MB of {MEMORY_MB} MB; the "
        f"process runs: {machine.running}; ordinary requests served: "
        f"{answers.count(200)} of {len(answers)}",
        True,
    )
    broken = over_at is not None or most > MEMORY_BYTES or not machine.running
    return scene3.BROKEN if broken else scene3.HELD


if __name__ == "__main__":
    scene3.play(FOLDER, case)
