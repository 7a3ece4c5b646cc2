"""Steps on responses, retries and the bytes that replicas and callers receive."""

import time

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.replicas import Replica, ReplicaRegistry
from gateway_world import GENEROUS_RETRIES, TOKENS, in_background, start_gateways

# Longer than a plain response takes on a loaded machine, and shorter than its timeout.
SLOW_RESPONSE_S = 0.15


@given("a gateway with one replica per service")
def one_replica(context):
    start_gateways(context, **GENEROUS_RETRIES)


@given("a gateway with two replicas per service")
def two_replicas(context):
    start_gateways(context, replicas=2, **GENEROUS_RETRIES)


@given("a gateway with three replicas that drop every response")
def three_dropping_replicas(context):
    bounds = {"retry_slack": 10, "retry_ratio": 0.2, "retry_window_s": 20, "retry_start_ms": 0}
    start_gateways(context, replicas=3, **bounds)
    for replica in context.fleet.of("portal"):
        replica.behaviour = "lose"


@given("a gateway with replicas that send long responses")
def long_answers(context):
    start_gateways(
        context, fields={"events": 2_000, "pause_s": 0.02, "work_s": 30.0}, **GENEROUS_RETRIES
    )
    context.fleet.of("engine")[0].work_s = 0.0


@given("a gateway with replicas that send nothing")
def unresponsive_replicas(context):
    start_gateways(context, **GENEROUS_RETRIES)
    context.fleet.of("portal")[0].behaviour = "mute"


def request_status(context, path="/status/1"):
    caller = context.router.call()
    context.identity = caller.send("POST", path, body=b"candidate")
    return caller.read()


def request_receipt(context, path="/receipt/1"):
    caller = context.router.call()
    context.identity = caller.send("GET", path)
    return caller.read()


def set_behaviour(context, service, behaviour):
    for replica in context.fleet.of(service):
        replica.behaviour = behaviour


@when('a status is requested and the replica\'s response is "{behaviour}"')
def status_with_behaviour(context, behaviour):
    context.fleet.of("portal")[0].behaviours = {1: behaviour}
    context.answer = request_status(context)


@then("the caller receives a complete response {status:d} without a replica's signature")
def gateway_error(context, status):
    assert context.answer.whole
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert not context.answer.header("X-Server-Stamp")


@then("the replica ran the request once")
def ran_once(context):
    assert context.fleet.runs(context.identity) == 1


@then("the next status request receives the replica's response unchanged")
def next_response_is_unchanged(context):
    answer = request_status(context, "/status/next")
    replica = context.fleet.of("portal")[0]
    assert answer.status == 200 and answer.body == replica.body(replica.requests[-1])


@when('a receipt is requested and the first replica\'s response is "{behaviour}"')
def receipt_with_behaviour(context, behaviour):
    for replica in context.fleet.of("portal"):
        replica.behaviours = {1: behaviour}
    context.answer = request_receipt(context)
    if context.answer.status != 200:
        # The second replica's first response is broken as well: both replicas must have been asked.
        assert len([r for r in context.fleet.of("portal") if r.requests]) == 2
        context.answer = request_receipt(context)


@then("the caller receives the other replica's complete response")
def other_replicas_response(context):
    assert context.answer.status == 200 and context.answer.whole
    assert context.answer.header("X-Request-Id") == context.identity
    bodies = [
        replica.body(request)
        for replica in context.fleet.of("portal")
        for request in replica.requests
        if request.identity == context.identity
    ]
    assert context.answer.body in bodies


@when('40 different receipts are requested while the replica\'s responses are "{behaviour}"')
def many_receipts(context, behaviour):
    set_behaviour(context, "portal", behaviour)
    caller = context.router.call()
    context.answers = []
    for number in range(40):
        identity = caller.send("GET", f"/receipt/{number}")
        answer = caller.read()
        context.answers.append((identity, number, answer))
        time.sleep(0.01)


@then("each caller receives the response to its own request")
def responses_match_requests(context):
    for identity, number, answer in context.answers:
        assert answer.status == 200, (number, answer.status, answer.body)
        assert answer.header("X-Request-Id") == identity
        assert f"/receipt/{number} ".encode() in answer.body


