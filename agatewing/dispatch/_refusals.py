"""Refusals of requests that no engine gets."""

from agatewing import _exceptions
from agatewing import _types

#: Retry-After if no engine has the software version of a stream, in seconds:
#: an engine that crashed is back within a second.
VERSION_RETRY_S = 0.5
#: Retry-After if the process ends too early for a request, in seconds: other
#: instances serve it at once.
LEAVING_RETRY_S = 0.1


def too_late(retry_after_s: float) -> _exceptions.Refusal:
    """Return the refusal of a request whose deadline cannot be met."""
    return _exceptions.Refusal(
        _types.RefusalKind.DEADLINE,
        "the answer cannot be whole before the deadline",
        "come back after Retry-After, or allow more time",
        retry_after_s=retry_after_s,
    )


def leaving() -> _exceptions.Refusal:
    """Return the refusal of a request that outlasts the process."""
    return _exceptions.Refusal(
        _types.RefusalKind.LEAVING,
        "this instance stops before the answer can be whole",
        "ask another instance",
        retry_after_s=LEAVING_RETRY_S,
    )


def version_gone() -> _exceptions.Refusal:
    """Return the refusal of a stream whose software version left."""
    return _exceptions.Refusal(
        _types.RefusalKind.STREAM_LOST,
        "no engine decodes with the software version that began the stream",
        "send the request without Last-Event-Id to begin a new stream",
        retry_after_s=VERSION_RETRY_S,
    )


def overloaded(retry_after_s: float) -> _exceptions.Refusal:
    """Return the refusal of a request because the queue is full."""
    return _exceptions.Refusal(
        _types.RefusalKind.OVERLOADED,
        "too many requests wait for this service",
        "come back after Retry-After",
        retry_after_s=retry_after_s,
    )


def withdrawn() -> _exceptions.Refusal:
    """Return the refusal given after a pool was removed."""
    return _exceptions.Refusal(
        _types.RefusalKind.NO_TARGET,
        "the service was withdrawn",
        "ask for another model",
    )


def no_engine() -> _exceptions.Refusal:
    """Return the refusal given while no engine accepts requests."""
    return _exceptions.Refusal(
        _types.RefusalKind.NO_TARGET,
        "no engine of this service takes new work now",
        "come back after Retry-After",
        retry_after_s=2.0,
    )
