"""Steps on what one gateway makes of limits that answers name, and on asking for permits."""

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
from aspengate.fleet_permits import FleetPermits, RouterShares, mostly_first
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
    _Spelling,
    request,
)

ASKED_AT_ONCE = 8
MOST_ROUNDS = 10
NOTHING = "nothing"


@when("both portal replicas name a limit of {limit}, and 8 receipts are asked for at once")
def all_at_limit(context, limit):
    context.portals = context.fleet.of("portal")
    # A router hands out permits once it has known the fleet for 3 s and a window.
    name(context, limit)
    time.sleep(3.0 + 4.0)
    context.before = [len(each.requests) for each in context.portals]
    waits = [
        in_background(lambda number=number: ask_receipt(context, number))
        for number in range(ASKED_AT_ONCE)
    ]
    context.answers = [wait() for wait in waits]
    context.again = ask_receipt(context, refused_number(context))


def name(context, limit):
    """Have all portal replicas name a limit, and be heard: each is asked while the others work."""
    portals = context.fleet.of("portal")
    for each in portals:
        each.limit, each.work_s = limit, 0.2
        each.requests.clear()
    for _ in range(MOST_ROUNDS):
        waits = [in_background(lambda: request(context, "/status/1")) for _ in range(4)]
        assert all(wait().status in (200, 503) for wait in waits)
        if all(each.requests for each in portals):
            break
    for each in portals:
        assert each.requests
        each.work_s = 0.0


def ask_receipt(context, number):
    return request(context, f"/receipt/{number}", identity=f"receipt-{number}-{next(_asked)}")


_asked = itertools.count()


def refused_number(context):
    return next(n for n, answer in enumerate(context.answers) if answer.status == 503)


@then("as many as the limit allows are served, and the others refused as at_limit and not sent")
def served_and_refused(context):
    served = [answer for answer in context.answers if answer.status == 200]
    refused = [answer for answer in context.answers if answer.status == 503]
    # Two permits of each in 4 s, one of which was used to hear of the limit at the most.
    assert 2 <= len(served) <= 4, [answer.status for answer in context.answers]
    assert len(refused) == ASKED_AT_ONCE - len(served)
    assert all(b"at_limit" in answer.body for answer in refused), refused[0].body
    sent = sum(len(each.requests) for each in context.portals) - sum(context.before)
    assert sent == len(served), sent
    lines = context.router.find_all("request.ended", outcome="at_limit")
    assert lines and all(line["attempts"] == [] for line in lines), lines


@then("each of those has another time to come back, in steps of a second")
def times_to_come_back(context):
    times = sorted(
        float(answer.header("Retry-After")) for answer in context.answers if answer.status == 503
    )
    gaps = [later - sooner for sooner, later in itertools.pairwise(times)]
    # Two replicas at half a request a second each, all of it for this router's callers.
    assert all(0.8 <= gap <= 1.2 for gap in gaps), times


@then("a refused one that comes again at once keeps its time")
def keeps_time(context):
    before = float(context.answers[refused_number(context)].header("Retry-After"))
    after = float(context.again.header("Retry-After"))
    assert before - 0.5 <= after <= before, (before, after)


@then("its story names both replicas, and its loss is that all were at their limits")
def limit_story(context):
    line = eventually(lambda: context.router.find("request.ended", outcome="at_limit"))
    identity = line["request_id"]
    told = read_lines("router-1", [json.dumps(line) for line in context.router.lines])
    text = "\n".join(trace_request(identity, told).lines())
    for each in context.portals:
        assert f"replica.limited  replica={each.identity}" in text, text
    cause = describe_end(identity, told)
    assert cause.startswith("refused: all replicas are at their rate limits"), cause
    assert "2 of 2 replicas name limits" in cause, cause


