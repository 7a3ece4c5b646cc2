"""Steps on what replicas say of themselves in their answers."""

import json

import h11
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from platform_standins import Caller
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.connections import ReplicaAnswer
from aspengate.explanation import read_lines, tell_story
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.replicas import Availability, Replica, ReplicaNotice, ReplicaRegistry
from aspengate.replicas._reported_state import MAX_BACKOFF_MS
from gateway_world import TOKENS, start_gateways

BORN = 1_790_000_000_000
REST_MS = 3_000.0
LEAVING = ReplicaNotice(leaving=True)
RESTING = ReplicaNotice(backoff_ms=REST_MS)


def replica(identity, *, born=BORN, number=1, service="portal"):
    return Replica(identity, service, "127.0.0.1:9", born_ms=born, number=number)


class Listed:
    """A registry with replicas of which some tell the time of their start and some don't."""

    def __init__(self, identities, born=BORN):
        self.clock = ManualClock()
        self.born = born
        self.number = 1
        self.identities = identities
        self.registry = ReplicaRegistry(self.clock, lambda _: None)
        self.write()

    def write(self, identities=None):
        self.number += 1
        listed = self.identities if identities is None else identities
        self.registry.update([replica(each, born=self.born, number=self.number) for each in listed])

    def view(self, identity):
        return self.registry.view(identity)

    def say(self, identity, notice):
        self.registry.record_notice(self.view(identity), notice)

    def open(self):
        return {view.identity for view in self.registry.ready("portal")}


@given("a registry with a replica that said that it leaves, and one that asked for 3 s of rest")
def said_both(context):
    context.listed = [Listed(["i-1", "i-2"]), Listed(["i-1", "i-2"], born=0)]
    context.earlier = []
    for listed in context.listed:
        listed.say("i-1", LEAVING)
        listed.say("i-2", RESTING)
        assert listed.open() == set()
        context.earlier.append(listed.view("i-1"))


@given("a registry with a replica that has said nothing")
def said_nothing(context):
    context.listed = [Listed(["i-1"]), Listed(["i-1"], born=0)]
    context.earlier = [listed.view("i-1") for listed in context.listed]


@when("both records lapse and come back under the same start, and still read ready")
def lapse_and_return(context):
    for listed in context.listed:
        listed.write([])
        listed.write()


@when("both give usual answers, and their records are written again")
def usual_answers(context):
    for listed in context.listed:
        for identity in listed.identities:
            listed.say(identity, ReplicaNotice())
        listed.write()


@then("the first one gets nothing, and the second one nothing before its rest has ended")
def statements_hold(context):
    for listed in context.listed:
        assert listed.open() == set(), listed.open()
        listed.clock.advance(REST_MS - 1)
        assert listed.open() == set(), listed.open()
        listed.clock.advance(1)
        assert listed.open() == {"i-2"}, listed.open()


@when("its record lapses, an answer of it says that it leaves, and the record comes back")
def notice_in_between(context):
    for listed, earlier in zip(context.listed, context.earlier, strict=True):
        listed.write([])
        listed.registry.record_notice(earlier, LEAVING)
        listed.write()


@then("it gets nothing")
def gets_nothing(context):
    for listed in context.listed:
        assert listed.open() == set()


@when("both start again under their ids, by a later time or a number that begins anew")
def start_again(context):
    by_time, by_number = context.listed
    by_time.write([])
    by_time.born += 9_000
    by_time.write()
    by_number.number = -1
    by_number.write()


@then("both take requests, and what an answer of the earlier start still says changes nothing")
def open_again(context):
    for listed, earlier in zip(context.listed, context.earlier, strict=True):
        assert listed.open() == {"i-1", "i-2"}, listed.open()
        listed.registry.record_notice(earlier, LEAVING)
        assert listed.open() == {"i-1", "i-2"}, listed.open()


@when("the machine is suspended for 3 s")
def suspended(context):
    # The daemons' clock counts a suspension, as suspension.feature shows.
    for listed in context.listed:
        listed.clock.advance(REST_MS)


@then("the second one takes requests again")
def second_open(context):
    for listed in context.listed:
        assert listed.open() == {"i-2"}


@when("it asks for 3 s, then for 1 s, and once for 1e9 s")
def several_rests(context):
    for listed in context.listed:
        listed.say("i-1", RESTING)
        listed.say("i-1", ReplicaNotice(backoff_ms=1_000.0))


@then("its rest ends after the longest of these, or after ten minutes")
def longest_rest(context):
    for listed in context.listed:
        assert listed.registry.backoff_left_ms("portal") == REST_MS
        listed.say("i-1", ReplicaNotice(backoff_ms=1e12))
        assert listed.registry.backoff_left_ms("portal") == MAX_BACKOFF_MS == 600_000


@given('an answer with "{value}" in Retry-After')
def answer_with(context, value):
    headers = [("Retry-After", value), ("Content-Length", "0")]
    context.answer = ReplicaAnswer(None, h11.Response(status_code=503, headers=headers))


