"""Tests of the operators' command against a running deployment."""

import collections.abc
import json
import pathlib
import time
import typing

import gevent
import pytest

from agatewing import harness
from agatewing import tool

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

#: Time to wait for a held lease, in seconds.
LEASE_TIMEOUT_S = 10.0


def _wait_for_held_lease(deployment: harness.Deployment) -> None:
    """Wait until entry-1 shows a held lease.

    Instances claim free leases at random, so that the time to the first
    claim varies.
    """
    admin = deployment.admin("entry-1")
    deadline = time.monotonic() + LEASE_TIMEOUT_S
    while True:
        answer = admin.get("leases")
        if answer.is_ok():
            rows = answer.unwrap().body.get("leases", [])
            if any(row["holder"] for row in rows):
                return
        if time.monotonic() >= deadline:
            pytest.fail(
                f"entry-1 shows no held lease after {LEASE_TIMEOUT_S} s:"
                f" {answer}"
            )
        gevent.sleep(0.05)


@pytest.fixture(scope="module")
def deployment() -> collections.abc.Iterator[harness.Deployment]:
    with harness.Deployment(EXAMPLES / "aldeias.jsonc", instances=2) as d:
        d.start()
        d.wait_ready(d.version)
        gevent.sleep(1.5)
        _wait_for_held_lease(d)
        yield d


class _Command:
    """Runs the operators' command in this process, against entry-1."""

    def __init__(
        self,
        deployment: harness.Deployment,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        self._connection_args = [
            "--admin",
            deployment.admin_address("entry-1"),
            "--token",
            harness.OPERATOR_TOKEN,
        ]
        self._capsys = capsys

    def run(self, *args: str) -> tuple[int, str, str]:
        """Return exit code, standard output and standard error."""
        code = tool.main([*args, *self._connection_args])
        out, err = self._capsys.readouterr()
        return code, out, err

    def json(self, *args: str) -> typing.Any:
        """Return the decoded output of a command that has to succeed."""
        code, out, _ = self.run(*args, "--json")
        assert code == 0
        return json.loads(out)


@pytest.fixture
def command(
    deployment: harness.Deployment, capsys: pytest.CaptureFixture[str]
) -> _Command:
    return _Command(deployment, capsys)


def _save_current_document(
    deployment: harness.Deployment, tmp_path: pathlib.Path, command: _Command
) -> tuple[pathlib.Path, int]:
    current = command.json("show", "config")
    path = tmp_path / "document.json"
    path.write_text(json.dumps(current["document"]))
    return path, current["version"]


def test_a_publish_on_an_old_base_is_rejected_and_in_the_history(
    deployment: harness.Deployment,
    tmp_path: pathlib.Path,
    command: _Command,
) -> None:
    path, version = _save_current_document(deployment, tmp_path, command)
    code, out, err = command.run(
        "publish", str(path), "--base", str(version), "--id", "first-try"
    )
    assert code == tool.EXIT_OK
    assert f"version {version + 1} is in force everywhere" in out
    assert "publish id first-try" in err
    code, out, _ = command.run("publish", str(path), "--base", str(version))
    assert code == tool.EXIT_REJECTED
    assert f"version {version + 1} is in force" in out
    assert command.run("ask", "first-try")[0] == tool.EXIT_OK
    assert command.run("ask", "never-made")[0] == tool.EXIT_UNKNOWN
    history = command.json("history")["history"]
    assert {"accepted", "rejected"} <= {row["result"] for row in history}


def test_a_drained_engine_can_be_made_active_again(command: _Command) -> None:
    assert command.run("drain", "assistant-1")[0] == tool.EXIT_OK
    rows = command.json("show", "targets")["targets"]
    (row,) = [r for r in rows if r["name"] == "assistant-1"]
    assert row["state"] == "draining" and row["usable"] is False
    code, _, _ = command.run("drain", "assistant-1", "--state", "active")
    assert code == tool.EXIT_OK
    code, _, err = command.run("drain", "nobody")
    assert code == tool.EXIT_FAULTS and "no engine or target" in err


@pytest.mark.parametrize(
    ("what", "part"),
    [
        ("config", "deployment"),
        ("instances", "entry-2"),
        ("targets", "accounts-4"),
        ("leases", "fence"),
        ("status", "standing"),
    ],
)
def test_show(command: _Command, what: str, part: str) -> None:
    code, out, _ = command.run("show", what)
    assert code == 0 and part in out


def test_timeline_of_two_processes(
    deployment: harness.Deployment, command: _Command
) -> None:
    admin_addresses = ",".join(
        deployment.admin_address(n) for n in deployment.instances
    )
    code, out, _ = command.run(
        "timeline", "--instances", admin_addresses, "--format", "jsonl"
    )
    assert code == 0
    events = [json.loads(line) for line in out.splitlines()]
    assert {e["process"].split("/")[0] for e in events} == {
        "entry-1",
        "entry-2",
    }
    stamps = [e["stamp"] for e in events]
    assert stamps == sorted(stamps)
    assert any(e["kind"] == "audit" for e in events)
    code, page, _ = command.run("timeline", "--format", "html")
    assert page.startswith("<!doctype html>")
    command.run("drain", "assistant-2", "--state", "active")
    _, text, _ = command.run("timeline", "--target", "assistant-2")
    assert text.splitlines()
    assert all("assistant-2" in line for line in text.splitlines())


@pytest.mark.parametrize("token", ["", "wrong"])
def test_a_wrong_token_is_refused(
    deployment: harness.Deployment,
    capsys: pytest.CaptureFixture[str],
    token: str,
) -> None:
    address = deployment.admin_address("entry-1")
    args = ["show", "status", "--admin", address, "--token", token]
    assert tool.main(args) == tool.EXIT_NOT_REACHED


def test_no_instance_is_reached(capsys: pytest.CaptureFixture[str]) -> None:
    args = ["show", "status", "--admin", "127.0.0.1:9", "--token", "x"]
    assert tool.main(args) == tool.EXIT_NOT_REACHED
    assert "check that the target runs" in capsys.readouterr().err


def test_check_names_every_fault(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.jsonc"
    text = (EXAMPLES / "tala.jsonc").read_text()
    path.write_text(text.replace('"luzon-a",\n', '"luzon-x",\n'))
    assert tool.main(["check", str(path)]) == tool.EXIT_FAULTS
    err = capsys.readouterr().err
    assert err.count("unknown availability zone") >= 3
    assert str(path) in err


def test_a_bad_publish_is_refused_before_the_log(
    deployment: harness.Deployment,
) -> None:
    admin = deployment.admin("entry-1")
    for body in (
        {"base": 1},
        {"base": 1, "document": {}},
        {"base": 1, "patch": {"engines": {"assistant-1": {"zone": "x"}}}},
        {"bose": 1},  # not a field
    ):
        answer = admin.post("config", body).unwrap()
        assert answer.status == 400 and answer.body["remedy"]


def test_metrics_name_their_units(deployment: harness.Deployment) -> None:
    from agatewing import net

    client = net.HttpClient(deployment.admin_address("entry-1"))
    text = client.call("GET", "/metrics").body.decode()
    for name in (
        "agatewing_ready 1",
        "agatewing_config_version",
        'agatewing_log_age_seconds{stream="calls"}',
        "agatewing_resident_bytes",
        "agatewing_live_instances 2",
    ):
        assert name in text
