"""Steps for rate limits that all routers keep together."""

import random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.clock import ManualClock
from aspengate.fleet_permits import (
    FleetPermits,
    RouterShares,
    WindowBound,
    even_share,
    first_weighted_share,
)
from machine_clock import MachineClock
from permit_simulation import REPLICAS, VALID_MS, PermitSimulation

START_MS = 3_000
RATES = (0.05, 0.2, 1.0, 1.1, 5.0, 20.0)
SPAN_MS = 4_000
BOUND = WindowBound(permits=8, window_ms=2_000)
NARROW = WindowBound(permits=2, window_ms=10_000)


@given("{routers:d} routers that share permits")
def routers_with_permits(context, routers):
    context.names = [f"front-{number}" for number in range(routers)]


def sum_of_shares(names, subject, total, share_of_rank, known):
    """Return the sum of all routers' shares; ``known`` returns each router's names and count."""
    shared = 0
    for own in names:
        shares = RouterShares(own, ManualClock())
        shares.set_routers(*known())
        shared += shares.share(subject, total, share_of_rank)
    return shared


@then("the shares add up to at most the permits, whatever stopped routers each router counts")
def shares_within_permits(context):
    names = context.names

    @given_any(
        st.integers(0, 2**32),
        st.integers(1, 2_000),
        st.sampled_from([even_share, first_weighted_share]),
    )
    @settings(max_examples=40 if len(names) < 100 else 3)
    def check(seed, total, share_of_rank):
        source = random.Random(seed)

        def draw_known():
            gone = [f"gone-{number}" for number in range(source.randrange(9))]
            return [*names, *gone], len(names) + len(gone) + source.randrange(3)

        shared = sum_of_shares(names, source.choice(REPLICAS), total, share_of_rank, draw_known)
        assert shared <= total, (shared, total, share_of_rank)

    check()


@then("the shares add up to exactly the permits if all routers are aware of each other")
def shares_equal_permits(context):
    names = context.names
    for share_of_rank in (even_share, first_weighted_share):
        for total in (1, 2, 5, 14, 500):
            shared = sum_of_shares(names, "i-1", total, share_of_rank, lambda: (names, len(names)))
            assert shared == total, (shared, total, share_of_rank)


@given("any rate from 0.05 to 500 requests per second")
def any_rate(context):
    context.rates = st.floats(0.05, 500)


@then("the window holds the permits of that rate, and at least two")
def window_holds_rate(context):
    @given_any(context.rates)
    def check(rate):
        bound = WindowBound.from_rate(rate)
        assert bound.permits >= 2
        assert abs(bound.permits * 1_000 / bound.window_ms - rate) <= 1e-9 * rate
        assert bound.permits == 2 or 1_000 <= bound.window_ms < 2 * SPAN_MS

    check()


