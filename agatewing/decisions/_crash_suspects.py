"""Finds the prefix blocks and whole requests on which targets crash.

Each engine that begins to answer a prompt with such a block crashes, and each
target that begins to run such a request. One instance sees few of the crashes,
and each crash breaks off sound requests too. So instances share, for each
suspect, which engines crashed and under which prompts. A block is put under
quarantine once several engines crashed under several prompts with it, a
request once several targets crashed under it, unless it was answered in full
lately: that proves that it is not the cause.

After its first quarantine, which is short, a request is tried at one instance
at a time: a trial is announced and waits until all have heard of it; of those
announced meanwhile one is sent. Only if that fails is its quarantine as long
as that of a block.

The evidence is a union of sets, so reports may be lost, repeated, or arrive
in any order. It expires, and so does the quarantine.
"""

import collections
import collections.abc
import heapq
import math

from agatewing.decisions import _crash_evidence

#: Crashed engines from which on a request that broke off is not sent again:
#: the third engine would put it under quarantine.
NO_RETRY_CRASHES = 2
#: Time after an answer in full during which it is not suspected, in seconds:
#: three times the longest deadline on the users' sites (10 s).
SERVED_S = 30.0
#: Largest numbers of suspects and of keys answered lately, which take less
#: than 5 MB. A rack of engines that crash breaks off some 500 requests at
#: once; an instance answers 65 requests a second, 2,000 in SERVED_S.
MAX_SUSPECTS = 1_024
MAX_SERVED = 10_000
#: Time between two searches for expired evidence, in seconds.
EXPIRE_PERIOD_S = 1.0


class CrashSuspects:
    """Evidence of one instance, merged with what the others report.

    A key is the hash of a block, or the fingerprint of a request; one object
    holds suspects of one kind.
    """

    __slots__ = (
        "_delay",
        "_kind",
        "_suspects",
        "_served",
        "_cleared",
        "_unpublished",
        "_expire_at",
    )

    def __init__(
        self,
        delay: float = 0.0,
        kind: _crash_evidence.SuspectKind = _crash_evidence.PromptBlocks(),
    ) -> None:
        # Place of this instance among those that end a quarantine, 0 to 1.
        self._delay = delay
        self._kind = kind
        self._suspects: dict[int, _crash_evidence.Suspect] = {}
        # Monotonic time of the last answer in full by key, oldest first.
        self._served: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        # Keys that other instances suspect, or may suspect, without cause.
        self._cleared: dict[int, None] = {}
        # Keys with evidence that no report has carried yet.
        self._unpublished: set[int] = set()
        self._expire_at = -math.inf

    def record_crash(
        self,
        keys: collections.abc.Iterable[int],
        engine: int,
        prompt: int,
        now: float,
    ) -> list[int]:
        """Record that an engine crashed under a prompt with these keys.

        Keys that were answered in full lately are not suspected. Returns
        those that are under quarantine from now on.
        """
        found = []
        for key in keys:
            if self._served_lately(key, now):
                continue
            report = _crash_evidence.SuspectReport(
                key, frozenset((engine,)), frozenset((prompt,)), 0.0
            )
            if self._add(report, now):
                found.append(key)
        return found

    def record_served(
        self, keys: collections.abc.Iterable[int], now: float
    ) -> None:
        """Record that a prompt with these keys was answered in full."""
        for key in keys:
            self._record_served(key, now)

    def _record_served(self, key: int, at: float) -> None:
        self._served[key] = max(at, self._served.get(key, at))
        self._served.move_to_end(key)
        if len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        if self._suspects.pop(key, None) is not None:
            self._unpublished.discard(key)
            self._cleared[key] = None

    def quarantine_left_s(self, key: int, now: float) -> float:
        """Return the time left of a quarantine; 0 for none, in seconds."""
        suspect = self._find(key, now)
        if suspect is None:
            return 0.0
        return suspect.left_s(self._place(key), now)

    def _place(self, key: int) -> float:
        """Return the instance's place for a key, 0 to 1.

        Requests are tried in a different order each, so that two of them are
        rarely tried at the same time.
        """
        match self._kind:
            case _crash_evidence.PromptBlocks():
                return self._delay
            case _crash_evidence.WholeRequests():
                return (self._delay + key / (1 << 64)) % 1.0

    def claim_trial(self, key: int, now: float) -> float:
        """Announce a trial; return the time until it may be sent, in seconds.

        It is 0 if the key may be sent without one. After that time, ask
        :meth:`holds_trial`: of several instances, one goes on.
        """
        suspect = self._find(key, now)
        if suspect is None or not suspect.quarantine_s:
            return 0.0
        self._record_trial(key, suspect, self._number(key), now)
        return _crash_evidence.CLAIM_S

    def holds_trial(self, key: int, now: float) -> bool:
        """Return whether a key that was announced may be sent.

        It may not once another instance tries it, or if it waited for so
        long that another one may.
        """
        suspect = self._find(key, now)
        if suspect is None or not suspect.quarantine_s:
            return True
        if not suspect.holds or suspect.tried_by == _crash_evidence.SENT:
            return suspect.holds
        since_s = now - suspect.tried_at
        return (
            since_s < _crash_evidence.TRIAL_S - _crash_evidence.CLAIM_S
            and now - suspect.at >= suspect.quarantine_s
        )

    def begin_trial(self, key: int, now: float) -> bool:
        """Record that a key is sent now; return whether this is a trial.

        It is one after a quarantine. Others wait for its end.
        """
        suspect = self._find(key, now)
        if suspect is None or not suspect.quarantine_s:
            return False
        self._record_trial(key, suspect, _crash_evidence.SENT, now)
        return True

    def _record_trial(
        self,
        key: int,
        suspect: _crash_evidence.Suspect,
        number: int,
        now: float,
    ) -> None:
        suspect.trying = suspect.holds = True
        suspect.tried_at = now
        suspect.tried_by = number
        self._unpublished.add(key)

    def _number(self, key: int) -> int:
        """Return the instance's number for a key, 1 to 2**31 - 1."""
        return 1 + int(self._place(key) * ((1 << 31) - 2))

    def end_trial(
        self, key: int, engine: int, failed: bool, now: float
    ) -> None:
        """Record the end of this instance's trial, if there is one.

        ``failed`` is whether the request may have crashed the engine; it is
        not if the request has not run. An answer in full is recorded by
        :meth:`record_served`.
        """
        suspect = self._find(key, now)
        if suspect is None or not suspect.trying:
            return
        suspect.trying = suspect.holds = False
        if failed:
            suspect.trials |= {engine}
            suspect.at = now
        else:
            suspect.tried_at = -math.inf
            suspect.tried_by = _crash_evidence.SENT
        self._unpublished.add(key)

    def may_be_sent_again(
        self, keys: collections.abc.Iterable[int], now: float
    ) -> bool:
        """Return whether a request that broke off may be sent again."""
        for key in keys:
            suspect = self._find(key, now)
            if suspect and len(suspect.engines) >= NO_RETRY_CRASHES:
                return False
        return True

    def is_cleared(
        self, keys: collections.abc.Iterable[int], now: float
    ) -> bool:
        """Return whether all keys were answered in full lately."""
        return all(self._served_lately(key, now) for key in keys)

    @property
    def has_news(self) -> bool:
        """Whether there is something that no report has carried yet."""
        return bool(self._cleared or self._unpublished)

    def quarantined(self, now: float) -> int:
        """Return the number of keys under quarantine."""
        return sum(
            self.quarantine_left_s(key, now) > 0 for key in self._suspects
        )

    def take_reports(
        self, now: float, limit: int
    ) -> list[_crash_evidence.SuspectReport]:
        """Return the evidence for the next report, ``limit`` keys at most.

        Half of them are those under quarantine in turn, so that an instance
        which has started hears of them soon, however many others there are.
        Of the others, new evidence comes first, then that of more crashes.
        """
        self._expire(now)
        if not self._suspects:
            return []
        chosen = heapq.nsmallest(
            max(1, limit // 2),
            (key for key, s in self._suspects.items() if s.quarantine_s),
            key=lambda key: self._suspects[key].published_at,
        )
        chosen += heapq.nlargest(
            limit - len(chosen),
            self._suspects.keys() - set(chosen),
            key=lambda key: self._rank(key, now),
        )
        reports = []
        for key in chosen:
            suspect = self._suspects[key]
            suspect.published_at = now
            self._unpublished.discard(key)
            reports.append(suspect.report(key, now))
        return reports

    def _rank(self, key: int, now: float) -> tuple[bool, float]:
        """Return the rank of a suspect for the next report."""
        suspect = self._suspects[key]
        crashes = len(suspect.engines)
        if key in self._unpublished:
            return True, crashes
        return False, (now - suspect.published_at) * crashes

    def take_served(
        self, now: float, limit: int
    ) -> list[_crash_evidence.ServedReport]:
        """Return keys that others suspect without cause; each once."""
        keys = list(self._cleared)[:limit]
        for key in keys:
            del self._cleared[key]
        return [
            _crash_evidence.ServedReport(key, now - self._served[key])
            for key in keys
            if self._served_lately(key, now)
        ]

    def merge(
        self, report: _crash_evidence.SuspectReport, now: float
    ) -> list[int]:
        """Add the evidence of another instance.

        If the key was answered in full lately, that is reported instead.
        Returns the key if it is under quarantine from now on.
        """
        if self._served_lately(report.key, now):
            self._cleared[report.key] = None
            return []
        return [report.key] if self._add(report, now) else []

    def merge_served(
        self, report: _crash_evidence.ServedReport, now: float
    ) -> None:
        """Add an answer in full at another instance."""
        if report.age_s < SERVED_S:
            self._record_served(report.key, now - report.age_s)

    def _add(self, report: _crash_evidence.SuspectReport, now: float) -> bool:
        """Add evidence; return whether the key's quarantine begins."""
        self._expire(now)
        key = report.key
        suspect = self._find(key, now)
        if suspect is None:
            suspect = _crash_evidence.Suspect(self._kind, now - report.age_s)
        was_quarantined = suspect.quarantine_s > 0
        is_new = suspect.add(report, now)
        if suspect.expired(now):
            return False
        self._suspects[key] = suspect
        if is_new:
            self._unpublished.add(key)
        self._evict()
        return suspect.quarantine_s > 0 and not was_quarantined

    def _evict(self) -> None:
        """Drop the weakest of too many suspects, an eighth at a time."""
        if len(self._suspects) <= MAX_SUSPECTS + MAX_SUSPECTS // 8:
            return
        weakest = heapq.nsmallest(
            len(self._suspects) - MAX_SUSPECTS,
            self._suspects,
            key=lambda key: (
                len(self._suspects[key].engines),
                self._suspects[key].at,
            ),
        )
        self._drop(weakest)

    def _served_lately(self, key: int, now: float) -> bool:
        at = self._served.get(key)
        return at is not None and now - at < SERVED_S

    def _find(self, key: int, now: float) -> _crash_evidence.Suspect | None:
        """Return a suspect whose evidence still counts."""
        suspect = self._suspects.get(key)
        return None if suspect is None or suspect.expired(now) else suspect

    def _expire(self, now: float) -> None:
        """Drop evidence that does not count any more, now and then."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_PERIOD_S
        self._drop(
            [
                k
                for k, suspect in self._suspects.items()
                if suspect.expired(now)
            ]
        )

    def _drop(self, keys: collections.abc.Iterable[int]) -> None:
        for key in keys:
            del self._suspects[key]
            self._unpublished.discard(key)
