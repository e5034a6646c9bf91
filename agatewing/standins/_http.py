"""Shared plumbing of the stand-ins: JSON over HTTP, one route table."""

import collections.abc
import dataclasses
import logging
import signal
import typing
import urllib.parse

import gevent
import msgspec

from agatewing import net


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to a stand-in."""

    #: HTTP method.
    method: str
    #: Path without the query.
    path: str
    #: Query parameters.
    query: dict[str, str]
    #: Body.
    body: bytes
    #: WSGI environment.
    environ: net.Environ

    def json(self) -> typing.Any:
        """Return the body as plain data; an empty one is ``{}``."""
        return msgspec.json.decode(self.body) if self.body else {}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer of a stand-in."""

    #: HTTP status code.
    status: int = 200
    #: Plain data, sent as JSON, or an iterable of bytes.
    data: typing.Any = None
    #: Content type of an iterable of bytes.
    content_type: str = "application/json"


class Hangup(Exception):
    """Close the connection without an answer."""


Route: typing.TypeAlias = collections.abc.Callable[[Request], Reply]


def application(route: Route) -> net.Application:
    """Return the WSGI application of a stand-in."""

    def run(
        environ: net.Environ, start_response: net.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        body = environ["wsgi.input"].read()
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        req = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            query,
            body,
            environ,
        )
        try:
            reply = route(req)
        except Hangup:
            raise ConnectionResetError(104, "stand-in hangs up") from None
        except (msgspec.MsgspecError, KeyError, ValueError) as exc:
            reply = Reply(400, {"error": str(exc)})
        status = net.status_line(reply.status)
        if reply.content_type != "application/json":
            start_response(status, [("Content-Type", reply.content_type)])
            return typing.cast(collections.abc.Iterable[bytes], reply.data)
        raw = msgspec.json.encode(reply.data)
        fields = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(raw))),
        ]
        start_response(status, fields)
        return [raw]

    return run


def serve(host: str, port: int, route: Route) -> None:
    """Serve until SIGTERM or SIGINT."""
    logging.basicConfig(level=logging.WARNING)
    server = net.Server(host, port, application(route))
    server.start()
    print(f"listening on {host}:{server.port}", flush=True)
    gevent.signal_handler(signal.SIGTERM, server.stop)
    gevent.signal_handler(signal.SIGINT, server.stop)
    server.serve_forever()
