"""Requests, answers and outcomes passed between modules of the gateway."""

import collections.abc
import dataclasses
import enum
import typing

from agatewing import accounts
from agatewing import decisions
from agatewing.gateway import _routes

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]


#: Headers by which a caller is identified, in lower case. Others, such as ids
#: and deadlines, differ each time that it sends a request.
_CALLER_HEADERS = frozenset((b"authorization", b"cookie"))


def hex_key(key: int) -> str:
    """Return a signed 64-bit hash as 16 hexadecimal digits."""
    return f"{key & (1 << 64) - 1:016x}"


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixBlock:
    """A prefix block: a piece of a prompt that other requests may share."""

    #: Identity of the block.
    id: str
    #: Length in tokens.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Model, length and prefix blocks of a request to a model."""

    #: Name of the requested model.
    model: str
    #: Length of the prompt, in tokens.
    tokens: int
    #: Largest length of the answer, in tokens.
    max_output_tokens: int
    #: Prefix blocks in order.
    blocks: tuple[PrefixBlock, ...]

    @property
    def sized_blocks(self) -> list[tuple[str, int]]:
        """Id and tokens of each prefix block, in order."""
        return [(block.id, block.tokens) for block in self.blocks]

    @property
    def shared_blocks(self) -> tuple[str, ...]:
        """Ids of the prefix blocks that other requests may share.

        All but the last, which belongs to the request or its session alone.
        """
        return tuple(block.id for block in self.blocks[:-1])


