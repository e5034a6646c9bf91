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

#: Largest body accepted, in bytes.
MAX_BODY_BYTES = 8_000_000
#: Times a drain is tried again after it lost a race.
DRAIN_TRIES = 8


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a publish."""

    # Version that the author started from.
    base: int
    # Whole document, or a merge patch.
    document: dict[str, typing.Any] | None = None
    patch: dict[str, typing.Any] | None = None
    # Id for asking again; made up if it is empty.
    id: str = ""


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a drain."""

    # Engine or target.
    target: str
    # State to set.
    state: _types.TargetState = _types.TargetState.DRAINING


class Backend(typing.Protocol):
    """What the API shows and does; the instance implements it."""

    def status(self) -> _views.StatusView:
        """Return the state of this instance."""

    def instances(self) -> list[_views.InstanceView]:
        """Return all instances as known here."""

    def targets(self) -> list[_views.TargetView]:
        """Return all engines and targets."""

    def leases(self) -> list[_views.LeaseView]:
        """Return all leases."""

    def orders(self) -> list[_views.OrderView]:
        """Return the last order of each engine."""

    def config(self) -> tuple[int, dict[str, typing.Any]]:
        """Return version and document in force."""

    def history(self) -> list[replica.HistoryEntry]:
        """Return recent publishes with their decisions."""

    def decision(self, publish_id: str) -> replica.Decision | None:
        """Return what became of a publish."""

    def publish(
        self,
        base: int,
        author: str,
        document: dict[str, typing.Any] | None,
        patch: dict[str, typing.Any] | None,
        publish_id: str,
    ) -> tuple[str, replica.Decision | None]:
        """Publish a configuration."""

    def events(self) -> list[timeline.Event]:
        """Return the events of this process."""

    def metrics(self) -> tuple[bytes, str]:
        """Return metrics and their content type."""

    def ready(self) -> bool:
        """Return whether new requests are welcome."""

    def audit(self, operator: str, action: str, target: str = "") -> None:
        """Record what an operator did."""


class AdminApp:
    """Answers every request at the administration port."""

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
                raw, kind = self._backend.metrics()
                fields = [
                    ("Content-Type", kind),
                    ("Content-Length", str(len(raw))),
                ]
                start_response("200 OK", fields)
                return [raw]
            case ["GET", "admin", "v1", *rest]:
                self._allow(environ, config.Permission.READ)
                query = environ.get("QUERY_STRING", "")
                return self._show(rest, query, start_response)
            case ["POST", "admin", "v1", "config"]:
                name = self._allow(environ, config.Permission.PUBLISH)
                return self._publish(name, environ, start_response)
            case ["POST", "admin", "v1", "drain"]:
                name = self._allow(environ, config.Permission.DRAIN)
                return self._drain(name, environ, start_response)
        raise _exceptions.RefusedError(_no_path(method, path))

    def _allow(
        self, environ: net.Environ, permission: config.Permission
    ) -> str:
        name = self._auth.authorize(
            environ.get("HTTP_AUTHORIZATION", ""), permission
        )
        if permission is not config.Permission.READ:
            action = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
            self._backend.audit(name, action)
        return name

    def _show(
        self,
        rest: list[str],
        query: str,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        backend = self._backend
        body: object
        match rest:
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
                body = {"events": _chosen(backend.events(), query)}
            case _:
                path = "/admin/v1/" + "/".join(rest)
                raise _exceptions.RefusedError(_no_path("GET", path))
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

    def _drain(
        self,
        author: str,
        environ: net.Environ,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Publish a state; a lost race starts again from the winner."""
        body = _decode(environ, DrainBody)
        self._backend.audit(author, f"set {body.state}", body.target)
        for _ in range(DRAIN_TRIES):
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


def _decode(environ: net.Environ, kind: type[T]) -> T:
    """Return the decoded body of a request."""
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
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        raise _exceptions.RefusedError(_bad_body(str(exc))) from exc


def _section_of(document: dict[str, typing.Any], target: str) -> str:
    """Return the part of the document that holds a target."""
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
    """Return the plain form of a decision."""
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
    """Return the plain form of one publish."""
    body = _decision_body(entry.id, entry.decision)
    return {**body, "offset": entry.offset, "author": entry.author}


def _chosen(events: list[timeline.Event], query: str) -> list[timeline.Event]:
    """Return the events that a query asks for."""
    fields = dict(urllib.parse.parse_qsl(query))
    version = fields.get("version", "0")
    wanted = timeline.Filter(
        fields.get("request", ""),
        fields.get("target", ""),
        fields.get("lease", ""),
        int(version) if version.isdecimal() else 0,
    )
    return timeline.merge([events], wanted)


def _bad_body(reason: str) -> _exceptions.Refusal:
    """Return the refusal of a malformed body."""
    return _exceptions.Refusal(
        _types.RefusalKind.BAD_REQUEST,
        f"the body cannot be used: {reason}",
        "correct every field named and send it again",
    )


def _no_path(method: str, path: str) -> _exceptions.Refusal:
    """Return the refusal of a path that does not exist."""
    return _exceptions.Refusal(
        _types.RefusalKind.NOT_FOUND,
        f"there is no {method} {path[:120]!r}",
        "see docs/INTERFACES.md for the paths",
    )
