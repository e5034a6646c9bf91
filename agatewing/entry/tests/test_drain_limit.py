"""Requests that outlast the drain of their instance."""

import json
import time

import gevent
import gevent.socket
import msgspec
import pytest

from agatewing import calls
from agatewing.entry.tests import test_silent_targets
from agatewing.platform import standins

FIELDS = f"Host: x\r\nAuthorization: Bearer {test_silent_targets.TOKEN}\r\n"
BODY = json.dumps({"model": "m", "prompt": "x", "max_tokens": 900})


def _requests() -> dict[str, str]:
    key = calls.new_key(time.time(), 1)
    length = f"Content-Length: {len(BODY)}\r\n\r\n{BODY}"
    return {
        "safe": f"GET /services/reports/a HTTP/1.1\r\n{FIELDS}\r\n",
        "unsafe": (
            f"POST /services/orders/a HTTP/1.1\r\n{FIELDS}"
            f"Idempotency-Key: {key}\r\n{length}"
        ),
        "json": f"POST /v1/completions HTTP/1.1\r\n{FIELDS}{length}",
    }


# The answer was the plain 500 of the WSGI server, without the outcome.
@pytest.mark.parametrize("kind", _requests())
def test_a_request_that_outlasts_the_drain_is_told_its_outcome(
    kind: str,
) -> None:
    deployment = test_silent_targets.Deployment(1, instances_=1, call_s=20.0)
    [instance] = deployment.instances
    instance.settings = msgspec.structs.replace(
        instance.settings, drain_limit_s=0.2
    )
    try:
        address = ("127.0.0.1", instance.settings.caller_port)
        with gevent.socket.create_connection(address) as sock:
            sock.sendall(_requests()[kind].encode())
            gevent.sleep(0.3)
            assert not instance.stop()
            reply = standins.read_reply(sock)
        assert (reply.status, reply.complete) == (500, True)
        assert json.loads(reply.body)["outcome"] == "unknown"
    finally:
        deployment.instances.clear()
        deployment.close()
