"""Settings of a gateway instance on a platform."""

import pathlib
import typing

import msgspec
import result

from agatewing import config
from agatewing import net

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Millis = typing.Annotated[float, msgspec.Meta(ge=0)]


class RetryBound(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit on retries over all instances."""

    # Retries allowed per request, on average over the window.
    ratio: float = 0.2
    # Retries that are always allowed in a window.
    slack: float = 50
    # Length of the sliding window, in seconds.
    window_s: Positive = 10


class EngineSpeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assumed speed of engines, until it is learned from their answers.

    The defaults are those of a current engine of medium size; a data sheet
    may replace them.
    """

    # Prefill rate of an engine that only prefills, in tokens per second.
    prefill_tokens_per_s: Positive = 60_000
    # Time of an empty step, in milliseconds.
    step_ms: Positive = 5
    # Time that one sequence adds to a step, in milliseconds.
    step_ms_per_sequence: Millis = 0.03
    # Time that a thousand tokens of KV cache add to a step, in milliseconds.
    step_ms_per_k_context: Millis = 0.004
    # Prompt tokens that a prefill engine processes in one step.
    chunk_tokens: int = 2_048
    # Share of the prefill rate that an engine of role decode reaches, and
    # share of ``chunk_tokens`` in a step while sequences decode.
    beside_rate_share: Positive = 0.5
    beside_chunk_share: Positive = 0.25
    # Tokens in one event of a stream.
    tokens_per_event: typing.Annotated[int, msgspec.Meta(ge=1)] = 8
    # Attention time per million pairs of a prompt's tokens, in milliseconds.
    attention_ms_per_m_pairs: Millis = 0.45


class Roles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Plan of the roles of a service's engines."""

    # Whether engines are ordered to change roles as the demand asks.
    # Otherwise they keep the roles that they start with.
    follow_demand: bool = False
    # Least time between orders of two instances to one engine, in
    # milliseconds; the platform requires it.
    holder_gap_ms: Positive = 3_000


class Freshness(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How soon every instance has to follow what the log holds."""

    # Time from the acknowledgement of a configuration to the moment from
    # which it has to be in force, in milliseconds.
    apply_ms: Positive = 2_000
    # Time from the acknowledgement that a target drains to the moment from
    # which it gets no requests, in milliseconds.
    drain_ms: Positive = 2_000

    @property
    def limit_s(self) -> float:
        """The shorter of the two times, in seconds."""
        return min(self.apply_ms, self.drain_ms) / 1_000


class Duties(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls to the platform that one instance makes for all."""

    # IP address and port that takes these calls; empty if the platform has
    # none.
    address: str = ""
    # Duties that the system has, as the platform names them.
    kinds: tuple[str, ...] = ()
    # Calls a second that the address takes from all instances together.
    calls_per_s: Positive = 10
    # Least time between calls of two instances for one subject, in
    # milliseconds; the platform requires it.
    holder_gap_ms: Positive = 3_000
    # Length of a window of usage, in seconds.
    usage_window_s: Positive = 60
    # Time from the end of a window within which its report is due, in
    # seconds.
    usage_late_s: Positive = 10


class Memory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the process may take; what callers may hold follows from it.

    The defaults are those of the smallest machines.
    """

    # Memory above which the process would be ended, in megabytes.
    process_mb: typing.Annotated[int, msgspec.Meta(ge=128)] = 160
    # Descriptors that it may open, those for files included.
    max_descriptors: typing.Annotated[int, msgspec.Meta(ge=300)] = 1_638


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one instance."""

    # Unique name of the instance.
    instance: str
    # Availability zone.
    zone: str
    # IP address and port for callers.
    caller_address: str
    # IP address and port for readiness checks by the balancer.
    ready_address: str
    # IP address and port for other instances.
    peer_address: str
    # IP address and port of the platform's log.
    log_address: str
    # Key that signs messages between instances.
    peer_secret: typing.Annotated[str, msgspec.Meta(min_length=16)]
    # Addresses of a few instances, some of which may no longer exist.
    # Snapshots are requested from their peer port while the log is
    # unavailable and no entry of another instance is known.
    seeds: tuple[str, ...] = ()
    # IP address and port of /metrics; if empty, it is served on
    # ``ready_address`` only.
    metrics_address: str = ""
    # Time from the stop signal to the exit, in seconds.
    stop_limit_s: Positive = 8
    # Time for which engines keep a prefix block cached, in seconds.
    cache_keep_s: Positive = 10
    # How soon changes in the log have to be followed.
    freshness: Freshness = Freshness()
    # Limit on retries.
    retries: RetryBound = RetryBound()
    # Assumed speed of engines.
    engines: EngineSpeed = EngineSpeed()
    # Plan of engines' roles.
    roles: Roles = Roles()
    # Calls to the platform that one instance makes for all.
    duties: Duties = Duties()
    # Whether numbers of engines stay where they are, for the time of an
    # intervention.
    hold_engines: bool = False
    # Memory and descriptors of the process.
    memory: Memory = Memory()
    # Bandwidth of the machine's link in Mbit/s; 0 if it is not known. Of large
    # fleets, the instances with the fastest links read the log for the others.
    link_mbps: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Log level, as the logging module names it.
    log_level: str = "INFO"


def load_gateway_settings(
    path: pathlib.Path,
) -> config.Checked[GatewaySettings]:
    """Load and check the settings from a file of JSON with comments."""
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
    if settings.duties.address:
        addresses["duties.address"] = settings.duties.address
    faults = [
        config.Fault(str(path), field, "is no address", "write it as IP:PORT")
        for field, address in addresses.items()
        if not _is_address(address)
    ]
    return result.Err(tuple(faults)) if faults else result.Ok(settings)


def peer_seeds(settings: GatewaySettings) -> list[str]:
    """Return the addresses of the seeds with the peer port.

    All instances use the same port, so only the IP addresses of the seeds
    matter.
    """
    _, port = net.split_address(settings.peer_address)
    return [f"{net.split_address(seed)[0]}:{port}" for seed in settings.seeds]


def _is_address(address: str) -> bool:
    host, colon, port = address.rpartition(":")
    return bool(host and colon and port.isdecimal())
