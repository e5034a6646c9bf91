"""Runs a call of a plain service that may be sent more than once."""

import collections.abc
import logging

import gevent
import gevent.event

from agatewing import _clock
from agatewing import _exceptions
from agatewing import decisions
from agatewing import fleet
from agatewing import net

_log = logging.getLogger("agatewing.services")

#: Largest number of tries of a call that may be retried.
MAX_TRIES = 3

Send = collections.abc.Callable[[fleet.ServiceTarget], net.HttpAnswer]
#: Records a target that broke off the call; returns whether the call may be
#: sent again.
RecordBroken = collections.abc.Callable[[fleet.ServiceTarget], bool]
PickTarget = collections.abc.Callable[
    [frozenset[str]], fleet.ServiceTarget | None
]


class RepeatableCall:
    """The tries of one call; the first answer of any of them counts.

    A silent target may still answer, so its try goes on while another target
    is tried.
    """

    __slots__ = (
        "_clock",
        "_retries",
        "_pick_target",
        "_send",
        "_record_broken",
        "_may_be_sent_again",
        "_changed",
        "_tries",
        "_answer",
        "_refusal",
        "may_have_run",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        retries: decisions.RetryBudget,
        pick_target: PickTarget,
        send: Send,
        record_broken: RecordBroken,
    ) -> None:
        self._clock = clock
        self._retries = retries
        self._pick_target = pick_target
        self._send = send
        self._record_broken = record_broken
        self._may_be_sent_again = True
        # Set when a try ends.
        self._changed = gevent.event.Event()
        # Greenlets of the tries that have not ended.
        self._tries: set[gevent.Greenlet] = set()
        self._answer: net.HttpAnswer | None = None
        self._refusal: _exceptions.RefusedError | None = None
        #: Whether a target may have run the call.
        self.may_have_run = False

    def run(self, deadline: float) -> net.HttpAnswer | None:
        """Return the answer; ``None`` if every try failed.

        No try starts after ``deadline``, a monotonic time in seconds. Raises
        ``RefusedError`` if the instance may not send the call and no target
        can have run it.
        """
        avoid: frozenset[str] = frozenset()
        try:
            for attempt in range(1, MAX_TRIES + 1):
                target = self._pick_target(avoid)
                if target is None:
                    break
                avoid |= {target.name}
                self._start(target)
                self._wait_until_silent(target)
                if self._answer is not None:
                    return self._answer
                if not self._wait_for_retry(attempt, deadline):
                    break
            while self._tries and self._answer is None:
                self._wait_for_change(deadline)
        finally:
            gevent.killall(list(self._tries), block=False)
        if self._refusal is not None and not self.may_have_run:
            raise self._refusal
        return self._answer

    def _start(self, target: fleet.ServiceTarget) -> None:
        task = gevent.spawn(self._try_at, target)
        self._tries.add(task)
        task.rawlink(self._end)

    def _end(self, task: gevent.Greenlet) -> None:
        self._tries.discard(task)
        self._changed.set()

    def _try_at(self, target: fleet.ServiceTarget) -> None:
        target.in_flight += 1
        try:
            answer = self._send(target)
        except _exceptions.RefusedError as exc:
            self._refusal = exc
        except net.SendForbiddenError:
            # The target was drained while the connection opened.
            pass
        except _exceptions.ConnectRefusedError:
            target.record_failure(self._clock.monotonic())
        except _exceptions.AgatewingError as exc:
            self.may_have_run = True
            target.record_failure(self._clock.monotonic())
            if not isinstance(exc, _exceptions.TargetOverdueError):
                self._may_be_sent_again = self._record_broken(target)
        except Exception:
            # Nothing says how far a call came that met with a defect.
            _log.exception(
                "services: unexpected error in a call",
                extra={"target": target.name},
            )
            self.may_have_run = True
        else:
            self._answer = self._answer or answer
        finally:
            target.in_flight -= 1

    def _wait_until_silent(self, target: fleet.ServiceTarget) -> None:
        """Wait for an answer, until no try is left or the target is slow."""
        until = self._clock.monotonic() + fleet.SERVICE_SILENCE_TIMEOUT_S
        while self._tries and self._answer is None:
            if self._clock.monotonic() >= until:
                target.record_failure(self._clock.monotonic())
                return
            self._wait_for_change(until)

    def _wait_for_change(self, until: float) -> None:
        """Wait until a try ends; the time only limits one wait."""
        wait_s = max(0.1, until - self._clock.monotonic())
        self._changed.clear()
        self._clock.wait(self._changed, wait_s)

    def _wait_for_retry(self, attempt: int, deadline: float) -> bool:
        """Spend a retry and sleep for the backoff.

        Returns ``False`` at once if the deadline would pass, the instance
        refuses calls, targets crashed on the call or the retry budget is used
        up.
        """
        backoff_s = self._retries.backoff_s(attempt)
        if self._refusal is not None or not self._may_be_sent_again:
            return False
        if self._clock.monotonic() + backoff_s >= deadline:
            return False
        if not self._retries.try_spend():
            return False
        self._clock.sleep(backoff_s)
        return True
