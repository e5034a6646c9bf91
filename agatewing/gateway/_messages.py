"""Requests, answers and outcomes that the parts hand to each other."""

import dataclasses
import typing

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt that other requests may share."""

    #: Identity of the piece.
    id: str
    #: Length in tokens.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a request for a model says about its prompt."""

    #: Model asked for.
    model: str
    #: Tokens of the prompt.
    tokens: int
    #: Most tokens of the answer.
    max_output_tokens: int
    #: Parts in order.
    parts: tuple[PromptPart, ...]

    @property
    def sized_parts(self) -> list[tuple[str, int]]:
        """Identity and tokens of each part, as the decisions take them."""
        return [(part.id, part.tokens) for part in self.parts]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One whole request of a caller."""

    #: Id of the caller's attempt; empty if it sent none.
    id: str
    #: Method as sent.
    method: bytes
    #: Path and query, byte for byte.
    target: bytes
    #: Host as sent.
    host: str
    #: Headers as sent.
    headers: Headers
    #: Whole body.
    body: bytes
    #: Monotonic time at which the head had arrived.
    arrived_at: float
    #: Seconds that the caller waits; ``None`` if it did not say.
    allowed_s: float | None
    #: Prompt; ``None`` for other requests.
    prompt: Prompt | None

    @property
    def path(self) -> str:
        """Path without its query."""
        raw = self.target.split(b"?", 1)[0]
        return raw.decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class CacheHandle:
    """A KV cache that an engine keeps for another one to fetch."""

    #: IP number and port of the engine that holds it.
    address: str
    #: Name of the cache there.
    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendFacts:
    """What the system itself tells a target about a request."""

    #: Target that must be the one to run it.
    target_id: str
    #: Seconds left for the answer.
    left_s: float
    #: Urgency for engines, 0 first; ``None`` for plain services.
    priority: int | None = None
    #: Whether only the prompt is to be processed.
    prefill_only: bool = False
    #: KV cache to start from.
    cache: CacheHandle | None = None
    #: Address of an engine that has more of the prompt cached.
    fetch_from: str | None = None
    #: Last event passed on, for going on with a stream.
    last_event_id: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """One request as it is sent to a target."""

    #: Method.
    method: bytes
    #: Path and query.
    target: bytes
    #: Headers without framing.
    headers: Headers
    #: Whole body.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer."""

    #: Status code.
    status: int
    #: Headers without those of the connection.
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A target answered in full, or its stream has begun."""

    #: Head of the answer.
    head: AnswerHead
    #: Whole body; empty for a stream, which follows.
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No connection came about; the target has seen nothing."""

    #: What happened.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target says that it did not run the request."""

    #: What happened.
    reason: str
    #: Whether another target has the address now.
    moved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent and may have run."""

    #: What happened.
    reason: str
    #: Whether a kept connection broke before any byte of an answer came;
    #: the target had probably closed it.
    stale: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The time of the request was over; it may have run."""

    #: What happened.
    reason: str


Outcome: typing.TypeAlias = Answered | NotSent | NotRun | Unknown | TimedOut
