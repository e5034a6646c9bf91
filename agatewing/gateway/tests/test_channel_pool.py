"""Tests of the pool of connections to one target."""

import collections.abc
import contextlib

import gevent.server
import gevent.socket

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _messages

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n"
REQUEST = _messages.Outgoing(b"GET", b"/", ((b"Host", b"x"),), b"")
ONCE = decisions.Reuse.ONCE
AGAIN = decisions.Reuse.AGAIN


class _Clock(_clock.SystemClock):
    """Real time plus ``ahead_s``."""

    ahead_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead_s


@contextlib.contextmanager
def _target(
    header: bytes, clock: _Clock
) -> collections.abc.Iterator[
    tuple[_channel.ChannelPool, list[gevent.socket.socket]]
]:
    """Run a target that answers all requests; yield its pool and sockets."""
    sockets: list[gevent.socket.socket] = []

    def serve(sock: gevent.socket.socket, _address: object) -> None:
        sockets.append(sock)
        while sock.recv(65_536):
            sock.sendall(ANSWER % header)

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    pool = _channel.ChannelPool(f"127.0.0.1:{server.server_port}", clock)
    pool.max_idle = 4
    try:
        yield pool, sockets
    finally:
        pool.close()
        server.stop()


def _use(
    pool: _channel.ChannelPool, clock: _Clock, *reuses: decisions.Reuse
) -> None:
    """Send requests at the same time, one for each of ``reuses``."""
    channels = [pool.acquire(reuse, 1.0) for reuse in reuses]
    for channel in channels:
        deadline = clock.monotonic() + 5
        channel.send(REQUEST, deadline)
        channel.read_head(deadline)
        assert not channel.read_piece(deadline)
        pool.release(channel)


def test_a_request_that_runs_once_leaves_older_connections_open() -> None:
    """They carry requests that may be sent again."""
    clock = _Clock()
    with _target(b"", clock) as (pool, _):
        _use(pool, clock, AGAIN, AGAIN)
        clock.ahead_s += 3
        _use(pool, clock, ONCE)
        _use(pool, clock, AGAIN, AGAIN, AGAIN)
        assert pool.opened == {
            decisions.OpenReason.NONE_IDLE: 2,
            decisions.OpenReason.IDLE_TOO_LONG: 1,
        }


def test_expired_connections_leave_room_for_new_ones() -> None:
    """Those that no request may use would fill the pool."""
    clock = _Clock()
    with _target(b"Keep-Alive: timeout=10\r\n", clock) as (pool, _):
        pool.max_idle = 1
        _use(pool, clock, ONCE)
        clock.ahead_s += 7
        _use(pool, clock, ONCE)
        clock.ahead_s += 20
        _use(pool, clock, AGAIN)
        _use(pool, clock, ONCE)
        assert pool.opened == {
            decisions.OpenReason.NONE_IDLE: 1,
            decisions.OpenReason.IDLE_TOO_LONG: 1,
        }


def test_a_target_that_closes_early_is_noticed() -> None:
    """It announces ten seconds and keeps a connection for less."""
    clock = _Clock()
    with _target(b"Keep-Alive: timeout=10\r\n", clock) as (pool, sockets):
        _use(pool, clock, ONCE)
        sockets[0].close()
        gevent.sleep(0.01)
        _use(pool, clock, ONCE)
        clock.ahead_s += 1
        _use(pool, clock, ONCE)
        assert pool.opened == {
            decisions.OpenReason.NONE_IDLE: 1,
            decisions.OpenReason.CLOSED: 1,
            decisions.OpenReason.IDLE_TOO_LONG: 1,
        }
