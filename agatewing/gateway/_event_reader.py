"""Reads the events of one engine's answer."""

import collections.abc
import dataclasses
import typing

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _events
from agatewing.gateway import _messages
from agatewing.gateway import _relay
from agatewing.gateway import _sender
from agatewing import net


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Nothing came in time; reading may go on."""

    #: Monotonic time at which the wait ended, in seconds.
    since: float


ReadResult: typing.TypeAlias = (
    _relay.Piece | Silent | _messages.Unknown | _messages.TimedOut
)


class EventReader:
    """Reads one answer up to the ends of events."""

    __slots__ = (
        "_head",
        "_clock",
        "_room",
        "_keeps_comments",
        "_splitter",
        "_comments",
        "_close_reason",
        "held",
        "channel",
    )

    def __init__(
        self,
        head: _messages.AnswerHead,
        channel: _sender.BodyChannel,
        clock: _clock.Clock,
        room: net.BufferRoom,
        keeps_comments: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a reader of an answer whose body follows on a connection.

        While ``keeps_comments`` returns ``True``, comments are returned with
        the event that follows them.
        """
        self._head = head
        self._clock = clock
        self._room = room
        self._keeps_comments = keeps_comments
        self._splitter = _events.EventSplitter()
        # Comments that are kept for the next event.
        self._comments = bytearray()
        # Why the reader was closed; empty while it is open.
        self._close_reason = ""
        #: Bytes that it holds, with those that it returned last.
        self.held = 0
        #: Connection that carries the answer.
        self.channel = channel

    def read(self, max_silence_s: float, deadline: float) -> ReadResult:
        """Return the next part, once it holds a whole event or comment.

        If the answer breaks off or the deadline passes, the connection is
        closed, which also cancels the request at the engine. If nothing
        comes for ``max_silence_s``, it stays open.
        """
        try:
            # What was returned before has been forwarded.
            self._record(0)
            while True:
                now = self._clock.monotonic()
                until = min(deadline, now + max_silence_s)
                piece = self._take(self.channel.read_piece(until))
                if piece is not None:
                    return piece
        except _channel.BrokenError as exc:
            reason = self._close_reason or str(exc)
            self.close()
            return _messages.Unknown(reason, silent_s=self.channel.silent_s)
        except _channel.DeadlineExceededError as exc:
            now = self._clock.monotonic()
            if now < deadline:
                return Silent(now)
            self.close()
            return _messages.TimedOut(str(exc), self.channel.silent_s)

    def _take(self, raw: bytes) -> _relay.Piece | None:
        """Return the events that ``raw`` completes; ``b""`` is the end."""
        if self._close_reason:
            raise _channel.BrokenError(self._close_reason)
        splitter = self._splitter
        if not raw:
            self._check_end()
            # Blank lines, or comments that were kept.
            data = self._with_comments(splitter.rest())
            self._record(0)
            return _relay.Piece(self._head, data, ended=True)
        events_before = splitter.events
        data = splitter.feed(raw)
        events = splitter.events - events_before
        if data and not events and self._keeps_comments():
            self._comments += data
            data = b""
            if len(self._comments) > _events.MAX_EVENT_BYTES:
                raise _events.EventTooLargeError(
                    f"comments of over {_events.MAX_EVENT_BYTES} bytes came "
                    "without an event"
                )
        if data:
            data = self._with_comments(data)
        self._record(len(data))
        if not data:
            return None
        return _relay.Piece(self._head, data, events, splitter.take_last())

    def _with_comments(self, data: bytes) -> bytes:
        """Return the comments that were kept, and ``data`` after them."""
        if not self._comments:
            return data
        data = bytes(self._comments) + data
        self._comments.clear()
        return data

    def _check_end(self) -> None:
        """Raise :class:`BrokenError` if an answer did not end in order.

        An engine that breaks off may close its connection like one that has
        finished, so the end of the message alone proves nothing.
        """
        if self._splitter.in_event:
            raise _channel.BrokenError("the answer ended inside an event")
        closes = self._head.framing is _messages.Framing.CLOSE
        if closes and not self._splitter.events:
            raise _channel.BrokenError("the connection ended without an event")

    def _record(self, returned: int) -> None:
        """Record what is held, with ``returned`` bytes that are forwarded.

        Raises :class:`BrokenError` if this answer is broken off for that.
        """
        kept = self._splitter.held + len(self._comments)
        if kept + returned != self.held:
            self._room.record(self, kept + returned)
        if self._close_reason:
            raise _channel.BrokenError(self._close_reason)

    def break_off(self) -> None:
        """Close the connection, as the events of all take too much memory."""
        self.close("its events take too much memory")

    def close(self, reason: str = "it was closed") -> None:
        """Close the connection and free what is held; may be repeated."""
        self._close_reason = self._close_reason or reason
        self.channel.close()
        self._splitter.rest()
        self._comments.clear()
        if self.held:
            self._room.record(self, 0)
