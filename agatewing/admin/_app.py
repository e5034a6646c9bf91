"""The WSGI application of the administration API."""

import collections.abc
import logging
import typing
import urllib.parse

import msgspec

from agatewing import _exceptions
from agatewing import _types
from agatewing.admin import _auth
from agatewing.admin import _views
from agatewing import config
from agatewing import net
from agatewing import replica
from agatewing import timeline

_log = logging.getLogger("agatewing.admin")

#: Largest accepted request body, in bytes.
MAX_BODY_BYTES = 8_000_000
#: Maximum number of attempts to publish a target's state. An attempt is
#: rejected if another publish was accepted after its base version.
DRAIN_ATTEMPTS = 8


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body of a publish."""

    # Configuration version that the change is based on.
    base: int
    # Whole configuration; ``None`` if ``patch`` is given.
    document: dict[str, typing.Any] | None = None
    # JSON merge patch; ``None`` if ``document`` is given.
    patch: dict[str, typing.Any] | None = None
    # Id by which to query the decision; generated if it is empty.
    id: str = ""


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body of ``POST /admin/v1/drain``, which sets a state."""

    # Name of the engine or service target.
    target: str
    # State to set in the configuration.
    state: _types.TargetState = _types.TargetState.DRAINING


class Backend(typing.Protocol):
    """Data and operations that the API needs from an instance."""

    def status(self) -> _views.StatusView:
        """Return the status of this instance."""

    def instances(self) -> list[_views.InstanceView]:
        """Return this instance and every known peer, sorted by name."""

    def targets(self) -> list[_views.TargetView]:
        """Return all engines, then all targets of plain services."""

    def leases(self) -> list[_views.LeaseView]:
        """Return every lease of the control stream."""

    def orders(self) -> list[_views.OrderView]:
        """Return the last valid order of each engine."""

    def config(self) -> tuple[int, dict[str, typing.Any]]:
        """Return version and document of the last accepted publish."""

    def history(self) -> list[replica.HistoryEntry]:
        """Return recent publishes with their decisions, oldest first."""

    def decision(self, publish_id: str) -> replica.Decision | None:
        """Return the decision on a publish; ``None`` if none is known."""

    def publish(
        self,
        base: int,
        author: str,
        document: dict[str, typing.Any] | None,
        patch: dict[str, typing.Any] | None,
        publish_id: str,
    ) -> tuple[str, replica.Decision | None]:
        """Append a publish to the log; return its id and the decision.

        The decision is ``None`` if it is still unknown after a timeout or if
        the append failed.
        """

    def events(self) -> list[timeline.Event]:
        """Return the time-line events of this process."""

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics as text and their content type."""

    def ready(self) -> bool:
        """Return whether the instance accepts new requests."""

    def audit(self, operator: str, action: str, target: str = "") -> None:
        """Add an operator's action to the time line."""


