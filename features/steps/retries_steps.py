"""Steps on the retry budget that routers share without a message."""

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from platform_standins import worst_window

from aspengate.clock import ManualClock
from aspengate.retries import RetryPolicy, SharedRetryBudget

POLICY = RetryPolicy(ratio=0.2, slack=54.0, window_ms=10_000)
# How long what a dead router sent may still be sent again by its system.
RESENT_MS = 2_000
EVENT = st.tuples(
    st.sampled_from(["request", "burst", "fail", "restart", "wait"]),
    st.integers(0, 3),
    st.integers(1, 4_000),
)


class Fleet:
    """Routers by number, None for one that was stopped; ``late`` are repeats under way."""

    def __init__(self, size):
        self.clock = ManualClock()
        self.size = size
        self.requests, self.repeats, self.late = [], [], []
        self.budgets = [self.start() for _ in range(size)]
        self.advance(POLICY.window_ms + POLICY.start_ms + 1)

    def start(self, told=True):
        budget = SharedRetryBudget(POLICY, self.clock)
        if told:
            budget.set_router_count(self.size)
        return budget

    def request(self, number, count):
        for _ in range(count):
            self.budgets[number].record_request("portal")
            self.requests.append(self.clock.monotonic_ms())

    def fail(self, number, count, late_ms=0):
        """Have a router repeat as often as it may; the repeats arrive ``late_ms`` later."""
        budget = self.budgets[number]
        for _ in range(count):
            if budget.acquire("portal").allowed:
                self.late.append((self.clock.monotonic_ms() + late_ms, number, budget))
        self.advance(0)

    def advance(self, duration_ms):
        """Let time go by, and repeats arrive that are due."""
        last_ms = self.clock.monotonic_ms() + duration_ms
        for due_ms, number, budget in sorted(self.late, key=lambda each: each[0]):
            if due_ms > last_ms:
                continue
            self.late.remove((due_ms, number, budget))
            self.clock.advance(due_ms - self.clock.monotonic_ms())
            self.repeats.append(due_ms)
            budget.settle("portal", allowed=1, arrived=1, arrived_ms=due_ms)
        self.clock.advance(last_ms - self.clock.monotonic_ms())

    def kill(self, number):
        """End a router; what it sent arrives within two seconds, or is lost."""
        last_ms = self.clock.monotonic_ms() + RESENT_MS
        self.late = [each for each in self.late if each[1] != number or each[0] <= last_ms]
        self.budgets[number] = None

    def tell(self):
        """Tell the routers that run how many they are, with those that were killed."""
        for budget in self.budgets:
            if budget is not None:
                budget.set_router_count(self.size)

    def worst(self):
        """Return by how much the repeats of some window exceed what it allows."""
        policy = {"ratio": POLICY.ratio, "slack": POLICY.slack, "window": POLICY.window_ms}
        return worst_window(self.repeats, self.requests, **policy)[0]


@given("routers that share a retry budget")
def routers(context):
    context.routers = 4


@when("requests and failures come in any order, and routers start again")
def in_any_order(context):
    pass


def use_and_start_again(context, times, requests, pause_ms, *, told=True):
    """Have all use their share and start again, so many times, with pauses between."""
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(times):
        for number in range(context.routers):
            fleet.request(number, requests)
            fleet.fail(number, 200)
            fleet.budgets[number] = fleet.start(told=told)
        fleet.advance(pause_ms)


@when("all of them use their share and start again three times in one window")
def restarts(context):
    use_and_start_again(context, 4, 20, POLICY.window_ms / 5)


@when("all use their share and start again twice in one window, and are told nothing")
def restarts_untold(context):
    use_and_start_again(context, 3, 5, 1_000, told=False)


@when("all use their share, it arrives 4 seconds late, and they use it again as soon as they may")
def late_repeats(context):
    fleet = context.fleet = Fleet(context.routers)
    for number in range(context.routers):
        fleet.request(number, 5)
        fleet.fail(number, 200, late_ms=4_000)
    fleet.advance(POLICY.window_ms + 1)
    for number in range(context.routers):
        fleet.request(number, 5)
        fleet.fail(number, 200)


