"""Steps on the placements that routers exchange, and on the choices that follow from them."""

import msgspec
from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.peers import (
    DomainLeadership,
    Member,
    MemberList,
    PlacedRequest,
    PlacementExchange,
)
from aspengate.replicas import PromptShape, Replica, ReplicaChooser, ReplicaRegistry, SegmentTracker
from aspengate.telemetry import NullCounters


class CallCounter(NullCounters):
    """Counts the calls of ``count``."""

    def __init__(self):
        self.calls = 0

    def count(self, *_, **__):
        self.calls += 1


class Node:
    """One router with the placements that it received."""

    def __init__(self, number, domains, fleet):
        domain = f"hall-{number % domains}"
        own = Member(f"r{number}", f"10.0.0.{number}:1", f"r{number}.1", domain)
        self.members = MemberList(own, fleet.clock)
        self.leadership = DomainLeadership(self.members, fleet.clock)
        self.members.leads = number < domains
        self.received = []
        self.exchange = PlacementExchange(
            self.members, self.leadership, fleet.counters, fleet.send, self.received.append
        )


class Network:
    """Delivers messages immediately between routers that have each other's status."""

    def __init__(self, count, domains):
        self.clock = ManualClock()
        self.counters = CallCounter()
        self.largest = 0
        self.nodes = [Node(number, domains, self) for number in range(count)]
        self.by_address = {each.members.own.address: each for each in self.nodes}
        for each in self.nodes:
            for other in self.nodes:
                if other is not each:
                    leads = other.members.leads
                    each.members.record_status(other.members.own, reaches_store=True, leads=leads)
            each.leadership.update(connected=each.members.leads)

    def send(self, message, *addresses):
        self.largest = max(self.largest, len(msgspec.msgpack.encode(message)))
        for address in addresses:
            self.by_address[address].exchange.handle_placements(message)

    def flush(self):
        for _ in range(3):
            for each in self.nodes:
                each.exchange.flush()


@given("{count:d} routers in {domains:d} failure domains that exchange placements through leaders")
def create_network(context, count, domains):
    context.network = Network(count, domains)


@when("each router sends two requests to replicas")
def send_two_each(context):
    for number, node in enumerate(context.network.nodes):
        for order in range(2):
            node.exchange.record_sent(PlacedRequest(f"i-{number}-{order}", 100, 50, ["part"]))
    context.network.flush()


@then("every router has received the placements of all others once")
def check_received_once(context):
    nodes = context.network.nodes
    for number, node in enumerate(nodes):
        received = sorted(placed.replica for placed in node.received)
        others = [each for each in range(len(nodes)) if each != number]
        assert received == sorted(f"i-{each}-{order}" for each in others for order in range(2)), (
            received
        )


@when("one router sends {count:d} requests at once")
def send_at_once(context, count):
    for order in range(count):
        context.network.nodes[-1].exchange.record_sent(PlacedRequest(f"i-{order}", 100, 50))
    context.network.flush()


@then(
    "every other router has received {received:d} of them, and {dropped:d} are counted as dropped"
)
def check_received_some(context, received, dropped):
    assert {len(node.received) for node in context.network.nodes[:-1]} == {received}
    assert context.network.counters.calls == dropped, context.network.counters.calls


@when("each router sends {count:d} requests before the leader forwards them")
def send_many_each(context, count):
    for number, node in enumerate(context.network.nodes):
        for order in range(count):
            segments = ["0123abcd", "4567cdef"]
            placed = PlacedRequest(f"i-{number:04}{order:06}", 17_000, 1_200, segments)
            node.exchange.record_sent(placed)
    for node in reversed(context.network.nodes):
        node.exchange.flush()


@then("every message has less than {size:d} bytes, and the other placements are counted as dropped")
def check_message_sizes(context, size):
    assert 0 < context.network.largest < size, context.network.largest
    assert context.network.counters.calls == 2 * (30 * 50 - 400), context.network.counters.calls


PROMPT = PromptShape((("part", 8_000),), 2_000, 400.0)


@given("two replicas of equal speed")
def two_replicas(context):
    context.clock = ManualClock()
    context.clock.advance(100_000)
    registry = ReplicaRegistry(context.clock, lambda identity: None)
    registry.update([Replica(name, "engine", "10.0.0.1:1", slots=64) for name in ("i-1", "i-2")])
    context.views = registry.ready("engine")
    context.chooser = ReplicaChooser(SegmentTracker(), "")
    context.first_choice = choose(context)


def choose(context, tie=0.0):
    now = context.clock.monotonic_ms()
    return context.chooser.choose(context.views, PROMPT, tie, now)


@when("another router has sent a prompt of {tokens:d} tokens to one of them")
def place_long_prompt(context, tokens):
    now = context.clock.monotonic_ms()
    context.first_choice.view.record_remote_request(tokens, 1_200.0, now)


@then("a request goes to the other one until the prompt is processed")
def check_other_chosen(context):
    assert choose(context).view is not context.first_choice.view
    context.clock.advance(1_201)
    assert choose(context).view is context.first_choice.view


@when("another router has sent a prompt with a shared segment to the one of lower rank")
def place_segment(context):
    lower = next(view for view in context.views if view is not context.first_choice.view)
    context.chooser.segments.record_sent("part", lower.identity, context.clock.monotonic_ms())
    context.lower = lower


@then("a request with that segment is expected to process fewer tokens there")
def check_fewer_tokens(context):
    now = context.clock.monotonic_ms()
    candidate = context.chooser.choose([context.lower], PROMPT, 0.0, now)
    assert candidate.tokens == PROMPT.own_tokens, candidate.tokens
    assert context.first_choice.tokens == PROMPT.tokens, context.first_choice.tokens


@when("20 first tokens arrive after twice the expected time and 5 after five times")
def record_first_tokens(context):
    for factor in [2] * 20 + [5] * 5:
        now = context.clock.monotonic_ms()
        candidate = choose(context)
        work = candidate.view.begin(now, candidate.tokens)
        context.clock.advance(candidate.first_ms * factor)
        context.chooser.record_first_response(candidate, work, context.clock.monotonic_ms())
        candidate.view.end(work, context.clock.monotonic_ms())


@then("the error's median is {median:g} and its 90th percentile is {p90:g}")
def check_error(context, median, p90):
    found = context.chooser.estimate_error()
    assert (round(found.median, 1), round(found.p90, 1)) == (median, p90), found
