"""Ranks of instances, by which one of them acts for all."""

import collections.abc
import functools

import xxhash

#: Returns the bandwidth of an instance's link in Mbit/s, given its name; 0 if
#: it is not known.
LinkMbps = collections.abc.Callable[[str], float]

#: Largest number of names whose keys are kept; a large fleet has hundreds of
#: instances.
MAX_KEYS = 4_096


def rank(name: str, peers: collections.abc.Iterable[str]) -> int:
    """Return the rank of an instance among its peers; 0 is the first.

    It is by a hash of the names, so that all instances compute the same
    order.
    """
    own = _key(name)
    return sum(_key(peer) < own for peer in peers)


def first(names: collections.abc.Iterable[str], count: int) -> list[str]:
    """Return the names of the instances with the lowest ranks, in order."""
    return sorted(names, key=_key)[:count]


def fastest(
    names: collections.abc.Iterable[str], count: int, link_mbps: LinkMbps
) -> list[str]:
    """Return the names of the instances with the fastest links, in order.

    Among equals, the rank decides. So it does among all while the link of one
    of them is not known: earlier releases rank by that alone, and all have to
    choose the same.
    """
    links = {name: link_mbps(name) for name in names}
    if not all(links.values()):
        return first(links, count)
    return sorted(links, key=lambda name: (-links[name], _key(name)))[:count]


@functools.lru_cache(maxsize=MAX_KEYS)
def _key(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
