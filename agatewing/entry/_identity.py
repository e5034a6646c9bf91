"""Authenticates callers by their bearer tokens."""

import dataclasses
import hashlib

from agatewing import _exceptions
from agatewing import _types
from agatewing import config

BEARER = "Bearer "

_BAD_TOKEN = _exceptions.Refusal(
    _types.RefusalKind.BAD_TOKEN,
    "the request names no known caller",
    "send 'Authorization: Bearer TOKEN' with a token of a caller account",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """A caller account."""

    #: Name of the account.
    name: str
    #: Weight in the fair queue.
    weight: float
    #: Services that the caller may use; empty for all.
    services: tuple[str, ...]


class CallerDirectory:
    """Caller accounts of one configuration, by token hash."""

    __slots__ = ("_by_hash",)

    def __init__(self, document: config.Document) -> None:
        self._by_hash = {
            caller.token_sha256: Identity(name, caller.weight, caller.services)
            for name, caller in document.rules.callers.items()
        }

    def identify(self, authorization: str) -> Identity:
        """Return the account of an Authorization header.

        Raises ``RefusedError`` if the token belongs to no account. The
        lookup is by hash, so its duration reveals nothing about tokens.
        """
        if not authorization.startswith(BEARER):
            raise _exceptions.RefusedError(_BAD_TOKEN)
        token = authorization[len(BEARER) :].strip()
        digest = hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()
        identity = self._by_hash.get(digest)
        if identity is None:
            raise _exceptions.RefusedError(_BAD_TOKEN)
        return identity


def require_service(identity: Identity, service: str) -> None:
    """Raise ``RefusedError`` if the caller may not use a service."""
    if identity.services and service not in identity.services:
        raise _exceptions.RefusedError(
            _exceptions.Refusal(
                _types.RefusalKind.FORBIDDEN,
                f"caller {identity.name} may not use service {service}",
                "ask the operators to add the service to the account",
            )
        )
