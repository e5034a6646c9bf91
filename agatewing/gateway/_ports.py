"""Interfaces that a platform adapter implements for the core."""

import typing

from agatewing import _types
from agatewing import fleetlog
from agatewing.gateway import _contracts
from agatewing.gateway import _messages


class Decoder(typing.Protocol):
    """Decodes records into platform-independent types."""

    def configuration(
        self, record: fleetlog.KeyedRecord
    ) -> _contracts.Configuration | None:
        """Return the configuration, or ``None`` if it cannot be decoded."""

    def target(self, record: fleetlog.KeyedRecord) -> _contracts.Target | None:
        """Return the target, or ``None`` if it cannot be decoded."""


class Dialect(typing.Protocol):
    """Reads and writes headers of requests and answers of a platform."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: _messages.Headers,
        body: bytes,
        arrived_at: float,
    ) -> _messages.CallerRequest:
        """Parse a caller's request; ``arrived_at`` is monotonic time."""

    def target_request(
        self, req: _messages.CallerRequest, options: _messages.SendOptions
    ) -> _messages.Outgoing:
        """Return a request as it is sent to a target."""

    def without_key(self, headers: _messages.Headers) -> _messages.Headers:
        """Return headers without the key and the name of an account."""

    def proves_not_run(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer proves that the request did not run."""

    def address_reassigned(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer shows that the address has a new target."""

    def belongs_to(
        self, head: _messages.AnswerHead, req: _messages.CallerRequest
    ) -> bool:
        """Return whether an answer may be for the given request."""

    def echoes(
        self, head: _messages.AnswerHead, req: _messages.CallerRequest
    ) -> bool:
        """Return whether an answer names the given request."""

    def is_signed(self, head: _messages.AnswerHead) -> bool:
        """Return whether an answer bears the target's signature."""

    def notice(self, head: _messages.AnswerHead) -> _messages.Notice:
        """Return what a target says about itself in an answer."""

    def cache_handle(
        self, address: str, body: bytes
    ) -> _messages.CacheHandle | None:
        """Return the handle of the KV cache that an answer body names."""

    def release_request(
        self, handle: _messages.CacheHandle
    ) -> _messages.Outgoing:
        """Return the request that frees a KV cache."""

    def role_order(
        self,
        target: _contracts.Target,
        role: _types.Role,
        holder: str,
        token: int,
    ) -> _messages.Outgoing:
        """Return the request that orders an engine to change its role."""

    def last_event_id(self, event: bytes) -> bytes | None:
        """Return the id of an event, or ``None`` if it has none."""
