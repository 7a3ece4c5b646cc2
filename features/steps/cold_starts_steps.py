"""Steps on replicas that are cold, and the routers that share what these bear."""

import random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from platform_standins import Fleet
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.cold_starts import ColdStartLimiter, ColdStartPolicy, Contact
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
# Routers that come while some others are cut off and don't hear of them: what the slack covers.
UNHEARD = ALLOWED - PERMITS


def names(count):
    return [f"front-{number}" for number in range(count)]


def view(identity, *, cold=True):
    found = ReplicaView(Replica(identity, "engine", "10.0.0.1:1"))
    found.cold_until_ms = float("inf") if cold else float("-inf")
    return found


def limiter(clock, own="front-0", contact=Contact.CURRENT):
    return ColdStartLimiter(POLICY, RouterShares(own, clock), clock, lambda: contact)


def known_limiter(count=4, contact=Contact.CURRENT):
    clock = ManualClock()
    made = limiter(clock, contact=contact)
    made.permits.shares.know(names(count), count)
    clock.advance(POLICY.start_ms + POLICY.window_ms)
    return made, clock


def send(made, replica, service=SERVICE):
    """Send one request if it may be; return whether it was."""
    permit = made.take(replica, service)
    if permit is not None:
        permit.settle(sent=True)
    return permit is not None


def sent_of(made, replica, tries=30, service=SERVICE):
    return sum(send(made, replica, service) for _ in range(tries))


def all_parts(running, replica, known):
    """Return the permits of all routers together; ``known`` returns what each is told."""
    total = 0
    for own in running:
        shares = RouterShares(own, ManualClock())
        shares.know(*known())
        total += shares.part(replica, PERMITS)
    return total


@given("{routers:d} routers of which each knows all that run, and perhaps some that do not")
@given("{routers:d} routers that know each other")
@given("{routers:d} routers before cold replicas that callers press")
def so_many_routers(context, routers):
    context.routers = routers


@then("the parts of those that run come to no more than the permits of any replica")
def parts_in_bound(context):
    running = names(context.routers)

    @given_any(st.integers(0, 2**32), st.sampled_from(REPLICAS))
    @settings(max_examples=20 if context.routers < 100 else 3)
    def check(seed, replica):
        source = random.Random(seed)

        def drawn():
            gone = [f"gone-{number}" for number in range(source.randrange(9))]
            unnamed = source.randrange(3)
            return [*running, *gone], len(running) + len(gone) + unnamed

        total = all_parts(running, replica, drawn)
        assert total <= PERMITS, total

    check()


@then("their parts come to exactly the permits of each replica")
def parts_whole(context):
    running = names(context.routers)
    for replica in REPLICAS:
        total = all_parts(running, replica, lambda: (running, len(running)))
        assert total == PERMITS, total


