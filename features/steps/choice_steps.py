"""Steps on the choice of a replica, with engines of generated speeds."""

import math
import random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.replicas import (
    FirstTokenModel,
    PauseModel,
    PromptShape,
    Replica,
    ReplicaChooser,
    ReplicaView,
    SegmentTracker,
)

GAP_AIM_MS = 300.0
STEP_MS = 20.0
EVENTS = 40


def view(name):
    return ReplicaView(Replica(name, "model", f"10.0.0.1:{len(name)}", "here", 64))


def chooser():
    return ReplicaChooser(SegmentTracker(), "here")


def run_stream(replica, now_ms, interval_ms, pause_ms=0.0, events=EVENTS):
    """Simulate a stream with one pause in its middle; return its end time in ms."""
    work = replica.begin(now_ms, 0.0, GAP_AIM_MS)
    for number in range(events):
        now_ms += pause_ms if number == events // 2 and pause_ms else interval_ms
        replica.record_event(work, now_ms)
    replica.end(work, now_ms)
    return now_ms


@given("engines of any speed, up to three times slower or faster than known ones")
def any_speed(context):
    context.speeds = st.tuples(st.floats(0.004, 0.2), st.floats(5.0, 300.0))


@when("prompts of many sizes have been read")
def many_sizes(context):
    def fit_model(speed, seed):
        ms_per_token, base_ms = speed
        source = random.Random(seed)
        model = FirstTokenModel()
        for _ in range(300):
            tokens = source.choice([200, 800, 3_000, 9_000]) * source.uniform(0.7, 1.3)
            model.record(tokens, (base_ms + ms_per_token * tokens) * source.uniform(0.9, 1.1))
        return model

    context.fit_model = fit_model


@then("the expected times to first token are close to the true ones")
def close_to_truth(context):
    @settings(max_examples=100)
    @given_any(context.speeds, st.integers(0, 1_000))
    def check(speed, seed):
        ms_per_token, base_ms = speed
        model = context.fit_model(speed, seed)
        for tokens in (500, 5_000, 10_000):
            truth = base_ms + ms_per_token * tokens
            expected = model.base_ms + model.ms_per_token * tokens
            assert abs(expected - truth) < 0.25 * truth + 10, (expected, truth)

    check()


@given("a fast and a slow engine with streams, of which a long prompt delays the slow one too long")
def fast_and_slow(context):
    context.chooser = chooser()
    context.fast, context.slow = view("fast"), view("slow")
    context.intervals = {context.fast: STEP_MS, context.slow: 1.3 * STEP_MS}
    context.now_ms = 1_000.0
    for replica, interval_ms in context.intervals.items():
        for _ in range(5):
            context.now_ms = run_stream(replica, context.now_ms, interval_ms)


@when("each engine has read several long prompts")
def long_prompts(context):
    prompt = PromptShape((), 10_000, GAP_AIM_MS)
    for _ in range(3):
        for replica, interval_ms in context.intervals.items():
            beside = replica.begin(context.now_ms, 0.0, 10 * GAP_AIM_MS)
            replica.record_event(beside, context.now_ms)
            candidate = context.chooser.choose([replica], prompt, 0.0, context.now_ms)
            reading = replica.begin(context.now_ms, candidate.tokens, GAP_AIM_MS)
            context.now_ms += 13 * interval_ms
            replica.record_event(beside, context.now_ms)
            context.chooser.record_first_response(candidate, reading, context.now_ms)
            replica.end(reading, context.now_ms)
            replica.end(beside, context.now_ms)
    for replica in context.intervals:
        replica.slowness = 1.0
    context.running = []
    for replica, interval_ms in context.intervals.items():
        work = replica.begin(context.now_ms, 0.0, GAP_AIM_MS)
        replica.record_event(work, context.now_ms)
        replica.record_event(work, context.now_ms + interval_ms)
        context.running.append(work)


def choose_long(context):
    prompt = PromptShape((), 10_000, GAP_AIM_MS)
    views = [context.slow, context.fast]
    return context.chooser.choose(views, prompt, 0.0, context.now_ms)


@then("another long prompt goes to the fast engine")
def goes_to_fast(context):
    found = choose_long(context)
    assert found.view is context.fast, (found.cost_ms, found.harm_ms)
    assert found.harm_ms == 0.0, found


@then("the slow engine costs nothing extra once its streams have exceeded their allowed pause")
def no_extra_cost(context):
    context.slow.record_event(context.running[1], context.now_ms + 10 * GAP_AIM_MS)
    alone = context.chooser.choose(
        [context.slow], PromptShape((), 10_000, GAP_AIM_MS), 0.0, context.now_ms
    )
    assert alone.harm_ms == 0.0, alone


@given("two engines that differ only in the pauses of their streams")
def differ_in_pauses(context):
    context.chooser = chooser()
    context.in_time, context.late = view("calm"), view("jerky")
    context.now_ms = 1_000.0
    for _ in range(10):
        run_stream(context.in_time, context.now_ms, STEP_MS, pause_ms=GAP_AIM_MS - 50)
        ended_ms = run_stream(context.late, context.now_ms, STEP_MS, pause_ms=GAP_AIM_MS + 50)
        context.now_ms = ended_ms


@when("a stream is placed")
def stream_is_placed(context):
    context.prompt = PromptShape((), 500, GAP_AIM_MS)


@then("it goes to the engine without late pauses, until those of the other engine are long past")
def goes_to_engine_without_late_pauses(context):
    views = [context.late, context.in_time]
    for tie in (0.0, 0.9):
        found = context.chooser.choose(views, context.prompt, tie, context.now_ms)
        assert found.view is context.in_time
    later_ms = context.now_ms + 600_000
    costs = [context.chooser.choose([each], context.prompt, 0.0, later_ms) for each in views]
    assert abs(costs[0].cost_ms - costs[1].cost_ms) < 1.0, costs


@when("any times to first token and pauses are recorded in any order")
def any_samples(context):
    context.samples = st.lists(st.tuples(st.floats(0, 1e6), st.floats(0, 1e6)), max_size=30)


@then("every estimate is a finite time of zero or more")
def estimates_are_finite(context):
    @settings(max_examples=200)
    @given_any(context.samples)
    def check(samples):
        reading, pauses = FirstTokenModel(), PauseModel()
        for tokens, time_ms in samples:
            reading.record(tokens, time_ms)
            pauses.record(tokens, time_ms, STEP_MS)
        for tokens in (0.0, 1.0, 1e6):
            expected = reading.base_ms + reading.ms_per_token * tokens
            assert math.isfinite(expected) and expected >= 0
            assert 0 <= pauses.expected_ms(tokens, STEP_MS) < math.inf

    check()
