"""Defects of handlers while a request is under way."""

import errno

import gevent.socket
import pytest

from agatewing.entry.tests import test_silent_targets
from agatewing.platform import standins

ERRORS = (
    ConnectionResetError(errno.ECONNRESET, "reset"),
    BrokenPipeError(errno.EPIPE, "broken pipe"),
    KeyError("pool"),
)


# The server closed the connection without an answer on errors of sockets.
@pytest.mark.parametrize("error", ERRORS, ids=lambda e: type(e).__name__)
def test_a_defect_is_answered(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    deployment = test_silent_targets.Deployment(1, instances_=1)
    [instance] = deployment.instances

    def fail(*args: object) -> None:
        raise error

    monkeypatch.setattr(type(instance.app._services), "handle", fail)
    try:
        address = ("127.0.0.1", instance.settings.caller_port)
        with gevent.socket.create_connection(address) as sock:
            sock.sendall(
                b"GET /services/reports/a HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer %s\r\n\r\n"
                % test_silent_targets.TOKEN.encode()
            )
            reply = standins.read_reply(sock)
        assert (reply.status, reply.complete) == (500, True)
        assert b'"outcome":"unknown"' in reply.body
    finally:
        deployment.close()
