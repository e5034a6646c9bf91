"""The step after a failed send, and the shared retry budget."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from agatewing import decisions

Failure = decisions.Failure
NextStep = decisions.NextStep


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    idempotent: bool
    max_targets: int
    failures: tuple[Failure, ...]
    steps: tuple[NextStep, ...]


CASES = {
    "nothing was sent": Case(
        False,
        1,
        (Failure.NOT_SENT, Failure.NOT_SENT),
        (NextStep.ANOTHER_FREE, NextStep.ANOTHER_FREE),
    ),
    "a proof that it did not run allows another target": Case(
        False, 2, (Failure.NOT_RUN,), (NextStep.ANOTHER,)
    ),
    "the route's targets are used up": Case(
        False,
        2,
        (Failure.NOT_RUN, Failure.NOT_RUN),
        (NextStep.ANOTHER, NextStep.REFUSE),
    ),
    "not idempotent: it may have run": Case(
        False, 3, (Failure.UNKNOWN,), (NextStep.FAIL,)
    ),
    "not idempotent: it is overdue": Case(
        False, 3, (Failure.OVERDUE,), (NextStep.FAIL,)
    ),
    "idempotent: it may have run": Case(
        True, 2, (Failure.UNKNOWN,), (NextStep.ANOTHER,)
    ),
    "idempotent: it may have run before a target proves that it did not": Case(
        True,
        2,
        (Failure.UNKNOWN, Failure.NOT_RUN),
        (NextStep.ANOTHER, NextStep.FAIL),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_the_step_after_a_failure(name: str) -> None:
    case = CASES[name]
    attempts = decisions.Attempts(case.idempotent, case.max_targets)
    assert tuple(map(attempts.record_failure, case.failures)) == case.steps


def test_a_kv_cache_that_cannot_be_fetched_costs_no_target() -> None:
    attempts = decisions.Attempts(False, 1)
    step = attempts.record_failure(Failure.NOT_RUN, used_cache=True)
    assert step is NextStep.SAME_WITHOUT_CACHE
    assert attempts.record_failure(Failure.NOT_RUN) is NextStep.REFUSE


@hypothesis.given(
    strategies.booleans(),
    strategies.integers(1, 4),
    strategies.lists(strategies.sampled_from(list(Failure)), max_size=8),
)
def test_fuzz_a_refusal_is_true(
    idempotent: bool, max_targets: int, failures: list[Failure]
) -> None:
    """A request that may have run is never refused.

    It is sent again only if it is idempotent.
    """
    attempts = decisions.Attempts(idempotent, max_targets)
    maybe_ran = False
    for failure in failures:
        step = attempts.record_failure(failure)
        maybe_ran |= failure in (Failure.UNKNOWN, Failure.OVERDUE)
        if step is NextStep.REFUSE:
            assert not maybe_ran
        if step is NextStep.ANOTHER and maybe_ran:
            assert idempotent
        if step in (NextStep.REFUSE, NextStep.FAIL):
            return


class SharedBudgetMachine(stateful.RuleBasedStateMachine):
    """The retries of all instances stay within the bound in any window."""

    RATIO, SLACK, WINDOW, INSTANCES = 0.2, 20.0, 10.0, 4

    def __init__(self) -> None:
        super().__init__()
        bound = decisions.BudgetBound(self.RATIO, self.SLACK, self.WINDOW)
        self.budgets = []
        for _ in range(self.INSTANCES):
            budget = decisions.SharedRetryBudget(bound)
            budget.instances = self.INSTANCES
            self.budgets.append(budget)
        self.now = 100.0
        self.requests: list[float] = []
        self.retries: list[float] = []

    @stateful.rule(
        index=strategies.integers(0, INSTANCES - 1),
        count=strategies.integers(1, 20),
    )
    def request(self, index: int, count: int) -> None:
        for _ in range(count):
            self.budgets[index].record_request("s", self.now)
            self.requests.append(self.now)

    @stateful.rule(
        index=strategies.integers(0, INSTANCES - 1),
        count=strategies.integers(1, 20),
    )
    def retry(self, index: int, count: int) -> None:
        for _ in range(count):
            if self.budgets[index].try_spend("s", self.now):
                self.retries.append(self.now)

    @stateful.rule(seconds=strategies.floats(0.01, 6.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.invariant()
    def bound_holds(self) -> None:
        start = self.now - self.WINDOW
        retries = sum(at > start for at in self.retries)
        requests = sum(at >= start for at in self.requests)
        assert retries <= self.RATIO * requests + self.SLACK


TestSharedBudget = SharedBudgetMachine.TestCase
