"""Streams whose engine breaks off without an error of the connection."""

import collections.abc
import dataclasses

import gevent
import pytest

from agatewing import gateway
from agatewing.platform import standins

Behaviour = standins.Behaviour
PROMPT_HEADERS = {"X-Token-Count": "1200,20", "X-Prefix-Hash": "aa:800,bb:400"}
#: Events of a whole stream of the stand-ins.
EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in (1, 2, 3)]


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/draft/", "streaming", sticky=True)
        made.route("/chat/", "streaming", sticky=True, resumable=True)
        made.add_target("e1")
        made.add_target("e2")
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: len(made.catalog.targets) == 2)
    site.wait(lambda: made.lifecycle.ready)
    return made


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    path: str
    behaviour: Behaviour
    status: int
    complete: bool
    #: Events of the stream at the engines, and those that the caller gets.
    events: int = 3
    received: int = 3


CASES = {
    "close-in-an-event": Case(
        "/draft/x", Behaviour.UNFRAMED_CUT, 200, False, received=2
    ),
    "last-chunk-in-an-event": Case(
        "/draft/x", Behaviour.CHUNKED_CUT, 200, False, received=2
    ),
    "close-in-the-first-event": Case(
        "/draft/x", Behaviour.UNFRAMED_CUT, 502, True, events=1, received=0
    ),
    "close-in-an-event-resumed": Case(
        "/chat/x", Behaviour.UNFRAMED_CUT, 200, True
    ),
    "last-chunk-in-an-event-resumed": Case(
        "/chat/x", Behaviour.CHUNKED_CUT, 200, True
    ),
    "close-after-the-last-event": Case(
        "/draft/x", Behaviour.UNFRAMED, 200, True
    ),
}


# An engine that ended a stream inside an event, by closing an unframed
# answer, made the caller's answer look complete.
@pytest.mark.parametrize("name", CASES)
def test_a_stream_that_ends_inside_an_event_is_broken_off(
    site: standins.Site, instance: gateway.GatewayInstance, name: str
) -> None:
    case = CASES[name]
    for engine in site.targets.values():
        engine.events = case.events
    site.targets["e1"].script.append(case.behaviour)
    # 1,000 queued tokens make e2 the second choice.
    instance.registry.by_id["e2"].record_sent(1_000)
    reply = site.ask(instance, case.path, "s1", PROMPT_HEADERS)
    assert reply.status == case.status
    assert reply.complete is case.complete
    if case.status == 200:
        assert reply.body == b"".join(EVENTS[: case.received])


# A stream that broke off ended in order for callers of HTTP/1.0, whose
# answers end with the connection.
@pytest.mark.parametrize(
    ("behaviour", "whole"),
    [
        (Behaviour.CUT, False),
        (Behaviour.UNFRAMED_CUT, False),
        (Behaviour.ANSWER, True),
    ],
)
def test_a_broken_stream_is_reset_for_a_caller_of_http_1_0(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    behaviour: Behaviour,
    whole: bool,
) -> None:
    for engine in site.targets.values():
        engine.script.append(behaviour)
    fields = {"Host": standins.HOST, "X-Request-Id": "s1", **PROMPT_HEADERS}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    with site.connect(instance) as sock:
        sock.sendall(f"POST /draft/x HTTP/1.0\r\n{lines}\r\n".encode())
        reply = standins.read_reply(sock)
    assert reply.status == 200
    assert reply.complete is whole
    assert not whole or reply.body == b"".join(EVENTS)


# A stream that broke off after a comment, or after an event without an id,
# was resumed without a position, so that its events came twice.
@pytest.mark.parametrize(
    ("behaviour", "events", "body", "complete"),
    [
        (
            Behaviour.COMMENT_CUT,
            3,
            [*EVENTS[:2], b": ping\n\n", EVENTS[2]],
            True,
        ),
        # No event was forwarded, so another engine begins the stream.
        (Behaviour.COMMENT_CUT, 1, [b": ping\n\n", EVENTS[0]], True),
        (Behaviour.NO_ID_CUT, 3, [*EVENTS[:2], b"data: no id\n\n"], False),
    ],
)
def test_a_stream_is_resumed_only_after_an_event_with_an_id(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    behaviour: Behaviour,
    events: int,
    body: list[bytes],
    complete: bool,
) -> None:
    for engine in site.targets.values():
        engine.events = events
    site.targets["e1"].script.append(behaviour)
    # 1,000 queued tokens make e2 the second choice.
    instance.registry.by_id["e2"].record_sent(1_000)
    reply = site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
    assert reply.status == 200
    assert reply.complete is complete
    assert reply.body == b"".join(body)


# Other operators saw the text of an error in the middle of streams, or streams
# that ended in order after it: the next engine had answered with an error.
@pytest.mark.parametrize(
    "second",
    [
        Behaviour.ERROR,
        Behaviour.NOT_RUN,
        Behaviour.MOVED,
        Behaviour.UNSIGNED,
        Behaviour.GARBAGE,
        Behaviour.RESET,
    ],
)
@pytest.mark.parametrize(
    "first", [Behaviour.CUT, Behaviour.UNFRAMED_CUT, Behaviour.CHUNKED_CUT]
)
def test_an_error_of_the_next_engine_is_no_part_of_the_stream(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    first: Behaviour,
    second: Behaviour,
) -> None:
    site.targets["e1"].script.append(first)
    site.targets["e2"].script.extend([second] * 3)
    # 1,000 queued tokens make e2 the second choice.
    instance.registry.by_id["e2"].record_sent(1_000)
    reply = site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
    whole = b"".join(EVENTS)
    assert reply.status == 200
    assert whole.startswith(reply.body)
    assert not reply.complete or reply.body == whole
    # A send without an answer is followed by a look at its target, which
    # must not end before.
    gevent.sleep(0.2)
