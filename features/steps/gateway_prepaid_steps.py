"""Steps on prepaid tokens: what replicas gave is held against what was paid for."""

import itertools

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.allowances import AllowanceSizing, Purse
from gateway_world import GENEROUS_RETRIES, start_gateways

EVENTS = 10
EVENT_TOKENS = 3
PROMPT = 1_000
MOST_OUTPUT = 500
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


def ask(router):
    tokens = (PROMPT, MOST_OUTPUT)
    return router.call().request(
        "POST", f"/score/{next(_paths)}", body=b"x", tokens=tokens, deadline_ms=10_000
    )


def spend(routers, most=200):
    """Send requests in turn until each router refuses three times in a row."""
    served, refusals = 0, dict.fromkeys(routers, 0)
    statuses = []
    for router in itertools.islice(itertools.cycle(routers), most):
        status = ask(router).status
        statuses.append(status)
        if status == 200:
            served += 1
            refusals[router] = 0
        else:
            refusals[router] += 1
        if all(count >= 3 for count in refusals.values()):
            break
    return served, statuses


def given_tokens(context):
    """Return what the engines gave: a prompt for each request, and each event's tokens."""
    runs = sum(sum(replica.runs.values()) for replica in context.fleet.of("engine"))
    return runs * (PROMPT + EVENTS * EVENT_TOKENS)


@when("requests of 1500 tokens at most are sent through both until they are refused")
def until_refused(context):
    context.served, context.statuses = spend(context.fleet.routers)


@then("{least:d} were served, and the refusals say 402")
def served_count(context, least):
    # A request that has ended counts 1030 tokens, one that begins 1500: as long as 1500 are
    # left the next one fits, which is after 18 of 20000. Three per cent may stay unused.
    assert context.served >= least, context.statuses
    assert context.statuses[-1] == 402, context.statuses


@then("the replicas never gave more than was prepaid")
def never_more(context):
    assert given_tokens(context) <= context.prepaid, given_tokens(context)


@when("the tokens are used and the operator raises them to {prepaid:d}")
def raised(context, prepaid):
    spend(context.fleet.routers)
    context.fleet.operator.set_prepaid("board", prepaid)
    context.prepaid = prepaid


@then("requests are served again")
def served_again(context):
    assert eventually(lambda: ask(context.fleet.routers[0]).status == 200)
    never_more(context)


@when("some requests are served and the operator cuts the tokens to what is used")
def cut_down(context):
    for router in context.fleet.routers * 3:
        assert ask(router).status == 200
    version = context.fleet.operator.set_prepaid("board", given_tokens(context))
    for router in context.fleet.routers:
        assert eventually(lambda r=router: r.find("configuration.applied", version=version))


@then("further requests are refused with 402")
def refused_402(context):
    for router in context.fleet.routers:
        assert eventually(lambda r=router: ask(r).status == 402)


@when("the first one is killed after some requests and the second spends until it is refused")
def killed(context):
    first, second = context.fleet.routers
    for _ in range(4):
        assert ask(first).status == 200
    first.kill()
    context.served, context.statuses = spend([second])
    assert context.statuses[-1] == 402, context.statuses


@when("the first one is killed while it holds {held:d} tokens or more, and started again")
def killed_and_started(context, held):
    first, _ = context.fleet.routers
    context.killed_requests = 0
    while not any(granted["granted"] - granted["committed"] >= held for granted in grants(first)):
        assert ask(first).status == 200
        context.killed_requests += 1
    assert eventually(lambda: grants(first)[-1]["witness"]), grants(first)
    first.kill()
    context.killed = first.find("gateway.started")["session"]
    again = context.fleet.start_again(first)
    second = context.fleet.routers[1]
    session = again.find("gateway.started")["session"]
    assert eventually(lambda: second.find("member.runs_again", session=session))


def grants(router):
    """Return what the store granted a router, as its log tells."""
    return [
        line
        for line in list(router.lines)
        if line.get("message_type") == "aspengate.allowance.granted"
    ]


@when("the requests of both are sent until they are refused")
def both_until_refused(context):
    context.served, context.statuses = spend(context.fleet.routers)


def counted_beyond(context):
    """Return what the killed run is counted for beyond what it used."""
    reclaimed = [
        line["amount"]
        for router in context.fleet.routers
        for line in router.find_all("allowance.reclaimed", session=context.killed)
    ]
    # The witness's ceiling, of all that was granted; nothing else was closed.
    assert len(reclaimed) == 1, reclaimed
    used = context.killed_requests * (PROMPT + EVENTS * EVENT_TOKENS)
    closed = max(line["closed"] for router in context.fleet.routers for line in grants(router))
    return closed - used


@then("the killed run counts for what it used, one request, and what its witness was told ahead")
def ahead_at_most(context):
    # As fast as can be, which is the highest rate of demand: all its requests at one moment.
    purse = Purse(AllowanceSizing())
    purse.granted = context.prepaid
    for _ in range(context.killed_requests):
        purse.reserve(PROMPT + MOST_OUTPUT, 0.0)
    ahead = purse.sizing.ahead(purse.demand(0, 0.0))
    in_progress = MOST_OUTPUT - EVENTS * EVENT_TOKENS
    beyond = counted_beyond(context)
    assert 0 <= beyond <= ahead + in_progress, (beyond, ahead, context.killed_requests)


@then("of the rest no more than {most:d} tokens are left unused")
def left_unused(context, most):
    left = context.prepaid - given_tokens(context) - counted_beyond(context)
    assert left <= most, (given_tokens(context), left)


@when("the store turns the first one away and it is sent more requests than it holds tokens for")
def sent_more_than_held(context):
    first, second = context.fleet.routers
    assert ask(first).status == 200
    assert eventually(lambda: second.find("member.heard", name=first.name))
    first.door.fault = "busy"
    assert eventually(lambda: first.find("store.lost"))
    held = grants(first)[-1]["granted"]
    context.statuses = [ask(first).status for _ in range(2 * held // PROMPT)]


@then("all of them were served")
def all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@when("both have served some requests and the store goes down for both")
def store_down(context):
    for router in context.fleet.routers * 4:
        assert ask(router).status == 200
    for router in context.fleet.routers:
        router.door.fault = "busy"


@then("requests through either are served")
def served_while_down(context):
    for router in context.fleet.routers * 4:
        assert ask(router).status == 200


@when('the store loses the answers of writes, which are done "{when}", while requests are sent')
def lost_answers(context, when):
    for router in context.fleet.routers:
        router.door.lose_writes = 3
        router.door.late_s = 1.0 if when == "later" else 0.0
    context.served, context.statuses = spend(context.fleet.routers, most=120)


@then("at least {least:d} requests were served in the end")
def at_least_served(context, least):
    assert context.served >= least, context.statuses
