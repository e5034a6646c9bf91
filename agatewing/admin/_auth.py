"""Authentication, permissions and rate limits of operators."""

import dataclasses
import hashlib
import hmac

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import config

BEARER = "Bearer "
#: Capacity of an operator's token bucket, in requests.
BURST_REQUESTS = 20.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket that limits one operator's request rate."""

    #: Requests allowed at once.
    tokens: float
    #: Monotonic time of the last refill, in seconds.
    filled_at: float


class Authorizer:
    """Checks an operator's token, permission and request rate."""

    __slots__ = ("_tokens", "_clock", "_rate_per_s", "_buckets")

    def __init__(
        self,
        tokens: tuple[config.AdminToken, ...],
        clock: _clock.Clock,
        rate_per_s: float,
    ) -> None:
        self._tokens = tokens
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._buckets: dict[str, _Bucket] = {}

    def authorize(
        self, authorization: str, permission: config.Permission
    ) -> str:
        """Return the operator's name.

        Raises :class:`RefusedError` if the token is unknown, the permission
        is missing or the rate limit is exceeded.
        """
        token = self._find_token(authorization)
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
        self._enforce_rate(token.name)
        return token.name

    def _find_token(self, authorization: str) -> config.AdminToken | None:
        if not authorization.startswith(BEARER):
            return None
        presented = authorization[len(BEARER) :].strip()
        digest = hashlib.sha256(
            presented.encode("utf-8", "replace")
        ).hexdigest()
        matched = None
        for token in self._tokens:
            if hmac.compare_digest(token.sha256, digest):
                matched = token
        return matched

    def _enforce_rate(self, name: str) -> None:
        now = self._clock.monotonic()
        bucket = self._buckets.setdefault(name, _Bucket(BURST_REQUESTS, now))
        gained = (now - bucket.filled_at) * self._rate_per_s
        bucket.tokens = min(BURST_REQUESTS, bucket.tokens + gained)
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
