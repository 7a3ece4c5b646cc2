"""Steps for the limit on requests to cold replicas that all routers share."""

import random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from platform_standins import Fleet
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.cold_starts import ColdStartLimiter, ColdStartPolicy, Connectivity
from aspengate.configuration import Service
from aspengate.fleet_permits import RouterShares
from aspengate.replicas import Evacuation, Replica, ReplicaRegistry, ReplicaView
from gateway_world import in_background

RATE = 6.6
POLICY = ColdStartPolicy(overage=1.5, slack=5.0)
ALLOWED = 14
PERMITS = POLICY.bound(RATE).permits
SERVICE = Service("engine", cold_start_ms=3_000, cold_per_second=RATE)
UNBOUND = Service("portal")
REPLICAS = [f"i-{number}" for number in range(5)]
SECOND_MS = 1_000
# Routers that join without partitioned ones becoming aware of them: the slack covers this many.
MAX_UNKNOWN_ROUTERS = ALLOWED - PERMITS


def names(count):
    return [f"front-{number}" for number in range(count)]


def view(identity, *, cold=True):
    replica_view = ReplicaView(Replica(identity, "engine", "10.0.0.1:1"))
    replica_view.cold_until_ms = float("inf") if cold else float("-inf")
    return replica_view


def new_limiter(clock, own="front-0", connectivity=Connectivity.CURRENT):
    return ColdStartLimiter(POLICY, RouterShares(own, clock), clock, lambda: connectivity)


def ready_limiter(count=4, connectivity=Connectivity.CURRENT):
    """Return the limiter of a router that has known all routers long enough, and its clock."""
    clock = ManualClock()
    limiter = new_limiter(clock, connectivity=connectivity)
    limiter.permits.shares.set_routers(names(count), count)
    clock.advance(POLICY.start_ms + POLICY.window_ms)
    return limiter, clock


def send(limiter, replica, service=SERVICE):
    """Send one request if the limiter allows it; return whether it was sent."""
    permit = limiter.acquire(replica, service)
    if permit is not None:
        permit.settle(sent=True)
    return permit is not None


def count_sent(limiter, replica, tries=30, service=SERVICE):
    return sum(send(limiter, replica, service) for _ in range(tries))


def sum_of_shares(running, replica, known):
    """Return the sum of all routers' shares; ``known`` returns each router's names and count."""
    total = 0
    for own in running:
        shares = RouterShares(own, ManualClock())
        shares.set_routers(*known())
        total += shares.share(replica, PERMITS)
    return total


@given("{routers:d} routers that each know all running routers, and possibly stopped ones")
@given("{routers:d} routers that know each other")
@given("{routers:d} routers and cold replicas under load")
def routers_with_replicas(context, routers):
    context.routers = routers


@then("the shares of the running routers add up to at most the permits of any replica")
def shares_within_permits(context):
    running = names(context.routers)

    @given_any(st.integers(0, 2**32), st.sampled_from(REPLICAS))
    @settings(max_examples=20 if context.routers < 100 else 3)
    def check(seed, replica):
        source = random.Random(seed)

        def draw_known():
            gone = [f"gone-{number}" for number in range(source.randrange(9))]
            unnamed = source.randrange(3)
            return [*running, *gone], len(running) + len(gone) + unnamed

        total = sum_of_shares(running, replica, draw_known)
        assert total <= PERMITS, total

    check()


@then("their shares add up to exactly the permits of each replica")
def shares_equal_permits(context):
    running = names(context.routers)
    for replica in REPLICAS:
        total = sum_of_shares(running, replica, lambda: (running, len(running)))
        assert total == PERMITS, total


