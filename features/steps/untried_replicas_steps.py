"""Steps on the trials of replicas that were never or not recently observed."""

from types import SimpleNamespace

from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.replicas import (
    Candidate,
    PromptShape,
    Replica,
    ReplicaChooser,
    ReplicaView,
    SegmentTracker,
)
from plain_fleet import HERE, FakeReplica, PlainFleet

USUAL_MS = 20.0
FAST_MS = 5.0
SLOW_MS = 200.0
THERE = "there"
# The engine "holder" comes first in the ranking of this segment.
SEGMENT = "manual"


def usual(count, prefix="usual", domain=HERE, response_ms=USUAL_MS):
    return [FakeReplica(f"{prefix}-{n}", response_ms, domain) for n in range(count)]


def mean(values):
    return sum(values) / len(values)


def share(context, name):
    return context.counts[name] / context.counts.total()


@given("four replicas that take 20 ms and a fifth one that takes 5 ms")
def four_and_fast(context):
    context.replicas = [*usual(4), FakeReplica("fifth", FAST_MS)]


@given("four replicas that take 20 ms and one of another failure domain that takes 5 ms")
def four_and_fast_elsewhere(context):
    context.replicas = [*usual(4), FakeReplica("fifth", FAST_MS, THERE)]


@given("four replicas that take 20 ms and ten of another failure domain that take 22 ms")
def four_and_ten_elsewhere(context):
    context.replicas = [*usual(4), *usual(10, "far", THERE, 22.0)]


@given("five replicas that take 20 ms")
def five_equal(context):
    context.replicas = usual(5)


@when("a router sends {rate:d} requests a second for {seconds:d} s")
@when("{routers:d} routers send {rate:d} requests a second each for {seconds:d} s")
def send_requests(context, rate, seconds, routers=1):
    context.model = PlainFleet(context.replicas, routers=routers, per_second=rate)
    context.counts = context.model.run(seconds * 1_000)


@then("the fifth replica gets more than a fifth of the requests")
def fifth_is_used(context):
    assert share(context, "fifth") > 0.2, context.counts


@then("fewer than one request in fifty goes to the other failure domain")
def few_leave(context):
    left = sum(n for name, n in context.counts.items() if name.startswith("far"))
    assert left < context.counts.total() / 50, context.counts


@then("each replica gets at least a tenth of the requests")
def none_starved(context):
    shares = {each.name: share(context, each.name) for each in context.replicas}
    assert min(shares.values()) >= 0.1, shares


@given("two replicas in use, and two of a failure domain that was evacuated for 20 s")
def evacuated_domain(context):
    context.evacuated = usual(2, "evacuated")
    context.model = PlainFleet([*usual(2), *context.evacuated], per_second=40)
    context.model.run(10_000)
    for replica in context.evacuated:
        replica.is_ready = False
    context.model.run(20_000)


@when("the failure domain reopens and a router sends 40 requests a second for 8 s")
def reopen(context):
    for replica in context.evacuated:
        replica.is_ready = True
    context.counts = context.model.run(8_000)


@then("each of its replicas gets at least a tenth of the requests")
def evacuated_is_used(context):
    assert all(share(context, each.name) >= 0.1 for each in context.evacuated), context.counts


@given("four replicas that take 20 ms and a fifth one that is ten times slower for 30 s")
def slow_fifth(context):
    context.slow = FakeReplica("fifth", SLOW_MS)


@when(
    "the fifth replica is as fast as the others and {routers:d} routers send {rate:d} requests"
    " a second each for 60 s"
)
def fifth_recovers(context, routers, rate):
    context.model = PlainFleet([*usual(4), context.slow], routers=routers, per_second=rate)
    counts = context.model.run(30_000)
    assert counts["fifth"] < 0.05 * counts.total() + routers, counts
    context.slow.response_ms = USUAL_MS
    context.model.run(60_000)


@then("in the next 20 s the fifth replica gets at least a tenth of the requests")
def fifth_is_used_again(context):
    context.counts = context.model.run(20_000)
    assert share(context, "fifth") >= 0.1, context.counts


@given("four replicas in use at 20 routers with {rate:d} requests a second each")
def four_in_use(context, rate):
    context.model = PlainFleet(usual(4), routers=20, per_second=rate)
    context.model.run(10_000)
    context.before_ms = mean(context.model.totals)
    context.model.totals.clear()


@when("a replica is added that {behaviour}")
def add_bad_replica(context, behaviour):
    bad = FakeReplica("bad", USUAL_MS)
    match behaviour:
        case "is silent":
            bad.silent = True
        case "fails each request":
            bad.fails = True
        case "takes ten times as long":
            bad.response_ms = SLOW_MS
        case _:
            raise ValueError(behaviour)
    context.model.add(bad)


@when("50 requests choose a replica before any of them has begun")
def choose_together(context):
    router, now_ms = context.model.routers[0], context.model.now_ms
    views = list(router.views.values())
    context.chosen = [
        router.chooser.choose(views, PromptShape(), number / 50, now_ms).view.identity
        for number in range(50)
    ]


@then("one of them goes to the new replica")
def one_goes_there(context):
    assert context.chosen.count("bad") == 1, context.chosen


