"""The class of a prompt at an engine."""

import pytest

from agatewing.gateway import _prefill

ORDER = {
    "a short question before a label": (800, 2_400),
    "a label before the longest label": (2_400, 6_900),
    # Found by a score on tala-ops: 0.16 of these were served, of all 0.86.
    "the longest label before a long draft": (6_900, 12_000),
}

SAME = {
    # Found by a score on tala-ops: 0.37 of these were served, of all 0.77.
    "the longest draft is not behind all others": (9_000, 54_000),
}


@pytest.mark.parametrize("name", ORDER)
def test_what_goes_first(name: str) -> None:
    first, second = ORDER[name]
    assert _prefill.urgency_of(first) < _prefill.urgency_of(second)


@pytest.mark.parametrize("name", SAME)
def test_what_waits_alike(name: str) -> None:
    first, second = SAME[name]
    assert _prefill.urgency_of(first) == _prefill.urgency_of(second)
