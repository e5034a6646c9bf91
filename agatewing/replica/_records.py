"""Records of the log's streams and their encoding."""

import enum
import typing

import msgspec
import result

from agatewing import _exceptions
from agatewing import _types

#: Stream of configuration publishes.
CONFIG_STREAM = "config"
#: Stream of leases and of orders to engines.
CONTROL_STREAM = "control"
#: Stream of at-most-once calls.
CALLS_STREAM = "calls"

#: Longest record body read from the log, in characters.
MAX_BODY_CHARS = 8_000_000

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Settlement(enum.StrEnum):
    """Why a deliverer will not send an order any more."""

    # The engine accepted the order.
    DELIVERED = "delivered"
    # The engine answered with 400, 404 or 409.
    REFUSED = "refused"
    # The deliverer lost the lease, or the engine is not configured.
    ABANDONED = "abandoned"
    # The platform removed the deliverer; the lease holder settled for it.
    GONE = "gone"


class _Record(msgspec.Struct, frozen=True, tag_field="t"):
    """Base of all records; the tag ``t`` names the kind."""


class Publish(_Record, frozen=True, tag="publish"):
    """A new configuration, accepted if ``base`` is in force."""

    # Unique id; the author looks the decision up by it if the outcome is
    # unknown, and a retry with the same id has no second effect.
    id: Identifier
    # Version that the author based the change on.
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
    """A claim on a lease that the author found lapsed or free."""

    # Name of the lease.
    lease: Identifier
    # Offset of the last record that granted, renewed or released it; 0 for
    # none. The claim has no effect if a later one exists.
    over: int
    # Time for which the lease is valid without renewal, in seconds.
    duration_s: float


class LeaseRenew(_Record, frozen=True, tag="lease-renew"):
    """A renewal of all leases of one holder."""

    # Fencing token by name of the lease.
    fences: dict[str, int]


class LeaseRelease(_Record, frozen=True, tag="lease-release"):
    """A release of leases by their holder."""

    # Fencing token by name of the lease.
    fences: dict[str, int]


class SetRole(msgspec.Struct, frozen=True, tag_field="kind", tag="role"):
    """A change of the role of an engine."""

    # Role that the engine is to take on.
    role: _types.Role


class LoadModel(msgspec.Struct, frozen=True, tag_field="kind", tag="model"):
    """A change of the model and adapters that an engine serves."""

    # Name of the model.
    model: str
    # Version in the weight store.
    version: str
    # Names of the adapters to load.
    adapters: tuple[str, ...] = ()


Change: typing.TypeAlias = SetRole | LoadModel


class Order(_Record, frozen=True, tag="order"):
    """An order to an engine; its offset is the engine's fencing token."""

    # Unique id; a retried delivery has the same id.
    id: Identifier
    # Lease under which it is issued.
    lease: Identifier
    # Fencing token of that lease.
    fence: int
    # Name of the engine.
    engine: Identifier
    # Role or model that the engine is to change to.
    change: Change
    # Whether the engine refuses orders with an old fencing token.
    checked: bool


class OrderTaken(_Record, frozen=True, tag="order-taken"):
    """A later lease holder becomes a deliverer of the same order."""

    # Id of the order.
    id: Identifier
    # Lease under which it is delivered.
    lease: Identifier
    # Fencing token of that lease.
    fence: int


class OrderSettled(_Record, frozen=True, tag="order-settled"):
    """A deliverer will not send the order any more."""

    # Id of the order.
    id: Identifier
    # That deliverer, as ``instance/incarnation``.
    deliverer: Identifier
    # Why it stopped.
    how: Settlement


class Intent(_Record, frozen=True, tag="intent"):
    """An attempt's request to run an at-most-once call."""

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
    # Body; encoded as base64.
    body: bytes


class AnswerLost(_Record, frozen=True, tag="answer-lost"):
    """The outcome of an at-most-once call is unknown."""

    # Caller, service and idempotency key.
    key: Identifier
    # Attempt whose outcome is unknown.
    attempt: Identifier


class Abandon(_Record, frozen=True, tag="abandon"):
    """An attempt ended before it sent anything to a target."""

    # Caller, service and idempotency key.
    key: Identifier
    # Attempt that ended.
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
    # Number that increases with each start of the process.
    incarnation: int

    def __str__(self) -> str:
        return f"{self.instance}/{self.incarnation}"


class Envelope(msgspec.Struct, frozen=True):
    """One append: records that are written and applied together."""

    # Unique id of the append.
    id: Identifier
    # Process that appended it.
    author: Author
    # Records in the order in which they apply.
    records: tuple[Record, ...]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> str:
    """Encode an envelope as JSON text for the log."""
    return _encoder.encode(envelope).decode()


def decode_envelope(
    body: str,
) -> result.Result[Envelope, _exceptions.ProtocolError]:
    """Decode a record body read from the log.

    Returns the error for a body that is too long or malformed.
    """
    if len(body) > MAX_BODY_CHARS:
        return result.Err(_exceptions.ProtocolError("log", "body too long"))
    try:
        return result.Ok(_decoder.decode(body))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return result.Err(_exceptions.ProtocolError("log", str(exc)))
