"""An instance in front of targets that send given bytes."""

import collections.abc
import contextlib
import dataclasses

from agatewing import gateway
from agatewing.platform import standins
from agatewing.standins import hasty

#: Kind of each route, by its path.
ROUTES = {"/pay/": "unsafe", "/find/": "safe", "/chat/": "streaming"}
#: Targets of the route, so that some are not in use whenever a request comes.
TARGETS = 6
PROMPT = {"X-Token-Count": "120,20", "X-Prefix-Hash": "aa:80,bb:40"}
MAX_BODY_BYTES = 8_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class RawSite:
    """A site with one route, and the targets that it leads to."""

    site: standins.Site
    instance: gateway.GatewayInstance
    #: Path of the route.
    path: str
    servers: list[hasty.HastyServer]

    @property
    def requests(self) -> int:
        """Number of requests that have reached targets."""
        return sum(server.requests for server in self.servers)

    def ask(self, name: str, body: bytes = b"") -> standins.Reply:
        """Send a request to the instance; return the answer."""
        headers = PROMPT if self.path == "/chat/" else {}
        return self.site.ask(
            self.instance, f"{self.path}x", name, headers, body=body
        )


@contextlib.contextmanager
def serving(
    path: str,
    answer: bytes,
    end: hasty.End = hasty.End.ORDERLY,
    pause_s: float = 0.0,
) -> collections.abc.Iterator[RawSite]:
    """Start an instance, and targets that all send the same bytes."""
    streams = ROUTES[path] == "streaming"
    with contextlib.ExitStack() as stack:
        site = stack.enter_context(standins.Site())
        site.route(path, ROUTES[path], sticky=streams, resumable=streams)
        site.publish(max_body_bytes=MAX_BODY_BYTES)
        servers = []
        for number in range(TARGETS):
            server = hasty.HastyServer(answer, end, pause_s)
            servers.append(stack.enter_context(server))
            site.announce(
                f"t{number}",
                role="decode" if streams else None,
                address=server.address,
            )
        instance = site.start()
        site.wait(lambda: instance.lifecycle.ready)
        site.wait(lambda: len(instance.catalog.targets) == TARGETS)
        yield RawSite(site, instance, path, servers)
