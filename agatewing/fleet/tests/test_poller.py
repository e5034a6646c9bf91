"""Polling of engines."""

import random
import typing

import gevent
import pytest

from agatewing import _clock
from agatewing import config
from agatewing import fleet
from agatewing.fleet import _poller
from agatewing import net


class CountingClient:
    """Client of an engine that answers every poll with an error."""

    def __init__(self) -> None:
        self.calls = 0

    def call(self, method: str, path: str) -> net.HttpAnswer:
        self.calls += 1
        return net.HttpAnswer(500, "", b"")


# An instance that had ended went on polling its engines' addresses, which
# other servers have taken since.
def test_polls_end_with_the_poller(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_poller, "POLL_PERIOD_S", 0.01)
    client = CountingClient()
    clock = _clock.SystemClock()
    made = fleet.Fleet(
        clock,
        random.Random(1),
        typing.cast(typing.Any, lambda address, **options: client),
    )
    engines = {
        f"e{n}": config.Engine(f"10.0.0.{n}:80", "z", "chat") for n in range(3)
    }
    made.apply(
        config.Document(
            "d",
            {"r": config.Region(("z",))},
            {"chat": config.ModelService(("m",), 30.0)},
            engines,
            {},
            config.Rules({}),
        )  # fmt: skip
    )
    poller = fleet.Poller(
        made, clock, random.Random(1), typing.cast(typing.Any, None)
    )
    running = gevent.spawn(poller.run)
    while client.calls < 2 * len(engines):
        gevent.sleep(0.01)
    running.kill()
    before = client.calls
    gevent.sleep(0.1)
    assert client.calls == before
