"""One holder at a time may give orders to engines, by the log's own fencing.

A claim is a record that the log appends only if no other came before it, so
of two claimants one wins. A claim holds for a second from before its append
was sent; another instance may claim only when the last claim has been known
to it for so long that every order given under it has arrived and the time
between two holders is over. The offset of a claim is the fencing token, so
tokens grow with every claim. Nothing is renewed: a claim is made when there
is something to order, and a claim that went unanswered is not used.
"""

import dataclasses
import logging

import msgspec

from agatewing import _clock
from agatewing.gateway import _ports

_log = logging.getLogger("agatewing.orders")

#: Key of the only record.
KEY = "holder"
#: Time for which a claim allows to send orders, in seconds: a few calls.
CLAIM_S = 1.0
#: Time for one order to be answered, in seconds; the connection is reset
#: after it, so that nothing of it arrives later.
ORDER_S = 0.8
#: Time added to what a claimant waits, in seconds, for clocks that drift.
MARGIN_S = 1.0
#: Least time between two reads of the last claim, in seconds; calls of the
#: log are paid for.
READ_PERIOD_S = 0.5
#: Difference of wall and monotonic clock that ends a claim, in seconds: the
#: machine stood still for a while and only the wall clock went on.
CLOCKS_APART_S = 0.3


class ClaimRecord(msgspec.Struct, frozen=True):
    """What the log holds of a claim."""

    # Instance that may give orders.
    holder: str
    # Start of that instance, so that a new start is another holder.
    start: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to give orders for a moment."""

    #: Fencing token.
    token: int
    #: Monotonic and wall time before the claim was sent.
    since: float
    wall: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """The last claim as read from the log."""

    #: Its record; ``None`` if there never was one.
    record: ClaimRecord | None
    #: Offset at which the next claim has to stand.
    end: int
    #: Monotonic time at which it was learnt.
    at: float


class Claims:
    """Claims the right to give orders for one instance."""

    __slots__ = (
        "_log",
        "_clock",
        "_me",
        "_wait_s",
        "_known",
        "_mine",
        "_read_after",
    )

    def __init__(
        self,
        log: _ports.FleetLog,
        clock: _clock.Clock,
        me: ClaimRecord,
        gap_s: float,
    ) -> None:
        """Take the least time between two holders' orders, in seconds."""
        self._log = log
        self._clock = clock
        self._me = me
        self._wait_s = gap_s + CLAIM_S + ORDER_S + MARGIN_S
        self._known: _Known | None = None
        self._mine: Claim | None = None
        self._read_after = float("-inf")

    def valid(self, claim: Claim) -> bool:
        """Return whether orders may be sent under a claim now."""
        passed = self._clock.monotonic() - claim.since
        apart = self._clock.wall() - claim.wall - passed
        return passed < CLAIM_S and abs(apart) < CLOCKS_APART_S

    def prepare(self) -> None:
        """Learn of the last claim, so that its time runs from now on.

        Whoever has known a claim for long enough may claim at once when its
        holder is gone; a newer claim makes the append fail.
        """
        now = self._clock.monotonic()
        if self._known is None and now >= self._read_after:
            self._read_after = now + READ_PERIOD_S
            self._known = self._read()

    def acquire(self) -> Claim | None:
        """Return a claim that holds now, or ``None``; never waits long."""
        if self._mine is not None and self.valid(self._mine):
            return self._mine
        self.prepare()
        known = self._known
        if known is None or not self._free(known):
            return None
        return self._append(known)

    def _free(self, known: _Known) -> bool:
        """Return whether every order of the last holder has arrived."""
        if known.record is None or known.record == self._me:
            return True
        return self._clock.monotonic() - known.at >= self._wait_s

    def _read(self) -> _Known | None:
        match self._log.newest(_ports.Topic.ORDERS):
            case _ports.Page(records=records, next_offset=end):
                now = self._clock.monotonic()
                return _Known(_last(records), end, now)
            case _ports.LogAway(reason=reason):
                _log.info("orders: log away", extra={"reason": reason})
        return None

    def _append(self, known: _Known) -> Claim | None:
        since = self._clock.monotonic()
        wall = self._clock.wall()
        value = msgspec.json.encode(self._me)
        written = self._log.put_at(_ports.Topic.ORDERS, KEY, value, known.end)
        match written:
            case _ports.Written(offset=offset):
                self._known = _Known(self._me, offset + 1, since)
                self._mine = Claim(offset + 1, since, wall)
                _log.info("orders: claimed", extra={"token": offset + 1})
                return self._mine
            case _ports.Overtaken():
                _log.info("orders: another instance claimed")
            case _ports.LogAway(reason=reason):
                # It may still be written; what stands there is read anew.
                _log.info("orders: claim lost", extra={"reason": reason})
        self._known = None
        return None


def _last(records: tuple[_ports.KeyedRecord, ...]) -> ClaimRecord | None:
    """Return the last claim among the newest records."""
    for record in records:
        if record.key != KEY or record.value is None:
            continue
        try:
            return msgspec.json.decode(record.value, type=ClaimRecord)
        except msgspec.MsgspecError:
            # An unreadable claim is somebody's all the same.
            return ClaimRecord("", "")
    return None
