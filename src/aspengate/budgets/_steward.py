"""Manages the money that a steward holds of one budget shard in one region."""

import enum
import math
import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field

from aspengate.budgets._ledger import Block
from aspengate.budgets._rates import RateEstimate
from aspengate.budgets._shard import (
    Account,
    BilledItem,
    CloseSession,
    Command,
    OpenSession,
    Report,
    SettleBlocks,
    Shard,
)
from aspengate.budgets._sizing import SizingPolicy
from aspengate.errors import ErrorKind

_DEFAULT_HONOUR_MS = 2 * 60 * 60 * 1_000
_ACTIVE_ROUTER_MS = 60_000.0
_RATE_HALF_LIFE_MS = 120_000.0
_REFRESH_MS = 1_000.0
_MIN_RECALL_INTERVAL_MS = 2_000.0
_RECALL_TIMEOUT_MS = 400.0
_MAX_RECALL_INTERVAL_MS = 64_000.0


class DrawStep(enum.Enum):
    """Names the next step of a steward for a draw that exceeds what it holds."""

    READ = "read"
    WRITE = "write"
    RECALL = "recall"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class Shortage:
    """Reports that no block is available now; ``kind`` is the error returned to the caller."""

    kind: ErrorKind


@dataclass
class _Holding:
    granted: int = 0
    returned: int = 0
    spent: int = 0
    lent: int = 0
    needed: int = 0
    recalled: int = 0
    last_recall_ms: float = -math.inf
    recall_interval_ms: float = _MIN_RECALL_INTERVAL_MS
    rate: RateEstimate = field(default_factory=lambda: RateEstimate(_RATE_HALF_LIFE_MS))
    routers: dict[str, float] = field(default_factory=dict)

    @property
    def free(self) -> int:
        return self.granted - self.returned - self.spent - self.lent

    def active_routers(self, now_ms: float) -> int:
        self.routers = {
            router: seen
            for router, seen in self.routers.items()
            if now_ms - seen < _ACTIVE_ROUTER_MS
        }
        return len(self.routers)


@dataclass(frozen=True)
class _OpenBlock:
    budget: str
    amount: int
    router_session: str


@dataclass(frozen=True)
class PlannedWrite:
    """Describes one write of a steward to the store.

    Retry it under the same ``operation_id`` until its outcome is known.
    """

    operation_id: str
    commands: tuple[Command, ...]
    block_ids: tuple[str, ...]
    item_ids: tuple[str, ...]


