"""The right to act for all, claimed by one instance at a time.

A claim is a record that is appended to the log only if the log ends at the
expected offset, so only one of two concurrent claims succeeds. A claim is
valid for one second, counted from just before its append was sent. Another
instance may claim only after it has known the last claim for long enough
that every order sent under that claim has arrived and the least time between
two holders has passed. The offset after the claim's record is the fencing
token, so tokens grow with every claim. Claims are never renewed: a claim is
made when there are orders to send. A claim whose append went unanswered is
not used, as its outcome is unknown.

A claim's record also holds the split of the engines that its orders bring
about. An instance that starts begins with that one: engines keep their roles
when all instances are replaced. Likewise, the record of a claim to report
usage holds the figures that it decides on, see
:mod:`agatewing.duties._usage_ledger`.

The log may be restored from an older copy, which lacks the last claims. Then
all claims are void, and none is made for as long as after the claim of another
instance. The era of the log makes tokens grow nevertheless.
"""

import collections.abc
import dataclasses
import logging

import msgspec

from agatewing import _clock
from agatewing import _decoding
from agatewing.duties import _usage_ledger
from agatewing import fleetlog

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
#: Bits of a fencing token below the era of the log; enough for a claim each
#: second in a century.
OFFSET_BITS = 32


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of a claim in the log."""

    # Name of the instance that may give orders.
    holder: str
    # Incarnation of that instance: a restart makes it another holder.
    start: str
    # Share of the engines that its orders let decode, by service.
    split: dict[str, float] = {}
    # Reports of usage that are decided; absent in claims of other topics.
    usage: _usage_ledger.UsageLedger | None = None

    def same_holder(self, other: "ClaimRecord") -> bool:
        """Return whether both are records of one incarnation."""
        return (self.holder, self.start) == (other.holder, other.start)


#: Stands for the claim of an instance that is not known.
UNKNOWN_HOLDER = ClaimRecord("", "")


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A successful claim: the right to give orders for a short time."""

    #: Fencing token.
    token: int
    #: Monotonic time just before the claim was sent, in seconds.
    since: float
    #: Wall time just before the claim was sent, in seconds.
    wall: float
    #: Era of the log that has its record; ``None`` if the log named none.
    era: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _LastClaim:
    """The last claim as known from the log."""

    #: Its record; ``None`` if there was never a claim.
    record: ClaimRecord | None
    #: Offset at which the next claim must be appended.
    end: int
    #: Monotonic time at which this instance read or wrote it, in seconds.
    at: float
    #: Era of the log at that time; ``None`` if the log named none.
    era: int | None


