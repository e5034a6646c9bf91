"""Checks whether this instance has read every intent that may have run.

A refusal may say ``not-run`` only if no attempt with the same key ran on
any instance. An attempt runs only after its instance has read its intent
back from the log. So while the log gives no answer, it is enough that this
instance has read as far as every process that was alive at or after the time
when this instance last read to the end of the log. An instance runs such
calls only after it has seen itself in the platform's list, so a fresh read
of the list shows every instance that may have joined since.
"""

import collections.abc

import gevent

from agatewing import _clock
from agatewing import _exceptions
from agatewing import platform_services
from agatewing import replica

#: Timeout for an answer of the log, the instance list or a peer, in seconds.
ANSWER_TIMEOUT_S = 0.4
#: Margin before the last read to the end of the log, in seconds: a process
#: last seen alive within it is asked as well.
ALIVE_MARGIN_S = 2.0

#: Incarnation of a listed instance from which no message has arrived.
UNKNOWN_INCARNATION = "0"

ReadInstanceList = collections.abc.Callable[[], bool]
ListProcesses = collections.abc.Callable[[], collections.abc.Iterable[str]]
AskPosition = collections.abc.Callable[[str], int | None]


class CompletenessCheck:
    """Checks that this instance's replay of the calls stream is complete."""

    __slots__ = (
        "_clock",
        "_log",
        "_follower",
        "_ask_position",
        "_read_list",
        "_processes",
        "_last_alive_at",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        log: platform_services.LogClient,
        follower: replica.Follower,
        ask: AskPosition,
        read_list: ReadInstanceList,
        processes: ListProcesses,
    ) -> None:
        self._clock = clock
        self._log = log
        self._follower = follower
        self._ask_position = ask
        self._read_list = read_list
        self._processes = processes
        self._last_alive_at: dict[str, float] = {}

    def record_alive_processes(self) -> None:
        """Record the processes that may be running calls now.

        Listed processes that the failure detector considers dead are
        included, since they may still be running. Processes that were last
        alive more than ``ALIVE_MARGIN_S`` before the last read to the end
        of the log are dropped.
        """
        now = self._clock.monotonic()
        for process in self._processes():
            self._last_alive_at[process] = now
            name, _, incarnation = process.rpartition("/")
            if incarnation != UNKNOWN_INCARNATION:
                self._last_alive_at.pop(f"{name}/{UNKNOWN_INCARNATION}", None)
        oldest_at = self._follower.current_at - ALIVE_MARGIN_S
        for process, at in list(self._last_alive_at.items()):
            if at < oldest_at:
                del self._last_alive_at[process]

    def is_complete(self) -> bool:
        """Return whether every call that can have run is known here."""
        if not self._follower.position:
            return False
        match self._has_read_to_end():
            case True:
                return True
            case False:
                return False
        return self._has_read_as_far_as_peers()

    def _has_read_to_end(self) -> bool | None:
        """Return whether this instance has read to the end of the log.

        Returns ``None`` if the log gives no answer.
        """
        follower = self._follower
        reading = gevent.spawn(self._read_end, follower.position)
        if not self._clock.wait(reading, ANSWER_TIMEOUT_S):
            reading.kill(block=False)
            return None
        end = reading.value
        if end is None:
            return None
        if end <= follower.position:
            return True
        return follower.wait_for(end - 1, ANSWER_TIMEOUT_S)

    def _read_end(self, position: int) -> int | None:
        try:
            page = self._log.read(self._follower.stream, position, 0.0)
        except _exceptions.LogUnavailableError:
            return None
        return page.next

    def _has_read_as_far_as_peers(self) -> bool:
        """Return whether no process that may have run calls has read further.

        Returns ``False`` if the list or any process gives no answer.
        """
        reading = gevent.spawn(self._read_list)
        if (
            not self._clock.wait(reading, ANSWER_TIMEOUT_S)
            or not reading.value
        ):
            reading.kill(block=False)
            return False
        self.record_alive_processes()
        oldest_at = self._follower.current_at - ALIVE_MARGIN_S
        processes = [
            p for p, at in self._last_alive_at.items() if at >= oldest_at
        ]
        requests = [
            gevent.spawn(self._ask_position, process) for process in processes
        ]
        deadline = self._clock.monotonic() + ANSWER_TIMEOUT_S
        for greenlet in requests:
            self._clock.wait(greenlet, deadline - self._clock.monotonic())
            position = greenlet.value if greenlet.ready() else None
            if position is None or position > self._follower.position:
                gevent.killall(requests, block=False)
                return False
        return True
