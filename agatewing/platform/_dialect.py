"""Reads and writes requests and answers in the platform's format."""

import math
import re
import typing

import msgspec
import result

from agatewing import _decoding
from agatewing import _types
from agatewing import accounts
from agatewing import gateway
from agatewing.platform import _names

#: Hop-by-hop headers and those that the HTTP client sets itself, in lower
#: case; never forwarded to a target.
_CONNECTION_HEADERS = gateway.CONNECTION_HEADERS | {
    b"content-length",
    b"expect",
}


#: Largest number of digits in a header's number; longer ones are unreadable.
_MAX_DIGITS = 15
#: A handle: visible characters of ASCII.
_HANDLE = r"^[!-~]{1,512}\Z"
_SECONDS = re.compile(rb"[0-9]+([.][0-9]+)?")


class _PrefillAnswer(msgspec.Struct, frozen=True):
    # Handle of the KV cache, unique at the engine that answered; it becomes
    # a part of paths and headers.
    transfer_handle: typing.Annotated[str, msgspec.Meta(pattern=_HANDLE)]


class _RoleOrder(msgspec.Struct, frozen=True):
    # Kind of order; always ORDER_OP_STAGE.
    op: str
    # Role that the engine is to change to: "prefill" or "decode".
    stage: str
    # Id of the instance that sends the order.
    holder: str
    # Fencing token of the lease on orders.
    fence: int


class PlatformDialect:
    """Parses callers' requests and builds the requests to targets."""

    __slots__ = ()

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: gateway.Headers,
        body: bytes,
        arrived_at: float,
    ) -> gateway.CallerRequest:
        """Parse a caller's request.

        An unreadable deadline counts as absent; the id is empty if the
        caller sent none.
        """
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(_names.REQUEST_ID, b"")
        return gateway.CallerRequest(
            request_id.decode("latin-1"),
            method,
            target,
            values.get(b"host", b"").decode("latin-1"),
            headers,
            body,
            arrived_at,
            _ms_to_seconds(values.get(_names.DEADLINE)),
            _parse_prompt(values),
            _parse_take_up(values),
            account_key=_account_key(headers),
        )

    def target_request(
        self, req: gateway.CallerRequest, options: gateway.SendOptions
    ) -> gateway.Outgoing:
        """Return the request to send to a target.

        Drops hop-by-hop headers and those that only the system may set,
        then adds the system's own. The deadline is at least 1 ms.
        """
        dropped = (
            _CONNECTION_HEADERS
            | _names.SYSTEM_HEADERS
            | _connection_options(req.headers)
        )
        if options.last_event_id is not None:
            dropped = dropped | {_names.LAST_EVENT_ID}
        if not isinstance(options.identity, accounts.Unidentified):
            dropped = dropped | _names.ACCOUNT_HEADERS
        fields = [
            (name, value)
            for name, value in req.headers
            if name.lower() not in dropped
        ]
        left_ms = max(1, int(options.time_left_s * 1_000))
        fields.append((b"X-Deadline-Ms", b"%d" % left_ms))
        fields.append((b"X-Expect-Instance", options.target_id.encode()))
        if options.priority is not None:
            fields.append((b"X-Request-Priority", b"%d" % options.priority))
        if options.prefill_only:
            fields.append((b"X-Stage", _names.PREFILL.encode()))
        if options.cache is not None:
            source = f"{options.cache.address}/{options.cache.id}"
            fields.append((b"X-Kv-Source", source.encode()))
        if options.fetch_from is not None:
            fields.append((b"Kv-Fetch", options.fetch_from.encode()))
        if options.last_event_id is not None:
            fields.append((b"Last-Event-Id", options.last_event_id))
        if isinstance(options.identity, accounts.Account):
            fields.append((b"X-Tenant", options.identity.name.encode()))
        return gateway.Outgoing(
            req.method, req.target, tuple(fields), req.body
        )

    def without_key(self, headers: gateway.Headers) -> gateway.Headers:
        """Return headers without the key and the name of an account."""
        return tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in _names.ACCOUNT_HEADERS
        )

    def proves_not_run(self, head: gateway.AnswerHead) -> bool:
        """Return whether an answer proves that the request did not run."""
        if head.status == _names.MOVED_STATUS:
            return True
        return gateway.header(head.headers, _names.NOT_RUN) is not None

    def address_reassigned(self, head: gateway.AnswerHead) -> bool:
        """Return whether the address now belongs to another target."""
        return head.status == _names.MOVED_STATUS

    def belongs_to(
        self, head: gateway.AnswerHead, req: gateway.CallerRequest
    ) -> bool:
        """Return whether an answer belongs to a request.

        An answer that echoes no request id counts as belonging to it.
        """
        echoed = gateway.header(head.headers, _names.REQUEST_ID)
        return echoed is None or self.echoes(head, req)

    def echoes(
        self, head: gateway.AnswerHead, req: gateway.CallerRequest
    ) -> bool:
        """Return whether an answer names the request that it belongs to."""
        echoed = gateway.header(head.headers, _names.REQUEST_ID)
        return echoed is not None and echoed.decode("latin-1") == req.id

    def is_signed(self, head: gateway.AnswerHead) -> bool:
        """Return whether an answer carries a signature header."""
        return gateway.header(head.headers, _names.SIGNATURE) is not None

    def notice(self, head: gateway.AnswerHead) -> gateway.Notice:
        """Return what a target says about itself in an answer.

        A limit or time that cannot be read counts as none.
        """
        leaving = gateway.header(head.headers, _names.LEAVING)
        return gateway.Notice(
            _request_limit(head), leaving is not None, _back_off_s(head)
        )

    def cache_handle(
        self, address: str, body: bytes
    ) -> gateway.CacheHandle | None:
        """Return the KV cache handle in the body of a prefill answer.

        ``address`` is that of the engine that answered. Returns ``None``
        if the body cannot be decoded.
        """
        match _decoding.decode_json(body, _PrefillAnswer):
            case result.Ok(raw):
                return gateway.CacheHandle(address, raw.transfer_handle)
        return None

    def release_request(self, handle: gateway.CacheHandle) -> gateway.Outgoing:
        """Return the request that frees a KV cache at its engine."""
        path = f"{_names.KV_HANDLE_PATH}{handle.id}".encode()
        host = (b"Host", handle.address.encode())
        return gateway.Outgoing(b"DELETE", path, (host,), b"")

    def role_order(
        self,
        target: gateway.Target,
        role: _types.Role,
        holder: str,
        token: int,
    ) -> gateway.Outgoing:
        """Return the request that orders an engine to change its role.

        ``holder`` is the instance that holds the lease on orders and
        ``token`` its fencing token.
        """
        body = msgspec.json.encode(
            _RoleOrder(_names.ORDER_OP_STAGE, role.value, holder, token)
        )
        fields = (
            (b"Host", target.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"X-Expect-Instance", target.id.encode()),
        )
        return gateway.Outgoing(b"POST", _names.ORDER_PATH, fields, body)

    def last_event_id(self, event: bytes) -> bytes | None:
        """Return the id of a server-sent event; ``None`` if it has none."""
        for line in event.splitlines():
            if line.startswith(b"id:"):
                return line[3:].strip()
        return None


