"""Interface to the platform's address for duties."""

import collections.abc
import dataclasses
import enum
import typing


class Duty(enum.StrEnum):
    """A duty of one instance at a time."""

    #: Reports how many requests of each account began.
    USAGE = "usage"
    #: Orders how many engines there are.
    CAPACITY = "capacity"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The platform has taken a call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """The platform takes no more calls now; this one counts for nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The platform has refused a call."""

    #: Why, for the log.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Whether the platform has taken a call is not known."""

    #: Why, for the log.
    reason: str


CallResult: typing.TypeAlias = Accepted | Busy | Refused | NoAnswer


class DutyPort(typing.Protocol):
    """Calls of the holder of a duty."""

    def report_usage(
        self,
        window: int,
        counts: collections.abc.Mapping[str, int],
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> CallResult:
        """Report how many requests of each account began in a window.

        ``holder`` is the name of the instance and ``token`` that of its claim.
        ``may_send`` is asked just before the call is sent. No byte of the
        call arrives later than ``ORDER_TIMEOUT_S`` after that.
        """
