"""Opens connections to targets only to see whether that works."""

import socket

import gevent
import gevent.socket

from agatewing import _clock
from agatewing import decisions
from agatewing.detour import _link_recorder
from agatewing import net

#: Timeout of a probe, in seconds.
PROBE_S = 0.25


class LinkProbe:
    """Probes paths to targets."""

    __slots__ = ("_clock", "_running", "count")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        # Last probe of each path, and its start as a monotonic time, in
        # seconds.
        self._running: dict[
            _link_recorder.TargetLink, tuple[gevent.Greenlet, float]
        ] = {}
        #: Number of probes so far.
        self.count = 0

    def start(
        self,
        link: _link_recorder.TargetLink,
        address: str,
        for_peer: bool = False,
        since: float = float("-inf"),
    ) -> gevent.Greenlet:
        """Return the probe of a path in progress, or start one.

        ``for_peer`` says that a peer asked for it; one that began before
        ``since``, a monotonic time in seconds, does not do. The value says
        whether a connection was accepted and stayed open.
        """
        running, started_at = self._running.get(link, (None, float("-inf")))
        if running is None or started_at < since:
            self.count += 1
            running = gevent.spawn(self._run, link, address, for_peer)
            self._running[link] = running, self._clock.monotonic()
        return running

    def _run(
        self, link: _link_recorder.TargetLink, address: str, for_peer: bool
    ) -> bool:
        try:
            return self._connect(link, address, for_peer)
        finally:
            running, _ = self._running.get(link, (None, 0.0))
            if running is gevent.getcurrent():
                del self._running[link]

    def _connect(
        self, link: _link_recorder.TargetLink, address: str, for_peer: bool
    ) -> bool:
        attempt = link.begin(for_peer)
        try:
            sock = gevent.socket.create_connection(
                net.split_address(address), timeout=PROBE_S
            )
        except OSError as exc:
            attempt.record_failure(_link_recorder.failure_of(exc))
            return False
        except BaseException:
            attempt.abandon()
            raise
        attempt.record_connected()
        with sock:
            if _closes(sock):
                attempt.record_broken()
                return False
        link.evidence.settle(self._clock.monotonic())
        return True


def _closes(sock: gevent.socket.socket) -> bool:
    """Return whether a new connection is closed within ``HOLD_S``."""
    sock.settimeout(decisions.HOLD_S)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        pass
    except OSError:
        return True
    # After a standstill of the process, the timeout may come first.
    try:
        return not sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
