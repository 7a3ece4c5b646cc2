"""Steps for the rate limits that responses announce, and for permit requests to other routers."""

import itertools
import json
import random
import threading
import time

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.errors import ErrorKind
from aspengate.explanation import read_lines, trace_request
from aspengate.fleet_permits import FleetPermits, RouterShares, first_weighted_share
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.gateway._permit_client import PermitClient
from aspengate.losses import describe_end
from aspengate.peers import PermitReply, PermitUse
from aspengate.replica_limits import PermitHolders, ReplicaLimiter
from aspengate.replicas import Replica, ReplicaNotice, ReplicaRegistry, ReportedLimit
from aspengate.telemetry import NullCounters
from gateway_world import in_background
from replica_statements_steps import (
    RegistryFixture,
    SlowPool,
    _Candidate,
    _Chooser,
    _Exchange,
    _HeaderCodec,
    request,
)

CONCURRENT_REQUESTS = 8
MAX_ROUNDS = 10
REQUESTS_PER_ROUND = 4
NOTHING = "nothing"


@when("both portal replicas announce a limit of {limit}, and 8 receipts are requested at once")
def all_at_limit(context, limit):
    context.portals = context.fleet.of("portal")
    # A router issues permits after it has known the other routers for 3 s and a window.
    announce_limit(context, limit)
    time.sleep(3.0 + 4.0)
    context.before = [len(each.requests) for each in context.portals]
    waits = [
        in_background(lambda number=number: request_receipt(context, number))
        for number in range(CONCURRENT_REQUESTS)
    ]
    context.answers = [wait() for wait in waits]
    context.retried = request_receipt(context, refused_number(context))


def announce_limit(context, limit):
    """Make all portal replicas announce a limit, and send requests until each has responded."""
    portals = context.fleet.of("portal")
    for each in portals:
        each.limit, each.work_s = limit, 0.2
        each.requests.clear()
    for _ in range(MAX_ROUNDS):
        waits = [
            in_background(lambda: request(context, "/status/1")) for _ in range(REQUESTS_PER_ROUND)
        ]
        assert all(wait().status in (200, 503) for wait in waits)
        if all(each.requests for each in portals):
            break
    for each in portals:
        assert each.requests
        each.work_s = 0.0


def request_receipt(context, number):
    return request(context, f"/receipt/{number}", identity=f"receipt-{number}-{next(_sequence)}")


_sequence = itertools.count()


def refused_number(context):
    return next(n for n, answer in enumerate(context.answers) if answer.status == 503)


@then("as many as the limit allows are served, and the others are refused as at_limit and not sent")
def served_and_refused(context):
    served = [answer for answer in context.answers if answer.status == 200]
    refused = [answer for answer in context.answers if answer.status == 503]
    # Each replica has two permits in 4 s. At most one was used by the request that got the limit.
    assert 2 <= len(served) <= 4, [answer.status for answer in context.answers]
    assert len(refused) == CONCURRENT_REQUESTS - len(served)
    assert all(b"at_limit" in answer.body for answer in refused), refused[0].body
    sent = sum(len(each.requests) for each in context.portals) - sum(context.before)
    assert sent == len(served), sent
    lines = context.router.find_all("request.ended", outcome="at_limit")
    assert lines and all(line["attempts"] == [] for line in lines), lines


@then("each refused request has a different retry time, in steps of one second")
def different_retry_times(context):
    times = sorted(
        float(answer.header("Retry-After")) for answer in context.answers if answer.status == 503
    )
    gaps = [later - sooner for sooner, later in itertools.pairwise(times)]
    # Two replicas allow half a request per second each, all for the callers of this router.
    assert all(0.8 <= gap <= 1.2 for gap in gaps), times


@then("a refused request that is retried at once keeps its retry time")
def keeps_retry_time(context):
    before = float(context.answers[refused_number(context)].header("Retry-After"))
    after = float(context.retried.header("Retry-After"))
    assert before - 0.5 <= after <= before, (before, after)


@then("its trace lists both replicas, and its loss is that all were at their limits")
def limit_trace(context):
    line = eventually(lambda: context.router.find("request.ended", outcome="at_limit"))
    identity = line["request_id"]
    lines = read_lines("router-1", [json.dumps(each) for each in context.router.lines])
    text = "\n".join(trace_request(identity, lines).lines())
    for each in context.portals:
        assert f"replica.limited  replica={each.identity}" in text, text
    cause = describe_end(identity, lines)
    assert cause.startswith("refused: all replicas are at their rate limits"), cause
    assert "2 of 2 replicas name limits" in cause, cause


