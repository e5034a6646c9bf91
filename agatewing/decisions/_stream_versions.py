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

    __slots__ = ("_since", "_present", "_gone_at")

    def __init__(self) -> None:
        # Monotonic time since which no version has been missed.
        self._since: float | None = None
        self._present: frozenset[str] = frozenset()
        # Monotonic time at which each version left.
        self._gone_at: dict[str, float] = {}

    def observe(self, versions: collections.abc.Set[str], now: float) -> None:
        """Record the versions of the engines that are announced now."""
        if self._since is None:
            if not versions:
                return
            self._since = now
        for version in self._present - versions:
            self._gone_at[version] = now
        self._present = frozenset(versions)
        self._gone_at = {
            version: at
            for version, at in self._gone_at.items()
            if now - at < KEEP_S and version not in versions
        }

    def begin(self, since: float) -> None:
        """Set the time since which no version was missed, if none is set.

        For a service that had no engines until now.
        """
        if self._since is None:
            self._since = since

    def record_missed(self, now: float) -> None:
        """Record that a version may have come and gone unseen until now."""
        if self._since is not None:
            self._since = now

    def restore(
        self, versions: collections.abc.Set[str], complete: bool, now: float
    ) -> None:
        """Add versions that are recorded of the time before.

        They may have begun streams until now. ``complete`` says that no other
        has.
        """
        for version in versions - self._present:
            self._gone_at[version] = now
        if complete:
            self._since = float("-inf")

    def view(self, now: float) -> VersionView:
        """Return what is known of the last ``KEEP_S``."""
        since = now if self._since is None else self._since
        return VersionView(self.lately(now), now - since >= KEEP_S)

    def only(self, now: float) -> str | None:
        """Return the version that began every stream of the last time.

        That is ``KEEP_S``. Returns ``None`` if there may have been several,
        also while the observation is shorter than that.
        """
        return proved_version([self.view(now)])

    def lately(self, now: float) -> frozenset[str]:
        """Return all versions observed in the last ``KEEP_S``."""
        return self._present | {
            version
            for version, at in self._gone_at.items()
            if now - at < KEEP_S
        }
