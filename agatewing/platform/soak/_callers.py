"""Callers of an episode: send requests and record the replies."""

import dataclasses
import random
import time

import gevent
import gevent.socket

from agatewing import net
from agatewing.platform.soak import _checks
from agatewing.platform import standins

#: Concurrent callers; each reuses its connection.
CALLERS = 16
#: Events in each stream.
EVENTS = 4
#: Time limit of one blocking call on a caller's connection, in seconds.
REPLY_TIMEOUT_S = 4.0
#: Pause between two requests of a caller, in seconds.
REQUEST_PERIOD_S = 0.02
#: Tokens of a short prompt, and of one that is prefilled apart.
SHORT_TOKENS = 400
LONG_TOKENS = 9_000

#: Whether a request may run more than once, by its path.
IDEMPOTENT_BY_PATH = {
    "/pay/x": False,
    "/look/x": True,
    "/draft/x": False,
    "/chat/x": True,
}
#: Service of the plain routes, and that of the streams.
PLAIN_SERVICE = "ledger"
STREAM_SERVICE = "chat"
#: Paths on which the answer is a stream.
STREAM_PATHS = frozenset(("/draft/x", "/chat/x"))


class _Link:
    """Connection of a caller to one instance."""

    __slots__ = ("instance", "sock")

    def __init__(self, instance: str, sock: gevent.socket.socket) -> None:
        #: Name of the instance.
        self.instance = instance
        self.sock = sock


class Callers:
    """Sends requests to the instances until it is stopped."""

    def __init__(
        self,
        seed: int,
        records: _checks.CallerRecords,
        addresses: dict[str, str],
    ) -> None:
        self._seed = seed
        self._records = records
        # Address for callers, by name of the instance.
        self._addresses = addresses
        self._sending = True
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start all callers."""
        self._greenlets = [
            gevent.spawn(self._run_caller, n) for n in range(CALLERS)
        ]

    def stop(self) -> None:
        """Wait for the open requests; no new ones are sent."""
        self._sending = False
        gevent.joinall(self._greenlets)

    def _run_caller(self, caller: int) -> None:
        """Send requests until the episode ends.

        Opens a new connection at random, and after the previous one broke or
        was closed.
        """
        rng = random.Random(f"{self._seed}/{caller}")
        number = 0
        link: _Link | None = None
        while self._sending:
            gevent.sleep(REQUEST_PERIOD_S)
            number += 1
            path = rng.choice(list(IDEMPOTENT_BY_PATH))
            name = rng.choice(list(self._addresses))
            if link is None or rng.random() < 0.3:
                if link is not None:
                    link.sock.close()
                link = self._connect(name)
            if link is None:
                continue
            streams = path in STREAM_PATHS
            attempt = _checks.Attempt(
                f"c{caller}-{number}",
                IDEMPOTENT_BY_PATH[path],
                EVENTS if streams else 0,
                instance=link.instance,
                sent_at=time.monotonic(),
                service=STREAM_SERVICE if streams else PLAIN_SERVICE,
            )
            reply = self._send(link, path, attempt, rng)
            keep_alive = reply.headers.get("connection") != "close"
            if not reply.complete or not keep_alive:
                link.sock.close()
                link = None
            if path == "/chat/x" and not reply.complete:
                self._take_up(attempt, reply, rng)

    def _take_up(
        self,
        began: _checks.Attempt,
        reply: standins.Reply,
        rng: random.Random,
    ) -> None:
        """Take a stream that broke off up once, at any instance."""
        ids = _checks.event_ids(reply.body.rpartition(b"\n\n")[0])
        if not ids:
            return
        link = self._connect(rng.choice(list(self._addresses)))
        if link is None:
            return
        attempt = dataclasses.replace(
            began,
            id=f"{began.id}r",
            resumes=began.id,
            after=ids[-1],
            instance=link.instance,
            sent_at=time.monotonic(),
        )
        self._send(link, "/chat/x", attempt, rng)
        link.sock.close()

    def _connect(self, name: str) -> _Link | None:
        """Open a connection to an instance, if it accepts one."""
        try:
            sock = gevent.socket.create_connection(
                net.split_address(self._addresses[name]), 1.0
            )
        except OSError:
            return None
        return _Link(name, sock)

    def _send(
        self,
        link: _Link,
        path: str,
        attempt: _checks.Attempt,
        rng: random.Random,
    ) -> standins.Reply:
        """Send one request; return its reply, with both recorded.

        A broken connection gives a reply with status 0.
        """
        fields = f"Host: {standins.HOST}\r\nX-Request-Id: {attempt.id}\r\n"
        if attempt.events:
            tokens = LONG_TOKENS if rng.random() < 0.5 else SHORT_TOKENS
            fields += f"X-Token-Count: {tokens},20\r\n"
            fields += f"X-Prefix-Hash: aa:200,{attempt.id}:200\r\n"
        if attempt.resumes:
            fields += f"Last-Event-Id: {attempt.after}\r\n"
            fields += f"Resumes: {attempt.resumes}\r\n"
        head = f"POST {path} HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n"
        self._records.record_attempt(attempt)
        link.sock.settimeout(REPLY_TIMEOUT_S)
        try:
            link.sock.sendall(head.encode())
            reply = standins.read_reply(link.sock)
        except OSError:
            reply = standins.Reply(0, {}, b"", False)
        self._records.record_reply(attempt.id, reply, time.monotonic())
        return reply
