"""Settles calls whose instance was lost before it told the outcome."""

import collections.abc
import random

from agatewing import _clock
from agatewing import replica
from agatewing import timeline

#: Time between two looks, in seconds.
PERIOD_S = 1.0
#: Time for which an instance must be dead, in seconds.
DEAD_FOR_S = 5.0
#: Calls settled in one look.
BATCH = 256
#: Time for which a settlement is offered to the log, in seconds.
PATIENCE_S = 10.0
#: Time that keys are kept beyond their window, in seconds.
KEEP_EXTRA_S = 120.0

IsGone = collections.abc.Callable[[str, float], bool]


class Reaper:
    """Records calls of lost instances as lost, never as not run."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_is_gone",
        "_random",
        "window_s",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.CallsState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        events: timeline.Timeline,
        is_gone: IsGone,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._is_gone = is_gone
        self._random = rng
        #: Age up to which keys are accepted, in seconds.
        self.window_s = 900.0

    def run(self) -> None:
        """Settle and forget for ever."""
        while True:
            self._clock.sleep(PERIOD_S * self._random.uniform(0.5, 1.5))
            self.settle()
            self.forget()

    def settle(self) -> int:
        """Record the calls of lost instances; return their number."""
        settled = 0
        for scope, call in list(self._state.calls.items()):
            if call.phase is not replica.CallPhase.CLAIMED:
                continue
            if not self._is_gone(call.owner, DEAD_FOR_S):
                continue
            self._events.add(
                timeline.EventKind.CALL_LOST,
                detail=f"{scope} of {call.owner}",
            )
            self._commit.submit(
                replica.AnswerLost(scope, call.attempt), PATIENCE_S
            )
            settled += 1
            if settled == BATCH:
                break
        return settled

    def forget(self) -> int:
        """Drop keys that are refused as too old by now."""
        age = self.window_s + KEEP_EXTRA_S
        return self._state.forget_before(self._follower.offset_at(age))
