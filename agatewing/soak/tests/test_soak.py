"""Episodes of the soak: failures it found once, and fresh seeds."""

import pytest

from agatewing import soak

#: Episodes that broke a promise before their cause was mended.
FOUND = {
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


@pytest.mark.parametrize("seed", FOUND.values(), ids=list(FOUND))
def test_episode_found_once(seed: int) -> None:
    assert soak.run_episode(seed).violations == []


@pytest.mark.parametrize("seed", range(1, 11))
def test_episode(seed: int) -> None:
    outcome = soak.run_episode(seed)
    assert outcome.violations == []
    assert outcome.told["answered"] > 0
    assert outcome.versions > 1


def test_an_episode_repeats() -> None:
    one, other = soak.run_episode(3), soak.run_episode(3)
    assert one.faults == other.faults
    assert one.told == other.told
    assert one.versions == other.versions
