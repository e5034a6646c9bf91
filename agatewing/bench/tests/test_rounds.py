"""The stored rounds can be read and drawn."""

import pathlib
import shutil

import msgspec
import pytest

from agatewing.bench import _rounds

STORED = pathlib.Path(__file__).parents[3] / "docs" / "measurements"


def test_the_stored_rounds_are_drawn(tmp_path: pathlib.Path) -> None:
    shutil.copy(STORED / _rounds.FIGURES, tmp_path)
    assert _rounds.read(tmp_path)[0].taken
    drawing = _rounds.draw(tmp_path)
    assert drawing.read_text().startswith("<?xml")


def test_a_figure_with_another_name_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    text = '[{"round": "a", "abastecer-rede": 1, "tala": 1, "taken": true}]'
    (tmp_path / _rounds.FIGURES).write_text(text)
    with pytest.raises(msgspec.ValidationError, match="tala"):
        _rounds.read(tmp_path)
