"""Adapter for the users' platform: its names, formats and calls.

Holds no routing or scheduling logic; that is in ``agatewing.gateway``.
"""

import collections.abc

from agatewing import duties
from agatewing import gateway
from agatewing.platform._capacity_calls import PlatformCapacity
from agatewing.platform._dialect import PlatformDialect
from agatewing.platform._duties import decode_kinds
from agatewing.platform._duties import PlatformDuties
from agatewing.platform._log import decode_era
from agatewing.platform._log import decode_read
from agatewing.platform._log import PlatformLog
from agatewing.platform._names import READY_PATH
from agatewing.platform._records import RecordDecoder


def connect(
    log_address: str,
    duty_address: str = "",
    duty_kinds: collections.abc.Iterable[str] = (),
) -> gateway.Platform:
    """Return the platform adapter for the log at ``HOST:PORT``.

    ``duty_address`` takes the calls of the duties that ``duty_kinds`` names;
    empty if the platform has none. Opens no connection; the log is called
    when an instance starts.
    """
    kinds = decode_kinds(duty_kinds)
    return gateway.Platform(
        PlatformLog(log_address),
        RecordDecoder(),
        PlatformDialect(),
        READY_PATH,
        PlatformDuties(duty_address) if duty_address else None,
        kinds,
        _capacity_port(duty_address, kinds),
    )


def _capacity_port(
    address: str, kinds: collections.abc.Set[duties.Duty]
) -> duties.CapacityPort | None:
    """Return what orders engines; ``None`` if the platform takes none."""
    if not address or duties.Duty.CAPACITY not in kinds:
        return None
    return PlatformCapacity(address)
