"""Steps on replicas that start again under the id that they had."""

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


class Listed:
    """A registry with one replica, of which much was learnt."""

    def __init__(self, **fields):
        self.clock = ManualClock()
        self.parts = SegmentTracker()
        self.gone = []
        self.registry = ReplicaRegistry(self.clock, self._on_gone)
        self.registry.update([record(**fields)])
        view = self.view()
        now = self.clock.monotonic_ms()
        for _ in range(5):
            view.record_failure(now)
        view.slowness = 3.0
        self.parts.record_sent("part", "i-1", now)
        self.earlier = view.incarnation
        self.registry.record_replaced(view.incarnation)
        assert not self.registry.ready("portal")

    def _on_gone(self, view):
        self.gone.append(view.incarnation)
        self.parts.forget(view.identity)

    def view(self):
        return self.registry.view("i-1")


@given("a replica that failed, was slow, was replaced at its address and holds parts")
def learnt(context):
    context.listed = [Listed(born=BORN, seq=40), Listed(seq=40)]


@when("its record tells of a later start, by its time or by a number that begins again")
def started_again(context):
    by_time, by_number = context.listed
    by_time.registry.update([record(born=BORN + 9_000, seq=1, coldRemainingMs=COLD_MS)])
    by_number.registry.update([record(seq=1, coldRemainingMs=COLD_MS)])


@then("it is a new replica: ready, cold as it says, without failures, parts or connections")
def new_replica(context):
    for listed in context.listed:
        assert len(listed.registry.ready("portal")) == 1
        view = listed.view()
        now = listed.clock.monotonic_ms()
        assert view.incarnation != listed.earlier and listed.gone == [listed.earlier]
        assert view.failure_rate(now) == 0 and view.slowness == 1.0
        assert view.is_cold(now, 0) and not view.is_cold(now + COLD_MS, 0)
        assert not listed.parts.holders("part")


@when("it has started again, and messages on the earlier start still come")
def earlier_messages(context):
    started_again(context)
    for listed in context.listed:
        listed.registry.record_replaced(listed.earlier, "router-2")
        context.placed = [
            listed.registry.view_of_incarnation(listed.earlier) for listed in context.listed
        ]


@then("they change nothing of it")
def nothing_changed(context):
    assert context.placed == [None, None]
    new_replica(context)
    for listed in context.listed:
        incarnation = listed.view().incarnation
        assert listed.registry.view_of_incarnation(incarnation) is listed.view()
        # The same record again, with a higher number, is the same start.
        listed.registry.update([record(born=BORN + 9_000 if "@" in incarnation else 0, seq=2)])
        assert listed.view().incarnation == incarnation, (incarnation, listed.view().incarnation)


@given("a gateway that met another replica at the address of the only one")
def met_another(context):
    start_gateways(context)
    context.old = context.fleet.of("portal")[0]
    context.old.born = SystemClock().now_ms() - 60_000
    context.old.list()
    assert get_status(context.router, "/receipt/1") == 200
    context.identity, context.old.identity = context.old.identity, "i-another"
    assert get_status(context.router, "/receipt/2") == 503
    assert eventually(lambda: context.router.find("replica.replaced"))


@when("that one starts again under its id at a new address")
def new_address(context):
    again = context.fleet.add_replica("portal", identity=context.identity, born=now_ms())
    assert again.address != context.old.address


def now_ms():
    return SystemClock().now_ms()


@then("it gets the next receipts, within the time of a change of the list")
def gets_receipts(context):
    begun = time.monotonic()
    assert eventually(lambda: get_status(context.router, "/receipt/3") == 200, 30.0)
    # It was left out for 15 s before; a change of the list takes a fraction of a second.
    assert time.monotonic() - begun < 10.0
