"""Settings of one instance's process."""

import enum
import ipaddress
import pathlib
import typing

import msgspec
import result

from agatewing.config import _checker

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Sha256 = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class Permission(enum.StrEnum):
    """An action that an operator's token allows."""

    READ = "read"
    PUBLISH = "publish"
    DRAIN = "drain"


class AdminToken(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's bearer token, stored as a hash."""

    # Name that appears in audit events.
    name: str
    # Hex SHA-256 of the bearer token.
    sha256: Sha256
    # What the token allows.
    permissions: tuple[Permission, ...]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests, connections and queues."""

    # Maximum size of a request body, in bytes.
    max_body_bytes: int = 4_000_000
    # Maximum size of all request bodies together that the process holds, in
    # bytes; one more may go on beyond it, so that some body can always end.
    max_bodies_bytes: typing.Annotated[int, msgspec.Meta(ge=1_000_000)] = (
        256_000_000
    )
    # Maximum size of the answers, and of the unfinished events, of targets
    # together that the process holds while it reads them, in bytes.
    max_answers_bytes: typing.Annotated[int, msgspec.Meta(ge=1_000_000)] = (
        256_000_000
    )
    # Maximum size of the header block of a request, in bytes.
    max_header_bytes: int = 32_768
    # Time limit for a caller to send the head of a request, and again for
    # its body, in seconds.
    request_read_s: Positive = 10.0
    # Maximum number of open connections at the caller port.
    max_connections: int = 8_192
    # Maximum number of requests queued for one engine pool.
    max_queue: int = 4_096
    # Rate limit of each operator token at the administration API, in
    # requests per second.
    admin_rate_per_s: Positive = 50.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that a process reads once, at its start."""

    # Unique name of the instance in the platform's instance list.
    instance: str
    # Availability zone of the instance.
    zone: str
    # IP number that every port of the process listens on.
    host: str
    # Port for callers.
    caller_port: Port
    # Port of the administration API.
    admin_port: Port
    # UDP and TCP port for messages between instances.
    peer_port: Port
    # Base URL of the log service.
    log_url: str
    # Base URL of the instance list.
    instance_list_url: str
    # Key that signs resume ids, the same at every instance.
    stream_secret: typing.Annotated[str, msgspec.Meta(min_length=16)]
    # Key that authenticates messages between instances.
    peer_secret: typing.Annotated[str, msgspec.Meta(min_length=16)]
    # Tokens of the operators.
    admin_tokens: tuple[AdminToken, ...] = ()
    # Limits on requests, connections and queues.
    limits: Limits = Limits()
    # Rate limit of the log that all instances share, in appends per
    # second.
    log_appends_per_s: Positive = 300.0
    # Time between reporting not ready and starting to wait for open requests,
    # in seconds; the ports close after that wait.
    leave_delay_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 1.0
    # Longest wait for open requests and at-most-once calls at an orderly
    # shutdown, in seconds.
    drain_limit_s: Positive = 120.0
    # Log level by its name in the logging module.
    log_level: str = "INFO"


def parse_settings(text: str, source: str) -> _checker.Checked[Settings]:
    """Decode settings written as JSON with comments."""
    match _checker.parse_text(text, source):
        case result.Err() as err:
            return err
        case result.Ok(data):
            pass
    match _checker.decode(Settings, data, source):
        case result.Err() as err:
            return err
        case result.Ok(settings):
            faults = _check_values(settings, source)
    if faults:
        return result.Err(tuple(faults))
    return result.Ok(settings)


def load_settings(path: pathlib.Path) -> _checker.Checked[Settings]:
    """Read settings from a file."""
    match _checker.read_text(path):
        case result.Err() as err:
            return err
        case result.Ok(text):
            return parse_settings(text, str(path))
    raise AssertionError("unreachable")


def _check_values(settings: Settings, source: str) -> list[_checker.Fault]:
    """Return faults that the types of the fields don't cover."""
    checker = _checker.Checker(source)
    try:
        ipaddress.ip_address(settings.host)
    except ValueError:
        checker.add(
            "host",
            "is not an IP number",
            "write an IP number",
        )
    for field in ("log_url", "instance_list_url"):
        if not getattr(settings, field).startswith("http://"):
            checker.add(field, "is not an http URL", "write http://IP:PORT")
    return checker.faults
