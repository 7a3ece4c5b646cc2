"""Steps on prepaid tokens: compares the tokens that replicas produced with the prepaid ones."""

import itertools

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.allowances import AllowanceSizing, TokenBalance
from gateway_world import GENEROUS_RETRIES, start_gateways

EVENTS = 10
TOKENS_PER_EVENT = 3
PROMPT_TOKENS = 1_000
MAX_OUTPUT_TOKENS = 500
_paths = itertools.count()


@given("two gateways and an account with {prepaid:d} prepaid tokens")
def two_gateways(context, prepaid):
    start_gateways(
        context, routers=2, fields={"events": EVENTS, "pause_s": 0.0}, **GENEROUS_RETRIES
    )
    version = context.fleet.operator.set_prepaid("board", prepaid)
    for router in context.fleet.routers:
        assert eventually(lambda r=router: r.find("configuration.applied", version=version))
    first, second = context.fleet.routers
    assert eventually(lambda: first.find("member.heard") and second.find("member.heard"))
    context.prepaid = prepaid


def send_request(router):
    tokens = (PROMPT_TOKENS, MAX_OUTPUT_TOKENS)
    return router.call().request(
        "POST", f"/score/{next(_paths)}", body=b"x", tokens=tokens, deadline_ms=10_000
    )


def spend(routers, maximum=200):
    """Send requests in turn until each router refuses three times in a row."""
    served, refusals = 0, dict.fromkeys(routers, 0)
    statuses = []
    for router in itertools.islice(itertools.cycle(routers), maximum):
        status = send_request(router).status
        statuses.append(status)
        if status == 200:
            served += 1
            refusals[router] = 0
        else:
            refusals[router] += 1
        if all(count >= 3 for count in refusals.values()):
            break
    return served, statuses


def produced_tokens(context):
    """Return the tokens of all requests that engines ran: their prompts and events."""
    runs = sum(sum(replica.runs.values()) for replica in context.fleet.of("engine"))
    return runs * (PROMPT_TOKENS + EVENTS * TOKENS_PER_EVENT)


@when("requests of up to 1500 tokens are sent through both until they are refused")
def until_refused(context):
    context.served, context.statuses = spend(context.fleet.routers)


@then("{minimum:d} were served, and the refusals have status 402")
def served_count(context, minimum):
    # A finished request counts 1030 tokens and a starting one 1500. As long as 1500 are left, the
    # next one fits: 20000 tokens allow 18 requests. Three per cent may stay unused.
    assert context.served >= minimum, context.statuses
    assert context.statuses[-1] == 402, context.statuses


@then("the replicas never produced more tokens than were prepaid")
def never_more_than_prepaid(context):
    assert produced_tokens(context) <= context.prepaid, produced_tokens(context)


@when("the tokens are used and the operator raises them to {prepaid:d}")
def limit_raised(context, prepaid):
    spend(context.fleet.routers)
    context.fleet.operator.set_prepaid("board", prepaid)
    context.prepaid = prepaid


@then("requests are served again")
def served_again(context):
    assert eventually(lambda: send_request(context.fleet.routers[0]).status == 200)
    never_more_than_prepaid(context)


@when("some requests are served and the operator reduces the tokens to those used")
def limit_reduced(context):
    for router in context.fleet.routers * 3:
        assert send_request(router).status == 200
    version = context.fleet.operator.set_prepaid("board", produced_tokens(context))
    for router in context.fleet.routers:
        assert eventually(lambda r=router: r.find("configuration.applied", version=version))


@then("further requests are refused with 402")
def refused_402(context):
    for router in context.fleet.routers:
        assert eventually(lambda r=router: send_request(r).status == 402)


@when("the first is killed after some requests and the second spends until it is refused")
def killed(context):
    first, second = context.fleet.routers
    for _ in range(4):
        assert send_request(first).status == 200
    first.kill()
    context.served, context.statuses = spend([second])
    assert context.statuses[-1] == 402, context.statuses


