"""Records attempts to reach targets, by the connections that use them."""

import gevent
import gevent.event

from agatewing import _clock
from agatewing import decisions

#: Time after which a connection that is not accepted yet counts as failed, in
#: seconds; the first SYN is repeated after one second.
OVERDUE_S = 0.25
#: Delay of a look at the attempts from which on the whole process is assumed
#: to have stood still, in seconds.
STANDSTILL_S = 0.15
#: Weight of a new time in the usual time until bytes come from a target, and
#: how many times as long it may take before the path is probed.
USUAL_ALPHA = 0.25
SLOW_RATIO = 2.0


class Attempt:
    """A connection that is being opened."""

    __slots__ = ("_recorder", "link", "started_at", "for_peer", "is_late")

    def __init__(
        self,
        recorder: "LinkRecorder",
        link: "TargetLink",
        now: float,
        for_peer: bool,
    ) -> None:
        self._recorder = recorder
        #: Whether a peer asked for it; its failure calls for no look here.
        self.for_peer = for_peer
        #: Path to the target.
        self.link = link
        #: Monotonic time of its start, in seconds.
        self.started_at = now
        #: Whether it was recorded as failed while it goes on.
        self.is_late = False

    def record_connected(self) -> None:
        """Record that the connection was accepted."""
        self._recorder.end(self)
        self.link.evidence.record_connected(self._recorder.now())

    def record_failure(self, kind: decisions.LinkFailure) -> None:
        """Record that it failed."""
        self._recorder.fail(self, kind)

    def record_broken(self) -> None:
        """Record that the connection was accepted and closed at once."""
        self._recorder.fail(self, decisions.LinkFailure.RESET)

    def abandon(self) -> None:
        """Record that it was given up before its outcome was known."""
        self._recorder.end(self)


class TargetLink:
    """This instance's path to one target, as its connections record it."""

    __slots__ = (
        "_recorder",
        "service",
        "evidence",
        "tried_at",
        "silent_since",
        "is_silent",
        "_usual_s",
        "lost",
        "lost_until",
        "unclear",
        "quiet_until",
    )

    def __init__(self, recorder: "LinkRecorder", service: str) -> None:
        self._recorder = recorder
        #: Service of the target.
        self.service = service
        #: What the connections have shown.
        self.evidence = decisions.LinkEvidence()
        #: Monotonic time of the last attempt, in seconds.
        self.tried_at = float("-inf")
        #: Whether this instance does not reach the target, but a peer does.
        self.lost = False
        #: Monotonic time of the end of the last such time, in seconds.
        self.lost_until = float("-inf")
        #: Whether an attempt or a connection failed that no verdict explains.
        self.unclear = False
        #: Monotonic time until which its failures call for no look, in
        #: seconds, as peers do not reach it either.
        self.quiet_until = float("-inf")
        #: Monotonic time of the first send after the last bytes, in seconds;
        #: infinite if there was none.
        self.silent_since = float("inf")
        #: Whether it was reported as silent since.
        self.is_silent = False
        #: Usual time from a send to the next bytes, in seconds.
        self._usual_s = 0.0

    def begin(self, for_peer: bool = False) -> Attempt:
        """Record that a connection is being opened.

        ``for_peer`` says that a peer asked for it.
        """
        self.tried_at = self._recorder.now()
        return self._recorder.begin(self, for_peer)

    def record_sent(self) -> None:
        """Record a request that was sent."""
        if self.silent_since == float("inf"):
            self.silent_since = self._recorder.now()
            self._recorder.watch_silence(self)

    def record_heard(self, opened_at: float) -> None:
        """Record received bytes.

        ``opened_at`` is the time at which their connection was opened if they
        are the first on it, and negative infinity otherwise.
        """
        now = self._recorder.now()
        if self.silent_since != float("inf"):
            taken_s = now - self.silent_since
            self._usual_s += USUAL_ALPHA * (taken_s - self._usual_s)
            self._recorder.forget_silence(self)
        self.evidence.record_heard(now, opened_at)

    @property
    def slow_at(self) -> float:
        """Time from which it answers later than usual, if it is silent.

        It is monotonic, in seconds.
        """
        return self.silent_since + max(OVERDUE_S, SLOW_RATIO * self._usual_s)

    def record_broken(self, opened_at: float, new: bool) -> None:
        """Record a connection that broke, ``new`` before its first answer."""
        self._recorder.break_off(self, opened_at, new)


