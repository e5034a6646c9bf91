"""What the daemons share: arguments, exit codes, settings and signals."""

import argparse
import pathlib
import signal
import sys
import typing

import gevent
import gevent.event
import result

from agatewing import config

#: Exit codes.
EXIT_OK = 0
EXIT_CUT = 1
EXIT_SETTINGS = 2
EXIT_PORT = 3

T = typing.TypeVar("T")


def parser(prog: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with what every daemon understands."""
    made = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog="exit codes: 0 stopped in order; 1 stopped with answers "
        "cut off; 2 faults in the settings; 3 a port cannot be opened",
    )
    made.add_argument(
        "--check", action="store_true", help="read the settings and exit"
    )
    return made


def settings_or_exit(
    loaded: config.Checked[T], path: pathlib.Path, check: bool
) -> result.Result[T, int]:
    """Return the settings, or the exit code of a program that ends here.

    It ends with faults, which are printed, or after a mere check.
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


def no_port(place: str, exc: OSError) -> int:
    """Say that a port cannot be opened; return the exit code."""
    print(
        f"cannot open a port of {place}: {exc}; "
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
