"""Which connections to targets an instance keeps, and which one it uses next.

A new connection holds a slot of its target for a moment and takes another
round trip. So a connection is used for as long as the target keeps it, less a
margin for the time in which this instance cannot know yet that the target has
closed it. Where an instance has too few requests to use a connection to each
target within that time, it prefers some of the targets.
"""

import collections.abc
import dataclasses
import enum
import math

import xxhash

#: Longest idle time of a connection whose target announces no timeout, in
#: seconds, for a request that must not run twice. If the target closes the
#: connection while it is idle, nothing proves that the request did not run.
ONCE_UNANNOUNCED_S = 0.5
#: The same for requests that may be sent again, in seconds.
AGAIN_UNANNOUNCED_S = 10.0
#: Time before the end of an announced timeout from which a connection carries
#: no request that must not run twice, in seconds: a lost packet that closes
#: the connection is sent again after 0.2, 0.6 and 1.4 s, and timeouts are
#: announced in whole seconds.
ONCE_MARGIN_S = 2.0
#: The same for requests that may be sent again, in seconds: timeouts are
#: announced in whole seconds, rounded either way.
AGAIN_MARGIN_S = 0.5
#: Longest idle time of a connection, whatever its target announces, in
#: seconds: in more time a path may end unseen.
LONGEST_IDLE_S = 10.0
#: Time for which a target that closed a connection before the time that it
#: had announced is not taken at its word, in seconds: three times the longest
#: idle time that is used.
DISTRUST_S = 30.0
#: Mean number of uses of a connection within the time for which it may be
#: idle, from which it stays open whatever target is chosen: a twentieth of
#: the pauses are longer then.
AMPLE_USES = 3.0
#: The same for targets that an instance prefers. An instance that has just
#: started opens a connection to each of them, so they are fewer than those
#: that it could keep open.
KEPT_USES = 4.0
#: Expected gain from which a target is chosen although a new connection has
#: to be opened, in seconds: a tenth of the latency objectives in use. Callers
#: whose answers are on time gain nothing by less.
NEW_CONNECTION_S = 0.04
#: The same for a connection that was just used, beside one that is about to
#: end, in seconds.
RECENT_CONNECTION_S = 0.01
#: Least mean number of instances that prefer a target: the load of targets
#: that few prefer would follow that of single instances.
MIN_KEEPERS = 8
#: Least number of targets that an instance prefers, so that the less loaded
#: ones of several can be chosen.
MIN_KEPT = 4
#: Weight of a target of the own availability zone; traffic between zones is
#: billed.
OWN_ZONE_WEIGHT = 2.0
#: Time constant of the average rate of requests, in seconds: longer than
#: connections are idle, so that a pause does not change the choice.
RATE_AVERAGE_S = 20.0


class Reuse(enum.Enum):
    """What a request asks of the connection that carries it."""

    #: It needs a new connection.
    NEVER = enum.auto()
    #: It must not run twice.
    ONCE = enum.auto()
    #: It may be sent again.
    AGAIN = enum.auto()


class OpenReason(enum.Enum):
    """Why a connection is opened; the values are labels of a metric."""

    #: The request needs a new one.
    OWN = "own"
    #: No connection was idle.
    NONE_IDLE = "none_idle"
    #: Those that were idle had been so for too long.
    IDLE_TOO_LONG = "idle_too_long"
    #: The target had closed those that were idle.
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class IdleConnection:
    """An idle connection to a target."""

    #: Time for which it has been idle, in seconds.
    idle_s: float
    #: Time for which the target keeps it, in seconds; ``None`` if the target
    #: did not say.
    announced_s: float | None


def idle_limit_s(
    reuse: Reuse, announced_s: float | None, trusted: bool = True
) -> float:
    """Return the longest idle time of a connection for a request, in seconds.

    ``trusted`` says whether the target kept its connections as announced.
    """
    match reuse:
        case Reuse.NEVER:
            return -1.0
        case Reuse.ONCE:
            least_s, margin_s = ONCE_UNANNOUNCED_S, ONCE_MARGIN_S
        case Reuse.AGAIN:
            least_s, margin_s = AGAIN_UNANNOUNCED_S, AGAIN_MARGIN_S
    if announced_s is None:
        return least_s
    cautious_s = min(least_s, announced_s / 2)
    if not trusted:
        return cautious_s
    return min(LONGEST_IDLE_S, max(cautious_s, announced_s - margin_s))


