"""Stand-in of the platform's append-only log."""

import argparse
import dataclasses
import random

import gevent
import gevent.event

from agatewing import _clock
from agatewing import _exceptions
from agatewing import platform_services
from agatewing.standins import _http

#: One-way latency of a call by DirectLogClient, in seconds.
ONE_WAY_LATENCY_S = 0.002


@dataclasses.dataclass(slots=True)
class LogFaults:
    """Faults that are currently injected."""

    #: Whether no call is answered or takes effect.
    down: bool = False
    #: Additional latency of every call, in seconds.
    slow_s: float = 0.0
    #: Share of appends that take effect and get no answer, 0 to 1.
    lose_answers: float = 0.0
    #: Share of appends that take no effect and get no answer, 0 to 1.
    lose_appends: float = 0.0


@dataclasses.dataclass(slots=True)
class _StoredRecord:
    """A record with the monotonic time of its append."""

    appended_at: float
    record: platform_services.LogRecord


class _Stream:
    """One stream of records."""

    __slots__ = ("records", "next", "changed")

    def __init__(self) -> None:
        self.records: list[_StoredRecord] = []
        #: Offset of the next record.
        self.next = 1
        #: Set, and replaced, when a record is appended.
        self.changed = gevent.event.Event()

    @property
    def first(self) -> int:
        """Offset of the oldest stored record, or of the next one if none."""
        return self.records[0].record.offset if self.records else self.next


