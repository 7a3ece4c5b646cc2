"""Steps on the choice of a replica by region, with a simulated router."""

import heapq
import random
from collections import Counter

import xxhash
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.replicas import (
    PromptShape,
    RegionCosts,
    Replica,
    ReplicaChooser,
    ReplicaView,
    SegmentTracker,
)
from aspengate.replicas._region_return import RegionReturn
from aspengate.topology import Topology

EAST, WEST = "hall-1", "hall-2"
LINK_MS = 16.0


class Simulation:
    """One router in hall-1 that sends plain requests to replicas in three failure domains."""

    def __init__(self):
        topology = Topology(EAST, "east", {EAST: "east", "hall-3": "east", WEST: "west"})
        self.regions = RegionCosts(topology)
        self.chooser = ReplicaChooser(SegmentTracker(), EAST, regions=self.regions)
        domains = (EAST, EAST, "hall-3", WEST, WEST, WEST)
        self.views = [
            ReplicaView(Replica(f"i-{number}", "portal", "10.0.0.1:1", domain, 8))
            for number, domain in enumerate(domains)
        ]
        self.random = random.Random(1)
        self.now_ms = 100_000.0
        self.running = []
        self.sent = []
        self.fault = None
        self.busy_until_ms = Counter()
        self.durations = []

    def in_east(self, view):
        return not self.regions.is_other_region(view.replica.failure_domain)

    def run(self, seconds, per_second=100):
        for _ in range(round(seconds * per_second)):
            self.now_ms += 1_000 / per_second
            self._end_due()
            self._send()

    def _send(self):
        is_closed = self.fault == "are unavailable"
        views = [each for each in self.views if not (is_closed and self.in_east(each))]
        candidate = self.chooser.choose(views, PromptShape(), self.random.random(), self.now_ms)
        view = candidate.view
        in_east = self.in_east(view)
        self.sent.append((self.now_ms, view.replica.failure_domain, in_east))
        if not in_east:
            self.regions.record_connect(view.replica.failure_domain, LINK_MS, self.now_ms)
        work_ms = 400.0 if in_east and self.fault == "take 400 ms" else 20.0
        if in_east and self.fault == "handle 50 a second":
            started_ms = max(self.now_ms, self.busy_until_ms[view.identity])
            self.busy_until_ms[view.identity] = started_ms + 60
            work_ms = started_ms + 60 - self.now_ms
        self.durations.append((self.now_ms, work_ms))
        fails = in_east and self.fault == "fail"
        work = view.begin(self.now_ms, 0.0)
        end_ms = self.now_ms + work_ms + (0.0 if in_east else LINK_MS)
        heapq.heappush(self.running, (end_ms, work.number, view, work, work_ms, fails))

    def _end_due(self):
        while self.running and self.running[0][0] <= self.now_ms:
            end_ms, _, view, work, work_ms, fails = heapq.heappop(self.running)
            view.end(work, end_ms)
            if fails:
                view.record_failure(end_ms)
            else:
                view.record_success(end_ms, work_ms)

    def east_share(self, from_ms, to_ms):
        found = [in_east for at_ms, _, in_east in self.sent if from_ms <= at_ms < to_ms]
        return sum(found) / len(found)


@given("three replicas in east and three in west, 16 ms away, that respond in 20 ms")
def simulated_regions(context):
    context.simulation = Simulation()


@when("100 requests a second are sent from east for 5 s")
def send_for_five_seconds(context):
    context.simulation.run(5)


@then("at least {percent:d} % of the last 2 s are served in the own failure domain")
def check_own_domain(context, percent):
    sent = context.simulation.sent[-200:]
    own = sum(domain == EAST for _, domain, _ in sent)
    assert own / len(sent) >= percent / 100, own


@when("20 connections to west take 16 ms, some with a lost packet")
def connect_to_west(context):
    simulation = context.simulation
    for number in range(20):
        lost_ms = 200.0 if number % 7 == 3 else 0.0
        simulation.regions.record_connect(WEST, LINK_MS + lost_ms, simulation.now_ms)


@then("another region costs from {low:g} to {high:g} ms more than the own failure domain")
def check_cost(context, low, high):
    regions, now = context.simulation.regions, context.simulation.now_ms
    assert low <= regions.cost(WEST, now).total_ms <= high, regions.cost(WEST, now).total_ms
    assert regions.cost(EAST, now).total_ms == 0.0 and regions.cost("hall-3", now).total_ms == 2.0


