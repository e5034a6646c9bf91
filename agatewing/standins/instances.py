"""Stand-in of the platform's lagging list of instances."""

import argparse
import collections

import msgspec

from agatewing import _clock
from agatewing import platform_services
from agatewing.standins import _http


class InstanceListModel:
    """Instance list that shows each change after a fixed lag."""

    __slots__ = ("_clock", "_lag_s", "_changes", "_rows")

    def __init__(self, clock: _clock.Clock, lag_s: float) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._changes: collections.deque[
            tuple[float, str, platform_services.ListedInstance | None]
        ] = collections.deque()
        self._rows: dict[str, platform_services.ListedInstance] = {}

    def change(
        self, name: str, row: platform_services.ListedInstance | None
    ) -> None:
        """Set the instance's row after the lag; ``None`` removes it."""
        visible_at = self._clock.monotonic() + self._lag_s
        self._changes.append((visible_at, name, row))

    def listed(self) -> platform_services.InstanceList:
        """Return the list as it was ``lag_s`` seconds ago."""
        now = self._clock.monotonic()
        while self._changes and self._changes[0][0] <= now:
            _, name, row = self._changes.popleft()
            if row is None:
                self._rows.pop(name, None)
            else:
                self._rows[name] = row
        return platform_services.InstanceList(tuple(self._rows.values()))


class InstanceListServer:
    """Serves an instance list over HTTP."""

    __slots__ = ("_model",)

    def __init__(self, model: InstanceListModel) -> None:
        self._model = model

    def route(self, req: _http.Request) -> _http.Reply:
        """Answer one request."""
        match req.path.strip("/").split("/"):
            case ["v1", "instances"]:
                return _http.Reply(200, self._model.listed())
            case ["standin", "instances", name]:
                row = None
                if req.method == "PUT":
                    row = msgspec.json.decode(
                        req.body, type=platform_services.ListedInstance
                    )
                self._model.change(name, row)
                return _http.Reply(200, {"ok": True})
        return _http.Reply(404, {"error": "no such path"})


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command line of this stand-in."""
    parser.add_argument("--lag", type=float, default=2.0)


def run(args: argparse.Namespace) -> None:
    """Serve the instance list until SIGTERM or SIGINT."""
    model = InstanceListModel(_clock.SystemClock(), args.lag)
    _http.serve(args.host, args.port, InstanceListServer(model).route)
