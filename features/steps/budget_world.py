"""Simulates the environment of the budget modules: a store, an agent, messages in any order."""

import random
from dataclasses import dataclass, field

from aspengate.agent import DispatchGate
from aspengate.budgets import (
    BlockLedger,
    CloseSession,
    Recovery,
    SetLimit,
    SettleBlocks,
    Shard,
    ShardSteward,
    SizingPolicy,
    apply_commands,
)
from aspengate.errors import AspengateError
from aspengate.transport import Dispatch, FenceAck, RunningRequest, UsageRecord

BUDGET = "budget"
LIMIT = 200
HONOUR_MS = 1_000_000


@dataclass
class Running:
    """Holds a request that an agent has started; its router may die before it ends."""

    reservation: object
    ledger: BlockLedger
    cost: int


@dataclass
class World:
    """Simulates two stewards, two routers, one agent and one store document."""

    seed: int = 0
    now_ms: int = 1_000
    rules_off: frozenset = frozenset()
    limit: int = LIMIT
    highest_limit: int = LIMIT
    spent: int = 0
    refused_by_agent: int = 0
    shard: Shard = field(default_factory=Shard)
    gate: DispatchGate = field(default_factory=DispatchGate)
    running: list = field(default_factory=list)
    records: dict = field(default_factory=dict)
    dead_ledgers: list = field(default_factory=list)
    recoveries: dict = field(default_factory=dict)
    replaced_stewards: list = field(default_factory=list)
    session_count: int = 0

    def __post_init__(self):
        self.random = random.Random(self.seed)
        command = SetLimit(BUDGET, self.limit, "operator", 0)
        self.shard = apply_commands(self.shard, "first", [command])
        self.stewards = [self._new_steward(), self._new_steward()]
        self.ledgers = [self._new_ledger(), self._new_ledger()]
        self.stale = {}

    def draw(self, router, steward, needed):
        ledger, holder = self.ledgers[router], self.stewards[steward]
        block = holder.draw(BUDGET, ledger.session, needed, needed * 3, self.now_ms)
        if block is None:
            self.write(steward, "ok")
            block = holder.draw(BUDGET, ledger.session, needed, needed * 3, self.now_ms)
        if block is not None:
            ledger.add(block, self.now_ms)

    def lend_from_replaced(self, router, needed):
        """Let a replaced steward that was only paused lend from its outdated account."""
        if not self.replaced_stewards:
            return
        ledger = self.ledgers[router]
        block = self.replaced_stewards[-1].draw(BUDGET, ledger.session, needed, needed, self.now_ms)
        if block is not None:
            ledger.add(block, self.now_ms)

    def dispatch(self, router, bound, share):
        """Reserve and send a request; the agent starts it if its gate admits it."""
        ledger = self.ledgers[router]
        if "upper bound reserved" in self.rules_off:
            reservation = ledger.reserve(BUDGET, 1, self.now_ms)
        else:
            reservation = ledger.reserve(BUDGET, bound, self.now_ms)
        if reservation is None:
            return
        block = reservation.block
        dispatch = make_dispatch(ledger.session, block.holder, block.honour_until_ms)
        if self.gate.check(dispatch, self.now_ms, 0) is not None:
            self.refused_by_agent += 1
            ledger.release(reservation, self.now_ms)
            return
        cost = max(1, bound * share // 100)
        self.spent += cost
        self.running.append(Running(reservation, ledger, cost))

    def finish(self, index):
        if not self.running:
            return
        each = self.running.pop(index % len(self.running))
        block = each.reservation.block
        record = UsageRecord(
            request_id=str(len(self.records)),
            block_id=block.block_id,
            sequence=each.reservation.sequence,
            holder=block.holder,
            router_session=each.ledger.session,
            budget=BUDGET,
            client_account="account",
            service="service",
            input_tokens=0,
            output_tokens=0,
            cost=each.cost,
            finished_ms=self.now_ms,
        )
        self.records[record.block_id, record.sequence] = record
        each.ledger.settle(each.reservation, "account|service", each.cost, self.now_ms)

    def write(self, steward, outcome):
        """Let a steward write.

        The reply may be lost, or the write may be based on an outdated document.
        """
        holder = self.stewards[steward]
        base = self.stale.pop(steward, self.shard)
        if holder.honour_until_ms and holder.session not in self.shard.sessions:
            return
        holder.observe(base, self.now_ms)
        write = holder.plan(self.now_ms)
        if outcome == "pause":
            self.stale[steward] = self.shard
            return
        commands = write.commands
        if base is not self.shard:
            if "limit checked in one write" not in self.rules_off:
                return
            commands = self._unchecked(commands)
        self.shard = apply_commands(self.shard, write.operation_id, commands)
        if outcome == "ok":
            holder.applied(write, self.shard, self.now_ms)

    def deliver_closed_blocks(self, router, steward, repeats):
        """Deliver a router's final accounts to the steward that lent the blocks."""
        ledger, holder = self.ledgers[router], self.stewards[steward]
        for closed in list(ledger.closing.values()):
            if closed.holder == holder.session:
                for _ in range(repeats):
                    holder.close_block(closed.block_id, closed.bills, (), self.now_ms)

    def retire(self, router):
        self.ledgers[router].retire_all()

    def recall(self, router, steward):
        for trimmed in self.ledgers[router].recall(BUDGET):
            self.stewards[steward].trim(trimmed.block_id, trimmed.amount)

    def kill_router(self, router):
        self.dead_ledgers.append(self.ledgers[router])
        self.ledgers[router] = self._new_ledger()

    def kill_steward(self, steward):
        """Replace a steward, whose money is to be recovered; the old one may only be paused."""
        old = self.stewards[steward]
        self.stewards[steward] = self._new_steward()
        self.stale.pop(steward, None)
        self.replaced_stewards.append(old)
        self.recoveries[old.session] = old

    def recover(self):
        """Fence and settle every dead session whose work has ended."""
        for session in [*self.recoveries, *(each.session for each in self.dead_ledgers)]:
            self._recover_session(session)

    def settle_all(self):
        """End all requests, then recover every dead session and settle every block."""
        while self.running:
            self.finish(0)
        for ledger in self.ledgers:
            ledger.retire_all()
        self.recover()
        self.retire_and_settle()

    def retire_and_settle(self):
        """Let every router retire its blocks, and every steward settle the closed ones."""
        self.stale.clear()
        for router, ledger in enumerate(self.ledgers):
            ledger.retire_all()
            for steward in range(len(self.stewards)):
                self.deliver_closed_blocks(router, steward, 2)
        for steward in range(len(self.stewards)):
            self.write(steward, "ok")

    def _recover_session(self, session):
        if "fence before recovery" not in self.rules_off:
            self.gate.fence(session)
            for ledger in self.ledgers:
                ledger.retire_holder(session)
        recovery = Recovery(session, frozenset({"agent"}), certain_ms=2**60)
        recovery.add(self._ack(session))
        if not recovery.is_complete(self.now_ms):
            return
        blocks = recovery.blocks()
        for steward in self.stewards:
            for block_id, block in list(steward.open_blocks.items()):
                if block.router_session == session:
                    found = next((each for each in blocks if each.block_id == block_id), None)
                    steward.close_block(block_id, found.bills if found else {}, (), self.now_ms)
        if session in self.shard.sessions:
            held = {
                each.block_id: (BUDGET, each.bills)
                for each in blocks
                if each.block_id.startswith(f"{session}#")
            }
            if "settled blocks skipped" in self.rules_off:
                held = {
                    f"{session}#again#{len(held) + 1}{i}": v for i, v in enumerate(held.values())
                }
            commands = [SettleBlocks(session, held), CloseSession(session)]
            self.shard = apply_commands(self.shard, f"recover {session}", commands)
        self.recoveries.pop(session, None)
        self.dead_ledgers = [each for each in self.dead_ledgers if each.session != session]

    def _ack(self, session):
        closed = [each for ledger in self.ledgers for each in ledger.closed_of(session)]
        running = [
            RunningRequest(each.reservation.block.block_id, 1, "", "", 1)
            for each in self.running
            if session in (each.reservation.block.holder, each.ledger.session)
        ]
        records = [
            record
            for record in self.records.values()
            if session in (record.holder, record.router_session)
        ]
        return FenceAck(0, "agent", session, tuple(records), tuple(running), tuple(closed))

    def _unchecked(self, commands):
        raised = SetLimit(BUDGET, 10**9, "nobody", 0)
        back = SetLimit(BUDGET, self.limit, "nobody", 0)
        return [raised, *commands, back]

    def _new_steward(self):
        self.session_count += 1
        return ShardSteward(f"s{self.session_count}", "region", "", SizingPolicy(), HONOUR_MS)

    def _new_ledger(self):
        self.session_count += 1
        return BlockLedger(f"r{self.session_count}", "")


def make_dispatch(router_session="router", holder="steward", honour_until_ms=10**9, **fields):
    """Return a dispatch with default values for all fields but those given."""
    values = {
        "stream": 1,
        "router_session": router_session,
        "reply_to": "",
        "request_id": "request",
        "service": "service",
        "budget": BUDGET,
        "client_account": "account",
        "holder": holder,
        "block_id": f"{holder}#{router_session}#1",
        "sequence": 1,
        "upper_bound": 100,
        "honour_until_ms": honour_until_ms,
        "deadline_ms": 10**12,
        "priority": 0,
        "method": "POST",
        "path": "/",
        "headers": (),
        "body": b"",
        "price_input": 0,
        "price_output": 0,
        "price_call": 1,
    }
    return Dispatch(**{**values, **fields})


__all__ = ["BUDGET", "LIMIT", "AspengateError", "World", "make_dispatch"]
