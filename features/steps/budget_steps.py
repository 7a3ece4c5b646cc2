"""Steps of budgets.feature."""

from types import SimpleNamespace

from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from aspengate.agent import DispatchGate
from aspengate.billing import invoice_of
from aspengate.budgets import (
    Budget,
    CloseSession,
    DrawStep,
    Recovery,
    SetLimit,
    Shard,
    ShardSteward,
    SizingPolicy,
    apply_commands,
)
from aspengate.clock import ManualClock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.experiments import budget_scenarios, run_budget_scenario, scaled
from aspengate.router import RecoveryService, StewardService, TableEditor
from aspengate.standins import MemoryStore
from aspengate.table import BudgetRow, RowChange, TableView
from aspengate.telemetry import NullCounters
from aspengate.transport import BlockClosed, DrawRequest, FenceAck, UsageRecord
from budget_world import BUDGET, LIMIT, World, make_dispatch

PLACE_NUMBERS = (0, 1)
PLACES = st.sampled_from(PLACE_NUMBERS)


def make_machine():
    class BudgetMachine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.world = World()

        @rule(router=PLACES, steward=PLACES, needed=st.sampled_from([20, 100, 180]))
        def draw(self, router, steward, needed):
            self.world.draw(router, steward, needed)

        @rule(router=PLACES, bound=st.sampled_from([15, 60, 100]), share=st.sampled_from([40, 100]))
        def dispatch(self, router, bound, share):
            self.world.dispatch(router, bound, share)

        @rule(index=st.integers(0, 5))
        def finish(self, index):
            self.world.finish(index)

        @rule(steward=PLACES, outcome=st.sampled_from(["ok", "lost", "pause"]))
        def write(self, steward, outcome):
            self.world.write(steward, outcome)

        @rule(router=PLACES, steward=PLACES, repeats=st.integers(1, 2))
        def deliver_closed_blocks(self, router, steward, repeats):
            self.world.deliver_closed_blocks(router, steward, repeats)

        @rule(router=PLACES)
        def retire(self, router):
            self.world.retire(router)

        @rule(router=PLACES, steward=PLACES)
        def recall(self, router, steward):
            self.world.recall(router, steward)

        @rule(router=PLACES)
        def kill_router(self, router):
            self.world.kill_router(router)

        @rule(steward=PLACES)
        def kill_steward(self, steward):
            self.world.kill_steward(steward)

        @rule()
        def retire_and_settle(self):
            self.world.retire_and_settle()

        @rule(router=PLACES, needed=st.sampled_from([20, 100, 180]))
        def lend_from_replaced(self, router, needed):
            self.world.lend_from_replaced(router, needed)

        @rule()
        def recover(self):
            self.world.recover()

        @invariant()
        def never_overspent(self):
            assert self.world.spent <= LIMIT, f"spent {self.world.spent}"
            assert self.world.shard.budgets[BUDGET].committed <= LIMIT

        def teardown(self):
            self.world.settle_all()
            billed = self.world.shard.budgets[BUDGET].spent
            assert billed == self.world.spent, f"billed {billed}, spent {self.world.spent}"

    return BudgetMachine


def check(machine, examples, steps=40):
    run_state_machine_as_test(
        machine, settings=settings(max_examples=examples, stateful_step_count=steps)
    )


@given("routers, stewards, agents and a store that lose replies, pause and crash")
def a_world(context):
    context.machine = make_machine()


@when("any events occur in any order")
def any_events(context):
    """The next steps generate the events and check the properties."""


@then("actual spending never exceeds the limit")
def never_overspent(context):
    check(context.machine, examples=400)


@then("the amount settled in the end equals the amount spent")
def settled(context):
    """The teardown of the machine checks this at the end of every run."""
    check(make_machine(), examples=100, steps=100)


