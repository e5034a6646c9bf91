"""Adapter for the users' platform: its names, formats and calls.

Holds no routing or scheduling logic; that is in ``agatewing.gateway``.
"""

from agatewing import duties
from agatewing import gateway
from agatewing.platform._capacity_calls import PlatformCapacity
from agatewing.platform._dialect import PlatformDialect
from agatewing.platform._log import decode_era
from agatewing.platform._log import decode_read
from agatewing.platform._log import PlatformLog
from agatewing.platform import _names
from agatewing.platform._names import READY_PATH
from agatewing.platform._records import RecordDecoder


def connect(log_address: str) -> gateway.Platform:
    """Return the platform adapter for the log at ``HOST:PORT``.

    Opens no connection; the log is called when an instance starts.
    """
    return gateway.Platform(
        PlatformLog(log_address),
        RecordDecoder(),
        PlatformDialect(),
        READY_PATH,
        _connect_capacity,
    )


def _connect_capacity(
    address: str, kinds: tuple[str, ...]
) -> duties.CapacityPort | None:
    """Return what orders engines; ``None`` if the platform takes none."""
    if not address or _names.DUTY_CAPACITY not in kinds:
        return None
    return PlatformCapacity(address)
