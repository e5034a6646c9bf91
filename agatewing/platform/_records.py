"""Decodes records of the platform's log into the gateway's types."""

import ipaddress
import logging
import re
import typing

import msgspec
import result

from agatewing import _decoding
from agatewing import _types
from agatewing import accounts
from agatewing import decisions
from agatewing import gateway
from agatewing.platform import _names

_log = logging.getLogger("agatewing.platform")

BITS_PER_BYTE = 8
#: Longest text in a target's entry, in characters; names and versions go into
#: messages between instances, of which some are datagrams.
MAX_NAME_LENGTH = 255
#: Largest number of requests that a target may process at once.
MAX_SLOTS = 1_000_000
#: Largest number of engines in one zone.
MAX_ENGINES = 10_000
#: Largest sequence number, as messages between instances have 64 bits.
MAX_SEQUENCE = 2**63 - 1
#: Longest time for which a target may stay slow after its start: one day, in
#: milliseconds.
MAX_COLD_MS = 86_400_000
#: Latest start of a target, the end of the year 2099, in Unix milliseconds.
MAX_BORN_MS = 4_102_444_799_999

#: Key of a target's entry, which becomes a header: visible ASCII.
_KEY = re.compile(r"[!-~]{1,255}")
#: Visible ASCII, as the whole value of a header.
_VISIBLE = r"^[!-~]{1,255}\Z"
_PORT = re.compile(r"[0-9]{1,5}")
_Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class _ServiceShare(msgspec.Struct, frozen=True):
    service: str
    # Relative to the other shares of the route.
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    # "safe", "unsafe" or "streaming"; unknown kinds count as unsafe.
    kind: str
    timeout_ms: float
    # Latency objective: an answer within it counts in full, in milliseconds.
    target_latency_ms: float = 0
    priority: int = 0
    # The only service; if it is set, traffic_split is ignored.
    service: str | None = None
    traffic_split: tuple[_ServiceShare, ...] = ()
    # Number of targets, not of sends, for one attempt of a caller.
    max_attempts: int = 1
    # Set if requests describe a prompt; requires no session affinity.
    sticky: bool = False
    # Whether a stream can be resumed after its last event.
    resumable: bool = False
    # Longest pause between events, not between streams, that is on time, in
    # milliseconds.
    target_gap_ms: float = 0
    # Whether requests need no key.
    public: bool = False


class _Engine(msgspec.Struct, frozen=True):
    # Requests in one batch.
    slots: int
    # Capacity of the KV cache, in tokens.
    kv_tokens: int
    # Size of the KV cache of one token, in bytes.
    token_kv_bytes: int
    # Bandwidth in megabits, not megabytes, per second.
    link_mbps: float


class _Scaling(msgspec.Struct, frozen=True):
    # Bounds of the number of engines in a zone, of both kinds together.
    min: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ENGINES)]
    max: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_ENGINES)]
    # Time from an order until new engines serve, in seconds.
    boot_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 0
    # Price of an engine that may be reclaimed, in prices of the others.
    spot_price: float | None = None
    # Price of an engine by zone.
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True):
    name: str
    # Limit of connections that one target accepts.
    max_conns: int = 64
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True):
    # Name of a client account, which becomes a header.
    name: typing.Annotated[str, msgspec.Meta(pattern=_VISIBLE)]
    api_keys: tuple[str, ...] = ()
    # Rank of its requests, before that of their routes; 0 is first.
    priority: int | None = None


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    # Client accounts; no keys are needed without the field.
    tenants: tuple[_Tenant, ...] | None = None


class _TargetEntry(msgspec.Struct, frozen=True):
    service: _Name
    address: _Name
    zone: _Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _Name
    # Sequence number of the entry since the target's start, no log offset.
    seq: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)] = 0
    # Time for which the target stays slow after its start, in milliseconds.
    cold_left_ms: typing.Annotated[
        float, msgspec.Meta(ge=0, le=MAX_COLD_MS)
    ] = 0
    # Role of an engine; ``None`` for targets of plain services.
    stage: _Name | None = None
    # Start of the target, in Unix milliseconds.
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0
    # Version of the target's software, not of the entry.
    version: _Name = ""
    # Whether the target may be reclaimed.
    spot: bool = False
    # Time until a draining target is gone, in milliseconds.
    leaves_ms: (
        typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] | None
    ) = None


