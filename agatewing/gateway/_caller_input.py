"""Receives the bytes of one caller's connection.

A reader greenlet receives all the time, so that a closed connection is
noticed while the request still waits for its target.
"""

import collections.abc
import errno
import socket

import gevent
import gevent.event
import gevent.socket

#: Largest number of bytes read from a connection at once.
READ_BYTES = 65_536
#: Bytes that are received at once of a head and what follows it: most
#: requests as a whole.
READ_AHEAD_BYTES = 16_384
#: Bytes that are received while nobody takes them and a request is in flight,
#: so that the end of input is noticed.
BUSY_AHEAD_BYTES = 4_096
#: Time for the reader to receive bytes that have arrived, in seconds.
READER_TURN_S = 0.1


class CallerInput:
    """Bytes that a caller has sent and that were not parsed yet."""

    __slots__ = (
        "_sock",
        "_on_end",
        "_data",
        "_limit",
        "ahead",
        "_data_arrived",
        "_space_freed",
        "_reader",
        "closed_by_caller",
        "_ended",
    )

    def __init__(
        self,
        sock: gevent.socket.socket,
        on_end: collections.abc.Callable[[], None],
    ) -> None:
        self._sock = sock
        # Called once the caller has closed its side.
        self._on_end = on_end
        # One buffer, in however small pieces they arrive.
        self._data = bytearray()
        #: Number of bytes up to which it may grow while nobody takes them.
        self.ahead = READ_AHEAD_BYTES
        # The same at present.
        self._limit = self.ahead
        self._data_arrived = gevent.event.Event()
        self._space_freed = gevent.event.Event()
        #: Whether the caller has closed its side.
        self.closed_by_caller = False
        # Whether no more bytes are awaited.
        self._ended = False
        self._reader = gevent.spawn(self._receive_loop)

    def _receive_loop(self) -> None:
        """Receive bytes until the caller closes the connection."""
        while True:
            while len(self._data) >= self._limit:
                self._space_freed.clear()
                self._space_freed.wait()
            space = self._limit - len(self._data)
            try:
                data = self._sock.recv(min(READ_BYTES, space))
            except OSError as exc:
                if exc.errno == errno.EBADF:
                    return
                data = b""
            if not data:
                self.closed_by_caller = True
                self.end()
                self._on_end()
                return
            self._data += data
            self._data_arrived.set()

    def end(self) -> None:
        """Treat the input as ended, as if the caller had closed its side."""
        self._ended = True
        self._data_arrived.set()

    @property
    def pending(self) -> bool:
        """Whether bytes have arrived that were not taken yet."""
        return bool(self._data) or self.unread

    @property
    def unread(self) -> bool:
        """Whether bytes have arrived that were not received yet."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(self._sock._sock.recv(1, flags))
        except OSError:
            return False

    def discard(self, timeout_s: float, max_bytes: int) -> None:
        """Discard bytes until the caller closes its side, or up to a limit.

        Bytes that are unread when a connection is closed make the kernel
        reset it, and the caller may lose the answer that it has not read.
        """
        timeout = gevent.Timeout(timeout_s)
        left = max_bytes
        try:
            with timeout:
                while left > 0 and (data := self.take(timeout_s)):
                    left -= len(data)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise

    def stop(self) -> None:
        """Stop receiving."""
        self._reader.kill(block=False)

    def take(
        self, timeout_s: float, most: int = READ_AHEAD_BYTES
    ) -> bytes | None:
        """Remove and return all bytes, waiting for some if there are none.

        At most ``most`` bytes are received meanwhile. Returns ``b""`` at the
        end of input and ``None`` after the timeout, unless bytes had arrived
        by then: the timeout of a process that did not run for a while may be
        due before its reader.
        """
        if most > len(self._data):
            self._limit = most
            self._space_freed.set()
        try:
            return self._take(timeout_s)
        finally:
            self._limit = self.ahead

    def _take(self, timeout_s: float) -> bytes | None:
        reader_had_turn = False
        while not self._data:
            if self._ended:
                return b""
            self._data_arrived.clear()
            if self._data_arrived.wait(timeout_s) or self._data:
                continue
            if not self.unread or reader_had_turn:
                return None
            reader_had_turn = True
            timeout_s = READER_TURN_S
        data = bytes(self._data)
        self._data.clear()
        self._space_freed.set()
        return data
