"""Index of the prompt prefix blocks that engines probably have cached.

It is used by gateway/, where a request names its blocks. The index of fleet/
and entry/ is in :mod:`agatewing.decisions._prefix_index`.

Many long prompts share half of their tokens with others, and several
instances route them. Rendezvous hashing of the shared blocks gives all
instances the same preferred engine. The blocks sent to an engine are
remembered for as long as its cache keeps them, and their placements are
published to the other instances with the load reports.
"""

import collections
import collections.abc
import dataclasses

import xxhash

#: Largest number of prefixes remembered for one engine.
MAX_PREFIXES_PER_ENGINE = 4_096

#: Shortest shared prefix whose placement is published, in tokens: processing
#: so many again takes as long as four steps.
MIN_PUBLISHED_TOKENS = 256

#: Identity and number of tokens of each prefix block of a prompt, in order.
PrefixBlocks = collections.abc.Sequence[tuple[str, int]]


def preferred_engine(
    shared: PrefixBlocks, engines: collections.abc.Iterable[str]
) -> str | None:
    """Return the engine that all instances prefer for these prefix blocks.

    ``None`` if there are no shared blocks or no engines.
    """
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
    """A prompt prefix that an engine has cached or will have cached."""

    #: Name of the engine.
    engine: str
    #: Hash of the prefix, see :func:`prefix_hashes`.
    key: int
    #: Time until the engine has it, in seconds; 0 if it has it now.
    ready_s: float


@dataclasses.dataclass(slots=True)
class _LastUse:
    """Last use of a prompt prefix on an engine."""

    #: Monotonic time of the use, in seconds.
    at: float
    #: Monotonic time from which other engines can fetch it, in seconds.
    ready_at: float


class PlacementIndex:
    """Maps engines to prompt prefixes and the time of their last use."""

    __slots__ = ("_keep_s", "_engines", "_unpublished")

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._engines: dict[str, collections.OrderedDict[int, _LastUse]] = {}
        self._unpublished: dict[tuple[str, int], float] = {}

    def add(
        self,
        engine: str,
        blocks: PrefixBlocks,
        now: float,
        ready_s: float = 0.0,
    ) -> None:
        """Record that an engine has these blocks, or will in ``ready_s``.

        The last block is specific to this request, so only the prefix
        before it will be published.
        """
        keys = prefix_hashes(blocks)
        for key in keys:
            self._record_use(engine, key, now, ready_s)
        if (
            len(keys) > 1
            and sum(s for _, s in blocks[:-1]) >= MIN_PUBLISHED_TOKENS
        ):
            self._unpublished[engine, keys[-2]] = now + ready_s

    def merge(self, placement: Placement, now: float) -> None:
        """Add a placement that another instance published."""
        self._record_use(
            placement.engine, placement.key, now, placement.ready_s
        )

    def _record_use(
        self, engine: str, key: int, now: float, ready_s: float
    ) -> None:
        prefixes = self._engines.setdefault(engine, collections.OrderedDict())
        previous = prefixes.get(key)
        ready_at = now + ready_s
        if previous is not None and now - previous.at <= self._keep_s:
            # A new use does not delay a prefix that is ready earlier.
            ready_at = min(ready_at, previous.ready_at)
        prefixes[key] = _LastUse(now, ready_at)
        prefixes.move_to_end(key)
        while len(prefixes) > MAX_PREFIXES_PER_ENGINE:
            prefixes.popitem(last=False)

    def take_unpublished(self, now: float, limit: int) -> list[Placement]:
        """Return the newest ``limit`` placements to publish.

        Each placement is returned once; older ones are discarded.
        """
        placements, self._unpublished = self._unpublished, {}
        return [
            Placement(engine, key, max(0.0, ready_at - now))
            for (engine, key), ready_at in list(placements.items())[-limit:]
        ]

    def drop(self, engine: str, blocks: PrefixBlocks) -> None:
        """Remove blocks of an engine, as after a failed prefill."""
        prefixes = self._engines.get(engine)
        if prefixes is None:
            return
        for key in prefix_hashes(blocks):
            prefixes.pop(key, None)

    def retain_engines(self, engines: collections.abc.Container[str]) -> None:
        """Remove all engines but these."""
        removed = [name for name in self._engines if name not in engines]
        for name in removed:
            del self._engines[name]

    def match(
        self, blocks: PrefixBlocks, now: float, ready: bool = False
    ) -> dict[str, int]:
        """Return the expected prefix cache hit tokens by engine.

        With ``ready``, only blocks count that other engines can fetch now.
        """
        keys = prefix_hashes(blocks)
        tokens_by_engine: dict[str, int] = {}
        for engine, prefixes in self._engines.items():
            tokens = total = 0
            for key, (_, size) in zip(keys, blocks, strict=True):
                total += size
                use = prefixes.get(key)
                if use is None or now - use.at > self._keep_s:
                    continue
                if not ready or use.ready_at <= now:
                    # An engine that has a prefix has all of its blocks.
                    tokens = total
            if tokens:
                tokens_by_engine[engine] = tokens
        return tokens_by_engine


def prefix_hashes(blocks: PrefixBlocks) -> list[int]:
    """Return the hash of the prefix that ends with each block.

    The hashes are signed 64-bit numbers, as in the thrift record that carries
    them, and equal in all instances.
    """
    keys = []
    digest = xxhash.xxh64()
    for name, _ in blocks:
        digest.update(f",{name}".encode())
        keys.append(digest.intdigest() - (1 << 63))
    return keys
