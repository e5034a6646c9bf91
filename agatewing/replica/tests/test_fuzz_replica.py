"""Replicated state machines, compared with simple models by random steps."""

import json
import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from agatewing import _clock
from agatewing import replica
from agatewing.standins import log


def _envelope(
    name: str, number: int, *records: replica.Record
) -> replica.Envelope:
    return replica.Envelope(
        f"{name}-{number}", replica.Author(name, 1), records
    )


class _Reader:
    """A follower of the log model that reads only when a step says so."""

    def __init__(self, model: log.LogModel, clock: _clock.ManualClock) -> None:
        self.state = replica.ConfigState()
        self.log = log.DirectLogClient(model, _NoWait(clock))
        self.replay = replica.Replay(self.state)
        self.follower = replica.Follower(
            typing.cast(typing.Any, self.log),
            clock,
            replica.CONFIG_STREAM,
            self.replay,
            random.Random(1),
        )

    def read(self) -> None:
        """Read to the end."""
        for _ in range(6):
            self.follower.poll(0.0)


class _NoWait:
    """A clock whose sleeps and waits return at once."""

    def __init__(self, clock: _clock.ManualClock) -> None:
        self.monotonic = clock.monotonic
        self.wall = clock.wall

    def sleep(self, seconds: float) -> None:
        """Return at once."""

    def wait(self, waitable: object, timeout_s: float) -> bool:
        """Return at once."""
        return False


