"""Steps on the state that replicas report in their responses."""

import json

import h11
from behave import given, then, when
from hypothesis import example
from hypothesis import given as given_any
from hypothesis import strategies as st
from platform_standins import Caller
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.connections import ReplicaResponse
from aspengate.explanation import read_lines, trace_request
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.replicas import Availability, Replica, ReplicaNotice, ReplicaRegistry
from aspengate.replicas._reported_state import MAX_BACKOFF_MS
from gateway_world import TOKENS, start_gateways

BORN = 1_790_000_000_000
BACKOFF_MS = 3_000.0
LEAVING = ReplicaNotice(leaving=True)
BACKING_OFF = ReplicaNotice(backoff_ms=BACKOFF_MS)


def replica(identity, *, born=BORN, number=1, service="portal"):
    return Replica(identity, service, "127.0.0.1:9", born_ms=born, number=number)


class RegistryFixture:
    """A registry of listed replicas, whose records have a start time unless ``born`` is 0."""

    def __init__(self, identities, born=BORN):
        self.clock = ManualClock()
        self.born = born
        self.number = 1
        self.identities = identities
        self.registry = ReplicaRegistry(self.clock, lambda _: None)
        self.list_records()

    def list_records(self, identities=None):
        self.number += 1
        listed = self.identities if identities is None else identities
        self.registry.update([replica(each, born=self.born, number=self.number) for each in listed])

    def view(self, identity):
        return self.registry.view(identity)

    def report(self, identity, notice):
        self.registry.record_notice(self.view(identity), notice)

    def ready_ids(self):
        return {view.identity for view in self.registry.ready("portal")}


@given("a registry with a replica that reported leaving, and one that asked for a 3 s backoff")
def with_reported_state(context):
    context.fixtures = [RegistryFixture(["i-1", "i-2"]), RegistryFixture(["i-1", "i-2"], born=0)]
    context.earlier = []
    for fixture in context.fixtures:
        fixture.report("i-1", LEAVING)
        fixture.report("i-2", BACKING_OFF)
        assert fixture.ready_ids() == set()
        context.earlier.append(fixture.view("i-1"))


@given("a registry with a replica that has reported no state")
def without_reported_state(context):
    context.fixtures = [RegistryFixture(["i-1"]), RegistryFixture(["i-1"], born=0)]
    context.earlier = [fixture.view("i-1") for fixture in context.fixtures]


@when("both records lapse and return with the same start time, and are still marked ready")
def records_lapse_and_return(context):
    for fixture in context.fixtures:
        fixture.list_records([])
        fixture.list_records()


@when("both send ordinary responses, and their records are written again")
def ordinary_responses(context):
    for fixture in context.fixtures:
        for identity in fixture.identities:
            fixture.report(identity, ReplicaNotice())
        fixture.list_records()


@then("the first one gets no requests, and the second one none before its backoff has ended")
def reported_state_applies(context):
    for fixture in context.fixtures:
        assert fixture.ready_ids() == set(), fixture.ready_ids()
        fixture.clock.advance(BACKOFF_MS - 1)
        assert fixture.ready_ids() == set(), fixture.ready_ids()
        fixture.clock.advance(1)
        assert fixture.ready_ids() == {"i-2"}, fixture.ready_ids()


@when("its record lapses, one of its responses reports leaving, and the record returns")
def notice_during_lapse(context):
    for fixture, earlier in zip(context.fixtures, context.earlier, strict=True):
        fixture.list_records([])
        fixture.registry.record_notice(earlier, LEAVING)
        fixture.list_records()


@when("its record lapses and returns, it reports leaving, and its record lapses again")
def leaving_after_lapse(context):
    for fixture in context.fixtures:
        fixture.list_records([])
        fixture.list_records()
        fixture.report("i-1", LEAVING)
        fixture.list_records([])


@when("a late response to an earlier request reports a backoff, and the record returns")
def late_backoff(context):
    for fixture, earlier in zip(context.fixtures, context.earlier, strict=True):
        fixture.registry.record_notice(earlier, BACKING_OFF)
        fixture.list_records()