class LogModel:
    """Append-only streams with retention, a rate limit and faults."""

    __slots__ = (
        "_clock",
        "_random",
        "_streams",
        "_append_credits",
        "_refilled_at",
        "faults",
        "retention_s",
        "appends_per_s",
        "appends",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        retention_s: float = 3_600.0,
        appends_per_s: float = 300.0,
        seed: int = 1,
    ) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._streams: dict[str, _Stream] = {}
        self._append_credits = appends_per_s
        self._refilled_at = clock.monotonic()
        #: Faults that are currently injected.
        self.faults = LogFaults()
        #: Time after which records expire, in seconds.
        self.retention_s = retention_s
        #: Limit on appends per second over all streams.
        self.appends_per_s = appends_per_s
        #: Number of appends that took effect.
        self.appends = 0

    def append(self, name: str, body: str) -> int | None:
        """Append a record and return its offset.

        Returns ``None`` if the call gets no answer and -1 if it exceeds
        the append rate.
        """
        faults = self.faults
        if faults.down or self._random.random() < faults.lose_appends:
            return None
        if not self._spend_append_credit():
            return -1
        stream = self._stream(name)
        offset = stream.next
        record = platform_services.LogRecord(offset, body)
        stream.records.append(_StoredRecord(self._clock.monotonic(), record))
        stream.next += 1
        self.appends += 1
        changed, stream.changed = stream.changed, gevent.event.Event()
        changed.set()
        if self._random.random() < faults.lose_answers:
            return None
        return offset

    def read(
        self, name: str, start: int, limit: int, wait_s: float
    ) -> platform_services.LogPage | None:
        """Return up to ``limit`` records from offset ``start``.

        Waits up to ``wait_s`` seconds for a record. Returns ``None`` if the
        log is down.
        """
        if self.faults.down:
            return None
        stream = self._stream(name)
        if start >= stream.next and wait_s > 0:
            self._clock.wait(stream.changed, wait_s)
        if self.faults.down:
            return None
        self._expire(stream)
        begin = max(start, stream.first) - stream.first
        selected = stream.records[begin : begin + limit]
        return platform_services.LogPage(
            stream.first,
            stream.next,
            self.retention_s,
            tuple(stored.record for stored in selected),
        )

    def all_records(
        self, name: str, start: int
    ) -> list[platform_services.LogRecord]:
        """Return the stored records from offset ``start``, despite faults."""
        stored = self._stream(name).records
        return [s.record for s in stored if s.record.offset >= start]

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: _Stream) -> None:
        oldest = self._clock.monotonic() - self.retention_s
        expired = 0
        for stored in stream.records:
            if stored.appended_at > oldest:
                break
            expired += 1
        del stream.records[:expired]

    def _spend_append_credit(self) -> bool:
        """Return whether the append rate allows one more append now."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self.appends_per_s
        self._append_credits = min(
            self.appends_per_s, self._append_credits + refill
        )
        self._refilled_at = now
        if self._append_credits < 1:
            return False
        self._append_credits -= 1
        return True


class DirectLogClient:
    """Log client that calls a LogModel in the same process."""

    __slots__ = ("_model", "_clock", "cut")

    def __init__(self, model: LogModel, clock: _clock.Clock) -> None:
        self._model = model
        self._clock = clock
        #: Whether a network partition separates this client from the log.
        self.cut = False

    def append(self, stream: str, body: str) -> int:
        """Append one record and return its offset.

        Raises LogUnavailableError without an answer and LogRefusedError if
        the append rate is exceeded.
        """
        self._clock.sleep(ONE_WAY_LATENCY_S)
        offset = None if self.cut else self._model.append(stream, body)
        self._clock.sleep(ONE_WAY_LATENCY_S + self._model.faults.slow_s)
        if offset is None or self.cut:
            raise _exceptions.LogUnavailableError(stream, "no answer")
        if offset < 0:
            raise _exceptions.LogRefusedError(stream, 429)
        return offset

    def read(
        self, stream: str, start: int, wait_s: float
    ) -> platform_services.LogPage:
        """Return records from offset ``start``.

        Waits up to ``wait_s`` seconds for a record. Raises
        LogUnavailableError without an answer.
        """
        page = None
        self._clock.sleep(ONE_WAY_LATENCY_S)
        if not self.cut:
            page = self._model.read(stream, start, 512, wait_s)
        self._clock.sleep(ONE_WAY_LATENCY_S + self._model.faults.slow_s)
        if page is None or self.cut:
            raise _exceptions.LogUnavailableError(stream, "no answer")
        return page

    def close(self) -> None:
        """Do nothing; there is no connection."""


class LogServer:
    """Serves a LogModel over HTTP."""

    __slots__ = ("_model",)

    def __init__(self, model: LogModel) -> None:
        self._model = model

    def route(self, req: _http.Request) -> _http.Reply:
        """Answer one request."""
        match req.path.strip("/").split("/"):
            case ["standin", "faults"]:
                for name, value in req.json().items():
                    setattr(self._model.faults, name, value)
                return _http.Reply(200, {"ok": True})
            case ["standin", "stats"]:
                return _http.Reply(200, {"appends": self._model.appends})
            case ["v1", "streams", name, "records"]:
                if self._model.faults.slow_s:
                    gevent.sleep(self._model.faults.slow_s)
                if req.method == "POST":
                    return self._append(name, req.body)
                return self._read(name, req.query)
        return _http.Reply(404, {"error": "no such path"})

    def _append(self, name: str, body: bytes) -> _http.Reply:
        offset = self._model.append(name, body.decode())
        if offset is None:
            raise _http.DropConnection
        if offset < 0:
            return _http.Reply(429, {"error": "append rate"})
        return _http.Reply(200, {"offset": offset})

    def _read(self, name: str, query: dict[str, str]) -> _http.Reply:
        page = self._model.read(
            name,
            int(query.get("from", "1")),
            min(int(query.get("limit", "100")), 1_000),
            min(float(query.get("wait", "0")), 5.0),
        )
        if page is None:
            raise _http.DropConnection
        return _http.Reply(200, page)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command line of this stand-in."""
    parser.add_argument("--retention", type=float, default=3_600.0)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)


def run(args: argparse.Namespace) -> None:
    """Serve the log until SIGTERM or SIGINT."""
    model = LogModel(
        _clock.SystemClock(), args.retention, args.rate, args.seed
    )
    _http.serve(args.host, args.port, LogServer(model).route)