@when("both portal replicas announce a limit of 5, and one of them does not respond for a while")
def one_unresponsive(context):
    context.other, context.unresponsive = context.fleet.of("portal")
    announce_limit(context, "5")
    # A router issues permits after it has known the other routers for 3 s and a window of 1 s.
    time.sleep(3.0 + 1.0)
    context.unresponsive.behaviour = "mute"

    def send(identity):
        return request(context, f"/receipt/{identity}", identity=identity, deadline_ms=1_500)

    identities = [f"slow-{number}" for number in range(8)]
    waits = {each: in_background(lambda each=each: send(each)) for each in identities}
    answers = {identity: wait() for identity, wait in waits.items()}
    received = [each.identity for each in context.unresponsive.requests]
    context.slow = [identity for identity in received if identity in answers]
    context.answers = [answers[identity] for identity in context.slow]


@then("a receipt at the unresponsive replica is not sent to the other one as well")
def not_hedged(context):
    identities = {each.identity for each in context.other.requests}
    assert context.slow and not identities & set(context.slow), context.slow
    assert {answer.status for answer in context.answers} == {504}


@given("a gateway that has chosen a replica without a limit, and is slow to connect to it")
def chosen_unlimited(context):
    fixture = context.fixture = RegistryFixture(["i-1"])
    shares = RouterShares("router-1", fixture.clock)
    shares.set_routers([], 1)
    fixture.clock.advance(60_000)
    permits = FleetPermits(shares, fixture.clock, share_of_rank=first_weighted_share)
    context.limiter = ReplicaLimiter(permits, fixture.clock, lambda: fixture.registry.any_limited)
    context.permit = context.limiter.acquire(fixture.view("i-1"))


@when("another response announces a limit before the first byte is sent, and all permits are used")
def limit_while_connecting(context):
    fixture = context.fixture
    view = fixture.view("i-1")

    def set_limit(_):
        fixture.registry.record_notice(view, ReplicaNotice(limit=1.0))
        while (permit := context.limiter.acquire(view)) is not None:
            permit.settle(sent=True)
            fixture.clock.advance(500)

    pool = SlowPool(set_limit)
    dependencies = AttemptDependencies(
        _HeaderCodec(), pool, fixture.clock, _Chooser(), fixture.registry
    )
    attempt = Attempt(dependencies, _Exchange(), _Candidate(view), None, context.permit, "i-1")
    context.raised = None
    try:
        attempt.send("")
    except RetryableAttemptError as error:
        context.raised = error
    attempt.end("x", failed=False)
    context.attempt, context.pool = attempt, pool


@then("the request is not sent to that replica, and its permits are returned")
def not_sent(context):
    assert context.raised is not None and not context.raised.sent
    assert context.raised.cause.kind is ErrorKind.AT_LIMIT
    assert not context.attempt.sent and not context.pool.sent
    # All counted permits were used by other requests: this one has returned its own.
    view = context.fixture.view("i-1")
    bound = context.limiter.bound_of(view)
    assert context.limiter.permits.count_in_window("i-1", bound) == bound.permits


@when('the portal replica announces "{value}"')
def announce_value(context, value):
    announce_limit(context, value)


@then("the gateway reads it as {limit}")
def read_as(context, limit):
    # Log lines arrive after the responses; that of a limit precedes that of its request.
    assert eventually(lambda: len(context.router.find_all("request.ended")) >= REQUESTS_PER_ROUND)
    lines = context.router.find_all("replica.limited")
    if limit == NOTHING:
        assert not lines, lines
        assert len(context.router.find_all("replica.limit_unreadable")) == 1
        return
    assert {line["per_second"] for line in lines} == {float(limit)}, lines
    assert not context.router.find_all("replica.limit_unreadable")


@when("both portal replicas announce a limit of 2, then an unreadable one, then two headers")
def readable_then_unreadable(context):
    announce_limit(context, "2")
    # A router issues permits after it has known the other routers for 3 s and a window of 2.5 s.
    time.sleep(3.0 + 2.5)
    for value in ("a few", "3\r\nServer-Limit: 4"):
        announce_limit(context, value)
        time.sleep(2.5)


@then("the limit stays in force, with one log line per replica on the unreadable header")
def limit_in_force(context):
    assert not context.router.find_all("replica.limit_ended")
    assert {line["per_second"] for line in context.router.find_all("replica.limited")} == {2.0}
    lines = context.router.find_all("replica.limit_unreadable")
    assert len(lines) == 2 == len({line["replica"] for line in lines}), lines


LIMITED = ReplicaNotice(limit=2.0)
ORDINARY = ReplicaNotice()