@then("the caller receives the replica's response")
def replicas_response(context):
    replica = context.fleet.of("portal")[0]
    assert context.answer.status == 200 and context.answer.whole
    assert context.answer.body == replica.body(replica.requests[0])


@then("the caller receives the replica's 500 with its signature and body")
def replicas_error(context):
    assert context.answer.status == 500
    assert context.answer.header("X-Server-Stamp") and context.answer.body == b"error"


UNUSUAL_REQUESTS = (
    ("GET", "/receipt/a%20b;c=d/../e?x=1&y=%C3%A9&z=?", b"", False),
    ("POST", "/status/plain", b"\r\n\r\nGET /receipt/smuggled HTTP/1.1\r\nHost: x\r\n\r\n", False),
    ("POST", "/status/chunked", bytes(range(256)) * 40, True),
    ("PUT", "/receipt/put", b"0\r\n\r\n", True),
    ("DELETE", "/receipt/gone", b"", False),
)
FORWARDED_HEADERS = ("X_Odd-Name: a, b", "Accept: x", "Accept: y", "Cookie: a=b; c=d")
FORGED_HEADERS = (
    "X-Tenant: shop",
    "X-Expect-Instance: i-forged",
    "X-Request-Priority: 0",
    "Kv-From: 127.0.0.1:1/a",
    "X-Hold: h",
)


@when("requests with unusual paths, headers and bodies are sent, with a length and in chunks")
def unusual_requests(context):
    caller = context.router.call()
    for method, path, body, chunked in UNUSUAL_REQUESTS:
        headers = (*FORWARDED_HEADERS, *FORGED_HEADERS)
        answer = caller.request(method, path, body=body, chunked=chunked, headers=headers)
        assert answer.status == 200, (path, answer.status, answer.body)


@then("the replica received each method, path, body and header unchanged")
def unchanged(context):
    requests = context.fleet.of("portal")[0].requests
    received = [(each.method, each.target, each.body) for each in requests]
    assert received == [(method, path, body) for method, path, body, _ in UNUSUAL_REQUESTS], (
        received
    )
    for request in requests:
        sent = [f"{name}: {value}" for name, value in request.headers]
        assert all(header in sent for header in FORWARDED_HEADERS), sent


@then("the replica received no gateway header that the caller forged")
def no_forged_header(context):
    replica = context.fleet.of("portal")[0]
    for request in replica.requests:
        names = [name.lower() for name, _ in request.headers]
        assert [v for n, v in request.headers if n.lower() == "x-tenant"] == ["board"]
        expected = [v for n, v in request.headers if n.lower() == "x-expect-instance"]
        assert expected == [replica.identity]
        assert "kv-from" not in names and "x-hold" not in names and "authorization" not in names
        assert request.header("X-Request-Priority") != "0"


@when("a status is requested and every replica refuses it")
def all_refuse(context):
    set_behaviour(context, "portal", "refuse")
    context.answer = request_status(context)


@then("the caller receives 503 with a Retry-After, and no replica ran the request")
def refused_not_run(context):
    assert context.answer.status == 503 and context.answer.whole
    assert float(context.answer.header("Retry-After")) >= 0
    assert not context.fleet.runs(context.identity)


@given("one replica that reads requests only after the attempt timeout")
def replica_reads_late(context):
    context.stall_s = 1.5


@when("a receipt is requested, the first replica drops its response and the second one refuses")
def dropped_then_refused(context):
    first, second = context.fleet.of("portal")
    replicas = [first, second]

    def behaviours(own, other):
        class DropThenRefuse(dict):
            def get(self, number, default):
                return "refuse" if other.requests else "lose"

        own.behaviours = DropThenRefuse()

    behaviours(replicas[0], replicas[1])
    behaviours(replicas[1], replicas[0])
    first.stall_s = getattr(context, "stall_s", 0.0)
    context.answer = request_receipt(context)