class Simulation:
    """Routers under load that restart, are partitioned or join.

    ``arrivals`` holds tuples of the times of sending and arrival in ms, and the replica.
    """

    def __init__(self, routers, seed):
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.known = names(routers)
        self.connectivity = {}
        self.limiters = {each: self.start(each) for each in self.known}
        self.announce_routers()
        self.views = [view(each) for each in REPLICAS]
        self.in_flight = []
        self.arrivals = []
        self.joined = 0
        self.clock.advance(POLICY.start_ms + POLICY.window_ms)

    def start(self, own):
        """Return the limiter of a router that has just started."""
        self.connectivity[own] = Connectivity.CURRENT
        shares = RouterShares(own, self.clock)
        return ColdStartLimiter(POLICY, shares, self.clock, lambda: self.connectivity[own])

    def announce_routers(self):
        """Make all routers that are not partitioned aware of all routers."""
        for own, each in self.limiters.items():
            if self.connectivity[own] is Connectivity.CURRENT:
                each.permits.shares.set_routers(self.known, len(self.known))

    def send_requests(self):
        """Send a few requests through a random router, until no permit is left."""
        own = self.source.choice(self.known)
        replica = self.source.choice(self.views[: 1 + self.source.randrange(2)])
        for _ in range(self.source.randrange(1, 6)):
            permit = self.limiters[own].acquire(replica, SERVICE)
            if permit is None:
                return
            late_ms = self.source.choice([0, 0, 0, 30, 400, 900])
            due_ms = self.clock.monotonic_ms() + late_ms
            self.in_flight.append((due_ms, own, self.limiters[own], replica, permit))

    def restart(self):
        own = self.source.choice(self.known)
        self.in_flight = [each for each in self.in_flight if each[1] != own]
        self.limiters[own] = self.start(own)
        self.announce_routers()

    def change_partition(self):
        """Disconnect a random router from the store and all others, or connect it again."""
        own = self.source.choice(self.known)
        self.connectivity[own] = self.source.choice([Connectivity.NONE, Connectivity.CURRENT])
        self.announce_routers()

    def add_router(self):
        if self.joined < MAX_UNKNOWN_ROUTERS:
            self.joined += 1
            own = f"new-{self.joined}"
            self.known.append(own)
            self.limiters[own] = self.start(own)
            self.announce_routers()

    def advance(self, duration_ms):
        last_ms = self.clock.monotonic_ms() + duration_ms
        for each in sorted(self.in_flight, key=lambda each: each[0]):
            due_ms, _, _, replica, permit = each
            if due_ms > last_ms:
                continue
            self.in_flight.remove(each)
            self.clock.advance(due_ms - self.clock.monotonic_ms())
            self.arrivals.append((due_ms, due_ms + self.source.uniform(0, 5), replica.identity))
            permit.settle(sent=True)
        self.clock.advance(last_ms - self.clock.monotonic_ms())

    def max_in_second(self):
        """Return the maximum number of requests to a replica that a second contains as a whole."""
        most = 0
        for start_ms, _, replica in self.arrivals:
            inside = sum(
                start_ms <= sent_ms and arrived_ms <= start_ms + SECOND_MS and each == replica
                for sent_ms, arrived_ms, each in self.arrivals
            )
            most = max(most, inside)
        return most


@when("requests are delayed, and routers restart, are partitioned and join")
def simulate_faults(context):
    def run(seed):
        simulation = Simulation(context.routers, seed)
        faults = [simulation.restart, simulation.change_partition, simulation.add_router]
        steps = [simulation.send_requests] * 40 + faults
        for _ in range(600):
            simulation.source.choice(steps)()
            simulation.advance(simulation.source.choice([0, 0, 1, 5, 40]))
        simulation.advance(2_000)
        return simulation

    context.run_simulation = run


class SuspensionSimulation(Simulation):
    """Routers of which some are suspended; they send their delayed requests when they resume."""

    def __init__(self, routers, seed):
        self.suspended_until_ms = {}
        super().__init__(routers, seed)

    def is_suspended(self, own):
        return self.clock.monotonic_ms() < self.suspended_until_ms.get(own, 0.0)

    def suspend(self):
        own = self.source.choice(self.known)
        until_ms = self.clock.monotonic_ms() + self.source.uniform(200, 4_000)
        self.suspended_until_ms[own] = until_ms
        self.in_flight = [
            (max(due_ms, until_ms), *rest) if rest[0] == own else (due_ms, *rest)
            for due_ms, *rest in self.in_flight
        ]

    def send_requests(self):
        """Send requests through routers that are not suspended."""
        if not all(self.is_suspended(own) for own in self.known):
            known, self.known = self.known, [x for x in self.known if not self.is_suspended(x)]
            super().send_requests()
            self.known = known

    def announce_routers(self):
        """Make all running routers that are not partitioned aware of all routers."""
        for own, each in self.limiters.items():
            if self.connectivity[own] is Connectivity.CURRENT and not self.is_suspended(own):
                each.permits.shares.set_routers(self.known, len(self.known))


@when("requests are delayed, and routers restart, are partitioned, are suspended and join")
def simulate_suspensions(context):
    def run(seed):
        simulation = SuspensionSimulation(context.routers, seed)
        faults = [
            simulation.restart,
            simulation.change_partition,
            simulation.add_router,
            simulation.suspend,
        ]
        steps = [simulation.send_requests] * 40 + faults
        for _ in range(600):
            simulation.source.choice(steps)()
            simulation.advance(simulation.source.choice([0, 0, 1, 5, 40]))
        simulation.advance(6_000)
        return simulation

    context.run_simulation = run


@then("no replica receives more requests in any second than allowed")
def no_second_exceeds_limit(context):
    for seed in range(6 if context.routers < 100 else 2):
        simulation = context.run_simulation(seed)
        assert simulation.arrivals
        assert simulation.max_in_second() <= ALLOWED, (seed, simulation.max_in_second())


@given("a router that has not received the list of routers")
def without_routers(context):
    context.limiter = new_limiter(ManualClock())


@given("a router that received the list of routers one second ago")
def with_recent_routers(context):
    clock = ManualClock()
    context.limiter = new_limiter(clock)
    context.limiter.permits.shares.set_routers(names(4), 4)
    clock.advance(1_000)


@then("it sends nothing to a cold replica, and without limit to a warm one")
def nothing_to_cold(context):
    assert count_sent(context.limiter, view("i-1")) == 0
    assert not context.limiter.eligible([view("i-1")], SERVICE)
    assert count_sent(context.limiter, view("i-2", cold=False)) == 30


