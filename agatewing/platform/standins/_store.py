"""Test double of the platform's log, with its failure modes."""

import base64
import dataclasses
import enum
import errno
import struct
import urllib.parse

import gevent
import gevent.event
import gevent.pywsgi
import msgspec

from agatewing import net
from agatewing.platform.standins import _loopback

#: Upper limit of a long poll here, in seconds; keeps tests short.
MAX_READ_WAIT_S = 0.3


class StoreMode(enum.StrEnum):
    """Whether and how the log fails."""

    #: Works normally.
    FINE = "fine"
    #: Every call gets 503.
    BUSY = "busy"
    #: Every call gets 429.
    RATE_LIMITED = "many"
    #: Every call has its connection reset.
    RESET = "reset"
    #: Calls get no answer for an hour.
    SILENT = "silent"
    #: Writes are applied, then the connection is reset.
    LOSES_ANSWERS = "loses-answers"


class _Topic:
    """A topic of the log; it has a single partition."""

    def __init__(self) -> None:
        #: Offset of the first record kept.
        self.first = 0
        self.records: list[bytes] = []
        #: Offset and value of the newest record of each key.
        self.newest: dict[str, tuple[int, bytes]] = {}
        #: Set at the next append, then replaced by a new event.
        self.appended = gevent.event.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> int:
        """Append an encoded record; return its offset.

        A record is one byte with the length of the key, the key, and the
        value. An empty value removes the key.
        """
        offset = self.end
        self.records.append(content)
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.appended.set()
        self.appended = gevent.event.Event()
        return offset

    def copy(self) -> "_Topic":
        """Return a copy that later appends do not change."""
        copied = _Topic()
        copied.first = self.first
        copied.records = list(self.records)
        copied.newest = dict(self.newest)
        return copied


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of all topics of the log, at one moment."""

    topics: dict[str, _Topic]


class StoreStandin(_loopback.Loopback):
    """A log on loopback.

    Tests write to it what operators and targets would write.
    """

    def __init__(self) -> None:
        self.mode = StoreMode.FINE
        #: Number of calls received.
        self.calls = 0
        #: Value of the header that names the era; ``None`` sends none.
        self.era: int | str | None = 1
        self._topics: dict[str, _Topic] = {}
        super().__init__(
            gevent.pywsgi.WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        )

    def topic(self, name: str) -> _Topic:
        """Return a topic; creates it on first use."""
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a value and return its offset.

        Bytes are written unchanged, ``None`` removes the key, anything else
        is encoded as JSON.
        """
        raw = value if isinstance(value, bytes) else b""
        if value is not None and not isinstance(value, bytes):
            raw = msgspec.json.encode(value)
        name = key.encode()
        return self.topic(topic).append(bytes([len(name)]) + name + raw)

    def forget_history(self) -> None:
        """Discard all records but keep the newest value of each key."""
        for topic in self._topics.values():
            topic.first = topic.end
            topic.records.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of all topics, to be restored later."""
        return StoreCopy(
            {name: topic.copy() for name, topic in self._topics.items()}
        )

    def restore(self, copied: StoreCopy) -> None:
        """Replace all topics by those of a copy; the era rises by one.

        Reads that wait for records go on in the restored topics.
        """
        before = self._topics
        self._topics = {
            name: topic.copy() for name, topic in copied.topics.items()
        }
        if isinstance(self.era, int):
            self.era += 1
        for topic in before.values():
            topic.appended.set()

    def _serve(
        self, environ: net.Environ, start_response: net.StartResponse
    ) -> list[bytes]:
        self.calls += 1
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        path = environ["PATH_INFO"]
        write = environ["REQUEST_METHOD"] == "POST"
        match self.mode:
            case StoreMode.BUSY:
                return self._reply(start_response, 503, b"{}")
            case StoreMode.RATE_LIMITED:
                return self._reply(start_response, 429, b"{}")
            case StoreMode.RESET:
                raise ConnectionResetError(errno.ECONNRESET, "reset")
            case StoreMode.SILENT:
                gevent.sleep(3_600)
        topic = self.topic(query.get("topic", ""))
        if write:
            body = environ["wsgi.input"].read()
            if int(query.get("at", topic.end)) != topic.end:
                conflict = msgspec.json.encode({"end": topic.end})
                return self._reply(start_response, 412, conflict)
            answer = self._append(topic, body)
            if self.mode is StoreMode.LOSES_ANSWERS:
                raise ConnectionResetError(errno.ECONNRESET, "reset")
            return self._reply(start_response, 200, answer)
        if path == "/-/log-newest":
            return self._reply(start_response, 200, self._newest(topic))
        return self._read(query, start_response)

    def _append(self, topic: _Topic, body: bytes) -> bytes:
        offset = topic.end
        while body:
            (length,) = struct.unpack_from(">I", body)
            topic.append(body[4 : 4 + length])
            body = body[4 + length :]
        return msgspec.json.encode({"offset": offset, "end": topic.end})

    def _newest(self, topic: _Topic) -> bytes:
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in topic.newest.items()
        ]
        return msgspec.json.encode(
            {"items": items, "has_more": False, "end": topic.end}
        )

    def _read(
        self, query: dict[str, str], start_response: net.StartResponse
    ) -> list[bytes]:
        offset = int(query["from"])
        topic = self.topic(query["topic"])
        if topic.end == offset:
            wait_s = int(query.get("wait_ms", "0")) / 1_000
            topic.appended.wait(min(MAX_READ_WAIT_S, wait_s))
            topic = self.topic(query["topic"])
        if not topic.first <= offset <= topic.end:
            body = msgspec.json.encode({"first": topic.first})
            return self._reply(start_response, 410, body)
        records = topic.records[offset - topic.first :]
        body = struct.pack(">QQ", topic.end, topic.first)
        for record in records:
            body += struct.pack(">I", len(record)) + record
        return self._reply(start_response, 200, body)

    def _reply(
        self, start_response: net.StartResponse, code: int, body: bytes
    ) -> list[bytes]:
        fields = [("Content-Length", str(len(body)))]
        if self.era is not None:
            fields.append(("Store-Era", str(self.era)))
        start_response(net.status_line(code), fields)
        return [body]
