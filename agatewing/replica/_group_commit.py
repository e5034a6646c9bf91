"""Group commit: appends many records to the log at once."""

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

#: Maximum number of records in one append.
BATCH_RECORDS = 256
#: Maximum number of queued records.
QUEUE_LIMIT = 8_192
#: First and longest backoff after a failed append, in seconds.
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
#: Fraction of the log's append rate that all instances together plan to use.
BUDGET_SHARE = 0.8

CommitError = _exceptions.LogUnavailableError | _exceptions.LogRefusedError
CommitResult = result.Result[int, CommitError]


class AppendBudget:
    """Token bucket for appends; live instances share the rate evenly."""

    __slots__ = (
        "_clock",
        "_total_per_s",
        "_live_instances",
        "_tokens",
        "_filled_at",
    )

    #: Capacity of the bucket: appends that may be sent without a wait.
    BURST = 4.0

    def __init__(
        self,
        clock: _clock.Clock,
        total_per_s: float,
        live_instances: collections.abc.Callable[[], int],
    ) -> None:
        self._clock = clock
        self._total_per_s = total_per_s
        self._live_instances = live_instances
        self._tokens = self.BURST
        self._filled_at = clock.monotonic()

    def rate_per_s(self) -> float:
        """Return this instance's share of the append rate, per second."""
        return (
            self._total_per_s * BUDGET_SHARE / max(1, self._live_instances())
        )

    def reserve(self) -> float:
        """Reserve one append; return the seconds to wait before sending it."""
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * self.rate_per_s()
        self._tokens = min(self.BURST, self._tokens + gained) - 1.0
        self._filled_at = now
        return max(0.0, -self._tokens / self.rate_per_s())


@dataclasses.dataclass(slots=True)
class PendingRecord:
    """A record that is queued or being appended."""

    #: The record.
    record: _records.Record
    #: Monotonic time from which the record is overdue, in seconds. An overdue
    #: record is dropped from the queue, or fails after the next failed append
    #: of its batch. The batch is still retried, with all of its records, while
    #: another one is not overdue, so the failed record may be appended later.
    give_up_at: float
    #: Monotonic time just before its first send, in seconds; ``None`` while
    #: it is queued.
    first_sent_at: float | None
    #: Holds the offset or the error, once either is known.
    done: "gevent.event.AsyncResult[CommitResult]"
    #: Clock that times the wait.
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
        self._queue: collections.deque[PendingRecord] = collections.deque()
        self._wakeup = gevent.event.Event()
        #: This process, as the author of records.
        self.author = author
        #: Monotonic time of the first failure since the last successful
        #: append, in seconds; ``None`` if there is none.
        self.failing_since: float | None = None
        #: Number of successful appends.
        self.appends = 0
        #: Number of records in them.
        self.records = 0

    def submit(
        self, record: _records.Record, within_s: float
    ) -> PendingRecord:
        """Queue a record; it is overdue after ``within_s``.

        An overdue record fails, but may still be appended with its batch. If
        the queue is full, the result is a ``LogRefusedError`` at once.
        """
        pending = PendingRecord(
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
        """Append queued records within the budget; never returns."""
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            while self._queue:
                self._clock.sleep(self._budget.reserve())
                self.flush()

    def flush(self) -> None:
        """Append one batch of queued records.

        Retries until the append succeeds or every record is overdue.
        """
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
            pending.first_sent_at = now
        self._append_with_retries(envelope.id, body, batch)

    def _take_batch(self) -> list[PendingRecord]:
        batch: list[PendingRecord] = []
        now = self._clock.monotonic()
        while self._queue and len(batch) < BATCH_RECORDS:
            pending = self._queue.popleft()
            if pending.give_up_at <= now:
                # Status 0: overdue in the queue and never sent.
                error = _exceptions.LogRefusedError(self._follower.stream, 0)
                pending.done.set(result.Err(error))
                continue
            batch.append(pending)
        return batch

    def _append_with_retries(
        self, envelope_id: str, body: str, batch: list[PendingRecord]
    ) -> None:
        backoff_s = RETRY_FIRST_S
        outcome_unknown = False
        while True:
            error: CommitError
            try:
                offset = self._log.append(self._follower.stream, body)
            except _exceptions.LogRefusedError as exc:
                error = exc
            except _exceptions.LogUnavailableError as exc:
                error = exc
                outcome_unknown = True
            else:
                self._succeed(offset, batch)
                return
            if self.failing_since is None:
                self.failing_since = self._clock.monotonic()
            self._clock.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, RETRY_LIMIT_S)
            # The append may have succeeded without an answer; the follower
            # may have read the envelope meanwhile.
            found_offset = self._follower.offset_of(envelope_id)
            if found_offset is not None:
                self._succeed(found_offset, batch)
                return
            # After an append without an answer, a later refusal does not
            # prove that nothing was appended.
            if outcome_unknown and isinstance(
                error, _exceptions.LogRefusedError
            ):
                error = _exceptions.LogUnavailableError(
                    self._follower.stream, "an earlier try had no answer"
                )
            self._fail_overdue(batch, error)
            if not batch:
                return

    def _succeed(self, offset: int, batch: list[PendingRecord]) -> None:
        self.failing_since = None
        self.appends += 1
        self.records += len(batch)
        for pending in batch:
            pending.done.set(result.Ok(offset))

    def _fail_overdue(
        self, batch: list[PendingRecord], error: CommitError
    ) -> None:
        """Fail the overdue records of a batch and remove them from it.

        The encoded batch keeps them, so a later try of the batch may still
        append a record that failed, even with a ``LogRefusedError``.
        """
        now = self._clock.monotonic()
        for pending in [p for p in batch if p.give_up_at <= now]:
            pending.done.set(result.Err(error))
            batch.remove(pending)
