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
    schema_checker = _checker.Checker(source)
    schema_checker.check(Document, data, "")
    if schema_checker.faults:
        reference_faults = _reference_faults(
            data, schema_checker.faults, source
        )
        return result.Err((*schema_checker.faults, *reference_faults))
    try:
        document = msgspec.convert(data, Document)
    except msgspec.ValidationError as exc:
        schema_checker.add("", str(exc), "correct the value")
        return result.Err(tuple(schema_checker.faults))
    reference_checker = _ReferenceChecker(document, source)
    faults = reference_checker.check_all()
    if faults:
        return result.Err(faults)
    return result.Ok(document)


def _reference_faults(
    data: object, faults: list[_checker.Fault], source: str
) -> tuple[_checker.Fault, ...]:
    """Return the reference faults of the document without faulty fields.

    This way one run reports both kinds of faults. Returns an empty tuple
    if the rest can't be decoded.
    """
    remaining = _remove_faulty(data, faults)
    if remaining is None:
        return ()
    try:
        document = msgspec.convert(remaining, Document)
    except msgspec.ValidationError:
        return ()
    return _ReferenceChecker(document, source).check_all()


def _remove_faulty(
    data: object, faults: list[_checker.Fault]
) -> dict[str, typing.Any] | None:
    """Return a copy of a document without its faulty fields, rows and rules.

    An unknown field is removed alone. Another fault removes the whole engine
    or target that has it, or empties the rules. Returns ``None`` if such a
    fault lies in another section.
    """
    if not isinstance(data, dict):
        return None
    remaining = copy.deepcopy(data)
    for fault in faults:
        section, _, rest = fault.path.partition(".")
        if fault.problem == _checker.UNKNOWN_FIELD:
            _delete_field(remaining, fault.path.split("."))
        elif section in ("engines", "targets") and rest:
            remaining[section].pop(rest.split(".")[0].split("[")[0], None)
        elif section == "rules":
            remaining["rules"] = {"callers": {}}
        else:
            return None
    return remaining


def _delete_field(data: typing.Any, path: list[str]) -> None:
    """Delete the field at ``path`` if it exists."""
    for name in path[:-1]:
        if not isinstance(data, dict):
            return
        data = data.get(name)
    if isinstance(data, dict):
        data.pop(path[-1], None)


def decode_changed(
    previous_data: dict[str, typing.Any],
    previous: Document,
    data: dict[str, typing.Any],
    source: str,
) -> _checker.Checked[Document]:
    """Decode a document of which some engines or targets changed.

    Rows that are the same objects in ``previous_data`` and ``data`` are not
    decoded again. If another section changed, the whole document is
    decoded.
    """
    other_sections = (set(data) | set(previous_data)) - {"engines", "targets"}
    if any(
        data.get(name) is not previous_data.get(name)
        for name in other_sections
    ):
        return decode_document(data, source)
    changed_rows = {
        section: _changed_rows(previous_data, data, section)
        for section in ("engines", "targets")
    }
    match _checker.decode(_Rows, changed_rows, source):
        case result.Err() as err:
            return err
        case result.Ok(decoded):
            rows: _Rows = decoded
    changed = msgspec.structs.replace(
        previous, engines=rows.engines, targets=rows.targets
    )
    faults = _ReferenceChecker(changed, source).check_rows()
    if faults:
        return result.Err(faults)
    engines = _remaining_rows(previous.engines, data, "engines")
    targets = _remaining_rows(previous.targets, data, "targets")
    document = msgspec.structs.replace(
        previous,
        engines={**engines, **rows.engines},
        targets={**targets, **rows.targets},
    )
    faults = _ReferenceChecker(document, source).check_addresses()
    return result.Err(faults) if faults else result.Ok(document)


class _Rows(msgspec.Struct, frozen=True):
    """The changed engines and targets of a document."""

    # Engines by name.
    engines: dict[_inventory.Name, _inventory.Engine]
    # Targets of plain services by name.
    targets: dict[_inventory.Name, _inventory.Target]


