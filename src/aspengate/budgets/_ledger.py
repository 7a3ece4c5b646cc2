"""Tracks a router's blocks: reserves an upper bound before a request, charges its cost after."""

from dataclasses import dataclass, field

from aspengate.budgets._rates import RateEstimate
from aspengate.transport import BlockClosed, BlockTrimmed, RunningRequest, UsageRecord

_CLOCK_MARGIN_MS = 500
_DEFAULT_ROTATE_MS = 60_000.0
_DEFAULT_IDLE_MS = 15_000.0


@dataclass(frozen=True)
class Block:
    """Holds money lent to a router: ``amount`` credits, to spend until ``honour_until_ms``."""

    block_id: str
    holder: str
    budget: str
    amount: int
    honour_until_ms: int


@dataclass(frozen=True)
class Reservation:
    """Holds the upper bound of one request's cost, reserved in one block."""

    block: Block
    sequence: int
    amount: int


@dataclass
class _OpenBlock:
    block: Block
    drawn_ms: float
    used_ms: float
    amount: int
    reserved: int = 0
    spent: int = 0
    sequence: int = 0
    retired: bool = False
    bills: dict[str, int] = field(default_factory=dict)
    items: list[UsageRecord] = field(default_factory=list)
    open: dict[int, int] = field(default_factory=dict)
    agents: set[str] = field(default_factory=set)

    @property
    def free(self) -> int:
        return self.amount - self.reserved - self.spent


