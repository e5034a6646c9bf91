"""Which connection gives way to a new one at the bound of connections."""

import collections.abc
import dataclasses
import typing

Conn = typing.TypeVar("Conn")


@dataclasses.dataclass(frozen=True, slots=True)
class Held(typing.Generic[Conn]):
    """A connection as far as the choice needs it."""

    #: The connection.
    conn: Conn
    #: Whether it stays, as a whole request has arrived, or ends already.
    stays: bool
    #: Whether part of a request has arrived.
    begun: bool
    #: Monotonic time since which it is in this state, in seconds.
    since: float


def choose_victim(
    held: collections.abc.Iterable[Held[Conn]],
) -> Conn | None:
    """Return the connection to end; ``None`` if all of them stay.

    Idle ones go first, then those that are still sending; of each the one
    that has been so for longest.
    """
    waiting = [h for h in held if not h.stays]
    if not waiting:
        return None
    return min(waiting, key=lambda h: (h.begun, h.since)).conn
