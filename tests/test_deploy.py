"""Checks that the deploy files match pyproject.toml and the settings."""

import pathlib
import re
import tomllib

import result

from agatewing import gateway

ROOT = pathlib.Path(__file__).parent.parent

#: Placeholders of the settings template, with values as the platform would
#: fill them in.
PLACEHOLDERS = {
    "{{node_name|json}}": '"i1"',
    "{{zone|json}}": '"z1"',
    "{{listen.front|json}}": '"10.0.0.1:80"',
    "{{listen.ready|json}}": '"10.0.0.1:81"',
    "{{ip}}": "10.0.0.1",
    "{{port_range.0}}": "7380",
    '{{#seeds}}"{{.}}"{{,}}{{/seeds}}': '"10.0.0.2:83","10.0.0.3:83"',
    "{{platform.address|json}}": '"10.0.0.9:84"',
    "{{bounds.grace_s|json}}": "8",
    "{{bounds.cache_reuse_s|json}}": "9.8",
    "{{bounds.retry_budget_ratio|json}}": "0.2",
    "{{bounds.budget_slack|json}}": "52",
    "{{bounds.budget_window_s|json}}": "10",
    "{{bounds.lease_ms|json}}": "3000",
    "{{bounds.config_apply_ms|json}}": "2500",
    "{{bounds.drain_ms|json}}": "2000",
    "{{limits.memory_mb|json}}": "160",
    "{{limits.max_fds|json}}": "1638",
}


def test_the_build_installs_what_the_project_declares() -> None:
    pyproject = tomllib.loads((ROOT / "pyproject.toml").read_text())
    declared = pyproject["project"]["dependencies"]
    installed = (ROOT / "deploy" / "requirements.txt").read_text().split()
    assert installed == declared


def test_the_template_renders_into_settings_without_faults(
    tmp_path: pathlib.Path,
) -> None:
    text = (ROOT / "deploy" / "settings.jsonc").read_text()
    for placeholder, value in PLACEHOLDERS.items():
        assert placeholder in text
        text = text.replace(placeholder, value)
    assert not re.search(r"\{\{", text)
    path = tmp_path / "settings.jsonc"
    path.write_text(text)
    loaded = gateway.load_gateway_settings(path)
    assert isinstance(loaded, result.Ok), loaded
    assert loaded.ok_value.peer_address == "10.0.0.1:7380"
    assert loaded.ok_value.freshness.limit_s == 2.0


def test_the_role_runs_the_daemon_with_its_template() -> None:
    system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role = system["roles"]["entry"]
    assert role["run"] == "python3 -m agatewing.gatewayd"
    assert (ROOT / role["template"]).exists()
    assert "deploy/requirements.txt" in system["build"]
