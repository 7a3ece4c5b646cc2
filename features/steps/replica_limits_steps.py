"""Steps for replicas that announce a rate limit for all gateways together."""

import time

from behave import given, then, when
from platform_standins.fleet import eventually

from load_generator import LoadGenerator, replica_arrivals, start_with_load

REPLICAS = 4
# The platform's rule: from SETTLED_S after the first response with the limit, any SPAN_S may hold
# OVERAGE times the limit plus SLACK requests.
SETTLED_S = 3.0
SPAN_S = 4.0
OVERAGE = 1.5
SLACK = 5
# The rule counts a gateway's requests from this time after it first received the limit.
AWARE_S = 0.5
# A gateway tries a replica again whose last response was slow, but may take as long as this.
ANNOUNCED_WITHIN_S = 60.0


def remove_token_budgets(configuration):
    """Remove the prepaid token budgets, which would otherwise limit the load of these tests."""
    for tenant in configuration["tenants"]:
        del tenant["prepaid"]


@given("{routers:d} gateways that share retries, before four replicas of each service")
def fleet(context, routers):
    context.limited = start_with_load(
        context, routers=routers, replicas=REPLICAS, change=remove_token_budgets
    )


@when(
    "for {seconds:d} s one replica of each service announces a limit of {limit} request per second"
)
def one_limited(context, seconds, limit):
    for replica in context.limited:
        replica.limit = limit
    context.callers = LoadGenerator(context.fleet.routers).begin()
    await_announcements(context)
    time.sleep(seconds)
    context.callers.end()


def await_announcements(context):
    """Wait until each limited replica has announced its limit in a response to a caller.

    Gateways may avoid a replica for many seconds after one slow response in the warm-up.
    """

    def silent():
        return [
            (replica.service, len(replica_arrivals(context.callers, replica)))
            for replica in context.limited
            if not first_limit_times(context.callers, replica)
        ]

    eventually(lambda: not silent(), ANNOUNCED_WITHIN_S)
    assert not silent(), f"no gateway got the limit; service and requests: {silent()}"


@when(
    "for {seconds:d} s one replica of each service announces a limit of {limit}, "
    "and the others refuse 3 in 10"
)
def others_refuse(context, seconds, limit):
    for replica in context.fleet.replicas:
        replica.refused_fraction = 0.0 if replica in context.limited else 0.3
    one_limited(context, seconds, limit)


@when(
    "for {seconds:d} s all replicas announce a limit of {limit} requests per second, "
    "and each service gets {per_second:d} per second"
)
def all_limited(context, seconds, limit, per_second):
    context.limited = list(context.fleet.replicas)
    for replica in context.limited:
        replica.limit = limit
    callers = LoadGenerator(context.fleet.routers, callers=2 * per_second, pause_s=1.0)
    context.callers = callers.run_for(seconds)
    context.ended_s = time.monotonic()


@then("every retryable request of the last {seconds:d} s was answered")
def last_answered(context, seconds):
    start_s = context.ended_s - seconds
    sent = [each for each in context.callers.requests.values() if each.sent_s >= start_s]
    failed = [(each.path, each.status, each.headers) for each in sent if each.status != 200]
    assert len(sent) > 4 * seconds and not failed, (len(sent), len(failed), failed[:3])


def first_limit_times(callers, replica):
    """Return when each gateway first forwarded a response of a replica that announces a limit."""
    first = {}
    for identity, _ in replica_arrivals(callers, replica):
        sent = callers.requests[identity]
        if sent.header("Server-Limit"):
            name = sent.router.name
            first[name] = min(sent.ended_s, first.get(name, sent.ended_s))
    return first


def max_in_span(times):
    return max((sum(1 for each in times if 0 <= each - at <= SPAN_S) for at in times), default=0)


def counted_times(callers, replica, lowered_s=0.0):
    """Return the arrivals that the rule counts; the replica lowered its limit at ``lowered_s``."""
    first = first_limit_times(callers, replica)
    if not first:
        return []
    settled_s = max(min(first.values()) + SETTLED_S, lowered_s + AWARE_S)
    names = {identity: sent.router.name for identity, sent in callers.requests.items()}
    return [
        at_s
        for identity, at_s in replica_arrivals(callers, replica)
        if at_s >= settled_s and at_s >= first.get(names[identity], float("inf")) + AWARE_S
    ]


