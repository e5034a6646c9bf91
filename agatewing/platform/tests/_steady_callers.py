"""Callers that send requests of every kind, on every kind of connection."""

import dataclasses
import enum
import itertools
import random
import time

import gevent

from agatewing import net
from agatewing.platform import standins
from agatewing.platform.tests import _changes

#: Time limit of one answer, in seconds; longer than that of any route.
REPLY_TIMEOUT_S = 20.0
#: Pause of most callers between two requests, in seconds.
PERIOD_S = 0.05
#: Longest pause of a caller whose connection idles, in seconds: the platform's
#: callers use connections again that idled for up to four fifths of the limit.
IDLE_S = _changes.LIMITS["idle_timeout_ms"] / 1_000 * 0.8
#: Requests that are sent at once.
PIPELINED = 3
#: Size of a large body, in bytes, and the pieces in which it is sent, with a
#: pause between them in seconds.
BODY_BYTES, PIECES, PIECE_PERIOD_S = 300_000, 3, 0.05
#: Size of a large head, in bytes.
HEAD_BYTES = 4_000


class Kind(enum.StrEnum):
    """Kind of the route, and its first path segment."""

    SAFE = "find"
    UNSAFE = "pay"
    ONCE_STREAM = "draft"
    RESUMABLE = "chat"
    #: Resumable, with a prompt that is processed apart.
    PREFILLED = "chat/long"

    @property
    def streams(self) -> bool:
        return self not in (Kind.SAFE, Kind.UNSAFE)

    @property
    def repeatable(self) -> bool:
        return self not in (Kind.UNSAFE, Kind.ONCE_STREAM)


class Style(enum.StrEnum):
    """How a caller uses its connections."""

    NEW = "a new connection each time"
    KEPT = "a kept connection"
    IDLE = "a connection that idles"
    PIPELINED = "several requests at once"
    LARGE = "a large head and body"
    OLD = "HTTP/1.0"


@dataclasses.dataclass(slots=True)
class Sent:
    """A request, and what became of it."""

    id: str
    kind: Kind
    style: Style
    #: Monotonic time from which the instance may begin with it, in seconds:
    #: that of its first byte, or of the end of the answer before it.
    turn_at: float = 0.0
    #: Monotonic time at which its last byte was sent, in seconds.
    sent_at: float = 0.0
    #: Whether all of it was sent.
    whole: bool = False
    #: Whether its connection was new.
    first: bool = True
    #: Whether the caller was told before that its connection ends.
    told: bool = False
    #: Request that was sent before it without awaiting the answer.
    behind: "Sent | None" = None
    #: What came back; ``None`` if nothing did until ``REPLY_TIMEOUT_S``.
    reply: standins.Reply | None = None
    #: Monotonic time of the end of the reply, in seconds.
    ended_at: float = 0.0


class _Link:
    """A connection with its answers."""

    __slots__ = ("sock", "replies", "used")

    def __init__(self, address: str) -> None:
        self.sock = net.connect(address, REPLY_TIMEOUT_S)
        self.replies = standins.ReplyReader(self.sock)
        #: Whether a request was sent on it.
        self.used = False


class SteadyCallers:
    """Send requests to one instance until they are stopped.

    A caller that finds its connection closed opens another one before it
    sends.
    """

    def __init__(self, address: str, seed: object) -> None:
        self._address = address
        self._seed = seed
        #: All requests, in order of sending.
        self.sent: list[Sent] = []
        #: Number of connections that were found closed before a request.
        self.found_closed = 0
        #: Whether new connections are opened.
        self.connecting = True
        self._sending = True
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start a caller for each kind and style."""
        self._greenlets = [
            gevent.spawn(self._run, kind, style)
            for kind in Kind
            for style in Style
        ]

    def stop(self) -> None:
        """Wait for the answers to what was sent; nothing more is sent."""
        self._sending = False
        gevent.joinall(self._greenlets, raise_error=True)

    def _run(self, kind: Kind, style: Style) -> None:
        rng = random.Random(f"{self._seed}/{kind}/{style}")
        link: _Link | None = None
        number = 0
        gevent.sleep(rng.uniform(0, PERIOD_S))
        while self._sending:
            if link is not None and link.replies.ended:
                self.found_closed += 1
                link.sock.close()
                link = None
            if link is None:
                link = self._connect()
            if link is None:
                return
            count = PIPELINED if style is Style.PIPELINED else 1
            batch = [
                Sent(f"{kind}-{style.name}-{number + n}", kind, style)
                for n in range(count)
            ]
            number += count
            self.sent += batch
            kept = self._exchange(link, batch)
            if not kept or style in (Style.NEW, Style.OLD):
                link.sock.close()
                link = None
            idles = style is Style.IDLE
            gevent.sleep(rng.uniform(0.2, IDLE_S) if idles else PERIOD_S)
        if link is not None:
            link.sock.close()

    def _connect(self) -> _Link | None:
        """Open a connection; return ``None`` once no more are opened."""
        if not self.connecting:
            return None
        try:
            return _Link(self._address)
        except OSError:
            return None

    def _exchange(self, link: _Link, batch: list[Sent]) -> bool:
        """Send requests, read the answers; return whether to go on."""
        for sent in batch:
            sent.first = not link.used
        for earlier, sent in itertools.pairwise(batch):
            sent.behind = earlier
        link.used = True
        turn_at = time.monotonic()
        try:
            self._write(link, batch)
        except OSError:
            # An answer may have come all the same.
            pass
        told = False
        for sent in batch:
            sent.told, sent.turn_at = told, turn_at
            try:
                sent.reply = link.replies.read(REPLY_TIMEOUT_S)
            except AssertionError:
                return False
            finally:
                sent.ended_at = turn_at = time.monotonic()
            told = told or sent.reply.headers.get("connection") == "close"
        return not told and all(s.reply and s.reply.complete for s in batch)

    def _write(self, link: _Link, batch: list[Sent]) -> None:
        if batch[0].style is not Style.LARGE:
            link.sock.sendall(b"".join(_request(sent) for sent in batch))
        else:
            data = _request(batch[0])
            size = -(-len(data) // PIECES)
            for start in range(0, len(data), size):
                gevent.sleep(PIECE_PERIOD_S if start else 0)
                link.sock.sendall(data[start : start + size])
        now = time.monotonic()
        for sent in batch:
            sent.sent_at, sent.whole = now, True


def _request(sent: Sent) -> bytes:
    fields = [f"Host: {standins.HOST}", f"X-Request-Id: {sent.id}"]
    if sent.kind.streams:
        tokens = 9_000 if sent.kind is Kind.PREFILLED else 400
        fields.append(f"X-Token-Count: {tokens},20")
        fields.append(f"X-Prefix-Hash: aa:200,{sent.id}:{tokens - 200}")
    body = b""
    if sent.style is Style.LARGE:
        body = b"x" * BODY_BYTES
        fields.append(f"X-Padding: {'p' * HEAD_BYTES}")
        fields.append(f"Content-Length: {len(body)}")
    version = "1.0" if sent.style is Style.OLD else "1.1"
    line = f"POST /{sent.kind}/x HTTP/{version}"
    head = "\r\n".join((line, *fields, "", ""))
    return head.encode() + body
