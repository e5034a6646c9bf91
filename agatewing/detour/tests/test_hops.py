"""Requests between two instances, over real sockets on loopback."""

import collections.abc
import contextlib
import typing

import gevent
import gevent.server
import gevent.socket
import pytest
import result

from agatewing import _clock
from agatewing import detour
from agatewing.detour import _hop_client
from agatewing.detour import _hop_server
from agatewing.detour import _session
from agatewing import wire

SECRET = "secret of the instances"
CLOCK = _clock.SystemClock()
Answer: typing.TypeAlias = collections.abc.Callable[
    [detour.HopAnswer, wire.HopRequest, bytes], None
]


def request(body: bytes = b"", **changes: object) -> wire.HopRequest:
    fields: dict[str, object] = {
        "method": b"POST",
        "target": b"/pay/x",
        "headers": [wire.HopField(name=b"Host", value=b"\xff")],
        "body_bytes": len(body),
        "service_name": "ledger",
        "waited_ms": 0,
        "left_ms": 1_000,
        "targets_left": 2,
        "excluded": [],
        "config_version": 1,
    }
    fields.update(changes)
    return wire.HopRequest(**fields)


def head(status: int = 200) -> wire.HopHead:
    return wire.HopHead(
        status=status, headers=[], target="t1", software="", excluded=[]
    )


def echo(answer: detour.HopAnswer, req: wire.HopRequest, body: bytes) -> None:
    answer.start(head())
    if body:
        answer.write(body)
    answer.end()


class PeerStandin:
    """Serves hops on a port of loopback."""

    def __init__(self, answer: Answer, secret: str = SECRET) -> None:
        self._answer = answer
        self._codec = wire.Codec(secret)
        self._hops = detour.HopServer(self._codec, self._serve_requests)
        self._server = gevent.server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.bodies: list[bytes] = []
        self.offered = 0
        #: Times that the other side left during a request.
        self.left = 0
        self.connections = 0
        self.errors: list[str] = []
        #: Bytes received, by connection.
        self.recorded: list[bytes] = []

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        self.connections += 1
        data = wire.read_frame(sock)
        match self._codec.decode(wire.StateRequest, data):
            case result.Ok(opening):
                self._hops.serve(sock, opening)
            case result.Err(reason):
                self.errors.append(str(reason))
                sock.close()

    def _serve_requests(self, answer: detour.HopAnswer) -> None:
        try:
            while True:
                offered = answer.next_request()
                self.offered += 1
                body = answer.take(offered)
                self.bodies.append(body)
                watch = answer.watch(self._record_left)
                try:
                    self._answer(answer, offered, body)
                finally:
                    watch.kill()
        except detour.BrokenError as exc:
            self.errors.append(str(exc))

    def _record_left(self) -> None:
        self.left += 1


@contextlib.contextmanager
def peer(
    answer: Answer = echo, secret: str = SECRET
) -> collections.abc.Iterator[PeerStandin]:
    made = PeerStandin(answer, secret)
    try:
        yield made
    finally:
        made.stop()


def wait(condition: collections.abc.Callable[[], object]) -> None:
    with gevent.Timeout(5.0, AssertionError("condition not met in time")):
        while not condition():
            gevent.sleep(0.005)


def client(secret: str = SECRET) -> detour.HopClient:
    return detour.HopClient(CLOCK, wire.Codec(secret))


def deadline(seconds: float = 5.0) -> float:
    return CLOCK.monotonic() + seconds


def read_body(hop: detour.Hop) -> bytes:
    until = deadline()
    assert isinstance(hop.read_head(until), wire.HopHead)
    pieces = []
    while piece := hop.read_piece(until):
        pieces.append(piece)
    return b"".join(pieces)


SIZES = {
    "empty": 0,
    "a byte": 1,
    "a piece": _session.PART_BYTES,
    "a piece and a byte": _session.PART_BYTES + 1,
    "largest request": 4_194_304,
    "largest answer": 16_000_000,
}


