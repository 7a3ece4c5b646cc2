"""Steps of routing.feature."""

import random
from dataclasses import replace

from behave import given, then, when

from aspengate.adapters import Instance, InstanceState
from aspengate.clock import ManualClock
from aspengate.experiments import routing_scenarios, run_routing_scenario
from aspengate.limits import RetryBudget
from aspengate.routing import (
    ChoiceContext,
    PrefixMemory,
    UpstreamRegistry,
    _registry,
    open_policy,
    policy_names,
)
from aspengate.table import TableView, UpstreamRow
from aspengate.transport import LoadReport

SECONDS = 30
TESTED_POLICY = "weighted_score"


def instance(number, state=InstanceState.LIVE):
    return Instance(f"agent-{number}", "agent", f"a{number}:1", "north", "hall", "model", "", state)


@given("a registry of {count:d} upstreams")
def create_registry(context, count):
    context.clock = ManualClock()
    context.registry = UpstreamRegistry(context.clock, "north", "hall")
    context.instances = [instance(number) for number in range(count)]
    context.registry.update(context.instances, TableView())
    context.clock.advance(2_000)
    for each in context.instances:
        context.registry.record_report(each.address, LoadReport(reported_ms=1))


def chosen_addresses(context, times=200):
    generator = ChoiceContext(random.Random(1))
    found = set()
    for _ in range(times):
        state = context.registry.choose("model", open_policy("random"), generator, {})
        context.registry.record_finished(state, failed=False)
        found.add(state.instance.address)
    return found


@when(
    "one stops reporting, one reports that it is leaving, "
    "one is listed as leaving and one is disabled"
)
def make_unusable(context):
    disabled = {"agent-3": UpstreamRow(name="agent-3", enabled=False)}
    listed = [*context.instances[:2], instance(2, InstanceState.LEAVING), *context.instances[3:]]
    context.registry.update(listed, TableView(upstreams=disabled))
    context.clock.advance(3_500)
    for each in context.instances[1:]:
        leaving = each.name == "agent-1"
        context.registry.record_report(each.address, LoadReport(reported_ms=2, leaving=leaving))


@then("only the other {count:d} are chosen")
def only_others_chosen(context, count):
    assert chosen_addresses(context) == {f"a{number}:1" for number in range(4, 4 + count)}


def fail_three_times(context, addresses):
    for address in addresses:
        for _ in range(3):
            context.registry.record_finished(context.registry._states[address], failed=True)


@when("{count:d} upstreams fail three times in a row")
def some_fail(context, count):
    context.failing = {f"a{number}:1" for number in range(count)}
    fail_three_times(context, context.failing)


@then("those {count:d} are not chosen")
def not_chosen(context, count):
    assert len(context.failing) == count
    assert not chosen_addresses(context) & context.failing


@when("all upstreams fail three times in a row")
def all_fail(context):
    fail_three_times(context, [each.address for each in context.instances])


@then("every upstream is chosen again")
def all_chosen(context):
    assert chosen_addresses(context) == {each.address for each in context.instances}


@when("upstream A was sent blocks 1 to 4 and upstream B blocks 1, 2 and 9")
def blocks_sent(context):
    context.memory = PrefixMemory()
    context.memory.record_sent((1, 2, 3, 4), "A")
    context.memory.record_sent((1, 2, 9), "B")


@then("a prompt of blocks 1 to 5 has 4 hits at A and 2 at B")
def hits_match(context):
    assert context.memory.hits((1, 2, 3, 4, 5)) == {"A": 4, "B": 2}
    assert context.memory.hits((7, 1, 2)) == {}
    context.memory.drop((3,), "A")
    assert context.memory.hits((1, 2, 3, 4, 5)) == {"A": 2, "B": 2}


@when("{routers:d} routers see {upstreams:d} upstreams")
def select_subsets(context, routers, upstreams):
    names = [f"router-{number}" for number in range(routers)]
    listed = [Instance(name, "router", f"{name}:1", "north", "hall") for name in names]
    context.upstreams = [instance(number) for number in range(upstreams)]
    context.subsets = []
    for name in names:
        each = UpstreamRegistry(ManualClock(), "north", "hall", name=name)
        each.update([*listed, *context.upstreams], TableView())
        context.subsets.append(set(each.addresses()))


@then("each uses {least:d} to {most:d} of them and every upstream is used by {users:d} routers")
def subsets_are_even(context, least, most, users):
    sizes = sorted(len(each) for each in context.subsets)
    assert least <= sizes[0] and sizes[-1] <= most, sizes
    for upstream in context.upstreams:
        assert sum(upstream.address in each for each in context.subsets) == users


@when("{count:d} requests all fail and may be retried")
def request_retries(context, count):
    budget = RetryBudget()
    context.allowed = 0
    for _ in range(count):
        budget.record_first_attempt()
        context.allowed += budget.acquire()


@then("at most {count:d} retries are allowed")
def retries_allowed(context, count):
    assert 0 < context.allowed <= count, context.allowed


@when("the routing experiments run for a short time")
def run_experiments(context):
    context.scenarios = {each.name: replace(each, seconds=SECONDS) for each in routing_scenarios()}
    names = ("load_90", "load_200", "reports_frozen")
    context.results = {
        (name, policy): run_routing_scenario(context.scenarios[name], policy, 1)
        for name in names
        for policy in policy_names()
        if policy == TESTED_POLICY or name != "load_200"
    }


def best_p95(context, name):
    return min(
        result.first_p95
        for (scenario, policy), result in context.results.items()
        if scenario == name and policy != TESTED_POLICY
    )


@then("at 90% load the p95 time to first token is at most 0.7 of the best baseline's")
def first_token_p95(context):
    assert context.results["load_90", TESTED_POLICY].first_p95 <= 0.7 * best_p95(context, "load_90")


@then("at 200% load the goodput is at least 0.9 of the capacity")
def overload_goodput(context):
    assert context.results["load_200", TESTED_POLICY].goodput >= 0.9


@then("requests that may wait are rejected first")
def may_wait_rejected_first(context):
    result = context.results["load_200", TESTED_POLICY]
    assert result.refused_may_wait >= 0.8 * result.refused > 0


@then("with frozen reports the p95 time to first token is at most the best baseline's")
def frozen_reports_p95(context):
    first_p95 = context.results["reports_frozen", TESTED_POLICY].first_p95
    assert first_p95 <= best_p95(context, "reports_frozen")


@then("without smoothing of late reports, routers would herd to the same upstreams")
def herding_without_smoothing(context):
    smoothing, weight = _registry._REPORT_SMOOTHING, _registry._OTHERS_WEIGHT
    _registry._REPORT_SMOOTHING, _registry._OTHERS_WEIGHT = 1.0, 1.0
    try:
        unsmoothed = run_routing_scenario(context.scenarios["load_90"], TESTED_POLICY, 1)
    finally:
        _registry._REPORT_SMOOTHING, _registry._OTHERS_WEIGHT = smoothing, weight
    assert unsmoothed.first_p95 > 1.3 * context.results["load_90", TESTED_POLICY].first_p95


@when("a retry is sent to an agent from which the router has received nothing")
def retry_to_unknown_agent(context):
    assert context.registry.is_unresponsive("elsewhere:1")
    context.registry.record_sent("elsewhere:1")


@then("the agent counts as unresponsive only after the time limit")
def unresponsive_after_time_limit(context):
    assert not context.registry.is_unresponsive("elsewhere:1")
    context.clock.advance(2_900)
    assert not context.registry.is_unresponsive("elsewhere:1")
    context.clock.advance(200)
    assert context.registry.is_unresponsive("elsewhere:1")
