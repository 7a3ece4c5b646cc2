"""Tracks which upstreams probably have which prompt prefixes cached."""

from collections import OrderedDict

import xxhash

_BLOCK_BYTES = 64
_MAX_BLOCKS = 64
_DEFAULT_CAPACITY = 20_000


def prefix_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's leading blocks of 64 bytes, at most 64 of them.

    The hash of a block covers all blocks before it. An incomplete last block is left out.
    """
    hashes = []
    chained = 0
    for start in range(0, min(len(prompt), _BLOCK_BYTES * _MAX_BLOCKS), _BLOCK_BYTES):
        block = prompt[start : start + _BLOCK_BYTES]
        if len(block) < _BLOCK_BYTES:
            break
        chained = xxhash.xxh64_intdigest(block, seed=chained)
        hashes.append(chained)
    return tuple(hashes)


class PrefixMemory:
    """Tracks to which upstreams this router sent recent prefix blocks.

    It holds at most ``capacity`` blocks, evicting the least recently sent first, and for each
    block the ``upstreams_per_block`` upstreams to which it was sent last.
    """

    def __init__(self, capacity: int = _DEFAULT_CAPACITY, upstreams_per_block: int = 4) -> None:
        self.capacity = capacity
        self.upstreams_per_block = upstreams_per_block
        self._holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def record_sent(self, blocks: tuple[int, ...], upstream: str) -> None:
        """Record that a prompt with these blocks was sent to ``upstream``."""
        for block in blocks:
            others = tuple(name for name in self._holders.pop(block, ()) if name != upstream)
            self._holders[block] = (upstream, *others)[: self.upstreams_per_block]
        while len(self._holders) > self.capacity:
            self._holders.popitem(last=False)

    def drop(self, blocks: tuple[int, ...], upstream: str) -> None:
        """Record that ``upstream`` no longer holds these blocks."""
        for block in blocks:
            kept = tuple(name for name in self._holders.get(block, ()) if name != upstream)
            if kept:
                self._holders[block] = kept
            else:
                self._holders.pop(block, None)

    def hits(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the number of leading blocks that each upstream probably holds.

        Upstreams that hold none of them are left out.
        """
        found: dict[str, int] = {}
        previous: tuple[str, ...] | None = None
        remaining: frozenset[str] = frozenset()
        for count, block in enumerate(blocks, start=1):
            holders = self._holders.get(block, ())
            if holders != previous:
                kept = frozenset(holders)
                kept = kept if previous is None else kept & remaining
                for name in remaining - kept:
                    found[name] = count - 1
                remaining, previous = kept, holders
            if not remaining:
                return found
        return found | dict.fromkeys(remaining, len(blocks))