def stale_write(world):
    """Two stewards plan on the same document; the second one writes after the first."""
    world.write(0, "pause")
    world.draw(0, 0, 180)
    world.stewards[1].draw(BUDGET, "router", 180, 180, world.now_ms)
    world.stale[1] = Shard(budgets={BUDGET: Budget(LIMIT)})
    world.write(1, "ok")
    world.draw(1, 1, 180)


def router_not_fenced(world):
    """A steward dies and its money is returned while a router still holds a block of it."""
    world.draw(0, 0, 180)
    world.kill_steward(0)
    world.recover()
    world.draw(1, 1, 180)


def cost_above_reservation(world):
    """Requests cost more than was reserved for them."""
    world.draw(0, 0, 180)


def settled_before_death(world):
    """A steward settles a block and dies; the router still has the block's final account."""
    world.draw(0, 0, 100)
    world.dispatch(0, 40, 100)
    world.finish(0)
    world.retire_and_settle()
    world.kill_steward(0)
    world.recover()


SEQUENCES = {
    "limit checked in one write": stale_write,
    "fence before recovery": router_not_fenced,
    "upper bound reserved": cost_above_reservation,
    "settled blocks skipped": settled_before_death,
}


def find_violation(world, sequence):
    """Run a sequence, then spend all that can be spent; return the violation, if any."""
    try:
        sequence(world)
        for router in PLACE_NUMBERS:
            for _ in range(10):
                world.dispatch(router, 60, 100)
        assert world.spent <= LIMIT, f"spent {world.spent}"
        world.settle_all()
        billed = world.shard.budgets[BUDGET].spent
        assert billed == world.spent, f"billed {billed}, spent {world.spent}"
    except (AssertionError, AspengateError) as error:
        return error
    return None


@when('events occur that the rule "{name}" protects against')
def events_of(context, name):
    context.with_rule = find_violation(World(), SEQUENCES[name])
    context.without_rule = find_violation(World(rules_off=frozenset({name})), SEQUENCES[name])


@then("the invariants hold with the rule and are violated without it")
def needed(context):
    assert context.with_rule is None, context.with_rule
    assert context.without_rule is not None


def write(steward, shard, now_ms):
    steward.observe(shard, now_ms)
    planned = steward.plan(now_ms)
    shard = apply_commands(shard, planned.operation_id, planned.commands)
    steward.applied(planned, shard, now_ms)
    return shard


@given("a budget of {limit:d} held in part by a steward that pauses")
def held_in_part(context, limit):
    shard = apply_commands(Shard(), "first", [SetLimit(BUDGET, limit, "operator", 0)])
    steward = ShardSteward("old", "region", "", SizingPolicy(), 1_000_000)
    assert steward.draw(BUDGET, "router", 100, 100, 0) is None
    context.shard = write(steward, shard, 0)
    context.steward = steward
    assert steward.free(BUDGET) >= 100


@when("its tenure is fenced, recovered and closed, and it resumes and lends again")
def resumes(context):
    context.gate = DispatchGate()
    context.gate.fence("old")
    context.shard = apply_commands(context.shard, "recovered", [CloseSession("old")])
    context.block = context.steward.draw(BUDGET, "router", 50, 50, 10)
    assert context.block is not None


@then("agents refuse to start requests paid by its money")
def refused(context):
    dispatch = make_dispatch(holder="old", honour_until_ms=context.block.honour_until_ms)
    assert context.gate.check(dispatch, 10, 0).kind is ErrorKind.FENCED


@then("its next write is rejected because its tenure is closed")
def closed(context):
    assert context.steward.session not in context.shard.sessions
    report = context.steward.plan(20).commands[1:]
    for command in report:
        try:
            apply_commands(context.shard, "late", [command])
        except AspengateError as error:
            assert error.kind is ErrorKind.CONFLICT
        else:
            raise AssertionError("a closed tenure could still change the shard")


@when("an operator lowers the limit to {limit:d}")
def lower(context, limit):
    context.steward.draw(BUDGET, "router", 60, 60, 10)
    context.shard = apply_commands(
        context.shard, "lower", [SetLimit(BUDGET, limit, "operator", 10)]
    )


