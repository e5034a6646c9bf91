"""What the administration API shows."""

import typing

import msgspec

from agatewing import timeline


class InstanceView(msgspec.Struct, frozen=True):
    """One instance."""

    # Name of the instance.
    instance: str
    # Incarnation of its process; 0 if it was never heard.
    incarnation: int
    # Availability zone.
    zone: str
    # ``alive``, ``suspect``, ``dead`` or ``left``.
    status: str
    # Whether the platform lists it.
    listed: bool
    # Configuration version that it confirms.
    config_version: int
    # Seconds since it was heard; 0 for the instance that answers.
    heard_age_s: float | None
    # IP number and port of its links.
    address: str


class TargetView(msgspec.Struct, frozen=True):
    """One engine or target of a plain service."""

    # Name in the inventory.
    name: str
    # ``engine`` or ``target``.
    kind: str
    # Service.
    service: str
    # Availability zone.
    zone: str
    # IP number and port.
    address: str
    # What the operators intend.
    state: str
    # Whether new work goes there now.
    usable: bool
    # Present role of an engine.
    role: str = ""
    # Work sent from the answering instance and not ended.
    in_flight: int = 0
    # Share of normal work, from outlier detection.
    ease: float = 1.0


class LeaseView(msgspec.Struct, frozen=True):
    """One lease."""

    # Name of the lease.
    lease: str
    # Holder as ``instance/incarnation``.
    holder: str
    # Fencing number.
    fence: int


class OrderView(msgspec.Struct, frozen=True):
    """The last valid order of an engine."""

    # Engine.
    engine: str
    # Number sent to the engine.
    number: int
    # What the engine is to be.
    change: dict[str, typing.Any]
    # Settlement by deliverer.
    deliverers: dict[str, str | None]


class StatusView(msgspec.Struct, frozen=True):
    """The answering instance itself."""

    # Name of the instance.
    instance: str
    # Incarnation of its process.
    incarnation: int
    # Phase of its life.
    phase: str
    # What it knows about its configuration.
    standing: str
    # Whether new requests are welcome.
    ready: bool
    # Version in force here.
    config_version: int
    # Why the accepted version cannot be used; empty if it can.
    config_fault: str
    # Seconds since the log's end was known.
    log_age_s: float | None
    # Requests being answered.
    open_requests: int
    # Requests answered in full since the start.
    answered: int
    # Refusals by kind since the start.
    refusals: dict[str, int]
    # Broken promises since the start.
    broken: dict[str, int]
    # Role changes ordered by this instance.
    role_changes: int
    # Processor time used since the start, in seconds.
    cpu_s: float
    # Resident memory, in bytes.
    memory_bytes: int
    # Bytes sent on links to instances.
    link_bytes: int


class EventPage(msgspec.Struct, frozen=True):
    """Events of one process."""

    # Oldest first.
    events: tuple[timeline.Event, ...]
