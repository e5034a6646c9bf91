"""Entries among those of the targets that another writer has left.

One that does not describe a target is ignored; the others hold.
"""

import msgspec
import pytest

from agatewing import gateway
from agatewing import platform
from agatewing.platform import standins
from agatewing import wire

#: Number of brackets beyond what any decoder follows.
DEPTH = 200_000

ENTRY = {
    "service": "chat",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "stage": "decode",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1_790_000_000_000,
}


def changed(**fields: object) -> bytes:
    return msgspec.json.encode({**ENTRY, **fields})


def with_raw(field: str, raw: bytes) -> bytes:
    """Return an entry with JSON that the encoder would not write."""
    whole = changed(**{field: "RAW"})
    return whole.replace(b'"RAW"', raw)


ODD = {
    "nested brackets": b"[" * DEPTH,
    "nested objects": b'{"a":' * DEPTH,
    "a nested field": with_raw("other", b"[" * DEPTH + b"]" * DEPTH),
    "a port of 6,000 digits": changed(address="10.0.0.1:" + "9" * 6_000),
    "a port out of range": changed(address="10.0.0.1:70000"),
    "a port of other digits": changed(address="10.0.0.1:\u0668\u0660"),
    "port 0": changed(address="10.0.0.1:0"),
    "no IP address": changed(address="example:80"),
    "an IPv6 address": changed(address="fe80::1%" + "x" * 3_000 + ":80"),
    "2^63 places": changed(slots=2**63),
    "places of 400 digits": with_raw("slots", b"9" * 400),
    "places of 6,000 digits": with_raw("slots", b"9" * 6_000),
    "no places": changed(slots=0),
    "places below 0": changed(slots=-5),
    "a start of 2^80": with_raw("born", b"%d" % 2**80),
    "a start of 2^62": changed(born=2**62),
    "a start below 0": changed(born=-1),
    "cold for 1e308 ms": changed(cold_left_ms=1e308),
    "cold for less than nothing": changed(cold_left_ms=-1.0),
    "a sequence of 2^64": changed(seq=2**64),
    "a sequence below 0": changed(seq=-1),
    "a version of 100 kB": changed(version="v" * 100_000),
    "a zone of 100 kB": changed(zone="z" * 100_000),
    "an unknown state": changed(state="odd"),
    "a field of another type": changed(slots="8"),
    "a field missing": msgspec.json.encode({"service": "chat"}),
    "bytes that cannot be read": b"\xff\xfe\x00",
    "a half character": with_raw("zone", b'"\\ud800"'),
}

ODD_KEYS = {
    "a line break": "odd\r\nX-Request-Priority: 0",
    "a blank": "odd key",
    "no character": "",
    "a letter beyond ASCII": "odd\u00e9",
    "a control character": "odd\x00",
}


@pytest.mark.parametrize("name", ODD)
def test_an_odd_entry_is_no_target(name: str) -> None:
    decoder = platform.RecordDecoder()
    assert decoder.target(gateway.KeyedRecord("odd", ODD[name])) is None


# The id of a target becomes a header of the requests to it.
@pytest.mark.parametrize("name", ODD_KEYS)
def test_an_entry_under_an_odd_key_is_no_target(name: str) -> None:
    decoder = platform.RecordDecoder()
    record = gateway.KeyedRecord(ODD_KEYS[name], changed())
    assert decoder.target(record) is None


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"slots": 1},
        {"slots": 65_536},
        {"born": 0},
        {"seq": 2**63 - 1},
        {"cold_left_ms": 600_000.0},
        {"other": "of a later release"},
        {"version": ""},
    ],
    ids=str,
)
def test_a_sound_entry_is_a_target(fields: dict[str, object]) -> None:
    decoder = platform.RecordDecoder()
    record = gateway.KeyedRecord("i-1", changed(**fields))
    assert decoder.target(record) is not None


@pytest.mark.parametrize(
    "value",
    [
        b"[" * DEPTH,
        b'{"a":' * DEPTH,
        b'{"version":' + b"9" * 6_000 + b"}",
        b'{"version":1,"routes":[],"services":[],"x":' + b"[" * DEPTH,
    ],
    ids=["brackets", "objects", "a long version", "a nested field"],
)
def test_an_odd_configuration_keeps_the_last_one(value: bytes) -> None:
    decoder = platform.RecordDecoder()
    record = gateway.KeyedRecord("config", value)
    assert decoder.configuration(record) is None


# The loop that reads the entries ended at the first odd one, so the instance
# followed nothing any more, and at its next start never became ready.
@pytest.mark.parametrize("when", ["before the start", "while it follows"])
def test_an_instance_goes_on_beside_odd_entries(when: str) -> None:
    with standins.Site() as site:
        site.route("/find/", "safe")
        site.add_target("e1", role=None)
        site.publish()
        before = when == "before the start"
        if before:
            write_odd_entries(site)
        instances = [site.start("i1"), site.start("i2")]
        for instance in instances:
            site.wait(lambda: instance.lifecycle.ready)
        if not before:
            write_odd_entries(site)
        site.add_target("e2", role=None)
        version = site.publish()
        for instance in instances:
            site.wait(lambda: set(instance.catalog.targets) == {"e1", "e2"})
            site.wait(lambda: instance.catalog.config_version == version)
            assert instance.peers.reply(wire.StateRequest()).known
            for number in range(4):
                reply = site.ask(instance, "/find/x", f"r{number}")
                assert (reply.status, reply.complete) == (200, True)


def write_odd_entries(site: standins.Site) -> None:
    for number, value in enumerate(ODD.values()):
        site.store.put("keyed.servers", f"odd-{number}", value)
        # Others may write to these topics, too.
        site.store.put("keyed.instances", f"odd-{number}", value)
    for key in ODD_KEYS.values():
        site.store.put("keyed.servers", key, changed())
    site.store.put("keyed.op", "other", b"[" * DEPTH)
