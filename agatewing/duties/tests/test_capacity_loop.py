"""Orders for engines: who sends them, when, and what becomes of them."""

import collections.abc
import typing

import gevent
import pytest

from agatewing import _clock
from agatewing import decisions
from agatewing import duties
from agatewing.duties.tests import _fakes
from agatewing.duties.tests import test_fuzz_claims

OUTCOME = duties.OrderOutcome
#: Time between two looks, in seconds.
STEP_S = 0.1
SCALING = decisions.Scaling(1, 40, 4.0, 0.2, {"a": 1.0, "b": 1.0})


class Port:
    """Records the orders that it is allowed to send."""

    def __init__(self, clock: _clock.ManualClock) -> None:
        self._clock = clock
        self.outcome = OUTCOME.ACCEPTED
        #: Time that passes until a connection is open, in seconds.
        self.connect_s = 0.0
        self.sent: list[tuple[float, str, int, decisions.EngineOrder]] = []

    def order_engines(
        self,
        order: decisions.EngineOrder,
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> duties.OrderOutcome:
        self._clock.sleep(self.connect_s)
        if not may_send():
            return OUTCOME.NOT_SENT
        now = self._clock.monotonic()
        self.sent.append((now, holder, token, order))
        return self.outcome


class Instance:
    """One instance with a loop, and a view that never changes."""

    def __init__(
        self, name: str, clock: _clock.ManualClock, log: typing.Any
    ) -> None:
        self.rank = 0
        self.held = False
        self.current = True
        self.port = Port(clock)
        self.view = decisions.CapacityView(
            "chat",
            SCALING,
            {"a": decisions.ZoneEngines(9), "b": decisions.ZoneEngines(9)},
            None,
        )
        claims = duties.Claims(
            log, clock, duties.ClaimRecord(name, "1"), test_fuzz_claims.GAP_S
        )
        self.loop = duties.CapacityLoop(
            duties.CapacityContext(
                clock,
                self.port,
                claims,
                name,
                lambda: self.rank,
                lambda: self.current,
                lambda: [self.view],
                lambda: self.held,
                10.0,
            )
        )


@pytest.fixture
def clock() -> _clock.ManualClock:
    return _clock.ManualClock()


@pytest.fixture
def log() -> _fakes.FakeLog:
    return _fakes.FakeLog(era=0)


def run(
    clock: _clock.ManualClock, duration_s: float, *instances: Instance
) -> None:
    loops = [gevent.spawn(instance.loop.run) for instance in instances]
    _clock.run_ready_greenlets()
    for _ in range(round(duration_s / STEP_S)):
        clock.advance(STEP_S)
    gevent.killall(loops)


def test_the_holder_orders_each_place_once_at_the_pace(
    clock: _clock.ManualClock, log: _fakes.FakeLog
) -> None:
    first, second = Instance("i", clock, log), Instance("j", clock, log)
    second.rank = 1
    run(clock, 6.0, first, second)
    assert not second.port.sent
    assert [o.place.zone for _, _, _, o in first.port.sent] == ["a", "b"]
    times = [at for at, _, _, _ in first.port.sent]
    assert times[1] - times[0] >= 0.2
    assert len({token for _, _, token, _ in first.port.sent}) == 1


def test_the_next_one_takes_over_after_the_gap_and_with_the_plan(
    clock: _clock.ManualClock, log: _fakes.FakeLog
) -> None:
    first, second = Instance("i", clock, log), Instance("j", clock, log)
    run(clock, 4.0, first)
    # Engines came in the meantime, and the new one sees more than planned.
    zone = decisions.ZoneEngines(9, 2)
    second.view = decisions.CapacityView(
        "chat", SCALING, {"a": zone, "b": zone}, None
    )
    run(clock, 20.0, second)
    last, begin = first.port.sent[-1], second.port.sent[0]
    assert begin[0] - last[0] >= test_fuzz_claims.GAP_S
    assert begin[2] > last[2]
    numbers = {o.place: o.count for _, _, _, o in first.port.sent}
    assert begin[3].count == numbers[begin[3].place]


@pytest.mark.parametrize("hindrance", ("held", "view", "rank", "late"))
def test_nothing_is_sent(
    clock: _clock.ManualClock,
    log: _fakes.FakeLog,
    hindrance: str,
) -> None:
    instance = Instance("i", clock, log)
    instance.held = hindrance == "held"
    instance.current = hindrance != "view"
    instance.rank = 3 if hindrance == "rank" else 0
    # A claim ends while the connection opens, or the process is frozen.
    instance.port.connect_s = 1.2 if hindrance == "late" else 0.0
    run(clock, 20.0, instance)
    assert not instance.port.sent
    assert bool(log.records) == (hindrance == "late")


@pytest.mark.parametrize("outcome", (OUTCOME.BUSY, OUTCOME.UNKNOWN))
def test_calls_that_are_not_taken_are_repeated_with_pauses(
    clock: _clock.ManualClock,
    log: _fakes.FakeLog,
    outcome: duties.OrderOutcome,
) -> None:
    instance = Instance("i", clock, log)
    instance.port.outcome = outcome
    run(clock, 30.0, instance)
    times = [at for at, _, _, _ in instance.port.sent]
    pauses = [after - at for at, after in zip(times, times[1:])]
    assert 3 <= len(times) <= 8
    assert all(pause >= 1.0 for pause in pauses)
    assert max(pauses) >= 4.0


def test_a_zone_without_engines_is_left_alone_for_a_while(
    clock: _clock.ManualClock, log: _fakes.FakeLog
) -> None:
    instance = Instance("i", clock, log)
    instance.port.outcome = OUTCOME.NONE_THERE
    run(clock, 11.0, instance)
    zones = [o.place.zone for _, _, _, o in instance.port.sent]
    assert sorted(zones) == ["a", "b"]
