"""Reads the log lines of many processes as one time line."""

import collections.abc
import dataclasses
import pathlib

import msgspec

#: Fields that every line has and that are shown apart from the rest.
COMMON = ("at", "level", "part", "message", "instance")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line of a process."""

    #: Unix time, by the clock of the instance.
    at: float
    #: Instance that wrote it.
    instance: str
    #: What happened.
    message: str
    #: Everything else, by name.
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class LogFilter:
    """Which lines to show; an empty field lets everything pass."""

    #: Id of a request.
    request: str = ""
    #: Id of an engine or plain target.
    target: str = ""
    #: Version of the configuration.
    config_version: int = 0
    #: Name of an instance.
    instance: str = ""

    def passes(self, line: LogLine) -> bool:
        """Return whether a line is shown."""
        fields = line.fields
        if self.request and fields.get("request") != self.request:
            return False
        named = (fields.get("target"), fields.get("prefill"))
        if self.target and self.target not in named:
            return False
        version = fields.get("config_version")
        if self.config_version and version != self.config_version:
            return False
        return not self.instance or line.instance == self.instance


def parse_line(raw: str) -> LogLine | None:
    """Return a line; ``None`` for text that is no structured line.

    What stands before the first brace is ignored, such as the name that a
    collector puts in front.
    """
    start = raw.find("{")
    if start < 0:
        return None
    try:
        data = msgspec.json.decode(raw[start:], type=dict[str, object])
        at = msgspec.convert(data["at"], float)
    except (msgspec.MsgspecError, KeyError):
        return None
    fields = {k: v for k, v in data.items() if k not in COMMON}
    return LogLine(
        at, str(data.get("instance", "")), str(data.get("message", "")), fields
    )


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path], wanted: LogFilter
) -> list[LogLine]:
    """Return the lines that pass, oldest first.

    Raises ``OSError`` for a file that cannot be read.
    """
    found: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for raw in file:
                line = parse_line(raw)
                if line is not None and wanted.passes(line):
                    found.append(line)
    found.sort(key=lambda line: line.at)
    return found


def render_line(line: LogLine) -> str:
    """Return a line for a person."""
    rest = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at:.3f} {line.instance} {line.message} {rest}"
