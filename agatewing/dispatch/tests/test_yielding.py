"""Requests that may wait, queued with others before engines without room.

The pattern: a pool is full of labels as a burst of questions arrives.
"""

import dataclasses

import gevent
import pytest

from agatewing import _clock
from agatewing import _exceptions
from agatewing import decisions
from agatewing import dispatch
from agatewing import fleet


@dataclasses.dataclass(slots=True)
class Engine:
    load: decisions.EngineLoad

    def record_route(self) -> None:
        pass


class Room:
    """Routes requests of a size while it has room for them."""

    def __init__(self) -> None:
        self.room = 0
        #: Largest prompt for which there is room, in tokens.
        self.most_tokens = 10_000

    def choose(
        self,
        profile: decisions.RequestProfile,
        loads: object,
        avoid: object = frozenset(),
    ) -> decisions.Route | None:
        if self.room <= 0 or profile.prompt_tokens > self.most_tokens:
            return None
        self.room -= 1
        return decisions.Single("e1", 0.1)


class Pool:
    name = "chat"

    def __init__(self) -> None:
        self.meter = fleet.DemandMeter()
        self.router = Room()
        self.engines = {"e1": Engine(decisions.EngineLoad("e1", "z1"))}

    def loads(self) -> list[decisions.EngineLoad]:
        return [engine.load for engine in self.engines.values()]

    def routable(self) -> list[Engine]:
        return list(self.engines.values())


@dataclasses.dataclass(slots=True)
class Source:
    pools: dict[str, Pool]


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    name: str
    weight: float = 1.0


class Play:
    """One dispatcher, and the order in which it sent requests."""

    def __init__(self) -> None:
        self.clock = _clock.SystemClock()
        self.pool = Pool()
        self.dispatcher = dispatch.Dispatcher(
            self.clock,
            Source({"chat": self.pool}),  # type: ignore[arg-type]
            64,
        )
        self.sent: list[str] = []
        self.refused: list[str] = []

    def ask(
        self, name: str, tokens: int, yields_s: float, limit_s: float = 9.0
    ) -> None:
        now = self.clock.monotonic()
        until = now + yields_s if yields_s else 0.0
        profile = decisions.RequestProfile(tokens, 1, "z1", yields_until=until)

        def wait() -> None:
            try:
                self.dispatcher.wait_for_route(
                    self.pool,  # type: ignore[arg-type]
                    Caller(name),
                    profile,
                    now + limit_s,
                )
            except _exceptions.RefusedError:
                self.refused.append(name)
            else:
                self.sent.append(name)

        gevent.spawn(wait)
        gevent.sleep(0)

    def make_room(self, room: int) -> None:
        self.pool.router.room = room
        self.dispatcher.dispatch_queued("chat")
        gevent.sleep(0)


def test_a_question_goes_before_labels_that_came_first() -> None:
    play = Play()
    for _ in range(3):
        play.ask("label", 2_000, 1.1)
    play.ask("question", 800, 0.0)
    play.make_room(2)
    assert play.sent == ["question", "label"]


def test_a_label_takes_no_room_that_a_question_waits_for() -> None:
    play = Play()
    play.pool.router.most_tokens = 3_000
    play.ask("briefing", 6_000, 0.0)
    play.ask("label", 2_000, 1.1)
    play.make_room(1)
    assert play.sent == []
    play.pool.router.most_tokens = 10_000
    play.make_room(2)
    assert play.sent == ["briefing", "label"]


def test_a_label_does_not_wait_beyond_its_time() -> None:
    play = Play()
    play.pool.router.most_tokens = 3_000
    play.ask("label", 2_000, 0.05)
    play.ask("briefing", 6_000, 0.0)
    play.make_room(1)
    assert play.sent == []
    gevent.sleep(0.1)
    play.make_room(1)
    assert play.sent == ["label"]


@pytest.mark.parametrize("yields_s", [0.0, 1.1])
def test_alike_requests_go_in_the_order_of_the_fair_queue(
    yields_s: float,
) -> None:
    play = Play()
    for name in ("a", "a", "a", "b"):
        play.ask(name, 800, yields_s)
    play.make_room(4)
    assert play.sent == ["a", "b", "a", "a"]


def test_all_is_ahead_of_a_label_and_no_label_of_a_question() -> None:
    play = Play()
    for _ in range(40):
        play.ask("label", 9_000, 1.1, limit_s=60.0)
    play.ask("question", 800, 0.0, limit_s=1.0)
    assert play.refused == []
    # A label that has little time is refused at once, as all is ahead of it.
    play.ask("late label", 2_000, 1.1, limit_s=2.0)
    assert play.refused == ["late label"]
