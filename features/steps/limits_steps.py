"""Steps on limits that the routers of a region share."""

from behave import given, then

from aspengate.adapters import Instance, InstanceState
from aspengate.clock import ManualClock
from aspengate.errors import AspengateError
from aspengate.limits import Limiter
from aspengate.router._members import Members
from aspengate.table import ClientAccountRow, ServiceRow
from aspengate.telemetry import NullCounters


class Listed:
    def instances(self):
        return tuple(
            Instance(
                name=f"router-{number}",
                role="router",
                address=f"127.0.0.{number}:1",
                region="near",
                failure_domain="hall",
                state=InstanceState.LIVE,
            )
            for number in range(1, 5)
        )


class NoUpstreams:
    def update(self, *_):
        pass


@given("a router of a region in whose list there are 4, of which it has heard none")
def unheard(context):
    context.members = Members(
        name="router-1",
        session="router-1.a",
        region="near",
        listed=Listed(),
        registry=NoUpstreams(),
        peer=None,
        clock=ManualClock(),
        counters=NullCounters(),
        heartbeat_ms=1_000,
        table=lambda: None,
    )
    context.members.poll()


@then("it takes a quarter of the region's limits")
def quarter(context):
    assert context.members.sharing_region() == 4, context.members.sharing_region()


@given("a limiter that was not told how many routers share the limits")
def untold(context):
    context.limiter = Limiter(ManualClock())


@then('a request of a limited account is refused with "{kind}", and another one is admitted')
def refused(context, kind):
    service = ServiceRow(name="portal")
    limited = ClientAccountRow(name="board", budget="b", max_concurrency=8)
    context.limiter.enter(ClientAccountRow(name="shop", budget="b"), service)
    try:
        context.limiter.enter(limited, service)
    except AspengateError as error:
        assert error.kind.value == kind, error
        return
    raise AssertionError("admitted")