@given("a replica that announced a limit in a response")
def limit_announced(context):
    context.fixture = RegistryFixture(["i-1"])
    context.changes = []
    fixture = context.fixture
    fixture.registry = ReplicaRegistry(
        fixture.clock,
        lambda _: None,
        lambda incarnation, limit: context.changes.append((incarnation, limit.number)),
    )
    fixture.list_records()
    fixture.clock.advance(1_000)
    context.announced_ms = fixture.clock.monotonic_ms()
    fixture.registry.record_notice(fixture.view("i-1"), LIMITED, context.announced_ms - 10)


def limit_of(context):
    return context.fixture.view("i-1").reported.limit


@then("a response without a limit to a request that was sent before does not end it")
def earlier_does_not_end(context):
    registry, view = context.fixture.registry, context.fixture.view("i-1")
    context.fixture.clock.advance(500)
    registry.record_notice(view, ORDINARY, context.announced_ms - 1)
    assert limit_of(context).per_second == 2.0
    # The limit is announced again later; requests sent before that do not end it either.
    registry.record_notice(view, LIMITED, context.announced_ms + 100)
    registry.record_notice(view, ORDINARY, context.announced_ms + 400)
    assert limit_of(context).per_second == 2.0
    assert len(context.changes) == 1, context.changes


@then("and one to a request that was sent after ends it, and the replica's rate is raised in steps")
@then("one to a request that was sent after ends it, and the replica's rate is raised in steps")
def later_ends(context):
    clock, view = context.fixture.clock, context.fixture.view("i-1")
    clock.advance(100)
    context.fixture.registry.record_notice(view, ORDINARY, clock.monotonic_ms() - 50)
    assert limit_of(context).per_second is None
    rates = []
    for _ in range(4):
        rates.append(limit_of(context).rate_at(clock.monotonic_ms()))
        clock.advance(500)
    assert rates == sorted(rates) and rates[0] > 2.0, rates
    assert limit_of(context).rate_at(clock.monotonic_ms()) is None
    assert [number for _, number in context.changes] == [1, 2]


@then("of two responses that cross the lower limit applies")
def lower_limit_applies(context):
    clock, view = context.fixture.clock, context.fixture.view("i-1")
    registry = context.fixture.registry
    sent_ms = clock.monotonic_ms()
    clock.advance(100)
    for limit in (3.0, 1.0, 3.0):
        registry.record_notice(view, ReplicaNotice(limit=limit), sent_ms)
    assert limit_of(context).per_second == 1.0


class LimitReports:
    """Routers that report a replica's limits to each other; messages are late or lost."""

    def __init__(self, seed, routers=3):
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.events = []
        self.limit = None
        self.registries = []
        for own in range(routers):
            registry = ReplicaRegistry(
                self.clock,
                lambda _: None,
                lambda incarnation, limit, own=own: self.report(own, incarnation, limit),
            )
            registry.update([Replica("i-1", "portal", "127.0.0.1:9", born_ms=7)])
            self.registries.append(registry)

    def schedule(self, max_delay_ms, action):
        due_ms = self.clock.monotonic_ms() + self.source.uniform(0, max_delay_ms)
        self.events.append((due_ms, action))

    def send_request(self, own, max_delay_ms=300.0):
        """Send a request; the replica responds after a delay, and the response is delayed again."""
        sent_ms = self.clock.monotonic_ms()
        registry = self.registries[own]

        def respond():
            notice = ReplicaNotice(limit=self.limit)
            self.schedule(max_delay_ms, lambda: receive(notice))

        def receive(notice):
            view = registry.view("i-1")
            if notice.has_statement or view.reported.limit.is_in_force:
                registry.record_notice(view, notice, sent_ms)

        self.schedule(max_delay_ms, respond)

    def report(self, own, incarnation, limit):
        for other, registry in enumerate(self.registries):
            if other != own:
                for _ in range(self.source.choice([0, 1, 2])):
                    self.schedule(
                        500.0,
                        lambda registry=registry: registry.record_peer_limit(
                            incarnation, limit.number, limit.per_second
                        ),
                    )

    def advance(self, duration_ms):
        last_ms = self.clock.monotonic_ms() + duration_ms
        while self.events and min(self.events, key=lambda each: each[0])[0] <= last_ms:
            event = min(self.events, key=lambda each: each[0])
            self.events.remove(event)
            self.clock.advance(max(0.0, event[0] - self.clock.monotonic_ms()))
            event[1]()
        self.clock.advance(max(0.0, last_ms - self.clock.monotonic_ms()))

    def known_limits(self):
        return {registry.view("i-1").reported.limit.per_second for registry in self.registries}


