"""Evidence that targets crash on what requests have in common.

That is either a prefix block of several prompts, or a whole request that its
caller sends again and again.
"""

import collections.abc
import dataclasses
import math
import typing

#: Crashed engines, and different prompts under which they crashed, from which
#: on a block is under quarantine. One engine may crash of something else and
#: the retry on a second one as well; and one prompt may break off many times,
#: as its caller repeats it.
QUARANTINE_CRASHES = 3
QUARANTINE_PROMPTS = 2
#: Time for which evidence against a suspect is kept, in seconds; longer than
#: five times that in which a crashed engine is back.
EVIDENCE_S = 60.0
#: Time of a quarantine, in seconds. A trial after it that fails costs one
#: engine for about ten seconds, so one in two minutes takes less than a tenth
#: of an engine.
QUARANTINE_S = 120.0
#: Time of the first quarantine of a whole request, in seconds: crashed targets
#: are back after 3 s, and their entries are read while a trial is announced.
#: It is short, as nothing tells a request that crashes targets from a sound
#: one of which several copies were under way when targets crashed of something
#: else.
FIRST_TRIAL_S = 3.0
#: Time in which the instances then take turns to try a whole request, in
#: seconds, and part of it for which each may do so in the first round; twice
#: as long in the next one. Few instances then announce a trial at a time.
TRIAL_ROUND_S = 2.0
TRIAL_SHARE = 0.33
#: Time after the beginning of a trial at one instance in which no other one
#: tries the request, in seconds: half of the longest deadline on the users'
#: sites.
TRIAL_S = 5.0
#: Time for which a trial is announced before it is sent, in seconds: twice
#: that in which evidence is known everywhere.
CLAIM_S = 1.0
#: Number under which a trial that has been sent is reported. It is lower than
#: those of announced ones, which therefore give way to it.
SENT = 0
#: Part of the time of a quarantine by which instances end it later, so that
#: they do not all try the block at once.
END_JITTER = 0.5
#: Largest number of crashed engines kept for a suspect; each doubles the time
#: of a block's quarantine.
MAX_CRASHES = 8
#: Largest number of failed trials kept; each doubles the time of a request's
#: quarantine.
MAX_TRIALS = 4
#: Difference up to which two ages of the same event count as equal, in
#: seconds. The time that reports are under way would otherwise add up.
AGE_TOLERANCE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PromptBlocks:
    """Suspects are prefix blocks, which different prompts share."""


@dataclasses.dataclass(frozen=True, slots=True)
class WholeRequests:
    """Suspects are whole requests, which are tried one at a time."""


SuspectKind: typing.TypeAlias = PromptBlocks | WholeRequests


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """Evidence against one suspect, as instances share it."""

    #: Hash of the block or fingerprint of the request.
    key: int
    #: Hashes of the incarnations of engines that crashed.
    engines: frozenset[int]
    #: Hashes of the prompts under which they crashed.
    prompts: frozenset[int]
    #: Time since the last of the crashes and failed trials, in seconds.
    age_s: float
    #: Hashes of the incarnations of engines at which a trial failed.
    trials: frozenset[int] = frozenset()
    #: Time since the last trial was announced or sent, in seconds; infinite
    #: for none.
    trial_age_s: float = math.inf
    #: Number of the instance that announced it; ``SENT`` once it is sent.
    trial_by: int = SENT


