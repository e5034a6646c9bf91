"""Records of peers, and of what an instance reports to them."""

import dataclasses

from agatewing import wire

ALIVE = wire.Status.ALIVE
SUSPECT = wire.Status.SUSPECT
DEAD = wire.Status.DEAD
LEFT = wire.Status.LEFT


@dataclasses.dataclass(slots=True)
class Peer:
    """What this instance knows about another instance."""

    #: Name of the instance.
    instance: str
    #: Address of its links, ``IP:port``.
    address: str
    #: Availability zone.
    zone: str = ""
    #: Incarnation; 0 until a message or gossip has named one.
    incarnation: int = 0
    #: Status, one of ``wire.Status``.
    status: int = ALIVE
    #: Refutation count: the peer raises it above that of a reported suspicion.
    refutation: int = 0
    #: Monotonic time of the last message from the peer, in seconds.
    heard_at: float = float("-inf")
    #: Monotonic time at which the last probe that the peer answered was
    #: sent, in seconds.
    answered_probe_sent_at: float = float("-inf")
    #: Monotonic time of the last change of status, in seconds.
    changed_at: float = 0.0
    #: Highest configuration version that the peer has reported.
    config_version: int = 0
    #: Monotonic time at which the peer last read to the end of the log, as
    #: far as it has reported that, in seconds.
    log_read_at: float = float("-inf")
    #: Last reported demand, by name of the engine pool.
    demand: dict[str, wire.Demand] = dataclasses.field(default_factory=dict)
    #: Whether the platform lists the instance.
    listed: bool = False
    #: Monotonic time since which the platform has not listed the instance,
    #: in seconds; infinite while it is listed.
    unlisted_at: float = float("inf")

    @property
    def process(self) -> str:
        """Identity of the process, as ``instance/incarnation``."""
        return f"{self.instance}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send."""

    #: Destination address, ``IP:port``.
    address: str
    #: Message to send.
    message: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A change of a peer's status."""

    #: Identity of the process, as ``instance/incarnation``.
    process: str
    #: New status, one of ``wire.Status``.
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class SenderState:
    """The state of the sender that every message reports."""

    #: Configuration version in force and age of the last read to the end of
    #: the log.
    vouch: wire.Vouch
    #: Demand of the last seconds, one entry per engine pool.
    demand: list[wire.Demand]
    #: Hybrid logical clock: wall milliseconds and counter.
    stamp: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class LocalInstance:
    """Identity of this instance, as sent to its peers."""

    #: Name of the instance.
    instance: str
    #: Incarnation of this process.
    incarnation: int
    #: Availability zone.
    zone: str
    #: Address of its links, ``IP:port``.
    address: str
