"""Settings of a process that serves as an instance on a platform."""

import pathlib
import typing

import msgspec
import result

from agatewing import config
from agatewing import net

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Millis = typing.Annotated[float, msgspec.Meta(ge=0)]


class RetryBound(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound on repeats over all instances."""

    # Repeats for each request.
    ratio: float = 0.2
    # Repeats that are always allowed in a window.
    slack: float = 50
    # Length of the sliding window, in seconds.
    window_s: Positive = 10


class EngineSpeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How fast the engines of the deployment work, from their sheet."""

    # Prompt tokens a second of an engine that does nothing else.
    prefill_tokens_per_s: Positive = 64_200
    # Time of a step without any work, in milliseconds.
    step_ms: Positive = 4.23
    # Time that one sequence adds to a step, in milliseconds.
    step_ms_per_sequence: Millis = 0.000767
    # Time that a thousand tokens of KV cache add to a step, in milliseconds.
    step_ms_per_k_context: Millis = 0.00857
    # Prompt tokens of one step of a prefill engine.
    chunk_tokens: int = 2_048
    # Share of the prefill rate, and of the chunk, at a decode engine.
    beside_rate_share: Positive = 0.5
    beside_chunk_share: Positive = 0.25
    # Time of a million pairs of a prompt's tokens, in milliseconds.
    attention_ms_per_m_pairs: Millis = 0.647


class Roles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the engines of a service are split into roles."""

    # Share of the engines that decode; the others prefill. 0 gives no
    # orders, engines keep the roles they start with.
    decode_share: typing.Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0
    # Least time between orders of two instances to one engine, in
    # milliseconds; the platform's bound.
    holder_gap_ms: Positive = 3_000


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that one process is told at its start."""

    # Unique name of the instance.
    instance: str
    # Availability zone.
    zone: str
    # IP number and port for callers.
    caller_address: str
    # IP number and port that the balancer asks for readiness.
    ready_address: str
    # IP number and port for other instances.
    peer_address: str
    # IP number and port of the platform's log.
    log_address: str
    # Key that signs messages between instances.
    peer_secret: typing.Annotated[str, msgspec.Meta(min_length=16)]
    # Addresses of a few instances, which may be gone; asked on the peer
    # port while neither the log nor an entry in it is known.
    seeds: tuple[str, ...] = ()
    # IP number and port of /metrics; empty for none beside readiness.
    metrics_address: str = ""
    # Time between the order to stop and the end, in seconds.
    stop_limit_s: Positive = 8
    # Time for which engines keep a shared part of a prompt, in seconds.
    cache_keep_s: Positive = 10
    # Bound on repeats.
    retries: RetryBound = RetryBound()
    # Speed of engines.
    engines: EngineSpeed = EngineSpeed()
    # Roles of engines.
    roles: Roles = Roles()
    # Log level, as the logging module names it.
    log_level: str = "INFO"


def load_gateway_settings(
    path: pathlib.Path,
) -> config.Checked[GatewaySettings]:
    """Read settings from a file of JSON with comments."""
    match config.load_checked(GatewaySettings, path):
        case result.Err() as err:
            return err
        case result.Ok(settings):
            pass
    addresses = {
        "caller_address": settings.caller_address,
        "ready_address": settings.ready_address,
        "peer_address": settings.peer_address,
        "log_address": settings.log_address,
    }
    for index, seed in enumerate(settings.seeds):
        addresses[f"seeds[{index}]"] = seed
    if settings.metrics_address:
        addresses["metrics_address"] = settings.metrics_address
    faults = [
        config.Fault(str(path), field, "is no address", "write it as IP:PORT")
        for field, address in addresses.items()
        if not _is_address(address)
    ]
    return result.Err(tuple(faults)) if faults else result.Ok(settings)


def peer_seeds(settings: GatewaySettings) -> list[str]:
    """Return the seeds on the port of other instances.

    All instances use the same port, so only the IP numbers of the seeds
    matter.
    """
    _, port = net.split_address(settings.peer_address)
    return [f"{net.split_address(seed)[0]}:{port}" for seed in settings.seeds]


def _is_address(address: str) -> bool:
    host, colon, port = address.rpartition(":")
    return bool(host and colon and port.isdecimal())