@then("after connections that take 80 ms it costs more than 60 ms more, and after 60 s idle less")
def check_ageing(context):
    regions, now = context.simulation.regions, context.simulation.now_ms
    for _ in range(20):
        regions.record_connect(WEST, 80.0, now)
    assert regions.cost(WEST, now).total_ms > 60.0, regions.cost(WEST, now).total_ms
    assert regions.cost(WEST, now + 60_000).total_ms < 60.0, regions.cost(
        WEST, now + 60_000
    ).total_ms


@when("100 requests a second are sent from east, and the east replicas {fault} for {seconds:g} s")
def run_with_fault(context, fault, seconds):
    simulation = context.simulation
    simulation.run(3)
    context.begun_ms, simulation.fault = simulation.now_ms, fault
    simulation.run(seconds)
    context.ended_ms, simulation.fault = simulation.now_ms, None
    simulation.run(32)


@then("at least {percent:d} % of the requests go to west from {seconds:g} s after the begin")
def check_helped(context, percent, seconds):
    first_ms = context.begun_ms + seconds * 1_000
    share = context.simulation.east_share(first_ms + 1, context.ended_ms)
    assert share <= 1 - percent / 100, share


@then("their share in east then grows over at least 3 s to at least {percent:d} % within 30 s")
def check_return(context, percent):
    shares = [
        context.simulation.east_share(context.ended_ms + at, context.ended_ms + at + 500)
        for at in range(0, 30_500, 500)
    ]
    first_back = next(number for number, share in enumerate(shares) if share > 0)
    full = next(number for number, share in enumerate(shares) if share >= percent / 100)
    assert full - first_back >= 6, shares
    assert shares[-1] >= percent / 100, shares


@then("at least {percent:d} % of the requests in the second after that are served in east")
def check_no_delay(context, percent):
    share = context.simulation.east_share(context.ended_ms + 1, context.ended_ms + 1_000)
    assert share >= percent / 100, share


@when("prompts with 50 shared segments of {tokens:d} tokens are placed from east")
def place_prompts(context, tokens):
    simulation = context.simulation
    context.placed = {}
    for number in range(50):
        prompt = PromptShape(((f"s{number}", tokens),), 200, 400.0)
        tie = simulation.random.random()
        chosen = simulation.chooser.choose(simulation.views, prompt, tie, simulation.now_ms)
        context.placed[f"s{number}"] = chosen.view


@then("all are placed in east, and each segment meets at the replica that ranks first there")
def check_placed(context):
    simulation = context.simulation
    check_first(context, [view for view in simulation.views if simulation.in_east(view)])


@then("each segment meets at the replica that ranks first in all regions")
def check_placed_anywhere(context):
    check_first(context, context.simulation.views)


def check_first(context, views):
    for segment, view in context.placed.items():
        first = max(
            views, key=lambda each: xxhash.xxh64_intdigest(f"{segment}/{each.identity}".encode())
        )
        assert view is first, (segment, view.identity, first.identity)


JUMPS = st.lists(
    st.tuples(st.floats(-3_600_000, 3_600_000), st.floats(0, 5_000), st.booleans()), max_size=40
)


@when("times to connect and choices are recorded at times that jump by up to an hour")
def record_jumps(context):
    def run(jumps):
        regions, returns = RegionCosts(Topology(EAST, "east", {WEST: "west"})), RegionReturn()
        now = 10_000_000.0
        costs, shares = [], []
        for jump_ms, connect_ms, is_away in jumps:
            now += jump_ms
            regions.record_connect(WEST, connect_ms, now)
            costs.append(regions.cost(WEST, now).total_ms)
            shares.append(returns.record("portal", now, is_away=is_away))
        later = returns.record("portal", now + 3_600_000, is_away=False)
        return costs, shares, later

    context.run = run


@then("each cost is finite and each share is from 0 to 1")
def check_valid(context):
    @settings(max_examples=200)
    @given_any(JUMPS)
    def check(jumps):
        costs, shares, _ = context.run(jumps)
        assert all(0 <= cost < 1_000 for cost in costs), costs
        assert all(0 <= share <= 1 for share in shares), shares

    check()


@then("an hour after the last choice the whole load may be in its region")
def check_whole_load(context):
    assert context.run([(0.0, 10.0, True)] * 20)[2] == 1.0


@then("the median request of its last 5 s takes {usual:d} ms at most, and any one {most:d} ms")
def check_durations(context, usual, most):
    begin_ms, end_ms = context.ended_ms - 5_000, context.ended_ms
    durations = context.simulation.durations
    found = sorted(work_ms for at_ms, work_ms in durations if begin_ms <= at_ms < end_ms)
    median_ms = found[len(found) // 2]
    assert median_ms <= usual and found[-1] <= most, (median_ms, found[-1])
