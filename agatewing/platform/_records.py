"""Decodes records of the platform's log into the product's types."""

import ipaddress
import logging

import msgspec

from agatewing import _types
from agatewing import gateway
from agatewing.platform import _names

_log = logging.getLogger("agatewing.platform")

BITS_PER_BYTE = 8


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    # safe, unsafe, streaming, or a kind that is handled like unsafe.
    kind: str
    timeout_ms: float
    # Time within which an answer earns its full credit.
    target_latency_ms: float = 0
    priority: int = 0
    # One service, or traffic_split.
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()
    # Targets for one attempt of a caller, not sends.
    max_attempts: int = 1
    # Set where requests describe a prompt; nothing has to stick.
    sticky: bool = False
    resumable: bool = False
    # Longest pause between events, not between streams.
    target_gap_ms: float = 0


class _Engine(msgspec.Struct, frozen=True):
    slots: int
    kv_tokens: int
    token_kv_bytes: int
    # Megabits a second, not bytes.
    link_mbps: float


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()


class _Entry(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Counts the entries of one start; not an offset.
    seq: int = 0
    cold_left_ms: float = 0
    # Role of an engine; plain services have none.
    stage: str | None = None
    # Unix time of the start, in milliseconds.
    born: int = 0


class RecordDecoder:
    """Reads configuration and entries; what is odd names nothing."""

    __slots__ = ()

    def configuration(
        self, record: gateway.KeyedRecord
    ) -> gateway.Configuration | None:
        """Return the configuration, or ``None`` if the record is none."""
        if record.key != _names.CONFIGURATION_KEY or not record.value:
            return None
        try:
            raw = msgspec.json.decode(record.value, type=_Config)
        except msgspec.MsgspecError as exc:
            _log.error(
                "platform: configuration cannot be read, the last one holds",
                extra={"reason": str(exc)},
            )
            return None
        limits = raw.limits
        return gateway.Configuration(
            raw.version,
            tuple(_route(route) for route in raw.routes),
            {service.name: _service(service) for service in raw.services},
            gateway.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / 1_000,
                limits.idle_timeout_ms / 1_000,
            ),
        )

    def target(self, record: gateway.KeyedRecord) -> gateway.Target | None:
        """Return the target, or ``None`` if the entry names none."""
        if not record.value:
            return None
        try:
            raw = msgspec.json.decode(record.value, type=_Entry)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            _log.warning(
                "platform: entry cannot be read, it names no target",
                extra={"target": record.key, "reason": str(exc)},
            )
            return None
        state = _STATES.get(raw.state)
        role = _ROLES.get(raw.stage or "")
        if state is None or (raw.stage and role is None):
            _log.warning(
                "platform: entry has unknown words, it names no target",
                extra={
                    "target": record.key,
                    "state": raw.state,
                    "role": raw.stage,
                },
            )
            return None
        if not _is_address(raw.address):
            _log.warning(
                "platform: entry has no address, it names no target",
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
        )


_STATES = {
    _names.READY: _types.TargetState.ACTIVE,
    _names.DRAINING: _types.TargetState.DRAINING,
}
_ROLES = {
    _names.PREFILL: _types.Role.PREFILL,
    _names.DECODE: _types.Role.DECODE,
}


def _route(raw: _Route) -> gateway.Route:
    """Return a route in the product's words."""
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
        _kind(raw),
        raw.timeout_ms / 1_000,
        raw.target_latency_ms / 1_000,
        raw.priority,
        shares,
        max(1, raw.max_attempts),
        raw.sticky,
        raw.target_gap_ms / 1_000,
    )


def _kind(raw: _Route) -> gateway.Kind:
    """Return what may be repeated; nothing, where that is not known."""
    if raw.kind == "safe":
        return gateway.Kind.REPEATABLE
    if raw.kind == "streaming":
        if raw.resumable:
            return gateway.Kind.RESUMABLE_STREAM
        return gateway.Kind.STREAM
    return gateway.Kind.ONCE


def _service(raw: _Service) -> gateway.Service:
    """Return a service in the product's words."""
    engine = raw.engine
    facts = None
    if engine is not None:
        facts = gateway.EngineFacts(
            engine.slots,
            engine.kv_tokens,
            engine.token_kv_bytes,
            engine.link_mbps * 1e6 / BITS_PER_BYTE,
        )
    return gateway.Service(raw.name, raw.max_conns, facts)


def _is_address(address: str) -> bool:
    """Return whether a text is an IP number and a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65_536
