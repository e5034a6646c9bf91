"""The daemon ``agatewingd``: one process of the system."""

import argparse
import logging
import pathlib
import signal
import sys

import gevent
import gevent.event
from pythonjsonlogger import json as json_logger
import result

from agatewing import _clock
from agatewing import _compose
from agatewing import config

#: Exit codes.
EXIT_OK = 0
EXIT_CUT = 1
EXIT_SETTINGS = 2
EXIT_PORT = 3


def _parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="agatewingd",
        description="One instance of agatewing.",
        epilog="exit codes: 0 stopped in order; 1 stopped with answers "
        "cut off; 2 faults in the settings; 3 a port cannot be opened",
    )
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    parser.add_argument(
        "--check", action="store_true", help="read the settings and exit"
    )
    parser.add_argument(
        "--log-format", choices=("text", "json"), default="text"
    )
    return parser


def _set_up_logs(level: str, log_format: str) -> None:
    """Send log lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(
            json_logger.JsonFormatter("%(asctime)s %(levelname)s %(message)s")
        )
    else:
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(message)s")
        )
    logging.basicConfig(level=level, handlers=[handler])


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT."""
    args = _parser().parse_args(argv)
    match config.load_settings(args.settings):
        case result.Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return EXIT_SETTINGS
        case result.Ok(settings):
            pass
    if args.check:
        print(f"{args.settings}: no faults")
        return EXIT_OK
    _set_up_logs(settings.log_level, args.log_format)
    try:
        instance = _compose.Instance(
            settings,
            _clock.SystemClock(),
            _compose.real_outside(settings),
        )
        instance.start()
    except OSError as exc:
        print(
            f"cannot open a port of {settings.host}: {exc}; "
            "choose free ports in the settings",
            file=sys.stderr,
        )
        return EXIT_PORT
    return _serve(instance)


def _serve(instance: _compose.Instance) -> int:
    """Wait for a signal, then stop in order."""
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    stop.wait()
    return EXIT_OK if instance.stop() else EXIT_CUT


if __name__ == "__main__":
    raise SystemExit(main())