class Storm:
    """Routers that callers press; ``arrivals`` are (sent, arrived, replica) in ms."""

    def __init__(self, routers, seed):
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.known = names(routers)
        self.contacts = {}
        self.limiters = {each: self.begin(each) for each in self.known}
        self.tell()
        self.views = [view(each) for each in REPLICAS]
        self.under_way = []
        self.arrivals = []
        self.came = 0
        self.clock.advance(POLICY.start_ms + POLICY.window_ms)

    def begin(self, own):
        self.contacts[own] = Contact.CURRENT
        shares = RouterShares(own, self.clock)
        return ColdStartLimiter(POLICY, shares, self.clock, lambda: self.contacts[own])

    def tell(self):
        """Have all that are not cut off hear of all routers."""
        for own, each in self.limiters.items():
            if self.contacts[own] is Contact.CURRENT:
                each.permits.shares.know(self.known, len(self.known))

    def press(self):
        own = self.source.choice(self.known)
        replica = self.source.choice(self.views[: 1 + self.source.randrange(2)])
        for _ in range(self.source.randrange(1, 6)):
            permit = self.limiters[own].take(replica, SERVICE)
            if permit is None:
                return
            late_ms = self.source.choice([0, 0, 0, 30, 400, 900])
            due_ms = self.clock.monotonic_ms() + late_ms
            self.under_way.append((due_ms, own, self.limiters[own], replica, permit))

    def start_again(self):
        own = self.source.choice(self.known)
        self.under_way = [each for each in self.under_way if each[1] != own]
        self.limiters[own] = self.begin(own)
        self.tell()

    def cut_off(self):
        own = self.source.choice(self.known)
        self.contacts[own] = self.source.choice([Contact.NONE, Contact.CURRENT])
        self.tell()

    def come(self):
        if self.came < UNHEARD:
            self.came += 1
            own = f"new-{self.came}"
            self.known.append(own)
            self.limiters[own] = self.begin(own)
            self.tell()

    def advance(self, duration_ms):
        last_ms = self.clock.monotonic_ms() + duration_ms
        for each in sorted(self.under_way, key=lambda each: each[0]):
            due_ms, _, _, replica, permit = each
            if due_ms > last_ms:
                continue
            self.under_way.remove(each)
            self.clock.advance(due_ms - self.clock.monotonic_ms())
            self.arrivals.append((due_ms, due_ms + self.source.uniform(0, 5), replica.identity))
            permit.settle(sent=True)
        self.clock.advance(last_ms - self.clock.monotonic_ms())

    def worst(self):
        """Return the most that were both sent to a replica and arrived within one second."""
        worst = 0
        for begun_ms, _, replica in self.arrivals:
            inside = sum(
                begun_ms <= sent_ms and arrived_ms <= begun_ms + SECOND_MS and each == replica
                for sent_ms, arrived_ms, each in self.arrivals
            )
            worst = max(worst, inside)
        return worst


@when("requests are sent late, routers start again, are cut off, and new ones come")
def suffer(context):
    def play(seed):
        storm = Storm(context.routers, seed)
        steps = [storm.press] * 40 + [storm.start_again, storm.cut_off, storm.come]
        for _ in range(600):
            storm.source.choice(steps)()
            storm.advance(storm.source.choice([0, 0, 1, 5, 40]))
        storm.advance(2_000)
        return storm

    context.play = play


class SuspendedStorm(Storm):
    """Routers of which some stand still for a while; what they had under way is sent after it."""

    def __init__(self, routers, seed):
        self.until_ms = {}
        super().__init__(routers, seed)

    def is_suspended(self, own):
        return self.clock.monotonic_ms() < self.until_ms.get(own, 0.0)

    def suspend(self):
        own = self.source.choice(self.known)
        until_ms = self.clock.monotonic_ms() + self.source.uniform(200, 4_000)
        self.until_ms[own] = until_ms
        self.under_way = [
            (max(due_ms, until_ms), *rest) if rest[0] == own else (due_ms, *rest)
            for due_ms, *rest in self.under_way
        ]

    def press(self):
        """Have callers ask routers that run; what a suspended one got is asked when it goes on."""
        if not all(self.is_suspended(own) for own in self.known):
            known, self.known = self.known, [x for x in self.known if not self.is_suspended(x)]
            super().press()
            self.known = known

    def tell(self):
        """Have all that run and are not cut off hear of all routers."""
        for own, each in self.limiters.items():
            if self.contacts[own] is Contact.CURRENT and not self.is_suspended(own):
                each.permits.shares.know(self.known, len(self.known))


@when("requests are sent late, routers start again, are cut off and suspended, and new ones come")
def suffer_suspended(context):
    def play(seed):
        storm = SuspendedStorm(context.routers, seed)
        steps = [storm.press] * 40 + [storm.start_again, storm.cut_off, storm.come, storm.suspend]
        for _ in range(600):
            storm.source.choice(steps)()
            storm.advance(storm.source.choice([0, 0, 1, 5, 40]))
        storm.advance(6_000)
        return storm

    context.play = play


@then("in no second does a replica get more than is allowed")
def in_no_second(context):
    for seed in range(6 if context.routers < 100 else 2):
        storm = context.play(seed)
        assert storm.arrivals
        assert storm.worst() <= ALLOWED, (seed, storm.worst())


@given("a router that was not told of the others")
def not_told(context):
    context.limiter = limiter(ManualClock())


