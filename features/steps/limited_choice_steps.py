"""Steps for the placement of prompts while all engines announce rate limits."""

import random
from types import SimpleNamespace

from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.cold_starts import ColdStartPolicy, Connectivity
from aspengate.configuration import Service
from aspengate.experiments._overload import LoadPattern, _Play
from aspengate.fleet_permits import Permit
from aspengate.gateway._permit_client import GrantedPermit
from aspengate.gateway._rate_limited_selection import RateLimitedSelection
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.replica_limits import PermitHolders
from aspengate.replicas import ReportedLimit, ReportedState
from aspengate.telemetry import NullCounters

SERVICE = Service("model")
SEEDS = (1, 2)
SETTLED_MS = 60_000
VALID_MS = 1_500.0
ROUND_TRIP_MS = 3.0


class RandomChooser:
    """Ranks replicas at random instead of by cost."""

    def __init__(self, chooser, source):
        self.chooser = chooser
        self.source = source

    def ranked(self, views, prompt, tie, now_ms):
        candidates = self.chooser.ranked(views, prompt, tie, now_ms)
        self.source.shuffle(candidates)
        return candidates


class DirectPermitClient:
    """Requests permits from the other routers of a simulation, each after a round trip."""

    def __init__(self, simulation, own):
        self.simulation = simulation
        self.own = own
        self.holders = PermitHolders(simulation.bounds[own].shares, simulation.clock)
        self.requests = 0

    def request_permit(self, router, wanted, max_wait_ms):
        self.requests += 1
        limiter = self.simulation.bounds[router].limiter
        key = (self.own, self.requests)
        ready = {}
        for view in wanted:
            holder_view = self.simulation.views_of[router][view.identity]
            grant = limiter.grant(key, holder_view, max_wait_ms=max_wait_ms, valid_ms=VALID_MS)
            if grant is not None:
                return self.granted(limiter.permits, key, view, grant)
            in_ms = limiter.ready_in_ms(holder_view)
            ready[view.identity] = -1.0 if in_ms is None else in_ms
        self.holders.record_reply(router, ready)
        return None

    def granted(self, permits, key, view, grant):
        ready_ms = max(grant.ready_ms, self.simulation.clock.monotonic_ms() + ROUND_TRIP_MS)

        def settle(sent):
            permits.settle_grant(key, sent=sent)

        return GrantedPermit(view, Permit(settle, ready_ms=ready_ms))


class LimitedSimulation(_Play):
    """The usual traffic while all engines announce a limit, placed by the gateway's own code."""

    def __init__(self, limit, seed, *, by_cost):
        super().__init__(LoadPattern("rate limited"), "twice those behind", seed)
        self.limit = limit
        # The clock reaches 0, the start of the simulation, after the routers have settled.
        self.clock = ManualClock(start_ms=-SETTLED_MS)
        self.names = [f"router-{number}" for number in range(len(self.routers))]
        self.views_of = {
            name: router.views for name, router in zip(self.names, self.routers, strict=True)
        }
        self.bounds = {name: self._new_bounds(name) for name in self.names}
        self.clock.advance(SETTLED_MS)
        self.selections = {name: self._new_selection(name, by_cost) for name in self.names}
        self.refused = 0

    def _new_bounds(self, name):
        connectivity, limited = (lambda: Connectivity.CURRENT), (lambda: True)
        bounds = ReplicaBounds(name, self.clock, ColdStartPolicy(), connectivity, limited)
        bounds.set_routers(self.names, len(self.names))
        return bounds

    def _new_selection(self, name, by_cost):
        chooser = self.routers[self.names.index(name)].chooser
        if not by_cost:
            chooser = RandomChooser(chooser, self.source)
        client = DirectPermitClient(self, name)
        return RateLimitedSelection(self.bounds[name], client, chooser, self.clock, NullCounters())

    def _arrive(self, kind, now_ms):
        self._next(kind, now_ms)
        self.clock.advance(now_ms - self.clock.monotonic_ms())
        self._report_limits(self.limit if self.pattern.holds(now_ms) else None)
        shape = self._shape(kind, now_ms)
        name = self.source.choice(self.names)
        router = self.routers[self.names.index(name)]
        at_ms = now_ms
        if self.pattern.holds(now_ms):
            selected = self.selections[name].choose(
                list(router.views.values()), shape, exchange(self, kind)
            )
            if selected is None:
                self.refused += 1
                return
            sent, permit = selected
            at_ms = max(now_ms, permit.ready_ms)
            self._at(at_ms, lambda _: self._use(permit))
        else:
            sent = router.send(shape, set(self.engines), self.source.random(), now_ms)
        self._sent(router, sent, kind, shape, now_ms, at_ms)

    def _use(self, permit):
        permit.settle(sent=True)

    def _sent(self, router, sent, kind, shape, now_ms, at_ms):
        for segment, _ in shape.shared:
            router.chooser.segments.record_sent(segment, sent.view.identity, now_ms)
        work = sent.view.begin(at_ms, sent.tokens, 0.0)
        first_ms, unread = self.engines[sent.view.identity].read(shape, at_ms)
        self._count(kind, shape, first_ms - now_ms, unread)
        self._at(first_ms, lambda now: self._first(router, sent, work, now))
        self._at(at_ms + 100.0, lambda now: self._tell(router, sent, shape, now))

    def _report_limits(self, per_second):
        reported = ReportedState(limit=ReportedLimit(1, per_second))
        for views in self.views_of.values():
            for view in views.values():
                view.reported = reported


def exchange(simulation, kind):
    now = simulation.clock.monotonic_ms()
    return SimpleNamespace(
        known_service=SERVICE,
        known_route=SimpleNamespace(objective_ms=kind.aim_ms),
        request=SimpleNamespace(received_ms=now),
        waiter=SimpleNamespace(remaining_ms=10 * kind.aim_ms),
        fingerprint="",
    )


@given("engines that all announce a limit of {limit:g} requests per second")
def limited_engines(context, limit):
    context.limit = limit


@when("the usual traffic is placed by cost, and at random")
def place(context):
    context.simulations = {}
    for by_cost in (True, False):
        simulations = [LimitedSimulation(context.limit, seed, by_cost=by_cost) for seed in SEEDS]
        for simulation in simulations:
            random.seed(1)
            simulation.run()
        context.simulations[by_cost] = simulations


def total(context, by_cost, read):
    return sum(read(simulation) for simulation in context.simulations[by_cost])


@then(
    "placement by cost recomputes at most {read:d} of 100 shared tokens, "
    "and no fewer requests start in time"
)
def compared(context, read):
    by_cost, at_random = (
        {
            "again": total(context, is_by_cost, lambda simulation: simulation.result.tokens_again),
            "late": total(context, is_by_cost, lambda simulation: simulation.result.late),
            "in time": total(context, is_by_cost, lambda simulation: simulation.result.in_time),
            "refused": total(context, is_by_cost, lambda simulation: simulation.refused),
        }
        for is_by_cost in (True, False)
    )
    assert by_cost["again"] * 100 <= at_random["again"] * read, (by_cost, at_random)
    assert by_cost["late"] <= at_random["late"], (by_cost, at_random)
    assert by_cost["in time"] >= at_random["in time"], (by_cost, at_random)
