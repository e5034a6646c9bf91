"""Accepts connections up to a bound, beyond which they wait for others."""

import collections.abc
import typing

import gevent.server
import gevent.socket


class BoundedServer(gevent.server.StreamServer):
    """A server of which at most so many connections are open.

    A pool of greenlets does the same, but takes more work for each.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handle: collections.abc.Callable[..., None],
        backlog: int,
        bound: int,
    ) -> None:
        super().__init__(address, handle, backlog=backlog)
        self._bound = bound
        self._open = 0

    def full(self) -> bool:
        """Return whether no more connections are accepted."""
        return self._open >= self._bound

    def do_read(self) -> typing.Any:
        """Accept a connection and count it; ``None`` if there is none."""
        accepted = super().do_read()
        if accepted:
            self._open += 1
        return accepted

    def do_close(self, sock: gevent.socket.socket, *args: object) -> None:
        """Close a connection; accept others again if there were too many."""
        super().do_close(sock, *args)
        self._open -= 1
        if self._open == self._bound - 1 and self.started:
            self.start_accepting()
