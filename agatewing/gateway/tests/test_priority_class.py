"""Priority classes of prompts at an engine."""

import pytest

from agatewing import decisions

ORDER = {
    "a short question before a label": (800, 2_400),
    "a label before the longest label": (2_400, 6_900),
    # While both shared a class, 0.16 of the longest labels were served, of all
    # requests 0.86.
    "the longest label before a long draft": (6_900, 12_000),
}

SAME = {
    # While the longest drafts had a class of their own, 0.37 of them were
    # served, of all requests 0.77.
    "the longest draft is not behind all others": (9_000, 54_000),
}


@pytest.mark.parametrize("name", ORDER)
def test_the_shorter_prompt_has_a_lower_class(name: str) -> None:
    first, second = ORDER[name]
    assert decisions.engine_class(first, False) < decisions.engine_class(
        second, False
    )


@pytest.mark.parametrize("name", SAME)
def test_long_prompts_share_a_class(name: str) -> None:
    first, second = SAME[name]
    assert decisions.engine_class(first, False) == decisions.engine_class(
        second, False
    )
