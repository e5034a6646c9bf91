"""The right to give orders to engines, claimed by one instance at a time.

A claim is a record that is appended to the log only if the log ends at the
expected offset, so only one of two concurrent claims succeeds. A claim is
valid for one second, counted from just before its append was sent. Another
instance may claim only after it has known the last claim for long enough
that every order sent under that claim has arrived and the least time between
two holders has passed. The offset after the claim's record is the fencing
token, so tokens grow with every claim. Claims are never renewed: a claim is
made when there are orders to send. A claim whose append went unanswered is
not used, as its outcome is unknown.
"""

import dataclasses
import logging

import msgspec

from agatewing import _clock
from agatewing.gateway import _ports

_log = logging.getLogger("agatewing.orders")

#: Key of the claim record in the topic of orders.
CLAIM_KEY = "holder"
#: Time for which orders may be sent under a claim, in seconds: enough for a
#: few calls.
CLAIM_VALID_S = 1.0
#: Timeout of one order, in seconds; the connection is reset when it expires,
#: so that no byte of the order arrives later.
ORDER_TIMEOUT_S = 0.8
#: Time added to the wait of the next claimant, in seconds, for clock drift.
DRIFT_MARGIN_S = 1.0
#: Least time between two reads of the last claim, in seconds; calls to the
#: log are billed.
READ_PERIOD_S = 0.5
#: Difference between the elapsed wall and monotonic time that invalidates a
#: claim, in seconds: the host was suspended, and only its wall clock went on.
CLOCK_JUMP_S = 0.3


class ClaimRecord(msgspec.Struct, frozen=True):
    """Record of a claim in the log."""

    # Name of the instance that may give orders.
    holder: str
    # Incarnation of that instance: a restart makes it another holder.
    start: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A successful claim: the right to give orders for a short time."""

    #: Fencing token.
    token: int
    #: Monotonic time just before the claim was sent, in seconds.
    since: float
    #: Wall time just before the claim was sent, in seconds.
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class _LastClaim:
    """The last claim as known from the log."""

    #: Its record; ``None`` if there was never a claim.
    record: ClaimRecord | None
    #: Offset at which the next claim must be appended.
    end: int
    #: Monotonic time at which this instance read or wrote it, in seconds.
    at: float


class Claims:
    """Acquires claims for one instance."""

    __slots__ = (
        "_log",
        "_clock",
        "_own_record",
        "_wait_s",
        "_last_claim",
        "_own_claim",
        "_read_after",
    )

    def __init__(
        self,
        log: _ports.FleetLog,
        clock: _clock.Clock,
        own_record: ClaimRecord,
        gap_s: float,
    ) -> None:
        """Store the log, the clock and the own record.

        Orders of two holders are at least ``gap_s`` seconds apart.
        """
        self._log = log
        self._clock = clock
        self._own_record = own_record
        self._wait_s = gap_s + CLAIM_VALID_S + ORDER_TIMEOUT_S + DRIFT_MARGIN_S
        self._last_claim: _LastClaim | None = None
        self._own_claim: Claim | None = None
        self._read_after = float("-inf")

    def valid(self, claim: Claim) -> bool:
        """Return whether orders may still be sent under a claim."""
        elapsed_s = self._clock.monotonic() - claim.since
        clock_jump_s = self._clock.wall() - claim.wall - elapsed_s
        return elapsed_s < CLAIM_VALID_S and abs(clock_jump_s) < CLOCK_JUMP_S

    def prepare(self) -> None:
        """Read the last claim unless it is known, so that the wait begins.

        An instance that has known a claim for long enough can claim at once
        when the holder is gone. If there was a newer claim, the append
        fails.
        """
        now = self._clock.monotonic()
        if self._last_claim is None and now >= self._read_after:
            self._read_after = now + READ_PERIOD_S
            self._last_claim = self._read()

    def acquire(self) -> Claim | None:
        """Return a valid claim, or ``None`` if none can be had now.

        Calls the log at most twice and does not wait for another holder.
        """
        if self._own_claim is not None and self.valid(self._own_claim):
            return self._own_claim
        self.prepare()
        known = self._last_claim
        if known is None or not self._last_holder_done(known):
            return None
        return self._append(known)

    def _last_holder_done(self, known: _LastClaim) -> bool:
        """Return whether no order of the last holder can still arrive."""
        if known.record is None or known.record == self._own_record:
            return True
        return self._clock.monotonic() - known.at >= self._wait_s

    def _read(self) -> _LastClaim | None:
        match self._log.read_newest(_ports.Topic.ORDERS):
            case _ports.Page(records=records, next_offset=end):
                now = self._clock.monotonic()
                return _LastClaim(_newest_record(records), end, now)
            case _ports.LogUnavailable(reason=reason):
                _log.info(
                    "orders: log gives no answer", extra={"reason": reason}
                )
        return None

    def _append(self, known: _LastClaim) -> Claim | None:
        since = self._clock.monotonic()
        wall = self._clock.wall()
        value = msgspec.json.encode(self._own_record)
        written = self._log.put_if_end(
            _ports.Topic.ORDERS, CLAIM_KEY, value, known.end
        )
        match written:
            case _ports.Written(offset=offset):
                self._last_claim = _LastClaim(
                    self._own_record, offset + 1, since
                )
                self._own_claim = Claim(offset + 1, since, wall)
                _log.info("orders: claimed", extra={"token": offset + 1})
                return self._own_claim
            case _ports.EndMismatch():
                _log.info("orders: another instance claimed")
            case _ports.LogUnavailable(reason=reason):
                # The append may still be carried out, so the last claim is
                # read again before the next attempt.
                _log.info("orders: claim lost", extra={"reason": reason})
        self._last_claim = None
        return None


def _newest_record(
    records: tuple[_ports.KeyedRecord, ...],
) -> ClaimRecord | None:
    """Return the last claim among the newest records."""
    for record in records:
        if record.key != CLAIM_KEY or record.value is None:
            continue
        try:
            return msgspec.json.decode(record.value, type=ClaimRecord)
        except msgspec.MsgspecError:
            # A record that fails to decode still counts as a claim of
            # another instance.
            return ClaimRecord("", "")
    return None
