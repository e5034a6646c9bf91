"""Reading, filtering and merging log files with ``tool logs``."""

import pathlib

import pytest

from agatewing import timeline
from agatewing import tool

LINES = {
    "a.log": (
        '{"at": 3.5, "message": "request: answered", "instance": "i1",'
        ' "request": "r1", "target": "e1", "prefill": "p1"}\n'
        "not a line\n"
        '{"no": "time"}\n'
        '{"at": 1.5, "message": "catalogue: configuration in force",'
        ' "instance": "i1", "config_version": 4}\n'
    ),
    "b.log": (
        'host1 {"at": 2.5, "message": "server: refused", "instance": "i2",'
        ' "request": "r1", "status": 503}\n'
    ),
}


@pytest.fixture
def files(tmp_path: pathlib.Path) -> list[str]:
    for name, text in LINES.items():
        (tmp_path / name).write_text(text)
    return [str(tmp_path / name) for name in LINES]


FILTERS = {
    "everything": ([], [1.5, 2.5, 3.5]),
    "one request over instances": (["--request", "r1"], [2.5, 3.5]),
    "an engine that decoded": (["--target", "e1"], [3.5]),
    "an engine that processed the prompt": (["--target", "p1"], [3.5]),
    "a configuration": (["--config-version", "4"], [1.5]),
    "an instance": (["--instance", "i2"], [2.5]),
}


@pytest.mark.parametrize("name", FILTERS)
def test_lines_are_merged_and_filtered(
    files: list[str], capsys: pytest.CaptureFixture[str], name: str
) -> None:
    arguments, times = FILTERS[name]
    assert tool.main(["logs", *files, *arguments]) == tool.EXIT_OK
    shown = capsys.readouterr().out.splitlines()
    assert [float(line.split()[0]) for line in shown] == times


def test_a_file_that_cannot_be_read_is_named(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert tool.main(["logs", "/nowhere/x.log"]) == tool.EXIT_FAULTS
    assert "/nowhere/x.log" in capsys.readouterr().err


def test_text_that_is_no_structured_line_is_ignored() -> None:
    for raw in ("", "{", "{}", '{"at": "x"}', "\x00{\x00"):
        assert timeline.parse_line(raw) is None
