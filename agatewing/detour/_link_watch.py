"""Knows whether this instance reaches the targets of its services."""

import collections.abc
import logging
import typing

import gevent

from agatewing import _clock
from agatewing import decisions
from agatewing.detour import _link_recorder

_log = logging.getLogger("agatewing.links")

#: Time between two looks while a service's targets are not reached, in
#: seconds.
LOOK_S = 0.25
#: Longest time between two looks, in seconds.
IDLE_S = 60.0


class LinkedTarget(typing.Protocol):
    """A target, and this instance's path to it."""

    @property
    def link(self) -> _link_recorder.TargetLink:
        """Record of the path."""

    @property
    def active(self) -> bool:
        """Whether it accepts new requests."""


#: Returns the targets of a service by id.
TargetsOf: typing.TypeAlias = collections.abc.Callable[
    [str], collections.abc.Mapping[str, LinkedTarget]
]


class LinkWatch:
    """Watches this instance's paths to targets."""

    __slots__ = ("_clock", "_recorder", "_targets_of", "_unreached", "_loop")

    def __init__(
        self,
        clock: _clock.Clock,
        recorder: _link_recorder.LinkRecorder,
        targets_of: TargetsOf,
    ) -> None:
        self._clock = clock
        self._recorder = recorder
        self._targets_of = targets_of
        # Monotonic time since which no target was reached, in seconds, by
        # service.
        self._unreached: dict[str, float] = {}
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to watch."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop watching."""
        gevent.kill(self._loop)

    def reached_count(self, service: str) -> int:
        """Return how many targets this instance reached when last tried."""
        return sum(
            target.link.evidence.reached
            for target in self._targets_of(service).values()
        )

    def _run(self) -> None:
        while True:
            self._recorder.wait(LOOK_S if self._unreached else IDLE_S)
            self._recorder.look()
            services = {link.service for link in self._recorder.take_broken()}
            for service in services | set(self._unreached):
                self._look_at(service)

    def _look_at(self, service: str) -> None:
        """Log whether no target of a service is reached, if that changed."""
        now = self._clock.monotonic()
        links = [
            target.link.evidence
            for target in self._targets_of(service).values()
            if target.active
        ]
        for link in links:
            link.settle(now)
        since = decisions.unreached_since(links)
        was_since = self._unreached.pop(service, None)
        if since is not None:
            self._unreached[service] = since
        if since is not None and was_since is None:
            kinds = {kind for link in links for kind in link.kinds}
            heard_at = max(link.heard_at for link in links)
            _log.warning(
                "links: targets not reached",
                extra={
                    "service": service,
                    "targets": len(links),
                    "failing": sum(link.failures > 0 for link in links),
                    "since_s": round(now - since, 3),
                    "picture": ",".join(sorted(kinds)),
                    "heard_s": round(min(now - heard_at, 1e9), 3),
                },
            )
        elif since is None and was_since is not None:
            _log.info(
                "links: targets reached again",
                extra={
                    "service": service,
                    "after_s": round(now - was_since, 3),
                },
            )
