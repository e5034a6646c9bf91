"""The own entry is in the log again after the log lost it."""

import dataclasses

import pytest

from agatewing import _clock
from agatewing import fleetlog
from agatewing import gateway
from agatewing.gateway import _own_entry

OWN = gateway.KeyedRecord("i1", b"here")
EARLIER = gateway.KeyedRecord("i1", b"there")
OTHER = gateway.KeyedRecord("i2", b"here")


@dataclasses.dataclass
class Log:
    """A log that returns prepared answers to writes."""

    answers: list[gateway.Stored | gateway.LogUnavailable]

    def put(
        self, topic: gateway.Topic, key: str, value: bytes
    ) -> gateway.Stored | gateway.LogUnavailable:
        return self.answers.pop(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    answers: tuple[gateway.Stored | gateway.LogUnavailable, ...]
    #: Whether the entry then counts as written.
    written: bool


CASES = {
    "acknowledged": Case((gateway.Stored(1),), True),
    "no era named": Case((gateway.Stored(),), True),
    "no answer": Case((gateway.LogUnavailable("no answer"),), False),
    "the log was restored before the answer": Case(
        (gateway.Stored(1), gateway.Stored(2)), False
    ),
    "written again in the new era": Case(
        (gateway.Stored(1), gateway.Stored(2), gateway.Stored(2)), True
    ),
    "a late answer of the older era": Case(
        (gateway.Stored(2), gateway.Stored(1)), False
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_a_write_counts_only_in_its_era(name: str) -> None:
    case = CASES[name]
    log = Log(list(case.answers))
    entry = _own_entry.OwnEntry(
        log,  # type: ignore[arg-type]
        _clock.ManualClock(),
        fleetlog.LogEra(),
        OWN,
    )
    while log.answers:
        entry._wanted.set()
        entry.step()
    assert entry._wanted.is_set() != case.written


@pytest.mark.parametrize(
    ("listing", "rewrites"),
    [((OWN, OTHER), 0), ((OTHER,), 1), ((EARLIER,), 1), ((), 1)],
)
def test_an_entry_is_written_again_only_if_the_log_lacks_it(
    listing: tuple[gateway.KeyedRecord, ...], rewrites: int
) -> None:
    era = fleetlog.LogEra()
    entry = _own_entry.OwnEntry(
        Log([gateway.Stored(1)]),  # type: ignore[arg-type]
        _clock.ManualClock(),
        era,
        OWN,
    )
    entry.check(listing)
    entry.step()
    # This listing may have been read before the entry was written.
    entry.check(listing)
    assert entry.rewrites == 0
    era.observe(2)
    entry.check(listing)
    entry.check(listing)
    assert entry.rewrites == rewrites
