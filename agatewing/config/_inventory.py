"""The operators' inventory and rules: one configuration document."""

import typing

import msgspec

from agatewing import _types

Weight = typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
]
Sha256 = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all parts of the document."""


class Region(_Part, frozen=True):
    """A region and its availability zones."""

    # Names of the availability zones.
    zones: tuple[Name, ...]


class Engine(_Part, frozen=True):
    """A model engine."""

    # IP number and port.
    address: Address
    # Availability zone.
    zone: Name
    # Service the engine belongs to.
    service: Name
    # Roles the engine may take; the first is its initial one.
    roles: tuple[_types.Role, ...] = (_types.Role.MIXED,)
    # Models it can serve; empty for all of its service.
    models: tuple[str, ...] = ()
    # Whether it refuses orders with an old fencing number.
    checks_fencing: bool = False
    # What the operators intend for it.
    state: _types.TargetState = _types.TargetState.ACTIVE


class Target(_Part, frozen=True):
    """A target of a plain service."""

    # IP number and port.
    address: Address
    # Availability zone.
    zone: Name
    # Service the target belongs to.
    service: Name
    # What the operators intend for it.
    state: _types.TargetState = _types.TargetState.ACTIVE


class ModelService(_Part, frozen=True, tag_field="kind", tag="model"):
    """A service that engines answer."""

    # Models the service offers.
    models: tuple[str, ...]
    # Longest time for a whole answer, in seconds.
    deadline_s: Seconds = 60.0
    # Concurrent sequences of one engine.
    engine_slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)] = 32
    # Least number of engines able to prefill, and to decode.
    role_floor: typing.Annotated[int, msgspec.Meta(ge=1)] = 1


class PlainService(_Part, frozen=True, tag_field="kind", tag="plain"):
    """A service whose calls are passed through."""

    # Longest time for a whole answer, in seconds.
    deadline_s: Seconds = 5.0
    # Concurrent calls of one target.
    target_slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64


class AtMostOnce(_Part, frozen=True):
    """Calls of a plain service that may not be repeated."""

    # Plain service.
    service: Name
    # HTTP method.
    method: str
    # Path pattern below the service, with ``*`` for one segment.
    path: str


class Caller(_Part, frozen=True):
    """A caller account."""

    # Hex SHA-256 of its bearer token.
    token_sha256: Sha256
    # Weight in the fair queue.
    weight: Weight = 1.0
    # Services it may use; empty for all.
    services: tuple[Name, ...] = ()


class Rules(_Part, frozen=True):
    """The operators' rules on top of the inventory."""

    # Caller accounts by name.
    callers: dict[Name, Caller]
    # Groups of model services that share their engines.
    shared_engines: tuple[tuple[Name, ...], ...] = ()
    # Calls that run at most once.
    at_most_once: tuple[AtMostOnce, ...] = ()
    # Weight of goodput; the rest weighs role changes.
    goodput_weight: Share = 0.5
    # Age up to which an idempotency key is accepted, in seconds.
    idempotency_window_s: Seconds = 900.0


class Document(_Part, frozen=True):
    """One version of the whole configuration of a deployment."""

    # Name of the deployment.
    deployment: Name
    # Regions by name.
    regions: dict[Name, Region]
    # Services by name.
    services: dict[Name, ModelService | PlainService]
    # Engines by name.
    engines: dict[Name, Engine]
    # Targets of plain services by name.
    targets: dict[Name, Target]
    # Rules.
    rules: Rules

    def service_of_model(self, model: str) -> str | None:
        """Return the service that offers ``model``."""
        for name, service in self.services.items():
            if isinstance(service, ModelService) and model in service.models:
                return name
        return None

    def services_sharing(self, service: str) -> frozenset[str]:
        """Return the services whose engines ``service`` may use."""
        names = {service}
        for group in self.rules.shared_engines:
            if service in group:
                names.update(group)
        return frozenset(names)

    def pool_of(self, service: str) -> str:
        """Return the name of the engine pool that serves ``service``."""
        return min(self.services_sharing(service))

    def pools(self) -> frozenset[str]:
        """Return the names of all engine pools."""
        return frozenset(
            self.pool_of(name)
            for name, service in self.services.items()
            if isinstance(service, ModelService)
        )

    def engines_of_pool(self, pool: str) -> dict[str, Engine]:
        """Return the engines of a pool, by name."""
        services = self.services_sharing(pool)
        return {
            name: engine
            for name, engine in self.engines.items()
            if engine.service in services
        }

    def targets_of(self, service: str) -> dict[str, Target]:
        """Return the targets of a plain service, by name."""
        return {
            name: target
            for name, target in self.targets.items()
            if target.service == service
        }
