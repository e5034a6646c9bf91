"""Checks of settings and documents: all faults in one run, with remedies."""

import copy
import json
import pathlib
import typing

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import config

ROOT = pathlib.Path(__file__).parents[3]


def _example(name: str = "aldeias") -> dict[str, typing.Any]:
    loaded = config.load_document(ROOT / "examples" / f"{name}.jsonc")
    plain = config.to_plain(loaded.unwrap())
    return typing.cast(dict[str, typing.Any], json.loads(json.dumps(plain)))


def _with_value(path: str, value: object) -> dict[str, typing.Any]:
    data = copy.deepcopy(_example())
    *parents, last = path.split("/")
    node: typing.Any = data
    for name in parents:
        node = node[int(name)] if isinstance(node, list) else node[name]
    node[last] = value
    return data


@pytest.mark.parametrize("name", ["aldeias", "tala"])
def test_an_example_has_no_faults(name: str) -> None:
    document = config.decode_document(_example(name), name).unwrap()
    assert document.deployment == name


@pytest.mark.parametrize(
    ("services", "engines", "targets", "name"),
    [(2, 5, 4, "aldeias"), (2, 9, 3, "tala")],
)
def test_an_example_has_the_required_sizes(
    services: int, engines: int, targets: int, name: str
) -> None:
    document = config.decode_document(_example(name), name).unwrap()
    assert len(document.services) == services
    assert len(document.engines) == engines
    assert len(document.targets) == targets


FAULTS = {
    "unknown zone": ("engines/assistant-1/zone", "gard", "zone"),
    "unknown service": ("engines/assistant-1/service", "x", "service"),
    "wrong kind of service": (
        "engines/assistant-1/service", "accounts", "service",
    ),
    "empty roles": ("engines/assistant-1/roles", [], "roles"),
    "wrong role": ("engines/assistant-1/roles", ["fast"], "roles"),
    "address without port": (
        "engines/assistant-1/address", "127.0.0.1", "address",
    ),
    "address twice": (
        "targets/accounts-1/address", "127.0.0.1:21202", "address",
    ),
    "port out of range": (
        "targets/accounts-1/address", "127.0.0.1:99999", "address",
    ),
    "unknown field": ("services/accounts/dedline_s", 3, "dedline_s"),
    "negative weight": ("rules/callers/back-office/weight", -1, "weight"),
    "token twice": (
        "rules/callers/back-office/token_sha256",
        _example()["rules"]["callers"]["shops-guarda"]["token_sha256"],
        "token_sha256",
    ),
    "share over one": ("rules/goodput_weight", 1.5, "goodput_weight"),
    "rule of a model service": (
        "rules/at_most_once/0/service", "order-assistant", "at_most_once",
    ),
    "path without a slash": ("rules/at_most_once/0/path", "x", "path"),
    "unknown state": ("targets/accounts-1/state", "asleep", "state"),
}  # fmt: skip


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_names_its_path_and_a_remedy(name: str) -> None:
    path, value, field = FAULTS[name]
    try:
        data = _with_value(path, value)
    except TypeError:
        pytest.fail("the table names a wrong path")
    faults = config.decode_document(data, "file.jsonc").unwrap_err()
    assert any(field in fault.path for fault in faults)
    for fault in faults:
        assert str(fault).startswith("file.jsonc: ")
        assert fault.remedy


def test_all_faults_are_reported_in_one_run() -> None:
    data = _with_value("engines/assistant-1/zone", "nowhere")
    data["services"]["accounts"]["dedline_s"] = 3
    data["engines"]["assistant-2"]["rols"] = []
    data["rules"]["goodput_weight"] = 7
    faults = config.decode_document(data, "f").unwrap_err()
    paths = {fault.path for fault in faults}
    assert paths >= {
        "services.accounts.dedline_s",
        "engines.assistant-2.rols",
        "rules.goodput_weight",
        "engines.assistant-1.zone",
    }


