"""Finds the software version that began a stream.

Instances tell each other of new streams with their load reports: in small
fleets of all, in others while the engines of a service are, or may have been,
of several software versions. An instance that does not know a stream which a
caller takes up asks its peers.
What it has to know of the time before its start comes from the log
(``StreamRecord``).
"""

import collections
import collections.abc
import logging

import gevent
import gevent.event
import msgspec
import result
import xxhash

from agatewing import _clock
from agatewing import _decoding
from agatewing import decisions
from agatewing.gateway import _peers
from agatewing.gateway import _target_registry
from agatewing import wire

_log = logging.getLogger("agatewing.streams")

#: Name of the state in requests to peers; the key is the attempt.
ORIGIN_STREAM = "gateway-stream-origins"
#: Number of peers that learn of each stream in a fleet where load reports do
#: not reach all peers: the loss of two leaves one.
KEEPERS = 3
#: Largest number of streams in one report, so that it fits into a datagram.
MAX_BEGUN = 6
#: Largest number of streams that wait for a report; the oldest are dropped.
MAX_UNPUBLISHED = 4_096
#: Time for which a stream waits to be recorded by another instance, in
#: seconds: longer than it takes until one that died counts as dead.
MAX_UNRECORDED_S = 3.0
#: Longest wait of a take-up for what the log has of the time before the start,
#: in seconds: the time limit for an answer of the log.
RESTORE_WAIT_S = 0.6
#: Longest time of a read that confirms the versions, in seconds; less than an
#: exchange with a peer takes, as peers confirm theirs during one.
CONFIRM_S = 0.4
#: Age of the view of the log above which a version may have been missed, in
#: seconds: at the laxest sites, a read of the log takes up to 4.6 s; half a
#: second to spare.
MAX_VIEW_AGE_S = 5.1


class _Reply(msgspec.Struct, frozen=True):
    """What a peer knows of a stream."""

    # Software versions that the engines of the service have had lately.
    versions: frozenset[str]
    # Whether the peer has read the log so recently that it missed none, by the
    # standard of its release.
    current: bool
    # Origin of the stream; ``None`` if the peer does not know it.
    origin: decisions.StreamOrigin | None = None
    # Whether no other version can have begun a recent stream. Earlier releases
    # do not tell.
    complete: bool = False
    # Whether the peer has read the log since it was asked. Earlier releases do
    # not, and take a view of some seconds ago for current.
    confirmed: bool = False


