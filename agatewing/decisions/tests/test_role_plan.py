"""The number of engines that decode, and which engines change roles."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import _types
from agatewing import decisions

P = _types.Role.PREFILL
D = _types.Role.DECODE
SHARE = 0.42


def engines(*roles: _types.Role) -> list[decisions.RolePlanEngine]:
    """Return engines that alternate between two zones."""
    return [
        decisions.RolePlanEngine(f"e{number}", f"z{number % 2}", role)
        for number, role in enumerate(roles)
    ]


def plan(
    present: list[decisions.RolePlanEngine], share: float
) -> tuple[decisions.RoleMove, ...]:
    """Return the plan by which a share of the engines decodes."""
    count = len(present)
    wanted = max(decisions.MIN_DECODE_ENGINES, int(count * share + 0.5))
    if count > 1:
        wanted = min(wanted, count - 1)
    return decisions.plan_roles(present, min(wanted, count))


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    roles: tuple[_types.Role, ...]
    moves: dict[str, _types.Role]


CASES = {
    "no engines": Case((), {}),
    "a single engine keeps its role": Case((D,), {}),
    "two engines: one of each": Case((D, D), {"e0": P}),
    "three engines: two decode, so one may be lost": Case(
        (D, P, P), {"e1": D}
    ),
    # As the site abastecer-rede starts; prompts are its bottleneck.
    "five engines as they start: one more prefills": Case(
        (P, P, D, D, D), {"e2": P}
    ),
    # As the site tala-ops starts.
    "nine engines as they start: two more prefill": Case(
        (P, P, P, D, D, D, D, D, D), {"e4": P, "e3": P}
    ),
    "a decode engine was lost": Case((P, P, P, D), {"e0": D}),
    "as planned": Case((P, P, P, D, D), {}),
}


@pytest.mark.parametrize("name", CASES)
def test_moves(name: str) -> None:
    case = CASES[name]
    moves = plan(engines(*case.roles), SHARE)
    assert {m.engine: m.role for m in moves} == case.moves


def test_an_engine_with_an_outstanding_order_is_chosen_again() -> None:
    present = engines(P, P, D, D, D)
    present[4] = dataclasses.replace(present[4], ordered=True)
    (move,) = plan(present, SHARE)
    assert move.engine == "e4"


def test_an_idle_engine_changes_before_a_busy_one() -> None:
    present = engines(P, P, D, D, D)
    present[2] = dataclasses.replace(present[2], sequences=9)
    (move,) = plan(present, SHARE)
    assert move.engine == "e4"


@hypothesis.given(
    strategies.lists(strategies.sampled_from((P, D)), max_size=30),
    strategies.floats(0.01, 0.99),
)
def test_a_plan_that_was_carried_out_needs_no_moves(
    roles: list[_types.Role], share: float
) -> None:
    present = {e.name: e for e in engines(*roles)}
    for move in plan(list(present.values()), share):
        old = present[move.engine]
        assert old.role is not move.role
        present[move.engine] = dataclasses.replace(old, role=move.role)
    assert plan(list(present.values()), share) == ()
    if len(present) > 1:
        assert {e.role for e in present.values()} == {P, D}


def versions(text: str) -> list[decisions.RolePlanEngine]:
    """Return engines written like ``a:D``, with their software version."""
    roles = {"P": P, "D": D}
    return [
        decisions.RolePlanEngine(
            f"e{number}", "z", roles[role], software=software
        )
        for number, (software, _, role) in enumerate(
            word.partition(":") for word in text.split()
        )
    ]


def carry_out(
    present: list[decisions.RolePlanEngine],
) -> list[decisions.RolePlanEngine]:
    """Return the engines after one plan was carried out."""
    moves = {m.engine: m.role for m in plan(present, SHARE)}
    return [
        dataclasses.replace(e, role=moves.get(e.name, e.role)) for e in present
    ]


# The engines that decoded were of two versions. When one crashed, the streams
# of its version could go on nowhere, though others of its version served.
@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("a:D a:P a:P b:D b:P", "a:D a:D a:P b:P b:P"),
        ("a:D a:P b:P b:D b:P", "a:P a:P b:D b:D b:P"),
        # The other version has no engine to spare.
        ("a:D b:D b:P b:P c:P", "a:P b:D b:D b:P c:P"),
        # Neither has.
        ("a:D b:D c:P c:P c:P", "a:D b:D c:P c:P c:P"),
        # A decode engine was lost.
        ("a:D a:P b:P b:P", "a:D a:D b:P b:P"),
        ("a:P b:P b:P c:P c:P c:P", "a:P b:P b:P c:D c:D c:D"),
        # Three are wanted; two pairs are kept rather than split.
        ("a:D a:D a:P a:P b:D b:P b:P", "a:D a:D a:P a:P b:D b:D b:P"),
        # Too many decode.
        ("a:D a:D b:D b:P b:P", "a:D a:D b:P b:P b:P"),
    ],
)
def test_a_version_that_decodes_has_two_decode_engines(
    before: str, after: str
) -> None:
    present = versions(before)
    for _ in range(4):
        present = carry_out(present)
    assert present == versions(after)


# The single engine of a version was ordered to prefill while the one that was
# to replace it still changed its role.
@pytest.mark.parametrize(("ordered", "moves"), [(True, []), (False, ["e2"])])
def test_an_engine_decodes_until_its_replacement_does(
    ordered: bool, moves: list[str]
) -> None:
    present = versions("a:D a:D b:D a:P b:P")
    present[1] = dataclasses.replace(present[1], ordered=ordered)
    moves_planned = plan(present, SHARE)
    assert [move.engine for move in moves_planned] == moves


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.sampled_from("PD")
        ),
        min_size=3,
        max_size=12,
    )
)
def test_plans_with_several_versions_come_to_rest(
    drawn: list[tuple[str, str]],
) -> None:
    present = versions(" ".join(":".join(pair) for pair in drawn))
    for _ in range(len(present) + 2):
        present = carry_out(present)
    assert plan(present, SHARE) == ()
    assert {e.role for e in present} == {P, D}
