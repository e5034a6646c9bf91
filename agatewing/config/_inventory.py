"""Types of the configuration document: the inventory and the rules."""

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


class _StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all structs of the document; rejects unknown fields."""


class Region(_StrictStruct, frozen=True):
    """A region and its availability zones."""

    # Names of its availability zones.
    zones: tuple[Name, ...]


class Engine(_StrictStruct, frozen=True):
    """A model engine."""

    # IP number and port.
    address: Address
    # Availability zone.
    zone: Name
    # Service the engine belongs to.
    service: Name
    # Roles that the engine may have; it starts with the first.
    roles: tuple[_types.Role, ...] = (_types.Role.MIXED,)
    # Models that it can serve; empty for all models of its service. Routing
    # does not use this field.
    models: tuple[str, ...] = ()
    # Whether it refuses orders with an old fencing token.
    checks_fencing: bool = False
    # State set by the operators.
    state: _types.TargetState = _types.TargetState.ACTIVE


class Target(_StrictStruct, frozen=True):
    """A target of a plain service."""

    # IP number and port.
    address: Address
    # Availability zone.
    zone: Name
    # Service the target belongs to.
    service: Name
    # State set by the operators.
    state: _types.TargetState = _types.TargetState.ACTIVE


class ModelService(_StrictStruct, frozen=True, tag_field="kind", tag="model"):
    """A service whose requests engines answer."""

    # Models the service offers.
    models: tuple[str, ...]
    # Time limit for a request up to the end of its answer, in seconds.
    deadline_s: Seconds = 60.0
    # Most sequences that one engine processes at once.
    engine_slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)] = 32
    # Minimum number of engines able to prefill; the same number must be
    # able to decode.
    role_floor: typing.Annotated[int, msgspec.Meta(ge=1)] = 1


class PlainService(_StrictStruct, frozen=True, tag_field="kind", tag="plain"):
    """A service whose calls are forwarded to one of its targets."""

    # Time limit for a call, in seconds. For a call that may be retried, only
    # the start of a retry is limited.
    deadline_s: Seconds = 5.0
    # Most calls that one target handles at once; not enforced.
    target_slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64


class AtMostOnce(_StrictStruct, frozen=True):
    """Calls of a plain service that must not be retried once sent."""

    # Name of the plain service.
    service: Name
    # HTTP method.
    method: str
    # Path pattern below the service; ``*`` matches one segment.
    path: str


class Caller(_StrictStruct, frozen=True):
    """A client account."""

    # Hex SHA-256 of its bearer token.
    token_sha256: Sha256
    # Weight in the fair queue.
    weight: Weight = 1.0
    # Services that it may call; empty for all.
    services: tuple[Name, ...] = ()


class Rules(_StrictStruct, frozen=True):
    """The operators' rules, in addition to the inventory."""

    # Client accounts by name.
    callers: dict[Name, Caller]
    # Groups of model services; each group shares its engines.
    shared_engines: tuple[tuple[Name, ...], ...] = ()
    # Calls that run at most once.
    at_most_once: tuple[AtMostOnce, ...] = ()
    # Weight of goodput in the choice of a role plan, 0 to 1; the remainder
    # is the weight of the cost of role changes.
    goodput_weight: Share = 0.5
    # Maximum age of an accepted idempotency key, in seconds.
    idempotency_window_s: Seconds = 900.0


class Document(_StrictStruct, frozen=True):
    """The whole configuration of a deployment in one version."""

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
    # The operators' rules.
    rules: Rules

    def service_of_model(self, model: str) -> str | None:
        """Return the name of the service that offers ``model``, if any."""
        for name, service in self.services.items():
            if isinstance(service, ModelService) and model in service.models:
                return name
        return None

    def services_sharing(self, service: str) -> frozenset[str]:
        """Return the services that share engines with ``service``.

        ``service`` itself is among them.
        """
        names = {service}
        for group in self.rules.shared_engines:
            if service in group:
                names.update(group)
        return frozenset(names)

    def pool_of(self, service: str) -> str:
        """Return the name of the engine pool that serves ``service``.

        A pool has the name of its alphabetically first service.
        """
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
