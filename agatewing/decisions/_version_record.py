"""What is recorded of software versions for when all instances are lost.

Streams begin only at instances, so a record that the instances keep up to date
names all versions that may have begun one, also while no instance is alive.
"""

import collections.abc
import dataclasses

from agatewing.decisions import _stream_versions


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """Versions that may have begun the recent streams of all services."""

    #: Versions by service; services without any are left out.
    services: dict[str, frozenset[str]]
    #: Era of the log in which it was written; what the instances did since
    #: may be missing in another one. 0 if the log named none.
    era: int
    #: Offset up to which its writer had read the entries of targets; ``None``
    #: if the writer did not say, so that it may have missed some.
    through: int | None = dataclasses.field(default=None, compare=False)


def version_record(
    views: collections.abc.Mapping[str, _stream_versions.VersionView],
    era: int,
    through: int,
) -> VersionRecord | None:
    """Return the record that an instance with these views would write.

    ``views`` are by service, of the entries up to the offset ``through`` in
    an era of the log. Returns ``None`` if a version may be missing in
    one of them, as a record has to name all.
    """
    if not views or not all(view.complete for view in views.values()):
        return None
    services = {
        name: view.versions for name, view in views.items() if view.versions
    }
    return VersionRecord(services, era, through)


def unknown_versions(
    recorded: VersionRecord | None,
    before: VersionRecord | None,
) -> dict[str, frozenset[str]]:
    """Return the versions that another instance has added to a record.

    ``before`` is the record as this instance knew it last. A version that it
    knew was recorded may have left since; one that it did not know has to be
    remembered.
    """
    if recorded is None:
        return {}
    known = before.services if before is not None else {}
    return {
        name: versions - known.get(name, frozenset())
        for name, versions in recorded.services.items()
    }