@when("all of them start again twenty times in one window, and all requests fail")
def restarts_often(context):
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(20):
        for number in range(context.routers):
            fleet.budgets[number] = fleet.start()
            fleet.request(number, 1)
            fleet.fail(number, 1)
        fleet.advance(POLICY.window_ms / 25)


@then("in no window are there more repeats than the ratio of the requests and the slack")
def within(context):
    if hasattr(context, "fleet"):
        assert context.fleet.worst() <= 0, context.fleet.worst()
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
                fleet.budgets[number] = fleet.start()
            else:
                fleet.advance(size)
        assert fleet.worst() <= 0, fleet.worst()

    check()


@when("one of them has run for a window and all its requests fail")
def all_fail(context):
    context.fleet = Fleet(context.routers)
    context.fleet.request(0, 100)
    context.fleet.fail(0, 200)


@then("it may repeat as often as its share allows")
def share(context):
    share = POLICY.ratio * 100 + POLICY.slack / context.routers
    assert 0.6 * share <= len(context.fleet.repeats) <= share, len(context.fleet.repeats)


MOST_SIZE = 4_000
ANY_EVENT_SIZES = (st.integers(0, 3), st.integers(1, MOST_SIZE))
ANY_EVENT = st.tuples(
    st.sampled_from(
        [
            *("request", "late", "all late", "all late", "kill", "untold"),
            *("start", "stop", "wait", "window", "rest"),
        ]
    ),
    *ANY_EVENT_SIZES,
)


def play(fleet, name, number, size):
    """Let one thing happen; ``number`` is the router, ``size`` how much or how late."""
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
            fleet.budgets[number] = fleet.start()
            fleet.tell()
    elif name == "request":
        fleet.request(number, 1 + size % 100)
    elif name == "late":
        fleet.fail(number, 100, late_ms=size)
    elif name == "kill":
        fleet.kill(number)
        fleet.budgets[number] = fleet.start()
    elif name == "untold":
        fleet.kill(number)
        fleet.budgets[number] = fleet.start(told=False)
    elif name == "stop":
        fleet.kill(number)
        fleet.size = max(1, fleet.size - 1)
        fleet.tell()


def suspend(fleet, number, duration_ms):
    """Have a router stand still: what it had under way is sent when it goes on."""
    until_ms = fleet.clock.monotonic_ms() + duration_ms
    fleet.suspended[number] = until_ms
    fleet.late = [
        (max(due_ms, until_ms) if each == number else due_ms, each, budget)
        for due_ms, each, budget in fleet.late
    ]


def play_awake(fleet, name, number, size):
    """Let one thing happen, unless it is a suspended router's to do."""
    acting = name in ("request", "late", "start", "stop")
    if acting and fleet.clock.monotonic_ms() < fleet.suspended.get(number, 0.0):
        return
    if name == "suspend":
        suspend(fleet, number, 3 * size)
    elif name != "all late":
        play(fleet, name, number, size)
    else:
        for each in range(len(fleet.budgets)):
            play_awake(fleet, "late", each, size)


@then("no order of requests, late arrivals, deaths, starts, stops and suspensions exceeds it")
def any_order_suspended(context):
    names = st.one_of(ANY_EVENT, st.tuples(st.just("suspend"), *ANY_EVENT_SIZES))

    @settings(max_examples=1_000)
    @given_any(st.lists(names, min_size=10, max_size=60))
    def check(events):
        fleet = Fleet(context.routers)
        fleet.suspended = {}
        for event in events:
            play_awake(fleet, *event)
        fleet.advance(RESENT_MS * 2 + 3 * MOST_SIZE)
        assert fleet.worst() <= 0, fleet.worst()

    check()


@then("no order of requests, late arrivals, deaths, starts and stops exceeds it")
def any_order(context):
    @settings(max_examples=1_000)
    @given_any(st.lists(ANY_EVENT, min_size=10, max_size=60))
    def check(events):
        fleet = Fleet(context.routers)
        for event in events:
            play(fleet, *event)
        fleet.advance(RESENT_MS * 2)
        assert fleet.worst() <= 0, fleet.worst()

    check()