@when(
    "a {request} is requested, the first replica takes {slow_ms:d} ms and the second one's "
    'behaviour is "{behaviour}"'
)
def slow_then(context, request, slow_ms, behaviour):
    service = "engine" if request == "score" else "portal"
    for replica in context.fleet.of(service):
        replica.work_s, replica.slow_factor = 0.01, slow_ms / 10
        replica.retry_after = "1"
    break_first_response(context, "slow first", behaviour, service)
    sent_s = time.monotonic()
    context.answer = stream(context, "/score/1") if request == "score" else request_receipt(context)
    context.answered_ms = (time.monotonic() - sent_s) * 1_000
    replicas = context.fleet.of(service)
    assert eventually(lambda: all(each.requests for each in replicas)), context.answer.status
    context.first, context.second = sorted(replicas, key=lambda each: each.requests[0].at_s)


@then("the caller receives the complete response of the first replica, which both were asked for")
def slow_response_received(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer.status
    signature = context.answer.header("X-Server-Stamp")
    assert signature.split(".")[0] == context.first.identity, signature
    assert len(context.first.requests) == len(context.second.requests) == 1


@then("the caller receives the second replica's response, and the first one's run is cancelled")
def slow_run_cancelled(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer.status
    signature = context.answer.header("X-Server-Stamp")
    assert signature.split(".")[0] == context.second.identity, signature
    assert eventually(lambda: sum(context.first.cancelled.values()) == 1)


@then("the caller receives 504 within {limit_ms:d} ms, and the first one's run is cancelled")
def refused_soon(context, limit_ms):
    assert context.answer.status == 504, context.answer.status
    assert context.answered_ms < limit_ms, context.answered_ms
    assert eventually(lambda: sum(context.first.cancelled.values()) == 1)


@then("the caller receives 502 or 504, which do not state that the request was not run")
def run_state_is_unknown(context):
    # A replica abandoned as unresponsive may read its request after the caller has the response.
    portals = context.fleet.of("portal")
    assert eventually(lambda: sum(len(replica.requests) for replica in portals) >= 2)
    assert sum(len(replica.requests) for replica in portals) == 2
    assert context.answer.status in (502, 504), context.answer.status


@when("a status is answered, and the response to the next one is lost on the reused connection")
def lost_on_reused_connection(context):
    context.fleet.of("portal")[0].behaviours = {2: "lose"}
    assert request_status(context).status == 200
    context.answer = request_status(context, "/status/2")


@then("the second caller receives 502, and the replica ran each request once")
def reused_connection_counts_as_sent(context):
    replica = context.fleet.of("portal")[0]
    used = {request.connection for request in replica.requests}
    assert len(replica.requests) == 2 and len(used) == 1, "the connection was not reused"
    assert context.answer.status == 502
    assert set(replica.runs.values()) == {1}


@when("100 receipts are requested")
def hundred_receipts(context):
    context.statuses = [request_receipt(context, f"/receipt/{n}").status for n in range(100)]


@then("the replicas received at most the requests, a fifth of them as retries, and the slack")
def within_retry_budget(context):
    arrivals = sum(len(replica.requests) for replica in context.fleet.of("portal"))
    assert 100 < arrivals <= 100 + 20 + 10, arrivals
    assert set(context.statuses) <= {502, 504}, set(context.statuses)


@when("one portal replica crashes and receipts are requested")
def replica_crashed(context):
    context.fleet.of("portal")[0].crash()
    context.answers = [request_receipt(context, f"/receipt/{number}") for number in range(20)]


@then("every receipt is answered")
def every_receipt_answered(context):
    assert [answer.status for answer in context.answers] == [200] * 20


@when("the portal's address belongs to another replica and a status is requested")
def address_reused(context):
    context.fleet.of("portal")[0].identity = "i-another"
    context.answer = request_status(context)


@given("two gateways that have used a portal replica, and a second one that was just listed")
def two_gateways(context):
    start_gateways(context, routers=2, **GENEROUS_RETRIES)
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("domain.led"))  # noqa: B023
    use_replica(context, 8)
    # It is slower, so that it is tried at most once before the other one is used again.
    other = context.fleet.add_replica("portal", work_s=SLOW_RESPONSE_S)
    other.behaviour, other.slow_factor = "slow first", 1.0
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("replica.listed", replica=other.identity))  # noqa: B023


