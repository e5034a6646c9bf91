"""Prefix cache of limited size and the hashes of its blocks."""

import collections

import xxhash

#: Size of one prefix block, in tokens.
BLOCK_TOKENS = 64
#: Length of one token in the stand-ins, in characters.
CHARS_PER_TOKEN = 4


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash per whole prefix block of a prompt.

    Each hash covers the prompt from its start to the end of the block.
    """
    block_chars = BLOCK_TOKENS * CHARS_PER_TOKEN
    digest = xxhash.xxh3_64()
    hashes = []
    for end in range(block_chars, len(prompt) + 1, block_chars):
        digest.update(prompt[end - block_chars : end].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixCache:
    """LRU cache of prefix blocks, holding up to a number of tokens.

    A block is given by its hash, as returned by ``block_hashes``.
    """

    __slots__ = ("_capacity_blocks", "_blocks", "added", "removed")

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        #: Blocks added since the caller last cleared the list.
        self.added: list[int] = []
        #: Blocks evicted since the caller last cleared the list.
        self.removed: list[int] = []

    def match_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading tokens that are cached.

        Marks their blocks as the most recently used.
        """
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def insert(self, blocks: tuple[int, ...]) -> None:
        """Add the blocks of a processed prompt; evict those over capacity."""
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
