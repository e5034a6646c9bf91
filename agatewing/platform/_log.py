"""Client of the platform's log."""

import base64
import dataclasses
import struct
import urllib.parse

import msgspec

from agatewing import _exceptions
from agatewing import gateway
from agatewing import net
from agatewing.platform import _names

#: Long-poll time of a read, by topic, in milliseconds. Each call is charged
#: for, so reads wait long. But after an outage the log may never answer a
#: read that it had accepted before: an instance counts as connected 3 seconds
#: after the outage and has 2 more seconds to apply a new configuration. So
#: for configuration and targets, this time and ANSWER_TIMEOUT_S together stay
#: below 5 seconds.
READ_WAIT_MS = {
    gateway.Topic.CONFIGURATION: 4_000,
    gateway.Topic.TARGETS: 4_000,
    gateway.Topic.INSTANCES: 20_000,
    # Read only before an order is sent; never polled.
    gateway.Topic.ORDERS: 0,
}
#: Time limit for an answer of the log beyond the long-poll time, in seconds;
#: under normal load it answers in 4 ms.
ANSWER_TIMEOUT_S = 0.6
#: Time limit for the body of an answer, in seconds: a page of 1 MB takes 1.7 s
#: on the slowest link of the users' sites, 5 Mbit/s.
BODY_TIMEOUT_S = 3.0
#: Largest answer, in bytes: a page of 1 MB and one more record, which base64
#: and JSON lengthen.
MAX_ANSWER_BYTES = 4_000_000
#: Largest size of one read, in kilobytes.
MAX_READ_KB = 1_024
#: Sizes in the body of a read, in bytes: the header (end and first offset of
#: the topic) and the length field before each record.
READ_HEADER_BYTES = 16
RECORD_LENGTH_BYTES = 4

_TOPICS = {
    gateway.Topic.CONFIGURATION: _names.TOPIC_CONFIGURATION,
    gateway.Topic.TARGETS: _names.TOPIC_TARGETS,
    gateway.Topic.INSTANCES: _names.TOPIC_INSTANCES,
    gateway.Topic.ORDERS: _names.TOPIC_ORDERS,
}


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64 of the value.
    value: str = ""


