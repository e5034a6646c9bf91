"""What operators publish and targets announce, in the product's words."""

import dataclasses
import enum

from agatewing import _types

#: Callers abandon a stream after the longest of these: a time in seconds, a
#: number of objectives, a number of pauses.
SILENCE_S = 2.0
SILENCE_OBJECTIVES = 4
SILENCE_GAPS = 8


class Kind(enum.StrEnum):
    """What may be repeated of a request."""

    #: Runs at most once for each attempt of a caller.
    ONCE = "once"
    #: May run again on another target.
    REPEATABLE = "repeatable"
    #: A stream of events that runs at most once.
    STREAM = "stream"
    #: A stream that another target may go on with.
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Kind.REPEATABLE, Kind.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in a route."""

    #: Name of the service.
    service: str
    #: Weight against the other shares of the route.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule that sends requests of one host and path to services."""

    #: Name of the rule.
    name: str
    #: Host that callers name, in lower case.
    host: str
    #: Start of the path; begins and ends with a slash.
    prefix: str
    #: What may be repeated.
    kind: Kind
    #: Longest time that a request is kept waiting, in seconds.
    timeout_s: float
    #: Time within which an answer is on time, in seconds.
    objective_s: float
    #: Rank among routes; 0 is the most urgent.
    rank: int
    #: Services by weight.
    shares: tuple[Share, ...]
    #: Targets to which one attempt may be sent.
    max_targets: int
    #: Whether requests describe a prompt for a model.
    generates: bool = False
    #: Longest pause between events that is on time, in seconds; 0 if the
    #: route states none.
    gap_s: float = 0.0

    @property
    def patience_s(self) -> float:
        """Return the silence after which callers abandon a stream.

        Source: the platform's page on requests; see docs/INTERFACES.md.
        """
        return max(
            SILENCE_S,
            SILENCE_OBJECTIVES * self.objective_s,
            SILENCE_GAPS * self.gap_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFacts:
    """What the operators state of the engines of a service."""

    #: Requests of one batch.
    slots: int
    #: Tokens of KV cache that fit into the memory.
    kv_tokens: int
    #: Bytes of KV cache of one token.
    kv_token_bytes: int
    #: Bytes a second between two engines.
    link_bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that do the same work."""

    #: Name.
    name: str
    #: Connections that one target accepts from all callers.
    max_connections: int
    #: Facts of its engines; ``None`` for plain services.
    engines: EngineFacts | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send and how long they may idle."""

    #: Largest head, in bytes.
    max_head_bytes: int = 16_384
    #: Largest body, in bytes.
    max_body_bytes: int = 4_194_304
    #: Time for one head, in seconds.
    head_timeout_s: float = 3.0
    #: Time after which an idle connection is closed, in seconds.
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    #: Grows with each change.
    version: int
    #: Routes.
    routes: tuple[Route, ...]
    #: Services by name.
    services: dict[str, Service]
    #: Bounds on callers.
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An engine or a process of a plain service, as it announced itself."""

    #: Name of this start of the target.
    id: str
    #: Service that it belongs to.
    service: str
    #: IP number and port.
    address: str
    #: Availability zone.
    zone: str
    #: Whether it takes new work, or is leaving.
    state: _types.TargetState
    #: Requests that it processes at once.
    slots: int
    #: Role of an engine; ``None`` for plain services.
    role: _types.Role | None = None
    #: Time for which it stays slow after its start, in seconds.
    cold_s: float = 0.0
    #: Unix time of its start in milliseconds; 0 if it did not say.
    born_ms: int = 0
    #: Number of the announcement since that start.
    sequence: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What one instance tells another one that cannot read the log."""

    #: Configuration in force there.
    configuration: Configuration | None
    #: Targets known there.
    targets: tuple[Target, ...]
    #: Offset up to which targets were read there.
    through: int
    #: Seconds since the sender read the end of the log.
    age_s: float
