"""TCP sockets: their options, and connections that this side opens."""

import errno
import socket
import struct
import typing

import gevent.socket

from agatewing.net import _address

#: Value of SO_LINGER with a linger time of 0 s.
_NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(sock: gevent.socket.socket) -> None:
    """Make ``close`` reset the connection and drop unsent bytes.

    Raises ``OSError`` if the socket is closed.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def peer_address(sock: gevent.socket.socket) -> str:
    """Return the other end as ``IP:PORT``; empty if it is not connected."""
    try:
        host, port, *_ = sock.getpeername()
    except OSError:
        return ""
    return f"{host}:{port}"


#: Errors of a socket call that say nothing of how the other side ended the
#: connection. The kernel reports EPIPE if the other side had ended its own
#: direction in order before; it is also reported after any other error.
_NOT_BROKEN_OFF = frozenset((None, errno.EAGAIN, errno.EBADF, errno.EPIPE))


class ClientSocket(gevent.socket.socket):
    """A TCP connection that keeps telling that it was broken off.

    The kernel reports a reset, or a connection that timed out, to one call
    only, be it a send or a look for input; each read after that looks like
    the end of a connection that the other side closed in order.
    """

    # Error that broke the connection off; ``None`` if none was reported.
    _broken_by: OSError | None = None

    def recv(self, *args: typing.Any) -> bytes:
        """Receive bytes; ``b""`` if the other side ended in order.

        Raises ``OSError`` if the connection was broken off, also if another
        call was told so before.
        """
        try:
            data = super().recv(*args)
        except OSError as exc:
            self._record(exc)
            raise
        if not data and self._broken_by is not None:
            raise _again(self._broken_by)
        return data

    def send(self, *args: typing.Any, **options: typing.Any) -> int:
        """Send bytes; ``sendall`` calls this as well."""
        try:
            return super().send(*args, **options)
        except OSError as exc:
            self._record(exc)
            raise

    def peek(self) -> bytes | None:
        """Return a byte that has arrived, without receiving it.

        ``None`` if there is none; ``b""`` if the connection has ended.
        """
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self._sock.recv(1, flags)
        except BlockingIOError:
            return None
        except OSError as exc:
            self._record(exc)
            return b""

    def _record(self, exc: OSError) -> None:
        if self._broken_by is None and exc.errno not in _NOT_BROKEN_OFF:
            self._broken_by = exc


def _again(exc: OSError) -> OSError:
    """Return an error like ``exc``; one instance is not raised twice."""
    return OSError(exc.errno, exc.strerror)


def connect(address: str, timeout_s: float) -> ClientSocket:
    """Open a connection to ``IP:PORT``; its reads have no timeout.

    Raises ``OSError`` if that fails or takes longer than ``timeout_s``
    seconds, and ``ValueError`` if the address is malformed.
    """
    host, port = _address.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = ClientSocket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect((host, port))
        # The connect timeout would otherwise apply to every later read.
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock
