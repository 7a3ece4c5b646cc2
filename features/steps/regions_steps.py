"""Steps on regions: settings, allowed regions, the choice of a replica, messages and faults."""

import heapq
import json
import random
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import xxhash
from behave import given, then, use_step_matcher, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from platform_standins import Fleet
from platform_standins.fleet import eventually

from allowance_steps import apply_event
from allowance_world import RegionWorld
from aspengate.clock import ManualClock, SystemClock
from aspengate.configuration import (
    ConfigurationHolder,
    FleetConfiguration,
    Route,
    RouteKind,
    WeightedService,
)
from aspengate.errors import AspengateError
from aspengate.gateway import GatewaySettings
from aspengate.gateway._allowed_regions import AllowedRegions
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._heartbeat_receivers import HeartbeatReceivers
from aspengate.gateway.prepaid import RemoteWitness
from aspengate.peers import (
    DomainLeadership,
    Member,
    MemberList,
    PlacedRequest,
    PlacementExchange,
)
from aspengate.replicas import (
    PromptShape,
    RegionCosts,
    Replica,
    ReplicaChooser,
    ReplicaView,
    SegmentTracker,
)
from aspengate.replicas._region_return import RegionReturn
from aspengate.settings import load_settings
from aspengate.telemetry import NullCounters
from aspengate.topology import Topology
from gateway_world import GENEROUS_RETRIES, TOKENS, in_background, wait_for_retries
from replica_statements_steps import (
    RegistryFixture,
    SlowPool,
    _Candidate,
    _Chooser,
    _Exchange,
    _HeaderCodec,
    _Permit,
)

EAST, WEST = "hall-1", "hall-2"
REGIONS = "hall-1:east, hall-2:west"
PLAIN, STREAM = "/receipt/a", "/score/a"

# Parses empty values, which the default matcher does not accept.
use_step_matcher("re")


@when('a gateway in "(?P<domain>.*)" has the region "(?P<own>.*)" and the regions "(?P<table>.*)"')
def load_regions(context, domain, own, table):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.ini"
        path.write_text(
            "[instance]\nname = g\nlisten = 127.0.0.1:0\nready_listen = 127.0.0.1:0\n"
            f"failure_domain = {domain}\nregion = {own}\n"
            f"[peers]\nregions = {table}\n[store]\nstore = 127.0.0.1:1\n",
            encoding="utf-8",
        )
        try:
            context.topology = load_settings(GatewaySettings, path).topology
        except AspengateError as error:
            context.error = error


@then('its region is "(?P<region>.*)", and "(?P<domain>.*)" is at the distance "(?P<distance>.*)"')
def check_topology(context, region, domain, distance):
    assert context.topology.region == region, context.topology
    assert context.topology.distance(domain).value == distance, context.topology


@then('its settings are rejected with an error that names "(?P<place>.*)"')
def check_rejected(context, place):
    assert place in str(context.error), context.error