@then("the steward's next write returns everything that is not lent")
def returned(context):
    context.shard = write(context.steward, context.shard, 20)
    assert context.steward.free(BUDGET) == 0
    assert context.shard.budgets[BUDGET].committed == 60


@given("a budget of {limit:d} in a store that loses the next reply")
def losing_store(context, limit):
    context.store = MemoryStore()
    context.editor = TableEditor(context.store, ManualClock(), 1)
    context.before = BudgetRow(name=BUDGET, limit=limit)
    context.editor.change((RowChange(None, context.before),), "operator")
    context.store.faults.lose_answers = 1


def set_limit(context, limit, actor):
    after = BudgetRow(name=BUDGET, limit=limit)
    context.editor.change((RowChange(context.before, after),), actor)


@when("an operator raises the limit to {limit:d}")
def raise_limit(context, limit):
    set_limit(context, limit, "operator")


@then("the limit is {limit:d} and the history has one change to it")
def one_change(context, limit):
    (shard,) = context.editor.shards()
    assert shard.budgets[BUDGET].limit == limit
    assert [change.after for change in shard.changes] == [1_000, limit]
    assert context.store.faults.lose_answers == 0


@when("two operators who both saw 1000 set {first:d} and {second:d}")
def race(context, first, second):
    set_limit(context, first, "first")
    try:
        set_limit(context, second, "second")
    except AspengateError as error:
        context.error = error


@when("one operator who saw 1000 sets {limit:d} and another who saw 1000 removes it")
def race_removal(context, limit):
    set_limit(context, limit, "first")
    try:
        context.editor.change((RowChange(context.before, None),), "second")
    except AspengateError as error:
        context.error = error


@then("one of them gets a conflict that shows the present limit")
def conflict(context):
    assert context.error.kind is ErrorKind.CONFLICT
    assert "1500" in str(context.error)
    (shard,) = context.editor.shards()
    assert shard.budgets[BUDGET].limit == 1_500


@given("a budget of {limit:d} that is spent")
def spent_budget(context, limit):
    held_in_part(context, limit)
    steward = context.steward
    now = 0
    while steward.next_step(BUDGET, 1 + steward.free(BUDGET), now) is DrawStep.WRITE:
        steward.draw(BUDGET, "router", 1 + steward.free(BUDGET), 1, now)
        context.shard = write(steward, context.shard, now)
    block = steward.draw(BUDGET, "router", steward.free(BUDGET), 0, now)
    steward.close_block(block.block_id, {"account|service": block.amount}, (), now)
    context.shard = write(steward, context.shard, now)
    assert context.shard.budgets[BUDGET].spent == limit


@when("{count:d} more requests ask for money within a second")
def ask(context, count):
    steps = []
    for number in range(count):
        now = 5_000 + number * 1_000 // count
        assert context.steward.draw(BUDGET, "router", 10, 10, now) is None
        step = context.steward.next_step(BUDGET, 10, now)
        steps.append(step)
        if step is DrawStep.READ:
            context.steward.observe(context.shard, now)
    context.steps = steps
    context.shortage = context.steward.shortage(BUDGET, 10)


@then("they are refused as exhausted with at most {reads:d} reads and no write")
def few_reads(context, reads):
    assert context.steps.count(DrawStep.READ) <= reads
    assert DrawStep.WRITE not in context.steps
    assert DrawStep.RECALL not in context.steps
    assert context.shortage.kind is ErrorKind.BUDGET_EXHAUSTED


@when("the budget experiments run for a short time")
def short_experiments(context):
    context.results = {
        (scenario.name, design): run_budget_scenario(scaled(scenario, 240), design, 1)
        for scenario in budget_scenarios()
        for design in ("escrow", "static_split")
    }


@then("no design overspends")
def no_overspend(context):
    assert {result.overspend for result in context.results.values()} == {0}