def _account_key(headers: gateway.Headers) -> str:
    """Return the digest of a request's key; empty without exactly one."""
    keys = [v for name, v in headers if name.lower() == _names.ACCOUNT_KEY]
    return accounts.key_digest(keys[0].strip()) if len(keys) == 1 else ""


def _request_limit(head: gateway.AnswerHead) -> float | None:
    """Return the requests a second that a target takes from all."""
    raw = gateway.header(head.headers, _names.REQUEST_LIMIT)
    if raw is None:
        return None
    try:
        limit = float(raw)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def _back_off_s(head: gateway.AnswerHead) -> float | None:
    """Return for how long a target wants no requests, in seconds."""
    if head.status != 503:
        return None
    raw = gateway.header(head.headers, _names.RETRY_AFTER)
    if raw is None or not _SECONDS.fullmatch(raw.strip()):
        return None
    return float(raw) or None


def _connection_options(headers: gateway.Headers) -> frozenset[bytes]:
    """Return the header names listed in Connection, in lower case.

    The request id and Host are left out: they are forwarded even if a
    caller lists them.
    """
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(v.strip().lower() for v in value.split(b","))
    return frozenset(options) - {_names.REQUEST_ID, b"host"}


def _ms_to_seconds(value: bytes | None) -> float | None:
    """Convert a value in milliseconds; ``None`` if it is not a number."""
    if value is None or not _is_number(value.strip()):
        return None
    return int(value) / 1_000


def _parse_take_up(values: dict[bytes, bytes]) -> gateway.TakeUp | None:
    """Return the stream to continue; ``None`` without an event id."""
    last_event_id = values.get(_names.LAST_EVENT_ID, b"").strip()
    if not last_event_id:
        return None
    first_attempt = values.get(_names.RESUMES, b"").strip()
    # Ids that are numbers count the events.
    events = _parse_count(last_event_id)
    return gateway.TakeUp(first_attempt.decode("latin-1"), events)


def _parse_prompt(values: dict[bytes, bytes]) -> gateway.Prompt | None:
    """Return the prompt that the headers describe.

    Returns ``None`` without a token count: the request is not for a model.
    """
    counts = values.get(_names.TOKEN_COUNT)
    if counts is None:
        return None
    numbers = [_parse_count(count) for count in counts.split(b",")]
    tokens = numbers[0]
    max_output_tokens = numbers[1] if len(numbers) > 1 else 1
    length_hint = _parse_count(values.get(_names.LENGTH_HINT, b""))
    blocks = []
    for entry in values.get(_names.PREFIX_BLOCKS, b"").split(b","):
        name, colon, size = entry.strip().partition(b":")
        if colon:
            block = gateway.PrefixBlock(
                name.decode("latin-1"), _parse_count(size)
            )
            blocks.append(block)
    model = values.get(_names.MODEL, b"").decode("latin-1")
    return gateway.Prompt(
        model, tokens, length_hint or max_output_tokens, tuple(blocks)
    )


def _parse_count(raw: bytes) -> int:
    """Parse a token count; 0 if it is unreadable.

    Token counts only feed cost estimates, so a wrong one breaks nothing.
    """
    raw = raw.strip()
    return int(raw) if _is_number(raw) else 0


def _is_number(raw: bytes) -> bool:
    """Return whether bytes are a decimal number of a sensible length."""
    return raw.isdigit() and len(raw) <= _MAX_DIGITS
