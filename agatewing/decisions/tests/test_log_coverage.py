"""Which parts of the log count as seen, and since when."""

import dataclasses
import math

import pytest

from agatewing import decisions

ALWAYS = -math.inf


def stretch(
    start: int, through: int, since: float = 50.0, era: int = 1
) -> decisions.LogStretch:
    return decisions.LogStretch(era, start, through, since)


def read_through(
    *stretches: decisions.LogStretch,
) -> decisions.LogCoverage:
    """Return what an instance has seen that has read these one by one."""
    coverage = decisions.LogCoverage()
    for seen in stretches:
        coverage.advance(seen)
    return coverage


COMPLETE = stretch(20, 30, ALWAYS)
LISTED = stretch(45, 45)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    #: Parts that this instance has read, and parts that others vouch for.
    read: tuple[decisions.LogStretch, ...]
    vouched: tuple[decisions.LogStretch, ...]
    since: float
    gap: tuple[int, int] | None = None


CASES = {
    "nothing": Case((), (), math.inf),
    "nothing read yet": Case((), (COMPLETE,), math.inf),
    "the first listing": Case((LISTED,), (), 50.0),
    "a read from there on": Case((LISTED, stretch(45, 60, 90.0)), (), 50.0),
    "a listing at the same offset": Case(
        (COMPLETE, stretch(30, 30)), (), ALWAYS
    ),
    "a later listing": Case((COMPLETE, LISTED), (), 50.0, (30, 45)),
    "a listing of another era": Case(
        (COMPLETE, stretch(25, 25, era=2)), (), 50.0
    ),
    "the gap is vouched for": Case(
        (COMPLETE, LISTED), (stretch(30, 45),), ALWAYS
    ),
    "a part of the gap": Case(
        (COMPLETE, LISTED), (stretch(31, 45),), 50.0, (30, 31)
    ),
    "in two parts": Case(
        (COMPLETE, LISTED), (stretch(38, 50), stretch(29, 38)), ALWAYS
    ),
    "by one who has missed less": Case(
        (LISTED,), (stretch(40, 50, 10.0),), 10.0
    ),
    "by one who reads from later on": Case(
        (LISTED,), (stretch(48, 50, 10.0),), 10.0
    ),
    "in another era": Case(
        (COMPLETE, LISTED), (stretch(30, 45, era=2),), 50.0, (30, 45)
    ),
    "by a record of before": Case(
        (LISTED,), (stretch(40, 40, ALWAYS),), 50.0, (40, 45)
    ),
    "by a record and what came since": Case(
        (LISTED,), (stretch(40, 40, ALWAYS), stretch(40, 52)), ALWAYS
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_parts_are_joined_only_if_nothing_lies_between(name: str) -> None:
    case = CASES[name]
    coverage = read_through(*case.read)
    for seen in case.vouched:
        coverage.vouch(seen)
    assert coverage.since == case.since
    assert coverage.gap == case.gap


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    #: First record that the other instance remembers, and how far it has read.
    memory: tuple[int, int]
    position: tuple[int, int]
    heard: bool
    read: tuple[decisions.LogStretch, ...] = (COMPLETE, LISTED)


NEW_ERA = (COMPLETE, stretch(25, 25, era=2))
TOLD = {
    "it has run all the while": Told((1, 4), (1, 45), True),
    "it started just before": Told((1, 30), (1, 60), True),
    # What it saw before its restart may have been in the gap.
    "it has restarted since": Told((1, 31), (1, 60), False),
    # It may still read, and use, what was missed here.
    "it has read less": Told((1, 4), (1, 44), False),
    "it is in the era before": Told((1, 4), (1, 90), False, NEW_ERA),
    "it ran when the log was restored": Told((1, 30), (2, 25), True, NEW_ERA),
    "it started after that": Told((2, 25), (2, 25), False, NEW_ERA),
    "nothing was missed": Told((1, 4), (1, 60), False, (COMPLETE,)),
}


# An instance that had restarted, or was behind, answered that it knew no other
# version.
@pytest.mark.parametrize("name", TOLD)
def test_what_nobody_saw_counts_once_all_have_told(name: str) -> None:
    case = TOLD[name]
    coverage = read_through(*case.read)
    before = coverage.since
    coverage.hear("i2", case.memory, case.position)
    if len(case.read) == 1:
        assert not coverage.unheard(["i2"])
        return
    assert coverage.unheard(["i2"]) == (set() if case.heard else {"i2"})
    assert coverage.unheard(["i2", "i3"]) >= {"i3"}
    coverage.join_all()
    assert (before, coverage.since) == (50.0, ALWAYS)
    assert not coverage.unheard(["i2", "i3"])


# An answer to the question after one gap counted for a later one too.
def test_another_gap_has_to_be_told_of_again() -> None:
    coverage = read_through(COMPLETE, LISTED)
    coverage.hear("i2", (1, 4), (1, 60))
    assert not coverage.unheard(["i2"])
    coverage.advance(stretch(70, 70))
    assert coverage.unheard(["i2"]) == {"i2"}
