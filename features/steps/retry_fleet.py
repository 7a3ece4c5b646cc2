"""A simulated fleet of routers that share a retry budget."""

from platform_standins import worst_window

from aspengate.clock import ManualClock
from aspengate.retries import RetryPolicy, SharedRetryBudget

POLICY = RetryPolicy(ratio=0.2, slack=54.0, window_ms=10_000)
# How long the operating system may retransmit the data of a dead router.
RETRANSMISSION_MS = 2_000


class Fleet:
    """A fleet of simulated routers.

    ``budgets`` holds the retry budget of each router by number, None for a stopped one.
    ``in_flight`` holds retries that have not arrived yet, as tuples of arrival time, router and
    budget.
    """

    def __init__(self, size):
        self.clock = ManualClock()
        self.size = size
        self.requests, self.retries, self.in_flight = [], [], []
        self.budgets = [None] * size
        for number in range(size):
            self.budgets[number] = self.start(number)
        self.advance(POLICY.window_ms + POLICY.start_ms + 1)

    def clock_of(self, number):
        """Return the clock of a router's machine."""
        return self.clock

    def start(self, number, *, knows_count=True):
        """Return the budget of a new process of a router."""
        budget = SharedRetryBudget(POLICY, self.clock_of(number))
        if knows_count:
            budget.set_router_count(self.size)
        return budget

    def request(self, number, count):
        for _ in range(count):
            self.budgets[number].record_request("portal")
            self.requests.append(self.clock.monotonic_ms())

    def fail(self, number, count, late_ms=0):
        """Have a router retry up to ``count`` times if allowed; they arrive ``late_ms`` later."""
        budget = self.budgets[number]
        for _ in range(count):
            if budget.acquire("portal").allowed:
                self.in_flight.append((self.clock.monotonic_ms() + late_ms, number, budget))
        self.advance(0)

    def advance(self, duration_ms):
        """Advance the clock; retries that are due arrive."""
        last_ms = self.clock.monotonic_ms() + duration_ms
        for due_ms, number, budget in sorted(self.in_flight, key=lambda each: each[0]):
            if due_ms > last_ms:
                continue
            self.in_flight.remove((due_ms, number, budget))
            self.clock.advance(due_ms - self.clock.monotonic_ms())
            self.retries.append(due_ms)
            budget.settle("portal", allowed=1, arrived=1, arrived_ms=due_ms)
        self.clock.advance(last_ms - self.clock.monotonic_ms())

    def kill(self, number):
        """Kill a router; its retries in flight arrive within ``RETRANSMISSION_MS``, or are lost."""
        last_ms = self.clock.monotonic_ms() + RETRANSMISSION_MS
        self.in_flight = [
            each for each in self.in_flight if each[1] != number or each[0] <= last_ms
        ]
        self.budgets[number] = None

    def announce_count(self):
        """Set the router count, including killed routers, in all running routers."""
        for budget in self.budgets:
            if budget is not None:
                budget.set_router_count(self.size)

    def worst_excess(self):
        """Return the excess of retries over the budget in the worst window."""
        policy = {"ratio": POLICY.ratio, "slack": POLICY.slack, "window": POLICY.window_ms}
        return worst_window(self.retries, self.requests, **policy)[0]