@dataclasses.dataclass(frozen=True, slots=True)
class ServedReport:
    """A suspect that was cleared, as it was answered in full."""

    #: Hash of the block or fingerprint of the request.
    key: int
    #: Time since that answer, in seconds.
    age_s: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """Evidence against one suspect."""

    #: What it is.
    kind: SuspectKind
    #: Monotonic time of the last crash or failed trial, in seconds.
    at: float
    #: Hashes of crashed engines and of prompts.
    engines: frozenset[int] = frozenset()
    prompts: frozenset[int] = frozenset()
    #: Hashes of engines at which a trial failed.
    trials: frozenset[int] = frozenset()
    #: Monotonic time at which the last trial was announced or sent, in
    #: seconds.
    tried_at: float = -math.inf
    #: Number of the instance that announced it; ``SENT`` once it is sent.
    tried_by: int = SENT
    #: Whether a trial of this instance is under way, and whether none of
    #: another one has displaced it.
    trying: bool = False
    holds: bool = False
    #: Monotonic time at which it was last put into a report, in seconds.
    published_at: float = -math.inf

    @property
    def quarantine_s(self) -> float:
        """Time of the quarantine after the last crash; 0 for none."""
        crashes = len(self.engines)
        if crashes < QUARANTINE_CRASHES:
            return 0.0
        match self.kind:
            case PromptBlocks():
                if len(self.prompts) < QUARANTINE_PROMPTS:
                    return 0.0
                doublings = crashes - QUARANTINE_CRASHES
            case WholeRequests():
                if not self.trials:
                    return FIRST_TRIAL_S
                doublings = len(self.trials) - 1
        return QUARANTINE_S * math.pow(2.0, doublings)

    @property
    def keep_s(self) -> float:
        """Time after the last crash for which the evidence is kept.

        A crash soon after a quarantine has ended prolongs it.
        """
        if not self.quarantine_s:
            return EVIDENCE_S
        longest_s = max(QUARANTINE_S, self.quarantine_s)
        return EVIDENCE_S + longest_s * (1.0 + END_JITTER)

    def expired(self, now: float) -> bool:
        """Return whether the evidence is too old to count."""
        return now - self.at >= self.keep_s

    def left_s(self, delay: float, now: float) -> float:
        """Return the time left of the quarantine; 0 for none, in seconds.

        ``delay`` is the instance's place, 0 to 1, among those that end it.
        """
        duration_s = self.quarantine_s
        if not duration_s:
            return 0.0
        since_s = now - self.at - duration_s
        match self.kind:
            case PromptBlocks():
                wait_s = delay * END_JITTER * duration_s - since_s
            case WholeRequests():
                round_s = max(TRIAL_ROUND_S, END_JITTER * duration_s)
                wait_s = _turn_wait_s(since_s / round_s, delay) * round_s
        return max(0.0, wait_s, self.tried_at + TRIAL_S - now)

    def add(self, report: SuspectReport, now: float) -> bool:
        """Add evidence; return whether any of it is new.

        Of too many, the lowest hashes are kept, so that the result does not
        depend on the order.
        """
        before = self.engines, self.prompts, self.trials
        self.engines = _lowest(self.engines | report.engines, MAX_CRASHES)
        self.prompts = _lowest(
            self.prompts | report.prompts, QUARANTINE_PROMPTS
        )
        self.trials = _lowest(self.trials | report.trials, MAX_TRIALS)
        self.at = _later(self.at, now - report.age_s)
        after = self.engines, self.prompts, self.trials
        return self._add_trial(report, now) or before != after

    def _add_trial(self, report: SuspectReport, now: float) -> bool:
        """Add another instance's trial; return whether it is news.

        Of two at about the same time, the one of the lower number counts.
        """
        later_s = now - report.trial_age_s - self.tried_at
        if later_s <= AGE_TOLERANCE_S and (
            later_s < -AGE_TOLERANCE_S or report.trial_by >= self.tried_by
        ):
            return False
        if math.isinf(report.trial_age_s):
            return False
        self.tried_at = now - report.trial_age_s
        self.tried_by = report.trial_by
        self.holds = False
        return True

    def report(self, key: int, now: float) -> SuspectReport:
        """Return the evidence for other instances."""
        return SuspectReport(
            key,
            self.engines,
            self.prompts,
            max(0.0, now - self.at),
            self.trials,
            max(0.0, now - self.tried_at),
            self.tried_by,
        )


def _turn_wait_s(rounds: float, place: float) -> float:
    """Return the time until the turn of an instance, in rounds; 0 if it is.

    ``rounds`` is the time since the quarantine has ended, negative before,
    and ``place`` the place of the instance in a round, 0 to 1.
    """
    if rounds < 0:
        return _turn_wait_s(0.0, place) - rounds
    share = min(1.0, TRIAL_SHARE * math.pow(2.0, min(int(rounds), 8)))
    phase = (rounds - place) % 1.0
    return 0.0 if phase < share else 1.0 - phase


def _later(known: float, other: float) -> float:
    """Return the time of an event that may be the known one."""
    return other if other - known > AGE_TOLERANCE_S else known


def _lowest(keys: collections.abc.Set[int], count: int) -> frozenset[int]:
    return frozenset(sorted(keys)[:count])
