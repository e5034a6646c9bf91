"""The daemon ``agatewing-gatewayd``: one instance on a platform."""

import argparse
import logging
import os
import pathlib
import random
import signal
import sys

import gevent
import gevent.event
import result

from agatewing import _clock
from agatewing import gateway
from agatewing import platform

_log = logging.getLogger("agatewing.daemon")

#: Exit codes, the same as those of ``agatewingd``.
EXIT_OK = 0
EXIT_CUT = 1
EXIT_SETTINGS = 2
EXIT_PORT = 3
#: Time between two looks at the settings file, in seconds: a change has to
#: be followed within two.
LOOK_PERIOD_S = 1.0


def _parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="agatewing-gatewayd",
        description="One instance of agatewing on a platform.",
        epilog="exit codes: 0 stopped in order; 1 stopped with answers "
        "cut off; 2 faults in the settings; 3 a port cannot be opened",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=os.environ.get("AGATEWING_CONFIG"),
        help="file of JSON with comments; default: $AGATEWING_CONFIG",
    )
    parser.add_argument(
        "--check", action="store_true", help="read the settings and exit"
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT."""
    parser = _parser()
    args = parser.parse_args(argv)
    if args.settings is None:
        parser.error("name a file with --settings or AGATEWING_CONFIG")
    match gateway.load_gateway_settings(pathlib.Path(args.settings)):
        case result.Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return EXIT_SETTINGS
        case result.Ok(settings):
            pass
    if args.check:
        print(f"{args.settings}: no faults")
        return EXIT_OK
    return _run(settings, pathlib.Path(args.settings))


def _run(settings: gateway.GatewaySettings, path: pathlib.Path) -> int:
    """Serve until a signal, then stop in order."""
    clock = _clock.SystemClock()
    gateway.Logs(clock, settings.instance, settings.log_level)
    try:
        instance = gateway.GatewayInstance(
            settings,
            clock,
            platform.connect(settings.log_address),
            random.Random(),
        )
        instance.start()
    except OSError as exc:
        print(
            f"cannot open a port of {settings.caller_address}: {exc}; "
            "choose free ports in the settings",
            file=sys.stderr,
        )
        return EXIT_PORT
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, _reload, instance, path)
    gevent.spawn(_watch_file, instance, path, clock)
    stop.wait()
    return EXIT_OK if instance.stop() else EXIT_CUT


def _watch_file(
    instance: gateway.GatewayInstance,
    path: pathlib.Path,
    clock: _clock.Clock,
) -> None:
    """Notice settings that change without a signal."""
    known = _text_of(path)
    while True:
        clock.sleep(LOOK_PERIOD_S)
        text = _text_of(path)
        if text != known:
            known = text
            _reload(instance, path)


def _text_of(path: pathlib.Path) -> str | None:
    """Return the text of a file; ``None`` while it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _log.warning("daemon: settings cannot be read: %s", exc)
        return None


def _reload(instance: gateway.GatewayInstance, path: pathlib.Path) -> None:
    """Take changed settings in; faulty ones leave the old in force."""
    match gateway.load_gateway_settings(path):
        case result.Err(faults):
            for fault in faults:
                _log.error("daemon: settings not taken: %s", fault)
        case result.Ok(settings):
            instance.reload(settings)


if __name__ == "__main__":
    raise SystemExit(main())
