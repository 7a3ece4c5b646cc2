"""Steps on outages of the store and the token reserves that cover them."""

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.allowances import AllocationState, AllowanceSizing, Demand
from aspengate.clock import ManualClock
from aspengate.store import OutageHistory

INTERVAL_MS = 250


def record_for(context, seconds, *, answered):
    for _ in range(int(seconds * 1_000 / INTERVAL_MS)):
        context.history.record(answered=answered)
        context.clock.advance(INTERVAL_MS)


@given("a router that has seen no outage of the store")
def no_outage_seen(context):
    context.clock = ManualClock()
    context.history = OutageHistory(context.clock)
    record_for(context, 20, answered=True)


@when("the store answers no router for {seconds:d} seconds and then recovers")
def outage(context, seconds):
    record_for(context, seconds, answered=False)
    context.history.record(answered=True)


@when("{pause:d} seconds later it answers no router for {seconds:d} seconds and then recovers")
def another_outage(context, pause, seconds):
    record_for(context, pause, answered=True)
    outage(context, seconds)


@when("{seconds:d} seconds have passed")
def time_passes(context, seconds):
    record_for(context, seconds, answered=True)


@then("the reserve covers an outage of {seconds:d} seconds, in full after {calm:d} seconds of calm")
def reserve_covers(context, seconds, calm):
    forecast = context.history.forecast
    assert forecast.length_ms == seconds * 1_000, forecast
    assert forecast.readiness == 0.0, forecast
    record_for(context, calm, answered=True)
    assert context.history.forecast.readiness == 1.0


@then("the reserve covers no outage")
def reserve_covers_none(context):
    assert context.history.forecast.length_ms == 0.0


@then("the reserve is at half its full size")
def half_ready(context):
    assert context.history.forecast.readiness == 0.5, context.history.forecast


@given(
    "an account of {limit:d} tokens of which {unallocated:d} are unallocated, "
    "and {rate:d} are used per second"
)
def account_with_demand(context, limit, unallocated, rate):
    context.demand = Demand(
        committed=limit - unallocated, waiting=0, per_second=rate, request_size=5_000
    )
    context.limit, context.unallocated = limit, unallocated


@when("an outage of {seconds:d} seconds ended {ago:d} seconds ago")
def outage_ended_ago(context, seconds, ago):
    allocation = AllocationState(
        context.limit,
        context.unallocated,
        routers=68,
        share=1.0,
        outage_ms=seconds * 1_000,
        readiness=min(1.0, ago / 10),
    )
    context.reserve = AllowanceSizing().reserve(context.demand, allocation)


@then("the reserve is between {min_tokens:d} and {max_tokens:d} tokens")
def reserve_between(context, min_tokens, max_tokens):
    assert min_tokens <= context.reserve <= max_tokens, context.reserve


@when("reserves are sized for any demand, allocation and outage")
def generated_reserves(context):
    tokens = st.integers(0, 10**7)
    fraction = st.floats(0, 1)

    @settings(max_examples=300)
    @given_any(
        tokens, tokens, tokens, fraction, fraction, st.floats(0, 60_000), st.integers(0, 300)
    )
    def check(rate, limit, unheld, used_fraction, readiness, outage_ms, lost):
        sizing = AllowanceSizing()
        unheld = min(unheld, limit)
        demand = Demand(limit - unheld, 0, float(rate), 1_000)
        holding = AllocationState(limit, unheld, 68, used_fraction, lost, outage_ms, readiness)
        max_share = max(sizing.outage_fraction, sizing.demand_fraction, sizing.equal_share_fraction)
        assert 0 <= sizing.reserve(demand, holding) <= unheld * max_share

    context.check = check


@then("none is negative or exceeds that share")
def reserves_bounded(context):
    context.check()