@then("from 3 s after its first announcement no limited replica exceeds its limit in any 4 s")
def limits_kept(context):
    for replica in context.limited:
        assert first_limit_times(context.callers, replica), "no gateway got the limit"
        lowered_s = getattr(context, "lowered_s", 0.0)
        most = max_in_span(counted_times(context.callers, replica, lowered_s))
        allowed = OVERAGE * SPAN_S * float(replica.limit) + SLACK
        assert most <= allowed, (replica.service, most, allowed)


@when("one replica of each service announces a limit of {limit} request per second, and {fault}")
def limited_during_fault(context, limit, fault):
    for replica in context.limited:
        replica.limit = "5" if fault == "it announced 5 before" else limit
    context.restarts = []
    context.callers = LoadGenerator(context.fleet.routers).begin()
    await_announcements(context)
    time.sleep(3.5)
    FAULTS[fault](context)
    context.callers.end()


def lapse(context):
    for replica in context.limited:
        replica.unlist()
    time.sleep(0.5)
    for replica in context.limited:
        replica.list()
    time.sleep(4.5)


def store_unavailable(context):
    for router in context.fleet.routers:
        router.endpoint.fault = "silent"
    time.sleep(3.0)
    for router in context.fleet.routers:
        router.endpoint.fault = ""
    time.sleep(2.0)


def restart(context, routers):
    """Kill gateways one after the other, and restart each at once at the same address."""
    for router in list(context.fleet.routers)[:routers]:
        killed_s = time.monotonic()
        router.kill()
        context.started = context.fleet.start_again(router, same_port=True)
        context.restarts.append(((router, context.started), killed_s, time.monotonic()))


def lower_limit(context):
    """Announce 1 instead of 5; the rule counts from this change on."""
    for replica in context.limited:
        replica.limit = "1"
    context.lowered_s = time.monotonic()
    time.sleep(7.0)


FAULTS = {
    "its record lapses for 0.5 s": lapse,
    "the store is unavailable for 3 s": store_unavailable,
    "three gateways restart": lambda context: (restart(context, 3), time.sleep(4.0)),
    "it announced 5 before": lower_limit,
    "a gateway restarts": lambda context: (restart(context, 1), time.sleep(2.0)),
}


@then("every retryable request was answered, except those interrupted because {fault}")
def answered_unless_interrupted(context, fault):
    """Leave out requests at a gateway when it was killed or before it was available again."""

    def is_interrupted(sent):
        return any(
            sent.router in processes
            and sent.sent_s <= restarted_s
            and (not sent.ended_s or sent.ended_s >= killed_s)
            for processes, killed_s, restarted_s in context.restarts
        )

    sent = [each for each in context.callers.requests.values() if not is_interrupted(each)]
    failed = [(each.path, each.status) for each in sent if each.status != 200]
    assert len(sent) > 100 and not failed, (len(sent), len(failed), failed[:5])


@when(
    "for {limited:d} s one replica of each service announces a limit of 1, and for {after:d} s none"
)
def announces_and_ends(context, limited, after):
    for replica in context.fleet.of("portal"):
        # Without processing time all requests would go to the replica that is 1 ms faster.
        replica.work_s = 0.05
    for replica in context.limited:
        replica.limit = "1"
    context.callers = LoadGenerator(context.fleet.routers).begin()
    time.sleep(limited)
    for replica in context.limited:
        replica.limit = None
    time.sleep(after)
    context.ended_s = time.monotonic()
    context.callers.end()


@then("in the last {seconds:d} s it receives at least a tenth of its service's requests")
def used_again(context, seconds):
    for replica in context.limited:
        received = {
            each: sum(
                context.ended_s - seconds <= at_s
                for _, at_s in replica_arrivals(context.callers, each)
            )
            for each in context.fleet.of(replica.service)
        }
        counts = list(received.values())
        assert received[replica] * 10 >= sum(counts) > 0, (replica.service, counts)


@then("the restarted gateway received both limits from others")
def limits_after_restart(context):
    def received():
        return {
            line["replica"]
            for line in context.started.find_all("replica.limited")
            if line["told_by"]
        }

    wanted = {replica.identity for replica in context.limited}
    assert eventually(lambda: wanted <= received(), 10.0), (wanted, received())
