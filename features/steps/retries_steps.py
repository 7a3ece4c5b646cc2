"""Steps on the retry budget that routers share without a message."""

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.clock import ManualClock
from aspengate.retries import RetryPolicy, SharedRetryBudget

POLICY = RetryPolicy(ratio=0.2, slack=54.0, window_ms=10_000)
EVENT = st.tuples(
    st.sampled_from(["request", "burst", "fail", "restart", "wait"]),
    st.integers(0, 3),
    st.integers(1, 4_000),
)


class Fleet:
    def __init__(self, size):
        self.clock = ManualClock()
        self.size = size
        self.requests, self.repeats = [], []
        self.budgets = [self.start() for _ in range(size)]
        self.clock.advance(POLICY.window_ms + POLICY.start_ms + 1)

    def start(self, told=True):
        budget = SharedRetryBudget(POLICY, self.clock)
        if told:
            budget.note_routers(self.size)
        return budget

    def request(self, number, count):
        for _ in range(count):
            self.budgets[number].note_request("portal")
            self.requests.append(self.clock.monotonic_ms())

    def fail(self, number, count):
        for _ in range(count):
            if self.budgets[number].take("portal").allowed:
                self.repeats.append(self.clock.monotonic_ms())

    def worst(self):
        """Return by how much the repeats of some window exceed what it allows."""
        worst = -POLICY.slack
        for end in self.repeats:
            begin = end - POLICY.window_ms
            repeats = sum(1 for at in self.repeats if begin < at <= end)
            counts = [
                sum(1 for at in self.requests if begin - shift < at <= end - shift)
                for shift in (0, POLICY.window_ms / 2, POLICY.window_ms)
            ]
            worst = max(worst, repeats - POLICY.ratio * max(counts) - POLICY.slack)
        return worst


@given("routers that share a retry budget")
def routers(context):
    context.routers = 4


@when("requests and failures come in any order, and routers start again")
def in_any_order(context):
    pass


@when("all of them use their share and start again three times in one window")
def restarts(context):
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(4):
        for number in range(context.routers):
            fleet.request(number, 20)
            fleet.fail(number, 200)
            fleet.budgets[number] = fleet.start()
        fleet.clock.advance(POLICY.window_ms / 5)


@when("all use their share and start again twice in one window, and are told nothing")
def restarts_untold(context):
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(3):
        for number in range(context.routers):
            fleet.request(number, 5)
            fleet.fail(number, 200)
            fleet.budgets[number] = fleet.start(told=False)
        fleet.clock.advance(1_000)


@when("all of them start again twenty times in one window, and all requests fail")
def restarts_often(context):
    fleet = context.fleet = Fleet(context.routers)
    for _ in range(20):
        for number in range(context.routers):
            fleet.budgets[number] = fleet.start()
            fleet.request(number, 1)
            fleet.fail(number, 1)
        fleet.clock.advance(POLICY.window_ms / 25)


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
                fleet.clock.advance(size)
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
