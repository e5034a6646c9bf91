"""Records of the log's streams and their encoding."""

import enum
import typing

import msgspec
import result

from agatewing import _exceptions
from agatewing import _types

#: Stream that operators publish configuration to.
CONFIG_STREAM = "config"
#: Stream of leases and of orders to engines.
CONTROL_STREAM = "control"
#: Stream of at-most-once calls.
CALLS_STREAM = "calls"

#: Longest record body read from the log, in characters.
MAX_BODY_CHARS = 8_000_000

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Settlement(enum.StrEnum):
    """How a deliverer is done with an order."""

    DELIVERED = "delivered"
    REFUSED = "refused"
    ABANDONED = "abandoned"
    GONE = "gone"


class _Record(msgspec.Struct, frozen=True, tag_field="t"):
    """Base of all records."""


class Publish(_Record, frozen=True, tag="publish"):
    """A new configuration, accepted if ``base`` is in force."""

    # Unique id, by which a lost answer is settled.
    id: Identifier
    # Version the author started from.
    base: int
    # Name of the operator.
    author: str
    # Whole document, or ``None`` if ``patch`` is given.
    document: dict[str, typing.Any] | None = None
    # RFC 7396 merge patch on the base.
    patch: dict[str, typing.Any] | None = None


class Snapshot(_Record, frozen=True, tag="snapshot"):
    """The state of a stream as of the offset ``through``."""

    # Last offset that the state includes.
    through: int
    # Dump of the state machine.
    state: dict[str, typing.Any]


class LeaseClaim(_Record, frozen=True, tag="lease-claim"):
    """A claim on a lease that was seen to have lapsed."""

    # Name of the lease.
    lease: Identifier
    # Offset of the last record that granted or renewed it; 0 for none.
    over: int
    # Time the lease holds without renewal, in seconds.
    duration_s: float


class LeaseRenew(_Record, frozen=True, tag="lease-renew"):
    """A renewal of all leases of one holder."""

    # Fencing number by name of the lease.
    fences: dict[str, int]


class LeaseRelease(_Record, frozen=True, tag="lease-release"):
    """The holder gives leases up."""

    # Fencing number by name of the lease.
    fences: dict[str, int]


class SetRole(msgspec.Struct, frozen=True, tag_field="kind", tag="role"):
    """Be of this role."""

    # The role.
    role: _types.Role


class LoadModel(msgspec.Struct, frozen=True, tag_field="kind", tag="model"):
    """Serve this model at this version, with these adapters."""

    # Name of the model.
    model: str
    # Version in the weight store.
    version: str
    # Names of adapters.
    adapters: tuple[str, ...] = ()


Change: typing.TypeAlias = SetRole | LoadModel


class Order(_Record, frozen=True, tag="order"):
    """An order to an engine; its offset is its fencing number."""

    # Unique id; a repeated delivery has the same id.
    id: Identifier
    # Lease under which it is given.
    lease: Identifier
    # Fencing number of that lease.
    fence: int
    # Name of the engine.
    engine: Identifier
    # What the engine is to be.
    change: Change
    # Whether the engine refuses old fencing numbers.
    checked: bool


class OrderTaken(_Record, frozen=True, tag="order-taken"):
    """A later lease holder is going to deliver the same order again."""

    # Id of the order.
    id: Identifier
    # Lease under which it is delivered.
    lease: Identifier
    # Fencing number of that lease.
    fence: int


class OrderSettled(_Record, frozen=True, tag="order-settled"):
    """A deliverer will not send the order any more."""

    # Id of the order.
    id: Identifier
    # Deliverer that is done, as ``instance/incarnation``.
    deliverer: Identifier
    # How it ended.
    how: Settlement


class Intent(_Record, frozen=True, tag="intent"):
    """An attempt asks to run an at-most-once call."""

    # Caller, service and idempotency key.
    key: Identifier
    # Unique id of the attempt.
    attempt: Identifier
    # Digest of method, path and body.
    digest: str


class Answer(_Record, frozen=True, tag="answer"):
    """The target's answer to an at-most-once call."""

    # Caller, service and idempotency key.
    key: Identifier
    # Attempt that ran the call.
    attempt: Identifier
    # HTTP status code.
    status: int
    # Content type.
    content_type: str
    # Body as base64 of bytes.
    body: bytes


class AnswerLost(_Record, frozen=True, tag="answer-lost"):
    """Nobody can say whether the call ran."""

    # Caller, service and idempotency key.
    key: Identifier
    # Attempt whose outcome is unknown.
    attempt: Identifier


class Abandon(_Record, frozen=True, tag="abandon"):
    """An attempt gave up before it sent anything."""

    # Caller, service and idempotency key.
    key: Identifier
    # The attempt.
    attempt: Identifier


Record: typing.TypeAlias = (
    Publish
    | Snapshot
    | LeaseClaim
    | LeaseRenew
    | LeaseRelease
    | Order
    | OrderTaken
    | OrderSettled
    | Intent
    | Answer
    | AnswerLost
    | Abandon
)


class Author(msgspec.Struct, frozen=True):
    """The process that appended a record."""

    # Name of the instance, or of an operator's tool.
    instance: str
    # Number that grows with every start of the process.
    incarnation: int

    def __str__(self) -> str:
        return f"{self.instance}/{self.incarnation}"


class Envelope(msgspec.Struct, frozen=True):
    """One append: records that travel and apply together."""

    # Unique id of the append.
    id: Identifier
    # Who appended it.
    author: Author
    # Records in order.
    records: tuple[Record, ...]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> str:
    """Return the JSON text of an envelope."""
    return _encoder.encode(envelope).decode()


def decode_envelope(
    body: str,
) -> result.Result[Envelope, _exceptions.ProtocolError]:
    """Decode a record body read from the log."""
    if len(body) > MAX_BODY_CHARS:
        return result.Err(_exceptions.ProtocolError("log", "body too long"))
    try:
        return result.Ok(_decoder.decode(body))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return result.Err(_exceptions.ProtocolError("log", str(exc)))
