"""Steps on prompt segments that crash replicas."""

import itertools
import json
import threading
import time

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.explanation import read_lines, trace_request
from aspengate.losses import describe_end
from gateway_world import start_gateways

SEGMENT = "dead"
CRASHES = 5
MIN_CRASHES = 3
CONTACT_S = 2.0
MAX_LATE_ARRIVALS = 3
CALM_S = 2.0
CRASHING_S = 12.0
REPLACEMENT_S = 2.5
DETECTED_S = 0.1
# Sound streams arrive slightly faster than the limits of six replicas allow, so that permits are
# used up and become ready one after the other.
LIMIT = "2"
LIMITED_S = 8.0
LIMITED_INTERVAL_S = 0.09
WAITING_S = 3.0
WAITING_INTERVAL_S = 0.02
STORE_AWAY_S = 3.0
CRASHING_INTERVAL_S = 0.25
SOUND_INTERVAL_S = 0.05
SOUND_PROMPT = ["f1:300", "m1:200"]
# The prompts of crashing streams by the place of the segment; the last segment is the stream's own.
CRASHING_PROMPTS = {
    "first": [f"{SEGMENT}:300", "f1:300", "m1:200"],
    "in the middle": ["f1:300", f"{SEGMENT}:300", "m1:200"],
}


class SegmentFleet:
    """Gateways before replicas that a prompt segment crashes, and streams with and without it.

    Crashed replicas are replaced by others with new ids. ``sound`` has the start time of each
    sound stream, and whether its first attempt brought an event.
    """

    def __init__(self, context, routers, replicas):
        start_gateways(context, routers=routers)
        self.fleet = context.fleet
        self.crash_times = []
        self.sound = []
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()
        self.closing = threading.Event()
        context.cleanup.callback(self.closing.set)
        self.on_crash_counted = lambda: None
        self.sender = None
        self.returned_s = 0.0
        for replica in self.fleet.of("engine"):
            self.arm(replica)
        for _ in range(replicas - 1):
            self.arm(self.fleet.add_replica("engine"))

    def arm(self, replica):
        replica.work_s = 0.03
        replica.crash_after_s = 0.06
        replica.crash_on_segment = SEGMENT
        replica.on_crash = self.record_crash

    def record_crash(self, replica):
        with self.lock:
            self.crash_times.append(time.monotonic())
        threading.Thread(target=self.replace, args=(replica,), daemon=True).start()
        self.on_crash_counted()

    def replace(self, replica):
        replica.unlist()
        if not self.closing.wait(REPLACEMENT_S):
            with self.lock:
                self.arm(self.fleet.add_replica("engine"))

    @property
    def counted_from_s(self):
        """The time of the fifth crash, or of the last one if there are fewer."""
        return self.crash_times[:CRASHES][-1]

    def stream(self, shared):
        """Stream a response for a prompt with shared segments; return the ids of its events."""
        number = next(self.numbers)
        router = self.fleet.routers[number % len(self.fleet.routers)]
        parts = ",".join([*shared, f"{number:x}:200"])
        if any(segment.startswith(SEGMENT) for segment in shared):
            self.sender = router
        try:
            caller = router.call()
        except OSError:
            return []
        try:
            body = b"essay %d" % number
            tokens = (1_000, 60)
            return caller.request(
                "POST", f"/score/{number}", body=body, tokens=tokens, parts=parts
            ).event_ids
        except OSError:
            return []
        finally:
            caller.close()

    def stream_sound(self):
        begun_s = time.monotonic()
        event_ids = self.stream(["f1:300", f"m{next(self.numbers) % 4}:200"])
        self.sound.append((begun_s, bool(event_ids)))

    def repeat(self, action, interval_s, until_s):
        """Run an action in new threads, at intervals, until a time or the end of the test."""
        while time.monotonic() < until_s and not self.closing.wait(interval_s):
            threading.Thread(target=action, daemon=True).start()

    def kill(self, router):
        """Kill a gateway and restart it, unless it has been replaced already."""
        with self.lock:
            if router in self.fleet.routers:
                router.kill()
                self.fleet.start_again(router, ready=False)

    def arrivals(self):
        return sorted(
            request.at_s
            for replica in list(self.fleet.replicas)
            for request in list(replica.requests)
            if SEGMENT in request.segments
        )


def kill_senders(fleet):
    """Kill a gateway about 20 ms after each crash, which it may just have detected."""
    fleet.on_crash_counted = lambda: threading.Timer(0.02, fleet.kill, (fleet.sender,)).start()


def kill_all_after_third(fleet):
    def kill_all():
        if len(fleet.crash_times) == 3:
            for router in list(fleet.fleet.routers):
                threading.Thread(target=fleet.kill, args=(router,), daemon=True).start()

    fleet.on_crash_counted = kill_all


def take_store_away(fleet):
    def interrupt():
        if len(fleet.crash_times) == 1:
            for router in fleet.fleet.routers:
                router.endpoint.fault = "silent"
            threading.Timer(STORE_AWAY_S, bring_back).start()

    def bring_back():
        for router in fleet.fleet.routers:
            router.endpoint.clear_faults()
        fleet.returned_s = time.monotonic()

    fleet.on_crash_counted = interrupt


FAILURES = {
    "nothing else fails": lambda fleet: None,
    "the gateway that sent one is killed at each crash": kill_senders,
    "all gateways are killed after the third crash": kill_all_after_third,
    "the store is away for 3 s from the first crash on": take_store_away,
}


