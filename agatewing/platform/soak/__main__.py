"""Command line: ``python -m agatewing.platform.soak``."""

import argparse
import pathlib
import sys
import time

from agatewing.platform.soak import _episode


def main() -> int:
    """Run one seed after the other until the time is over."""
    parser = argparse.ArgumentParser(
        prog="agatewing.platform.soak", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--episode", type=float, default=10.0)
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="folder that keeps the instances' logs; lists failed requests",
    )
    args = parser.parse_args()
    if args.logs is not None:
        args.logs.mkdir(parents=True, exist_ok=True)
    end = time.monotonic() + args.duration
    seed, failed = args.seed, 0
    while time.monotonic() < end:
        verdict = _episode.Episode(seed, args.episode, args.logs).run()
        state = "broken" if verdict.broken else "held"
        print(f"seed {seed}: {state}; replies {verdict.statuses}", flush=True)
        if args.logs is not None:
            for line in (*verdict.faults, *verdict.failed):
                print(f"  {line}")
        if verdict.broken:
            failed += 1
            for line in (*verdict.faults, *verdict.broken):
                print(f"  {line}")
            print(f"  again: make soak-processes SEED={seed} DURATION=1")
        seed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