def use_replica(context, count):
    """Let the first router measure that a replica responds faster than an unknown one would."""
    for _ in range(count):
        assert request_status(context).status == 200


@when("the used one restarts under a new id that is not listed")
def restarts_unlisted(context):
    replica = context.fleet.of("portal")[0]
    before = len(replica.requests)
    replica.identity = "i-another"
    first, second = context.fleet.routers
    context.answers = []

    def is_used_again():
        context.answers.append(request_status(context))
        return len(replica.requests) > before

    assert eventually(is_used_again), len(context.answers)
    context.answers += [request_status(context) for _ in range(5)]
    assert eventually(lambda: first.find("replica.replaced")), first.lines
    assert eventually(lambda: second.find("replica.replaced", told_by=first.name)), second.lines
    context.router = second
    context.answers += [request_status(context) for _ in range(10)]
    context.requests_at_new_id = len(replica.requests) - before


@then("every status is answered, and the new id received one request")
def all_answered(context):
    assert {answer.status for answer in context.answers} == {200}, context.answers
    assert context.requests_at_new_id == 1, context.requests_at_new_id


@given("a replica that another router reported as replaced")
def reported_replaced(context):
    context.clock = ManualClock()
    context.registry = ReplicaRegistry(context.clock, lambda identity: None)
    context.registry.update([Replica("i-1", "portal", "10.0.0.1:1")])
    context.registry.record_replaced("i-1", "router-2")


@when("the report is repeated every second for {seconds:d} seconds")
def reported_again(context, seconds):
    context.excluded_s = 0
    for _ in range(seconds):
        context.excluded_s += not context.registry.ready("portal")
        context.clock.advance(1_000)
        context.registry.record_replaced("i-1", "router-2")


@then(
    "it is excluded for {seconds:d} seconds, "
    "and again only after this router detects the replacement itself"
)
def excluded(context, seconds):
    assert context.excluded_s == seconds, context.excluded_s
    assert context.registry.ready("portal")
    context.registry.record_replaced("i-1")
    assert not context.registry.ready("portal")


def stream(context, path, **fields):
    caller = context.router.call()
    context.identity = caller.send("POST", path, body=b"essay", tokens=TOKENS, **fields)
    return caller.read()


@when("a score is streamed and its replica breaks off within an event")
def score_breaks(context):
    break_first_response(context, "break off", "well")
    context.answer = stream(context, "/score/1")


@when("a score is streamed, breaks off, and the next replica restarts it")
def score_restarts(context):
    break_first_response(context, "break off", "resume twice")
    context.answer = stream(context, "/score/1")


def break_first_response(context, first, others, service="engine"):
    replicas = context.fleet.of(service)

    class FirstThenOthers(dict):
        def get(self, number, default):
            return first if sum(len(each.requests) for each in replicas) == 1 else others

    for replica in replicas:
        replica.behaviours = FirstThenOthers()


@then(
    "the caller receives every event once in one complete response, "
    "with the first replica's signature"
)
def every_event_once(context):
    engines = context.fleet.of("engine")
    assert context.answer.status == 200 and context.answer.whole
    assert context.answer.event_ids == [1, 2, 3, 4, 5], context.answer.event_ids
    asked = [each for each in engines if each.requests]
    first = next(each for each in asked if not each.requests[0].header("Last-Event-Id"))
    assert context.answer.header("X-Server-Stamp").startswith(first.identity)


@then("the second replica was asked to resume after the last event that the caller received")
def asked_to_resume(context):
    resumed = [r.header("Last-Event-Id") for e in context.fleet.of("engine") for r in e.requests]
    assert sorted(resumed) == ["", "2"], resumed


@when("a review is streamed and its replica breaks off within an event")
def review_breaks(context):
    set_behaviour(context, "engine", "break off")
    context.answer = stream(context, "/review/1")


@when('a {route} is streamed and the first response is "{behaviour}"')
def first_with_behaviour(context, route, behaviour):
    break_first_response(context, behaviour, "well")
    context.answer = stream(context, f"/{route}/1")


