"""Sends a request to one target and classifies the outcome."""

import collections.abc
import contextlib
import dataclasses
import typing

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _answer_room
from agatewing.gateway import _channel
from agatewing.gateway import _contracts
from agatewing.gateway import _ended_targets
from agatewing.gateway import _messages
from agatewing.gateway import _ports
from agatewing.gateway import _request_limits
from agatewing.gateway import _tracked_target
from agatewing import net

#: Largest size of all answers together that are held in memory, in bytes,
#: however much memory the process has.
MAX_BUFFERED_BYTES = 48_000_000
#: Largest size of the events of all streams together that callers do not
#: have yet, in bytes, however much memory the process has: a quarter of that
#: of answers, as sound events are short.
MAX_UNDELIVERED_BYTES = 12_000_000
#: Largest answer that needs no room, in bytes; a connection takes more than
#: that anyway.
SMALL_ANSWER_BYTES = 8_192
#: Timeout for reading the rest of a rejection, in seconds.
REJECTION_READ_S = 0.2
_NO_REQUESTS = "the target takes no requests; it leaves or backs off"


class BodyChannel(typing.Protocol):
    """Connection from which the body of an answer is read."""

    def read_piece(self, deadline: float) -> bytes:
        """Return the next piece of the body; ``b""`` at its end."""

    @property
    def silent_s(self) -> float:
        """Time since the last byte, in seconds."""

    def close(self) -> None:
        """Close the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The head of an answer was read; its body follows on the channel."""

    #: Head of the answer.
    head: _messages.AnswerHead
    #: Connection that carries the body.
    channel: _channel.Channel


SendResult: typing.TypeAlias = (
    AnswerStarted
    | _messages.NotSent
    | _messages.NotRun
    | _messages.Unknown
    | _messages.TimedOut
)


