"""Forwards the events of a stream from one or several engines."""

import collections.abc

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _events
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _plain_forwarder
from agatewing.gateway import _sender
from agatewing.gateway import _tracked_target

#: Time without an event after which a resumable stream is resumed on another
#: engine, in seconds; callers abandon a stream after two seconds or more, see
#: ``Route.patience_s``.
MAX_SILENCE_S = 1.5


class EventRelay:
    """Forwards one stream to its caller; records what was sent, and when."""

    __slots__ = (
        "_job",
        "_clock",
        "_sender",
        "_splitter",
        "_on_begin",
        "_last_event_at",
        "first_event_at",
        "longest_pause_s",
    )

    def __init__(
        self,
        job: _context.Job,
        clock: _clock.Clock,
        sender: _sender.Sender,
        on_begin: collections.abc.Callable[
            [_tracked_target.TrackedTarget], None
        ],
    ) -> None:
        # Called with the engine of the first event before it is forwarded.
        self._on_begin = on_begin
        self._job = job
        self._clock = clock
        self._sender = sender
        self._splitter = _events.EventSplitter()
        self._last_event_at = 0.0
        #: Monotonic time of the first event, in seconds; 0 before it.
        self.first_event_at = 0.0
        #: Longest time between two events, in seconds.
        self.longest_pause_s = 0.0

    @property
    def event_count(self) -> int:
        """Number of complete events forwarded."""
        return self._splitter.events

    @property
    def last_event(self) -> bytes:
        """Last complete event."""
        return self._splitter.last

    def prepare_resume(self) -> None:
        """Drop a partial event before another engine resumes the stream."""
        self._splitter.drop_partial()

    def forward(
        self,
        tracked: _tracked_target.TrackedTarget,
        answer: _sender.AnswerStarted,
        meter: _meter.LoadMeter,
    ) -> _messages.Outcome:
        """Forward an answer until it ends or breaks; return its outcome."""
        if answer.head.status >= 300:
            return self._forward_failure(tracked, answer)

        events_before = self.event_count

        def read() -> None:
            while piece := answer.channel.read_piece(self._read_deadline()):
                self._forward_piece(tracked, answer, meter, piece)
            self._check_end(answer, self.event_count - events_before)

        failure = _sender.read_or_close(answer.channel, read)
        if failure is not None:
            return failure
        self._finish(tracked, answer)
        return _messages.Answered(answer.head)

    def _check_end(
        self, answer: _sender.AnswerStarted, event_count: int
    ) -> None:
        """Raise :class:`BrokenError` if an answer did not end in order.

        An engine that breaks off may close its connection like one that has
        finished, so the end of the message alone proves nothing.
        ``event_count`` is the number of events in this answer.
        """
        if self._splitter.in_event:
            raise _channel.BrokenError("the answer ended inside an event")
        if answer.head.framing is _messages.Framing.CLOSE and not event_count:
            raise _channel.BrokenError("the connection ended without an event")

    def _forward_piece(
        self,
        tracked: _tracked_target.TrackedTarget,
        answer: _sender.AnswerStarted,
        meter: _meter.LoadMeter,
        piece: bytes,
    ) -> None:
        events_before = self.event_count
        data = self._splitter.feed(piece)
        if not data:
            return
        if self.event_count > events_before:
            self._job.events = self.event_count
            now = self._clock.monotonic()
            meter.mark_prompt_processed(now)
            if not self.first_event_at:
                self._on_begin(tracked)
            self._record_event(now)
        self._send_head(answer)
        self._job.conn.write(data)

    def _record_event(self, now: float) -> None:
        if self.first_event_at:
            pause = now - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        else:
            self.first_event_at = now
        self._last_event_at = now

    def _send_head(self, answer: _sender.AnswerStarted) -> None:
        """Send the head, unless that of an earlier engine was sent."""
        conn = self._job.conn
        if not conn.started:
            fields = _plain_forwarder.without_content_length(
                answer.head.headers
            )
            conn.start(answer.head.status, fields)

    def _read_deadline(self) -> float:
        """Return the monotonic time by which the next piece must arrive.

        ``MAX_SILENCE_S`` applies only to a stream that can be resumed and has
        had an event; others are read until the deadline.
        """
        job = self._job
        if not job.attempts.idempotent or not self.event_count:
            return job.deadline
        return min(job.deadline, self._clock.monotonic() + MAX_SILENCE_S)

    def _forward_failure(
        self,
        tracked: _tracked_target.TrackedTarget,
        answer: _sender.AnswerStarted,
    ) -> _messages.Outcome:
        """Forward an engine's error answer, unless events were forwarded."""
        outcome = self._sender.read_body(answer, tracked, self._job.deadline)
        if not isinstance(outcome, _messages.Answered):
            return outcome
        if self._job.conn.started:
            return _messages.Unknown(f"status {outcome.head.status}")
        fields = _plain_forwarder.without_content_length(outcome.head.headers)
        self._job.conn.answer(outcome.head.status, fields, outcome.body)
        return outcome

    def _finish(
        self,
        tracked: _tracked_target.TrackedTarget,
        answer: _sender.AnswerStarted,
    ) -> None:
        conn = self._job.conn
        self._send_head(answer)
        rest = self._splitter.rest()
        if rest:
            conn.write(rest)
        conn.end()
        self._sender.release_channel(tracked, answer.channel)
        tracked.record_answer()
