"""Steps on the retry budget that routers share without exchanging messages about it."""

from behave import given, then, when
from hypothesis import example, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

from registered_fleet import RegisteredFleet
from retry_fleet import POLICY, RETRANSMISSION_MS, Fleet

EVENT = st.tuples(
    st.sampled_from(["request", "burst", "fail", "restart", "wait"]),
    st.integers(0, 3),
    st.integers(1, 4_000),
)


@given("routers that share a retry budget")
def routers(context):
    context.routers = 4


@when("requests and failures occur in any order, and routers restart")
def in_any_order(context):
    pass


def use_share_and_restart(context, times, requests, pause_ms, *, knows_count=True):
    """Have all routers use their shares and restart, ``times`` times with pauses in between."""
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(times):
        for number in range(context.routers):
            fleet.request(number, requests)
            fleet.fail(number, 200)
            fleet.budgets[number] = fleet.start(number, knows_count=knows_count)
        fleet.advance(pause_ms)


@when("all of them use their share and restart three times in one window")
def restarts(context):
    use_share_and_restart(context, 4, 20, POLICY.window_ms / 5)


@when("all use their share and restart twice in one window without receiving the router count")
def restarts_without_count(context):
    use_share_and_restart(context, 3, 5, 1_000, knows_count=False)


@when(
    "all use their share, the retries arrive 4 seconds late, "
    "and all use it again as soon as allowed"
)
def late_retries(context):
    fleet = context.fleet = Fleet(context.routers)
    for number in range(context.routers):
        fleet.request(number, 5)
        fleet.fail(number, 200, late_ms=4_000)
    fleet.advance(POLICY.window_ms + 1)
    for number in range(context.routers):
        fleet.request(number, 5)
        fleet.fail(number, 200)


@when("all of them restart twenty times in one window, and all requests fail")
def restarts_often(context):
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(20):
        for number in range(context.routers):
            fleet.budgets[number] = fleet.start(number)
            fleet.request(number, 1)
            fleet.fail(number, 1)
        fleet.advance(POLICY.window_ms / 25)


@then("in no window are there more retries than the ratio of the requests plus the slack")
def within(context):
    if hasattr(context, "fleet"):
        assert context.fleet.worst_excess() <= 0, context.fleet.worst_excess()
        return

    @settings(max_examples=200)
    @given_any(st.lists(EVENT, max_size=30))
    def check(events):
        fleet = Fleet(context.routers)
        for name, number, size in events:
            if name == "request":
                fleet.request(number, 1 + size % 20)
            elif name == "burst":
                fleet.request(number, size % 200)
                fleet.fail(number, size % 200)
            elif name == "fail":
                fleet.fail(number, size % 50)
            elif name == "restart":
                fleet.budgets[number] = fleet.start(number)
            else:
                fleet.advance(size)
        assert fleet.worst_excess() <= 0, fleet.worst_excess()

    check()


@when("one of them has run for a window and all its requests fail")
def all_fail(context):
    context.fleet = Fleet(context.routers)
    context.fleet.request(0, 100)
    context.fleet.fail(0, 200)


@then("it may retry as often as its share allows")
def share(context):
    share = POLICY.ratio * 100 + POLICY.slack / context.routers
    assert 0.6 * share <= len(context.fleet.retries) <= share, len(context.fleet.retries)


MAX_SIZE = 4_000
ANY_EVENT_SIZES = (st.integers(0, 3), st.integers(1, MAX_SIZE))
ANY_EVENT = st.tuples(
    st.sampled_from(
        [
            *("request", "late", "all late", "all late", "kill", "unaware"),
            *("start", "stop", "wait", "window", "rest"),
        ]
    ),
    *ANY_EVENT_SIZES,
)


def apply_event(fleet, name, number, size):
    """Apply one event; ``number`` is the router, ``size`` its amount or delay."""
    budget = fleet.budgets[number]
    if name == "wait":
        fleet.advance(size)
    elif name == "rest":
        fleet.advance(POLICY.window_ms + POLICY.start_ms)
    elif name == "window":
        fleet.advance(POLICY.window_ms)
    elif name == "all late":
        for each in range(len(fleet.budgets)):
            if fleet.budgets[each] is not None:
                fleet.fail(each, 100, late_ms=size)
    elif budget is None:
        if name == "start":
            fleet.size = max(fleet.size, sum(each is not None for each in fleet.budgets) + 1)
            fleet.budgets[number] = fleet.start(number)
            fleet.announce_count()
    elif name == "request":
        fleet.request(number, 1 + size % 100)
    elif name == "late":
        fleet.fail(number, 100, late_ms=size)
    elif name == "kill":
        fleet.kill(number)
        fleet.budgets[number] = fleet.start(number)
    elif name == "unaware":
        fleet.kill(number)
        fleet.budgets[number] = fleet.start(number, knows_count=False)
    elif name == "stop":
        fleet.kill(number)
        fleet.size = max(1, fleet.size - 1)
        fleet.announce_count()


