"""Hashes that all instances compute alike, for their messages."""

import collections.abc

import xxhash


def long_key(name: str) -> int:
    """Return a signed 64-bit hash."""
    return xxhash.xxh64_intdigest(name.encode()) - (1 << 63)


def fingerprint(parts: collections.abc.Iterable[bytes]) -> int:
    """Return a signed 64-bit hash of a sequence of byte strings.

    The lengths count too, so that no two sequences are taken for one.
    """
    digest = xxhash.xxh64()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.intdigest() - (1 << 63)


def short_key(name: str) -> int:
    """Return a signed 32-bit hash."""
    return xxhash.xxh32_intdigest(name.encode()) - (1 << 31)
