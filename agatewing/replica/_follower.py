"""Reads a stream of the log and keeps its replay up to date."""

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

#: Time a read waits at the log for a new record, in seconds.
LONG_POLL_S = 1.0
#: First and longest pause after a failed read, in seconds.
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 0.5
#: Appended envelopes whose offsets are kept.
SEEN_LIMIT = 4_096

Listener = collections.abc.Callable[[int, _records.Envelope], None]


class Follower:
    """Follows one stream; the only writer of its replay."""

    __slots__ = (
        "_log",
        "_clock",
        "_random",
        "_changed",
        "_seen",
        "_marks",
        "_listeners",
        "stream",
        "replay",
        "position",
        "caught_up",
        "last_ok",
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
        self._changed = gevent.event.Event()
        self._seen: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._marks: collections.deque[tuple[float, int]] = collections.deque()
        self._listeners: list[Listener] = []
        #: Name of the stream.
        self.stream = stream
        #: State as of the last record read.
        self.replay = replay
        #: Next offset to read; 0 before the first read.
        self.position = 0
        #: Whether the last read reached the end of the stream.
        self.caught_up = False
        #: Monotonic time at which the last such read was sent.
        self.last_ok = float("-inf")
        #: Time for which the log keeps records, in seconds.
        self.retention_s = 0.0
        #: Records that could not be decoded.
        self.malformed = 0
        #: Number of times records were lost unread.
        self.gaps = 0

    def age(self) -> float:
        """Return seconds since the state was known to be current."""
        return self._clock.monotonic() - self.last_ok

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each append was applied."""
        self._listeners.append(listener)

    def seen(self, envelope_id: str) -> int | None:
        """Return the offset of an append, if it was read."""
        return self._seen.get(envelope_id)

    def run(self) -> None:
        """Follow the stream for ever."""
        pause = RETRY_FIRST_S
        while True:
            match self.poll(LONG_POLL_S):
                case result.Ok():
                    pause = RETRY_FIRST_S
                case result.Err():
                    jitter = self._random.uniform(0.5, 1.0)
                    self._clock.sleep(pause * jitter)
                    pause = min(pause * 2, RETRY_LIMIT_S)

    def poll(
        self, wait_s: float
    ) -> result.Result[int, _exceptions.LogUnavailableError]:
        """Read once; return the number of records applied."""
        sent = self._clock.monotonic()
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
        self._note_start(page)
        applied = self._apply_page(page)
        self.caught_up = self.position >= page.next
        if self.caught_up:
            self.last_ok = self._known_since(sent, wait_s, applied)
        self._mark(sent)
        self._notify()
        return result.Ok(applied)

    def _known_since(self, sent: float, wait_s: float, applied: int) -> float:
        """Return a time at which the log surely ended here.

        A log that held an empty answer for the whole wait gave it at the
        earliest that long after the read was sent.
        """
        held = self._clock.monotonic() - sent >= wait_s
        return sent + wait_s if held and not applied else sent

    def wait_for(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at ``offset`` was applied."""
        deadline = self._clock.monotonic() + timeout_s
        while self.position <= offset:
            left = deadline - self._clock.monotonic()
            if left <= 0:
                return False
            self._clock.wait(self._changed, min(left, LONG_POLL_S))
        return True

    def wait_change(self, timeout_s: float) -> None:
        """Wait for the next read, at most ``timeout_s``."""
        self._clock.wait(self._changed, timeout_s)

    def offset_at(self, age_s: float) -> int:
        """Return an offset that was read at least ``age_s`` ago."""
        limit = self._clock.monotonic() - age_s
        offset = 0
        while self._marks and self._marks[0][0] <= limit:
            offset = self._marks.popleft()[1]
        return offset

    def _note_start(self, page: platform_services.LogPage) -> None:
        if self.position == 0:
            self.replay.begin(page.first)
            self.position = page.first
        elif page.first > self.position:
            _log.warning("follower: %s lost records unread", self.stream)
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
                self._remember(envelope.id, record.offset)
                for listener in self._listeners:
                    listener(record.offset, envelope)
            case result.Err(exc):
                _log.warning("follower: %s skipped: %s", self.stream, exc)
                self.malformed += 1
                self.replay.skip(record.offset)

    def _remember(self, envelope_id: str, offset: int) -> None:
        self._seen.setdefault(envelope_id, offset)
        if len(self._seen) > SEEN_LIMIT:
            self._seen.popitem(last=False)

    def _mark(self, now: float) -> None:
        if not self._marks or now - self._marks[-1][0] >= 1.0:
            self._marks.append((now, self.position))

    def _notify(self) -> None:
        changed, self._changed = self._changed, gevent.event.Event()
        changed.set()
