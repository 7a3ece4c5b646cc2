"""Steps on rollouts with gateways as processes."""

import json
import signal
import time

from behave import given, then, when
from platform_standins import Fleet, SteadyLoad, VersionFault
from platform_standins.fleet import eventually

from aspengate.explanation import read_lines, trace_request
from aspengate.rollouts import DOCUMENT_PREFIX

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
PER_SECOND = 40
# Time for the last requests to end, and for the last messages to arrive.
SETTLE_S = 2.0
ROLLOUTS = {
    "exposure_share": EXPOSURE_SHARE,
    "exposure_slack": EXPOSURE_SLACK,
    "rollback_ms": ROLLBACK_S * 1_000,
}


def start_fleet(context, versions, domains=("hall-1", "hall-1"), **bounds):
    """Start two gateways and two replicas of each version; later versions are listed later."""
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    context.replicas = {}
    first, *others = versions
    add_version(context, first)
    context.fleet.add_router(domain=domains[0], **bounds)
    seeds = context.fleet.routers[0].peer_address
    context.fleet.add_router(domain=domains[1], seeds=seeds, **bounds)
    one, two = context.fleet.routers
    assert eventually(lambda: one.find("member.heard") and two.find("member.heard"))
    context.versions = others


def add_version(context, version, fault=None):
    context.replicas[version] = [
        context.fleet.add_replica("portal", version=version, fault=fault, work_s=0.01)
        for _ in range(2)
    ]


def received(context, version):
    return sum(len(replica.requests) for replica in context.replicas[version])


@given('two gateways with rollouts, and replicas of versions "{first}" and "{second}"')
def with_rollouts(context, first, second):
    start_fleet(context, (first, second), **ROLLOUTS)
    context.fault = None


@given(
    'two gateways with rollouts in two regions, and replicas of versions "{first}" and "{second}"'
)
def with_rollouts_in_regions(context, first, second):
    regions = "hall-1:east, hall-2:west"
    start_fleet(context, (first, second), ("hall-1", "hall-2"), regions=regions, **ROLLOUTS)
    context.fault = None


@given('two gateways without rollouts, and replicas of versions "{first}" and "{second}"')
def without_rollouts(context, first, second):
    start_fleet(context, (first, second))
    context.fault = None


@given('all requests to version "{version}" fail')
def version_fails(context, version):
    context.fault = VersionFault("fail")


@when('a rollout to "{version}" within {seconds:d} s is ordered under load')
def order_under_load(context, version, seconds):
    context.load = SteadyLoad(context.fleet.routers, PER_SECOND).start()
    context.cleanup.callback(context.load.stop)
    time.sleep(1.0)
    context.sent_before = context.load.sent
    context.ordered_s = time.monotonic()
    context.duration_s = seconds
    context.version = version
    context.fleet.operator.order_rollout("portal", version, seconds)
    add_version(context, version, context.fault)


@when('version "{version}" is listed without an order under load')
def listed_without_order(context, version):
    # Slower than the assumed time of a replica without observations, so that new ones are chosen.
    for replica in context.fleet.replicas:
        replica.work_s = 0.15
    context.load = SteadyLoad(context.fleet.routers, PER_SECOND).start()
    context.cleanup.callback(context.load.stop)
    time.sleep(1.0)
    context.version = version
    add_version(context, version)


@then("it gets few requests for 1.5 s, and its share of them later")
def few_at_first(context):
    time.sleep(1.5)
    # Half of the exposure share, and one request for the random start of each router.
    bound = 1.5 * PER_SECOND * EXPOSURE_SHARE / 2 + len(context.fleet.routers)
    early = received(context, context.version)
    assert early <= bound, (early, bound)
    assert eventually(lambda: received(context, context.version) > 30, 20)
    assert set(context.load.statuses) == {200}


