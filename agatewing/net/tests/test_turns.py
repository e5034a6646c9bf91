"""No connection keeps the process from others, however much it carries."""

import collections

import gevent
import pytest

from agatewing import net
from agatewing.net import _turns
from agatewing.standins import endless

#: Most parts of the input between two polls of the event loop: at up to
#: 0.1 ms a part, 50 polls of one request fit into half a second.
MOST_PARTS = 100
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 1_000


class PollCount:
    """Counts parts between two polls of the event loop."""

    def __init__(self) -> None:
        self.parts: collections.Counter[int] = collections.Counter()

    def record(self, parts: int = 1) -> None:
        self.parts[gevent.get_hub().loop.iteration] += parts


def spend_on_and_on(
    count: PollCount, turns: collections.Counter[str], name: str
) -> None:
    turn = net.Turn()
    for _ in range(1_000_000):
        count.record()
        turns[name] += turn.spend()


# A connection with input that never ran dry was served alone, and so were
# several of them, one after the other.
@pytest.mark.parametrize("connections", [1, 2, 40])
def test_connections_take_turns(connections: int) -> None:
    count = PollCount()
    turns: collections.Counter[str] = collections.Counter()
    spinning = [
        gevent.spawn(spend_on_and_on, count, turns, str(number))
        for number in range(connections)
    ]
    polls = 0
    for _ in range(4 * connections):
        _turns._await_poll()
        polls += 1
    gevent.killall(spinning)
    assert polls == 4 * connections
    # All of them begin in the first poll.
    per_poll = sorted(count.parts.values())
    assert per_poll[-1] <= connections * _turns.MAX_STEPS
    assert per_poll[-2] <= MOST_PARTS
    assert max(turns.values()) - min(turns.values()) <= 1


# Timers and input were served only every fiftieth turn.
def test_input_and_timers_are_served_between_two_turns() -> None:
    count = PollCount()
    spinning = gevent.spawn(
        spend_on_and_on, count, collections.Counter(), "busy"
    )
    with gevent.Timeout(0.0, False):
        gevent.sleep(60.0)
    spinning.kill()
    assert sum(count.parts.values()) <= 3 * _turns.MAX_STEPS


def test_a_connection_that_waits_begins_another_turn() -> None:
    turn = net.Turn()
    for _ in range(3):
        assert not turn.spend(_turns.MAX_STEPS - 1)
        _turns._await_poll()
    assert not turn.spend(_turns.MAX_STEPS - 1)
    assert turn.spend()


def test_bytes_count_as_steps() -> None:
    size = _turns.MAX_STEPS * _turns.BYTES_PER_STEP
    assert not net.Turn().spend(0, size - 1)
    assert net.Turn().spend(0, size)


# A greenlet that was killed while it waited held up those behind it.
def test_a_greenlet_that_is_killed_while_it_waits_holds_up_nothing() -> None:
    def wait_once() -> None:
        net.Turn().spend(_turns.MAX_STEPS)

    first, second = gevent.spawn(wait_once), gevent.spawn(wait_once)
    gevent.sleep(0)
    first.kill()
    with gevent.Timeout(1.0, AssertionError("still waits")):
        second.join()


# Small chunks of an answer from the log or a target of the product's own
# interface were worked off for as long as more of them were there.
def test_a_call_reads_its_answer_in_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    count = PollCount()
    read = net.StreamAnswer.read_available

    def read_counted(answer: net.StreamAnswer) -> bytes:
        count.record()
        return read(answer)

    monkeypatch.setattr(net.StreamAnswer, "read_available", read_counted)
    with endless.EndlessServer(HEAD, SMALL_CHUNKS) as server:
        client = net.HttpClient(server.address, body_timeout_s=0.5)
        with pytest.raises(Exception, match="no whole body"):
            client.call("GET", "/")
    # A read holds up to ten thousand small chunks, of 0.4 us each.
    assert max(count.parts.values()) <= 3


# So were those of a request to the product's own interface.
def test_a_server_reads_a_body_in_turns() -> None:
    polls = []

    def application(
        environ: net.Environ, start_response: net.StartResponse
    ) -> list[bytes]:
        loop = gevent.get_hub().loop
        before = loop.iteration
        environ["wsgi.input"].read()
        polls.append(loop.iteration - before)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    chunks = 4_000
    server = net.Server("127.0.0.1", 0, application)
    server.start()
    try:
        with gevent.socket.create_connection(
            ("127.0.0.1", server.port)
        ) as sock:
            sock.sendall(
                b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                + b"1\r\nx\r\n" * chunks
                + b"0\r\n\r\n"
            )
            with gevent.Timeout(10.0):
                assert b" 200 " in sock.recv(1_000)
    finally:
        server.stop()
    assert polls[0] >= chunks / MOST_PARTS
