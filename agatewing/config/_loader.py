"""Load, check and patch configuration documents."""

import copy
import pathlib
import typing

import msgspec
import result

from agatewing.config import _checker
from agatewing.config import _inventory

Document = _inventory.Document


def parse_document(text: str, source: str) -> _checker.Checked[Document]:
    """Decode and check a document written as JSON with comments."""
    match _checker.parse_text(text, source):
        case result.Err() as err:
            return err
        case result.Ok(data):
            return decode_document(data, source)
    raise AssertionError("unreachable")


def decode_document(data: object, source: str) -> _checker.Checked[Document]:
    """Decode and check a document given as plain data."""
    shape = _checker.Checker(source)
    shape.check(Document, data, "")
    if shape.faults:
        others = _reference_faults(data, shape.faults, source)
        return result.Err((*shape.faults, *others))
    try:
        document = msgspec.convert(data, Document)
    except msgspec.ValidationError as exc:
        shape.add("", str(exc), "correct the value")
        return result.Err(tuple(shape.faults))
    references = _ReferenceChecker(document, source)
    faults = references.run()
    if faults:
        return result.Err(faults)
    return result.Ok(document)


def _reference_faults(
    data: object, faults: list[_checker.Fault], source: str
) -> tuple[_checker.Fault, ...]:
    """Return wrong names in what is left without the faulty parts."""
    left = _without(data, faults)
    if left is None:
        return ()
    try:
        document = msgspec.convert(left, Document)
    except msgspec.ValidationError:
        return ()
    return _ReferenceChecker(document, source).run()


def _without(
    data: object, faults: list[_checker.Fault]
) -> dict[str, typing.Any] | None:
    """Return a document without faulty fields, rows and rules."""
    if not isinstance(data, dict):
        return None
    left = copy.deepcopy(data)
    for fault in faults:
        section, _, rest = fault.path.partition(".")
        if fault.problem == _checker.UNKNOWN_FIELD:
            _delete(left, fault.path.split("."))
        elif section in ("engines", "targets") and rest:
            left[section].pop(rest.split(".")[0].split("[")[0], None)
        elif section == "rules":
            left["rules"] = {"callers": {}}
        else:
            return None
    return left


def _delete(part: typing.Any, path: list[str]) -> None:
    """Delete the field at a path, where there is one."""
    for name in path[:-1]:
        if not isinstance(part, dict):
            return
        part = part.get(name)
    if isinstance(part, dict):
        part.pop(path[-1], None)


def decode_changed(
    old_plain: dict[str, typing.Any],
    old: Document,
    plain: dict[str, typing.Any],
    source: str,
) -> _checker.Checked[Document]:
    """Decode a document of which only some engines or targets changed.

    Rows that are the same object as before are not decoded again. Any
    other change is decoded as a whole.
    """
    others = (set(plain) | set(old_plain)) - {"engines", "targets"}
    if any(plain.get(name) is not old_plain.get(name) for name in others):
        return decode_document(plain, source)
    small = {
        section: _changed_rows(old_plain, plain, section)
        for section in ("engines", "targets")
    }
    match _checker.decode(_Rows, small, source):
        case result.Err() as err:
            return err
        case result.Ok(part):
            rows: _Rows = part
    changed = msgspec.structs.replace(
        old, engines=rows.engines, targets=rows.targets
    )
    faults = _ReferenceChecker(changed, source).run_rows()
    if faults:
        return result.Err(faults)
    engines = _merged_rows(old.engines, plain, "engines")
    targets = _merged_rows(old.targets, plain, "targets")
    document = msgspec.structs.replace(
        old,
        engines={**engines, **rows.engines},
        targets={**targets, **rows.targets},
    )
    faults = _ReferenceChecker(document, source).run_addresses()
    return result.Err(faults) if faults else result.Ok(document)


class _Rows(msgspec.Struct, frozen=True):
    """Rows of a document that changed."""

    # Engines by name.
    engines: dict[_inventory.Name, _inventory.Engine]
    # Targets of plain services by name.
    targets: dict[_inventory.Name, _inventory.Target]


def _changed_rows(
    old: dict[str, typing.Any], new: dict[str, typing.Any], section: str
) -> dict[str, typing.Any]:
    """Return the rows of a section that are not the same objects."""
    before = old.get(section, {})
    return {
        name: row
        for name, row in new.get(section, {}).items()
        if before.get(name) is not row
    }


Row = typing.TypeVar("Row")


def _merged_rows(
    decoded: dict[str, Row], plain: dict[str, typing.Any], section: str
) -> dict[str, Row]:
    """Return decoded rows that are still in the document."""
    kept = plain.get(section, {})
    return {name: row for name, row in decoded.items() if name in kept}


