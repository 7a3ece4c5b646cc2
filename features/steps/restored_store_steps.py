"""Steps on gateways whose store comes back from an older copy of itself."""

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
from aspengate.explanation import read_lines, tell_story
from aspengate.platform import PlatformStore
from crashes_steps import get_status
from gateway_prepaid_steps import EVENTS, produced_tokens, send_request, spend
from gateway_world import GENEROUS_RETRIES, start_gateways

# How long the store is away, and how long its writers then take to write again, in s.
AWAY_S = 0.5
WRITTEN_AGAIN_S = 0.3
PATIENCE_S = 15.0
MOST_LISTS = 12


def status_of(router, path="/receipt/1", **fields):
    return router.call().request("GET", path, **fields).status


def all_answer(context, status, path="/receipt/1", **fields):
    return all(status_of(each, path, **fields) == status for each in context.fleet.routers)


def set_fault(context, fault):
    for door in context.fleet.store.doors:
        door.fault = fault


FAULTS = {"while watches wait": "", "and first refuses all calls": "busy"}


def come_back(context, earlier, *, fault="reset", cut_off=()):
    """Have the store go away, and come back from a copy; then its writers write again.

    The doors ``cut_off`` stay closed.
    """
    store = context.fleet.store
    set_fault(context, fault)
    time.sleep(AWAY_S if fault else 0.0)
    lost = store.come_back_from(earlier)
    set_fault(context, "")
    for door in cut_off:
        door.fault = "silent"
    time.sleep(WRITTEN_AGAIN_S)
    store.write_again(lost)


def come_back_unseen(context, earlier):
    """Have the store come back and be written to before it answers a router."""
    store = context.fleet.store
    set_fault(context, "reset")
    time.sleep(AWAY_S)
    known = store.revision
    store.write_again(store.come_back_from(earlier))
    change_configuration(context)
    while store.revision <= known:
        context.fleet.replicas[0].list()
    set_fault(context, "")


def change_configuration(context):
    context.fleet.operator.revoke("key-two")
    context.fleet.operator.add_route(route("/later/", "portal"))


def lose_changes(context, number):
    """Have the operator make changes that the store will have lost."""
    operator = context.fleet.operator
    for each in range(3):
        version = operator.add_route(route(f"/lost-{number}-{each}/", "portal"))
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("configuration.applied", version=version))  # noqa: B023


@given("three gateways before two replicas of each service")
def three_gateways(context):
    fields = {"events": EVENTS, "pause_s": 0.0}
    start_gateways(context, routers=3, replicas=2, fields=fields, **GENEROUS_RETRIES)


@given("the failure domain of all replicas is evacuated")
def evacuated(context):
    context.fleet.operator.evacuate("hall-1")
    assert eventually(lambda: all_answer(context, 503), PATIENCE_S)


@when('the store comes back from a copy "{how}"')
def comes_back(context, how):
    context.lists = sum(door.calls["GET /kv-range"] for door in context.fleet.store.doors)
    for number in range(2 if how == "twice" else 1):
        earlier = context.fleet.store.copy()
        lose_changes(context, number)
        last = context.fleet.routers[-1].door
        cut_off = [last] if how == "but not to one gateway" else []
        come_back(context, earlier, fault=FAULTS.get(how, "reset"), cut_off=cut_off)


@when("the store comes back from a copy, and more is written than was lost before it answers")
def comes_back_unseen(context):
    context.lists = sum(door.calls["GET /kv-range"] for door in context.fleet.store.doors)
    earlier = context.fleet.store.copy()
    lose_changes(context, 0)
    come_back_unseen(context, earlier)


@when("then a key is taken away and a route is added")
def key_and_route(context):
    change_configuration(context)


@then("all gateways refuse the key and serve the route")
def refuse_and_serve(context):
    assert eventually(lambda: all_answer(context, 401, key="key-two"), PATIENCE_S)
    assert eventually(lambda: all_answer(context, 200, "/later/1"), PATIENCE_S)


@then("the store was asked for few lists")
def few_lists(context):
    lists = sum(door.calls["GET /kv-range"] for door in context.fleet.store.doors)
    each = (lists - context.lists) / len(context.fleet.routers)
    assert each <= MOST_LISTS, each


@when("then another portal replica comes, and the others go")
def another_comes(context):
    others = context.fleet.of("portal")
    context.new = context.fleet.add_replica("portal")
    for replica in others:
        replica.unlist()


@then("all gateways send to the new one alone")
def all_send(context):
    for router in context.fleet.routers:
        for replica in context.fleet.of("portal")[:-1]:
            name = replica.identity
            assert eventually(lambda: router.find("replica.gone", replica=name), PATIENCE_S)  # noqa: B023
        before = len(context.new.requests)
        assert status_of(router) == 200
        assert len(context.new.requests) == before + 1


@when("then the evacuation ends")
def evacuation_ends(context):
    context.fleet.operator.take_back("hall-1")


@then("all gateways send to it again")
def send_again(context):
    assert eventually(lambda: all_answer(context, 200), PATIENCE_S)


@when("one gateway is killed and starts again")
def starts_again(context):
    router = context.fleet.routers[0]
    router.kill()
    context.fleet.start_again(router)


