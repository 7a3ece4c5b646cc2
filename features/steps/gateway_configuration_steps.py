"""Steps on configuration, discovery of replicas, and exchange between routers."""

from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually
from platform_standins.operator import route

from gateway_world import GENEROUS_RETRIES, start_gateways


def status_of(router, path="/receipt/1", **fields):
    return router.call().request("GET", path, **fields).status


@when("a route is added and a key is revoked")
def route_and_key(context):
    context.fleet.operator.add_route(route("/new/", "portal"))
    context.fleet.operator.revoke("key-two")


@then("the route is served and the key is refused with 401 soon")
def route_served_key_refused(context):
    assert eventually(lambda: status_of(context.router, "/new/1") == 200)
    assert eventually(lambda: status_of(context.router, key="key-two") == 401)


@then("an unknown path gets 404 and a call without a key gets 401")
def unknown_path_and_missing_key(context):
    assert status_of(context.router, "/nowhere/1") == 404
    assert status_of(context.router, key="") == 401
    assert status_of(context.router, host="other.example") == 404


@given("a gateway without a configuration")
def no_configuration(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.add_replica("portal")
    context.router = context.fleet.add_router(ready=False)


@then("it is not ready, and a call gets 503 with Retry-After")
def not_ready(context):
    assert not context.router.is_ready()
    answer = context.router.call().request("GET", "/receipt/1")
    assert answer.status == 503 and answer.header("Retry-After")


@then("it serves once the operator has written a configuration")
def serves_after_configuration(context):
    context.fleet.operator.write()
    assert eventually(context.router.is_ready)
    assert eventually(lambda: status_of(context.router) == 200)


@when("a change has taken effect and the store then returns the previous version")
def previous_version_returned(context):
    operator = context.fleet.operator
    before = operator.configuration
    operator.add_route(route("/new/", "portal"))
    assert eventually(lambda: status_of(context.router, "/new/1") == 200)
    context.fleet.store.put("op/config", before)
    context.fleet.add_replica("portal")
    count = len(context.fleet.of("portal"))
    assert eventually(
        lambda: (
            len([r for r in context.fleet.replicas if r.service == "portal" and r.requests])
            or status_of(context.router) == 200
        )
    )
    assert count == 2


@then("the change stays in effect")
def change_stays(context):
    for _ in range(20):
        assert status_of(context.router, "/new/1") == 200


@when("the store compacts its history while a route is added")
def history_compacted(context):
    context.fleet.operator.add_route(route("/new/", "portal"))
    context.fleet.store.compact_history()


@then("the route is served soon")
def served_soon(context):
    assert eventually(lambda: status_of(context.router, "/new/1") == 200)


@given("two gateways with separate store proxies")
def two_gateways(context):
    start_gateways(context, routers=2, **GENEROUS_RETRIES)
    first, second = context.fleet.routers
    assert eventually(lambda: first.find("member.heard") and second.find("member.heard"))


@when('the second one\'s proxy is "{fault}" and a key is revoked')
def second_proxy_fails(context, fault):
    context.fleet.routers[1].endpoint.fault = fault
    context.fleet.operator.revoke("key-two")


@then("both refuse the key soon")
def both_refuse(context):
    for router in context.fleet.routers:
        assert eventually(lambda router=router: status_of(router, key="key-two") == 401)


@when("a third one starts with a busy proxy and the first as its seed")
def third_gateway_starts(context):
    endpoint = context.fleet.store.open_endpoint()
    endpoint.fault = "busy"
    seed = context.fleet.routers[0].peer_address
    context.router = context.fleet.add_router(ready=False, endpoint=endpoint, seeds=seed)


@then("it is ready and serves")
def ready_and_serves(context):
    assert eventually(context.router.is_ready), context.router.lines
    assert status_of(context.router) == 200


@when("one portal replica drains and is then unlisted")
def replica_drains(context):
    leaving, context.staying = context.fleet.of("portal")
    leaving.list("draining")
    assert eventually(lambda: context.router.find("replica.state", replica=leaving.identity))
    leaving.unlist()
    assert eventually(lambda: context.router.find("replica.gone", replica=leaving.identity))
    context.leaving, context.before = leaving, len(leaving.requests)


@then("all receipts go to the other one")
def all_to_other_replica(context):
    for number in range(20):
        assert status_of(context.router, f"/receipt/{number}") == 200
    assert len(context.leaving.requests) == context.before


@when("another portal replica is listed and the first one is unlisted")
def replica_added(context):
    first = context.fleet.of("portal")[0]
    context.staying = context.fleet.add_replica("portal")
    first.unlist()
    assert eventually(lambda: context.router.find("replica.gone", replica=first.identity))
    context.leaving, context.before = first, len(first.requests)


@then("all receipts go to the new one")
def all_to_new_replica(context):
    all_to_other_replica(context)
    assert len(context.staying.requests) == 20