def wait_for_end(context):
    operator = context.fleet.operator
    ended = eventually(
        lambda: operator.rollout_state("portal") in ("completed", "rolled_back"),
        context.duration_s + 5.0,
    )
    assert ended, operator.rollout_status("portal")
    context.ended_s = time.monotonic()


@then("the rollout is completed in time, with all responses successful")
def completed(context):
    wait_for_end(context)
    status = context.fleet.operator.rollout_status("portal")
    assert status == {"service": "portal", "targetVersion": "v2", "state": "completed"}, status
    assert context.ended_s - context.ordered_s <= context.duration_s
    for replica in context.replicas["v1"]:
        replica.unlist()
    time.sleep(SETTLE_S)
    context.load.stop()
    time.sleep(SETTLE_S)
    assert set(context.load.statuses) == {200}, context.load.statuses
    assert len(context.load.statuses) == context.load.sent


@then("the new version gets all requests afterwards")
def new_version_only(context):
    before = received(context, "v1")
    for router in context.fleet.routers:
        assert router.call().request("GET", "/receipt/after").status == 200
    assert received(context, "v1") == before


@then("one router decides on it, and the other never does")
def one_decider(context):
    deciding = [r for r in context.fleet.routers if r.find("rollout.decider", decides=True)]
    assert len(deciding) == 1, [r.find_all("rollout.decider") for r in context.fleet.routers]


@then("the rollout is rolled back")
def rolled_back(context):
    wait_for_end(context)
    assert context.fleet.operator.rollout_state("portal") == "rolled_back"


@then("the new version got no more requests than the bound allows, and gets none afterwards")
def exposure_bounded(context):
    remaining_s = context.ordered_s + context.duration_s - time.monotonic()
    time.sleep(max(0.0, remaining_s) + SETTLE_S)
    context.load.stop()
    exposed = received(context, "v2")
    bound = EXPOSURE_SHARE * (context.load.sent - context.sent_before) + EXPOSURE_SLACK
    assert 0 < exposed <= bound, (exposed, bound)
    times = sorted(context.fault.hits)
    if len(times) >= EXPOSURE_SLACK:
        assert times[-1] <= times[EXPOSURE_SLACK - 1] + ROLLBACK_S
    assert times[-1] <= context.ended_s + SETTLE_S, (times[-1], context.ended_s)


def wait_for_exposure(context):
    assert eventually(lambda: received(context, context.version) >= 3)


@when("the new version gets requests")
def version_gets_requests(context):
    wait_for_exposure(context)


@when("the new version gets requests and the order is withdrawn")
def order_withdrawn(context):
    wait_for_exposure(context)
    context.fleet.operator.withdraw_rollout("portal")


@then("the new version gets no requests any more")
def no_more_requests(context):
    time.sleep(SETTLE_S)
    before = received(context, context.version)
    time.sleep(SETTLE_S)
    assert received(context, context.version) == before
    assert context.load.statuses[-1] == 200


@when('the new version gets requests and a rollout to "{version}" is ordered')
def other_target(context, version):
    wait_for_exposure(context)
    context.fleet.operator.order_rollout("portal", version, 60)
    add_version(context, version)


@then('the status names "{version}" as running, and "{first}" gets no requests any more')
def other_target_runs(context, version, first):
    expected = {"service": "portal", "targetVersion": version, "state": "running"}
    assert eventually(lambda: context.fleet.operator.rollout_status("portal") == expected)
    no_more_requests(context)
    assert eventually(lambda: received(context, version) > 0)


@when(
    "orders for the version in force, an unknown service and a version without replicas are given"
)
def orders_without_requests(context):
    operator = context.fleet.operator
    operator.order_rollout("portal", "v1", 5)
    operator.order_rollout("unknown", "v2", 2)
    context.fleet.add_replica("engine")
    operator.order_rollout("engine", "v9", 2)
    context.ordered_s = time.monotonic()


