"""Command line of the experiment."""

import argparse
import pathlib
import time

import msgspec

from agatewing.experiment import _policies
from agatewing.experiment import _run
from agatewing.experiment import _scenarios

OUTPUT_DIR = pathlib.Path("docs/measurements")


def main(argv: list[str] | None = None) -> int:
    """Run, print and store the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", choices=("tuning", "held-back"))
    parser.add_argument("--scenarios", default="")
    parser.add_argument("--deployments", default="")
    parser.add_argument("--policies", default="")
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--store", default="", metavar="NAME")
    args = parser.parse_args(argv)
    started = time.monotonic()
    cases = _cases(args)
    outcomes = _run.run_all(cases)
    scored = _run.score_all(outcomes)
    lines = [*_run.table(scored), *_run.verdicts(scored)]
    print("\n".join(lines))
    print(f"{len(cases)} runs in {time.monotonic() - started:.0f} s")
    if args.store:
        _store(args.store, lines, scored)
    return 0


def _cases(args: argparse.Namespace) -> list[_run.Case]:
    """Return the runs selected by the arguments."""
    seeds: tuple[int, ...] = _run.TUNING_SEEDS
    if args.seeds == "held-back":
        seeds = _run.HELD_BACK_SEEDS
    scenarios = (
        args.scenarios.split(",")
        if args.scenarios
        else [
            name
            for name, scenario in _scenarios.SCENARIOS.items()
            if args.seeds == "held-back" or not scenario.held_back
        ]
    )
    deployments = (
        args.deployments.split(",")
        if args.deployments
        else list(_scenarios.DEPLOYMENTS)
    )
    policies = (
        args.policies.split(",") if args.policies else list(_policies.POLICIES)
    )
    return [
        _run.Case(deployment, scenario, seed, policy, args.load)
        for deployment in deployments
        for scenario in scenarios
        for policy in policies
        for seed in seeds
    ]


def _store(name: str, lines: list[str], scored: list[_run.Scored]) -> None:
    """Write the tables, the scored runs as JSON and a plot to files."""
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    (OUTPUT_DIR / f"{name}.txt").write_text("\n".join(lines) + "\n")
    encoded = msgspec.json.format(msgspec.json.encode(scored), indent=1)
    (OUTPUT_DIR / f"{name}.json").write_bytes(encoded + b"\n")
    _plot(OUTPUT_DIR / f"{name}.svg", scored)


def _plot(path: pathlib.Path, scored: list[_run.Scored]) -> None:
    """Draw goodput over role changes, one point per run."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for axis, deployment in zip(axes, _scenarios.DEPLOYMENTS, strict=True):
        for policy in _policies.POLICIES:
            plotted = [
                s
                for s in scored
                if s.case.deployment == deployment and s.case.policy == policy
            ]
            axis.scatter(
                [s.outcome.role_changes for s in plotted],
                [s.goodput_share for s in plotted],
                s=14,
                label=policy,
            )
        axis.set_title(deployment)
        axis.set_xlabel("role changes")
        axis.set_ylabel("goodput over the bound")
    axes[1].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    raise SystemExit(main())
