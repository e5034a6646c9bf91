"""Prompts with a part on which engines of the product's interface crash."""

import random
import types
import typing

import pytest

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _invariants
from agatewing import _types
from agatewing import config
from agatewing import decisions
from agatewing import enginemodel
from agatewing import entry
from agatewing import fleet
from agatewing import net
from agatewing import timeline

BLOCK_CHARS = enginemodel.BLOCK_TOKENS * 4
BAD = "bad " * (BLOCK_CHARS // 4)
SYSTEM = "sys " * (BLOCK_CHARS // 4)
EVENTS = b"id: 1\ndata: [DONE]\n\n"
ENGINES = 8


class Answer:
    """Answer of an engine that crashes, or finishes the stream."""

    status = 200

    def __init__(self, crashes: bool) -> None:
        self._crashes = crashes

    def read_available(self) -> bytes:
        if self._crashes:
            raise _exceptions.TargetSilentError("engine", "broken off")
        return EVENTS

    def close(self) -> None:
        pass


class Client:
    """Client of an engine that crashes on prompts with ``BAD``."""

    def __init__(self, address: str, *, silence_timeout_s: float) -> None:
        self.crashed = False
        self.generated = 0

    def open(
        self, method: str, path: str, body: bytes = b"", *args: typing.Any
    ) -> Answer:
        if self.crashed:
            raise _exceptions.ConnectRefusedError("engine", "is gone")
        self.generated += method == "POST"
        self.crashed = BAD.encode() in body
        return Answer(self.crashed)

    def call(self, method: str, path: str) -> None:
        if self.crashed:
            raise _exceptions.ConnectRefusedError("engine", "is gone")


class Interface:
    """Relays of one instance over a fleet of engines."""

    def __init__(self) -> None:
        self.clock = _clock.SystemClock()
        self.fleet = fleet.Fleet(
            self.clock, random.Random(1), typing.cast(typing.Any, Client)
        )
        self.guard = entry.CrashGuard(self.clock, decisions.CrashSuspects())
        engines = {
            f"e{number}": config.Engine(f"10.0.0.{number}:80", "z", "chat")
            for number in range(ENGINES)
        }
        service = config.ModelService(("m",))
        rules = config.Rules({})
        self.fleet.apply(
            config.Document("d", {}, {"chat": service}, engines, {}, rules)
        )
        self.pool = self.fleet.pools["chat"]
        events = timeline.EventRecorder(
            timeline.HybridClock(self.clock), "process"
        )
        self._deps = entry.RelayDependencies(
            self.fleet,
            self.clock,
            events,
            decisions.RetryBudget(random.Random(1)),
            _invariants.Invariants(events),
            typing.cast(
                typing.Any, types.SimpleNamespace(may_send=lambda: True)
            ),
            self.guard,
            net.BufferRoom(1_000_000),
        )
        self.restart_all()

    def restart_all(self) -> None:
        """Let all engines be back and report their load."""
        for engine in self.pool.engines.values():
            client = typing.cast(Client, engine.client)
            client.crashed = False
            report = fleet.LoadReport(_types.Role.MIXED)
            engine.handle_load_report(report, self.clock.monotonic())

    def relay(self, number: int, prompt: str) -> entry.Relay:
        """Return a relay for a prompt."""
        call = entry.GenerateCall(
            f"s{number}", "m", prompt, 9, "completions", 0, 5, 7
        )
        profile = decisions.RequestProfile(9, 9, "z")
        deadline = self.clock.monotonic() + 10.0
        return entry.Relay(self._deps, self.pool, call, profile, deadline)

    def ask(self, number: int, prompt: str) -> bool:
        """Return whether a prompt is answered in full."""
        relay = self.relay(number, prompt)
        try:
            self.guard.check(prompt)
            relay.start(decisions.Single(f"e{number % ENGINES}", 0.0))
            list(relay.blocks())
        except _exceptions.RefusedError:
            return False
        self.guard.record_served(prompt)
        return True

    def generated(self) -> int:
        """Return how many requests reached engines."""
        return sum(
            typing.cast(Client, engine.client).generated
            for engine in self.pool.engines.values()
        )


def prompt(block: str, number: int) -> str:
    return f"{SYSTEM}{block}own {number:04}" + "x" * BLOCK_CHARS


# A prompt on which engines crash was sent to six engines, and the next one
# with the same part to six more.
def test_prompts_on_which_engines_crash_are_kept_from_them() -> None:
    interface = Interface()
    assert interface.ask(0, prompt("ok", 0))
    before = interface.generated()
    for number in range(6):
        assert not interface.ask(number, prompt(BAD, number))
        interface.restart_all()
    assert interface.generated() - before == 3


# Sound prompts that begin like those that crash engines must be served.
@pytest.mark.parametrize("block", ["ok", "other"])
def test_sound_prompts_with_the_same_begin_are_served(block: str) -> None:
    interface = Interface()
    assert interface.ask(0, prompt("ok", 0))
    for number in range(6):
        interface.ask(number, prompt(BAD, number))
        interface.restart_all()
    assert interface.ask(7, prompt(block, 7))
