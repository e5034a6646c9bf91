"""Turns of connections: how much input one has processed at a stretch."""

import collections

import gevent
import gevent.event

#: Largest number of steps of one turn. A step is the processing of one part
#: of the input, such as a chunk or an event, and takes up to 0.1 ms.
MAX_STEPS = 32
#: Bytes that count as another step, however few parts they hold.
BYTES_PER_STEP = 2_048


class _TurnQueue:
    """Connections whose turn is over; one goes on after each poll.

    However many they are, all other work waits for one turn at most.
    """

    __slots__ = ("_waiting", "_greenlet", "ended")

    def __init__(self) -> None:
        #: Number of turns that have ended.
        self.ended = 0
        self._waiting: collections.deque[gevent.event.Event] = (
            collections.deque()
        )
        self._greenlet: gevent.Greenlet | None = None

    def wait(self) -> None:
        """Wait behind the others for another turn."""
        self.ended += 1
        turn = gevent.event.Event()
        self._waiting.append(turn)
        if not self._greenlet:
            self._greenlet = gevent.spawn(self._run)
        turn.wait()

    def _run(self) -> None:
        while self._waiting:
            _await_poll()
            self._waiting.popleft().set()


def _await_poll() -> None:
    """Wait until the event loop has polled for input and due timers.

    It runs up to fifty greenlets that call ``gevent.sleep(0)`` before it
    polls.
    """
    hub = gevent.get_hub()
    with hub.loop.timer(0) as timer:
        hub.wait(timer)


_queue = _TurnQueue()


def turns_ended() -> int:
    """Return how often a connection with more input has let others go on."""
    return _queue.ended


class Turn:
    """Counts the steps of one connection; ends its turn after the last.

    A connection that has waited for input begins another turn.
    """

    __slots__ = ("_steps", "_poll")

    def __init__(self) -> None:
        self._steps = 0
        # Number of polls of the event loop before the turn.
        self._poll = -1

    def spend(self, steps: int = 1, size: int = 0) -> bool:
        """Count steps, and those of ``size`` bytes.

        If the turn is over, waits for the next one, while everything else is
        served, and returns ``True``.
        """
        poll = gevent.get_hub().loop.iteration
        if poll != self._poll:
            self._poll, self._steps = poll, 0
        self._steps += steps + size // BYTES_PER_STEP
        if self._steps < MAX_STEPS:
            return False
        _queue.wait()
        self._poll, self._steps = gevent.get_hub().loop.iteration, 0
        return True
