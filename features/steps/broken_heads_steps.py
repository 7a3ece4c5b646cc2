"""Steps on gateways that receive responses with malformed heads."""

import time

from behave import then, when
from platform_standins.client import Caller
from platform_standins.fleet import eventually
from platform_standins.heads import MALFORMED_HEADS, UNUSUAL_HEADS
from platform_standins.operator import route

from gateway_answers_steps import set_behaviour
from gateway_world import TOKENS

# Long enough for several watches and lists of a gateway.
STORE_TROUBLE_S = 2.0
REQUESTS = {
    "status": ("POST", "/status/{}", {"body": b"candidate"}),
    "receipt": ("GET", "/receipt/{}", {}),
    "score": ("POST", "/score/{}", {"body": b"essay", "tokens": TOKENS}),
    "review": ("POST", "/review/{}", {"body": b"essay", "tokens": TOKENS}),
}


def request_each(context, kind, heads, set_up):
    """Send a request for each head; ``set_up`` is called before with the behaviour's name."""
    method, path, fields = REQUESTS[kind]
    context.answers = []
    for number, name in enumerate(heads):
        set_up(f"head: {name}")
        caller = Caller(context.router.address)
        context.answers.append(caller.request(method, path.format(number), **fields))
        caller.close()


def break_first_of_request(context, behaviour):
    """Have the first response to the next request, from whichever replica, behave so."""
    before = sum(len(each.requests) for each in context.fleet.replicas)

    class FirstThenWell(dict):
        def get(self, number, default):
            asked = sum(len(each.requests) for each in context.fleet.replicas)
            return behaviour if asked == before + 1 else "well"

    for replica in context.fleet.replicas:
        replica.behaviours = FirstThenWell()


def set_on_all_replicas(context, behaviour):
    for service in ("portal", "engine"):
        set_behaviour(context, service, behaviour)


@when("a {kind} is requested for each malformed head")
def each_malformed(context, kind):
    request_each(context, kind, MALFORMED_HEADS, lambda name: set_on_all_replicas(context, name))


@when("a {kind} is requested for each malformed head of a first response")
def each_malformed_first(context, kind):
    request_each(context, kind, MALFORMED_HEADS, lambda name: break_first_of_request(context, name))
    assert sum(context.fleet.runs(each.header("X-Request-Id")) for each in context.answers) == (
        2 * len(MALFORMED_HEADS)
    )


@when("a {kind} is requested for each unusual head")
def each_unusual(context, kind):
    request_each(context, kind, UNUSUAL_HEADS, lambda name: set_on_all_replicas(context, name))


@then("each caller receives the replica's whole body with the status and the fields of the head")
def unusual_passed_on(context):
    replica = context.fleet.of("portal")[0]
    for name, answer, request in zip(UNUSUAL_HEADS, context.answers, replica.requests, strict=True):
        assert answer.whole and answer.body == replica.body(request), (name, answer.status)
        assert answer.status == (418 if name == "status 418" else 200), (name, answer.status)
    fields = [field for answer in context.answers for field in answer.headers]
    assert ("x-odd", "\xe9") in fields, fields
    assert ("x!#$%&'*+-.^_`|~09azaz", "a") in fields, fields


@when('the store\'s heads have a "{name}" for a while, and a gateway starts meanwhile')
def malformed_store_heads(context, name):
    fleet = context.fleet
    endpoints = [fleet.store.open_endpoint(), *fleet.store.endpoints]
    for endpoint in endpoints:
        endpoint.rewrite_head = MALFORMED_HEADS[name]
    starting = fleet.add_router(ready=False, endpoint=endpoints[0])
    time.sleep(STORE_TROUBLE_S)
    for endpoint in endpoints:
        endpoint.clear_faults()
    assert eventually(starting.is_ready), starting.lines


@then("no gateway takes its view of the store as outdated, and a new route is in force at each")
def store_view_is_current(context):
    fleet = context.fleet
    fleet.operator.add_route(route("/later/", "portal"))
    for router in fleet.routers:
        asked = router.call
        assert eventually(lambda: asked().request("GET", "/later/1").status == 200)  # noqa: B023
        lines = router.find_all("store.restored") + router.find_all("store.history_lost")
        assert not lines, lines
