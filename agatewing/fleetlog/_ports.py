"""Operations of the platform's log that the system uses."""

import dataclasses
import enum
import typing


class Topic(enum.StrEnum):
    """A topic of keyed records in the log."""

    #: The operators' configuration.
    CONFIGURATION = "configuration"
    #: Entries of engines and plain targets.
    TARGETS = "targets"
    #: Entries of the system's own instances.
    INSTANCES = "instances"
    #: Claims of the right to give orders to engines.
    ORDERS = "orders"
    #: Claims and reports of usage.
    USAGE = "usage"
    #: Claims of the right to order numbers of engines.
    CAPACITY = "capacity"
    #: Software versions that may have begun recent streams.
    VERSIONS = "versions"
    #: Streams that began while a service had several software versions.
    STREAMS = "streams"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key, or its removal."""

    #: Key.
    key: str
    #: Value; ``None`` if the key was removed.
    value: bytes | None
    #: Offset in the topic; ``None`` if it is not known.
    offset: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records read from a topic."""

    #: Records, oldest first.
    records: tuple[KeyedRecord, ...]
    #: Offset at which the next read continues.
    next_offset: int
    #: Era of the log that it belongs to; ``None`` if the log named none.
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The requested records are gone; read the newest values instead."""

    #: Era of the log; ``None`` if the log named none.
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log gave no usable answer."""

    #: Description of the failure.
    reason: str
    #: Era of the log; ``None`` without an answer or if the log named none.
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The log has acknowledged a write."""

    #: Era of the log; ``None`` if the log named none.
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A conditional write succeeded."""

    #: Offset of the record.
    offset: int
    #: Era of the log; ``None`` if the log named none.
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndMismatch:
    """A conditional write failed: the topic ends at another offset."""

    #: Era of the log; ``None`` if the log named none.
    era: int | None = None


class FleetLog(typing.Protocol):
    """Operations of the platform's log that the system uses.

    The log may be restored from an older copy, which begins a new era: what
    was written since is gone, and its offsets are given out again. So offsets
    and acknowledgements count only within their era. Eras rise by one each.
    """

    def read_newest(self, topic: Topic) -> Page | LogUnavailable:
        """Return the newest value of every key that has one, of one era."""

    def read(
        self, topic: Topic, offset: int, wait_s: float
    ) -> Page | HistoryLost | LogUnavailable:
        """Return records from an offset on.

        Waits for up to ``wait_s`` seconds if there are none.
        """

    def read_past(
        self, topic: Topic, offset: int
    ) -> Page | HistoryLost | LogUnavailable:
        """Return records from an offset on, beside a read that waits."""

    def arriving(self, topic: Topic) -> bool:
        """Return whether a part of an answer to a read has arrived.

        Its connection is alive then.
        """

    def put(
        self, topic: Topic, key: str, value: bytes
    ) -> Stored | LogUnavailable:
        """Write the value of a key; an empty value removes it."""

    def put_if_end(
        self, topic: Topic, key: str, value: bytes, end: int
    ) -> Written | EndMismatch | LogUnavailable:
        """Write the value of a key only if the topic ends at ``end``.

        If the outcome is unknown (``LogUnavailable``), the write may still be
        carried out later if the topic then ends at ``end``.
        """