def apply_event_unless_suspended(fleet, name, number, size):
    """Apply one event, except actions of a suspended router."""
    needs_running_router = name in ("request", "late", "start", "stop")
    if needs_running_router and fleet.clock_of(number).is_suspended:
        return
    if name == "suspend":
        fleet.suspend(number, 3 * size)
    elif name != "all late":
        apply_event(fleet, name, number, size)
    else:
        for each in range(len(fleet.budgets)):
            apply_event_unless_suspended(fleet, "late", each, size)


@then(
    "no sequence of requests, late arrivals, crashes, starts, stops and suspensions "
    "exceeds the budget"
)
def any_order_suspended(context):
    names = st.one_of(ANY_EVENT, st.tuples(st.just("suspend"), *ANY_EVENT_SIZES))

    @settings(max_examples=1_000)
    @given_any(st.lists(names, min_size=10, max_size=60))
    def check(events):
        fleet = RegisteredFleet(context.routers)
        for event in events:
            apply_event_unless_suspended(fleet, *event)
        fleet.advance(RETRANSMISSION_MS * 2 + 3 * MAX_SIZE)
        assert fleet.worst_excess() <= 0, fleet.worst_excess()

    check()


# Two routers stop, one of them is then suspended with its retries in flight, and another one uses
# its share meanwhile.
SUSPENDED_AFTER_STOP = [
    ("suspend", 0, 1),
    ("suspend", 0, 1),
    ("stop", 1, 1),
    ("suspend", 0, 1),
    ("suspend", 0, 1),
    ("all late", 0, 1),
    ("stop", 2, 1),
    ("suspend", 2, 1001),
    ("rest", 0, 1),
    ("all late", 0, 1),
]


# A machine is suspended for 12 s after its router has restarted with retries in flight.
SUSPENDED_AFTER_RESTART = [
    ("all late", 0, 1),
    ("kill", 0, 1),
    ("suspend", 0, MAX_SIZE),
    ("rest", 0, 1),
    ("all late", 0, 1),
]


def play(context, events):
    context.fleet = RegisteredFleet(context.routers)
    for event in events:
        apply_event_unless_suspended(context.fleet, *event)
    context.fleet.advance(RETRANSMISSION_MS * 2 + 3 * MAX_SIZE)


@when("a router is suspended after it has stopped with retries in flight")
def suspended_after_stop(context):
    play(context, SUSPENDED_AFTER_STOP)


@when("a machine is suspended after its router has restarted with retries in flight")
def suspended_after_restart(context):
    play(context, SUSPENDED_AFTER_RESTART)


# Exceeded the budget by 6.4 retries: two of four routers stopped with retries in flight, and the
# others shared out their parts a window after the stop, before a window after the arrivals.
EXCEEDING_EVENTS = [
    ("all late", 3, 1197),
    ("start", 3, 2549),
    ("stop", 0, 1),
    ("request", 1, 2),
    ("stop", 3, 360),
    ("request", 1, 1284),
    ("window", 3, 1513),
    ("stop", 0, 1245),
    ("request", 1, 727),
    ("kill", 0, 302),
    ("all late", 0, 114),
    ("rest", 0, 412),
    ("all late", 2, 370),
    ("all late", 2, 404),
    ("wait", 2, 2081),
    ("stop", 2, 800),
    ("window", 0, 654),
    ("all late", 2, 353),
    ("request", 1, 1284),
    ("all late", 3, 107),
    ("all late", 3, 103),
    ("late", 2, 352),
    ("late", 1, 2864),
    ("late", 3, 230),
    ("rest", 0, 113),
    ("stop", 1, 2007),
    ("rest", 0, 412),
    ("stop", 2, 800),
    ("request", 2, 2247),
    ("kill", 1, 48),
    ("wait", 2, 167),
    ("kill", 2, 1753),
    ("start", 1, 1151),
    ("kill", 2, 259),
    ("start", 0, 968),
]


@then("no sequence of requests, late arrivals, crashes, starts and stops exceeds the budget")
def any_order(context):
    @settings(max_examples=1_000)
    @given_any(st.lists(ANY_EVENT, min_size=10, max_size=60))
    @example(EXCEEDING_EVENTS)
    def check(events):
        fleet = Fleet(context.routers)
        for event in events:
            apply_event(fleet, *event)
        fleet.advance(RETRANSMISSION_MS * 2)
        assert fleet.worst_excess() <= 0, fleet.worst_excess()

    check()
