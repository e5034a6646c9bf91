"""Client of the platform's log."""

import base64
import dataclasses
import logging
import struct
import urllib.parse

import msgspec
import result

from agatewing import _decoding
from agatewing import _exceptions
from agatewing import gateway
from agatewing import net
from agatewing.platform import _names

_log = logging.getLogger("agatewing.platform")

#: Longest long-poll time that a read may ask for, in seconds.
MAX_WAIT_S = 30.0
#: Time limit for an answer of the log beyond the long-poll time, and for each
#: piece of its body, in seconds; under normal load it answers in 4 ms.
ANSWER_TIMEOUT_S = 0.6
#: Time limit for the body of an answer, in seconds: the largest page takes
#: 1.9 s of half of the slowest link of the users' sites, 5 Mbit/s.
BODY_TIMEOUT_S = 3.0
#: Largest answer, in bytes: a page of 1 MB and one more record, which base64
#: and JSON lengthen.
MAX_ANSWER_BYTES = 4_000_000
#: Largest size of one read, in kilobytes: that of one record and a little, so
#: that each read of large records gets further within its time.
MAX_READ_KB = 300
#: Times that a listing is begun in one call, as all its pages have to be of
#: one era.
LISTING_TRIES = 3
#: Largest era, as peers send it to each other in 64 bits.
MAX_ERA = 2**63 - 1
#: Sizes in the body of a read, in bytes: the header (end and first offset of
#: the topic) and the length field before each record.
READ_HEADER_BYTES = 16
RECORD_LENGTH_BYTES = 4

