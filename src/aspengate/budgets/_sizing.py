"""Sizes the grants from the store to a steward and the blocks from a steward to a router."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SizingPolicy:
    """Decides the sizes of grants and blocks.

    A grant covers ``grant_horizon_ms`` of the measured demand, a block ``block_horizon_ms``.
    Each is at most ``1 / (share_divisor * holders)`` of the remaining money, so that sizes
    shrink as a budget nears exhaustion, and at least ``1 / (floor_divisor * holders)``, so that
    a budget without measured demand does not need a write per request; the holders of blocks
    are the active routers. A waiting request gets what it needs if that much is available,
    whatever these bounds are. A holder whose money is recalled for another keeps
    ``recall_keep_ms`` of its demand.
    """

    grant_horizon_ms: float = 1_800_000.0
    block_horizon_ms: float = 10_000.0
    share_divisor: int = 2
    floor_divisor: int = 64
    recall_keep_ms: float = 1_000.0
    refill_fraction: float = 0.67

    def grant(self, *, needed: int, free: int, rate: float, unallocated: int, holders: int) -> int:
        """Return the grant for a holder with ``free`` credits that spends ``rate`` per second."""
        shortfall = max(0, needed - free)
        if shortfall > unallocated:
            return 0
        target = max(needed, int(rate * self.grant_horizon_ms / 1_000))
        if shortfall == 0 and free >= target * self.refill_fraction:
            return 0
        left = max(0, unallocated)
        share = left // (self.share_divisor * max(1, holders))
        floor = left // (self.floor_divisor * max(1, holders)) if needed else 0
        return min(left, max(shortfall, floor, min(target - free, share)))

    def block(self, *, needed: int, wanted: int, free: int, routers: int) -> int:
        """Return the size of a block for one of ``routers``; 0 if ``needed`` exceeds ``free``."""
        if needed > free:
            return 0
        share = free // (self.share_divisor * max(1, routers))
        floor = free // (self.floor_divisor * max(1, routers))
        return min(free, max(needed, floor, min(wanted, share)))

    def surplus(self, *, free: int, rate: float, unallocated: int, holders: int) -> int:
        """Return what a holder returns without a recall.

        It keeps twice its target and the size of a first grant, so that money does not go back
        and forth.
        """
        kept = max(0, unallocated) // (self.floor_divisor * max(1, holders))
        target = int(rate * self.grant_horizon_ms / 1_000)
        return max(0, free - 2 * target - kept)

    def spare(self, *, free: int, rate: float, needed: int) -> int:
        """Return what a holder returns when another holder needs ``needed`` credits."""
        kept = int(rate * self.recall_keep_ms / 1_000)
        offered = max(0, free - kept)
        return min(free, max(offered, min(needed, free // 2)))
