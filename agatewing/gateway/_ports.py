"""What the core needs of a platform; an adapter supplies each port."""

import dataclasses
import enum
import typing

from agatewing import _types
from agatewing.gateway import _contracts
from agatewing.gateway import _messages


class Topic(enum.StrEnum):
    """A stream of keyed records that an instance follows."""

    #: The operators' configuration.
    CONFIGURATION = "configuration"
    #: Entries of engines and plain targets.
    TARGETS = "targets"
    #: Entries of the system's own instances.
    INSTANCES = "instances"
    #: Who may give orders to engines.
    ORDERS = "orders"


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
    #: Offset from which the next read goes on.
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The records asked for are gone; the newest values are to be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogAway:
    """The log gave no usable answer."""

    #: What happened.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A record was written."""

    #: Its offset.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """Nothing was written: the topic does not end where it was said to."""


class FleetLog(typing.Protocol):
    """The platform's log, as far as the system reads and writes it."""

    def newest(self, topic: Topic) -> Page | LogAway:
        """Return the newest value of every key."""

    def read(self, topic: Topic, offset: int) -> Page | HistoryLost | LogAway:
        """Return records from an offset; wait a while if there are none."""

    def put(self, topic: Topic, key: str, value: bytes) -> None | LogAway:
        """Write the value of a key; an empty value removes it."""

    def put_at(
        self, topic: Topic, key: str, value: bytes, end: int
    ) -> Written | Overtaken | LogAway:
        """Write the value of a key only if the topic ends at ``end``.

        Without an answer it may be written later if that still holds.
        """


class Decoder(typing.Protocol):
    """Turns records into the product's types."""

    def configuration(
        self, record: KeyedRecord
    ) -> _contracts.Configuration | None:
        """Return the configuration, or ``None`` if it is none."""

    def target(self, record: KeyedRecord) -> _contracts.Target | None:
        """Return the target, or ``None`` if the entry names none."""


class Dialect(typing.Protocol):
    """Headers of requests and answers on this platform."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: _messages.Headers,
        body: bytes,
        arrived_at: float,
    ) -> _messages.CallerRequest:
        """Return what a caller's request says."""

    def outgoing(
        self, req: _messages.CallerRequest, facts: _messages.SendFacts
    ) -> _messages.Outgoing:
        """Return a request as it goes to a target."""

    def proves_not_run(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer says that the request did not run."""

    def moved(self, head: _messages.AnswerHead) -> bool:
        """Return whether another target has the address now."""

    def answers(
        self, head: _messages.AnswerHead, req: _messages.CallerRequest
    ) -> bool:
        """Return whether an answer belongs to a request."""

    def vouched(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer bears the target's signature."""

    def handle(
        self, address: str, body: bytes
    ) -> _messages.CacheHandle | None:
        """Return the KV cache that an answer names."""

    def release(self, handle: _messages.CacheHandle) -> _messages.Outgoing:
        """Return the call that frees a KV cache."""

    def order(
        self,
        target: _contracts.Target,
        role: _types.Role,
        holder: str,
        token: int,
    ) -> _messages.Outgoing:
        """Return the order to an engine to take a role."""

    def last_event_id(self, event: bytes) -> bytes | None:
        """Return the id of an event of a stream."""
