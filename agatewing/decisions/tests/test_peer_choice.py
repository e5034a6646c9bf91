"""Which peer serves a request for an instance without links."""

import collections
import random

import pytest

from agatewing import decisions

NOW = 10.0
FULL = decisions.MAX_PER_PEER


def peer(
    name: str, in_flight: int = 0, back_off_until: float = 0.0
) -> decisions.PeerLoad:
    """Peers whose names begin with an ``o`` are in the own zone."""
    return decisions.PeerLoad(
        name, name.startswith("o"), in_flight, back_off_until
    )


CHOICES: dict[str, tuple[list[decisions.PeerLoad], set[str | None]]] = {
    "no peer": ([], {None}),
    "all are full": ([peer("o1", FULL), peer("x1", FULL)], {None}),
    "all back off": ([peer("o1", 0, NOW + 0.1)], {None}),
    "a back-off that ends": ([peer("o1", 0, NOW)], {"o1"}),
    "own zone first": ([peer("o1", 3), peer("x1")], {"o1"}),
    "own zone overloaded": (
        [peer("o1", decisions.OWN_ZONE_FACTOR), peer("x1")],
        {"x1"},
    ),
    "own zone full": ([peer("o1", FULL), peer("x1", FULL - 1)], {"x1"}),
    "own zone backs off": ([peer("o1", 0, NOW + 0.1), peer("x1", 9)], {"x1"}),
    "both overloaded": ([peer("o1", 30), peer("x1", 20)], {"o1"}),
    "the less loaded of two": ([peer("x1", 2), peer("x2", 1)], {"x2"}),
}


@pytest.mark.parametrize("name", CHOICES)
def test_the_peer_that_is_chosen(name: str) -> None:
    peers, expected = CHOICES[name]
    chosen = {
        decisions.choose_peer(peers, NOW, random.Random(seed))
        for seed in range(20)
    }
    assert chosen == expected


SPREADS = {
    # Numbers of peers in the own zone and in others.
    "a zone of five": (5, 10),
    "one left in the zone": (1, 12),
    "none left in the zone": (0, 12),
}


@pytest.mark.parametrize("name", SPREADS)
def test_requests_are_spread_over_the_peers(name: str) -> None:
    own, other = SPREADS[name]
    names = [f"o{n}" for n in range(own)] + [f"x{n}" for n in range(other)]
    loads: collections.Counter[str] = collections.Counter()
    rng = random.Random(7)
    for _ in range(120):
        views = [peer(name, loads[name]) for name in names]
        chosen = decisions.choose_peer(views, NOW, rng)
        assert chosen is not None
        loads[chosen] += 1
    for zone in ("o", "x"):
        counts = [loads[name] for name in names if name.startswith(zone)]
        assert max(counts, default=0) - min(counts, default=0) <= 6
    if own:
        most = decisions.OWN_ZONE_FACTOR * (1 + max(loads[n] for n in names))
        assert max(loads[n] for n in names if n.startswith("o")) <= most