@then("the time that it asks for is {ms:d} ms")
def asked_ms(context, ms):
    assert context.answer.retry_after_ms == ms, context.answer.retry_after_ms


@given("any series of notices, lapses, returns and times")
def any_series(context):
    notice = st.builds(
        ReplicaNotice,
        leaving=st.booleans(),
        backoff_ms=st.sampled_from([0.0, 500.0, REST_MS, 1e12]),
    )
    context.steps = st.lists(
        st.one_of(notice, st.sampled_from(["lapse", "return"]), st.floats(0, 4_000)), max_size=20
    )


@then("no start is open once it has left, or before the end of the longest rest it asked for")
def never_open(context):
    @given_any(context.steps, st.sampled_from([0, BORN]))
    def check(steps, born):
        listed = Listed(["i-1"], born=born)
        view = listed.view("i-1")
        left, rest_until = False, 0.0
        for step in steps:
            now = listed.clock.monotonic_ms()
            if isinstance(step, ReplicaNotice):
                listed.registry.record_notice(view, step)
                left = left or step.leaving
                if step.backoff_ms:
                    rest_until = max(rest_until, now + min(step.backoff_ms, MAX_BACKOFF_MS))
            elif isinstance(step, float):
                listed.clock.advance(step)
            else:
                listed.write([] if step == "lapse" else None)
            now = listed.clock.monotonic_ms()
            assert not (listed.open() and (left or now < rest_until)), (step, left, rest_until)
        listed.write()
        assert bool(listed.open()) is not (left or listed.clock.monotonic_ms() < rest_until)

    check()


SAYING = {
    "a whole answer": ("portal", "well"),
    "the head of a stream that runs": ("engine", "well"),
    "a failure of its own": ("portal", "fail"),
    "a refusal": ("portal", "refuse"),
    "an answer that is cut": ("portal", "end early"),
    "a run whose caller has left": ("engine", "well"),
    "a 421": ("portal", "well"),
    "a success that nobody signed": ("portal", "unsigned leaving"),
}


def request(context, path, **fields):
    if path.startswith("/score"):
        fields = {"tokens": TOKENS, "body": b"essay", **fields}
    caller = context.router.call()
    try:
        return caller.request("POST" if path.startswith("/score") else "GET", path, **fields)
    finally:
        caller.close()


@when("{answer} says that its replica leaves")
def answer_says(context, answer):
    service, behaviour = SAYING[answer]
    both = context.fleet.of(service)
    for each in both:
        each.leaving, each.behaviour = True, behaviour
    path = "/status/1" if service == "portal" else "/score/1"
    if answer == "a 421":
        for each in both:
            each.identity = f"{each.identity}-another"
    if answer == "the head of a stream that runs":
        for each in both:
            each.events, each.pause_s = 1_000, 0.05
    if answer in ("the head of a stream that runs", "a run whose caller has left"):
        for each in both:
            each.events, each.pause_s = 1_000, 0.05
        caller = context.router.call()
        caller.send("POST", path, tokens=TOKENS, body=b"essay", deadline_ms=30_000)
        caller.read_head()
        if answer == "a run whose caller has left":
            caller.close()
        context.cleanup.callback(caller.close)
    else:
        try:
            request(context, path)
        except OSError:
            pass
    context.said = next(each for each in both if each.requests)
    context.other = next(each for each in both if each is not context.said)
    context.other.leaving, context.other.behaviour = False, "well"
    context.other.events = 5
    context.path = path


@then("the gateway tells so at once, sends it nothing more, and keeps no connection to it")
def told_and_left(context):
    line = eventually(lambda: context.router.find("replica.leaving"))
    assert line["replica"] == context.said.identity, line
    before = len(context.said.requests)
    for number in range(20):
        path = context.path if context.path.startswith("/score") else f"/receipt/{number}"
        assert request(context, path).status == 200
    assert len(context.said.requests) == before
    # The stream that runs keeps its own connection; nothing waits on another one.
    running = 1 if context.said.events == 1_000 and context.said.behaviour == "well" else 0
    assert eventually(lambda: context.said.open_connections <= running, 10.0)


@then("the gateway does not take it for one that leaves")
def not_taken(context):
    assert eventually(lambda: context.router.find("request.ended"))
    assert context.router.find("replica.leaving") is None


class SlowPool:
    """A pool whose connections come up after ``before`` has been called."""

    def __init__(self, before):
        self.before = before
        self.closed = 0
        self.sent = []

    def take(self, start):
        return None

    def open(self, address, timeout_ms):
        self.before(address)
        return self

    def send(self, head, body, waiter):
        self.sent.append(head)

    def close(self):
        self.closed += 1


@given("a gateway that has chosen a replica for a request, whose connection comes up slowly")
def chosen(context):
    start_gateways(context, replicas=2)