@when("the first one is killed while it holds {held:d} tokens or more, and started again")
def killed_and_started(context, held):
    first, _ = context.fleet.routers
    context.killed_requests = 0
    while not any(granted["granted"] - granted["committed"] >= held for granted in grants(first)):
        assert send_request(first).status == 200
        context.killed_requests += 1
    assert eventually(lambda: grants(first)[-1]["witness"]), grants(first)
    first.kill()
    context.killed = first.find("gateway.started")["session"]
    again = context.fleet.start_again(first)
    second = context.fleet.routers[1]
    session = again.find("gateway.started")["session"]
    assert eventually(lambda: second.find("member.runs_again", session=session))


def grants(router):
    """Return the log lines of a router about allowances that the store granted it."""
    return [
        line
        for line in list(router.lines)
        if line.get("message_type") == "aspengate.allowance.granted"
    ]


@when("the requests of both are sent until they are refused")
def both_until_refused(context):
    context.served, context.statuses = spend(context.fleet.routers)


def counted_beyond_use(context):
    """Return the tokens counted for the killed run beyond those it used."""
    reclaimed = [
        line["amount"]
        for router in context.fleet.routers
        for line in router.find_all("allowance.reclaimed", session=context.killed)
    ]
    # Only one session was closed, with its witness's ceiling instead of its whole allowance.
    assert len(reclaimed) == 1, reclaimed
    used = context.killed_requests * (PROMPT_TOKENS + EVENTS * TOKENS_PER_EVENT)
    closed = max(line["closed"] for router in context.fleet.routers for line in grants(router))
    return closed - used


@then("the killed run counts for what it used, one request, and its ceiling headroom")
def within_headroom(context):
    # All requests at the same moment produce the highest possible rate of demand.
    balance = TokenBalance(AllowanceSizing())
    balance.granted = context.prepaid
    for _ in range(context.killed_requests):
        balance.reserve(PROMPT_TOKENS + MAX_OUTPUT_TOKENS, 0.0)
    ahead = balance.sizing.ceiling_headroom(balance.demand(0, 0.0))
    in_progress = MAX_OUTPUT_TOKENS - EVENTS * TOKENS_PER_EVENT
    beyond = counted_beyond_use(context)
    assert 0 <= beyond <= ahead + in_progress, (beyond, ahead, context.killed_requests)


@then("of the rest, no more than {maximum:d} tokens are left unused")
def left_unused(context, maximum):
    left = context.prepaid - produced_tokens(context) - counted_beyond_use(context)
    assert left <= maximum, (produced_tokens(context), left)


@when("the store rejects the first and it is sent more requests than it holds tokens for")
def sent_more_than_held(context):
    first, second = context.fleet.routers
    assert send_request(first).status == 200
    assert eventually(lambda: second.find("member.heard", name=first.name))
    first.endpoint.fault = "busy"
    assert eventually(lambda: first.find("store.lost"))
    held = grants(first)[-1]["granted"]
    context.statuses = [send_request(first).status for _ in range(2 * held // PROMPT_TOKENS)]


@then("all of them were served")
def all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@when("both have served some requests and the store goes down for both")
def store_down(context):
    for router in context.fleet.routers * 4:
        assert send_request(router).status == 200
    for router in context.fleet.routers:
        router.endpoint.fault = "busy"


@then("requests through either are served")
def served_while_down(context):
    for router in context.fleet.routers * 4:
        assert send_request(router).status == 200


@when('the store loses responses of writes, which take effect "{when}", while requests are sent')
def lost_responses(context, when):
    for router in context.fleet.routers:
        router.endpoint.lose_writes = 3
        router.endpoint.late_s = 1.0 if when == "later" else 0.0
    context.served, context.statuses = spend(context.fleet.routers, maximum=120)


@then("at least {minimum:d} requests were served in the end")
def at_least_served(context, minimum):
    assert context.served >= minimum, context.statuses
