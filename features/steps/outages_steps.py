"""Steps on outages of the store and the reserve that is kept for them."""

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.allowances import AllocationState, AllowanceSizing, Demand
from aspengate.clock import ManualClock
from aspengate.store import OutageHistory

BEAT_MS = 250


def beats(context, seconds, *, answered):
    for _ in range(int(seconds * 1_000 / BEAT_MS)):
        context.history.record(answered=answered)
        context.clock.advance(BEAT_MS)


@given("a router that has seen no outage of the store")
def none_seen(context):
    context.clock = ManualClock()
    context.history = OutageHistory(context.clock)
    beats(context, 20, answered=True)


@when("the store answers nobody for {seconds:d} seconds and is back")
def outage(context, seconds):
    beats(context, seconds, answered=False)
    context.history.record(answered=True)


@when("{pause:d} seconds later it answers nobody for {seconds:d} seconds and is back")
def another(context, pause, seconds):
    beats(context, pause, answered=True)
    outage(context, seconds)


@when("{seconds:d} seconds have passed")
def passed(context, seconds):
    beats(context, seconds, answered=True)


@then("an outage of {seconds:d} seconds is kept for, from a full calm of {calm:d} seconds on")
def kept_for(context, seconds, calm):
    forecast = context.history.forecast
    assert forecast.length_ms == seconds * 1_000, forecast
    assert forecast.readiness == 0.0, forecast
    beats(context, calm, answered=True)
    assert context.history.forecast.readiness == 1.0


@then("no outage is kept for")
def none_kept(context):
    assert context.history.forecast.length_ms == 0.0


@then("the reserve is half of what it will be")
def half(context):
    assert context.history.forecast.readiness == 0.5, context.history.forecast


@given(
    "an account of {limit:d} tokens of which {unheld:d} are held by nobody, "
    "and {rate:d} used a second"
)
def account(context, limit, unheld, rate):
    context.demand = Demand(
        committed=limit - unheld, waiting=0, per_second=rate, request_size=5_000
    )
    context.limit, context.unheld = limit, unheld


@when("an outage of {seconds:d} seconds was seen {ago:d} seconds ago")
def seen_ago(context, seconds, ago):
    holding = AllocationState(
        context.limit,
        context.unheld,
        routers=68,
        share=1.0,
        outage_ms=seconds * 1_000,
        readiness=min(1.0, ago / 10),
    )
    context.reserve = AllowanceSizing().reserve(context.demand, holding)


@then("the reserve is between {least:d} and {most:d} tokens")
def between(context, least, most):
    assert least <= context.reserve <= most, context.reserve


@when("reserves are sized for any demand, holding and outage")
def any_reserve(context):
    whole = st.integers(0, 10**7)
    part = st.floats(0, 1)

    @settings(max_examples=300)
    @given_any(whole, whole, whole, part, part, st.floats(0, 60_000), st.integers(0, 300))
    def check(rate, limit, unheld, used_part, readiness, outage_ms, lost):
        sizing = AllowanceSizing()
        unheld = min(unheld, limit)
        demand = Demand(limit - unheld, 0, float(rate), 1_000)
        holding = AllocationState(limit, unheld, 68, used_part, lost, outage_ms, readiness)
        most = max(sizing.outage_fraction, sizing.demand_fraction, sizing.equal_share_fraction)
        assert 0 <= sizing.reserve(demand, holding) <= unheld * most

    context.check = check


@then("none is negative or above that part")
def bounded(context):
    context.check()
