"""Simulates routers that share and grant permits, on a manual clock and without sockets."""

import heapq
import itertools
import random

from aspengate.clock import ManualClock
from aspengate.fleet_permits import FleetPermits, Permit, RouterShares, first_weighted_share

REPLICAS = [f"i-{number}" for number in range(3)]
REPLY_TIMEOUT_MS = 100.0
VALID_MS = 1_500.0
LOSS_RATE = 0.05
MAX_NEW_ROUTERS = 3


class PermitSimulation:
    """Routers under load whose messages get lost, and that restart, are suspended or partitioned.

    ``arrivals`` holds tuples of the times of sending and arrival in ms, the replica, and whether
    the sending router was connected to the others.
    """

    def __init__(self, routers, bound, seed):
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.bound = bound
        self.known = [f"front-{number}" for number in range(routers)]
        self.unresponsive = [f"older-{number}" for number in range(self.source.randrange(3))]
        self.partitioned = set()
        self.suspended_until_ms = {}
        self.permits = {}
        self.starts = {}
        self.arrivals = []
        self.joined = 0
        self._events = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        for own in self.known:
            self.start(own)
        self.announce_routers()
        self.advance(3_000 + bound.window_ms)

    def start(self, own):
        self.starts[own] = self.starts.get(own, 0) + 1
        shares = RouterShares(own, self.clock)
        self.permits[own] = FleetPermits(shares, self.clock, share_of_rank=first_weighted_share)

    def is_suspended(self, own):
        return self.clock.monotonic_ms() < self.suspended_until_ms.get(own, 0.0)

    def announce_routers(self):
        """Make all running routers that are not partitioned aware of all routers."""
        names = [*self.known, *self.unresponsive]
        for own, each in self.permits.items():
            if own not in self.partitioned and not self.is_suspended(own):
                each.shares.set_routers(names, len(names))

    # Actions of routers, now or later.

    def schedule(self, own, delay_ms, action):
        """Run an action at a router unless it restarts before; a suspended router runs it later."""
        due_ms = self.clock.monotonic_ms() + delay_ms
        start = self.starts.get(own, 0)

        def act():
            if self.starts.get(own, 0) != start:
                return
            if self.is_suspended(own):
                resumes_in_ms = self.suspended_until_ms[own] - self.clock.monotonic_ms()
                self.schedule(own, resumes_in_ms, action)
            else:
                action()

        heapq.heappush(self._events, (due_ms, next(self._order), act))

    def send_message(self, sender, receiver, action):
        """Send a message that may get lost; partitioned routers neither send nor receive any."""
        if receiver not in self.permits or self.partitioned & {sender, receiver}:
            return
        if self.source.random() >= LOSS_RATE:
            # A restart of the receiver before the message arrives drops it.
            self.schedule(receiver, self.source.choice([1, 2, 5, 40]), action)

    def send_requests(self):
        """Send a few requests through a random running router, until no permit is left."""
        running = [own for own in self.known if not self.is_suspended(own)]
        if not running:
            return
        own = self.source.choice(running)
        replica = self.source.choice(REPLICAS[: 1 + self.source.randrange(len(REPLICAS))])
        for _ in range(self.source.randrange(1, 5)):
            wait_ms = self.source.choice([0, 0, 100, 400])
            permit = self.permits[own].acquire(replica, self.bound, max_wait_ms=wait_ms)
            if permit is None:
                self.request_permit(own, replica, wait_ms)
                return
            self.use_permit(own, replica, permit)

    def use_permit(self, own, replica, permit):
        """Send a request when its permit is ready or later; some requests are not sent at all."""
        now = self.clock.monotonic_ms()
        late_ms = max(0.0, permit.ready_ms - now) + self.source.choice([0, 0, 0, 30, 400, 900])

        def send():
            sent_ms = self.clock.monotonic_ms()
            if not permit.confirm(sent_ms) or self.source.random() < 0.1:
                permit.settle(sent=False)
                return
            arrived_ms = sent_ms + self.source.uniform(0, 5)
            self.arrivals.append((sent_ms, arrived_ms, replica, own not in self.partitioned))
            permit.settle(sent=True)

        self.schedule(own, late_ms, send)

    def request_permit(self, own, replica, wait_ms):
        """Request a permit from one of the two routers that rank first."""
        holder = self.source.choice(self.permits[own].shares.top_ranked(replica))
        if holder == own:
            return
        asked_ms = self.clock.monotonic_ms()
        key = (f"{own}.{self.starts[own]}", next(self._numbers))

        def grant():
            granted = self.permits[holder].grant(
                key, replica, self.bound, max_wait_ms=wait_ms, valid_ms=VALID_MS
            )
            if granted is not None:
                left_ms = max(0.0, granted.ready_ms - self.clock.monotonic_ms())
                self.send_message(holder, own, lambda: receive(left_ms))

        def receive(left_ms):
            def settle(sent):
                self.send_message(own, holder, lambda: settle_at_holder(sent))

            def settle_at_holder(sent):
                self.permits[holder].settle_grant(key, sent=sent)

            now = self.clock.monotonic_ms()
            if now - asked_ms > REPLY_TIMEOUT_MS:
                settle(False)
                return
            until_ms = asked_ms + left_ms + VALID_MS
            permit = Permit(settle, ready_ms=now + left_ms, until_ms=until_ms)
            self.use_permit(own, replica, permit)

        self.send_message(own, holder, grant)

    # Faults and changes of the fleet.

    def restart(self):
        self.start(self.source.choice(self.known))
        self.announce_routers()

    def change_partition(self):
        """Disconnect a random router from all others, or connect it again."""
        own = self.source.choice(self.known)
        if self.source.random() < 0.5:
            self.partitioned.add(own)
        else:
            self.partitioned.discard(own)
        self.announce_routers()

    def suspend(self):
        own = self.source.choice(self.known)
        self.suspended_until_ms[own] = self.clock.monotonic_ms() + self.source.uniform(200, 6_000)

    def add_router(self):
        if self.joined < MAX_NEW_ROUTERS:
            self.joined += 1
            own = f"new-{self.joined}"
            self.known.append(own)
            self.start(own)
            self.announce_routers()

    def advance(self, duration_ms):
        last_ms = self.clock.monotonic_ms() + duration_ms
        while self._events and self._events[0][0] <= last_ms:
            due_ms, _, act = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due_ms - self.clock.monotonic_ms()))
            act()
        self.clock.advance(max(0.0, last_ms - self.clock.monotonic_ms()))

    def run(self, steps):
        faults = [self.restart, self.change_partition, self.suspend, self.add_router]
        pause_ms = self.bound.window_ms / 50
        for _ in range(steps):
            self.source.choice([self.send_requests] * 120 + faults)()
            self.advance(self.source.choice([0, 0, 1, pause_ms]))
        self.advance(10_000)
        return self

    def max_in_span(self, span_ms, *, connected_only):
        """Return the maximum number of requests to a replica that a span contains as a whole."""
        most = 0
        for replica in REPLICAS:
            times = sorted(
                (sent_ms, arrived_ms)
                for sent_ms, arrived_ms, each, connected in self.arrivals
                if each == replica and (connected or not connected_only)
            )
            for start_ms, _ in times:
                inside = sum(
                    start_ms <= sent_ms and arrived_ms <= start_ms + span_ms
                    for sent_ms, arrived_ms in times
                )
                most = max(most, inside)
        return most
