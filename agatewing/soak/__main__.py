"""Runs soak episodes from the command line."""

import argparse
import collections
import sys
import time

from agatewing import soak
from agatewing import timeline

#: Distance between the first episode seeds of two soak runs.
SEED_STRIDE = 100_000


def main(argv: list[str] | None = None) -> int:
    """Run episodes; return 1 if a promise was broken, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument(
        "--duration", type=float, default=60.0, help="seconds to run"
    )
    parser.add_argument(
        "--episode", type=int, help="run just the episode of this seed"
    )
    args = parser.parse_args(argv)
    if args.episode is not None:
        return _report([soak.run_episode(args.episode)], 0.0)
    results: list[soak.EpisodeResult] = []
    started = time.monotonic()
    while time.monotonic() - started < args.duration:
        seed = args.seed * SEED_STRIDE + len(results)
        results.append(soak.run_episode(seed))
        if results[-1].violations:
            print(f"episode {seed} broke a promise", file=sys.stderr)
    return _report(results, time.monotonic() - started)


def _report(results: list[soak.EpisodeResult], seconds: float) -> int:
    """Print violations and counts of the runs; return the exit status."""
    faults: collections.Counter[str] = collections.Counter()
    outcomes: collections.Counter[str] = collections.Counter()
    for item in results:
        faults.update(item.faults)
        outcomes.update(item.outcomes)
    virtual = sum(item.seconds for item in results)
    failed = [item for item in results if item.violations]
    for item in failed[:3]:
        print(timeline.render_text(item.events))
        print(f"episode {item.seed} broke:")
        for line in item.violations[:10]:
            print(f"  {line}")
        print(f"repeat: python -m agatewing.soak --episode {item.seed}")
    print(
        f"{len(results)} episodes, {virtual:.0f} virtual seconds "
        f"in {seconds:.0f} s, {len(failed)} failed"
    )
    print("faults: " + _counts(faults))
    print("calls: " + _counts(outcomes))
    print(
        f"versions {sum(r.versions for r in results)}, "
        f"orders {sum(r.orders for r in results)}"
    )
    return 1 if failed else 0


def _counts(counter: collections.Counter[str]) -> str:
    """Return the counts as text, sorted by name."""
    return ", ".join(f"{name} {n}" for name, n in sorted(counter.items()))


if __name__ == "__main__":
    raise SystemExit(main())
