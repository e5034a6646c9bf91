"""Settings of an instance on a platform, and its metrics."""

import collections.abc
import logging
import pathlib

import msgspec
import pytest
import result

from agatewing import _program
from agatewing import gateway
from agatewing import gatewayd
from agatewing.platform import standins

VALID = """{
  // A comment.
  "instance": "i1", "zone": "z1",
  "caller_address": "10.0.0.1:80", "ready_address": "10.0.0.1:81",
  "peer_address": "10.0.0.1:82", "log_address": "10.0.0.9:83",
  "peer_secret": "sixteen letters or more",
}"""

FAULTS = {
    "no address": ('"10.0.0.1:80"', '"10.0.0.1"', "caller_address"),
    "unknown field": ('"zone"', '"zoen"', "zoen"),
    "wrong type": ('"z1"', "7", "zone"),
    "short secret": ('"sixteen letters or more"', '"short"', "peer_secret"),
    "too little memory": (
        '"zone"',
        '"memory": {"process_mb": 100}, "zone"',
        "process_mb",
    ),
    "too few descriptors": (
        '"zone"',
        '"memory": {"max_descriptors": 250}, "zone"',
        "max_descriptors",
    ),
    "no JSON": ("{", "[", "JSON"),
}


def test_valid_settings_are_loaded(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.jsonc"
    path.write_text(VALID)
    loaded = gateway.load_gateway_settings(path)
    assert isinstance(loaded, result.Ok)
    assert loaded.ok_value.retries.ratio == 0.2
    assert not loaded.ok_value.hold_engines


@pytest.fixture
def log_level() -> collections.abc.Iterator[None]:
    """Set the level of the root logger back; a reload sets it."""
    level = logging.getLogger().level
    yield
    logging.getLogger().setLevel(level)


@pytest.mark.usefixtures("log_level")
def test_numbers_of_engines_can_be_held_without_a_restart() -> None:
    with standins.Site() as site:
        site.publish()
        instance = site.start()
        held = msgspec.structs.replace(instance.settings, hold_engines=True)
        instance.reload(held)
        assert instance.engines_held
        instance.reload(instance.settings)
        assert not instance.engines_held


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_names_file_field_and_remedy(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str], name: str
) -> None:
    original, faulty, named = FAULTS[name]
    path = tmp_path / "settings.jsonc"
    path.write_text(VALID.replace(original, faulty, 1))
    arguments = ["--settings", str(path), "--check"]
    assert gatewayd.main(arguments) == _program.EXIT_SETTINGS
    shown = capsys.readouterr().err
    assert str(path) in shown
    assert named in shown


def test_metrics_count_answers_and_refusals() -> None:
    with standins.Site() as site:
        site.route("/look/", "safe", "ledger")
        site.add_target("t1", "ledger", None)
        version = site.publish()
        instance = site.start()
        site.wait(lambda: instance.lifecycle.ready)
        assert site.ask(instance, "/look/x").status == 200
        assert site.ask(instance, "/other/").status == 404
        text = instance.render_metrics()[0].decode()
    assert 'agatewing_answers_total{status="200"} 1' in text
    assert 'agatewing_framings_total{framing="length"} 1' in text
    assert 'agatewing_refused_total{kind="not-found"} 1' in text
    assert 'agatewing_connections_opened_total{reason="none_idle"} 1' in text
    assert f"agatewing_config_version {version}" in text
    assert "agatewing_answer_seconds_bucket" in text
    assert "agatewing_config_age_seconds " in text
    assert "agatewing_log_reader 1" in text
    assert "agatewing_peer_snapshots_total 0" in text
    assert "agatewing_peer_snapshots_failed_total 0" in text
    assert "agatewing_peer_snapshot_bytes_total 0" in text
    # Of an instance in a fleet that needs no sums.
    assert "agatewing_load_summary_age_seconds 1000000000" in text
    assert "agatewing_load_collector 0" in text


def test_metrics_show_the_speed_of_each_engine_and_its_sends() -> None:
    """Values of engines that have gone are removed."""
    with standins.Site() as site:
        site.route("/chat/", "streaming", "chat", sticky=True)
        site.add_target("e1", "chat", "decode")
        site.publish()
        instance = site.start()
        site.wait(lambda: instance.lifecycle.ready)
        before = instance.render_metrics()[0].decode()
        instance.registry.pools["chat"].engines.clear()
        after = instance.render_metrics()[0].decode()
    for name, value in (
        ("prefill_speed_ratio", 1.0),
        ("decode_speed_ratio", 1.0),
        ("speed_answers", 0.0),
        ("sends", 0.0),
        ("preferred", 1.0),
    ):
        line = f'agatewing_target_{name}{{service="chat",target="e1"}} {value}'
        assert line in before
        assert f"agatewing_target_{name}{{" not in after


def test_metrics_say_how_many_targets_of_a_service_are_reached() -> None:
    with standins.Site() as site:
        site.route("/look/", "safe", "ledger")
        site.route("/chat/", "streaming", "chat", sticky=True)
        site.add_target("t1", "ledger", None)
        site.publish()
        instance = site.start()
        site.wait(lambda: instance.lifecycle.ready)
        assert site.ask(instance, "/look/x").status == 200
        before = instance.render_metrics()[0].decode()
        site.targets["t1"].stop()
        # Connections that are open already idle for too long then.
        site.clock.advance(20.0)
        site.ask(instance, "/look/x", "a2")
        after = instance.render_metrics()[0].decode()
    assert 'agatewing_targets_reached{service="ledger"} 1' in before
    assert 'agatewing_targets_reached{service="chat"} 0' in before
    assert 'agatewing_targets_reached{service="ledger"} 0' in after
    assert 'agatewing_links_lost{service="ledger"} 0' in after
    assert "agatewing_link_probes_total " in after
    assert "agatewing_link_questions_total 0" in after
