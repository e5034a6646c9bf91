"""Fair queue, admission, routing, outliers, retries and role planning."""

import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from agatewing import _types
from agatewing import decisions


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Order within a caller, cancelling and counts of the fair queue."""

    WEIGHTS: typing.ClassVar = {"a": 1.0, "b": 1.0, "c": 3.0}
    LARGEST = 10.0

    def __init__(self) -> None:
        super().__init__()
        self.queue: decisions.FairQueue[int] = decisions.FairQueue()
        self.entries: list[decisions.Entry[int]] = []
        self.order: dict[str, list[int]] = {n: [] for n in self.WEIGHTS}
        self.number = 0

    @stateful.rule(
        caller=strategies.sampled_from(["a", "b", "c"]),
        cost=strategies.floats(0.1, 10.0),
    )
    def push(self, caller: str, cost: float) -> None:
        self.number += 1
        self.entries.append(
            self.queue.push(caller, self.WEIGHTS[caller], cost, self.number)
        )
        self.order[caller].append(self.number)

    @stateful.rule()
    def pop(self) -> None:
        expected = self.queue.peek()
        entry = self.queue.pop()
        assert entry is expected
        if entry is None:
            assert not any(self.order.values())
            return
        assert self.order[entry.caller].pop(0) == entry.item
        self.entries.remove(entry)

    @stateful.rule(index=strategies.integers(0, 100))
    def cancel(self, index: int) -> None:
        if not self.entries:
            return
        entry = self.entries.pop(index % len(self.entries))
        assert self.queue.cancel(entry)
        assert not self.queue.cancel(entry)
        self.order[entry.caller].remove(entry.item)

    @stateful.rule(
        caller=strategies.sampled_from(["a", "b", "c"]),
        cost=strategies.floats(-5.0, 5.0),
    )
    def adjust_charge(self, caller: str, cost: float) -> None:
        self.queue.adjust_charge(caller, cost)

    @stateful.invariant()
    def counts_agree(self) -> None:
        assert len(self.queue) == len(self.entries)
        cost = sum(e.cost for e in self.entries)
        assert self.queue.backlog == pytest.approx(cost, abs=1e-6)


TestFairQueueFuzz = FairQueueMachine.TestCase


@hypothesis.given(strategies.integers(0, 2**32), strategies.floats(0.2, 5.0))
def test_fuzz_two_backlogged_callers_are_served_by_their_weights(
    seed: int, weight: float
) -> None:
    """The weighted service differs by one largest request of each at most."""
    rng = random.Random(seed)
    queue: decisions.FairQueue[int] = decisions.FairQueue()
    weights = {"quiet": weight, "surge": 1.0}
    largest = 10.0
    for name in weights:
        for number in range(300):
            cost = rng.uniform(0.1, largest)
            queue.push(name, weights[name], cost, number)
    served = dict.fromkeys(weights, 0.0)
    for _ in range(200):
        entry = queue.pop()
        assert entry is not None
        served[entry.caller] += entry.cost
        weighted = {n: served[n] / weights[n] for n in weights}
        bound = sum(largest / weights[n] for n in weights)
        assert abs(weighted["quiet"] - weighted["surge"]) <= bound + 1e-6


def test_a_quiet_caller_is_served_during_a_surge() -> None:
    queue: decisions.FairQueue[str] = decisions.FairQueue()
    for _ in range(1_000):
        queue.push("surge", 1.0, 5.0, "surge")
    for _ in range(10):
        queue.pop()
    queue.push("quiet", 1.0, 5.0, "quiet")
    served = [entry.item for entry in (queue.pop(), queue.pop()) if entry]
    assert "quiet" in served


QUEUE_STATE = decisions.QueueState(0.0, 0.0, 1.0, 1.0, 0, 10)


@pytest.mark.parametrize(
    ("changes", "service_s", "remaining_s", "kind"),
    [
        ({}, 1.0, 5.0, decisions.Admit),
        ({}, 5.0, 5.0, decisions.TooLate),
        (
            {"own_backlog_s": 9.0, "backlog_s": 9.0},
            1.0,
            5.0,
            decisions.TooLate,
        ),
        (
            {"own_backlog_s": 0.0, "backlog_s": 9.0},
            1.0,
            5.0,
            decisions.Admit,
        ),
        ({"length": 10}, 0.1, 5.0, decisions.QueueFull),
    ],
    ids=["idle", "too late", "own backlog", "other's backlog", "full"],
)
def test_admission(
    changes: dict[str, typing.Any],
    service_s: float,
    remaining_s: float,
    kind: type,
) -> None:
    import dataclasses

    queue_state = dataclasses.replace(QUEUE_STATE, **changes)
    decision = decisions.admit(queue_state, service_s, remaining_s)
    assert isinstance(decision, kind)
    if not isinstance(decision, decisions.Admit):
        assert decision.retry_after_s >= 1.0


def _load(name: str, **changes: typing.Any) -> decisions.EngineLoad:
    return decisions.EngineLoad(name, "z", **changes)


SHORT = decisions.RequestProfile(100, 50, "z")
LONG = decisions.RequestProfile(6_000, 50, "z")


@pytest.mark.parametrize(
    ("profile", "loads", "expected"),
    [
        (SHORT, [], None),
        (SHORT, [_load("a", routable=False)], None),
        (SHORT, [_load("a", credits=0)], None),
        (SHORT, [_load("a", reported_sequences=30), _load("b")], "b"),
        (SHORT, [_load("a", reported_tokens=9_000.0), _load("b")], "b"),
        (SHORT, [_load("a", unreported_tokens=9e3), _load("b")], "b"),
        (SHORT, [_load("a", role=_types.Role.PREFILL), _load("b")], "b"),
        (SHORT, [_load("a", role=_types.Role.PREFILL)], "a"),
        (
            decisions.RequestProfile(6_000, 50, "z", {"a": 5_900}),
            [_load("a"), _load("b")],
            "a",
        ),
    ],
)
def test_routing_to_one_engine(
    profile: decisions.RequestProfile,
    loads: list[decisions.EngineLoad],
    expected: str | None,
) -> None:
    for seed in range(20):
        route = decisions.Router(random.Random(seed)).choose(profile, loads)
        if expected is None:
            assert route is None
        else:
            assert isinstance(route, decisions.Single)
            assert route.engine == expected


def test_a_long_prompt_is_split_over_two_engines() -> None:
    loads = [
        _load("p", role=_types.Role.PREFILL),
        _load("d", role=_types.Role.DECODE, reported_sequences=16),
    ]
    route = decisions.Router(random.Random(1)).choose(LONG, loads)
    assert isinstance(route, decisions.Split)
    assert (route.prefill, route.decode) == ("p", "d")


def test_outdated_reports_do_not_send_all_instances_to_one_engine() -> None:
    """All instances see the same outdated report of an idle engine.

    If each chose that engine, it would be overloaded.
    """
    counts: dict[str, int] = {}
    for seed in range(600):
        loads = [
            _load(f"e{n}", reported_sequences=0 if n == 0 else 2)
            for n in range(20)
        ]
        route = decisions.Router(random.Random(seed)).choose(SHORT, loads)
        assert isinstance(route, decisions.Single)
        counts[route.engine] = counts.get(route.engine, 0) + 1
    assert counts["e0"] <= 600 * 0.25
    assert len(counts) >= 15


def test_a_slow_engine_gets_less_traffic_until_it_recovers() -> None:
    measured = {name: decisions.SmoothedRatio() for name in "abcd"}
    for step in range(40):
        for name, ratio in measured.items():
            ratio.observe(6.0 if name == "d" else 1.0, float(step))
    shares = decisions.traffic_shares(measured, 40.0)
    assert shares["a"] == 1.0
    assert 0 < shares["d"] < 0.2
    later = decisions.traffic_shares(measured, 40.0 + 300.0)
    assert later["d"] == 1.0


def test_retries_never_multiply_load() -> None:
    budget = decisions.RetryBudget(random.Random(1))
    for _ in range(200):
        budget.try_spend()
    allowed = 0
    for _ in range(1_000):
        budget.record_first_try()
        for _ in range(3):
            allowed += budget.try_spend()
    assert allowed <= 1_000 * 0.1 + 10
    assert budget.refused > 0
    assert all(0 <= budget.backoff_s(n) <= 1.0 for n in range(1, 12))


ALL = tuple(_types.Role)


def _engines(*roles: _types.Role) -> list[decisions.PlannedEngine]:
    return [
        decisions.PlannedEngine(f"e{n}", role, ALL)
        for n, role in enumerate(roles)
    ]


P, D, M = _types.Role.PREFILL, _types.Role.DECODE, _types.Role.MIXED


def _plan_until_change(
    planner: decisions.RolePlanner,
    demand: decisions.TokenDemand,
    engines: list[decisions.PlannedEngine],
) -> decisions.RoleDecision:
    decision: decisions.RoleDecision = decisions.KeepRoles(0.0)
    for step in range(30):
        decision = planner.plan(
            demand, engines, decisions.Speed(), 100.0 + 2.0 * step
        )
        if isinstance(decision, decisions.ChangeRole):
            break
    return decision


def test_a_role_changes_for_lasting_demand_that_is_not_served() -> None:
    planner = decisions.RolePlanner(decisions.RolePolicy(1.0))
    demand = decisions.TokenDemand(1_000.0, 9_000.0)
    decision = _plan_until_change(planner, demand, _engines(P, P, P, P, M))
    assert isinstance(decision, decisions.ChangeRole)
    assert decision.role in (D, M)
    assert decision.served_after > decision.served


@pytest.mark.parametrize(
    ("policy", "engines", "demand"),
    [
        (decisions.RolePolicy(0.8), _engines(M, M, M), (500.0, 100.0)),
        (decisions.RolePolicy(0.0), _engines(P, P, P, M), (100.0, 9_000.0)),
        (decisions.RolePolicy(1.0, floor=4), _engines(P, P, P, M), (1e5, 1.0)),
    ],
    ids=["served already", "goodput has no weight", "floor"],
)
def test_roles_are_kept(
    policy: decisions.RolePolicy,
    engines: list[decisions.PlannedEngine],
    demand: tuple[float, float],
) -> None:
    planner = decisions.RolePlanner(policy)
    decision = _plan_until_change(
        planner, decisions.TokenDemand(*demand), engines
    )
    assert isinstance(decision, decisions.KeepRoles)


def test_one_role_change_at_a_time() -> None:
    import dataclasses

    planner = decisions.RolePlanner(decisions.RolePolicy(1.0))
    engines = _engines(P, P, P, P, M)
    engines[0] = dataclasses.replace(engines[0], changeable=False)
    demand = decisions.TokenDemand(1_000.0, 9_000.0)
    decision = _plan_until_change(planner, demand, engines)
    assert isinstance(decision, decisions.KeepRoles)


def test_hints_of_cached_prefixes_expire_and_can_be_removed() -> None:
    index = decisions.PrefixIndex()
    index.add("a", (1, 2, 3), 0.0)
    index.add("b", (1, 2), 0.0)
    assert index.match((1, 2, 3, 4), 64, 1.0) == {"a": 192, "b": 128}
    index.remove("a", (2,))
    assert index.match((1, 2, 3), 64, 1.0) == {"a": 64, "b": 128}
    assert index.match((1, 2, 3), 64, 1e6) == {}


# A stream that a caller took up was refused as if its whole answer were still
# to come.
@pytest.mark.parametrize(
    ("delivered", "prompt", "output"),
    [(0, 100, 50), (30, 130, 20), (50, 149, 1), (900, 149, 1), (-1, 100, 50)],
)
def test_delivered_tokens_are_no_longer_to_come(
    delivered: int, prompt: int, output: int
) -> None:
    whole = decisions.RequestProfile(100, 50, "z", software="v1")
    left = decisions.remaining_profile(whole, delivered)
    assert (left.prompt_tokens, left.output_tokens) == (prompt, output)
    assert left.kv_tokens == whole.kv_tokens
    assert left.software == "v1"
