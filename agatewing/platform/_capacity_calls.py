"""Orders for numbers of engines at the platform's address for duties."""

import collections.abc

import msgspec

from agatewing import _exceptions
from agatewing import decisions
from agatewing import duties
from agatewing import net
from agatewing.platform import _duty_client
from agatewing.platform import _names


class _Order(msgspec.Struct, frozen=True, omit_defaults=True):
    service: str
    zone: str
    # Number of engines, of the kind that ``spot`` says.
    desired: int
    # Whether engines are meant that the platform may take away.
    spot: bool = False


class PlatformCapacity:
    """Client of the address that takes orders for engines."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = _duty_client.DutyClient(address)

    def order_engines(
        self,
        order: decisions.EngineOrder,
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> duties.OrderOutcome:
        """Send an order; see ``duties.CapacityPort``."""
        body = msgspec.json.encode(
            _Order(
                order.service,
                order.place.zone,
                order.count,
                order.place.kind is decisions.EngineKind.RECLAIMABLE,
            )
        )
        try:
            status = self._client.post(
                _names.CAPACITY_PATH, body, holder, token, may_send
            )
        except (net.SendForbiddenError, _exceptions.ConnectRefusedError):
            return duties.OrderOutcome.NOT_SENT
        except _exceptions.AgatewingError:
            return duties.OrderOutcome.UNKNOWN
        return decode_outcome(status)


def decode_outcome(status: int) -> duties.OrderOutcome:
    """Return what an answer with an HTTP status says of an order."""
    if 200 <= status < 300:
        return duties.OrderOutcome.ACCEPTED
    if status == 409:
        return duties.OrderOutcome.NONE_THERE
    if status == 429:
        return duties.OrderOutcome.BUSY
    if 400 <= status < 500:
        return duties.OrderOutcome.REFUSED
    return duties.OrderOutcome.UNKNOWN
