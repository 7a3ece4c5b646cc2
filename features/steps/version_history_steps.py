"""Steps on what the history of versions keeps."""

from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.replicas import Replica
from aspengate.streams import VersionHistory

TWO_HOURS_MS = 2 * 3_600_000


def replica(number, service="engine"):
    return Replica(f"i-{service}", service, "10.0.0.1:1", born_ms=number + 1, version="v1")


@given("a history of versions")
def history(context):
    context.clock = ManualClock()
    context.history = VersionHistory(context.clock)


@when("a replica restarts {restarts:d} times, and {services:d} services are listed for a while")
def restarts_and_services(context, restarts, services):
    for number in range(restarts):
        context.history.update([replica(number)])
        context.history.record_ended(replica(number).incarnation)
    gone = [replica(0, f"service-{number}") for number in range(services)]
    context.history.update([replica(restarts), *gone])
    context.history.update([replica(restarts)])


@then("two hours later it holds at most {names:d} names of replicas, and one service")
def bounded(context, names):
    context.clock.advance(TWO_HOURS_MS)
    for number in range(2):
        context.history.update([replica(6_000 + number)])
    held = context.history
    sizes = len(held._ended) + len(held._ended_unlisted), len(held._last_listed_ms)
    assert sizes[0] <= names and sizes[1] == 1, sizes


@when("a replica ends and restarts at its version, and {others:d} others do so after it")
def ended_is_forgotten(context, others):
    context.earlier = replica(0)
    services = [f"service-{number}" for number in range(others)]
    old = [replica(0, service) for service in services]
    context.history.update([context.earlier, *old])
    context.history.record_ended(context.earlier.incarnation)
    context.history.update([replica(1), *old])
    for each in old:
        context.history.record_ended(each.incarnation)
    context.listed = [replica(1), *(replica(1, service) for service in services)]
    context.history.update(context.listed)


@then("its version as of the earlier record is uncertain")
def earlier_is_uncertain(context):
    assert not context.history.is_certain(context.earlier)


@then("the versions of all listed replicas are certain")
def listed_are_certain(context):
    uncertain = [each for each in context.listed if not context.history.is_certain(each)]
    assert not uncertain, len(uncertain)
