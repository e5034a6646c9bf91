"""Callers of an episode: send requests and record the replies."""

import dataclasses
import random
import time

import gevent

from agatewing import net
from agatewing.platform.soak import _accounts
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
#: Shortest and longest pause between two sends of a request on which targets
#: crash, in seconds.
CRASHING_PERIOD_S = (0.05, 0.4)
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


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What is the same each time that a caller sends a request."""

    path: str
    #: Value of the header Authorization.
    caller: str
    body: bytes
    #: Tokens of the prompt, and its last prefix block, of a stream.
    tokens: int
    block: str


class _Link:
    """Connection of a caller to one instance."""

    __slots__ = ("instance", "sock")

    def __init__(self, instance: str, sock: net.ClientSocket) -> None:
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
        accounts: _accounts.Accounts,
    ) -> None:
        self._accounts = accounts
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
            name = rng.choice(list(self._addresses))
            if link is None or rng.random() < 0.3:
                if link is not None:
                    link.sock.close()
                link = self._connect(name)
            if link is None:
                continue
            req = self._new_request(rng, caller, f"c{caller}-{number}")
            attempt = dataclasses.replace(
                _new_attempt(f"c{caller}-{number}", req, link),
                credential=self._accounts.draw(caller),
            )
            reply = self._send(link, req, attempt)
            keep_alive = reply.headers.get("connection") != "close"
            if not reply.complete or not keep_alive:
                link.sock.close()
                link = None
            if req.path == "/chat/x" and not reply.complete:
                self._take_up(req, attempt, reply, rng, caller)

    def send_crashing(self, req: Request, until: float) -> None:
        """Send one request on which targets crash again and again.

        Each time to any instance, until a monotonic time in seconds.
        """
        name = req.block
        rng = random.Random(f"{self._seed}/{name}")
        number = 0
        while time.monotonic() < until:
            number += 1
            link = self._connect(rng.choice(list(self._addresses)))
            if link is not None:
                attempt = _new_attempt(f"{name}-{number}", req, link)
                attempt = dataclasses.replace(
                    attempt, crashing=name, credential=self._accounts.draw(0)
                )
                self._send(link, req, attempt)
                link.sock.close()
            gevent.sleep(rng.uniform(*CRASHING_PERIOD_S))

    @staticmethod
    def _new_request(rng: random.Random, caller: int, name: str) -> Request:
        """Return a sound request; some have the same body as others."""
        return Request(
            rng.choice(list(IDEMPOTENT_BY_PATH)),
            f"Bearer c{caller}",
            rng.choice((b"", b"text", name.encode())),
            rng.choice((SHORT_TOKENS, LONG_TOKENS)),
            name,
        )

    def _take_up(
        self,
        req: Request,
        began: _checks.Attempt,
        reply: standins.Reply,
        rng: random.Random,
        caller: int,
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
            credential=self._accounts.draw(caller),
        )
        self._send(link, req, attempt)
        link.sock.close()

    def _connect(self, name: str) -> _Link | None:
        """Open a connection to an instance, if it accepts one."""
        try:
            sock = net.connect(self._addresses[name], 1.0)
        except OSError:
            return None
        return _Link(name, sock)

    def _send(
        self, link: _Link, req: Request, attempt: _checks.Attempt
    ) -> standins.Reply:
        """Send a request; return its reply, with both recorded.

        A broken connection gives a reply with status 0.
        """
        fields = f"Host: {standins.HOST}\r\nX-Request-Id: {attempt.id}\r\n"
        fields += f"Authorization: {req.caller}\r\n"
        if attempt.credential is not None:
            fields += f"X-Api-Key: {attempt.credential.key}\r\n"
        if attempt.events:
            fields += f"X-Token-Count: {req.tokens},20\r\n"
            fields += f"X-Prefix-Hash: aa:200,{req.block}:200\r\n"
        if attempt.resumes:
            fields += f"Last-Event-Id: {attempt.after}\r\n"
            fields += f"Resumes: {attempt.resumes}\r\n"
        fields += f"Content-Length: {len(req.body)}\r\n"
        head = f"POST {req.path} HTTP/1.1\r\n{fields}\r\n"
        self._records.record_attempt(attempt)
        link.sock.settimeout(REPLY_TIMEOUT_S)
        try:
            link.sock.sendall(head.encode() + req.body)
            reply = standins.read_reply(link.sock)
        except OSError:
            reply = standins.Reply(0, {}, b"", False)
        self._records.record_reply(attempt.id, reply, time.monotonic())
        return reply


def crashing_request(path: str, name: str) -> Request:
    """Return a request with a body of its own, for targets to crash on.

    Its caller sends sound ones too.
    """
    return Request(path, "Bearer c0", name.encode(), SHORT_TOKENS, name)


def _new_attempt(name: str, req: Request, link: _Link) -> _checks.Attempt:
    """Return the attempt to send a request that begins now."""
    streams = req.path in STREAM_PATHS
    return _checks.Attempt(
        name,
        IDEMPOTENT_BY_PATH[req.path],
        EVENTS if streams else 0,
        instance=link.instance,
        sent_at=time.monotonic(),
        service=STREAM_SERVICE if streams else PLAIN_SERVICE,
    )