@then("any 4 s allow at most 1.5 times the rate, plus 5 requests")
def span_within_rate(context):
    @given_any(context.rates)
    def check(rate):
        bound = WindowBound.from_rate(rate)
        max_requests = bound.permits * (1 + SPAN_MS // bound.window_ms)
        assert max_requests <= 1.5 * rate * SPAN_MS / 1_000 + 5, (rate, max_requests)

    check()


@when(
    "they send and grant permits while messages get lost, "
    "and routers restart, are partitioned and suspended"
)
def run_simulations(context):
    routers = len(context.names)
    steps, seeds = (1_200, 4) if routers < 100 else (400, 1)
    context.simulations = [
        PermitSimulation(routers, WindowBound.from_rate(rate), seed).run(steps)
        for rate in RATES
        for seed in range(seeds)
    ]


@then("no replica receives more requests from connected routers in a window than it has permits")
def windows_of_connected(context):
    assert all(simulation.arrivals for simulation in context.simulations)
    for simulation in context.simulations:
        most = simulation.max_in_span(simulation.bound.window_ms, connected_only=True)
        assert most <= simulation.bound.permits, (simulation.bound, most)


@then("no replica receives more than twice as many from all routers")
def windows_of_all(context):
    for simulation in context.simulations:
        most = simulation.max_in_span(simulation.bound.window_ms, connected_only=False)
        assert most <= 2 * simulation.bound.permits, (simulation.bound, most)


class FirstRouter:
    """The router that ranks first for a replica, and has known the other routers long enough."""

    def __init__(self, names):
        self.clock = ManualClock()
        self.names = names
        shares = RouterShares(names[0], self.clock)
        shares.set_routers(names, len(names))
        self.own = shares.top_ranked("i-1")[0]
        self.permits = self.start()
        self.clock.advance(START_MS + NARROW.window_ms)

    def start(self):
        """Return the permits of a process of this router that has just started."""
        shares = RouterShares(self.own, self.clock)
        shares.set_routers(self.names, len(self.names))
        return FleetPermits(shares, self.clock, share_of_rank=first_weighted_share)

    def share(self, bound=BOUND):
        return self.permits.share("i-1", bound)

    def use_all(self, bound=BOUND, gap_ms=0.0):
        for _ in range(self.share(bound)):
            self.permits.acquire("i-1", bound).settle(sent=True)
            self.clock.advance(gap_ms)

    def grant_all(self):
        keys = [("asker", number) for number in range(self.share())]
        for key in keys:
            assert self.permits.grant(key, "i-1", BOUND, max_wait_ms=0, valid_ms=VALID_MS)
        assert self.permits.grant(("asker", 99), "i-1", BOUND, max_wait_ms=0, valid_ms=1) is None
        return keys

    def has_permit(self, bound=BOUND):
        return self.permits.ready_in_ms("i-1", bound) == 0


@when("the router that ranks first for a replica restarts")
def first_restarts(context):
    context.first = FirstRouter(context.names)
    context.first.use_all()
    context.first.permits = context.first.start()


@then("it has no permit until all routers are aware of it and a window has passed")
def no_permit_at_start(context):
    first = context.first
    assert not first.has_permit()
    first.clock.advance(START_MS + BOUND.window_ms - 1)
    assert not first.has_permit()
    first.clock.advance(1)
    assert first.has_permit()


@when("the router that ranks first restarts, and its machine is suspended for {seconds:d} s")
def first_suspended(context, seconds):
    first = context.first = FirstRouter(context.names)
    first.use_all()
    first.clock = MachineClock(first.clock)
    first.permits = first.start()
    first.clock.suspend(seconds * 1_000)
    first.clock.advance(seconds * 1_000)


@when("the first router has granted all its permits for a replica, and none of them is settled")
def all_granted(context):
    context.first = FirstRouter(context.names)
    context.first.grant_all()


@then("it has a permit again a window after they expire, and not earlier")
def permit_after_expiry(context):
    first = context.first
    first.clock.advance(VALID_MS + BOUND.window_ms - 1)
    assert not first.has_permit()
    first.clock.advance(2)
    assert first.has_permit()


@when("the first router has granted all its permits for a replica, and one of them is returned")
def one_returned(context):
    context.first = FirstRouter(context.names)
    keys = context.first.grant_all()
    context.first.permits.settle_grant(keys[0], sent=False)
    context.first.permits.settle_grant(keys[0], sent=False)


@then("exactly one permit is available at once")
def one_available(context):
    assert context.first.has_permit()
    assert context.first.permits.acquire("i-1", BOUND) is not None
    assert not context.first.has_permit()


@when("the first router has used all its permits for a replica, and acquires more in advance")
def acquires_in_advance(context):
    context.first = FirstRouter(context.names)
    context.first.use_all(gap_ms=10.0)
    assert context.first.permits.acquire("i-1", BOUND) is None
    context.first_use_ms = context.first.clock.monotonic_ms() - 10.0 * context.first.share()


@then("each of these is ready a window after the next oldest use")
def ready_in_order(context):
    first = context.first
    for number in range(3):
        permit = first.permits.acquire("i-1", BOUND, max_wait_ms=BOUND.window_ms)
        assert permit.ready_ms == context.first_use_ms + 10.0 * number + BOUND.window_ms, number


@when("the first router has used all its permits of a wide bound, and the bound becomes narrow")
def becomes_narrow(context):
    context.first = FirstRouter(context.names)
    context.first.use_all()
    context.first.clock.advance(BOUND.window_ms + 1)
    assert context.first.has_permit()


@then("it has no permit until the uses are older than the narrow bound's window")
def no_permit_under_narrow(context):
    first = context.first
    left_ms = NARROW.window_ms - BOUND.window_ms
    assert not first.has_permit(NARROW)
    first.clock.advance(left_ms - 2)
    assert not first.has_permit(NARROW)
    first.clock.advance(2)
    assert first.has_permit(NARROW)
