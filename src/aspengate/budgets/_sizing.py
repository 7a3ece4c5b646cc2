"""How much money moves at once from the store to a steward and from a steward to a router."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SizingPolicy:
    """Sizes of grants and blocks.

    A grant covers ``grant_horizon_ms`` of the demand seen, a block ``block_horizon_ms``. Of
    what is left, one holder takes at most ``1 / (share_divisor * holders)`` at a time, so that
    sizes shrink as a budget nears its end, and at least ``1 / (floor_divisor * holders)``, so
    that a budget whose demand is not known yet does not cost a write for each request. What a
    waiting request needs is always given where it is there. ``recall_keep_ms`` of demand is
    kept back when another holder asks for money.
    """

    grant_horizon_ms: float = 1_800_000.0
    block_horizon_ms: float = 10_000.0
    share_divisor: int = 2
    floor_divisor: int = 64
    recall_keep_ms: float = 1_000.0
    refill_fraction: float = 0.67

    def grant(self, *, needed: int, free: int, rate: float, unallocated: int, holders: int) -> int:
        """Return how much to add to a holder that has ``free`` credits and spends ``rate``/s."""
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
        """Return the size of a block for one of ``routers``; 0 where there is too little."""
        if needed > free:
            return 0
        share = free // (self.share_divisor * max(1, routers))
        floor = free // (self.floor_divisor * max(1, routers))
        return min(free, max(needed, floor, min(wanted, share)))

    def surplus(self, *, free: int, rate: float, unallocated: int, holders: int) -> int:
        """Return what a holder gives back when nobody asks for it.

        The size of a first grant is kept, so that money does not go back and forth.
        """
        kept = max(0, unallocated) // (self.floor_divisor * max(1, holders))
        target = int(rate * self.grant_horizon_ms / 1_000)
        return max(0, free - 2 * target - kept)

    def spare(self, *, free: int, rate: float, needed: int) -> int:
        """Return what a holder gives back to one that needs ``needed`` credits."""
        kept = int(rate * self.recall_keep_ms / 1_000)
        offered = max(0, free - kept)
        return min(free, max(offered, min(needed, free // 2)))
