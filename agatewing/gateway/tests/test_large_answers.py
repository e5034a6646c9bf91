"""Memory that the answers of targets may take together."""

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
                tracked, request, options, deadline, 1.0
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
