"""Command line of the benchmarks."""

import argparse
import pathlib

import msgspec

from agatewing.bench import _capacity
from agatewing.bench import _entry
from agatewing.bench import _rounds
from agatewing.bench import _slopes

#: Directory of the stored figures.
FIGURES_DIR = pathlib.Path("docs/measurements")


def main(argv: list[str] | None = None) -> int:
    """Measure or compute figures, print them and, on request, store them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "what", choices=("entry", "slopes", "capacity", "rounds")
    )
    parser.add_argument(
        "--store", action="store_true", help=f"write JSON to {FIGURES_DIR}"
    )
    args = parser.parse_args(argv)
    if args.what == "rounds":
        print(_rounds.draw_chart(FIGURES_DIR))
        return 0
    if args.what == "entry":
        inventory = pathlib.Path("examples/aldeias.jsonc")
        figures = _entry.EntryBench(inventory).run()
    elif args.what == "slopes":
        figures = _slopes.measure_all()
    else:
        figures = _capacity.compute(FIGURES_DIR)
    for figure in figures:
        print(f"{figure.name:55s} {figure.value:12.2f} {figure.unit}")
    if args.store:
        FIGURES_DIR.mkdir(parents=True, exist_ok=True)
        encoded = msgspec.json.format(msgspec.json.encode(figures), indent=2)
        (FIGURES_DIR / f"{args.what}.json").write_bytes(encoded + b"\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
