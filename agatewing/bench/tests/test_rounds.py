"""Tests of reading the stored rounds and drawing their chart."""

import pathlib
import shutil

import msgspec
import pytest

from agatewing.bench import _rounds

STORED_FIGURES = pathlib.Path(__file__).parents[3] / "docs" / "measurements"


def test_the_stored_rounds_are_drawn(tmp_path: pathlib.Path) -> None:
    shutil.copy(STORED_FIGURES / _rounds.FIGURES_FILE, tmp_path)
    assert _rounds.load_rounds(tmp_path)[0].taken
    chart = _rounds.draw_chart(tmp_path)
    assert chart.read_text().startswith("<?xml")


def test_a_row_with_an_unknown_field_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    text = '[{"round": "a", "abastecer-rede": 1, "tala": 1, "taken": true}]'
    (tmp_path / _rounds.FIGURES_FILE).write_text(text)
    with pytest.raises(msgspec.ValidationError, match="tala"):
        _rounds.load_rounds(tmp_path)