@then("in 60 s no router has two requests in flight there")
def one_in_flight(context):
    context.model.run(60_000)
    context.tried = [sent for sent in context.model.sent if sent.replica == "bad"]
    assert context.tried, "the new replica was never tried"
    assert not [sent for sent in context.tried if sent.in_flight], context.tried


@then("it gets fewer than 8 requests from each router")
def few_requests(context):
    routers = {sent.router for sent in context.tried}
    counts = {name: sum(sent.router == name for sent in context.tried) for name in routers}
    assert max(counts.values()) < 8, counts


@then("all requests together take at most {factor:g} times as long as without it")
def little_cost(context, factor):
    after_ms = mean(context.model.totals)
    assert after_ms <= factor * context.before_ms, (after_ms, context.before_ms)


@given("four replicas that take 20 ms and ten that take 200 ms")
def ten_slow(context):
    context.replicas = [*usual(4), *usual(10, "slow", HERE, SLOW_MS)]


@when("all have been tried by 20 routers and requests continue for 120 s")
def send_after_first_trials(context):
    context.model = PlainFleet(context.replicas, routers=20, per_second=2)
    context.model.run(60_000)
    context.model.totals.clear()
    context.model.run(120_000)


@then("all requests together take at most 1.15 times as long as without the slow ones")
def trials_cost_little(context):
    without = PlainFleet(usual(4), routers=20, per_second=2)
    without.run(120_000)
    found = (mean(context.model.totals), mean(without.totals))
    assert found[0] <= 1.15 * found[1], found


def engine(name):
    return ReplicaView(Replica(name, "model", "10.0.0.1:80", HERE, 64))


@given("an engine that was three times slower than expected")
def slow_engine(context):
    context.engine = engine("engine")
    context.now_ms = 1_000.0
    for _ in range(40):
        work = context.engine.begin(context.now_ms, 100.0)
        context.now_ms += 300.0
        context.engine.record_first_response(work, 100.0, context.now_ms)
        context.engine.end(work, context.now_ms)


@then("its slowness is unchanged after 10 s and close to 1 after 3 min without first tokens")
def slowness_ages(context):
    last = context.engine.slowness
    assert last > 2.9, last
    assert context.engine.slowness_at(context.now_ms + 10_000) == last
    assert abs(context.engine.slowness_at(context.now_ms + 180_000) - 1.0) < 0.05


@given("an engine in use that holds a shared segment, and an engine that was never used")
def holder_and_untried(context):
    context.chooser = ReplicaChooser(SegmentTracker(), HERE)
    context.holder, context.untried = engine("holder"), engine("untried")
    context.now_ms = 1_000.0
    context.prompt = PromptShape(((SEGMENT, 2_000),), 100)
    for _ in range(5):
        context.chooser.segments.record_sent(SEGMENT, "holder", context.now_ms)
        candidate = context.chooser.choose([context.holder], context.prompt, 0.0, context.now_ms)
        work = context.holder.begin(context.now_ms, candidate.tokens)
        context.now_ms += 1.5 * candidate.first_ms
        context.chooser.record_first_response(candidate, work, context.now_ms)
        context.holder.end(work, context.now_ms)


@when("further requests with this segment are placed while one is in flight")
def place_with_segment(context):
    context.holder.begin(context.now_ms, 100.0)
    views = [context.untried, context.holder]
    context.placed = [
        context.chooser.choose(views, context.prompt, tie, context.now_ms + after_ms).view
        for tie in (0.0, 0.9)
        for after_ms in (0.0, 500.0)
    ]


@then("all of them go to the engine that holds the segment")
def stays_at_holder(context):
    assert set(context.placed) == {context.holder}, context.placed


class UnreachablePool:
    """A pool without idle connections; opening one takes ``connect_ms`` and fails."""

    def __init__(self, clock, connect_ms):
        self.clock = clock
        self.connect_ms = connect_ms

    def acquire(self, incarnation):
        return None

    def open(self, address, timeout_ms):
        self.clock.advance(self.connect_ms)
        raise AspengateError(ErrorKind.NO_UPSTREAM, "no connection", where=address)


@given("a replica that has {history}, and connecting to it {failure}")
def unreachable(context, history, failure):
    context.clock = ManualClock()
    context.view = engine("new")
    if history == "responded":
        work = context.view.begin(context.clock.monotonic_ms(), 0.0)
        context.view.record_first_response(work, 20.0, context.clock.monotonic_ms())
        context.view.end(work, context.clock.monotonic_ms())
    context.pool = UnreachablePool(context.clock, 1_000.0 if failure == "takes 1 s" else 0.0)


@when("an attempt is made there")
def attempt(context):
    exchange = SimpleNamespace(
        known_route=SimpleNamespace(max_gap_ms=0.0),
        waiter=SimpleNamespace(check_caller=lambda: None, remaining_ms=5_000.0),
    )
    dependencies = AttemptDependencies(None, context.pool, context.clock, None, None)
    attempt = Attempt(dependencies, exchange, Candidate(context.view, 0.0), None, None, "run")
    try:
        attempt.send("")
    except RetryableAttemptError:
        return
    raise AssertionError("the attempt reached the replica")


@then("it is avoided for {seconds:d} s")
def is_avoided_for(context, seconds):
    left_ms = context.view.avoid_until_ms - context.clock.monotonic_ms()
    assert left_ms == seconds * 1_000, left_ms
