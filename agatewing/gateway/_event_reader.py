"""Reads the events of one engine's answer."""

import dataclasses
import typing

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _events
from agatewing.gateway import _messages
from agatewing.gateway import _relay
from agatewing.gateway import _sender


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

    __slots__ = ("_head", "_clock", "_splitter", "channel")

    def __init__(
        self,
        head: _messages.AnswerHead,
        channel: _sender.BodyChannel,
        clock: _clock.Clock,
    ) -> None:
        self._head = head
        self._clock = clock
        self._splitter = _events.EventSplitter()
        #: Connection that carries the answer.
        self.channel = channel

    def read(self, max_silence_s: float, deadline: float) -> ReadResult:
        """Return the next part, once it holds a whole event or comment.

        If the answer breaks off or the deadline passes, the connection is
        closed, which also cancels the request at the engine. If nothing
        comes for ``max_silence_s``, it stays open.
        """
        try:
            while True:
                now = self._clock.monotonic()
                until = min(deadline, now + max_silence_s)
                piece = self._take(self.channel.read_piece(until))
                if piece is not None:
                    return piece
        except _channel.BrokenError as exc:
            self.channel.close()
            return _messages.Unknown(str(exc), silent_s=self.channel.silent_s)
        except _channel.DeadlineExceededError as exc:
            now = self._clock.monotonic()
            if now < deadline:
                return Silent(now)
            self.channel.close()
            return _messages.TimedOut(str(exc), self.channel.silent_s)

    def _take(self, raw: bytes) -> _relay.Piece | None:
        """Return the events that ``raw`` completes; ``b""`` is the end."""
        splitter = self._splitter
        if not raw:
            self._check_end()
            return _relay.Piece(self._head, splitter.rest(), ended=True)
        events_before = splitter.events
        data = splitter.feed(raw)
        if not data:
            return None
        events = splitter.events - events_before
        last = splitter.last if events else b""
        return _relay.Piece(self._head, data, events, last)

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
