"""Steps on replicas that name a limit for all gateways together."""

import time

from behave import given, then, when

from gateway_world import start
from pressing_callers import Callers, arrivals

REPLICAS = 4
WINDOW_S = 2
START_MS = 1_000
WARM_UP_S = 1.0
# What the platform allows: from so long after the first word, in any 4 s, so much more than named.
SETTLED_S = 3.0
SPAN_S = 4.0
OVERAGE = 1.5
SLACK = 5
TOLD_S = 0.5


@given("{routers:d} gateways that share repeats, before four replicas of each service")
def fleet(context, routers):
    start(
        context,
        routers=routers,
        replicas=REPLICAS,
        retry_ratio=0.2,
        retry_slack=54,
        retry_window_s=WINDOW_S,
        retry_start_ms=START_MS,
    )
    # What the callers' account may use is not what is to be seen here.
    context.fleet.operator.set_prepaid("board", 1_000_000_000)
    time.sleep(START_MS / 1_000 + 0.5)
    # Those that are asked most are to speak: a replica that nobody would choose tells nothing.
    Callers(context.fleet.routers).run_for(WARM_UP_S)
    context.in_need = [
        max(context.fleet.of(service), key=lambda each: len(each.requests))
        for service in ("portal", "engine")
    ]


@when("for {seconds:d} s one replica of each service names a limit of {limit} request a second")
def one_limited(context, seconds, limit):
    for replica in context.in_need:
        replica.limit = limit
    context.callers = Callers(context.fleet.routers).run_for(seconds)


@when(
    "for {seconds:d} s one replica of each service names a limit of {limit}, "
    "and the others refuse 3 in 10"
)
def others_refuse(context, seconds, limit):
    for replica in context.fleet.replicas:
        replica.refused_part = 0.0 if replica in context.in_need else 0.3
    one_limited(context, seconds, limit)


@when(
    "for {seconds:d} s all replicas name a limit of {limit} requests a second, "
    "and callers ask for {asked:d} of each service"
)
def all_limited(context, seconds, limit, asked):
    context.in_need = list(context.fleet.replicas)
    for replica in context.in_need:
        replica.limit = limit
    callers = Callers(context.fleet.routers, callers=2 * asked, pause_s=1.0)
    context.callers = callers.run_for(seconds)
    context.ended_s = time.monotonic()


@then("every repeatable request of the last {seconds:d} s was answered")
def last_answered(context, seconds):
    begun_s = context.ended_s - seconds
    asked = [each for each in context.callers.asked.values() if each.sent_s >= begun_s]
    failed = [(each.path, each.status, each.headers) for each in asked if each.status != 200]
    assert len(asked) > 4 * seconds and not failed, (len(asked), len(failed), failed[:3])


def told(callers, replica):
    """Return when each gateway had first passed on an answer of a replica that names a limit."""
    first = {}
    for identity, _ in arrivals(callers, replica):
        asked = callers.asked[identity]
        if asked.header("Server-Limit"):
            name = asked.router.name
            first[name] = min(asked.ended_s, first.get(name, asked.ended_s))
    return first


def most_in_span(times):
    return max((sum(1 for each in times if 0 <= each - at <= SPAN_S) for at in times), default=0)


def counted_times(callers, replica):
    """Return when a replica got what the rule counts."""
    first = told(callers, replica)
    if not first:
        return []
    settled_s = min(first.values()) + SETTLED_S
    names = {identity: asked.router.name for identity, asked in callers.asked.items()}
    return [
        at_s
        for identity, at_s in arrivals(callers, replica)
        if at_s >= settled_s and at_s >= first.get(names[identity], float("inf")) + TOLD_S
    ]


@then("from 3 s after its first word no replica in need gets more than its limit allows in any 4 s")
def limits_kept(context):
    for replica in context.in_need:
        assert told(context.callers, context.in_need[0]), "nobody was told"
        most = most_in_span(counted_times(context.callers, replica))
        allowed = OVERAGE * SPAN_S * float(replica.limit) + SLACK
        assert most <= allowed, (replica.service, most, allowed)
