"""Platform-independent types of configuration and announced targets."""

import dataclasses
import enum
import math

from agatewing import _types
from agatewing import accounts
from agatewing import decisions

#: Callers abandon a silent stream after the longest of three times: a fixed
#: time in seconds, a multiple of the route's objective, and a multiple of its
#: longest pause between events.
SILENCE_S = 2.0
SILENCE_OBJECTIVES = 4
SILENCE_GAPS = 8


class RouteKind(enum.StrEnum):
    """Kind of a route: whether requests may be retried or streams resumed."""

    #: A request that runs at most once for each attempt of a caller.
    ONCE = "once"
    #: A request that may be retried on another target.
    REPEATABLE = "repeatable"
    #: A stream of events that runs at most once.
    STREAM = "stream"
    #: A stream that may be resumed on another target.
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM)


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
    #: Path prefix; begins and ends with a slash.
    prefix: str
    #: Whether its requests may be retried or resumed.
    kind: RouteKind
    #: Longest time that a request may take, in seconds.
    timeout_s: float
    #: Time within which an answer counts as on time, in seconds.
    objective_s: float
    #: Rank among routes; 0 is the most urgent.
    rank: int
    #: Services by weight.
    shares: tuple[Share, ...]
    #: Largest number of targets to which one attempt may be sent.
    max_targets: int
    #: Whether requests describe a prompt for a model.
    generates: bool = False
    #: Longest pause between events that counts as on time, in seconds; 0 if
    #: the route states none.
    gap_s: float = 0.0
    #: Whether requests need no key of an account.
    public: bool = False

    @property
    def patience_s(self) -> float:
        """Silence after which callers abandon a stream, in seconds.

        Source: the platform's page on requests; see docs/INTERFACES.md.
        """
        return max(
            SILENCE_S,
            SILENCE_OBJECTIVES * self.objective_s,
            SILENCE_GAPS * self.gap_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProperties:
    """Properties of a service's engines, as the operators configure them."""

    #: Largest number of requests in one batch.
    slots: int
    #: Capacity of the KV cache, in tokens.
    kv_tokens: int
    #: Size of the KV cache of one token, in bytes.
    kv_token_bytes: int
    #: Bandwidth between two engines, in bytes per second.
    link_bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets."""

    #: Name.
    name: str
    #: Largest number of connections that one target accepts in all.
    max_connections: int
    #: Properties of its engines; ``None`` for plain services.
    engines: EngineProperties | None = None
    #: What operators allow of its number of engines; ``None`` if it is not
    #: ordered.
    scaling: decisions.Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and idle connections."""

    #: Largest request head, in bytes.
    max_head_bytes: int = 16_384
    #: Largest request body, in bytes.
    max_body_bytes: int = 4_194_304
    #: Time within which a request head must arrive, in seconds.
    head_timeout_s: float = 3.0
    #: Time after which an idle connection is closed, in seconds.
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    #: Version number; grows with each change.
    version: int
    #: Routes.
    routes: tuple[Route, ...]
    #: Services by name.
    services: dict[str, Service]
    #: Limits on callers.
    limits: CallerLimits
    #: Client accounts; ``None`` if there are none, so that keys mean nothing.
    client_accounts: tuple[accounts.Account, ...] | None = None
    #: Whether ``client_accounts`` says so. Releases that know no accounts
    #: leave it out of what they tell their peers.
    accounts_known: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An engine or a process of a plain service, as it announced itself."""

    #: Name of this incarnation of the target.
    id: str
    #: Service that it belongs to.
    service: str
    #: IP address and port.
    address: str
    #: Availability zone.
    zone: str
    #: Whether it accepts new requests or drains.
    state: _types.TargetState
    #: Number of requests that it processes at once.
    slots: int
    #: Role of an engine; ``None`` for plain services.
    role: _types.Role | None = None
    #: Time for which it stays slow after its start, in seconds.
    cold_s: float = 0.0
    #: Unix time of its start in milliseconds; 0 if not announced.
    born_ms: int = 0
    #: Number of the announcement since that start.
    sequence: int = dataclasses.field(default=0, compare=False)
    #: Version of its software, not of its models' weights; empty if not
    #: announced.
    software: str = ""
    #: Whether it may be taken away, with all others like it in its zone.
    reclaimable: bool = False
    #: Time from the announcement of a draining target until it is gone, in
    #: seconds; ``None`` if it did not say.
    leaves_in_s: float | None = None

    @property
    def active(self) -> bool:
        """Whether it accepts new requests."""
        return self.state is _types.TargetState.ACTIVE

    @property
    def key(self) -> int:
        """Hash of its incarnation, as instances name it to each other."""
        return decisions.short_key(f"{self.id}/{self.born_ms}")


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRecords:
    """Entries of targets that the sender of a snapshot has seen.

    All records of the log from an offset on, up to that of the snapshot.
    """

    #: Offset of the first of them.
    start: int
    #: Time for which the sender has missed no record, in seconds.
    complete_s: float
    #: Software versions of the engines of late, by service, with the time
    #: since the last engine of each left, in seconds.
    versions: dict[str, dict[str, float]]
    #: Era and offset of the first record that its process has seen.
    memory: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """View that an instance sends to a peer which has read less of the log."""

    #: Configuration in force at the sender; ``None`` if it has none, or if
    #: the peer has that version.
    configuration: Configuration | None
    #: Targets known to the sender, or those that have changed since ``base``.
    targets: tuple[Target, ...]
    #: Log offset up to which the sender read entries of targets.
    through: int
    #: Seconds since the sender read the end of the log.
    age_s: float
    #: Era of the log in which that offset is valid; 0 if the log named none.
    era: int = 0
    #: Offset from which on ``targets`` and ``removed`` are the changes;
    #: ``None`` if ``targets`` are all targets.
    base: int | None = None
    #: Ids of the targets whose entries were removed since.
    removed: tuple[str, ...] = ()
    #: Seconds since the log was back after an outage or a restore; ``None``
    #: if the sender saw none.
    log_back_s: float | None = None
    #: Version of the configuration in force at the sender; 0 for none.
    config_version: int = 0
    #: Era of the log, and offset up to which the sender has read
    #: configurations; ``None`` if it is not known.
    config_position: tuple[int, int] | None = None
    #: Records that the sender has seen; ``None`` if it does not say, as
    #: earlier releases do not: it may have missed any.
    seen: SeenRecords | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """What an instance has read of the log, and how long ago that was so."""

    #: Version of the configuration in force; 0 for none.
    config_version: int
    #: Era of the log, and offset up to which entries of targets were read.
    position: tuple[int, int]
    #: Seconds since no newer configuration was in the log; infinite if
    #: unknown.
    config_age_s: float = math.inf
    #: Seconds since the log ended at that offset; infinite if unknown.
    targets_age_s: float = math.inf