@dataclasses.dataclass(frozen=True, slots=True)
class TakeUp:
    """Statement of a caller that it continues a stream of earlier attempts."""

    #: Id of the attempt that brought the first event; empty if not stated.
    first_attempt: str
    #: Number of events that the caller has received; 0 if it is not known.
    events: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOn:
    """What an instance says of a request that it hands on to this one."""

    #: Service that it chose from the shares of the route.
    service: str
    #: Time within which it needs the answer, in seconds.
    left_s: float
    #: Number of targets that the request may still reach.
    targets_left: int
    #: Ids of targets that it is not sent to.
    excluded: frozenset[str]
    #: Version of the configuration by which it was accepted.
    config_version: int
    #: Version of the software that began the stream; ``None`` if none did.
    software: str | None = None
    #: Id of the event after which the stream goes on; ``None`` if the caller
    #: has no event of this attempt.
    last_event_id: bytes | None = None

    @property
    def begins(self) -> bool:
        """Whether the caller has nothing of its answer yet."""
        return self.last_event_id is None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, read in full."""

    #: Id of the caller's attempt; empty if it sent none.
    id: str
    #: HTTP method as sent.
    method: bytes
    #: Path and query, byte for byte.
    target: bytes
    #: Host header as sent.
    host: str
    #: Headers as sent.
    headers: Headers
    #: Whole body, without transfer coding.
    body: bytes
    #: Monotonic time at which the whole head had arrived, in seconds.
    arrived_at: float
    #: Time that the caller waits for the answer, in seconds; ``None`` if
    #: the request does not say.
    caller_timeout_s: float | None
    #: Prompt; ``None`` for a request to a plain service.
    prompt: Prompt | None
    #: Stream that it continues; ``None`` if it begins a new one.
    take_up: TakeUp | None = None
    #: Set if it came from another instance; ``None`` if from its caller.
    handed_on: HandedOn | None = None
    #: Digest of its key, see ``accounts.key_digest``; empty without exactly
    #: one usable key.
    account_key: str = ""
    #: Name of its account, once it was identified; empty without one.
    account: str = ""
    # Fingerprints once they were computed.
    _fingerprints: tuple[int, ...] | None = dataclasses.field(
        default=None, init=False, repr=False, compare=False
    )

    @property
    def fingerprint(self) -> int:
        """Signed 64-bit hash of what is the same each time it is sent.

        That is the method, host, path and query, caller, prompt and body. It
        is computed on first use, as bodies may be large.
        """
        return self.fingerprints[0]

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """The fingerprint, and if there is a query, the one without it.

        Callers may add a query that changes nothing, or another each time.
        """
        if self._fingerprints is None:
            path, mark, _ = self.target.partition(b"?")
            targets = (self.target, path) if mark else (self.target,)
            values = tuple(
                decisions.fingerprint(self._repeated_parts(target))
                for target in targets
            )
            object.__setattr__(self, "_fingerprints", values)
            return values
        return self._fingerprints

    def _repeated_parts(
        self, target: bytes
    ) -> collections.abc.Iterator[bytes]:
        yield self.method
        yield _routes.plain_host(self.host).encode("latin-1")
        yield target
        for name, value in self.headers:
            if name.lower() in _CALLER_HEADERS:
                yield name.lower()
                yield value
        # An account may change its keys while a request is repeated.
        yield (self.account or self.account_key).encode()
        if self.prompt is not None:
            prompt = self.prompt
            yield f"{prompt.model},{prompt.tokens}".encode()
            for block in prompt.blocks:
                yield f"{block.id}:{block.tokens}".encode()
        # Without a body, it ends with an empty part.
        yield self.body

    @property
    def path(self) -> str:
        """Path without the query."""
        raw = self.target.split(b"?", 1)[0]
        return raw.decode("latin-1")

    @property
    def shared_blocks(self) -> tuple[str, ...]:
        """Ids of the prefix blocks that other requests may share."""
        return self.prompt.shared_blocks if self.prompt is not None else ()

    @property
    def own_block(self) -> str:
        """Id of the prompt's last prefix block; empty if there is none."""
        blocks = self.prompt.blocks if self.prompt is not None else ()
        return blocks[-1].id if blocks else ""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheHandle:
    """Handle of a KV cache that an engine keeps for another to fetch."""

    #: IP address and port of the engine that holds the cache.
    address: str
    #: Id of the cache at that engine.
    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """Headers that the gateway itself adds to a request, as values."""

    #: Id of the only target that may run the request.
    target_id: str
    #: Time left until the deadline, in seconds.
    time_left_s: float
    #: Priority class at the engine, 0 runs first; ``None`` for plain
    #: services.
    priority: int | None = None
    #: Whether the engine only processes the prompt.
    prefill_only: bool = False
    #: KV cache that the engine fetches before it decodes.
    cache: CacheHandle | None = None
    #: Address of an engine that has a longer prefix of the prompt cached.
    fetch_from: str | None = None
    #: Id of the last event forwarded to the caller, to resume a stream
    #: after it.
    last_event_id: bytes | None = None
    #: Who the request counts as.
    identity: accounts.Identity = accounts.Unidentified()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request in the form in which it is sent to a target."""

    #: HTTP method.
    method: bytes
    #: Path and query.
    target: bytes
    #: Headers without those of the message framing.
    headers: Headers
    #: Whole body.
    body: bytes


class Framing(enum.StrEnum):
    """How an answer shows where its body ends (RFC 9112, section 6.3)."""

    #: Content-Length.
    LENGTH = "length"
    #: Chunked transfer coding.
    CHUNKED = "chunked"
    #: The end of the connection.
    CLOSE = "close"
    #: Frames between instances.
    HOP = "hop"


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status, headers and framing of a target's answer."""

    #: Status code.
    status: int
    #: Headers without connection headers (hop-by-hop).
    headers: Headers
    #: How the target framed the body.
    framing: Framing


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSource:
    """Where an answer comes from."""

    #: Id of the target.
    target: str
    #: Version of its software; empty if not announced.
    software: str = ""
    #: Name of the instance that passed it on; empty if it came by a
    #: connection of this instance.
    via: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What a target says about itself in the head of an answer."""

    #: Requests a second that it takes from all instances together; ``None``
    #: if it names no limit.
    limit: float | None = None
    #: Whether it leaves, and takes no new requests until it ends.
    leaving: bool = False
    #: Time for which it wants no requests from this instance, in seconds;
    #: ``None`` if it does not say so.
    back_off_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target answered in full, or its stream has started."""

    #: Head of the answer.
    head: AnswerHead
    #: Whole body; empty for a stream, which is forwarded separately.
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was established; nothing reached the target."""

    #: Cause, for logs and refusals.
    reason: str
    #: Time for which a connection was awaited, in seconds; ``None`` if none
    #: was tried.
    connect_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target answered that it did not run the request."""

    #: Cause, for logs and refusals.
    reason: str
    #: Whether the address now belongs to another target.
    address_reassigned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is unknown: the request was sent and may have run."""

    #: Cause, for logs and refusals.
    reason: str
    #: Whether a reused connection failed before a valid head of the answer;
    #: usually the target had closed it while it was idle.
    stale: bool = False
    #: Time since the last byte from the target, or since the send if none
    #: came, in seconds.
    silent_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The deadline passed; the request may have run."""

    #: Cause, for logs and refusals.
    reason: str
    #: Time since the last byte from the target, or since the send if none
    #: came, in seconds.
    silent_s: float = 0.0


Outcome: typing.TypeAlias = Answered | NotSent | NotRun | Unknown | TimedOut
