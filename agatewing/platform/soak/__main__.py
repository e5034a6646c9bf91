"""Command line: ``python -m agatewing.platform.soak``."""

import argparse
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
    args = parser.parse_args()
    end = time.monotonic() + args.duration
    seed, failed = args.seed, 0
    while time.monotonic() < end:
        verdict = _episode.Episode(seed, args.episode).run()
        state = "broken" if verdict.broken else "held"
        print(f"seed {seed}: {state}; replies {verdict.statuses}", flush=True)
        if verdict.broken:
            failed += 1
            for line in (*verdict.faults, *verdict.broken):
                print(f"  {line}")
            print(f"  again: make soak-processes SEED={seed} DURATION=1")
        seed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
