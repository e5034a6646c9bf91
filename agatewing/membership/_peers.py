"""What an instance knows of its peers, and what it sends them."""

import dataclasses

from agatewing import wire

ALIVE = wire.Status.ALIVE
SUSPECT = wire.Status.SUSPECT
DEAD = wire.Status.DEAD
LEFT = wire.Status.LEFT


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance, as known here."""

    #: Name of the instance.
    instance: str
    #: Address of its links, ``IP:port``.
    address: str
    #: Availability zone.
    zone: str = ""
    #: Incarnation; 0 until it was heard of.
    incarnation: int = 0
    #: Status.
    status: int = ALIVE
    #: Number of suspicions that it refuted.
    refutation: int = 0
    #: Monotonic time of the last message from it.
    heard_at: float = float("-inf")
    #: Monotonic time at which the last probe it answered was sent.
    vouched_at: float = float("-inf")
    #: Monotonic time of the last change of status.
    changed_at: float = 0.0
    #: Configuration version it last named.
    config_version: int = 0
    #: Monotonic time at which it knew the log's end.
    log_ok_at: float = float("-inf")
    #: Work it reported, by engine pool.
    demand: dict[str, wire.Demand] = dataclasses.field(default_factory=dict)
    #: Whether the platform lists it.
    listed: bool = False
    #: Monotonic time since which the platform does not list it.
    unlisted_at: float = float("inf")

    @property
    def process(self) -> str:
        """The process, as ``instance/incarnation``."""
        return f"{self.instance}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send."""

    #: Address, ``IP:port``.
    address: str
    #: The message.
    message: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A peer's new status."""

    #: The process, as ``instance/incarnation``.
    process: str
    #: Its status.
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What every message says about its sender."""

    #: What the sender knows of log and configuration.
    vouch: wire.Vouch
    #: Work of the last seconds.
    demand: list[wire.Demand]
    #: Hybrid logical clock: wall milliseconds and counter.
    stamp: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Self:
    """What an instance says about itself."""

    #: Name of the instance.
    instance: str
    #: Incarnation of the process.
    incarnation: int
    #: Availability zone.
    zone: str
    #: Address of its links.
    address: str
