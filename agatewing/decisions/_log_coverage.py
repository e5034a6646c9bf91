"""Which records of the log an instance, or those that tell it, have seen.

That no engine of another version has joined is known only of a part of the log
all of whose records were seen, by somebody who tells what they held. Parts
are joined only if no record lies between them.
"""

import collections.abc
import dataclasses
import math

#: Largest number of separate parts that are kept; the oldest are dropped.
MAX_STRETCHES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class LogStretch:
    """Consecutive records of the log, all of which were seen."""

    #: Era of the log; 0 if it named none.
    era: int
    #: Offset of the first of them.
    start: int
    #: Offset after the last of them.
    through: int
    #: Monotonic time since which nothing was missed up to ``through``, in
    #: seconds; minus infinity if that is known of all time before.
    since: float

    def touches(self, other: "LogStretch") -> bool:
        """Return whether no record lies between this and another stretch."""
        return (
            self.era == other.era
            and self.start <= other.through
            and other.start <= self.through
        )


class LogCoverage:
    """The records seen up to the offset that an instance has read.

    Whatever is added has to be told of its versions as well: they count as
    known from then on.
    """

    __slots__ = ("_stretches", "memory", "_heard")

    def __init__(self) -> None:
        # Parts that do not touch, by era and offset. The last one ends where
        # the instance has read to.
        self._stretches: list[LogStretch] = []
        #: Era and offset of the first record seen by this process; ``None``
        #: before that.
        self.memory: tuple[int, int] | None = None
        # Instances that have told all that they saw since the last part of
        # which nothing is missing.
        self._heard: set[str] = set()

    @property
    def newest(self) -> LogStretch | None:
        """The part that ends where the instance has read to."""
        return self._stretches[-1] if self._stretches else None

    @property
    def since(self) -> float:
        """Monotonic time since which nothing was missed, in seconds.

        Infinite before anything was read.
        """
        return self._stretches[-1].since if self._stretches else math.inf

    @property
    def gap(self) -> tuple[int, int] | None:
        """Offsets between which the last records were missed.

        ``None`` if no earlier part of this era is known.
        """
        if len(self._stretches) < 2:
            return None
        before, last = self._stretches[-2:]
        if before.era != last.era:
            return None
        return before.through, last.start

    def advance(self, stretch: LogStretch) -> None:
        """Add the part that ends where the instance has now read to."""
        if self.memory is None:
            self.memory = (stretch.era, stretch.start)
        newest = self.newest
        if newest is None or not newest.touches(stretch):
            self._heard.clear()
        self._join(stretch)

    def vouch(self, stretch: LogStretch) -> None:
        """Add a part that somebody else has seen.

        What lies beyond this instance's own offset does not count: it reads
        that itself.
        """
        newest = self.newest
        if newest is None or stretch.era != newest.era:
            return
        self._join(
            dataclasses.replace(
                stretch,
                start=min(stretch.start, newest.through),
                through=min(stretch.through, newest.through),
            )
        )

    def _join(self, stretch: LogStretch) -> None:
        known = self._last_known
        apart = []
        for other in self._stretches:
            if not other.touches(stretch):
                apart.append(other)
                continue
            stretch = LogStretch(
                stretch.era,
                min(other.start, stretch.start),
                max(other.through, stretch.through),
                min(other.since, stretch.since),
            )
        apart.append(stretch)
        apart.sort(key=lambda part: (part.era, part.through))
        self._stretches = apart[-MAX_STRETCHES:]
        if self._last_known != known:
            # The instances may have told of less than what is missing now.
            self._heard.clear()

    @property
    def _last_known(self) -> LogStretch | None:
        """The last part before the gaps of which most is known."""
        return min(
            self._stretches[:-1],
            key=lambda part: (part.since, -part.era, -part.through),
            default=None,
        )

    def hear(
        self, instance: str, memory: tuple[int, int], position: tuple[int, int]
    ) -> None:
        """Record that another instance has told all that it saw.

        Its versions have to be known already. ``memory`` and ``position`` are
        the era and offset of the first record that it saw, and those up to
        which it has read.
        """
        known, newest = self._last_known, self.newest
        if known is None or newest is None:
            return
        # It must not read, later, records that this instance has missed.
        beyond = position >= (newest.era, newest.start)
        if beyond and memory <= (known.era, known.through):
            self._heard.add(instance)

    def unheard(self, instances: collections.abc.Iterable[str]) -> set[str]:
        """Return those of the instances that may have seen what was missed.

        Empty if nothing was, or if nothing is known of the time before.
        """
        if self._last_known is None:
            return set()
        return set(instances) - self._heard

    def join_all(self) -> None:
        """Record that all instances have told what they saw.

        Streams begin only at instances, so records that none of them has seen
        have begun none.
        """
        known = self._last_known
        if known is None:
            return
        last = self._stretches[-1]
        start = known.start if known.era == last.era else last.start
        self._stretches = [
            dataclasses.replace(
                last, start=start, since=min(last.since, known.since)
            )
        ]
