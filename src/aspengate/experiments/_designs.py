"""Ways to keep budgets, behind one interface: ours, and the baselines it is compared with."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from aspengate.budgets import (
    Block,
    BlockLedger,
    DrawStep,
    Reservation,
    SetLimit,
    Shard,
    ShardSteward,
    SizingPolicy,
    apply_commands,
    encode_shard,
)
from aspengate.transport import BlockClosed, DrawReply, DrawRequest, Recall, encode_message

_STORE_WRITES_PER_S = 50
_FENCE_MS = 6_000.0
_DRAW_STEPS = 6


@dataclass
class Links:
    """What can be reached now, and what was sent."""

    regions: int
    routers_per_region: int
    store_down: bool = False
    cut: set[int] = field(default_factory=set)
    store_writes: int = 0
    store_reads: int = 0
    store_bytes: int = 0
    message_bytes: int = 0

    def reaches_store(self, region: int) -> bool:
        """Return whether a region can use the store."""
        return not self.store_down and region not in self.cut

    def reaches(self, region: int, other: int) -> bool:
        """Return whether two regions reach each other."""
        return region == other or not ({region, other} & self.cut)


@dataclass(frozen=True)
class Hold:
    """Money set aside for one request in one region and router."""

    budget: str
    region: int
    router: int
    amount: int
    reservation: Reservation | None = None
    generation: int = 0


class Design(Protocol):
    """A way to keep budgets."""

    def reserve(
        self, budget: str, region: int, router: int, amount: int, now_ms: float
    ) -> Hold | None:
        """Set ``amount`` credits aside, or refuse."""

    def settle(self, hold: Hold, cost: int, now_ms: float) -> None:
        """Replace a hold by its cost."""

    def tick(self, now_ms: float) -> None:
        """Do what is done from time to time; called once a second."""

    def kill_router(self, region: int, router: int, now_ms: float) -> None:
        """End a router's process; a new one takes its place at once."""


DesignFactory = Callable[[dict[str, int], Links], Design]
_DESIGNS: dict[str, DesignFactory] = {}


def register_design(name: str) -> Callable[[DesignFactory], DesignFactory]:
    """Register a design under the name that reports use."""

    def register(factory: DesignFactory) -> DesignFactory:
        _DESIGNS[name] = factory
        return factory

    return register


def open_design(name: str, limits: dict[str, int], links: Links) -> Design:
    """Return a new instance of a design; raises KeyError."""
    return _DESIGNS[name](limits, links)


def design_names() -> tuple[str, ...]:
    """Return the names of all designs, ours first."""
    return tuple(_DESIGNS)


def _escrow(limits: dict[str, int], links: Links) -> Design:
    return EscrowDesign(limits, links, SizingPolicy())


register_design("escrow")(_escrow)