@pytest.mark.parametrize("name", SIZES)
def test_bodies_arrive_whole_in_both_directions(name: str) -> None:
    body = bytes(i % 251 for i in range(997)) * (SIZES[name] // 997 + 1)
    body = body[: SIZES[name]]
    with peer() as served:
        hops = client()
        for _ in range(2):
            hop = hops.open(served.address, request(body), 1.0)
            hop.send_body(body, deadline())
            assert read_body(hop) == body
            hop.release()
        assert served.connections == 1


# A request whose body had not been sent to its end was served.
def test_a_request_is_served_only_after_the_end_of_its_body() -> None:
    with peer() as served:
        hop = client().open(served.address, request(b"xy"), 1.0)
        hop.close()
        wait(lambda: served.errors)
        assert not served.bodies


LENGTHS = {"too long": (b"xyz", 2), "too short": (b"x", 2)}


@pytest.mark.parametrize("name", LENGTHS)
def test_a_body_of_another_length_is_not_served(name: str) -> None:
    body, announced = LENGTHS[name]
    with peer() as served:
        hop = client().open(served.address, request(body_bytes=announced), 1.0)
        hop.send_body(body, deadline())
        with pytest.raises(detour.BrokenError):
            hop.read_head(deadline())
        assert not served.bodies


def test_events_are_forwarded_as_they_come() -> None:
    more = gevent.event.Event()

    def answer(
        side: detour.HopAnswer, req: wire.HopRequest, body: bytes
    ) -> None:
        side.start(head())
        side.write(b"one")
        more.wait()
        side.write(b"two")
        side.end()

    with peer(answer) as served:
        hop = client().open(served.address, request(), 1.0)
        hop.send_body(b"", deadline())
        hop.read_head(deadline())
        assert hop.read_piece(deadline()) == b"one"
        with pytest.raises(detour.DeadlineExceededError):
            hop.read_piece(deadline(0.02))
        more.set()
        assert hop.read_piece(deadline()) == b"two"
        assert hop.read_piece(deadline()) == b""


def cut_before_head(
    side: detour.HopAnswer, req: wire.HopRequest, body: bytes
) -> None:
    side.close()


def cut_in_body(
    side: detour.HopAnswer, req: wire.HopRequest, body: bytes
) -> None:
    side.start(head())
    side.write(b"half")
    side.close()


@pytest.mark.parametrize("answer", [cut_before_head, cut_in_body])
def test_an_answer_that_breaks_off_does_not_look_complete(
    answer: Answer,
) -> None:
    with peer(answer) as served:
        hop = client().open(served.address, request(), 1.0)
        hop.send_body(b"", deadline())
        with pytest.raises(detour.BrokenError):
            read_body(hop)
        assert served.bodies == [b""]


# During an upgrade, peers of the release before pass on such an answer of a
# target as it is.
@pytest.mark.parametrize("status", [-1, 0, 99, 600, 999])
def test_an_answer_without_a_valid_status_breaks_the_hop(status: int) -> None:
    def answer(
        side: detour.HopAnswer, req: wire.HopRequest, body: bytes
    ) -> None:
        side.start(head(status))
        side.end()

    with peer(answer) as served:
        hop = client().open(served.address, request(), 1.0)
        hop.send_body(b"", deadline())
        with pytest.raises(detour.BrokenError):
            hop.read_head(deadline())
        hop.release()
        # Its connection is not used again.
        wait(lambda: served.errors)


def test_a_peer_learns_that_its_caller_has_left() -> None:
    def never(
        side: detour.HopAnswer, req: wire.HopRequest, body: bytes
    ) -> None:
        wait(lambda: served.left)

    with peer(never) as served:
        hop = client().open(served.address, request(), 1.0)
        hop.send_body(b"", deadline())
        wait(lambda: served.bodies)
        assert not served.left
        hop.close()
        wait(lambda: served.left)


# A request was counted as taken though a silent peer could not have read it.
def test_a_silent_peer_has_not_taken_a_request() -> None:
    def silent(sock: gevent.socket.socket, _: object) -> None:
        gevent.sleep(5.0)

    server = gevent.server.StreamServer(("127.0.0.1", 0), silent)
    server.start()
    try:
        with pytest.raises(detour.NotTakenError):
            client().open(f"127.0.0.1:{server.server_port}", request(), 0.05)
    finally:
        server.stop(timeout=0)


def test_an_idle_connection_that_was_closed_is_replaced() -> None:
    def close_after(
        side: detour.HopAnswer, req: wire.HopRequest, body: bytes
    ) -> None:
        echo(side, req, body)
        side.close()

    with peer(close_after) as served:
        hops = client()
        for count in (1, 2):
            hop = hops.open(served.address, request(), 1.0)
            hop.send_body(b"", deadline())
            assert read_body(hop) == b""
            hop.release()
            assert served.connections == count


def test_a_stranger_has_no_request_served() -> None:
    with peer() as served:
        stranger = client("another secret")
        with pytest.raises(detour.NotTakenError):
            stranger.open(served.address, request(), 1.0)
        assert served.errors
        assert not served.offered


class Recorder:
    """Passes a connection on and records what the caller's side sends."""

    def __init__(self, target: str) -> None:
        host, port = target.split(":")
        self._target = (host, int(port))
        self._server = gevent.server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.bytes_sent = b""

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        with gevent.socket.create_connection(self._target) as other:
            back = gevent.spawn(self._pass_back, other, sock)
            while data := sock.recv(65_536):
                self.bytes_sent += data
                other.sendall(data)
            back.kill()

    def _pass_back(
        self, source: gevent.socket.socket, sink: gevent.socket.socket
    ) -> None:
        while data := source.recv(65_536):
            sink.sendall(data)


# Whoever records a connection could have its requests run again.
def test_a_recorded_request_is_not_served_again() -> None:
    with peer() as served:
        recorder = Recorder(served.address)
        try:
            hop = client().open(recorder.address, request(b"pay"), 1.0)
            hop.send_body(b"pay", deadline())
            assert read_body(hop) == b"pay"
        finally:
            recorder.stop()
        address = served.address.split(":")
        with gevent.socket.create_connection(
            (address[0], int(address[1]))
        ) as sock:
            sock.sendall(recorder.bytes_sent)
            wait(lambda: served.errors)
        assert served.errors == ["the frame belongs to another connection"]
        assert served.bodies == [b"pay"]


def test_a_frame_is_not_valid_twice_on_its_connection() -> None:
    here, there = gevent.socket.socketpair()
    codec = wire.Codec(SECRET)
    nonces = bytes(2 * _session.NONCE_BYTES)
    calling = _session.Session(here, codec, nonces, serves=False)
    serving = _session.Session(there, codec, nonces, serves=True)
    calling.send(request=request())
    data = wire.read_frame(there)
    for _ in range(2):
        wire.send_frame(here, data)
    assert serving.receive().request is not None
    with pytest.raises(detour.BrokenError):
        serving.receive()


# What had arrived of a frame was lost when the wait for its rest ended.
def test_a_frame_may_arrive_in_parts_between_waits() -> None:
    here, there = gevent.socket.socketpair()
    codec = wire.Codec(SECRET)
    nonces = bytes(2 * _session.NONCE_BYTES)
    serving = _session.Session(there, codec, nonces, serves=True)
    pool = _hop_client._Pool(CLOCK)
    calling = _session.Session(here, codec, nonces, serves=False)
    hop = detour.Hop(calling, CLOCK, pool)
    serving.send(data=b"whole event")
    data = here.recv(65_536)
    for part in (data[:2], data[2:9], data[9:30], data[30:]):
        with pytest.raises(detour.DeadlineExceededError):
            hop.read_piece(deadline(0.01))
        there.sendall(part)
    assert hop.read_piece(deadline()) == b"whole event"


def test_idle_connections_are_closed_after_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_hop_client, "MAX_IDLE_S", 0.05)
    with peer() as served:
        hop = client().open(served.address, request(), 1.0)
        hop.send_body(b"", deadline())
        assert read_body(hop) == b""
        hop.release()
        wait(lambda: served.errors)
        assert served.errors == ["the connection ended"]


