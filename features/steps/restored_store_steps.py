"""Steps on gateways whose store is restored from an older copy of its data."""

import json
import time

import eliot
from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually
from platform_standins.operator import route
from platform_standins.store import StoreStandIn

from aspengate.clock import SystemClock
from aspengate.crashes import RECORD_PREFIX
from aspengate.explanation import read_lines, trace_request
from aspengate.platform import PlatformStore
from crashes_steps import get_status
from gateway_prepaid_steps import EVENTS, produced_tokens, send_request, spend
from gateway_world import GENEROUS_RETRIES, start_gateways

# How long the store is unreachable, and how long its writers then take to write again.
OUTAGE_S = 0.5
REWRITE_DELAY_S = 0.3
TIMEOUT_S = 15.0
MAX_LISTS_PER_GATEWAY = 12


def status_of(router, path="/receipt/1", **fields):
    return router.call().request("GET", path, **fields).status


def all_respond(context, status, path="/receipt/1", **fields):
    return all(status_of(each, path, **fields) == status for each in context.fleet.routers)


def set_fault(context, fault):
    for endpoint in context.fleet.store.endpoints:
        endpoint.fault = fault


FAULTS = {"while watches wait": "", "and first rejects all calls": "busy"}


def restore(context, earlier, *, fault="reset", cut_off=()):
    """Make the store fail, restore it from a copy, and repeat the lost writes.

    The endpoints ``cut_off`` stay unresponsive.
    """
    store = context.fleet.store
    set_fault(context, fault)
    time.sleep(OUTAGE_S if fault else 0.0)
    lost = store.restore_copy(earlier)
    set_fault(context, "")
    for endpoint in cut_off:
        endpoint.fault = "silent"
    time.sleep(REWRITE_DELAY_S)
    store.rewrite_lost(lost)


def restore_unseen(context, earlier):
    """Restore the store, and write to it before it answers a router."""
    store = context.fleet.store
    set_fault(context, "reset")
    time.sleep(OUTAGE_S)
    known = store.revision
    store.rewrite_lost(store.restore_copy(earlier))
    change_configuration(context)
    while store.revision <= known:
        context.fleet.replicas[0].list()
    set_fault(context, "")


def change_configuration(context):
    context.fleet.operator.revoke("key-two")
    context.fleet.operator.add_route(route("/later/", "portal"))


def lose_changes(context, number):
    """Make operator changes that the restore will lose."""
    operator = context.fleet.operator
    for each in range(3):
        version = operator.add_route(route(f"/lost-{number}-{each}/", "portal"))
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("configuration.applied", version=version))  # noqa: B023


@given("three gateways and two replicas of each service")
def three_gateways(context):
    fields = {"events": EVENTS, "pause_s": 0.0}
    start_gateways(context, routers=3, replicas=2, fields=fields, **GENEROUS_RETRIES)


@given("the failure domain of all replicas is evacuated")
def domain_evacuated(context):
    context.fleet.operator.evacuate("hall-1")
    assert eventually(lambda: all_respond(context, 503), TIMEOUT_S)


@when('the store is restored from a copy "{how}"')
def store_restored(context, how):
    context.lists = sum(
        endpoint.calls["GET /kv-range"] for endpoint in context.fleet.store.endpoints
    )
    for number in range(2 if how == "twice" else 1):
        earlier = context.fleet.store.copy()
        lose_changes(context, number)
        last = context.fleet.routers[-1].endpoint
        cut_off = [last] if how == "but not for one gateway" else []
        restore(context, earlier, fault=FAULTS.get(how, "reset"), cut_off=cut_off)


@when("the store is restored from a copy, and gets more writes than it lost before it answers")
def store_restored_unseen(context):
    context.lists = sum(
        endpoint.calls["GET /kv-range"] for endpoint in context.fleet.store.endpoints
    )
    earlier = context.fleet.store.copy()
    lose_changes(context, 0)
    restore_unseen(context, earlier)


