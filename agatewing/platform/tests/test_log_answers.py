"""Answers of the log that were broken off."""

import struct

import gevent.server
import gevent.socket
import pytest

from agatewing import gateway
from agatewing import platform

HEADER = struct.pack(">QQ", 7, 0)
RECORD = struct.pack(">I", 6) + b"\x03keyvv"


# A read whose answer ended inside the length of a record passed for whole.
@pytest.mark.parametrize("size", range(1, len(RECORD)))
def test_a_read_that_ends_inside_a_record_is_no_page(size: int) -> None:
    body = HEADER + RECORD + RECORD[:size]
    page = platform.decode_read(body, 5)
    assert isinstance(page, gateway.LogUnavailable)


def test_a_whole_read_holds_its_records() -> None:
    record = gateway.KeyedRecord("key", b"vv")
    page = platform.decode_read(HEADER + RECORD + RECORD, 5)
    assert page == gateway.Page((record, record), 7)


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
        read = log.read(gateway.Topic.CONFIGURATION, 5)
    finally:
        server.stop(timeout=0)
    assert isinstance(read, gateway.Page)
    assert len(connections) == 2
