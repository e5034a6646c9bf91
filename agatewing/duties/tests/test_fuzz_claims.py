"""One holder at a time gives orders, despite clock and log faults."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from agatewing import _clock
from agatewing import duties
from agatewing.duties.tests import _fakes
from agatewing import fleetlog

GAP_S = 3.0
HOLDERS = 2


class StoppedClock(_clock.ManualClock):
    """A clock whose monotonic time stops during a suspension."""

    def __init__(self) -> None:
        super().__init__()
        self.asleep_s = 0.0

    def wall(self) -> float:
        return super().wall() + self.asleep_s


@dataclasses.dataclass(slots=True)
class Order:
    at: float
    holder: int
    token: int


class Claimants(stateful.RuleBasedStateMachine):
    """Instances that acquire claims; a valid claim sends an order at once."""

    def __init__(self) -> None:
        super().__init__()
        self.log = _fakes.FakeLog(era=1)
        self.now = 0.0
        self.clocks = [StoppedClock() for _ in range(HOLDERS)]
        self.eras = [fleetlog.LogEra() for _ in range(HOLDERS)]
        self.claims = [self._claims(i) for i in range(HOLDERS)]
        self.held: list[duties.Claim | None] = [None] * HOLDERS
        self.orders: list[Order] = []

    def _claims(self, index: int) -> duties.Claims:
        me = duties.ClaimRecord(f"i{index}", str(self.now))
        self.eras[index] = fleetlog.LogEra()
        return duties.Claims(
            self.log,
            self.clocks[index],
            me,
            GAP_S,
            self.eras[index],
        )

    @stateful.rule(index=strategies.integers(0, HOLDERS - 1))
    def claim(self, index: int) -> None:
        self.held[index] = self.claims[index].acquire()
        self.order(index)

    @stateful.rule(index=strategies.integers(0, HOLDERS - 1))
    def prepare(self, index: int) -> None:
        self.claims[index].prepare()

    @stateful.rule(index=strategies.integers(0, HOLDERS - 1))
    def order(self, index: int) -> None:
        claim = self.held[index]
        if claim is not None and self.claims[index].valid(claim):
            self.orders.append(Order(self.now, index, claim.token))

    @stateful.rule(first=strategies.integers(0, HOLDERS - 1))
    def claim_all(self, first: int) -> None:
        for step in range(HOLDERS):
            self.claim((first + step) % HOLDERS)

    @stateful.rule(index=strategies.integers(0, HOLDERS - 1))
    def order_late(self, index: int) -> None:
        """Send an order shortly before a claim expires."""
        self.wait(0.9)
        self.order(index)

    @stateful.rule(seconds=strategies.sampled_from((0.5, 2.2, 3.0, 7.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for clock in self.clocks:
            clock.advance(seconds)

    @stateful.rule(
        index=strategies.integers(0, HOLDERS - 1),
        seconds=strategies.sampled_from((0.5, 4.0)),
    )
    def suspend(self, index: int, seconds: float) -> None:
        """Suspend one instance's host; its monotonic clock stops."""
        self.now += seconds
        for other, clock in enumerate(self.clocks):
            if other == index:
                clock.asleep_s += seconds
            else:
                clock.advance(seconds)

    @stateful.rule(index=strategies.integers(0, HOLDERS - 1))
    def restart(self, index: int) -> None:
        self.held[index] = None
        self.claims[index] = self._claims(index)

    @stateful.rule(
        kind=strategies.sampled_from(("", "", "down", "lose", "late"))
    )
    def trouble(self, kind: str) -> None:
        self.log.down = kind == "down"
        self.log.lose_answer = kind == "lose"
        self.log.late = kind == "late"

    @stateful.rule(lost=strategies.integers(0, 3))
    def restore(self, lost: int) -> None:
        self.log.restore(lost)

    @stateful.rule(index=strategies.integers(0, HOLDERS - 1))
    def other_topic_sees_the_era(self, index: int) -> None:
        self.eras[index].observe(self.log.era)

    @stateful.rule()
    def late_writes(self) -> None:
        self.log.apply_delayed()

    @stateful.invariant()
    def one_holder(self) -> None:
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            assert before.token <= after.token
            if before.holder != after.holder:
                assert before.token < after.token
                assert after.at - before.at >= GAP_S


TestClaimants = Claimants.TestCase
# Many examples, as changes of the holder are rare among random steps.
TestClaimants.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=30
)


def test_a_record_that_fails_to_decode_counts_as_a_claim() -> None:
    log = _fakes.FakeLog(era=0)
    log.records.append(b"no claim")
    clock = _clock.ManualClock()
    me = duties.ClaimRecord("i1", "1")
    claims = duties.Claims(log, clock, me, GAP_S)
    assert claims.acquire() is None
    clock.advance(10.0)
    claim = claims.acquire()
    assert claim is not None
    assert claim.token == 2
    stored = msgspec.json.decode(log.records[-1], type=duties.ClaimRecord)
    assert stored == me