@when("then a key is revoked and a route is added")
def key_revoked_and_route_added(context):
    change_configuration(context)


@then("all gateways reject the key and serve the route")
def reject_key_and_serve_route(context):
    assert eventually(lambda: all_respond(context, 401, key="key-two"), TIMEOUT_S)
    assert eventually(lambda: all_respond(context, 200, "/later/1"), TIMEOUT_S)


@then("the gateways made few list calls to the store")
def few_list_calls(context):
    lists = sum(endpoint.calls["GET /kv-range"] for endpoint in context.fleet.store.endpoints)
    per_gateway = (lists - context.lists) / len(context.fleet.routers)
    assert per_gateway <= MAX_LISTS_PER_GATEWAY, per_gateway


@when("then another portal replica registers, and the others unregister")
def new_replica_registers(context):
    others = context.fleet.of("portal")
    context.new = context.fleet.add_replica("portal")
    for replica in others:
        replica.unlist()


@then("all gateways send requests only to the new one")
def all_send_to_new(context):
    for router in context.fleet.routers:
        for replica in context.fleet.of("portal")[:-1]:
            name = replica.identity
            assert eventually(lambda: router.find("replica.gone", replica=name), TIMEOUT_S)  # noqa: B023
        before = len(context.new.requests)
        assert status_of(router) == 200
        assert len(context.new.requests) == before + 1


@when("then the evacuation ends")
def evacuation_ends(context):
    context.fleet.operator.end_evacuation("hall-1")


@then("all gateways send requests to it again")
def all_send_again(context):
    assert eventually(lambda: all_respond(context, 200), TIMEOUT_S)


@when("one gateway is killed and restarted")
def gateway_restarted(context):
    router = context.fleet.routers[0]
    router.kill()
    context.fleet.start_again(router)


@when("the store is restored without a key's revocation, a replica's draining and an evacuation")
def restored_without_three(context):
    fleet = context.fleet
    context.draining = fleet.of("portal")[0]
    context.evacuated = fleet.add_replica("portal", domain="hall-2")
    assert eventually(lambda: all(_has_listed(each, context.evacuated) for each in fleet.routers))
    earlier = fleet.store.copy()
    fleet.operator.revoke("key-two")
    context.draining.list("draining")
    fleet.operator.evacuate("hall-2")
    for router in fleet.routers:
        assert eventually(lambda: router.find("evacuation.began"))  # noqa: B023
        assert eventually(lambda: router.find("replica.state"))  # noqa: B023
        assert eventually(lambda: status_of(router, key="key-two") == 401)  # noqa: B023
    context.before = [len(each.requests) for each in (context.draining, context.evacuated)]
    context.lost = fleet.store.restore_copy(earlier)


def _has_listed(router, replica):
    return router.find("replica.listed", replica=replica.identity)


@then("none of the three is undone, either before or after they are written again")
def none_of_three_undone(context):
    is_rewritten = False
    for number in range(100):
        for router in context.fleet.routers:
            assert status_of(router, key="key-two") == 401
            assert status_of(router, f"/receipt/{number}") == 200
        if number > 50 and not is_rewritten:
            context.fleet.store.rewrite_lost(context.lost)
            is_rewritten = True
    now = [len(each.requests) for each in (context.draining, context.evacuated)]
    assert now == context.before, (now, context.before)


@when("a call with an unknown key is refused")
def unknown_key_refused(context):
    assert status_of(context.router, key="key-none") == 401


@then("its trace shows the era of the store and the retained items")
def trace_shows_restore(context):
    ended = eventually(lambda: context.router.find("request.ended", status=401))
    lines = [json.dumps(line) for line in context.router.lines]
    trace = "\n".join(trace_request(ended["request_id"], read_lines("router-1", lines)).lines())
    assert "store.era  era=2 before=1" in trace, trace
    assert "store.restored  prefix=op/" in trace and "kept=['op/config']" in trace, trace


