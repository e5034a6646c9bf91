"""Answers of the log that were broken off."""

import struct

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
