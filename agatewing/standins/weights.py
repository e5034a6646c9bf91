"""Stand-in of the rate-limited weight store."""

import argparse

import gevent
import gevent.lock

from agatewing.standins import _http


class WeightServer:
    """Serves one download of model weights at a time, at a limited rate."""

    __slots__ = ("_lock", "_bytes_per_s", "_size_bytes", "served")

    def __init__(self, bytes_per_s: float, size_bytes: float) -> None:
        self._lock = gevent.lock.Semaphore(1)
        self._bytes_per_s = bytes_per_s
        self._size_bytes = size_bytes
        #: Number of downloads served.
        self.served = 0

    def route(self, req: _http.Request) -> _http.Reply:
        """Answer one request; a download lasts size / rate seconds."""
        match req.path.strip("/").split("/"):
            case ["v1", "weights", model, version]:
                with self._lock:
                    gevent.sleep(self._size_bytes / self._bytes_per_s)
                self.served += 1
                return _http.Reply(200, {"model": model, "version": version})
            case ["standin", "stats"]:
                return _http.Reply(200, {"served": self.served})
        return _http.Reply(404, {"error": "no such path"})


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command line of this stand-in."""
    parser.add_argument("--bytes-per-s", type=float, default=1e9)
    parser.add_argument("--size-bytes", type=float, default=1e9)


def run(args: argparse.Namespace) -> None:
    """Serve the weight store until SIGTERM or SIGINT."""
    server = WeightServer(args.bytes_per_s, args.size_bytes)
    _http.serve(args.host, args.port, server.route)
