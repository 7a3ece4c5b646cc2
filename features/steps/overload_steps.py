"""Steps that replay load patterns against the choice of a replica."""

import functools
from collections import Counter

from behave import given, then, when

from aspengate.experiments import PATTERNS, WAYS, run_overload
from aspengate.replicas import CHOICE_POLICY

SEEDS = (1, 2)
BASELINE_POLICY = "own wait alone"


@functools.cache
def results_of(seed, pattern):
    return tuple(run_overload(seed, [pattern]))


def routers_policy():
    return next(name for name, policy in WAYS.items() if policy == CHOICE_POLICY)


@given('the load pattern "{pattern}"')
def one_pattern(context, pattern):
    context.patterns = [pattern]


@given("all load patterns")
def all_patterns(context):
    context.patterns = [pattern.name for pattern in PATTERNS]


@when("it is replayed with the request's own wait alone, and with the policy of the routers")
@when("each is replayed with each policy")
def replay(context):
    context.in_time, context.recomputed = Counter(), Counter()
    for seed in SEEDS:
        for result in (each for name in context.patterns for each in results_of(seed, name)):
            context.in_time[result.way] += result.in_time
            context.recomputed[result.way] += result.tokens_again


@then(
    "at most {percent:d} of 100 shared tokens are recomputed, and no fewer requests start in time"
)
def fewer_recomputed(context, percent):
    chosen = routers_policy()
    assert context.recomputed[chosen] * 100 <= context.recomputed[BASELINE_POLICY] * percent, (
        context.recomputed
    )
    assert context.in_time[chosen] >= context.in_time[BASELINE_POLICY], context.in_time


@then("the policy of the routers starts the most requests in time over all patterns")
def best_policy(context):
    assert context.in_time[routers_policy()] == max(context.in_time.values()), context.in_time
