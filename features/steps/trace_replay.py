"""Replays the steps of a specification's trace on the real budget modules.

From the start of a request until its end is known, its whole upper bound counts as spent.
"""

from aspengate.agent import DispatchGate
from aspengate.budgets import SetLimit, SizingPolicy, apply_commands
from budget_world import BUDGET, HONOUR_MS, World


class ExactSizing(SizingPolicy):
    """Grants, lends and returns exactly the requested amount, as the specification does."""

    def grant(self, *, needed, free, rate, unallocated, holders):
        return max(0, needed - free) if needed - free <= unallocated else 0

    def block(self, *, needed, wanted, free, routers):
        return needed if needed <= free else 0

    def surplus(self, *, free, rate, unallocated, holders):
        return 0

    def spare(self, *, free, rate, needed):
        return min(free, needed)


class Replay:
    """Applies the steps of the specification in order; a step that the code refuses is skipped."""

    def __init__(self, limit):
        self.world = World(limit=limit)
        self.sessions = [steward.session for steward in self.world.stewards]
        self.stewards = list(self.world.stewards)
        self.fences = set()
        self.paid_more = 0
        for steward in self.stewards:
            steward.policy = ExactSizing()
            steward.observe(self.world.shard, 0)
        self.bases = [self.world.shard, self.world.shard]

    def apply_step(self, name, holder, parameters):
        STEPS[name](self, holder, **parameters)

    def pay(self, holder, amount):
        self.paid_more = amount

    def raise_limit(self, holder, answer_lost):
        """Raise the limit; a retry after a lost reply finds its operation id and is skipped."""
        if not self.world.shard.has_applied("top-up"):
            self.world.limit += self.paid_more
            command = SetLimit(BUDGET, self.world.limit, "operator", 0)
            self.world.shard = apply_commands(self.world.shard, "top-up", [command])

    def read(self, holder):
        self.bases[holder] = self.world.shard
        self.stewards[holder].observe(self.world.shard, self.world.now_ms)

    def grant(self, holder, amount, answered):
        steward = self.stewards[holder]
        steward.draw(BUDGET, "nobody", steward.free(BUDGET) + amount, 0, self.world.now_ms)
        self.write(holder, answered > 0)
        steward.clear_need(BUDGET)

    def give_back(self, holder, amount):
        self.stewards[holder].recall(BUDGET, amount, self.world.now_ms)
        self.write(holder, True)

    def write(self, holder, answered):
        steward = self.stewards[holder]
        planned = steward.plan(self.world.now_ms)
        if self.bases[holder] is not self.world.shard:
            return
        if steward.honour_until_ms and steward.session not in self.world.shard.sessions:
            return
        self.world.shard = apply_commands(self.world.shard, planned.operation_id, planned.commands)
        if answered:
            self.bases[holder] = self.world.shard
            steward.applied(planned, self.world.shard, self.world.now_ms)

    def lend(self, holder, amount):
        ledger = self.world.ledgers[holder]
        block = self.stewards[holder].draw(BUDGET, ledger.session, amount, 0, self.world.now_ms)
        if block is not None:
            ledger.add(block, self.world.now_ms)

    def start(self, holder, amount):
        self.world.dispatch(holder, amount, 100)

    def end(self, holder, bound, cost):
        for index, each in enumerate(self.world.running):
            if each.reservation.block.holder == self.sessions[holder]:
                each_cost = min(cost, each.reservation.amount)
                self.world.spent += each_cost - each.cost
                each.cost = each_cost
                self.world.finish(index)
                return

    def settle(self, holder):
        self.world.ledgers[holder].retire_all()
        self.send_again(holder)
        self.read(holder)
        self.write(holder, True)

    def send_again(self, holder):
        ledger = self.world.ledgers[holder]
        for closed in ledger.closing.values():
            if closed.holder == self.sessions[holder]:
                self.stewards[holder].close_block(
                    closed.block_id, closed.bills, (), self.world.now_ms
                )

    def fence(self, holder):
        self.fences.add(self.sessions[holder])

    def receive_fence(self, holder):
        self.world.gate.fence(self.sessions[holder])

    def restart(self, holder):
        """Replace the agent by a new one, which reads the fences from the store."""
        self.world.gate = DispatchGate(fenced=set(self.fences))

    def lapse(self, holder):
        self.world.now_ms += 2 * HONOUR_MS

    def recover(self, holder):
        session = self.sessions[holder]
        if session in self.fences or self.world.now_ms > HONOUR_MS:
            self.world._recover_session(session)


STEPS = {
    "customer pays": Replay.pay,
    "operator raises limit": Replay.raise_limit,
    "steward # reads": Replay.read,
    "steward # is granted": Replay.grant,
    "steward # returns": Replay.give_back,
    "steward # lends": Replay.lend,
    "request starts under #": Replay.start,
    "request ends under #": Replay.end,
    "blocks of # are settled": Replay.settle,
    "blocks of # are sent again": Replay.send_again,
    "session # is fenced in the store": Replay.fence,
    "the agent hears the fence of #": Replay.receive_fence,
    "the agent restarts, knowing #": Replay.restart,
    "the time of # lapses": Replay.lapse,
    "session # is recovered": Replay.recover,
}