def load_document(path: pathlib.Path) -> _checker.Checked[Document]:
    """Read a document from a file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = _checker.Fault(
            str(path), "", f"cannot be read: {exc}", "check the path"
        )
        return result.Err((fault,))
    return parse_document(text, str(path))


def to_plain(document: Document) -> dict[str, typing.Any]:
    """Return the document as plain JSON data."""
    return msgspec.to_builtins(document)


def merge_patch(data: object, patch: object) -> object:
    """Apply an RFC 7396 merge patch to plain data."""
    if not isinstance(patch, dict):
        return copy.deepcopy(patch)
    merged = dict(data) if isinstance(data, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


class _ReferenceChecker:
    """Checks names that one part of a document uses of another."""

    __slots__ = ("_checker", "_document", "_zones")

    def __init__(self, document: Document, source: str) -> None:
        self._checker = _checker.Checker(source)
        self._document = document
        self._zones = {
            zone
            for region in document.regions.values()
            for zone in region.zones
        }

    def run(self) -> tuple[_checker.Fault, ...]:
        """Return every fault found."""
        self._check_engines()
        self._check_targets()
        self._check_addresses()
        self._check_models()
        self._check_rules()
        return tuple(self._checker.faults)

    def run_rows(self) -> tuple[_checker.Fault, ...]:
        """Return faults of engines and targets alone."""
        self._check_engines()
        self._check_targets()
        return tuple(self._checker.faults)

    def run_addresses(self) -> tuple[_checker.Fault, ...]:
        """Return faults between rows of the whole document."""
        self._check_addresses()
        return tuple(self._checker.faults)

    def _check_place(self, path: str, zone: str) -> None:
        if zone not in self._zones:
            self._checker.add(
                f"{path}.zone",
                f"unknown availability zone {zone!r}",
                "add it to a region or correct the name",
            )

    def _check_service(self, path: str, name: str, kind: type) -> None:
        service = self._document.services.get(name)
        if service is None:
            self._checker.add(
                path,
                f"unknown service {name!r}",
                "add it to services or correct the name",
            )
        elif not isinstance(service, kind):
            self._checker.add(
                path,
                f"service {name!r} is of the other kind",
                "name a service of the right kind",
            )

    def _check_engines(self) -> None:
        for name, engine in self._document.engines.items():
            path = f"engines.{name}"
            self._check_place(path, engine.zone)
            self._check_service(
                f"{path}.service", engine.service, _inventory.ModelService
            )
            if not engine.roles:
                self._checker.add(
                    f"{path}.roles", "is empty", "name at least one role"
                )

    def _check_targets(self) -> None:
        for name, target in self._document.targets.items():
            path = f"targets.{name}"
            self._check_place(path, target.zone)
            self._check_service(
                f"{path}.service", target.service, _inventory.PlainService
            )
            if name in self._document.engines:
                self._checker.add(
                    path, "is also the name of an engine", "rename one"
                )

    def _check_addresses(self) -> None:
        seen: dict[str, str] = {}
        parts = [
            *(
                ("engines", name, engine.address)
                for name, engine in self._document.engines.items()
            ),
            *(
                ("targets", name, target.address)
                for name, target in self._document.targets.items()
            ),
        ]
        for section, name, address in parts:
            path = f"{section}.{name}.address"
            port = int(address.rpartition(":")[2])
            if not 0 < port < 65536:
                self._checker.add(path, "has no valid port", "use 1 to 65535")
            if address in seen:
                self._checker.add(
                    path,
                    f"is the address of {seen[address]} as well",
                    "give each target its own address",
                )
            seen[address] = f"{section}.{name}"

    def _check_models(self) -> None:
        owner: dict[str, str] = {}
        for name, service in self._document.services.items():
            if not isinstance(service, _inventory.ModelService):
                continue
            for model in service.models:
                if model in owner:
                    self._checker.add(
                        f"services.{name}.models",
                        f"model {model!r} is offered by {owner[model]}",
                        "offer a model by one service only",
                    )
                owner[model] = name

    def _check_rules(self) -> None:
        rules = self._document.rules
        for index, group in enumerate(rules.shared_engines):
            for name in group:
                self._check_service(
                    f"rules.shared_engines[{index}]",
                    name,
                    _inventory.ModelService,
                )
        for index, rule in enumerate(rules.at_most_once):
            path = f"rules.at_most_once[{index}]"
            self._check_service(
                f"{path}.service", rule.service, _inventory.PlainService
            )
            if not rule.path.startswith("/"):
                self._checker.add(
                    f"{path}.path", "has no leading slash", "start with /"
                )
        tokens: dict[str, str] = {}
        for name, caller in rules.callers.items():
            path = f"rules.callers.{name}"
            other = tokens.setdefault(caller.token_sha256, name)
            if other != name:
                self._checker.add(
                    f"{path}.token_sha256",
                    f"is the token of {other} as well",
                    "give each caller its own token",
                )
            for service in caller.services:
                if service not in self._document.services:
                    self._checker.add(
                        f"{path}.services",
                        f"unknown service {service!r}",
                        "correct the name",
                    )
