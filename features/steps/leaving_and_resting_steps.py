"""Steps on replicas that leave or ask for rest."""

from behave import given, then, when

from load_generator import LoadGenerator, replica_arrivals, start_with_load

ROUTERS = 4
REPLICAS = 4
DRAIN_S = 2.0
REST_S = 1.5
REST_NOTED_S = 0.5
MOST_IN_REST = 2


@given("four gateways that share repeats, before four replicas of each service")
def fleet(context):
    context.told = start_with_load(context, routers=ROUTERS, replicas=REPLICAS)


@when("for 6 s one replica of each service says that it leaves, and its record does not")
def one_leaves(context):
    for replica in context.told:
        replica.leaving = True
    context.callers = LoadGenerator(context.fleet.routers).run_for(6.0)


@when("for 6 s one replica of each service turns requests away and asks for rest")
def one_rests(context):
    for replica in context.told:
        replica.behaviour, replica.rest = "rest", str(REST_S)
    context.callers = LoadGenerator(context.fleet.routers).run_for(6.0)


@when("for 6 s one replica of each service turns requests away")
def one_refuses(context):
    for replica in context.told:
        replica.behaviour = "refuse"
    context.callers = LoadGenerator(context.fleet.routers).run_for(6.0)


def passed_on(context):
    """Return when each gateway had first passed on an answer of a service's leaving replica."""
    first = {}
    for asked in context.callers.requests.values():
        if asked.header("Server-Leaving"):
            before = first.get(asked.gateway_and_kind, asked.ended_s)
            first[asked.gateway_and_kind] = min(before, asked.ended_s)
    return first


@then("no gateway that passed that on sends it what callers ask for over 2 s later")
def nothing_late(context):
    first = passed_on(context)
    assert {kind for _, kind in first} == {"receipt", "score"}, first
    late = [
        (identity, round(asked.sent_s - first[asked.gateway_and_kind], 3))
        for replica in context.told
        for identity, _ in replica_arrivals(context.callers, replica)
        if (asked := context.callers.requests[identity]).sent_s
        > first[asked.gateway_and_kind] + DRAIN_S
    ]
    assert not late, (len(late), late[:5])


def in_rests(context, replica, rest_s):
    """Return how many requests each gateway sent within each rest that it had been asked for."""
    asked = context.callers.requests
    got = [
        (asked[identity].router.name, at_s)
        for identity, at_s in replica_arrivals(context.callers, replica)
    ]
    found = []
    for begun_s, identity in replica.asked_for_rest:
        name = asked[identity].router.name
        first_s, last_s = begun_s + REST_NOTED_S, begun_s + rest_s
        found.append(sum(1 for router, at_s in got if router == name and first_s < at_s < last_s))
    return found


@then("no gateway sends it more than two requests from half a second into a rest to its end")
def rests_kept(context):
    for replica in context.told:
        found = in_rests(context, replica, REST_S)
        assert found, replica.service
        assert max(found) <= MOST_IN_REST, (replica.service, len(found), max(found))


@then("every repeatable request was answered")
def all_answered(context):
    asked = context.callers.requests
    failed = [(each.path, each.status) for each in asked.values() if each.status != 200]
    assert len(asked) > 100 and not failed, (len(asked), len(failed), failed[:5])


@when("one portal replica fails everything, and 40 statuses are asked for one after the other")
def one_fails(context):
    context.failing = context.fleet.of("portal")[0]
    context.failing.behaviour = "fail"
    context.statuses = []
    for number in range(40):
        caller = context.router.call()
        context.statuses.append(caller.request("GET", f"/status/{number}").status)
        caller.close()


@then("the failing one got at most a tenth of them, and the callers got its failures as they are")
def failing_spared(context):
    got = len(context.failing.requests)
    assert got <= len(context.statuses) / 10, got
    assert context.statuses.count(500) == got, context.statuses
    assert context.statuses.count(200) == len(context.statuses) - got, context.statuses
