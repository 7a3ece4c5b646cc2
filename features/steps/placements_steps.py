"""Steps on what routers tell each other of the requests that they sent."""

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


class Tally(NullCounters):
    """Counts what was counted."""

    def __init__(self):
        self.counted = 0

    def count(self, *_, **__):
        self.counted += 1


class Node:
    """One router with what it heard of."""

    def __init__(self, number, domains, fleet):
        domain = f"hall-{number % domains}"
        own = Member(f"r{number}", f"10.0.0.{number}:1", f"r{number}.1", domain)
        self.members = MemberList(own, fleet.clock)
        self.leadership = DomainLeadership(self.members, fleet.clock)
        self.members.leads = number < domains
        self.heard = []
        self.exchange = PlacementExchange(
            self.members, self.leadership, fleet.tally, fleet.send, self.heard.append
        )


class Network:
    """Delivers messages at once, to routers that know each other."""

    def __init__(self, count, domains):
        self.clock = ManualClock()
        self.tally = Tally()
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


@given(
    "{count:d} routers in {domains:d} failure domains that tell each other by way of their leaders"
)
def network(context, count, domains):
    context.network = Network(count, domains)


@when("each router sends two requests to replicas")
def two_each(context):
    for number, node in enumerate(context.network.nodes):
        for order in range(2):
            node.exchange.record_sent(PlacedRequest(f"i-{number}-{order}", 100, 50, ["part"]))
    context.network.flush()


@then("every router has heard of the requests of all the others once")
def heard_once(context):
    nodes = context.network.nodes
    for number, node in enumerate(nodes):
        heard = sorted(placed.replica for placed in node.heard)
        others = [each for each in range(len(nodes)) if each != number]
        assert heard == sorted(f"i-{each}-{order}" for each in others for order in range(2)), heard


@when("one router sends {count:d} requests at once")
def many_at_once(context, count):
    for order in range(count):
        context.network.nodes[-1].exchange.record_sent(PlacedRequest(f"i-{order}", 100, 50))
    context.network.flush()


@then("every other router has heard of {heard:d} of them, and {dropped:d} are counted as dropped")
def heard_some(context, heard, dropped):
    assert {len(node.heard) for node in context.network.nodes[:-1]} == {heard}
    assert context.network.tally.counted == dropped, context.network.tally.counted


@when("each router sends {count:d} requests before the leader tells of them")
def many_each(context, count):
    for number, node in enumerate(context.network.nodes):
        for order in range(count):
            parts = ["0123abcd", "4567cdef"]
            placed = PlacedRequest(f"i-{number:04}{order:06}", 17_000, 1_200, parts)
            node.exchange.record_sent(placed)
    for node in reversed(context.network.nodes):
        node.exchange.flush()


@then("every message has less than {size:d} bytes, and the rest is counted as dropped")
def fits(context, size):
    assert 0 < context.network.largest < size, context.network.largest
    assert context.network.tally.counted == 2 * (30 * 50 - 400), context.network.tally.counted


PROMPT = PromptShape((("part", 8_000),), 2_000, 400.0)


@given("two replicas that read alike")
def two_replicas(context):
    context.clock = ManualClock()
    context.clock.advance(100_000)
    registry = ReplicaRegistry(context.clock, lambda identity: None)
    registry.update([Replica(name, "engine", "10.0.0.1:1", slots=64) for name in ("i-1", "i-2")])
    context.views = registry.ready("engine")
    context.chooser = ReplicaChooser(SegmentTracker(), "")
    context.usual = choose(context)


def choose(context, tie=0.0):
    now = context.clock.monotonic_ms()
    return context.chooser.choose(context.views, PROMPT, tie, now)


@when("another router has sent a prompt of {tokens:d} tokens to one of them")
def sent_long(context, tokens):
    now = context.clock.monotonic_ms()
    context.usual.view.record_remote_request(tokens, 1_200.0, now)


@then("a request goes to the other one, until the prompt is read")
def goes_elsewhere(context):
    assert choose(context).view is not context.usual.view
    context.clock.advance(1_201)
    assert choose(context).view is context.usual.view


@when("another router has sent a prompt with a shared part to the one of lower rank")
def sent_part(context):
    lower = next(view for view in context.views if view is not context.usual.view)
    context.chooser.segments.record_sent("part", lower.identity, context.clock.monotonic_ms())
    context.lower = lower


@then("a request with that part is expected to read it less there")
def reads_less(context):
    now = context.clock.monotonic_ms()
    alone = context.chooser.choose([context.lower], PROMPT, 0.0, now)
    assert alone.tokens == PROMPT.own_tokens, alone.tokens
    assert context.usual.tokens == PROMPT.tokens, context.usual.tokens


@when("20 first tokens come after twice the time expected and 5 after five times")
def first_tokens(context):
    for factor in [2] * 20 + [5] * 5:
        now = context.clock.monotonic_ms()
        candidate = choose(context)
        work = candidate.view.begin(now, candidate.tokens)
        context.clock.advance(candidate.first_ms * factor)
        context.chooser.record_first_response(candidate, work, context.clock.monotonic_ms())
        candidate.view.end(work, context.clock.monotonic_ms())


@then("the error's median is {median:g} and its ninetieth percentile is {tail:g}")
def error_figures(context, median, tail):
    found = context.chooser.estimate_error()
    assert (round(found.median, 1), round(found.p90, 1)) == (median, tail), found
