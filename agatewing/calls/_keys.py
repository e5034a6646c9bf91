"""Idempotency keys: time-ordered UUIDs (RFC 9562, version 7).

The timestamp in a key shows whether the log can still hold the records of
its call.
"""

import uuid

import result

from agatewing import _exceptions
from agatewing import _types

#: Maximum time by which a key's timestamp may be ahead of the clock of this
#: instance, in seconds.
MAX_AHEAD_S = 60.0

#: Safety margin between the retention time of the log and the greatest age of
#: usable keys, in addition to ``MAX_AHEAD_S``, in seconds.
RETENTION_MARGIN_S = 30.0

KeyResult = result.Result[uuid.UUID, _exceptions.Refusal]


def key_time_s(key: uuid.UUID) -> float:
    """Return the timestamp of a version 7 UUID, in epoch seconds."""
    return (key.int >> 80) / 1000


def new_key(wall_s: float, random_bits: int) -> uuid.UUID:
    """Return a version 7 UUID with this timestamp and 74 random bits."""
    value = (int(wall_s * 1000) & (2**48 - 1)) << 80
    value |= 0x7 << 76
    value |= ((random_bits >> 62) & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & (2**62 - 1)
    return uuid.UUID(int=value)


def usable_window_s(window_s: float, retention_s: float) -> float:
    """Return the age up to which keys are accepted, in seconds.

    ``window_s`` is the configured age and ``retention_s`` the retention time
    of the log. Up to the returned age the log certainly still holds the
    records of a key. A key may be made up to ``MAX_AHEAD_S`` ahead of the
    clock, so its records may be that much older than its timestamp says.
    """
    return min(window_s, retention_s - MAX_AHEAD_S - RETENTION_MARGIN_S)


def check_key(text: str, wall_s: float, window_s: float) -> KeyResult:
    """Return the parsed key, or the refusal of an unusable one.

    A key is refused if it is missing, malformed, more than ``MAX_AHEAD_S``
    ahead of the time ``wall_s``, or older than ``window_s`` seconds.
    """
    if not text:
        return result.Err(
            _exceptions.Refusal(
                _types.RefusalKind.KEY_REQUIRED,
                "this call runs at most once and needs a key",
                "send 'Idempotency-Key' with a new UUID of version 7; "
                "repeat the same key on every retry",
            )
        )
    try:
        key = uuid.UUID(text)
    except ValueError:
        return result.Err(_invalid_key("it is not a UUID"))
    if key.version != 7:
        return result.Err(_invalid_key("it is not a UUID of version 7"))
    age_s = wall_s - key_time_s(key)
    if age_s < -MAX_AHEAD_S:
        return result.Err(_invalid_key("its time lies in the future"))
    if age_s > window_s:
        return result.Err(
            _exceptions.Refusal(
                _types.RefusalKind.KEY_EXPIRED,
                f"the key is older than {window_s:g} s, so nobody can "
                "say any more whether the call ran",
                "ask the service for the state; use a new key only for "
                "a new call",
                _types.Outcome.UNKNOWN,
            )
        )
    return result.Ok(key)


def _invalid_key(reason: str) -> _exceptions.Refusal:
    """Return the refusal of a key that is malformed or from the future."""
    return _exceptions.Refusal(
        _types.RefusalKind.KEY_INVALID,
        f"the Idempotency-Key cannot be used: {reason}",
        "send a UUID of version 7 (RFC 9562) made when the call was made",
    )
