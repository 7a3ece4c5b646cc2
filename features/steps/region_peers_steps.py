"""Steps on messages, loans, witnesses and budgets between routers of several regions."""

import time
from collections import Counter

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from platform_standins import Fleet
from platform_standins.fleet import eventually

from allowance_steps import apply_event
from allowance_world import RegionWorld
from aspengate.clock import ManualClock, SystemClock
from aspengate.gateway._heartbeat_receivers import HeartbeatReceivers
from aspengate.gateway.prepaid import RemoteWitness
from aspengate.peers import (
    DomainLeadership,
    Member,
    MemberList,
    PlacedRequest,
    PlacementExchange,
)
from aspengate.telemetry import NullCounters
from aspengate.topology import Topology
from gateway_prepaid_steps import EVENTS
from gateway_world import GENEROUS_RETRIES, in_background, metrics_page

EAST, WEST = "hall-1", "hall-2"
REGIONS = "hall-1:east, hall-2:west"


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


@then("all routers borrow from the same leader, and lenders of their region come first")
def check_lenders(context):
    for number in range(20):
        primaries = {
            node.members.primary(f"a{number}", frozenset(), own_reaches=node.members.leads).name
            for node in context.network.nodes
        }
        assert len(primaries) == 1, primaries
        assert int(primaries.pop()[1:]) < 4, number
    for node in context.network.nodes:
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


def send_heartbeats(
    context, node, count, state="same", *, is_restored=True, reaching=("east", "west")
):
    """Send heartbeats; return the number that each of the other routers received."""
    receivers = HeartbeatReceivers(node.members, context.network.clock)
    received = Counter()
    for number in range(count):
        context.network.clock.advance(HEARTBEAT_MS)
        context.network.report(reaching)
        known = node.members.addresses()
        received.update(receivers.select(known, (state, state or number), is_restored=is_restored))
    return {each: received[each.members.own.address] for each in context.network.others(node)}


@when("each router sends heartbeats for 9 s")
def send_all_heartbeats(context, **kwargs):
    context.received = {
        node: send_heartbeats(context, node, 30, **kwargs) for node in context.network.nodes
    }


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


@when("each router sends heartbeats for 9 s, and only one router leads in west")
def send_with_one_leader(context):
    context.network.nodes[3].members.leads = False
    send_all_heartbeats(context)


@when("each router sends heartbeats for 9 s, and no leader reaches the store in west")
def send_without_store(context):
    send_all_heartbeats(context, reaching=("east",))


@then("leaders of east send all of their heartbeats to west")
def check_dependent_region(context):
    for node, received in context.received.items():
        if node.members.leads and node.region == "east":
            assert {count for other, count in received.items() if other.region == "west"} == {30}


@given("gateways in east and west and an account with {prepaid:d} prepaid tokens")
def prepaid_regions(context, prepaid):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for domain in (EAST, WEST):
        context.fleet.add_replica("engine", domain=domain, events=EVENTS, pause_s=0.0)
        context.fleet.add_router(domain=domain, regions=REGIONS, **GENEROUS_RETRIES)
    version = context.fleet.operator.set_prepaid("board", prepaid)
    for router in context.fleet.routers:
        assert eventually(lambda r=router: r.find("configuration.applied", version=version))
        assert eventually(lambda r=router: r.find("member.heard"))
    context.router = context.fleet.routers[0]
    context.prepaid = prepaid


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
