"""Steps that replay load patterns against the choice of a replica."""

import functools
from collections import Counter

from behave import given, then, when

from aspengate.experiments import PATTERNS, WAYS, run_overload
from aspengate.replicas import CHOICE_POLICY

SEEDS = (1, 2)
AS_BEFORE = "own wait alone"


@functools.cache
def played(seed, pattern):
    return tuple(run_overload(seed, [pattern]))


def way_in_force():
    return next(name for name, policy in WAYS.items() if policy == CHOICE_POLICY)


@given('the load pattern "{pattern}"')
def one_pattern(context, pattern):
    context.patterns = [pattern]


@given("all load patterns")
def all_patterns(context):
    context.patterns = [pattern.name for pattern in PATTERNS]


@when("it is replayed by the own wait alone, and as routers choose")
@when("each is replayed under each way")
def replay(context):
    context.in_time, context.again = Counter(), Counter()
    for seed in SEEDS:
        for result in (each for name in context.patterns for each in played(seed, name)):
            context.in_time[result.way] += result.in_time
            context.again[result.way] += result.tokens_again


@then(
    "at most {percent:d} of 100 shared tokens are read again, and no fewer requests begin in time"
)
def fewer_read(context, percent):
    chosen = way_in_force()
    assert context.again[chosen] * 100 <= context.again[AS_BEFORE] * percent, context.again
    assert context.in_time[chosen] >= context.in_time[AS_BEFORE], context.in_time


@then("the way that routers choose by has the most requests in time over all of them")
def best_way(context):
    assert context.in_time[way_in_force()] == max(context.in_time.values()), context.in_time
