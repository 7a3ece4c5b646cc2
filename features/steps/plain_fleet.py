"""A small model of routers that send plain requests to replicas, on a clock of its own."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass

from aspengate.replicas import PromptShape, Replica, ReplicaChooser, ReplicaView, SegmentTracker

HERE = "here"
SLOTS = 64
# How long a caller waits for a silent replica before the router tries another one.
SILENT_MS = 2_000.0
SPREAD = 0.2


@dataclass
class FakeReplica:
    """A replica that takes ``response_ms``; it may be silent or fail every request."""

    name: str
    response_ms: float
    domain: str = HERE
    silent: bool = False
    fails: bool = False
    is_ready: bool = True


@dataclass
class FakeRouter:
    """A router's own view of each replica, its chooser, and its idle connections.

    ``idle`` holds, by replica, the times at which connections became idle.
    """

    name: str
    chooser: ReplicaChooser
    views: dict
    idle: defaultdict


@dataclass(frozen=True)
class Sent:
    """An attempt, with the number of the router's other requests in flight at the replica."""

    router: str
    replica: str
    in_flight: int


class PlainFleet:
    """Routers that each send ``per_second`` requests at random times to fake replicas.

    A request whose replica fails or is silent is sent again to another one. ``sent`` holds all
    attempts, and ``totals`` the times from the arrival of a request to its response. Opening a
    connection takes ``connect_ms``, of which the choosers take ``opening_ms`` into account; an idle
    one is closed after ``keep_alive_ms``. ``opened`` counts the opened connections.
    """

    def __init__(
        self,
        replicas,
        *,
        routers=1,
        per_second=100.0,
        seed=1,
        domain=HERE,
        connect_ms=0.0,
        opening_ms=0.0,
        keep_alive_ms=float("inf"),
    ):
        self.connect_ms = connect_ms
        self.keep_alive_ms = keep_alive_ms
        self.opened = 0
        self.source = random.Random(seed)
        self.replicas = {each.name: each for each in replicas}
        self.per_second = per_second
        self.now_ms = 0.0
        self.sent = []
        self.totals = []
        self._numbers = itertools.count()
        self._events = []
        self.routers = []
        for number in range(routers):
            name = f"router-{number}"
            idle = defaultdict(list)
            chooser = ReplicaChooser(
                SegmentTracker(),
                domain,
                opening_ms=lambda view, idle=idle: (
                    0.0 if self._open_ones(idle, view) else opening_ms
                ),
            )
            router = FakeRouter(name, chooser, {}, idle)
            self.routers.append(router)
            self._schedule(self._next_gap(), self._arrive, router)
        for replica in replicas:
            self.add(replica)

    def add(self, replica):
        self.replicas[replica.name] = replica
        for router in self.routers:
            record = Replica(replica.name, "lookup", "10.0.0.1:80", replica.domain, SLOTS)
            router.views[replica.name] = ReplicaView(record)

    def run(self, duration_ms):
        """Run for a time; return the number of attempts by replica in that time."""
        before, until_ms = len(self.sent), self.now_ms + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_ms = until_ms
        return Counter(each.replica for each in self.sent[before:])

    def _next_gap(self):
        return self.source.expovariate(self.per_second / 1_000)

    def _open_ones(self, idle, view):
        """Drop the connections to a replica that are closed by now, and return the others."""
        since_ms = self.now_ms - self.keep_alive_ms
        idle[view.identity] = [each for each in idle[view.identity] if each > since_ms]
        return idle[view.identity]

    def _schedule(self, after_ms, action, *arguments):
        entry = (self.now_ms + after_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def _arrive(self, router):
        self._schedule(self._next_gap(), self._arrive, router)
        self._attempt(router, self.now_ms, set())

    def _attempt(self, router, arrived_ms, tried):
        views = [
            view
            for name, view in router.views.items()
            if self.replicas[name].is_ready and name not in tried
        ]
        candidate = router.chooser.choose(views, PromptShape(), self.source.random(), self.now_ms)
        view = candidate.view
        replica = self.replicas[view.identity]
        response_ms = replica.response_ms * self.source.uniform(1 - SPREAD, 1 + SPREAD)
        duration_ms = SILENT_MS if replica.silent else response_ms
        self.sent.append(Sent(router.name, replica.name, view.in_flight))
        if self._open_ones(router.idle, view):
            router.idle[view.identity].pop()
        else:
            self.opened += 1
            duration_ms += self.connect_ms
        work = view.begin(self.now_ms, 0.0)
        self._schedule(
            duration_ms, self._finish, router, candidate, work, arrived_ms, tried | {replica.name}
        )

    def _finish(self, router, candidate, work, arrived_ms, tried):
        view = candidate.view
        replica = self.replicas[view.identity]
        failed = replica.silent or replica.fails
        if not failed:
            router.chooser.record_first_response(candidate, work, self.now_ms)
        view.end(work, self.now_ms)
        if failed:
            view.record_failure(self.now_ms)
            self._attempt(router, arrived_ms, tried)
            return
        router.idle[view.identity].append(self.now_ms)
        view.record_success(self.now_ms, self.now_ms - work.started_ms)
        self.totals.append(self.now_ms - arrived_ms)
