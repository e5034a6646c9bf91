"""How long reads of the log wait."""

import dataclasses
import logging
import random

import gevent
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _follow
from agatewing.gateway import _log_turns

PAGE = gateway.Page((), 3)
AWAY = gateway.LogUnavailable("no answer")
LOST = gateway.HistoryLost()

Answer = gateway.Page | gateway.HistoryLost | gateway.LogUnavailable


@dataclasses.dataclass
class WaitingLog:
    """A log that returns prepared answers and records the waits."""

    answers: list[Answer]
    #: Time that each read may wait, in seconds; ``None`` for a listing.
    waits: list[float | None] = dataclasses.field(default_factory=list)

    def arriving(self, topic: gateway.Topic) -> bool:
        return False

    def read_newest(self, topic: gateway.Topic) -> Answer:
        self.waits.append(None)
        return self.answers.pop(0)

    def read(self, topic: gateway.Topic, offset: int, wait_s: float) -> Answer:
        self.waits.append(wait_s)
        return self.answers.pop(0)


#: Ignores all records.
NO_SINK = _follow.Sink(
    lambda records, offset: None,
    lambda record: None,
    lambda offset: None,
)
LONG_S = _log_turns.WAIT_S[gateway.Topic.TARGETS]


# An instance that had begun to wait during an outage heard nothing for 4.6 s,
# though the log was back: configurations came into force too late.
@pytest.mark.parametrize(
    ("answers", "waits"),
    [
        ([PAGE, PAGE, PAGE], [None, LONG_S, LONG_S]),
        ([PAGE, AWAY, PAGE, PAGE], [None, LONG_S, 0.0, LONG_S]),
        ([PAGE, AWAY, AWAY, PAGE], [None, LONG_S, 0.0, 0.0]),
        ([AWAY, PAGE, PAGE], [None, None, LONG_S]),
        ([PAGE, AWAY, LOST, PAGE, PAGE], [None, LONG_S, 0.0, None, LONG_S]),
    ],
    ids=["sound log", "one failure", "two", "at the start", "history lost"],
)
def test_a_read_waits_only_after_an_answer(
    answers: list[Answer], waits: list[float | None]
) -> None:
    log = WaitingLog(list(answers))
    follower = _follow.Follower(
        log,  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.TARGETS,
        NO_SINK,
    )
    for _ in answers:
        follower.step()
    assert log.waits == waits


