"""Finding dead sessions and giving back what they did not spend."""

import uuid
from concurrent.futures import ThreadPoolExecutor

from aspengate.adapters import Store
from aspengate.budgets import (
    CloseSession,
    Command,
    RecoveredBlock,
    Recovery,
    SettleBlocks,
    Shard,
    apply_commands,
    owner_key,
    shard_of,
)
from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.membership import FenceDocument, FencedSession, fences_document, owner_of
from aspengate.router._claims import ClaimService
from aspengate.router._members import Members
from aspengate.router._money import RouterMoney
from aspengate.router._stewards import StewardService, budget_document
from aspengate.table import TableView
from aspengate.telemetry import Counters, log_change
from aspengate.transport import BlocksSettled, Fence, FenceAck, Peer

_ACK_TIMEOUT_MS = 1_500.0
_ASKERS = 8
_SCANS_PER_TICK = 4


class RecoveryService:
    """Fences sessions whose process is gone, and settles what they left.

    The order is: write the fence to the store, so that agents that start later know it; wait
    until the instance list must show every agent that started before; ask all processes; when
    all have answered and nothing runs, settle. Whoever does not answer is waited for until the
    session's money has lapsed by itself.
    """

    def __init__(
        self,
        *,
        session: str,
        region: str,
        store: Store,
        clock: Clock,
        counters: Counters,
        peer: Peer,
        members: Members,
        stewards: StewardService,
        money: RouterMoney,
        claims: ClaimService,
        list_lag_ms: int,
        longest_run_ms: int,
        honour_ms: int,
        clock_error_ms: int,
    ) -> None:
        self.session = session
        self.region = region
        self.clock = clock
        self.counters = counters
        self._store = store
        self._peer = peer
        self._members = members
        self._stewards = stewards
        self._money = money
        self._claims = claims
        self._list_lag_ms = list_lag_ms
        self._lapse_ms = honour_ms + longest_run_ms + 2 * clock_error_ms
        self._fences = fences_document(store)
        self._fenced_ms: dict[str, int] = {}
        self._recoveries: dict[str, Recovery] = {}
        self._scanned: dict[int, frozenset[str]] = {}
        self._generation = -1
        self._pool = ThreadPoolExecutor(_ASKERS, thread_name_prefix="recovery")

    def tick(self, table: TableView) -> None:
        """Advance every recovery by one step; I/O, so call it from its own loop."""
        for session in self._dead_sessions():
            try:
                self._advance(session, table)
            except AspengateError as error:
                self.counters.count(f"recovery.failed.{error.kind.value}")

    def close(self) -> None:
        """Stop asking."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _dead_sessions(self) -> frozenset[str]:
        self._scan()
        known = set(self._stewards.borrowers())
        known.update(*self._scanned.values())
        known.update(self._claims.predecessors())
        return frozenset(session for session in known if self._members.is_dead(session))

    def _scan(self) -> None:
        """Read the shards that fall to this router, a few at a time.

        They are read again only after a router came, went or was replaced: a session dies with
        its process, and 13,500 documents read at every poll would be too much for the store.
        """
        if self._generation != self._members.generation:
            self._generation = self._members.generation
            self._scanned.clear()
        owned = [number for number in range(self._stewards.shard_count) if self._owns(number)]
        missing = [number for number in owned if number not in self._scanned]
        for number in missing[:_SCANS_PER_TICK]:
            try:
                self._scanned[number] = self._sessions_of(number)
            except AspengateError:
                self.counters.count("recovery.store_unavailable")
                return

    def _sessions_of(self, number: int) -> frozenset[str]:
        shard = budget_document(self._store, number).read().value
        return frozenset(
            name for name, session in shard.sessions.items() if session.region == self.region
        )

    def _owns(self, number: int) -> bool:
        members = {*self._money.routers, self._members.name}
        return owner_of(owner_key(self.region, number), members) == self._members.name

    def _advance(self, session: str, table: TableView) -> None:
        now = self.clock.now_ms()
        if session not in self._fenced_ms:
            self._write_fence(session, now)
            return
        if self._members.listed_ms < self._fenced_ms[session] + self._list_lag_ms:
            return
        recovery = self._recoveries.get(session)
        if recovery is None:
            recovery = Recovery(
                session,
                self._members.processes() | {self._peer.address},
                certain_ms=self._fenced_ms[session] + self._lapse_ms,
            )
            self._recoveries[session] = recovery
        self._ask(recovery)
        if recovery.is_complete(self.clock.now_ms()):
            self._settle(recovery, table)

    def _write_fence(self, session: str, now: int) -> None:
        operation_id = uuid.uuid4().hex
        fence = FencedSession(session, now, now + self._lapse_ms)

        def transition(document: FenceDocument) -> FenceDocument:
            return document.with_fence(operation_id, fence, now)

        written = self._fences.update(operation_id, transition).value
        known = next(each for each in written.fenced if each.session == session)
        self._fenced_ms[session] = known.fenced_ms
        log_change("recovery.fenced", session=session)

    def _ask(self, recovery: Recovery) -> None:
        waiting = recovery.waiting_for()
        if self._peer.address in waiting:
            own = Fence(0, self._peer.address, recovery.session)
            recovery.add(self._money.fence(own, self._peer.address))
        others = [address for address in waiting if address != self._peer.address]
        present = self._members.processes()
        for ack in self._pool.map(
            lambda address: self._ask_one(address, recovery.session),
            [address for address in others if address in present],
        ):
            if ack is not None:
                recovery.add(ack)
                self._claims.inherit(recovery.session, ack.claims)
        gone = frozenset(address for address in others if address not in present)
        recovery.participants -= gone
        for address in gone:
            recovery.running.pop(address, None)

    def _ask_one(self, address: str, session: str) -> FenceAck | None:
        try:
            return self._peer.call(
                address,
                lambda call: Fence(call, self._peer.address, session),
                FenceAck,
                _ACK_TIMEOUT_MS,
            )
        except AspengateError:
            self.counters.count("recovery.silent")
            return None

    def _settle(self, recovery: Recovery, table: TableView) -> None:
        itemised = [row.name for row in table.services.values() if row.itemised]
        blocks = recovery.blocks(itemised)
        self._claims.fenced.add(recovery.session)
        settled = self._close_borrowed(recovery.session, blocks)
        for number in range(self._stewards.shard_count):
            if self._owns(number):
                settled += self._close_held(recovery.session, number, blocks)
                self._scanned[number] = self._scanned.get(number, frozenset()) - {recovery.session}
        for address in self._members.processes():
            self._peer.send(address, BlocksSettled(tuple(settled)))
        self._recoveries.pop(recovery.session, None)
        self.counters.count("recovery.completed")
        log_change("recovery.completed", session=recovery.session, blocks=len(blocks))

    def _close_borrowed(self, session: str, blocks: tuple[RecoveredBlock, ...]) -> list[str]:
        """Settle what we lent to the session; return the blocks that are in the store.

        Only those may be forgotten by the agents: a block that another steward lent is that
        steward's to settle, and until then the agents' records are all that is known of it.
        """
        found = {block.block_id: block for block in blocks}
        borrowed = self._stewards.open_blocks_of(session)
        for block_id, budget in borrowed.items():
            block = found.get(block_id, RecoveredBlock(block_id, budget, {}))
            self._stewards.close_recovered(block)
        self._stewards.settle()
        return [
            block_id
            for block_id, budget in borrowed.items()
            if self._stewards.is_settled(block_id, budget)
        ]

    def _close_held(
        self, session: str, number: int, blocks: tuple[RecoveredBlock, ...]
    ) -> list[str]:
        """Settle what the session held of a shard; return its blocks, which are in the store."""
        document = budget_document(self._store, number)
        operation_id = uuid.uuid4().hex

        held = [
            block
            for block in blocks
            if block.block_id.startswith(f"{session}#")
            and shard_of(block.budget, self._stewards.shard_count) == number
        ]

        def transition(shard: Shard) -> Shard:
            if session not in shard.sessions:
                return apply_commands(shard, operation_id, [])
            commands: list[Command] = [
                SettleBlocks(
                    session,
                    {block.block_id: (block.budget, block.bills) for block in held},
                    tuple(item for block in held for item in block.items),
                ),
                CloseSession(session),
            ]
            return apply_commands(shard, operation_id, commands)

        if session in document.read().value.sessions:
            document.update(operation_id, transition)
        return [block.block_id for block in held]
