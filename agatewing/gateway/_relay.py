"""Forwards the events of a stream, from one or several engines."""

import collections.abc
import contextlib
import dataclasses

from agatewing import _clock
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _plain_forwarder
from agatewing.gateway import _ports

#: Largest id after which a stream is resumed, in bytes; a head that names a
#: longer one may be refused.
MAX_EVENT_ID_BYTES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Next part of a stream, up to the end of an event."""

    #: Head of the answer that it belongs to.
    head: _messages.AnswerHead
    #: Bytes to forward.
    data: bytes
    #: Number of complete events in it.
    events: int = 0
    #: Last complete event in it; empty if there is none.
    last_event: bytes = b""
    #: Whether the stream ends with it.
    ended: bool = False


class EventRelay:
    """Forwards one stream to its caller; records what was sent, and when."""

    __slots__ = (
        "_job",
        "_clock",
        "_dialect",
        "_on_begin",
        "_delivering",
        "_last_event_at",
        "_last_event_id",
        "event_count",
        "first_event_at",
        "longest_pause_s",
    )

    def __init__(
        self,
        job: _context.Job,
        clock: _clock.Clock,
        dialect: _ports.Dialect,
        on_begin: collections.abc.Callable[[_messages.AnswerSource], None],
        delivering: collections.abc.Callable[
            [int], contextlib.AbstractContextManager[None]
        ],
    ) -> None:
        # Called with the source of the first event before it is forwarded.
        self._on_begin = on_begin
        # Holds room for an answer of so many bytes while a caller reads it.
        self._delivering = delivering
        self._job = job
        self._clock = clock
        self._dialect = dialect
        self._last_event_at = 0.0
        # Id of the last event; ``None`` if it has none that may be sent.
        self._last_event_id: bytes | None = None
        #: Number of complete events forwarded.
        self.event_count = 0
        #: Monotonic time of the first event, in seconds; 0 before it.
        self.first_event_at = 0.0
        #: Longest time between two events, in seconds.
        self.longest_pause_s = 0.0

    @property
    def last_event_at(self) -> float:
        """Monotonic time of the last event, in seconds; 0 before it."""
        return self._last_event_at

    @property
    def events_s(self) -> float:
        """Time from the first to the last event, in seconds."""
        if not self.event_count:
            return 0.0
        return self._last_event_at - self.first_event_at

    @property
    def head_sent(self) -> bool:
        """Whether the caller has the head of an answer."""
        return self._job.conn.started

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that the caller has.

        ``None`` if it has no id, or one that is too long, or no event was
        forwarded.
        """
        if self.event_count:
            return self._last_event_id
        handed_on = self._job.req.handed_on
        return handed_on.last_event_id if handed_on is not None else None

    @property
    def may_resume(self) -> bool:
        """Whether another answer may go on with the stream."""
        return not self.event_count or self.last_event_id is not None

    def forward(self, source: _messages.AnswerSource, piece: Piece) -> None:
        """Send the next part of the stream to the caller."""
        conn = self._job.conn
        self._job.source = source
        if piece.head.status >= 300:
            self._forward_failure(piece)
            return
        if piece.events:
            if not self.event_count:
                self._on_begin(source)
            self._record_events(piece)
        if not conn.started:
            # The head of an earlier engine stays.
            fields = _plain_forwarder.without_content_length(
                piece.head.headers
            )
            conn.start(piece.head.status, fields)
        if piece.data:
            conn.write(piece.data)
        if piece.ended:
            conn.end()

    def _forward_failure(self, piece: Piece) -> None:
        """Forward an engine's error answer, which comes in one piece."""
        fields = _plain_forwarder.without_content_length(piece.head.headers)
        with self._delivering(len(piece.data)):
            self._job.conn.answer(piece.head.status, fields, piece.data)

    def _record_events(self, piece: Piece) -> None:
        now = self._clock.monotonic()
        if self.event_count:
            pause = now - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        else:
            self.first_event_at = now
        self._last_event_at = now
        self.event_count += piece.events
        event_id = self._dialect.last_event_id(piece.last_event)
        if event_id is not None and len(event_id) > MAX_EVENT_ID_BYTES:
            event_id = None
        self._last_event_id = event_id
        self._job.events = self.event_count
