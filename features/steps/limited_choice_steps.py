"""Steps on prompts that are placed while all engines name limits."""

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


class Shuffled:
    """A chooser that has no preference among replicas."""

    def __init__(self, chooser, source):
        self.chooser = chooser
        self.source = source

    def ranked(self, views, prompt, tie, now_ms):
        found = self.chooser.ranked(views, prompt, tie, now_ms)
        self.source.shuffle(found)
        return found


class Asker:
    """Asks the other routers of a play directly; each question takes a round trip."""

    def __init__(self, play, own):
        self.play = play
        self.own = own
        self.holders = PermitHolders(play.bounds[own].shares, play.clock)
        self.asked = 0

    def request_permit(self, router, wanted, most_wait_ms):
        self.asked += 1
        limiter = self.play.bounds[router].limiter
        key = (self.own, self.asked)
        ready = {}
        for view in wanted:
            theirs = self.play.views_of[router][view.identity]
            made = limiter.grant(key, theirs, max_wait_ms=most_wait_ms, valid_ms=VALID_MS)
            if made is not None:
                return self.granted(limiter.permits, key, view, made)
            in_ms = limiter.ready_in_ms(theirs)
            ready[view.identity] = -1.0 if in_ms is None else in_ms
        self.holders.record_reply(router, ready)
        return None

    def granted(self, permits, key, view, made):
        ready_ms = max(made.ready_ms, self.play.clock.monotonic_ms() + ROUND_TRIP_MS)

        def settle(sent):
            permits.settle_grant(key, sent=sent)

        return GrantedPermit(view, Permit(settle, ready_ms=ready_ms))


class LimitedPlay(_Play):
    """The usual traffic while all engines name a limit, placed by the product's own decision."""

    def __init__(self, limit, seed, *, by_cost):
        super().__init__(LoadPattern("in need"), "twice those behind", seed)
        self.limit = limit
        # The clock stands at 0, as the play does, once the routers have known each other for long.
        self.clock = ManualClock(start_ms=-SETTLED_MS)
        self.names = [f"router-{number}" for number in range(len(self.routers))]
        self.views_of = {
            name: router.views for name, router in zip(self.names, self.routers, strict=True)
        }
        self.bounds = {name: self._bounds(name) for name in self.names}
        self.clock.advance(SETTLED_MS)
        self.choices = {name: self._choice(name, by_cost) for name in self.names}
        self.refused = 0

    def _bounds(self, name):
        contact, limited = (lambda: Connectivity.CURRENT), (lambda: True)
        bounds = ReplicaBounds(name, self.clock, ColdStartPolicy(), contact, limited)
        bounds.set_routers(self.names, len(self.names))
        return bounds

    def _choice(self, name, by_cost):
        chooser = self.routers[self.names.index(name)].chooser
        if not by_cost:
            chooser = Shuffled(chooser, self.source)
        asker = Asker(self, name)
        return RateLimitedSelection(self.bounds[name], asker, chooser, self.clock, NullCounters())

    def _arrive(self, kind, now_ms):
        self._next(kind, now_ms)
        self.clock.advance(now_ms - self.clock.monotonic_ms())
        self._name_limits(self.limit if self.pattern.holds(now_ms) else None)
        shape = self._shape(kind, now_ms)
        name = self.source.choice(self.names)
        router = self.routers[self.names.index(name)]
        at_ms = now_ms
        if self.pattern.holds(now_ms):
            found = self.choices[name].choose(
                list(router.views.values()), shape, exchange(self, kind)
            )
            if found is None:
                self.refused += 1
                return
            sent, permit = found
            at_ms = max(now_ms, permit.ready_ms)
            self._at(at_ms, lambda _: self._use(permit))
        else:
            sent = router.send(shape, set(self.engines), self.source.random(), now_ms)
        self._sent(router, sent, kind, shape, now_ms, at_ms)

    def _use(self, permit):
        permit.settle(sent=True)

    def _sent(self, router, sent, kind, shape, now_ms, at_ms):
        for part, _ in shape.shared:
            router.chooser.segments.record_sent(part, sent.view.identity, now_ms)
        work = sent.view.begin(at_ms, sent.tokens, 0.0)
        first_ms, unread = self.engines[sent.view.identity].read(shape, at_ms)
        self._count(kind, shape, first_ms - now_ms, unread)
        self._at(first_ms, lambda now: self._first(router, sent, work, now))
        self._at(at_ms + 100.0, lambda now: self._tell(router, sent, shape, now))

    def _name_limits(self, per_second):
        said = ReportedState(limit=ReportedLimit(1, per_second))
        for views in self.views_of.values():
            for view in views.values():
                view.reported = said


def exchange(play, kind):
    now = play.clock.monotonic_ms()
    return SimpleNamespace(
        known_service=SERVICE,
        known_route=SimpleNamespace(objective_ms=kind.aim_ms),
        request=SimpleNamespace(received_ms=now),
        waiter=SimpleNamespace(remaining_ms=10 * kind.aim_ms),
        fingerprint="",
    )


@given("engines that all name a limit of {limit:g} requests a second")
def limited_engines(context, limit):
    context.limit = limit


@when("the usual traffic is placed by cost, and without a preference")
def place(context):
    context.plays = {}
    for by_cost in (True, False):
        played = [LimitedPlay(context.limit, seed, by_cost=by_cost) for seed in SEEDS]
        for play in played:
            random.seed(1)
            play.run()
        context.plays[by_cost] = played


def total(context, by_cost, read):
    return sum(read(play) for play in context.plays[by_cost])


@then("by cost at most {read:d} of 100 shared tokens are read again, and no fewer begin in time")
def compared(context, read):
    by_cost, without = (
        {
            "again": total(context, way, lambda play: play.result.tokens_again),
            "late": total(context, way, lambda play: play.result.late),
            "in time": total(context, way, lambda play: play.result.in_time),
            "refused": total(context, way, lambda play: play.refused),
        }
        for way in (True, False)
    )
    assert by_cost["again"] * 100 <= without["again"] * read, (by_cost, without)
    assert by_cost["late"] <= without["late"], (by_cost, without)
    assert by_cost["in time"] >= without["in time"], (by_cost, without)
