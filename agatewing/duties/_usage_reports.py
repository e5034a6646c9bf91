"""Reports the usage of each window, by one instance at a time.

In each zone the first two instances by rank may report. The one that made the
last claim goes on: as soon as a window is over for long enough, it gathers the
counts of all zones and claims anew; the record of that claim decides on the
figures, and only then they are sent. The others look at the last claim once a
window. If it is not renewed for the time between two holders, one of them
claims. It finds in the last record what may not have been accepted, and sends
it again, with the same figures.
"""

import collections.abc
import dataclasses
import logging

from agatewing import _clock
from agatewing import _metrics
from agatewing.duties import _claims
from agatewing.duties import _fleet_time
from agatewing.duties import _ports
from agatewing.duties import _usage_counts
from agatewing.duties import _usage_exchange
from agatewing.duties import _usage_ledger
from agatewing.duties import _usage_windows
from agatewing import fleetlog

_log = logging.getLogger("agatewing.usage")

#: Time between two datagrams with counts, in seconds: what is lost with an
#: instance is a twentieth of the shortest window in use.
PUSH_PERIOD_S = 0.25
#: Time between two checks of what is due, in seconds.
CHECK_PERIOD_S = 0.25
#: Time from the end of a window to its report, in seconds: the counts are sent
#: three times by then, also by a machine that is slow for a second.
SETTLE_S = 2.0
#: Further time after which the others look whether the holder has claimed, in
#: seconds, and per rank.
STANDBY_S = 1.0
RANK_DELAY_S = 0.3
#: Instances of a zone that may report: a second one, as one may be lost, and
#: no more, as each of them reads the log once a window.
CANDIDATES = 2
#: Shares of the time to the oldest due report, and the share of the zones that
#: must have answered before each. A holder that is cut off from most zones
#: leaves the report to others; after all of these shares nobody else has
#: claimed, so what is known is all that there is to report.
PATIENCE = ((0.4, 1.0), (0.7, 0.51))
#: Time between two tries, in seconds, at first and at most.
RETRY_S = 0.5
MAX_RETRY_S = 2.0
#: Share of the limit of calls that reports of several windows may take.
CALL_SHARE = 0.5
#: Time for which an instance whose calls have failed for the time of a report
#: leaves the duty to others, in seconds: they claim within that time.
REST_S = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsContext:
    """What the reports need of the instance."""

    #: The clock.
    clock: _clock.Clock
    #: Wall time of the fleet.
    time: _fleet_time.FleetTime
    #: Name of the instance.
    name: str
    #: Windows of the reports.
    windows: _usage_windows.Windows
    #: Counts of this instance and of others.
    counts: _usage_counts.UsageCounts
    #: Exchange of counts with other instances.
    exchange: _usage_exchange.UsageExchange
    #: Acquires the right to report.
    claims: _claims.Claims
    #: Era of the log.
    era: fleetlog.LogEra
    #: Address for reports.
    port: _ports.DutyPort
    #: Calls a second that the address takes of all instances together.
    calls_per_s: float
    #: Returns the rank of this instance in its zone.
    rank: collections.abc.Callable[[], int]
    #: Returns whether this instance serves and knows the others.
    may_act: collections.abc.Callable[[], bool]