@then("the first is completed at once, and the others are rolled back at the deadline")
def ended_without_requests(context):
    operator = context.fleet.operator
    assert eventually(lambda: operator.rollout_state("portal") == "completed", 1.5)
    for service in ("unknown", "engine"):
        assert eventually(lambda: operator.rollout_state(service) == "running", 1.5)  # noqa: B023
    for service in ("unknown", "engine"):
        assert eventually(lambda: operator.rollout_state(service) == "rolled_back", 4)  # noqa: B023
    assert time.monotonic() - context.ordered_s >= 2.0


@given(
    'replicas of version "{version}", an order for it, and a store that lists replicas after 1 s'
)
def slow_list(context, version):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    context.fleet.operator.order_rollout("portal", version, 60)
    context.replicas = {}
    add_version(context, version)
    context.fleet.store.list_delays_s["servers/"] = 1.0


@when("a gateway with rollouts starts")
def gateway_starts(context):
    context.fleet.add_router(**ROLLOUTS)


@then("the rollout is completed at once")
def completed_at_once(context):
    operator = context.fleet.operator
    completed = eventually(lambda: operator.rollout_state("portal") == "completed", 3)
    assert completed, operator.rollout_status("portal")


@when("malformed orders replace the order and are given for another service")
def malformed_orders(context):
    wait_for_exposure(context)
    store = context.fleet.store
    store.put("op/rollout/portal", {"service": "portal", "targetVersion": 3})
    store.put("op/rollout/engine", {"service": "portal", "targetVersion": "v1", "durationS": 5})


@then("each router logged each malformed order once")
def malformed_logged(context):
    for router in context.fleet.routers:
        for key in ("op/rollout/portal", "op/rollout/engine"):
            found = router.find_all("rollout.unreadable", key=key)
            assert len(found) == 1, found
    assert context.fleet.operator.rollout_status("engine") is None


@when('a rollout to "{version}" within {seconds:d} s is ordered, and the store is copied soon')
def order_and_copy(context, version, seconds):
    order_under_load(context, version, seconds)
    assert eventually(lambda: context.fleet.operator.rollout_state("portal") == "running")
    context.copy = context.fleet.store.copy()


@then("after the store is restored from the copy, the end state is written again")
def end_state_written_again(context):
    store = context.fleet.store
    lost = store.restore_copy(context.copy)
    assert context.fleet.operator.rollout_state("portal") == "running"
    store.rewrite_lost(lost)
    assert eventually(lambda: context.fleet.operator.rollout_state("portal") == "rolled_back", 10)


@when("the new version gets requests and the deciding router is killed")
def decider_killed(context):
    wait_for_exposure(context)
    decider = next(r for r in context.fleet.routers if r.find("rollout.decider", decides=True))
    context.survivor = next(r for r in context.fleet.routers if r is not decider)
    context.load.routers = [context.survivor, context.survivor]
    decider.kill()


@then("the rollout is completed within its time by the other router")
def completed_by_survivor(context):
    wait_for_end(context)
    assert context.fleet.operator.rollout_state("portal") == "completed"
    assert context.ended_s - context.ordered_s <= context.duration_s
    ended = eventually(lambda: context.survivor.find("rollout.ended"))
    assert ended["decider"].startswith(f"{context.survivor.name}."), ended


@when("the new version gets requests and the deciding router is frozen until the end")
def decider_frozen(context):
    wait_for_exposure(context)
    routers = context.fleet.routers
    context.frozen = next(r for r in routers if r.find("rollout.decider", decides=True))
    context.survivor = next(r for r in routers if r is not context.frozen)
    context.load.routers = [context.survivor, context.survivor]
    context.frozen.process.send_signal(signal.SIGSTOP)
    context.cleanup.callback(context.frozen.process.send_signal, signal.SIGCONT)


