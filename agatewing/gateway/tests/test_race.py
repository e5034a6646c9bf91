"""Paths of one request that are followed until one of them delivers."""

import dataclasses

import gevent
import gevent.event
import pytest

from agatewing import _clock
from agatewing.gateway import _race
from agatewing.gateway import _refusals


class ScriptedPath:
    """A path that is silent until the test lets it deliver or fail."""

    def __init__(self, name: str, silent: bool = True) -> None:
        self.name = name
        self.silent_at = 0.0 if silent else _race.NEVER
        self.lost = False
        self.closed = False
        self.result: gevent.event.AsyncResult = gevent.event.AsyncResult()

    def deliver(self) -> None:
        self.result.set(f"answer of {self.name}")

    def fail(self) -> None:
        refusal = _refusals.overloaded(f"{self.name} failed")
        self.result.set_exception(_refusals.GatewayRefusedError(refusal))

    def next(self) -> str:
        return str(self.result.get())

    def record_loss(self) -> None:
        self.lost = True

    def close(self) -> None:
        self.closed = True


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    #: Path and what becomes of it, in order.
    events: tuple[tuple[str, str], ...]
    #: Answer, or failure, of the race.
    result: str
    #: Paths that are closed at the end.
    closed: frozenset[str]
    #: Paths whose loss is recorded.
    lost: frozenset[str] = frozenset()
    #: Whether a failure ends the request.
    final: bool = False


CASES = {
    "the first goes on": Case(
        (("a", "deliver"),), "answer of a", frozenset("b"), frozenset("b")
    ),
    "the other is faster": Case(
        (("b", "deliver"),), "answer of b", frozenset("a"), frozenset("a")
    ),
    "the other fails, the first goes on": Case(
        (("b", "fail"), ("a", "deliver")), "answer of a", frozenset("b")
    ),
    "the first fails, the other delivers": Case(
        (("a", "fail"), ("b", "deliver")), "answer of b", frozenset("a")
    ),
    "both fail": Case(
        (("b", "fail"), ("a", "fail")),
        "overloaded: a failed",
        frozenset("ab"),
    ),
    "a failure is final": Case(
        (("b", "fail"),),
        "overloaded: b failed",
        frozenset("ab"),
        final=True,
    ),
}


# The first path was closed before the second one had delivered.
@pytest.mark.parametrize("name", CASES)
def test_the_first_path_that_delivers_is_kept(name: str) -> None:
    case = CASES[name]
    race: _race.Race[ScriptedPath] = _race.Race(
        _clock.SystemClock(), lambda: case.final
    )
    paths = {"a": ScriptedPath("a"), "b": ScriptedPath("b", silent=False)}
    hedges = [paths["b"]]

    def follow() -> str:
        race.add(paths["a"])
        try:
            return str(race.wait(lambda: hedges.pop() if hedges else None)[1])
        except _refusals.GatewayRefusedError as exc:
            return str(exc)

    following = gevent.spawn(follow)
    gevent.sleep(0.01)
    for path, event in case.events:
        assert not paths[path].closed
        getattr(paths[path], event)()
        gevent.sleep(0.01)
    assert following.get(timeout=5) == case.result
    assert {n for n, path in paths.items() if path.closed} == case.closed
    assert {n for n, path in paths.items() if path.lost} == case.lost


def test_a_path_is_not_hedged_before_it_is_silent() -> None:
    race: _race.Race[ScriptedPath] = _race.Race(
        _clock.SystemClock(), lambda: False
    )
    path = ScriptedPath("a", silent=False)
    asked = []
    race.add(path)
    following = gevent.spawn(race.wait, lambda: asked.append(1))
    gevent.sleep(0.05)
    assert not asked
    path.silent_at = 0.0
    race.expect(0.0)
    gevent.sleep(0.01)
    assert asked
    path.deliver()
    assert following.get(timeout=5) == (path, "answer of a")


# A caller that left kept its paths open.
def test_closing_ends_all_paths() -> None:
    race: _race.Race[ScriptedPath] = _race.Race(
        _clock.SystemClock(), lambda: False
    )
    paths = [ScriptedPath("a"), ScriptedPath("b")]
    for path in paths:
        race.add(path)
    race.close()
    gevent.sleep(0.01)
    assert all(path.closed for path in paths)
    assert not race.running()


# Paths were looked at by the time of the machine, so that a test whose clock
# stood still spun, or met another order of events on a busy machine.
def test_a_race_waits_by_the_clock_of_the_process() -> None:
    clock = _clock.ManualClock()
    race: _race.Race[ScriptedPath] = _race.Race(clock, lambda: False)
    path = ScriptedPath("a")
    asked = []
    race.add(path)
    following = gevent.spawn(race.wait, lambda: asked.append(1))
    gevent.sleep(2 * _race.LOOK_PERIOD_S)
    assert len(asked) == 1
    for times in (2, 3):
        clock.advance(_race.HEDGE_PERIOD_S)
        assert len(asked) == times
    path.deliver()
    gevent.sleep(0.01)
    assert following.get(timeout=5) == (path, "answer of a")
