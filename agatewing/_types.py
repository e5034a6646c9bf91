"""Enumerations shared by all sub-packages."""

import enum


class Role(enum.StrEnum):
    """Role of an engine: the kind of work in its batches."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class TargetState(enum.StrEnum):
    """State that operators set for an engine or service target."""

    ACTIVE = "active"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class Outcome(enum.StrEnum):
    """Whether a refused request had an effect, as far as is known."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalKind(enum.StrEnum):
    """Reason for a refusal."""

    BAD_REQUEST = "bad-request"
    BAD_TOKEN = "bad-token"
    FORBIDDEN = "forbidden"
    UNKNOWN_KEY = "unknown-key"
    NOT_FOUND = "not-found"
    UNKNOWN_MODEL = "unknown-model"
    TOO_LARGE = "too-large"
    SLOW_SENDER = "slow-sender"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_INVALID = "idempotency-key-invalid"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_REUSED = "idempotency-key-reused"
    KEY_PENDING = "idempotency-key-pending"
    NOT_READY = "not-ready"
    STALE_CONFIG = "stale-configuration"
    LEAVING = "instance-leaving"
    LOG_DOWN = "log-unavailable"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline-unreachable"
    RATE_LIMITED = "rate-limited"
    NO_TARGET = "no-target"
    QUARANTINED = "quarantined"
    TARGET_FAILED = "target-failed"
    OUTCOME_LOST = "outcome-lost"
    STREAM_LOST = "stream-lost"
    BAD_RESUME = "bad-resume-id"
    CONFLICT = "conflict"
    INTERNAL = "internal"


#: HTTP status code of each kind of refusal.
STATUS_OF_KIND: dict[RefusalKind, int] = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.BAD_TOKEN: 401,
    RefusalKind.FORBIDDEN: 403,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.UNKNOWN_MODEL: 404,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.SLOW_SENDER: 408,
    RefusalKind.KEY_REQUIRED: 400,
    RefusalKind.KEY_INVALID: 400,
    RefusalKind.KEY_EXPIRED: 422,
    RefusalKind.KEY_REUSED: 422,
    RefusalKind.KEY_PENDING: 409,
    RefusalKind.NOT_READY: 503,
    RefusalKind.STALE_CONFIG: 503,
    RefusalKind.LEAVING: 503,
    RefusalKind.LOG_DOWN: 503,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.DEADLINE: 503,
    RefusalKind.RATE_LIMITED: 429,
    RefusalKind.NO_TARGET: 503,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.TARGET_FAILED: 502,
    RefusalKind.OUTCOME_LOST: 502,
    RefusalKind.STREAM_LOST: 502,
    RefusalKind.BAD_RESUME: 400,
    RefusalKind.CONFLICT: 409,
    RefusalKind.INTERNAL: 500,
}
