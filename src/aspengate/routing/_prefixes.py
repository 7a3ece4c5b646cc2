"""Which upstream probably holds which prompt prefixes."""

from collections import OrderedDict

import xxhash

_BLOCK_BYTES = 64
_MAX_BLOCKS = 64
_DEFAULT_CAPACITY = 20_000


def prefix_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's leading blocks, at most 64 of them."""
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
    """Remembers, for recent prefix blocks, the upstreams that this router sent them to.

    It holds at most ``capacity`` blocks, the least recently used forgotten first, and a few
    upstreams for each.
    """

    def __init__(self, capacity: int = _DEFAULT_CAPACITY, upstreams_per_block: int = 4) -> None:
        self.capacity = capacity
        self.upstreams_per_block = upstreams_per_block
        self._holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def record_sent(self, blocks: tuple[int, ...], upstream: str) -> None:
        """Remember that ``upstream`` was sent a prompt with these blocks."""
        for block in blocks:
            others = tuple(name for name in self._holders.pop(block, ()) if name != upstream)
            self._holders[block] = (upstream, *others)[: self.upstreams_per_block]
        while len(self._holders) > self.capacity:
            self._holders.popitem(last=False)

    def drop(self, blocks: tuple[int, ...], upstream: str) -> None:
        """Take an upstream's word that it no longer holds these blocks."""
        for block in blocks:
            kept = tuple(name for name in self._holders.get(block, ()) if name != upstream)
            if kept:
                self._holders[block] = kept
            else:
                self._holders.pop(block, None)

    def hits(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return for each upstream how many leading blocks it probably holds."""
        found: dict[str, int] = {}
        previous: tuple[str, ...] | None = None
        alive: frozenset[str] = frozenset()
        for count, block in enumerate(blocks, start=1):
            holders = self._holders.get(block, ())
            if holders != previous:
                kept = frozenset(holders)
                kept = kept if previous is None else kept & alive
                for name in alive - kept:
                    found[name] = count - 1
                alive, previous = kept, holders
            if not alive:
                return found
        return found | dict.fromkeys(alive, len(blocks))