@when("both portal replicas name a limit of 5, and one of them says nothing for a while")
def one_silent(context):
    context.other, context.silent = context.fleet.of("portal")
    name(context, "5")
    # A router hands out permits once it has known the fleet for 3 s and a window of 1 s.
    time.sleep(3.0 + 1.0)
    context.silent.behaviour = "mute"

    def ask(identity):
        return request(context, f"/receipt/{identity}", identity=identity, deadline_ms=1_500)

    identities = [f"slow-{number}" for number in range(8)]
    waits = {each: in_background(lambda each=each: ask(each)) for each in identities}
    answers = {identity: wait() for identity, wait in waits.items()}
    context.slow = [each.identity for each in context.silent.requests if each.identity in answers]
    context.answers = [answers[identity] for identity in context.slow]


@then("a receipt at the silent one is not sent to the other one as well")
def not_hedged(context):
    identities = {each.identity for each in context.other.requests}
    assert context.slow and not identities & set(context.slow), context.slow
    assert {answer.status for answer in context.answers} == {504}


@given("a gateway that has chosen a replica without a limit, whose connection comes up slowly")
def chosen_unlimited(context):
    listed = context.listed = RegistryFixture(["i-1"])
    shares = RouterShares("router-1", listed.clock)
    shares.know([], 1)
    listed.clock.advance(60_000)
    permits = FleetPermits(shares, listed.clock, part_of_rank=mostly_first)
    context.limiter = ReplicaLimiter(permits, listed.clock, lambda: listed.registry.any_limited)
    context.permit = context.limiter.take(listed.view("i-1"))


@when("another answer names a limit before the first byte has gone, and all its permits are used")
def named_in_between(context):
    listed = context.listed
    view = listed.view("i-1")

    def name_limit(_):
        listed.registry.record_notice(view, ReplicaNotice(limit=1.0))
        while (permit := context.limiter.take(view)) is not None:
            permit.settle(sent=True)
            listed.clock.advance(500)

    pool = SlowPool(name_limit)
    parts = AttemptDependencies(_Spelling(), pool, listed.clock, _Chooser(), listed.registry)
    attempt = Attempt(parts, _Exchange(), _Candidate(view), None, context.permit, "i-1")
    context.raised = None
    try:
        attempt.send("")
    except RetryableAttemptError as error:
        context.raised = error
    attempt.end("x", failed=False)
    context.attempt, context.pool = attempt, pool


@then("the request is not sent there, and its permits are given back")
def not_sent_there(context):
    assert context.raised is not None and not context.raised.sent
    assert context.raised.cause.kind is ErrorKind.AT_LIMIT
    assert not context.attempt.sent and not context.pool.sent
    # One permit is free a window after the oldest use: none was taken by the request.
    view = context.listed.view("i-1")
    bound = context.limiter.bound_of(view)
    assert context.limiter.permits.counted("i-1", bound) == bound.permits


@when('the portal replica names "{value}"')
def name_value(context, value):
    name(context, value)


@then("the gateway takes it for {limit}")
def taken_for(context, limit):
    lines = context.router.find_all("replica.limited")
    if limit == NOTHING:
        assert not lines, lines
        assert len(context.router.find_all("replica.limit_unreadable")) == 1
        return
    assert {line["per_second"] for line in lines} == {float(limit)}, lines
    assert not context.router.find_all("replica.limit_unreadable")


@when("both portal replicas name a limit of 2, then something that can't be read, then two")
def readable_then_not(context):
    name(context, "2")
    # A router hands out permits once it has known the fleet for 3 s and a window of 2.5 s.
    time.sleep(3.0 + 2.5)
    for value in ("a few", "3\r\nServer-Limit: 4"):
        name(context, value)
        time.sleep(2.5)


@then("the limit holds on, with one line for each replica on what can't be read")
def limit_holds(context):
    assert not context.router.find_all("replica.limit_ended")
    assert {line["per_second"] for line in context.router.find_all("replica.limited")} == {2.0}
    lines = context.router.find_all("replica.limit_unreadable")
    assert len(lines) == 2 == len({line["replica"] for line in lines}), lines


LIMITED = ReplicaNotice(limit=2.0)
USUAL = ReplicaNotice()


