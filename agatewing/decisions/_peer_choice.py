"""Choose the peer that serves a request for an instance without links."""

import collections.abc
import dataclasses
import random

#: Largest number of requests that one instance has handed on to one peer.
MAX_PER_PEER = 64
#: Number of requests in flight, as a multiple of those at a peer of another
#: availability zone, at which a peer of the own zone is passed over.
OWN_ZONE_FACTOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """A peer that reaches the targets, and what was handed on to it."""

    #: Name of the instance.
    name: str
    #: Whether it is in the availability zone of this instance.
    own_zone: bool
    #: Number of requests that it serves for this instance now.
    in_flight: int
    #: Monotonic time until which nothing is handed on to it, in seconds.
    back_off_until: float = 0.0


def choose_peer(
    peers: collections.abc.Iterable[PeerLoad], now: float, rng: random.Random
) -> str | None:
    """Return the name of the peer for a request; ``None`` if none has room.

    Of two peers drawn from the own availability zone, the less loaded one is
    chosen, unless one of two drawn from the others has far less to do.
    """
    free = [
        peer
        for peer in peers
        if peer.in_flight < MAX_PER_PEER and peer.back_off_until <= now
    ]
    own = _less_loaded([peer for peer in free if peer.own_zone], rng)
    other = _less_loaded([peer for peer in free if not peer.own_zone], rng)
    if own is None or other is None:
        chosen = own or other
        return chosen.name if chosen is not None else None
    limit = OWN_ZONE_FACTOR * (other.in_flight + 1)
    return own.name if own.in_flight < limit else other.name


def _less_loaded(
    peers: collections.abc.Sequence[PeerLoad], rng: random.Random
) -> PeerLoad | None:
    """Return the less loaded of two peers that are drawn at random."""
    drawn = rng.sample(peers, min(2, len(peers)))
    return min(drawn, key=lambda peer: peer.in_flight, default=None)