_TOPICS = {
    gateway.Topic.CONFIGURATION: _names.TOPIC_CONFIGURATION,
    gateway.Topic.TARGETS: _names.TOPIC_TARGETS,
    gateway.Topic.INSTANCES: _names.TOPIC_INSTANCES,
    gateway.Topic.ORDERS: _names.TOPIC_ORDERS,
    gateway.Topic.USAGE: _names.TOPIC_USAGE,
    gateway.Topic.CAPACITY: _names.TOPIC_CAPACITY,
    gateway.Topic.VERSIONS: _names.TOPIC_VERSIONS,
    gateway.Topic.STREAMS: _names.TOPIC_STREAMS,
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
    # Era of the log; ``None`` if the answer names none.
    era: int | None

    @property
    def failure(self) -> gateway.LogUnavailable:
        """The status as the failure of a call."""
        return gateway.LogUnavailable(f"status {self.status}", self.era)


@dataclasses.dataclass(frozen=True, slots=True)
class _Body:
    # Body of an answer with status 200.
    raw: bytes
    # Era of the log; ``None`` if the answer names none.
    era: int | None


class PlatformLog:
    """Client of the log.

    Reads use one persistent connection per topic, because a long poll
    occupies its connection; writes, and reads of past records, share another
    client.
    """

    __slots__ = ("_readers", "_writer")

    def __init__(self, address: str) -> None:
        self._readers = {
            topic: net.HttpClient(
                address,
                connect_timeout_s=ANSWER_TIMEOUT_S,
                silence_timeout_s=MAX_WAIT_S + ANSWER_TIMEOUT_S,
                connections=1,
                body_timeout_s=BODY_TIMEOUT_S,
                max_answer_bytes=MAX_ANSWER_BYTES,
                resend=True,
                piece_timeout_s=ANSWER_TIMEOUT_S,
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
        returned ``next_offset`` is the end that the first page gives. The
        listing begins anew if the log was restored between two pages.
        """
        for _ in range(LISTING_TRIES):
            listing = self._list(topic)
            if not isinstance(listing, gateway.HistoryLost):
                return listing
        return gateway.LogUnavailable(
            "restored while it was listed", listing.era
        )

    def _list(
        self, topic: gateway.Topic
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        """List a topic; ``HistoryLost`` if two pages are of two eras."""
        records: list[gateway.KeyedRecord] = []
        after: str | None = None
        end: int | None = None
        era: int | None = None
        while True:
            match self._newest_page(topic, after):
                case gateway.LogUnavailable() as failure:
                    return failure
                case (page, page_era):
                    pass
            if None not in (era, page_era) and era != page_era:
                return gateway.HistoryLost(page_era)
            era = page_era if era is None else era
            end = page.end if end is None else end
            records.extend(_decode_item(item) for item in page.items)
            if not page.has_more or not page.items:
                return gateway.Page(tuple(records), end, era)
            after = page.items[-1].key

    def _newest_page(
        self, topic: gateway.Topic, after: str | None
    ) -> tuple[_NewestPage, int | None] | gateway.LogUnavailable:
        """Return a page of a listing and its era."""
        query = {"topic": _TOPICS[topic], "part": "0"}
        if after is not None:
            query["after"] = after
        path = f"/-/log-newest?{urllib.parse.urlencode(query)}"
        match self._get(topic, path):
            case gateway.LogUnavailable() as failure:
                return failure
            case _ErrorStatus() as error:
                return error.failure
            case _Body(raw=raw, era=era):
                pass
        match _decoding.decode_json(raw, _NewestPage):
            case result.Ok(page):
                return page, era
            case result.Err(reason):
                pass
        return gateway.LogUnavailable(f"unreadable: {reason}", era)

    def read(
        self, topic: gateway.Topic, offset: int, wait_s: float
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        """Return records from an offset.

        If there are none, the log answers as soon as there are, or after
        ``wait_s`` seconds, ``MAX_WAIT_S`` at most.
        """
        wait_s = min(wait_s, MAX_WAIT_S)
        path = _read_path(topic, offset, wait_s)
        return _page(self._get(topic, path, wait_s), offset)

    def read_past(
        self, topic: gateway.Topic, offset: int
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        """Return records from an offset, while another read may wait."""
        path = _read_path(topic, offset, 0.0)
        try:
            answer = self._writer.call("GET", path)
        except _exceptions.AgatewingError as exc:
            return gateway.LogUnavailable(str(exc))
        return _page(_decode_answer(answer), offset)

    def arriving(self, topic: gateway.Topic) -> bool:
        """Return whether a part of an answer to a read has arrived."""
        return self._readers[topic].arriving > 0

    def put(
        self, topic: gateway.Topic, key: str, value: bytes
    ) -> gateway.Stored | gateway.LogUnavailable:
        """Write the value of a key; an empty value removes the key."""
        match self._append(topic, key, value, {}):
            case gateway.LogUnavailable() as failure:
                return failure
            case _ErrorStatus() as error:
                return error.failure
            case _Body(era=era):
                return gateway.Stored(era)

    def put_if_end(
        self, topic: gateway.Topic, key: str, value: bytes, end: int
    ) -> gateway.Written | gateway.EndMismatch | gateway.LogUnavailable:
        """Write the value of a key only if the topic ends at offset ``end``.

        Returns :class:`gateway.EndMismatch` if it ends elsewhere.
        """
        match self._append(topic, key, value, {"at": end}):
            case _ErrorStatus(status=412, era=era):
                return gateway.EndMismatch(era)
            case _ErrorStatus() as error:
                return error.failure
            case gateway.LogUnavailable() as failure:
                return failure
            case _Body(raw=raw, era=era):
                pass
        match _decoding.decode_json(raw, _AppendAnswer):
            case result.Ok(written):
                return gateway.Written(written.offset, era)
            case result.Err(reason):
                pass
        return gateway.LogUnavailable(f"unreadable: {reason}", era)

    def _append(
        self,
        topic: gateway.Topic,
        key: str,
        value: bytes,
        condition: dict[str, int],
    ) -> _Body | _ErrorStatus | gateway.LogUnavailable:
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
        return _decode_answer(answer)

    def _get(
        self, topic: gateway.Topic, path: str, wait_s: float = 0.0
    ) -> _Body | _ErrorStatus | gateway.LogUnavailable:
        try:
            answer = self._readers[topic].call(
                "GET", path, head_timeout_s=wait_s + ANSWER_TIMEOUT_S
            )
        except _exceptions.AgatewingError as exc:
            return gateway.LogUnavailable(str(exc))
        return _decode_answer(answer)


def _read_path(topic: gateway.Topic, offset: int, wait_s: float) -> str:
    query = urllib.parse.urlencode(
        {
            "topic": _TOPICS[topic],
            "part": "0",
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1_000),
        }
    )
    return f"/-/log-read?{query}"


def _page(
    answer: _Body | _ErrorStatus | gateway.LogUnavailable, offset: int
) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
    """Return the records of an answer to a read from an offset."""
    match answer:
        case gateway.LogUnavailable() as failure:
            return failure
        case _ErrorStatus(status=410, era=era):
            return gateway.HistoryLost(era)
        case _ErrorStatus() as error:
            return error.failure
        case _Body(raw=raw, era=era):
            return dataclasses.replace(decode_read(raw, offset), era=era)


def _decode_answer(answer: net.HttpAnswer) -> _Body | _ErrorStatus:
    """Return the body of an answer, or its status if it isn't 200."""
    era = decode_era(answer.headers.get(_names.STORE_ERA))
    if answer.status != 200:
        return _ErrorStatus(answer.status, era)
    return _Body(answer.body, era)


def decode_era(value: str | None) -> int | None:
    """Return the era that an answer of the log names.

    ``None`` if it names none, or one that cannot be read.
    """
    if value is None:
        return None
    digits = value.strip()
    if digits.isascii() and digits.isdecimal():
        # More digits than the largest era has are not converted.
        era = int(digits) if len(digits) <= len(str(MAX_ERA)) else MAX_ERA + 1
        if era <= MAX_ERA:
            return era
    _log.warning(
        "platform: era of the log ignored, it is no number",
        extra={"era": value[:40]},
    )
    return None


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
        record = _decode_record(content, offset + count)
        count += 1
        if record is not None:
            records.append(record)
    return gateway.Page(tuple(records), offset + count)


def _decode_record(content: bytes, offset: int) -> gateway.KeyedRecord | None:
    """Decode a record; ``None`` if it is too short for its key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return gateway.KeyedRecord(key, value or None, offset)


def _decode_item(item: _Item) -> gateway.KeyedRecord:
    """Decode an item of a page of newest values."""
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        value = b""
    return gateway.KeyedRecord(item.key, value or None)
