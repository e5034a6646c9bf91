"""Runs the demo from the command line."""

import argparse
import pathlib
import random
import sys
import time

import gevent

from agatewing.demo import _faults
from agatewing.demo import _report
from agatewing.demo import _traffic
from agatewing import harness

#: Time over which the processor use of idle instances is measured, in
#: seconds.
IDLE_S = 3.0
SEED = 11


def main(argv: list[str] | None = None) -> int:
    """Run the demo; return 1 if a promise was broken, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(_traffic.PLANS), default="aldeias"
    )
    parser.add_argument("--faults", type=int, choices=(0, 1), default=0)
    parser.add_argument(
        "--examples", type=pathlib.Path, default=pathlib.Path("examples")
    )
    args = parser.parse_args(argv)
    inventory = args.examples / f"{args.deployment}.jsonc"
    with harness.Deployment(inventory) as deployment:
        return _run(deployment, args.deployment, bool(args.faults))


def _run(deployment: harness.Deployment, name: str, with_faults: bool) -> int:
    """Run the traffic and print the report; return the exit status."""
    _print_progress(f"starting {len(deployment.all_processes())} processes")
    deployment.start()
    ready_s = deployment.wait_ready(deployment.version)
    _print_progress(
        f"version {deployment.version} in force after {ready_s:.1f} s"
    )
    idle_cpu = _idle_cpu(deployment)
    balancer = harness.Balancer(deployment, SEED)
    balancer.start()
    clients = [
        harness.LoadClient(balancer, token, random.Random(f"{SEED}{caller}"))
        for caller, token in deployment.tokens.items()
    ]
    traffic = _traffic.Traffic(_traffic.PLANS[name], clients, SEED)
    script = _faults.FaultScript(deployment) if with_faults else None
    faults = gevent.spawn(script.run) if script else None
    _print_progress("sending requests while the mix shifts")
    started = time.monotonic()
    traffic.run()
    duration_s = time.monotonic() - started
    if faults is not None:
        faults.join(timeout=30)
    balancer.stop()
    figures = script.figures if script else None
    report = _report.Report(deployment, traffic, duration_s, idle_cpu, figures)
    print(_report.render(report.rows()))
    broken = report.broken()
    for line in broken:
        print(f"BROKEN {line}")
    print("no promise was broken" if not broken else "promises were broken")
    return 1 if broken else 0


def _idle_cpu(deployment: harness.Deployment) -> dict[str, float]:
    """Return the share of a core that each instance uses while idle."""
    before = {n: deployment.status(n) for n in deployment.instances}
    gevent.sleep(IDLE_S)
    after = {n: deployment.status(n) for n in deployment.instances}
    return {
        n: (after[n]["cpu_s"] - before[n]["cpu_s"]) / IDLE_S
        for n in deployment.instances
    }


def _print_progress(text: str) -> None:
    """Print a progress message on standard error."""
    print(f"demo: {text}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    raise SystemExit(main())
