"""HTTP server of the stand-ins, with JSON replies."""

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
        """Return the decoded JSON body, ``{}`` if the body is empty."""
        return msgspec.json.decode(self.body) if self.body else {}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply of a stand-in."""

    #: HTTP status code.
    status: int = 200
    #: Data to send as JSON or, with another content type, an iterable of
    #: bytes.
    data: typing.Any = None
    #: Content type; ``data`` is encoded only for JSON.
    content_type: str = "application/json"


class DropConnection(Exception):
    """Raised by a handler to close the connection without a reply."""


#: Answers one request to a stand-in.
Handler: typing.TypeAlias = collections.abc.Callable[[Request], Reply]


def application(handler: Handler) -> net.Application:
    """Return the WSGI application of a stand-in."""

    def wsgi_app(
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
            reply = handler(req)
        except DropConnection:
            # ECONNRESET: the server closes the connection without a reply.
            raise ConnectionResetError(
                104, "injected fault: no reply"
            ) from None
        except (msgspec.MsgspecError, KeyError, ValueError) as exc:
            reply = Reply(400, {"error": str(exc)})
        status = net.status_line(reply.status)
        if reply.content_type != "application/json":
            start_response(status, [("Content-Type", reply.content_type)])
            return typing.cast(collections.abc.Iterable[bytes], reply.data)
        payload = msgspec.json.encode(reply.data)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(payload))),
        ]
        start_response(status, headers)
        return [payload]

    return wsgi_app


def serve(host: str, port: int, handler: Handler) -> None:
    """Print the address and serve requests until SIGTERM or SIGINT."""
    logging.basicConfig(level=logging.WARNING)
    server = net.Server(host, port, application(handler))
    server.start()
    print(f"listening on {host}:{server.port}", flush=True)
    gevent.signal_handler(signal.SIGTERM, server.stop)
    gevent.signal_handler(signal.SIGINT, server.stop)
    server.serve_forever()
