"""WSGI application on the caller port."""

import collections
import collections.abc
import dataclasses
import logging

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import callers
from agatewing import config
from agatewing.entry import _context
from agatewing.entry import _gate
from agatewing.entry import _generation
from agatewing.entry import _identity
from agatewing.entry import _services
from agatewing import fleet
from agatewing import net
from agatewing import timeline

_log = logging.getLogger("agatewing.entry")


class EntryApp:
    """Routes every request on the caller port to its handler."""

    __slots__ = (
        "_fleet",
        "_gate",
        "_generation",
        "_services",
        "_events",
        "_limits",
        "_bodies",
        "_directory",
        "_directory_document",
        "open_requests",
        "refusals",
        "answered",
    )

    def __init__(
        self,
        target_fleet: fleet.Fleet,
        gate: _gate.Gate,
        generation: _generation.Generation,
        services: _services.Services,
        events: timeline.EventRecorder,
        limits: config.Limits,
        clock: _clock.Clock,
    ) -> None:
        self._fleet = target_fleet
        self._gate = gate
        self._generation = generation
        self._services = services
        self._events = events
        self._limits = limits
        # Small bodies have a sixteenth beside the others.
        self._bodies = callers.BodyRoom(
            clock, limits.max_bodies_bytes, limits.max_bodies_bytes // 16
        )
        self._directory: _identity.CallerDirectory | None = None
        self._directory_document: config.Document | None = None
        #: Number of requests in flight, including those for /healthz.
        self.open_requests = 0
        #: Number of refusals by kind.
        self.refusals: collections.Counter[str] = collections.Counter()
        #: Number of requests, including those for /healthz, whose whole
        #: answer was sent; refusals are not counted.
        self.answered = 0

    def __call__(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request (PEP 3333)."""
        self.open_requests += 1
        share = self._bodies.open(_context.body_length(environ))
        try:
            answer = self._route(environ, start_response, share)
        except _exceptions.RefusedError as exc:
            self.end_request(share)
            return self._refuse(exc.refusal, start_response)
        except Exception as exc:
            # The server would close the connection on some errors of sockets.
            self.end_request(share)
            _log.exception("entry: request failed: %s", exc)
            return self._refuse(_internal_error(), start_response)
        except BaseException:
            self.end_request(share)
            raise
        return _CountedBody(answer, self, share)

    def end_request(self, share: callers.BodyShare) -> None:
        """Record the end of a request, whose body had a share of room."""
        self.open_requests -= 1
        self._bodies.close(share)

    def _route(
        self,
        environ: net.Environ,
        start_response: net.StartResponse,
        share: callers.BodyShare,
    ) -> collections.abc.Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match [method, *path.strip("/").split("/")]:
            case ["GET", "healthz"]:
                return net.reply_json(start_response, 200, {"alive": True})
            case ["GET", "readyz"]:
                return self._readiness(start_response)
            case ["GET", "v1", "models"]:
                return self._models(environ, start_response)
            case ["POST", "v1", "completions"]:
                req = self._read_request(environ, share)
                self._gate.check()
                return self._generation.handle(
                    "completions", req, start_response
                )
            case ["POST", "v1", "chat", "completions"]:
                req = self._read_request(environ, share)
                self._gate.check()
                return self._generation.handle("chat", req, start_response)
            case [_, "services", name, *_]:
                service_path = (
                    path.split("/", 3)[3] if path.count("/") > 2 else ""
                )
                req = self._read_request(environ, share)
                return self._services.handle(
                    name, f"/{service_path}", req, start_response
                )
        raise _exceptions.RefusedError(_unknown_path(method, path))

    def _read_request(
        self, environ: net.Environ, share: callers.BodyShare
    ) -> _context.CallerRequest:
        req = _context.read_request(
            environ,
            self._identify(environ),
            self._limits.max_body_bytes,
            self._limits.request_read_s,
            self._bodies,
            share,
        )
        self._events.add(
            timeline.EventKind.REQUEST_ACCEPTED,
            request=req.id,
            detail=f"{req.identity.name} {req.method} {req.path[:80]}",
        )
        return req

    def _identify(self, environ: net.Environ) -> _identity.Identity:
        document = self._fleet.document
        if document is None:
            raise _exceptions.RefusedError(self._no_configuration(environ))
        if self._directory is None or self._directory_document is not document:
            self._directory = _identity.CallerDirectory(document)
            self._directory_document = document
        return self._directory.identify(environ.get("HTTP_AUTHORIZATION", ""))

    def _no_configuration(self, environ: net.Environ) -> _exceptions.Refusal:
        """Return the refusal while there is no configuration.

        Callers cannot be authenticated then. The outcome of a request with
        an idempotency key is unknown: an earlier try with the same key may
        have run at another instance.
        """
        refusal = self._gate.refusal() or _internal_error()
        if environ.get("HTTP_IDEMPOTENCY_KEY"):
            return dataclasses.replace(refusal, outcome=_types.Outcome.UNKNOWN)
        return refusal

    def _readiness(
        self, start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        status = 200 if self._gate.ready else 503
        body = {
            "ready": self._gate.ready,
            "phase": self._gate.phase,
            "standing": self._gate.standing,
        }
        return net.reply_json(start_response, status, body)

    def _models(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        self._identify(environ)
        document = self._fleet.document
        services = document.services.values() if document else ()
        names = [
            {"id": model, "object": "model"}
            for service in services
            if isinstance(service, config.ModelService)
            for model in service.models
        ]
        body = {"object": "list", "data": names}
        return net.reply_json(start_response, 200, body)

    def _refuse(
        self,
        refusal: _exceptions.Refusal,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        self.refusals[refusal.kind] += 1
        self._events.add(
            timeline.EventKind.REQUEST_REFUSED,
            detail=f"{refusal.kind} {refusal.outcome}: {refusal.detail}",
        )
        body = net.encode(refusal)
        start_response(
            net.status_line(refusal.status), net.headers(refusal, body)
        )
        return [body]


class _CountedBody:
    """Answer body that updates the counts of the application.

    The request counts as answered once the whole body was sent, and as in
    flight until the body is closed.
    """

    __slots__ = ("_blocks", "_app", "_share", "_open")

    def __init__(
        self,
        blocks: collections.abc.Iterable[bytes],
        app: EntryApp,
        share: callers.BodyShare,
    ) -> None:
        self._share = share
        self._blocks = blocks
        self._app = app
        self._open = True

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        yield from self._blocks
        self._app.answered += 1

    def close(self) -> None:
        """Release the resources of the answer; the server calls it once."""
        if self._open:
            self._open = False
            self._app.end_request(self._share)
        close = getattr(self._blocks, "close", None)
        if close is not None:
            close()


def _unknown_path(method: str, path: str) -> _exceptions.Refusal:
    """Return the refusal of a path that does not exist."""
    return _exceptions.Refusal(
        _types.RefusalKind.NOT_FOUND,
        f"there is no {method} {path[:120]!r}",
        "see docs/INTERFACES.md for the paths",
    )


def _internal_error() -> _exceptions.Refusal:
    """Return the refusal of a request that failed with an internal error."""
    return _exceptions.Refusal(
        _types.RefusalKind.INTERNAL,
        "the instance failed to handle the request",
        "tell the operators the time of the request",
        _types.Outcome.UNKNOWN,
    )
