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

#: Text of :attr:`Fault.problem` for a field that the schema lacks.
UNKNOWN_FIELD = "unknown field"
#: Longest document accepted, in characters.
MAX_DOCUMENT_CHARS = 8_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One violation of the schema or the rules in a document."""

    #: File, or short name of the origin, that the document came from.
    source: str
    #: Path of the field, such as ``engines.e1.zone``; empty for the
    #: whole document.
    path: str
    #: What is wrong.
    problem: str
    #: How to correct it.
    remedy: str

    def __str__(self) -> str:
        where = self.path or "document"
        return f"{self.source}: {where}: {self.problem}; {self.remedy}"


#: A decoded value, or every fault found in its document.
Checked: typing.TypeAlias = result.Result[T, tuple[Fault, ...]]


class Checker:
    """Compares plain data with a struct type and collects the faults."""

    __slots__ = ("_source", "faults")

    def __init__(self, source: str) -> None:
        self._source = source
        self.faults: list[Fault] = []

    def add(self, path: str, problem: str, remedy: str) -> None:
        """Record one fault."""
        self.faults.append(Fault(self._source, path, problem, remedy))

    def check(self, annotation: typing.Any, value: object, path: str) -> None:
        """Check ``value`` against the type annotation ``annotation``."""
        origin = typing.get_origin(annotation)
        if origin in (types.UnionType, typing.Union):
            annotation = _choose_variant(annotation, value)
        if isinstance(annotation, type) and issubclass(
            annotation, msgspec.Struct
        ):
            self._check_struct(annotation, value, path)
        elif origin is dict and isinstance(value, dict):
            self._check_mapping(typing.get_args(annotation)[1], value, path)
        elif origin is tuple and isinstance(value, list):
            self._check_sequence(typing.get_args(annotation)[0], value, path)
        else:
            self._check_leaf(annotation, value, path)

    def _check_struct(
        self, struct_type: type[msgspec.Struct], value: object, path: str
    ) -> None:
        if not isinstance(value, dict):
            self.add(path, "is not an object", "write it as {...}")
            return
        fields = {
            f.encode_name: f for f in msgspec.structs.fields(struct_type)
        }
        tag_field = struct_type.__struct_config__.tag_field
        for name in value:
            if name not in fields and name != tag_field:
                self.add(
                    _join_path(path, str(name)),
                    UNKNOWN_FIELD,
                    _unknown_field_remedy(str(name), fields),
                )
        for name, field in fields.items():
            if name in value:
                self.check(field.type, value[name], _join_path(path, name))
            elif field.required:
                self.add(_join_path(path, name), "is missing", "add the field")

    def _check_mapping(
        self, annotation: typing.Any, value: dict[object, object], path: str
    ) -> None:
        for name, item in value.items():
            self.check(annotation, item, _join_path(path, str(name)))

    def _check_sequence(
        self, annotation: typing.Any, value: list[object], path: str
    ) -> None:
        for index, item in enumerate(value):
            self.check(annotation, item, f"{path}[{index}]")

    def _check_leaf(
        self, annotation: typing.Any, value: object, path: str
    ) -> None:
        try:
            msgspec.convert(value, annotation)
        except msgspec.ValidationError as exc:
            self.add(path, str(exc), "correct the value")


def _join_path(path: str, name: str) -> str:
    """Return the path of the field ``name`` below ``path``."""
    return f"{path}.{name}" if path else name


def _choose_variant(annotation: typing.Any, value: object) -> typing.Any:
    """Return the variant of a tagged union that the tag of ``value`` names.

    Returns the union itself if no variant has this tag.
    """
    for variant in typing.get_args(annotation):
        struct_config = getattr(variant, "__struct_config__", None)
        if struct_config is None or not isinstance(value, dict):
            continue
        if value.get(struct_config.tag_field) == struct_config.tag:
            return variant
    return annotation


def _unknown_field_remedy(
    name: str, fields: collections.abc.Iterable[str]
) -> str:
    """Return a remedy that names the closest known field, or all fields."""
    close = difflib.get_close_matches(name, list(fields), n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"remove it; known fields: {', '.join(sorted(fields))}"


def parse_text(text: str, source: str) -> Checked[object]:
    """Parse JSON with comments (JSON5) into plain data."""
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


def decode(struct_type: type[T], data: object, source: str) -> Checked[T]:
    """Decode plain data into ``struct_type`` or return every fault found."""
    checker = Checker(source)
    checker.check(struct_type, data, "")
    if checker.faults:
        return result.Err(tuple(checker.faults))
    try:
        return result.Ok(msgspec.convert(data, struct_type))
    except msgspec.ValidationError as exc:
        fault = Fault(source, "", str(exc), "correct the value")
        return result.Err((fault,))


def read_text(path: pathlib.Path) -> Checked[str]:
    """Read a UTF-8 file, or return a fault that names the file."""
    try:
        return result.Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        fault = Fault(
            str(path), "", f"cannot be read: {exc}", "check the path"
        )
        return result.Err((fault,))


def load_checked(struct_type: type[T], path: pathlib.Path) -> Checked[T]:
    """Read a file of JSON with comments and decode it."""
    match read_text(path):
        case result.Err() as err:
            return err
        case result.Ok(text):
            pass
    match parse_text(text, str(path)):
        case result.Err() as err:
            return err
        case result.Ok(data):
            return decode(struct_type, data, str(path))
    raise AssertionError("unreachable")
