"""Steps on bounds that all routers keep together."""

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
from permit_storm import REPLICAS, VALID_MS, PermitStorm

START_MS = 3_000
RATES = (0.05, 0.2, 1.0, 1.1, 5.0, 20.0)
SPAN_MS = 4_000
BOUND = WindowBound(permits=8, window_ms=2_000)
NARROW = WindowBound(permits=2, window_ms=10_000)


@given("{routers:d} routers that share permits")
def so_many(context, routers):
    context.names = [f"front-{number}" for number in range(routers)]


def parts(names, subject, total, share_of_rank, known):
    """Return the permits of all routers together; ``known`` returns what each is told."""
    found = 0
    for own in names:
        shares = RouterShares(own, ManualClock())
        shares.set_routers(*known())
        found += shares.share(subject, total, share_of_rank)
    return found


@then("whatever each knows beyond those that run, their parts come to no more than the permits")
def parts_in_bound(context):
    names = context.names

    @given_any(
        st.integers(0, 2**32),
        st.integers(1, 2_000),
        st.sampled_from([even_share, first_weighted_share]),
    )
    @settings(max_examples=40 if len(names) < 100 else 3)
    def check(seed, total, share_of_rank):
        source = random.Random(seed)

        def drawn():
            gone = [f"gone-{number}" for number in range(source.randrange(9))]
            return [*names, *gone], len(names) + len(gone) + source.randrange(3)

        found = parts(names, source.choice(REPLICAS), total, share_of_rank, drawn)
        assert found <= total, (found, total, share_of_rank)

    check()


@then("where they know each other their parts come to exactly the permits")
def parts_whole(context):
    names = context.names
    for share_of_rank in (even_share, first_weighted_share):
        for total in (1, 2, 5, 14, 500):
            found = parts(names, "i-1", total, share_of_rank, lambda: (names, len(names)))
            assert found == total, (found, total, share_of_rank)


@given("any rate from 0.05 to 500 requests a second")
def any_rate(context):
    context.rates = st.floats(0.05, 500)


@then("its window holds so many permits as make up the rate, two or more")
def window_of_rate(context):
    @given_any(context.rates)
    def check(rate):
        bound = WindowBound.from_rate(rate)
        assert bound.permits >= 2
        assert abs(bound.permits * 1_000 / bound.window_ms - rate) <= 1e-9 * rate
        assert bound.permits == 2 or 1_000 <= bound.window_ms < 2 * SPAN_MS

    check()


