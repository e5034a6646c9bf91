"""Command line of the stand-ins."""

import argparse

from agatewing.standins import engine
from agatewing.standins import instances
from agatewing.standins import log
from agatewing.standins import service
from agatewing.standins import weights

_STANDINS = {
    "log": log,
    "instances": instances,
    "weights": weights,
    "engine": engine,
    "service": service,
}


def main(argv: list[str] | None = None) -> int:
    """Run one stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="agatewing-standin",
        description="Small stand-ins of targets and platform services.",
    )
    commands = parser.add_subparsers(dest="part", required=True)
    for name, module in _STANDINS.items():
        sub = commands.add_parser(name, help=module.__doc__)
        sub.add_argument("--host", default="127.0.0.1")
        sub.add_argument("--port", type=int, default=0)
        module.add_arguments(sub)
    args = parser.parse_args(argv)
    _STANDINS[args.part].run(args)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