@then("it sends without limit to a cold replica of a service without a bound")
def unbounded_service(context):
    assert count_sent(context.limiter, view("i-1"), service=UNBOUND) == 30


@given("a router that receives reports from its peers but no changes from the store")
def with_peer_reports(context):
    context.limiter, context.clock = ready_limiter(connectivity=Connectivity.PEERS)


@when("all routers together have sent a warm replica as many requests as a cold one may receive")
def cold_rate_reached(context):
    context.replica = view("i-1", cold=False)
    for _ in range(PERMITS - 2):
        context.limiter.record_peer_request("i-1")
    assert count_sent(context.limiter, context.replica) == 2


@then("it sends that replica no more requests until a second has passed")
def nothing_until_next_second(context):
    assert count_sent(context.limiter, context.replica) == 0
    context.clock.advance(SECOND_MS)
    assert count_sent(context.limiter, context.replica) == 0
    context.clock.advance(POLICY.window_ms - SECOND_MS + 1)
    assert count_sent(context.limiter, context.replica) == PERMITS


@given("a router that receives neither changes from the store nor reports from its peers")
def disconnected(context):
    context.limiter, context.clock = ready_limiter(connectivity=Connectivity.NONE)


@then("it sends each replica, cold or warm, no more requests in a second than it has permits")
def only_own_permits(context):
    for replica in (view("i-1"), view("i-2", cold=False)):
        permits = context.limiter.permits.shares.share(replica.identity, PERMITS)
        assert count_sent(context.limiter, replica) == permits


@given("a list of replicas of which one is cold for 3 s")
def one_cold(context):
    context.clock = ManualClock()
    context.registry = ReplicaRegistry(context.clock, lambda _: None)
    context.cold = Replica("i-1", "engine", "10.0.0.1:1", "hall-1", cold_ms=3_000)
    context.warm = Replica("i-2", "engine", "10.0.0.2:1", "hall-2")
    context.registry.update([context.cold, context.warm])


def is_cold(context, identity):
    found = context.registry.view(identity)
    return found.is_cold(context.clock.monotonic_ms(), SERVICE.cold_start_ms)


@then("that replica is cold until 3 s have passed, whatever else changes in the list")
def cold_until(context):
    for _ in range(3):
        assert is_cold(context, "i-1") and not is_cold(context, "i-2")
        context.clock.advance(999)
        context.registry.update([context.cold, context.warm], revision=1)
    context.clock.advance(4)
    assert not is_cold(context, "i-1")


@then("a replica whose failure domain was evacuated is cold for its service's time afterwards")
def cold_after_evacuation(context):
    context.registry.set_evacuations([Evacuation("hall-2", 5)])
    context.clock.advance(10_000)
    assert [each.identity for each in context.registry.ready("engine")] == ["i-1"]
    context.registry.set_evacuations([])
    assert is_cold(context, "i-2") and not is_cold(context, "i-1")
    context.clock.advance(SERVICE.cold_start_ms)
    assert not is_cold(context, "i-2")


@given("a gateway before two cold engines with a limit of one request per second")
def gateway_with_cold_engines(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.limit_cold_replicas("engine", per_second=1.0, start_s=3.0)
    for _ in range(2):
        context.fleet.add_replica("engine", cold_ms=600_000)
    context.router = context.fleet.add_router(cold_overage=2)
    assert eventually(lambda: context.router.call().request(**stream()).status == 200)


def stream():
    return {"method": "POST", "path": "/score/1", "body": b"x", "tokens": (100, 20)}


@when("ten streams are requested at once")
def request_at_once(context):
    waits = [in_background(lambda: context.router.call().request(**stream())) for _ in range(10)]
    context.answers = [wait() for wait in waits]


@then("no engine receives more than two in a second, and the others are refused with a retry time")
def cold_limit_kept(context):
    for replica in context.fleet.replicas:
        times = [each.at_s for each in replica.requests]
        for start in times:
            assert sum(start <= each <= start + 1 for each in times) <= 2, times
    refused = [each for each in context.answers if each.status == 503]
    assert refused and all(each.header("Retry-After") == "1" for each in refused)
    assert {each.status for each in context.answers} <= {200, 503}


@given("a router that knows the other routers, and a cold replica for which it has permits")
def has_permits(context):
    context.limiter, context.clock = ready_limiter()
    context.replica = view("i-1")
    context.permits = context.limiter.permits.shares.share("i-1", PERMITS)
    assert context.permits > 1


@when("the replica's record lapses while a request is being sent to it, and comes back")
def record_lapses(context):
    pending = context.limiter.acquire(context.replica, SERVICE)
    assert send(context.limiter, context.replica)
    context.limiter.forget("i-1")
    pending.settle(sent=True)


@then("the router never sends it more requests in a second than it has permits")
def permits_kept(context):
    assert count_sent(context.limiter, context.replica) == context.permits - 2
    context.clock.advance(POLICY.window_ms + 1)
    assert count_sent(context.limiter, context.replica) == context.permits