@then("it gets no requests, also after the backoff")
def no_requests_after_backoff(context):
    for fixture in context.fixtures:
        assert fixture.ready_ids() == set()
        fixture.clock.advance(BACKOFF_MS)
        assert fixture.ready_ids() == set()


@then("it gets no requests")
def gets_no_requests(context):
    for fixture in context.fixtures:
        assert fixture.ready_ids() == set()


@when("both restart under their ids, with a later start time or a sequence number that starts over")
def both_restart(context):
    by_time, by_number = context.fixtures
    by_time.list_records([])
    by_time.born += 9_000
    by_time.list_records()
    by_number.number = -1
    by_number.list_records()


@then("both take requests, and a late response of the earlier incarnation does not change that")
def both_available(context):
    for fixture, earlier in zip(context.fixtures, context.earlier, strict=True):
        assert fixture.ready_ids() == {"i-1", "i-2"}, fixture.ready_ids()
        fixture.registry.record_notice(earlier, LEAVING)
        assert fixture.ready_ids() == {"i-1", "i-2"}, fixture.ready_ids()


@when("the machine is suspended for 3 s")
def machine_suspended(context):
    # The daemons' clock advances during a suspension, which suspension.feature tests.
    for fixture in context.fixtures:
        fixture.clock.advance(BACKOFF_MS)


@then("the second one takes requests again")
def second_available(context):
    for fixture in context.fixtures:
        assert fixture.ready_ids() == {"i-2"}


@when("it asks for 3 s, then for 1 s, and once for 1e9 s")
def several_backoffs(context):
    for fixture in context.fixtures:
        fixture.report("i-1", BACKING_OFF)
        fixture.report("i-1", ReplicaNotice(backoff_ms=1_000.0))


@then("its backoff ends after the longest of these, or after ten minutes")
def longest_backoff(context):
    for fixture in context.fixtures:
        assert fixture.registry.backoff_left_ms("portal") == BACKOFF_MS
        fixture.report("i-1", ReplicaNotice(backoff_ms=1e12))
        assert fixture.registry.backoff_left_ms("portal") == MAX_BACKOFF_MS == 600_000


@given('a response with "{value}" in Retry-After')
def response_with_retry_after(context, value):
    headers = [("Retry-After", value), ("Content-Length", "0")]
    context.answer = ReplicaResponse(None, h11.Response(status_code=503, headers=headers))


@then("the backoff that it asks for is {ms:d} ms")
def backoff_is(context, ms):
    assert context.answer.retry_after_ms == ms, context.answer.retry_after_ms


@given("any sequence of notices, record lapses, record returns and delays")
def any_sequence(context):
    notice = st.builds(
        ReplicaNotice,
        leaving=st.booleans(),
        backoff_ms=st.sampled_from([0.0, 500.0, BACKOFF_MS, 1e12]),
    )
    context.steps = st.lists(
        st.one_of(notice, st.sampled_from(["lapse", "return"]), st.floats(0, 4_000)), max_size=20
    )


@then("no incarnation is available after it reported leaving, or before its longest backoff ends")
def never_available(context):
    # A notice through the view from before the lapse is lost: the returned record got a new view.
    @example(["lapse", "return", LEAVING], BORN)
    @given_any(context.steps, st.sampled_from([0, BORN]))
    def check(steps, born):
        fixture = RegistryFixture(["i-1"], born=born)
        view = fixture.view("i-1")
        left, backoff_until = False, 0.0
        for step in steps:
            now = fixture.clock.monotonic_ms()
            if isinstance(step, ReplicaNotice):
                fixture.registry.record_notice(view, step)
                left = left or step.leaving
                if step.backoff_ms:
                    backoff_until = max(backoff_until, now + min(step.backoff_ms, MAX_BACKOFF_MS))
            elif isinstance(step, float):
                fixture.clock.advance(step)
            else:
                fixture.list_records([] if step == "lapse" else None)
            now = fixture.clock.monotonic_ms()
            assert not (fixture.ready_ids() and (left or now < backoff_until)), (
                step,
                left,
                backoff_until,
            )
        fixture.list_records()
        assert bool(fixture.ready_ids()) is not (
            left or fixture.clock.monotonic_ms() < backoff_until
        )

    check()