@when(
    'the route allows "(?P<route>.*)" and the account "(?P<account>.*)", '
    "and (?P<count>[0-9]+) requests are sent"
)
def send_requests(context, route, account, count):
    restrict(context, route, account)
    context.answers = [
        answer
        for _ in range(int(count) // 2)
        for answer in (call(context, PLAIN), call(context, STREAM, tokens=TOKENS))
    ]


@then('each of them is served in "(?P<region>.*)"')
def check_served(context, region):
    assert {answer.status for answer in context.answers} == {200}, context.answers[0].body
    domain = {"east": EAST, "west": WEST}[region]
    ran = {replica.domain for replica in context.fleet.replicas if replica.runs}
    assert ran == {domain}, ran


@when(
    'the route allows "(?P<route>.*)" and the account "(?P<account>.*)", '
    'and the west replicas "(?P<fault>.*)"'
)
def restrict_and_break(context, route, account, fault):
    restrict(context, route, account)
    for replica in context.fleet.replicas:
        if replica.domain == WEST:
            break_replica(replica, fault)
    if fault == "are gone":
        assert eventually(lambda: len(context.router.find_all("replica.gone")) == 2)
    elif fault != "stay":
        # The first requests learn of it; they are refused as well.
        call(context, PLAIN)
        call(context, STREAM, tokens=TOKENS)


def break_replica(replica, fault):
    if fault == "are gone":
        replica.unlist()
    elif fault == "are resting":
        replica.behaviour = "rest"
    elif fault == "are leaving":
        replica.leaving = True
        replica.behaviour = "refuse"


@then("requests are refused within 0.3 s with region_unavailable and run nowhere")
def check_refused(context):
    for path, tokens in ((PLAIN, None), (STREAM, TOKENS)):
        answer = call(context, path, tokens=tokens)
        assert answer.status == 503 and answer.seconds < 0.3, (answer.body, answer.seconds)
        assert b'"region_unavailable"' in answer.body and b'"not_run"' in answer.body, answer.body
        assert answer.header("Retry-After"), answer.headers
    assert not any(replica.runs for replica in context.fleet.replicas)


@then('the log names the allowed regions "(?P<logged>.*)", and explain shows them')
def check_logged(context, logged):
    line = eventually(lambda: context.router.find("request.ended", outcome="region_unavailable"))
    regions = [] if logged == "none" else [logged]
    assert line["allowed_regions"] == regions, line
    assert f"allowed regions: {logged}" in line["reason"], line
    log = Path(context.fleet.folder) / "router.log"
    log.write_text("\n".join(map(json.dumps, context.router.lines)), encoding="utf-8")
    command = [sys.executable, "-m", "aspengate", "explain", line["request_id"], str(log)]
    text = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    assert f"allowed_regions={regions}" in text, text


@when(
    'the list of the "(?P<holder>.*)" changes from "(?P<before>.*)" to "(?P<after>.*)" '
    'while a "(?P<kind>.*)" runs in east'
)
def change_list(context, holder, before, after, kind):
    def change(regions):
        restrict(context, *((regions, "") if holder == "route" else ("", regions)))

    change(before)
    context.engine = next(each for each in context.fleet.of("engine") if each.domain == EAST)
    # A request is lost before its first event, a stream after some events.
    context.engine.behaviour = "mute" if kind == "request" else "well"
    context.engine.events = 1_000
    wait = in_background(lambda: call(context, STREAM, tokens=TOKENS))
    assert eventually(lambda: context.engine.runs)
    change(after)
    context.engine.crash()
    context.answer = wait()


@then("it is (?P<negation>not )?sent to west when its replica crashes")
def check_west(context, negation):
    assert bool(runs_in(context, WEST)) is not bool(negation), context.answer.body
    if negation:
        assert context.answer.status != 200 or not context.answer.whole, context.answer.body
    else:
        assert context.answer.status == 200, context.answer.body


use_step_matcher("parse")


@given("a gateway in region east, with a replica of each service in east and in west")
def two_regions(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for domain in (EAST, WEST):
        context.fleet.add_replica("portal", domain=domain)
        context.fleet.add_replica("engine", domain=domain)
    context.router = context.fleet.add_router(regions=REGIONS, **GENEROUS_RETRIES)
    wait_for_retries(context)


def restrict(context, route, account):
    """Write the lists of the routes and the accounts; wait until they are in force."""

    def apply(configuration):
        for each in configuration["routes"]:
            # Otherwise a silent replica is abandoned before the list has changed.
            each["targetLatencyMs"] = 4_500
            each["allowedRegions"] = [name for name in route.split(",") if name]
        for each in configuration["tenants"]:
            each["allowedRegions"] = [name for name in account.split(",") if name]

    version = context.fleet.operator.change(apply)
    assert eventually(lambda: context.router.find("configuration.applied", version=version))


def call(context, path, tokens=None):
    caller = context.router.call()
    try:
        return caller.request("GET", path, tokens=tokens)
    finally:
        caller.close()


def runs_in(context, domain):
    return sum(sum(each.runs.values()) for each in context.fleet.replicas if each.domain == domain)


def configuration(version, *regions):
    services = (WeightedService("portal", 1),)
    route = Route("r", "h", "/", RouteKind.IDEMPOTENT, services, 0, 0, 0, 1, True)
    return FleetConfiguration(version, routes=(replace(route, allowed_regions=frozenset(regions)),))


@given("a connection to a replica in west that opens slowly")
def slow_connection(context):
    context.fixture = RegistryFixture(["i-1"])
    context.holder = ConfigurationHolder(context.fixture.clock)
    context.holder.apply_if_newer(configuration(1))


@when("the route's list changes to east while it opens")
def change_while_opening(context):
    topology = Topology(EAST, "east", {EAST: "east", WEST: "west"})
    regions = AllowedRegions(topology, context.holder)
    admitted = context.holder.current
    received = SimpleNamespace(host="h", path="/")
    exchange = Exchange(received, admitted, None, admitted.routes[0])
    view = context.fixture.view("i-1")
    assert regions.allows(exchange, view)
    context.pool = SlowPool(lambda _: context.holder.apply_if_newer(configuration(2, "east")))
    dependencies = AttemptDependencies(
        _HeaderCodec(),
        context.pool,
        context.fixture.clock,
        _Chooser(),
        context.fixture.registry,
        allows=lambda _, replica: regions.allows(exchange, replica),
    )
    attempt = Attempt(dependencies, _Exchange(), _Candidate(view), None, _Permit([]), "i-1")
    context.raised = None
    try:
        attempt.send("")
    except RetryableAttemptError as error:
        context.raised = error


@then("the request is not sent there, and another replica may be chosen")
def check_not_sent(context):
    assert context.raised is not None and not context.raised.sent
    assert not context.pool.sent


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


LINK_MS = 16.0


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


@when("prompts with 50 shared segments are placed from east")
def place_prompts(context):
    simulation = context.simulation
    context.placed = {}
    for number in range(50):
        prompt = PromptShape(((f"s{number}", 4_000),), 200, 400.0)
        tie = simulation.random.random()
        chosen = simulation.chooser.choose(simulation.views, prompt, tie, simulation.now_ms)
        context.placed[f"s{number}"] = chosen.view


@then("all are placed in east, and each segment meets at the replica that ranks first there")
def check_placed(context):
    simulation = context.simulation
    east = [view for view in simulation.views if simulation.in_east(view)]
    for segment, view in context.placed.items():
        first = max(
            east, key=lambda each: xxhash.xxh64_intdigest(f"{segment}/{each.identity}".encode())
        )
        assert view is first, (segment, view.identity, first.identity)


class RegionNode:
    """One router with its list of the others and the placements that it received."""

    def __init__(self, number, network):
        domain = f"hall-{number % 4 + 1}"
        own = Member(f"r{number}", f"10.0.0.{number}:1", f"r{number}.1", domain)
        topology = Topology(domain, FOUR_DOMAINS[domain], FOUR_DOMAINS)
        self.region = topology.region
        self.members = MemberList(own, network.clock, topology)
        self.members.leads = number < 4
        self.received = []
        self.exchange = PlacementExchange(
            self.members,
            DomainLeadership(self.members, network.clock),
            NullCounters(),
            network.send,
            self.received.append,
            region_of=lambda replica: replica.partition("-")[0],
        )


class RegionNetwork:
    """Delivers placements at once between 12 routers that have each other's status."""

    def __init__(self):
        self.clock = ManualClock()
        self.nodes = [RegionNode(number, self) for number in range(12)]
        self.by_address = {node.members.own.address: node for node in self.nodes}
        self.report(reaching=FOUR_DOMAINS.values())

    def report(self, reaching):
        """Exchange status messages; the store answers the leaders of the regions ``reaching``."""
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    node.members.record_status(
                        other.members.own,
                        reaches_store=other.members.leads and other.region in reaching,
                        leads=other.members.leads,
                    )
            node.exchange._leadership.update(connected=node.members.leads)

    def send(self, message, *addresses):
        for address in addresses:
            self.by_address[address].exchange.handle_placements(message)

    def others(self, node):
        return [each for each in self.nodes if each is not node]


FOUR_DOMAINS = {"hall-1": "east", "hall-2": "west", "hall-3": "east", "hall-4": "west"}
OTHER = {"east": "west", "west": "east"}


@given("12 routers in 4 failure domains, two each in east and in west")
def region_network(context):
    context.network = RegionNetwork()


@when("each router sends two requests to replicas of its region, and one to the other region")
def send_three_each(context):
    for node in context.network.nodes:
        for name in (f"{node.region}-1", f"{node.region}-2", f"{OTHER[node.region]}-3"):
            replica = f"{name}-{node.members.own.name}"
            node.exchange.record_sent(PlacedRequest(replica, 100, 50))
    for _ in range(3):
        for node in context.network.nodes:
            node.exchange.flush()


@then("each router gets the requests of its region, and those to its region's replicas")
def check_region_placements(context):
    for node in context.network.nodes:
        expected = []
        for other in context.network.others(node):
            name = other.members.own.name
            is_near = other.region == node.region
            expected.append(f"{OTHER[other.region]}-3-{name}")
            if is_near:
                expected += [f"{other.region}-1-{name}", f"{other.region}-2-{name}"]
        assert sorted(placed.replica for placed in node.received) == sorted(expected)


@then("each router borrows from a leader of its region, and lenders of its region come first")
def check_lenders(context):
    for node in context.network.nodes:
        for number in range(20):
            own_reaches = node.members.leads
            primary = node.members.primary(f"a{number}", frozenset(), own_reaches=own_reaches)
            assert FOUR_DOMAINS[primary.failure_domain] == node.region
            assert int(primary.name[1:]) < 4, primary
            regions = [FOUR_DOMAINS[each.failure_domain] for each in node.members.primaries("a")]
            assert OTHER[node.region] in regions, regions
        lenders = node.members.lenders(11)
        keys = [
            (int(each.name[1:]) >= 4, FOUR_DOMAINS[each.failure_domain] != node.region)
            for each in lenders
        ]
        assert keys == sorted(keys), lenders


@then("each grant has a copy in the region of its session and one in the other region")
def check_copies(context):
    for node in context.network.nodes:
        for number in range(20):
            copies = node.members.backup_peers(f"a{number}")
            regions = sorted(FOUR_DOMAINS[each.failure_domain] for each in copies)
            assert regions == ["east", "west"], regions


@then("leaders prefer witnesses in the other region, and other routers those of their own")
def check_witness_regions(context):
    for node in context.network.nodes:
        others = [other.members.own for other in context.network.others(node)]
        preferred = node.members.preferred_witnesses(others)
        for other in context.network.others(node):
            is_far = other.region != node.region
            prefers = other.members.own in preferred
            assert prefers is (is_far if node.members.leads else not is_far)


@then("while no leader of the region reaches the store, a leader of the other region lends")
def check_lender_of_other_region(context):
    context.network.report(reaching=("west",))
    east = next(node for node in context.network.nodes[4:] if node.region == "east")
    primary = east.members.primary("a", frozenset(), own_reaches=False)
    assert FOUR_DOMAINS[primary.failure_domain] == "west", primary


@given("a leader with two routers in each region that never reply to ceilings")
def silent_peers(context):
    peers = [
        Member(f"{region}-{number}", f"10.0.0.{number}:{port}", f"{region}-{number}.1")
        for port, region in ((1, "east"), (2, "west"))
        for number in range(2)
    ]
    context.asked = []
    context.witness = RemoteWitness(
        "a.1",
        SystemClock(),
        NullCounters(),
        alive=lambda: peers,
        send=lambda notice, _: context.asked.append(notice.witness.partition("-")[0]),
        ask_to_close=lambda witness, session: None,
        preferred=lambda members: [each for each in members if each.name.startswith("west")],
    )
    context.witness.start()
    context.cleanup.callback(context.witness.close)


@when("it asks for a ceiling again and again for 2 s")
def ask_for_ceilings(context):
    last = time.monotonic() + 2
    while time.monotonic() < last:
        context.witness.ensure_ceiling("board", 100)


@then("it tries two routers of the other region, and then one of its own")
def check_given_up(context):
    assert context.asked[0] == "west" and context.asked[-1] == "east", context.asked
    assert context.asked == sorted(context.asked, reverse=True), context.asked


@given("gateways in hall-1 and hall-3 of east and in hall-2 of west")
def three_gateways(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    regions = "hall-1:east, hall-3:east, hall-2:west"
    for domain in ("hall-1", "hall-1", "hall-3", "hall-2"):
        context.fleet.add_router(domain=domain, regions=regions)


@then("the metrics of the first one count bytes of news for each distance")
def check_distances(context):
    router = context.fleet.routers[0]
    for distance in ("own_domain", "own_region", "other_region"):
        name = f"datagrams.sent_bytes_to.{distance}.news"
        assert eventually(lambda: name in metrics_page(router)), name  # noqa: B023


@then("a gateway without regions counts no distances")
def check_no_distances(context):
    fleet = Fleet(context.cleanup)
    fleet.operator.write()
    first = fleet.add_router()
    fleet.add_router()
    assert eventually(lambda: "datagrams.sent_bytes.news" in metrics_page(first))
    assert "sent_bytes_to" not in metrics_page(first)


def metrics_page(router):
    with urllib.request.urlopen(f"http://{router.metrics_address}/metrics", timeout=5) as answer:
        return answer.read().decode()


LIMIT = 10_000
FAULTS = {
    "the regions are cut off from each other": (True, ()),
    "the regions are cut off from each other and east from the store": (True, (0,)),
    "the regions are cut off from each other and both from the store": (True, (0, 1)),
    "east is cut off from the store": (False, (0,)),
}


@given("two regions of two routers that spend from one account")
def spending_regions(context):
    context.world = RegionWorld(LIMIT)


@when("{fault} while both regions spend, and the fault ends")
def spend_during_fault(context, fault):
    world = context.world
    spend(world, rounds=10)
    world.is_partitioned, world.without_store = FAULTS[fault][0], set(FAULTS[fault][1])
    context.spent = spend(world, rounds=300)
    world.is_partitioned, world.without_store = False, set()
    for amount in (500, 100, 20):
        spend(world, rounds=100, amount=amount)


def spend(world, rounds, amount=40):
    """Reserve and use tokens at each router in turn; return how many each region used."""
    used = [0, 0]
    for number in range(rounds):
        if world.reserve(number % 4, amount):
            used[world.region_of(number)] += amount
        world.clock.advance(50)
        if number % 20 == 0:
            for accounts in world.accounts:
                accounts.tick()
    return used


@then("no more than the limit is used, and both regions have spent during the fault")
def check_spent(context):
    assert min(context.spent) > 0, context.spent
    assert context.world.max_used <= LIMIT, context.world.max_used
    assert context.world.max_used > LIMIT / 2, context.world.max_used


REGION_ROUTER = st.integers(0, 3)
REGION_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("reserve"), REGION_ROUTER, st.integers(1, 1_500)),
        st.tuples(st.just("finish"), REGION_ROUTER, st.sampled_from([0.0, 0.3, 1.0])),
        st.tuples(st.just("restart"), REGION_ROUTER),
        st.tuples(st.just("lose"), st.sampled_from(["late", "never", "lost"])),
        st.tuples(st.just("late write")),
        st.tuples(st.just("loan"), REGION_ROUTER, st.sampled_from(["lost", "answer lost"])),
        st.tuples(st.just("repeat")),
        st.tuples(st.just("time"), st.sampled_from([100, 30_000, 3_600_000])),
        st.tuples(st.just("tick"), REGION_ROUTER),
        st.tuples(st.just("witness"), REGION_ROUTER, st.sampled_from(["lost", "answer lost"])),
        st.tuples(st.just("close silent"), REGION_ROUTER),
        st.tuples(st.just("partition"), st.booleans()),
        st.tuples(st.just("without store"), st.sets(st.integers(0, 1))),
    ),
    max_size=40,
)


