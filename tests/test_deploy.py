"""Checks that the deploy files match pyproject.toml and the settings."""

import pathlib
import re
import tomllib

import pytest
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
    "{{limits.link_mbps|json}}": "5.0",
}

#: Those of what only some platforms have, by the section that holds it.
DUTIES = {
    "{{cloud.address|json}}": '"10.0.0.9:85"',
    "{{cloud.duties|json}}": '["a","b"]',
    "{{cloud.duties_per_s|json}}": "50.0",
    "{{bounds.usage_window_s|json}}": "5",
    "{{bounds.usage_late_s|json}}": "10",
}
SECTION = re.compile(
    r"\{\{#(cloud|bounds)\.(\w+)\}\}(.*)\{\{/\1\.\2\}\}", re.DOTALL
)


def test_the_build_installs_what_the_project_declares() -> None:
    pyproject = tomllib.loads((ROOT / "pyproject.toml").read_text())
    declared = pyproject["project"]["dependencies"]
    installed = (ROOT / "deploy" / "requirements.txt").read_text().split()
    assert installed == declared


def _render(sections: bool) -> str:
    """Return the template as the platform fills it in."""
    text = (ROOT / "deploy" / "settings.jsonc").read_text()
    values = dict(PLACEHOLDERS)
    if sections:
        values |= DUTIES
    while SECTION.search(text):
        text = SECTION.sub(r"\3" if sections else "", text)
    for placeholder, value in values.items():
        assert placeholder in text
        text = text.replace(placeholder, value)
    assert not re.search(r"\{\{", text)
    return text


@pytest.mark.parametrize("duties", (False, True))
def test_the_template_renders_into_settings_without_faults(
    tmp_path: pathlib.Path, duties: bool
) -> None:
    path = tmp_path / "settings.jsonc"
    path.write_text(_render(duties))
    loaded = gateway.load_gateway_settings(path)
    assert isinstance(loaded, result.Ok), loaded
    assert loaded.ok_value.peer_address == "10.0.0.1:7380"
    assert loaded.ok_value.freshness.limit_s == 2.0
    named = loaded.ok_value.duties
    assert (named.address, named.kinds, named.usage_window_s) == (
        ("10.0.0.9:85", ("a", "b"), 5) if duties else ("", (), 60)
    )


def test_the_role_runs_the_daemon_with_its_template() -> None:
    system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role = system["roles"]["entry"]
    assert role["run"] == "python3 -m agatewing.gatewayd"
    assert (ROOT / role["template"]).exists()
    assert "deploy/requirements.txt" in system["build"]
