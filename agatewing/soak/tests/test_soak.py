"""Soak episodes: seeds that once broke a promise, and others."""

import pytest

from agatewing import soak

#: Seeds of episodes that broke a promise, by the cause since fixed.
REGRESSIONS = {
    "refused before the configuration was there": 100_001,
    "key older than the log's records": 100_002,
    "owner's records expired": 400_001,
    "peer taken for dead was not asked": 400_010,
    "spoke of the log a slow round trip ago": 1_200_000,
    "took another attempt for its own": 1_400_002,
    "proved its view against the peers of before a freeze": 3,
    "took buffered heartbeats for fresh": 4_100_017,
    "sent work after a thaw": 5_100_007,
    "log age at the edge of fresh": 6_200_007,
}


@pytest.mark.parametrize("seed", REGRESSIONS.values(), ids=list(REGRESSIONS))
def test_episode_that_once_broke_a_promise(seed: int) -> None:
    assert soak.run_episode(seed).violations == []


@pytest.mark.parametrize("seed", range(1, 11))
def test_episode(seed: int) -> None:
    episode = soak.run_episode(seed)
    assert episode.violations == []
    assert episode.outcomes["answered"] > 0
    assert episode.versions > 1


def test_an_episode_is_reproducible() -> None:
    first, second = soak.run_episode(3), soak.run_episode(3)
    assert first.faults == second.faults
    assert first.outcomes == second.outcomes
    assert first.versions == second.versions