class BlockLedger:
    """Tracks the blocks that one router session holds.

    ``reserve`` and ``settle`` neither send nor block. A block is retired when it is old, idle,
    recalled or fenced, and takes no more reservations. It is closed once its last request is
    settled; its final account stays in ``closing`` until the steward confirms that the store
    has it.
    """

    def __init__(
        self,
        session: str,
        reply_to: str,
        rotate_ms: float = _DEFAULT_ROTATE_MS,
        idle_ms: float = _DEFAULT_IDLE_MS,
    ) -> None:
        self.session = session
        self.reply_to = reply_to
        self.rotate_ms = rotate_ms
        self.idle_ms = idle_ms
        self.closing: dict[str, BlockClosed] = {}
        self.agents_of_closed: dict[str, frozenset[str]] = {}
        self._blocks: dict[str, list[_OpenBlock]] = {}
        self._by_id: dict[str, _OpenBlock] = {}
        self._rates: dict[str, RateEstimate] = {}

    @property
    def open_count(self) -> int:
        """The number of open blocks."""
        return len(self._by_id)

    def free(self, budget: str) -> int:
        """Return the credits of a budget that can still be reserved, over all its blocks."""
        return sum(state.free for state in self._blocks.get(budget, ()) if not state.retired)

    def rate(self, budget: str, now_ms: float) -> float:
        """Return the rate at which this router spends a budget, in credits per second."""
        estimate = self._rates.get(budget)
        return estimate.per_second(now_ms) if estimate else 0.0

    def add(self, block: Block, now_ms: float) -> None:
        """Add a block that a steward lent; an open block is not added again."""
        if block.block_id in self._by_id:
            return
        state = _OpenBlock(block, now_ms, now_ms, block.amount)
        self._by_id[block.block_id] = state
        self._blocks.setdefault(block.budget, []).append(state)

    def reserve(self, budget: str, amount: int, now_ms: float) -> Reservation | None:
        """Reserve ``amount`` credits; return ``None`` if no usable block has that much left."""
        for state in self._blocks.get(budget, ()):
            if state.retired or state.free < amount:
                continue
            if now_ms + _CLOCK_MARGIN_MS >= state.block.honour_until_ms:
                continue
            state.sequence += 1
            state.reserved += amount
            state.open[state.sequence] = amount
            state.used_ms = now_ms
            return Reservation(state.block, state.sequence, amount)
        return None

    def record_agent(self, reservation: Reservation, agent: str) -> None:
        """Record which agent keeps the usage record of a reservation."""
        state = self._by_id.get(reservation.block.block_id)
        if state is not None:
            state.agents.add(agent)

    def settle(
        self,
        reservation: Reservation,
        line: str,
        cost: int,
        now_ms: float,
        item: UsageRecord | None = None,
    ) -> None:
        """Replace a reservation by its actual cost; settling it again has no effect.

        ``line`` is ``client_account|service``. A cost above the reservation is capped at it, so
        that a block is never overspent.
        """
        state = self._by_id.get(reservation.block.block_id)
        if state is None or state.open.pop(reservation.sequence, None) is None:
            return
        charged = min(cost, reservation.amount)
        state.reserved -= reservation.amount
        state.spent += charged
        if charged:
            state.bills[line] = state.bills.get(line, 0) + charged
            self._rate(reservation.block.budget).add(charged, now_ms)
        if item is not None:
            state.items.append(item)
        self._close_if_done(state)

    def release(self, reservation: Reservation, now_ms: float) -> None:
        """Release the reservation of a request that did not run."""
        self.settle(reservation, "", 0, now_ms)

    def tick(self, now_ms: float) -> None:
        """Retire blocks that are old or idle."""
        for state in list(self._by_id.values()):
            old = now_ms - state.drawn_ms >= self.rotate_ms
            idle = not state.open and now_ms - state.used_ms >= self.idle_ms
            if old or idle:
                self._retire(state)

    def retire_all(self) -> None:
        """Retire every block, as when the router shuts down."""
        for state in list(self._by_id.values()):
            self._retire(state)

    def retire_holder(self, holder: str) -> None:
        """Retire every block lent by the fenced steward session ``holder``."""
        for state in list(self._by_id.values()):
            if state.block.holder == holder:
                self._retire(state)

    def recall(self, budget: str) -> tuple[BlockTrimmed, ...]:
        """Release the unreserved money of a budget; return the blocks that were trimmed.

        A block without open reservations is retired. A block with some is trimmed to what they
        and earlier costs need, takes no more reservations and is closed after the last of them.
        """
        trimmed = []
        for state in list(self._blocks.get(budget, ())):
            if not state.open:
                self._retire(state)
            else:
                state.amount -= state.free
                state.retired = True
                block = state.block
                trimmed.append(
                    BlockTrimmed(block.block_id, block.holder, block.budget, state.amount)
                )
        return tuple(trimmed)

    def settled(self, block_ids: tuple[str, ...]) -> dict[str, list[str]]:
        """Remove settled blocks; return, by agent, the blocks whose records it may delete."""
        deletable: dict[str, list[str]] = {}
        for block_id in block_ids:
            self.closing.pop(block_id, None)
            for agent in self.agents_of_closed.pop(block_id, frozenset()):
                deletable.setdefault(agent, []).append(block_id)
        return deletable

    def closed_of(self, session: str) -> tuple[BlockClosed, ...]:
        """Return the final accounts, not yet settled, of blocks lent by ``session``."""
        return tuple(closed for closed in self.closing.values() if closed.holder == session)

    def running_of(self, holder: str) -> tuple[RunningRequest, ...]:
        """Return the open reservations in blocks lent by ``holder``."""
        return tuple(
            RunningRequest(state.block.block_id, sequence, holder, self.session, amount)
            for state in self._by_id.values()
            if state.block.holder == holder
            for sequence, amount in state.open.items()
        )

    def _retire(self, state: _OpenBlock) -> None:
        state.retired = True
        self._close_if_done(state)

    def _close_if_done(self, state: _OpenBlock) -> None:
        if not state.retired or state.open:
            return
        block = state.block
        if self._by_id.pop(block.block_id, None) is None:
            return
        remaining = [other for other in self._blocks[block.budget] if other is not state]
        if remaining:
            self._blocks[block.budget] = remaining
        else:
            del self._blocks[block.budget]
        self.closing[block.block_id] = BlockClosed(
            reply_to=self.reply_to,
            router_session=self.session,
            block_id=block.block_id,
            holder=block.holder,
            budget=block.budget,
            bills=dict(state.bills),
            items=tuple(state.items),
        )
        self.agents_of_closed[block.block_id] = frozenset(state.agents)

    def _rate(self, budget: str) -> RateEstimate:
        return self._rates.setdefault(budget, RateEstimate())