class ShardSteward:
    """Holds one session's money of a shard and lends it to routers in blocks.

    The money belongs to the session and not to a lease: two stewards of one region have two
    accounts, so a steward that resumes after a pause can't overspend. Call ``observe`` with each
    version of the document that was read or written, ``plan`` for the next write, and ``draw``
    for a block.
    """

    def __init__(
        self,
        session: str,
        region: str,
        address: str,
        policy: SizingPolicy,
        honour_ms: int = _DEFAULT_HONOUR_MS,
    ) -> None:
        self.session = session
        self.region = region
        self.address = address
        self.policy = policy
        self.honour_ms = honour_ms
        self.shard = Shard()
        self.observed_ms = -math.inf
        self.open_blocks: dict[str, _OpenBlock] = {}
        self._holdings: dict[str, _Holding] = {}
        self._unsettled: dict[str, tuple[str, dict[str, int]]] = {}
        self._items: dict[str, BilledItem] = {}
        self._numbers: dict[str, int] = {}

    @property
    def honour_until_ms(self) -> int:
        """The end of the tenure as last observed in the store; 0 if the store has none."""
        session = self.shard.sessions.get(self.session)
        return session.honour_until_ms if session else 0

    @property
    def idle(self) -> bool:
        """Whether no block is open and none awaits settlement."""
        return not self.open_blocks and not self._unsettled

    @property
    def unsettled_count(self) -> int:
        """The number of closed blocks that no write has settled yet."""
        return len(self._unsettled)

    @property
    def needs_write(self) -> bool:
        """Whether a draw or a recall awaits a write."""
        return any(holding.needed or holding.recalled for holding in self._holdings.values())

    def free(self, budget: str) -> int:
        """Return the credits of a budget that this session can lend now."""
        holding = self._holdings.get(budget)
        return holding.free if holding else 0

    def routers_of(self, budget: str) -> tuple[str, ...]:
        """Return the sessions of the routers that hold open blocks of a budget."""
        blocks = self.open_blocks.values()
        return tuple({block.router_session for block in blocks if block.budget == budget})

    def observe(self, shard: Shard, now_ms: float) -> None:
        """Adopt a version of the document that the store returned or confirmed."""
        self.shard = shard
        self.observed_ms = now_ms
        for name, budget in shard.budgets.items():
            account = budget.accounts.get(self.session)
            if account is not None:
                self._holding(name).granted = account.granted

    def draw(
        self, budget: str, router_session: str, needed: int, wanted: int, now_ms: int
    ) -> Block | None:
        """Lend a block of at least ``needed`` credits; ``None`` if that requires a write first."""
        holding = self._holding(budget)
        holding.routers[router_session] = now_ms
        if now_ms >= self.honour_until_ms or holding.free < needed:
            holding.needed = max(holding.needed, needed)
            return None
        routers = holding.active_routers(now_ms)
        holding.needed = 0
        holding.recall_interval_ms = _MIN_RECALL_INTERVAL_MS
        holding.last_recall_ms = -math.inf
        amount = self.policy.block(needed=needed, wanted=wanted, free=holding.free, routers=routers)
        holding.lent += amount
        number = self._numbers.get(router_session, 0) + 1
        self._numbers[router_session] = number
        block_id = f"{self.session}#{router_session}#{number}"
        self.open_blocks[block_id] = _OpenBlock(budget, amount, router_session)
        return Block(block_id, self.session, budget, amount, self.honour_until_ms)

    def next_step(
        self, budget: str, needed: int, now_ms: float, *, ahead: bool = False
    ) -> DrawStep:
        """Return the next step for a draw of ``needed`` credits that ``draw`` did not meet.

        The store is read at most once per second. Money is recalled from other holders only if
        they hold enough, at most every two seconds, and with a growing interval while recalls
        don't help, so that requests to an exhausted budget cause no writes. During a recall
        every draw waits for its result; a draw ``ahead`` of demand starts no recall.
        """
        known = self.shard.budgets.get(budget)
        holding = self._holding(budget)
        lacking = needed - holding.free
        if known is not None and known.unallocated >= lacking:
            return DrawStep.WRITE
        if now_ms - self.observed_ms >= _REFRESH_MS:
            return DrawStep.READ
        if known is None or self._recoverable(budget) < lacking:
            return DrawStep.REFUSE
        since_recall_ms = now_ms - holding.last_recall_ms
        if since_recall_ms < _RECALL_TIMEOUT_MS:
            return DrawStep.WAIT
        if ahead or since_recall_ms < holding.recall_interval_ms:
            return DrawStep.REFUSE
        holding.last_recall_ms = now_ms
        holding.recall_interval_ms = min(_MAX_RECALL_INTERVAL_MS, 2 * holding.recall_interval_ms)
        self.observed_ms = -math.inf
        return DrawStep.RECALL

    def _recoverable(self, budget: str) -> int:
        """Return what may become available: unallocated, held unspent by others, or lent by us."""
        known = self.shard.budgets[budget]
        others = sum(
            account.held - account.spent
            for holder, account in known.accounts.items()
            if holder != self.session
        )
        return max(0, known.unallocated) + others + self._holding(budget).lent

    def shortage(self, budget: str, needed: int) -> Shortage:
        """Return why a draw of ``needed`` credits can't be met even after a write."""
        known = self.shard.budgets.get(budget)
        if known is None:
            return Shortage(ErrorKind.NOT_FOUND)
        enough = self._recoverable(budget) + self.free(budget) >= needed
        return Shortage(ErrorKind.BUDGET_UNAVAILABLE if enough else ErrorKind.BUDGET_EXHAUSTED)

    def other_holders(self, budget: str) -> dict[str, str]:
        """Return the address of each other session that holds unspent money of a budget."""
        known = self.shard.budgets.get(budget)
        accounts: dict[str, Account] = known.accounts if known else {}
        return {
            holder: self.shard.sessions[holder].address
            for holder, account in accounts.items()
            if holder != self.session
            and holder in self.shard.sessions
            and account.held > account.spent
        }

    def clear_need(self, budget: str) -> None:
        """Record that no caller waits for this budget any more."""
        self._holding(budget).needed = 0

    def recall(self, budget: str, needed: int, now_ms: float) -> bool:
        """Record that another holder needs money of a budget; the next write returns some.

        Return whether there is anything to return; if not, no write is needed.
        """
        holding = self._holding(budget)
        rate = holding.rate.per_second(now_ms)
        if not self.policy.spare(free=holding.free, rate=rate, needed=needed):
            return False
        holding.recalled = max(holding.recalled, needed)
        return True

    def trim(self, block_id: str, amount: int) -> None:
        """Reduce an open block to ``amount``, after its router has given up the remainder."""
        block = self.open_blocks.get(block_id)
        if block is None or amount >= block.amount:
            return
        self._holding(block.budget).lent -= block.amount - amount
        self.open_blocks[block_id] = _OpenBlock(block.budget, amount, block.router_session)

    def close_block(
        self,
        block_id: str,
        bills: dict[str, int],
        items: Iterable[BilledItem],
        now_ms: int,
    ) -> None:
        """Record the final account of a block; a block that is not open is ignored."""
        block = self.open_blocks.pop(block_id, None)
        if block is None:
            return
        holding = self._holding(block.budget)
        holding.lent -= block.amount
        spent = sum(bills.values())
        holding.spent += spent
        holding.rate.add(spent, now_ms)
        self._unsettled[block_id] = (block.budget, bills)
        self._items.update({item.request_id: item for item in items})

    def plan(self, now_ms: int) -> PlannedWrite:
        """Return the next write, based on the document that was observed last."""
        commands: list[Command] = [
            OpenSession(self.session, self.region, self.address, now_ms + self.honour_ms)
        ]
        for budget in sorted(self._holdings):
            commands.extend(self._plan_budget(budget, now_ms))
        blocks = dict(self._unsettled)
        items = tuple(self._items.values())
        if blocks:
            commands.append(SettleBlocks(self.session, blocks, items))
        return PlannedWrite(
            operation_id=uuid.uuid4().hex,
            commands=tuple(commands),
            block_ids=tuple(blocks),
            item_ids=tuple(item.request_id for item in items),
        )

    def plan_close(self, now_ms: int) -> PlannedWrite:
        """Return the write that settles everything and ends the tenure.

        Call it only when no block is open; nothing may be lent afterwards.
        """
        write = self.plan(now_ms)
        return PlannedWrite(
            write.operation_id,
            (*write.commands, CloseSession(self.session)),
            write.block_ids,
            write.item_ids,
        )

    def applied(self, write: PlannedWrite, shard: Shard, now_ms: float) -> tuple[str, ...]:
        """Record that a write took effect; return the ids of the blocks that it settled."""
        self.observe(shard, now_ms)
        for block_id in write.block_ids:
            self._unsettled.pop(block_id, None)
        for item_id in write.item_ids:
            self._items.pop(item_id, None)
        return write.block_ids

    def _plan_budget(self, name: str, now_ms: int) -> list[Command]:
        known = self.shard.budgets.get(name)
        if known is None:
            return []
        holding = self._holding(name)
        rate = holding.rate.per_second(now_ms)
        holders = len({*known.accounts, self.session})
        returning = self._returning(holding, rate, known.unallocated, holders)
        holding.returned += returning
        extra = 0
        if not returning:
            extra = self.policy.grant(
                needed=holding.needed,
                free=holding.free,
                rate=rate,
                unallocated=known.unallocated,
                holders=holders,
            )
        account = known.accounts.get(self.session, Account())
        changed = extra > 0 or holding.returned > account.returned
        granted = account.granted + extra
        return [Report(self.session, name, granted, holding.returned)] if changed else []

    def _returning(self, holding: _Holding, rate: float, unallocated: int, holders: int) -> int:
        recalled, holding.recalled = holding.recalled, 0
        if unallocated < 0:
            return holding.free
        if recalled:
            return self.policy.spare(free=holding.free, rate=rate, needed=recalled)
        if holding.needed:
            return 0
        return self.policy.surplus(
            free=holding.free, rate=rate, unallocated=unallocated, holders=holders
        )

    def _holding(self, budget: str) -> _Holding:
        return self._holdings.setdefault(budget, _Holding())
