"""Runs and scores policies over deployments, scenarios and seeds."""

import concurrent.futures
import dataclasses
import statistics
import typing

from agatewing import decisions
from agatewing.experiment import _policies
from agatewing.experiment import _scenarios
from agatewing.experiment import _sim
from agatewing.experiment import _state

#: Seeds for tuning the policies.
TUNING_SEEDS = (1, 2)
#: Seeds that tuning must not use.
HELD_BACK_SEEDS = (11, 12, 13, 14, 15)
#: Number of worker processes.
WORKERS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one run."""

    #: Name of the deployment.
    deployment: str
    #: Name of the scenario.
    scenario: str
    seed: int
    #: Name of the policy.
    policy: str
    #: Factor on all request rates.
    load: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scored:
    """One run with its score."""

    #: Parameters of the run.
    case: Case
    #: Results of the run.
    outcome: _state.Outcome
    #: Goodput relative to that of the clairvoyant policy, the upper bound.
    goodput_share: float
    #: Role changes relative to those of the eager policy.
    changes_share: float
    #: Weighted goodput share minus weighted share of role changes.
    score: float


def run_case(case: Case) -> _state.Outcome:
    """Run one case; the clairvoyant policy searches its plans first."""
    scenario = _scenarios.SCENARIOS[case.scenario]
    deployment = _scenarios.DEPLOYMENTS[case.deployment]
    policy = _policies.POLICIES[case.policy]
    plans: tuple[decisions.RoleCounts, ...] = ()
    if policy.roles is _policies.Roles.CLAIRVOYANT:
        plans = best_role_plans(case)
    return _sim.Simulation(
        scenario, deployment, policy, case.seed, case.load, plans
    ).run()


def candidate_role_plans(engines: int) -> list[decisions.RoleCounts]:
    """Return the role plans that the clairvoyant policy tries."""
    plans = [decisions.RoleCounts(0, 0, engines)]
    for prefill in range(1, engines * 2 // 3 + 1):
        rest = engines - prefill
        plans.append(decisions.RoleCounts(prefill, rest, 0))
        if prefill <= engines // 2:
            plans.append(decisions.RoleCounts(prefill, 0, rest))
    return plans


def best_role_plans(case: Case) -> tuple[decisions.RoleCounts, ...]:
    """Return the best role plan for each phase.

    Each plan is tried over the whole scenario. For each phase, the plan is
    chosen with which the most requests of that phase are answered in time.
    """
    scenario = _scenarios.SCENARIOS[case.scenario]
    deployment = _scenarios.DEPLOYMENTS[case.deployment]
    policy = _policies.POLICIES["clairvoyant"]
    phases = len(scenario.phases)
    best: list[tuple[int, decisions.RoleCounts]] = []
    for plan in candidate_role_plans(deployment.engines):
        outcome = _sim.Simulation(
            scenario,
            deployment,
            policy,
            case.seed,
            case.load,
            (plan,) * phases,
        ).run()
        for phase, good in enumerate(outcome.good_by_phase):
            if len(best) <= phase:
                best.append((good, plan))
            elif good > best[phase][0]:
                best[phase] = (good, plan)
    return tuple(plan for _, plan in best)


def run_all(cases: list[Case]) -> dict[Case, _state.Outcome]:
    """Run the cases in worker processes."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        return dict(zip(cases, pool.map(run_case, cases), strict=True))


def score_all(outcomes: dict[Case, _state.Outcome]) -> list[Scored]:
    """Score the runs relative to the clairvoyant and the eager policy.

    A run is left out if either of these has no run of the same case.
    """
    scored = []
    for case, outcome in outcomes.items():
        clairvoyant = outcomes.get(
            dataclasses.replace(case, policy="clairvoyant")
        )
        eager = outcomes.get(dataclasses.replace(case, policy="eager"))
        if clairvoyant is None or eager is None:
            continue
        share = outcome.goodput / max(clairvoyant.goodput, 1e-9)
        changes = outcome.role_changes / max(eager.role_changes, 1)
        weight = _scenarios.DEPLOYMENTS[case.deployment].goodput_weight
        score = weight * share - (1 - weight) * changes
        scored.append(Scored(case, outcome, share, changes, score))
    return scored


