"""How much money moves at once from the store to a steward and from a steward to a router."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SizingPolicy:
    """Sizes of grants and blocks.

    A grant covers ``grant_horizon_ms`` of the demand seen, a block ``block_horizon_ms``. Of
    what is left, one holder takes at most ``1 / (share_divisor * holders)`` at a time, so that
    sizes shrink as a budget nears its end; what a waiting request needs is always given where
    it is there. ``recall_keep_ms`` of demand is kept back when another holder asks for money.
    """

    grant_horizon_ms: float = 600_000.0
    block_horizon_ms: float = 10_000.0
    share_divisor: int = 2
    recall_keep_ms: float = 1_000.0
    refill_fraction: float = 0.5

    def grant(self, *, needed: int, free: int, rate: float, unallocated: int, holders: int) -> int:
        """Return how much to add to a holder that has ``free`` credits and spends ``rate``/s."""
        shortfall = max(0, needed - free)
        if shortfall > unallocated:
            return 0
        target = max(needed, int(rate * self.grant_horizon_ms / 1_000))
        if shortfall == 0 and free >= target * self.refill_fraction:
            return 0
        share = max(0, unallocated) // (self.share_divisor * max(1, holders))
        return min(max(0, unallocated), max(shortfall, min(target - free, share)))

    def block(self, *, needed: int, wanted: int, free: int, routers: int) -> int:
        """Return the size of a block for one of ``routers``; 0 where there is too little."""
        if needed > free:
            return 0
        share = free // (self.share_divisor * max(1, routers))
        return min(free, max(needed, min(wanted, share)))

    def surplus(self, *, free: int, rate: float) -> int:
        """Return what a holder may give back when nobody asks for it."""
        target = int(rate * self.grant_horizon_ms / 1_000)
        return max(0, free - 2 * target)

    def spare(self, *, free: int, rate: float, needed: int) -> int:
        """Return what a holder gives back to one that needs ``needed`` credits."""
        kept = int(rate * self.recall_keep_ms / 1_000)
        offered = max(0, free - kept)
        return min(free, max(offered, min(needed, free // 2)))