def test_comments_are_accepted_and_duplicate_keys_rejected() -> None:
    text = (ROOT / "examples" / "settings.jsonc").read_text()
    settings = config.parse_settings(text, "s").unwrap()
    assert settings.instance == "entry-1"
    duplicate = text.replace('"zone":', '"zone": "x", "zone":')
    assert config.parse_settings(duplicate, "s").is_err()


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("host", "localhost"),
        ("caller_port", 70_000),
        ("log_url", "ftp://x"),
        ("stream_secret", "short"),
        ("admin_tokens", [{"name": "a", "sha256": "x", "permissions": []}]),
        ("no_such", 1),
    ],
)
def test_a_wrong_setting_is_named(field: str, value: object) -> None:
    text = (ROOT / "examples" / "settings.jsonc").read_text()
    data = json.loads(
        "\n".join(
            line
            for line in text.replace(",\n  ]", "\n  ]")
            .replace(",\n    }", "\n    }")
            .replace(",\n}", "\n}")
            .replace('"],\n', '"]\n')
            .splitlines()
            if not line.strip().startswith("//")
        )
    )
    data[field] = value
    faults = config.parse_settings(json.dumps(data), "s").unwrap_err()
    assert any(field in fault.path for fault in faults)


@pytest.mark.parametrize(
    ("value", "taken"), [(1_000_000, True), (999_999, False), ("1", False)]
)
def test_the_memory_for_answers_can_be_set(value: object, taken: bool) -> None:
    text = (ROOT / "examples" / "settings.jsonc").read_text()
    text = text.replace(
        '"max_body_bytes": 4000000',
        f'"max_answers_bytes": {json.dumps(value)}',
    )
    assert "max_answers_bytes" in text
    parsed = config.parse_settings(text, "s")
    assert parsed.is_ok() is taken
    if taken:
        assert parsed.unwrap().limits.max_answers_bytes == value


@hypothesis.given(strategies.text(max_size=200))
def test_fuzz_any_text_is_decoded_or_reported(text: str) -> None:
    config.parse_document(text, "fuzz")
    config.parse_settings(text, "fuzz")


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=6), inner, max_size=4
        )
    ),
    max_leaves=12,
)


@hypothesis.given(
    strategies.sampled_from(
        ["engines", "targets", "rules", "services", "regions", "deployment"]
    ),
    _JSON,
)
def test_fuzz_any_section_is_decoded_or_reported(
    section: str, value: object
) -> None:
    data = _example()
    data[section] = value
    outcome = config.decode_document(data, "fuzz")
    assert outcome.is_ok() or outcome.unwrap_err()


@hypothesis.given(_JSON, _JSON)
def test_fuzz_a_merge_patch_applies_as_rfc_7396_says(
    data: object, patch: object
) -> None:
    merged = config.merge_patch(data, patch)
    if not isinstance(patch, dict):
        assert merged == patch
        return
    assert isinstance(merged, dict)
    for name, value in patch.items():
        if value is None:
            assert name not in merged
        elif not isinstance(value, dict):
            assert merged[name] == value


@hypothesis.given(
    strategies.sampled_from(["assistant-1", "assistant-5"]),
    strategies.sampled_from(
        [
            {"state": "draining"},
            {"zone": "nowhere"},
            {"state": 7},
            {"address": "127.0.0.1:21102"},
            {"roles": ["mixed"]},
            None,
        ]
    ),
)
def test_fuzz_a_partial_decode_agrees_with_a_whole_one(
    engine: str, change: object
) -> None:
    plain = _example()
    old = config.decode_document(plain, "x").unwrap()
    merged = config.merge_patch(plain, {"engines": {engine: change}})
    new = typing.cast(dict[str, typing.Any], merged)
    whole = config.decode_document(new, "x")
    partial = config.decode_changed(plain, old, new, "x")
    assert partial.is_ok() is whole.is_ok()
    if whole.is_ok():
        assert partial.unwrap() == whole.unwrap()
