"""Memory that the answers of targets may take together."""

import collections.abc
import random

import gevent
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _channel
from agatewing.gateway import _messages
from agatewing.gateway import _sender
from agatewing.gateway import _target_registry
from agatewing import platform
from agatewing.platform import standins
from agatewing.standins import endless


# Each answer was limited by itself, so that several at once exceeded the
# memory of an instance.
def test_answers_that_are_read_at_once_share_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_sender, "MAX_BUFFERED_BYTES", 3_000_000)
    monkeypatch.setattr(_channel, "MAX_BODY_BYTES", 2_000_000)
    clock = _clock.SystemClock()
    registry = _target_registry.TargetRegistry(
        clock, random.Random(1), decisions.Speed(), "me"
    )
    sender = _sender.Sender(
        clock, platform.connect("127.0.0.1:1").dialect, registry.limits
    )
    head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"
    with endless.EndlessServer(head, b"y" * 10_000, 0.001) as server:
        target = gateway.Target(
            "t1",
            "ledger",
            server.address,
            "z",
            _types.TargetState.ACTIVE,
            64,
        )
        registry.apply({}, {"t1": target})
        tracked = registry.by_id["t1"]
        largest = 0

        def read() -> object:
            deadline = clock.monotonic() + 5.0
            request = _messages.CallerRequest(
                "a",
                b"GET",
                b"/",
                "x",
                ((b"Host", b"x"),),
                b"",
                0.0,
                None,
                None,
            )
            options = _messages.SendOptions("t1", 5.0)
            answer = sender.send_request(
                tracked, request, options, deadline, decisions.Reuse.AGAIN
            )
            assert isinstance(answer, _sender.AnswerStarted)
            return sender.read_body(answer, tracked, deadline)

        reads = [gevent.spawn(read) for _ in range(6)]
        while not all(r.ready() for r in reads):
            largest = max(largest, sender._buffered_bytes)
            gevent.sleep(0.001)
    assert all(isinstance(r.value, _messages.Unknown) for r in reads)
    assert largest <= 3_000_000 + _channel.READ_BYTES
    assert sender._buffered_bytes == 0


HALVES = standins.Behaviour.HALVES
UNFRAMED_HALVES = standins.Behaviour.UNFRAMED_HALVES
ROOM_BYTES, MOST_BYTES = 3_000_000, 2_000_000


@pytest.fixture
def site(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[standins.Site]:
    monkeypatch.setattr(_sender, "MAX_BUFFERED_BYTES", ROOM_BYTES)
    monkeypatch.setattr(_channel, "MAX_BODY_BYTES", MOST_BYTES)
    with standins.Site() as made:
        made.route("/pay/", "unsafe", "ledger", timeout_ms=9_000)
        made.route("/short/", "unsafe", "ledger", timeout_ms=900)
        made.add_target("t1", "ledger", None, slots=64)
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: made.lifecycle.ready)
    return made


# Answers were thrown away while others took all the memory, though requests
# that must not run twice had run.
@pytest.mark.parametrize("framed", [True, False])
@pytest.mark.parametrize("size", [300_000, 1_900_000])
def test_an_answer_waits_until_others_leave_room(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    framed: bool,
    size: int,
) -> None:
    target = site.targets["t1"]
    target.body_bytes = size
    target.half_pause_s = 0.5
    target.script.extend([HALVES if framed else UNFRAMED_HALVES] * 24)
    asking = [
        gevent.spawn(site.ask, instance, "/pay/x", f"a{n}") for n in range(24)
    ]
    replies = [greenlet.get() for greenlet in asking]
    assert {reply.status for reply in replies} == {200}
    assert all(len(reply.body) == size for reply in replies)
    # Names each run, so that a second one of a request differs from one that
    # no caller of this test sent.
    assert sorted((run.id, run.line) for run in target.runs) == sorted(
        (f"a{n}", "POST /pay/x HTTP/1.1") for n in range(24)
    )
    sender = instance.handler_context.sender
    assert sender.request_count == len(replies)
    assert sender._buffered_bytes == 0


class WholeAnswer:
    """Connection that brings one answer."""

    def __init__(self, body: bytes) -> None:
        self._pieces = [body, b""]
        self.silent_s = 0.0

    def read_piece(self, deadline: float) -> bytes:
        return self._pieces.pop(0)

    def close(self) -> None:
        pass


# Callers that read large answers slowly held all the room, and requests with
# an answer of some bytes ended at their deadline.
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize(
    ("size", "waits"),
    [
        (14, False),
        (_sender.SMALL_ANSWER_BYTES, False),
        (_sender.SMALL_ANSWER_BYTES + 1, True),
    ],
)
def test_a_small_answer_needs_no_room(
    instance: gateway.GatewayInstance, size: int, waits: bool, framing: str
) -> None:
    sender = instance.handler_context.sender
    body = b"x" * size
    headers: _messages.Headers = ()
    if framing == "length":
        headers = ((b"Content-Length", b"%d" % size),)
    head = _messages.AnswerHead(200, headers, _messages.Framing(framing))
    deadline = instance.clock.monotonic() + 0.2
    with sender.delivering(2 * ROOM_BYTES):
        outcome = sender.read_whole(head, WholeAnswer(body), deadline)
    if waits:
        assert isinstance(outcome, _messages.TimedOut)
    else:
        assert outcome == _messages.Answered(head, body)
    assert sender._buffered_bytes == 0


# An error answer that was kept while another target was awaited was in no
# room.
def test_answers_that_are_kept_leave_room_for_others(
    instance: gateway.GatewayInstance,
) -> None:
    sender = instance.handler_context.sender
    first = sender.keep(ROOM_BYTES // 4)
    assert first is not None
    assert sender._buffered_bytes == ROOM_BYTES // 4
    assert sender.keep(_sender.SMALL_ANSWER_BYTES + 1) is None
    small = sender.keep(_sender.SMALL_ANSWER_BYTES)
    assert small is not None
    sender.drop(first)
    with sender.delivering(ROOM_BYTES):
        assert sender.keep(_sender.SMALL_ANSWER_BYTES + 1) is None
    again = sender.keep(_sender.SMALL_ANSWER_BYTES + 1)
    assert again is not None
    for share in (small, again):
        sender.drop(share)
    assert sender._buffered_bytes == 0


# 503 would have said that it had not run.
def test_an_answer_without_room_until_its_deadline_times_out(
    site: standins.Site, instance: gateway.GatewayInstance
) -> None:
    target = site.targets["t1"]
    target.body_bytes = MOST_BYTES
    target.script.extend([HALVES] * 2)
    sender = instance.handler_context.sender
    halves = [
        gevent.spawn(site.ask, instance, "/pay/x", f"half{n}")
        for n in range(2)
    ]
    site.wait(lambda: sender._buffered_bytes == MOST_BYTES)
    target.body_bytes = 1_500_000
    waiting = gevent.spawn(site.ask, instance, "/short/x", "a1")
    site.wait(lambda: len(target.runs) == 3)
    target.body_bytes = 0
    small = site.ask(instance, "/pay/x", "a2")
    assert (small.status, small.body) == (200, b"body of a2")
    assert not waiting.ready()
    reply = waiting.get()
    assert (reply.status, reply.complete) == (504, True)
    assert reply.body.startswith(b"deadline")
    target.drop_connections()
    assert {half.get().status for half in halves} == {502}
    site.wait(lambda: site.ask(instance, "/pay/x", "a3").status == 200)
    assert sender._buffered_bytes == 0
