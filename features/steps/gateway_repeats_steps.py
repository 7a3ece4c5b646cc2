"""Steps on the retries of several routers, counted at their replicas."""

import threading
import time

from behave import given, then, when
from platform_standins import Fleet, repeated, worst_window
from platform_standins.fleet import eventually

RATIO = 0.2
SLACK = 54
ROUTERS = 4
REQUESTS_PER_ROUTER = 9


def start_fleet(context, window_s, **bounds):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    context.window_s = window_s
    context.sent_s = []
    for _ in range(3):
        context.fleet.add_replica("portal").behaviour = "refuse"
    for _ in range(ROUTERS):
        context.fleet.add_router(
            retry_ratio=RATIO, retry_slack=SLACK, retry_window_s=window_s, **bounds
        )


def run_in_parallel(action, items):
    threads = [threading.Thread(target=action, args=(item,)) for item in items]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def send_requests(context):
    """Send some requests to each router at once."""

    def send(router):
        context.sent_s.append(time.monotonic())
        caller = router.call()
        caller.request("GET", "/receipt/1")
        caller.close()

    run_in_parallel(send, context.fleet.routers * REQUESTS_PER_ROUTER)


def restart(context):
    for router in context.fleet.routers:
        router.kill()
    run_in_parallel(context.fleet.start_again, list(context.fleet.routers))


def retries(context):
    requests = [each for replica in context.fleet.replicas for each in list(replica.requests)]
    return repeated(requests)


def worst_excess(context):
    """Return the excess of retries over the budget in the worst window."""
    found = retries(context)
    return worst_window(found, context.sent_s, ratio=RATIO, slack=SLACK, window=context.window_s)[0]


@given("four gateways without contact to each other, with replicas that refuse every request")
def isolated_gateways(context):
    start_fleet(context, 10)


@when(
    "they receive requests and are killed and restarted three times, "
    "and the store loses its responses"
)
def loaded_and_killed(context):
    send_requests(context)
    for endpoint in context.fleet.store.endpoints:
        endpoint.lose_writes = 1_000_000
    for _ in range(3):
        restart(context)
        send_requests(context)


@then("in no window did the replicas receive more retries than the fleet's budget allows")
def within_budget(context):
    assert worst_excess(context) <= 0, (worst_excess(context), len(retries(context)))


@given("four gateways that share a retry budget in windows of 2 s, with replicas that refuse")
def connected_gateways(context):
    start_fleet(context, 2, retry_start_ms=1_000)


@when("they are killed and restarted, and the store responds")
def killed_once(context):
    restart(context)


@then("retries arrive again, and in no window more than the fleet's budget allows")
def retries_again(context):
    def retried():
        send_requests(context)
        return retries(context)

    assert eventually(retried), context.fleet.routers[0].lines[-5:]
    assert worst_excess(context) <= 0, worst_excess(context)
