"""Which engine may have cached which prompt prefix: hints that fade."""

import collections

#: Blocks remembered over all engines.
MAX_BLOCKS = 200_000
#: Time after which a hint is not used any more, in seconds.
FADE_S = 300.0
#: Engines remembered for one block.
MAX_HOLDERS = 4


class PrefixIndex:
    """Maps hashes of prompt blocks to engines; may be wrong."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )

    def add(self, engine: str, blocks: tuple[int, ...], now: float) -> None:
        """Note that an engine has, or soon will have, these blocks."""
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders[engine] = now
            if len(holders) > MAX_HOLDERS:
                del holders[min(holders, key=lambda name: holders[name])]
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def remove(self, engine: str, blocks: tuple[int, ...]) -> None:
        """Note that an engine evicted these blocks."""
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
        """Return expected cached tokens by engine."""
        matched: dict[str, int] = {}
        holding: set[str] | None = None
        for index, block in enumerate(blocks):
            holders = self._holders.get(block)
            if not holders:
                break
            fresh = {n for n, at in holders.items() if now - at < FADE_S}
            holding = fresh if holding is None else holding & fresh
            if not holding:
                break
            for name in holding:
                matched[name] = (index + 1) * block_tokens
        return matched
