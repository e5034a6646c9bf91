"""Hashes of names that all instances compute alike, for their messages."""

import xxhash


def long_key(name: str) -> int:
    """Return a signed 64-bit hash."""
    return xxhash.xxh64_intdigest(name.encode()) - (1 << 63)


def short_key(name: str) -> int:
    """Return a signed 32-bit hash."""
    return xxhash.xxh32_intdigest(name.encode()) - (1 << 31)
