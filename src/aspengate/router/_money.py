"""A router's money: blocks drawn from the region's steward ahead of demand."""

import threading
from collections.abc import Callable

import msgspec

from aspengate.budgets import Block, BlockLedger, Reservation, owner_key, shard_of
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.membership import rank_owners
from aspengate.telemetry import Counters
from aspengate.transport import (
    BlockClosed,
    BlocksSettled,
    DrawReply,
    DrawRequest,
    Fence,
    FenceAck,
    Peer,
    Recall,
    UsageRecord,
)

_DRAW_TIMEOUT_MS = 1_500.0
_STEWARDS_ASKED = 2
_FETCHES = 2
_RESEND_MS = 2_000.0

LocalDraw = Callable[[DrawRequest], DrawReply]


class RouterMoney:
    """Reserves on the request path without a message, and fetches blocks when they run low.

    ``routers`` maps the names of the region's live routers to their peer addresses; the steward
    of a budget is the one that ranks first for its shard.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        ledger: BlockLedger,
        clock: Clock,
        counters: Counters,
        peer: Peer,
        local_draw: LocalDraw,
        shard_count: int,
        block_horizon_ms: float,
    ) -> None:
        self.name = name
        self.region = region
        self.ledger = ledger
        self.routers: dict[str, str] = {}
        self.fenced: set[str] = set()
        self._clock = clock
        self._counters = counters
        self._peer = peer
        self._local_draw = local_draw
        self._shard_count = shard_count
        self._block_horizon_ms = block_horizon_ms
        self._steward_addresses: dict[str, str] = {}
        self._sent_ms: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._lock = threading.Lock()

    def reserve(self, budget: str, amount: int) -> Reservation:
        """Set ``amount`` credits aside.

        Raises AspengateError of kind BUDGET_EXHAUSTED, BUDGET_UNAVAILABLE or NOT_FOUND.
        """
        reservation = self._try_reserve(budget, amount)
        for _ in range(_FETCHES):
            if reservation is not None:
                break
            self._fetch(budget, amount)
            reservation = self._try_reserve(budget, amount)
        if reservation is None:
            raise AspengateError(
                ErrorKind.BUDGET_UNAVAILABLE, "money can't be had in time", where=budget
            )
        self._fetch_ahead(budget)
        return reservation

    def settle(
        self, reservation: Reservation, line: str, cost: int, item: UsageRecord | None
    ) -> None:
        """Replace a reservation by its cost."""
        with self._lock:
            self.ledger.settle(reservation, line, cost, self._clock.now_ms(), item)

    def note_agent(self, reservation: Reservation, agent: str) -> None:
        """Remember which agent keeps the record of a reservation."""
        with self._lock:
            self.ledger.record_agent(reservation, agent)

    def tick(self) -> None:
        """Retire old blocks and send final accounts that are not acknowledged."""
        now = self._clock.now_ms()
        with self._lock:
            self.ledger.tick(now)
            due = [
                closed
                for block_id, closed in self.ledger.closing.items()
                if now - self._sent_ms.get(block_id, -_RESEND_MS) >= _RESEND_MS
            ]
            for closed in due:
                self._sent_ms[closed.block_id] = now
        for closed in due:
            self._send_closed(closed)

    def leave(self) -> bool:
        """Give back every block; return whether all are settled."""
        with self._lock:
            self.ledger.retire_all()
        self.tick()
        return not self.ledger.open_count and not self.ledger.closing

    def settled(self, message: BlocksSettled) -> None:
        """Forget blocks that are in the store, and tell their agents."""
        with self._lock:
            told = self.ledger.settled(message.block_ids)
            for block_id in message.block_ids:
                self._sent_ms.pop(block_id, None)
        for agent, block_ids in told.items():
            self._peer.send(agent, BlocksSettled(tuple(block_ids)))

    def recall(self, message: Recall) -> None:
        """Give back what is not reserved of a budget."""
        with self._lock:
            trimmed = self.ledger.recall(message.budget)
        for each in trimmed:
            address = self._steward_addresses.get(each.holder)
            if address:
                self._peer.send(address, each)
        self.tick()

    def fence(self, message: Fence, sender: str) -> FenceAck:
        """Use nothing of a fenced session any more; return what we know of its spending."""
        with self._lock:
            self.fenced.add(message.session)
            self.ledger.retire_holder(message.session)
            return FenceAck(
                call=message.call,
                sender=sender,
                session=message.session,
                running=self.ledger.running_of(message.session),
                closed=self.ledger.closed_of(message.session),
            )

    def _try_reserve(self, budget: str, amount: int) -> Reservation | None:
        with self._lock:
            return self.ledger.reserve(budget, amount, self._clock.now_ms())

    def _fetch_ahead(self, budget: str) -> None:
        now = self._clock.now_ms()
        with self._lock:
            wanted = self._wanted(budget, now)
            low = self.ledger.free(budget) < wanted // 2
            if not low or budget in self._fetching:
                return
            self._fetching.add(budget)
        self._peer.background.submit(self._fetch_in_background, budget, max(1, wanted))

    def _fetch_in_background(self, budget: str, wanted: int) -> None:
        try:
            self._fetch(budget, 1, wanted, ahead=True)
        except AspengateError:
            self._counters.count("money.fetch_ahead_failed")
        finally:
            with self._lock:
                self._fetching.discard(budget)

    def _wanted(self, budget: str, now: float) -> int:
        return int(self.ledger.rate(budget, now) * self._block_horizon_ms / 1_000)

    def _fetch(self, budget: str, needed: int, wanted: int = 0, *, ahead: bool = False) -> None:
        now = self._clock.now_ms()
        with self._lock:
            size = max(needed, wanted, self._wanted(budget, now))
        reply = self._draw(
            DrawRequest(
                call=0,
                reply_to=self._peer.address,
                router_session=self.ledger.session,
                budget=budget,
                needed=needed,
                wanted=size,
                ahead=ahead,
            )
        )
        if reply.refusal:
            kind = ErrorKind(reply.refusal)
            raise AspengateError(kind, _REASONS.get(kind, "no money"), where=f"budget {budget}")
        block = Block(
            reply.block_id, reply.holder, reply.budget, reply.amount, reply.honour_until_ms
        )
        with self._lock:
            self._steward_addresses[block.holder] = reply.steward_address
            if block.holder not in self.fenced:
                self.ledger.add(block, self._clock.now_ms())

    def _draw(self, request: DrawRequest) -> DrawReply:
        work = owner_key(self.region, shard_of(request.budget, self._shard_count))
        ranked = rank_owners(work, {*self.routers, self.name})[:_STEWARDS_ASKED]
        if self.name not in ranked:
            ranked.append(self.name)
        for steward in ranked:
            if steward == self.name:
                return self._local_draw(request)
            try:
                return self._peer.call(
                    self.routers[steward],
                    lambda call: msgspec.structs.replace(request, call=call),
                    DrawReply,
                    _DRAW_TIMEOUT_MS,
                )
            except (AspengateError, KeyError):
                self._counters.count("money.steward_silent")
        raise AspengateError(
            ErrorKind.BUDGET_UNAVAILABLE, "no steward answers", where=request.budget
        )

    def _send_closed(self, closed: BlockClosed) -> None:
        address = self._steward_addresses.get(closed.holder)
        if address:
            self._peer.send(address, closed)


_REASONS: dict[ErrorKind, str] = {
    ErrorKind.BUDGET_EXHAUSTED: "the budget is spent",
    ErrorKind.BUDGET_UNAVAILABLE: "the rest of the budget is held elsewhere for now",
    ErrorKind.NOT_FOUND: "there is no such budget",
}