@given("a router that was told of the others a second ago")
def told_lately(context):
    clock = ManualClock()
    context.limiter = limiter(clock)
    context.limiter.permits.shares.know(names(4), 4)
    clock.advance(1_000)


@then("it sends nothing to a cold replica, and anything to a warm one")
def nothing_to_cold(context):
    assert sent_of(context.limiter, view("i-1")) == 0
    assert not context.limiter.open([view("i-1")], SERVICE)
    assert sent_of(context.limiter, view("i-2", cold=False)) == 30


@then("it sends anything to a cold replica of a service without a bound")
def unbound(context):
    assert sent_of(context.limiter, view("i-1"), service=UNBOUND) == 30


@given("a router that hears its peers but not of changes in the store")
def hears_peers(context):
    context.limiter, context.clock = known_limiter(contact=Contact.PEERS)


@when("the fleet has sent a warm replica as much as a cold one bears")
def fleet_has_sent(context):
    context.replica = view("i-1", cold=False)
    for _ in range(PERMITS - 2):
        context.limiter.note_heard("i-1")
    assert sent_of(context.limiter, context.replica) == 2


@then("it sends that replica nothing more until a second has passed")
def nothing_more(context):
    assert sent_of(context.limiter, context.replica) == 0
    context.clock.advance(SECOND_MS)
    assert sent_of(context.limiter, context.replica) == 0
    context.clock.advance(POLICY.window_ms - SECOND_MS + 1)
    assert sent_of(context.limiter, context.replica) == PERMITS


@given("a router that hears neither of changes nor its peers")
def hears_nobody(context):
    context.limiter, context.clock = known_limiter(contact=Contact.NONE)


@then("it sends each replica, warm or not, no more than its permits in a second")
def permits_alone(context):
    for replica in (view("i-1"), view("i-2", cold=False)):
        permits = context.limiter.permits.shares.part(replica.identity, PERMITS)
        assert sent_of(context.limiter, replica) == permits


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


@then("that one is cold until 3 s have passed, whatever else in the list changes")
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


@given("a gateway before two engines that are cold and bear one request a second")
def gateway_before_cold(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.limit_cold_replicas("engine", per_second=1.0, start_s=3.0)
    for _ in range(2):
        context.fleet.add_replica("engine", cold_ms=600_000)
    context.router = context.fleet.add_router(cold_overage=2)
    assert eventually(lambda: context.router.call().request(**stream()).status == 200)


def stream():
    return {"method": "POST", "path": "/score/1", "body": b"x", "tokens": (100, 20)}


@when("ten streams are asked for at once")
def ask_at_once(context):
    waits = [in_background(lambda: context.router.call().request(**stream())) for _ in range(10)]
    context.answers = [wait() for wait in waits]


@then(
    "no engine gets more than two in a second, "
    "and the others are refused with the time to come back"
)
def spared(context):
    for replica in context.fleet.replicas:
        times = [each.at_s for each in replica.requests]
        for begun in times:
            assert sum(begun <= each <= begun + 1 for each in times) <= 2, times
    refused = [each for each in context.answers if each.status == 503]
    assert refused and all(each.header("Retry-After") == "1" for each in refused)
    assert {each.status for each in context.answers} <= {200, 503}


@given("a router that knows the fleet, and a cold replica of which it has permits")
def has_permits(context):
    context.limiter, context.clock = known_limiter()
    context.replica = view("i-1")
    context.permits = context.limiter.permits.shares.part("i-1", PERMITS)
    assert context.permits > 1


@when("the replica's entry lapses while a request is under way to it, and comes back")
def lapses(context):
    under_way = context.limiter.take(context.replica, SERVICE)
    assert send(context.limiter, context.replica)
    context.limiter.forget("i-1")
    under_way.settle(sent=True)


@then("the router sends it no more than its permits in a second, then and later")
def no_more_than_permits(context):
    assert sent_of(context.limiter, context.replica) == context.permits - 2
    context.clock.advance(POLICY.window_ms + 1)
    assert sent_of(context.limiter, context.replica) == context.permits
