"""Settles calls whose instance died before it recorded their outcome."""

import collections.abc
import random

from agatewing import _clock
from agatewing import replica
from agatewing import timeline

#: Mean interval between two passes, in seconds.
MEAN_INTERVAL_S = 1.0
#: Time for which an instance must be dead before its calls are settled, in
#: seconds.
DEAD_FOR_S = 5.0
#: Maximum number of calls settled in one pass.
MAX_SETTLED_PER_PASS = 256
#: Time for which appending a settlement is retried, in seconds.
APPEND_RETRY_S = 10.0
#: Time for which keys are kept after their window has ended, in seconds.
KEY_KEEP_EXTRA_S = 120.0

IsGone = collections.abc.Callable[[str, float], bool]


class Reaper:
    """Records ``AnswerLost`` for calls of dead instances, never "not run".

    The outcome of such a call is unknown: the target may have run it.
    """

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
        events: timeline.EventRecorder,
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
        #: Age up to which idempotency keys are accepted, in seconds; set
        #: from the configuration.
        self.window_s = 900.0

    def run(self) -> None:
        """Settle calls and drop old keys until the greenlet is killed."""
        while True:
            self._clock.sleep(MEAN_INTERVAL_S * self._random.uniform(0.5, 1.5))
            self.settle()
            self.drop_expired()

    def settle(self) -> int:
        """Record ``AnswerLost`` for calls of dead instances.

        Returns the number of these calls, at most ``MAX_SETTLED_PER_PASS``.
        """
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
                replica.AnswerLost(scope, call.attempt), APPEND_RETRY_S
            )
            settled += 1
            if settled == MAX_SETTLED_PER_PASS:
                break
        return settled

    def drop_expired(self) -> int:
        """Drop keys that would be refused as expired; return their number."""
        age_s = self.window_s + KEY_KEEP_EXTRA_S
        return self._state.forget_before(
            self._follower.take_offset_before(age_s)
        )