REPORTS = {
    "a complete response": ("portal", "well"),
    "the head of a running stream": ("engine", "well"),
    "a failure of the replica": ("portal", "fail"),
    "a refusal": ("portal", "refuse"),
    "a truncated response": ("portal", "end early"),
    "a run whose caller disconnected": ("engine", "well"),
    "a 421": ("portal", "well"),
    "a success without a signature": ("portal", "unsigned leaving"),
}


def request(context, path, **fields):
    if path.startswith("/score"):
        fields = {"tokens": TOKENS, "body": b"essay", **fields}
    caller = context.router.call()
    try:
        return caller.request("POST" if path.startswith("/score") else "GET", path, **fields)
    finally:
        caller.close()


@when("{answer} reports that its replica is leaving")
def response_reports_leaving(context, answer):
    service, behaviour = REPORTS[answer]
    both = context.fleet.of(service)
    for each in both:
        each.leaving, each.behaviour = True, behaviour
    path = "/status/1" if service == "portal" else "/score/1"
    if answer == "a 421":
        for each in both:
            each.identity = f"{each.identity}-another"
    if answer == "the head of a running stream":
        for each in both:
            each.events, each.pause_s = 1_000, 0.05
    if answer in ("the head of a running stream", "a run whose caller disconnected"):
        for each in both:
            each.events, each.pause_s = 1_000, 0.05
        caller = context.router.call()
        caller.send("POST", path, tokens=TOKENS, body=b"essay", deadline_ms=30_000)
        caller.read_head()
        if answer == "a run whose caller disconnected":
            caller.close()
        context.cleanup.callback(caller.close)
    else:
        try:
            request(context, path)
        except OSError:
            pass
    context.reporting = next(each for each in both if each.requests)
    context.other = next(each for each in both if each is not context.reporting)
    context.other.leaving, context.other.behaviour = False, "well"
    context.other.events = 5
    context.path = path


@then("the gateway logs it at once, sends no more requests, and keeps no idle connection to it")
def logged_and_unused(context):
    line = eventually(lambda: context.router.find("replica.leaving"))
    assert line["replica"] == context.reporting.identity, line
    before = len(context.reporting.requests)
    for number in range(20):
        path = context.path if context.path.startswith("/score") else f"/receipt/{number}"
        assert request(context, path).status == 200
    assert len(context.reporting.requests) == before
    # The running stream keeps its connection; there is no idle one.
    running = (
        1 if context.reporting.events == 1_000 and context.reporting.behaviour == "well" else 0
    )
    assert eventually(lambda: context.reporting.open_connections <= running, 10.0)


@then("the gateway does not treat it as leaving")
def not_leaving(context):
    assert eventually(lambda: context.router.find("request.ended"))
    assert context.router.find("replica.leaving") is None


class SlowPool:
    """A connection pool that calls ``before`` while it opens a connection."""

    def __init__(self, before):
        self.before = before
        self.closed = 0
        self.sent = []

    def acquire(self, start):
        return None

    def open(self, address, timeout_ms):
        self.before(address)
        return self

    def send(self, head, body, waiter):
        self.sent.append(head)

    def close(self):
        self.closed += 1


@given("a gateway that has chosen a replica for a request and is still connecting to it")
def replica_chosen(context):
    start_gateways(context, replicas=2)


@when("another response reports that this replica is leaving before the first byte is sent")
def reports_leaving_before_send(context):
    send_after_change(context, lambda fixture, view: fixture.registry.record_notice(view, LEAVING))


@when("the record of this replica is removed before the first byte is sent")
def removed_before_send(context):
    send_after_change(context, lambda fixture, view: fixture.registry.update([]))