@register_design("central_check")
class CentralCheck:
    """One counter in the store, checked and changed for each request."""

    def __init__(self, limits: dict[str, int], links: Links) -> None:
        self.left = dict(limits)
        self.links = links
        self._second = 0
        self._written = 0

    def reserve(
        self, budget: str, region: int, router: int, amount: int, now_ms: float
    ) -> Hold | None:
        """Take the amount off the counter where the store can be written."""
        if not self.links.reaches_store(region) or not self._may_write(now_ms):
            return None
        if self.left[budget] < amount:
            return None
        self.left[budget] -= amount
        return Hold(budget, region, router, amount)

    def settle(self, hold: Hold, cost: int, now_ms: float) -> None:
        """Give the rest back; counted as part of the same write."""
        self.left[hold.budget] += hold.amount - cost

    def tick(self, now_ms: float) -> None:
        """Nothing to do."""

    def kill_router(self, region: int, router: int, now_ms: float) -> None:
        """Do nothing: the counter outlives a router."""

    def _may_write(self, now_ms: float) -> bool:
        second = int(now_ms // 1_000)
        if second != self._second:
            self._second, self._written = second, 0
        if self._written >= _STORE_WRITES_PER_S:
            return False
        self._written += 1
        self.links.store_writes += 1
        return True


@register_design("static_split")
class StaticSplit:
    """Each router owns an equal part of each budget for good."""

    def __init__(self, limits: dict[str, int], links: Links) -> None:
        parts = links.regions * links.routers_per_region
        self.left = {
            (budget, region, router): limit // parts
            for budget, limit in limits.items()
            for region in range(links.regions)
            for router in range(links.routers_per_region)
        }

    def reserve(
        self, budget: str, region: int, router: int, amount: int, now_ms: float
    ) -> Hold | None:
        """Take the amount off the router's part."""
        part = (budget, region, router)
        if self.left[part] < amount:
            return None
        self.left[part] -= amount
        return Hold(budget, region, router, amount)

    def settle(self, hold: Hold, cost: int, now_ms: float) -> None:
        """Give the rest back to the router's part."""
        self.left[hold.budget, hold.region, hold.router] += hold.amount - cost

    def tick(self, now_ms: float) -> None:
        """Nothing to do."""

    def kill_router(self, region: int, router: int, now_ms: float) -> None:
        """Do nothing: the part survives, in this baseline's favour."""


@dataclass(frozen=True)
class _FixedSizing(SizingPolicy):
    """Grants and blocks of one size, whatever the demand and whatever is left."""

    grant_size: int = 20_000
    block_size: int = 4_000

    def grant(self, *, needed: int, free: int, rate: float, unallocated: int, holders: int) -> int:
        if free >= max(needed, self.block_size):
            return 0
        size = max(needed, self.grant_size)
        return size if size <= unallocated else max(0, unallocated)

    def block(self, *, needed: int, wanted: int, free: int, routers: int) -> int:
        return 0 if needed > free else min(free, max(needed, self.block_size))

    def surplus(self, *, free: int, rate: float, unallocated: int, holders: int) -> int:
        return 0

    def spare(self, *, free: int, rate: float, needed: int) -> int:
        return 0


@register_design("fixed_blocks")
def _fixed(limits: dict[str, int], links: Links) -> Design:
    return EscrowDesign(limits, links, _FixedSizing(), recalls=False)


@dataclass
class _DeadRouter:
    """What the agents know of a dead router: its blocks' bills, and what still runs."""

    fenced_ms: float
    region: int
    session: str
    known: dict[str, tuple[str, dict[str, int]]]
    running: int


class EscrowDesign:
    """The modules of ``aspengate.budgets`` with a steward in each region and a fake store."""

    def __init__(
        self, limits: dict[str, int], links: Links, policy: SizingPolicy, *, recalls: bool = True
    ) -> None:
        self.links = links
        self.policy = policy
        self.recalls = recalls
        commands = [SetLimit(name, limit, "experiment", 0) for name, limit in limits.items()]
        self.shard = apply_commands(Shard(), "limits", commands)
        self.stewards = [
            ShardSteward(f"s{region}", f"region-{region}", f"s{region}", policy)
            for region in range(links.regions)
        ]
        self.ledgers = {
            (region, router): BlockLedger(f"r{region}.{router}.0", "")
            for region in range(links.regions)
            for router in range(links.routers_per_region)
        }
        self._generations: dict[tuple[int, int], int] = dict.fromkeys(self.ledgers, 0)
        self._dead: list[_DeadRouter] = []
        self._ticks = 0

    def reserve(
        self, budget: str, region: int, router: int, amount: int, now_ms: float
    ) -> Hold | None:
        """Reserve in the router's blocks; draw from the steward, the store, the others."""
        ledger = self.ledgers[region, router]
        reservation = ledger.reserve(budget, amount, now_ms)
        if reservation is None and self._draw(budget, region, router, amount, now_ms):
            reservation = ledger.reserve(budget, amount, now_ms)
        if reservation is None:
            return None
        wanted = int(ledger.rate(budget, now_ms) * self.policy.block_horizon_ms / 1_000)
        if ledger.free(budget) < wanted // 2:
            self._draw(budget, region, router, 1, now_ms, ahead=True)
        return Hold(budget, region, router, amount, reservation, self._generations[region, router])

    def settle(self, hold: Hold, cost: int, now_ms: float) -> None:
        """Settle in the router's ledger, if that router still lives."""
        if hold.reservation is None:
            return
        if hold.generation != self._generations[hold.region, hold.router]:
            self._settle_orphan(hold.reservation, cost)
            return
        ledger = self.ledgers[hold.region, hold.router]
        ledger.settle(hold.reservation, "account|service", cost, now_ms)

    def tick(self, now_ms: float) -> None:
        """Retire blocks, hand final accounts over, settle every five seconds, recover."""
        self._ticks += 1
        for (region, _), ledger in self.ledgers.items():
            ledger.tick(now_ms)
            self._hand_over(region, ledger, now_ms)
        self._recover(now_ms)
        if self._ticks % 5:
            return
        for region, steward in enumerate(self.stewards):
            if steward.unsettled_count or steward.needs_write:
                self._write(region, now_ms)

    def kill_router(self, region: int, router: int, now_ms: float) -> None:
        """Lose a ledger; its blocks are recovered from the agents' records after the fence."""
        ledger = self.ledgers[region, router]
        known = {
            block_id: (state.block.budget, dict(state.bills))
            for block_id, state in ledger._by_id.items()
        }
        known |= {key: (each.budget, dict(each.bills)) for key, each in ledger.closing.items()}
        running = sum(len(state.open) for state in ledger._by_id.values())
        self._dead.append(_DeadRouter(now_ms + _FENCE_MS, region, ledger.session, known, running))
        self._generations[region, router] += 1
        session = f"r{region}.{router}.{self._generations[region, router]}"
        self.ledgers[region, router] = BlockLedger(session, "")

    def _draw(
        self,
        budget: str,
        region: int,
        router: int,
        needed: int,
        now_ms: float,
        *,
        ahead: bool = False,
    ) -> bool:
        ledger = self.ledgers[region, router]
        rate = ledger.rate(budget, now_ms)
        wanted = max(needed, int(rate * self.policy.block_horizon_ms / 1_000))
        self._count(DrawRequest(0, "", ledger.session, budget, needed, wanted))
        block = self._lend(budget, region, ledger.session, needed, wanted, now_ms, ahead=ahead)
        if block is None:
            self.stewards[region].clear_need(budget)
            return False
        self._count(DrawReply(0, budget, block.block_id, block.holder, block.amount))
        ledger.add(block, now_ms)
        return True

    def _lend(
        self,
        budget: str,
        region: int,
        session: str,
        needed: int,
        wanted: int,
        now_ms: float,
        *,
        ahead: bool,
    ) -> Block | None:
        steward = self.stewards[region]
        for _ in range(_DRAW_STEPS):
            block = steward.draw(budget, session, needed, wanted, int(now_ms))
            if block is not None:
                return block
            step = steward.next_step(budget, needed, now_ms)
            if step is DrawStep.RECALL and self.recalls and not ahead:
                self._recall(budget, region, needed, now_ms)
            elif not self.links.reaches_store(region):
                return None
            elif step is DrawStep.WRITE:
                self._write(region, now_ms)
            elif step is DrawStep.READ:
                self.links.store_reads += 1
                steward.observe(self.shard, now_ms)
            else:
                return None
        return None

    def _recall(self, budget: str, region: int, needed: int, now_ms: float) -> None:
        self._recall_routers(budget, region, now_ms)
        for name in self.stewards[region].other_holders(budget):
            other = int(name[1:])
            if not self.links.reaches(region, other) or not self.links.reaches_store(other):
                continue
            self._count(Recall(budget, needed))
            self._recall_routers(budget, other, now_ms)
            if self.stewards[other].recall(budget, needed, now_ms):
                self._write(other, now_ms)

    def _recall_routers(self, budget: str, region: int, now_ms: float) -> None:
        for (place, _), ledger in self.ledgers.items():
            if place != region:
                continue
            self._count(Recall(budget, 0))
            for trimmed in ledger.recall(budget):
                self._count(trimmed)
                self.stewards[region].trim(trimmed.block_id, trimmed.amount)
            self._hand_over(region, ledger, now_ms)

    def _hand_over(self, region: int, ledger: BlockLedger, now_ms: float) -> None:
        for closed in list(ledger.closing.values()):
            self._count(closed)
            self.stewards[region].close_block(closed.block_id, closed.bills, (), int(now_ms))
            ledger.settled((closed.block_id,))

    def _recover(self, now_ms: float) -> None:
        due = [each for each in self._dead if each.fenced_ms <= now_ms and not each.running]
        for dead in due:
            self._dead.remove(dead)
            steward = self.stewards[dead.region]
            for block_id, block in list(steward.open_blocks.items()):
                if block.router_session == dead.session:
                    _, bills = dead.known.get(block_id, (block.budget, {}))
                    steward.close_block(block_id, bills, (), int(now_ms))

    def _settle_orphan(self, reservation: Reservation, cost: int) -> None:
        for dead in self._dead:
            block = dead.known.get(reservation.block.block_id)
            if block is not None:
                _, bills = block
                bills["account|service"] = bills.get("account|service", 0) + cost
                dead.running -= 1
                return

    def _write(self, region: int, now_ms: float) -> None:
        if not self.links.reaches_store(region):
            return
        steward = self.stewards[region]
        steward.observe(self.shard, now_ms)
        write = steward.plan(int(now_ms))
        self.shard = apply_commands(self.shard, write.operation_id, write.commands)
        steward.applied(write, self.shard, now_ms)
        self.links.store_writes += 1
        self.links.store_bytes += len(encode_shard(self.shard))

    def _count(self, message: BlockClosed | DrawReply | DrawRequest | Recall | object) -> None:
        if isinstance(message, msgspec.Struct):
            self.links.message_bytes += len(encode_message(message))  # type: ignore[arg-type]