@given("four gateways before eight engine replicas that a prompt segment crashes")
def segment_fleet(context):
    start_fleet(context, routers=4, replicas=8)


@given("a gateway before six engine replicas that a prompt segment crashes")
def one_gateway(context):
    start_fleet(context, routers=1, replicas=6)


def start_fleet(context, routers, replicas):
    context.segments = SegmentFleet(context, routers, replicas)
    for router in context.fleet.routers:
        assert eventually(lambda: len(router.find_all("replica.listed")) > replicas)  # noqa: B023


def crash_replicas(context, count):
    """Stream until so many replicas have crashed, which are not replaced."""
    fleet = context.segments
    fleet.closing.set()
    while len(fleet.crash_times) < count:
        alive = [each for each in context.fleet.of("engine") if not each.has_ended]
        fleet.stream(CRASHING_PROMPTS["in the middle"])
        assert any(each.has_ended for each in alive)


@when("streams with it have crashed four of them, and another one is requested")
def one_more(context):
    crash_replicas(context, MIN_CRASHES + 1)

    def is_refused():
        context.segments.stream(CRASHING_PROMPTS["in the middle"])
        return context.router.find("request.ended", outcome="quarantined")

    # The outcome of the trial is recorded 100 ms after the last crash.
    context.refused = eventually(is_refused, 10.0)


@then("its trace names the segment, and its cause the crashed replicas")
def trace_names_segment(context):
    refused = context.refused
    log = read_lines("router-1", [json.dumps(line) for line in context.router.lines])
    trace = "\n".join(trace_request(refused["request_id"], log).lines())
    assert "crash.tried" in trace and f"segment={SEGMENT}" in trace, trace
    cause = describe_end(refused["request_id"], log)
    assert "ended under segment" in cause, cause
    for replica in context.fleet.of("engine"):
        detected = f"{replica.identity} " in cause and "detected by router-1" in cause
        assert detected == replica.has_ended, cause


@when("streams with it have crashed three of them, and the others refuse ten more streams with it")
def refused_trials(context):
    fleet = context.segments
    crash_replicas(context, MIN_CRASHES)
    prompt = CRASHING_PROMPTS["in the middle"]
    for replica in context.fleet.of("engine"):
        replica.crash_on_segment = ""
        replica.behaviour = "refuse"
    before = len(fleet.arrivals())
    for _ in range(10):
        fleet.stream(prompt)
        time.sleep(0.6)
    context.reached = len(fleet.arrivals()) - before


@then("at most three of these reach a replica")
def three_reach(context):
    assert 1 <= context.reached <= MAX_LATE_ARRIVALS, context.reached


@when("all replicas announce a rate limit, and streams with the segment wait for permits")
def streams_wait(context):
    fleet = context.segments
    for replica in context.fleet.of("engine"):
        replica.limit = LIMIT
    until_s = time.monotonic() + LIMITED_S
    fleet.repeat(lambda: fleet.stream(SOUND_PROMPT), LIMITED_INTERVAL_S, until_s)
    until_s += WAITING_S
    prompt = CRASHING_PROMPTS["in the middle"]
    fleet.repeat(lambda: fleet.stream(prompt), WAITING_INTERVAL_S, until_s)


@then("one stream is sent as a trial after the third crash, and no other one")
def one_trial_only(context):
    fleet = context.segments
    assert eventually(lambda: context.router.find("crash.tried")), "no trial"
    known_s = fleet.crash_times[MIN_CRASHES - 1] + DETECTED_S
    assert sum(at_s > known_s for at_s in fleet.arrivals()) <= 1, (known_s, fleet.arrivals())


@when(
    "sound streams share an account and segments with streams that have it {place}, and {failure}"
)
def crashing_streams(context, place, failure):
    fleet = context.segments
    FAILURES[failure](fleet)
    prompt = CRASHING_PROMPTS[place]
    context.began_s = time.monotonic() + CALM_S
    last_s = context.began_s + CRASHING_S
    sound = threading.Thread(
        target=fleet.repeat, args=(fleet.stream_sound, SOUND_INTERVAL_S, last_s), daemon=True
    )
    sound.start()
    time.sleep(CALM_S)
    fleet.repeat(lambda: fleet.stream(prompt), CRASHING_INTERVAL_S, last_s)
    sound.join()
    assert len(fleet.crash_times) >= MIN_CRASHES, fleet.crash_times


@then("at most three streams with it reach a replica later than 2 s after the fifth crash")
def late_streams(context):
    fleet = context.segments
    if len(fleet.crash_times) < CRASHES:
        return
    # The limit holds for routers that have reached the store for this time.
    from_s = max(fleet.counted_from_s, fleet.returned_s)
    arrivals = [at_s - from_s for at_s in fleet.arrivals()]
    late = [at_s for at_s in arrivals if at_s > CONTACT_S]
    assert len(late) <= MAX_LATE_ARRIVALS, (len(fleet.crash_times), arrivals)


@then("from 4 s after it on, sound streams begin at least half as often as before")
def sound_streams(context):
    fleet = context.segments
    before = [begun for at_s, begun in fleet.sound if at_s < context.began_s - CALM_S / 4]
    from_s = fleet.counted_from_s + 2 * CONTACT_S
    after = [begun for at_s, begun in fleet.sound if at_s >= from_s]
    assert len(before) >= 20 and len(after) >= 20, (len(before), len(after))
    assert sum(after) / len(after) >= sum(before) / len(before) / 2, (sum(after), len(after))
