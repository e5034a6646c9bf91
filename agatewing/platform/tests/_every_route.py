"""A site with a route of each kind, two targets each, and requests for it."""

import itertools

from agatewing import gateway
from agatewing.platform import standins

PROMPT_HEADERS = {"X-Token-Count": "1200,20", "X-Prefix-Hash": "aa:800,bb:400"}

_NUMBERS = itertools.count(1)


def publish(site: standins.Site) -> None:
    """Publish the routes and start their targets."""
    site.route("/look/", "safe", "ledger", max_attempts=3)
    site.route("/pay/", "unsafe", "ledger", max_attempts=3)
    site.route("/chat/", "streaming")
    site.route("/draft/", "streaming", sticky=True)
    site.route("/talk/", "streaming", sticky=True, resumable=True)
    site.route("/long/", "streaming", "split", sticky=True)
    for name in ("t1", "t2"):
        site.add_target(name, "ledger", None)
    for name in ("e1", "e2"):
        site.add_target(name)
    site.add_target("d1", "split")
    for name in ("p1", "p2"):
        site.add_target(name, "split", "prefill")
    site.publish()


def start_ready(
    site: standins.Site, *names: str
) -> list[gateway.GatewayInstance]:
    """Start instances; wait until they know each other and all targets."""
    made = [site.start(name) for name in names]
    site.wait(lambda: all(i.lifecycle.ready for i in made))
    site.wait(lambda: all(len(i.peers.known) == len(names) - 1 for i in made))
    count = len(site.targets)
    site.wait(lambda: all(len(i.catalog.targets) == count for i in made))
    return made


def ask(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    headers: dict[str, str] | None = None,
) -> standins.Reply:
    """Send a request with headers that suit its route."""
    number = next(_NUMBERS)
    if headers is None and path == "/long/x":
        # No two prompts are alike, so that none prefers an engine.
        headers = {
            "X-Token-Count": "4000,20",
            "X-Prefix-Hash": f"p{number}:2000,q{number}:2000",
        }
    elif headers is None:
        plain = path in ("/look/x", "/pay/x")
        headers = {} if plain else PROMPT_HEADERS
    return site.ask(instance, path, f"a{number}", headers)
