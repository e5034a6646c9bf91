"""What one instance saw of its network path to one target."""

import collections.abc
import dataclasses
import enum

#: Time for which a new connection has to stay open before it proves the path,
#: in seconds: what refuses connections on the way may accept them first and
#: reset them then.
HOLD_S = 0.1
#: Largest number of failed attempts that are kept for one target.
MAX_FAILURES = 8
#: Number of targets of a service that have to fail before an instance may
#: have lost its own path to them.
MIN_UNREACHED = 2
#: Number of attempts at one target that have to fail before that: a network
#: that loses single packets delays one of them.
MIN_FAILURES = 2

#: Age up to which a peer's view of a target counts, in seconds.
PEER_VIEW_S = 4.0

_NEVER = float("-inf")


class LinkFailure(enum.StrEnum):
    """How an attempt to reach a target failed."""

    #: Nothing came back in time.
    TIMED_OUT = "timed-out"
    #: The host answered that nobody listens, or that there is no way to it.
    REFUSED = "refused"
    #: The connection was reset, or closed before its first answer.
    RESET = "reset"


#: Largest time between the start of an own attempt that failed and a later
#: connection of a peer, in seconds: targets that come back, and links that
#: heal for everyone, are often reached by a peer first. An attempt that was
#: refused or reset was over before.
CONCURRENT_S = {
    LinkFailure.TIMED_OUT: 0.1,
    LinkFailure.REFUSED: 0.0,
    LinkFailure.RESET: 0.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnection:
    """A connection that a peer opened to a target.

    Its time is known from the answer of the peer, whose way takes time.
    """

    #: Bounds of its monotonic time, in seconds.
    earliest: float
    latest: float


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt that failed; monotonic times, in seconds."""

    started_at: float
    ended_at: float
    kind: LinkFailure

    @property
    def shown_at(self) -> float:
        """Time from which on it shows that the target is not reached.

        A connection that is reset may have been open until then.
        """
        is_reset = self.kind is LinkFailure.RESET
        return self.ended_at if is_reset else self.started_at


class LinkEvidence:
    """Attempts to connect to one target, and what was heard from it.

    All times are monotonic, in seconds. An attempt that failed counts until a
    later one is accepted: bytes on connections that are open already do not
    show that new ones can be opened.
    """

    __slots__ = ("accepted_at", "heard_at", "_connected_at", "_failures")

    def __init__(self) -> None:
        #: Time of the last connection that proved the path.
        self.accepted_at = _NEVER
        #: Time of the last bytes from the target.
        self.heard_at = _NEVER
        # Time of the last connection that proves nothing yet.
        self._connected_at = _NEVER
        # Attempts that failed since the last one that was accepted, oldest
        # first.
        self._failures: list[_FailedAttempt] = []

    def record_connected(self, now: float) -> None:
        """Record a new connection; it proves the path after ``HOLD_S``."""
        self.settle(now)
        if self._connected_at == _NEVER:
            self._connected_at = now

    def record_failure(
        self, started_at: float, kind: LinkFailure, now: float
    ) -> None:
        """Record an attempt that failed, or that takes too long.

        One that began before the last accepted connection says nothing.
        """
        self.settle(now)
        if kind is LinkFailure.RESET:
            self._connected_at = _NEVER
        if started_at <= self.accepted_at:
            return
        self._failures.append(_FailedAttempt(started_at, now, kind))
        del self._failures[:-MAX_FAILURES]

    def record_heard(self, now: float, opened_at: float = _NEVER) -> None:
        """Record bytes from the target.

        ``opened_at`` is the time at which a connection was opened that they
        are the first on.
        """
        self.heard_at = now
        if opened_at > self.accepted_at:
            self._accept(opened_at)

    def settle(self, now: float) -> None:
        """Count a connection as accepted if it has been open long enough."""
        if _NEVER < self._connected_at <= now - HOLD_S:
            self._accept(self._connected_at)

    def _accept(self, at: float) -> None:
        self._connected_at = _NEVER
        self.accepted_at = max(self.accepted_at, at)
        self._failures = [
            failure
            for failure in self._failures
            if failure.started_at > self.accepted_at
        ]

    @property
    def failures(self) -> int:
        """Number of attempts that failed since the last accepted one."""
        return len(self._failures)

    @property
    def failing_since(self) -> float:
        """Start of the first attempt that failed since the last accepted one.

        Infinite if none did.
        """
        return min(
            (failure.started_at for failure in self._failures),
            default=float("inf"),
        )

    def failed_beside(self, connection: PeerConnection) -> bool:
        """Return whether a path of one's own failed while a peer's worked.

        An attempt has to fail before the connection of the peer, and another
        one during or after it.
        """
        return any(
            failure.shown_at <= connection.earliest
            for failure in self._failures
        ) and any(
            failure.started_at
            >= connection.latest - CONCURRENT_S[failure.kind]
            for failure in self._failures
        )

    @property
    def kinds(self) -> set[LinkFailure]:
        """How the attempts failed since the last accepted one."""
        return {failure.kind for failure in self._failures}

    @property
    def reached(self) -> bool:
        """Whether the last that this instance knows is that it reached it."""
        return not self._failures and self.contact_at > _NEVER

    @property
    def contact_at(self) -> float:
        """Time of the last connection or bytes."""
        return max(self.accepted_at, self._connected_at, self.heard_at)


def unreached_since(
    links: collections.abc.Sequence[LinkEvidence],
) -> float | None:
    """Return since when none of a service's targets has been reached.

    Returns ``None`` if one was reached, or if too few were tried: two have to
    fail, as a single one may be at fault itself; a service with only one, two
    times. Targets that were not tried lately say nothing.
    """
    failing = [link for link in links if link.failures]
    needed = min(MIN_UNREACHED, len(links))
    if not failing or len(failing) < needed:
        return None
    if needed == 1 and failing[0].failures < MIN_FAILURES:
        return None
    starts = sorted((link.failing_since for link in failing), reverse=True)
    # Targets that failed earlier may have done so for reasons of their own.
    since = starts[needed - 1]
    others = (link for link in links if not link.failures)
    if any(link.accepted_at > since for link in others):
        return None
    return since


@dataclasses.dataclass(frozen=True, slots=True)
class LinkVerdict:
    """What an instance concludes about its paths to a service's targets."""

    #: Ids of the targets that peers reach, but this instance does not.
    lost: frozenset[str] = frozenset()
    #: Whether this instance reaches none of the targets, but peers do.
    all_lost: bool = False


def judge_links(
    links: collections.abc.Mapping[str, LinkEvidence],
    peers_reached: collections.abc.Mapping[
        str, collections.abc.Sequence[PeerConnection]
    ],
    now: float,
    lost_before: collections.abc.Container[str] = (),
) -> LinkVerdict:
    """Return the verdict about a service.

    ``links`` has the active targets by id, ``peers_reached`` the connections
    that peers opened to a target, ``lost_before`` the targets that were lost
    by the verdict before.
    """
    since = unreached_since(list(links.values()))
    failures = {
        name: link.failures
        for name, link in links.items()
        if name in peers_reached
        and _is_reached_by_peers(
            link, peers_reached[name], now, name in lost_before
        )
    }
    total = sum(link.failures for link in links.values())
    # One lost packet is no lost path, but several targets that fail once prove
    # as much as one that fails again.
    proved = max(failures.values(), default=0) >= MIN_FAILURES
    if since is not None and total > MIN_FAILURES:
        proved = True
    lost = frozenset(failures) if proved else frozenset()
    return LinkVerdict(lost, bool(lost) and since is not None)


def _is_reached_by_peers(
    link: LinkEvidence,
    connections: collections.abc.Sequence[PeerConnection],
    now: float,
    lost_before: bool,
) -> bool:
    """Return whether a peer reached a target while attempts failed here."""
    reached_at = max(connection.latest for connection in connections)
    if not link.failures or now - reached_at > PEER_VIEW_S:
        return False
    return lost_before or any(map(link.failed_beside, connections))