@when("another answer says that this replica leaves before the first byte has gone")
def says_in_between(context):
    listed = Listed(["i-1"])
    view = listed.view("i-1")
    pool = SlowPool(lambda _: listed.registry.record_notice(view, LEAVING))
    parts = AttemptDependencies(_Spelling(), pool, listed.clock, _Chooser(), listed.registry)
    settled = []
    attempt = Attempt(parts, _Exchange(), _Candidate(view), None, _Permit(settled), "i-1")
    try:
        attempt.send("")
        context.raised = None
    except RetryableAttemptError as error:
        context.raised = error
    attempt.end("x", failed=False)
    context.attempt, context.pool, context.settled = attempt, pool, settled
    context.availability = listed.registry.availability(view)


@then("the request goes to the other one, without a second arrival, and a repeat is given back")
def not_sent(context):
    assert context.raised is not None and not context.raised.sent
    assert not context.attempt.sent and not context.pool.sent and context.pool.closed == 1
    assert context.settled == [False]
    assert context.availability is Availability.LEAVING


class _Spelling:
    def replica_headers(self, request, **fields):
        return ()


class _Chooser:
    def record_first_response(self, *_):
        raise AssertionError("nothing was answered")


class _Waiter:
    remaining_ms = 1_000.0

    def check_caller(self):
        pass


class _Route:
    longest_gap_ms = 0.0
    priority = 1


class _Request:
    method, target, body = "GET", "/receipt/1", b""


class _Exchange:
    request, waiter, account = _Request(), _Waiter(), None
    known_route = _Route()


class _Candidate:
    tokens = cost_ms = first_ms = harm_ms = 0.0

    def __init__(self, view):
        self.view = view


class _Permit:
    def __init__(self, settled):
        self.settled = settled

    def settle(self, *, sent):
        if not self.settled:
            self.settled.append(sent)


@when("one engine says that it leaves, and a stream breaks at the other one")
def stream_breaks(context):
    # The one that is asked first is chosen again for the same prompt.
    assert request(context, "/score/1").status == 200
    one, other = sorted(context.fleet.of("engine"), key=lambda each: not each.requests)
    one.leaving = True
    assert request(context, "/score/1").status == 200
    assert eventually(lambda: context.router.find("replica.leaving"))
    context.said, context.before = one, len(one.requests)
    other.behaviour = "break off"
    try:
        request(context, "/score/2")
    except OSError:
        pass


@then("the one that leaves gets no part of it")
def no_part(context):
    assert len(context.said.requests) == context.before


@when("both portal replicas ask for rest, one for 3 s and one for 60 s")
def both_rest(context):
    for each, rest in zip(context.fleet.of("portal"), ("3", "60"), strict=True):
        each.behaviour, each.rest = "rest", rest
    while not all(each.requests for each in context.fleet.of("portal")):
        assert request(context, "/status/1").status == 503


@when("both portal replicas say that they leave")
def both_leave(context):
    for each in context.fleet.of("portal"):
        each.leaving = True
    while not all(each.requests for each in context.fleet.of("portal")):
        assert request(context, "/status/1").status == 200


def next_receipt(context):
    before = [len(each.requests) for each in context.fleet.of("portal")]
    context.answer = request(context, "/receipt/1", identity="next-receipt")
    assert context.answer.status == 503
    assert [len(each.requests) for each in context.fleet.of("portal")] == before
    line = eventually(lambda: context.router.find("request.ended", request_id="next-receipt"))
    assert line["attempts"] == [] and not line["may_have_run"], line
    return line


@then("the next receipt is refused at once and not sent, with a time to come back of 3 to 4 s")
def refused_resting(context):
    line = next_receipt(context)
    assert line["outcome"] == "resting", line
    # The rest has begun a moment before, and callers come back over a quarter of it.
    assert 0 < float(context.answer.header("Retry-After")) <= 4.0, context.answer.headers


@then("the story of that receipt names both replicas and what they asked for")
def story(context):
    told = read_lines("router-1", [json.dumps(line) for line in context.router.lines])
    text = "\n".join(tell_story("next-receipt", told).lines())
    for each, asked_ms in zip(context.fleet.of("portal"), (3_000, 60_000), strict=True):
        assert f"replica.rests  replica={each.identity}" in text, text
        assert f"asked_ms={asked_ms}" in text, text


@then("the next receipt is refused at once and not sent, with a time to come back of 2 s")
def refused_leaving(context):
    line = next_receipt(context)
    assert line["outcome"] == "no_upstream" and "said that it leaves" in line["reason"], line
    assert context.answer.header("Retry-After") == "2"


@when("one portal replica says that it leaves, and the other one asks for 60 s of rest")
def one_of_each(context):
    one, other = context.fleet.of("portal")
    one.leaving = True
    other.behaviour, other.rest = "rest", "60"
    while not (one.requests and other.requests):
        request(context, "/status/1")


@then("the figures tell of one that leaves and one that rests")
def figures(context):
    text = Caller(context.router.metrics_address).request("GET", "/metrics").body.decode()
    found = [
        line.rpartition(" ")[2]
        for line in text.splitlines()
        if 'what="replicas_leaving"' in line or 'what="replicas_resting"' in line
    ]
    assert found == ["1.0", "1.0"], found
