"""Changes of the configuration, and other planned work, at a small site."""

import collections.abc
import copy
import enum
import signal

from agatewing.platform import standins

#: Time limit of the routes, in milliseconds: longer than the silences and the
#: retries after them.
PLAIN_TIMEOUT_MS = 4_000
STREAM_TIMEOUT_MS = 8_000
#: Time limit of the routes after some changes, in milliseconds.
SHORT_TIMEOUT_MS = 400
#: Limits on callers before any change.
LIMITS = {
    "idle_timeout_ms": 1_500,
    "header_timeout_ms": 1_500,
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
}
#: Routes of a large configuration, beside those that are used.
MANY_ROUTES = 350


class Change(enum.StrEnum):
    """What is changed while requests are under way."""

    NONE = "nothing"
    ADD = "a route is added"
    REMOVE = "the routes are removed"
    MOVE = "the routes lead to other services"
    SHARES = "the routes lead to two services each"
    TIMEOUTS_LOWER = "time limits of the routes are lowered"
    TIMEOUTS_RAISE = "time limits of the routes are raised"
    ATTEMPTS = "numbers of attempts"
    PRIORITIES = "priorities and objectives"
    QUOTAS = "connections of each target"
    IDLE_LOWER = "the idle limit is lowered"
    IDLE_RAISE = "the idle limit is raised"
    HEAD_TIMEOUT = "the time limit of a head is lowered"
    HEAD_BYTES = "the size limit of a head is lowered"
    BODY_BYTES = "the size limit of a body is lowered"
    MANY = "many things at once"
    LARGE = "a large configuration"
    TARGETS_DRAIN = "the targets drain"
    RELOAD = "SIGHUP with other settings"
    STOP = "SIGTERM"


#: Changes that are no configuration.
OTHER_WORK = (Change.TARGETS_DRAIN, Change.RELOAD, Change.STOP)
#: Signal by which planned work begins.
SIGNALS = {Change.RELOAD: signal.SIGHUP, Change.STOP: signal.SIGTERM}


class Configurations:
    """Publishes a site's configuration with a change, and without it."""

    __slots__ = ("_site", "_routes", "_count")

    def __init__(self, site: standins.Site) -> None:
        self._site = site
        # Routes without a change.
        self._routes = copy.deepcopy(site.routes)
        # Number of routes that were added.
        self._count = 0

    def publish(self, change: Change) -> None:
        """Publish the configuration with one change."""
        site = self._site
        site.routes = copy.deepcopy(self._routes)
        site.max_conns = 64
        limits: dict[str, object] = dict(LIMITS)
        for part in _parts(change):
            self._apply(part, limits)
        site.publish(**limits)

    def _apply(self, change: Change, limits: dict[str, object]) -> None:
        site = self._site
        match change:
            case Change.ADD:
                self._add(1)
            case Change.LARGE:
                self._add(MANY_ROUTES)
            case Change.REMOVE:
                site.routes = []
                self._add(1)
            case Change.MOVE:
                for rule in site.routes:
                    rule["service"] = f"{rule['service']}-2"
            case Change.SHARES:
                for rule in site.routes:
                    name = rule["service"]
                    rule["service"] = None
                    rule["traffic_split"] = [
                        {"service": name, "weight": 0.3},
                        {"service": f"{name}-2", "weight": 0.7},
                    ]
            case Change.TIMEOUTS_LOWER:
                self._set(timeout_ms=SHORT_TIMEOUT_MS)
            case Change.TIMEOUTS_RAISE:
                self._set(timeout_ms=2 * STREAM_TIMEOUT_MS)
            case Change.ATTEMPTS:
                for rule in site.routes:
                    rule["max_attempts"] = 3 - int(rule["max_attempts"])
            case Change.PRIORITIES:
                self._set(priority=2, target_latency_ms=90)
            case Change.QUOTAS:
                site.max_conns = 2
            case Change.IDLE_LOWER:
                limits["idle_timeout_ms"] = 200
            case Change.IDLE_RAISE:
                limits["idle_timeout_ms"] = 6_000
            case Change.HEAD_TIMEOUT:
                limits["header_timeout_ms"] = 100
            case Change.HEAD_BYTES:
                limits["max_header_bytes"] = 2_048
            case Change.BODY_BYTES:
                limits["max_body_bytes"] = 10_000

    def _add(self, count: int) -> None:
        """Add routes that no request uses."""
        for _ in range(count):
            self._count += 1
            self._site.route(f"/new{self._count}/", "safe", "ledger")

    def _set(self, **fields: object) -> None:
        for rule in self._site.routes:
            rule.update(fields)


def _parts(change: Change) -> collections.abc.Iterable[Change]:
    """Return the single changes that one consists of."""
    if change is not Change.MANY:
        return (change,)
    return (
        Change.SHARES,
        Change.TIMEOUTS_RAISE,
        Change.ATTEMPTS,
        Change.PRIORITIES,
        Change.QUOTAS,
        Change.IDLE_LOWER,
        Change.HEAD_TIMEOUT,
        Change.LARGE,
    )


#: Statuses of refusals that a change may bring about, besides 503.
REFUSALS = {
    Change.REMOVE: {404},
    Change.HEAD_TIMEOUT: {408},
    Change.HEAD_BYTES: {431},
    Change.BODY_BYTES: {413},
    Change.MANY: {408},
    # A request that has run, or may have, at the stop limit.
    Change.STOP: {502},
}


def allowed_statuses(change: Change) -> set[int]:
    """Return the statuses that a request may get beside a change."""
    return {200, 503} | REFUSALS.get(change, set())
