"""Interfaces of the loop that orders numbers of engines."""

import collections.abc
import enum
import typing

from agatewing import decisions


class OrderOutcome(enum.StrEnum):
    """What became of an order for a number of engines."""

    #: The platform has taken it.
    ACCEPTED = "accepted"
    #: There are no such engines in the zone at the moment.
    NONE_THERE = "none-there"
    #: The platform takes no more calls now.
    BUSY = "busy"
    #: The platform does not take this order.
    REFUSED = "refused"
    #: Whether the platform has taken it is not known.
    UNKNOWN = "unknown"
    #: It was not sent.
    NOT_SENT = "not-sent"


class CapacityPort(typing.Protocol):
    """Orders numbers of engines from the platform."""

    def order_engines(
        self,
        order: decisions.EngineOrder,
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> OrderOutcome:
        """Send an order; raise nothing.

        ``holder`` is the name of the instance and ``token`` that of its claim.
        ``may_send`` is asked just before the order is sent. No byte of it
        arrives later than ``ORDER_TIMEOUT_S`` after that.
        """