@then("no history of 40 events overspends")
def check_histories(context):
    rest = [("reserve", number, amount) for amount in (500, 100, 20) for number in range(4)] * 6

    @settings(max_examples=300)
    @given_any(REGION_EVENTS)
    def check(events):
        world = RegionWorld(LIMIT)
        ending = [("partition", False), ("without store", set()), ("late write",), *rest]
        for event in [*events, *ending]:
            name, *values = event
            if name == "partition":
                world.is_partitioned = values[0]
            elif name == "without store":
                world.without_store = values[0]
            else:
                apply_event(world, event)
            assert world.max_used <= LIMIT and not world.is_undercounted, event

    check()


HEARTBEAT_MS = 300.0


def send_heartbeats(context, node, count, state="same", *, is_restored=True):
    """Send heartbeats; return the number that each of the other routers received."""
    receivers = HeartbeatReceivers(node.members, context.network.clock)
    received = Counter()
    for number in range(count):
        context.network.clock.advance(HEARTBEAT_MS)
        context.network.report(reaching=("east", "west"))
        known = node.members.addresses()
        received.update(receivers.select(known, (state, state or number), is_restored=is_restored))
    return {each: received[each.members.own.address] for each in context.network.others(node)}


@when("each router sends heartbeats for 9 s")
def send_all_heartbeats(context):
    context.received = {node: send_heartbeats(context, node, 30) for node in context.network.nodes}


