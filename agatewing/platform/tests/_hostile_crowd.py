"""Crowds of callers that nobody controls, and what a process holds."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import socket
import time

import gevent
import gevent.socket

from agatewing.platform import standins

#: Longest time for which one caller sends, in seconds.
SEND_S = 8.0
#: Time between two counts of a process's descriptors, in seconds.
COUNT_PERIOD_S = 0.05
#: Bytes in a large chunk.
LARGE = 65_536
#: Receive buffer of callers who read no answer, in bytes.
SMALL_WINDOW = 4_096
#: Heads without their last empty line.
POST = f"POST /look/x HTTP/1.1\r\nHost: {standins.HOST}\r\n".encode()
SLOW = POST.replace(b"/look/", b"/slow/")
CHUNKED = b"X-Request-Id: h1\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = b"X-Request-Id: h1\r\nContent-Length: 2\r\n\r\nab"


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that all send the same, then stay open."""

    #: Number of connections.
    count: int
    #: What each sends first.
    head: bytes = b""
    #: What each sends after it, again and again.
    piece: bytes = b""
    #: Number of pieces; fewer if the time runs out.
    pieces: int = 0
    #: What each sends last.
    end: bytes = b""
    #: Name of the setting that holds the address.
    port: str = "caller_address"


def announced(size: int) -> bytes:
    """Return the head of a request that announces a body."""
    fields = f"X-Request-Id: h1\r\nContent-Length: {size}\r\n\r\n"
    return POST + fields.encode()


def chunk(size: int) -> bytes:
    """Return a chunk of a body."""
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


def _send(sock: gevent.socket.socket, crowd: Crowd) -> None:
    until = time.monotonic() + SEND_S
    with contextlib.suppress(OSError), gevent.Timeout(SEND_S, False):
        sock.sendall(crowd.head)
        for _ in range(crowd.pieces):
            sock.sendall(crowd.piece)
            gevent.sleep(0)
            if time.monotonic() >= until:
                return
        sock.sendall(crowd.end)


def _connect(address: tuple[str, int]) -> gevent.socket.socket | None:
    sock = gevent.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
    try:
        with gevent.Timeout(SEND_S, OSError("not accepted")):
            sock.connect(address)
    except OSError:
        sock.close()
        return None
    return sock


@contextlib.contextmanager
def at_the_door(
    address: tuple[str, int], crowd: Crowd
) -> collections.abc.Iterator[None]:
    """Have a crowd send; keep its connections open meanwhile."""
    socks: list[gevent.socket.socket] = []

    def come() -> None:
        sock = _connect(address)
        if sock is not None:
            socks.append(sock)
            _send(sock, crowd)

    callers = [gevent.spawn(come) for _ in range(crowd.count)]
    try:
        gevent.joinall(callers)
        yield
    finally:
        gevent.killall(callers)
        for sock in socks:
            sock.close()


class Meter:
    """Counts what a process holds, and keeps the highest figures."""

    def __init__(self, pid: int) -> None:
        self._folder = pathlib.Path(f"/proc/{pid}")
        self._loop = gevent.spawn(self._count)
        #: Most descriptors that were open when counted.
        self.descriptors = 0

    def _count(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                count = sum(1 for _ in (self._folder / "fd").iterdir())
                self.descriptors = max(self.descriptors, count)
            gevent.sleep(COUNT_PERIOD_S)

    def stop(self) -> None:
        """Stop counting."""
        self._loop.kill()

    def peak_mb(self) -> float:
        """Return the most resident memory so far, in megabytes."""
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024 / 1_000_000
        raise OSError("the process has ended")
