"""Finds the prefix blocks of prompts on which engines crash.

Each engine that begins to answer a prompt with such a block crashes. One
instance sees few of the crashes, and each crash breaks off sound prompts too.
So instances share, for each block that was in a prompt when its engine
crashed, which engines crashed and under which prompts. A block is put under
quarantine once several engines crashed under several prompts with it, unless
a prompt with it was answered in full lately: that proves that it is not the
cause.

The evidence is a union of sets, so reports may be lost, repeated, or arrive
in any order. It expires, and so does the quarantine; one more crash after
that doubles it.
"""

import collections
import collections.abc
import dataclasses
import math

#: Crashed engines, and different prompts under which they crashed, from which
#: on a block is under quarantine. One engine may crash of something else and
#: the retry on a second one as well; and one prompt may break off many times,
#: as its caller repeats it.
QUARANTINE_CRASHES = 3
QUARANTINE_PROMPTS = 2
#: Crashed engines from which on a request that broke off is not sent again:
#: the third engine would put its block under quarantine.
NO_RETRY_CRASHES = 2
#: Time for which evidence against a block is kept, in seconds; longer than
#: five times that in which a crashed engine is back.
EVIDENCE_S = 60.0
#: Time after an answer in full during which its blocks are not suspected, in
#: seconds: three times the longest deadline on the users' sites (10 s).
SERVED_S = 30.0
#: Time of the first quarantine, in seconds. A trial after it that fails costs
#: one engine for about ten seconds, so one in two minutes takes less than a
#: tenth of an engine.
QUARANTINE_S = 120.0
#: Part of the time of a quarantine by which instances end it later, so that
#: they do not all try the block at once.
END_JITTER = 0.5
#: Largest number of crashed engines kept for a block; each doubles the time.
MAX_CRASHES = 8
#: Largest numbers of suspected blocks and of blocks answered lately.
MAX_SUSPECTS = 256
MAX_SERVED = 20_000
#: Difference up to which two ages of the same crash count as equal, in
#: seconds. The time that reports are under way would otherwise add up.
AGE_TOLERANCE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """Evidence against one block, as instances share it."""

    #: Hash of the block, see :func:`long_key`.
    block: int
    #: Hashes of the incarnations of engines that crashed.
    engines: frozenset[int]
    #: Hashes of the prompts under which they crashed.
    prompts: frozenset[int]
    #: Time since the last of the crashes, in seconds.
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServedReport:
    """A block that was suspected, but was in a prompt answered in full."""

    #: Hash of the block, see :func:`long_key`.
    block: int
    #: Time since that answer, in seconds.
    age_s: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Evidence against one block."""

    #: Monotonic time of the last crash, in seconds.
    at: float
    #: Hashes of crashed engines and of prompts.
    engines: frozenset[int] = frozenset()
    prompts: frozenset[int] = frozenset()
    #: Monotonic time at which it was last put into a report, in seconds.
    published_at: float = float("-inf")

    @property
    def quarantine_s(self) -> float:
        """Time of the quarantine after the last crash; 0 for none."""
        crashes = len(self.engines)
        if (
            crashes < QUARANTINE_CRASHES
            or len(self.prompts) < QUARANTINE_PROMPTS
        ):
            return 0.0
        return QUARANTINE_S * math.pow(2.0, crashes - QUARANTINE_CRASHES)

    @property
    def keep_s(self) -> float:
        """Time after the last crash for which the evidence is kept.

        A crash soon after a quarantine has ended prolongs it.
        """
        return EVIDENCE_S + self.quarantine_s * (1.0 + END_JITTER)

    def add(
        self,
        engines: collections.abc.Set[int],
        prompts: collections.abc.Set[int],
    ) -> bool:
        """Add evidence; return whether any of it is new.

        Of too many, the lowest hashes are kept, so that the result does not
        depend on the order.
        """
        before = self.engines, self.prompts
        self.engines = _lowest(self.engines | engines, MAX_CRASHES)
        self.prompts = _lowest(self.prompts | prompts, QUARANTINE_PROMPTS)
        return before != (self.engines, self.prompts)


class CrashSuspects:
    """Evidence of one instance, merged with what the others report."""

    __slots__ = ("_jitter", "_suspects", "_served", "_cleared")

    def __init__(self, jitter: float = 0.0) -> None:
        # Part of END_JITTER that this instance uses, 0 to 1.
        self._jitter = jitter
        self._suspects: dict[int, _Suspect] = {}
        # Monotonic time of the last answer in full by block, oldest first.
        self._served: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        # Blocks that other instances suspect, or may suspect, without cause.
        self._cleared: dict[int, None] = {}

    def record_crash(
        self,
        blocks: collections.abc.Iterable[int],
        engine: int,
        prompt: int,
        now: float,
    ) -> list[int]:
        """Record that an engine crashed under a prompt with these blocks.

        Blocks that were answered in full lately are not suspected. Returns
        the blocks that are under quarantine from now on.
        """
        found = []
        for block in blocks:
            if self._served_lately(block, now):
                continue
            report = SuspectReport(
                block, frozenset((engine,)), frozenset((prompt,)), 0.0
            )
            if self._add(report, now):
                found.append(block)
        return found

    def record_served(
        self, blocks: collections.abc.Iterable[int], now: float
    ) -> None:
        """Record that a prompt with these blocks was answered in full."""
        for block in blocks:
            self._record_served(block, now)

    def _record_served(self, block: int, at: float) -> None:
        self._served[block] = max(at, self._served.get(block, at))
        self._served.move_to_end(block)
        if len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        if self._suspects.pop(block, None) is not None:
            self._cleared[block] = None

    def quarantine_left_s(self, block: int, now: float) -> float:
        """Return the time left of a block's quarantine; 0 for none."""
        suspect = self._suspects.get(block)
        if suspect is None:
            return 0.0
        duration_s = suspect.quarantine_s * (1.0 + END_JITTER * self._jitter)
        return max(0.0, suspect.at + duration_s - now)

    def may_be_sent_again(
        self, blocks: collections.abc.Iterable[int], now: float
    ) -> bool:
        """Return whether a request that broke off may be sent again."""
        self._expire(now)
        return not any(
            len(self._suspects[block].engines) >= NO_RETRY_CRASHES
            for block in blocks
            if block in self._suspects
        )

    def is_cleared(
        self, blocks: collections.abc.Iterable[int], now: float
    ) -> bool:
        """Return whether all blocks were answered in full lately."""
        return all(self._served_lately(block, now) for block in blocks)

    @property
    def has_news(self) -> bool:
        """Whether there is something that no report has carried yet."""
        return bool(self._cleared) or any(
            suspect.published_at == float("-inf")
            for suspect in self._suspects.values()
        )

    def quarantined(self, now: float) -> int:
        """Return the number of blocks under quarantine."""
        self._expire(now)
        return sum(
            self.quarantine_left_s(block, now) > 0 for block in self._suspects
        )

    def take_reports(self, now: float, limit: int) -> list[SuspectReport]:
        """Return the evidence for the next report, ``limit`` blocks at most.

        Blocks with more crashes come more often; new evidence comes at once.
        """
        self._expire(now)
        ranked = sorted(
            self._suspects.items(),
            key=lambda item: (
                (now - item[1].published_at) * len(item[1].engines)
            ),
            reverse=True,
        )
        reports = []
        for block, suspect in ranked[:limit]:
            suspect.published_at = now
            reports.append(
                SuspectReport(
                    block,
                    suspect.engines,
                    suspect.prompts,
                    max(0.0, now - suspect.at),
                )
            )
        return reports

    def take_served(self, now: float, limit: int) -> list[ServedReport]:
        """Return blocks that others suspect without cause; each once."""
        blocks = list(self._cleared)[:limit]
        for block in blocks:
            del self._cleared[block]
        return [
            ServedReport(block, now - self._served[block])
            for block in blocks
            if self._served_lately(block, now)
        ]

    def merge(self, report: SuspectReport, now: float) -> list[int]:
        """Add the evidence of another instance.

        If the block was answered in full lately, that is reported instead.
        Returns the block if it is under quarantine from now on.
        """
        if self._served_lately(report.block, now):
            self._cleared[report.block] = None
            return []
        return [report.block] if self._add(report, now) else []

    def merge_served(self, report: ServedReport, now: float) -> None:
        """Add an answer in full at another instance."""
        if report.age_s < SERVED_S:
            self._record_served(report.block, now - report.age_s)

    def _add(self, report: SuspectReport, now: float) -> bool:
        """Add evidence; return whether the block's quarantine begins."""
        self._expire(now)
        at = now - report.age_s
        suspect = self._suspects.get(report.block)
        if suspect is None:
            suspect = _Suspect(at)
        was_quarantined = suspect.quarantine_s > 0
        if suspect.add(report.engines, report.prompts):
            suspect.published_at = float("-inf")
        if at - suspect.at > AGE_TOLERANCE_S:
            suspect.at = at
        if now - suspect.at >= suspect.keep_s:
            return False
        self._suspects[report.block] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            weakest = min(
                self._suspects,
                key=lambda block: (
                    len(self._suspects[block].engines),
                    self._suspects[block].at,
                ),
            )
            del self._suspects[weakest]
        return suspect.quarantine_s > 0 and not was_quarantined

    def _served_lately(self, block: int, now: float) -> bool:
        at = self._served.get(block)
        return at is not None and now - at < SERVED_S

    def _expire(self, now: float) -> None:
        expired = [
            block
            for block, suspect in self._suspects.items()
            if now - suspect.at >= suspect.keep_s
        ]
        for block in expired:
            del self._suspects[block]


def _lowest(keys: collections.abc.Set[int], count: int) -> frozenset[int]:
    return frozenset(sorted(keys)[:count])
