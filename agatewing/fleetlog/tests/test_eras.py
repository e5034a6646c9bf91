"""Followers of a log that is restored from an older copy."""

import dataclasses

import gevent
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import fleetlog
from agatewing import gateway
from agatewing.gateway import _catalog
from agatewing.gateway import _contracts
from agatewing.gateway import _follow
from agatewing.gateway import _gone_targets

Answer = gateway.Page | gateway.HistoryLost | gateway.LogUnavailable

RECORD = gateway.KeyedRecord("k", b"v")
OTHER = gateway.KeyedRecord("o", b"w")


@dataclasses.dataclass
class ScriptedLog:
    """A log that returns prepared answers, in their order."""

    answers: list[Answer]

    def arriving(self, topic: gateway.Topic) -> bool:
        return False

    def read_newest(self, topic: gateway.Topic) -> Answer:
        return self.answers.pop(0)

    def read(self, topic: gateway.Topic, offset: int, wait_s: float) -> Answer:
        return self.answers.pop(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    answers: tuple[Answer, ...]
    #: Keys that the sink received; a listing in a tuple.
    received: tuple[object, ...]
    #: Era that another topic's answer showed after the first answer.
    seen_meanwhile: int | None = None


START = gateway.Page((RECORD,), 5, 1)
CASES = {
    "a later page of the same era": Case(
        (START, gateway.Page((OTHER,), 6, 1)), (("k",), "o")
    ),
    "no era named": Case(
        (gateway.Page((RECORD,), 5), gateway.Page((OTHER,), 6)), (("k",), "o")
    ),
    "no era named any more": Case(
        (START, gateway.Page((OTHER,), 6)), (("k",), "o")
    ),
    "the offset names another record": Case(
        (START, gateway.Page((OTHER,), 6, 2), gateway.Page((RECORD,), 3, 2)),
        (("k",), 2, ("k",)),
    ),
    "the offset is gone": Case(
        (START, gateway.HistoryLost(2), gateway.Page((OTHER,), 3, 2)),
        (("k",), 2, ("o",)),
    ),
    "refused by the new era": Case(
        (
            START,
            gateway.LogUnavailable("status 503", 2),
            gateway.Page((OTHER,), 3, 2),
        ),
        (("k",), 2, ("o",)),
    ),
    "two eras in a row": Case(
        (
            START,
            gateway.Page((OTHER,), 6, 3),
            gateway.Page((OTHER,), 6, 3),
            gateway.Page((RECORD,), 7, 3),
        ),
        (("k",), 3, ("o",), "k"),
    ),
    "another topic saw it first": Case(
        (START, gateway.Page((OTHER,), 3, 2)), (("k",), 2, ("o",)), 2
    ),
    "a late listing of the older era": Case(
        (START, gateway.Page((OTHER,), 9, 1), gateway.Page((RECORD,), 3, 2)),
        (("k",), "away", 2, ("k",)),
        2,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_records_count_only_in_their_era(name: str) -> None:
    case = CASES[name]
    received: list[object] = []
    sink = _follow.Sink(
        lambda records, offset: received.append(
            tuple(record.key for record in records)
        ),
        lambda record: received.append(record.key),
        lambda offset: None,
        lambda: received.append("away"),
        received.append,
    )
    log = ScriptedLog(list(case.answers))
    era = fleetlog.LogEra()
    follower = _follow.Follower(
        log,  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.TARGETS,
        sink,
        era=era,
    )
    follower.step()
    era.observe(case.seen_meanwhile)
    while log.answers:
        follower.step()
    assert [item for item in received if item != 1] == list(case.received)


# Instances learned of the new era only when their pending reads ended.
def test_a_pending_read_ends_when_another_topic_shows_the_new_era() -> None:
    class Log(ScriptedLog):
        def read(
            self, topic: gateway.Topic, offset: int, wait_s: float
        ) -> Answer:
            gevent.sleep(60.0)
            return gateway.HistoryLost()

    log = Log([START, gateway.Page((OTHER,), 3, 2)])
    era = fleetlog.LogEra()
    listings: list[int] = []
    sink = _follow.Sink(
        lambda records, offset: listings.append(offset),
        lambda record: None,
        lambda offset: None,
    )
    follower = _follow.Follower(
        log,  # type: ignore[arg-type]
        _clock.ManualClock(),
        gateway.Topic.TARGETS,
        sink,
        era=era,
    )
    follower.step()
    stepping = gevent.spawn(follower.step)
    gevent.sleep(0.01)
    assert listings == [5]
    era.observe(2)
    stepping.join(timeout=5.0)
    assert listings == [5, 3]


def target(
    name: str,
    sequence: int = 1,
    state: _types.TargetState = _types.TargetState.ACTIVE,
) -> gateway.Target:
    return gateway.Target(
        name, "s", "10.0.0.1:80", "z", state, 8, None, 0.0, 1, sequence
    )


def make_catalog() -> tuple[_catalog.Catalog, _clock.ManualClock]:
    clock = _clock.ManualClock()
    catalog = _catalog.Catalog(clock, lambda: None)
    catalog.begin_era(1)
    catalog.record_read()
    clock.advance(60.0)
    return catalog, clock


def test_a_target_that_the_copy_lacks_has_two_seconds_to_come_back() -> None:
    catalog, clock = make_catalog()
    catalog.replace_targets({"a": target("a"), "b": target("b")}, 9)
    catalog.begin_era(2)
    catalog.replace_targets({}, 4)
    clock.advance(1.9)
    catalog.expire()
    assert set(catalog.targets) == {"a", "b"}
    catalog.update_target("b", target("b", 2))
    clock.advance(0.2)
    catalog.expire()
    assert set(catalog.targets) == {"b"}


@dataclasses.dataclass(frozen=True, slots=True)
class CopyCase:
    #: Entry that the restored copy holds of the departed target.
    copied: gateway.Target
    #: Whether the log announces it anew after the restore.
    announced: gateway.Target | None
    #: Whether it is known just after the restore.
    known: bool
    #: Time that passes before the removal takes effect, in seconds.
    hold_s: float = 1.0


COPY_CASES = {
    "gone": CopyCase(target("a", 3), None, False),
    "removed just before": CopyCase(target("a", 3), None, False, 0.1),
    "an older entry": CopyCase(target("a", 1), None, False),
    "announced after it went": CopyCase(target("a", 4), None, True),
    "announced after the restore": CopyCase(
        target("a", 3), target("a", 3), True
    ),
}


# A copy brought targets back that had left, and they got requests.
@pytest.mark.parametrize("name", COPY_CASES)
def test_a_target_that_left_does_not_come_back_from_a_copy(name: str) -> None:
    case = COPY_CASES[name]
    catalog, clock = make_catalog()
    catalog.replace_targets({"a": target("a", 3)}, 8)
    catalog.update_target("a", None)
    catalog.end_batch(9)
    clock.advance(case.hold_s)
    catalog.expire()
    catalog.begin_era(2)
    catalog.replace_targets({"a": case.copied}, 4)
    if case.announced is not None:
        catalog.update_target("a", case.announced)
    clock.advance(_catalog.RETURN_HOLD_S)
    catalog.expire()
    assert ("a" in catalog.targets) == case.known
    # The log has removed it by then, unless it is alive.
    clock.advance(_gone_targets.HOLD_BACK_S)
    catalog.expire()
    assert "a" in catalog.targets


@dataclasses.dataclass(frozen=True, slots=True)
class MergeCase:
    own: tuple[int, int]
    peer: tuple[int, int]
    merged: bool


MERGE_CASES = {
    "the peer has read further": MergeCase((1, 5), (1, 9), True),
    "the peer has read less": MergeCase((1, 9), (1, 5), False),
    "the peer is in a newer era": MergeCase((1, 90), (2, 5), True),
    "the peer is in an older era": MergeCase((2, 5), (1, 90), False),
    "the peer names no era": MergeCase((2, 5), (0, 90), False),
}


# The higher offset of an older era replaced what the restored log has.
@pytest.mark.parametrize("name", MERGE_CASES)
def test_offsets_of_two_eras_are_not_compared(name: str) -> None:
    case = MERGE_CASES[name]
    catalog, _ = make_catalog()
    catalog.begin_era(case.own[0])
    catalog.log_era.observe(case.own[0])
    catalog.replace_targets({}, case.own[1])
    # The peer is of a release that says whether there are accounts.
    config = gateway.Configuration(
        7, (), {}, gateway.CallerLimits(), accounts_known=True
    )
    era, through = case.peer
    catalog.merge_snapshot(
        _contracts.Snapshot(config, (target("p"),), through, 0.1, era), "peer"
    )
    assert ("p" in catalog.targets) == case.merged
    assert catalog.position == max(case.own, case.peer)
    assert catalog.log_era.current == max(case.own[0], case.peer[0])
    # A configuration counts by its version alone.
    assert catalog.config_version == 7


class Restores(stateful.RuleBasedStateMachine):
    """What a follower has read is what the log has, or had in an older era."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[gateway.KeyedRecord] = []
        self.copies: list[list[gateway.KeyedRecord]] = [[]]
        self.number = 0
        self.named_era = 1
        #: Answer of an older era that arrives at the next read.
        self.late: Answer | None = None
        self.seen: dict[str, bytes] = {}
        self.era = fleetlog.LogEra()
        sink = _follow.Sink(
            self._replace_all, self._apply, lambda offset: None
        )
        self.follower = _follow.Follower(
            self,  # type: ignore[arg-type]
            _clock.ManualClock(),
            gateway.Topic.TARGETS,
            sink,
            era=self.era,
        )

    def _apply(self, record: gateway.KeyedRecord) -> None:
        assert record.value is not None
        self.seen[record.key] = record.value

    def _replace_all(
        self, records: tuple[gateway.KeyedRecord, ...], offset: int
    ) -> None:
        self.seen.clear()
        for record in records:
            self._apply(record)

    def _newest(self) -> dict[str, bytes]:
        return {r.key: r.value or b"" for r in self.records}

    def _listing(self) -> Answer:
        newest = tuple(
            gateway.KeyedRecord(k, v) for k, v in self._newest().items()
        )
        return gateway.Page(newest, len(self.records), self.named_era)

    def arriving(self, topic: gateway.Topic) -> bool:
        return False

    def read_newest(self, topic: gateway.Topic) -> Answer:
        late, self.late = self.late, None
        return late or self._listing()

    def read(self, topic: gateway.Topic, offset: int, wait_s: float) -> Answer:
        late, self.late = self.late, None
        if late is not None:
            return late
        if offset > len(self.records):
            return gateway.HistoryLost(self.named_era)
        new = tuple(self.records[offset:])
        return gateway.Page(new, len(self.records), self.named_era)

    @stateful.rule(key=strategies.sampled_from("abc"))
    def write(self, key: str) -> None:
        self.number += 1
        value = str(self.number).encode()
        self.records.append(gateway.KeyedRecord(key, value))

    @stateful.rule()
    def copy(self) -> None:
        self.copies.append(list(self.records))

    @stateful.rule(data=strategies.data())
    def restore(self, data: strategies.DataObject) -> None:
        self.records = list(data.draw(strategies.sampled_from(self.copies)))
        self.named_era += 1

    @stateful.rule()
    def delay_answer(self) -> None:
        """Delay an answer of now until the next read."""
        self.late = self._listing()

    @stateful.rule()
    def other_topic_sees_the_era(self) -> None:
        self.era.observe(self.named_era)

    @stateful.rule()
    def read_once(self) -> None:
        self.follower.step()

    @stateful.rule()
    def catch_up(self) -> None:
        self.late = None
        self.follower.step()
        self.follower.step()
        assert self.seen == self._newest()


TestRestores = Restores.TestCase
TestRestores.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