class Sender:
    """Sends requests to targets over pooled connections."""

    __slots__ = (
        "_clock",
        "_dialect",
        "_limits",
        "_room",
        "ended_targets",
        "event_room",
        "request_count",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        dialect: _ports.Dialect,
        limits: _request_limits.RequestLimits,
        answer_bytes: int = MAX_BUFFERED_BYTES,
        event_bytes: int = MAX_UNDELIVERED_BYTES,
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._limits = limits
        self._room = _answer_room.AnswerRoom(
            clock, min(answer_bytes, MAX_BUFFERED_BYTES)
        )
        #: Memory for events that callers do not have yet.
        self.event_room = net.BufferRoom(
            min(event_bytes, MAX_UNDELIVERED_BYTES)
        )
        #: Requests at targets whose process has ended.
        self.ended_targets = _ended_targets.EndedTargets(clock)
        #: Number of sends that ``send_request`` began on an open connection,
        #: failed ones included.
        self.request_count = 0

    @property
    def _buffered_bytes(self) -> int:
        """Size of all answers that are held in memory, in bytes."""
        return self._room.held

    @property
    def answers_wait(self) -> bool:
        """Whether an answer waits for room that others hold."""
        return self._room.pressed

    def delivering(self, size: int) -> contextlib.AbstractContextManager[None]:
        """Hold room for an answer of ``size`` bytes while a caller reads it.

        It has been read in whole, so that it needs no more.
        """
        if size <= SMALL_ANSWER_BYTES:
            return contextlib.nullcontext()
        return self._room.delivering(size)

    def keep(self, size: int) -> _answer_room.Share | None:
        """Return room for an answer of ``size`` bytes that is kept for later.

        ``None`` if there is none. It has to be given back by :meth:`drop`.
        """
        return self._room.keep(0 if size <= SMALL_ANSWER_BYTES else size)

    def drop(self, share: _answer_room.Share) -> None:
        """Give the room of an answer that was kept back."""
        self._room.close(share)

    @staticmethod
    def reuse(idempotent: bool) -> decisions.Reuse:
        """Return which idle connections may carry a request."""
        return decisions.Reuse.AGAIN if idempotent else decisions.Reuse.ONCE

    def send_request(
        self,
        tracked: _tracked_target.TrackedTarget,
        req: _messages.CallerRequest,
        options: _messages.SendOptions,
        deadline: float,
        reuse: decisions.Reuse,
    ) -> SendResult:
        """Send a request and return once the head of its answer was read.

        ``reuse`` says which idle connections may carry it.
        """
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return _messages.NotSent("no time is left")
        if not tracked.takes_requests(self._clock.monotonic()):
            return _messages.NotSent(_NO_REQUESTS)
        try:
            tracked.channels.close_refused(req.id)
            channel = tracked.channels.acquire(reuse, remaining_s)
        except _channel.ConnectError as exc:
            tracked.record_failure()
            if isinstance(exc, _channel.ConnectRefusedError):
                self._record_refusal(tracked)
            return _messages.NotSent(str(exc), round(exc.awaited_s, 3))
        if not tracked.takes_requests(self._clock.monotonic()):
            # It said so while the connection was opened.
            channel.close()
            return _messages.NotSent(_NO_REQUESTS)
        try:
            return self._exchange(tracked, channel, req, options, deadline)
        except BaseException:
            # If the caller disconnects or the greenlet is killed, closing
            # the connection cancels the request at the target.
            channel.close()
            raise

    def _record_refusal(self, tracked: _tracked_target.TrackedTarget) -> None:
        """End the requests at a target that listens no more.

        One that leaves may close its port before it has answered them, and a
        lost path may look like a closed port.
        """
        if not tracked.active:
            return
        self.ended_targets.record_end(
            tracked.target.key,
            "it refuses connections",
            lambda: (
                tracked.active
                and not tracked.link.lost
                and _accepts_connections(tracked.address, self._clock) is False
            ),
        )

    def record_gone(
        self,
        target: _contracts.Target,
        successor: _contracts.Target | None,
    ) -> None:
        """End the requests at an active target that is gone.

        Its entry has expired, or ``successor`` has replaced it. One that only
        lost its way to the log still accepts connections.
        """
        if successor is not None and successor.born_ms > target.born_ms:
            self.ended_targets.record_end(target.key, "it was replaced")
            return
        self.ended_targets.record_end(
            target.key,
            "its entry expired",
            lambda: _accepts_connections(target.address, self._clock) is False,
        )

    def _exchange(
        self,
        tracked: _tracked_target.TrackedTarget,
        channel: _channel.Channel,
        req: _messages.CallerRequest,
        options: _messages.SendOptions,
        deadline: float,
    ) -> SendResult:
        outgoing = self._dialect.target_request(req, options)
        self.request_count += 1
        sent_at = self._clock.monotonic()
        self._limits.record_send(tracked.target)
        try:
            channel.send(outgoing, deadline)
            self.ended_targets.add(tracked.target.key, channel)
            head = self._matching_head(channel, req, deadline)
        except _channel.BrokenError as exc:
            channel.close()
            # A reused connection was usually closed by the target while it
            # was idle.
            if channel.fresh:
                tracked.record_failure()
            return _messages.Unknown(
                str(exc),
                stale=not channel.fresh,
                silent_s=channel.silent_s,
            )
        except _channel.DeadlineExceededError as exc:
            channel.close()
            return _messages.TimedOut(str(exc), channel.silent_s)
        self._observe(tracked, head, sent_at)
        return self._classify(
            tracked, channel, head, req, options.prefill_only
        )

    def _observe(
        self,
        tracked: _tracked_target.TrackedTarget,
        head: _messages.AnswerHead,
        sent_at: float,
    ) -> None:
        """Record what a target says about itself in an answer.

        ``sent_at`` is the monotonic time of its request, in seconds.
        """
        if self._dialect.address_reassigned(head):
            return
        notice = self._dialect.notice(head)
        self._limits.observe(tracked.target, notice.limit, sent_at)
        if notice.leaving:
            tracked.record_leaving()
        if notice.back_off_s is not None:
            tracked.record_back_off(notice.back_off_s)

    def _matching_head(
        self,
        channel: _channel.Channel,
        req: _messages.CallerRequest,
        deadline: float,
    ) -> _messages.AnswerHead:
        """Return the head of this request's answer; skip stray answers.

        An answer that names no request is not trusted on a connection whose
        other answers did: it may be a copy of an earlier one.
        """
        for _ in range(_channel.MAX_STRAY_ANSWERS + 1):
            head = channel.read_head(deadline)
            if self._dialect.echoes(head, req):
                channel.names_requests = True
                return head
            if self._dialect.belongs_to(head, req):
                if channel.names_requests:
                    raise _channel.BrokenError("an answer without id came")
                return head
            channel.skip_answer(deadline)
        raise _channel.BrokenError("only answers to other requests came")

    def _classify(
        self,
        tracked: _tracked_target.TrackedTarget,
        channel: _channel.Channel,
        head: _messages.AnswerHead,
        req: _messages.CallerRequest,
        prefill_only: bool,
    ) -> SendResult:
        """Return the outcome that the head of an answer shows.

        A successful answer must bear the target's signature, unless only the
        prompt was to be processed. A rejection without the request's id proves
        nothing on a connection that was used before: it may be the copy of an
        earlier one.
        """
        if self._dialect.proves_not_run(head):
            if not channel.fresh and not self._dialect.echoes(head, req):
                channel.close()
                return _messages.Unknown(
                    "a rejection without the request's id"
                )
            channel.refused.add(req.id)
            self._read_rejection(tracked, channel)
            reassigned = self._dialect.address_reassigned(head)
            if reassigned:
                tracked.record_failure()
            return _messages.NotRun(f"status {head.status}", reassigned)
        signed = prefill_only or self._dialect.is_signed(head)
        if head.status < 300 and not signed:
            channel.close()
            return _messages.Unknown("the answer bears no signature")
        return AnswerStarted(head, channel)

    def _read_rejection(
        self, tracked: _tracked_target.TrackedTarget, channel: _channel.Channel
    ) -> None:
        """Read the rest of a rejection, so that its connection is reusable."""
        deadline = self._clock.monotonic() + REJECTION_READ_S
        try:
            while channel.read_piece(deadline):
                pass
        except (_channel.BrokenError, _channel.DeadlineExceededError):
            channel.close()
            return
        self.release_channel(tracked, channel)

    def read_body(
        self,
        answer: AnswerStarted,
        tracked: _tracked_target.TrackedTarget,
        deadline: float,
    ) -> _messages.Answered | _messages.Unknown | _messages.TimedOut:
        """Read the whole body of an answer whose head was read.

        Reading waits while other answers leave no room for this one, unless
        it is small.
        """
        channel = answer.channel
        outcome = self.read_whole(answer.head, channel, deadline)
        if isinstance(outcome, _messages.Answered):
            self.release_channel(tracked, channel)
        return outcome

    def read_whole(
        self,
        head: _messages.AnswerHead,
        channel: BodyChannel,
        deadline: float,
    ) -> _messages.Answered | _messages.Unknown | _messages.TimedOut:
        """Read the whole body of an answer; keep the connection open.

        If reading fails, the connection is closed.
        """
        chunks: list[bytes] = []
        share = self._room.open(_body_bytes(head))
        size = 0

        def read() -> None:
            nonlocal size
            while piece := channel.read_piece(deadline):
                size += len(piece)
                if size > SMALL_ANSWER_BYTES:
                    self._room.grow(share, size - share.held, deadline)
                chunks.append(piece)

        try:
            failure = read_or_close(channel, read)
        finally:
            self._room.close(share)
        if failure is not None:
            return failure
        return _messages.Answered(head, b"".join(chunks))

    def release_channel(
        self, tracked: _tracked_target.TrackedTarget, channel: _channel.Channel
    ) -> None:
        """Return a connection to its pool; its answer must be read in full."""
        self.ended_targets.discard(tracked.target.key, channel)
        tracked.channels.release(channel)

    def call(
        self,
        tracked: _tracked_target.TrackedTarget,
        outgoing: _messages.Outgoing,
        timeout_s: float,
    ) -> None:
        """Make a call and ignore its answer.

        Raises the errors of :mod:`_channel` if no answer comes.
        """
        now = self._clock.monotonic()
        if now < tracked.back_off_until:
            raise _channel.BrokenError(_NO_REQUESTS)
        deadline = now + timeout_s
        channel = tracked.channels.acquire(decisions.Reuse.AGAIN, timeout_s)
        self._limits.record_send(tracked.target)
        sent_at = self._clock.monotonic()
        try:
            head = _round_trip(channel, outgoing, deadline)
        except BaseException:
            channel.close()
            raise
        self._observe(tracked, head, sent_at)
        self.release_channel(tracked, channel)

    def send_command(
        self,
        tracked: _tracked_target.TrackedTarget,
        outgoing: _messages.Outgoing,
        timeout_s: float,
        may_send: collections.abc.Callable[[], bool],
    ) -> int:
        """Send a command over a new connection; return its HTTP status.

        ``may_send`` is called once the connection is open; the command is
        sent only if it returns ``True``. Raises :class:`BrokenError` if it
        returns ``False``, and the errors of :mod:`_channel` if the connection
        or the call fails. On every failure the connection is reset, not just
        closed, so that bytes of the command still in the send buffer are
        never delivered.
        """
        deadline = self._clock.monotonic() + timeout_s
        channel = tracked.channels.acquire(decisions.Reuse.NEVER, timeout_s)
        try:
            if not may_send():
                raise _channel.BrokenError(
                    "the right to send the command has ended"
                )
            if not tracked.takes_requests(self._clock.monotonic()):
                raise _channel.BrokenError(_NO_REQUESTS)
            self._limits.record_send(tracked.target)
            sent_at = self._clock.monotonic()
            head = _round_trip(channel, outgoing, deadline)
        except BaseException:
            channel.reset()
            raise
        self._observe(tracked, head, sent_at)
        self.release_channel(tracked, channel)
        return head.status


def _accepts_connections(address: str, clock: _clock.Clock) -> bool | None:
    """Return whether a process listens at an address.

    ``None`` if nothing answers, so that the path may be lost.
    """
    channel = _channel.Channel(address, clock)
    try:
        channel.connect(_ended_targets.QUIET_S)
    except _channel.ConnectRefusedError:
        return False
    except _channel.ConnectError:
        return None
    channel.close()
    return True


def _body_bytes(head: _messages.AnswerHead) -> int | None:
    """Return the length of an answer's body; ``None`` if it is not known."""
    if head.framing is not _messages.Framing.LENGTH:
        return None
    length = _messages.header(head.headers, b"content-length")
    return int(length) if length is not None else None


def read_or_close(
    channel: BodyChannel, read: collections.abc.Callable[[], None]
) -> _messages.Unknown | _messages.TimedOut | None:
    """Call ``read`` to read an answer; return its failure, if any.

    If reading fails, the connection is closed, which also cancels the request
    at the target.
    """
    try:
        read()
    except _channel.BrokenError as exc:
        channel.close()
        return _messages.Unknown(str(exc), silent_s=channel.silent_s)
    except _channel.DeadlineExceededError as exc:
        channel.close()
        return _messages.TimedOut(str(exc), channel.silent_s)
    except BaseException:
        channel.close()
        raise
    return None


def _round_trip(
    channel: _channel.Channel, outgoing: _messages.Outgoing, deadline: float
) -> _messages.AnswerHead:
    """Send a request and read its whole answer; return its head."""
    channel.send(outgoing, deadline)
    head = channel.read_head(deadline)
    while channel.read_piece(deadline):
        pass
    return head
