"""Steps of limits.feature."""

from behave import given, then

from aspengate.adapters import Instance, InstanceState
from aspengate.clock import ManualClock
from aspengate.errors import AspengateError
from aspengate.limits import Limiter
from aspengate.router._members import Members
from aspengate.table import ClientAccountRow, ServiceRow
from aspengate.telemetry import NullCounters


class InstanceList:
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


class NullRegistry:
    def update(self, *_):
        pass


@given("a router whose region lists 4 routers, and which has received no heartbeat from the others")
def router_without_heartbeats(context):
    context.members = Members(
        name="router-1",
        session="router-1.a",
        region="near",
        listed=InstanceList(),
        registry=NullRegistry(),
        peer=None,
        clock=ManualClock(),
        counters=NullCounters(),
        heartbeat_ms=1_000,
        table=lambda: None,
    )
    context.members.poll()


@then("it enforces a quarter of the region's limits")
def enforces_quarter(context):
    assert context.members.sharing_region() == 4, context.members.sharing_region()


@given("a limiter that does not have the number of routers that share the limits")
def limiter_without_router_count(context):
    context.limiter = Limiter(ManualClock())


@then(
    "a request of an account without limits is admitted, "
    'and one of a limited account is rejected with "{kind}"'
)
def limited_is_rejected(context, kind):
    service = ServiceRow(name="portal")
    limited = ClientAccountRow(name="board", budget="b", max_concurrency=8)
    context.limiter.enter(ClientAccountRow(name="shop", budget="b"), service)
    try:
        context.limiter.enter(limited, service)
    except AspengateError as error:
        assert error.kind.value == kind, error
        return
    raise AssertionError("the limited request was admitted")
