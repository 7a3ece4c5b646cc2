"""Steps on requests that crash replicas."""

import json
import threading
import time

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from platform_standins import Caller
from platform_standins.fleet import eventually

from aspengate.crashes import request_fingerprint
from aspengate.explanation import read_lines, trace_request
from aspengate.losses import describe_end
from gateway_world import TOKENS, start_gateways


def get_status(router, path, **fields):
    """Send one request to a router; return the status, or 0 if the connection broke."""
    caller = router.call()
    try:
        return caller.request("GET", path, **fields).status
    except OSError:
        return 0
    finally:
        caller.close()


@given("a gateway before four portal replicas")
def four_portals(context):
    start_gateways(context, replicas=4)


@given("two gateways before four portal replicas")
def two_gateways(context):
    start_gateways(context, routers=2, replicas=4)


def notices_sent(router):
    """Return how many crash notices a gateway has sent, according to its metrics."""
    text = Caller(router.metrics_address).request("GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if 'event="datagrams.sent.crashes"' in line]
    return sum(float(line.rpartition(" ")[2]) for line in lines if "_total" in line)


@when("one of them detects a crash by a receipt, and the other one is killed and restarted")
def crash_and_restart(context):
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    assert get_status(context.router, "/receipt/ending") == 502
    # Each notice is sent three times within a second.
    assert eventually(lambda: notices_sent(context.router) == 3)
    other = context.fleet.routers[1]
    other.kill()
    context.fleet.start_again(other)


@then("the first one sends its recent crashes to the other one again")
def crashes_sent_again(context):
    assert eventually(lambda: notices_sent(context.router) > 3, 10.0)


@when("a receipt crashes its replica, and the response to another receipt is lost")
def crash_and_lost_response(context):
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    assert get_status(context.router, "/receipt/ending") == 502
    alive = [replica for replica in context.fleet.of("portal") if not replica.has_ended]
    for replica in alive:
        replica.behaviour = "lose"
    assert get_status(context.router, "/receipt/lost") == 502


@then("one log line names the crashed replica and its request, and none names the other request")
def one_log_line(context):
    ended = [replica for replica in context.fleet.of("portal") if replica.has_ended]
    found = eventually(lambda: context.router.find_all("replica.ended"))
    fingerprints = [
        request_fingerprint("board", f"/receipt/{name}", b"") for name in ("ending", "lost")
    ]
    logged = [(line["replica"], line["content"]) for line in found]
    assert logged == [(ended[0].identity, fingerprints[0])], logged
    ends = eventually(lambda: len(context.router.find_all("request.ended")) == 2)
    assert ends, context.router.lines
    # A line is written after the response, so that the next request's line may precede it.
    lines = context.router.find_all("request.ended")
    assert sorted(line["content"] for line in lines) == sorted(fingerprints), lines


@then("the log says that the replica has ended under this request")
def end_is_logged(context):
    end = eventually(lambda: context.router.find("request.ended", request_id=context.identity))
    replica = context.fleet.of("portal")[0].identity
    # The line of the crash is written before that of the request.
    assert context.router.find("replica.ended", replica=replica, content=end["content"]), end


@when("a streamed request with three prompt segments crashes its replica")
def segments_of_crash(context):
    for replica in context.fleet.of("engine"):
        replica.crash_on = "/review/ending"
    caller = context.router.call()
    segments = {"tokens": (1_000, 60), "parts": "a1:400,b2:400,c3:200"}
    context.identity = caller.send("POST", "/review/ending", body=b"essay", **segments)
    caller.read()


@then("its log line names the segments that other requests may share")
def segments_logged(context):
    find = context.router.find
    line = eventually(lambda: find("request.ended", request_id=context.identity))
    assert line["segments"] == ["a1", "b2"], line
    assert find("replica.ended", content=line["content"]), context.router.lines


@when("a receipt has crashed three of them and is requested once more")
def requested_once_more(context):
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    statuses = [get_status(context.router, "/receipt/ending") for _ in range(4)]
    assert statuses == [502, 502, 502, 503], statuses


@then("its trace names each replica, when it terminated and which router detected it")
def trace_names_crashes(context):
    ended = [replica.identity for replica in context.fleet.of("portal") if replica.has_ended]
    assert len(ended) == 3, ended
    ends = eventually(lambda: len(found := context.router.find_all("request.ended")) == 4 and found)
    # A line is written after the response, so that the refused request's may precede another one.
    (refused,) = [each for each in ends if each["status"] == 503]
    lines = [json.dumps(line) for line in context.router.lines]
    log = read_lines("router-1", lines)
    trace = "\n".join(trace_request(refused["request_id"], log).lines())
    cause = describe_end(refused["request_id"], log)
    for identity in ended:
        assert f"replica.ended  replica={identity}" in trace, trace
        assert f"{identity} " in cause and "detected by router-1" in cause, cause


@given("requests of two accounts with paths and bodies of any kind")
def any_requests(context):
    context.requests = st.tuples(
        st.sampled_from(["board", "shop", ""]), st.text(max_size=5), st.binary(max_size=5)
    )


@then("two have the same fingerprint if and only if all of these are equal")
def same_fingerprint(context):
    @given_any(context.requests, context.requests)
    def check(one, other):
        same = request_fingerprint(*one) == request_fingerprint(*other)
        assert same == (one == other)

    check()


CRASHING_REQUESTS = {
    "a receipt": ("/receipt/ending", {}),
    "a non-idempotent status call": ("/status/ending", {}),
    "a resumable stream": ("/score/ending", {"tokens": TOKENS, "body": b"essay"}),
}
CRASHES = 3
SYNC_S = 2.0
OBSERVED_AFTER_S = 4.0
REPLACEMENT_S = 1.0
INTERVAL_S = 0.25
TIMEOUT_S = 40.0
MAX_LATE_ARRIVALS = 3


class CrashingFleet:
    """Gateways before replicas that a request crashes; others with new ids replace them."""

    def __init__(self, context):
        start_gateways(context, routers=4, replicas=6)
        self.fleet = context.fleet
        self.crash_times = []
        self.lock = threading.Lock()
        self.closing = threading.Event()
        self.restarted_s = 0.0
        self.on_crash_counted = lambda: None
        context.cleanup.callback(self.closing.set)
        for replica in list(self.fleet.replicas):
            self.arm(replica)

    def arm(self, replica):
        replica.crash_on = "ending"
        replica.on_crash = self.record_crash

    def record_crash(self, replica):
        with self.lock:
            self.crash_times.append(time.monotonic())
        threading.Thread(target=self.replace, args=(replica,), daemon=True).start()
        self.on_crash_counted()

    def replace(self, replica):
        """Start another replica, and unlist the crashed one later."""
        if not self.closing.wait(REPLACEMENT_S):
            with self.lock:
                self.arm(self.fleet.add_replica(replica.service))
        if not self.closing.wait(REPLACEMENT_S):
            replica.unlist()

    def arrivals(self, target):
        return [
            request.at_s
            for replica in list(self.fleet.replicas)
            for request in list(replica.requests)
            if request.target == target
        ]

    def kill(self, router):
        """Kill a gateway and restart it, unless it has been replaced already."""
        with self.lock:
            if router not in self.fleet.routers:
                return
            router.kill()
            restarted = self.fleet.start_again(router, ready=False)
        if eventually(restarted.is_ready):
            self.restarted_s = max(self.restarted_s, time.monotonic())


@given("four gateways before six replicas of each service, which are replaced after a crash")
def crashing_fleet(context):
    context.crashing = CrashingFleet(context)


@when("{request} that crashes them is requested four times a second, and {failure}")
def request_crashes(context, request, failure):
    crashing = context.crashing
    context.target, fields = CRASHING_REQUESTS[request]
    context.other_requests = []
    arrange_failures(crashing, failure)
    other_requests = threading.Thread(target=send_other_requests, args=(context,), daemon=True)
    other_requests.start()
    last = time.monotonic() + TIMEOUT_S
    number = 0
    while time.monotonic() < last and not crashing.closing.is_set():
        if (
            len(crashing.crash_times) >= CRASHES
            and time.monotonic() > crashing.crash_times[2] + SYNC_S + OBSERVED_AFTER_S
        ):
            break
        router = crashing.fleet.routers[number % len(crashing.fleet.routers)]
        crashing.sender = router
        threading.Thread(
            target=send_ignoring_errors, args=(router, context.target, fields), daemon=True
        ).start()
        number += 1
        time.sleep(INTERVAL_S)
    crashing.closing.set()
    other_requests.join()
    assert len(crashing.crash_times) >= CRASHES, crashing.crash_times


def arrange_failures(crashing, failure):
    routers = crashing.fleet.routers

    def kill_all():
        if len(crashing.crash_times) == CRASHES:
            for router in list(routers):
                threading.Thread(target=crashing.kill, args=(router,), daemon=True).start()

    def kill_sender():
        """Kill the gateway about 20 ms after the crash, which it may just have detected."""
        threading.Timer(0.02, crashing.kill, (crashing.sender,)).start()

    if failure.startswith("all"):
        crashing.on_crash_counted = kill_all
    elif failure.startswith("the gateway"):
        crashing.on_crash_counted = kill_sender


def send_ignoring_errors(router, path, fields):
    method = "POST" if fields else "GET"
    try:
        caller = router.call()
        caller.request(method, path, **fields)
        caller.close()
    except OSError:
        pass


def send_other_requests(context):
    """Request ordinary receipts from all gateways in turn; record start time and status."""
    crashing = context.crashing
    number = 0
    while not crashing.closing.wait(INTERVAL_S / 2):
        number += 1
        router = crashing.fleet.routers[number % len(crashing.fleet.routers)]
        begun = time.monotonic()
        try:
            status = get_status(router, f"/receipt/{number}")
        except OSError:
            status = 0
        context.other_requests.append((begun, status))


@then("at most three of its requests reach a replica later than 2 s after the third crash")
def late_arrivals_within_limit(context):
    third = context.crashing.crash_times[2]
    arrivals = sorted(at - third for at in context.crashing.arrivals(context.target))
    late = [at for at in arrivals if at > SYNC_S]
    assert len(late) <= MAX_LATE_ARRIVALS, (len(context.crashing.crash_times), arrivals)


@then("the requests of other callers are answered from then on")
def other_requests_answered(context):
    # The operating system refuses connections to a killed gateway until it listens again.
    since = max(context.crashing.crash_times[2] + SYNC_S + 1.0, context.crashing.restarted_s)
    found = [status for at, status in context.other_requests if at > since]
    assert found and set(found) == {200}, found


@when("one receipt is requested often, and all portal replicas terminate at once, twice")
def terminate_all_at_once(context):
    crashing = context.crashing
    context.common = []
    asking = [
        threading.Thread(target=request_common, args=(context, router), daemon=True)
        for router in crashing.fleet.routers
        for _ in range(3)
    ]
    for replica in crashing.fleet.of("portal"):
        replica.work_s = 0.1
    for thread in asking:
        thread.start()
    for _ in range(2):
        assert eventually(lambda: context.common and context.common[-1] == 200)
        time.sleep(0.2)
        alive = [each for each in crashing.fleet.of("portal") if not each.has_ended]
        for replica in alive:
            replica.has_ended = True
            replica.crash()
            crashing.record_crash(replica)
        assert eventually(lambda: any(not each.has_ended for each in crashing.fleet.of("portal")))


def request_common(context, router):
    while not context.crashing.closing.is_set():
        context.common.append(get_status(router, "/receipt/common"))


@then("all gateways answer it once the replicas are replaced")
def common_answered(context):
    crashing = context.crashing
    ended = {replica.identity for replica in crashing.fleet.of("portal") if replica.has_ended}
    assert len(ended) >= 12, ended
    crashes = [
        line for router in crashing.fleet.routers for line in router.find_all("replica.ended")
    ]
    assert crashes, "no request was in progress when its replica terminated"

    def all_answer():
        return all(
            get_status(router, "/receipt/common") == 200 for router in crashing.fleet.routers
        )

    assert eventually(all_answer, 15.0)
    crashing.closing.set()
