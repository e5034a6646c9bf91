"""Bounded cache of prompt prefixes in blocks of tokens."""

import collections

import xxhash

#: Tokens of one cached block.
BLOCK_TOKENS = 64
#: Characters that make one token in the stand-ins.
CHARS_PER_TOKEN = 4


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash for each whole block, over all text before its end."""
    step = BLOCK_TOKENS * CHARS_PER_TOKEN
    running = xxhash.xxh3_64()
    hashes = []
    for end in range(step, len(prompt) + 1, step):
        running.update(prompt[end - step : end].encode())
        hashes.append(running.intdigest())
    return tuple(hashes)


class PrefixCache:
    """Least-recently-used blocks, up to a number of tokens."""

    __slots__ = ("_capacity_blocks", "_blocks", "added", "removed")

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        #: Blocks added since the owner last cleared the list.
        self.added: list[int] = []
        #: Blocks evicted since the owner last cleared the list.
        self.removed: list[int] = []

    def match_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading tokens that are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def insert(self, blocks: tuple[int, ...]) -> None:
        """Cache the blocks of a prompt that was prefilled."""
        for block in blocks:
            if block not in self._blocks:
                self.added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self.removed.append(evicted)

    def __len__(self) -> int:
        return len(self._blocks)