@given("routers that send requests to a replica, and report its limits to each other")
def reporting_routers(context):
    context.limits = st.lists(st.sampled_from([None, 0.5, 1.0, 5.0]), max_size=6)


@when("the replica announces, changes and ends limits, and responses and messages are late")
def limits_change(context):
    def run(seed, limits):
        simulation = LimitReports(seed)
        for limit in limits:
            simulation.limit = limit
            for _ in range(simulation.source.randrange(6)):
                simulation.send_request(simulation.source.randrange(3))
                simulation.advance(simulation.source.uniform(0, 200))
        # All earlier messages arrive; then each router sends another request, one after the other.
        simulation.advance(2_000)
        for own in range(3):
            simulation.send_request(own)
            simulation.advance(2_000)
        return simulation

    context.run_simulation = run


@then("after another request each, all routers have the latest limit, whatever they had before")
def all_have_latest_limit(context):
    @given_any(st.integers(0, 2**32), context.limits)
    @settings(max_examples=200)
    def check(seed, limits):
        simulation = context.run_simulation(seed, limits)
        known = simulation.known_limits()
        assert known == {simulation.limit}, (limits, known)

    check()


@then("its limit outlives a lapse of its record, but not a restart")
def lapse_and_restart(context):
    fixture = context.fixture
    fixture.list_records([])
    assert not fixture.registry.any_limited
    fixture.list_records()
    assert fixture.registry.any_limited and limit_of(context).per_second == 2.0
    fixture.born += 9_000
    fixture.list_records()
    assert limit_of(context) == ReportedLimit()


@given("a router that has not read the list of replicas")
def without_list(context):
    context.fixture = RegistryFixture(["i-1", "i-2"])
    context.fixture.registry = ReplicaRegistry(context.fixture.clock, lambda _: None)


@when("it receives a limit, a later one and the earlier one again, and then reads the list")
def limits_before_list(context):
    fixture = context.fixture
    for number, per_second in ((1, 2.0), (2, 0.5), (1, 2.0)):
        fixture.registry.record_peer_limit(f"i-1@{fixture.born}", number, per_second)
        fixture.registry.record_peer_limit("i-2@1", number, per_second)
    fixture.list_records()


@then("the later limit applies, and only to the incarnation for which it was reported")
def later_limit_applies(context):
    limits = {each: context.fixture.view(each).reported.limit for each in ("i-1", "i-2")}
    assert limits["i-1"].per_second == 0.5 and limits["i-1"].number == 2, limits
    assert limits["i-2"] == ReportedLimit(), limits
    assert context.fixture.registry.any_limited


@given("a router that selects the holders of a replica's permits")
def selects_holder(context):
    context.clock = ManualClock()
    shares = RouterShares("router-0", context.clock)
    shares.set_routers([f"router-{number}" for number in range(1, 9)], 9)
    identity = next(f"i-{n}" for n in range(100) if "router-0" not in shares.top_ranked(f"i-{n}"))
    context.view = RegistryFixture([identity]).view(identity)
    context.first, context.second = shares.top_ranked(identity)
    context.holders = PermitHolders(shares, context.clock)


@when("the first of them does not reply")
def first_unresponsive(context):
    assert context.holders.holder_of(context.view) == context.first
    context.holders.record_unresponsive(context.first)


@then("the next one is asked, and after one second the first one again")
def next_asked(context):
    assert context.holders.holder_of(context.view) == context.second
    context.holders.record_reply(context.second, {context.view.identity: 400.0})
    assert context.holders.holder_of(context.view) == ""
    assert context.holders.ready_in_ms(context.view) == 400.0
    context.clock.advance(999)
    assert context.holders.holder_of(context.view) == context.second
    context.clock.advance(1)
    assert context.holders.holder_of(context.view) == context.first


@given("a router that requests a permit from another one")
def requests_permit(context):
    selects_holder(context)
    context.sent = []
    context.client = PermitClient(
        lambda: "router-0.1",
        context.holders,
        context.clock,
        NullCounters(),
        address_of=lambda name: f"{name}:1",
        send=lambda message, address: context.sent.append((message, address)),
    )


@when("the reply arrives after the timeout")
def late_reply(context):
    context.granted = context.client.request_permit(context.first, [context.view], 0.0)
    number = context.sent[0][0].number
    late = PermitReply(number, "router-0.1", context.view.incarnation, 0, 1_500)
    thread = threading.Thread(target=context.client.handle_reply, args=(late, "there"))
    thread.start()
    thread.join()


@then("the permit is returned, and the request has none")
def permit_returned(context):
    assert context.granted is None
    assert context.sent[1] == (PermitUse(1, "router-0.1", sent=False), "there"), context.sent
