"""Which engine probably holds which shared parts of prompts.

Pattern answered: long prompts of which half is shared by many requests,
read by several instances that do not talk to each other. A rendezvous
choice by the shared parts gives all instances the same home engine; what
an engine was sent from here is remembered for as long as its memory keeps
it.
"""

import collections
import collections.abc

import xxhash

#: Parts remembered for one engine.
MAX_PARTS = 4_096

#: Identity and tokens of each part of a prompt, in order.
Parts = collections.abc.Sequence[tuple[str, int]]


def home(shared: Parts, engines: collections.abc.Iterable[str]) -> str | None:
    """Return the engine on which all instances put these parts."""
    if not shared:
        return None
    key = ",".join(name for name, _ in shared)
    best, most = None, -1
    for engine in engines:
        score = xxhash.xxh64_intdigest(f"{engine}/{key}".encode())
        if score > most:
            best, most = engine, score
    return best


class PartIndex:
    """Parts sent to engines from here, with the time of their last use."""

    __slots__ = ("_keep_s", "_engines")

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._engines: dict[str, collections.OrderedDict[str, float]] = {}

    def add(self, engine: str, parts: Parts, now: float) -> None:
        """Note that an engine has, or soon will have, these parts."""
        held = self._engines.setdefault(engine, collections.OrderedDict())
        for key in _chain(parts):
            held[key] = now
            held.move_to_end(key)
        while len(held) > MAX_PARTS:
            held.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Drop what was noted of an engine that is gone."""
        self._engines.pop(engine, None)

    def match(self, parts: Parts, now: float) -> dict[str, int]:
        """Return expected cached tokens by engine."""
        keys = _chain(parts)
        found: dict[str, int] = {}
        for engine, held in self._engines.items():
            tokens = 0
            for key, (_, size) in zip(keys, parts, strict=True):
                at = held.get(key)
                if at is None or now - at > self._keep_s:
                    break
                tokens += size
            if tokens:
                found[engine] = tokens
        return found


def _chain(parts: Parts) -> list[str]:
    """Return a key for each part that includes all parts before it."""
    keys = []
    key = ""
    for name, _ in parts:
        key = f"{key},{name}"
        keys.append(key)
    return keys
