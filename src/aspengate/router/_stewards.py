"""A router's part as steward: it holds the region's money of the shards that fall to it."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.adapters import DocumentCodec, Store, StoreDocument, VersionedValue
from aspengate.budgets import (
    Block,
    DrawStep,
    PlannedWrite,
    RecoveredBlock,
    Shard,
    ShardSteward,
    SizingPolicy,
    apply_commands,
    billed_item,
    block_number,
    decode_shard,
    encode_shard,
    shard_of,
)
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.router._items import archive_full_page
from aspengate.telemetry import Counters, log_change
from aspengate.transport import (
    BlockClosed,
    BlocksSettled,
    BlockTrimmed,
    DrawReply,
    DrawRequest,
    Message,
    Recall,
)

_RECALL_WAIT_MS = 100.0
_DRAW_STEPS = 10
_RENEW_FRACTION = 4
_WRITE_TRIES = 10


@dataclass
class _ShardState:
    """One shard that this router is steward of, with the locks of its two users.

    ``lock`` guards the decisions and is never held across I/O; ``writing`` lets one write at a
    time go to the store.
    """

    number: int
    steward: ShardSteward
    document: StoreDocument[Shard]
    current: VersionedValue[Shard] | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)
    writing: threading.Lock = field(default_factory=threading.Lock)
    recalled: set[str] = field(default_factory=set)
    answer_to: dict[str, str] = field(default_factory=dict)


class StewardService:
    """Lends blocks to routers of the region, and settles what they spent in the store."""

    def __init__(
        self,
        *,
        session: str,
        region: str,
        address: str,
        store: Store,
        clock: Clock,
        counters: Counters,
        send: Callable[[str, Message], bool],
        policy: SizingPolicy,
        honour_ms: int,
        shard_count: int,
        on_closed: Callable[[], None],
    ) -> None:
        self.session = session
        self.region = region
        self.address = address
        self.clock = clock
        self.counters = counters
        self.policy = policy
        self.honour_ms = honour_ms
        self.shard_count = shard_count
        self._store = store
        self._send = send
        self._on_closed = on_closed
        self._shards: dict[int, _ShardState] = {}
        self._lock = threading.Lock()

    def shard_document(self, number: int) -> StoreDocument[Shard]:
        """Return the document of a shard."""
        return budget_document(self._store, number)

    def draw(self, request: DrawRequest) -> DrawReply:
        """Return a block for a router, or why there is none; may wait for the store."""
        state = self._state(shard_of(request.budget, self.shard_count))
        try:
            block = self._lend_in_steps(state, request)
        except AspengateError as error:
            self.counters.count(f"steward.write_failed.{error.kind.value}")
            return self._refuse(state, request, ErrorKind.BUDGET_UNAVAILABLE)
        if block is None:
            with state.lock:
                kind = state.steward.shortage(request.budget, request.needed).kind
            return self._refuse(state, request, kind)
        self.counters.count("steward.lent")
        return DrawReply(
            call=request.call,
            budget=request.budget,
            block_id=block.block_id,
            holder=block.holder,
            amount=block.amount,
            honour_until_ms=block.honour_until_ms,
            steward_address=self.address,
        )

    def close_block(self, closed: BlockClosed) -> None:
        """Take a router's final account; answer at once where it is settled already."""
        state = self._state(shard_of(closed.budget, self.shard_count))
        items = [billed_item(record) for record in closed.items]
        with state.lock:
            reply: Message | None = None
            if _is_settled(state.steward.shard, closed.block_id):
                reply = BlocksSettled((closed.block_id,))
            else:
                state.answer_to[closed.block_id] = closed.reply_to
                state.steward.close_block(closed.block_id, closed.bills, items, self.clock.now_ms())
        if reply is not None:
            self._send(closed.reply_to, reply)

    def close_recovered(self, block: RecoveredBlock) -> None:
        """Close a block of ours whose router is dead, with what was found out about it."""
        state = self._state(shard_of(block.budget, self.shard_count))
        with state.lock:
            state.steward.close_block(block.block_id, block.bills, block.items, self.clock.now_ms())

    def is_settled(self, block_id: str, budget: str) -> bool:
        """Return whether the store is known to have a block of ours settled."""
        state = self._state(shard_of(budget, self.shard_count))
        with state.lock:
            return _is_settled(state.steward.shard, block_id)

    def trim_block(self, trimmed: BlockTrimmed) -> None:
        """Take back a part of an open block."""
        state = self._state(shard_of(trimmed.budget, self.shard_count))
        with state.lock:
            state.steward.trim(trimmed.block_id, trimmed.amount)

    def recall(self, recall: Recall) -> None:
        """Give back what another region's steward needs; may wait for the store."""
        state = self._state(shard_of(recall.budget, self.shard_count))
        with state.lock:
            spare = state.steward.recall(recall.budget, recall.needed, self.clock.now_ms())
        if not spare:
            return
        try:
            self._write(state)
        except AspengateError as error:
            self.counters.count(f"steward.write_failed.{error.kind.value}")

    def budgets_changed(self, budgets: frozenset[str]) -> None:
        """Take over limits that an operator changed; gives back what is above a lowered one."""
        numbers = {shard_of(budget, self.shard_count) for budget in budgets}
        for number, state in tuple(self._shards.items()):
            if number not in numbers:
                continue
            try:
                self.refresh(state)
                over = any(
                    each.unallocated < 0 and self.session in each.accounts
                    for each in state.steward.shard.budgets.values()
                )
                if over:
                    self._write(state)
            except AspengateError as error:
                self.counters.count(f"steward.write_failed.{error.kind.value}")

    def settle(self) -> None:
        """Write every shard that has something to settle or whose tenure wants renewal."""
        for state in tuple(self._shards.values()):
            with state.lock:
                steward = state.steward
                left = steward.honour_until_ms - self.clock.now_ms()
                renew = bool(steward.honour_until_ms) and left < self.honour_ms * (
                    1 - 1 / _RENEW_FRACTION
                )
                wanted = steward.unsettled_count > 0 or steward.needs_write or renew
            if not wanted:
                continue
            try:
                self._write(state)
            except AspengateError as error:
                self.counters.count(f"steward.write_failed.{error.kind.value}")

    def open_blocks_of(self, router_session: str) -> dict[str, str]:
        """Return the open blocks lent to a router's session, with their budgets."""
        return {
            block_id: block.budget
            for state in tuple(self._shards.values())
            for block_id, block in state.steward.open_blocks.copy().items()
            if block.router_session == router_session
        }

    def borrowers(self) -> frozenset[str]:
        """Return the router sessions that hold open blocks of ours."""
        return frozenset(
            block.router_session
            for state in tuple(self._shards.values())
            for block in state.steward.open_blocks.copy().values()
        )

    def leave(self) -> bool:
        """Settle and close every shard that is idle; return whether all are closed.

        Routers that hold blocks of ours are asked to give them back.
        """
        for number, state in tuple(self._shards.items()):
            if state.steward.open_blocks:
                self._recall_all(state)
                continue
            try:
                self._write(state, closing=True)
            except AspengateError:
                continue
            with self._lock:
                self._shards.pop(number, None)
        return not self._shards

    def _recall_all(self, state: _ShardState) -> None:
        with state.lock:
            lent = {
                (block.router_session, block.budget) for block in state.steward.open_blocks.values()
            }
        for router_session, budget in lent:
            self._send(router_session.partition("@")[2], Recall(budget, 0))

    def _state(self, number: int) -> _ShardState:
        with self._lock:
            state = self._shards.get(number)
            if state is None:
                steward = ShardSteward(
                    self.session, self.region, self.address, self.policy, self.honour_ms
                )
                state = _ShardState(number, steward, self.shard_document(number))
                self._shards[number] = state
            return state

    def _lend(self, state: _ShardState, request: DrawRequest) -> Block | None:
        with state.lock:
            return state.steward.draw(
                request.budget,
                request.router_session,
                request.needed,
                request.wanted,
                self.clock.now_ms(),
            )

    def _lend_in_steps(self, state: _ShardState, request: DrawRequest) -> Block | None:
        for _ in range(_DRAW_STEPS):
            block = self._lend(state, request)
            if block is not None:
                return block
            with state.lock:
                step = state.steward.next_step(
                    request.budget, request.needed, self.clock.now_ms(), ahead=request.ahead
                )
            if step is DrawStep.REFUSE:
                return None
            self._take_step(step, state, request)
        return self._lend(state, request)

    def _take_step(self, step: DrawStep, state: _ShardState, request: DrawRequest) -> None:
        self.counters.count(f"steward.draw_step.{step.value}")
        if step is DrawStep.WRITE:
            self._write(state)
        elif step is DrawStep.READ:
            self.refresh(state)
        else:
            if step is DrawStep.RECALL:
                self._recall_others(state, request)
            self.clock.sleep_ms(_RECALL_WAIT_MS)
            self.refresh(state)

    def _recall_others(self, state: _ShardState, request: DrawRequest) -> None:
        with state.lock:
            holders = state.steward.other_holders(request.budget)
            borrowers = state.steward.routers_of(request.budget)
        recall = Recall(request.budget, request.needed)
        for address in holders.values():
            self._send(address, recall)
        for router_session in borrowers:
            self._send(router_session.partition("@")[2], recall)

    def refresh(self, state: _ShardState) -> None:
        """Read a shard anew; raises AspengateError where the store can't be read."""
        with state.writing:
            state.current = state.document.read()
            with state.lock:
                self._check_tenure(state, state.current.value)
                state.steward.observe(state.current.value, self.clock.now_ms())

    def _write(self, state: _ShardState, *, closing: bool = False) -> None:
        with state.writing:
            failure: AspengateError | None = None
            for _ in range(_WRITE_TRIES):
                base = state.current or state.document.read()
                state.current = None
                write = self._plan(state, base, closing=closing)
                value = apply_commands(base.value, write.operation_id, write.commands)
                try:
                    written = state.document.swap(base, value)
                except AspengateError as error:
                    if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                        raise
                    failure = error
                    continue
                if written is not None:
                    self._written(state, write, written)
                    return
                self.counters.count("steward.conflicts")
            raise failure or AspengateError(
                ErrorKind.STORE_UNAVAILABLE, "too many concurrent writes", where=state.document.key
            )

    def _plan(
        self, state: _ShardState, base: VersionedValue[Shard], *, closing: bool
    ) -> PlannedWrite:
        """Plan on the document as it is now.

        A write whose answer was lost needs no memory: if it took effect the document shows it,
        grants are read back from there, and blocks that are settled already are skipped.
        """
        with state.lock:
            self._check_tenure(state, base.value)
            now = self.clock.now_ms()
            state.steward.observe(base.value, now)
            return state.steward.plan_close(now) if closing else state.steward.plan(now)

    def _written(
        self, state: _ShardState, write: PlannedWrite, written: VersionedValue[Shard]
    ) -> None:
        state.current = written
        with state.lock:
            settled = state.steward.applied(write, written.value, self.clock.now_ms())
            told = self._addresses_of(state, settled)
        self.counters.count("steward.writes")
        if archive_full_page(self._store, state.number, state.document, written.value):
            state.current = None
        for address, block_ids in told.items():
            self._send(address, BlocksSettled(tuple(block_ids)))

    def _check_tenure(self, state: _ShardState, shard: Shard) -> None:
        if state.steward.honour_until_ms and self.session not in shard.sessions:
            self.counters.count("steward.tenure_closed")
            log_change("steward.tenure_closed", session=self.session)
            self._on_closed()
            raise AspengateError(ErrorKind.FENCED, "this session was closed by a successor")

    def _addresses_of(self, state: _ShardState, settled: tuple[str, ...]) -> dict[str, list[str]]:
        told: dict[str, list[str]] = {}
        for block_id in settled:
            address = state.answer_to.pop(block_id, "")
            if address:
                told.setdefault(address, []).append(block_id)
        return told

    def _refuse(self, state: _ShardState, request: DrawRequest, kind: ErrorKind) -> DrawReply:
        with state.lock:
            state.steward.clear_need(request.budget)
        self.counters.count(f"steward.refused.{kind.value}")
        return DrawReply(call=request.call, budget=request.budget, refusal=kind.value)


_SHARD_CODEC = DocumentCodec(encode_shard, decode_shard)


def _is_settled(shard: Shard, block_id: str) -> bool:
    router_session, number = block_number(block_id)
    session = shard.sessions.get(block_id.partition("#")[0])
    settled = session.settled.get(router_session) if session else None
    return settled is not None and settled.contains(number)


def budget_document(store: Store, number: int) -> StoreDocument[Shard]:
    """Return the document of one budget shard."""
    key = f"aspengate/budgets/{number}"
    return StoreDocument(store, key, Shard(), Shard.has_applied, _SHARD_CODEC)
