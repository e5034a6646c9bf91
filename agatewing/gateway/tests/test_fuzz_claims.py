"""One holder at a time gives orders, despite clock and log faults."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from agatewing import _clock
from agatewing.gateway import _claims
from agatewing.gateway import _ports

GAP_S = 3.0
HOLDERS = 2


class FakeLog:
    """The topic of claims, which may lose answers or delay writes."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.lose_answer = False
        self.late = False
        self.down = False
        #: Delayed writes, with the end offset that they require.
        self.delayed: list[tuple[bytes, int]] = []

    def read_newest(
        self, topic: _ports.Topic
    ) -> _ports.Page | _ports.LogUnavailable:
        if self.down:
            return _ports.LogUnavailable("down")
        last = self.records[-1:]
        records = tuple(_ports.KeyedRecord(_claims.CLAIM_KEY, r) for r in last)
        return _ports.Page(records, len(self.records))

    def put_if_end(
        self, topic: _ports.Topic, key: str, value: bytes, end: int
    ) -> _ports.Written | _ports.EndMismatch | _ports.LogUnavailable:
        if self.down:
            return _ports.LogUnavailable("down")
        if self.late:
            self.delayed.append((value, end))
            return _ports.LogUnavailable("no answer")
        if end != len(self.records):
            return _ports.EndMismatch()
        self.records.append(value)
        if self.lose_answer:
            return _ports.LogUnavailable("no answer")
        return _ports.Written(end)

    def apply_delayed_writes(self) -> None:
        for value, end in self.delayed:
            if end == len(self.records):
                self.records.append(value)
        self.delayed.clear()

    def read(
        self, topic: _ports.Topic, offset: int
    ) -> _ports.Page | _ports.HistoryLost | _ports.LogUnavailable:
        raise AssertionError("claims are not followed")

    def put(
        self, topic: _ports.Topic, key: str, value: bytes
    ) -> _ports.Stored | _ports.LogUnavailable:
        raise AssertionError("a claim is written under a condition")


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
        self.log = FakeLog()
        self.now = 0.0
        self.clocks = [StoppedClock() for _ in range(HOLDERS)]
        self.claims = [self._claims(i) for i in range(HOLDERS)]
        self.held: list[_claims.Claim | None] = [None] * HOLDERS
        self.orders: list[Order] = []

    def _claims(self, index: int) -> _claims.Claims:
        me = _claims.ClaimRecord(f"i{index}", str(self.now))
        return _claims.Claims(
            self.log,
            self.clocks[index],
            me,
            GAP_S,
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

    @stateful.rule()
    def late_writes(self) -> None:
        self.log.apply_delayed_writes()

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
    log = FakeLog()
    log.records.append(b"no claim")
    clock = _clock.ManualClock()
    me = _claims.ClaimRecord("i1", "1")
    claims = _claims.Claims(log, clock, me, GAP_S)
    assert claims.acquire() is None
    clock.advance(10.0)
    claim = claims.acquire()
    assert claim is not None
    assert claim.token == 2
    stored = msgspec.json.decode(log.records[-1], type=_claims.ClaimRecord)
    assert stored == me


def test_the_next_holder_waits_for_the_last_order_and_the_gap() -> None:
    log = FakeLog()
    clock = _clock.ManualClock()
    first, second = (
        _claims.Claims(log, clock, _claims.ClaimRecord(name, "1"), GAP_S)
        for name in ("i1", "i2")
    )
    claim = first.acquire()
    assert claim is not None
    assert second.acquire() is None
    clock.advance(_claims.CLAIM_VALID_S - 0.01)
    assert first.valid(claim)
    last_arrival = clock.monotonic() + _claims.ORDER_TIMEOUT_S
    while second.acquire() is None:
        clock.advance(0.1)
    assert clock.monotonic() - last_arrival >= GAP_S
    assert not first.valid(claim)


def test_an_instance_that_has_long_known_a_claim_takes_over_at_once() -> None:
    """Guards against a gap without orders after the holder froze for 7 s.

    Seen on abastecer-rede, trouble-2.
    """
    log = FakeLog()
    clock = _clock.ManualClock()
    first, second = (
        _claims.Claims(log, clock, _claims.ClaimRecord(name, "1"), GAP_S)
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
