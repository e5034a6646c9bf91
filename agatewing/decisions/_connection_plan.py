"""Which idle connection to a target carries the next request.

A new connection holds a slot of its target for a moment and takes another
round trip. So a connection is used for as long as the target keeps it, less a
margin for the time in which this instance cannot know yet that the target has
closed it.
"""

import collections.abc
import dataclasses
import enum

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
#: Time for which a target that closed a connection before the time that it
#: had announced is not taken at its word, in seconds: three times the longest
#: idle time that is used.
DISTRUST_S = 30.0


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
    return max(cautious_s, announced_s - margin_s)


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
