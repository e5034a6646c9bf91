"""Read, filter and merge the log files of many processes."""

import collections.abc
import dataclasses
import pathlib

import msgspec

#: Fields of every line; they are no part of :attr:`LogLine.fields`.
COMMON_FIELDS = ("at", "level", "part", "message", "instance")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line of a process."""

    #: Unix time by the clock of the instance, in seconds.
    at: float
    #: Name of the instance that wrote the line.
    instance: str
    #: Message with its prefix.
    message: str
    #: Values of all other fields, by name.
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class LogFilter:
    """Selects log lines; an empty field matches every line."""

    #: Id of a request.
    request: str = ""
    #: Name of an engine or target; an engine also matches the lines of
    #: requests that it only prefilled.
    target: str = ""
    #: Version of the configuration; 0 for all.
    config_version: int = 0
    #: Name of an instance.
    instance: str = ""

    def matches(self, line: LogLine) -> bool:
        """Return whether the line has all values of the filter."""
        fields = line.fields
        if self.request and fields.get("request") != self.request:
            return False
        targets = (fields.get("target"), fields.get("prefill"))
        if self.target and self.target not in targets:
            return False
        version = fields.get("config_version")
        if self.config_version and version != self.config_version:
            return False
        return not self.instance or line.instance == self.instance


def parse_line(raw: str) -> LogLine | None:
    """Return a log line, or ``None`` if the text is no structured line.

    Text before the first brace is ignored, such as a host name that a log
    collector adds.
    """
    start = raw.find("{")
    if start < 0:
        return None
    try:
        data = msgspec.json.decode(raw[start:], type=dict[str, object])
        at = msgspec.convert(data["at"], float)
    except (msgspec.MsgspecError, KeyError, RecursionError):
        return None
    fields = {k: v for k, v in data.items() if k not in COMMON_FIELDS}
    return LogLine(
        at, str(data.get("instance", "")), str(data.get("message", "")), fields
    )


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path], log_filter: LogFilter
) -> list[LogLine]:
    """Return the matching lines of all files, oldest first.

    Raises ``OSError`` if a file cannot be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for raw in file:
                line = parse_line(raw)
                if line is not None and log_filter.matches(line):
                    lines.append(line)
    lines.sort(key=lambda line: line.at)
    return lines


def render_line(line: LogLine) -> str:
    """Return the line as text for operators."""
    rest = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at:.3f} {line.instance} {line.message} {rest}"
