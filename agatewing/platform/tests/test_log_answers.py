"""Answers of the log that were broken off."""

import base64
import struct

import gevent.server
import gevent.socket
import msgspec
import pytest

from agatewing import gateway
from agatewing import platform
from agatewing.platform import _log
from agatewing.platform import standins

HEADER = struct.pack(">QQ", 7, 0)
RECORD = struct.pack(">I", 6) + b"\x03keyvv"


# A read whose answer ended inside the length of a record passed for whole.
@pytest.mark.parametrize("size", range(1, len(RECORD)))
def test_a_read_that_ends_inside_a_record_is_no_page(size: int) -> None:
    body = HEADER + RECORD + RECORD[:size]
    page = platform.decode_read(body, 5)
    assert isinstance(page, gateway.LogUnavailable)


def test_a_whole_read_holds_its_records() -> None:
    records = tuple(gateway.KeyedRecord("key", b"vv", n) for n in (5, 6))
    page = platform.decode_read(HEADER + RECORD + RECORD, 5)
    assert page == gateway.Page(records, 7)


# Pages of four configurations took longer than a read may on a link that also
# carried requests; each read began anew, and the instance stayed behind.
def test_the_largest_page_crosses_half_of_a_slow_link_in_time() -> None:
    record_bytes, free_bytes_per_s = 262_144, 5_000_000 / 8 / 2
    # The last record of a page may exceed its size.
    most_bytes = _log.MAX_READ_KB * 1_024 + record_bytes
    assert _log.MAX_READ_KB * 1_024 > record_bytes
    assert most_bytes / free_bytes_per_s < _log.BODY_TIMEOUT_S


# A read ended with its connection when the log closed that, though another
# connection would have served it; instances kept an old configuration.
def test_a_read_is_sent_again_if_its_connection_closes() -> None:
    page = HEADER + RECORD + RECORD
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page)
    connections: list[gevent.socket.socket] = []

    def serve(sock: gevent.socket.socket, _: object) -> None:
        connections.append(sock)
        sock.recv(65_536)
        if len(connections) > 1:
            sock.sendall(answer + page)
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    log = platform.connect(f"127.0.0.1:{server.server_port}").log
    try:
        read = log.read(gateway.Topic.CONFIGURATION, 5, 0.0)
    finally:
        server.stop(timeout=0)
    assert isinstance(read, gateway.Page)
    assert len(connections) == 2


# A connection that fell silent within the body of an answer was noticed only
# at the time limit of the whole body, which is long as bodies are large.
@pytest.mark.parametrize("call", ["read", "read_newest"])
def test_a_silence_within_a_body_is_noticed_before_its_time_limit(
    call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_log, "BODY_TIMEOUT_S", 60.0)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"

    def serve(sock: gevent.socket.socket, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(head + HEADER + RECORD)
        gevent.sleep(60.0)

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    log = platform.connect(f"127.0.0.1:{server.server_port}").log
    topic = gateway.Topic.CONFIGURATION
    try:
        with gevent.Timeout(10.0, AssertionError("not noticed")):
            if call == "read":
                answer = log.read(topic, 5, 0.0)
            else:
                answer = log.read_newest(topic)
    finally:
        server.stop(timeout=0)
    assert isinstance(answer, gateway.LogUnavailable)


@pytest.mark.parametrize(
    ("value", "era"),
    [
        (None, None),
        ("1", 1),
        (" 7 ", 7),
        ("0", 0),
        (str(2**63 - 1), 2**63 - 1),
        (str(2**63), None),
        ("9" * 10_000, None),
        ("", None),
        ("-1", None),
        ("1.5", None),
        ("1, 2", None),
        ("\u0663", None),
        ("era", None),
    ],
)
def test_the_era_of_an_answer(value: str | None, era: int | None) -> None:
    assert platform.decode_era(value) == era


class PagedLog:
    """Serves a listing of two pages; each answer names the next era."""

    def __init__(self, eras: list[str]) -> None:
        self.eras = eras
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock: gevent.socket.socket, _: object) -> None:
        while data := sock.recv(65_536):
            era = self.eras.pop(0)
            first = b"after=" not in data
            key = "a" if first else "b"
            value = base64.b64encode(f"era {era}".encode()).decode()
            body = msgspec.json.encode(
                {
                    "items": [{"key": key, "value": value, "offset": 0}],
                    "has_more": first,
                    "end": 7 if era == "1" else 3,
                }
            )
            named = f"Store-Era: {era}\r\n" if era else ""
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s"
                % (len(body), named.encode(), body)
            )


@pytest.mark.parametrize(
    ("eras", "listed"),
    [
        (["1", "1"], (7, 1)),
        (["", ""], (3, None)),
        (["1", "2", "2", "2"], (3, 2)),
        (["2", "1", "2", "2"], (3, 2)),
        (["1", "2", "3", "4", "5", "6"], 6),
    ],
)
def test_the_pages_of_a_listing_are_of_one_era(
    eras: list[str], listed: tuple[int, int | None] | int
) -> None:
    paged = PagedLog(eras)
    log = platform.connect(f"127.0.0.1:{paged.server.server_port}").log
    try:
        answer = log.read_newest(gateway.Topic.TARGETS)
    finally:
        paged.server.stop(timeout=0)
    assert not paged.eras
    if isinstance(listed, int):
        assert isinstance(answer, gateway.LogUnavailable)
        assert answer.era == listed
        return
    assert isinstance(answer, gateway.Page)
    assert (answer.next_offset, answer.era) == listed
    values = {record.value for record in answer.records}
    assert len(values) == 1


@pytest.mark.parametrize("mode", list(standins.StoreMode)[:3])
def test_all_calls_report_the_era(mode: standins.StoreMode) -> None:
    store = standins.StoreStandin()
    store.era = 5
    store.mode = mode
    topic = gateway.Topic.ORDERS
    log = platform.connect(store.address).log
    try:
        answers = [
            log.read_newest(topic),
            log.read(topic, 0, 0.0),
            log.read(topic, 9, 0.0),
            log.put(topic, "k", b"v"),
            log.put_if_end(topic, "k", b"v", 1),
            log.put_if_end(topic, "k", b"v", 9),
        ]
    finally:
        store.stop()
    assert [answer.era for answer in answers] == [5] * len(answers)


# All instances awaited a read of an outage for 4.6 s: the log was back, and a
# configuration acknowledged, for 3.4 s of them.
def test_a_read_that_waits_for_no_records_fails_within_a_second() -> None:
    store = standins.StoreStandin()
    log = platform.connect(store.address).log
    store.mode = standins.StoreMode.SILENT
    try:
        with gevent.Timeout(1.0):
            answer = log.read(gateway.Topic.TARGETS, 0, wait_s=0.0)
    finally:
        store.stop()
    assert isinstance(answer, gateway.LogUnavailable)