def table(scored: list[Scored]) -> list[str]:
    """Return a head and a line per deployment, scenario and policy."""
    groups: dict[tuple[str, str, str], list[Scored]] = {}
    for item in scored:
        case = item.case
        key = (case.deployment, case.scenario, case.policy)
        groups.setdefault(key, []).append(item)
    lines = [
        f"{'deployment':10s} {'scenario':13s} {'policy':15s} "
        f"{'goodput/s':>14s} {'of bound':>14s} {'changes':>9s} "
        f"{'score':>7s} {'first p95':>9s} {'token p95':>9s} "
        f"{'refused':>7s} {'late':>6s} {'jain':>6s}"
    ]
    for (deployment, scenario, policy), items in groups.items():
        lines.append(
            f"{deployment:10s} {scenario:13s} {policy:15s} "
            f"{_spread([i.outcome.goodput for i in items]):>14s} "
            f"{_spread([i.goodput_share for i in items], 3):>14s} "
            f"{_mean([i.outcome.role_changes for i in items]):9.1f} "
            f"{_mean([i.score for i in items]):7.3f} "
            f"{_mean([i.outcome.first_p95_s for i in items]):8.2f}s "
            f"{_mean([i.outcome.between_p95_s for i in items]) * 1e3:7.0f}ms "
            f"{_mean([i.outcome.refused for i in items]):7.0f} "
            f"{_mean([i.outcome.late for i in items]):6.0f} "
            f"{_mean([i.outcome.jain for i in items]):6.3f}"
        )
    return lines


def verdicts(scored: list[Scored]) -> list[str]:
    """Return one line per deployment: how many runs met its goals."""
    lines = []
    # Least goodput share and largest share of role changes.
    goals = {"aldeias": (0.95, 1 / 3), "tala": (0.90, 0.1)}
    for deployment, (least, most) in goals.items():
        ours = [
            s
            for s in scored
            if s.case.deployment == deployment and s.case.policy == "agatewing"
        ]
        if not ours:
            continue
        good = sum(s.goodput_share >= least for s in ours)
        few = sum(s.changes_share <= most for s in ours)
        won, lost = _compare(scored, ours)
        lines.append(
            f"{deployment}: goodput at least {least:.0%} of the bound in "
            f"{good}/{len(ours)} runs (mean "
            f"{_mean([s.goodput_share for s in ours]):.1%}, least "
            f"{min(s.goodput_share for s in ours):.1%}); role changes at "
            f"most {most:.0%} of eager's in {few}/{len(ours)}; score not "
            f"below any baseline in {won}/{won + lost}"
        )
    return lines


def _compare(scored: list[Scored], ours: list[Scored]) -> tuple[int, int]:
    """Compare the scores of our runs with those of the baselines.

    Returns the number of runs that score at least as high as every baseline,
    and the number of the others.
    """
    by_case = {s.case: s for s in scored}
    won = lost = 0
    for item in ours:
        baseline_scores = [
            by_case[dataclasses.replace(item.case, policy=name)].score
            for name in _policies.BASELINES
        ]
        if item.score >= max(baseline_scores) - 1e-9:
            won += 1
        else:
            lost += 1
    return won, lost


def _mean(values: typing.Sequence[float]) -> float:
    return statistics.fmean(values)


def _spread(values: list[float], digits: int = 2) -> str:
    """Return the mean and, in parentheses, the maximum minus the minimum."""
    low, high = min(values), max(values)
    mean = statistics.fmean(values)
    return f"{mean:.{digits}f} ({high - low:.{digits}f})"
