"""Calls to the platform's log."""

import base64
import dataclasses
import struct
import urllib.parse

import msgspec

from agatewing import _exceptions
from agatewing import gateway
from agatewing import net
from agatewing.platform import _names

#: Time for which a read waits for records, by topic, in milliseconds. Calls
#: are paid for, so reads wait long; but a read that the log forgot in an
#: outage must end in time: an instance counts as in touch three seconds
#: after the outage and has two more for a new configuration.
WAIT_MS = {
    gateway.Topic.CONFIGURATION: 4_000,
    gateway.Topic.TARGETS: 4_000,
    gateway.Topic.INSTANCES: 20_000,
    # Read when something is to be ordered, never waited for.
    gateway.Topic.ORDERS: 0,
}
#: Time for an answer of the log, in seconds; it takes 4 ms on a calm day.
ANSWER_S = 0.6
#: Most kilobytes of one read.
READ_KB = 1_024
#: Lengths of the parts of a read's body, in bytes.
HEAD_BYTES = 16
LENGTH_BYTES = 4

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


class _Newest(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    end: int
    has_more: bool = False


class _Place(msgspec.Struct, frozen=True):
    # Offset of the first record written.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Refused:
    status: int


class PlatformLog:
    """The log, over one kept connection a topic."""

    __slots__ = ("_clients", "_writer")

    def __init__(self, address: str) -> None:
        self._clients = {
            topic: net.HttpClient(
                address,
                connect_timeout_s=ANSWER_S,
                silence_timeout_s=WAIT_MS[topic] / 1_000 + ANSWER_S,
                connections=1,
            )
            for topic in gateway.Topic
        }
        self._writer = net.HttpClient(
            address, connect_timeout_s=ANSWER_S, silence_timeout_s=ANSWER_S
        )

    def newest(self, topic: gateway.Topic) -> gateway.Page | gateway.LogAway:
        """Return the newest value of every key.

        Pages are no snapshot, so reading goes on from the end that the
        first one names.
        """
        records: list[gateway.KeyedRecord] = []
        after: str | None = None
        end: int | None = None
        while True:
            match self._newest_page(topic, after):
                case gateway.LogAway() as away:
                    return away
                case _Newest() as page:
                    pass
            end = page.end if end is None else end
            records.extend(_decode_item(item) for item in page.items)
            if not page.has_more or not page.items:
                return gateway.Page(tuple(records), end)
            after = page.items[-1].key

    def _newest_page(
        self, topic: gateway.Topic, after: str | None
    ) -> _Newest | gateway.LogAway:
        query = {"topic": _TOPICS[topic], "part": "0"}
        if after is not None:
            query["after"] = after
        path = f"/-/log-newest?{urllib.parse.urlencode(query)}"
        match self._get(topic, path):
            case gateway.LogAway() as away:
                return away
            case _Refused(status=status):
                return gateway.LogAway(f"status {status}")
            case bytes() as body:
                pass
        try:
            return msgspec.json.decode(body, type=_Newest)
        except msgspec.MsgspecError as exc:
            return gateway.LogAway(f"unreadable: {exc}")

    def read(
        self, topic: gateway.Topic, offset: int
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogAway:
        """Return records from an offset; wait a while if there are none."""
        query = urllib.parse.urlencode(
            {
                "topic": _TOPICS[topic],
                "part": "0",
                "from": offset,
                "max_kb": READ_KB,
                "wait_ms": WAIT_MS[topic],
            }
        )
        match self._get(topic, f"/-/log-read?{query}"):
            case gateway.LogAway() as away:
                return away
            case _Refused(status=410):
                return gateway.HistoryLost()
            case _Refused(status=status):
                return gateway.LogAway(f"status {status}")
            case bytes() as body:
                return decode_read(body, offset)

    def put(
        self, topic: gateway.Topic, key: str, value: bytes
    ) -> None | gateway.LogAway:
        """Write the value of a key; an empty value removes it."""
        answer = self._append(topic, key, value, {})
        if isinstance(answer, _Refused):
            return gateway.LogAway(f"status {answer.status}")
        return answer if isinstance(answer, gateway.LogAway) else None

    def put_at(
        self, topic: gateway.Topic, key: str, value: bytes, end: int
    ) -> gateway.Written | gateway.Overtaken | gateway.LogAway:
        """Write the value of a key only if the topic ends at ``end``."""
        match self._append(topic, key, value, {"at": end}):
            case _Refused(status=412):
                return gateway.Overtaken()
            case _Refused(status=status):
                return gateway.LogAway(f"status {status}")
            case gateway.LogAway() as away:
                return away
            case bytes() as body:
                pass
        try:
            place = msgspec.json.decode(body, type=_Place)
        except msgspec.MsgspecError as exc:
            return gateway.LogAway(f"unreadable: {exc}")
        return gateway.Written(place.offset)

    def _append(
        self,
        topic: gateway.Topic,
        key: str,
        value: bytes,
        condition: dict[str, int],
    ) -> bytes | _Refused | gateway.LogAway:
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
            return gateway.LogAway(str(exc))
        if answer.status != 200:
            return _Refused(answer.status)
        return answer.body

    def _get(
        self, topic: gateway.Topic, path: str
    ) -> bytes | _Refused | gateway.LogAway:
        try:
            answer = self._clients[topic].call("GET", path)
        except _exceptions.AgatewingError as exc:
            return gateway.LogAway(str(exc))
        if answer.status != 200:
            return _Refused(answer.status)
        return answer.body


def decode_read(
    body: bytes, offset: int
) -> gateway.Page | gateway.HistoryLost | gateway.LogAway:
    """Return the records in the body of a read."""
    if len(body) < HEAD_BYTES:
        return gateway.LogAway("the answer is too short")
    end, first = struct.unpack_from(">QQ", body)
    if end < offset or first > offset:
        return gateway.HistoryLost()
    records: list[gateway.KeyedRecord] = []
    at = HEAD_BYTES
    count = 0
    while at + LENGTH_BYTES <= len(body):
        (length,) = struct.unpack_from(">I", body, at)
        at += LENGTH_BYTES
        content = body[at : at + length]
        at += length
        if len(content) < length:
            return gateway.LogAway("the answer ends inside a record")
        count += 1
        record = _decode_content(content)
        if record is not None:
            records.append(record)
    return gateway.Page(tuple(records), offset + count)


def _decode_content(content: bytes) -> gateway.KeyedRecord | None:
    """Return a record; ``None`` if it has no readable key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return gateway.KeyedRecord(key, value or None)


def _decode_item(item: _Item) -> gateway.KeyedRecord:
    """Return a record of a newest page."""
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        value = b""
    return gateway.KeyedRecord(item.key, value or None)
