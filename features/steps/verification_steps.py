"""Steps of verification.feature."""

import re

from behave import then, when

from aspengate.verification import (
    claims_model,
    find_counterexample,
    money_model,
    prove_inductive,
    versions_model,
)
from trace_replay import Replay

MODELS = {"money": money_model, "claims": claims_model, "versions": versions_model}


@when("the {model} model is checked")
def model_checked(context, model):
    context.model = MODELS[model]("")


@then("every property is proved by induction")
def proved(context):
    assert prove_inductive(context.model)


@when('the {model} model is searched without "{rule}"')
def search(context, model, rule):
    weakened = MODELS[model](rule)
    assert rule in weakened.rules
    context.trace = find_counterexample(weakened, tuple(weakened.properties))


@then("it has a counterexample")
def has_counterexample(context):
    assert context.trace


@then("the code, run through the same transitions, stays within the budget")
def replayed(context):
    paid = context.trace[-1].state["paid"]
    replay = Replay(paid - sum(top_ups(context.trace)))
    for step in context.trace:
        replay.apply_step(re.sub(r"\d", "#", step.transition), holder_of(step), step.parameters)
        world = replay.world
        assert world.spent <= world.limit, step
    replay.world.settle_all()
    budget = next(iter(replay.world.shard.budgets.values()))
    assert budget.spent == replay.world.spent
    assert replay.world.spent <= paid


def top_ups(trace):
    return [step.parameters["amount"] for step in trace if step.transition == "customer pays"]


def holder_of(step):
    found = re.search(r"\d", step.transition)
    return int(found.group()) if found else 0