def send_after_change(context, change):
    """Send a request to a replica, whose state changes while the connection is opened."""
    fixture = RegistryFixture(["i-1"])
    view = fixture.view("i-1")
    pool = SlowPool(lambda _: change(fixture, view))
    parts = AttemptDependencies(_HeaderCodec(), pool, fixture.clock, _Chooser(), fixture.registry)
    settled = []
    attempt = Attempt(parts, _Exchange(), _Candidate(view), None, _Permit(settled), "i-1")
    try:
        attempt.send("")
        context.raised = None
    except RetryableAttemptError as error:
        context.raised = error
    attempt.end("x", failed=False)
    context.attempt, context.pool, context.settled = attempt, pool, settled
    context.availability = fixture.registry.availability(view)


@then("the request goes to another replica without a second arrival, and its retry is returned")
def not_sent(context):
    assert context.raised is not None and not context.raised.sent
    assert not context.attempt.sent and not context.pool.sent and context.pool.closed == 1
    assert context.settled == [False]
    assert context.availability is Availability.LEAVING


@then("the request is not sent, and the replica counts as no longer listed")
def not_sent_to_unlisted(context):
    assert context.raised is not None and not context.raised.sent
    assert not context.attempt.sent and not context.pool.sent and context.pool.closed == 1
    assert context.availability is Availability.UNLISTED


class _HeaderCodec:
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
    max_gap_ms = 0.0
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


@when("one engine reports that it is leaving, and a stream breaks at the other one")
def stream_breaks(context):
    # The replica of the first request is chosen again for the same prompt.
    assert request(context, "/score/1").status == 200
    one, other = sorted(context.fleet.of("engine"), key=lambda each: not each.requests)
    one.leaving = True
    assert request(context, "/score/1").status == 200
    assert eventually(lambda: context.router.find("replica.leaving"))
    context.reporting, context.before = one, len(one.requests)
    other.behaviour = "break off"
    try:
        request(context, "/score/2")
    except OSError:
        pass


@then("the leaving engine gets no part of the stream")
def no_stream_part(context):
    assert len(context.reporting.requests) == context.before


@when("both portal replicas ask for a backoff, one for 3 s and one for 60 s")
def both_back_off(context):
    for each, backoff_s in zip(context.fleet.of("portal"), ("3", "60"), strict=True):
        each.behaviour, each.retry_after = "rest", backoff_s
    while not all(each.requests for each in context.fleet.of("portal")):
        assert request(context, "/status/1").status == 503


@when("both portal replicas report that they are leaving")
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


@then("the next receipt is refused at once and not sent, with a Retry-After of 3 to 4 s")
def refused_backing_off(context):
    line = next_receipt(context)
    assert line["outcome"] == "resting", line
    # The backoff began a moment before, and Retry-After is spread over a quarter of it.
    assert 0 < float(context.answer.header("Retry-After")) <= 4.0, context.answer.headers


@then("the trace of that receipt shows both replicas and the backoffs that they asked for")
def trace_shows_backoffs(context):
    lines = read_lines("router-1", [json.dumps(line) for line in context.router.lines])
    text = "\n".join(trace_request("next-receipt", lines).lines())
    for each, asked_ms in zip(context.fleet.of("portal"), (3_000, 60_000), strict=True):
        assert f"replica.rests  replica={each.identity}" in text, text
        assert f"asked_ms={asked_ms}" in text, text


@then("the next receipt is refused at once and not sent, with a Retry-After of 2 s")
def refused_leaving(context):
    line = next_receipt(context)
    assert line["outcome"] == "no_upstream" and "said that it leaves" in line["reason"], line
    assert context.answer.header("Retry-After") == "2"


@when("one portal replica reports that it is leaving, and the other one asks for a 60 s backoff")
def one_leaves_one_backs_off(context):
    one, other = context.fleet.of("portal")
    one.leaving = True
    other.behaviour, other.retry_after = "rest", "60"
    while not (one.requests and other.requests):
        request(context, "/status/1")


@then("the metrics show one replica that is leaving and one that is backing off")
def metrics_count_both(context):
    text = Caller(context.router.metrics_address).request("GET", "/metrics").body.decode()
    found = [
        line.rpartition(" ")[2]
        for line in text.splitlines()
        if 'what="replicas_leaving"' in line or 'what="replicas_resting"' in line
    ]
    assert found == ["1.0", "1.0"], found