@when('a review is streamed and the response is "{behaviour}"')
def review_with_behaviour(context, behaviour):
    set_behaviour(context, "engine", behaviour)
    context.answer = stream(context, "/review/1")


@then("the caller receives every event once in one complete response")
def events_once(context):
    assert context.answer.status == 200 and context.answer.whole
    assert context.answer.event_ids == [1, 2, 3, 4, 5], context.answer.event_ids


@when("a review is streamed and its replica ends early")
def review_ends_early(context):
    set_behaviour(context, "engine", "end early")
    context.answer = stream(context, "/review/1")


@then("the caller receives complete events and a response that is recognisably incomplete")
def cut_stream(context):
    assert not context.answer.whole
    assert context.answer.event_ids == [1, 2], context.answer.event_ids
    assert context.answer.body.endswith(b"\n\n")


@then("only one replica ran the request")
def one_run(context):
    assert context.fleet.runs(context.identity) == 1


@when("a caller disconnects in the middle of a score")
def disconnects_during_stream(context):
    caller = context.router.call()
    context.identity = caller.send("POST", "/score/1", body=b"x", tokens=TOKENS)
    assert caller.read_head()[0] == 200
    caller.close()


@when("a caller disconnects while a receipt is processed")
def disconnects_before_first_byte(context):
    caller = context.router.call()
    context.identity = caller.send("GET", "/receipt/1", deadline_ms=60_000)
    assert eventually(lambda: context.fleet.runs(context.identity))
    caller.close()


@then("the replica's run is cancelled")
def run_is_cancelled(context):
    assert eventually(lambda: sum(r.cancelled[context.identity] for r in context.fleet.replicas))


@when("a status with a timeout of 300 ms is requested by a caller with a deadline of one minute")
def timeout(context):
    def shorten(configuration):
        configuration["routes"][0]["timeoutMs"] = 300

    version = context.fleet.operator.change(shorten)
    assert eventually(lambda: context.router.find("configuration.applied", version=version))
    caller = context.router.call()
    context.identity = caller.send("POST", "/status/1", body=b"x", deadline_ms=60_000)
    context.answer = in_background(caller.read)()


@then("the caller receives a complete response 504 long before its deadline")
def complete_timeout_response(context):
    assert context.answer.status == 504 and context.answer.whole
    assert context.answer.seconds < 30


@when("the response to a receipt with a deadline of 2000 ms is lost at the first replica")
def deadline_of_two_attempts(context):
    context.fleet.of("portal")[0].behaviours = {1: "lose"}
    context.fleet.of("portal")[1].behaviours = {1: "lose"}
    caller = context.router.call()
    context.identity = caller.send("GET", "/receipt/1", deadline_ms=2_000)
    caller.read()


@then("both replicas received a deadline of at most 2000 ms")
def deadlines_received(context):
    deadlines_ms = [
        int(request.header("X-Deadline-Ms"))
        for replica in context.fleet.of("portal")
        for request in replica.requests
    ]
    assert len(deadlines_ms) == 2 and max(deadlines_ms) <= 2_000, deadlines_ms


@when("long requests are refused before their bodies are read, and short ones follow")
def long_requests(context):
    def allow_long(configuration):
        configuration["limits"]["maxBodyBytes"] = 16 * 1024 * 1024

    version = context.fleet.operator.change(allow_long)
    assert eventually(lambda: context.router.find("configuration.applied", version=version))
    replica = context.fleet.of("portal")[0]
    replica.early = True
    caller = context.router.call()
    body = b"long " * 1_600_000
    context.answers = []
    for number in range(3):
        answer = caller.request("POST", f"/status/long{number}", body=body, deadline_ms=30_000)
        assert answer.status == 503 and answer.whole, answer.status
        context.answers.append(caller.request("POST", f"/status/{number}", body=b"short"))


@then("the short ones are answered, and no replica read other bytes as the rest of a long body")
def no_other_bytes(context):
    replica = context.fleet.of("portal")[0]
    assert [answer.status for answer in context.answers] == [200] * 3
    assert [request.body for request in replica.requests] == [b"short"] * 3
    for body in replica.early_bodies:
        assert not body.replace(b"long ", b"").strip(b"long "), body[-200:]