@given("a replica that named a limit in an answer")
def named_once(context):
    context.listed = RegistryFixture(["i-1"])
    context.told = []
    listed = context.listed
    listed.registry = ReplicaRegistry(
        listed.clock, lambda _: None, lambda life, limit: context.told.append((life, limit.number))
    )
    listed.list_records()
    listed.clock.advance(1_000)
    context.named_ms = listed.clock.monotonic_ms()
    listed.registry.record_notice(listed.view("i-1"), LIMITED, context.named_ms - 10)


def limit_of(context):
    return context.listed.view("i-1").reported.limit


@then("an answer without one to a request that was sent before ends nothing")
def earlier_ends_nothing(context):
    registry, view = context.listed.registry, context.listed.view("i-1")
    context.listed.clock.advance(500)
    registry.record_notice(view, USUAL, context.named_ms - 1)
    assert limit_of(context).per_second == 2.0
    # Named again later: what was sent before that says nothing either.
    registry.record_notice(view, LIMITED, context.named_ms + 100)
    registry.record_notice(view, USUAL, context.named_ms + 400)
    assert limit_of(context).per_second == 2.0
    assert len(context.told) == 1, context.told


@then("and one to a request that was sent after ends it, and the replica gets more by steps")
@then("one to a request that was sent after ends it, and the replica gets more by steps")
def later_ends(context):
    clock, view = context.listed.clock, context.listed.view("i-1")
    clock.advance(100)
    context.listed.registry.record_notice(view, USUAL, clock.monotonic_ms() - 50)
    assert limit_of(context).per_second is None
    rates = []
    for _ in range(4):
        rates.append(limit_of(context).rate_at(clock.monotonic_ms()))
        clock.advance(500)
    assert rates == sorted(rates) and rates[0] > 2.0, rates
    assert limit_of(context).rate_at(clock.monotonic_ms()) is None
    assert [number for _, number in context.told] == [1, 2]


@then("of two that cross the narrower limit holds")
def narrower_holds(context):
    clock, view = context.listed.clock, context.listed.view("i-1")
    registry = context.listed.registry
    sent_ms = clock.monotonic_ms()
    clock.advance(100)
    for limit in (3.0, 1.0, 3.0):
        registry.record_notice(view, ReplicaNotice(limit=limit), sent_ms)
    assert limit_of(context).per_second == 1.0


