"""Reads one stream of the log and replays its records."""

import collections
import collections.abc
import logging
import random

import gevent.event
import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import platform_services
from agatewing.replica import _records
from agatewing.replica import _replay

_log = logging.getLogger("agatewing.follower")

#: Time for which the log holds a read open for a new record, in seconds.
LONG_POLL_S = 1.0
#: First and longest backoff after a failed read, in seconds.
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 0.5
#: Number of envelopes whose offsets are kept, so that a writer can find its
#: own append.
MAX_KNOWN_APPENDS = 4_096

Listener = collections.abc.Callable[[int, _records.Envelope], None]


class Follower:
    """Follows one stream and applies its records to the replay."""

    __slots__ = (
        "_log",
        "_clock",
        "_random",
        "_read_done",
        "_offsets_by_id",
        "_position_samples",
        "_listeners",
        "stream",
        "replay",
        "position",
        "caught_up",
        "current_at",
        "retention_s",
        "malformed",
        "gaps",
    )

    def __init__(
        self,
        log: platform_services.LogClient,
        clock: _clock.Clock,
        stream: str,
        replay: _replay.Replay,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._clock = clock
        self._random = rng
        # Set after the next read, then replaced by a new event.
        self._read_done = gevent.event.Event()
        self._offsets_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Time at which a read was sent and the position after its answer, for
        # reads at least a second apart.
        self._position_samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._listeners: list[Listener] = []
        #: Name of the stream.
        self.stream = stream
        #: Replay of the records read so far.
        self.replay = replay
        #: Next offset to read; 0 before the first read.
        self.position = 0
        #: Whether the last read reached the end of the stream.
        self.caught_up = False
        #: Monotonic time, in seconds, at which the state was last known to
        #: include the whole stream.
        self.current_at = float("-inf")
        #: Time for which the log keeps records, in seconds; 0 before the
        #: first read.
        self.retention_s = 0.0
        #: Number of records that could not be decoded.
        self.malformed = 0
        #: Number of times the log dropped records before they were read.
        self.gaps = 0

    def age(self) -> float:
        """Return the seconds since the state was last known to be current."""
        return self._clock.monotonic() - self.current_at

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each applied append."""
        self._listeners.append(listener)

    def offset_of(self, envelope_id: str) -> int | None:
        """Return the offset of an append, or ``None`` if it was not read."""
        return self._offsets_by_id.get(envelope_id)

    def run(self) -> None:
        """Read the stream continuously; never returns."""
        backoff_s = RETRY_FIRST_S
        while True:
            match self.poll(LONG_POLL_S):
                case result.Ok():
                    backoff_s = RETRY_FIRST_S
                case result.Err():
                    jitter = self._random.uniform(0.5, 1.0)
                    self._clock.sleep(backoff_s * jitter)
                    backoff_s = min(backoff_s * 2, RETRY_LIMIT_S)

    def poll(
        self, wait_s: float
    ) -> result.Result[int, _exceptions.LogUnavailableError]:
        """Read once; return the number of records read, or the error."""
        sent_at = self._clock.monotonic()
        try:
            page = self._log.read(self.stream, max(self.position, 1), wait_s)
        except _exceptions.LogUnavailableError as exc:
            return result.Err(exc)
        if self.position > page.next:
            return result.Err(
                _exceptions.LogUnavailableError(
                    self.stream, "its offsets went backwards"
                )
            )
        self.retention_s = page.retention_s
        self._check_start(page)
        applied = self._apply_page(page)
        self.caught_up = self.position >= page.next
        if self.caught_up:
            self.current_at = self._current_at(sent_at, wait_s, applied)
        self._sample_position(sent_at)
        self._wake_waiters()
        return result.Ok(applied)

    def _current_at(
        self, sent_at: float, wait_s: float, applied: int
    ) -> float:
        """Return a time at which the position was surely the log's end.

        It is the time at which the read was sent, since the log may have
        answered at once. If the answer is empty and took the whole wait,
        the log sent it at least ``wait_s`` later.
        """
        waited_in_full = self._clock.monotonic() - sent_at >= wait_s
        return sent_at + wait_s if waited_in_full and not applied else sent_at

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        """Wait until ``offset`` was read; return whether it was in time."""
        deadline = self._clock.monotonic() + timeout_s
        while self.position <= offset:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                return False
            self._clock.wait(self._read_done, min(remaining_s, LONG_POLL_S))
        return True

    def wait_for_read(self, timeout_s: float) -> None:
        """Wait until the next successful read, for at most ``timeout_s``."""
        self._clock.wait(self._read_done, timeout_s)

    def take_offset_before(self, age_s: float) -> int:
        """Return the position after a read sent at least ``age_s`` ago.

        It is the latest such position. Each is returned at most once; if
        none is left, the result is 0.
        """
        latest = self._clock.monotonic() - age_s
        offset = 0
        while (
            self._position_samples and self._position_samples[0][0] <= latest
        ):
            offset = self._position_samples.popleft()[1]
        return offset

    def _check_start(self, page: platform_services.LogPage) -> None:
        if self.position == 0:
            self.replay.begin(page.first)
            self.position = page.first
        elif page.first > self.position:
            _log.warning(
                "follower: stream %s dropped records before they were read",
                self.stream,
            )
            self.gaps += 1
            self.replay.begin(page.first)
            self.position = page.first

    def _apply_page(self, page: platform_services.LogPage) -> int:
        applied = 0
        for record in page.records:
            if record.offset != self.position:
                break
            self._apply_record(record)
            self.position = record.offset + 1
            applied += 1
        return applied

    def _apply_record(self, record: platform_services.LogRecord) -> None:
        match _records.decode_envelope(record.body):
            case result.Ok(envelope):
                self.replay.apply(record.offset, envelope)
                self._remember_offset(envelope.id, record.offset)
                for listener in self._listeners:
                    listener(record.offset, envelope)
            case result.Err(exc):
                _log.warning(
                    "follower: skipped a record of %s: %s",
                    self.stream,
                    exc,
                )
                self.malformed += 1
                self.replay.skip(record.offset)

    def _remember_offset(self, envelope_id: str, offset: int) -> None:
        self._offsets_by_id.setdefault(envelope_id, offset)
        if len(self._offsets_by_id) > MAX_KNOWN_APPENDS:
            self._offsets_by_id.popitem(last=False)

    def _sample_position(self, now: float) -> None:
        if (
            not self._position_samples
            or now - self._position_samples[-1][0] >= 1.0
        ):
            self._position_samples.append((now, self.position))

    def _wake_waiters(self) -> None:
        read_done, self._read_done = self._read_done, gevent.event.Event()
        read_done.set()
