"""Command line: ``python -m agatewing.platform.soak``."""

import argparse
import pathlib
import sys
import time

from agatewing.platform.soak import _episode


def main() -> int:
    """Run one episode per seed until the duration is over.

    Returns 1 if any episode broke a promise, otherwise 0.
    """
    parser = argparse.ArgumentParser(
        prog="agatewing.platform.soak", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--episode", type=float, default=10.0)
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="folder for the instances' logs; also prints failed requests",
    )
    parser.add_argument(
        "--only",
        nargs="+",
        default=(),
        help="draw only faults whose names begin so, for example: silence",
    )
    args = parser.parse_args()
    if args.logs is not None:
        args.logs.mkdir(parents=True, exist_ok=True)
    deadline = time.monotonic() + args.duration
    seed, failed = args.seed, 0
    while time.monotonic() < deadline:
        verdict = _episode.Episode(
            seed, args.episode, args.logs, tuple(args.only)
        ).run()
        broken = (*verdict.violations, *verdict.late)
        state = "broken" if broken else "held"
        print(f"seed {seed}: {state}; replies {verdict.statuses}", flush=True)
        if args.logs is not None:
            for line in (*verdict.faults, *verdict.failed):
                print(f"  {line}")
        if broken:
            failed += 1
            for line in (*verdict.faults, *broken):
                print(f"  {line}")
            print(f"  again: make soak-processes SEED={seed} DURATION=1")
        seed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