class Telling:
    """Routers that ask one replica and tell each other; all is late, and some of it is lost."""

    def __init__(self, seed, routers=3):
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.events = []
        self.named = None
        self.registries = []
        for own in range(routers):
            registry = ReplicaRegistry(
                self.clock, lambda _: None, lambda life, limit, own=own: self.tell(own, life, limit)
            )
            registry.update([Replica("i-1", "portal", "127.0.0.1:9", born_ms=7)])
            self.registries.append(registry)

    def later(self, most_ms, action):
        due_ms = self.clock.monotonic_ms() + self.source.uniform(0, most_ms)
        self.events.append((due_ms, action))

    def ask(self, own, most_ms=300.0):
        """Send a request that the replica answers at some time; its answer comes later still."""
        asked_ms = self.clock.monotonic_ms()
        registry = self.registries[own]

        def answer():
            notice = ReplicaNotice(limit=self.named)
            self.later(most_ms, lambda: take(notice))

        def take(notice):
            view = registry.view("i-1")
            if notice.has_statement or view.reported.limit.is_in_force:
                registry.record_notice(view, notice, asked_ms)

        self.later(most_ms, answer)

    def tell(self, own, life, limit):
        for other, registry in enumerate(self.registries):
            if other != own:
                for _ in range(self.source.choice([0, 1, 2])):
                    self.later(
                        500.0,
                        lambda registry=registry: registry.record_peer_limit(
                            life, limit.number, limit.per_second
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

    def known(self):
        return {registry.view("i-1").reported.limit.per_second for registry in self.registries}


@given("routers that ask a replica, and tell each other what it names")
def telling(context):
    context.words = st.lists(st.sampled_from([None, 0.5, 1.0, 5.0]), max_size=6)


@when("the replica names limits, changes them and ends them, and answers and messages are late")
def names_and_changes(context):
    def play(seed, words):
        telling = Telling(seed)
        for word in words:
            telling.named = word
            for _ in range(telling.source.randrange(6)):
                telling.ask(telling.source.randrange(3))
                telling.advance(telling.source.uniform(0, 200))
        # All that was said before arrives; then each asks once more, one after the other.
        telling.advance(2_000)
        for own in range(3):
            telling.ask(own)
            telling.advance(2_000)
        return telling

    context.play = play


@then("once it has been asked by each all know what it named last, whoever knew what before")
def all_know(context):
    @given_any(st.integers(0, 2**32), context.words)
    @settings(max_examples=200)
    def check(seed, words):
        telling = context.play(seed, words)
        assert telling.known() == {telling.named}, (words, telling.known())

    check()


@then("its limit outlives a lapse of its record, and not another start")
def lapse_and_start(context):
    listed = context.listed
    listed.list_records([])
    assert not listed.registry.any_limited
    listed.list_records()
    assert listed.registry.any_limited and limit_of(context).per_second == 2.0
    listed.born += 9_000
    listed.list_records()
    assert limit_of(context) == ReportedLimit()


@given("a router that has not read the list of replicas")
def not_read(context):
    context.listed = RegistryFixture(["i-1", "i-2"])
    context.listed.registry = ReplicaRegistry(context.listed.clock, lambda _: None)


@when("it is told of a limit, of a later one and of the earlier one again, and then reads the list")
def told_early(context):
    listed = context.listed
    for number, per_second in ((1, 2.0), (2, 0.5), (1, 2.0)):
        listed.registry.record_peer_limit(f"i-1@{listed.born}", number, per_second)
        listed.registry.record_peer_limit("i-2@1", number, per_second)
    listed.list_records()


@then("the later limit holds, for the start that it was told of alone")
def later_holds(context):
    limits = {each: context.listed.view(each).reported.limit for each in ("i-1", "i-2")}
    assert limits["i-1"].per_second == 0.5 and limits["i-1"].number == 2, limits
    assert limits["i-2"] == ReportedLimit(), limits
    assert context.listed.registry.any_limited


@given("a router that looks for the holders of a replica's permits")
def looks(context):
    context.clock = ManualClock()
    shares = RouterShares("router-0", context.clock)
    shares.know([f"router-{number}" for number in range(1, 9)], 9)
    identity = next(f"i-{n}" for n in range(100) if "router-0" not in shares.first(f"i-{n}"))
    context.view = RegistryFixture([identity]).view(identity)
    context.first, context.second = shares.first(identity)
    context.holders = PermitHolders(shares, context.clock)


@when("the first of them does not answer")
def first_silent(context):
    assert context.holders.holder_of(context.view) == context.first
    context.holders.note_silent(context.first)


@then("the next one is asked, and after a second the first one again")
def next_asked(context):
    assert context.holders.holder_of(context.view) == context.second
    context.holders.note_answer(context.second, {context.view.identity: 400.0})
    assert context.holders.holder_of(context.view) == ""
    assert context.holders.ready_in_ms(context.view) == 400.0
    context.clock.advance(999)
    assert context.holders.holder_of(context.view) == context.second
    context.clock.advance(1)
    assert context.holders.holder_of(context.view) == context.first


@given("a router that asks another one for a permit")
def asks(context):
    looks(context)
    context.sent = []
    context.asker = PermitClient(
        lambda: "router-0.1",
        context.holders,
        context.clock,
        NullCounters(),
        address_of=lambda name: f"{name}:1",
        send=lambda message, address: context.sent.append((message, address)),
    )


@when("the answer comes after the wait for it")
def late_answer(context):
    context.granted = context.asker.request_permit(context.first, [context.view], 0.0)
    number = context.sent[0][0].number
    late = PermitReply(number, "router-0.1", context.view.incarnation, 0, 1_500)
    thread = threading.Thread(target=context.asker.handle_reply, args=(late, "there"))
    thread.start()
    thread.join()


@then("the permit is given back, and the request has none")
def given_back(context):
    assert context.granted is None
    assert context.sent[1] == (PermitUse(1, "router-0.1", sent=False), "there"), context.sent
