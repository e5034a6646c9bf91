"""Ranks of instances, by which one of them acts for all."""

import collections.abc

import xxhash


def rank(name: str, peers: collections.abc.Iterable[str]) -> int:
    """Return the rank of an instance among its peers; 0 is the first.

    It is by a hash of the names, so that all instances compute the same
    order.
    """
    own = _key(name)
    return sum(_key(peer) < own for peer in peers)


def _key(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
