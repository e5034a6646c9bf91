"""Index of the prompt blocks that engines may have cached.

It is used by fleet/ and entry/, and filled from the requests sent and the
engines' cache events. Entries are hints that expire. The index of gateway/ is
in :mod:`agatewing.decisions._placement_index`.
"""

import collections

#: Largest number of blocks remembered for all engines together.
MAX_BLOCKS = 200_000
#: Time after which a hint expires, in seconds.
HINT_TTL_S = 300.0
#: Largest number of engines remembered for one block.
MAX_HOLDERS = 4


class PrefixIndex:
    """Maps hashes of prompt blocks to engines that may have cached them."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )

    def add(self, engine: str, blocks: tuple[int, ...], now: float) -> None:
        """Record that an engine has, or soon will have, these blocks."""
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders[engine] = now
            if len(holders) > MAX_HOLDERS:
                del holders[min(holders, key=lambda name: holders[name])]
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def remove(self, engine: str, blocks: tuple[int, ...]) -> None:
        """Record that an engine evicted these blocks."""
        for block in blocks:
            holders = self._holders.get(block)
            if holders is None:
                continue
            holders.pop(engine, None)
            if not holders:
                del self._holders[block]

    def match(
        self, blocks: tuple[int, ...], block_tokens: int, now: float
    ) -> dict[str, int]:
        """Return the expected prefix cache hit tokens by engine.

        ``block_tokens`` is the number of tokens of each block.
        """
        matched: dict[str, int] = {}
        prefix_holders: set[str] | None = None
        for index, block in enumerate(blocks):
            holders = self._holders.get(block)
            if not holders:
                break
            fresh = {n for n, at in holders.items() if now - at < HINT_TTL_S}
            prefix_holders = (
                fresh if prefix_holders is None else prefix_holders & fresh
            )
            if not prefix_holders:
                break
            for name in prefix_holders:
                matched[name] = (index + 1) * block_tokens
        return matched