@then(
    "escrow falsely refuses at most a fifth as many requests as a static split "
    "when a region is partitioned"
)
def at_most_a_fifth(context):
    escrow = context.results["region_cut", "escrow"].false_refusals
    split = context.results["region_cut", "static_split"].false_refusals
    assert split > 0
    assert escrow * 5 <= split, (escrow, split)


@given("a shard of an itemised service in a store that sometimes loses replies")
def itemised(context):
    context.store = MemoryStore()
    context.editor = TableEditor(context.store, ManualClock(), 1)
    context.editor.change((RowChange(None, BudgetRow(name=BUDGET, limit=10**6)),), "operator")
    context.service = StewardService(
        session="s",
        region="region",
        address="",
        store=context.store,
        clock=ManualClock(),
        counters=NullCounters(),
        send=lambda address, message: True,
        policy=SizingPolicy(),
        honour_ms=10**6,
        shard_count=1,
        on_closed=lambda: None,
    )


@when("{count:d} calls are settled in many writes")
def settle_many(context, count):
    for start in range(0, count, 100):
        context.store.faults.lose_answers = start // 100 % 3
        for number in range(start, start + 100):
            drawn = context.service.draw(DrawRequest(0, "", "router", BUDGET, 1, 1))
            record = UsageRecord(
                f"call-{number}", drawn.block_id, 1, "s", "router", BUDGET, "a", "s", 0, 0, 1, 0
            )
            closed = BlockClosed("", "router", drawn.block_id, "s", BUDGET, {"a|s": 1}, (record,))
            context.service.close_block(closed)
        context.service.settle()
    context.store.faults.lose_answers = 0
    context.service.settle()


@then("the invoice lists each of them once")
def invoice_lists(context):
    invoice = invoice_of("a", context.editor.invoice_shards())
    assert [item.request_id for item in invoice.items] == [f"call-{n}" for n in range(1_300)]
    assert invoice.total == 1_300
    (shard,) = context.editor.shards()
    assert shard.item_pages == 2


@given("a dead router that had blocks from two stewards")
def borrowed_from_two(context):
    itemised(context)
    context.editor.change((RowChange(None, BudgetRow(name="other", limit=10**6)),), "operator")
    own = context.service.draw(DrawRequest(0, "", "dead@x", BUDGET, 5, 5)).block_id
    context.blocks = {own: BUDGET, "second#dead@x#1": "other"}
    context.recovery = Recovery("dead@x", frozenset({"agent"}), certain_ms=2**60)
    records = tuple(
        UsageRecord(
            block, block, 1, block.partition("#")[0], "dead@x", budget, "a", "s", 0, 0, 3, 0
        )
        for block, budget in context.blocks.items()
    )
    context.recovery.add(FenceAck(0, "agent", "dead@x", records))


@when("one of the two settles the blocks that it had lent")
def one_settles(context):
    context.sent = []
    peer = SimpleNamespace(
        address="self", send=lambda address, message: context.sent.append(message)
    )
    members = SimpleNamespace(name="self", processes=lambda: frozenset({"agent"}))
    service = RecoveryService(
        session="s",
        region="region",
        store=context.store,
        clock=ManualClock(),
        counters=NullCounters(),
        peer=peer,
        members=members,
        stewards=context.service,
        money=SimpleNamespace(routers={}),
        claims=SimpleNamespace(fenced=set()),
        list_lag_ms=0,
        longest_run_ms=0,
        honour_ms=0,
        clock_error_ms=0,
    )
    context.cleanup.callback(service.close)
    service._settle(context.recovery, TableView())


@then("agents are told to delete the records of its blocks and not of the other's")
def told(context):
    own = next(iter(context.blocks))
    assert [message.block_ids for message in context.sent] == [(own,)], context.sent
    (shard,) = context.editor.shards()
    assert shard.budgets[BUDGET].spent == 3