class _NewestPage(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    # Offset of the next record of the topic.
    end: int
    has_more: bool = False


class _AppendAnswer(msgspec.Struct, frozen=True):
    # Offset of the first record written.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorStatus:
    # HTTP status; any but 200.
    status: int


class PlatformLog:
    """Client of the log.

    Reads use one persistent connection per topic, because a long poll
    occupies its connection; writes share another client.
    """

    __slots__ = ("_readers", "_writer")

    def __init__(self, address: str) -> None:
        self._readers = {
            topic: net.HttpClient(
                address,
                connect_timeout_s=ANSWER_TIMEOUT_S,
                silence_timeout_s=READ_WAIT_MS[topic] / 1_000
                + ANSWER_TIMEOUT_S,
                connections=1,
                body_timeout_s=BODY_TIMEOUT_S,
                max_answer_bytes=MAX_ANSWER_BYTES,
                resend=True,
            )
            for topic in gateway.Topic
        }
        self._writer = net.HttpClient(
            address,
            connect_timeout_s=ANSWER_TIMEOUT_S,
            silence_timeout_s=ANSWER_TIMEOUT_S,
            body_timeout_s=BODY_TIMEOUT_S,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )

    def read_newest(
        self, topic: gateway.Topic
    ) -> gateway.Page | gateway.LogUnavailable:
        """Return the newest value of every key.

        The pages of one listing are not a consistent snapshot, so the
        returned ``next_offset`` is the end that the first page gives.
        """
        records: list[gateway.KeyedRecord] = []
        after: str | None = None
        end: int | None = None
        while True:
            match self._newest_page(topic, after):
                case gateway.LogUnavailable() as failure:
                    return failure
                case _NewestPage() as page:
                    pass
            end = page.end if end is None else end
            records.extend(_decode_item(item) for item in page.items)
            if not page.has_more or not page.items:
                return gateway.Page(tuple(records), end)
            after = page.items[-1].key

    def _newest_page(
        self, topic: gateway.Topic, after: str | None
    ) -> _NewestPage | gateway.LogUnavailable:
        query = {"topic": _TOPICS[topic], "part": "0"}
        if after is not None:
            query["after"] = after
        path = f"/-/log-newest?{urllib.parse.urlencode(query)}"
        match self._get(topic, path):
            case gateway.LogUnavailable() as failure:
                return failure
            case _ErrorStatus(status=status):
                return gateway.LogUnavailable(f"status {status}")
            case bytes() as body:
                pass
        try:
            return msgspec.json.decode(body, type=_NewestPage)
        except msgspec.MsgspecError as exc:
            return gateway.LogUnavailable(f"unreadable: {exc}")

    def read(
        self, topic: gateway.Topic, offset: int
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        """Return records from an offset; long-poll if there are none."""
        query = urllib.parse.urlencode(
            {
                "topic": _TOPICS[topic],
                "part": "0",
                "from": offset,
                "max_kb": MAX_READ_KB,
                "wait_ms": READ_WAIT_MS[topic],
            }
        )
        match self._get(topic, f"/-/log-read?{query}"):
            case gateway.LogUnavailable() as failure:
                return failure
            case _ErrorStatus(status=410):
                return gateway.HistoryLost()
            case _ErrorStatus(status=status):
                return gateway.LogUnavailable(f"status {status}")
            case bytes() as body:
                return decode_read(body, offset)

    def put(
        self, topic: gateway.Topic, key: str, value: bytes
    ) -> None | gateway.LogUnavailable:
        """Write the value of a key; an empty value removes the key.

        Returns ``None`` once the log has confirmed the write.
        """
        answer = self._append(topic, key, value, {})
        if isinstance(answer, _ErrorStatus):
            return gateway.LogUnavailable(f"status {answer.status}")
        return answer if isinstance(answer, gateway.LogUnavailable) else None

    def put_if_end(
        self, topic: gateway.Topic, key: str, value: bytes, end: int
    ) -> gateway.Written | gateway.EndMismatch | gateway.LogUnavailable:
        """Write the value of a key only if the topic ends at offset ``end``.

        Returns :class:`gateway.EndMismatch` if it ends elsewhere.
        """
        match self._append(topic, key, value, {"at": end}):
            case _ErrorStatus(status=412):
                return gateway.EndMismatch()
            case _ErrorStatus(status=status):
                return gateway.LogUnavailable(f"status {status}")
            case gateway.LogUnavailable() as failure:
                return failure
            case bytes() as body:
                pass
        try:
            written = msgspec.json.decode(body, type=_AppendAnswer)
        except msgspec.MsgspecError as exc:
            return gateway.LogUnavailable(f"unreadable: {exc}")
        return gateway.Written(written.offset)

    def _append(
        self,
        topic: gateway.Topic,
        key: str,
        value: bytes,
        condition: dict[str, int],
    ) -> bytes | _ErrorStatus | gateway.LogUnavailable:
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = struct.pack(">I", len(content)) + content
        query = urllib.parse.urlencode(
            {"topic": _TOPICS[topic], "part": 0, **condition}
        )
        headers = {"Content-Type": "application/octet-stream"}
        try:
            answer = self._writer.call(
                "POST", f"/-/log-append?{query}", body, headers
            )
        except _exceptions.AgatewingError as exc:
            return gateway.LogUnavailable(str(exc))
        if answer.status != 200:
            return _ErrorStatus(answer.status)
        return answer.body

    def _get(
        self, topic: gateway.Topic, path: str
    ) -> bytes | _ErrorStatus | gateway.LogUnavailable:
        try:
            answer = self._readers[topic].call("GET", path)
        except _exceptions.AgatewingError as exc:
            return gateway.LogUnavailable(str(exc))
        if answer.status != 200:
            return _ErrorStatus(answer.status)
        return answer.body


def decode_read(
    body: bytes, offset: int
) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
    """Decode the body of a read that started at ``offset``.

    Returns :class:`gateway.HistoryLost` if the offset is outside what the
    log holds, :class:`gateway.LogUnavailable` if the body is truncated.
    """
    if len(body) < READ_HEADER_BYTES:
        return gateway.LogUnavailable("the answer is too short")
    end, first_offset = struct.unpack_from(">QQ", body)
    if end < offset or first_offset > offset:
        return gateway.HistoryLost()
    records: list[gateway.KeyedRecord] = []
    position = READ_HEADER_BYTES
    count = 0
    while position < len(body):
        if position + RECORD_LENGTH_BYTES > len(body):
            return gateway.LogUnavailable("the answer ends inside a length")
        (length,) = struct.unpack_from(">I", body, position)
        position += RECORD_LENGTH_BYTES
        content = body[position : position + length]
        position += length
        if len(content) < length:
            return gateway.LogUnavailable("the answer ends inside a record")
        count += 1
        record = _decode_record(content)
        if record is not None:
            records.append(record)
    return gateway.Page(tuple(records), offset + count)


def _decode_record(content: bytes) -> gateway.KeyedRecord | None:
    """Decode a record; ``None`` if it is too short for its key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return gateway.KeyedRecord(key, value or None)


def _decode_item(item: _Item) -> gateway.KeyedRecord:
    """Decode an item of a page of newest values."""
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        value = b""
    return gateway.KeyedRecord(item.key, value or None)
