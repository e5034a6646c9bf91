"""Arguments, exit codes, settings and signals shared by the daemons."""

import argparse
import pathlib
import signal
import sys
import typing

import gevent
import gevent.event
import result

from agatewing import config

# Exit codes.
#: Stopped in order.
EXIT_OK = 0
#: Stopped while requests were open; their answers were cut off.
EXIT_REQUESTS_CUT = 1
#: The settings file has faults.
EXIT_SETTINGS = 2
#: A port cannot be opened.
EXIT_PORT = 3

T = typing.TypeVar("T")


def make_parser(prog: str, description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options of every daemon."""
    arg_parser = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog="exit codes: 0 stopped in order; 1 stopped with answers "
        "cut off; 2 faults in the settings; 3 a port cannot be opened",
    )
    arg_parser.add_argument(
        "--check", action="store_true", help="read the settings and exit"
    )
    return arg_parser


def settings_or_exit(
    loaded: config.Checked[T], path: pathlib.Path, check: bool
) -> result.Result[T, int]:
    """Return the settings, or the exit code if the program must end.

    It must end if the settings have faults, which are printed, or if it
    was started with ``--check``.
    """
    match loaded:
        case result.Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return result.Err(EXIT_SETTINGS)
        case result.Ok(settings):
            pass
    if check:
        print(f"{path}: no faults")
        return result.Err(EXIT_OK)
    return result.Ok(settings)


def report_port_error(listen_address: str, exc: OSError) -> int:
    """Print that a port cannot be opened; return the exit code."""
    print(
        f"cannot open a port of {listen_address}: {exc}; "
        "choose free ports in the settings",
        file=sys.stderr,
    )
    return EXIT_PORT


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    stop.wait()
