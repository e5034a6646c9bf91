"""The daemon ``agatewingd``: runs one instance."""

import argparse
import logging
import pathlib
import sys

from pythonjsonlogger import json as json_logger
import result

from agatewing import _clock
from agatewing import _compose
from agatewing import _program
from agatewing import config


def _parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = _program.make_parser("agatewingd", "One instance of agatewing.")
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    parser.add_argument(
        "--log-format", choices=("text", "json"), default="text"
    )
    return parser


def _configure_logging(level: str, log_format: str) -> None:
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
    """Run the daemon until SIGTERM or SIGINT; return its exit code."""
    args = _parser().parse_args(argv)
    loaded = config.load_settings(args.settings)
    match _program.settings_or_exit(loaded, args.settings, args.check):
        case result.Err(code):
            return code
        case result.Ok(settings):
            pass
    _configure_logging(settings.log_level, args.log_format)
    try:
        instance = _compose.Instance(
            settings,
            _clock.SystemClock(),
            _compose.network_dependencies(settings),
        )
        instance.start()
    except OSError as exc:
        return _program.report_port_error(settings.host, exc)
    _program.wait_for_stop()
    return _program.EXIT_OK if instance.stop() else _program.EXIT_REQUESTS_CUT


if __name__ == "__main__":
    raise SystemExit(main())
