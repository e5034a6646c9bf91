"""Calls to the platform's address for duties."""

import collections.abc

import msgspec

from agatewing import _exceptions
from agatewing import duties
from agatewing.platform import _duty_client
from agatewing.platform import _names

_KINDS = {
    _names.DUTY_USAGE: duties.Duty.USAGE,
    _names.DUTY_CAPACITY: duties.Duty.CAPACITY,
}


class _UsageReport(msgspec.Struct, frozen=True):
    # Number of the window.
    window: int
    # Requests that began in it, by account.
    counts: collections.abc.Mapping[str, int]


def decode_kinds(
    kinds: collections.abc.Iterable[str],
) -> frozenset[duties.Duty]:
    """Return the duties that the platform names; unknown ones are ignored."""
    return frozenset(_KINDS[kind] for kind in kinds if kind in _KINDS)


class PlatformDuties:
    """Client of the address for duties."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = _duty_client.DutyClient(address)

    def report_usage(
        self,
        window: int,
        counts: collections.abc.Mapping[str, int],
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> duties.CallResult:
        """Report the requests of a window; see ``duties.DutyPort``."""
        body = msgspec.json.encode(_UsageReport(window, counts))
        try:
            status = self._client.post(
                _names.USAGE_PATH, body, holder, token, may_send
            )
        except _exceptions.AgatewingError as exc:
            return duties.NoAnswer(str(exc))
        return decode_status(status)


def decode_status(status: int) -> duties.CallResult:
    """Return what an answer with an HTTP status says of a call."""
    if 200 <= status < 300:
        return duties.Accepted()
    if status == 429:
        return duties.Busy()
    if 400 <= status < 500:
        return duties.Refused(f"status {status}")
    return duties.NoAnswer(f"status {status}")