class AdminApp:
    """WSGI application of the administration port."""

    __slots__ = ("_backend", "_auth")

    def __init__(self, backend: Backend, authorizer: _auth.Authorizer) -> None:
        self._backend = backend
        self._auth = authorizer

    def __call__(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request (PEP 3333)."""
        try:
            return self._route(environ, start_response)
        except _exceptions.RefusedError as exc:
            body = net.encode(exc.refusal)
            status = net.status_line(exc.refusal.status)
            start_response(status, net.headers(exc.refusal, body))
            return [body]

    def _route(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match [method, *path.strip("/").split("/")]:
            case ["GET", "healthz"]:
                return net.reply_json(start_response, 200, {"alive": True})
            case ["GET", "readyz"]:
                ready = self._backend.ready()
                code = 200 if ready else 503
                return net.reply_json(start_response, code, {"ready": ready})
            case ["GET", "metrics"]:
                raw, content_type = self._backend.metrics()
                headers = [
                    ("Content-Type", content_type),
                    ("Content-Length", str(len(raw))),
                ]
                start_response("200 OK", headers)
                return [raw]
            case ["GET", "admin", "v1", *segments]:
                self._authorize(environ, config.Permission.READ)
                query = environ.get("QUERY_STRING", "")
                return self._reply_view(segments, query, start_response)
            case ["POST", "admin", "v1", "config"]:
                operator = self._authorize(environ, config.Permission.PUBLISH)
                return self._publish(operator, environ, start_response)
            case ["POST", "admin", "v1", "drain"]:
                operator = self._authorize(environ, config.Permission.DRAIN)
                return self._set_target_state(
                    operator, environ, start_response
                )
        raise _exceptions.RefusedError(_unknown_path(method, path))

    def _authorize(
        self, environ: net.Environ, permission: config.Permission
    ) -> str:
        """Return the operator's name; audit requests beyond ``READ``.

        Raises ``RefusedError`` if the token is unknown, the permission is
        missing or the rate limit is exceeded.
        """
        operator = self._auth.authorize(
            environ.get("HTTP_AUTHORIZATION", ""), permission
        )
        if permission is not config.Permission.READ:
            action = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
            self._backend.audit(operator, action)
        return operator

    def _reply_view(
        self,
        segments: list[str],
        query: str,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Answer a GET of a path below ``/admin/v1``."""
        backend = self._backend
        body: object
        match segments:
            case ["status"]:
                body = backend.status()
            case ["instances"]:
                body = {"instances": backend.instances()}
            case ["targets"]:
                body = {"targets": backend.targets()}
            case ["leases"]:
                body = {
                    "leases": backend.leases(),
                    "orders": backend.orders(),
                }
            case ["config"]:
                version, document = backend.config()
                body = {"version": version, "document": document}
            case ["history"]:
                entries = [_history_entry(e) for e in backend.history()]
                body = {"history": entries}
            case ["publishes", publish_id]:
                decision = backend.decision(publish_id)
                body = _decision_body(publish_id, decision)
            case ["timeline"]:
                body = {"events": _filter_events(backend.events(), query)}
            case _:
                path = "/admin/v1/" + "/".join(segments)
                raise _exceptions.RefusedError(_unknown_path("GET", path))
        return net.reply_json(start_response, 200, body)

    def _publish(
        self,
        author: str,
        environ: net.Environ,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        body = _decode(environ, PublishBody)
        document = body.document
        if (document is None) == (body.patch is None):
            raise _exceptions.RefusedError(
                _bad_body("give either 'document' or 'patch'")
            )
        if document is None:
            _, current = self._backend.config()
            merged = config.merge_patch(current, body.patch)
            document = typing.cast(dict[str, typing.Any], merged)
        checked = config.decode_document(document, "body")
        if checked.is_err():
            faults = "; ".join(str(f) for f in checked.unwrap_err())
            raise _exceptions.RefusedError(_bad_body(faults))
        publish_id, decision = self._backend.publish(
            body.base, author, body.document, body.patch, body.id
        )
        return self._reply_decision(publish_id, decision, start_response)

    def _set_target_state(
        self,
        author: str,
        environ: net.Environ,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Publish a target's state; retry if another publish came first.

        Each attempt is based on the version accepted last. At most
        ``DRAIN_ATTEMPTS`` are made.
        """
        body = _decode(environ, DrainBody)
        self._backend.audit(author, f"set {body.state}", body.target)
        for _ in range(DRAIN_ATTEMPTS):
            version, document = self._backend.config()
            section = _section_of(document, body.target)
            patch = {section: {body.target: {"state": str(body.state)}}}
            publish_id, decision = self._backend.publish(
                version, author, None, patch, ""
            )
            if not isinstance(decision, replica.Rejected):
                break
        return self._reply_decision(publish_id, decision, start_response)

    def _reply_decision(
        self,
        publish_id: str,
        decision: replica.Decision | None,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        body = _decision_body(publish_id, decision)
        match decision:
            case replica.Accepted():
                return net.reply_json(start_response, 200, body)
            case replica.Rejected():
                return net.reply_json(start_response, 409, body)
        return net.reply_json(start_response, 202, body)


T = typing.TypeVar("T")


def _decode(environ: net.Environ, body_type: type[T]) -> T:
    """Return the decoded request body, or raise a refusal."""
    raw = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    if len(raw) > MAX_BODY_BYTES:
        raise _exceptions.RefusedError(
            _exceptions.Refusal(
                _types.RefusalKind.TOO_LARGE,
                f"the body is over {MAX_BODY_BYTES} bytes",
                "publish a patch instead of the whole document",
            )
        )
    try:
        return msgspec.json.decode(raw, type=body_type)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        raise _exceptions.RefusedError(_bad_body(str(exc))) from exc


def _section_of(document: dict[str, typing.Any], target: str) -> str:
    """Return the document section that lists an engine or target.

    Raises ``RefusedError`` if no section lists it.
    """
    for section in ("engines", "targets"):
        if target in document.get(section, {}):
            return section
    raise _exceptions.RefusedError(
        _exceptions.Refusal(
            _types.RefusalKind.NOT_FOUND,
            f"the inventory has no engine or target {target[:80]!r}",
            "see 'agatewing show targets'",
        )
    )


def _decision_body(
    publish_id: str, decision: replica.Decision | None
) -> dict[str, object]:
    """Return the JSON object of a decision."""
    match decision:
        case replica.Accepted(version=version):
            return {
                "id": publish_id,
                "result": "accepted",
                "version": version,
            }
        case replica.Rejected(winner=winner):
            return {
                "id": publish_id,
                "result": "rejected",
                "winner": winner,
            }
    return {"id": publish_id, "result": "unknown"}


def _history_entry(entry: replica.HistoryEntry) -> dict[str, object]:
    """Return the JSON object of a publish in the history."""
    body = _decision_body(entry.id, entry.decision)
    return {**body, "offset": entry.offset, "author": entry.author}


def _filter_events(
    events: list[timeline.Event], query: str
) -> list[timeline.Event]:
    """Return the events that match a query string."""
    params = dict(urllib.parse.parse_qsl(query))
    version = params.get("version", "0")
    event_filter = timeline.EventFilter(
        params.get("request", ""),
        params.get("target", ""),
        params.get("lease", ""),
        int(version) if version.isdecimal() else 0,
    )
    return timeline.merge([events], event_filter)


def _bad_body(reason: str) -> _exceptions.Refusal:
    """Return the refusal of an invalid body."""
    return _exceptions.Refusal(
        _types.RefusalKind.BAD_REQUEST,
        f"the body cannot be used: {reason}",
        "correct every field named and send it again",
    )


def _unknown_path(method: str, path: str) -> _exceptions.Refusal:
    """Return the refusal of an unknown method and path."""
    return _exceptions.Refusal(
        _types.RefusalKind.NOT_FOUND,
        f"there is no {method} {path[:120]!r}",
        "see docs/INTERFACES.md for the paths",
    )