class RecordDecoder:
    """Decodes configuration and target entries; skips invalid records."""

    __slots__ = ()

    def configuration(
        self, record: gateway.KeyedRecord
    ) -> gateway.Configuration | None:
        """Return the configuration; ``None`` for other or invalid records."""
        if record.key != _names.CONFIGURATION_KEY or not record.value:
            return None
        match _decoding.decode_json(record.value, _Config):
            case result.Err(reason):
                _log.error(
                    "platform: configuration cannot be decoded, kept the last "
                    "one",
                    extra={"reason": reason},
                )
                return None
            case result.Ok(raw):
                limits = raw.limits
        return gateway.Configuration(
            raw.version,
            tuple(_convert_route(route) for route in raw.routes),
            {
                service.name: _convert_service(service)
                for service in raw.services
            },
            gateway.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / 1_000,
                limits.idle_timeout_ms / 1_000,
            ),
            _convert_accounts(raw.tenants),
            accounts_known=True,
        )

    def target(self, record: gateway.KeyedRecord) -> gateway.Target | None:
        """Return the target; ``None`` if it was removed or is invalid."""
        if not record.value:
            return None
        match _decode_target(record.key, record.value):
            case result.Err(reason):
                _log.warning(
                    "platform: target entry ignored, it cannot be decoded",
                    extra={"target": record.key, "reason": reason},
                )
                return None
            case result.Ok(raw):
                pass
        state = _STATES.get(raw.state)
        role = _ROLES.get(raw.stage or "")
        if state is None or (raw.stage and role is None):
            _log.warning(
                "platform: target entry ignored, unknown state or role",
                extra={
                    "target": record.key,
                    "state": raw.state,
                    "role": raw.stage,
                },
            )
            return None
        if not _is_address(raw.address):
            _log.warning(
                "platform: target entry ignored, address is not IP:PORT",
                extra={"target": record.key, "address": raw.address},
            )
            return None
        return gateway.Target(
            record.key,
            raw.service,
            raw.address,
            raw.zone,
            state,
            raw.slots,
            role,
            raw.cold_left_ms / 1_000,
            raw.born,
            raw.seq,
            raw.version,
            raw.spot,
            None if raw.leaves_ms is None else raw.leaves_ms / 1_000,
        )


_STATES = {
    _names.READY: _types.TargetState.ACTIVE,
    _names.DRAINING: _types.TargetState.DRAINING,
}
_ROLES = {
    _names.PREFILL: _types.Role.PREFILL,
    _names.DECODE: _types.Role.DECODE,
}


def _decode_target(key: str, value: bytes) -> result.Result[_TargetEntry, str]:
    """Decode an entry; an error is the reason why it names no target."""
    if not _KEY.fullmatch(key):
        return result.Err("its key is no id")
    return _decoding.decode_json(value, _TargetEntry)


def _convert_route(raw: _Route) -> gateway.Route:
    """Convert a route; the path prefix stays, the host becomes lower case."""
    shares = tuple(
        gateway.Share(share.service, share.weight)
        for share in raw.traffic_split
    )
    if raw.service is not None:
        shares = (gateway.Share(raw.service, 1.0),)
    return gateway.Route(
        raw.name,
        raw.host.lower(),
        raw.path_prefix,
        _route_kind(raw),
        raw.timeout_ms / 1_000,
        raw.target_latency_ms / 1_000,
        raw.priority,
        shares,
        max(1, raw.max_attempts),
        raw.sticky,
        raw.target_gap_ms / 1_000,
        raw.public,
    )


def _convert_accounts(
    raw: tuple[_Tenant, ...] | None,
) -> tuple[accounts.Account, ...] | None:
    """Convert the client accounts; their keys become digests."""
    if raw is None:
        return None
    return tuple(
        accounts.Account(
            tenant.name,
            tenant.priority,
            tuple(
                digest
                for key in tenant.api_keys
                if (digest := accounts.key_digest(key.encode()))
            ),
        )
        for tenant in raw
    )


def _route_kind(raw: _Route) -> gateway.RouteKind:
    """Return the kind of a route, which decides how requests are retried.

    A request of an unknown kind is never sent again once it may have run.
    """
    if raw.kind == "safe":
        return gateway.RouteKind.REPEATABLE
    if raw.kind == "streaming":
        if raw.resumable:
            return gateway.RouteKind.RESUMABLE_STREAM
        return gateway.RouteKind.STREAM
    return gateway.RouteKind.ONCE


def _convert_service(raw: _Service) -> gateway.Service:
    """Convert a service; the engine's link becomes bytes per second."""
    engine = raw.engine
    engine_properties = None
    if engine is not None:
        engine_properties = gateway.EngineProperties(
            engine.slots,
            engine.kv_tokens,
            engine.token_kv_bytes,
            engine.link_mbps * 1e6 / BITS_PER_BYTE,
        )
    return gateway.Service(
        raw.name,
        raw.max_conns,
        engine_properties,
        _convert_scaling(raw.scaling),
    )


def _convert_scaling(raw: _Scaling | None) -> decisions.Scaling | None:
    if raw is None:
        return None
    return decisions.Scaling(
        raw.min, raw.max, raw.boot_s, raw.spot_price, dict(raw.zone_prices)
    )


def _is_address(address: str) -> bool:
    """Return whether a text is ``IP:PORT``, with an address of IPv4."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return bool(_PORT.fullmatch(port)) and 0 < int(port) < 65_536
