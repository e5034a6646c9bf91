"""Records attempts to reach targets, by the connections that use them."""

import gevent.event

from agatewing import _clock
from agatewing import decisions

#: Time after which a connection that is not accepted yet counts as failed, in
#: seconds; the first SYN is repeated after one second.
OVERDUE_S = 0.25
#: Delay of a look at the attempts from which on the whole process is assumed
#: to have stood still, in seconds.
STANDSTILL_S = 0.15


class Attempt:
    """A connection that is being opened."""

    __slots__ = ("_recorder", "link", "started_at", "is_late")

    def __init__(
        self, recorder: "LinkRecorder", link: "TargetLink", now: float
    ) -> None:
        self._recorder = recorder
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

    def abandon(self) -> None:
        """Record that it was given up before its outcome was known."""
        self._recorder.end(self)


class TargetLink:
    """This instance's path to one target, as its connections record it."""

    __slots__ = ("_recorder", "service", "evidence", "silent_since")

    def __init__(self, recorder: "LinkRecorder", service: str) -> None:
        self._recorder = recorder
        #: Service of the target.
        self.service = service
        #: What the connections have shown.
        self.evidence = decisions.LinkEvidence()
        #: Monotonic time of the first send after the last bytes, in seconds;
        #: infinite if there was none.
        self.silent_since = float("inf")

    def begin(self) -> Attempt:
        """Record that a connection is being opened."""
        return self._recorder.begin(self)

    def record_sent(self) -> None:
        """Record a request that was sent."""
        if self.silent_since == float("inf"):
            self.silent_since = self._recorder.now()
            self._recorder.watch_silence(self)

    def record_heard(self, first: bool) -> None:
        """Record received bytes; ``first`` are those of a new connection."""
        self.silent_since = float("inf")
        self._recorder.forget_silence(self)
        self.evidence.record_heard(self._recorder.now(), first)

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
        "changed",
        "broken",
    )

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Attempts in progress, oldest first.
        self._attempts: dict[Attempt, None] = {}
        # Targets from which no byte came since something was sent to them.
        self._silent: dict[TargetLink, None] = {}
        # Monotonic time of the next look at them, in seconds.
        self._due = float("inf")
        #: Set when there is something new to look at.
        self.changed = gevent.event.Event()
        #: Targets at which an attempt failed or a connection broke since the
        #: last look.
        self.broken: dict[TargetLink, None] = {}

    def now(self) -> float:
        """Return the monotonic time, in seconds."""
        return self._clock.monotonic()

    def open(self, service: str = "") -> TargetLink:
        """Return the record of a new target of a service."""
        return TargetLink(self, service)

    def begin(self, link: TargetLink) -> Attempt:
        """Record that a connection is being opened."""
        attempt = Attempt(self, link, self.now())
        self._attempts[attempt] = None
        self._expect(attempt.started_at + OVERDUE_S)
        return attempt

    def _expect(self, due: float) -> None:
        if self._due == float("inf"):
            self._due = due
            self.changed.set()

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
        self._add(attempt.link, attempt.started_at, kind, now)

    def break_off(self, link: TargetLink, opened_at: float, new: bool) -> None:
        """Record a connection that broke, ``new`` before its first answer."""
        if new:
            self._add(link, opened_at, decisions.LinkFailure.RESET, self.now())
            return
        self.broken[link] = None
        self.changed.set()

    def _add(
        self,
        link: TargetLink,
        started_at: float,
        kind: decisions.LinkFailure,
        now: float,
    ) -> None:
        link.evidence.record_failure(started_at, kind, now)
        self.broken[link] = None
        self.changed.set()

    def watch_silence(self, link: TargetLink) -> None:
        """Look whether a target answers in time."""
        self._silent[link] = None
        self._expect(link.silent_since + OVERDUE_S)

    def forget_silence(self, link: TargetLink) -> None:
        """Stop waiting for bytes from a target."""
        self._silent.pop(link, None)

    def _stood_still(self, now: float) -> bool:
        return now - self._due >= STANDSTILL_S

    def wait(self, timeout_s: float) -> None:
        """Wait until a look is due, at most ``timeout_s``."""
        left_s = min(timeout_s, self._due - self.now())
        if not self.changed.is_set():
            self._clock.wait(self.changed, max(0.0, left_s))
        self.changed.clear()

    def look(self) -> None:
        """Record the attempts that take too long.

        Targets from which nothing came in time are added to ``broken``.
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
                self._add(
                    attempt.link,
                    attempt.started_at,
                    decisions.LinkFailure.TIMED_OUT,
                    now,
                )
        while self._silent:
            link = next(iter(self._silent))
            if link.silent_since > late:
                break
            del self._silent[link]
            self.broken[link] = None
        waiting = [
            attempt.started_at
            for attempt in self._attempts
            if not attempt.is_late
        ]
        waiting += [link.silent_since for link in self._silent]
        self._due = min(waiting, default=float("inf")) + OVERDUE_S

    def take_broken(self) -> list[TargetLink]:
        """Return the targets in ``broken``, and clear it."""
        broken = list(self.broken)
        self.broken.clear()
        return broken


def failure_of(exc: OSError) -> decisions.LinkFailure:
    """Return how a connection failed."""
    match exc:
        case TimeoutError():
            return decisions.LinkFailure.TIMED_OUT
        case ConnectionResetError():
            return decisions.LinkFailure.RESET
    return decisions.LinkFailure.REFUSED
