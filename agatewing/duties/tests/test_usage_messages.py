"""Messages of usage, and releases that do not know them."""

import pytest
import result

from agatewing import duties
from agatewing.duties import _usage_exchange
from agatewing.duties.tests import _fakes
from agatewing import wire

CODEC = wire.Codec(_fakes.SECRET)
REPORT = wire.WorkNote(
    instance="i1",
    sequence=1,
    work=[],
    config_version=1,
    through=1,
    changing=[],
    held=[],
)
NOTE = wire.UsageNote(
    instance="i1", start_ms=1, window=1, accounts=["x"], counts=[1]
)


def test_no_message_is_taken_for_the_other() -> None:
    report, note = CODEC.encode(REPORT), CODEC.encode(NOTE)
    assert isinstance(CODEC.decode(wire.WorkNote, report), result.Ok)
    assert isinstance(CODEC.decode(wire.UsageNote, note), result.Ok)
    assert isinstance(CODEC.decode(wire.WorkNote, note), result.Err)
    assert isinstance(CODEC.decode(wire.UsageNote, report), result.Err)


@pytest.mark.parametrize("length", (1, 64, 255))
def test_a_note_fits_into_a_datagram_whatever_names_accounts_have(
    length: int,
) -> None:
    fleet = _fakes.Fleet({"a1": "a", "a2": "a"})
    names = [f"{number:03}".ljust(length, "x") for number in range(100)]
    sent: list[bytes] = []
    sender, keeper = fleet.instances.values()
    for name in names:
        sender.reports.begin(name)
    fleet.datagrams = sent
    fleet.advance(0.25)
    assert sent
    assert max(map(len, sent)) <= _usage_exchange.NOTE_BYTES
    assert keeper.counts.totals(fleet.window()) == dict.fromkeys(names, 1)


ANSWERS = {
    "a snapshot of an earlier release": wire.StateReply(
        known=True, through=1, state=b'{"version": 1}'
    ),
    "nothing": wire.StateReply(known=False, through=0, state=b""),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_with_something_else_is_none(name: str) -> None:
    fleet = _fakes.Fleet({"a1": "a", "b1": "b"})
    fleet.answers["b1"] = ANSWERS[name]
    window = fleet.window()
    assert fleet.instances["a1"].exchange.gather(window, window) == 0.0
    del fleet.answers["b1"]
    assert fleet.instances["a1"].exchange.gather(window, window) == 1.0


@pytest.mark.parametrize("key", ("", "1", "x:y", "5:1", "-1:2", f"0:{10**30}"))
def test_any_key_of_a_question_is_answered(key: str) -> None:
    fleet = _fakes.Fleet({"a1": "a"})
    reply = fleet.instances["a1"].exchange.reply(key)
    assert len(reply.state) < 10_000


def test_a_claim_for_roles_is_as_before() -> None:
    record = duties.ClaimRecord("i1", "1", {"chat": 0.5})
    fleet = _fakes.Fleet({"a1": "a"})
    assert record.usage is None
    claims = duties.Claims(fleet.log, fleet.clock, record, _fakes.GAP_S)
    assert claims.acquire({"chat": 0.5}) is not None
    assert fleet.log.records == [
        b'{"holder":"i1","start":"1","split":{"chat":0.5}}'
    ]
