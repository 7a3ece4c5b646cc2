"""Steps on replicas that restart under the same id."""

import json
import time

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock, SystemClock
from aspengate.platform import PlatformDeployment
from aspengate.replicas import ReplicaRegistry, SegmentTracker
from aspengate.store import StoreItem
from crashes_steps import get_status
from foreign_entries_steps import VALID_ENTRY
from gateway_world import start_gateways

BORN = 1_790_000_000_000
COLD_MS = 3_000


def record(**fields):
    data = json.dumps({**VALID_ENTRY, **fields}).encode()
    deployment = PlatformDeployment("127.0.0.1:1", 100.0, ManualClock())
    return deployment.read_replica(StoreItem("servers/i-1", data, 1))


class RegistryFixture:
    """A registry with one replica, for which failures, slowness and segments were recorded."""

    def __init__(self, **fields):
        self.clock = ManualClock()
        self.segments = SegmentTracker()
        self.gone = []
        self.registry = ReplicaRegistry(self.clock, self._on_gone)
        self.registry.update([record(**fields)])
        view = self.view()
        now = self.clock.monotonic_ms()
        for _ in range(5):
            view.record_failure(now)
        view.slowness = 3.0
        self.segments.record_sent("part", "i-1", now)
        self.earlier = view.incarnation
        self.registry.record_replaced(view.incarnation)
        assert not self.registry.ready("portal")

    def _on_gone(self, view):
        self.gone.append(view.incarnation)
        self.segments.forget(view.identity)

    def view(self):
        return self.registry.view("i-1")


@given("a replica that failed, was slow, was replaced at its address and holds prompt segments")
def with_recorded_history(context):
    context.fixtures = [RegistryFixture(born=BORN, seq=40), RegistryFixture(seq=40)]


@when("its record shows a restart, by its start time or by a sequence number that starts over")
def restarted(context):
    by_time, by_number = context.fixtures
    by_time.registry.update([record(born=BORN + 9_000, seq=1, coldRemainingMs=COLD_MS)])
    by_number.registry.update([record(seq=1, coldRemainingMs=COLD_MS)])


@then("it is ready, cold as its record states, without failures, prompt segments or connections")
def is_new(context):
    for fixture in context.fixtures:
        assert len(fixture.registry.ready("portal")) == 1
        view = fixture.view()
        now = fixture.clock.monotonic_ms()
        assert view.incarnation != fixture.earlier and fixture.gone == [fixture.earlier]
        assert view.failure_rate(now) == 0 and view.slowness == 1.0
        assert view.is_cold(now, 0) and not view.is_cold(now + COLD_MS, 0)
        assert not fixture.segments.holders("part")


@when("it has restarted, and messages about the earlier incarnation still arrive")
def late_messages(context):
    restarted(context)
    for fixture in context.fixtures:
        fixture.registry.record_replaced(fixture.earlier, "router-2")
        context.placed = [
            fixture.registry.view_of_incarnation(fixture.earlier) for fixture in context.fixtures
        ]


@then("they do not change the new incarnation")
def unchanged(context):
    assert context.placed == [None, None]
    is_new(context)
    for fixture in context.fixtures:
        incarnation = fixture.view().incarnation
        assert fixture.registry.view_of_incarnation(incarnation) is fixture.view()
        # The same record with a higher number is of the same incarnation.
        fixture.registry.update([record(born=BORN + 9_000 if "@" in incarnation else 0, seq=2)])
        assert fixture.view().incarnation == incarnation, (incarnation, fixture.view().incarnation)


@given("a gateway that found another replica at the address of the only one")
def found_another(context):
    start_gateways(context)
    context.old = context.fleet.of("portal")[0]
    context.old.born = SystemClock().now_ms() - 60_000
    context.old.list()
    assert get_status(context.router, "/receipt/1") == 200
    context.identity, context.old.identity = context.old.identity, "i-another"
    assert get_status(context.router, "/receipt/2") == 503
    assert eventually(lambda: context.router.find("replica.replaced"))


@when("the replica restarts under its id at a new address")
def restarts_elsewhere(context):
    again = context.fleet.add_replica("portal", identity=context.identity, born=now_ms())
    assert again.address != context.old.address


def now_ms():
    return SystemClock().now_ms()


@then("it gets the next receipts within the time of a list update")
def gets_receipts(context):
    begun = time.monotonic()
    assert eventually(lambda: get_status(context.router, "/receipt/3") == 200, 30.0)
    # It used to be excluded for 15 s; a list update takes a fraction of a second.
    assert time.monotonic() - begun < 10.0
