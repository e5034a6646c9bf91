"""Decode plain data into typed structs and report every fault at once."""

import collections.abc
import dataclasses
import difflib
import pathlib
import types
import typing

import json5
import msgspec
import result

T = typing.TypeVar("T")

#: Problem of a field that the schema does not have.
UNKNOWN_FIELD = "unknown field"
#: Longest document accepted, in characters.
MAX_DOCUMENT_CHARS = 8_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong in a document."""

    #: File or record the document came from.
    source: str
    #: Path of the field, such as ``engines.e1.zone``.
    path: str
    #: What is wrong.
    problem: str
    #: What to write instead.
    remedy: str

    def __str__(self) -> str:
        where = self.path or "document"
        return f"{self.source}: {where}: {self.problem}; {self.remedy}"


Checked: typing.TypeAlias = result.Result[T, tuple[Fault, ...]]


class Checker:
    """Walks a document along its struct type and collects faults."""

    __slots__ = ("_source", "faults")

    def __init__(self, source: str) -> None:
        self._source = source
        self.faults: list[Fault] = []

    def add(self, path: str, problem: str, remedy: str) -> None:
        """Record one fault."""
        self.faults.append(Fault(self._source, path, problem, remedy))

    def check(self, kind: typing.Any, value: object, path: str) -> None:
        """Check ``value`` against the annotation ``kind``."""
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            kind = _choose_variant(kind, value)
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            self._check_struct(kind, value, path)
        elif origin is dict and isinstance(value, dict):
            self._check_mapping(typing.get_args(kind)[1], value, path)
        elif origin is tuple and isinstance(value, list):
            self._check_sequence(typing.get_args(kind)[0], value, path)
        else:
            self._check_leaf(kind, value, path)

    def _check_struct(
        self, kind: type[msgspec.Struct], value: object, path: str
    ) -> None:
        if not isinstance(value, dict):
            self.add(path, "is not an object", "write it as {...}")
            return
        fields = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        tag_field = kind.__struct_config__.tag_field
        for name in value:
            if name not in fields and name != tag_field:
                self.add(
                    _join(path, str(name)),
                    UNKNOWN_FIELD,
                    _suggestion(str(name), fields),
                )
        for name, field in fields.items():
            if name in value:
                self.check(field.type, value[name], _join(path, name))
            elif field.required:
                self.add(_join(path, name), "is missing", "add the field")

    def _check_mapping(
        self, kind: typing.Any, value: dict[object, object], path: str
    ) -> None:
        for name, item in value.items():
            self.check(kind, item, _join(path, str(name)))

    def _check_sequence(
        self, kind: typing.Any, value: list[object], path: str
    ) -> None:
        for index, item in enumerate(value):
            self.check(kind, item, f"{path}[{index}]")

    def _check_leaf(self, kind: typing.Any, value: object, path: str) -> None:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as exc:
            self.add(path, str(exc), "correct the value")


def _join(path: str, name: str) -> str:
    """Return the path of the field ``name`` below ``path``."""
    return f"{path}.{name}" if path else name


def _choose_variant(kind: typing.Any, value: object) -> typing.Any:
    """Return the struct of a tagged union that ``value`` asks for."""
    for variant in typing.get_args(kind):
        settings = getattr(variant, "__struct_config__", None)
        if settings is None or not isinstance(value, dict):
            continue
        if value.get(settings.tag_field) == settings.tag:
            return variant
    return kind


def _suggestion(name: str, fields: collections.abc.Iterable[str]) -> str:
    """Return a remedy that names the closest known field."""
    close = difflib.get_close_matches(name, list(fields), n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"remove it; known fields: {', '.join(sorted(fields))}"


def parse_text(text: str, source: str) -> Checked[object]:
    """Parse JSON with comments into plain data."""
    if len(text) > MAX_DOCUMENT_CHARS:
        fault = Fault(
            source,
            "",
            f"is longer than {MAX_DOCUMENT_CHARS} characters",
            "split the deployment",
        )
        return result.Err((fault,))
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        fault = Fault(
            source, "", f"not JSON with comments: {exc}", "mend the syntax"
        )
        return result.Err((fault,))
    return result.Ok(data)


def decode(kind: type[T], data: object, source: str) -> Checked[T]:
    """Decode plain data into ``kind`` or return every fault found."""
    checker = Checker(source)
    checker.check(kind, data, "")
    if checker.faults:
        return result.Err(tuple(checker.faults))
    try:
        return result.Ok(msgspec.convert(data, kind))
    except msgspec.ValidationError as exc:
        fault = Fault(source, "", str(exc), "correct the value")
        return result.Err((fault,))


def read_text(path: pathlib.Path) -> Checked[str]:
    """Read a file, or return the fault that names it."""
    try:
        return result.Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        fault = Fault(
            str(path), "", f"cannot be read: {exc}", "check the path"
        )
        return result.Err((fault,))


def load_checked(kind: type[T], path: pathlib.Path) -> Checked[T]:
    """Read a file of JSON with comments into ``kind``."""
    match read_text(path):
        case result.Err() as err:
            return err
        case result.Ok(text):
            pass
    match parse_text(text, str(path)):
        case result.Err() as err:
            return err
        case result.Ok(data):
            return decode(kind, data, str(path))
    raise AssertionError("unreachable")