@when("the store loses a key's end, a replica's draining and an evacuation, and is back")
def loses_three(context):
    fleet = context.fleet
    context.draining = fleet.of("portal")[0]
    context.evacuated = fleet.add_replica("portal", domain="hall-2")
    assert eventually(lambda: all(_knows(each, context.evacuated) for each in fleet.routers))
    earlier = fleet.store.copy()
    fleet.operator.revoke("key-two")
    context.draining.list("draining")
    fleet.operator.evacuate("hall-2")
    for router in fleet.routers:
        assert eventually(lambda: router.find("evacuation.began"))  # noqa: B023
        assert eventually(lambda: router.find("replica.state"))  # noqa: B023
        assert eventually(lambda: status_of(router, key="key-two") == 401)  # noqa: B023
    context.before = [len(each.requests) for each in (context.draining, context.evacuated)]
    context.lost = fleet.store.come_back_from(earlier)


def _knows(router, replica):
    return router.find("replica.listed", replica=replica.identity)


@then("none of the three is undone before they are written again, nor after")
def none_undone(context):
    written = False
    for number in range(100):
        for router in context.fleet.routers:
            assert status_of(router, key="key-two") == 401
            assert status_of(router, f"/receipt/{number}") == 200
        if number > 50 and not written:
            context.fleet.store.write_again(context.lost)
            written = True
    now = [len(each.requests) for each in (context.draining, context.evacuated)]
    assert now == context.before, (now, context.before)


@when("a call with an unknown key is refused")
def unknown_key(context):
    assert status_of(context.router, key="key-none") == 401


@then("its story tells which history the store names, and what was kept")
def story_tells(context):
    ended = eventually(lambda: context.router.find("request.ended", status=401))
    lines = [json.dumps(line) for line in context.router.lines]
    story = "\n".join(tell_story(ended["request_id"], read_lines("router-1", lines)).lines())
    assert "store.era  era=2 before=1" in story, story
    assert "store.restored  prefix=op/" in story and "kept=['op/config']" in story, story


@given('a client of a store whose answers name the history "{named}"')
def client_of_named(context, named):
    stand_in = StoreStandIn()
    context.cleanup.callback(stand_in.close)
    stand_in.era = named
    context.client = PlatformStore(stand_in.open_door().address, 2_000.0, SystemClock())
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.cleanup.callback(eliot.remove_destination, context.lines.append)


@when("it makes three calls")
def three_calls(context):
    for _ in range(3):
        assert context.client.get("op/config") is None


@then("it knows history {known:d}, and one line tells what could not be read: {told}")
def knows_history(context, known, told):
    assert context.client.era.current == known
    lines = [each for each in context.lines if "era_unreadable" in each.get("message_type", "")]
    assert len(lines) == (told == "yes"), lines


@given("three gateways whose store names no history")
def names_no_history(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.store.era = None
    context.fleet.operator.write()
    context.fleet.add_replica("portal")
    for _ in range(3):
        context.fleet.add_router()


@given("three gateways whose store first names history {first:d}")
def first_history(context, first):
    context.fleet = Fleet(context.cleanup)
    context.fleet.store.era = first
    context.fleet.operator.write()
    for _ in range(2):
        context.fleet.add_replica("engine", events=EVENTS, pause_s=0.0)
    for _ in range(3):
        context.fleet.add_router(**GENEROUS_RETRIES)


@given("three gateways before four portal replicas")
def four_portals(context):
    start_gateways(context, routers=3, replicas=4)


@when("a receipt has ended three of them, and the store loses its record")
def record_lost(context):
    store = context.fleet.store
    earlier = store.copy()
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    statuses = [get_status(context.router, "/receipt/ending") for _ in range(4)]
    assert statuses == [502, 502, 502, 503], statuses
    assert eventually(lambda: crash_records(context))
    context.ended = sum(replica.gone for replica in context.fleet.of("portal"))
    store.come_back_from(earlier)
    assert not crash_records(context)


def crash_records(context):
    return [key for key in context.fleet.store.items if key.startswith(RECORD_PREFIX)]


@then("the record is written again, and no gateway sends the receipt on")
def record_written_again(context):
    assert eventually(lambda: crash_records(context), PATIENCE_S)
    for router in context.fleet.routers:
        assert get_status(router, "/receipt/ending") == 503
    ended = sum(replica.gone for replica in context.fleet.of("portal"))
    assert ended == context.ended, (ended, context.ended)


@given("an account with {prepaid:d} prepaid tokens")
def prepaid_account(context, prepaid):
    version = context.fleet.operator.set_prepaid("board", prepaid)
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("configuration.applied", version=version))  # noqa: B023
    context.prepaid = prepaid


@when("one gateway is killed after it drew tokens, and the store loses what it wrote")
def killed_in_lost_time(context):
    killed = context.fleet.routers[0]
    earlier = context.fleet.store.copy()
    for _ in range(4):
        assert send_request(killed).status == 200
    killed.kill()
    context.fleet.store.come_back_from(earlier)
    context.living = context.fleet.routers[1:]


@when("the other gateways spend until they are refused")
def spend_until_refused(context):
    context.served, context.statuses = spend(context.living)


@then("no more was given than was prepaid")
def no_more_given(context):
    given = produced_tokens(context)
    assert given <= context.prepaid, given


@when("the store loses a replica's record for good")
def loses_record(context):
    earlier = context.fleet.store.copy()
    context.ended = context.fleet.add_replica("portal")
    for router in context.fleet.routers:
        assert eventually(lambda: _knows(router, context.ended))  # noqa: B023
    context.fleet.store.come_back_from(earlier)


@then("all gateways leave that replica out in the end")
def left_out(context):
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("replica.gone", replica=context.ended.identity))  # noqa: B023