class UsageReports:
    """Counts what begins; reports it while this instance has the duty."""

    __slots__ = (
        "_context",
        "_accepted",
        "_done",
        "_looked",
        "_next_try",
        "_failing_since",
        "_retry_s",
        "outcomes",
        "given_up",
    )

    def __init__(self, context: ReportsContext) -> None:
        self._context = context
        # Windows whose reports were accepted, as far as known.
        self._accepted: set[int] = set()
        # Last window up to which nothing is left to do for this instance.
        self._done = -1
        # Last window for which this instance has looked at the last claim.
        self._looked = -1
        # Monotonic time of the next try, in seconds.
        self._next_try = float("-inf")
        # Monotonic time since which all calls have failed; ``None`` if the
        # last one did not.
        self._failing_since: float | None = None
        self._retry_s = RETRY_S
        #: Number of reports by what became of them.
        self.outcomes: dict[str, int] = {}
        #: Number of windows without a report, as no instance saw them whole.
        self.given_up = 0
        self.push()

    @property
    def holds(self) -> bool:
        """Whether this instance made the last claim, as far as it knows."""
        return self._context.claims.own_last

    def begin(self, account: str) -> None:
        """Count a request of an account that a target begins to run."""
        window = self._context.windows.at(self._context.time.now())
        self._context.counts.begin(account, window)

    def collect(self, metrics: _metrics.Metrics) -> None:
        """Set the metrics of usage."""
        metrics.gauge(
            "agatewing_usage_holder",
            "1 if the instance made the last claim to report usage",
            int(self.holds),
        )
        metrics.counters(
            "agatewing_usage_reports_total",
            "Reports of usage sent, by what became of them",
            "outcome",
            self.outcomes,
        )
        metrics.counter(
            "agatewing_usage_windows_given_up_total",
            "Windows without a report, as no instance saw them whole",
            self.given_up,
        )
        metrics.gauge(
            "agatewing_usage_window_decided",
            "Last window whose figures are decided, as far as known",
            self._decided(),
        )
        metrics.counter(
            "agatewing_usage_notes_total",
            "Datagrams with counts sent to the keepers",
            self._context.exchange.notes_sent,
        )
        metrics.gauge(
            "agatewing_clock_error_seconds",
            "Own wall clock minus the median of the fleet",
            self._context.time.own_error_s,
        )

    def _decided(self) -> int:
        """Return the last window that is known to be decided; -1 if none."""
        match self._context.claims.usage:
            case _usage_ledger.UsageLedger(through=through):
                return through
        return -1

    def push_forever(self) -> None:
        """Send counts periodically, forever."""
        while True:
            self._context.clock.sleep(PUSH_PERIOD_S)
            self.push()

    def push(self) -> None:
        """Send counts that are due to others."""
        self._context.time.update()
        now = self._context.time.now()
        self._context.counts.keep(self._context.windows.at(now))
        self._context.exchange.push()

    def run(self) -> None:
        """Report what is due, forever."""
        while True:
            self._context.clock.sleep(CHECK_PERIOD_S)
            self.step()

    def step(self) -> None:
        """Report what is due, if it is the turn of this instance."""
        context = self._context
        now = context.time.now()
        over = context.windows.at(now - SETTLE_S) - 1
        if self._done >= over or context.clock.monotonic() < self._next_try:
            return
        if not context.may_act() or context.rank() >= CANDIDATES:
            return
        context.claims.prepare()
        if self._turn(over, now - context.windows.end_s(over)):
            self._report(over)

    def _turn(self, over: int, elapsed_s: float) -> bool:
        """Return whether this instance is to report now.

        ``over`` is the last window that is over, for ``elapsed_s`` seconds.
        """
        claims = self._context.claims
        if claims.own_last or not claims.known:
            return claims.known
        delay_s = RANK_DELAY_S * self._context.rank()
        if claims.usage is not None:
            delay_s += STANDBY_S
        if elapsed_s < SETTLE_S + delay_s:
            return False
        if self._looked >= over and not claims.free:
            return False
        self._looked = over
        claims.refresh()
        match claims.usage:
            case _usage_ledger.UsageLedger(through=through, open=left):
                if through >= over and not left:
                    self._done = over
        return self._done < over and claims.free

    def _report(self, over: int) -> None:
        """Decide on all windows up to ``over``, and send their figures."""
        context = self._context
        before = context.claims.usage
        decided = self._decided()
        if decided < over and not self._gathered(decided + 1, over):
            self._try_later(RETRY_S)
            return
        first = context.counts.first_window()
        if before is None and (first is None or first > over):
            # There was no traffic yet.
            self._done = over
            return
        claim = context.claims.acquire_deciding(
            lambda last: self._decide(last, over)
        )
        if claim is None:
            self._try_later(RETRY_S)
            return
        after = context.claims.usage
        if isinstance(after, _usage_ledger.UsageLedger):
            self._send(after, claim, over)

    def _gathered(self, first: int, over: int) -> bool:
        """Gather counts; return whether enough zones have answered."""
        windows = self._context.windows
        first = max(first, over - _usage_counts.KEEP_WINDOWS + 1)
        answered = self._context.exchange.gather(first, over)
        begun = self._context.counts.first_window()
        oldest = min(over, max(first, over if begun is None else begun))
        elapsed_s = self._context.time.now() - windows.end_s(oldest)
        needed = next(
            (
                share
                for until, share in PATIENCE
                if elapsed_s < until * windows.late_s
            ),
            0.0,
        )
        if answered < needed:
            _log.info(
                "usage: not reported yet, zones do not answer",
                extra={"window": over, "answered": round(answered, 2)},
            )
        return answered >= needed

    def _decide(
        self,
        before: _usage_ledger.UsageLedger | _usage_ledger.Unreadable | None,
        over: int,
    ) -> _usage_ledger.UsageLedger | None:
        counts = self._context.counts
        return _usage_ledger.decide(
            before,
            _usage_ledger.Deciding(
                over,
                self._context.era.current,
                self._accepted,
                self._figures,
                counts.first_window(),
            ),
        )

    def _figures(self, window: int) -> dict[str, int] | None:
        counts = self._context.counts
        begin_ms = self._context.windows.begin_s(window) * 1_000
        if counts.saw_since(window, begin_ms):
            return counts.totals(window)
        self.given_up += 1
        _log.warning(
            "usage: no report, no instance saw the window whole",
            extra={"window": window},
        )
        return None

    def _send(
        self,
        ledger: _usage_ledger.UsageLedger,
        claim: _claims.Claim,
        over: int,
    ) -> None:
        """Send the figures that may not have been accepted, oldest first."""
        context = self._context
        left = sorted(ledger.open.keys() - self._accepted)
        for window in left:
            if not context.claims.valid(claim):
                return
            counts = ledger.open[window]
            outcome = context.port.report_usage(
                window,
                counts,
                context.name,
                claim.token,
                lambda: context.claims.valid(claim),
            )
            self._record(window, counts, claim, outcome)
            if isinstance(outcome, _ports.Busy | _ports.NoAnswer):
                self._failed()
                return
            # A refused one is sent again with the next window; the others
            # would be late if they waited for it.
            self._failing_since = None
            self._retry_s = RETRY_S
            if window != left[-1]:
                context.clock.sleep(1 / (CALL_SHARE * context.calls_per_s))
        self._accepted &= ledger.open.keys()
        self._done = over
        if context.windows.length_s > context.claims.wait_s:
            # Others would claim before the next window is over, as they see
            # reports that may not have been accepted.
            context.claims.acquire_deciding(
                lambda last: self._decide(last, over)
            )

    def _record(
        self,
        window: int,
        counts: dict[str, int],
        claim: _claims.Claim,
        outcome: _ports.CallResult,
    ) -> None:
        match outcome:
            case _ports.Accepted():
                self._accepted.add(window)
                name, reason = "accepted", ""
            case _ports.Busy():
                name, reason = "busy", "no more calls taken now"
            case _ports.Refused(reason=reason):
                name = "refused"
            case _ports.NoAnswer(reason=reason):
                name = "no-answer"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        windows = self._context.windows
        elapsed_s = self._context.time.now() - windows.end_s(window)
        _log.log(
            logging.INFO if name == "accepted" else logging.WARNING,
            "usage: report %s",
            name,
            extra={
                "window": window,
                "accounts": len(counts),
                "requests": sum(counts.values()),
                "token": claim.token,
                "after_s": round(elapsed_s, 2),
                **({"reason": reason} if reason else {}),
            },
        )

    def _failed(self) -> None:
        """Try again later; leave the duty to others if that goes on."""
        now = self._context.clock.monotonic()
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since < self._context.windows.late_s:
            self._try_later(self._retry_s)
            self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
            return
        _log.warning("usage: duty left to others, no report gets through")
        self._failing_since = None
        self._retry_s = RETRY_S
        self._try_later(REST_S)

    def _try_later(self, seconds: float) -> None:
        self._next_try = self._context.clock.monotonic() + seconds
