"""Response records of the administration API."""

import typing

import msgspec

from agatewing import timeline


class InstanceView(msgspec.Struct, frozen=True):
    """An instance as known by the answering instance."""

    # Name of the instance.
    instance: str
    # Incarnation of its process; 0 if no message ever came from it.
    incarnation: int
    # Availability zone.
    zone: str
    # ``alive``, ``suspect``, ``dead`` or ``left``; ``unknown`` for any other
    # status code.
    status: str
    # Whether it is in the platform's instance list; always true for the
    # answering instance.
    listed: bool
    # Configuration version that it last reported as in force.
    config_version: int
    # Seconds since its last message; 0 for the answering instance itself,
    # ``None`` if there was none.
    heard_age_s: float | None
    # Address of its peer links, ``IP:port``.
    address: str


class TargetView(msgspec.Struct, frozen=True):
    """An engine, or a target of a plain service."""

    # Name in the configuration.
    name: str
    # ``engine`` or ``target``.
    kind: str
    # Name of its service.
    service: str
    # Availability zone.
    zone: str
    # Address, ``IP:port``.
    address: str
    # State set by operators: ``active``, ``draining`` or ``withdrawn``.
    state: str
    # Whether the answering instance may send new requests there.
    usable: bool
    # Current role of an engine; empty for a target.
    role: str = ""
    # Number of sequences (engine) or requests (target) that the answering
    # instance has in flight there.
    in_flight: int = 0
    # Share of its normal traffic that an engine gets; outlier detection
    # lowers it below 1 for a slow engine. Always 1 for a target.
    ease: float = 1.0


class LeaseView(msgspec.Struct, frozen=True):
    """A lease of the control stream."""

    # Name of the lease.
    lease: str
    # Holder as ``instance/incarnation``; empty if released.
    holder: str
    # Fencing token of the lease.
    fence: int


class OrderView(msgspec.Struct, frozen=True):
    """The last valid order of an engine."""

    # Name of the engine.
    engine: str
    # Offset of the order in the control stream; sent to the engine as fencing
    # token.
    number: int
    # Role or model that the engine is to change to.
    change: dict[str, typing.Any]
    # Settlement by deliverer, ``None`` while the deliverer may still send the
    # order.
    deliverers: dict[str, str | None]


class StatusView(msgspec.Struct, frozen=True):
    """Status of the answering instance."""

    # Name of the instance.
    instance: str
    # Incarnation of its process.
    incarnation: int
    # ``starting``, ``serving`` or ``leaving``.
    phase: str
    # Standing of its configuration: ``current``, ``outage``, ``stale`` or
    # ``empty``.
    standing: str
    # Whether it accepts new requests.
    ready: bool
    # Configuration version in force here.
    config_version: int
    # Why the last accepted version cannot be used; empty if it can.
    config_fault: str
    # Seconds since the end of the config stream was last read; ``None`` if
    # it never was.
    log_age_s: float | None
    # Requests being answered.
    open_requests: int
    # Requests answered in full since the start.
    answered: int
    # Refusals by kind since the start.
    refusals: dict[str, int]
    # Violations by invariant since the start.
    broken: dict[str, int]
    # Role changes ordered by this instance.
    role_changes: int
    # Processor time used since the start, in seconds.
    cpu_s: float
    # Peak resident memory since the start, in bytes.
    memory_bytes: int
    # Bytes of datagrams sent to other instances since the start.
    link_bytes: int


class EventPage(msgspec.Struct, frozen=True):
    """Time-line events of one process."""

    # Events, oldest first.
    events: tuple[timeline.Event, ...]
