"""Errors of a deployment show why its processes do not serve."""

import pathlib
import socket

import pytest

from agatewing import _exceptions
from agatewing import harness
from agatewing.harness import _deployment

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "aldeias.jsonc"


def test_logs_of_instances_that_are_not_ready_are_shown() -> None:
    with harness.Deployment(EXAMPLE, instances=2) as deployment:
        first = deployment.instances["entry-1"]
        with socket.socket() as user:
            user.bind(("127.0.0.1", 0))
            user.listen()
            path = deployment.path / "entry-1.jsonc"
            taken = path.read_text().replace(
                str(deployment.ports["entry-1"].caller),
                str(user.getsockname()[1]),
            )
            path.write_text(taken)
            first.start()
            first.wait(10.0)
        with pytest.raises(_exceptions.AgatewingError) as caught:
            deployment.wait_ready(1, timeout_s=0.1)
    text = str(caught.value)
    assert "entry-1 (exited with 3):" in text
    assert "Address already in use" in text
    assert "entry-2 (not started):" in text


def test_logs_of_processes_that_do_not_open_are_shown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_deployment, "START_TIMEOUT_S", 3.0)
    with harness.Deployment(
        EXAMPLE, instances=1, settings={"colour": "red"}
    ) as deployment:
        with pytest.raises(_exceptions.AgatewingError) as caught:
            deployment.start()
    assert "entry-1 (exited with " in str(caught.value)
    assert "colour" in str(caught.value)
