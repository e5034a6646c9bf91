"""Which engine probably holds which shared parts of prompts.

Pattern answered: long prompts of which half is shared by many requests,
read by several instances. A rendezvous choice by the shared parts gives all
instances the same home engine; what an engine was sent is remembered for as
long as its memory keeps it, and told to other instances with their work.
"""

import collections
import collections.abc
import dataclasses

import xxhash

#: Parts remembered for one engine.
MAX_PARTS = 4_096

#: Shared tokens from which other instances are told where they are: reading
#: them again takes as long as four steps.
TOLD_TOKENS = 256

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


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A chain of parts that an engine has or will have."""

    #: Engine.
    engine: str
    #: Hash of the chain, see :func:`chain_keys`.
    key: int
    #: Time after which the engine has it, in seconds; 0 if it has it.
    ready_s: float


@dataclasses.dataclass(slots=True)
class _Use:
    """Last use of a chain at an engine."""

    #: Monotonic time of it.
    at: float
    #: Monotonic time from which others can fetch it.
    ready_at: float


class PartIndex:
    """Parts at engines, with the time of their last use."""

    __slots__ = ("_keep_s", "_engines", "_news")

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._engines: dict[str, collections.OrderedDict[int, _Use]] = {}
        self._news: dict[tuple[str, int], float] = {}

    def add(
        self, engine: str, parts: Parts, now: float, ready_s: float = 0.0
    ) -> None:
        """Note that an engine has these parts, or will have them then."""
        keys = chain_keys(parts)
        for key in keys:
            self._use(engine, key, now, ready_s)
        if len(keys) > 1 and sum(s for _, s in parts[:-1]) >= TOLD_TOKENS:
            self._news[engine, keys[-2]] = now + ready_s

    def take(self, told: Placement, now: float) -> None:
        """Take in what another instance told."""
        self._use(told.engine, told.key, now, told.ready_s)

    def _use(self, engine: str, key: int, now: float, ready_s: float) -> None:
        held = self._engines.setdefault(engine, collections.OrderedDict())
        old = held.get(key)
        ready_at = now + ready_s
        if old is not None and now - old.at <= self._keep_s:
            ready_at = min(ready_at, old.ready_at)
        held[key] = _Use(now, ready_at)
        held.move_to_end(key)
        while len(held) > MAX_PARTS:
            held.popitem(last=False)

    def news(self, now: float, limit: int) -> list[Placement]:
        """Return, once, what others should know; the newest at most."""
        news, self._news = self._news, {}
        return [
            Placement(engine, key, max(0.0, ready_at - now))
            for (engine, key), ready_at in list(news.items())[-limit:]
        ]

    def drop(self, engine: str, parts: Parts) -> None:
        """Note that an engine does not have what it was to have."""
        held = self._engines.get(engine)
        if held is None:
            return
        for key in chain_keys(parts):
            held.pop(key, None)

    def keep(self, engines: collections.abc.Container[str]) -> None:
        """Drop what was noted of engines other than these."""
        gone = [name for name in self._engines if name not in engines]
        for name in gone:
            del self._engines[name]

    def match(
        self, parts: Parts, now: float, ready: bool = False
    ) -> dict[str, int]:
        """Return expected cached tokens by engine.

        With ``ready``, only what an engine has by now counts.
        """
        keys = chain_keys(parts)
        found: dict[str, int] = {}
        for engine, held in self._engines.items():
            tokens = total = 0
            for key, (_, size) in zip(keys, parts, strict=True):
                total += size
                use = held.get(key)
                if use is None or now - use.at > self._keep_s:
                    continue
                if not ready or use.ready_at <= now:
                    # Whoever has a chain has all parts before.
                    tokens = total
            if tokens:
                found[engine] = tokens
        return found


def chain_keys(parts: Parts) -> list[int]:
    """Return a hash for each part that includes all parts before it.

    Signed, 64 bits, the same in all instances.
    """
    keys = []
    digest = xxhash.xxh64()
    for name, _ in parts:
        digest.update(f",{name}".encode())
        keys.append(digest.intdigest() - (1 << 63))
    return keys
