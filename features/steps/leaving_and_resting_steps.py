"""Steps on replicas that are leaving or ask for a backoff."""

from behave import given, then, when

from load_generator import LoadGenerator, replica_arrivals, start_with_load

ROUTERS = 4
REPLICAS = 4
DRAIN_S = 2.0
BACKOFF_S = 1.5
BACKOFF_APPLIED_S = 0.5
MAX_IN_BACKOFF = 2


@given("four gateways that share retries and four replicas of each service")
def fleet(context):
    context.affected = start_with_load(context, routers=ROUTERS, replicas=REPLICAS)


@when("for 6 s one replica of each service reports that it is leaving, and its record does not")
def one_leaves(context):
    for replica in context.affected:
        replica.leaving = True
    context.callers = LoadGenerator(context.fleet.routers).run_for(6.0)


@when("for 6 s one replica of each service refuses requests and asks for a backoff")
def one_backs_off(context):
    for replica in context.affected:
        replica.behaviour, replica.retry_after = "rest", str(BACKOFF_S)
    context.callers = LoadGenerator(context.fleet.routers).run_for(6.0)


@when("for 6 s one replica of each service refuses requests")
def one_refuses(context):
    for replica in context.affected:
        replica.behaviour = "refuse"
    context.callers = LoadGenerator(context.fleet.routers).run_for(6.0)


def first_relayed(context):
    """Return when each gateway first relayed a response of a service's leaving replica."""
    first = {}
    for asked in context.callers.requests.values():
        if asked.header("Server-Leaving"):
            before = first.get(asked.gateway_and_kind, asked.ended_s)
            first[asked.gateway_and_kind] = min(before, asked.ended_s)
    return first


@then("no gateway that relayed the report sends it requests that callers sent over 2 s later")
def no_late_requests(context):
    first = first_relayed(context)
    assert {kind for _, kind in first} == {"receipt", "score"}, first
    late = [
        (identity, round(asked.sent_s - first[asked.gateway_and_kind], 3))
        for replica in context.affected
        for identity, _ in replica_arrivals(context.callers, replica)
        if (asked := context.callers.requests[identity]).sent_s
        > first[asked.gateway_and_kind] + DRAIN_S
    ]
    assert not late, (len(late), late[:5])


def sent_in_backoffs(context, replica, backoff_s):
    """Return the number of requests that a gateway sent within each backoff asked of it."""
    asked = context.callers.requests
    got = [
        (asked[identity].router.name, at_s)
        for identity, at_s in replica_arrivals(context.callers, replica)
    ]
    found = []
    for begun_s, identity in replica.backoff_requests:
        name = asked[identity].router.name
        first_s, last_s = begun_s + BACKOFF_APPLIED_S, begun_s + backoff_s
        found.append(sum(1 for router, at_s in got if router == name and first_s < at_s < last_s))
    return found


@then("no gateway sends it more than two requests from half a second into a backoff to its end")
def backoffs_kept(context):
    for replica in context.affected:
        found = sent_in_backoffs(context, replica, BACKOFF_S)
        assert found, replica.service
        assert max(found) <= MAX_IN_BACKOFF, (replica.service, len(found), max(found))


@then("every retryable request was answered")
def all_answered(context):
    asked = context.callers.requests
    failed = [(each.path, each.status) for each in asked.values() if each.status != 200]
    assert len(asked) > 100 and not failed, (len(asked), len(failed), failed[:5])


@when("one portal replica fails all requests, and 40 statuses are requested one after the other")
def one_fails(context):
    context.failing = context.fleet.of("portal")[0]
    context.failing.behaviour = "fail"
    context.statuses = []
    for number in range(40):
        caller = context.router.call()
        context.statuses.append(caller.request("GET", f"/status/{number}").status)
        caller.close()


@then("the failing one got at most a tenth of them, and callers received its failures unchanged")
def failing_gets_few(context):
    got = len(context.failing.requests)
    assert got <= len(context.statuses) / 10, got
    assert context.statuses.count(500) == got, context.statuses
    assert context.statuses.count(200) == len(context.statuses) - got, context.statuses