class Claims:
    """Acquires claims for one instance."""

    __slots__ = (
        "_log",
        "_topic",
        "_clock",
        "_own_record",
        "wait_s",
        "_last_claim",
        "_own_claim",
        "_read_after",
        "_era",
        "_rises_seen",
        "_not_before",
    )

    def __init__(
        self,
        log: fleetlog.FleetLog,
        clock: _clock.Clock,
        own_record: ClaimRecord,
        gap_s: float,
        era: fleetlog.LogEra | None = None,
        topic: fleetlog.Topic = fleetlog.Topic.ORDERS,
    ) -> None:
        """Store the log, the clock, the own record and the subject's topic.

        Orders of two holders are at least ``gap_s`` seconds apart.
        """
        self._era = era or fleetlog.LogEra()
        self._rises_seen = self._era.rises
        # Monotonic time until which claims that a restored log lacks may be
        # in use, in seconds.
        self._not_before = float("-inf")
        self._log = log
        self._topic = topic
        self._clock = clock
        self._own_record = own_record
        #: Time for which the last claim of another instance has to be known
        #: before a new one is made, in seconds.
        self.wait_s = gap_s + CLAIM_VALID_S + ORDER_TIMEOUT_S + DRIFT_MARGIN_S
        self._last_claim: _LastClaim | None = None
        self._own_claim: Claim | None = None
        self._read_after = float("-inf")

    def valid(self, claim: Claim) -> bool:
        """Return whether orders may still be sent under a claim."""
        if claim.era != self._era.current:
            return False
        elapsed_s = self._clock.monotonic() - claim.since
        clock_jump_s = self._clock.wall() - claim.wall - elapsed_s
        return elapsed_s < CLAIM_VALID_S and abs(clock_jump_s) < CLOCK_JUMP_S

    def prepare(self) -> None:
        """Read the last claim unless it is known, so that the wait begins.

        An instance that has known a claim for long enough can claim at once
        when the holder is gone. If there was a newer claim, the append
        fails.
        """
        self._drop_older()
        now = self._clock.monotonic()
        if self._last_claim is None and now >= self._read_after:
            self._read_after = now + READ_PERIOD_S
            self._last_claim = self._read()

    def ordered_split(self) -> dict[str, float]:
        """Return the split in the last claim if another instance made it.

        By service; empty if there is none, or none is known.
        """
        known = self._last_claim
        if known is None or known.record is None:
            return {}
        if known.record.same_holder(self._own_record):
            return {}
        return known.record.split

    def refresh(self) -> None:
        """Read the last claim anew if another instance made it.

        One that is still the last one counts as known since before.
        """
        known = self._last_claim
        if known is None or self.own_last:
            self.prepare()
            return
        now = self._clock.monotonic()
        if now < self._read_after:
            return
        self._read_after = now + READ_PERIOD_S
        read = self._read()
        if read is None:
            return
        if (read.end, read.era) == (known.end, known.era):
            read = dataclasses.replace(read, at=known.at)
        self._last_claim = read

    @property
    def known(self) -> bool:
        """Whether the last claim, or that there was none, is known."""
        return self._last_claim is not None

    @property
    def own_last(self) -> bool:
        """Whether this incarnation made the last claim, as far as known."""
        known = self._last_claim
        return (
            known is not None
            and known.record is not None
            and known.record.same_holder(self._own_record)
        )

    @property
    def usage(
        self,
    ) -> _usage_ledger.UsageLedger | _usage_ledger.Unreadable | None:
        """What the last claim decided of reports of usage.

        ``None`` if there was never a claim, or none is known.
        """
        known = self._last_claim
        if known is None or known.record is None:
            return None
        if known.record.usage is None:
            return _usage_ledger.Unreadable()
        return known.record.usage

    @property
    def free(self) -> bool:
        """Whether a claim may be made now, as far as known."""
        known = self._last_claim
        return known is not None and self._last_holder_done(known)

    def acquire_deciding(
        self,
        decide: collections.abc.Callable[
            [_usage_ledger.UsageLedger | _usage_ledger.Unreadable | None],
            _usage_ledger.UsageLedger | None,
        ],
    ) -> Claim | None:
        """Return a new claim that decides on reports of usage.

        ``decide`` is given what the last claim decided, and returns what the
        new one is to hold; ``None`` if nothing is to be claimed. The claim
        fails if the last one is another one by then. Returns ``None`` if no
        claim can be had now. Calls the log at most twice.
        """
        self.prepare()
        known = self._last_claim
        if known is None or not self._last_holder_done(known):
            return None
        usage = decide(self.usage)
        if usage is None:
            return None
        return self._append(
            known, msgspec.structs.replace(self._own_record, usage=usage)
        )

    def acquire(self, split: dict[str, float] | None = None) -> Claim | None:
        """Return a valid claim, or ``None`` if none can be had now.

        Calls the log at most twice and does not wait for another holder. A new
        claim records ``split``, the share of the engines that are to decode by
        service.
        """
        if self._own_claim is not None and self.valid(self._own_claim):
            return self._own_claim
        self.prepare()
        known = self._last_claim
        if known is None or not self._last_holder_done(known):
            return None
        return self._append(
            known, msgspec.structs.replace(self._own_record, split=split or {})
        )

    def _drop_older(self) -> None:
        """Drop what is known of the claims of an older era."""
        known = self._last_claim
        stale = known is not None and known.era != self._era.current
        if self._rises_seen == self._era.rises and not stale:
            return
        self._rises_seen = self._era.rises
        self._last_claim = self._own_claim = None
        self._read_after = float("-inf")
        self._not_before = self._clock.monotonic() + self.wait_s

    def _last_holder_done(self, known: _LastClaim) -> bool:
        """Return whether no order of the last holder can still arrive."""
        if self._clock.monotonic() < self._not_before:
            return False
        if known.record is None or known.record.same_holder(self._own_record):
            return True
        return self._clock.monotonic() - known.at >= self.wait_s

    def _read(self) -> _LastClaim | None:
        answer = self._log.read_newest(self._topic)
        newest = self._era.observe(answer.era)
        self._drop_older()
        match answer:
            case fleetlog.Page(records=records, next_offset=end, era=era):
                if not newest:
                    return None
                record = _newest_record(records)
                if record is None and (era or 0) > fleetlog.FIRST_ERA:
                    # A restored log may lack all claims.
                    record = UNKNOWN_HOLDER
                now = self._clock.monotonic()
                return _LastClaim(record, end, now, self._era.current)
            case fleetlog.LogUnavailable(reason=reason):
                _log.info(
                    "orders: log gives no answer", extra={"reason": reason}
                )
        return None

    def _append(self, known: _LastClaim, record: ClaimRecord) -> Claim | None:
        since = self._clock.monotonic()
        wall = self._clock.wall()
        value = msgspec.json.encode(record)
        written = self._log.put_if_end(
            self._topic, CLAIM_KEY, value, known.end
        )
        self._era.observe(written.era)
        self._drop_older()
        match written:
            case fleetlog.Written(offset=offset, era=era):
                if known.era == self._era.current and era in (None, known.era):
                    return self._begin(record, offset, since, wall)
                _log.warning(
                    "orders: claim void, the log was restored meanwhile",
                    extra={"era": self._era.current},
                )
            case fleetlog.EndMismatch():
                _log.info("orders: another instance claimed")
            case fleetlog.LogUnavailable(reason=reason):
                # The append may still be carried out, so the last claim is
                # read again before the next attempt.
                _log.info("orders: claim lost", extra={"reason": reason})
        self._last_claim = None
        return None

    def _begin(
        self, record: ClaimRecord, offset: int, since: float, wall: float
    ) -> Claim:
        """Return the claim whose record has an offset in the present era."""
        era = self._era.current
        token = _token(era, offset)
        self._last_claim = _LastClaim(record, offset + 1, since, era)
        self._own_claim = Claim(token, since, wall, era)
        _log.info("orders: claimed", extra={"token": token})
        return self._own_claim


def _token(era: int | None, offset: int) -> int:
    """Return the fencing token of a claim; it grows with era and offset."""
    return ((era or 0) << OFFSET_BITS) + offset + 1


def _newest_record(
    records: tuple[fleetlog.KeyedRecord, ...],
) -> ClaimRecord | None:
    """Return the last claim among the newest records."""
    for record in records:
        if record.key != CLAIM_KEY or record.value is None:
            continue
        # A record that fails to decode still counts as a claim of another
        # instance.
        decoded = _decoding.decode_json(record.value, ClaimRecord)
        return decoded.unwrap_or(UNKNOWN_HOLDER)
    return None
