"""The users' platform: names, formats and calls; nothing here decides."""

from agatewing import gateway
from agatewing.platform._dialect import PlatformDialect
from agatewing.platform._log import decode_read
from agatewing.platform._log import PlatformLog
from agatewing.platform._names import READY_PATH
from agatewing.platform._records import RecordDecoder


def connect(log_address: str) -> gateway.Platform:
    """Return the platform whose log is at an address."""
    return gateway.Platform(
        PlatformLog(log_address),
        RecordDecoder(),
        PlatformDialect(),
        READY_PATH,
    )