@then("both routers agree on the end once the frozen one continues")
def agree_on_end(context):
    context.frozen.process.send_signal(signal.SIGCONT)
    ended = eventually(lambda: context.frozen.find("rollout.ended"), 10)
    assert ended and ended["state"] == "completed", ended
    assert ended["decider"].startswith(f"{context.survivor.name}."), ended
    time.sleep(SETTLE_S)
    assert context.fleet.operator.rollout_state("portal") == "completed"


@when("the version is repaired and the same order is written again")
def order_again(context):
    for replica in context.replicas[context.version]:
        replica.fault = None
    context.ordered_s = time.monotonic()
    context.fleet.operator.order_rollout("portal", context.version, context.duration_s)
    assert eventually(lambda: context.fleet.operator.rollout_state("portal") == "running", 2)


@then("the rollout is completed in time, in a second attempt")
def completed_in_second_attempt(context):
    wait_for_end(context)
    assert context.fleet.operator.rollout_state("portal") == "completed"
    assert context.ended_s - context.ordered_s <= context.duration_s
    router = context.fleet.routers[0]
    ended = eventually(lambda: router.find("rollout.ended", state="completed"))
    assert ended["generation"] == 2, ended


@then('the same order once more is answered with "completed" at once')
def completed_at_once(context):
    context.fleet.operator.order_rollout("portal", context.version, context.duration_s)
    document = f"{DOCUMENT_PREFIX}portal"
    assert eventually(lambda: context.fleet.store.value(document)["generation"] == 3, 2)
    assert context.fleet.operator.rollout_state("portal") == "completed"


@when("the new version gets requests, the store goes down, and then the version fails")
def store_down_and_bad(context):
    wait_for_exposure(context)
    for router in context.fleet.routers:
        router.endpoint.fault = "reset"
    context.fault = VersionFault("fail")
    for replica in context.replicas[context.version]:
        replica.fault = context.fault


@then("the new version is stopped in time, with few bad responses")
def stopped_in_time(context):
    time.sleep(ROLLBACK_S)
    before = received(context, context.version)
    time.sleep(SETTLE_S)
    assert received(context, context.version) == before
    assert 0 < len(context.fault.hits) < EXPOSURE_SLACK, context.fault.hits


@then("the rollout is rolled back after the store is back")
def rolled_back_after_outage(context):
    assert context.fleet.operator.rollout_state("portal") == "running"
    for router in context.fleet.routers:
        router.endpoint.clear_faults()
    rolled_back(context)


@then("a third router never sends to the new version")
def third_router(context):
    context.load.stop()
    time.sleep(SETTLE_S)
    before = received(context, context.version)
    seed = context.fleet.routers[0].peer_address
    router = context.fleet.add_router(seeds=seed, **ROLLOUTS)
    for number in range(50):
        assert router.call().request("GET", f"/receipt/{number}").status == 200
    assert received(context, context.version) == before


@then("the trace of a request to the new version names its cohort and the step of the rollout")
def traced(context):
    context.load.stop()
    time.sleep(SETTLE_S)
    lines = [json.dumps(line) for router in context.fleet.routers for line in router.lines]
    found = next(
        line
        for router in context.fleet.routers
        for line in router.find_all("request.ended")
        if any(attempt.get("cohort") == "target" for attempt in line["attempts"])
    )
    trace = trace_request(found["request_id"], read_lines("router", lines)).lines()
    assert any("cohort=target" in line for line in trace), trace
    assert any("rollout.step" in line and "share=" in line for line in trace), trace


@then("no router writes a status, follows documents or logs a line on rollouts")
def nothing_happens(context):
    time.sleep(context.duration_s + 1.0)
    context.load.stop()
    keys = list(context.fleet.store.items)
    assert not [key for key in keys if "rollout" in key and not key.startswith("op/")], keys
    for router in context.fleet.routers:
        lines = [line for line in router.lines if "rollout" in str(line)]
        assert not lines, lines
    assert set(context.load.statuses) == {200}, context.load.statuses
