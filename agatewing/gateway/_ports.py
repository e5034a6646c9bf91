"""Interfaces that a platform adapter implements for the core."""

import dataclasses
import enum
import typing

from agatewing import _types
from agatewing.gateway import _contracts
from agatewing.gateway import _messages


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


class Decoder(typing.Protocol):
    """Decodes records into platform-independent types."""

    def configuration(
        self, record: KeyedRecord
    ) -> _contracts.Configuration | None:
        """Return the configuration, or ``None`` if it cannot be decoded."""

    def target(self, record: KeyedRecord) -> _contracts.Target | None:
        """Return the target, or ``None`` if it cannot be decoded."""


class Dialect(typing.Protocol):
    """Reads and writes headers of requests and answers of a platform."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: _messages.Headers,
        body: bytes,
        arrived_at: float,
    ) -> _messages.CallerRequest:
        """Parse a caller's request; ``arrived_at`` is monotonic time."""

    def target_request(
        self, req: _messages.CallerRequest, options: _messages.SendOptions
    ) -> _messages.Outgoing:
        """Return a request as it is sent to a target."""

    def proves_not_run(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer proves that the request did not run."""

    def address_reassigned(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer shows that the address has a new target."""

    def belongs_to(
        self, head: _messages.AnswerHead, req: _messages.CallerRequest
    ) -> bool:
        """Return whether an answer may be for the given request."""

    def echoes(
        self, head: _messages.AnswerHead, req: _messages.CallerRequest
    ) -> bool:
        """Return whether an answer names the given request."""

    def is_signed(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer bears the target's signature."""

    def notice(self, head: _messages.AnswerHead) -> _messages.Notice:
        """Return what a target says about itself in an answer."""

    def cache_handle(
        self, address: str, body: bytes
    ) -> _messages.CacheHandle | None:
        """Return the handle of the KV cache that an answer body names."""

    def release_request(
        self, handle: _messages.CacheHandle
    ) -> _messages.Outgoing:
        """Return the request that frees a KV cache."""

    def role_order(
        self,
        target: _contracts.Target,
        role: _types.Role,
        holder: str,
        token: int,
    ) -> _messages.Outgoing:
        """Return the request that orders an engine to change its role."""

    def last_event_id(self, event: bytes) -> bytes | None:
        """Return the id of an event, or ``None`` if it has none."""
