"""Sends a request to one target and says truthfully what came of it."""

import collections.abc
import dataclasses
import typing

from agatewing import _clock
from agatewing.gateway import _channel
from agatewing.gateway import _machine
from agatewing.gateway import _messages
from agatewing.gateway import _ports

#: Longest idle time of a connection that may carry a request which must
#: not run twice, in seconds: a target that closed it leaves no proof.
ONCE_IDLE_S = 0.5
#: The same for requests that may be sent again, in seconds.
REPEAT_IDLE_S = 10.0
#: Largest whole answer kept in memory, in bytes.
MAX_ANSWER_BYTES = 16_000_000
#: Time for reading the rest of a rejection, in seconds.
REJECTION_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """An answer has begun; its body follows on the channel."""

    #: Head of the answer.
    head: _messages.AnswerHead
    #: Connection that carries the body.
    channel: _channel.Channel


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """When an answer counts as lost before its deadline."""

    #: Monotonic time.
    at: float
    #: Asked then; without a repeat left, the answer is awaited on.
    may_leave: collections.abc.Callable[[], bool]


Beginning: typing.TypeAlias = (
    Begun
    | _messages.NotSent
    | _messages.NotRun
    | _messages.Unknown
    | _messages.TimedOut
)


class Sender:
    """Sends requests over kept connections."""

    __slots__ = ("_clock", "_dialect", "sent")

    def __init__(self, clock: _clock.Clock, dialect: _ports.Dialect) -> None:
        self._clock = clock
        self._dialect = dialect
        #: Requests sent to targets.
        self.sent = 0

    @staticmethod
    def most_idle_s(repeatable: bool) -> float:
        """Return how long a connection may have idled for a request."""
        return REPEAT_IDLE_S if repeatable else ONCE_IDLE_S

    def begin(
        self,
        machine: _machine.Machine,
        req: _messages.CallerRequest,
        facts: _messages.SendFacts,
        deadline: float,
        most_idle_s: float,
        stall: Stall | None = None,
    ) -> Beginning:
        """Send and return once the head of the answer is here.

        A connection that idled for longer than ``most_idle_s`` is not used.
        With ``stall`` the answer is given up before the deadline if it may.
        """
        left = deadline - self._clock.monotonic()
        if left <= 0:
            return _messages.NotSent("no time is left")
        try:
            channel = machine.channels.take(most_idle_s, left)
        except _channel.ConnectError as exc:
            machine.note_failure()
            return _messages.NotSent(str(exc))
        if not machine.active:
            # It began to leave while the connection came about.
            channel.close()
            return _messages.NotSent("the target is leaving")
        try:
            return self._exchange(
                machine, channel, req, facts, deadline, stall
            )
        except BaseException:
            # A caller that leaves, or a kill, ends the work at the target.
            channel.close()
            raise

    def _exchange(
        self,
        machine: _machine.Machine,
        channel: _channel.Channel,
        req: _messages.CallerRequest,
        facts: _messages.SendFacts,
        deadline: float,
        stall: Stall | None,
    ) -> Beginning:
        outgoing = self._dialect.outgoing(req, facts)
        self.sent += 1
        try:
            channel.send(outgoing, deadline)
            head = self._awaited_head(channel, req, deadline, stall)
        except _channel.BrokenError as exc:
            channel.close()
            if channel.fresh:
                machine.note_failure()
            return _messages.Unknown(str(exc), stale=not channel.fresh)
        except _channel.OverdueError as exc:
            channel.close()
            return _messages.TimedOut(str(exc))
        return self._judge(machine, channel, head, facts.prefill_only)

    def _awaited_head(
        self,
        channel: _channel.Channel,
        req: _messages.CallerRequest,
        deadline: float,
        stall: Stall | None,
    ) -> _messages.AnswerHead:
        if stall is None or stall.at >= deadline:
            return self._own_head(channel, req, deadline)
        try:
            return self._own_head(channel, req, stall.at)
        except _channel.OverdueError:
            if stall.may_leave():
                raise
        return self._own_head(channel, req, deadline)

    def _own_head(
        self,
        channel: _channel.Channel,
        req: _messages.CallerRequest,
        deadline: float,
    ) -> _messages.AnswerHead:
        """Return the head of this request's answer, past stray ones."""
        for _ in range(_channel.MAX_STRAY_ANSWERS + 1):
            head = channel.read_head(deadline)
            if self._dialect.answers(head, req):
                return head
            channel.skip_answer(deadline)
        raise _channel.BrokenError("only answers to other requests came")

    def _judge(
        self,
        machine: _machine.Machine,
        channel: _channel.Channel,
        head: _messages.AnswerHead,
        prefill_only: bool,
    ) -> Beginning:
        if self._dialect.proves_not_run(head):
            self._read_rejection(machine, channel)
            moved = self._dialect.moved(head)
            if moved:
                machine.note_failure()
            return _messages.NotRun(f"status {head.status}", moved)
        signed = prefill_only or self._dialect.vouched(head)
        if head.status < 300 and not signed:
            channel.close()
            return _messages.Unknown("the answer bears no signature")
        return Begun(head, channel)

    def _read_rejection(
        self, machine: _machine.Machine, channel: _channel.Channel
    ) -> None:
        """Read the rest, so that the connection can be used again."""
        deadline = self._clock.monotonic() + REJECTION_S
        try:
            while channel.read_piece(deadline):
                pass
        except (_channel.BrokenError, _channel.OverdueError):
            channel.close()
            return
        self.give_back(machine, channel)

    def read_body(
        self, begun: Begun, machine: _machine.Machine, deadline: float
    ) -> _messages.Answered | _messages.Unknown | _messages.TimedOut:
        """Read a whole body."""
        parts: list[bytes] = []
        channel = begun.channel

        def read() -> None:
            size = 0
            while piece := channel.read_piece(deadline):
                parts.append(piece)
                size += len(piece)
                if size > MAX_ANSWER_BYTES:
                    raise _channel.BrokenError("the answer is too large")

        failed = read_through(channel, read)
        if failed is not None:
            return failed
        self.give_back(machine, channel)
        return _messages.Answered(begun.head, b"".join(parts))

    def give_back(
        self, machine: _machine.Machine, channel: _channel.Channel
    ) -> None:
        """Keep a connection whose answer was read whole."""
        machine.channels.put(channel)

    def call(
        self,
        machine: _machine.Machine,
        outgoing: _messages.Outgoing,
        timeout_s: float,
    ) -> None:
        """Make a call whose answer does not matter."""
        deadline = self._clock.monotonic() + timeout_s
        channel = machine.channels.take(REPEAT_IDLE_S, timeout_s)
        try:
            _converse(channel, outgoing, deadline)
        except BaseException:
            channel.close()
            raise
        self.give_back(machine, channel)

    def command(
        self,
        machine: _machine.Machine,
        outgoing: _messages.Outgoing,
        timeout_s: float,
        may_send: collections.abc.Callable[[], bool],
    ) -> int:
        """Send a command over a connection of its own; return the status.

        ``may_send`` is asked once the connection stands. Nothing of the
        command arrives after the time is over.
        """
        deadline = self._clock.monotonic() + timeout_s
        channel = machine.channels.take(0.0, timeout_s)
        try:
            if not may_send():
                raise _channel.BrokenError("the right to send it is over")
            status = _converse(channel, outgoing, deadline)
        except BaseException:
            channel.reset()
            raise
        self.give_back(machine, channel)
        return status


def read_through(
    channel: _channel.Channel, read: collections.abc.Callable[[], None]
) -> _messages.Unknown | _messages.TimedOut | None:
    """Read an answer by ``read``; return what cut it short, if anything.

    A connection that was not read to its end is closed, which ends the
    work at the target too.
    """
    try:
        read()
    except _channel.BrokenError as exc:
        channel.close()
        return _messages.Unknown(str(exc))
    except _channel.OverdueError as exc:
        channel.close()
        return _messages.TimedOut(str(exc))
    except BaseException:
        channel.close()
        raise
    return None


def _converse(
    channel: _channel.Channel, outgoing: _messages.Outgoing, deadline: float
) -> int:
    """Send a call and read its answer; return the status."""
    channel.send(outgoing, deadline)
    head = channel.read_head(deadline)
    while channel.read_piece(deadline):
        pass
    return head.status