class LinkRecorder:
    """Attempts in progress, and what became of others."""

    __slots__ = (
        "_clock",
        "_attempts",
        "_silent",
        "_due",
        "_armed",
        "_loop",
        "changed",
        "broken",
        "silent",
        "slow",
    )

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Attempts in progress, oldest first.
        self._attempts: dict[Attempt, None] = {}
        # Targets from which no byte came since something was sent to them.
        self._silent: dict[TargetLink, None] = {}
        # Monotonic time of the next look at them, in seconds.
        self._due = float("inf")
        # Set while a look is due some time.
        self._armed = gevent.event.Event()
        self._loop: gevent.Greenlet | None = None
        #: Set when there is something new to look at.
        self.changed = gevent.event.Event()
        #: Targets at which an attempt failed or a connection broke since the
        #: last look.
        self.broken: dict[TargetLink, None] = {}
        #: Targets from which nothing came in time since a send.
        self.silent: dict[TargetLink, None] = {}
        #: Targets from which nothing came for longer than usual.
        self.slow: dict[TargetLink, None] = {}

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock.monotonic()

    def open(self, service: str = "") -> TargetLink:
        """Return the record of a new target of a service."""
        return TargetLink(self, service)

    def begin(self, link: TargetLink, for_peer: bool) -> Attempt:
        """Record that a connection is being opened."""
        attempt = Attempt(self, link, self.now(), for_peer)
        self._attempts[attempt] = None
        self._expect(attempt.started_at + OVERDUE_S)
        return attempt

    def _expect(self, due: float) -> None:
        if self._due == float("inf"):
            self._due = due
            self._armed.set()

    def end(self, attempt: Attempt) -> None:
        """Forget an attempt."""
        self._attempts.pop(attempt, None)

    def fail(self, attempt: Attempt, kind: decisions.LinkFailure) -> None:
        """Record that an attempt failed.

        A timeout says nothing if the process has stood still.
        """
        now = self.now()
        self.end(attempt)
        timed_out = kind is decisions.LinkFailure.TIMED_OUT
        if attempt.is_late or (timed_out and self._stood_still(now)):
            return
        self._add(attempt, kind, now)

    def break_off(self, link: TargetLink, opened_at: float, new: bool) -> None:
        """Record a connection that broke, ``new`` before its first answer."""
        if new:
            reset = decisions.LinkFailure.RESET
            link.evidence.record_failure(opened_at, reset, self.now())
        self._report(link)

    def _add(
        self, attempt: Attempt, kind: decisions.LinkFailure, now: float
    ) -> None:
        evidence = attempt.link.evidence
        evidence.record_failure(attempt.started_at, kind, now)
        if not attempt.for_peer:
            self._report(attempt.link)

    def _report(self, link: TargetLink) -> None:
        link.unclear = self.now() >= link.quiet_until and not link.lost
        self.broken[link] = None
        self.changed.set()

    def watch_silence(self, link: TargetLink) -> None:
        """Look whether a target answers in time."""
        self._silent[link] = None
        self._expect(link.silent_since + OVERDUE_S)

    def forget_silence(self, link: TargetLink) -> None:
        """Stop waiting for bytes from a target."""
        self._silent.pop(link, None)
        link.silent_since = float("inf")
        link.is_silent = False

    def _stood_still(self, now: float) -> bool:
        return now - self._due >= STANDSTILL_S

    def start(self) -> None:
        """Start to look at what takes too long."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop looking."""
        if self._loop is not None:
            self._loop.kill()

    def _run(self) -> None:
        while True:
            self._armed.wait()
            self._clock.sleep(max(0.0, self._due - self.now()))
            self._look()

    def _look(self) -> None:
        """Report the attempts and the answers that take too long.

        After a standstill of the process everything gets its whole time
        again.
        """
        now = self.now()
        if self._stood_still(now):
            for attempt in self._attempts:
                attempt.started_at = now
            for link in self._silent:
                link.silent_since = now
        late = now - OVERDUE_S
        for attempt in self._attempts:
            if attempt.started_at > late:
                break
            if not attempt.is_late:
                attempt.is_late = True
                self._add(attempt, decisions.LinkFailure.TIMED_OUT, now)
        for link in list(self._silent):
            if link.silent_since <= late and not link.is_silent:
                link.is_silent = True
                self.silent[link] = None
                self.changed.set()
            if link.slow_at <= now:
                self.forget_silence(link)
                self.slow[link] = None
                self.changed.set()
        waiting = [
            attempt.started_at
            for attempt in self._attempts
            if not attempt.is_late
        ]
        due = [started_at + OVERDUE_S for started_at in waiting]
        due += [
            link.slow_at if link.is_silent else link.silent_since + OVERDUE_S
            for link in self._silent
        ]
        if due:
            self._due = min(due)
        else:
            self._due = float("inf")
            self._armed.clear()

    def take_broken(self) -> list[TargetLink]:
        """Return the targets in ``broken``, and clear it."""
        broken = list(self.broken)
        self.broken.clear()
        return broken

    def take_silent(self) -> list[TargetLink]:
        """Return the targets in ``silent``, and clear it."""
        silent = list(self.silent)
        self.silent.clear()
        return silent

    def take_slow(self) -> list[TargetLink]:
        """Return the targets in ``slow``, and clear it."""
        slow = list(self.slow)
        self.slow.clear()
        return slow


def failure_of(exc: OSError) -> decisions.LinkFailure:
    """Return how a connection failed."""
    match exc:
        case TimeoutError():
            return decisions.LinkFailure.TIMED_OUT
        case ConnectionResetError():
            return decisions.LinkFailure.RESET
    return decisions.LinkFailure.REFUSED
