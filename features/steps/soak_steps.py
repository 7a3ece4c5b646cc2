"""Steps for randomized soak runs of real gateways."""

from behave import then, when
from platform_standins.builds import ROOT
from soak import SoakRun, draw_plan, find_violations
from soak.plan import FAULT_WEIGHTS


@then("two schedules of one seed are equal, and those of 20 seeds contain every kind of fault")
def check_schedules(context):
    assert draw_plan(1, 60, 4) == draw_plan(1, 60, 4)
    drawn = {fault.kind for seed in range(20) for fault in draw_plan(seed, 60, 4)}
    assert drawn == set(FAULT_WEIGHTS), drawn


@when("the schedule of seed {seed:d} is run for {seconds:d} seconds on {routers:d} gateways")
def run_soak(context, seed, seconds, routers):
    context.soak = SoakRun(seed, seconds, routers).run()


@when(
    "the schedule of seed {seed:d} is run for {seconds:d} seconds on {routers:d} gateways "
    "whose store is restored from copies"
)
def run_with_restored_store(context, seed, seconds, routers):
    context.soak = SoakRun(seed, seconds, routers, prepaid=300_000, restored=True).run()


@when(
    "the schedule of seed {seed:d} is run for {seconds:d} seconds on {routers:d} gateways "
    "before replicas that a segment crashes"
)
def run_with_crashing_segment(context, seed, seconds, routers):
    context.soak = SoakRun(seed, seconds, routers, crashing=True).run()


@then("the segment has crashed replicas")
def check_crashed(context):
    assert context.soak.figures["crashes"], context.soak.figures


@then("the store was restored from a copy")
def check_store_restored(context):
    assert context.soak.fleet.store.era > 1, context.soak.plan


@then("no invariant is violated, and all gateways serve at the end")
def check_invariants(context):
    violations = find_violations(context.soak)
    assert not violations, (violations[:5], [fault.describe() for fault in context.soak.plan])
    assert context.soak.figures["recovered"], context.soak.figures
    assert context.soak.figures["served"], context.soak.figures


@when(
    "the schedule of seed {seed:d} is run for {seconds:d} seconds on {routers:d} gateways, "
    "which are upgraded and rolled back"
)
def run_upgrade(context, seed, seconds, routers):
    context.soak = SoakRun(seed, seconds, routers, earlier=context.build).run()


@then("routers of both builds have served, and replicas have reported their own state")
def check_both_builds(context):
    served = {call.router.build for call in context.soak.calls if call.status == 200}
    assert served == {ROOT, context.build}, served
    assert {"leave", "rest"} & {fault.kind for fault in context.soak.injected}
