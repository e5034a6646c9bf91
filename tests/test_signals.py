"""Signals and changes of the settings while the daemon starts."""

import json
import pathlib
import subprocess
import sys

import gevent
import pytest

from agatewing import _clock
from agatewing import gatewayd

SETTINGS = {
    "instance": "i1",
    "zone": "z1",
    "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "log_address": "127.0.0.1:4",
    "peer_secret": "secret of the test's own",
}
HANG_UP_WHILE_LOADING = """
import os, signal, sys
from agatewing import gateway, gatewayd
load = gateway.load_gateway_settings
def hang_up(path):
    os.kill(os.getpid(), signal.SIGHUP)
    return load(path)
gateway.load_gateway_settings = hang_up
sys.exit(gatewayd.main(["--settings", sys.argv[1], "--check"]))
"""


def test_a_hang_up_while_the_daemon_starts_does_not_end_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an end by a reload that overlaps with a start."""
    path = tmp_path / "settings.jsonc"
    path.write_text(json.dumps(SETTINGS))
    done = subprocess.run(
        [sys.executable, "-c", HANG_UP_WHILE_LOADING, str(path)],
        capture_output=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr


def test_a_change_between_loading_and_watching_is_applied(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change that is missed as no signal follows it."""
    path = tmp_path / "settings.jsonc"
    path.write_text("new")
    reloaded: list[pathlib.Path] = []
    monkeypatch.setattr(
        gatewayd, "_reload", lambda instance, path: reloaded.append(path)
    )
    clock = _clock.ManualClock()
    watching = gevent.spawn(
        gatewayd._watch_file, None, path, clock, known="old"
    )
    gevent.sleep(0)
    for _ in range(3):
        clock.advance(gatewayd.FILE_CHECK_PERIOD_S)
    watching.kill()
    assert reloaded == [path]
