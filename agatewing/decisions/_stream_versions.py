"""Memory of which engines' software began which streams.

Engines of two software versions cannot continue each other's streams. A
caller may take a stream up at any instance, which therefore has to know the
version that began it. Instances remember recent streams and tell each other.
While a service has had engines of one version only, nothing needs to be
remembered. The memory is bounded and lost with a restart; what must outlive
one is recorded outside of the instances and restored from there.
"""

import collections
import collections.abc
import dataclasses

#: Time for which a stream is remembered, in seconds: three times the longest
#: deadline of a caller on the users' sites (10 s), within which a stream ends
#: or is taken up.
KEEP_S = 30.0
#: Largest number of streams remembered; the oldest are dropped.
MAX_STREAMS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began."""

    #: Id of the caller's attempt that brought its first event.
    attempt: str
    #: Service of the engine that sent that event.
    service: str
    #: Version of the engine's software.
    software: str


class StreamOrigins:
    """Origins of recent streams."""

    __slots__ = ("_origins",)

    def __init__(self) -> None:
        # Origin by attempt, with the monotonic time of its record, oldest
        # first.
        self._origins: collections.OrderedDict[
            str, tuple[StreamOrigin, float]
        ] = collections.OrderedDict()

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Remember an origin; one that is known already stays as it is."""
        self._expire(now)
        self._origins.setdefault(origin.attempt, (origin, now))
        if len(self._origins) > MAX_STREAMS:
            self._origins.popitem(last=False)

    def find(self, attempt: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream; ``None`` if it is not known."""
        self._expire(now)
        known = self._origins.get(attempt)
        return known[0] if known is not None else None

    def recent(self, now: float) -> list[StreamOrigin]:
        """Return all remembered origins, oldest first."""
        self._expire(now)
        return [origin for origin, _ in self._origins.values()]

    def _expire(self, now: float) -> None:
        while self._origins:
            origin, at = next(iter(self._origins.values()))
            if now - at < KEEP_S:
                return
            del self._origins[origin.attempt]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionView:
    """Software versions that may have begun the recent streams of a service.

    Recent streams are those of the last ``KEEP_S``, at any instance.
    """

    #: Versions that are known.
    versions: frozenset[str]
    #: Whether no other version can have begun a recent stream.
    complete: bool


def proved_version(views: collections.abc.Iterable[VersionView]) -> str | None:
    """Return the version that began every recent stream, by several views.

    Views of the present alone prove nothing, however many agree: one has to
    be complete. Returns ``None`` if none is, or if there may be two versions.
    """
    views = list(views)
    versions = frozenset().union(*(view.versions for view in views))
    if len(versions) != 1 or not any(view.complete for view in views):
        return None
    return next(iter(versions))


class VersionHistory:
    """Software versions that the engines of one service have had lately."""

    __slots__ = ("_present", "_gone_at")

    def __init__(self) -> None:
        self._present: frozenset[str] = frozenset()
        # Monotonic time at which each version left.
        self._gone_at: dict[str, float] = {}

    def observe(self, versions: collections.abc.Set[str], now: float) -> None:
        """Record the versions of the engines that are announced now."""
        for version in self._present - versions:
            self._gone_at[version] = now
        self._present = frozenset(versions)
        self._gone_at = {
            version: at
            for version, at in self._gone_at.items()
            if now - at < KEEP_S and version not in versions
        }

    def remember(self, seen: collections.abc.Mapping[str, float]) -> None:
        """Add versions that were there, by the monotonic time of their end.

        They come from the log or from other instances, and may have begun
        streams until then.
        """
        for version, at in seen.items():
            if version not in self._present:
                before = self._gone_at.get(version, at)
                self._gone_at[version] = max(before, at)

    def ages(self, now: float) -> dict[str, float]:
        """Return how long ago each of the versions left, in seconds.

        Those of the last ``KEEP_S``; 0 for those that are there.
        """
        gone = {v: max(0.0, now - at) for v, at in self._gone_at.items()}
        lately = {v: age_s for v, age_s in gone.items() if age_s < KEEP_S}
        return lately | dict.fromkeys(self._present, 0.0)

    def view(self, now: float, since: float) -> VersionView:
        """Return what is known of the last ``KEEP_S``.

        ``since`` is the monotonic time since which no version was missed.
        """
        complete = now - since >= KEEP_S
        return VersionView(frozenset(self.ages(now)), complete)