class ConfigMachine(stateful.RuleBasedStateMachine):
    """Publish races, retried publishes, retention, snapshots and outages."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = _clock.ManualClock()
        self.model = log.LogModel(self.clock, retention_s=100.0)
        self.model._clock = typing.cast(typing.Any, _NoWait(self.clock))
        self.readers = [_Reader(self.model, self.clock) for _ in range(3)]
        self.number = 0
        self.version = 0
        self.documents: dict[int, dict[str, typing.Any]] = {0: {}}
        self.decisions: dict[str, int | None] = {}
        self.min_versions = [0, 0, 0]

    def _append(self, record: replica.Record) -> None:
        self.number += 1
        body = replica.encode_envelope(_envelope("op", self.number, record))
        self.model.append(replica.CONFIG_STREAM, body)

    @stateful.rule(lag=strategies.integers(0, 2), value=strategies.integers())
    def publish(self, lag: int, value: int) -> None:
        base = max(0, self.version - lag)
        publish_id = f"p{self.number}"
        document = {"value": value, "n": self.number}
        record = replica.Publish(publish_id, base, "op", document)
        self._append(record)
        self.decisions[publish_id] = None
        if base == self.version:
            self.version += 1
            self.documents[self.version] = document
            self.decisions[publish_id] = self.version
        if lag == 1:
            self._append(record)

    @stateful.rule(name=strategies.integers(0, 2))
    def patch(self, name: int) -> None:
        patch = {"patched": self.number, "value": None}
        publish_id = f"p{self.number}"
        self._append(
            replica.Publish(publish_id, self.version, "op", None, patch)
        )
        merged = dict(self.documents[self.version])
        merged.pop("value", None)
        merged["patched"] = patch["patched"]
        self.version += 1
        self.documents[self.version] = merged
        self.decisions[publish_id] = self.version

    @stateful.rule(index=strategies.integers(0, 2))
    def read(self, index: int) -> None:
        self.readers[index].read()

    @stateful.rule(index=strategies.integers(0, 2))
    def snapshot(self, index: int) -> None:
        reader = self.readers[index]
        if reader.replay.known and reader.state.version:
            self._append(
                replica.Snapshot(reader.replay.through, reader.state.dump())
            )

    @stateful.rule(seconds=strategies.sampled_from([10.0, 60.0, 150.0]))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.model.read(replica.CONFIG_STREAM, 1, 1, 0.0)

    @stateful.rule(index=strategies.integers(0, 2))
    def replace(self, index: int) -> None:
        self.readers[index] = _Reader(self.model, self.clock)
        self.min_versions[index] = 0

    @stateful.rule(
        one=strategies.integers(0, 2), other=strategies.integers(0, 2)
    )
    def ask_peer(self, one: int, other: int) -> None:
        source = self.readers[other]
        if source.replay.known and source.state.version:
            state = json.loads(json.dumps(source.state.dump()))
            self.readers[one].replay.adopt(source.replay.through, state)

    @stateful.rule(index=strategies.integers(0, 2))
    def cut(self, index: int) -> None:
        self.readers[index].log.cut = not self.readers[index].log.cut

    @stateful.rule()
    def garbage(self) -> None:
        self.model.append(replica.CONFIG_STREAM, "{not json")

    @stateful.invariant()
    def no_reader_is_wrong(self) -> None:
        for index, reader in enumerate(self.readers):
            state = reader.state
            if not reader.replay.known:
                continue
            assert state.version <= self.version
            assert state.document == self.documents[state.version]
            assert state.version >= self.min_versions[index]
            self.min_versions[index] = state.version
            for publish_id, decision in state.decisions.items():
                expected = self.decisions[publish_id]
                if isinstance(decision, replica.Accepted):
                    assert decision.version == expected
                else:
                    assert expected is None

    @stateful.invariant()
    def a_current_reader_has_the_version(self) -> None:
        for reader in self.readers:
            if reader.log.cut or not reader.replay.known:
                continue
            stream = self.model._streams.get(replica.CONFIG_STREAM)
            if stream and reader.follower.position == stream.next:
                assert reader.state.version == self.version


class ControlMachine(stateful.RuleBasedStateMachine):
    """Leases, and orders to engines that check fencing or ignore it."""

    HOLDERS = ("a/1", "b/1", "a/2")

    def __init__(self) -> None:
        super().__init__()
        self.state = replica.ControlState()
        self.copy = replica.ControlState()
        self.offset = 0
        self.holder = ""
        self.fence = 0
        self.touched = 0
        self.sent: dict[str, list[tuple[int, str]]] = {"c": [], "i": []}
        self.open: dict[str, set[tuple[str, str]]] = {"c": set(), "i": set()}
        self.orders = 0

    def _apply(self, who: str, record: replica.Record) -> None:
        self.offset += 1
        name, _, incarnation = who.partition("/")
        author = replica.Author(name, int(incarnation))
        self.state.apply(self.offset, author, record)
        self.copy.apply(self.offset, author, record)

    @stateful.rule(
        who=strategies.sampled_from(HOLDERS), stale=strategies.booleans()
    )
    def claim(self, who: str, stale: bool) -> None:
        over = self.touched - 1 if stale else self.touched
        self._apply(who, replica.LeaseClaim("l", over, 9.0))
        if not stale:
            self.holder, self.fence = who, self.offset
            self.touched = self.offset

    @stateful.rule(
        who=strategies.sampled_from(HOLDERS), old=strategies.booleans()
    )
    def renew(self, who: str, old: bool) -> None:
        fence = self.fence - 1 if old else self.fence
        self._apply(who, replica.LeaseRenew({"l": fence}))
        if who == self.holder and not old:
            self.touched = self.offset

    @stateful.rule(who=strategies.sampled_from(HOLDERS))
    def release(self, who: str) -> None:
        self._apply(who, replica.LeaseRelease({"l": self.fence}))
        if who == self.holder:
            self.touched, self.holder = self.offset, ""

    @stateful.rule(
        who=strategies.sampled_from(HOLDERS),
        engine=strategies.sampled_from(["c", "i"]),
        role=strategies.sampled_from(["prefill", "decode"]),
    )
    def order(self, who: str, engine: str, role: str) -> None:
        self.orders += 1
        order_id = f"o{self.orders}"
        change = replica.SetRole(typing.cast(typing.Any, role))
        valid = who == self.holder and self.holder != ""
        if engine == "i":
            valid = valid and not self.open["i"]
        self._apply(
            who,
            replica.Order(
                order_id, "l", self.fence, engine, change, engine == "c"
            ),
        )
        current = self.state.orders.get(engine)
        assert (current is not None and current.id == order_id) is valid
        if valid:
            self.open[engine] = {(order_id, who)}

    @stateful.rule(
        who=strategies.sampled_from(HOLDERS),
        engine=strategies.sampled_from(["c", "i"]),
    )
    def take(self, who: str, engine: str) -> None:
        current = self.state.orders.get(engine)
        if current is None:
            return
        self._apply(who, replica.OrderTaken(current.id, "l", self.fence))
        if who == self.holder and self.holder:
            self.open[engine].add((current.id, who))

    @stateful.rule(
        who=strategies.sampled_from(HOLDERS),
        deliverer=strategies.sampled_from(HOLDERS),
        engine=strategies.sampled_from(["c", "i"]),
        how=strategies.sampled_from(list(replica.Settlement)),
    )
    def settle(
        self, who: str, deliverer: str, engine: str, how: replica.Settlement
    ) -> None:
        current = self.state.orders.get(engine)
        if current is None:
            return
        self._apply(who, replica.OrderSettled(current.id, deliverer, how))
        allowed = who == deliverer
        if how is replica.Settlement.GONE:
            allowed = who == self.holder and self.holder != ""
        if allowed:
            self.open[engine].discard((current.id, deliverer))

    @stateful.rule()
    def restart_from_a_snapshot(self) -> None:
        self.copy = replica.ControlState()
        self.copy.load(json.loads(json.dumps(self.state.dump())))

    @stateful.invariant()
    def agrees_with_the_oracle(self) -> None:
        lease = self.state.leases.get("l")
        if lease is not None:
            assert lease.holder == self.holder
            assert lease.touched == self.touched
        for engine, order in self.state.orders.items():
            assert order.settled is (not self.open[engine])
        assert self.copy.dump() == self.state.dump()


class CallsMachine(stateful.RuleBasedStateMachine):
    """Calls by key across attempts; the first intent claims the call."""

    KEYS = ("k1", "k2")

    def __init__(self) -> None:
        super().__init__()
        self.state = replica.CallsState()
        self.offset = 0
        self.owner: dict[str, str] = {}
        self.phase: dict[str, str] = {}
        self.abandoned: set[str] = set()
        self.ran: dict[str, list[str]] = {"k1": [], "k2": []}
        self.attempts = 0

    def _apply(self, record: replica.Record) -> None:
        self.offset += 1
        self.state.apply(self.offset, replica.Author("a", 1), record)

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def intend(self, key: str) -> None:
        self.attempts += 1
        attempt = f"t{self.attempts}"
        self._apply(replica.Intent(key, attempt, "d"))
        if key not in self.owner and attempt not in self.abandoned:
            self.owner[key] = attempt
            self.phase[key] = "claimed"

    def _pick(self, key: str, own: bool) -> str:
        return self.owner.get(key, "none") if own else "t1"

    @stateful.rule(
        key=strategies.sampled_from(KEYS), own=strategies.booleans()
    )
    def run(self, key: str, own: bool) -> None:
        attempt = self._pick(key, own)
        if self.state.owns(key, attempt) and attempt not in self.abandoned:
            if attempt not in self.ran[key]:
                self.ran[key].append(attempt)

    @stateful.rule(
        key=strategies.sampled_from(KEYS), own=strategies.booleans()
    )
    def answer(self, key: str, own: bool) -> None:
        attempt = self._pick(key, own)
        self._apply(replica.Answer(key, attempt, 200, "t", b"x"))
        if self.owner.get(key) == attempt:
            self.phase[key] = "answered"

    @stateful.rule(
        key=strategies.sampled_from(KEYS), own=strategies.booleans()
    )
    def lose(self, key: str, own: bool) -> None:
        attempt = self._pick(key, own)
        self._apply(replica.AnswerLost(key, attempt))
        if self.owner.get(key) == attempt:
            if self.phase[key] == "claimed":
                self.phase[key] = "lost"

    @stateful.rule(
        key=strategies.sampled_from(KEYS), own=strategies.booleans()
    )
    def abandon(self, key: str, own: bool) -> None:
        attempt = self._pick(key, own)
        if attempt in self.ran[key]:
            return
        self._apply(replica.Abandon(key, attempt))
        self.abandoned.add(attempt)
        if self.owner.get(key) == attempt and self.phase[key] != "answered":
            del self.owner[key], self.phase[key]

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def late_intent_of_an_abandoned_attempt(self, key: str) -> None:
        for attempt in sorted(self.abandoned)[:1]:
            before = self.state.calls.get(key)
            self._apply(replica.Intent(key, attempt, "d"))
            assert self.state.calls.get(key) is before

    @stateful.invariant()
    def agrees_with_the_oracle(self) -> None:
        for key in self.KEYS:
            call = self.state.calls.get(key)
            assert (call is not None) is (key in self.owner)
            if call is not None:
                assert call.attempt == self.owner[key]
                assert call.phase == self.phase[key]
            assert len(self.ran[key]) <= 1 or "t1" in self.ran[key]


TestConfigFuzz = ConfigMachine.TestCase
TestControlFuzz = ControlMachine.TestCase
TestCallsFuzz = CallsMachine.TestCase


@hypothesis.given(strategies.text(max_size=300))
def test_fuzz_any_record_body_is_refused_or_read(body: str) -> None:
    replica.decode_envelope(body)


def test_keys_expire_by_the_offset_of_their_own_intent() -> None:
    state = replica.CallsState()
    author = replica.Author("a", 1)
    state.apply(10, author, replica.Intent("k", "t1", "d"))
    state.apply(11, author, replica.Abandon("k", "t1"))
    state.apply(50, author, replica.Intent("k", "t2", "d"))
    assert state.forget_before(20) == 0
    assert state.owns("k", "t2")
    assert state.forget_before(60) == 1
    assert not state.calls
