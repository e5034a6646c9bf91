"""A peer that takes requests, but behaves as a test wants."""

import collections
import enum

import gevent
import gevent.event
import gevent.server
import gevent.socket
import result

from agatewing import detour
from agatewing import gateway
from agatewing.gateway import _peers
from agatewing.platform import standins
from agatewing import wire

SECRET = "secret of the stand-ins"


class Act(enum.StrEnum):
    """What the peer does with one request."""

    #: Accepts the connection and says nothing.
    SILENT = "silent"
    #: Closes the connection before it says whether it takes the request.
    CLOSE = "close"
    #: Does not take it, as it is full.
    FULL = "full"
    #: Takes it, and closes the connection before the body has come.
    BREAK_BEFORE_BODY = "break before body"
    #: Takes it, and closes the connection before the head of an answer.
    BREAK_BEFORE_HEAD = "break before head"
    #: Closes the connection inside the answer.
    BREAK_IN_ANSWER = "break in answer"
    #: Takes it and never answers.
    HANG = "hang"
    #: Has found that it does not reach the targets either.
    LOST_TOO = "lost too"
    #: Answers, or goes on after the event that the request names.
    ANSWER = "answer"


class StandinPeer:
    """Serves hops on a port of loopback."""

    def __init__(self, name: str) -> None:
        #: Name of the instance.
        self.name = name
        self._codec = wire.Codec(SECRET)
        self._hops = detour.HopServer(self._codec, self._serve_requests)
        self._server = gevent.server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        #: Behaviour for each of the next requests; ANSWER once it is empty.
        self.script: collections.deque[Act] = collections.deque()
        #: Refusals of the next requests; it follows the script without one.
        self.refusals: collections.deque[wire.HopRefusal] = collections.deque()
        #: Requests that it was offered, and those that it may have run.
        self.offered: list[wire.HopRequest] = []
        self.taken: list[wire.HopRequest] = []
        #: Number of requests whose sender left meanwhile.
        self.left = 0
        #: Zone of its entry in the log.
        self.zone = "z1"

    def stop(self) -> None:
        """Close the port and all connections."""
        self._hops.close()
        self._server.stop(timeout=0)

    def join(self, instance: gateway.GatewayInstance) -> None:
        """Become a peer of an instance."""
        instance.peers.known[self.name] = _peers.PeerEntry(
            f"127.0.0.1:{self._server.server_port}", self.zone, True
        )

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        if self.script and self.script[0] is Act.SILENT:
            self.script.popleft()
            gevent.sleep(60.0)
        data = wire.read_frame(sock)
        match self._codec.decode(wire.StateRequest, data):
            case result.Ok(opening):
                self._hops.serve(sock, opening)

    def _serve_requests(self, answer: detour.HopAnswer) -> None:
        try:
            while self._serve_request(answer):
                pass
        except detour.BrokenError:
            return

    def _serve_request(self, answer: detour.HopAnswer) -> bool:
        offered = answer.next_request()
        self.offered.append(offered)
        act = self.script.popleft() if self.script else Act.ANSWER
        match act:
            case Act.SILENT:
                gevent.sleep(60.0)
            case Act.CLOSE:
                return False
            case Act.FULL:
                answer.refuse(refusal(503, "full", True))
                return True
            case Act.BREAK_BEFORE_BODY:
                # The sender may have sent the body by now, unread.
                answer.say_ready()
                return False
        answer.take(offered)
        self.taken.append(offered)
        if self.refusals:
            answer.refuse(self.refusals.popleft())
            return True
        watch = answer.watch(self._record_left)
        try:
            return self._answer(answer, offered, act)
        finally:
            watch.kill()

    def _answer(
        self, answer: detour.HopAnswer, offered: wire.HopRequest, act: Act
    ) -> bool:
        match act:
            case Act.BREAK_BEFORE_HEAD:
                return False
            case Act.HANG:
                gevent.sleep(60.0)
            case Act.LOST_TOO:
                answer.refuse(refusal(503, "lost too", True))
                return True
        fields = {field.name.lower() for field in offered.headers}
        stamp = wire.HopField(name=b"X-Server-Stamp", value=self.name.encode())
        answer.start(
            wire.HopHead(
                status=200,
                headers=[stamp],
                target="t9",
                software="v1",
                excluded=[],
            )
        )
        if b"x-token-count" not in fields:
            answer.write(b"whole ")
            if act is Act.BREAK_IN_ANSWER:
                return False
            answer.write(b"answer")
        else:
            last = int(offered.last_event_id or b"0")
            for number in range(last + 1, 4):
                answer.write(
                    f"id: {number}\ndata: token {number}\n\n".encode()
                )
                if act is Act.BREAK_IN_ANSWER:
                    return False
        answer.end()
        return True

    def _record_left(self) -> None:
        self.left += 1


def refusal(
    status: int,
    detail: str,
    not_taken: bool = False,
    targets: int = 0,
    kind: str = "overloaded",
    retry_after_s: float | None = 0.75,
    may_go_on: bool = False,
) -> wire.HopRefusal:
    """Return a refusal of a peer."""
    return wire.HopRefusal(
        status=status,
        kind=kind,
        detail=detail,
        retry_after_s=retry_after_s,
        not_taken=not_taken,
        targets=targets,
        excluded=[],
        may_go_on=may_go_on,
    )


def stand_ins(
    instance: gateway.GatewayInstance, *names: str
) -> dict[str, StandinPeer]:
    """Return peers of an instance by name."""
    made = {name: StandinPeer(name) for name in names}
    for peer in made.values():
        peer.join(instance)
    return made


def ids_run(site: standins.Site) -> collections.Counter[str]:
    """Return how often targets ran each request."""
    return collections.Counter(
        run.id for target in site.targets.values() for run in target.runs
    )
