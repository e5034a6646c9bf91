"""Operators' tokens, permissions and request rates."""

import dataclasses
import hashlib
import hmac

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import config

BEARER = "Bearer "
#: Requests that may follow each other at once.
BURST = 20.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class Authorizer:
    """Checks who asks, what they may do, and how often."""

    __slots__ = ("_tokens", "_clock", "_rate", "_buckets")

    def __init__(
        self,
        tokens: tuple[config.AdminToken, ...],
        clock: _clock.Clock,
        rate_per_s: float,
    ) -> None:
        self._tokens = tokens
        self._clock = clock
        self._rate = rate_per_s
        self._buckets: dict[str, _Bucket] = {}

    def authorize(
        self, authorization: str, permission: config.Permission
    ) -> str:
        """Return the operator's name, or refuse."""
        token = self._find(authorization)
        if token is None:
            raise _exceptions.RefusedError(
                _exceptions.Refusal(
                    _types.RefusalKind.BAD_TOKEN,
                    "the request names no known operator",
                    "send 'Authorization: Bearer TOKEN'",
                )
            )
        if permission not in token.permissions:
            raise _exceptions.RefusedError(
                _exceptions.Refusal(
                    _types.RefusalKind.FORBIDDEN,
                    f"{token.name} lacks the permission {permission}",
                    "ask for a token with that permission",
                )
            )
        self._limit(token.name)
        return token.name

    def _find(self, authorization: str) -> config.AdminToken | None:
        if not authorization.startswith(BEARER):
            return None
        given = authorization[len(BEARER) :].strip()
        digest = hashlib.sha256(given.encode("utf-8", "replace")).hexdigest()
        found = None
        for token in self._tokens:
            if hmac.compare_digest(token.sha256, digest):
                found = token
        return found

    def _limit(self, name: str) -> None:
        now = self._clock.monotonic()
        bucket = self._buckets.setdefault(name, _Bucket(BURST, now))
        gained = (now - bucket.filled_at) * self._rate
        bucket.tokens = min(BURST, bucket.tokens + gained)
        bucket.filled_at = now
        if bucket.tokens < 1:
            raise _exceptions.RefusedError(
                _exceptions.Refusal(
                    _types.RefusalKind.RATE_LIMITED,
                    f"{name} sends too many requests",
                    "come back after Retry-After",
                    retry_after_s=1.0,
                )
            )
        bucket.tokens -= 1
