"""Targets that answer a long upload at once, and break the answer off."""

import collections.abc
import contextlib

import pytest

from agatewing import gateway
from agatewing.platform import standins
from agatewing.standins import hasty

UPLOAD = b"u" * 4_000_000
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: 1.2.3\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
EVENT = b"id: 1\ndata: token 1\n\n"
#: Parts of an answer without a length, by size.
PARTS = {"short": EVENT, "300 kB": EVENT + b": " + b"x" * 300_000 + b"\n\n"}
PROMPT = {"X-Token-Count": "120,20", "X-Prefix-Hash": "aa:80,bb:40"}
ROUTES = {"/pay/": "unsafe", "/find/": "safe", "/chat/": "streaming"}
#: Targets of each service, so that none is in use when a request comes.
TARGETS = 6
ENDS = [(hasty.End.RESET, 0.0), (hasty.End.RESET, 0.02)]
ENDS += [(hasty.End.RESET, 0.3), (hasty.End.CLOSE_UNREAD, 0.005)]


@contextlib.contextmanager
def serving(
    path: str, part: bytes, end: hasty.End, pause_s: float
) -> collections.abc.Iterator[
    tuple[standins.Site, gateway.GatewayInstance, list[hasty.HastyServer]]
]:
    """Start an instance and hasty targets of the route of ``path``."""
    streams = ROUTES[path] == "streaming"
    role = "decode" if streams else None
    with contextlib.ExitStack() as stack:
        site = stack.enter_context(standins.Site())
        site.route(path, ROUTES[path], sticky=streams, resumable=streams)
        site.publish(max_body_bytes=2 * len(UPLOAD))
        servers = []
        for number in range(TARGETS):
            server = hasty.HastyServer(HEAD + part, end, pause_s)
            servers.append(stack.enter_context(server))
            site.announce(f"t{number}", role=role, address=server.address)
        instance = site.start()
        site.wait(lambda: instance.lifecycle.ready)
        site.wait(lambda: len(instance.catalog.targets) == TARGETS)
        yield site, instance, servers


# The part that had arrived before the reset reached the caller as a whole
# answer.
@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("size", PARTS)
@pytest.mark.parametrize(
    ("end", "pause_s"), ENDS, ids=lambda value: str(value)
)
def test_a_part_before_a_reset_never_passes_for_whole(
    path: str, size: str, end: hasty.End, pause_s: float
) -> None:
    with serving(path, PARTS[size], end, pause_s) as (site, made, servers):
        headers = PROMPT if path == "/chat/" else {}
        for number in range(TARGETS):
            reply = site.ask(
                made, f"{path}x", f"r{number}", headers, body=UPLOAD
            )
            success = reply.status < 300 and reply.complete
            assert not success, (number, reply.status, len(reply.body))
        assert sum(server.requests for server in servers) >= TARGETS // 2


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize(
    "end", [hasty.End.ORDERLY, hasty.End.ORDERLY_THEN_RESET]
)
def test_an_early_answer_that_ends_in_order_is_passed_on(
    path: str, end: hasty.End
) -> None:
    with serving(path, EVENT, end, 0.0) as (site, made, _):
        headers = PROMPT if path == "/chat/" else {}
        reply = site.ask(made, f"{path}x", "r", headers, body=UPLOAD)
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body == EVENT
