"""Stand-in of a plain service that counts its effects by idempotency key."""

import argparse
import collections
import dataclasses
import random

import gevent

from agatewing.standins import _http


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults that are currently injected."""

    #: Share of calls that take effect and get no answer, 0 to 1.
    lose_answers: float = 0.0
    #: Duration of every call, in seconds.
    slow_s: float = 0.002
    #: Whether the target reports that it is draining.
    draining: bool = False


class ServiceServer:
    """Counts the effects of calls other than GET, by idempotency key."""

    __slots__ = ("_name", "_random", "effects", "reads", "faults")

    def __init__(self, name: str, seed: int) -> None:
        self._name = name
        self._random = random.Random(seed)
        #: Number of effects by idempotency key.
        self.effects: collections.Counter[str] = collections.Counter()
        #: Number of GET calls, which have no effect.
        self.reads = 0
        #: Faults that are currently injected.
        self.faults = ServiceFaults()

    def route(self, req: _http.Request) -> _http.Reply:
        """Answer one request."""
        match req.path.strip("/").split("/"):
            case ["standin", "effects"]:
                return _http.Reply(200, dict(self.effects))
            case ["standin", "stats"]:
                total = sum(self.effects.values())
                return _http.Reply(
                    200, {"reads": self.reads, "effects": total}
                )
            case ["standin", "faults"]:
                for name, value in req.json().items():
                    setattr(self.faults, name, value)
                return _http.Reply(200, {"ok": True})
            case ["v1", "load"]:
                return _http.Reply(200, {"draining": self.faults.draining})
        return self._call(req)

    def _call(self, req: _http.Request) -> _http.Reply:
        key = req.environ.get("HTTP_IDEMPOTENCY_KEY", "")
        gevent.sleep(self.faults.slow_s / 2)
        if req.method == "GET":
            self.reads += 1
        else:
            self.effects[key] += 1
        gevent.sleep(self.faults.slow_s / 2)
        if self._random.random() < self.faults.lose_answers:
            raise _http.DropConnection
        return _http.Reply(
            200,
            {
                "target": self._name,
                "path": req.path,
                "key": key,
                "count": self.effects[key],
            },
        )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command line of this stand-in."""
    parser.add_argument("--name", default="service")
    parser.add_argument("--seed", type=int, default=1)


def run(args: argparse.Namespace) -> None:
    """Serve the plain service until SIGTERM or SIGINT."""
    server = ServiceServer(args.name, args.seed)
    _http.serve(args.host, args.port, server.route)
