"""Passes the events of a stream on, from one engine or several."""

from agatewing import _clock
from agatewing.gateway import _context
from agatewing.gateway import _events
from agatewing.gateway import _machine
from agatewing.gateway import _messages
from agatewing.gateway import _meter
from agatewing.gateway import _plain
from agatewing.gateway import _sender

#: Silence after which a stream that may be resumed is taken to another
#: engine, in seconds; callers give it up after two.
SILENCE_S = 1.5


class EventRelay:
    """What a caller has been sent of one stream, and when."""

    __slots__ = (
        "_job",
        "_clock",
        "_sender",
        "_splitter",
        "_event_at",
        "first_at",
        "longest_pause_s",
    )

    def __init__(
        self,
        job: _context.Job,
        clock: _clock.Clock,
        sender: _sender.Sender,
    ) -> None:
        self._job = job
        self._clock = clock
        self._sender = sender
        self._splitter = _events.EventSplitter()
        self._event_at = 0.0
        #: Monotonic time of the first event; 0 before it.
        self.first_at = 0.0
        #: Longest time between two events, in seconds.
        self.longest_pause_s = 0.0

    @property
    def events(self) -> int:
        """Whole events passed on."""
        return self._splitter.events

    @property
    def last_event(self) -> bytes:
        """The last whole event."""
        return self._splitter.last

    def restart(self) -> None:
        """Make ready for another engine that goes on."""
        self._splitter.drop_partial()

    def pass_on(
        self,
        machine: _machine.Machine,
        begun: _sender.Begun,
        meter: _meter.WorkMeter,
    ) -> _messages.Outcome:
        """Pass an answer on until it ends or breaks."""
        if begun.head.status >= 300:
            return self._pass_failure_on(machine, begun)

        def read() -> None:
            while piece := begun.channel.read_piece(self._read_until()):
                self._pass_piece_on(begun, meter, piece)

        failed = _sender.read_through(begun.channel, read)
        if failed is not None:
            return failed
        self._finish(machine, begun)
        return _messages.Answered(begun.head)

    def _pass_piece_on(
        self, begun: _sender.Begun, meter: _meter.WorkMeter, piece: bytes
    ) -> None:
        whole = self._splitter.feed(piece)
        if not whole:
            return
        now = self._clock.monotonic()
        meter.processed(now)
        self._note_event(now)
        self._start(begun)
        self._job.conn.write(whole)

    def _note_event(self, now: float) -> None:
        if self.first_at:
            pause = now - self._event_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        else:
            self.first_at = now
        self._event_at = now

    def _start(self, begun: _sender.Begun) -> None:
        """Send the head unless an earlier engine's was sent."""
        conn = self._job.conn
        if not conn.started:
            fields = _plain.without_length(begun.head.headers)
            conn.start(begun.head.status, fields)

    def _read_until(self) -> float:
        """Return the time until which the next piece is waited for."""
        job = self._job
        if not job.attempts.idempotent or not self.events:
            return job.deadline
        return min(job.deadline, self._clock.monotonic() + SILENCE_S)

    def _pass_failure_on(
        self, machine: _machine.Machine, begun: _sender.Begun
    ) -> _messages.Outcome:
        """Pass a failure of the engine on, unless events went before."""
        outcome = self._sender.read_body(begun, machine, self._job.deadline)
        if not isinstance(outcome, _messages.Answered):
            return outcome
        if self._job.conn.started:
            return _messages.Unknown(f"status {outcome.head.status}")
        fields = _plain.without_length(outcome.head.headers)
        self._job.conn.answer(outcome.head.status, fields, outcome.body)
        return outcome

    def _finish(self, machine: _machine.Machine, begun: _sender.Begun) -> None:
        conn = self._job.conn
        self._start(begun)
        rest = self._splitter.rest()
        if rest:
            conn.write(rest)
        conn.end()
        self._sender.give_back(machine, begun.channel)
        machine.note_answer()
