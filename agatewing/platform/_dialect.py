"""Headers of requests and answers on the users' platform."""

import msgspec

from agatewing import _types
from agatewing import gateway
from agatewing.platform import _names

#: Headers of a request that concern one connection, in lower case.
_CONNECTION = gateway.CONNECTION_HEADERS | {b"content-length", b"expect"}


class _Handle(msgspec.Struct, frozen=True):
    # Name of the KV cache at the engine that answered.
    transfer_handle: str


class _Order(msgspec.Struct, frozen=True):
    op: str
    # The role to take.
    stage: str
    # Instance that gives the order.
    holder: str
    # Fencing token.
    fence: int


class PlatformDialect:
    """Reads callers' requests and writes those to targets."""

    __slots__ = ()

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: gateway.Headers,
        body: bytes,
        arrived_at: float,
    ) -> gateway.CallerRequest:
        """Return what a caller's request says."""
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
            _seconds(values.get(_names.DEADLINE)),
            _prompt(values),
        )

    def outgoing(
        self, req: gateway.CallerRequest, facts: gateway.SendFacts
    ) -> gateway.Outgoing:
        """Return a request as it goes to a target."""
        dropped = _CONNECTION | _names.SYSTEM_HEADERS | _named(req.headers)
        if facts.last_event_id is not None:
            dropped = dropped | {_names.LAST_EVENT_ID}
        fields = [
            (name, value)
            for name, value in req.headers
            if name.lower() not in dropped
        ]
        left_ms = max(1, int(facts.left_s * 1_000))
        fields.append((b"X-Deadline-Ms", b"%d" % left_ms))
        fields.append((b"X-Expect-Instance", facts.target_id.encode()))
        if facts.priority is not None:
            fields.append((b"X-Request-Priority", b"%d" % facts.priority))
        if facts.prefill_only:
            fields.append((b"X-Stage", _names.PREFILL.encode()))
        if facts.cache is not None:
            source = f"{facts.cache.address}/{facts.cache.id}"
            fields.append((b"X-Kv-Source", source.encode()))
        if facts.fetch_from is not None:
            fields.append((b"Kv-Fetch", facts.fetch_from.encode()))
        if facts.last_event_id is not None:
            fields.append((b"Last-Event-Id", facts.last_event_id))
        return gateway.Outgoing(
            req.method, req.target, tuple(fields), req.body
        )

    def proves_not_run(self, head: gateway.AnswerHead) -> bool:
        """Return whether an answer says that the request did not run."""
        if head.status == _names.MOVED_STATUS:
            return True
        return gateway.header(head.headers, _names.NOT_RUN) is not None

    def moved(self, head: gateway.AnswerHead) -> bool:
        """Return whether another target has the address now."""
        return head.status == _names.MOVED_STATUS

    def answers(
        self, head: gateway.AnswerHead, req: gateway.CallerRequest
    ) -> bool:
        """Return whether an answer belongs to a request."""
        echoed = gateway.header(head.headers, _names.REQUEST_ID)
        return echoed is None or echoed.decode("latin-1") == req.id

    def vouched(self, head: gateway.AnswerHead) -> bool:
        """Return whether an answer bears the target's signature."""
        return gateway.header(head.headers, _names.SIGNATURE) is not None

    def handle(self, address: str, body: bytes) -> gateway.CacheHandle | None:
        """Return the KV cache that an answer names."""
        try:
            raw = msgspec.json.decode(body, type=_Handle)
        except msgspec.MsgspecError:
            return None
        return gateway.CacheHandle(address, raw.transfer_handle)

    def release(self, handle: gateway.CacheHandle) -> gateway.Outgoing:
        """Return the call that frees a KV cache."""
        path = f"{_names.FREE_HANDLE}{handle.id}".encode()
        host = (b"Host", handle.address.encode())
        return gateway.Outgoing(b"DELETE", path, (host,), b"")

    def order(
        self,
        target: gateway.Target,
        role: _types.Role,
        holder: str,
        token: int,
    ) -> gateway.Outgoing:
        """Return the order to an engine to take a role."""
        body = msgspec.json.encode(
            _Order(_names.ORDER_ROLE, role.value, holder, token)
        )
        fields = (
            (b"Host", target.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"X-Expect-Instance", target.id.encode()),
        )
        return gateway.Outgoing(b"POST", _names.ORDER, fields, body)

    def last_event_id(self, event: bytes) -> bytes | None:
        """Return the id of an event of a stream."""
        for line in event.splitlines():
            if line.startswith(b"id:"):
                return line[3:].strip()
        return None


def _named(headers: gateway.Headers) -> frozenset[bytes]:
    """Return headers that the Connection header names, in lower case."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    return frozenset(named) - {_names.REQUEST_ID, b"host"}


def _seconds(value: bytes | None) -> float | None:
    """Return milliseconds as seconds; ``None`` for what is no number."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1_000


def _prompt(values: dict[bytes, bytes]) -> gateway.Prompt | None:
    """Return what a request says of its prompt, if it says anything."""
    counts = values.get(_names.TOKEN_COUNT)
    if counts is None:
        return None
    numbers = [_number(part) for part in counts.split(b",")]
    tokens = numbers[0]
    most = numbers[1] if len(numbers) > 1 else 1
    hint = _number(values.get(_names.LENGTH_HINT, b""))
    parts = []
    for entry in values.get(_names.PARTS, b"").split(b","):
        name, colon, size = entry.strip().partition(b":")
        if colon:
            part = gateway.PromptPart(name.decode("latin-1"), _number(size))
            parts.append(part)
    model = values.get(_names.MODEL, b"").decode("latin-1")
    return gateway.Prompt(model, tokens, hint or most, tuple(parts))


def _number(raw: bytes) -> int:
    """Return a number; 0 for what is none, which only spoils estimates."""
    raw = raw.strip()
    return int(raw) if raw.isdigit() else 0