class StreamDirectory:
    """Origins of streams, shared with the other instances."""

    __slots__ = (
        "_clock",
        "_peers",
        "_view_age_s",
        "_confirm_view",
        "_origins",
        "_coverage",
        "_histories",
        "_sole",
        "_unpublished",
        "_unrecorded",
        "_restored",
        "take_ups",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        peers: _peers.Peers,
        view_age_s: collections.abc.Callable[[], float],
        confirm_view: collections.abc.Callable[[float], bool],
        coverage: decisions.LogCoverage,
    ) -> None:
        self._clock = clock
        self._peers = peers
        # Returns the age of this instance's view of the targets, in seconds.
        self._view_age_s = view_age_s
        # Reads the targets anew; returns whether that was done within a time,
        # in seconds.
        self._confirm_view = confirm_view
        # Entries of targets that were seen.
        self._coverage = coverage
        self._origins = decisions.StreamOrigins()
        # Versions by service.
        self._histories: collections.defaultdict[
            str, decisions.VersionHistory
        ] = collections.defaultdict(decisions.VersionHistory)
        # Services whose recent streams all began at one version.
        self._sole: frozenset[str] = frozenset()
        self._unpublished: collections.deque[decisions.StreamOrigin] = (
            collections.deque(maxlen=MAX_UNPUBLISHED)
        )
        # Streams that are not in the log, with the monotonic times at which
        # they were recorded here.
        self._unrecorded: collections.deque[
            tuple[float, decisions.StreamOrigin]
        ] = collections.deque(maxlen=MAX_UNPUBLISHED)
        # Set when the log has told of the time before the start.
        self._restored = gevent.event.Event()
        #: Number of streams that callers took up, by how their version was
        #: found.
        self.take_ups: collections.Counter[str] = collections.Counter()

    def observe(
        self, pools: collections.abc.Mapping[str, _target_registry.Pool]
    ) -> None:
        """Record the versions of all engines that are announced now.

        The recent streams of a service are published once others may have
        begun at another version.
        """
        now = self._clock.monotonic()
        for name, pool in pools.items():
            self._histories[name].observe(pool.versions(), now)
        sole = frozenset(
            name
            for name in self._histories
            if decisions.proved_version([self._history_view(name, now)])
        )
        for name in self._sole - sole:
            for origin in self._origins.recent(now):
                if origin.service == name:
                    self._record(origin, now)
        self._sole = sole

    def restore(
        self, origins: collections.abc.Iterable[decisions.StreamOrigin]
    ) -> None:
        """Add the streams that the log has of a time not seen here."""
        now = self._clock.monotonic()
        for origin in origins:
            self._origins.record(origin, now)
        self._restored.set()

    def remember(
        self,
        versions: collections.abc.Mapping[
            str, collections.abc.Mapping[str, float]
        ],
    ) -> None:
        """Add versions that were there, here or for others.

        They are given by service, with the monotonic time of their end.
        """
        for name, seen in versions.items():
            self._histories[name].remember(seen)

    def version_ages(self) -> dict[str, dict[str, float]]:
        """Return the versions of late, by service.

        With the time since the last engine of each left, in seconds.
        """
        now = self._clock.monotonic()
        return {
            name: history.ages(now)
            for name, history in self._histories.items()
        }

    def views(self) -> dict[str, decisions.VersionView]:
        """Return what is known of the versions, by service."""
        now = self._clock.monotonic()
        return {name: self._view(name, now) for name in self._histories}

    def record_begin(self, origin: decisions.StreamOrigin) -> None:
        """Record a stream whose first event is about to be forwarded."""
        now = self._clock.monotonic()
        self._origins.record(origin, now)
        if self.shared_by_all:
            self._unpublished.append(origin)
        if self._only_version(origin.service, now) is None:
            self._record(origin, now)

    def _record(self, origin: decisions.StreamOrigin, now: float) -> None:
        """Have a stream written to the log, and told to its keepers."""
        self._unrecorded.append((now, origin))
        if not self.shared_by_all:
            self._unpublished.append(origin)

    def take_unrecorded(self, count: int) -> list[decisions.StreamOrigin]:
        """Remove and return up to ``count`` streams for the log."""
        count = min(count, len(self._unrecorded))
        return [self._unrecorded.popleft()[1] for _ in range(count)]

    def return_unrecorded(
        self, origins: collections.abc.Iterable[decisions.StreamOrigin]
    ) -> None:
        """Put streams back that could not be written to the log."""
        now = self._clock.monotonic()
        self._unrecorded.extend((now, origin) for origin in origins)

    def drop_unrecorded(self) -> None:
        """Drop the streams that another instance has recorded by now."""
        oldest = self._clock.monotonic() - MAX_UNRECORDED_S
        while self._unrecorded and self._unrecorded[0][0] < oldest:
            self._unrecorded.popleft()

    def take_unpublished(self) -> list[wire.StreamBegin]:
        """Remove and return the streams for the next report."""
        count = min(MAX_BEGUN, len(self._unpublished))
        origins = [self._unpublished.popleft() for _ in range(count)]
        return [
            wire.StreamBegin(
                attempt=origin.attempt,
                service_name=origin.service,
                software=origin.software,
            )
            for origin in origins
        ]

    def merge(self, begun: collections.abc.Iterable[wire.StreamBegin]) -> None:
        """Record streams that began at another instance."""
        now = self._clock.monotonic()
        for begin in begun:
            origin = decisions.StreamOrigin(
                begin.attempt, begin.service_name, begin.software
            )
            self._origins.record(origin, now)
            # Of a service with one version, nothing is written to the log.
            several = self._only_version(origin.service, now) is None
            if self.shared_by_all and several:
                self._unrecorded.append((now, origin))

    @property
    def shared_by_all(self) -> bool:
        """Whether all instances learn of each stream."""
        return len(self._peers.known) <= _peers.FANOUT

    def keepers(self, attempt: str) -> list[str]:
        """Return the addresses of the peers that learn of a stream.

        All of them in a small fleet; otherwise ``KEEPERS``, which all
        instances choose alike.
        """
        known = self._peers.known
        names = sorted(known)
        if not self.shared_by_all:
            names.sort(
                key=lambda name: xxhash.xxh64_intdigest(
                    f"{name}/{attempt}".encode()
                )
            )
            names = names[:KEEPERS]
        return [known[name].address for name in names]

    def find(
        self, attempt: str, service: str
    ) -> decisions.StreamOrigin | None:
        """Return the origin of a stream that a caller takes up.

        ``attempt`` is empty if the caller did not name it. Asks the peers if
        this instance does not know. If nobody does, the stream began at the
        only version that can have begun a recent stream; returns ``None`` if
        there may have been several.
        """
        self._restored.wait(RESTORE_WAIT_S)
        now = self._clock.monotonic()
        origin = self._origins.find(attempt, now)
        view = self._view(service, now)
        how = "known"
        if origin is None:
            view = self._confirmed_view(service)
            only = decisions.proved_version([view])
            if only is not None:
                origin = decisions.StreamOrigin(attempt, service, only)
                how = "only"
        if origin is None:
            origin = self._ask_peers(attempt, service, view)
            how = "peer" if origin is not None else "unknown"
        self.take_ups[how] += 1
        _log.info(
            "streams: taken up",
            extra={
                "resumes": attempt,
                "how": how,
                "software": origin.software if origin is not None else "",
                "versions": sorted(view.versions),
                "complete": view.complete,
            },
        )
        return origin

    def _only_version(self, service: str, now: float) -> str | None:
        """Return the version that began all recent streams of a service.

        ``None`` if there may have been several.
        """
        return decisions.proved_version([self._view(service, now)])

    def _history_view(self, service: str, now: float) -> decisions.VersionView:
        return self._histories[service].view(now, self._coverage.since)

    def _view(self, service: str, now: float) -> decisions.VersionView:
        view = self._history_view(service, now)
        return decisions.VersionView(
            view.versions, view.complete and self._view_is_current
        )

    def _confirmed_view(self, service: str) -> decisions.VersionView:
        """Return a view that is complete only if it is of now.

        A stream that is taken up may have begun, elsewhere, at an engine that
        joined a moment ago.
        """
        view = self._history_view(service, self._clock.monotonic())
        if decisions.proved_version([view]) is None:
            return decisions.VersionView(view.versions, False)
        confirmed = self._confirm_view(CONFIRM_S)
        view = self._history_view(service, self._clock.monotonic())
        return decisions.VersionView(
            view.versions, view.complete and confirmed
        )

    @property
    def _view_is_current(self) -> bool:
        return self._view_age_s() <= MAX_VIEW_AGE_S

    def _ask_peers(
        self, attempt: str, service: str, own: decisions.VersionView
    ) -> decisions.StreamOrigin | None:
        views = [own]
        requests = [
            gevent.spawn(self._ask, address, attempt, service)
            for address in self.keepers(attempt)
        ]
        for request in gevent.iwait(requests, timeout=_peers.EXCHANGE_S):
            reply: _Reply | None = request.value
            if reply is None:
                continue
            if reply.origin is not None:
                return reply.origin
            views.append(
                decisions.VersionView(
                    reply.versions, reply.complete and reply.confirmed
                )
            )
        software = decisions.proved_version(views)
        if software is None:
            return None
        return decisions.StreamOrigin(attempt, service, software)

    def _ask(self, address: str, attempt: str, service: str) -> _Reply | None:
        key = f"{service}/{attempt}"
        request = wire.StateRequest(stream=ORIGIN_STREAM, key=key)
        match _peers.exchange(self._peers.codec, address, request):
            case result.Ok(answer):
                pass
            case result.Err(reason):
                _log.info(
                    "streams: no reply from a peer",
                    extra={"instance": address, "reason": reason},
                )
                return None
        match _decoding.decode_json(answer.state, _Reply):
            case result.Ok(reply):
                return reply
            case result.Err(reason):
                _log.info(
                    "streams: reply of a peer ignored, it cannot be decoded",
                    extra={"instance": address, "reason": reason},
                )
        return None

    def reply(self, key: str) -> wire.StateReply:
        """Return the reply to a peer that asks for a stream's origin."""
        service, _, attempt = key.partition("/")
        origin = self._origins.find(attempt, self._clock.monotonic())
        known = _Reply(frozenset(), False, origin)
        if origin is None:
            view = self._confirmed_view(service)
            proved = view.complete
            known = _Reply(view.versions, proved, None, proved, proved)
        return wire.StateReply(
            known=origin is not None,
            through=0,
            state=msgspec.json.encode(known),
        )
