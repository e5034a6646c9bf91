"""Daemon ``agatewing-gatewayd``: runs one instance on a platform."""

import argparse
import logging
import os
import pathlib
import random
import signal

import gevent
import result

from agatewing import _clock
from agatewing import _program
from agatewing import gateway
from agatewing import platform

_log = logging.getLogger("agatewing.daemon")

#: Time between two checks of the settings file, in seconds: a change has to
#: take effect within two seconds.
FILE_CHECK_PERIOD_S = 1.0


def _parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = _program.make_parser(
        "agatewing-gatewayd", "One instance of agatewing on a platform."
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=os.environ.get("AGATEWING_CONFIG"),
        help="file of JSON with comments; default: $AGATEWING_CONFIG",
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT; return the exit status."""
    # Until the settings can be reloaded; a change is found without a signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = _parser()
    args = parser.parse_args(argv)
    if args.settings is None:
        parser.error("name a file with --settings or AGATEWING_CONFIG")
    path = pathlib.Path(args.settings)
    text = _read_text(path)
    loaded = gateway.load_gateway_settings(path)
    match _program.settings_or_exit(loaded, path, args.check):
        case result.Err(code):
            return code
        case result.Ok(settings):
            return _run(settings, path, text)
    raise AssertionError("settings_or_exit() returned neither Ok nor Err")


def _run(
    settings: gateway.GatewaySettings, path: pathlib.Path, text: str | None
) -> int:
    """Serve until a stop signal, then drain; return the exit status.

    ``text`` is that of the file before the settings were loaded.
    """
    clock = _clock.SystemClock()
    gateway.LoggingSetup(clock, settings.instance, settings.log_level)
    try:
        instance = gateway.GatewayInstance(
            settings,
            clock,
            platform.connect(
                settings.log_address,
                settings.duties.address,
                settings.duties.kinds,
            ),
            random.Random(),
        )
        gevent.signal_handler(signal.SIGHUP, _reload, instance, path)
        instance.start()
    except OSError as exc:
        return _program.report_port_error(settings.caller_address, exc)
    gevent.spawn(_watch_file, instance, path, clock, text)
    _program.wait_for_stop()
    return _program.EXIT_OK if instance.stop() else _program.EXIT_REQUESTS_CUT


def _watch_file(
    instance: gateway.GatewayInstance,
    path: pathlib.Path,
    clock: _clock.Clock,
    known: str | None,
) -> None:
    """Reload the settings when their file changes without a signal.

    ``known`` is its text when the settings were loaded.
    """
    while True:
        clock.sleep(FILE_CHECK_PERIOD_S)
        text = _read_text(path)
        if text != known:
            known = text
            _reload(instance, path)


def _read_text(path: pathlib.Path) -> str | None:
    """Return the text of a file, or ``None`` if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _log.warning(
            "daemon: settings cannot be read, check the file: %s", exc
        )
        return None


def _reload(instance: gateway.GatewayInstance, path: pathlib.Path) -> None:
    """Load and apply the settings; faulty ones are logged and ignored."""
    match gateway.load_gateway_settings(path):
        case result.Err(faults):
            for fault in faults:
                _log.error("daemon: faulty settings not applied: %s", fault)
        case result.Ok(settings):
            instance.reload(settings)


if __name__ == "__main__":
    raise SystemExit(main())
