"""Routers that share permits and ask each other for them, played on a clock without sockets."""

import heapq
import itertools
import random

from aspengate.clock import ManualClock
from aspengate.fleet_permits import FleetPermits, Permit, RouterShares, first_weighted_share

REPLICAS = [f"i-{number}" for number in range(3)]
ANSWER_MS = 100.0
VALID_MS = 1_500.0
LOST = 0.05
MOST_NEW = 3


class PermitStorm:
    """Routers that callers press while messages get lost, and routers end, stop and are cut off.

    ``arrivals`` are (sent, arrived, replica, whether its router was in contact), in ms.
    """

    def __init__(self, routers, bound, seed):
        self.source = random.Random(seed)
        self.clock = ManualClock()
        self.bound = bound
        self.known = [f"front-{number}" for number in range(routers)]
        self.silent = [f"older-{number}" for number in range(self.source.randrange(3))]
        self.cut = set()
        self.until_ms = {}
        self.permits = {}
        self.runs = {}
        self.arrivals = []
        self.came = 0
        self._events = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        for own in self.known:
            self.begin(own)
        self.tell()
        self.advance(3_000 + bound.window_ms)

    def begin(self, own):
        self.runs[own] = self.runs.get(own, 0) + 1
        shares = RouterShares(own, self.clock)
        self.permits[own] = FleetPermits(shares, self.clock, share_of_rank=first_weighted_share)

    def is_suspended(self, own):
        return self.clock.monotonic_ms() < self.until_ms.get(own, 0.0)

    def tell(self):
        """Have all that run and are not cut off hear of all routers."""
        names = [*self.known, *self.silent]
        for own, each in self.permits.items():
            if own not in self.cut and not self.is_suspended(own):
                each.shares.set_routers(names, len(names))

    # What happens at routers, now or later.

    def later(self, own, delay_ms, action):
        """Do something at a router, unless it has started again by then; suspended ones wait."""
        due_ms = self.clock.monotonic_ms() + delay_ms
        run = self.runs.get(own, 0)

        def act():
            if self.runs.get(own, 0) != run:
                return
            if self.is_suspended(own):
                self.later(own, self.until_ms[own] - self.clock.monotonic_ms(), action)
            else:
                action()

        heapq.heappush(self._events, (due_ms, next(self._order), act))

    def message(self, sender, receiver, action):
        """Send a message that may get lost; those that are cut off hear nobody."""
        if receiver not in self.permits or self.cut & {sender, receiver}:
            return
        if self.source.random() >= LOST:
            # It reaches the run that is there when it arrives.
            self.later(receiver, self.source.choice([1, 2, 5, 40]), action)

    def press(self):
        running = [own for own in self.known if not self.is_suspended(own)]
        if not running:
            return
        own = self.source.choice(running)
        replica = self.source.choice(REPLICAS[: 1 + self.source.randrange(len(REPLICAS))])
        for _ in range(self.source.randrange(1, 5)):
            wait_ms = self.source.choice([0, 0, 100, 400])
            permit = self.permits[own].acquire(replica, self.bound, max_wait_ms=wait_ms)
            if permit is None:
                self.ask(own, replica, wait_ms)
                return
            self.use(own, replica, permit)

    def use(self, own, replica, permit):
        """Send a request once its permit is ready, perhaps late; some are not sent at all."""
        now = self.clock.monotonic_ms()
        late_ms = max(0.0, permit.ready_ms - now) + self.source.choice([0, 0, 0, 30, 400, 900])

        def send():
            sent_ms = self.clock.monotonic_ms()
            if not permit.confirm(sent_ms) or self.source.random() < 0.1:
                permit.settle(sent=False)
                return
            arrived_ms = sent_ms + self.source.uniform(0, 5)
            self.arrivals.append((sent_ms, arrived_ms, replica, own not in self.cut))
            permit.settle(sent=True)

        self.later(own, late_ms, send)

    def ask(self, own, replica, wait_ms):
        """Ask one of the first two routers for a permit."""
        holder = self.source.choice(self.permits[own].shares.top_ranked(replica))
        if holder == own:
            return
        asked_ms = self.clock.monotonic_ms()
        key = (f"{own}.{self.runs[own]}", next(self._numbers))

        def grant():
            granted = self.permits[holder].grant(
                key, replica, self.bound, max_wait_ms=wait_ms, valid_ms=VALID_MS
            )
            if granted is not None:
                left_ms = max(0.0, granted.ready_ms - self.clock.monotonic_ms())
                self.message(holder, own, lambda: take(left_ms))

        def take(left_ms):
            def settle(sent):
                self.message(own, holder, lambda: settle_there(sent))

            def settle_there(sent):
                self.permits[holder].settle_grant(key, sent=sent)

            now = self.clock.monotonic_ms()
            if now - asked_ms > ANSWER_MS:
                settle(False)
                return
            until_ms = asked_ms + left_ms + VALID_MS
            self.use(own, replica, Permit(settle, ready_ms=now + left_ms, until_ms=until_ms))

        self.message(own, holder, grant)

    # What befalls them.

    def start_again(self):
        self.begin(self.source.choice(self.known))
        self.tell()

    def cut_off(self):
        own = self.source.choice(self.known)
        if self.source.random() < 0.5:
            self.cut.add(own)
        else:
            self.cut.discard(own)
        self.tell()

    def suspend(self):
        own = self.source.choice(self.known)
        self.until_ms[own] = self.clock.monotonic_ms() + self.source.uniform(200, 6_000)

    def come(self):
        if self.came < MOST_NEW:
            self.came += 1
            own = f"new-{self.came}"
            self.known.append(own)
            self.begin(own)
            self.tell()

    def advance(self, duration_ms):
        last_ms = self.clock.monotonic_ms() + duration_ms
        while self._events and self._events[0][0] <= last_ms:
            due_ms, _, act = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due_ms - self.clock.monotonic_ms()))
            act()
        self.clock.advance(max(0.0, last_ms - self.clock.monotonic_ms()))

    def play(self, steps):
        befalls = [self.start_again, self.cut_off, self.suspend, self.come]
        pause_ms = self.bound.window_ms / 50
        for _ in range(steps):
            self.source.choice([self.press] * 120 + befalls)()
            self.advance(self.source.choice([0, 0, 1, pause_ms]))
        self.advance(10_000)
        return self

    def worst(self, span_ms, *, in_contact):
        """Return the most that were both sent to a replica and arrived within a span."""
        worst = 0
        for replica in REPLICAS:
            times = sorted(
                (sent_ms, arrived_ms)
                for sent_ms, arrived_ms, each, contact in self.arrivals
                if each == replica and (contact or not in_contact)
            )
            for begun_ms, _ in times:
                inside = sum(
                    begun_ms <= sent_ms and arrived_ms <= begun_ms + span_ms
                    for sent_ms, arrived_ms in times
                )
                worst = max(worst, inside)
        return worst