@given('a client of a store whose responses name the era "{named}"')
def client_of_store_naming_era(context, named):
    stand_in = StoreStandIn()
    context.cleanup.callback(stand_in.close)
    stand_in.era = named
    context.client = PlatformStore(stand_in.open_endpoint().address, 2_000.0, SystemClock())
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.cleanup.callback(eliot.remove_destination, context.lines.append)


@when("it makes three calls")
def makes_three_calls(context):
    for _ in range(3):
        assert context.client.get("op/config") is None


@then("its era is {era:d}, and one log line reports an unreadable era: {logged}")
def era_and_log_line(context, era, logged):
    assert context.client.era.current == era
    lines = [each for each in context.lines if "era_unreadable" in each.get("message_type", "")]
    assert len(lines) == (logged == "yes"), lines


@given("three gateways and a store that names no era")
def store_names_no_era(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.store.era = None
    context.fleet.operator.write()
    context.fleet.add_replica("portal")
    for _ in range(3):
        context.fleet.add_router()


@given("three gateways and a store that first names era {first:d}")
def store_first_names_era(context, first):
    context.fleet = Fleet(context.cleanup)
    context.fleet.store.era = first
    context.fleet.operator.write()
    for _ in range(2):
        context.fleet.add_replica("engine", events=EVENTS, pause_s=0.0)
    for _ in range(3):
        context.fleet.add_router(**GENEROUS_RETRIES)


@given("three gateways and four portal replicas")
def four_portals(context):
    start_gateways(context, routers=3, replicas=4)


@when("a receipt request has crashed three of them, and the store loses its record")
def crash_record_lost(context):
    store = context.fleet.store
    earlier = store.copy()
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    statuses = [get_status(context.router, "/receipt/ending") for _ in range(4)]
    assert statuses == [502, 502, 502, 503], statuses
    assert eventually(lambda: crash_records(context))
    context.crashed = sum(replica.has_ended for replica in context.fleet.of("portal"))
    store.restore_copy(earlier)
    assert not crash_records(context)


def crash_records(context):
    return [key for key in context.fleet.store.items if key.startswith(RECORD_PREFIX)]


@then("the record is written again, and no gateway forwards the request")
def record_written_again(context):
    assert eventually(lambda: crash_records(context), TIMEOUT_S)
    for router in context.fleet.routers:
        assert get_status(router, "/receipt/ending") == 503
    crashed = sum(replica.has_ended for replica in context.fleet.of("portal"))
    assert crashed == context.crashed, (crashed, context.crashed)


@given("an account with {prepaid:d} prepaid tokens")
def prepaid_account(context, prepaid):
    version = context.fleet.operator.set_prepaid("board", prepaid)
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("configuration.applied", version=version))  # noqa: B023
    context.prepaid = prepaid


@when("one gateway is killed after it drew tokens, and the store loses its writes")
def killed_before_restore(context):
    killed = context.fleet.routers[0]
    earlier = context.fleet.store.copy()
    for _ in range(4):
        assert send_request(killed).status == 200
    killed.kill()
    context.fleet.store.restore_copy(earlier)
    context.remaining = context.fleet.routers[1:]


@when("the other gateways use tokens until they are refused")
def use_until_refused(context):
    context.served, context.statuses = spend(context.remaining)


@then("no more tokens were delivered than were prepaid")
def no_more_delivered(context):
    delivered = produced_tokens(context)
    assert delivered <= context.prepaid, delivered


@when("the store permanently loses a replica's record")
def replica_record_lost(context):
    earlier = context.fleet.store.copy()
    context.lost_replica = context.fleet.add_replica("portal")
    for router in context.fleet.routers:
        assert eventually(lambda: _has_listed(router, context.lost_replica))  # noqa: B023
    context.fleet.store.restore_copy(earlier)


@then("all gateways finally remove that replica")
def replica_removed(context):
    for router in context.fleet.routers:
        name = context.lost_replica.identity
        assert eventually(lambda: router.find("replica.gone", replica=name))  # noqa: B023
