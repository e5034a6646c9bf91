"""One path of a stream: through one peer at a time."""

import gevent

from agatewing.gateway import _context
from agatewing.gateway import _detour
from agatewing.gateway import _event_reader
from agatewing.gateway import _messages
from agatewing.gateway import _race
from agatewing.gateway import _relay
from agatewing.gateway import _send_turn
from agatewing.gateway import _stream_engines
from agatewing.gateway import _stream_path

#: Share of the time for which the caller waits for an event after which a
#: peer counts as silent.
SILENT_SHARE = 0.5


class StreamDetour:
    """Hands a stream's request on; retries as long as it is the only path."""

    __slots__ = (
        "_ctx",
        "_job",
        "_engines",
        "_relay",
        "_turn",
        "_detour",
        "_begun",
        "_reader",
        "_failure",
        "_closed",
        "race",
        "silent_at",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        engines: _stream_engines.StreamEngines,
        relay: _relay.EventRelay,
        turn: _send_turn.SendTurn,
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._engines = engines
        self._relay = relay
        self._turn = turn
        self._detour = _detour.Detour(ctx, job, self._others)
        # Present answer; ``None`` before its head.
        self._begun: _detour.Begun | None = None
        # Reads it; ``None`` before its head.
        self._reader: _event_reader.EventReader | None = None
        # Failed outcome that is not handled yet.
        self._failure: _messages.Unknown | _messages.TimedOut | None = None
        self._closed = False
        #: Race that it takes part in; ``None`` if it is the only path.
        self.race: _race.Race[_stream_path.StreamWay] | None = None
        #: Monotonic time at which it counts as silent, in seconds.
        self.silent_at = _race.NEVER

    @property
    def source(self) -> _messages.AnswerSource:
        """Where the present answer comes from."""
        if self._begun is None:
            raise AssertionError("a piece comes from a peer")
        return self._begun.source

    @property
    def prefilled_by(self) -> str:
        """Empty: only the peer knows the engine that prefilled the prompt."""
        return ""

    @property
    def links_back(self) -> bool:
        """Whether it ended because this instance reaches the targets."""
        return self._detour.links_back

    @property
    def uncounted_targets(self) -> int:
        """Number of targets that may have the request uncounted."""
        if not self._detour.peer or self._detour.counted:
            return 0
        return self._detour.targets

    @property
    def failed(self) -> bool:
        """Whether the present answer failed."""
        return self._failure is not None

    def record_prefix(self) -> None:
        """Do nothing: the peer tells where prefix blocks are cached."""

    def next(self) -> _relay.Piece:
        """Return the next part of the stream that holds an event or its end.

        Raises :class:`GatewayRefusedError` if it fails while another path is
        open, or if no further send is allowed.
        """
        return _stream_path.next_piece(self)

    def advance(self) -> _relay.Piece | None:
        """Take one step; return what it brought, if anything."""
        if self._failure is not None:
            self._handle_failure(self._failure)
        elif self._reader is not None:
            return self.read(_race.NEVER)
        else:
            return self._begin()
        return None

    def read(self, max_silence_s: float) -> _relay.Piece | None:
        """Return the next part of the present answer.

        Returns ``None`` if it failed, or if nothing came for
        ``max_silence_s``; :meth:`next` goes on in both cases.
        """
        reader = self._reader
        if reader is None:
            raise AssertionError("read() needs an answer; call next()")
        match reader.read(max_silence_s, self._job.deadline):
            case _event_reader.Silent(since=since):
                self.silent_at = since
                return None
            case _relay.Piece() as piece:
                if piece.events:
                    _context.record_begun(self._ctx, self._job)
                    self._expect(_race.NEVER)
                return piece
            case failure:
                self._failure = failure
                return None

    def _begin(self) -> _relay.Piece | None:
        """Hand the request on; return the answer if a target failed it."""
        if self._turn.taken_by_other(self):
            # This path awaits no peer, so it does not keep another one from
            # being tried.
            self._expect(0.0)
        self._turn.acquire(self)
        if self._closed:
            raise gevent.GreenletExit
        if self._job.attempts.idempotent:
            now = self._ctx.clock.monotonic()
            patience_s = self._job.route.patience_s
            self._expect(now + patience_s * SILENT_SHARE)
        begun = self._detour.begin(self._resume_point())
        if begun.head.status >= 300:
            return self._read_failure(begun)
        self._begun = begun
        self._reader = _event_reader.EventReader(
            begun.head,
            begun.channel,
            self._ctx.clock,
            self._ctx.sender.event_room,
            keeps_comments=self._others,
        )
        return None

    def _resume_point(self) -> _detour.ResumePoint:
        software = self._engines.profile.software
        return _detour.ResumePoint(software, self._relay.last_event_id)

    def _read_failure(self, begun: _detour.Begun) -> _relay.Piece | None:
        """Return a target's error answer, unless the stream may go on."""
        outcome = self._ctx.sender.read_whole(
            begun.head, begun.channel, self._job.deadline
        )
        if not isinstance(outcome, _messages.Answered):
            begun.channel.close()
            self._failure = outcome
            return None
        begun.channel.release()
        others = self._job.attempts.idempotent and self._others()
        if self._relay.head_sent or others:
            self._failure = _messages.Unknown(f"status {outcome.head.status}")
            return None
        self._begun = begun
        return _relay.Piece(outcome.head, outcome.body, ended=True)

    def _handle_failure(
        self, outcome: _messages.Unknown | _messages.TimedOut
    ) -> None:
        """Record a failure and prepare the next send.

        Raises :class:`GatewayRefusedError` if no further send is allowed or
        another path is open.
        """
        self._failure = self._reader = None
        self._close_channel()
        self._expect(_race.NEVER)
        self._detour.fail(outcome)
        self._turn.release(self)
        if not self._relay.may_resume:
            raise _context.give_up_error(
                self._job, "the last event has no id to resume after"
            )

    def _close_channel(self) -> None:
        begun, self._begun = self._begun, None
        if begun is not None:
            begun.channel.close()

    def _expect(self, silent_at: float) -> None:
        """Set when the path counts as silent."""
        self.silent_at = silent_at
        if self.race is not None:
            self.race.expect(silent_at)

    def _others(self) -> bool:
        """Return whether another path may still deliver."""
        return self.race is not None and self.race.others(self)

    def mark_silent(self) -> None:
        """Let another path try while this one is silent."""
        self._detour.mark_silent()
        self._turn.release(self)

    def record_loss(self) -> None:
        """Do nothing: a peer that is slow is no worse for other requests."""

    def finish(self) -> None:
        """Keep the connection after an answer that was read to its end."""
        self._reader = None
        if self._begun is not None:
            self._begun.channel.release()

    def close(self) -> None:
        """Close the connection; may be repeated."""
        self._closed = True
        if self._reader is not None:
            self._reader.close()
        self._close_channel()
        self._detour.close()
        self._expect(_race.NEVER)
        self._turn.release(self)