def _changed_rows(
    previous: dict[str, typing.Any], data: dict[str, typing.Any], section: str
) -> dict[str, typing.Any]:
    """Return the rows of a section that are not the same objects in both."""
    previous_rows = previous.get(section, {})
    return {
        name: row
        for name, row in data.get(section, {}).items()
        if previous_rows.get(name) is not row
    }


Row = typing.TypeVar("Row")


def _remaining_rows(
    decoded: dict[str, Row], data: dict[str, typing.Any], section: str
) -> dict[str, Row]:
    """Return the decoded rows whose names are still in the document."""
    current = data.get(section, {})
    return {name: row for name, row in decoded.items() if name in current}


def load_document(path: pathlib.Path) -> _checker.Checked[Document]:
    """Read, decode and check a document from a file."""
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
    """Checks references between the sections of a document.

    Also checks that names, addresses, models and tokens are unique.
    """

    __slots__ = ("_checker", "_document", "_zones")

    def __init__(self, document: Document, source: str) -> None:
        self._checker = _checker.Checker(source)
        self._document = document
        self._zones = {
            zone
            for region in document.regions.values()
            for zone in region.zones
        }

    def check_all(self) -> tuple[_checker.Fault, ...]:
        """Return every fault found."""
        self._check_engines()
        self._check_targets()
        self._check_addresses()
        self._check_models()
        self._check_rules()
        return tuple(self._checker.faults)

    def check_rows(self) -> tuple[_checker.Fault, ...]:
        """Return the faults of engines and targets, except in addresses."""
        self._check_engines()
        self._check_targets()
        return tuple(self._checker.faults)

    def check_addresses(self) -> tuple[_checker.Fault, ...]:
        """Return invalid ports and duplicate addresses of the document."""
        self._check_addresses()
        return tuple(self._checker.faults)

    def _check_zone(self, path: str, zone: str) -> None:
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
            self._check_zone(path, engine.zone)
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
            self._check_zone(path, target.zone)
            self._check_service(
                f"{path}.service", target.service, _inventory.PlainService
            )
            if name in self._document.engines:
                self._checker.add(
                    path, "is also the name of an engine", "rename one"
                )

    def _check_addresses(self) -> None:
        row_of_address: dict[str, str] = {}
        addresses = [
            *(
                ("engines", name, engine.address)
                for name, engine in self._document.engines.items()
            ),
            *(
                ("targets", name, target.address)
                for name, target in self._document.targets.items()
            ),
        ]
        for section, name, address in addresses:
            path = f"{section}.{name}.address"
            port = int(address.rpartition(":")[2])
            if not 0 < port < 65536:
                self._checker.add(path, "has no valid port", "use 1 to 65535")
            if address in row_of_address:
                self._checker.add(
                    path,
                    f"is the address of {row_of_address[address]} as well",
                    "give each target its own address",
                )
            row_of_address[address] = f"{section}.{name}"

    def _check_models(self) -> None:
        offered_by: dict[str, str] = {}
        for name, service in self._document.services.items():
            if not isinstance(service, _inventory.ModelService):
                continue
            for model in service.models:
                if model in offered_by:
                    self._checker.add(
                        f"services.{name}.models",
                        f"model {model!r} is offered by {offered_by[model]}",
                        "offer a model by one service only",
                    )
                offered_by[model] = name

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
        caller_of_token: dict[str, str] = {}
        for name, caller in rules.callers.items():
            path = f"rules.callers.{name}"
            first_caller = caller_of_token.setdefault(
                caller.token_sha256, name
            )
            if first_caller != name:
                self._checker.add(
                    f"{path}.token_sha256",
                    f"is the token of {first_caller} as well",
                    "give each caller its own token",
                )
            for service in caller.services:
                if service not in self._document.services:
                    self._checker.add(
                        f"{path}.services",
                        f"unknown service {service!r}",
                        "correct the name",
                    )
