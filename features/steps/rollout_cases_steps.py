"""Steps that play cases of rollouts with gateways as processes."""

from behave import then, when

from rollout_cases import CASES, play_case


@when('the rollout case "{name}" is played')
def case_played(context, name):
    context.case = CASES[name]
    context.figures = play_case(name)


@then('the bounds are kept, and the end state is "{end}"')
def bounds_kept(context, end):
    assert context.case.end == end
    broken = context.figures.broken(context.case)
    assert not broken, (broken, context.figures)
