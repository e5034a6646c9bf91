"""Diverts the connections that the greenlets of an instance open.

All instances of a test share a process and find the same addresses in the
log, so that only the greenlet that connects tells them apart.
"""

import collections.abc
import contextlib
import functools
import typing
import unittest.mock
import weakref

import gevent
import gevent.baseserver
import gevent.pool
import gevent.socket

from agatewing.platform.standins import _loopback

_KEY = "dialer"

Address: typing.TypeAlias = tuple[str, int]
_T = typing.TypeVar("_T")


class Dialer:
    """Diverts the connections of one instance, and knows them all."""

    def __init__(
        self, divert: collections.abc.Callable[[Address], Address]
    ) -> None:
        #: Returns the address that is connected to in place of another one.
        self.divert = divert
        #: Connections that it opened or accepted.
        self.sockets: weakref.WeakSet[gevent.socket.socket] = weakref.WeakSet()

    def reset_all(self) -> None:
        """Reset all connections that are open."""
        for sock in list(self.sockets):
            _loopback.reset(sock)
        self.sockets.clear()


def run_with(dialer: Dialer, make: collections.abc.Callable[[], _T]) -> _T:
    """Return the result of a function that starts greenlets and servers.

    Those greenlets, and all that they or the servers start, connect by way
    of the dialer.
    """

    def run() -> _T:
        gevent.getcurrent().spawn_tree_locals = {_KEY: dialer}
        return make()

    made: _T = gevent.spawn(run).get()
    return made


@contextlib.contextmanager
def diverted() -> collections.abc.Iterator[None]:
    """Let greenlets connect by way of their dialers meanwhile."""
    connect = gevent.socket.socket.connect
    set_spawn = gevent.baseserver.BaseServer.set_spawn

    def connect_by_dialer(
        sock: gevent.socket.socket, address: Address
    ) -> None:
        dialer = _current()
        if dialer is not None:
            address = dialer.divert(address)
            dialer.sockets.add(sock)
        connect(sock, address)

    def set_spawn_with_dialer(
        server: gevent.baseserver.BaseServer, spawn: object
    ) -> None:
        dialer = _current()
        if spawn == "default" and dialer is not None:
            spawn = functools.partial(_spawn_with, dialer)
        if isinstance(spawn, gevent.pool.Pool) and dialer is not None:
            spawn.greenlet_class = functools.partial(_greenlet_with, dialer)
        set_spawn(server, spawn)

    with (
        unittest.mock.patch.object(
            gevent.socket.socket, "connect", connect_by_dialer
        ),
        unittest.mock.patch.object(
            gevent.baseserver.BaseServer, "set_spawn", set_spawn_with_dialer
        ),
    ):
        yield


def _spawn_with(
    dialer: Dialer,
    run: collections.abc.Callable[..., None],
    handle: object,
    close: object,
    args: tuple[typing.Any, ...],
) -> gevent.Greenlet:
    """Spawn the greenlet of what a server has accepted."""
    spawned = _greenlet_with(dialer, run, handle, close, args)
    spawned.start()
    return spawned


def _greenlet_with(
    dialer: Dialer,
    run: collections.abc.Callable[..., None],
    handle: object,
    close: object,
    args: tuple[typing.Any, ...],
) -> gevent.Greenlet:
    """Return the greenlet of what a server has accepted, not started."""
    if isinstance(args[0], gevent.socket.socket):
        dialer.sockets.add(args[0])
    made = gevent.Greenlet(run, handle, close, args)
    # The hub spawns it, not a greenlet of the instance.
    made.spawn_tree_locals = {_KEY: dialer}
    return made


def _current() -> Dialer | None:
    """Return the dialer of the current greenlet."""
    found = getattr(gevent.getcurrent(), "spawn_tree_locals", None) or {}
    dialer: Dialer | None = found.get(_KEY)
    return dialer