def test_the_next_holder_waits_for_the_last_order_and_the_gap() -> None:
    log = _fakes.FakeLog(era=0)
    clock = _clock.ManualClock()
    first, second = (
        duties.Claims(log, clock, duties.ClaimRecord(name, "1"), GAP_S)
        for name in ("i1", "i2")
    )
    claim = first.acquire()
    assert claim is not None
    assert second.acquire() is None
    clock.advance(duties.CLAIM_VALID_S - 0.01)
    assert first.valid(claim)
    last_arrival = clock.monotonic() + duties.ORDER_TIMEOUT_S
    while second.acquire() is None:
        clock.advance(0.1)
    assert clock.monotonic() - last_arrival >= GAP_S
    assert not first.valid(claim)


def test_an_instance_that_has_long_known_a_claim_takes_over_at_once() -> None:
    """Guards against a gap without orders after the holder froze for 7 s.

    Seen on abastecer-rede, trouble-2.
    """
    log = _fakes.FakeLog(era=0)
    clock = _clock.ManualClock()
    first, second = (
        duties.Claims(log, clock, duties.ClaimRecord(name, "1"), GAP_S)
        for name in ("i1", "i2")
    )
    assert first.acquire() is not None
    second.prepare()
    clock.advance(20.0)
    claim = second.acquire()
    assert claim is not None
    assert claim.token == 2
    # The first one's append fails, and it has to wait.
    assert first.acquire() is None
    clock.advance(1.0)
    assert first.acquire() is None


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreCase:
    #: Records that the restored log lacks.
    lost: int
    #: Whether another topic shows the new era before the next claim.
    seen: bool
    #: Whether the instance that claims next is the last holder.
    same: bool


RESTORES = {
    "the claim is lost": RestoreCase(1, True, True),
    "the claim is lost, by another": RestoreCase(1, True, False),
    "nothing is lost": RestoreCase(0, True, True),
    "all is lost, and it is seen late": RestoreCase(9, False, False),
}


# A claim of the older era was used, and its token given out again.
@pytest.mark.parametrize("name", RESTORES)
def test_claims_of_a_restored_log_begin_anew(name: str) -> None:
    case = RESTORES[name]
    log = _fakes.FakeLog(era=1)
    clock = _clock.ManualClock()
    eras = [fleetlog.LogEra(), fleetlog.LogEra()]
    first, second = (
        duties.Claims(log, clock, duties.ClaimRecord(f"i{n}", "1"), GAP_S, e)
        for n, e in enumerate(eras)
    )
    second.prepare()
    claim = first.acquire()
    assert claim is not None
    restored_at = clock.monotonic()
    log.restore(case.lost)
    if case.seen:
        for era in eras:
            era.observe(log.era)
        assert not first.valid(claim)
    claimant = first if case.same else second
    if not case.same or not case.seen:
        clock.advance(duties.CLAIM_VALID_S)
    while (claimed := claimant.acquire()) is None:
        clock.advance(0.1)
    last_order_s = duties.CLAIM_VALID_S + duties.ORDER_TIMEOUT_S
    assert clock.monotonic() - restored_at >= last_order_s + GAP_S
    assert claimed.token > claim.token


@pytest.mark.parametrize("era", [1, 2])
def test_a_claim_answered_in_a_newer_era_is_void(era: int) -> None:
    class Log(_fakes.FakeLog):
        def put_if_end(
            self, topic: fleetlog.Topic, key: str, value: bytes, end: int
        ) -> fleetlog.Written | fleetlog.EndMismatch | fleetlog.LogUnavailable:
            self.era = era
            return super().put_if_end(topic, key, value, end)

    log = Log(era=1)
    claims = duties.Claims(
        log, _clock.ManualClock(), duties.ClaimRecord("i1", "1"), GAP_S
    )
    assert (claims.acquire() is not None) == (era == 1)
    assert len(log.records) == 1


@pytest.mark.parametrize(("era", "waits"), [(0, False), (1, False), (2, True)])
def test_a_restored_log_without_claims_may_lack_one(
    era: int, waits: bool
) -> None:
    clock = _clock.ManualClock()
    claims = duties.Claims(
        _fakes.FakeLog(era), clock, duties.ClaimRecord("i1", "1"), GAP_S
    )
    assert (claims.acquire() is None) == waits
    clock.advance(10.0)
    assert claims.acquire() is not None


def test_a_claim_tells_the_next_instance_the_split_of_its_orders() -> None:
    log = _fakes.FakeLog(era=0)
    clock = _clock.ManualClock()
    first, second = (
        duties.Claims(log, clock, duties.ClaimRecord(name, "1"), GAP_S)
        for name in ("i1", "i2")
    )
    assert first.acquire({"chat": 0.25}) is not None
    second.prepare()
    assert second.ordered_split() == {"chat": 0.25}
    # Only another instance's split is news.
    assert first.ordered_split() == {}


@pytest.mark.parametrize(
    "record",
    [b"", b"no claim", b'{"holder": "i1", "start": "1"}', b'{"split": 3}'],
)
def test_a_claim_without_a_split_tells_none(record: bytes) -> None:
    log = _fakes.FakeLog(era=0)
    log.records.append(record)
    me = duties.ClaimRecord("i2", "1")
    claims = duties.Claims(log, _clock.ManualClock(), me, GAP_S)
    claims.prepare()
    assert claims.ordered_split() == {}
