"""Group commit: many records travel to the log in one append."""

import collections
import collections.abc
import dataclasses
import logging
import random
import uuid

import gevent.event
import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import platform_services
from agatewing.replica import _follower
from agatewing.replica import _records

_log = logging.getLogger("agatewing.commit")

#: Most records of one append.
BATCH_RECORDS = 256
#: Most records waiting for an append.
QUEUE_LIMIT = 8_192
#: First and longest pause after a failed append, in seconds.
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
#: Share of the log's append rate that the instances plan to use.
BUDGET_SHARE = 0.8

CommitError = _exceptions.LogUnavailableError | _exceptions.LogRefusedError
CommitResult = result.Result[int, CommitError]


class AppendBudget:
    """Token bucket for appends; all live instances share one rate."""

    __slots__ = ("_clock", "_total", "_live", "_tokens", "_filled_at")

    #: Appends that may follow each other at once.
    BURST = 4.0

    def __init__(
        self,
        clock: _clock.Clock,
        total_per_s: float,
        live_instances: collections.abc.Callable[[], int],
    ) -> None:
        self._clock = clock
        self._total = total_per_s
        self._live = live_instances
        self._tokens = self.BURST
        self._filled_at = clock.monotonic()

    def rate_per_s(self) -> float:
        """Return the appends a second that this instance may make."""
        return self._total * BUDGET_SHARE / max(1, self._live())

    def take(self) -> float:
        """Take one append; return seconds to wait before sending it."""
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * self.rate_per_s()
        self._tokens = min(self.BURST, self._tokens + gained) - 1.0
        self._filled_at = now
        return max(0.0, -self._tokens / self.rate_per_s())


@dataclasses.dataclass(slots=True)
class Pending:
    """A record on its way into the log."""

    #: The record.
    record: _records.Record
    #: Monotonic time after which it is not sent again.
    give_up_at: float
    #: Monotonic time just before its first send; ``None`` before.
    first_sent: float | None
    #: Result, once there is one.
    done: "gevent.event.AsyncResult[CommitResult]"
    #: Clock by which to wait.
    clock: _clock.Clock

    def wait(self, timeout_s: float) -> CommitResult | None:
        """Return the result, or ``None`` after ``timeout_s``."""
        if self.clock.wait(self.done, timeout_s):
            return self.done.get()
        return None


class GroupCommit:
    """Collects records and appends them, one append at a time."""

    __slots__ = (
        "_log",
        "_clock",
        "_follower",
        "_budget",
        "_random",
        "_queue",
        "_wakeup",
        "author",
        "failing_since",
        "appends",
        "records",
    )

    def __init__(
        self,
        log: platform_services.LogClient,
        clock: _clock.Clock,
        follower: _follower.Follower,
        budget: AppendBudget,
        author: _records.Author,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._clock = clock
        self._follower = follower
        self._budget = budget
        self._random = rng
        self._queue: collections.deque[Pending] = collections.deque()
        self._wakeup = gevent.event.Event()
        #: This process, as the author of records.
        self.author = author
        #: Monotonic time since which appends fail; ``None`` if they work.
        self.failing_since: float | None = None
        #: Appends made.
        self.appends = 0
        #: Records appended.
        self.records = 0

    def submit(self, record: _records.Record, within_s: float) -> Pending:
        """Queue a record; give up on it after ``within_s``."""
        pending = Pending(
            record,
            self._clock.monotonic() + within_s,
            None,
            gevent.event.AsyncResult(),
            self._clock,
        )
        if len(self._queue) >= QUEUE_LIMIT:
            error = _exceptions.LogRefusedError(self._follower.stream, 429)
            pending.done.set(result.Err(error))
            return pending
        self._queue.append(pending)
        self._wakeup.set()
        return pending

    def run(self) -> None:
        """Append for ever."""
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            while self._queue:
                self._clock.sleep(self._budget.take())
                self.flush()

    def flush(self) -> None:
        """Append one batch, trying until it is in or was given up."""
        batch = self._take_batch()
        if not batch:
            return
        envelope = _records.Envelope(
            uuid.uuid4().hex,
            self.author,
            tuple(pending.record for pending in batch),
        )
        body = _records.encode_envelope(envelope)
        now = self._clock.monotonic()
        for pending in batch:
            pending.first_sent = now
        self._append_until_settled(envelope.id, body, batch)

    def _take_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        now = self._clock.monotonic()
        while self._queue and len(batch) < BATCH_RECORDS:
            pending = self._queue.popleft()
            if pending.give_up_at <= now:
                error = _exceptions.LogRefusedError(self._follower.stream, 0)
                pending.done.set(result.Err(error))
                continue
            batch.append(pending)
        return batch

    def _append_until_settled(
        self, envelope_id: str, body: str, batch: list[Pending]
    ) -> None:
        pause = RETRY_FIRST_S
        doubtful = False
        while True:
            error: CommitError
            try:
                offset = self._log.append(self._follower.stream, body)
            except _exceptions.LogRefusedError as exc:
                error = exc
            except _exceptions.LogUnavailableError as exc:
                error = exc
                doubtful = True
            else:
                self._succeed(offset, batch)
                return
            if self.failing_since is None:
                self.failing_since = self._clock.monotonic()
            self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(pause * 2, RETRY_LIMIT_S)
            seen = self._follower.seen(envelope_id)
            if seen is not None:
                self._succeed(seen, batch)
                return
            if doubtful and isinstance(error, _exceptions.LogRefusedError):
                error = _exceptions.LogUnavailableError(
                    self._follower.stream, "an earlier try had no answer"
                )
            self._give_up(batch, error)
            if not batch:
                return

    def _succeed(self, offset: int, batch: list[Pending]) -> None:
        self.failing_since = None
        self.appends += 1
        self.records += len(batch)
        for pending in batch:
            pending.done.set(result.Ok(offset))

    def _give_up(self, batch: list[Pending], error: CommitError) -> None:
        now = self._clock.monotonic()
        for pending in [p for p in batch if p.give_up_at <= now]:
            pending.done.set(result.Err(error))
            batch.remove(pending)