# A frame was accepted by the side that had sent it.
def test_a_frame_is_not_valid_in_the_other_direction() -> None:
    here, there = gevent.socket.socketpair()
    codec = wire.Codec(SECRET)
    nonces = bytes(2 * _session.NONCE_BYTES)
    calling = _session.Session(here, codec, nonces, serves=False)
    calling.send(data=b"x", last=True)
    there.sendall(there.recv(65_536))
    with pytest.raises(detour.BrokenError):
        calling.receive()


OPENINGS = ["", "no hexadecimal number", "00", "00" * 17]


@pytest.mark.parametrize("key", OPENINGS)
def test_a_connection_without_a_valid_nonce_is_closed(key: str) -> None:
    with peer() as served:
        host, port = served.address.split(":")
        codec = wire.Codec(SECRET)
        with gevent.socket.create_connection((host, int(port))) as sock:
            opening = wire.StateRequest(stream=detour.HOP_STREAM, key=key)
            wire.send_frame(sock, codec.encode(opening))
            reply = codec.decode(wire.StateReply, wire.read_frame(sock))
            assert isinstance(reply, result.Ok)
            assert not reply.ok_value.known
            assert not sock.recv(1)


def test_connections_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_hop_server, "MAX_CONNECTIONS", 1)
    with peer() as served:
        first = client().open(served.address, request(), 1.0)
        with pytest.raises(detour.NotTakenError):
            client().open(served.address, request(), 1.0)
        first.close()


ROOMS = {
    "empty": (0, 0, 1, True),
    "empty, a large body": (0, 0, 10**9, True),
    "as many as there may be": (_hop_server.MAX_REQUESTS, 0, 0, False),
    "bytes left": (1, 1, _hop_server.MAX_BODY_BYTES - 1, True),
    "a byte too many": (1, 2, _hop_server.MAX_BODY_BYTES - 1, False),
}


@pytest.mark.parametrize("name", ROOMS)
def test_room_for_requests_of_peers(name: str) -> None:
    requests, held, body_bytes, has_room = ROOMS[name]
    room = detour.Room()
    room.requests, room.body_bytes = requests, held
    assert room.has_for(body_bytes) is has_room