# Nothing said for how long a read that failed had kept its topic unread.
def test_lines_say_how_long_a_read_waited_and_the_log_was_away(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = _clock.ManualClock()

    class SlowLog(WaitingLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            clock.advance(wait_s + 0.5)
            return super().read(topic, offset, wait_s)

    follower = _follow.Follower(
        SlowLog([PAGE, AWAY, AWAY, PAGE]),  # type: ignore[arg-type]
        clock,
        gateway.Topic.TARGETS,
        NO_SINK,
    )
    with caplog.at_level(logging.INFO, logger="agatewing.follow"):
        for _ in range(4):
            follower.step()
    assert [
        (getattr(line, "waited_s", None), getattr(line, "away_s", None))
        for line in caplog.records
    ] == [(LONG_S + 0.5, None), (None, LONG_S + 0.5 + 0.5 + 0.5)]


# The entries of instances are awaited for 20 s, while other reads had shown
# that no connection to the log carried anything.
def test_a_failed_read_of_one_topic_repeats_those_of_the_others() -> None:
    clock = _clock.ManualClock()
    waits: list[float] = []

    class HangingLog(WaitingLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            waits.append(wait_s)
            clock.sleep(wait_s + 0.6)
            return AWAY if len(waits) == 1 else PAGE

    limits = _follow.ReadLimits()
    follower = _follow.Follower(
        HangingLog([PAGE]),  # type: ignore[arg-type]
        clock,
        gateway.Topic.INSTANCES,
        NO_SINK,
        limits,
        rng=random.Random(1),
    )
    reading = gevent.spawn(follower.run)
    try:
        for _ in range(30):
            clock.advance(0.1)
        assert waits == [20.0]
        limits.failures.record()
        for _ in range(8):
            clock.advance(0.1)
        assert waits[:2] == [20.0, 0.0]
        assert follower.failed_reads == 0
    finally:
        reading.kill()


# An error in what uses the records ended the loop, and the topic was followed
# no more.
def test_an_unexpected_error_does_not_end_the_loop() -> None:
    clock = _clock.ManualClock()
    applied: list[str] = []

    def apply(record: gateway.KeyedRecord) -> None:
        applied.append(record.key)
        if len(applied) == 1:
            raise ZeroDivisionError

    page = gateway.Page((gateway.KeyedRecord("k", b"v"),), 3)
    listed: list[int] = []

    class SlowLog(WaitingLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            clock.sleep(0.1)
            return super().read(topic, offset, wait_s)

    log = SlowLog([PAGE, page, PAGE, page])
    follower = _follow.Follower(
        log,  # type: ignore[arg-type]
        clock,
        gateway.Topic.TARGETS,
        _follow.Sink(
            lambda records, offset: listed.append(offset),
            apply,
            lambda offset: None,
        ),
    )
    reading = gevent.spawn(follower.run)
    try:
        for _ in range(20):
            clock.advance(0.1)
        assert listed == [3, 3]
        assert applied == ["k", "k"]
    finally:
        reading.kill()


class ChangingLog(WaitingLog):
    """A log that answers after its wait, on a clock."""

    def __init__(self, clock: _clock.ManualClock, answer_s: float) -> None:
        super().__init__([])
        self.answer: Answer = PAGE
        self._clock = clock
        self._answer_s = answer_s

    def arriving(self, topic: gateway.Topic) -> bool:
        return False

    def read_newest(self, topic: gateway.Topic) -> Answer:
        return PAGE

    def read(self, topic: gateway.Topic, offset: int, wait_s: float) -> Answer:
        self.waits.append(wait_s)
        self._clock.sleep(wait_s + self._answer_s)
        return self.answer


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    #: Time of an answer, in seconds.
    answer_s: float
    #: Whether the log answers.
    answers: bool
    confirmed: bool


CONFIRMS = {
    "in time": Confirm(0.1, True, True),
    "too late": Confirm(0.7, True, False),
    "no answer": Confirm(0.1, False, False),
}


# A view that was read before the question passed for that of now.
@pytest.mark.parametrize("name", CONFIRMS)
def test_only_a_read_since_the_question_confirms(name: str) -> None:
    case = CONFIRMS[name]
    clock = _clock.ManualClock()
    log = ChangingLog(clock, case.answer_s)
    follower = _follow.Follower(
        log,  # type: ignore[arg-type]
        clock,
        gateway.Topic.TARGETS,
        NO_SINK,
    )
    reading = gevent.spawn(follower.run)
    try:
        for _ in range(10):
            clock.advance(0.1)
        assert log.waits == [LONG_S]
        if not case.answers:
            log.answer = AWAY
        # Both are answered by one read.
        asked = [gevent.spawn(follower.confirm, 0.4) for _ in range(2)]
        for _ in range(10):
            clock.advance(0.1)
        assert [question.get() for question in asked] == [case.confirmed] * 2
        assert log.waits[1:2] == [0.0]
    finally:
        reading.kill()


@dataclasses.dataclass(frozen=True, slots=True)
class ToldCase:
    """What a peer tells of a log of five records, and what is done then."""

    #: Position that a peer tells while the second read waits.
    told: tuple[int, int]
    #: Era and records of the answer to that read, from offset 3 on.
    era: int
    #: Offsets of the records that are applied, and where the next read begins.
    applied: list[int]
    next_offset: int


TOLD_CASES = {
    "nothing": ToldCase((1, 3), 1, [3, 4], 5),
    "a part of the answer": ToldCase((1, 4), 1, [4], 5),
    "all of it": ToldCase((1, 5), 1, [], 5),
    "more": ToldCase((1, 9), 1, [], 9),
    "what is of an older era": ToldCase((0, 9), 1, [3, 4], 5),
}


# A read that ended after a peer had told of later records applied its own over
# them: targets that had left came back, and offsets went back.
@pytest.mark.parametrize("name", TOLD_CASES)
def test_an_older_record_does_not_replace_what_a_peer_told(name: str) -> None:
    case = TOLD_CASES[name]
    position = [(1, 3)]
    applied: list[int | None] = []
    offsets: list[int] = []

    class ToldLog(WaitingLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            offsets.append(offset)
            position[0] = case.told
            records = tuple(
                gateway.KeyedRecord("t", b"x", n) for n in range(offset, 5)
            )
            return gateway.Page(records, max(offset, 5), case.era)

    follower = _follow.Follower(
        ToldLog([gateway.Page((), 3, 1)]),  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.TARGETS,
        _follow.Sink(
            lambda records, offset: None,
            lambda record: applied.append(record.offset),
            lambda offset: None,
            position=lambda: position[0],
        ),
    )
    for _ in range(3):
        assert follower.step()
    assert applied == case.applied
    assert offsets == [3, case.next_offset]


# The next read of the log had every configuration that peers had given since
# the last one, a quarter of a megabyte each.
@pytest.mark.parametrize(
    ("version", "offset"), [(4, 9), (3, 9), (5, 2)], ids=str
)
def test_what_a_peer_told_is_not_read_again(version: int, offset: int) -> None:
    offsets: list[int] = []

    class Log(WaitingLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            offsets.append(offset)
            return gateway.Page((), offset)

    catalog = _catalog.Catalog(_clock.ManualClock(), lambda: None)
    follower = _follow.Follower(
        Log([gateway.Page((), 2)]),  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.CONFIGURATION,
        _follow.configuration_sink(catalog, None),  # type: ignore[arg-type]
    )
    assert follower.step()
    limits = gateway.CallerLimits()
    catalog.apply_configuration(
        gateway.Configuration(4, (), {}, limits), "peer"
    )
    told = _contracts.Snapshot(
        None, (), 0, 0.0, config_version=version, config_position=(0, 9)
    )
    catalog.merge_snapshot(told, "peer")
    assert follower.step()
    assert offsets == [offset]
    assert catalog.snapshot().config_position == (0, offset)


# A target that had left got requests again: the read of an instance that was
# behind brought its older entry back, after a peer had told that it left.
@pytest.mark.parametrize("whole", [True, False], ids=["all", "the changes"])
def test_a_target_that_left_does_not_come_back_by_an_older_read(
    whole: bool,
) -> None:
    active = gateway.Target(
        "t", "s", "10.0.0.1:80", "z", _types.TargetState.ACTIVE, 8
    )
    draining = dataclasses.replace(
        active, state=_types.TargetState.DRAINING, sequence=7
    )
    clock = _clock.ManualClock()
    catalog = _catalog.Catalog(clock, lambda: None)
    #: What a peer tells while the read of offset 1 waits.
    changes = [
        _contracts.Snapshot(None, (draining,), 8, 0.0, base=1),
        _contracts.Snapshot(None, (), 9, 0.0, base=8, removed=("t",)),
    ]
    told = [_contracts.Snapshot(None, (), 9, 0.0)] if whole else changes

    class Log(WaitingLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            for snapshot in told:
                catalog.merge_snapshot(snapshot, "peer")
            clock.advance(_catalog.RETURN_HOLD_S)
            catalog.expire()
            record = gateway.KeyedRecord("t", b"active", offset)
            return gateway.Page((record,), offset + 1)

    class Decoder:
        def target(self, record: gateway.KeyedRecord) -> gateway.Target:
            return active

    listed = gateway.KeyedRecord("t", b"active")
    follower = _follow.Follower(
        Log([gateway.Page((listed,), 1)]),  # type: ignore[arg-type]
        clock,
        gateway.Topic.TARGETS,
        _follow.target_sink(catalog, Decoder()),  # type: ignore[arg-type]
    )
    assert follower.step()
    assert catalog.targets["t"].active
    assert follower.step()
    assert "t" not in catalog.targets
    assert catalog.position == (0, 9)


# A peer's snapshot that came while a listing was on its way was undone by it.
def test_an_older_listing_does_not_replace_what_a_peer_told() -> None:
    replaced: list[int] = []
    ended: list[int] = []
    follower = _follow.Follower(
        WaitingLog([gateway.Page((), 3, 1)]),  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.TARGETS,
        _follow.Sink(
            lambda records, offset: replaced.append(offset),
            lambda record: None,
            ended.append,
            position=lambda: (1, 7),
        ),
    )
    assert follower.step()
    assert (replaced, ended) == ([], [7])


# The answer to a read of the targets waited behind a configuration on a slow
# link; its failure ended the read of the configuration that had half arrived.
@pytest.mark.parametrize(
    ("arriving", "reads"), [(True, [4.0]), (False, [4.0, 0.0])]
)
def test_a_failed_read_does_not_end_one_whose_answer_arrives(
    arriving: bool, reads: list[float]
) -> None:
    clock = _clock.ManualClock()
    waits: list[float] = []

    class ArrivingLog(WaitingLog):
        def arriving(self, topic: gateway.Topic) -> bool:
            return arriving

        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            waits.append(wait_s)
            clock.sleep(2.0)
            return PAGE

    limits = _follow.ReadLimits()
    follower = _follow.Follower(
        ArrivingLog([PAGE]),  # type: ignore[arg-type]
        clock,
        gateway.Topic.CONFIGURATION,
        NO_SINK,
        limits,
    )
    follower.step()
    reading = gevent.spawn(follower.step)
    try:
        clock.advance(1.0)
        limits.failures.record()
        for _ in range(30):
            clock.advance(0.1)
        assert waits == reads
        assert reading.ready()
    finally:
        reading.kill()