@then("leaders send all of them to leaders, and all of them to their own region")
def check_prompt_heartbeats(context):
    for node, received in context.received.items():
        for other, count in received.items():
            is_near = other.region == node.region
            if node.members.leads and (is_near or other.members.leads):
                assert count == 30, (node.region, other.region, count)
            if is_near and other.members.leads:
                assert count == 30, count


@then(
    "other heartbeats to the other region are sent at least once a second and at most half as often"
)
def check_rare_heartbeats(context):
    for node, received in context.received.items():
        for other, count in received.items():
            if other.region == node.region or not (node.members.leads or other.members.leads):
                continue
            if not (node.members.leads and other.members.leads):
                assert 9 <= count <= 15, count


@then("a router that changes its state or has not restored the store's history sends all of them")
def check_urgent_heartbeats(context):
    follower = context.network.nodes[-1]
    leaders = [node for node in context.network.nodes if node.members.leads]
    for kwargs in ({"state": None}, {"is_restored": False}):
        received = send_heartbeats(context, follower, 10, **kwargs)
        assert {received[leader] for leader in leaders} == {10}, received


@when("each router sends heartbeats for 9 s, and only one router of west leads")
def send_with_one_leader(context):
    context.network.nodes[3].members.leads = False
    context.network.report(reaching=("east", "west"))
    context.network.clock.advance(10_000)
    send_all_heartbeats(context)