@then("no 4 s hold more than one and a half times the rate allows, and 5")
def span_of_rate(context):
    @given_any(context.rates)
    def check(rate):
        bound = WindowBound.from_rate(rate)
        most = bound.permits * (1 + SPAN_MS // bound.window_ms)
        assert most <= 1.5 * rate * SPAN_MS / 1_000 + 5, (rate, most)

    check()


@when("callers press, permits are granted and lost, and routers end, are cut off and suspended")
def storms(context):
    routers = len(context.names)
    steps, seeds = (1_200, 4) if routers < 100 else (400, 1)
    context.storms = [
        PermitStorm(routers, WindowBound.from_rate(rate), seed).play(steps)
        for rate in RATES
        for seed in range(seeds)
    ]


@then("in no window does a replica get more than its permits from routers in contact")
def windows_kept(context):
    assert all(storm.arrivals for storm in context.storms)
    for storm in context.storms:
        most = storm.worst(storm.bound.window_ms, in_contact=True)
        assert most <= storm.bound.permits, (storm.bound, most)


@then("in no window does it get more than twice of them from all")
def windows_of_all(context):
    for storm in context.storms:
        most = storm.worst(storm.bound.window_ms, in_contact=False)
        assert most <= 2 * storm.bound.permits, (storm.bound, most)


class First:
    """The router that ranks first for a replica, which knows the fleet for long."""

    def __init__(self, names):
        self.clock = ManualClock()
        self.names = names
        shares = RouterShares(names[0], self.clock)
        shares.set_routers(names, len(names))
        self.own = shares.top_ranked("i-1")[0]
        self.permits = self.begin()
        self.clock.advance(START_MS + NARROW.window_ms)

    def begin(self):
        shares = RouterShares(self.own, self.clock)
        shares.set_routers(self.names, len(self.names))
        return FleetPermits(shares, self.clock, share_of_rank=first_weighted_share)

    def part(self, bound=BOUND):
        return self.permits.share("i-1", bound)

    def use_all(self, bound=BOUND, gap_ms=0.0):
        for _ in range(self.part(bound)):
            self.permits.acquire("i-1", bound).settle(sent=True)
            self.clock.advance(gap_ms)

    def grant_all(self):
        keys = [("asker", number) for number in range(self.part())]
        for key in keys:
            assert self.permits.grant(key, "i-1", BOUND, max_wait_ms=0, valid_ms=VALID_MS)
        assert self.permits.grant(("asker", 99), "i-1", BOUND, max_wait_ms=0, valid_ms=1) is None
        return keys

    def is_free(self, bound=BOUND):
        return self.permits.ready_in_ms("i-1", bound) == 0


@when("the one that ranks first for a replica starts again")
def first_starts_again(context):
    context.first = First(context.names)
    context.first.use_all()
    context.first.permits = context.first.begin()


@then("it has no permit of it until all have heard of it and a window has passed")
def none_at_start(context):
    first = context.first
    assert not first.is_free()
    first.clock.advance(START_MS + BOUND.window_ms - 1)
    assert not first.is_free()
    first.clock.advance(1)
    assert first.is_free()


@when(
    "the first one has granted all its permits of a replica, and nobody tells what became of them"
)
def all_granted(context):
    context.first = First(context.names)
    context.first.grant_all()


@then("it has one again a window after they have lapsed, and not before")
def free_after_lapse(context):
    first = context.first
    first.clock.advance(VALID_MS + BOUND.window_ms - 1)
    assert not first.is_free()
    first.clock.advance(2)
    assert first.is_free()


@when("the first one has granted all its permits of a replica, and one is given back")
def one_given_back(context):
    context.first = First(context.names)
    keys = context.first.grant_all()
    context.first.permits.settle_grant(keys[0], sent=False)
    context.first.permits.settle_grant(keys[0], sent=False)


@then("it has one again at once, and one alone")
def one_free(context):
    assert context.first.is_free()
    assert context.first.permits.acquire("i-1", BOUND) is not None
    assert not context.first.is_free()


@when("the first one has used all its permits of a replica, and takes one for later")
def one_for_later(context):
    context.first = First(context.names)
    context.first.use_all(gap_ms=10.0)
    assert context.first.permits.acquire("i-1", BOUND) is None
    context.begun_ms = context.first.clock.monotonic_ms() - 10.0 * context.first.part()


@then("that one is ready a window after the oldest use, and the next one after the next use")
def ready_in_order(context):
    first = context.first
    for number in range(3):
        permit = first.permits.acquire("i-1", BOUND, max_wait_ms=BOUND.window_ms)
        assert permit.ready_ms == context.begun_ms + 10.0 * number + BOUND.window_ms, number


@when("the first one has used all its permits of a wide bound, and the bound becomes narrow")
def becomes_narrow(context):
    context.first = First(context.names)
    context.first.use_all()
    context.first.clock.advance(BOUND.window_ms + 1)
    assert context.first.is_free()


@then("it has none until those of the narrow window have passed")
def none_under_narrow(context):
    first = context.first
    left_ms = NARROW.window_ms - BOUND.window_ms
    assert not first.is_free(NARROW)
    first.clock.advance(left_ms - 2)
    assert not first.is_free(NARROW)
    first.clock.advance(2)
    assert first.is_free(NARROW)
