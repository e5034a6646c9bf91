"""Ends the wait for answers of targets whose process has ended.

A process that ends closes its connections, but that may not be seen: its
machine lost power, or the path dropped the reset. Whatever still waits on such
a connection would wait until its deadline. Evidence that the process has ended
comes from elsewhere: another connection of this instance or of a peer, or the
announcement of the process that replaced it.
"""

import collections.abc
import logging
import typing
import weakref

import gevent

from agatewing import _clock

_log = logging.getLogger("agatewing.targets")

#: Time after evidence in which nothing may come from a target for its requests
#: to be ended, in seconds. A sound target that only refused a connection, for
#: want of room, answers one of its requests meanwhile: plain ones take some
#: 20 ms, and streams bring an event every 150 ms.
QUIET_S = 0.25


class OpenChannel(typing.Protocol):
    """A connection that carries a request."""

    @property
    def silent_s(self) -> float:
        """Time since the last byte, or the send if none came, in seconds."""

    @property
    def unread(self) -> bool:
        """Whether bytes have arrived that were not read yet."""

    def close(self) -> None:
        """Close it; whoever reads from it is told that it broke."""


class EndedTargets:
    """The requests under way at each incarnation of a target."""

    __slots__ = ("_clock", "_channels", "_checked", "ended")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # By incarnation; connections that fail are left out as they go.
        self._channels: dict[int, weakref.WeakSet[OpenChannel]] = {}
        # Incarnations whose connections are watched after evidence.
        self._checked: set[int] = set()
        #: Number of requests that were ended.
        self.ended = 0

    def add(self, key: int, channel: OpenChannel) -> None:
        """Record that a connection carries a request.

        ``key`` is the incarnation of its target.
        """
        channels = self._channels.get(key)
        if channels is None:
            for unused in [k for k, c in self._channels.items() if not c]:
                del self._channels[unused]
            channels = self._channels[key] = weakref.WeakSet()
        channels.add(channel)

    def discard(self, key: int, channel: OpenChannel) -> None:
        """Record that a connection carries no request any more."""
        channels = self._channels.get(key)
        if channels is not None:
            channels.discard(channel)

    def record_end(
        self,
        key: int,
        evidence: str,
        confirm: collections.abc.Callable[[], bool] | None = None,
    ) -> None:
        """End the requests at an incarnation that is silent from now on.

        ``evidence`` says why its process is thought to have ended. If any of
        its connections brings a byte in the next ``QUIET_S``, or ``confirm``
        returns ``False`` then, nothing is ended.
        """
        if key in self._checked or not self._channels.get(key):
            return
        self._checked.add(key)
        gevent.spawn(self._check, key, evidence, confirm)

    def _check(
        self,
        key: int,
        evidence: str,
        confirm: collections.abc.Callable[[], bool] | None,
    ) -> None:
        try:
            channels = list(self._channels.get(key, ()))
            sent_s = [channel.silent_s for channel in channels]
            self._clock.sleep(QUIET_S)
            heard = any(
                channel.unread or channel.silent_s < before_s + QUIET_S / 2
                for channel, before_s in zip(channels, sent_s)
            )
            if heard or (confirm is not None and not confirm()):
                return
            self._end(key, channels, evidence)
        finally:
            self._checked.discard(key)

    def _end(
        self, key: int, channels: list[OpenChannel], evidence: str
    ) -> None:
        under_way = self._channels.get(key, ())
        waiting = [channel for channel in channels if channel in under_way]
        for channel in waiting:
            channel.close()
        if not waiting:
            return
        self.ended += len(waiting)
        _log.info(
            "targets: a target has ended with requests under way",
            extra={"evidence": evidence, "requests": len(waiting)},
        )
