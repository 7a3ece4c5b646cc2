"""Steps on failure domains that the operator evacuates."""

from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually

FIRST, SECOND = "hall-1", "hall-2"
CALLS = 12
STREAM = {"tokens": (100, 20), "parts": "ab:90,cd:10"}


def start_fleet(context, routers):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for domain in (FIRST, SECOND):
        context.fleet.add_replica("portal", domain=domain)
        context.fleet.add_replica("engine", domain=domain)
    for _ in range(routers):
        context.fleet.add_router(retry_slack=400, retry_window_s=0.1, retry_start_ms=0)
    context.router = context.fleet.routers[0]


def in_domain(context, domain):
    return [each for each in context.fleet.replicas if each.domain == domain]


def arrivals(context, domain):
    return sum(len(each.requests) for each in in_domain(context, domain))


def send_requests(router):
    """Send receipts and streams; return the response statuses."""
    statuses = []
    for number in range(CALLS):
        statuses.append(router.call().request("GET", f"/receipt/{number}").status)
        answer = router.call().request("POST", f"/score/{number}", body=b"x", **STREAM)
        statuses.append(answer.status)
    return statuses


def avoids(context, router, domain):
    """Return whether all requests succeed and none reaches a failure domain."""
    before = arrivals(context, domain)
    return set(send_requests(router)) == {200} and arrivals(context, domain) == before


def uses_only_second(context, router):
    return avoids(context, router, FIRST)


def evacuate(context, *domains):
    for domain in domains:
        context.revision = context.fleet.operator.evacuate(domain)


@given("a gateway with replicas in two failure domains")
def one_gateway(context):
    start_fleet(context, 1)


@given("two gateways with separate access to the store and replicas in two failure domains")
def two_gateways(context):
    start_fleet(context, 2)
    first, second = context.fleet.routers
    assert eventually(lambda: first.find("member.heard") and second.find("member.heard"))


@when("the operator evacuates the first failure domain")
def evacuates_first(context):
    evacuate(context, FIRST)


@when("the operator evacuates both failure domains")
def evacuates_both(context):
    evacuate(context, FIRST, SECOND)
    assert eventually(lambda: len(context.router.find_all("evacuation.began")) == 2)


@when("an evacuation of the first failure domain is written with a malformed value")
def evacuates_with_malformed_value(context):
    context.fleet.store.put(f"op/evacuate/{FIRST}", ["since", 5])


@when("the operator withdraws the first evacuation and evacuates the second failure domain")
def withdraws_first(context):
    context.fleet.operator.end_evacuation(FIRST)
    evacuate(context, SECOND)


@when("the first failure domain is evacuated and one of two replicas of the second one refuses")
def second_domain_refuses_partly(context):
    evacuate(context, FIRST)
    assert eventually(lambda: uses_only_second(context, context.router))
    context.fleet.add_replica("portal", domain=SECOND)
    assert eventually(lambda: len(context.router.find_all("replica.listed")) == 5)
    context.before = arrivals(context, FIRST)
    in_domain(context, SECOND)[0].behaviour = "refuse"
    context.statuses = send_requests(context.router)


@when("the first failure domain is evacuated and another router starts")
def another_router_starts(context):
    evacuate(context, FIRST)
    context.before = arrivals(context, FIRST)
    context.late = context.fleet.add_router()


@when("the store rejects the second gateway as busy and the first failure domain is evacuated")
def store_rejects_second_gateway(context):
    context.fleet.routers[1].endpoint.fault = "busy"
    evacuate(context, FIRST)


@when("the store discards its history while the first failure domain is evacuated")
def store_discards_history(context):
    evacuate(context, FIRST)
    context.fleet.store.compact_history()


@then("soon all requests go to the second failure domain")
def all_to_second(context):
    assert eventually(lambda: uses_only_second(context, context.router))


@then("soon the second gateway sends all requests to the second failure domain")
def second_gateway(context):
    assert eventually(lambda: uses_only_second(context, context.fleet.routers[1]))


@then("soon all requests go to the first failure domain")
def all_to_first(context):
    assert eventually(lambda: avoids(context, context.router, SECOND))


@then("the log records the start of the evacuation with its revision")
def start_logged(context):
    line = eventually(lambda: context.router.find("evacuation.began", failure_domain=FIRST))
    assert line and line["revision"] == context.revision, line


@then("the log records the end of the evacuation with its duration")
def end_logged(context):
    line = eventually(lambda: context.router.find("evacuation.ended", failure_domain=FIRST))
    assert line and line["in_force_ms"] > 0, line


@then("the second failure domain answers every request and the first one receives none")
def answered_by_second(context):
    assert arrivals(context, FIRST) == context.before
    assert set(context.statuses) == {200}, context.statuses


@then("from its first request on, the new router uses only the second failure domain")
def second_from_first_request_on(context):
    assert set(send_requests(context.late)) == {200}
    assert arrivals(context, FIRST) == context.before


@then("a call gets a 503 with Retry-After, and no replica receives it")
def refused(context):
    before = arrivals(context, FIRST) + arrivals(context, SECOND)
    context.answer = context.router.call().request("GET", "/receipt/1")
    assert context.answer.status == 503 and context.answer.header("Retry-After")
    assert arrivals(context, FIRST) + arrivals(context, SECOND) == before


@then("the refusal names the evacuated failure domains")
def refusal_names(context):
    assert FIRST.encode() in context.answer.body and SECOND.encode() in context.answer.body
