"""Steps on randomized runs of real gateways."""

from behave import then, when
from platform_standins.builds import ROOT
from soak import Soak, broken_promises, draw_plan
from soak.plan import KINDS


@then("two plans of one seed are the same, and those of 20 seeds hold every kind of fault")
def same_plan(context):
    assert draw_plan(1, 60, 4) == draw_plan(1, 60, 4)
    drawn = {fault.kind for seed in range(20) for fault in draw_plan(seed, 60, 4)}
    assert drawn == set(KINDS), drawn


@when("the plan of seed {seed:d} is played for {seconds:d} seconds on {routers:d} gateways")
def play(context, seed, seconds, routers):
    context.soak = Soak(seed, seconds, routers).play()


@when(
    "the plan of seed {seed:d} is played for {seconds:d} seconds on {routers:d} gateways "
    "whose store comes back from copies"
)
def play_restored(context, seed, seconds, routers):
    context.soak = Soak(seed, seconds, routers, prepaid=300_000, restored=True).play()


@then("the store came back from a copy")
def came_back(context):
    assert context.soak.fleet.store.era > 1, context.soak.plan


@then("no promise is broken, and all gateways serve at the end")
def kept(context):
    broken = broken_promises(context.soak)
    assert not broken, (broken[:5], [fault.told() for fault in context.soak.plan])
    assert context.soak.figures["recovered"], context.soak.figures
    assert context.soak.figures["served"], context.soak.figures


@when(
    "the plan of seed {seed:d} is played for {seconds:d} seconds on {routers:d} gateways, "
    "which are replaced and back"
)
def play_upgrade(context, seed, seconds, routers):
    context.soak = Soak(seed, seconds, routers, earlier=context.build).play()


@then("routers of both builds have served, and replicas have spoken for themselves")
def both_served(context):
    served = {call.router.build for call in context.soak.calls if call.status == 200}
    assert served == {ROOT, context.build}, served
    assert {"leave", "rest"} & {fault.kind for fault in context.soak.happened}