def candidates(
    idle: collections.abc.Sequence[IdleConnection],
    reuse: Reuse,
    trusted: bool = True,
) -> list[int]:
    """Return the indexes of the connections that may carry a request.

    The one to be tried first is the first. Requests that may be sent again
    take the one that was idle for longest, so that it stays open, and leave
    the others to those that must not run twice.
    """
    allowed = [
        index
        for index, connection in enumerate(idle)
        if connection.idle_s
        <= idle_limit_s(reuse, connection.announced_s, trusted)
    ]
    sign = 1 if reuse is Reuse.ONCE else -1
    return sorted(allowed, key=lambda index: sign * idle[index].idle_s)


class AnnouncedTimes:
    """Whether a target keeps idle connections for as long as it announces."""

    __slots__ = ("_distrusted_until",)

    def __init__(self) -> None:
        # Monotonic time, in seconds.
        self._distrusted_until = float("-inf")

    def record_closed(self, connection: IdleConnection, now: float) -> None:
        """Record a connection that the target had closed while it was idle."""
        announced_s = connection.announced_s
        if announced_s is not None and connection.idle_s < announced_s:
            self._distrusted_until = now + DISTRUST_S

    def trusted(self, now: float) -> bool:
        """Return whether announced times are used up to nearly their end."""
        return now >= self._distrusted_until


class UseRate:
    """Averages the rate at which connections are asked for.

    The average is complete from the first second on: it is divided by the
    weight of the time that was observed.
    """

    __slots__ = ("_sum", "_at", "_started_at")

    def __init__(self) -> None:
        self._sum = 0.0
        # Monotonic times of the last and of the first addition, in seconds.
        self._at = math.inf
        self._started_at = math.inf

    def add(self, count: int, now: float) -> None:
        """Add requests that came since the last addition."""
        if not count and self._started_at > now:
            return
        self._started_at = min(self._started_at, now)
        self._sum = self._decayed(now) + count / RATE_AVERAGE_S
        self._at = now

    def _decayed(self, now: float) -> float:
        if self._at > now:
            return self._sum
        return self._sum * math.exp((self._at - now) / RATE_AVERAGE_S)

    def current(self, now: float) -> float:
        """Return the requests a second; 0 before the first one."""
        observed_s = max(1.0, now - self._started_at)
        weight = -math.expm1(-observed_s / RATE_AVERAGE_S)
        return self._decayed(now) / weight


@dataclasses.dataclass(frozen=True, slots=True)
class KeepCandidate:
    """A target of which an instance may prefer to use the connections."""

    #: Name of the target.
    name: str
    #: Whether it is in the availability zone of the instance.
    same_zone: bool
    #: Speed, as a multiple of that of the others.
    speed: float = 1.0


def scarce(targets: int, rate: float, idle_s: float) -> bool:
    """Return whether connections end unless requests are led to them.

    ``rate`` is the number of requests a second that an instance sends to all
    of ``targets``. ``idle_s`` is the time for which a connection may be idle.
    """
    return rate * idle_s < AMPLE_USES * targets


def connection_cost_s(idle_s: float | None, limit_s: float) -> float:
    """Return what the connection to a target counts in its choice.

    The unit is seconds. ``idle_s`` is the time for which the present one has
    been idle, ``None`` if there is none; it may be so for ``limit_s``.
    """
    if idle_s is None or idle_s > limit_s:
        return NEW_CONNECTION_S
    return RECENT_CONNECTION_S * (1 - idle_s / max(1e-3, limit_s))


def kept_count(
    targets: int, instances: int, rate: float, idle_s: float
) -> int:
    """Return how many of ``targets`` an instance prefers.

    ``rate`` and ``idle_s`` are those of :func:`scarce`. The result is
    ``targets`` if nothing is gained.
    """
    count = max(
        MIN_KEPT,
        math.ceil(rate * idle_s / KEPT_USES),
        math.ceil(MIN_KEEPERS * targets / max(1, instances)),
    )
    return min(targets, count)


def kept_targets(
    instance: str,
    targets: collections.abc.Sequence[KeepCandidate],
    count: int,
) -> frozenset[str]:
    """Return the names of the targets that an instance prefers.

    By rendezvous hashing, so that instances spread evenly over the targets,
    in proportion to their speeds, and a target that comes or goes changes
    the choice of few instances.
    """
    if count >= len(targets):
        return frozenset(target.name for target in targets)

    def score(target: KeepCandidate) -> float:
        digest = xxhash.xxh64_intdigest(f"{instance}/{target.name}".encode())
        weight = target.speed * (OWN_ZONE_WEIGHT if target.same_zone else 1)
        return -weight / math.log((digest + 0.5) / 2**64)

    ranked = sorted(targets, key=score, reverse=True)
    return frozenset(target.name for target in ranked[:count])