@then("leaders of east send all of their heartbeats to west")
def check_dependent_region(context):
    for node, received in context.received.items():
        if node.members.leads and node.region == "east":
            assert {count for other, count in received.items() if other.region == "west"} == {30}


@when("20 requests are served, the east replicas crash, and 20 more are sent")
def crash_east(context):
    context.answers = [call(context, PLAIN) for _ in range(20)]
    for replica in context.fleet.replicas:
        if replica.domain == EAST:
            replica.crash()
    context.after = [call(context, PLAIN) for _ in range(20)]


@then("all are answered, those after the crash by west, and the metrics have west's round trip")
def check_served_by_west(context):
    assert {answer.status for answer in context.answers + context.after} == {200}
    west = next(each for each in context.fleet.of("portal") if each.domain == WEST)
    assert all(answer.body.startswith(west.identity.encode()) for answer in context.after)
    assert "region_round_trip_ms_west" in metrics_page(context.router)


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


@given("a leader that counts how often it lists the other 759 routers")
def leader_that_counts(context):
    clock = SystemClock()
    members = MemberList(Member("own", "127.0.0.1:1", "own", EAST), clock)
    members.leads = True
    for number in range(759):
        address = f"127.0.0.1:{number + 2}"
        members.record_status(Member(f"r-{number}", address, f"s-{number}", EAST))
    list_alive, context.listed = members.alive, []

    def alive():
        context.listed.append(None)
        return list_alive()

    members.alive = alive
    context.witness = RemoteWitness(
        "own",
        clock,
        NullCounters(),
        alive=members.alive,
        send=lambda *_: None,
        ask_to_close=lambda *_: None,
        preferred=members.preferred_witnesses,
    )


@when("it asks for a ceiling")
def ask_for_ceiling(context):
    thread = in_background(lambda: context.witness.ensure_ceiling("board", 100))
    thread()


@then("it has listed them at most {count} times")
def check_listed(context, count):
    assert 0 < len(context.listed) <= int(count), len(context.listed)
