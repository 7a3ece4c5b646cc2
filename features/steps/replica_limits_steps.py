"""Steps on replicas that name a limit for all gateways together."""

import time

from behave import given, then, when
from platform_standins.fleet import eventually

from load_generator import LoadGenerator, replica_arrivals, start_with_load

REPLICAS = 4
# What the platform allows: from so long after the first word, in any 4 s, so much more than named.
SETTLED_S = 3.0
SPAN_S = 4.0
OVERAGE = 1.5
SLACK = 5
TOLD_S = 0.5


def uncap(configuration):
    """Let accounts use what they ask for: their tokens are not what is to be seen here."""
    for tenant in configuration["tenants"]:
        del tenant["prepaid"]


@given("{routers:d} gateways that share repeats, before four replicas of each service")
def fleet(context, routers):
    context.in_need = start_with_load(context, routers=routers, replicas=REPLICAS, change=uncap)


@when("for {seconds:d} s one replica of each service names a limit of {limit} request a second")
def one_limited(context, seconds, limit):
    for replica in context.in_need:
        replica.limit = limit
    context.callers = LoadGenerator(context.fleet.routers).run_for(seconds)


@when(
    "for {seconds:d} s one replica of each service names a limit of {limit}, "
    "and the others refuse 3 in 10"
)
def others_refuse(context, seconds, limit):
    for replica in context.fleet.replicas:
        replica.refused_fraction = 0.0 if replica in context.in_need else 0.3
    one_limited(context, seconds, limit)


@when(
    "for {seconds:d} s all replicas name a limit of {limit} requests a second, "
    "and callers ask for {asked:d} of each service"
)
def all_limited(context, seconds, limit, asked):
    context.in_need = list(context.fleet.replicas)
    for replica in context.in_need:
        replica.limit = limit
    callers = LoadGenerator(context.fleet.routers, callers=2 * asked, pause_s=1.0)
    context.callers = callers.run_for(seconds)
    context.ended_s = time.monotonic()


@then("every repeatable request of the last {seconds:d} s was answered")
def last_answered(context, seconds):
    begun_s = context.ended_s - seconds
    asked = [each for each in context.callers.requests.values() if each.sent_s >= begun_s]
    failed = [(each.path, each.status, each.headers) for each in asked if each.status != 200]
    assert len(asked) > 4 * seconds and not failed, (len(asked), len(failed), failed[:3])


def told(callers, replica):
    """Return when each gateway had first passed on an answer of a replica that names a limit."""
    first = {}
    for identity, _ in replica_arrivals(callers, replica):
        asked = callers.requests[identity]
        if asked.header("Server-Limit"):
            name = asked.router.name
            first[name] = min(asked.ended_s, first.get(name, asked.ended_s))
    return first


def most_in_span(times):
    return max((sum(1 for each in times if 0 <= each - at <= SPAN_S) for at in times), default=0)


def counted_times(callers, replica, narrowed_s=0.0):
    """Return when a replica got what the rule counts; it narrowed its limit at ``narrowed_s``."""
    first = told(callers, replica)
    if not first:
        return []
    settled_s = max(min(first.values()) + SETTLED_S, narrowed_s + TOLD_S)
    names = {identity: asked.router.name for identity, asked in callers.requests.items()}
    return [
        at_s
        for identity, at_s in replica_arrivals(callers, replica)
        if at_s >= settled_s and at_s >= first.get(names[identity], float("inf")) + TOLD_S
    ]


@then("from 3 s after its first word no replica in need gets more than its limit allows in any 4 s")
def limits_kept(context):
    for replica in context.in_need:
        assert told(context.callers, context.in_need[0]), "nobody was told"
        narrowed_s = getattr(context, "narrowed_s", 0.0)
        most = most_in_span(counted_times(context.callers, replica, narrowed_s))
        allowed = OVERAGE * SPAN_S * float(replica.limit) + SLACK
        assert most <= allowed, (replica.service, most, allowed)


@when("one replica of each service names a limit of {limit} request a second, and {trouble}")
def limited_in_trouble(context, limit, trouble):
    for replica in context.in_need:
        replica.limit = "5" if trouble == "it named 5 before" else limit
    context.cut_s = []
    context.callers = LoadGenerator(context.fleet.routers).begin()
    time.sleep(3.5)
    TROUBLES[trouble](context)
    context.callers.end()


def lapse(context):
    for replica in context.in_need:
        replica.unlist()
    time.sleep(0.5)
    for replica in context.in_need:
        replica.list()
    time.sleep(4.5)


def store_away(context):
    for router in context.fleet.routers:
        router.endpoint.fault = "silent"
    time.sleep(3.0)
    for router in context.fleet.routers:
        router.endpoint.fault = ""
    time.sleep(2.0)


def start_again(context, routers):
    """Kill gateways, one after the other, and start each again at once where callers know it."""
    for router in list(context.fleet.routers)[:routers]:
        killed_s = time.monotonic()
        router.kill()
        context.started = context.fleet.start_again(router, same_port=True)
        context.cut_s.append(((router, context.started), killed_s, time.monotonic()))


def name_less(context):
    """Name 1 instead of 5: from now on that is the first word."""
    for replica in context.in_need:
        replica.limit = "1"
    context.narrowed_s = time.monotonic()
    time.sleep(7.0)


TROUBLES = {
    "its record lapses for 0.5 s": lapse,
    "the store is away for 3 s": store_away,
    "three gateways start again": lambda context: (start_again(context, 3), time.sleep(4.0)),
    "it named 5 before": name_less,
    "a gateway starts again": lambda context: (start_again(context, 1), time.sleep(2.0)),
}


@then("every repeatable request was answered, but for those that {trouble} cut")
def answered_but_cut(context, trouble):
    """Leave out requests that were at a gateway when it was killed, or while it was away."""

    def is_cut(asked):
        return any(
            asked.router in runs
            and asked.sent_s <= back_s
            and (not asked.ended_s or asked.ended_s >= killed_s)
            for runs, killed_s, back_s in context.cut_s
        )

    asked = [each for each in context.callers.requests.values() if not is_cut(each)]
    failed = [(each.path, each.status) for each in asked if each.status != 200]
    assert len(asked) > 100 and not failed, (len(asked), len(failed), failed[:5])


@when("for {named:d} s one replica of each service names a limit of 1, and for {after:d} s none")
def names_and_ends(context, named, after):
    for replica in context.fleet.of("portal"):
        # Without work to do all would go to the one that is a ms quicker than the others.
        replica.work_s = 0.05
    for replica in context.in_need:
        replica.limit = "1"
    context.callers = LoadGenerator(context.fleet.routers).begin()
    time.sleep(named)
    for replica in context.in_need:
        replica.limit = None
    time.sleep(after)
    context.ended_s = time.monotonic()
    context.callers.end()


@then("in the last {seconds:d} s it gets at least a tenth of its service's requests")
def used_again(context, seconds):
    for replica in context.in_need:
        got = {
            each: sum(
                context.ended_s - seconds <= at_s
                for _, at_s in replica_arrivals(context.callers, each)
            )
            for each in context.fleet.of(replica.service)
        }
        assert got[replica] * 10 >= sum(got.values()) > 0, (replica.service, list(got.values()))


@then("the one that started was told of both limits by others")
def told_at_start(context):
    def told():
        return {
            line["replica"]
            for line in context.started.find_all("replica.limited")
            if line["told_by"]
        }

    wanted = {replica.identity for replica in context.in_need}
    assert eventually(lambda: wanted <= told(), 10.0), (wanted, told())
